#include "src/placement.h"

#include <algorithm>

#include "src/affinity.h"
#include "src/fleet_table.h"
#include "src/length_pools.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Agents give at most half of their memory to holds and huge prompts, so that
// short requests are never blocked.
constexpr int64_t kHugeMemoryDivisor = 2;

// A cached prefix attracts work only up to this multiple of the mean load.
constexpr double kAffinityLoadBound = 1.25;
// Slack of the bound, as a share of the budget, so that an idle fleet keeps its
// affinity.
constexpr double kAffinityLoadSlack = 0.1;

// Extra delay of a stream on a target whose budget is used up.
constexpr double kFullLoadUs = 300'000;

// A cold target without room is chosen only if every other is without room as
// well: it must not attract work because it is idle.
constexpr double kColdNoRoomUs = 5'000'000;
// A warm target without room soon has some. A higher cost makes work crowd into
// the targets with room and short requests pay for it.
constexpr double kWarmNoRoomUs = 300'000;

// Random factor on the cost. Entries see the same reports; without it they
// would all choose the same target until the next report.
constexpr double kJitter = 0.2;

double LoadOf(const TargetHint& hint) {
  return static_cast<double>(EstimateLoadTokens(hint)) * hint.load_per_token;
}

// In [0, 1).
double CheapRandom(uint64_t random_bits, TargetSlot slot) {
  uint64_t word = random_bits ^ (slot * 0x9e3779b97f4a7c15ULL);
  word ^= word >> 32;
  word *= 0xd6e8feb86659fd93ULL;
  return static_cast<double>(word >> 40) / static_cast<double>(1 << 24);
}

bool IsCandidate(const FleetTable& fleet,
                 const TargetHint& hint,
                 const PlacementQuery& query,
                 LengthClass length_class) {
  if (hint.standing != Standing::kUsable || hint.excluded_mark == fleet.mark) {
    return false;
  }
  return hint.memory_total <= 0 ||
         query.max_total_tokens.value() <=
             MaxBookableMemory(hint.memory_total, length_class);
}

// Tokens by which the request exceeds what the target may carry now.
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

// Without the cached prefix.
double CostUs(const TargetHint& hint,
              const PlacementQuery& query,
              LengthClass length_class,
              double excess,
              double load) {
  const double tokens = static_cast<double>(query.prompt.value()) + excess +
                        static_cast<double>(hint.unanswered_tokens);
  const double no_room =
      excess <= 0 ? 0 : (hint.warming_up ? kColdNoRoomUs : kWarmNoRoomUs);
  return hint.expected_wait_us + tokens * hint.prefill_us_per_token +
         load * kFullLoadUs + hint.data_centre_penalty_us + no_room +
         PoolPenaltyUs(hint, length_class);
}

struct Scan {
  PlacementChoice choice{std::nullopt, true};
  double best_us = 0;
  double load_sum = 0;
  int candidates = 0;
};

void Consider(Scan& scan,
              TargetSlot slot,
              const PlacementQuery& query,
              double cost_us) {
  const double cost =
      cost_us * (1 + kJitter * CheapRandom(query.random_bits, slot));
  if (!scan.choice.slot || cost < scan.best_us) {
    scan.choice.slot = slot;
    scan.best_us = cost;
  }
}

void ScanCandidates(FleetTable& fleet,
                    const PlacementQuery& query,
                    LengthClass length_class,
                    Scan& scan) {
  for (const TargetSlot slot : *query.candidates) {
    TargetHint& hint = fleet.hints[slot];
    if (!IsCandidate(fleet, hint, query, length_class)) {
      continue;
    }
    hint.candidate_mark = fleet.mark;
    const double load = LoadOf(hint);
    const double excess = ExcessTokens(hint, query);
    scan.load_sum += load;
    ++scan.candidates;
    scan.choice.all_at_capacity = scan.choice.all_at_capacity && excess > 0;
    Consider(scan, slot, query,
             CostUs(hint, query, length_class, excess, load));
  }
}

// The bound on the load needs the mean of all candidates, so targets with a
// cached prefix are looked at a second time.
void ScanCached(const FleetTable& fleet,
                const PlacementQuery& query,
                LengthClass length_class,
                Scan& scan) {
  const double tokens_per_block =
      static_cast<double>(query.prompt.value()) /
      static_cast<double>(std::max<size_t>(query.prefix_hashes->size(), 1));
  const double mean = scan.load_sum / std::max(scan.candidates, 1);
  const double bound = mean * kAffinityLoadBound + kAffinityLoadSlack;
  for (const TargetSlot slot : fleet.cached) {
    const TargetHint& hint = fleet.hints[slot];
    const double load = LoadOf(hint);
    if (hint.candidate_mark != fleet.mark || load > bound) {
      continue;
    }
    const double cost =
        CostUs(hint, query, length_class, ExcessTokens(hint, query), load);
    const double saved = hint.cached_blocks * tokens_per_block;
    Consider(scan, slot, query, cost - saved * hint.prefill_us_per_token);
  }
}

bool IsLive(const TargetHint& hint) {
  return hint.standing == Standing::kUsable ||
         hint.standing == Standing::kUnheard;
}

}  // namespace

void BeginDecision(FleetTable& fleet) {
  ++fleet.mark;
}

void ExcludeTarget(FleetTable& fleet, TargetSlot slot) {
  fleet.hints[slot].excluded_mark = fleet.mark;
}

PlacementChoice ChooseTarget(FleetTable& fleet, const PlacementQuery& query) {
  MarkCachedBlocks(fleet, *query.prefix_hashes);
  Scan scan;
  ScanCandidates(fleet, query, LengthClassOf(query.prompt), scan);
  ScanCached(fleet, query, LengthClassOf(query.prompt), scan);
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
    if (!IsLive(hint) || hint.excluded_mark == fleet.mark) {
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
