// The warm-up budget: how many tokens in flight the target may carry. Only
// completed work raises it; any sign that the target is cold makes it fall back
// at once.
#ifndef SRC_WARMUP_H_
#define SRC_WARMUP_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Part of the full budget that a cold target gets.
inline constexpr double kColdShare = 0.125;

// An engine that has run for less than this is taken to be cold.
inline constexpr Duration kMinWarmUptime = std::chrono::seconds(30);

// Lookups that make up one window of the cache hit rate.
inline constexpr uint64_t kHitRateWindow = 100;

void ResetToColdBudget(WarmupState& warmup, Tokens full_budget);

// Falls back to the cold budget.
void FallBackToColdBudget(WarmupState& warmup);

// Counts completed work and raises the budget when it is enough.
void AddCompletedWork(WarmupState& warmup, Tokens completed);

// Falls back because a new run of the engine was seen.
void HandleEngineRestart(WarmupState& warmup, EngineIncarnation engine);

// Notes a sign of overload: the work so far does not count towards a raise.
void DiscardRaiseProgress(WarmupState& warmup);

// Reads the engine's report: the first one may show that the engine is warm,
// later ones that it has become cold.
void ApplyEngineLoad(WarmupState& warmup, const EngineLoad& load);

// A service time above this for work expected to take `expected` is a sign of a
// cold target.
Duration SlowLimit(Duration expected);

}  // namespace burdockhatch

#endif  // SRC_WARMUP_H_
