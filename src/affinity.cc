#include "src/affinity.h"

#include <algorithm>

namespace burdockhatch {

void AddPrefixes(AffinityIndex& index,
                 TargetSlot slot,
                 const std::vector<uint64_t>& prefixes) {
  for (const uint64_t it : prefixes) {
    auto& slots = index[it];
    if (std::find(slots.begin(), slots.end(), slot) == slots.end()) {
      slots.push_back(slot);
    }
  }
}

void RemovePrefixes(AffinityIndex& index,
                    TargetSlot slot,
                    const std::vector<uint64_t>& prefixes) {
  for (const uint64_t it : prefixes) {
    const auto entry = index.find(it);
    if (entry == index.end()) {
      continue;
    }
    auto& slots = entry->second;
    slots.erase(std::remove(slots.begin(), slots.end(), slot), slots.end());
    if (slots.empty()) {
      index.erase(entry);
    }
  }
}

void MarkCachedBlocks(FleetTable& fleet,
                      const std::vector<uint64_t>& prefix_hashes) {
  fleet.cached_targets.clear();
  const size_t count = std::min(prefix_hashes.size(), kMaxPrefixLookups);
  for (size_t i = count; i-- > 0;) {
    const auto entry = fleet.affinity.find(prefix_hashes[i]);
    if (entry == fleet.affinity.end()) {
      continue;
    }
    for (const TargetSlot slot : entry->second) {
      TargetHint& hint = fleet.hints[slot];
      if (hint.affinity_mark != fleet.decision_number) {
        hint.affinity_mark = fleet.decision_number;
        hint.cached_blocks = static_cast<uint32_t>(i + 1);
        fleet.cached_targets.push_back(slot);
      }
    }
  }
}

}  // namespace burdockhatch
