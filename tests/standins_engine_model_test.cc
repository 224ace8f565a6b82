// Tests the fake engine's model in virtual time. A model that accepts more than
// a real engine would hide faults in admission and in the release of memory.
#include "standins/engine_model.h"

#include <cstdint>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "standins/expected_answer.h"

namespace burdockhatch::standins {
namespace {

StreamSpec Spec(const std::string& id, int64_t prompt, int64_t output) {
  StreamSpec spec;
  spec.stream = StreamId(id);
  spec.model = ModelId("model");
  spec.prompt_tokens = Tokens(prompt);
  spec.max_output_tokens = Tokens(output);
  spec.prompt = "prompt of " + id;
  return spec;
}

StreamSpec SpecWithPrefix(const std::string& id, std::vector<uint64_t> hashes) {
  StreamSpec spec = Spec(id, static_cast<int64_t>(hashes.size()) * 100, 1);
  spec.prefix_hashes = std::move(hashes);
  return spec;
}

FakeEngineOptions SmallEngine() {
  FakeEngineOptions options;
  options.memory_tokens = 1'000;
  options.block_tokens = 100;
  options.prefill_tokens_per_s = 1'000;
  options.prefill_chunk_tokens = 100;
  options.ms_per_token = 10;
  options.max_batch = 4;
  return options;
}

// Runs steps until no work is left. Returns the virtual time in milliseconds.
double RunUntilIdle(EngineModel& model) {
  double duration_ms = 0;
  for (EngineStep step = model.NextStep();
       !step.prefill_tokens.empty() || !step.generating_streams.empty();
       step = model.NextStep()) {
    duration_ms += step.duration_ms;
    model.ApplyStep(step);
  }
  return duration_ms;
}

std::string ConcatenateChunks(const ModelStream& stream) {
  std::string answer;
  for (const StreamChunk& chunk : stream.chunks) {
    answer += chunk.data;
  }
  return answer;
}

TEST(EngineModelTest, AnswersDependOnThePromptAlone) {
  EXPECT_EQ(ExpectedAnswer("a", 3), ExpectedAnswer("a", 5).substr(0, 21));
  EXPECT_NE(ExpectedAnswer("a", 3), ExpectedAnswer("b", 3));
  EngineModel model(SmallEngine());
  ASSERT_EQ(model.Start(Spec("s", 250, 9)), StartResult::kStarted);
  // 250 ms of prefill yield the first token; eight steps yield the others.
  EXPECT_DOUBLE_EQ(RunUntilIdle(model), 330);
  const ModelStream& stream = model.streams().at("s");
  EXPECT_EQ(ConcatenateChunks(stream), ExpectedAnswer("prompt of s", 9));
  EXPECT_EQ(stream.end_reason, "complete");
  EXPECT_EQ(model.completed_tokens(), 259);
}

// Guards against a continued answer that repeats or skips tokens.
TEST(EngineModelTest, ContinuedStreamStartsAtTheNextToken) {
  EngineModel model(SmallEngine());
  StreamSpec spec = Spec("s", 100, 9);
  spec.first_chunk = 3;
  spec.generated_prefix = ExpectedAnswer(spec.prompt, 5);
  const std::string whole = ExpectedAnswer(spec.prompt, 9);
  model.Start(spec);
  RunUntilIdle(model);
  const ModelStream& stream = model.streams().at("s");
  EXPECT_EQ(stream.chunks.front().index, 3u);
  EXPECT_EQ(spec.generated_prefix + ConcatenateChunks(stream), whole);
  EXPECT_EQ(stream.next_chunk, 3u + stream.chunks.size());
}

// Guards against a model that hides an agent which never releases memory:
// memory is free only once the answer is read or the stream is cancelled.
TEST(EngineModelTest, MemoryIsHeldUntilReadOrCancelled) {
  EngineModel model(SmallEngine());
  model.Start(Spec("read", 300, 100));
  model.Start(Spec("cancelled", 300, 100));
  EXPECT_EQ(model.Start(Spec("late", 300, 1)), StartResult::kOutOfMemory);
  RunUntilIdle(model);
  EXPECT_EQ(model.MemoryUsedTokens(), 800);
  model.MarkAnswerRead("read");
  EXPECT_EQ(model.MemoryUsedTokens(), 400);
  EXPECT_TRUE(model.Cancel("cancelled"));
  EXPECT_EQ(model.MemoryUsedTokens(), 0);
  EXPECT_FALSE(model.Cancel("unknown"));
  EXPECT_EQ(model.stats.refused_memory, 1u);
  EXPECT_EQ(model.stats.peak_memory, 800);
}

TEST(EngineModelTest, DuplicateStartIsNotExecuted) {
  EngineModel model(SmallEngine());
  model.Start(Spec("s", 100, 5));
  EXPECT_EQ(model.Start(Spec("s", 100, 5)), StartResult::kAlreadyExists);
  RunUntilIdle(model);
  EXPECT_EQ(model.Start(Spec("s", 100, 5)), StartResult::kAlreadyExists);
  EXPECT_EQ(model.completed_tokens(), 105);
  EXPECT_EQ(model.stats.duplicate_starts, 2u);
}

TEST(EngineModelTest, AnotherModelIsRefused) {
  EngineModel model(SmallEngine());
  StreamSpec spec = Spec("s", 100, 5);
  spec.model = ModelId("other");
  EXPECT_EQ(model.Start(spec), StartResult::kWrongModel);
  model.ReplaceModel("other");
  EXPECT_EQ(model.Start(spec), StartResult::kStarted);
}

// Guards against a long prefill that delays a short request.
TEST(EngineModelTest, LongPrefillYieldsToLowerPriorityNumbers) {
  EngineModel model(SmallEngine());
  StreamSpec longer = Spec("long", 800, 10);
  longer.priority = 2;
  model.Start(longer);
  model.ApplyStep(model.NextStep());
  model.Start(Spec("short", 100, 1));
  const EngineStep step = model.NextStep();
  ASSERT_EQ(step.prefill_tokens.size(), 1u);
  EXPECT_EQ(step.prefill_tokens[0].first, "short");
  model.ApplyStep(step);
  EXPECT_EQ(model.streams().at("short").phase, StreamPhase::kEnded);
  EXPECT_EQ(model.streams().at("long").prefill_tokens_left, 700);
}

TEST(EngineModelTest, TheBatchIsBoundedAndFilledByPriority) {
  FakeEngineOptions options = SmallEngine();
  options.max_batch = 1;
  EngineModel model(options);
  model.Start(Spec("first", 100, 2));
  model.ApplyStep(model.NextStep());
  StreamSpec second = Spec("second", 100, 2);
  second.priority = 1;
  model.Start(second);
  model.Start(Spec("third", 100, 2));
  EXPECT_EQ(model.running_count(), 1u);
  EXPECT_EQ(model.waiting_count(), 2u);
  model.ApplyStep(model.NextStep());
  EXPECT_EQ(model.NextStep().prefill_tokens[0].first, "third");
  RunUntilIdle(model);
  EXPECT_EQ(model.stats.completed, 3u);
  EXPECT_EQ(model.stats.peak_batch, 1);
}

TEST(EngineModelTest, CachedPrefixesShortenThePrefill) {
  EngineModel model(SmallEngine());
  model.Start(SpecWithPrefix("a", {1, 2}));
  EXPECT_DOUBLE_EQ(RunUntilIdle(model), 200);
  model.MarkAnswerRead("a");
  model.Start(SpecWithPrefix("b", {1, 2, 3}));
  EXPECT_DOUBLE_EQ(RunUntilIdle(model), 100);
  EXPECT_EQ(model.prefix_lookups(), 5u);
  EXPECT_EQ(model.prefix_hits(), 2u);
}

TEST(EngineModelTest, TheLeastRecentlyUsedPrefixIsEvicted) {
  FakeEngineOptions options = SmallEngine();
  options.cache_tokens = 200;
  EngineModel model(options);
  for (const uint64_t hash : {1, 2, 1, 3}) {
    const std::string id = "s" + std::to_string(model.stats.started);
    model.Start(SpecWithPrefix(id, {hash}));
    RunUntilIdle(model);
    model.MarkAnswerRead(id);
  }
  std::string events;
  for (const CacheEvent& event : model.TakeCacheEvents()) {
    events += (event.added ? "+" : "-") + std::to_string(event.prefix_hash);
  }
  EXPECT_EQ(events, "+1+2+3-2");
}

TEST(EngineModelTest, StreamsEvictThePrefixCache) {
  EngineModel model(SmallEngine());
  model.Start(SpecWithPrefix("a", {1, 2}));
  RunUntilIdle(model);
  model.MarkAnswerRead("a");
  EXPECT_EQ(model.PrefixCacheTokens(), 200);
  EXPECT_EQ(model.Start(Spec("b", 900, 50)), StartResult::kStarted);
  EXPECT_EQ(model.PrefixCacheTokens(), 0);
}

TEST(EngineModelTest, ColdEngineIsSlowUntilItHasProcessedColdTokens) {
  FakeEngineOptions options = SmallEngine();
  options.cold_tokens = 100;
  options.cold_slowdown = 4;
  EngineModel model(options);
  EXPECT_TRUE(model.IsCold());
  model.Start(Spec("s", 200, 1));
  EXPECT_DOUBLE_EQ(RunUntilIdle(model), 400 + 100);
  EXPECT_FALSE(model.IsCold());
  model.TurnCold();
  EXPECT_TRUE(model.IsCold());
}

// Guards against a fake that tolerates the overload of a cold engine.
TEST(EngineModelTest, OverloadOfAColdEngineLosesEverything) {
  FakeEngineOptions options = SmallEngine();
  options.cold_tokens = 100;
  options.cold_capacity_tokens = 250;
  EngineModel model(options);
  ASSERT_TRUE(model.PutImportedCache("cache", 50));
  EXPECT_EQ(model.Start(Spec("a", 200, 10)), StartResult::kStarted);
  EXPECT_EQ(model.Start(Spec("b", 100, 10)), StartResult::kOverloaded);
  EXPECT_TRUE(model.streams().empty());
  EXPECT_TRUE(model.imported_caches().empty());
  EXPECT_EQ(model.MemoryUsedTokens(), 0);
  EXPECT_EQ(model.stats.overloads, 1u);
  EXPECT_EQ(model.stats.streams_lost, 2u);
  EXPECT_EQ(model.stats.peak_cold_in_flight, 320);
}

TEST(EngineModelTest, WarmEngineHasNoColdCapacityLimit) {
  FakeEngineOptions options = SmallEngine();
  options.cold_tokens = 100;
  options.cold_capacity_tokens = 250;
  options.start_warm = true;
  EngineModel model(options);
  model.Start(Spec("a", 200, 10));
  EXPECT_EQ(model.Start(Spec("b", 100, 10)), StartResult::kStarted);
  EXPECT_EQ(model.stats.peak_cold_in_flight, 0);
}

// Guards against a leader of a gang that needs memory for the whole prompt,
// although its helpers hold part of it.
TEST(EngineModelTest, ImportedCachesReduceTheLocalPrompt) {
  EngineModel model(SmallEngine());
  StreamSpec spec = Spec("leader", 2'000, 10);
  EXPECT_EQ(model.Start(spec), StartResult::kOutOfMemory);
  spec.imported_caches = {StreamId("leader"), StreamId("leader")};
  spec.imported_tokens = Tokens(1'400);
  EXPECT_EQ(model.Start(spec), StartResult::kStarted);
  EXPECT_EQ(model.MemoryUsedTokens(), 610);
  EXPECT_EQ(model.InFlightTokens(), 610);
  model.Cancel("leader");
  spec.stream = StreamId("even");
  spec.imported_tokens = Tokens(0);
  EXPECT_EQ(model.Start(spec), StartResult::kStarted);
  EXPECT_EQ(model.MemoryUsedTokens(), 677);
}

TEST(EngineModelTest, CachesTakeMemoryUntilDropped) {
  EngineModel model(SmallEngine());
  EXPECT_TRUE(model.PutImportedCache("c", 900));
  EXPECT_TRUE(model.PutImportedCache("c", 950));
  EXPECT_FALSE(model.PutImportedCache("d", 100));
  EXPECT_EQ(model.Start(Spec("s", 100, 1)), StartResult::kOutOfMemory);
  EXPECT_TRUE(model.DropImportedCache("c"));
  EXPECT_FALSE(model.DropImportedCache("c"));
  EXPECT_EQ(model.MemoryUsedTokens(), 0);
}

}  // namespace
}  // namespace burdockhatch::standins
