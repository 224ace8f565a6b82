#include "src/length_pools.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

namespace burdockhatch {

namespace {

// Fewer targets than this are not worth parting.
constexpr size_t kMinGroup = 4;

struct PoolCost {
  double in_long_pool_us;
  double in_short_pool_us;
};

// Short work keeps away from long prefill. Medium work moves to the short pool
// when it would wait in its own; longer work stays unless there is no room.
constexpr std::array<PoolCost, kLengthClassCount> kPoolCosts = {{
    {300'000, 0},
    {0, 100'000},
    {0, 2'000'000},
    {0, 2'000'000},
}};

using Ranked = std::vector<std::pair<uint64_t, TargetSlot>>;

void AssignGroup(FleetTable& fleet, Ranked& group) {
  std::sort(group.begin(), group.end());
  const auto size = static_cast<double>(group.size());
  const auto long_count =
      static_cast<size_t>(std::llround(size * kLongPoolShare));
  for (size_t n = 0; n < group.size(); ++n) {
    Pool& pool = fleet.hints[group[n].second].pool;
    pool = n < long_count ? Pool::kLong : Pool::kShort;
    if (group.size() < kMinGroup) {
      pool = Pool::kNone;
    }
  }
}

}  // namespace

void AssignLengthPools(FleetTable& fleet) {
  for (const auto& [model, slots] : fleet.by_model) {
    std::map<DataCentreId, Ranked> groups;
    for (const TargetSlot slot : slots) {
      const TargetRow& row = fleet.rows[slot];
      groups[row.info.data_centre].emplace_back(row.hash, slot);
    }
    for (auto& [data_centre, group] : groups) {
      AssignGroup(fleet, group);
    }
  }
}

double PoolPenaltyUs(const TargetHint& hint, LengthClass length_class) {
  const PoolCost& cost = kPoolCosts[static_cast<int>(length_class)];
  switch (hint.pool) {
    case Pool::kNone:
      return 0;
    case Pool::kShort:
      return cost.in_short_pool_us;
    case Pool::kLong:
      return cost.in_long_pool_us;
  }
  return 0;
}

}  // namespace burdockhatch
