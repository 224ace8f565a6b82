#include "src/agent_core.h"

#include <gtest/gtest.h>

#include "src/agent_tables.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStartTime{seconds(100)};
PeerId EntryId() {
  return {InstanceId("entry-1"), Incarnation(1)};
}

AgentOptions EngineOptions() {
  AgentOptions options;
  options.self = {InstanceId("agent-1"), Incarnation(1)};
  options.target = TargetId("engine-1");
  options.data_centre = DataCentreId("riga-a");
  options.model = ModelId("findings");
  options.memory = Tokens(450'000);
  options.full_budget = Tokens(400'000);
  options.prefill_rate = TokensPerSecond(20'000);
  options.time_per_token = milliseconds(20);
  return options;
}

AgentOptions ServiceOptions() {
  AgentOptions options;
  options.self = {InstanceId("agent-2"), Incarnation(1)};
  options.target = TargetId("orders-1");
  options.data_centre = DataCentreId("riga-a");
  options.service = ServiceId("orders");
  return options;
}

FleetConfigPtr MakeConfig(uint64_t version) {
  auto config = std::make_shared<FleetConfig>();
  config->version = ConfigVersion(version);
  config->models[ModelId("findings")] = {};
  config->services[ServiceId("orders")] = {};
  return config;
}

AttemptId MakeAttemptId(uint64_t number) {
  return {{7, number}, AttemptNumber(1)};
}

Message MakeMessage(const PeerId& sender, MessageBody body) {
  return {sender, Incarnation(1), ConfigVersion(1), std::move(body)};
}

Offer MakeCompletionOffer(uint64_t number, Tokens prompt = Tokens(1'000)) {
  Offer offer;
  offer.attempt = MakeAttemptId(number);
  offer.model = ModelId("findings");
  offer.prompt_tokens = prompt;
  offer.max_output_tokens = Tokens(200);
  offer.time_left = seconds(30);
  offer.body = "text";
  return offer;
}

template <class T>
std::vector<T> SelectActions(const std::vector<AgentAction>& actions) {
  std::vector<T> found;
  for (const AgentAction& action : actions) {
    if (const auto* match = std::get_if<T>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

template <class T>
std::vector<T> SentBodies(const std::vector<AgentAction>& actions) {
  std::vector<T> found;
  for (const SendToPeer& send : SelectActions<SendToPeer>(actions)) {
    if (const auto* match = std::get_if<T>(&send.body)) {
      found.push_back(*match);
    }
  }
  return found;
}

void MakeReady(AgentCore& core) {
  core.Tick(kStartTime, UnixSeconds(1'700'000'000));
  core.OnConfig(MakeConfig(1), kStartTime);
  const EngineHoldings list{EngineIncarnation(1), {}};
  core.OnEngineList(&list, kStartTime, kStartTime);
  core.OnServiceProbe(true, kStartTime);
  core.TakeActions();
}

// Guards against an accepted completion that starts no stream or gets no Finish
// with its chunk count.
TEST(AgentCoreTest, CompletesStreamedCompletion) {
  AgentCore core(EngineOptions());
  MakeReady(core);
  core.OnMessage(MakeMessage(EntryId(), MakeCompletionOffer(1)), kStartTime);
  auto actions = core.TakeActions();
  ASSERT_EQ(SentBodies<OfferReply>(actions).size(), 1u);
  EXPECT_EQ(SentBodies<OfferReply>(actions)[0].verdict, Verdict::kAccepted);
  ASSERT_EQ(SelectActions<StartStream>(actions).size(), 1u);
  const StreamId stream = SelectActions<StartStream>(actions)[0].spec.stream;
  EXPECT_EQ(stream, StreamIdOf(MakeAttemptId(1)));
  core.OnStreamStarted(stream, StartStatus::kStarted, kStartTime);
  core.OnStreamProgress(stream, 5, Tokens(20), kStartTime + milliseconds(100));
  EXPECT_EQ(core.State(kStartTime).running, 1u);
  core.OnStreamEnded(stream, StreamEnd::kComplete, 9,
                     kStartTime + milliseconds(200));
  const auto finishes = SentBodies<Finish>(core.TakeActions());
  ASSERT_EQ(finishes.size(), 1u);
  EXPECT_EQ(finishes[0].failure.code, ErrorCode::kNone);
  EXPECT_EQ(finishes[0].chunk_count, 9u);
  EXPECT_TRUE(core.tables().reservations.empty());
}

// Guards against a repeatable call that is not dispatched or whose answer is
// not returned.
TEST(AgentCoreTest, ReturnsAnswerOfRepeatableCall) {
  AgentCore core(ServiceOptions());
  MakeReady(core);
  Offer offer;
  offer.attempt = MakeAttemptId(1);
  offer.kind = WorkKind::kServiceCall;
  offer.service = ServiceId("orders");
  offer.time_left = seconds(5);
  offer.method = "GET";
  offer.path = "/stock";
  core.OnMessage(MakeMessage(EntryId(), offer), kStartTime);
  const auto calls = SelectActions<DispatchCall>(core.TakeActions());
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].not_after, kStartTime + seconds(5));
  core.OnServiceAnswer(MakeAttemptId(1),
                       {CallStatus::kAnswered, 200, "text/plain", "12"},
                       kStartTime + milliseconds(10));
  const auto actions = core.TakeActions();
  ASSERT_EQ(SentBodies<Chunk>(actions).size(), 1u);
  EXPECT_EQ(SentBodies<Chunk>(actions)[0].data, "12");
  ASSERT_EQ(SentBodies<Finish>(actions).size(), 1u);
  EXPECT_EQ(SentBodies<Finish>(actions)[0].http_status, 200u);
}

// Guards against releasing a memory reservation before an engine list has
// confirmed the cancel.
TEST(AgentCoreTest, EngineListConfirmsCancelBeforeMemoryIsFreed) {
  AgentCore core(EngineOptions());
  MakeReady(core);
  core.OnMessage(MakeMessage(EntryId(), MakeCompletionOffer(1)), kStartTime);
  const StreamId stream = StreamIdOf(MakeAttemptId(1));
  core.OnStreamStarted(stream, StartStatus::kStarted, kStartTime);
  core.TakeActions();
  const Time later = kStartTime + milliseconds(50);
  core.OnMessage(MakeMessage(EntryId(), Cancel{MakeAttemptId(1)}), later);
  const auto actions = core.TakeActions();
  EXPECT_EQ(SelectActions<CancelStream>(actions).size(), 1u);
  EXPECT_EQ(SentBodies<Finish>(actions).size(), 1u);
  EXPECT_EQ(core.tables().reservations.size(), 1u);
  const EngineHoldings list{EngineIncarnation(1), {}};
  core.OnEngineList(&list, later + milliseconds(1), later + milliseconds(2));
  EXPECT_TRUE(core.tables().reservations.empty());
}

// Guards against a drain that interrupts running work, accepts new work or
// sends no Goodbye.
TEST(AgentCoreTest, DrainCompletesRunningWork) {
  AgentCore core(EngineOptions());
  MakeReady(core);
  core.OnMessage(MakeMessage(EntryId(), Subscribe{seconds(60)}), kStartTime);
  core.OnMessage(MakeMessage(EntryId(), MakeCompletionOffer(1)), kStartTime);
  core.OnStreamStarted(StreamIdOf(MakeAttemptId(1)), StartStatus::kStarted,
                       kStartTime);
  core.TakeActions();
  core.BeginDrain(kStartTime);
  core.OnMessage(MakeMessage(EntryId(), MakeCompletionOffer(2)), kStartTime);
  const auto replies = SentBodies<OfferReply>(core.TakeActions());
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].failure.code, ErrorCode::kTargetDraining);
  EXPECT_EQ(replies[0].failure.outcome, Outcome::kNotRun);
  EXPECT_FALSE(core.Drained());
  core.OnStreamEnded(StreamIdOf(MakeAttemptId(1)), StreamEnd::kComplete, 1,
                     kStartTime);
  EXPECT_TRUE(core.Drained());
  EXPECT_EQ(SentBodies<Goodbye>(core.TakeActions()).size(), 1u);
}

}  // namespace
}  // namespace burdockhatch
