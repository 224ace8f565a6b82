#include "src/placement.h"

#include <algorithm>

#include "src/affinity.h"
#include "src/fleet_table.h"
#include "src/length_pools.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Agents reserve at most half of their memory for holds and huge prompts, so
// that short requests are never blocked.
constexpr int64_t kHugeMemoryDivisor = 2;

// A target with a cached prefix is preferred only while its load is at most
// this multiple of the mean load.
constexpr double kMaxAffinityLoadRatio = 1.25;
// Added to the bound, as a share of the warm-up budget, so that prefix affinity
// still works in an idle fleet.
constexpr double kAffinityLoadAllowance = 0.1;

// Extra latency of a stream on a target whose warm-up budget is used up. The
// cost grows in proportion to the load.
constexpr double kFullLoadCostUs = 300'000;

// A cold target that the request does not fit (see ExcessTokens) is chosen only
// if it fits no other target: being idle must not attract work beyond its
// warm-up budget.
constexpr double kColdNoRoomCostUs = 5'000'000;
// A warm target that the request does not fit soon has room again. A higher
// cost crowds requests onto the targets with room and delays short requests.
constexpr double kWarmNoRoomCostUs = 300'000;

// Maximum relative jitter of a target's cost. Entries see the same reports and
// would otherwise all choose the same target until the next report.
constexpr double kMaxCostJitter = 0.2;

double RelativeLoad(const TargetHint& hint) {
  return static_cast<double>(EstimateLoadTokens(hint)) * hint.load_per_token;
}

// Returns a hash of its arguments in [0, 1).
double HashToUnitInterval(uint64_t random_bits, TargetSlot slot) {
  uint64_t word = random_bits ^ (slot * 0x9e3779b97f4a7c15ULL);
  word ^= word >> 32;
  word *= 0xd6e8feb86659fd93ULL;
  return static_cast<double>(word >> 40) / static_cast<double>(1 << 24);
}

bool IsCandidate(const FleetTable& fleet,
                 const TargetHint& hint,
                 const PlacementQuery& query,
                 LengthClass length_class) {
  if (hint.availability != TargetAvailability::kUsable ||
      hint.excluded_mark == fleet.decision_number) {
    return false;
  }
  return hint.memory_total <= 0 ||
         query.max_total_tokens.value() <=
             MaxBookableMemory(hint.memory_total, length_class);
}

// Returns the tokens by which the request exceeds the target's warm-up budget
// or free memory, whichever is larger; 0 if it fits.
double ExcessTokens(const TargetHint& hint, const PlacementQuery& query) {
  const double total = static_cast<double>(query.max_total_tokens.value());
  double excess = 0;
  if (hint.warm_budget > 0) {
    excess = static_cast<double>(EstimateLoadTokens(hint)) + total -
             static_cast<double>(hint.warm_budget);
  }
  if (hint.memory_total > 0) {
    const double free =
        static_cast<double>(hint.memory_free - hint.unanswered_tokens);
    excess = std::max(excess, total - free);
  }
  return std::max(excess, 0.0);
}

// Returns the estimated cost of the request on the target, ignoring a cached
// prefix.
double CostUs(const TargetHint& hint,
              const PlacementQuery& query,
              LengthClass length_class,
              double excess,
              double load) {
  const double tokens = static_cast<double>(query.prompt.value()) + excess +
                        static_cast<double>(hint.unanswered_tokens);
  const double no_room_us =
      excess <= 0 ? 0
                  : (hint.warming_up ? kColdNoRoomCostUs : kWarmNoRoomCostUs);
  return hint.expected_wait_us + tokens * hint.prefill_us_per_token +
         load * kFullLoadCostUs + hint.data_centre_penalty_us + no_room_us +
         PoolPenaltyUs(hint, length_class);
}

struct ScanState {
  PlacementChoice choice{std::nullopt, true};
  double best_us = 0;
  double load_sum = 0;
  int candidate_count = 0;
};

void ConsiderTarget(ScanState& scan,
                    TargetSlot slot,
                    const PlacementQuery& query,
                    double cost_us) {
  const double cost =
      cost_us *
      (1 + kMaxCostJitter * HashToUnitInterval(query.random_bits, slot));
  if (!scan.choice.slot || cost < scan.best_us) {
    scan.choice.slot = slot;
    scan.best_us = cost;
  }
}

void ScanCandidates(FleetTable& fleet,
                    const PlacementQuery& query,
                    LengthClass length_class,
                    ScanState& scan) {
  for (const TargetSlot slot : *query.candidates) {
    TargetHint& hint = fleet.hints[slot];
    if (!IsCandidate(fleet, hint, query, length_class)) {
      continue;
    }
    hint.candidate_mark = fleet.decision_number;
    const double load = RelativeLoad(hint);
    const double excess = ExcessTokens(hint, query);
    scan.load_sum += load;
    ++scan.candidate_count;
    scan.choice.all_at_capacity = scan.choice.all_at_capacity && excess > 0;
    ConsiderTarget(scan, slot, query,
                   CostUs(hint, query, length_class, excess, load));
  }
}

// Considers the targets with a cached prefix again, with the saved prefill.
// This takes a second scan because the load bound needs the mean of all
// candidates.
void ScanCached(const FleetTable& fleet,
                const PlacementQuery& query,
                LengthClass length_class,
                ScanState& scan) {
  const double tokens_per_block =
      static_cast<double>(query.prompt.value()) /
      static_cast<double>(std::max<size_t>(query.prefix_hashes->size(), 1));
  const double mean = scan.load_sum / std::max(scan.candidate_count, 1);
  const double bound = mean * kMaxAffinityLoadRatio + kAffinityLoadAllowance;
  for (const TargetSlot slot : fleet.cached_targets) {
    const TargetHint& hint = fleet.hints[slot];
    const double load = RelativeLoad(hint);
    if (hint.candidate_mark != fleet.decision_number || load > bound) {
      continue;
    }
    const double cost =
        CostUs(hint, query, length_class, ExcessTokens(hint, query), load);
    const double saved = hint.cached_blocks * tokens_per_block;
    ConsiderTarget(scan, slot, query, cost - saved * hint.prefill_us_per_token);
  }
}

bool IsLive(const TargetHint& hint) {
  return hint.availability == TargetAvailability::kUsable ||
         hint.availability == TargetAvailability::kUnheard;
}

}  // namespace

void BeginDecision(FleetTable& fleet) {
  ++fleet.decision_number;
}

void ExcludeTarget(FleetTable& fleet, TargetSlot slot) {
  fleet.hints[slot].excluded_mark = fleet.decision_number;
}

PlacementChoice ChooseTarget(FleetTable& fleet, const PlacementQuery& query) {
  MarkCachedBlocks(fleet, *query.prefix_hashes);
  ScanState scan;
  ScanCandidates(fleet, query, ClassifyPromptLength(query.prompt), scan);
  ScanCached(fleet, query, ClassifyPromptLength(query.prompt), scan);
  return scan.choice;
}

std::optional<TargetSlot> ChooseAgentForKey(
    const FleetTable& fleet,
    const std::vector<TargetSlot>& candidates,
    const IdempotencyKey& key) {
  const uint64_t hash = StableHash(key.value());
  std::optional<TargetSlot> best;
  uint64_t best_score = 0;
  for (const TargetSlot slot : candidates) {
    const TargetHint& hint = fleet.hints[slot];
    if (!IsLive(hint) || hint.excluded_mark == fleet.decision_number) {
      continue;
    }
    const uint64_t score = RendezvousScore(hash, fleet.rows[slot].hash);
    if (!best || score > best_score) {
      best = slot;
      best_score = score;
    }
  }
  return best;
}

int64_t MaxBookableMemory(int64_t memory_total, LengthClass length_class) {
  return length_class == LengthClass::kHuge ? memory_total / kHugeMemoryDivisor
                                            : memory_total;
}

const std::vector<TargetSlot>* FindCandidates(const FleetTable& fleet,
                                              const RequestSpec& spec) {
  if (spec.kind == WorkKind::kCompletion) {
    const auto it = fleet.by_model.find(spec.model);
    return it == fleet.by_model.end() ? nullptr : &it->second;
  }
  const auto it = fleet.by_service.find(spec.service);
  return it == fleet.by_service.end() ? nullptr : &it->second;
}

}  // namespace burdockhatch
