#include "src/prefix_table.h"

#include <algorithm>

namespace burdockhatch {

namespace {

// Called when events were lost: any of them may have evicted a known prefix.
void MarkAllDoubtful(PrefixTable& table, Time now) {
  for (auto& [hash, prefix] : table.prefixes) {
    if (!prefix.doubtful_until) {
      prefix.doubtful_until = now + kDoubtfulPrefixTtl;
    }
  }
}

void ApplyEvent(PrefixTable& table, const CacheEvent& event) {
  CachedPrefix& prefix = table.prefixes[event.prefix_hash];
  if (event.sequence <= prefix.sequence) {
    return;
  }
  prefix.sequence = event.sequence;
  prefix.present = event.added;
  prefix.doubtful_until.reset();
  if (event.added) {
    prefix.last_use = ++table.use_counter;
  }
}

// Once there are more than kMaxTrackedPrefixes, keeps the most recently used
// half of that number.
void EvictLeastRecentlyUsed(PrefixTable& table) {
  if (table.prefixes.size() <= kMaxTrackedPrefixes) {
    return;
  }
  std::vector<uint64_t> uses;
  for (const auto& [hash, prefix] : table.prefixes) {
    uses.push_back(prefix.last_use);
  }
  auto limit =
      uses.begin() + static_cast<long>(uses.size() - kMaxTrackedPrefixes / 2);
  std::nth_element(uses.begin(), limit, uses.end());
  const uint64_t oldest_kept_use = *limit;
  std::erase_if(table.prefixes, [&](const auto& row) {
    return row.second.last_use < oldest_kept_use;
  });
}

}  // namespace

void ApplyCacheEvents(PrefixTable& table,
                      const std::vector<CacheEvent>& events,
                      Time now) {
  for (const CacheEvent& event : events) {
    if (event.sequence > table.last_sequence + 1 && table.last_sequence > 0) {
      MarkAllDoubtful(table, now);
    }
    ApplyEvent(table, event);
    table.last_sequence = std::max(table.last_sequence, event.sequence);
  }
  EvictLeastRecentlyUsed(table);
}

void RecordPrefixUse(PrefixTable& table, const std::vector<uint64_t>& hashes) {
  const size_t n = std::min(hashes.size(), kMaxReportedPrefixes);
  for (size_t i = 0; i < n; ++i) {
    CachedPrefix& prefix = table.prefixes[hashes[i]];
    prefix.present = true;
    prefix.last_use = ++table.use_counter;
    prefix.doubtful_until.reset();
  }
  EvictLeastRecentlyUsed(table);
}

size_t CountCachedBlocks(const PrefixTable& table,
                         const std::vector<uint64_t>& hashes) {
  size_t blocks = 0;
  for (const uint64_t hash : hashes) {
    auto it = table.prefixes.find(hash);
    if (it == table.prefixes.end() || !it->second.present) {
      break;
    }
    ++blocks;
  }
  return blocks;
}

void ExpirePrefixes(PrefixTable& table, Time now) {
  std::erase_if(table.prefixes, [&](const auto& row) {
    return row.second.doubtful_until && *row.second.doubtful_until <= now;
  });
}

std::vector<uint64_t> RecentPrefixes(const PrefixTable& table, size_t count) {
  std::vector<std::pair<uint64_t, uint64_t>> rows;
  for (const auto& [hash, prefix] : table.prefixes) {
    if (prefix.present) {
      rows.emplace_back(prefix.last_use, hash);
    }
  }
  const size_t n = std::min(count, rows.size());
  std::partial_sort(rows.begin(), rows.begin() + static_cast<long>(n),
                    rows.end(), std::greater<>());
  std::vector<uint64_t> hashes;
  for (size_t i = 0; i < n; ++i) {
    hashes.push_back(rows[i].second);
  }
  return hashes;
}

}  // namespace burdockhatch
