#include <gtest/gtest.h>

#include "src/attempts.h"
#include "src/dispatch.h"
#include "src/memory_reservations.h"
#include "src/reconcile.h"
#include "tests/agent_invariants.h"
#include "tests/agent_simulation.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentStreamsTest : public testing::Test {
 protected:
  AgentStreamsTest()
      : simulation_(5), node_(simulation_.AddEngineAgent("agent-1")) {
    simulation_.Run(milliseconds(100));
  }

  // Starts a stream. With 2,000 output tokens it runs for 2 s.
  AttemptId StartStream(Tokens output = Tokens(2'000),
                        Duration left = seconds(30)) {
    const AttemptId id = simulation_.SendOffer(
        node_, simulation_.MakeCompletionOffer(Tokens(1'000), output, left));
    simulation_.Run(milliseconds(20));
    return id;
  }

  size_t FinishCount(const AttemptId& id) {
    return simulation_.offers[id].finishes.size();
  }

  Failure LastFailure(const AttemptId& id) {
    const auto& finishes = simulation_.offers[id].finishes;
    EXPECT_FALSE(finishes.empty());
    return finishes.empty() ? Failure{} : finishes.back().second.failure;
  }

  size_t ReservationCount() { return node_.core->tables().reservations.size(); }

  AgentSimulation simulation_;
  SimulatedNode& node_;
};

// Guards against a stream that is lost when its entry resumes it after a
// restart of the agent.
TEST_F(AgentStreamsTest, ResumeAdoptsAStreamAfterAgentRestart) {
  const AttemptId id = StartStream();
  simulation_.RestartAgent(node_);
  simulation_.Run(AgentSimulation::kRestartDelay + milliseconds(50));
  simulation_.Send(node_, Resume{id, 3, seconds(20)});
  simulation_.Run(seconds(3));
  ASSERT_EQ(FinishCount(id), 1u);
  EXPECT_EQ(LastFailure(id).code, ErrorCode::kNone);
  EXPECT_EQ(simulation_.cancels, 0);
  EXPECT_EQ(ReservationCount(), 0u);
  CheckAllInvariants(simulation_);
}

// Guards against a Resume that is lost because it arrives before the first
// engine list.
TEST_F(AgentStreamsTest, ResumeBeforeTheListKeepsTheStream) {
  const AttemptId id = StartStream(Tokens(20'000));
  simulation_.faults.list_lost = 1;
  simulation_.RestartAgent(node_);
  simulation_.Run(AgentSimulation::kRestartDelay + milliseconds(50));
  simulation_.Send(node_, Resume{id, 0, seconds(60)});
  simulation_.Run(seconds(1));
  simulation_.faults.list_lost = 0;
  simulation_.Run(kOrphanGracePeriod + seconds(3));
  EXPECT_EQ(simulation_.cancels, 0);
  EXPECT_EQ(ReservationCount(), 1u);
  CheckReservedMemory(node_);
}

// Guards against blame for requests that the failure of an engine only cut off:
// of the streams without output, the one that started first is to begin.
TEST_F(AgentStreamsTest, FailureOfTheEngineNamesTheAnswerThatWasToBegin) {
  const AttemptId answering = StartStream();
  simulation_.Run(milliseconds(200));
  const AttemptId first = simulation_.SendOffer(
      node_, simulation_.MakeCompletionOffer(Tokens(1'000), Tokens(2'000),
                                             seconds(30)));
  simulation_.Run(milliseconds(5));
  const AttemptId second = simulation_.SendOffer(
      node_, simulation_.MakeCompletionOffer(Tokens(1'000), Tokens(2'000),
                                             seconds(30)));
  simulation_.Run(milliseconds(5));
  for (const AttemptId& it : {second, answering, first}) {
    node_.core->OnStreamEnded(StreamIdOf(it), StreamEnd::kFailed, 0,
                              simulation_.now());
  }
  simulation_.Run(milliseconds(20));
  const auto failed_at_start = [&](const AttemptId& id) {
    const auto& finishes = simulation_.offers[id].finishes;
    return !finishes.empty() && finishes.back().second.failed_at_start;
  };
  EXPECT_TRUE(failed_at_start(first));
  EXPECT_FALSE(failed_at_start(second));
  EXPECT_FALSE(failed_at_start(answering));
}

// Guards against a stream that occupies memory for ever because no entry
// resumes it.
TEST_F(AgentStreamsTest, OrphansAreCancelledAfterTheGracePeriod) {
  simulation_.faults.stream_hangs = 1;
  StartStream();
  simulation_.RestartAgent(node_);
  simulation_.Run(AgentSimulation::kRestartDelay + kOrphanGracePeriod -
                  milliseconds(500));
  EXPECT_EQ(simulation_.cancels, 0);
  EXPECT_EQ(ReservationCount(), 1u);
  simulation_.Run(seconds(3));
  EXPECT_GE(simulation_.cancels, 1);
  EXPECT_TRUE(node_.engine.streams.empty());
  EXPECT_EQ(ReservationCount(), 0u);
}

// Guards against an entry that waits for a stream unknown to both the agent and
// the engine.
TEST_F(AgentStreamsTest, ResumeOfAnUnknownStreamEndsUnknown) {
  const AttemptId id{{8, 8}, AttemptNumber(1)};
  simulation_.Send(node_, Resume{id, 0, seconds(20)});
  simulation_.Run(seconds(1));
  EXPECT_EQ(LastFailure(id).outcome, Outcome::kUnknown);
}

// Guards against output that is lost when the link breaks after the stream
// ended.
TEST_F(AgentStreamsTest, ResumeReadsAFinishedStreamAgain) {
  const AttemptId id = StartStream(Tokens(100));
  simulation_.Run(seconds(1));
  ASSERT_EQ(FinishCount(id), 1u);
  simulation_.Send(node_, Resume{id, 2, seconds(20)});
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinishCount(id), 2u);
  EXPECT_EQ(LastFailure(id).code, ErrorCode::kNone);
}

// Guards against a stream that fails although only the agent's connection to it
// broke.
TEST_F(AgentStreamsTest, BrokenRelayIsSetUpAgain) {
  const AttemptId id = StartStream();
  simulation_.faults.end_lost = 0.3;
  simulation_.Run(seconds(1));
  simulation_.faults.end_lost = 0;
  simulation_.Run(seconds(3));
  EXPECT_EQ(LastFailure(id).code, ErrorCode::kNone);
  CheckAllInvariants(simulation_);
}

// Guards against a start that was refused or not sent but still occupies memory
// or is reported as executed.
TEST_F(AgentStreamsTest, RefusedStartFreesMemoryAtOnce) {
  simulation_.faults.start_refused = 1;
  const AttemptId refused = StartStream();
  EXPECT_EQ(ReservationCount(), 0u);
  EXPECT_EQ(LastFailure(refused).outcome, Outcome::kNotRun);
  simulation_.faults.start_refused = 0;
  simulation_.faults.start_not_sent = 1;
  const AttemptId not_sent = StartStream();
  EXPECT_EQ(ReservationCount(), 0u);
  EXPECT_EQ(LastFailure(not_sent).outcome, Outcome::kNotRun);
}

// Guards against memory that is reserved for another stream while a start of
// unknown outcome may still take effect.
TEST_F(AgentStreamsTest, UnknownStartKeepsItsMemoryUntilTheListConfirms) {
  simulation_.faults.start_answer_lost = 1;
  simulation_.faults.stream_hangs = 1;
  simulation_.faults.cancel_lost = 1;
  const AttemptId id = StartStream();
  simulation_.Run(seconds(10));
  EXPECT_EQ(LastFailure(id).outcome, Outcome::kUnknown);
  EXPECT_EQ(ReservationCount(), 1u);
  EXPECT_GT(simulation_.cancels, 10);
  simulation_.faults = {};
  simulation_.Run(seconds(4));
  EXPECT_EQ(ReservationCount(), 0u);
  EXPECT_TRUE(node_.engine.streams.empty());
}

// Guards against an entry that repeats a Cancel for ever because it gets no
// reply.
TEST_F(AgentStreamsTest, EveryCancelIsAnswered) {
  const AttemptId id = StartStream();
  simulation_.Send(node_, Cancel{id});
  simulation_.Send(node_, Cancel{id});
  EXPECT_EQ(FinishCount(id), 2u);
  const AttemptId unknown{{8, 8}, AttemptNumber(1)};
  simulation_.Send(node_, Cancel{unknown});
  EXPECT_EQ(LastFailure(unknown).outcome, Outcome::kUnknown);
  simulation_.Run(seconds(3));
  EXPECT_EQ(ReservationCount(), 0u);
}

// Guards against the dispatch of an offer whose Cancel arrived first.
TEST_F(AgentStreamsTest, CancelledOfferIsNotRun) {
  Offer offer =
      simulation_.MakeCompletionOffer(Tokens(1'000), Tokens(100), seconds(30));
  offer.attempt = {{8, 8}, AttemptNumber(1)};
  simulation_.Send(node_, Cancel{offer.attempt});
  simulation_.Send(node_, offer);
  simulation_.Run(milliseconds(50));
  EXPECT_EQ(simulation_.dispatches.count(offer.attempt), 0u);
}

// Guards against the dispatch of a duplicate offer because the record of its
// attempt expired while the process was paused.
TEST_F(AgentStreamsTest, RecordsOutliveAPause) {
  const AttemptId id = StartStream(Tokens(100), seconds(5));
  simulation_.Run(seconds(2));
  simulation_.Pause(node_);
  simulation_.Run(kTombstoneMargin + seconds(60));
  simulation_.Unpause(node_);
  simulation_.Run(kPostPauseWindow * 3);
  Offer copy = simulation_.offers[id].offer;
  simulation_.Send(node_, copy);
  simulation_.Run(seconds(1));
  EXPECT_EQ(simulation_.dispatches[id], 1);
  EXPECT_EQ(simulation_.offers[id].refusals, 1);
}

// Guards against work of a crashed entry that occupies memory until its
// deadline.
TEST_F(AgentStreamsTest, EntryRestartCancelsItsEarlierWork) {
  simulation_.faults.stream_hangs = 1;
  StartStream();
  simulation_.entry.incarnation = simulation_.entry.incarnation.Next();
  simulation_.Send(node_, Subscribe{seconds(10)});
  simulation_.Run(seconds(2));
  EXPECT_EQ(ReservationCount(), 0u);
  EXPECT_TRUE(node_.engine.streams.empty());
}

// Guards against cancelled work because its entry sent no messages for a while.
TEST_F(AgentStreamsTest, SilenceOfAnEntryCancelsNothing) {
  simulation_.faults.stream_hangs = 1;
  StartStream(Tokens(2'000), seconds(60));
  simulation_.Run(seconds(50));
  EXPECT_EQ(simulation_.cancels, 0);
  EXPECT_EQ(ReservationCount(), 1u);
}

// Guards against memory that stays reserved, and callers that keep waiting,
// after the engine restarted.
TEST_F(AgentStreamsTest, EngineRestartEndsItsStreams) {
  const AttemptId id = StartStream(Tokens(2'000), seconds(60));
  simulation_.RestartEngine(node_);
  simulation_.Run(seconds(4));
  ASSERT_EQ(FinishCount(id), 1u);
  EXPECT_EQ(LastFailure(id).outcome, Outcome::kUnknown);
  EXPECT_EQ(ReservationCount(), 0u);
}

// Guards against full load on a restarted engine before its first load report.
TEST_F(AgentStreamsTest, ListOfARestartedEngineReducesTheBudget) {
  for (int i = 0; i < 20; ++i) {
    StartStream(Tokens(100));
    simulation_.Run(milliseconds(400));
  }
  StartStream(Tokens(100));
  simulation_.Run(seconds(1));
  const AgentTables& tables = node_.core->tables();
  const uint64_t fallback_count = tables.warmup.fallback_count;
  const EngineHoldings list{EngineIncarnation(2), {}};
  node_.core->OnEngineList(&list, simulation_.now(), simulation_.now());
  EXPECT_EQ(tables.warmup.fallback_count, fallback_count + 1);
  // The cold budget, an eighth of the full budget.
  EXPECT_EQ(tables.warmup.budget, Tokens(50'000));
}

// Guards against a stream that ends as unknown because its entry resumes it
// while a silent engine has not answered the start.
TEST_F(AgentStreamsTest, ResumeBeforeTheStartIsAnsweredKeepsTheStream) {
  simulation_.faults.start_slow = 1;
  const AttemptId id = StartStream();
  simulation_.offers[id].accepted_at.reset();
  simulation_.Send(node_, Resume{id, 0, seconds(20)});
  EXPECT_TRUE(simulation_.offers[id].accepted_at);
  simulation_.Run(seconds(4));
  ASSERT_EQ(FinishCount(id), 1u);
  EXPECT_EQ(LastFailure(id).code, ErrorCode::kNone);
  EXPECT_EQ(simulation_.dispatches[id], 1);
  CheckAllInvariants(simulation_);
}

// Guards against an entry that considers an agent failed because the Resume of
// a call gets no reply.
TEST(AgentResumeTest, ResumeOfACallIsConfirmed) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddServiceAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.faults.call_slow = 1;
  Offer call = simulation.MakeKeyedCallOffer("", seconds(10));
  call.key.reset();
  const AttemptId id = simulation.SendOffer(node, call);
  simulation.Run(milliseconds(50));
  simulation.offers[id].accepted_at.reset();
  simulation.Send(node, Resume{id, 0, seconds(9)});
  EXPECT_TRUE(simulation.offers[id].accepted_at);
  simulation.Run(seconds(4));
  EXPECT_EQ(simulation.offers[id].finishes.size(), 1u);
}

// Guards against work for an engine that does not respond.
TEST_F(AgentStreamsTest, SilentEngineIsNotReady) {
  EXPECT_TRUE(node_.core->State(simulation_.now()).ready);
  for (int i = 0; i < 2; ++i) {
    node_.core->OnEngineLoad(nullptr, simulation_.now());
  }
  EXPECT_FALSE(node_.core->State(simulation_.now()).ready);
}

class AgentHoldsTest : public AgentStreamsTest {
 protected:
  const AttemptId attempt_{{4, 4}, AttemptNumber(1)};
};

// Guards against a hold that remains after its entry stops renewing it.
TEST_F(AgentHoldsTest, HoldExpiresUnlessRenewed) {
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(2)});
  simulation_.Run(seconds(1));
  ASSERT_EQ(simulation_.hold_replies.size(), 1u);
  EXPECT_EQ(simulation_.hold_replies[0].verdict, Verdict::kAccepted);
  EXPECT_EQ(node_.engine.caches.size(), 1u);
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(2)});
  simulation_.Run(milliseconds(1'500));
  EXPECT_EQ(ReservationCount(), 1u);
  simulation_.Run(seconds(2));
  EXPECT_EQ(ReservationCount(), 0u);
  EXPECT_TRUE(node_.engine.caches.empty());
}

// Guards against holds that leave no memory for short requests.
TEST_F(AgentHoldsTest, HoldsAreLimitedToHalfOfTheMemory) {
  for (uint64_t i = 0; i < 3; ++i) {
    simulation_.Send(
        node_, Hold{{{4, i}, AttemptNumber(1)}, Tokens(100'000), seconds(20)});
  }
  simulation_.Run(milliseconds(100));
  ASSERT_EQ(simulation_.hold_replies.size(), 3u);
  int refused = 0;
  for (const HoldReply& reply : simulation_.hold_replies) {
    refused += reply.verdict == Verdict::kRefused;
  }
  EXPECT_EQ(refused, 1);
  EXPECT_EQ(ReservedGangMemory(node_.core->tables()), Tokens(200'000));
}

// Guards against a hold that reserves memory although its release arrived
// first.
TEST_F(AgentHoldsTest, ReleaseBeforeHoldRefusesIt) {
  simulation_.Send(node_, HoldRelease{attempt_});
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(20)});
  simulation_.Run(milliseconds(100));
  ASSERT_EQ(simulation_.hold_replies.size(), 1u);
  EXPECT_EQ(simulation_.hold_replies[0].verdict, Verdict::kRefused);
  EXPECT_EQ(ReservationCount(), 0u);
}

// Guards against an import of unknown outcome that is reported as an accepted
// hold or leaks its cache.
TEST_F(AgentHoldsTest, UnknownImportIsReleased) {
  simulation_.faults.start_answer_lost = 1;
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(20)});
  simulation_.Run(seconds(5));
  ASSERT_EQ(simulation_.hold_replies.size(), 1u);
  EXPECT_EQ(simulation_.hold_replies[0].verdict, Verdict::kRefused);
  EXPECT_EQ(ReservationCount(), 0u);
  EXPECT_TRUE(node_.engine.caches.empty());
}

// Guards against a running gang that loses a cache when the agent of a member
// restarts.
TEST_F(AgentHoldsTest, RenewalKeepsTheCacheAcrossARestart) {
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(15)});
  simulation_.Run(seconds(1));
  simulation_.RestartAgent(node_);
  simulation_.Run(seconds(2));
  for (int i = 0; i < 4; ++i) {
    simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(15)});
    simulation_.Run(seconds(5));
  }
  EXPECT_EQ(node_.engine.caches.size(), 1u);
  EXPECT_EQ(ReservationCount(), 1u);
}

// Guards against a gang leader whose memory is reserved twice, for its hold and
// for its stream.
TEST_F(AgentHoldsTest, LeaderStreamReplacesItsHold) {
  node_.options.full_budget = Tokens(4'000'000);
  simulation_.Reconfigure(node_);
  simulation_.Run(milliseconds(50));
  Offer offer = simulation_.MakeCompletionOffer(Tokens(150'000), Tokens(100),
                                                seconds(60));
  offer.attempt = attempt_;
  simulation_.offers[attempt_].deadline = simulation_.now() + seconds(60);
  simulation_.Send(node_, Hold{attempt_, Tokens(150'000), seconds(20)});
  simulation_.Run(milliseconds(100));
  simulation_.Send(node_, offer);
  EXPECT_EQ(simulation_.dispatches.count(attempt_), 0u);
  simulation_.Run(seconds(2));
  EXPECT_EQ(simulation_.dispatches[attempt_], 1);
  EXPECT_TRUE(node_.engine.caches.empty());
}

}  // namespace
}  // namespace burdockhatch
