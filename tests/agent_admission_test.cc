#include "src/admission.h"

#include <gtest/gtest.h>

#include "src/attempts.h"
#include "src/booking.h"
#include "src/warmup.h"
#include "tests/agent_invariants.h"
#include "tests/agent_world.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentAdmissionTest : public testing::Test {
 protected:
  AgentAdmissionTest() : world_(3), node_(world_.AddEngineAgent("agent-1")) {
    world_.Run(milliseconds(100));
  }

  // Streams of this output last for 2 s.
  static constexpr Tokens kLongOutput{2'000};

  AttemptId Offer(int64_t prompt, Duration left, Tokens output = Tokens(50)) {
    const AttemptId id = world_.SendOffer(
        node_, world_.Completion(Tokens(prompt), output, left));
    world_.Run(AgentWorld::kStep);
    return id;
  }

  bool Dispatched(const AttemptId& id) { return world_.dispatches[id] > 0; }

  // The failure that ended an attempt or refused its offer.
  Failure EndOf(const AttemptId& id) {
    const auto& closed = node_.core->tables().closed;
    auto it = closed.find(id);
    EXPECT_NE(it, closed.end());
    return it == closed.end() ? Failure{} : it->second.ending.failure;
  }

  AgentWorld world_;
  WorldNode& node_;
};

// Guards against short requests that wait behind longer ones. The cold budget
// is 50,000 tokens.
TEST_F(AgentAdmissionTest, ShortWorkGoesFirst) {
  Offer(45'000, seconds(30), kLongOutput);
  const AttemptId medium = Offer(30'000, seconds(30));
  const AttemptId small = Offer(2'500, seconds(30));
  EXPECT_FALSE(Dispatched(medium));
  EXPECT_TRUE(Dispatched(small));
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

std::vector<uint64_t> OrderOf(const AgentTables& tables) {
  std::vector<uint64_t> order;
  for (const AttemptId& id : DispatchOrder(tables)) {
    order.push_back(id.request.low);
  }
  return order;
}

// Guards against an order by arrival alone, which lets short requests wait
// behind longer ones.
TEST(AgentDispatchOrderTest, ShortFirstThenByArrival) {
  AgentTables tables;
  tables.now = Time(seconds(100));
  AddQueued(tables, 1, LengthClass::kHuge, tables.now - milliseconds(300));
  AddQueued(tables, 2, LengthClass::kMedium, tables.now - milliseconds(200));
  AddQueued(tables, 3, LengthClass::kShort, tables.now);
  AddQueued(tables, 4, LengthClass::kShort, tables.now - milliseconds(100));
  EXPECT_EQ(OrderOf(tables), (std::vector<uint64_t>{4, 3, 2, 1}));
}

// Guards against longer work that is overtaken by every later short request.
TEST(AgentDispatchOrderTest, WaitingWorkRises) {
  AgentTables tables;
  tables.now = Time(seconds(100));
  AddQueued(tables, 1, LengthClass::kHuge, tables.now - 3 * kAgingInterval);
  AddQueued(tables, 2, LengthClass::kMedium, tables.now - kAgingInterval);
  AddQueued(tables, 3, LengthClass::kShort, tables.now);
  AddQueued(tables, 4, LengthClass::kLong, tables.now - kAgingInterval);
  EXPECT_EQ(OrderOf(tables), (std::vector<uint64_t>{1, 2, 3, 4}));
}

// Guards against aged work whose room is taken by each request that is smaller,
// and against aged work that takes the share of short requests.
TEST(AgentDispatchOrderTest, BlockedAgedWorkKeepsItsRoom) {
  AgentTables tables;
  tables.memory_total = Tokens(100'000);
  StartCold(tables.warmup, Tokens(80'000));
  tables.warmup.budget = Tokens(40'000);
  AcceptedAttempt running;
  running.id = {{1, 1}, AttemptNumber(1)};
  running.length = LengthClass::kMedium;
  running.load = Tokens(20'000);
  BookStream(tables, running);
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

// Guards against longer work that takes the room kept for short work.
TEST_F(AgentAdmissionTest, LongerClassesLeaveRoomForShortWork) {
  for (int i = 0; i < 6; ++i) {
    Offer(10'000, seconds(30), kLongOutput);
  }
  EXPECT_LE(InFlight(node_.core->tables()), Tokens(37'500));
  EXPECT_TRUE(Dispatched(Offer(3'000, seconds(30))));
}

// Guards against longer work that starves while short work keeps coming.
TEST_F(AgentAdmissionTest, LongerWorkAges) {
  node_.options.full_budget = Tokens(80'000);
  world_.Reconfigure(node_);
  world_.Run(milliseconds(50));
  node_.core->TakeActions();
  std::vector<AttemptId> shorts;
  AttemptId medium;
  for (int i = 0; i < 400; ++i) {
    world_.SendOffer(
        node_, world_.Completion(Tokens(1'500), Tokens(1'500), seconds(30)));
    if (i == 50) {
      medium = world_.SendOffer(
          node_, world_.Completion(Tokens(6'000), Tokens(50), seconds(30)));
    }
    world_.Run(milliseconds(20));
  }
  EXPECT_TRUE(Dispatched(medium));
  world_.Run(seconds(30));
  CheckAll(world_);
}

// Guards against a request that is queued although it cannot complete in time.
TEST_F(AgentAdmissionTest, RefusesWhatCannotCompleteInTime) {
  const AttemptId id = Offer(40'000, milliseconds(500));
  EXPECT_EQ(EndOf(id).code, ErrorCode::kDeadlineTooShort);
  EXPECT_EQ(EndOf(id).outcome, Outcome::kNotRun);
  const AttemptId late = Offer(100, Duration(0));
  EXPECT_EQ(EndOf(late).code, ErrorCode::kDeadlineExceeded);
}

// Guards against refusing a prompt as too long for its deadline when most of it
// is in the engine's cache.
TEST_F(AgentAdmissionTest, CachedPrefixShortensTheExpectedTime) {
  burdockhatch::Offer offer =
      world_.Completion(Tokens(40'000), Tokens(50), milliseconds(500));
  for (uint64_t i = 1; i <= 20; ++i) {
    offer.prefix_hashes.push_back(i);
    node_.core->OnCacheEvents({{i, true, i}}, world_.now());
  }
  const AttemptId id = world_.SendOffer(node_, offer);
  world_.Run(AgentWorld::kStep);
  EXPECT_TRUE(Dispatched(id));
}

// Guards against queues that are bounded by count but not by time.
TEST_F(AgentAdmissionTest, QueueIsBoundedByTime) {
  Offer(45'000, seconds(60), Tokens(4'500));
  std::vector<AttemptId> queued;
  for (int i = 0; i < 60; ++i) {
    queued.push_back(Offer(3'900, seconds(60), kLongOutput));
  }
  int refused = 0;
  for (const AttemptId& id : queued) {
    refused += world_.offers[id].refusals;
  }
  EXPECT_GT(refused, 0);
  world_.Run(kMaxQueueWait[0] + AgentWorld::kStep);
  for (const auto& [id, attempt] : node_.core->tables().attempts) {
    EXPECT_NE(attempt.phase, AttemptPhase::kQueued);
  }
  for (const AttemptId& id : queued) {
    if (!Dispatched(id)) {
      EXPECT_EQ(EndOf(id).code, ErrorCode::kOverloaded);
      EXPECT_GT(EndOf(id).retry_after, Duration(0));
    }
  }
  world_.Run(seconds(60));
  CheckAll(world_);
}

// Guards against huge prompts and holds that fill the engine.
TEST_F(AgentAdmissionTest, HugePromptsGetHalfOfTheMemory) {
  node_.options.full_budget = Tokens(4'000'000);
  world_.Reconfigure(node_);
  world_.Run(milliseconds(50));
  const AttemptId first = Offer(200'000, seconds(60), kLongOutput);
  const AttemptId second = Offer(200'000, seconds(60), kLongOutput);
  const AttemptId medium = Offer(20'000, seconds(60));
  EXPECT_TRUE(Dispatched(first));
  EXPECT_FALSE(Dispatched(second));
  EXPECT_TRUE(Dispatched(medium));
  const AttemptId whole = Offer(300'000, seconds(60));
  EXPECT_EQ(EndOf(whole).code, ErrorCode::kPromptTooLong);
  world_.Run(seconds(70));
  CheckAll(world_);
}

// Guards against a leader that books the whole prompt of its gang.
TEST_F(AgentAdmissionTest, LeaderBooksItsShare) {
  node_.options.full_budget = Tokens(4'000'000);
  world_.Reconfigure(node_);
  world_.Run(milliseconds(50));
  burdockhatch::Offer offer =
      world_.Completion(Tokens(500'000), Tokens(50), seconds(60));
  for (int i = 0; i < 2; ++i) {
    offer.members.push_back(
        {{InstanceId("m" + std::to_string(i)), Incarnation(1)},
         Tokens(200'000)});
  }
  const AttemptId id = world_.SendOffer(node_, offer);
  world_.Run(AgentWorld::kStep);
  EXPECT_TRUE(Dispatched(id));
  EXPECT_EQ(BookedMemory(node_.core->tables()), Tokens(100'050));
}

// Guards against work that is accepted before the agent knows what the engine
// holds.
TEST_F(AgentAdmissionTest, NothingIsAcceptedBeforeTheFirstList) {
  world_.faults.list_lost = 1;
  world_.RestartAgent(node_);
  world_.Run(AgentWorld::kRestartTime + milliseconds(50));
  const AttemptId early = Offer(1'000, seconds(30));
  EXPECT_EQ(EndOf(early).code, ErrorCode::kTargetNotReady);
  world_.faults.list_lost = 0;
  world_.Run(seconds(2));
  EXPECT_TRUE(Dispatched(Offer(1'000, seconds(30))));
}

// Guards against a second run of an offer that names no incarnation: a
// predecessor may have run it.
TEST_F(AgentAdmissionTest, UnknownIncarnationGetsOnlyRepeatableWork) {
  burdockhatch::Offer offer =
      world_.Completion(Tokens(1'000), Tokens(50), seconds(30));
  offer.attempt = {{9, 1}, AttemptNumber(1)};
  offer.repeatable = false;
  const Message message{world_.entry, Incarnation(0), {}, offer};
  node_.core->OnMessage(message, world_.now());
  EXPECT_EQ(EndOf(offer.attempt).outcome, Outcome::kUnknown);
}

// Guards against new work for a withdrawn target, against running work that is
// interrupted, and against a target that stays out after its return.
TEST_F(AgentAdmissionTest, WithdrawalAndReturn) {
  const AttemptId running = Offer(45'000, seconds(30), kLongOutput);
  const AttemptId queued = Offer(20'000, seconds(30));
  auto config = WorldConfig(2);
  config->withdrawn_data_centres.insert(DataCentreId("riga-a"));
  world_.SetConfig(config);
  const AttemptId refused = Offer(1'000, seconds(30));
  EXPECT_EQ(EndOf(refused).code, ErrorCode::kTargetWithdrawn);
  EXPECT_FALSE(world_.offers[refused].accepted);
  EXPECT_EQ(EndOf(queued).code, ErrorCode::kTargetWithdrawn);
  EXPECT_EQ(EndOf(queued).outcome, Outcome::kNotRun);
  world_.Run(seconds(5));
  EXPECT_EQ(EndOf(running).code, ErrorCode::kNone);
  world_.SetConfig(WorldConfig(3));
  EXPECT_TRUE(Dispatched(Offer(1'000, seconds(30))));
  CheckAll(world_);
}

// Guards against a configuration that goes back to an older version.
TEST_F(AgentAdmissionTest, OlderConfigurationIsIgnored) {
  auto config = WorldConfig(5);
  config->withdrawn_targets.insert(node_.options.target);
  world_.SetConfig(config);
  world_.SetConfig(WorldConfig(4));
  EXPECT_EQ(EndOf(Offer(1'000, seconds(30))).code, ErrorCode::kTargetWithdrawn);
}

}  // namespace
}  // namespace burdockhatch
