// Prompt prefixes that the engine is believed to have in its cache, derived
// from cache events that arrive late and with gaps. The table is a hint for
// placement; correctness does not depend on it.
#ifndef SRC_PREFIX_TABLE_H_
#define SRC_PREFIX_TABLE_H_

#include <cstdint>
#include <vector>

#include "src/agent_tables.h"

namespace burdockhatch {

inline constexpr size_t kMaxTrackedPrefixes = 4096;

// When cache events were lost, any known prefix may have been evicted. A prefix
// that is not confirmed is reported for this long after the loss, then removed.
inline constexpr Duration kDoubtfulPrefixTtl = std::chrono::seconds(30);

// Applies cache events. An event that is older than the last one about the same
// prefix is ignored.
void ApplyCacheEvents(PrefixTable& table,
                      const std::vector<CacheEvent>& events,
                      Time now);

// Records that a stream with these prefixes was started, so that the engine
// will have them in its cache. Only the first kMaxReportedPrefixes are
// recorded.
void RecordPrefixUse(PrefixTable& table, const std::vector<uint64_t>& hashes);

// Returns the number of leading blocks of a prompt in the engine's cache.
size_t CountCachedBlocks(const PrefixTable& table,
                         const std::vector<uint64_t>& hashes);

// Removes doubtful prefixes that have not been confirmed in time.
void ExpirePrefixes(PrefixTable& table, Time now);

// Returns at most `count` cached prefixes, most recently used first.
std::vector<uint64_t> RecentPrefixes(const PrefixTable& table, size_t count);

}  // namespace burdockhatch

#endif  // SRC_PREFIX_TABLE_H_
