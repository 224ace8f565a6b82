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

  // Streams of 2,000 output tokens last for 2 s.
  AttemptId Start(Tokens output = Tokens(2'000), Duration left = seconds(30)) {
    const AttemptId id = simulation_.SendOffer(
        node_, simulation_.MakeCompletionOffer(Tokens(1'000), output, left));
    simulation_.Run(milliseconds(20));
    return id;
  }

  size_t Finishes(const AttemptId& id) {
    return simulation_.offers[id].finishes.size();
  }

  Failure LastFailure(const AttemptId& id) {
    const auto& finishes = simulation_.offers[id].finishes;
    EXPECT_FALSE(finishes.empty());
    return finishes.empty() ? Failure{} : finishes.back().second.failure;
  }

  size_t Bookings() { return node_.core->tables().reservations.size(); }

  AgentSimulation simulation_;
  SimulatedNode& node_;
};

// Guards against a stream that is lost when its agent restarts and its entry
// asks for it.
TEST_F(AgentStreamsTest, ResumeAdoptsTheStreamOfAPredecessor) {
  const AttemptId id = Start();
  simulation_.RestartAgent(node_);
  simulation_.Run(AgentSimulation::kRestartDelay + milliseconds(50));
  simulation_.Send(node_, Resume{id, 3, seconds(20)});
  simulation_.Run(seconds(3));
  ASSERT_EQ(Finishes(id), 1u);
  EXPECT_EQ(LastFailure(id).code, ErrorCode::kNone);
  EXPECT_EQ(simulation_.cancels, 0);
  EXPECT_EQ(Bookings(), 0u);
  CheckAllInvariants(simulation_);
}

// Guards against a Resume that arrives before the first list and is forgotten.
TEST_F(AgentStreamsTest, ResumeBeforeTheListKeepsTheStream) {
  const AttemptId id = Start(Tokens(20'000));
  simulation_.faults.list_lost = 1;
  simulation_.RestartAgent(node_);
  simulation_.Run(AgentSimulation::kRestartDelay + milliseconds(50));
  simulation_.Send(node_, Resume{id, 0, seconds(60)});
  simulation_.Run(seconds(1));
  simulation_.faults.list_lost = 0;
  simulation_.Run(kOrphanGracePeriod + seconds(3));
  EXPECT_EQ(simulation_.cancels, 0);
  EXPECT_EQ(Bookings(), 1u);
  CheckBookedMemory(node_);
}

// Guards against a stream that no entry asks for and that holds memory for
// good.
TEST_F(AgentStreamsTest, OrphansAreCancelledAfterTheGrace) {
  simulation_.faults.stream_hangs = 1;
  Start();
  simulation_.RestartAgent(node_);
  simulation_.Run(AgentSimulation::kRestartDelay + kOrphanGracePeriod -
                  milliseconds(500));
  EXPECT_EQ(simulation_.cancels, 0);
  EXPECT_EQ(Bookings(), 1u);
  simulation_.Run(seconds(3));
  EXPECT_GE(simulation_.cancels, 1);
  EXPECT_TRUE(node_.engine.streams.empty());
  EXPECT_EQ(Bookings(), 0u);
}

// Guards against an entry that waits for the output of a stream that neither
// the agent nor the engine knows.
TEST_F(AgentStreamsTest, ResumeOfAnUnknownStreamEndsUnknown) {
  const AttemptId id{{8, 8}, AttemptNumber(1)};
  simulation_.Send(node_, Resume{id, 0, seconds(20)});
  simulation_.Run(seconds(1));
  EXPECT_EQ(LastFailure(id).outcome, Outcome::kUnknown);
}

// Guards against an answer that is lost with the link after the stream ended.
TEST_F(AgentStreamsTest, ResumeReadsAFinishedStreamAgain) {
  const AttemptId id = Start(Tokens(100));
  simulation_.Run(seconds(1));
  ASSERT_EQ(Finishes(id), 1u);
  simulation_.Send(node_, Resume{id, 2, seconds(20)});
  simulation_.Run(seconds(1));
  EXPECT_EQ(Finishes(id), 2u);
  EXPECT_EQ(LastFailure(id).code, ErrorCode::kNone);
}

// Guards against a stream that is given up when only its relay breaks.
TEST_F(AgentStreamsTest, BrokenRelayIsSetUpAgain) {
  const AttemptId id = Start();
  simulation_.faults.end_lost = 0.3;
  simulation_.Run(seconds(1));
  simulation_.faults.end_lost = 0;
  simulation_.Run(seconds(3));
  EXPECT_EQ(LastFailure(id).code, ErrorCode::kNone);
  CheckAllInvariants(simulation_);
}

// Guards against a start that was refused or not sent and still holds memory,
// or is reported as run.
TEST_F(AgentStreamsTest, RefusedStartFreesAtOnce) {
  simulation_.faults.start_refused = 1;
  const AttemptId refused = Start();
  EXPECT_EQ(Bookings(), 0u);
  EXPECT_EQ(LastFailure(refused).outcome, Outcome::kNotRun);
  simulation_.faults.start_refused = 0;
  simulation_.faults.start_not_sent = 1;
  const AttemptId not_sent = Start();
  EXPECT_EQ(Bookings(), 0u);
  EXPECT_EQ(LastFailure(not_sent).outcome, Outcome::kNotRun);
}

// Guards against memory that is given away while a start may still take effect.
TEST_F(AgentStreamsTest, UnknownStartKeepsItsMemoryUntilTheListConfirms) {
  simulation_.faults.start_answer_lost = 1;
  simulation_.faults.stream_hangs = 1;
  simulation_.faults.cancel_lost = 1;
  const AttemptId id = Start();
  simulation_.Run(seconds(10));
  EXPECT_EQ(LastFailure(id).outcome, Outcome::kUnknown);
  EXPECT_EQ(Bookings(), 1u);
  EXPECT_GT(simulation_.cancels, 10);
  simulation_.faults = {};
  simulation_.Run(seconds(4));
  EXPECT_EQ(Bookings(), 0u);
  EXPECT_TRUE(node_.engine.streams.empty());
}

// Guards against an entry that repeats a Cancel for ever.
TEST_F(AgentStreamsTest, EveryCancelIsAnswered) {
  const AttemptId id = Start();
  simulation_.Send(node_, Cancel{id});
  simulation_.Send(node_, Cancel{id});
  EXPECT_EQ(Finishes(id), 2u);
  const AttemptId unknown{{8, 8}, AttemptNumber(1)};
  simulation_.Send(node_, Cancel{unknown});
  EXPECT_EQ(LastFailure(unknown).outcome, Outcome::kUnknown);
  simulation_.Run(seconds(3));
  EXPECT_EQ(Bookings(), 0u);
}

// Guards against an offer that runs after its Cancel has overtaken it.
TEST_F(AgentStreamsTest, CancelledOfferIsNotRun) {
  Offer offer =
      simulation_.MakeCompletionOffer(Tokens(1'000), Tokens(100), seconds(30));
  offer.attempt = {{8, 8}, AttemptNumber(1)};
  simulation_.Send(node_, Cancel{offer.attempt});
  simulation_.Send(node_, offer);
  simulation_.Run(milliseconds(50));
  EXPECT_EQ(simulation_.dispatches.count(offer.attempt), 0u);
}

// Guards against a duplicate that runs because the record of its attempt ended
// while the process was paused.
TEST_F(AgentStreamsTest, RecordsOutliveAPause) {
  const AttemptId id = Start(Tokens(100), seconds(5));
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

// Guards against the work of an entry that crashed holding memory until its
// deadline.
TEST_F(AgentStreamsTest, NewRunOfAnEntryEndsItsFormerWork) {
  simulation_.faults.stream_hangs = 1;
  Start();
  simulation_.entry.incarnation = simulation_.entry.incarnation.Next();
  simulation_.Send(node_, Subscribe{seconds(10)});
  simulation_.Run(seconds(2));
  EXPECT_EQ(Bookings(), 0u);
  EXPECT_TRUE(node_.engine.streams.empty());
}

// Guards against silence that is taken for the end of an entry.
TEST_F(AgentStreamsTest, SilenceOfAnEntryCancelsNothing) {
  simulation_.faults.stream_hangs = 1;
  Start(Tokens(2'000), seconds(60));
  simulation_.Run(seconds(50));
  EXPECT_EQ(simulation_.cancels, 0);
  EXPECT_EQ(Bookings(), 1u);
}

// Guards against memory of a dead engine that stays booked, and callers that
// wait for it.
TEST_F(AgentStreamsTest, EngineRestartEndsItsStreams) {
  const AttemptId id = Start(Tokens(2'000), seconds(60));
  simulation_.RestartEngine(node_);
  simulation_.Run(seconds(4));
  ASSERT_EQ(Finishes(id), 1u);
  EXPECT_EQ(LastFailure(id).outcome, Outcome::kUnknown);
  EXPECT_EQ(Bookings(), 0u);
}

// Guards against full load on a new run of the engine until its load report.
TEST_F(AgentStreamsTest, ListOfANewRunFallsBack) {
  for (int i = 0; i < 20; ++i) {
    Start(Tokens(100));
    simulation_.Run(milliseconds(400));
  }
  Start(Tokens(100));
  simulation_.Run(seconds(1));
  const AgentTables& tables = node_.core->tables();
  const uint64_t fallback_count = tables.warmup.fallback_count;
  const EngineList list{EngineIncarnation(2), {}};
  node_.core->OnEngineList(&list, simulation_.now(), simulation_.now());
  EXPECT_EQ(tables.warmup.fallback_count, fallback_count + 1);
  EXPECT_EQ(tables.warmup.budget, Tokens(50'000));
}

// Guards against an entry that takes an agent for dead because nothing answers
// the Resume of a call.
TEST(AgentResumeTest, ResumeOfACallIsConfirmed) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddServiceAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.faults.call_slow = 1;
  Offer call = simulation.MakeKeyedCallOffer("", seconds(10));
  call.key.reset();
  const AttemptId id = simulation.SendOffer(node, call);
  simulation.Run(milliseconds(50));
  simulation.offers[id].accepted.reset();
  simulation.Send(node, Resume{id, 0, seconds(9)});
  EXPECT_TRUE(simulation.offers[id].accepted);
  simulation.Run(seconds(4));
  EXPECT_EQ(simulation.offers[id].finishes.size(), 1u);
}

// Guards against an engine that is down and still gets work.
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

// Guards against a hold that outlives its entry.
TEST_F(AgentHoldsTest, HoldEndsWithItsTime) {
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(2)});
  simulation_.Run(seconds(1));
  ASSERT_EQ(simulation_.hold_replies.size(), 1u);
  EXPECT_EQ(simulation_.hold_replies[0].verdict, Verdict::kAccepted);
  EXPECT_EQ(node_.engine.caches.size(), 1u);
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(2)});
  simulation_.Run(milliseconds(1'500));
  EXPECT_EQ(Bookings(), 1u);
  simulation_.Run(seconds(2));
  EXPECT_EQ(Bookings(), 0u);
  EXPECT_TRUE(node_.engine.caches.empty());
}

// Guards against holds that leave no memory for short requests.
TEST_F(AgentHoldsTest, HoldsGetHalfOfTheMemory) {
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

// Guards against a hold that is booked after its release has overtaken it.
TEST_F(AgentHoldsTest, ReleaseBeforeHoldRefusesIt) {
  simulation_.Send(node_, HoldRelease{attempt_});
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(20)});
  simulation_.Run(milliseconds(100));
  ASSERT_EQ(simulation_.hold_replies.size(), 1u);
  EXPECT_EQ(simulation_.hold_replies[0].verdict, Verdict::kRefused);
  EXPECT_EQ(Bookings(), 0u);
}

// Guards against a failed import that is reported as a hold.
TEST_F(AgentHoldsTest, UnknownImportIsReleased) {
  simulation_.faults.start_answer_lost = 1;
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(20)});
  simulation_.Run(seconds(5));
  ASSERT_EQ(simulation_.hold_replies.size(), 1u);
  EXPECT_EQ(simulation_.hold_replies[0].verdict, Verdict::kRefused);
  EXPECT_EQ(Bookings(), 0u);
  EXPECT_TRUE(node_.engine.caches.empty());
}

// Guards against a cache that a running gang loses when a member's agent
// restarts.
TEST_F(AgentHoldsTest, RenewalKeepsTheCacheOverARestart) {
  simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(15)});
  simulation_.Run(seconds(1));
  simulation_.RestartAgent(node_);
  simulation_.Run(seconds(2));
  for (int i = 0; i < 4; ++i) {
    simulation_.Send(node_, Hold{attempt_, Tokens(100'000), seconds(15)});
    simulation_.Run(seconds(5));
  }
  EXPECT_EQ(node_.engine.caches.size(), 1u);
  EXPECT_EQ(Bookings(), 1u);
}

// Guards against a leader that holds its memory twice.
TEST_F(AgentHoldsTest, LeaderTradesItsHoldForItsStream) {
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
