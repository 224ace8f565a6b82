// Tests how an entry handles a request and its attempts, with one fault at a
// time.
#include <gtest/gtest.h>

#include "src/request_end.h"
#include "src/requests.h"
#include "src/retry_budget.h"
#include "tests/entry_driver.h"
#include "tests/entry_invariants.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs two agents of model engines and two agents of a plain service.
class EntryRequestsTest : public testing::Test {
 protected:
  EntryRequestsTest() : driver_(1) {
    driver_.AddAgent("engine-1", "dc-a", "model", "");
    driver_.AddAgent("engine-2", "dc-a", "model", "");
    driver_.AddAgent("desk-1", "dc-a", "", "service");
    driver_.AddAgent("desk-2", "dc-a", "", "service");
    driver_.Start();
  }

  // Returns the agent that received the last offer of `request`.
  FakeAgent& AgentOf(const RequestId& request) {
    const auto& offers = driver_.record(request).offers;
    return driver_.agent(offers.at(offers.size() - 1).to.value());
  }

  FakeAgent& OtherAgent(const FakeAgent& agent) {
    const std::string& name = agent.info.instance.value();
    return driver_.agent(name == "engine-1"   ? "engine-2"
                         : name == "engine-2" ? "engine-1"
                         : name == "desk-1"   ? "desk-2"
                                              : "desk-1");
  }

  template <class Body>
  int CountSent(const InstanceId& to) const {
    int count = 0;
    for (const SendMessage& it : driver_.sent()) {
      count += it.to.instance == to && std::holds_alternative<Body>(it.body);
    }
    return count;
  }

  void ExpectFailure(const RequestId& request,
                     ErrorCode code,
                     Outcome outcome) {
    const RequestEnd* end = driver_.FirstEnd(request);
    ASSERT_NE(end, nullptr);
    EXPECT_FALSE(end->completed);
    EXPECT_EQ(ToString(end->failure.code), ToString(code));
    EXPECT_EQ(ToString(end->failure.outcome), ToString(outcome));
  }

  EntryDriver driver_;
};

// Guards against completing a request before its last chunk has arrived.
TEST_F(EntryRequestsTest, CompletesAfterSessionReceivedAllChunks) {
  const RequestId request = driver_.Submit(driver_.Completion());
  driver_.Run(seconds(1));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckEntryInvariants(driver_);
}

// Guards against admitting requests before the limits and withdrawals are
// known.
TEST(EntryRequestsWithoutConfigTest, AnswersNotReady) {
  EntryCore core({{InstanceId("entry"), Incarnation(1)}, {}, {}, 1, 48, {}});
  RequestSpec spec;
  spec.request = {1, 1};
  spec.deadline = Time(seconds(5));
  core.OnRequest(spec, Time(seconds(1)));
  const auto actions = core.TakeActions();
  ASSERT_EQ(actions.size(), 1u);
  const auto& failed = std::get<FailRequest>(actions[0]);
  EXPECT_EQ(failed.failure.code, ErrorCode::kNotReady);
  EXPECT_EQ(failed.failure.outcome, Outcome::kNotRun);
}

// Guards against permanently lost chunks: missing chunks must be requested with
// Resume.
TEST_F(EntryRequestsTest, RequestsLostChunksAgain) {
  driver_.agent("engine-1").odd_chunks_lost = true;
  driver_.agent("engine-2").odd_chunks_lost = true;
  const RequestId request = driver_.Submit(driver_.Completion());
  driver_.Run(seconds(2));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  EXPECT_GE(CountSent<Resume>(AgentOf(request).info.instance), 1);
  CheckEntryInvariants(driver_);
}

// Guards against completing a request with missing chunks when Finish overtakes
// them.
TEST_F(EntryRequestsTest, FinishAloneDoesNotCompleteARequest) {
  for (const char* name : {"engine-1", "engine-2"}) {
    driver_.agent(name).chunk_interval = seconds(100);
  }
  const RequestId request = driver_.Submit(driver_.Completion());
  driver_.Run(milliseconds(50));
  Finish finish;
  finish.attempt = driver_.record(request).current_attempt;
  finish.chunk_count = 5;
  finish.state = driver_.NextStateOf(AgentOf(request));
  driver_.Deliver(AgentOf(request), finish);
  driver_.Run(milliseconds(100));
  EXPECT_EQ(driver_.FirstEnd(request), nullptr);
  driver_.Run(seconds(12));
  CheckOneEndByDeadline(driver_);
}

// Guards against a request that outlives its deadline, and against reporting
// not_run for work that may have run.
TEST_F(EntryRequestsTest, SilentAgentGivesUnknownOutcomeAtDeadline) {
  driver_.agent("desk-1").replies_suppressed = true;
  driver_.agent("desk-2").replies_suppressed = true;
  const RequestId request = driver_.Submit(driver_.ServiceCall(false));
  driver_.Run(seconds(6));
  ExpectFailure(request, ErrorCode::kDeadlineExceeded, Outcome::kUnknown);
  EXPECT_EQ(driver_.record(request).offers.size(), 1u);
  CheckEntryInvariants(driver_);
}

// Guards against dispatching a non-repeatable call twice after its agent was
// restarted. The new incarnation has not dispatched the call, but cannot know
// whether the previous one did.
TEST_F(EntryRequestsTest, AgentRestartDoesNotProveNotRun) {
  const RequestId request = driver_.Submit(driver_.ServiceCall(false));
  driver_.Run(milliseconds(30));
  ASSERT_EQ(driver_.record(request).dispatches.size(), 1u);
  driver_.Restart(AgentOf(request), false);
  driver_.Run(seconds(6));
  ExpectFailure(request, ErrorCode::kTargetFailed, Outcome::kUnknown);
  CheckEntryInvariants(driver_);
}

// Guards against losing an answer when its agent restarts while the work goes
// on: the next incarnation recovers the attempt and waits for Resume.
TEST_F(EntryRequestsTest, ResumeReachesTheNextIncarnationOfTheAgent) {
  driver_.agent("desk-1").chunk_interval = milliseconds(200);
  driver_.agent("desk-2").chunk_interval = milliseconds(200);
  const RequestId request =
      driver_.Submit(driver_.ServiceCall(false, seconds(10)));
  driver_.Run(milliseconds(500));
  FakeAgent& agent = AgentOf(request);
  driver_.Restart(agent, true);
  driver_.Deliver(agent, LoadReport{driver_.NextStateOf(agent)});
  const SendMessage& last = driver_.sent().back();
  EXPECT_EQ(last.to, (PeerId{agent.info.instance, Incarnation(2)}));
  EXPECT_TRUE(std::holds_alternative<Resume>(last.body));
  driver_.Run(seconds(9));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckEntryInvariants(driver_);
}

// Guards against failing a non-repeatable call that has certainly not run.
TEST_F(EntryRequestsTest, NonRepeatableCallIsRetriedAfterProvenNotRun) {
  driver_.agent("desk-1").refuse_all = ErrorCode::kTargetNotReady;
  for (int i = 0; i < 10; ++i) {
    const RequestId request = driver_.Submit(driver_.ServiceCall(false));
    driver_.Run(seconds(1));
    ASSERT_NE(driver_.FirstEnd(request), nullptr);
    EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  }
  CheckEntryInvariants(driver_);
}

// Guards against reporting an unknown outcome for offers that were never
// written.
TEST_F(EntryRequestsTest, UnsentOfferProvesNotRun) {
  driver_.faults().unsent = 1;
  const RequestId request =
      driver_.Submit(driver_.ServiceCall(false, seconds(10)));
  driver_.Run(seconds(6));
  ExpectFailure(request, ErrorCode::kNoTarget, Outcome::kNotRun);
  CheckEntryInvariants(driver_);
}

// Guards against waiting until the deadline after every target has refused for
// lack of capacity.
TEST_F(EntryRequestsTest, FailsEarlyWhenAllTargetsAreOverloaded) {
  for (const char* name : {"engine-1", "engine-2"}) {
    driver_.agent(name).refuse_all = ErrorCode::kOverloaded;
    driver_.agent(name).retry_after = milliseconds(700);
  }
  const RequestId request = driver_.Submit(driver_.Completion());
  driver_.Run(milliseconds(100));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  ExpectFailure(request, ErrorCode::kOverloaded, Outcome::kNotRun);
  EXPECT_EQ(driver_.FirstEnd(request)->failure.retry_after, milliseconds(700));
  EXPECT_EQ(driver_.record(request).offers.size(), 2u);
  CheckEntryInvariants(driver_);
}

// Guards against restarting or losing an answer when its target dies.
TEST_F(EntryRequestsTest, RepeatableRequestResumesOnOtherTarget) {
  driver_.agent("engine-1").chunk_interval = milliseconds(500);
  driver_.agent("engine-2").chunk_interval = milliseconds(500);
  const RequestId request =
      driver_.Submit(driver_.Completion(1000, seconds(20)));
  driver_.Run(milliseconds(1300));
  FakeAgent& agent = AgentOf(request);
  agent.alive = false;
  agent.alive_again_at = driver_.Now() + seconds(60);
  driver_.Run(seconds(15));
  const RequestRecord& record = driver_.record(request);
  ASSERT_EQ(record.offers.size(), 2u);
  EXPECT_EQ(record.offers[1].to, OtherAgent(agent).info.instance);
  EXPECT_EQ(record.offers[1].first_chunk, 2u);
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  EXPECT_GE(CountSent<Resume>(agent.info.instance), 2);
  CheckEntryInvariants(driver_);
}

// Guards against work that is given up, and then fails or runs again, because
// its agent is silent for some seconds while no other target accepts the
// request.
TEST_F(EntryRequestsTest, SilentAttemptIsKeptWhileNoOtherTargetTakesIt) {
  driver_.agent("engine-1").chunk_interval = milliseconds(500);
  driver_.agent("engine-2").chunk_interval = milliseconds(500);
  const RequestId request =
      driver_.Submit(driver_.Completion(1000, seconds(30)));
  driver_.Run(milliseconds(1'300));
  FakeAgent& agent = AgentOf(request);
  OtherAgent(agent).ready = false;
  agent.paused_until = driver_.Now() + seconds(12);
  driver_.Run(seconds(20));
  EXPECT_EQ(driver_.record(request).offers.size(), 1u);
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckEntryInvariants(driver_);
}

// Guards against a request that fails because its agent is silent and its
// client account has no retry left.
TEST_F(EntryRequestsTest, SilentAttemptIsKeptWithoutRetryCredit) {
  const RequestSpec spec = driver_.Completion(1000, seconds(30));
  const auto credit = [&] {
    return driver_.core().tables().retries.credit.at(spec.account);
  };
  driver_.faults().failed_streams = 1;
  do {
    driver_.Submit(driver_.Completion());
    driver_.Run(milliseconds(200));
  } while (credit() >= kCreditPerRetry - 1);
  driver_.faults().failed_streams = 0;
  driver_.agent("engine-1").chunk_interval = milliseconds(500);
  driver_.agent("engine-2").chunk_interval = milliseconds(500);
  const RequestId request = driver_.Submit(spec);
  driver_.Run(milliseconds(1'300));
  ASSERT_LT(credit(), kCreditPerRetry);
  FakeAgent& agent = AgentOf(request);
  agent.paused_until = driver_.Now() + seconds(8);
  driver_.Run(seconds(15));
  EXPECT_EQ(driver_.record(request).offers.size(), 1u);
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckEntryInvariants(driver_);
}

// Guards against an agent that keeps running an abandoned attempt because the
// only Cancel was lost.
TEST_F(EntryRequestsTest, CancelIsRepeatedUntilTheDeadline) {
  driver_.agent("engine-1").replies_suppressed = true;
  driver_.agent("engine-2").replies_suppressed = true;
  const RequestId request =
      driver_.Submit(driver_.Completion(1000, seconds(20)));
  FakeAgent& agent = AgentOf(request);
  OtherAgent(agent).replies_suppressed = false;
  driver_.Run(milliseconds(600));
  agent.alive = false;
  agent.alive_again_at = driver_.Now() + seconds(60);
  driver_.Run(seconds(8));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  EXPECT_GE(CountSent<Cancel>(agent.info.instance), 4);
  const int before = CountSent<Cancel>(agent.info.instance);
  driver_.Run(seconds(20));
  EXPECT_GT(CountSent<Cancel>(agent.info.instance), before);
  const int at_deadline = CountSent<Cancel>(agent.info.instance);
  driver_.Run(seconds(3));
  EXPECT_EQ(CountSent<Cancel>(agent.info.instance), at_deadline);
  CheckEntryInvariants(driver_);
}

// Guards against an answer assembled from two attempts: an abandoned attempt
// must not end the request.
TEST_F(EntryRequestsTest, FinishOfAbandonedAttemptIsIgnored) {
  driver_.agent("engine-1").replies_suppressed = true;
  driver_.agent("engine-2").replies_suppressed = true;
  const RequestId request =
      driver_.Submit(driver_.Completion(1000, seconds(20)));
  FakeAgent& old = AgentOf(request);
  const AttemptId old_attempt = driver_.record(request).current_attempt;
  driver_.Run(milliseconds(3700));
  ASSERT_EQ(driver_.record(request).offers.size(), 2u);
  Finish finish;
  finish.attempt = old_attempt;
  finish.chunk_count = 0;
  finish.state = driver_.NextStateOf(old);
  driver_.Deliver(old, finish);
  EXPECT_EQ(driver_.FirstEnd(request), nullptr);
  finish.failure = {ErrorCode::kTargetFailed, Outcome::kUnknown, {}};
  driver_.Deliver(old, finish);
  EXPECT_EQ(driver_.record(request).offers.size(), 2u);
  EXPECT_EQ(driver_.FirstEnd(request), nullptr);
  driver_.Run(seconds(20));
  CheckEntryInvariants(driver_);
}

// Guards against retries that multiply the load when targets fail.
TEST_F(EntryRequestsTest, RetriesAreBoundedByTheAccountsBudget) {
  driver_.faults().failed_streams = 1;
  size_t offers = 0;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    const RequestId request = driver_.Submit(driver_.Completion());
    driver_.Run(milliseconds(200));
    offers += driver_.record(request).offers.size();
  }
  const size_t retries = offers - kRequests;
  const size_t initial = kInitialRetryCredit / kCreditPerRetry;
  EXPECT_GT(retries, initial);
  EXPECT_LE(retries, initial + kRequests / 10);
  driver_.Run(seconds(10));
  CheckEntryInvariants(driver_);
}

// Guards against a planned stop that exhausts the retry budget, so that
// requests fail.
TEST_F(EntryRequestsTest, RefusalsOfADrainingAgentAreNotCharged) {
  driver_.faults().lost = 0;
  for (int i = 0; i < 200; ++i) {
    // A stale report hides the drain from the entry until an offer is refused.
    driver_.agent("engine-1").draining = false;
    driver_.Deliver(driver_.agent("engine-1"),
                    LoadReport{driver_.NextStateOf(driver_.agent("engine-1"))});
    driver_.agent("engine-1").draining = true;
    const RequestId request = driver_.Submit(driver_.Completion());
    driver_.Run(milliseconds(200));
    ASSERT_NE(driver_.FirstEnd(request), nullptr);
    EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  }
  CheckEntryInvariants(driver_);
}

// Guards against dispatching calls with one idempotency key to two agents.
TEST_F(EntryRequestsTest, SameIdempotencyKeySelectsSameAgent) {
  std::set<InstanceId> all;
  for (int key = 0; key < 16; ++key) {
    std::set<InstanceId> used;
    for (int i = 0; i < 4; ++i) {
      RequestSpec spec = driver_.ServiceCall(false);
      spec.key = IdempotencyKey("key-" + std::to_string(key));
      const RequestId request = driver_.Submit(spec);
      used.insert(AgentOf(request).info.instance);
    }
    EXPECT_EQ(used.size(), 1u) << key;
    all.insert(used.begin(), used.end());
  }
  EXPECT_EQ(all.size(), 2u);
  driver_.Run(seconds(5));
  CheckEntryInvariants(driver_);
}

// Guards against work that continues after its caller has disconnected, and
// against load that stays counted for it.
TEST_F(EntryRequestsTest, CallerGoneCancelsTheAttempt) {
  const RequestId request = driver_.Submit(driver_.Completion());
  driver_.Run(milliseconds(30));
  driver_.record(request).caller_gone = true;
  driver_.core().OnCallerGone(request, driver_.Now());
  driver_.Run(milliseconds(10));
  EXPECT_EQ(CountSent<Cancel>(AgentOf(request).info.instance), 1);
  EXPECT_TRUE(driver_.record(request).ends.empty());
  CheckEntryInvariants(driver_);
}

// Guards against a planned stop that interrupts requests.
TEST_F(EntryRequestsTest, DrainCompletesOpenRequestsAndRefusesNewOnes) {
  const RequestId open = driver_.Submit(driver_.Completion());
  driver_.Drain();
  EXPECT_FALSE(driver_.core().IsDrained());
  const RequestId late = driver_.Submit(driver_.Completion());
  ExpectFailure(late, ErrorCode::kNotReady, Outcome::kNotRun);
  driver_.Run(seconds(1));
  EXPECT_TRUE(driver_.FirstEnd(open)->completed);
  EXPECT_TRUE(driver_.core().IsDrained());
  CheckEntryInvariants(driver_);
}

// Guards against a stopping entry that takes a request which may last longer
// than the stop, and is then ended with it.
TEST_F(EntryRequestsTest, StoppingEntryRefusesWhatMayOutlastTheStop) {
  RequestSpec spec = driver_.Completion();
  const Time deadline = spec.deadline;
  driver_.core().OnStopPlanned(deadline);
  ExpectFailure(driver_.Submit(spec), ErrorCode::kNotReady, Outcome::kNotRun);
  driver_.core().OnStopPlanned(deadline + std::chrono::milliseconds(1));
  const RequestId fits = driver_.Submit(driver_.Completion());
  driver_.Run(seconds(1));
  EXPECT_TRUE(driver_.FirstEnd(fits)->completed);
  CheckEntryInvariants(driver_);
}

// Guards against a planned stop that ends with open requests: each is answered,
// and only one that was never offered is reported as not run.
TEST_F(EntryRequestsTest, EndOfTheStopFailsOpenRequests) {
  const RequestId offered = driver_.Submit(driver_.Completion());
  driver_.config().withdrawn_data_centres = {DataCentreId("dc-a"),
                                             DataCentreId("dc-b")};
  driver_.PushConfig();
  const RequestId waiting = driver_.Submit(driver_.Completion());
  ASSERT_TRUE(driver_.record(waiting).offers.empty());
  driver_.Drain();
  EXPECT_EQ(driver_.EndOpenRequests(), 2u);
  ExpectFailure(offered, ErrorCode::kOutcomeUnknown, Outcome::kUnknown);
  ExpectFailure(waiting, ErrorCode::kNotReady, Outcome::kNotRun);
  EXPECT_TRUE(driver_.core().IsDrained());
  driver_.Run(seconds(1));
  EXPECT_TRUE(driver_.record(waiting).offers.empty());
  CheckEntryInvariants(driver_);
}

// Guards against offers to targets and data centres that operators have
// withdrawn, even before the agents know of it.
TEST_F(EntryRequestsTest, WithdrawnTargetsGetNoNewWork) {
  driver_.config().withdrawn_targets.insert(TargetId("target-engine-1"));
  driver_.PushConfig();
  for (int i = 0; i < 50; ++i) {
    const RequestId request = driver_.Submit(driver_.Completion());
    EXPECT_EQ(AgentOf(request).info.instance, InstanceId("engine-2"));
  }
  driver_.config().withdrawn_targets.clear();
  driver_.config().withdrawn_data_centres.insert(DataCentreId("dc-a"));
  driver_.PushConfig();
  const RequestId refused = driver_.Submit(driver_.Completion());
  EXPECT_TRUE(driver_.record(refused).offers.empty());
  driver_.Run(seconds(10));
  ExpectFailure(refused, ErrorCode::kNoTarget, Outcome::kNotRun);
  CheckEntryInvariants(driver_);
}

// Guards against offers to leaving or draining targets.
TEST_F(EntryRequestsTest, LeavingAndDrainingTargetsGetNoNewWork) {
  driver_.Deliver(driver_.agent("engine-1"), Goodbye{});
  for (int i = 0; i < 20; ++i) {
    const RequestId request = driver_.Submit(driver_.Completion());
    EXPECT_EQ(AgentOf(request).info.instance, InstanceId("engine-2"));
  }
  driver_.agent("engine-2").draining = true;
  driver_.Run(seconds(2));
  const RequestId none = driver_.Submit(driver_.Completion());
  EXPECT_TRUE(driver_.record(none).offers.empty());
  driver_.Run(seconds(10));
  CheckEntryInvariants(driver_);
}

// Guards against offers to targets that do not answer their agent, which then
// reports them as not ready, or whose agent has not reported yet.
TEST_F(EntryRequestsTest, UnreadyTargetsGetNoWorkUntilTheyAreReady) {
  driver_.agent("engine-1").ready = false;
  driver_.agent("engine-2").ready = false;
  driver_.AddAgent("engine-3", "dc-a", "model", "").alive = false;
  driver_.agent("engine-3").alive_again_at = driver_.Now() + seconds(60);
  driver_.PushInstances();
  driver_.Run(milliseconds(1500));
  const RequestId request = driver_.Submit(driver_.Completion());
  driver_.Run(seconds(1));
  EXPECT_TRUE(driver_.record(request).offers.empty());
  driver_.agent("engine-2").ready = true;
  driver_.Run(seconds(2));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckEntryInvariants(driver_);
}

// Guards against targets that stay unused after the withdrawal of their data
// centre has ended.
TEST_F(EntryRequestsTest, RestoredDataCentreReceivesRequests) {
  driver_.config().withdrawn_data_centres.insert(DataCentreId("dc-a"));
  driver_.PushConfig();
  driver_.Run(seconds(20));
  driver_.config().withdrawn_data_centres.clear();
  driver_.PushConfig();
  driver_.Run(seconds(2));
  const RequestId request = driver_.Submit(driver_.Completion());
  driver_.Run(seconds(1));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckEntryInvariants(driver_);
}

// Guards against an older report overwriting a newer one.
TEST_F(EntryRequestsTest, OlderAgentStateIsIgnored) {
  FakeAgent& agent = driver_.agent("engine-1");
  const AgentState older = driver_.NextStateOf(agent);
  agent.draining = true;
  driver_.Deliver(agent, LoadReport{driver_.NextStateOf(agent)});
  driver_.Deliver(agent, LoadReport{older});
  for (int i = 0; i < 20; ++i) {
    const RequestId request = driver_.Submit(driver_.Completion());
    EXPECT_EQ(AgentOf(request).info.instance, InstanceId("engine-2"));
  }
  driver_.Run(seconds(2));
  CheckEntryInvariants(driver_);
}

// Guards against a request that never completes because progress of the
// abandoned attempt is ignored. The session reported it before it learned of
// the new attempt, and it reaches the core afterwards.
TEST_F(EntryRequestsTest, ProgressOfAbandonedAttemptIsCounted) {
  driver_.agent("engine-1").replies_suppressed = true;
  driver_.agent("engine-2").replies_suppressed = true;
  const RequestId request =
      driver_.Submit(driver_.Completion(1000, seconds(20)));
  const AttemptId old_attempt = driver_.record(request).current_attempt;
  driver_.Run(milliseconds(3700));
  ASSERT_EQ(driver_.record(request).offers.size(), 2u);
  driver_.core().OnProgress(old_attempt, 5, driver_.Now());
  Finish finish;
  finish.attempt = driver_.record(request).current_attempt;
  finish.chunk_count = 5;
  finish.state = driver_.NextStateOf(AgentOf(request));
  driver_.Deliver(AgentOf(request), finish);
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckOneEndByDeadline(driver_);
}

// Guards against abandoning a completed answer because a late duplicate of the
// offer is refused with kAlreadyRan.
TEST_F(EntryRequestsTest, AlreadyRanReplyToDuplicateOfferKeepsAttempt) {
  const RequestId request = driver_.Submit(driver_.Completion());
  driver_.Run(milliseconds(30));
  OfferReply reply;
  reply.attempt = driver_.record(request).current_attempt;
  reply.verdict = Verdict::kRefused;
  reply.failure = {ErrorCode::kAlreadyRan, Outcome::kRan, {}};
  reply.state = driver_.NextStateOf(AgentOf(request));
  driver_.Deliver(AgentOf(request), reply);
  driver_.Run(seconds(2));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  EXPECT_EQ(driver_.record(request).offers.size(), 1u);
  CheckEntryInvariants(driver_);
}

// Guards against counting service calls in tokens while their agents count
// calls: every agent would appear full immediately.
TEST_F(EntryRequestsTest, ServiceCallsCountAsOneEach) {
  for (int i = 0; i < 20; ++i) {
    RequestSpec spec = driver_.ServiceCall(true);
    spec.prompt_tokens = Tokens(5000);
    driver_.Submit(spec);
  }
  int64_t total = 0;
  for (const TargetHint& it : driver_.core().tables().fleet.hints) {
    total += it.own_tokens;
  }
  EXPECT_EQ(total, 20);
  driver_.Run(seconds(5));
  CheckEntryInvariants(driver_);
}

// Guards against an accepted attempt that keeps running although its request is
// gone.
TEST_F(EntryRequestsTest, LateAcceptanceOfAnUnknownAttemptIsCancelled) {
  FakeAgent& agent = driver_.agent("engine-1");
  OfferReply reply;
  reply.attempt = {{9, 9}, AttemptNumber(1)};
  reply.verdict = Verdict::kAccepted;
  reply.state = driver_.NextStateOf(agent);
  const int before = CountSent<Cancel>(agent.info.instance);
  driver_.Deliver(agent, reply);
  EXPECT_EQ(CountSent<Cancel>(agent.info.instance), before + 1);
}

// Guards against an older configuration that undoes the withdrawal of a target.
TEST_F(EntryRequestsTest, OlderConfigurationIsIgnored) {
  FleetConfig older = driver_.config();
  older.version = ConfigVersion(0);
  driver_.config().withdrawn_targets.insert(TargetId("target-engine-1"));
  driver_.PushConfig();
  driver_.core().OnConfig(std::make_shared<FleetConfig>(older), driver_.Now());
  driver_.Run(seconds(2));
  for (int i = 0; i < 20; ++i) {
    const RequestId request = driver_.Submit(driver_.Completion());
    EXPECT_EQ(AgentOf(request).info.instance, InstanceId("engine-2"));
  }
  driver_.Run(seconds(2));
  CheckEntryInvariants(driver_);
}

// Guards against processing messages for an earlier incarnation of this entry.
TEST_F(EntryRequestsTest, MessagesForOtherIncarnationAreDropped) {
  FakeAgent& agent = driver_.agent("engine-1");
  Message message;
  message.sender = {agent.info.instance, agent.incarnation};
  message.receiver = Incarnation(6);
  agent.draining = true;
  message.body = LoadReport{driver_.NextStateOf(agent)};
  agent.draining = false;
  driver_.core().OnMessage(message, driver_.Now());
  const FleetTable& fleet = driver_.core().tables().fleet;
  const TargetSlot slot = fleet.by_instance.at(agent.info.instance);
  EXPECT_EQ(fleet.hints[slot].availability, TargetAvailability::kUsable);
}

// Guards against a hold that is never released because its gang was abandoned
// before the reply arrived.
TEST_F(EntryRequestsTest, LateHoldOfAnUnknownGangIsReleased) {
  FakeAgent& agent = driver_.agent("engine-1");
  HoldReply reply;
  reply.attempt = {{9, 9}, AttemptNumber(1)};
  reply.verdict = Verdict::kAccepted;
  reply.state = driver_.NextStateOf(agent);
  driver_.Deliver(agent, reply);
  EXPECT_EQ(CountSent<HoldRelease>(agent.info.instance), 1);
}

// Guards against a state dump without the open requests.
TEST_F(EntryRequestsTest, DumpListsOpenRequests) {
  const RequestId request = driver_.Submit(driver_.Completion());
  const std::string dump = driver_.core().Dump(driver_.Now());
  EXPECT_NE(dump.find(ToString(request)), std::string::npos);
  EXPECT_NE(dump.find("\"phase\":\"offered\""), std::string::npos);
}

// Guards against a request that crashes engine after engine as its caller sends
// it again, and against refusals of requests that share all of its full blocks.
TEST(EntryCrashBlameTest, StopsOfferingRequestThatCrashesEngines) {
  constexpr uint64_t kDeadly = 77;
  constexpr uint32_t kMaxCrashes = 3;
  EntryDriver driver(1);
  std::vector<std::string> names;
  for (int i = 0; i < 30; ++i) {
    names.push_back("engine-" + std::to_string(i));
    driver.AddAgent(names.back(), "dc-a", "model", "").crashing_prefixes = {
        kDeadly};
  }
  driver.Start();
  std::vector<RequestId> healthy;
  RequestId last_deadly;
  const auto submit_healthy = [&](uint64_t i) {
    RequestSpec other = driver.Completion();
    other.prefix_hashes = {1, 2, 2'000 + i};
    other.prompt_hash = 2'000 + i;
    healthy.push_back(driver.Submit(other));
    driver.Run(milliseconds(250));
  };
  submit_healthy(0);
  for (uint64_t i = 1; i < 20; ++i) {
    RequestSpec deadly = driver.Completion();
    deadly.prefix_hashes = {1, 2, kDeadly};
    deadly.prompt_hash = kDeadly;
    last_deadly = driver.Submit(deadly);
    submit_healthy(i);
  }
  uint32_t crashes = 0;
  for (const std::string& it : names) {
    crashes += driver.agent(it).crashes;
  }
  EXPECT_GE(crashes, 1u);
  EXPECT_LE(crashes, kMaxCrashes);
  for (const RequestId& it : healthy) {
    const RequestEnd* end = driver.FirstEnd(it);
    ASSERT_NE(end, nullptr);
    EXPECT_TRUE(end->completed);
  }
  const RequestEnd* refused = driver.FirstEnd(last_deadly);
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(ToString(refused->failure.code), "part_blocked");
  EXPECT_EQ(ToString(refused->failure.outcome), "not_run");
}

// Guards against one prefix of prompts that crashes engine after engine: each
// request with it, new or repeated, was offered to another one.
TEST(EntryCrashBlameTest, StopsOfferingPrefixThatCrashesEngines) {
  constexpr uint64_t kPoison = 66;
  constexpr uint32_t kMaxCrashes = 5;
  constexpr uint32_t kMaxOffersAfterThem = 3;
  EntryDriver driver(1);
  std::vector<std::string> names;
  for (int i = 0; i < 30; ++i) {
    names.push_back("engine-" + std::to_string(i));
    driver.AddAgent(names.back(), "dc-a", "model", "").crashing_prefixes = {
        kPoison};
  }
  driver.Start();
  std::vector<RequestId> healthy;
  RequestId last_poisoned;
  Time last_sent;
  for (uint64_t i = 0; i < 40; ++i) {
    RequestSpec poison = driver.Completion();
    poison.prefix_hashes = {1, kPoison, 1'000 + i};
    last_sent = driver.Now();
    last_poisoned = driver.Submit(poison);
    RequestSpec other = driver.Completion();
    other.prefix_hashes = {1, 2, 2'000 + i};
    healthy.push_back(driver.Submit(other));
    driver.Run(milliseconds(250));
  }
  uint32_t crashes = 0;
  for (const std::string& it : names) {
    crashes += driver.agent(it).crashes;
  }
  EXPECT_LE(crashes, kMaxCrashes + kMaxOffersAfterThem);
  size_t first_attempts = 0;
  for (const RequestId& it : healthy) {
    const RequestEnd* end = driver.FirstEnd(it);
    ASSERT_NE(end, nullptr);
    EXPECT_TRUE(end->completed);
    first_attempts += driver.record(it).offers.size() == 1 ? 1 : 0;
  }
  EXPECT_GE(first_attempts, healthy.size() / 2);
  // The caller is told at once.
  const RequestEnd* refused = driver.FirstEnd(last_poisoned);
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(ToString(refused->failure.code), "part_blocked");
  EXPECT_EQ(ToString(refused->failure.outcome), "not_run");
  EXPECT_GT(refused->failure.retry_after, seconds(60));
  EXPECT_EQ(refused->at, last_sent);
}

// Guards against an entry that needs crashes of its own although another one
// has reported a block.
TEST(EntryCrashBlameTest, BlockOfAnotherEntryIsTakenOver) {
  constexpr uint64_t kPoison = 66;
  EntryDriver driver(1);
  FakeAgent& agent = driver.AddAgent("engine-1", "dc-a", "model", "");
  driver.Start();
  BlameReport report;
  BlameRecord& record = report.records.emplace_back();
  record.parts = {MakePartKey("model", kPoison)};
  record.sightings = {{1, 2, milliseconds(100), seconds(2), PartKey()}};
  record.blocks = 1;
  record.blocked_left = seconds(90);
  driver.Deliver(agent, report);
  RequestSpec poison = driver.Completion();
  poison.prefix_hashes = {1, kPoison, 3};
  const RequestId request = driver.Submit(poison);
  driver.Run(milliseconds(50));
  const RequestEnd* end = driver.FirstEnd(request);
  ASSERT_NE(end, nullptr);
  EXPECT_EQ(ToString(end->failure.code), "part_blocked");
  EXPECT_TRUE(driver.record(request).offers.empty());
}

}  // namespace
}  // namespace burdockhatch
