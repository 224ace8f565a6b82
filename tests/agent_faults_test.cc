#include <gtest/gtest.h>

#include "src/memory_reservations.h"
#include "tests/agent_invariants.h"
#include "tests/agent_simulation.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentFaultsTest : public testing::TestWithParam<uint64_t> {
 protected:
  AgentFaultsTest() : simulation_(GetParam()) {}

  Tokens RandomPrompt() {
    static constexpr int64_t kSizes[] = {1'000,  3'000,  12'000,
                                         30'000, 80'000, 150'000};
    return Tokens(kSizes[simulation_.random().UniformBelow(6)]);
  }

  void SendCompletionOffers(SimulatedNode& node, int count, Duration time) {
    for (int i = 0; i < count; ++i) {
      const auto left =
          milliseconds(500 + simulation_.random().UniformBelow(8'000));
      const Tokens output(
          20 + static_cast<int64_t>(simulation_.random().UniformBelow(400)));
      simulation_.SendOffer(
          node, simulation_.MakeCompletionOffer(RandomPrompt(), output, left));
      simulation_.Run(time / count);
    }
  }

  void SendCallOffers(int count, int keys, Duration time) {
    for (int i = 0; i < count; ++i) {
      SimulatedNode& node =
          *simulation_.nodes[simulation_.random().UniformBelow(
              simulation_.nodes.size())];
      const std::string key =
          "key-" + std::to_string(simulation_.random().UniformBelow(keys));
      const auto left =
          milliseconds(300 + simulation_.random().UniformBelow(4'000));
      simulation_.SendOffer(node, simulation_.MakeKeyedCallOffer(key, left));
      simulation_.Run(time / count);
    }
  }

  AgentSimulation simulation_;
};

// Guards against leaked or doubly freed memory, double dispatch and attempts
// without a Finish when replies of the engine are lost.
TEST_P(AgentFaultsTest, LostEngineAnswers) {
  SimulatedNode& node = simulation_.AddEngineAgent("agent-1");
  simulation_.Run(seconds(1));
  simulation_.faults.start_lost = 0.05;
  simulation_.faults.start_answer_lost = 0.1;
  simulation_.faults.start_late = 0.05;
  simulation_.faults.start_refused = 0.05;
  simulation_.faults.start_not_sent = 0.05;
  simulation_.faults.cancel_lost = 0.4;
  simulation_.faults.list_lost = 0.2;
  simulation_.faults.stream_hangs = 0.1;
  simulation_.faults.end_lost = 0.05;
  simulation_.faults.duplicate_offer = 0.3;
  SendCompletionOffers(node, 200, seconds(20));
  simulation_.faults = {};
  simulation_.Run(seconds(60));
  CheckAllInvariants(simulation_);
  EXPECT_GT(simulation_.executions.size(), 50u);
}

// Guards against starts that exceed the engine's memory when replies to starts
// are lost or late and the agent restarts.
TEST_P(AgentFaultsTest, MemoryPressure) {
  SimulatedNode& node = simulation_.AddEngineAgent("agent-1");
  node.options.memory = Tokens(30'000);
  node.options.full_budget = Tokens(400'000);
  simulation_.Reconfigure(node);
  simulation_.Run(seconds(1));
  simulation_.faults.start_answer_lost = 0.15;
  simulation_.faults.start_late = 0.15;
  simulation_.faults.cancel_lost = 0.5;
  simulation_.faults.stream_hangs = 0.3;
  for (int i = 0; i < 300; ++i) {
    const Tokens prompt(
        1'000 + static_cast<int64_t>(simulation_.random().UniformBelow(3'000)));
    simulation_.SendOffer(
        node, simulation_.MakeCompletionOffer(prompt, Tokens(200), seconds(3)));
    simulation_.Run(milliseconds(40));
    if (i % 100 == 99) {
      simulation_.RestartAgent(node);
    }
  }
  simulation_.faults = {};
  simulation_.Run(seconds(60));
  CheckAllInvariants(simulation_);
}

// Guards against caches of gang members that are leaked or freed too early when
// holds are not released, the agent restarts or replies of the engine are lost.
TEST_P(AgentFaultsTest, HoldsOfGangs) {
  SimulatedNode& node = simulation_.AddEngineAgent("agent-1");
  simulation_.Run(seconds(1));
  simulation_.faults.start_lost = 0.1;
  simulation_.faults.start_answer_lost = 0.1;
  simulation_.faults.cancel_lost = 0.4;
  simulation_.faults.list_lost = 0.2;
  for (uint64_t i = 0; i < 60; ++i) {
    const AttemptId attempt{{2, 1 + simulation_.random().UniformBelow(30)},
                            AttemptNumber(1)};
    const Tokens tokens(20'000 *
                        static_cast<int64_t>(1 + attempt.request.low % 4));
    simulation_.Send(
        node,
        Hold{attempt, tokens,
             milliseconds(500 + simulation_.random().UniformBelow(4'000))});
    simulation_.Run(milliseconds(100 + simulation_.random().UniformBelow(400)));
    EXPECT_LE(ReservedGangMemory(node.core->tables()),
              MaxGangMemory(node.core->tables()));
    if (simulation_.random().UniformBelow(3) == 0) {
      simulation_.Send(node, HoldRelease{attempt});
    }
    if (i == 30) {
      simulation_.RestartAgent(node);
    }
  }
  simulation_.faults = {};
  simulation_.Run(seconds(60));
  CheckAllInvariants(simulation_);
  EXPECT_TRUE(node.engine.caches.empty());
}

// Guards against a restarted agent that does not reserve memory for what the
// engine still holds, dispatches a late duplicate again or accepts work before
// it has the engine's list.
TEST_P(AgentFaultsTest, AgentAndEngineRestarts) {
  SimulatedNode& node = simulation_.AddEngineAgent("agent-1");
  simulation_.Run(seconds(1));
  simulation_.faults.start_answer_lost = 0.05;
  simulation_.faults.cancel_lost = 0.3;
  simulation_.faults.list_lost = 0.2;
  simulation_.faults.stream_hangs = 0.1;
  simulation_.faults.duplicate_offer = 0.5;
  for (int i = 0; i < 8; ++i) {
    SendCompletionOffers(node, 20, seconds(2));
    if (simulation_.random().UniformBelow(2) == 0) {
      simulation_.RestartAgent(node);
    } else {
      simulation_.RestartEngine(node);
    }
  }
  simulation_.faults = {};
  simulation_.Run(seconds(60));
  CheckAllInvariants(simulation_);
}

// Guards against dispatch after the deadline, and double dispatch, by an agent
// that was paused for longer than every deadline and tombstone.
TEST_P(AgentFaultsTest, PausesLongerThanEveryDeadline) {
  SimulatedNode& engine = simulation_.AddEngineAgent("agent-1");
  SimulatedNode& service = simulation_.AddServiceAgent("agent-2");
  simulation_.Run(seconds(1));
  simulation_.faults.duplicate_offer = 0.5;
  for (int i = 0; i < 4; ++i) {
    SendCompletionOffers(engine, 10, seconds(1));
    simulation_.SendOffer(service, simulation_.MakeKeyedCallOffer(
                                       "k" + std::to_string(i), seconds(2)));
    simulation_.Pause(engine);
    simulation_.Pause(service);
    SendCompletionOffers(engine, 10, seconds(1));
    simulation_.SendOffer(service, simulation_.MakeKeyedCallOffer(
                                       "p" + std::to_string(i), seconds(2)));
    simulation_.Run(seconds(45));
    simulation_.Unpause(engine);
    simulation_.Unpause(service);
    simulation_.Run(seconds(1));
  }
  simulation_.faults = {};
  simulation_.Run(seconds(60));
  CheckAllInvariants(simulation_, seconds(47));
}

// Guards against two executions of one key when agents compete for its shard
// and requests to the object API are lost, late or throttled or their replies
// lost.
TEST_P(AgentFaultsTest, KeysWithObjectFaults) {
  for (const char* name : {"agent-1", "agent-2", "agent-3"}) {
    simulation_.AddServiceAgent(name);
  }
  simulation_.Run(seconds(1));
  simulation_.faults.object_lost = 0.1;
  simulation_.faults.object_answer_lost = 0.15;
  simulation_.faults.object_late = 0.15;
  simulation_.faults.object_throttled = 0.1;
  simulation_.faults.call_lost = 0.1;
  simulation_.faults.call_slow = 0.1;
  simulation_.faults.call_not_sent = 0.1;
  simulation_.faults.duplicate_offer = 0.3;
  SendCallOffers(400, 60, seconds(40));
  simulation_.faults = {};
  simulation_.Run(seconds(40));
  CheckAllInvariants(simulation_);
  EXPECT_GT(simulation_.key_executions.size(), 20u);
}

// Guards against two executions of one key when agents restart or pause between
// the claim and the dispatch.
TEST_P(AgentFaultsTest, KeysWithRestartsAndPauses) {
  for (const char* name : {"agent-1", "agent-2"}) {
    simulation_.AddServiceAgent(name);
  }
  simulation_.Run(seconds(1));
  simulation_.faults.object_answer_lost = 0.1;
  simulation_.faults.object_late = 0.1;
  simulation_.faults.call_lost = 0.1;
  simulation_.faults.duplicate_offer = 0.3;
  for (int i = 0; i < 20; ++i) {
    SendCallOffers(20, 40, seconds(1));
    SimulatedNode& node =
        *simulation_.nodes[simulation_.random().UniformBelow(2)];
    if (simulation_.random().UniformBelow(2) == 0) {
      simulation_.RestartAgent(node);
    } else {
      simulation_.Pause(node);
      SendCallOffers(5, 40, seconds(6));
      simulation_.Unpause(node);
    }
  }
  simulation_.faults = {};
  simulation_.Run(seconds(40));
  CheckAllInvariants(simulation_, seconds(7));
}

// Guards against an outage of the object API that blocks calls without a key or
// lets a keyed call run without a claim, and against a wrong not_run outcome.
TEST_P(AgentFaultsTest, ObjectApiOutage) {
  SimulatedNode& node = simulation_.AddServiceAgent("agent-1");
  simulation_.Run(seconds(1));
  simulation_.faults.outage = true;
  const AttemptId keyed = simulation_.SendOffer(
      node, simulation_.MakeKeyedCallOffer("k", seconds(3)));
  Offer plain = simulation_.MakeKeyedCallOffer("", seconds(3));
  plain.key.reset();
  const AttemptId unkeyed = simulation_.SendOffer(node, plain);
  simulation_.Run(seconds(4));
  ASSERT_EQ(simulation_.offers[keyed].finishes.size(), 1u);
  EXPECT_EQ(simulation_.offers[keyed].finishes[0].second.failure.outcome,
            Outcome::kNotRun);
  EXPECT_EQ(simulation_.executions.count(keyed), 0u);
  EXPECT_EQ(simulation_.executions[unkeyed], 1);
  simulation_.faults.outage = false;
  simulation_.Run(seconds(5));
  const AttemptId retry = simulation_.SendOffer(
      node, simulation_.MakeKeyedCallOffer("k", seconds(3)));
  simulation_.Run(seconds(4));
  EXPECT_EQ(simulation_.executions[retry], 1);
  CheckAllInvariants(simulation_);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         AgentFaultsTest,
                         testing::Range<uint64_t>(1, 21));

}  // namespace
}  // namespace burdockhatch
