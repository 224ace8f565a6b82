#include <gtest/gtest.h>

#include "src/booking.h"
#include "tests/agent_invariants.h"
#include "tests/agent_world.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentFaultsTest : public testing::TestWithParam<uint64_t> {
 protected:
  AgentFaultsTest() : world_(GetParam()) {}

  Tokens RandomPrompt() {
    static constexpr int64_t kSizes[] = {1'000,  3'000,  12'000,
                                         30'000, 80'000, 150'000};
    return Tokens(kSizes[world_.random().Below(6)]);
  }

  void OfferCompletions(WorldNode& node, int count, Duration time) {
    for (int i = 0; i < count; ++i) {
      const auto left = milliseconds(500 + world_.random().Below(8'000));
      const Tokens output(20 +
                          static_cast<int64_t>(world_.random().Below(400)));
      world_.SendOffer(node, world_.Completion(RandomPrompt(), output, left));
      world_.Run(time / count);
    }
  }

  void OfferCalls(int count, int keys, Duration time) {
    for (int i = 0; i < count; ++i) {
      WorldNode& node =
          *world_.nodes[world_.random().Below(world_.nodes.size())];
      const std::string key =
          "key-" + std::to_string(world_.random().Below(keys));
      const auto left = milliseconds(300 + world_.random().Below(4'000));
      world_.SendOffer(node, world_.KeyedCall(key, left));
      world_.Run(time / count);
    }
  }

  AgentWorld world_;
};

// Guards against leaked or doubly freed memory, double dispatch and missing
// ends when answers of the engine are lost.
TEST_P(AgentFaultsTest, LostEngineAnswers) {
  WorldNode& node = world_.AddEngineAgent("agent-1");
  world_.Run(seconds(1));
  world_.faults.start_lost = 0.05;
  world_.faults.start_answer_lost = 0.1;
  world_.faults.start_late = 0.05;
  world_.faults.start_refused = 0.05;
  world_.faults.start_not_sent = 0.05;
  world_.faults.cancel_lost = 0.4;
  world_.faults.list_lost = 0.2;
  world_.faults.stream_hangs = 0.1;
  world_.faults.end_lost = 0.05;
  world_.faults.duplicate_offer = 0.3;
  OfferCompletions(node, 200, seconds(20));
  world_.faults = {};
  world_.Run(seconds(60));
  CheckAll(world_);
  EXPECT_GT(world_.executions.size(), 50u);
}

// Guards against an engine that is given more than its memory when the answers
// to starts are lost or late and its agent restarts.
TEST_P(AgentFaultsTest, MemoryPressure) {
  WorldNode& node = world_.AddEngineAgent("agent-1");
  node.options.memory = Tokens(30'000);
  node.options.full_budget = Tokens(400'000);
  world_.Reconfigure(node);
  world_.Run(seconds(1));
  world_.faults.start_answer_lost = 0.15;
  world_.faults.start_late = 0.15;
  world_.faults.cancel_lost = 0.5;
  world_.faults.stream_hangs = 0.3;
  for (int i = 0; i < 300; ++i) {
    const Tokens prompt(1'000 +
                        static_cast<int64_t>(world_.random().Below(3'000)));
    world_.SendOffer(node, world_.Completion(prompt, Tokens(200), seconds(3)));
    world_.Run(milliseconds(40));
    if (i % 100 == 99) {
      world_.RestartAgent(node);
    }
  }
  world_.faults = {};
  world_.Run(seconds(60));
  CheckAll(world_);
}

// Guards against caches of gang members that are leaked or freed too early when
// the entry, the agent or the engine's answers are lost.
TEST_P(AgentFaultsTest, HoldsOfGangs) {
  WorldNode& node = world_.AddEngineAgent("agent-1");
  world_.Run(seconds(1));
  world_.faults.start_lost = 0.1;
  world_.faults.start_answer_lost = 0.1;
  world_.faults.cancel_lost = 0.4;
  world_.faults.list_lost = 0.2;
  for (uint64_t i = 0; i < 60; ++i) {
    const AttemptId attempt{{2, 1 + world_.random().Below(30)},
                            AttemptNumber(1)};
    const Tokens tokens(20'000 *
                        static_cast<int64_t>(1 + attempt.request.low % 4));
    world_.Send(node, Hold{attempt, tokens,
                           milliseconds(500 + world_.random().Below(4'000))});
    world_.Run(milliseconds(100 + world_.random().Below(400)));
    EXPECT_LE(GangMemory(node.core->tables()), GangLimit(node.core->tables()));
    if (world_.random().Below(3) == 0) {
      world_.Send(node, HoldRelease{attempt});
    }
    if (i == 30) {
      world_.RestartAgent(node);
    }
  }
  world_.faults = {};
  world_.Run(seconds(60));
  CheckAll(world_);
  EXPECT_TRUE(node.engine.caches.empty());
}

// Guards against a new run of the agent that forgets what the engine holds,
// dispatches a late copy again or accepts work before it knows.
TEST_P(AgentFaultsTest, AgentAndEngineRestarts) {
  WorldNode& node = world_.AddEngineAgent("agent-1");
  world_.Run(seconds(1));
  world_.faults.start_answer_lost = 0.05;
  world_.faults.cancel_lost = 0.3;
  world_.faults.list_lost = 0.2;
  world_.faults.stream_hangs = 0.1;
  world_.faults.duplicate_offer = 0.5;
  for (int i = 0; i < 8; ++i) {
    OfferCompletions(node, 20, seconds(2));
    if (world_.random().Below(2) == 0) {
      world_.RestartAgent(node);
    } else {
      world_.RestartEngine(node);
    }
  }
  world_.faults = {};
  world_.Run(seconds(60));
  CheckAll(world_);
}

// Guards against work that is dispatched after its deadline, or twice, by an
// agent that was paused for longer than every deadline and tombstone.
TEST_P(AgentFaultsTest, PausesLongerThanEveryDeadline) {
  WorldNode& engine = world_.AddEngineAgent("agent-1");
  WorldNode& service = world_.AddServiceAgent("agent-2");
  world_.Run(seconds(1));
  world_.faults.duplicate_offer = 0.5;
  for (int i = 0; i < 4; ++i) {
    OfferCompletions(engine, 10, seconds(1));
    world_.SendOffer(service,
                     world_.KeyedCall("k" + std::to_string(i), seconds(2)));
    world_.Pause(engine);
    world_.Pause(service);
    OfferCompletions(engine, 10, seconds(1));
    world_.SendOffer(service,
                     world_.KeyedCall("p" + std::to_string(i), seconds(2)));
    world_.Run(seconds(45));
    world_.Unpause(engine);
    world_.Unpause(service);
    world_.Run(seconds(1));
  }
  world_.faults = {};
  world_.Run(seconds(60));
  CheckAll(world_, seconds(47));
}

// Guards against a key that runs twice when agents compete for its shard and
// answers of the object API are lost, late or refused.
TEST_P(AgentFaultsTest, KeysWithObjectFaults) {
  for (const char* name : {"agent-1", "agent-2", "agent-3"}) {
    world_.AddServiceAgent(name);
  }
  world_.Run(seconds(1));
  world_.faults.object_lost = 0.1;
  world_.faults.object_answer_lost = 0.15;
  world_.faults.object_late = 0.15;
  world_.faults.object_throttled = 0.1;
  world_.faults.call_lost = 0.1;
  world_.faults.call_slow = 0.1;
  world_.faults.call_not_sent = 0.1;
  world_.faults.duplicate_offer = 0.3;
  OfferCalls(400, 60, seconds(40));
  world_.faults = {};
  world_.Run(seconds(40));
  CheckAll(world_);
  EXPECT_GT(world_.key_executions.size(), 20u);
}

// Guards against a key that runs twice when agents restart or pause between
// the claim and the dispatch.
TEST_P(AgentFaultsTest, KeysWithRestartsAndPauses) {
  for (const char* name : {"agent-1", "agent-2"}) {
    world_.AddServiceAgent(name);
  }
  world_.Run(seconds(1));
  world_.faults.object_answer_lost = 0.1;
  world_.faults.object_late = 0.1;
  world_.faults.call_lost = 0.1;
  world_.faults.duplicate_offer = 0.3;
  for (int i = 0; i < 20; ++i) {
    OfferCalls(20, 40, seconds(1));
    WorldNode& node = *world_.nodes[world_.random().Below(2)];
    if (world_.random().Below(2) == 0) {
      world_.RestartAgent(node);
    } else {
      world_.Pause(node);
      OfferCalls(5, 40, seconds(6));
      world_.Unpause(node);
    }
  }
  world_.faults = {};
  world_.Run(seconds(40));
  CheckAll(world_, seconds(7));
}

// Guards against an outage of the object API that stops calls without a key or
// makes a keyed call run, and against a false not_run.
TEST_P(AgentFaultsTest, ObjectApiOutage) {
  WorldNode& node = world_.AddServiceAgent("agent-1");
  world_.Run(seconds(1));
  world_.faults.outage = true;
  const AttemptId keyed =
      world_.SendOffer(node, world_.KeyedCall("k", seconds(3)));
  Offer plain = world_.KeyedCall("", seconds(3));
  plain.key.reset();
  const AttemptId unkeyed = world_.SendOffer(node, plain);
  world_.Run(seconds(4));
  ASSERT_EQ(world_.offers[keyed].finishes.size(), 1u);
  EXPECT_EQ(world_.offers[keyed].finishes[0].second.failure.outcome,
            Outcome::kNotRun);
  EXPECT_EQ(world_.executions.count(keyed), 0u);
  EXPECT_EQ(world_.executions[unkeyed], 1);
  world_.faults.outage = false;
  world_.Run(seconds(5));
  const AttemptId retry =
      world_.SendOffer(node, world_.KeyedCall("k", seconds(3)));
  world_.Run(seconds(4));
  EXPECT_EQ(world_.executions[retry], 1);
  CheckAll(world_);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         AgentFaultsTest,
                         testing::Range<uint64_t>(1, 21));

}  // namespace
}  // namespace burdockhatch
