// Index of the prompt prefixes that targets have in their caches. There is one
// hash per block of a prompt. The hashes are chained, so that the hash of a
// block identifies the whole prefix up to it.
#ifndef SRC_AFFINITY_H_
#define SRC_AFFINITY_H_

#include <cstdint>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

// Maximum number of blocks looked up per prompt. Prompts share prefixes at
// their start, so later blocks of a very long prompt need no lookup.
inline constexpr size_t kMaxPrefixLookups = 512;

void AddPrefixes(AffinityIndex& index,
                 TargetSlot slot,
                 const std::vector<uint64_t>& prefixes);
void RemovePrefixes(AffinityIndex& index,
                    TargetSlot slot,
                    const std::vector<uint64_t>& prefixes);

// Finds the targets that have a prefix of the prompt in their cache. Sets their
// `cached_blocks`, sets their `affinity_mark` to `fleet.decision_number`, and
// stores their slots in `fleet.cached_targets`. Does not allocate.
void MarkCachedBlocks(FleetTable& fleet,
                      const std::vector<uint64_t>& prefix_hashes);

}  // namespace burdockhatch

#endif  // SRC_AFFINITY_H_
