#include <gtest/gtest.h>

#include "src/claim_shard.h"
#include "src/claims.h"
#include "tests/agent_invariants.h"
#include "tests/agent_simulation.h"

namespace burdockhatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentClaimsTest : public testing::Test {
 protected:
  AgentClaimsTest()
      : simulation_(1), node_(simulation_.AddServiceAgent("agent-1")) {
    simulation_.Run(milliseconds(100));
  }

  AttemptId SendKeyedCall(SimulatedNode& node,
                          const std::string& key,
                          Duration left = seconds(2)) {
    return simulation_.SendOffer(node,
                                 simulation_.MakeKeyedCallOffer(key, left));
  }

  // Returns the failure of the attempt's only Finish.
  Failure FinalFailure(const AttemptId& attempt) {
    const OfferRecord& record = simulation_.offers[attempt];
    EXPECT_EQ(record.finishes.size(), 1u);
    return record.finishes.empty() ? Failure{}
                                   : record.finishes[0].second.failure;
  }

  AgentSimulation simulation_;
  SimulatedNode& node_;
};

// Guards against one write per key, which the object API could not handle.
TEST_F(AgentClaimsTest, KeysShareWrites) {
  for (int i = 0; i < 200; ++i) {
    SendKeyedCall(node_, "key-" + std::to_string(i), seconds(5));
    simulation_.Run(milliseconds(10));
  }
  // Two shards with at most one write per 100 ms each.
  EXPECT_LE(simulation_.object_updates, 2 * (2'000 / 100 + 1));
  simulation_.Run(seconds(6));
  EXPECT_EQ(simulation_.key_executions.size(), 200u);
  CheckAllInvariants(simulation_);
}

// Guards against a second execution when a retry reaches the same agent.
TEST_F(AgentClaimsTest, RetryGetsTheStoredAnswer) {
  const AttemptId first = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  const AttemptId retry = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinalFailure(retry).code, ErrorCode::kNone);
  ASSERT_EQ(simulation_.offers[retry].chunks.size(), 1u);
  EXPECT_EQ(simulation_.offers[retry].chunks[0].data,
            simulation_.offers[first].chunks[0].data);
  EXPECT_EQ(simulation_.key_executions["k"], 1);
}

// Guards against a retry during the call that is executed a second time or is
// not answered by the call.
TEST_F(AgentClaimsTest, RetryJoinsTheCallInProgress) {
  const AttemptId first = SendKeyedCall(node_, "k");
  const AttemptId second = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinalFailure(first).code, ErrorCode::kNone);
  EXPECT_EQ(FinalFailure(second).code, ErrorCode::kNone);
  EXPECT_EQ(simulation_.key_executions["k"], 1);
}

// Guards against the outcome "not run" for a retry that times out during the
// call of its key.
TEST_F(AgentClaimsTest, JoinedRetryThatTimesOutIsUnknown) {
  simulation_.faults.call_slow = 1;
  SendKeyedCall(node_, "k", seconds(2));
  simulation_.Run(milliseconds(500));
  const AttemptId retry = SendKeyedCall(node_, "k", milliseconds(500));
  simulation_.Run(seconds(4));
  EXPECT_EQ(FinalFailure(retry).outcome, Outcome::kUnknown);
}

// Guards against the stored answer of one request when its key is reused for
// another request.
TEST_F(AgentClaimsTest, KeyOfAnotherRequestIsRefused) {
  SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  Offer other = simulation_.MakeKeyedCallOffer("k", seconds(2));
  other.body = "another permit";
  const AttemptId second = simulation_.SendOffer(node_, other);
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinalFailure(second).code, ErrorCode::kInvalidRequest);
  EXPECT_EQ(FinalFailure(second).outcome, Outcome::kNotRun);
}

// Guards against equal keys of two client accounts being treated as one key.
TEST_F(AgentClaimsTest, KeysAreSeparatePerAccount) {
  Offer one = simulation_.MakeKeyedCallOffer("k", seconds(2));
  Offer two = one;
  two.account = ClientAccountId("chalkworks");
  const AttemptId first = simulation_.SendOffer(node_, one);
  const AttemptId second = simulation_.SendOffer(node_, two);
  simulation_.Run(seconds(1));
  EXPECT_EQ(simulation_.executions[first], 1);
  EXPECT_EQ(simulation_.executions[second], 1);
}

// Guards against a second execution at another agent, and against a record that
// is never marked as done.
TEST_F(AgentClaimsTest, OtherAgentAnswersFromTheRecord) {
  SimulatedNode& other = simulation_.AddServiceAgent("agent-2");
  SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  const AttemptId unknown = SendKeyedCall(other, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinalFailure(unknown).code, ErrorCode::kOutcomeUnknown);
  EXPECT_EQ(FinalFailure(unknown).outcome, Outcome::kUnknown);
  // The next claims on both shards also write the done mark.
  for (int i = 0; i < 8; ++i) {
    SendKeyedCall(node_, "next-" + std::to_string(i));
  }
  simulation_.Run(seconds(1));
  const AttemptId done = SendKeyedCall(other, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinalFailure(done).code, ErrorCode::kAlreadyRan);
  EXPECT_EQ(FinalFailure(done).outcome, Outcome::kRan);
  EXPECT_EQ(simulation_.key_executions["k"], 1);
}

// Guards against a second execution after the agent crashed between the claim
// and the end of the call.
TEST_F(AgentClaimsTest, KeyStaysClaimedAfterACrash) {
  SendKeyedCall(node_, "k");
  simulation_.Run(milliseconds(20));
  simulation_.RestartAgent(node_);
  simulation_.Run(seconds(2));
  ASSERT_FALSE(simulation_.objects.empty());
  const AttemptId retry = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinalFailure(retry).code, ErrorCode::kOutcomeUnknown);
  EXPECT_LE(simulation_.key_executions["k"], 1);
}

// Guards against a claim that blocks a key for other agents after its call was
// refused as not run.
TEST_F(AgentClaimsTest, UnusedClaimIsReleasedByTheNextWrite) {
  SimulatedNode& other = simulation_.AddServiceAgent("agent-2");
  simulation_.faults.object_answer_lost = 1;
  // The claim is written, but the reply is lost and the deadline passes.
  const AttemptId first = SendKeyedCall(node_, "k", milliseconds(200));
  simulation_.Run(seconds(1));
  simulation_.faults = {};
  EXPECT_EQ(FinalFailure(first).outcome, Outcome::kNotRun);
  for (int i = 0; i < 8; ++i) {
    SendKeyedCall(node_, "next-" + std::to_string(i));
  }
  simulation_.Run(seconds(1));
  const AttemptId retry = SendKeyedCall(other, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(simulation_.executions[retry], 1);
  CheckAllInvariants(simulation_);
}

// Guards against a claim that blocks a key for other agents after its call
// could not be sent.
TEST_F(AgentClaimsTest, HeldClaimIsReleasedByTheNextWrite) {
  SimulatedNode& other = simulation_.AddServiceAgent("agent-2");
  simulation_.faults.call_not_sent = 1;
  const AttemptId first = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  simulation_.faults = {};
  EXPECT_EQ(FinalFailure(first).outcome, Outcome::kNotRun);
  for (int i = 0; i < 8; ++i) {
    SendKeyedCall(node_, "next-" + std::to_string(i));
  }
  simulation_.Run(seconds(1));
  const AttemptId retry = SendKeyedCall(other, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(simulation_.executions[retry], 1);
  CheckAllInvariants(simulation_);
}

// Guards against an unused claim that its own agent cannot use for a retry.
TEST_F(AgentClaimsTest, UnusedClaimServesARetry) {
  simulation_.faults.object_answer_lost = 1;
  SendKeyedCall(node_, "k", milliseconds(200));
  simulation_.Run(seconds(1));
  simulation_.faults = {};
  const AttemptId retry = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(simulation_.executions[retry], 1);
}

// Guards against a second execution when a write that releases a claim gets no
// reply and takes effect only after the shard was read again.
TEST(AgentLateReleaseTest, ClaimIsNotUsedWhileItsReleaseMayTakeEffect) {
  int execution_count = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    AgentSimulation simulation(seed);
    SimulatedNode& one = simulation.AddServiceAgent("agent-1");
    SimulatedNode& two = simulation.AddServiceAgent("agent-2");
    auto config = MakeSimulationConfig(2);
    config->services[ServiceId("orders")].claim_shards = 1;
    simulation.SetConfig(config);
    simulation.Run(milliseconds(100));
    simulation.faults.call_not_sent = 1;
    simulation.SendOffer(one, simulation.MakeKeyedCallOffer("k", seconds(2)));
    simulation.Run(seconds(1));
    simulation.faults = {};
    simulation.faults.object_late = 1;
    simulation.SendOffer(one,
                         simulation.MakeKeyedCallOffer("other", seconds(5)));
    simulation.Run(milliseconds(50));
    simulation.faults = {};
    simulation.SendOffer(one, simulation.MakeKeyedCallOffer("k", seconds(5)));
    simulation.Run(seconds(2));
    simulation.SendOffer(two, simulation.MakeKeyedCallOffer("k", seconds(5)));
    simulation.Run(seconds(6));
    CheckAllInvariants(simulation);
    execution_count += simulation.key_executions["k"];
  }
  EXPECT_EQ(execution_count, 20);
}

ClaimRecords ForeignRecords(int count, UnixSeconds claimed_at) {
  ClaimRecords records;
  for (int i = 0; i < count; ++i) {
    records[{static_cast<uint64_t>(i), 1}] = {
        InstanceId("elsewhere"), Incarnation(1), claimed_at, false};
  }
  return records;
}

// Guards against a shard that exceeds the size limit of the object API.
TEST_F(AgentClaimsTest, FullShardRefusesNewKeys) {
  const std::string full =
      SerializeClaimShard(ForeignRecords(20'800, UnixSeconds(1'700'000'000)));
  ASSERT_GT(full.size() + 60, kMaxClaimShardBytes);
  for (const char* name : {"orders/0", "orders/1"}) {
    simulation_.objects[{"claims", name}] = {ObjectVersion(7), full};
  }
  const AttemptId call = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinalFailure(call).code, ErrorCode::kClaimUnavailable);
  EXPECT_EQ(FinalFailure(call).outcome, Outcome::kNotRun);
  EXPECT_EQ(simulation_.object_updates, 0);
}

// Guards against records that fill the shard after their retention expired.
TEST_F(AgentClaimsTest, OldRecordsArePruned) {
  const std::string old = SerializeClaimShard(
      ForeignRecords(20'800, UnixSeconds(1'700'000'000 - 25 * 3600)));
  for (const char* name : {"orders/0", "orders/1"}) {
    simulation_.objects[{"claims", name}] = {ObjectVersion(7), old};
  }
  const AttemptId call = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(simulation_.executions[call], 1);
  size_t smallest = old.size();
  for (const auto& [name, object] : simulation_.objects) {
    smallest = std::min(smallest, object.value.size());
  }
  EXPECT_LT(smallest, 200u);
}

// Guards against lost claims when an unreadable shard is overwritten.
TEST_F(AgentClaimsTest, MalformedShardIsNotOverwritten) {
  for (const char* name : {"orders/0", "orders/1"}) {
    simulation_.objects[{"claims", name}] = {ObjectVersion(7), "not a shard"};
  }
  const AttemptId call = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  EXPECT_EQ(FinalFailure(call).code, ErrorCode::kClaimUnavailable);
  EXPECT_EQ(simulation_.object_updates, 0);
}

// Guards against the use of a claim whose record other agents may have pruned.
TEST_F(AgentClaimsTest, OldUnusedClaimIsRenewed) {
  simulation_.faults.call_not_sent = 1;
  SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  simulation_.faults = {};
  const int updates_before = simulation_.object_updates;
  auto config = MakeSimulationConfig(2);
  config->services[ServiceId("orders")].idempotency_retention = seconds(4);
  simulation_.SetConfig(config);
  simulation_.Run(seconds(3));
  const AttemptId retry = SendKeyedCall(node_, "k");
  simulation_.Run(seconds(1));
  EXPECT_GT(simulation_.object_updates, updates_before);
  EXPECT_EQ(simulation_.executions[retry], 1);
}

// Guards against stored answers that exceed their memory limit.
TEST_F(AgentClaimsTest, AnswersAreBounded) {
  AnswerStore store;
  ServiceResponse answer;
  answer.body.assign(kMaxStoredAnswerBytes / 2, 'x');
  const uint64_t first = StoreAnswer(store, answer);
  StoreAnswer(store, answer);
  const uint64_t last = StoreAnswer(store, answer);
  EXPECT_EQ(FindAnswer(store, first), nullptr);
  EXPECT_NE(FindAnswer(store, last), nullptr);
  EXPECT_LE(store.bytes, kMaxStoredAnswerBytes);
}

// Guards against claims that change when they are serialized and parsed.
TEST(AgentClaimShardTest, RecordsRoundTrip) {
  ClaimRecords records = ForeignRecords(3, UnixSeconds(17));
  records[{5, 6}] = {InstanceId("a"), Incarnation(9), UnixSeconds(1), true};
  const std::string text = SerializeClaimShard(records);
  const auto parsed = ParseClaimShard(text);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->size(), records.size());
  EXPECT_EQ(parsed->at({5, 6}).incarnation, Incarnation(9));
  EXPECT_TRUE(parsed->at({5, 6}).done);
  EXPECT_EQ(SerializeClaimShard(*parsed), text);
}

// Guards against a corrupt shard that is parsed as a shard without claims.
TEST(AgentClaimShardTest, InvalidTextIsRejected) {
  const std::string key(32, '0');
  for (const std::string& text : {
           std::string(""),
           std::string("{}"),
           std::string("[]"),
           std::string(R"({"holders":[],"records":[]})"),
           std::string(R"({"holders":[["a"]],"records":{}})"),
           std::string(R"({"holders":[["a",-1]],"records":{}})"),
           R"({"holders":[],"records":{")" + key + R"(":[0,1,0]}})",
           R"({"holders":[["a",1]],"records":{")" + key + R"(":[0,1]}})",
           R"({"holders":[["a",1]],"records":{")" + key + R"(":[0,1,2]}})",
           // Time that does not fit into a signed 64-bit integer.
           R"({"holders":[["a",1]],"records":{")" + key +
               R"(":[0,9223372036854775808,0]}})",
           R"({"holders":[["a",1]],"records":{")" + key +
               R"(":[0,253402300800,0]}})",
           std::string(R"({"holders":[["a",1]],"records":{"x":[0,1,0]}})"),
       }) {
    EXPECT_FALSE(ParseClaimShard(text)) << text;
  }
}

}  // namespace
}  // namespace burdockhatch
