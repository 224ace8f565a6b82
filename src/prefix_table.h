// Which prompt prefixes the engine has in its cache, from events that come late
// and with gaps. The table is a hint for placement; nothing depends on it being
// right.
#ifndef SRC_PREFIX_TABLE_H_
#define SRC_PREFIX_TABLE_H_

#include <cstdint>
#include <vector>

#include "src/agent_tables.h"

namespace burdockhatch {

inline constexpr size_t kMaxTrackedPrefixes = 4096;

// How long a prefix is still reported after events about its time were lost.
inline constexpr Duration kDoubtfulPrefixTtl = std::chrono::seconds(30);

// Applies events; one that is older than the last event about the same prefix
// is dropped.
void ApplyCacheEvents(PrefixTable& table,
                      const std::vector<CacheEvent>& events,
                      Time now);

// Notes that a stream with these prefixes was started: the engine will have
// them in its cache.
void RecordPrefixUse(PrefixTable& table, const std::vector<uint64_t>& hashes);

// Blocks of a prompt, from its start, that the engine has in its cache.
size_t CountCachedBlocks(const PrefixTable& table,
                         const std::vector<uint64_t>& hashes);

// Drops doubtful prefixes whose time is over.
void ExpirePrefixes(PrefixTable& table, Time now);

// At most `count` cached prefixes, most recently used first.
std::vector<uint64_t> RecentPrefixes(const PrefixTable& table, size_t count);

}  // namespace burdockhatch

#endif  // SRC_PREFIX_TABLE_H_
