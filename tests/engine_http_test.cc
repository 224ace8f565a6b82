// Tests of the HTTP engine client against the fake engine, one for each fault
// that the fake can inject.
#include "src/engine_http.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "standins/expected_answer.h"
#include "standins/fake_engine.h"
#include "tests/standins_test_util.h"

namespace burdockhatch {
namespace {

using standins::ExpectedAnswer;
using standins::FakeEngine;
using standins::FakeEngineOptions;

// Results of the callbacks of one reader. Shared by the control thread, a
// traffic thread and callbacks that run after the last check of the test.
struct ReadingState {
  std::mutex mutex;
  std::optional<StartStatus> start;
  std::optional<StreamEnd> end;
  std::map<uint32_t, std::string> chunks;
  uint32_t chunk_count = 0;
  uint32_t events = 0;
  int ends = 0;
};

class Reading {
 public:
  Engine::StreamCallbacks Callbacks() {
    return {[state = state_](StartStatus status) {
              const std::lock_guard lock(state->mutex);
              state->start = status;
            },
            [state = state_](StreamChunk chunk) {
              const std::lock_guard lock(state->mutex);
              ++state->events;
              state->chunks[chunk.index] = chunk.data;
            },
            [state = state_](StreamEnd end, uint32_t chunk_count) {
              const std::lock_guard lock(state->mutex);
              state->end = end;
              state->chunk_count = chunk_count;
              ++state->ends;
            }};
  }

  std::optional<StartStatus> start() { return Read(&ReadingState::start); }
  std::optional<StreamEnd> end() { return Read(&ReadingState::end); }
  std::map<uint32_t, std::string> chunks() {
    return Read(&ReadingState::chunks);
  }
  uint32_t chunk_count() { return Read(&ReadingState::chunk_count); }
  uint32_t events() { return Read(&ReadingState::events); }
  int ends() { return Read(&ReadingState::ends); }

  std::string Answer() {
    std::string answer;
    for (const auto& [index, data] : chunks()) {
      answer += data;
    }
    return answer;
  }

  StreamEnd WaitForEnd() {
    EXPECT_TRUE(WaitUntil([&] { return end().has_value(); }));
    return end().value_or(StreamEnd::kFailed);
  }
  StartStatus WaitForStart() {
    EXPECT_TRUE(WaitUntil([&] { return start().has_value(); }));
    return start().value_or(StartStatus::kUnknown);
  }

 private:
  template <class Field>
  Field Read(Field ReadingState::*field) {
    const std::lock_guard lock(state_->mutex);
    return (*state_).*field;
  }

  std::shared_ptr<ReadingState> state_ = std::make_shared<ReadingState>();
};

FakeEngineOptions FastEngine() {
  FakeEngineOptions options;
  options.time_scale = 50;
  options.report_lag_ms = 0;
  options.event_lag_ms = 0;
  return options;
}

class EngineHttpTest : public ::testing::Test {
 protected:
  explicit EngineHttpTest(FakeEngineOptions options = FastEngine())
      : fake_(std::move(options)),
        client_(fake_.address()),
        engine_(MakeHttpEngine(control_.io, traffic_.io, fake_.address())) {
    traffic_.Start();
    control_.Start();
  }
  ~EngineHttpTest() override {
    control_.Stop();
    traffic_.Stop();
  }

  static StreamSpec Spec(const std::string& id, int64_t output) {
    StreamSpec spec;
    spec.stream = StreamId(id);
    spec.model = ModelId("model");
    spec.prompt_tokens = Tokens(1'000);
    spec.max_output_tokens = Tokens(output);
    spec.prompt = "prompt";
    return spec;
  }

  void Start(StreamSpec spec, Reading& reading) {
    control_.Run([&] { engine_->Start(spec, reading.Callbacks()); });
  }
  void Attach(const std::string& id, uint32_t next, Reading& reading) {
    control_.Run(
        [&] { engine_->Attach(StreamId(id), next, reading.Callbacks()); });
  }

  // Runs an asynchronous call and waits for its result.
  template <class Value, class Call>
  Value Ask(Call call) {
    auto promise = std::make_shared<std::promise<Value>>();
    control_.Run([&] {
      call(*engine_, [promise](Value value) { promise->set_value(value); });
    });
    return promise->get_future().get();
  }
  std::optional<EngineHoldings> ListHoldings() {
    return Ask<std::optional<EngineHoldings>>([](Engine& engine, auto done) {
      engine.ListHoldings([done](const EngineHoldings* list) {
        done(list ? std::optional(*list) : std::nullopt);
      });
    });
  }
  std::optional<EngineLoad> FetchLoad() {
    return Ask<std::optional<EngineLoad>>([](Engine& engine, auto done) {
      engine.FetchLoad([done](const EngineLoad* load) {
        done(load ? std::optional(*load) : std::nullopt);
      });
    });
  }
  StartStatus ImportCache(const std::string& id, int64_t memory) {
    return Ask<StartStatus>([&](Engine& engine, auto done) {
      engine.ImportCache(StreamId(id), Tokens(memory), done);
    });
  }
  OrderStatus LoadModel(const std::string& model, uint64_t fencing) {
    return Ask<OrderStatus>([&](Engine& engine, auto done) {
      engine.LoadModel(ModelId(model), FencingNumber(fencing), done);
    });
  }
  std::vector<CacheEvent> FetchCacheEvents(uint64_t after) {
    return Ask<std::vector<CacheEvent>>([&](Engine& engine, auto done) {
      engine.FetchCacheEvents(after, done);
    });
  }

  FakeServerThread<FakeEngine> fake_;
  TestClient client_;
  IoThread traffic_;
  IoThread control_;
  std::unique_ptr<Engine> engine_;
};

TEST_F(EngineHttpTest, RelaysCompleteAnswerAndFreesMemory) {
  Reading reading;
  Start(Spec("s", 30), reading);
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(reading.start(), StartStatus::kStarted);
  EXPECT_EQ(reading.Answer(), ExpectedAnswer("prompt", 30));
  EXPECT_EQ(reading.chunk_count(), reading.chunks().size());
  EXPECT_TRUE(WaitUntil([&] { return ListHoldings()->holdings.empty(); }));
}

// Guards against an answer that can be read only once: a restarted agent has to
// read it again.
TEST_F(EngineHttpTest, AttachReadsAgainFromAnyChunk) {
  Reading first;
  Start(Spec("s", 30), first);
  first.WaitForEnd();
  Reading second;
  Attach("s", 3, second);
  EXPECT_EQ(second.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(second.chunks().begin()->first, 3u);
  EXPECT_EQ(second.chunk_count(), first.chunk_count());
  Reading unknown;
  Attach("unknown", 0, unknown);
  EXPECT_EQ(unknown.WaitForEnd(), StreamEnd::kNotFound);
}

// Guards against two readers that both report the end of one stream.
TEST_F(EngineHttpTest, AttachReplacesEarlierReader) {
  client_.SetFaults(R"({"stall":true})");
  Reading first;
  Start(Spec("s", 10), first);
  first.WaitForStart();
  Reading second;
  Attach("s", 0, second);
  client_.SetFaults(R"({"stall":false})");
  EXPECT_EQ(second.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(second.Answer(), ExpectedAnswer("prompt", 10));
  EXPECT_EQ(first.ends(), 0);
}

TEST_F(EngineHttpTest, ContinuesAnAnswer) {
  StreamSpec spec = Spec("s", 20);
  spec.first_chunk = 2;
  spec.generated_prefix = ExpectedAnswer("prompt", 5);
  Reading reading;
  Start(spec, reading);
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(spec.generated_prefix + reading.Answer(),
            ExpectedAnswer("prompt", 20));
  EXPECT_EQ(reading.chunks().begin()->first, 2u);
}

TEST_F(EngineHttpTest, RefusedStreamsDoNotRun) {
  StreamSpec wrong = Spec("wrong", 10);
  wrong.model = ModelId("other");
  StreamSpec large = Spec("large", 10);
  large.prompt_tokens = Tokens(10'000'000);
  for (const StreamSpec& spec : {wrong, large}) {
    Reading reading;
    Start(spec, reading);
    EXPECT_EQ(reading.WaitForStart(), StartStatus::kRefused);
    EXPECT_EQ(reading.ends(), 0);
  }
  EXPECT_EQ(client_.ReadStat("started"), 0);
}

// Guards against reporting a refused connection as kUnknown, which would keep
// memory reserved needlessly.
TEST_F(EngineHttpTest, RefusedConnectionIsNotSent) {
  client_.SetFaults(R"({"refuse_ms":300})");
  Reading reading;
  Start(Spec("s", 10), reading);
  EXPECT_EQ(reading.WaitForStart(), StartStatus::kNotSent);
  EXPECT_EQ(ImportCache("c", 5), StartStatus::kNotSent);
}

// Guards against reporting kNotSent for a request that the engine may have
// received.
TEST_F(EngineHttpTest, ClosedConnectionIsUnknown) {
  client_.SetFaults(R"({"close_before":1})");
  Reading closed;
  Start(Spec("closed", 10), closed);
  EXPECT_EQ(closed.WaitForStart(), StartStatus::kUnknown);
  EXPECT_EQ(client_.ReadStat("started"), 0);
  client_.SetFaults(R"({"close_before":0,"lose_answer":1})");
  Reading lost;
  Start(Spec("lost", 10), lost);
  EXPECT_EQ(lost.WaitForStart(), StartStatus::kUnknown);
  EXPECT_EQ(client_.ReadStat("started"), 1);
  EXPECT_EQ(ListHoldings(), std::nullopt);
  client_.SetFaults(R"({"reset":true})");
  Reading again;
  Start(Spec("lost", 10), again);
  EXPECT_EQ(again.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(client_.ReadStat("started"), 1);
  EXPECT_EQ(client_.ReadStat("duplicate_starts"), 1);
}

TEST_F(EngineHttpTest, OutageBreaksStreamsAndCalls) {
  Reading reading;
  Start(Spec("s", 100'000), reading);
  ASSERT_TRUE(WaitUntil([&] { return !reading.chunks().empty(); }));
  client_.SetFaults(R"({"down":true})");
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kConnectionLost);
  EXPECT_EQ(ListHoldings(), std::nullopt);
  EXPECT_EQ(FetchLoad(), std::nullopt);
  EXPECT_TRUE(FetchCacheEvents(0).empty());
}

TEST_F(EngineHttpTest, LostEventsLeaveAGapAndCanBeReadAgain) {
  client_.SetFaults(R"({"lose_event":0.5})");
  Reading reading;
  Start(Spec("s", 200), reading);
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_LT(reading.chunks().size(), reading.chunk_count());
  EXPECT_GT(client_.ReadStat("lost_events"), 0);
  client_.SetFaults(R"({"reset":true})");
  Reading again;
  Attach("s", 0, again);
  EXPECT_EQ(again.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(again.Answer(), ExpectedAnswer("prompt", 200));
}

TEST_F(EngineHttpTest, DuplicatedEventsRepeatTheirIndex) {
  client_.SetFaults(R"({"duplicate_event":1})");
  Reading reading;
  Start(Spec("s", 30), reading);
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(reading.events(), 2 * reading.chunk_count());
  EXPECT_EQ(reading.Answer(), ExpectedAnswer("prompt", 30));
}

TEST_F(EngineHttpTest, CutConnectionCanBeAttachedAgain) {
  client_.SetFaults(R"({"cut_events":0.3})");
  Reading reading;
  Start(Spec("s", 100), reading);
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kConnectionLost);
  client_.SetFaults(R"({"reset":true})");
  const auto chunks = reading.chunks();
  const uint32_t next = chunks.empty() ? 0 : chunks.rbegin()->first + 1;
  Reading rest;
  Attach("s", next, rest);
  EXPECT_EQ(rest.WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(reading.Answer() + rest.Answer(), ExpectedAnswer("prompt", 100));
}

// Guards against mistaking a restarted engine for its predecessor.
TEST_F(EngineHttpTest, RestartLosesHoldingsAndChangesIncarnation) {
  Reading reading;
  Start(Spec("s", 100'000), reading);
  ASSERT_TRUE(WaitUntil([&] { return !reading.chunks().empty(); }));
  EXPECT_EQ(ImportCache("c", 5), StartStatus::kStarted);
  const EngineHoldings before = ListHoldings().value();
  EXPECT_EQ(before.holdings.size(), 2u);
  client_.SetFaults(R"({"restart":true})");
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kConnectionLost);
  const EngineHoldings after = ListHoldings().value();
  EXPECT_GT(after.engine, before.engine);
  EXPECT_TRUE(after.holdings.empty());
  EXPECT_EQ(FetchLoad()->engine, after.engine);
  Reading attached;
  Attach("s", 0, attached);
  EXPECT_EQ(attached.WaitForEnd(), StreamEnd::kNotFound);
  EXPECT_EQ(client_.ReadStat("restarts"), 1);
}

TEST_F(EngineHttpTest, StalledEngineAcceptsButProducesNothing) {
  client_.SetFaults(R"({"stall":true})");
  Reading reading;
  Start(Spec("s", 10), reading);
  EXPECT_EQ(reading.WaitForStart(), StartStatus::kStarted);
  EXPECT_EQ(ListHoldings()->holdings.size(), 1u);
  EXPECT_EQ(client_.ReadStat("completed_tokens"), 0);
  client_.SetFaults(R"({"stall":false})");
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kComplete);
}

TEST_F(EngineHttpTest, CancelEndsTheStreamAndFreesTheMemory) {
  Reading reading;
  Start(Spec("s", 100'000), reading);
  reading.WaitForStart();
  control_.Run([&] { engine_->Cancel(StreamId("s")); });
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kCancelled);
  EXPECT_TRUE(ListHoldings()->holdings.empty());
  EXPECT_EQ(client_.ReadStat("cancelled"), 1);
}

// Guards against assuming that a cancelled stream has ended and freed its
// memory.
TEST_F(EngineHttpTest, IgnoredCancelLeavesTheMemoryHeld) {
  client_.SetFaults(R"({"ignore_cancel":true})");
  Reading reading;
  Start(Spec("s", 100'000), reading);
  reading.WaitForStart();
  EXPECT_EQ(client_.Send("DELETE", "/v1/streams/s").http_status, 204u);
  EXPECT_EQ(ListHoldings()->holdings.size(), 1u);
}

TEST_F(EngineHttpTest, FailedStreamsEndAsFailed) {
  client_.SetFaults(R"({"fail_streams":true})");
  Reading reading;
  Start(Spec("s", 100), reading);
  EXPECT_EQ(reading.WaitForEnd(), StreamEnd::kFailed);
  EXPECT_LT(reading.Answer().size(), ExpectedAnswer("prompt", 100).size());
}

TEST_F(EngineHttpTest, CachesAreImportedListedAndReleased) {
  EXPECT_EQ(ImportCache("c", 400'000), StartStatus::kStarted);
  EXPECT_EQ(ImportCache("d", 400'000), StartStatus::kRefused);
  const EngineHoldings list = ListHoldings().value();
  ASSERT_EQ(list.holdings.size(), 1u);
  EXPECT_TRUE(list.holdings[0].is_cache);
  EXPECT_EQ(list.holdings[0].memory, Tokens(400'000));
  control_.Run([&] { engine_->ReleaseCache(StreamId("c")); });
  EXPECT_TRUE(WaitUntil([&] { return ListHoldings()->holdings.empty(); }));
}

TEST_F(EngineHttpTest, StaleOrdersAreRefused) {
  EXPECT_EQ(LoadModel("other", 5), OrderStatus::kDone);
  EXPECT_EQ(LoadModel("model", 4), OrderStatus::kStaleFencing);
  EXPECT_EQ(FetchLoad()->models, std::vector<ModelId>{ModelId("other")});
  EXPECT_EQ(client_.ReadStat("refused_fencing"), 1);
  EXPECT_EQ(LoadModel("", 6), OrderStatus::kFailed);
}

TEST_F(EngineHttpTest, CacheEventsCanHaveGaps) {
  StreamSpec spec = Spec("s", 1);
  spec.prefix_hashes = {1};
  Reading first;
  Start(spec, first);
  first.WaitForEnd();
  client_.SetFaults(R"({"lose_cache_event":1})");
  spec.stream = StreamId("t");
  spec.prefix_hashes = {2};
  Reading second;
  Start(spec, second);
  second.WaitForEnd();
  client_.SetFaults(R"({"reset":true})");
  spec.stream = StreamId("u");
  spec.prefix_hashes = {3};
  Reading third;
  Start(spec, third);
  third.WaitForEnd();
  const std::vector<CacheEvent> events = FetchCacheEvents(0);
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[0].prefix_hash, 1u);
  EXPECT_EQ(events[1].prefix_hash, 3u);
  EXPECT_EQ(events[1].sequence, events[0].sequence + 2);
  EXPECT_EQ(FetchCacheEvents(events[0].sequence).size(), 1u);
}

TEST_F(EngineHttpTest, TurningColdLosesThePrefixCache) {
  StreamSpec spec = Spec("s", 1);
  spec.prefix_hashes = {1};
  Reading reading;
  Start(spec, reading);
  reading.WaitForEnd();
  const uint64_t engine = ListHoldings()->engine.value();
  client_.SetFaults(R"({"cold":true})");
  EXPECT_EQ(client_.ReadStat("prefix_cache_tokens"), 0);
  EXPECT_EQ(FetchCacheEvents(0).back().added, false);
  EXPECT_EQ(ListHoldings()->engine.value(), engine);
}

class LaxEngineHttpTest : public EngineHttpTest {
 protected:
  static FakeEngineOptions Options() {
    FakeEngineOptions options = FastEngine();
    options.honours_fencing = false;
    options.report_lag_ms = 3'600'000;
    options.event_lag_ms = 3'600'000;
    options.retention_ms = 0;
    return options;
  }
  LaxEngineHttpTest() : EngineHttpTest(Options()) {}
};

// Guards against a fake that checks fencing although it is configured to ignore
// it.
TEST_F(LaxEngineHttpTest, StaleOrdersAreExecuted) {
  EXPECT_EQ(LoadModel("other", 5), OrderStatus::kDone);
  EXPECT_EQ(LoadModel("third", 4), OrderStatus::kDone);
}

TEST_F(LaxEngineHttpTest, ReportsAndCacheEventsLag) {
  StreamSpec spec = Spec("s", 10);
  spec.prefix_hashes = {1};
  Reading reading;
  Start(spec, reading);
  reading.WaitForEnd();
  EXPECT_EQ(FetchLoad()->completed, Tokens(0));
  EXPECT_TRUE(FetchCacheEvents(0).empty());
}

TEST_F(LaxEngineHttpTest, StreamsAreRemovedAfterRetention) {
  Reading reading;
  Start(Spec("s", 10), reading);
  reading.WaitForEnd();
  EXPECT_TRUE(WaitUntil([&] {
    return client_.Send("GET", "/v1/streams/s/events").http_status == 404;
  }));
}

class ColdEngineHttpTest : public EngineHttpTest {
 protected:
  static FakeEngineOptions Options() {
    FakeEngineOptions options = FastEngine();
    options.cold_tokens = 1'000'000;
    options.cold_capacity_tokens = 1'500;
    return options;
  }
  ColdEngineHttpTest() : EngineHttpTest(Options()) {}
};

TEST_F(ColdEngineHttpTest, OverloadRestartsTheEngine) {
  Reading first;
  Start(Spec("a", 400), first);
  EXPECT_EQ(first.WaitForStart(), StartStatus::kStarted);
  Reading second;
  Start(Spec("b", 400), second);
  EXPECT_EQ(second.WaitForStart(), StartStatus::kUnknown);
  EXPECT_EQ(first.WaitForEnd(), StreamEnd::kConnectionLost);
  EXPECT_EQ(client_.ReadStat("overloads"), 1);
  EXPECT_EQ(client_.ReadStat("peak_cold_in_flight"), 2'800);
  EXPECT_TRUE(ListHoldings()->holdings.empty());
}

}  // namespace
}  // namespace burdockhatch
