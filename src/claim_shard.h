// The JSON format of a claim shard as stored through the object API.
#ifndef SRC_CLAIM_SHARD_H_
#define SRC_CLAIM_SHARD_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/agent_tables.h"

namespace burdockhatch {

// Returns nullopt when `text` is not a valid claim shard. The caller must not
// overwrite such an object, because it may contain claims.
std::optional<ClaimRecords> ParseClaimShard(std::string_view text);

std::string SerializeClaimShard(const ClaimRecords& records);

}  // namespace burdockhatch

#endif  // SRC_CLAIM_SHARD_H_
