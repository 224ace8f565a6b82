#include "src/agent_core.h"

#include <gtest/gtest.h>

#include "src/agent_tables.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
PeerId Entry() {
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

FleetConfigPtr Config(uint64_t version) {
  auto config = std::make_shared<FleetConfig>();
  config->version = ConfigVersion(version);
  config->models[ModelId("findings")] = {};
  config->services[ServiceId("orders")] = {};
  return config;
}

AttemptId Attempt(uint64_t number) {
  return {{7, number}, AttemptNumber(1)};
}

Message From(const PeerId& sender, MessageBody body) {
  return {sender, Incarnation(1), ConfigVersion(1), std::move(body)};
}

Offer MakeCompletionOffer(uint64_t number, Tokens prompt = Tokens(1'000)) {
  Offer offer;
  offer.attempt = Attempt(number);
  offer.model = ModelId("findings");
  offer.prompt_tokens = prompt;
  offer.max_output_tokens = Tokens(200);
  offer.time_left = seconds(30);
  offer.body = "text";
  return offer;
}

template <class T>
std::vector<T> Only(const std::vector<AgentAction>& actions) {
  std::vector<T> found;
  for (const AgentAction& action : actions) {
    if (const auto* match = std::get_if<T>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

template <class T>
std::vector<T> Sent(const std::vector<AgentAction>& actions) {
  std::vector<T> found;
  for (const SendToPeer& send : Only<SendToPeer>(actions)) {
    if (const auto* match = std::get_if<T>(&send.body)) {
      found.push_back(*match);
    }
  }
  return found;
}

void MakeReady(AgentCore& core) {
  core.Tick(kStart, UnixSeconds(1'700'000'000));
  core.OnConfig(Config(1), kStart);
  const EngineList list{EngineIncarnation(1), {}};
  core.OnEngineList(&list, kStart, kStart);
  core.OnServiceProbe(true, kStart);
  core.TakeActions();
}

// Guards against an accepted completion without a stream, chunks or a Finish.
TEST(AgentCoreTest, RunsACompletion) {
  AgentCore core(EngineOptions());
  MakeReady(core);
  core.OnMessage(From(Entry(), MakeCompletionOffer(1)), kStart);
  auto actions = core.TakeActions();
  ASSERT_EQ(Sent<OfferReply>(actions).size(), 1u);
  EXPECT_EQ(Sent<OfferReply>(actions)[0].verdict, Verdict::kAccepted);
  ASSERT_EQ(Only<StartStream>(actions).size(), 1u);
  const StreamId stream = Only<StartStream>(actions)[0].spec.stream;
  EXPECT_EQ(stream, StreamIdOf(Attempt(1)));
  core.OnStreamStarted(stream, StartStatus::kStarted, kStart);
  core.OnStreamProgress(stream, 5, Tokens(20), kStart + milliseconds(100));
  EXPECT_EQ(core.State(kStart).running, 1u);
  core.OnStreamEnded(stream, StreamEnd::kComplete, 9,
                     kStart + milliseconds(200));
  const auto finishes = Sent<Finish>(core.TakeActions());
  ASSERT_EQ(finishes.size(), 1u);
  EXPECT_EQ(finishes[0].failure.code, ErrorCode::kNone);
  EXPECT_EQ(finishes[0].chunk_count, 9u);
  EXPECT_TRUE(core.tables().reservations.empty());
}

// Guards against a repeatable call without its answer.
TEST(AgentCoreTest, RunsARepeatableCall) {
  AgentCore core(ServiceOptions());
  MakeReady(core);
  Offer offer;
  offer.attempt = Attempt(1);
  offer.kind = WorkKind::kServiceCall;
  offer.service = ServiceId("orders");
  offer.time_left = seconds(5);
  offer.method = "GET";
  offer.path = "/stock";
  core.OnMessage(From(Entry(), offer), kStart);
  const auto calls = Only<DispatchCall>(core.TakeActions());
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].not_after, kStart + seconds(5));
  core.OnServiceAnswer(Attempt(1),
                       {CallStatus::kAnswered, 200, "text/plain", "12"},
                       kStart + milliseconds(10));
  const auto actions = core.TakeActions();
  ASSERT_EQ(Sent<Chunk>(actions).size(), 1u);
  EXPECT_EQ(Sent<Chunk>(actions)[0].data, "12");
  ASSERT_EQ(Sent<Finish>(actions).size(), 1u);
  EXPECT_EQ(Sent<Finish>(actions)[0].http_status, 200u);
}

// Guards against memory that is freed before the engine has confirmed a cancel.
TEST(AgentCoreTest, CancelledStreamIsFreedByTheList) {
  AgentCore core(EngineOptions());
  MakeReady(core);
  core.OnMessage(From(Entry(), MakeCompletionOffer(1)), kStart);
  const StreamId stream = StreamIdOf(Attempt(1));
  core.OnStreamStarted(stream, StartStatus::kStarted, kStart);
  core.TakeActions();
  const Time later = kStart + milliseconds(50);
  core.OnMessage(From(Entry(), Cancel{Attempt(1)}), later);
  const auto actions = core.TakeActions();
  EXPECT_EQ(Only<CancelStream>(actions).size(), 1u);
  EXPECT_EQ(Sent<Finish>(actions).size(), 1u);
  EXPECT_EQ(core.tables().reservations.size(), 1u);
  const EngineList list{EngineIncarnation(1), {}};
  core.OnEngineList(&list, later + milliseconds(1), later + milliseconds(2));
  EXPECT_TRUE(core.tables().reservations.empty());
}

// Guards against a drain that interrupts running work or accepts new work.
TEST(AgentCoreTest, DrainCompletesRunningWork) {
  AgentCore core(EngineOptions());
  MakeReady(core);
  core.OnMessage(From(Entry(), Subscribe{seconds(60)}), kStart);
  core.OnMessage(From(Entry(), MakeCompletionOffer(1)), kStart);
  core.OnStreamStarted(StreamIdOf(Attempt(1)), StartStatus::kStarted, kStart);
  core.TakeActions();
  core.BeginDrain(kStart);
  core.OnMessage(From(Entry(), MakeCompletionOffer(2)), kStart);
  const auto replies = Sent<OfferReply>(core.TakeActions());
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].failure.code, ErrorCode::kTargetDraining);
  EXPECT_EQ(replies[0].failure.outcome, Outcome::kNotRun);
  EXPECT_FALSE(core.Drained());
  core.OnStreamEnded(StreamIdOf(Attempt(1)), StreamEnd::kComplete, 1, kStart);
  EXPECT_TRUE(core.Drained());
  EXPECT_EQ(Sent<Goodbye>(core.TakeActions()).size(), 1u);
}

}  // namespace
}  // namespace burdockhatch
