// The text of a claim shard in the object API.
#ifndef SRC_CLAIM_SHARD_H_
#define SRC_CLAIM_SHARD_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/agent_tables.h"

namespace burdockhatch {

// Returns nullopt when `text` is not a claim shard. Such an object is never
// overwritten.
std::optional<ClaimRecords> ParseClaimShard(std::string_view text);

std::string SerializeClaimShard(const ClaimRecords& records);

}  // namespace burdockhatch

#endif  // SRC_CLAIM_SHARD_H_
