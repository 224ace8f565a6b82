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

constexpr Tokens kFull{800};
constexpr Tokens kCold{100};

WarmupState Warm() {
  WarmupState warmup;
  ResetToColdBudget(warmup, kFull);
  AddCompletedWork(warmup, Tokens(10'000));
  return warmup;
}

EngineLoad Load(uint64_t engine, Duration uptime) {
  EngineLoad load;
  load.engine = EngineIncarnation(engine);
  load.uptime = uptime;
  return load;
}

// Guards against a cold target that gets its full load.
TEST(AgentWarmupTest, CompletedWorkDoublesTheBudget) {
  WarmupState warmup;
  ResetToColdBudget(warmup, kFull);
  EXPECT_EQ(warmup.budget, kCold);
  AddCompletedWork(warmup, Tokens(99));
  EXPECT_EQ(warmup.budget, kCold);
  AddCompletedWork(warmup, Tokens(1));
  EXPECT_EQ(warmup.budget, Tokens(200));
  AddCompletedWork(warmup, Tokens(200 + 400));
  EXPECT_EQ(warmup.budget, kFull);
  AddCompletedWork(warmup, Tokens(5'000));
  EXPECT_EQ(warmup.budget, kFull);
}

// Guards against a budget that grows with the uptime.
TEST(AgentWarmupTest, TimeAloneRaisesNothing) {
  WarmupState warmup;
  ResetToColdBudget(warmup, kFull);
  for (int i = 1; i < 100; ++i) {
    ApplyEngineLoad(warmup, Load(1, hours(i)));
  }
  EXPECT_EQ(warmup.budget, kCold);
}

// Guards against a restarted agent that throttles a warm engine, and against
// work of a short-lived engine that counts as evidence.
TEST(AgentWarmupTest, FirstReportIsEvidence) {
  WarmupState warmup;
  ResetToColdBudget(warmup, kFull);
  EngineLoad load = Load(4, hours(1));
  load.completed = Tokens(300);
  ApplyEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, Tokens(400));
  ResetToColdBudget(warmup, kFull);
  load.uptime = seconds(1);
  ApplyEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kCold);
}

// Guards against load on an engine that has restarted.
TEST(AgentWarmupTest, RestartFallsBack) {
  WarmupState warmup = Warm();
  ApplyEngineLoad(warmup, Load(1, seconds(50)));
  ApplyEngineLoad(warmup, Load(1, seconds(60)));
  EXPECT_EQ(warmup.budget, kFull);
  ApplyEngineLoad(warmup, Load(2, seconds(60)));
  EXPECT_EQ(warmup.budget, kCold);
  warmup = Warm();
  ApplyEngineLoad(warmup, Load(1, seconds(60)));
  ApplyEngineLoad(warmup, Load(1, seconds(5)));
  EXPECT_EQ(warmup.budget, kCold);
}

// Guards against load on an engine that has lost its cache, and against a fall
// because of a small change.
TEST(AgentWarmupTest, CollapseOfTheHitRateFallsBack) {
  WarmupState warmup = Warm();
  EngineLoad load = Load(1, seconds(50));
  ApplyEngineLoad(warmup, load);
  for (int i = 0; i < 5; ++i) {
    load.prefix_lookups += 200;
    load.prefix_hits += 160;
    ApplyEngineLoad(warmup, load);
  }
  load.prefix_lookups += 200;
  load.prefix_hits += 120;
  ApplyEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kFull);
  load.prefix_lookups += 200;
  load.prefix_hits += 5;
  ApplyEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kCold);
}

// Guards against a late report of the engine's former run that hides the new
// one.
TEST(AgentWarmupTest, LateReportIsIgnored) {
  WarmupState warmup = Warm();
  ApplyEngineLoad(warmup, Load(2, seconds(5)));
  warmup.budget = kFull;
  ApplyEngineLoad(warmup, Load(1, seconds(1)));
  EXPECT_EQ(warmup.budget, kFull);
}

// Runs one stream that takes `time`, with 4,000 + 100 tokens at this engine and
// `remote` prompt tokens at another one of its gang; returns the budget after
// it.
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
// and against a fall because of a stream that was only a little slow.
TEST(AgentWarmupTest, SlowStreamFallsBack) {
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
  // Expected are 80 ms for the prompt and 1 s for the output.
  EXPECT_EQ(BudgetAfterStream(*node.core, 100, now, milliseconds(2'500)),
            Tokens(50'000));
}

// Guards against a leader of a gang that is taken for cold because it computes
// the whole prompt, while only its own part was expected of it.
TEST(AgentWarmupTest, LeaderOfAGangIsNotSlow) {
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
  // Expected are 4.08 s for the prompt and 1 s for the output.
  EXPECT_EQ(
      BudgetAfterStream(*node.core, 100, now, seconds(6), Tokens(200'000)),
      Tokens(100'000));
}

// Guards against calls above what a cold service can carry.
TEST(AgentWarmupTest, ColdServiceGetsFewCalls) {
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
