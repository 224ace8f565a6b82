#include "src/warmup.h"

#include <algorithm>

namespace burdockhatch {

namespace {

// A stream shorter than this is slow for reasons other than a cold engine.
constexpr Duration kSlowAllowance = std::chrono::milliseconds(250);
constexpr int kSlowFactor = 2;

// A hit rate below this is too low to collapse.
constexpr double kMinHitRate = 0.2;
constexpr double kCollapseFactor = 0.25;
constexpr double kHitRateSmoothing = 0.5;

Tokens ColdBudget(Tokens full_budget) {
  const auto share = static_cast<double>(full_budget.value()) * kColdShare;
  return std::max(Tokens(1), Tokens(static_cast<int64_t>(share)));
}

bool HasRestarted(const WarmupState& warmup, const EngineLoad& load) {
  return load.engine > warmup.engine || load.uptime < warmup.uptime;
}

void StartHitWindow(WarmupState& warmup, const EngineLoad& load) {
  warmup.lookups = load.prefix_lookups;
  warmup.hits = load.prefix_hits;
}

// Returns whether the hit rate of the last window collapsed.
bool UpdateHitRate(WarmupState& warmup, const EngineLoad& load) {
  if (load.prefix_lookups < warmup.lookups || load.prefix_hits < warmup.hits) {
    StartHitWindow(warmup, load);
    return false;
  }
  const uint64_t lookups = load.prefix_lookups - warmup.lookups;
  if (lookups < kHitRateWindow) {
    return false;
  }
  const double rate = static_cast<double>(load.prefix_hits - warmup.hits) /
                      static_cast<double>(lookups);
  StartHitWindow(warmup, load);
  const bool collapsed = warmup.hit_rate >= kMinHitRate &&
                         rate < warmup.hit_rate * kCollapseFactor;
  warmup.hit_rate = collapsed ? rate
                              : warmup.hit_rate * (1 - kHitRateSmoothing) +
                                    rate * kHitRateSmoothing;
  return collapsed;
}

// Grants the budget that the work completed so far would have earned.
void TakeEvidence(WarmupState& warmup, const EngineLoad& load) {
  warmup.evidence_taken = true;
  if (load.uptime >= kMinWarmUptime) {
    AddCompletedWork(warmup, load.completed);
  }
  warmup.hit_rate = 0;
  StartHitWindow(warmup, load);
}

}  // namespace

void ResetToColdBudget(WarmupState& warmup, Tokens full_budget) {
  warmup = WarmupState{};
  warmup.full_budget = full_budget;
  warmup.budget = ColdBudget(full_budget);
}

void FallBackToColdBudget(WarmupState& warmup) {
  warmup.budget = ColdBudget(warmup.full_budget);
  warmup.completed_since_raise = Tokens(0);
  ++warmup.fallback_count;
}

void AddCompletedWork(WarmupState& warmup, Tokens completed) {
  warmup.completed_since_raise += completed;
  while (warmup.budget < warmup.full_budget &&
         warmup.completed_since_raise >= warmup.budget) {
    warmup.completed_since_raise -= warmup.budget;
    warmup.budget = std::min(warmup.full_budget, warmup.budget * 2);
  }
}

void HandleEngineRestart(WarmupState& warmup, EngineIncarnation engine) {
  FallBackToColdBudget(warmup);
  warmup.engine = engine;
  warmup.uptime = Duration(0);
  warmup.hit_rate = 0;
  warmup.lookups = 0;
  warmup.hits = 0;
  warmup.evidence_taken = true;
}

void DiscardRaiseProgress(WarmupState& warmup) {
  warmup.completed_since_raise = Tokens(0);
}

void ApplyEngineLoad(WarmupState& warmup, const EngineLoad& load) {
  if (load.engine < warmup.engine) {
    return;  // A late report of an earlier run.
  }
  const bool known = warmup.engine.value() > 0;
  const bool restarted = known && HasRestarted(warmup, load);
  if (restarted) {
    HandleEngineRestart(warmup, load.engine);
  }
  warmup.engine = load.engine;
  warmup.uptime = load.uptime;
  if (restarted) {
    StartHitWindow(warmup, load);
    return;
  }
  if (!warmup.evidence_taken) {
    TakeEvidence(warmup, load);
    return;
  }
  if (UpdateHitRate(warmup, load)) {
    FallBackToColdBudget(warmup);
  }
}

Duration SlowLimit(Duration expected) {
  return kSlowFactor * expected + kSlowAllowance;
}

}  // namespace burdockhatch
