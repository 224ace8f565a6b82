// The warm-up budget: the number of tokens (calls, for a plain service) in
// flight that the target may carry. Only completed work raises it; any sign
// that the target is cold resets it at once.
#ifndef SRC_WARMUP_H_
#define SRC_WARMUP_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Share of the full budget that a cold target gets.
inline constexpr double kColdBudgetShare = 0.125;

// If the first load report shows a shorter uptime, the engine is considered
// cold.
inline constexpr Duration kMinWarmUptime = std::chrono::seconds(30);

// Number of prefix cache lookups per window of the hit rate.
inline constexpr uint64_t kHitRateWindowLookups = 100;

// Resets all warm-up state and sets the cold budget of a target whose full
// budget is `full_budget`.
void ResetToColdBudget(WarmupState& warmup, Tokens full_budget);

// Sets the cold budget after a sign that the target is cold.
void FallBackToColdBudget(WarmupState& warmup);

// Counts completed work. The budget doubles, up to the full budget, each time
// as much work as the current budget has been completed.
void RaiseBudgetForWork(WarmupState& warmup, Tokens completed);

// Sets the cold budget because a new incarnation of the engine was seen.
void HandleEngineRestart(WarmupState& warmup, EngineIncarnation engine);

// Handles a sign of overload: work completed so far no longer counts towards a
// raise.
void DiscardRaiseProgress(WarmupState& warmup);

// Applies a load report of the engine. The first report may show that the
// engine is warm; later ones may show that it has become cold.
void ApplyEngineLoad(WarmupState& warmup, const EngineLoad& load);

// Returns the service time above which the target counts as cold. `expected` is
// the time that a warm engine needs for the same work.
Duration ColdServiceTimeLimit(Duration expected);

}  // namespace burdockhatch

#endif  // SRC_WARMUP_H_
