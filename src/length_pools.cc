#include "src/length_pools.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

namespace burdockhatch {

namespace {

// Smaller groups of targets are not worth dividing into pools.
constexpr size_t kMinPooledGroupSize = 4;

struct PoolPenalty {
  double in_long_pool_us;
  double in_short_pool_us;
};

// Short requests avoid the engines that run long prefills. Medium requests move
// to the short pool when they would wait in the long pool. Longer requests move
// only when the long pool has no room.
constexpr std::array<PoolPenalty, kLengthClassCount> kPoolPenalties = {{
    {300'000, 0},    // kShort
    {0, 100'000},    // kMedium
    {0, 2'000'000},  // kLong
    {0, 2'000'000},  // kHuge
}};

using RankedTargets = std::vector<std::pair<uint64_t, TargetSlot>>;

void AssignGroupPools(FleetTable& fleet, RankedTargets& group) {
  std::sort(group.begin(), group.end());
  const auto size = static_cast<double>(group.size());
  const auto long_count =
      static_cast<size_t>(std::llround(size * kLongPoolFraction));
  for (size_t n = 0; n < group.size(); ++n) {
    LengthPool& pool = fleet.hints[group[n].second].pool;
    pool = n < long_count ? LengthPool::kLong : LengthPool::kShort;
    if (group.size() < kMinPooledGroupSize) {
      pool = LengthPool::kNone;
    }
  }
}

}  // namespace

void AssignLengthPools(FleetTable& fleet) {
  for (const auto& [model, slots] : fleet.by_model) {
    std::map<DataCentreId, RankedTargets> groups;
    for (const TargetSlot slot : slots) {
      const TargetRow& row = fleet.rows[slot];
      groups[row.info.data_centre].emplace_back(row.hash, slot);
    }
    for (auto& [data_centre, group] : groups) {
      AssignGroupPools(fleet, group);
    }
  }
}

double PoolPenaltyUs(const TargetHint& hint, LengthClass length_class) {
  const PoolPenalty& penalty = kPoolPenalties[static_cast<int>(length_class)];
  switch (hint.pool) {
    case LengthPool::kNone:
      return 0;
    case LengthPool::kShort:
      return penalty.in_short_pool_us;
    case LengthPool::kLong:
      return penalty.in_long_pool_us;
  }
  return 0;
}

}  // namespace burdockhatch
