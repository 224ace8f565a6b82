#include "src/warmup.h"

#include <gtest/gtest.h>

#include "src/agent_core.h"
#include "tests/agent_invariants.h"
#include "tests/agent_world.h"

namespace burdockhatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Tokens kFull{800};
constexpr Tokens kCold{100};

WarmupState Warm() {
  WarmupState warmup;
  StartCold(warmup, kFull);
  NoteCompleted(warmup, Tokens(10'000));
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
  StartCold(warmup, kFull);
  EXPECT_EQ(warmup.budget, kCold);
  NoteCompleted(warmup, Tokens(99));
  EXPECT_EQ(warmup.budget, kCold);
  NoteCompleted(warmup, Tokens(1));
  EXPECT_EQ(warmup.budget, Tokens(200));
  NoteCompleted(warmup, Tokens(200 + 400));
  EXPECT_EQ(warmup.budget, kFull);
  NoteCompleted(warmup, Tokens(5'000));
  EXPECT_EQ(warmup.budget, kFull);
}

// Guards against a budget that grows with the uptime.
TEST(AgentWarmupTest, TimeAloneRaisesNothing) {
  WarmupState warmup;
  StartCold(warmup, kFull);
  for (int i = 1; i < 100; ++i) {
    ReadEngineLoad(warmup, Load(1, hours(i)));
  }
  EXPECT_EQ(warmup.budget, kCold);
}

// Guards against a restarted agent that throttles a warm engine, and against
// work of a short-lived engine that counts as evidence.
TEST(AgentWarmupTest, FirstReportIsEvidence) {
  WarmupState warmup;
  StartCold(warmup, kFull);
  EngineLoad load = Load(4, hours(1));
  load.completed = Tokens(300);
  ReadEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, Tokens(400));
  StartCold(warmup, kFull);
  load.uptime = seconds(1);
  ReadEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kCold);
}

// Guards against load on an engine that has restarted.
TEST(AgentWarmupTest, RestartFallsBack) {
  WarmupState warmup = Warm();
  ReadEngineLoad(warmup, Load(1, seconds(50)));
  ReadEngineLoad(warmup, Load(1, seconds(60)));
  EXPECT_EQ(warmup.budget, kFull);
  ReadEngineLoad(warmup, Load(2, seconds(60)));
  EXPECT_EQ(warmup.budget, kCold);
  warmup = Warm();
  ReadEngineLoad(warmup, Load(1, seconds(60)));
  ReadEngineLoad(warmup, Load(1, seconds(5)));
  EXPECT_EQ(warmup.budget, kCold);
}

// Guards against load on an engine that has lost its cache, and against a fall
// because of a small change.
TEST(AgentWarmupTest, CollapseOfTheHitRateFallsBack) {
  WarmupState warmup = Warm();
  EngineLoad load = Load(1, seconds(50));
  ReadEngineLoad(warmup, load);
  for (int i = 0; i < 5; ++i) {
    load.prefix_lookups += 200;
    load.prefix_hits += 160;
    ReadEngineLoad(warmup, load);
  }
  load.prefix_lookups += 200;
  load.prefix_hits += 120;
  ReadEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kFull);
  load.prefix_lookups += 200;
  load.prefix_hits += 5;
  ReadEngineLoad(warmup, load);
  EXPECT_EQ(warmup.budget, kCold);
}

// Guards against a late report of the engine's former run that hides the new
// one.
TEST(AgentWarmupTest, LateReportIsIgnored) {
  WarmupState warmup = Warm();
  ReadEngineLoad(warmup, Load(2, seconds(5)));
  warmup.budget = kFull;
  ReadEngineLoad(warmup, Load(1, seconds(1)));
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
  AgentWorld world(1);
  WorldNode& node = world.AddEngineAgent("agent-1");
  node.options.time_per_token = milliseconds(10);
  world.Reconfigure(node);
  world.Run(milliseconds(100));
  Time now = world.now();
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
  AgentWorld world(1);
  WorldNode& node = world.AddEngineAgent("agent-1");
  node.options.time_per_token = milliseconds(10);
  world.Reconfigure(node);
  world.Run(milliseconds(100));
  Time now = world.now();
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
  AgentWorld world(1);
  WorldNode& node = world.AddServiceAgent("agent-1");
  world.Run(milliseconds(50));
  world.faults.call_slow = 1;
  for (int i = 0; i < 30; ++i) {
    Offer call = world.KeyedCall("", seconds(10));
    call.key.reset();
    world.SendOffer(node, call);
  }
  world.Run(milliseconds(50));
  EXPECT_EQ(node.core->tables().calls.size(), 8u);
  world.Run(seconds(20));
  CheckAll(world);
}

}  // namespace
}  // namespace burdockhatch
