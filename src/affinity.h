// Which targets hold a prefix of a prompt in their cache. Hashes are chained,
// one per block, so that the hash of a later block stands for the whole prefix.
#ifndef SRC_AFFINITY_H_
#define SRC_AFFINITY_H_

#include <cstdint>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

// Shared prefixes stand at the start of a prompt, so later blocks of a very
// long prompt are not looked up.
inline constexpr size_t kMaxPrefixLookups = 512;

void AddPrefixes(AffinityIndex& index,
                 TargetSlot slot,
                 const std::vector<uint64_t>& prefixes);
void RemovePrefixes(AffinityIndex& index,
                    TargetSlot slot,
                    const std::vector<uint64_t>& prefixes);

// Sets `cached_blocks` of each target that holds a prefix, with affinity_mark =
// fleet.mark, and lists these targets in fleet.cached. Does not allocate.
void MarkCachedBlocks(FleetTable& fleet,
                      const std::vector<uint64_t>& prefix_hashes);

}  // namespace burdockhatch

#endif  // SRC_AFFINITY_H_
