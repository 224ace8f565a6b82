#include "src/admission.h"

#include <gtest/gtest.h>

#include "src/attempts.h"
#include "src/memory_reservations.h"
#include "src/warmup.h"
#include "tests/agent_invariants.h"
#include "tests/agent_simulation.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentAdmissionTest : public testing::Test {
 protected:
  AgentAdmissionTest()
      : simulation_(3), agent_(simulation_.AddEngineAgent("agent-1")) {
    simulation_.Run(milliseconds(100));
  }

  // Streams of this output last for 2 s.
  static constexpr Tokens kTwoSecondOutput{2'000};

  AttemptId SendCompletionOffer(int64_t prompt,
                                Duration left,
                                Tokens output = Tokens(50)) {
    const AttemptId id = simulation_.SendOffer(
        agent_, simulation_.MakeCompletionOffer(Tokens(prompt), output, left));
    simulation_.Run(AgentSimulation::kTickInterval);
    return id;
  }

  bool IsDispatched(const AttemptId& id) {
    return simulation_.dispatches[id] > 0;
  }

  // Returns the failure that ended the attempt or refused its offer.
  Failure FailureOf(const AttemptId& id) {
    const auto& closed_attempts = agent_.core->tables().closed_attempts;
    auto it = closed_attempts.find(id);
    EXPECT_NE(it, closed_attempts.end());
    return it == closed_attempts.end() ? Failure{} : it->second.result.failure;
  }

  AgentSimulation simulation_;
  SimulatedNode& agent_;
};

// Guards against short requests that wait behind longer ones. The budget of the
// cold target is 50,000 tokens.
TEST_F(AgentAdmissionTest, ShortAttemptIsDispatchedBeforeMedium) {
  SendCompletionOffer(45'000, seconds(30), kTwoSecondOutput);
  const AttemptId medium = SendCompletionOffer(30'000, seconds(30));
  const AttemptId small = SendCompletionOffer(2'500, seconds(30));
  EXPECT_FALSE(IsDispatched(medium));
  EXPECT_TRUE(IsDispatched(small));
}

void AddQueued(AgentTables& tables,
               uint64_t number,
               LengthClass length,
               Time accepted_at) {
  AcceptedAttempt attempt;
  attempt.id = {{1, number}, AttemptNumber(1)};
  attempt.length = length;
  attempt.accepted_at = accepted_at;
  tables.attempts[attempt.id] = attempt;
}

std::vector<uint64_t> RequestsInDispatchOrder(const AgentTables& tables) {
  std::vector<uint64_t> order;
  for (const AttemptId& id : DispatchOrder(tables)) {
    order.push_back(id.request.low);
  }
  return order;
}

// Guards against dispatch in order of arrival alone, which lets short requests
// wait behind longer ones.
TEST(AgentDispatchOrderTest, OrdersByLengthClassThenByArrival) {
  AgentTables tables;
  tables.now = Time(seconds(100));
  AddQueued(tables, 1, LengthClass::kHuge, tables.now - milliseconds(300));
  AddQueued(tables, 2, LengthClass::kMedium, tables.now - milliseconds(200));
  AddQueued(tables, 3, LengthClass::kShort, tables.now);
  AddQueued(tables, 4, LengthClass::kShort, tables.now - milliseconds(100));
  EXPECT_EQ(RequestsInDispatchOrder(tables),
            (std::vector<uint64_t>{4, 3, 2, 1}));
}

// Guards against longer attempts that every later short request overtakes.
TEST(AgentDispatchOrderTest, PriorityRisesWithWaitingTime) {
  AgentTables tables;
  tables.now = Time(seconds(100));
  AddQueued(tables, 1, LengthClass::kHuge, tables.now - 3 * kAgingInterval);
  AddQueued(tables, 2, LengthClass::kMedium, tables.now - kAgingInterval);
  AddQueued(tables, 3, LengthClass::kShort, tables.now);
  AddQueued(tables, 4, LengthClass::kLong, tables.now - kAgingInterval);
  EXPECT_EQ(RequestsInDispatchOrder(tables),
            (std::vector<uint64_t>{1, 2, 3, 4}));
}

// Guards against smaller requests that take the capacity an aged attempt waits
// for, and against an aged attempt that takes the budget of short requests.
TEST(AgentDispatchOrderTest, CapacityIsReservedForBlockedAgedAttempt) {
  AgentTables tables;
  tables.memory_total = Tokens(100'000);
  ResetToColdBudget(tables.warmup, Tokens(80'000));
  tables.warmup.budget = Tokens(40'000);
  AcceptedAttempt running;
  running.id = {{1, 1}, AttemptNumber(1)};
  running.length = LengthClass::kMedium;
  running.load = Tokens(20'000);
  ReserveForStream(tables, running);
  AcceptedAttempt medium = running;
  medium.load = Tokens(6'000);
  EXPECT_TRUE(CanDispatch(tables, medium, {}));
  const ReservedCapacity reserve{Tokens(19'000), Tokens(19'000)};
  EXPECT_FALSE(CanDispatch(tables, medium, reserve));
  AcceptedAttempt small = running;
  small.length = LengthClass::kShort;
  small.load = Tokens(3'000);
  EXPECT_TRUE(CanDispatch(tables, small, reserve));
  small.load = Tokens(11'000);
  EXPECT_FALSE(CanDispatch(tables, small, reserve));
}

// Guards against longer attempts that use the budget reserved for short ones.
TEST_F(AgentAdmissionTest, LongerClassesLeaveBudgetForShortAttempts) {
  for (int i = 0; i < 6; ++i) {
    SendCompletionOffer(10'000, seconds(30), kTwoSecondOutput);
  }
  EXPECT_LE(WorkInFlight(agent_.core->tables()), Tokens(37'500));
  EXPECT_TRUE(IsDispatched(SendCompletionOffer(3'000, seconds(30))));
}

// Guards against a medium attempt that starves under a steady load of short
// ones.
TEST_F(AgentAdmissionTest, MediumAttemptIsDispatchedUnderShortLoad) {
  agent_.options.full_budget = Tokens(80'000);
  simulation_.Reconfigure(agent_);
  simulation_.Run(milliseconds(50));
  agent_.core->TakeActions();
  AttemptId medium;
  for (int i = 0; i < 400; ++i) {
    simulation_.SendOffer(
        agent_, simulation_.MakeCompletionOffer(Tokens(1'500), Tokens(1'500),
                                                seconds(30)));
    if (i == 50) {
      medium = simulation_.SendOffer(
          agent_, simulation_.MakeCompletionOffer(Tokens(6'000), Tokens(50),
                                                  seconds(30)));
    }
    simulation_.Run(milliseconds(20));
  }
  EXPECT_TRUE(IsDispatched(medium));
  simulation_.Run(seconds(30));
  CheckAllInvariants(simulation_);
}

// Guards against a request that is queued although it cannot complete before
// its deadline.
TEST_F(AgentAdmissionTest, RefusesOfferThatCannotMeetItsDeadline) {
  const AttemptId id = SendCompletionOffer(40'000, milliseconds(500));
  EXPECT_EQ(FailureOf(id).code, ErrorCode::kDeadlineTooShort);
  EXPECT_EQ(FailureOf(id).outcome, Outcome::kNotRun);
  const AttemptId late = SendCompletionOffer(100, Duration(0));
  EXPECT_EQ(FailureOf(late).code, ErrorCode::kDeadlineExceeded);
}

// Guards against refusing a prompt as too long for its deadline although most
// of it is in the engine's cache.
TEST_F(AgentAdmissionTest, CachedPrefixReducesMinServiceTime) {
  Offer offer = simulation_.MakeCompletionOffer(Tokens(40'000), Tokens(50),
                                                milliseconds(500));
  for (uint64_t i = 1; i <= 20; ++i) {
    offer.prefix_hashes.push_back(i);
    agent_.core->OnCacheEvents({{i, true, i}}, simulation_.now());
  }
  const AttemptId id = simulation_.SendOffer(agent_, offer);
  simulation_.Run(AgentSimulation::kTickInterval);
  EXPECT_TRUE(IsDispatched(id));
}

// Guards against attempts that wait in the queue longer than kMaxQueueWait
// because only the length of the queue is bounded.
TEST_F(AgentAdmissionTest, QueueWaitIsBounded) {
  SendCompletionOffer(45'000, seconds(60), Tokens(4'500));
  std::vector<AttemptId> queued;
  for (int i = 0; i < 60; ++i) {
    queued.push_back(SendCompletionOffer(3'900, seconds(60), kTwoSecondOutput));
  }
  int refused = 0;
  for (const AttemptId& id : queued) {
    refused += simulation_.offers[id].refusals;
  }
  EXPECT_GT(refused, 0);
  simulation_.Run(kMaxQueueWait[0] + AgentSimulation::kTickInterval);
  for (const auto& [id, attempt] : agent_.core->tables().attempts) {
    EXPECT_NE(attempt.phase, AttemptPhase::kQueued);
  }
  for (const AttemptId& id : queued) {
    if (!IsDispatched(id)) {
      EXPECT_EQ(FailureOf(id).code, ErrorCode::kOverloaded);
      EXPECT_GT(FailureOf(id).retry_after, Duration(0));
    }
  }
  simulation_.Run(seconds(60));
  CheckAllInvariants(simulation_);
}

// Guards against huge prompts and gang holds that fill the engine's memory.
TEST_F(AgentAdmissionTest, HugePromptsUseAtMostHalfOfTheMemory) {
  agent_.options.full_budget = Tokens(4'000'000);
  simulation_.Reconfigure(agent_);
  simulation_.Run(milliseconds(50));
  const AttemptId first =
      SendCompletionOffer(200'000, seconds(60), kTwoSecondOutput);
  const AttemptId second =
      SendCompletionOffer(200'000, seconds(60), kTwoSecondOutput);
  const AttemptId medium = SendCompletionOffer(20'000, seconds(60));
  EXPECT_TRUE(IsDispatched(first));
  EXPECT_FALSE(IsDispatched(second));
  EXPECT_TRUE(IsDispatched(medium));
  const AttemptId oversized = SendCompletionOffer(300'000, seconds(60));
  EXPECT_EQ(FailureOf(oversized).code, ErrorCode::kPromptTooLong);
  simulation_.Run(seconds(70));
  CheckAllInvariants(simulation_);
}

// Guards against a gang leader that reserves memory for the whole prompt.
TEST_F(AgentAdmissionTest, GangLeaderReservesOnlyItsShare) {
  agent_.options.full_budget = Tokens(4'000'000);
  simulation_.Reconfigure(agent_);
  simulation_.Run(milliseconds(50));
  Offer offer =
      simulation_.MakeCompletionOffer(Tokens(500'000), Tokens(50), seconds(60));
  for (int i = 0; i < 2; ++i) {
    offer.members.push_back(
        {{InstanceId("m" + std::to_string(i)), Incarnation(1)},
         Tokens(200'000)});
  }
  const AttemptId id = simulation_.SendOffer(agent_, offer);
  simulation_.Run(AgentSimulation::kTickInterval);
  EXPECT_TRUE(IsDispatched(id));
  EXPECT_EQ(ReservedMemory(agent_.core->tables()), Tokens(100'050));
}

// Guards against calls to a plain service that has asked for a pause: they are
// refused at once, with the rest of the pause, and dispatched again after it.
TEST(AgentBackOffTest, PauseOfAServiceIsKept) {
  AgentSimulation simulation(5);
  SimulatedNode& agent = simulation.AddServiceAgent("agent-1");
  simulation.Run(seconds(1));
  const auto send = [&](const std::string& key) {
    const AttemptId id = simulation.SendOffer(
        agent, simulation.MakeKeyedCallOffer(key, seconds(20)));
    simulation.Run(milliseconds(300));
    return id;
  };
  simulation.service_back_off = seconds(3);
  send("refused");
  simulation.service_back_off = Duration(0);
  const AttemptId early = send("early");
  EXPECT_EQ(simulation.executions[early], 0);
  const auto& closed = agent.core->tables().closed_attempts;
  ASSERT_TRUE(closed.contains(early));
  const Failure& failure = closed.at(early).result.failure;
  EXPECT_EQ(failure.code, ErrorCode::kOverloaded);
  EXPECT_EQ(failure.outcome, Outcome::kNotRun);
  EXPECT_GT(failure.retry_after, seconds(2));
  simulation.Run(seconds(3));
  EXPECT_EQ(simulation.executions[send("later")], 1);
}

// Guards against offers that are accepted before the agent knows which streams
// and caches the engine holds.
TEST_F(AgentAdmissionTest, RefusesOffersBeforeTheFirstEngineList) {
  simulation_.faults.list_lost = 1;
  simulation_.RestartAgent(agent_);
  simulation_.Run(AgentSimulation::kRestartDelay + milliseconds(50));
  const AttemptId early = SendCompletionOffer(1'000, seconds(30));
  EXPECT_EQ(FailureOf(early).code, ErrorCode::kTargetNotReady);
  simulation_.faults.list_lost = 0;
  simulation_.Run(seconds(2));
  EXPECT_TRUE(IsDispatched(SendCompletionOffer(1'000, seconds(30))));
}

// Guards against a second execution of an offer that names no incarnation: an
// earlier incarnation of the agent may have executed it.
TEST_F(AgentAdmissionTest, OfferWithoutIncarnationMustBeRepeatable) {
  Offer offer =
      simulation_.MakeCompletionOffer(Tokens(1'000), Tokens(50), seconds(30));
  offer.attempt = {{9, 1}, AttemptNumber(1)};
  offer.repeatable = false;
  const Message message{simulation_.entry, Incarnation(0), {}, offer};
  agent_.core->OnMessage(message, simulation_.now());
  EXPECT_EQ(FailureOf(offer.attempt).outcome, Outcome::kUnknown);
}

// Guards against new work for a withdrawn target, against a withdrawal that
// interrupts running streams, and against a target that refuses work after the
// withdrawal ends.
TEST_F(AgentAdmissionTest, WithdrawalStopsNewWorkUntilItEnds) {
  const AttemptId running =
      SendCompletionOffer(45'000, seconds(30), kTwoSecondOutput);
  const AttemptId queued = SendCompletionOffer(20'000, seconds(30));
  auto config = MakeSimulationConfig(2);
  config->withdrawn_data_centres.insert(DataCentreId("riga-a"));
  simulation_.SetConfig(config);
  const AttemptId refused = SendCompletionOffer(1'000, seconds(30));
  EXPECT_EQ(FailureOf(refused).code, ErrorCode::kTargetWithdrawn);
  EXPECT_FALSE(simulation_.offers[refused].accepted_at);
  EXPECT_EQ(FailureOf(queued).code, ErrorCode::kTargetWithdrawn);
  EXPECT_EQ(FailureOf(queued).outcome, Outcome::kNotRun);
  simulation_.Run(seconds(5));
  EXPECT_EQ(FailureOf(running).code, ErrorCode::kNone);
  simulation_.SetConfig(MakeSimulationConfig(3));
  EXPECT_TRUE(IsDispatched(SendCompletionOffer(1'000, seconds(30))));
  CheckAllInvariants(simulation_);
}

// Guards against an older configuration that replaces a newer one.
TEST_F(AgentAdmissionTest, OlderConfigurationIsIgnored) {
  auto config = MakeSimulationConfig(5);
  config->withdrawn_targets.insert(agent_.options.target);
  simulation_.SetConfig(config);
  simulation_.SetConfig(MakeSimulationConfig(4));
  EXPECT_EQ(FailureOf(SendCompletionOffer(1'000, seconds(30))).code,
            ErrorCode::kTargetWithdrawn);
}

}  // namespace
}  // namespace burdockhatch
