#include "src/placement.h"

#include <algorithm>

#include "src/affinity.h"
#include "src/fleet_table.h"
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
constexpr double kFullLoadUs = 50'000;

// A target without room is chosen only if every other is without room as well:
// a cold target must not attract work because it is idle.
constexpr double kNoRoomUs = 5'000'000;

// Random factor on the cost. Entries see the same reports; without it they
// would all choose the same target until the next report.
constexpr double kJitter = 0.2;

// Stands in for the budget of targets that report none.
constexpr double kUnreportedBudget = 1e6;

double BudgetOf(const TargetHint& hint) {
  return hint.warm_budget > 0 ? static_cast<double>(hint.warm_budget)
                              : kUnreportedBudget;
}

double LoadOf(const TargetHint& hint) {
  return static_cast<double>(EstimatedTokens(hint)) / BudgetOf(hint);
}

// In [0, 1).
double CheapRandom(uint64_t draw, TargetSlot slot) {
  uint64_t word = draw ^ (slot * 0x9e3779b97f4a7c15ULL);
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
         query.total.value() <= MemoryShare(hint.memory_total, length_class);
}

// Tokens by which the request exceeds what the target may carry now.
double ExcessTokens(const TargetHint& hint, const PlacementQuery& query) {
  const double total = static_cast<double>(query.total.value());
  double excess = 0;
  if (hint.warm_budget > 0) {
    excess = static_cast<double>(EstimatedTokens(hint)) + total -
             static_cast<double>(hint.warm_budget);
  }
  if (hint.memory_total > 0) {
    const double free =
        static_cast<double>(hint.memory_free - hint.unanswered_tokens);
    excess = std::max(excess, total - free);
  }
  return std::max(excess, 0.0);
}

double CachedTokens(const FleetTable& fleet,
                    const TargetHint& hint,
                    const PlacementQuery& query,
                    double load_bound) {
  if (hint.affinity_mark != fleet.mark || LoadOf(hint) > load_bound) {
    return 0;
  }
  const double share = static_cast<double>(hint.cached_blocks) /
                       static_cast<double>(query.prefix_hashes->size());
  return share * static_cast<double>(query.prompt.value());
}

double CostUs(const FleetTable& fleet,
              const TargetHint& hint,
              const PlacementQuery& query,
              double load_bound,
              double excess) {
  const double prompt = static_cast<double>(query.prompt.value());
  const double tokens = prompt + excess +
                        static_cast<double>(hint.unanswered_tokens) -
                        CachedTokens(fleet, hint, query, load_bound);
  const double no_room = excess > 0 ? kNoRoomUs : 0;
  return hint.wait_us + tokens * hint.us_per_token +
         LoadOf(hint) * kFullLoadUs + hint.distance_us + no_room;
}

double LoadBound(const FleetTable& fleet,
                 const PlacementQuery& query,
                 LengthClass length_class) {
  double sum = 0;
  int count = 0;
  for (const TargetSlot slot : *query.candidates) {
    const TargetHint& hint = fleet.hints[slot];
    if (IsCandidate(fleet, hint, query, length_class)) {
      sum += LoadOf(hint);
      ++count;
    }
  }
  const double mean = count > 0 ? sum / count : 0;
  return mean * kAffinityLoadBound + kAffinityLoadSlack;
}

bool IsLive(const TargetHint& hint) {
  return hint.standing == Standing::kUsable ||
         hint.standing == Standing::kUnheard;
}

}  // namespace

void BeginDecision(FleetTable& fleet) {
  ++fleet.mark;
}

void Exclude(FleetTable& fleet, TargetSlot slot) {
  fleet.hints[slot].excluded_mark = fleet.mark;
}

PlacementChoice ChooseTarget(FleetTable& fleet, const PlacementQuery& query) {
  const LengthClass length_class = LengthClassOf(query.prompt);
  MarkCachedBlocks(fleet, *query.prefix_hashes);
  const double load_bound = LoadBound(fleet, query, length_class);
  PlacementChoice choice{std::nullopt, true};
  double best = 0;
  for (const TargetSlot slot : *query.candidates) {
    const TargetHint& hint = fleet.hints[slot];
    if (!IsCandidate(fleet, hint, query, length_class)) {
      continue;
    }
    const double excess = ExcessTokens(hint, query);
    choice.all_full = choice.all_full && excess > 0;
    const double cost = CostUs(fleet, hint, query, load_bound, excess) *
                        (1 + kJitter * CheapRandom(query.draw, slot));
    if (!choice.slot || cost < best) {
      choice.slot = slot;
      best = cost;
    }
  }
  return choice;
}

std::optional<TargetSlot> ChooseForKey(
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

int64_t MemoryShare(int64_t memory_total, LengthClass length_class) {
  return length_class == LengthClass::kHuge ? memory_total / kHugeMemoryDivisor
                                            : memory_total;
}

const std::vector<TargetSlot>* CandidatesOf(const FleetTable& fleet,
                                            const RequestSpec& spec) {
  if (spec.kind == WorkKind::kCompletion) {
    const auto it = fleet.by_model.find(spec.model);
    return it == fleet.by_model.end() ? nullptr : &it->second;
  }
  const auto it = fleet.by_service.find(spec.service);
  return it == fleet.by_service.end() ? nullptr : &it->second;
}

}  // namespace burdockhatch
