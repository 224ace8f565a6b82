#include "src/warmup.h"

#include <gtest/gtest.h>

#include "src/agent_core.h"
#include "tests/agent_invariants.h"
#include "tests/agent_simulation.h"

namespace burdockhatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Tokens kFullBudget{800};
constexpr Tokens kColdBudget{100};

WarmupState MakeWarmState() {
  WarmupState warmup;
  ResetToColdBudget(warmup, kFullBudget);
  RaiseBudgetForWork(warmup, Tokens(10'000));
  return warmup;
}

EngineLoad MakeLoad(uint64_t engine, Duration uptime) {
  EngineLoad load;
  load.engine = EngineIncarnation(engine);
  load.uptime = uptime;
  return load;
}

// Guards against a cold target that gets full load, and against a budget above
// the full budget.
TEST(AgentWarmupTest, CompletedWorkDoublesTheBudget) {
  WarmupState warmup;
  ResetToColdBudget(warmup, kFullBudget);
  EXPECT_EQ(warmup.budget, kColdBudget);
  RaiseBudgetForWork(warmup, Tokens(99));
  EXPECT_EQ(warmup.budget, kColdBudget);
  RaiseBudgetForWork(warmup, Tokens(1));
  EXPECT_EQ(warmup.budget, Tokens(200));
  RaiseBudgetForWork(warmup, Tokens(200 + 400));
  EXPECT_EQ(warmup.budget, kFullBudget);
  RaiseBudgetForWork(warmup, Tokens(5'000));
  EXPECT_EQ(warmup.budget, kFullBudget);
}

// Guards against a budget that rises with uptime alone.
TEST(AgentWarmupTest, UptimeDoesNotRaiseBudget) {
  WarmupState warmup;
  ResetToColdBudget(warmup, kFullBudget);
  for (int i = 1; i < 100; ++i) {
    ApplyEngineLoad(warmup, MakeLoad(1, hours(i)));
  }
  EXPECT_EQ(warmup.budget, kColdBudget);
}

// Guards against a restarted agent that throttles a warm engine, and against a
// budget raised by the work of an engine with a short uptime.
TEST(AgentWarmupTest, FirstReportRaisesBudgetOfWarmEngine) {
  WarmupState warmup;
  ResetToColdBudget(warmup, kFullBudget);
  EngineLoad load = MakeLoad(4, hours(1));
  load.completed = Tokens(300);
  ApplyEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, Tokens(400));
  ResetToColdBudget(warmup, kFullBudget);
  load.uptime = seconds(1);
  ApplyEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kColdBudget);
}

// Guards against full load on an engine that has restarted, whether its
// incarnation or only its uptime shows it.
TEST(AgentWarmupTest, EngineRestartResetsBudget) {
  WarmupState warmup = MakeWarmState();
  ApplyEngineLoad(warmup, MakeLoad(1, seconds(50)));
  ApplyEngineLoad(warmup, MakeLoad(1, seconds(60)));
  EXPECT_EQ(warmup.budget, kFullBudget);
  ApplyEngineLoad(warmup, MakeLoad(2, seconds(60)));
  EXPECT_EQ(warmup.budget, kColdBudget);
  warmup = MakeWarmState();
  ApplyEngineLoad(warmup, MakeLoad(1, seconds(60)));
  ApplyEngineLoad(warmup, MakeLoad(1, seconds(5)));
  EXPECT_EQ(warmup.budget, kColdBudget);
}

// Guards against full load on an engine that has lost its prefix cache, and
// against a fallback after a small drop of the hit rate.
TEST(AgentWarmupTest, HitRateCollapseResetsBudget) {
  WarmupState warmup = MakeWarmState();
  EngineLoad load = MakeLoad(1, seconds(50));
  ApplyEngineLoad(warmup, load);
  for (int i = 0; i < 5; ++i) {
    load.prefix_lookups += 200;
    load.prefix_hits += 160;
    ApplyEngineLoad(warmup, load);
  }
  load.prefix_lookups += 200;
  load.prefix_hits += 120;
  ApplyEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kFullBudget);
  load.prefix_lookups += 200;
  load.prefix_hits += 5;
  ApplyEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kColdBudget);
}

// Guards against a delayed report of an earlier engine incarnation that
// replaces the state of the current one.
TEST(AgentWarmupTest, DelayedReportIsIgnored) {
  WarmupState warmup = MakeWarmState();
  ApplyEngineLoad(warmup, MakeLoad(2, seconds(5)));
  warmup.budget = kFullBudget;
  ApplyEngineLoad(warmup, MakeLoad(1, seconds(1)));
  EXPECT_EQ(warmup.budget, kFullBudget);
}

// Runs one stream with a service time of `time`, 4,000 prompt and 100 output
// tokens at this engine and `remote` prompt tokens at another engine of its
// gang. Returns the warm-up budget afterwards.
Tokens BudgetAfterStream(AgentCore& core,
                         uint64_t number,
                         Time at,
                         Duration time,
                         Tokens remote = Tokens(0)) {
  Offer offer;
  offer.attempt = {{6, number}, AttemptNumber(1)};
  offer.model = ModelId("findings");
  offer.prompt_tokens = Tokens(4'000) + remote;
  offer.max_output_tokens = Tokens(100);
  offer.time_left = seconds(60);
  if (remote > Tokens(0)) {
    offer.members = {{{InstanceId("agent-2"), Incarnation(1)}, remote}};
  }
  const PeerId entry{InstanceId("entry"), Incarnation(1)};
  core.OnMessage({entry, Incarnation(1), {}, offer}, at);
  const StreamId stream = StreamIdOf(offer.attempt);
  core.OnStreamStarted(stream, StartStatus::kStarted, at);
  core.OnStreamProgress(stream, 10, Tokens(100), at + time);
  core.OnStreamEnded(stream, StreamEnd::kComplete, 10, at + time);
  core.TakeActions();
  return core.State(at + time).warm_budget;
}

// Guards against full load on an engine that has become slow without a restart,
// and against a fallback after a stream that was only slightly slow.
TEST(AgentWarmupTest, SlowStreamResetsBudget) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddEngineAgent("agent-1");
  node.options.time_per_token = milliseconds(10);
  simulation.Reconfigure(node);
  simulation.Run(milliseconds(100));
  Time now = simulation.now();
  Tokens budget;
  for (uint64_t i = 0; i < 30; ++i) {
    budget = BudgetAfterStream(*node.core, i, now, milliseconds(1'500));
    now += milliseconds(1'500);
  }
  EXPECT_EQ(budget, Tokens(100'000));
  // A warm engine needs 80 ms for the prompt and 1 s for the output.
  EXPECT_EQ(BudgetAfterStream(*node.core, 100, now, milliseconds(2'500)),
            Tokens(50'000));
}

// Guards against treating the engine of a gang leader as cold because it
// prefills the whole prompt, when the expected time covers only the leader's
// own part.
TEST(AgentWarmupTest, GangLeaderIsExpectedToPrefillWholePrompt) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddEngineAgent("agent-1");
  node.options.time_per_token = milliseconds(10);
  simulation.Reconfigure(node);
  simulation.Run(milliseconds(100));
  Time now = simulation.now();
  for (uint64_t i = 0; i < 30; ++i) {
    BudgetAfterStream(*node.core, i, now, milliseconds(1'500));
    now += milliseconds(1'500);
  }
  // A warm engine needs 4.08 s for the prompt and 1 s for the output.
  EXPECT_EQ(
      BudgetAfterStream(*node.core, 100, now, seconds(6), Tokens(200'000)),
      Tokens(100'000));
}

// Guards against more concurrent calls than the cold budget of a service
// allows.
TEST(AgentWarmupTest, ColdServiceIsLimitedToColdBudget) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddServiceAgent("agent-1");
  simulation.Run(milliseconds(50));
  simulation.faults.call_slow = 1;
  for (int i = 0; i < 30; ++i) {
    Offer call = simulation.MakeKeyedCallOffer("", seconds(10));
    call.key.reset();
    simulation.SendOffer(node, call);
  }
  simulation.Run(milliseconds(50));
  EXPECT_EQ(node.core->tables().open_calls.size(), 8u);
  simulation.Run(seconds(20));
  CheckAllInvariants(simulation);
}

}  // namespace
}  // namespace burdockhatch
