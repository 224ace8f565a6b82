#include "src/pass_predictor.h"

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;

constexpr double kPassMs = 50;

class PassPredictorTest : public testing::Test {
 protected:
  void Add(uint64_t work, double read_ms, int due_ms = 10'000) {
    clock_.Add({work, read_ms, now_ + milliseconds(due_ms)}, kPassMs, now_);
  }

  Time now_{std::chrono::seconds(100)};
  PassPredictor clock_;
};

// Guards against engines that stand idle: what is read already does not
// lengthen the next pass.
TEST_F(PassPredictorTest, ReadingInProgressIsNotShared) {
  Add(1, 600);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 600);
  now_ += milliseconds(100);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 0);
  EXPECT_GT(clock_.WaitMs(now_), 500);
  Add(2, 100);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 100);
}

// Guards against pauses beyond the gap target: a part that may have missed a
// pass shares the next one with what comes later.
TEST_F(PassPredictorTest, PartThatMayHaveMissedThePassCountsForBoth) {
  Add(1, 300);
  now_ += milliseconds(20);
  Add(2, 400);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 700);
  now_ += milliseconds(100);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 400);
}

// Guards against a queue that is believed to be longer than it is.
TEST_F(PassPredictorTest, FirstEventEndsThePass) {
  Add(1, 600);
  now_ += milliseconds(100);
  Add(2, 200);
  now_ += milliseconds(150);
  clock_.Finish(1, now_);
  // The next pass begins now.
  now_ += milliseconds(20);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 0);
  EXPECT_LT(clock_.WaitMs(now_), 320);
  clock_.Finish(2, now_);
  EXPECT_DOUBLE_EQ(clock_.WaitMs(now_), 0);
}

// Guards against work for an engine that is slower than its description.
TEST_F(PassPredictorTest, OverduePartsCountAgain) {
  Add(1, 100, 400);
  now_ += milliseconds(300);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 0);
  now_ += milliseconds(100);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 100);
  EXPECT_DOUBLE_EQ(clock_.WaitMs(now_), 100);
  clock_.Finish(1, now_);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 0);
}

TEST_F(PassPredictorTest, CancelledPartThatHasNotBegunTakesNoTime) {
  Add(1, 600);
  now_ += milliseconds(100);
  Add(2, 200);
  clock_.Cancel(2, now_);
  EXPECT_DOUBLE_EQ(clock_.SharedMs(now_), 0);
}

}  // namespace
}  // namespace burdockhatch
