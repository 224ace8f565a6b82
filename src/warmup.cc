#include "src/warmup.h"

#include <algorithm>

namespace burdockhatch {

namespace {

// Fixed part of ColdServiceTimeLimit(). A stream shorter than this may be slow
// for reasons other than a cold engine.
constexpr Duration kSlowStreamAllowance = std::chrono::milliseconds(250);
// Multiple of a warm engine's service time in ColdServiceTimeLimit().
constexpr int kSlowFactor = 2;

// Hit rates below this are too low for a drop to indicate a lost cache.
constexpr double kMinHitRate = 0.2;
constexpr double kHitRateCollapseFactor = 0.25;
constexpr double kHitRateSmoothing = 0.5;

Tokens ColdBudget(Tokens full_budget) {
  const auto share =
      static_cast<double>(full_budget.value()) * kColdBudgetShare;
  return std::max(Tokens(1), Tokens(static_cast<int64_t>(share)));
}

bool HasRestarted(const WarmupState& warmup, const EngineLoad& load) {
  return load.engine > warmup.engine || load.uptime < warmup.uptime;
}

void StartHitRateWindow(WarmupState& warmup, const EngineLoad& load) {
  warmup.window_start_lookups = load.prefix_lookups;
  warmup.window_start_hits = load.prefix_hits;
}

// Returns whether the hit rate of the window that just ended collapsed, i.e.
// fell below kHitRateCollapseFactor of the smoothed rate.
bool UpdateHitRate(WarmupState& warmup, const EngineLoad& load) {
  if (load.prefix_lookups < warmup.window_start_lookups ||
      load.prefix_hits < warmup.window_start_hits) {
    StartHitRateWindow(warmup, load);
    return false;
  }
  const uint64_t lookups = load.prefix_lookups - warmup.window_start_lookups;
  if (lookups < kHitRateWindowLookups) {
    return false;
  }
  const double rate =
      static_cast<double>(load.prefix_hits - warmup.window_start_hits) /
      static_cast<double>(lookups);
  StartHitRateWindow(warmup, load);
  const bool collapsed = warmup.hit_rate >= kMinHitRate &&
                         rate < warmup.hit_rate * kHitRateCollapseFactor;
  warmup.hit_rate = collapsed ? rate
                              : warmup.hit_rate * (1 - kHitRateSmoothing) +
                                    rate * kHitRateSmoothing;
  return collapsed;
}

// Raises the budget for the work that the engine completed before this agent
// started, unless the engine itself started recently.
void ApplyFirstReport(WarmupState& warmup, const EngineLoad& load) {
  warmup.first_report_read = true;
  if (load.uptime >= kMinWarmUptime) {
    RaiseBudgetForWork(warmup, load.completed);
  }
  warmup.hit_rate = 0;
  StartHitRateWindow(warmup, load);
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

void RaiseBudgetForWork(WarmupState& warmup, Tokens completed) {
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
  warmup.window_start_lookups = 0;
  warmup.window_start_hits = 0;
  warmup.first_report_read = true;
}

void DiscardRaiseProgress(WarmupState& warmup) {
  warmup.completed_since_raise = Tokens(0);
}

void ApplyEngineLoad(WarmupState& warmup, const EngineLoad& load) {
  if (load.engine < warmup.engine) {
    return;  // A delayed report of an earlier incarnation.
  }
  const bool known = warmup.engine.value() > 0;
  const bool restarted = known && HasRestarted(warmup, load);
  if (restarted) {
    HandleEngineRestart(warmup, load.engine);
  }
  warmup.engine = load.engine;
  warmup.uptime = load.uptime;
  if (restarted) {
    StartHitRateWindow(warmup, load);
    return;
  }
  if (!warmup.first_report_read) {
    ApplyFirstReport(warmup, load);
    return;
  }
  if (UpdateHitRate(warmup, load)) {
    FallBackToColdBudget(warmup);
  }
}

Duration ColdServiceTimeLimit(Duration expected) {
  return kSlowFactor * expected + kSlowStreamAllowance;
}

}  // namespace burdockhatch
