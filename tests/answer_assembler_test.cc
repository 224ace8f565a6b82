#include "src/answer_assembler.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

constexpr RequestId kRequest{1, 2};

Chunk ChunkOf(uint32_t attempt, uint32_t index, const std::string& data) {
  return {{kRequest, AttemptNumber(attempt)}, index, 1, data};
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& it : parts) {
    text += it;
  }
  return text;
}

TEST(AnswerAssemblerTest, DeliversInOrder) {
  AnswerAssembler assembler(kRequest);
  assembler.SwitchToAttempt(AttemptNumber(1));
  EXPECT_EQ(Join(assembler.Add(ChunkOf(1, 0, "a"))), "a");
  EXPECT_EQ(Join(assembler.Add(ChunkOf(1, 1, "b"))), "b");
  EXPECT_EQ(assembler.text(), "ab");
  EXPECT_EQ(assembler.tokens(), Tokens(2));
  EXPECT_FALSE(assembler.has_gap());
}

// Guards against delivering chunks out of order.
TEST(AnswerAssemblerTest, BuffersChunksAheadOfGap) {
  AnswerAssembler assembler(kRequest);
  assembler.SwitchToAttempt(AttemptNumber(1));
  EXPECT_TRUE(assembler.Add(ChunkOf(1, 2, "c")).empty());
  EXPECT_TRUE(assembler.Add(ChunkOf(1, 1, "b")).empty());
  EXPECT_TRUE(assembler.has_gap());
  EXPECT_EQ(assembler.next_chunk(), 0u);
  EXPECT_EQ(Join(assembler.Add(ChunkOf(1, 0, "a"))), "abc");
  EXPECT_EQ(assembler.next_chunk(), 3u);
  EXPECT_FALSE(assembler.has_gap());
}

// Guards against delivering a chunk twice, e.g. after a Resume.
TEST(AnswerAssemblerTest, DropsDuplicates) {
  AnswerAssembler assembler(kRequest);
  assembler.SwitchToAttempt(AttemptNumber(1));
  assembler.Add(ChunkOf(1, 0, "a"));
  EXPECT_TRUE(assembler.Add(ChunkOf(1, 0, "a")).empty());
  assembler.Add(ChunkOf(1, 2, "c"));
  EXPECT_TRUE(assembler.Add(ChunkOf(1, 2, "C")).empty());
  EXPECT_EQ(Join(assembler.Add(ChunkOf(1, 1, "b"))), "bc");
  EXPECT_EQ(assembler.text(), "abc");
  EXPECT_EQ(assembler.dropped_chunks(), 2u);
}

// Guards against delivering a chunk of another caller's answer.
TEST(AnswerAssemblerTest, DropsChunksOfOtherRequests) {
  AnswerAssembler assembler(kRequest);
  assembler.SwitchToAttempt(AttemptNumber(1));
  Chunk crossed = ChunkOf(1, 0, "x");
  crossed.attempt.request = {1, 3};
  EXPECT_TRUE(assembler.Add(crossed).empty());
  EXPECT_EQ(Join(assembler.Add(ChunkOf(1, 0, "a"))), "a");
}

TEST(AnswerAssemblerTest, DropsChunksBeforeFirstAttempt) {
  AnswerAssembler assembler(kRequest);
  EXPECT_TRUE(assembler.Add(ChunkOf(1, 0, "a")).empty());
  EXPECT_EQ(assembler.next_chunk(), 0u);
}

// Guards against mixing late chunks of an abandoned attempt with those of the
// next one.
TEST(AnswerAssemblerTest, NewAttemptContinuesAtNextChunk) {
  AnswerAssembler assembler(kRequest);
  assembler.SwitchToAttempt(AttemptNumber(1));
  assembler.Add(ChunkOf(1, 0, "a"));
  assembler.Add(ChunkOf(1, 2, "old"));
  assembler.SwitchToAttempt(AttemptNumber(2));
  EXPECT_FALSE(assembler.has_gap());
  EXPECT_TRUE(assembler.Add(ChunkOf(1, 1, "late")).empty());
  EXPECT_EQ(Join(assembler.Add(ChunkOf(2, 1, "b"))), "b");
  EXPECT_EQ(Join(assembler.Add(ChunkOf(2, 2, "c"))), "c");
  EXPECT_EQ(assembler.text(), "abc");
}

// Guards against unbounded buffering when a peer never sends chunk 0.
TEST(AnswerAssemblerTest, LimitsBufferedChunks) {
  AnswerAssembler assembler(kRequest);
  assembler.SwitchToAttempt(AttemptNumber(1));
  for (uint32_t i = 1; i <= 2 * kMaxBufferedChunks; ++i) {
    assembler.Add(ChunkOf(1, i, "x"));
  }
  EXPECT_EQ(assembler.Add(ChunkOf(1, 0, "x")).size(), kMaxBufferedChunks + 1);
}

TEST(AnswerAssemblerTest, LimitsAnswerSize) {
  AnswerAssembler assembler(kRequest);
  assembler.SwitchToAttempt(AttemptNumber(1));
  assembler.Add(ChunkOf(1, 0, std::string(kMaxAnswerBytes, 'x')));
  EXPECT_TRUE(assembler.Add(ChunkOf(1, 1, "y")).empty());
  EXPECT_EQ(assembler.next_chunk(), 1u);
}

// Guards against an answer that depends on the arrival order of chunks, with
// duplicates, late chunks and chunks of other requests.
TEST(AnswerAssemblerTest, AnyArrivalOrderGivesCompleteAnswer) {
  constexpr uint32_t kSeed = 20;
  constexpr uint32_t kChunks = 40;
  std::mt19937 random(kSeed);
  for (int round = 0; round < 200; ++round) {
    std::vector<Chunk> arrivals;
    std::string expected;
    for (uint32_t i = 0; i < kChunks; ++i) {
      const std::string data = std::to_string(i) + ",";
      expected += data;
      arrivals.push_back(ChunkOf(2, i, data));
      arrivals.push_back(ChunkOf(2, i, data));
      arrivals.push_back(ChunkOf(1, i, "late"));
      Chunk crossed = ChunkOf(2, i, "crossed");
      crossed.attempt.request.low = 99;
      arrivals.push_back(crossed);
    }
    std::shuffle(arrivals.begin(), arrivals.end(), random);
    AnswerAssembler assembler(kRequest);
    assembler.SwitchToAttempt(AttemptNumber(2));
    std::string received;
    for (const Chunk& it : arrivals) {
      received += Join(assembler.Add(it));
    }
    ASSERT_EQ(received, expected) << "seed " << kSeed << " round " << round;
    ASSERT_EQ(assembler.text(), expected);
  }
}

}  // namespace
}  // namespace burdockhatch
