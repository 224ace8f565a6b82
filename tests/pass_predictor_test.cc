#include "src/pass_predictor.h"

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;

constexpr double kPassMs = 50;

class PassPredictorTest : public testing::Test {
 protected:
  void AddPart(uint64_t request_id, double prefill_ms, int due_ms = 10'000) {
    predictor_.AddPart({request_id, prefill_ms, now_ + milliseconds(due_ms)},
                       kPassMs, now_);
  }

  Time now_{std::chrono::seconds(100)};
  PassPredictor predictor_;
};

// Guards against idle engines: prefill in progress does not extend the next
// pass.
TEST_F(PassPredictorTest, PrefillInProgressIsNotShared) {
  AddPart(1, 600);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 600);
  now_ += milliseconds(100);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 0);
  EXPECT_GT(predictor_.WaitMs(now_), 500);
  AddPart(2, 100);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 100);
}

// Guards against stalls beyond the gap target: a part that may have missed a
// pass shares the next one with later parts.
TEST_F(PassPredictorTest, PartThatMayHaveMissedThePassCountsForBoth) {
  AddPart(1, 300);
  now_ += milliseconds(20);
  AddPart(2, 400);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 700);
  now_ += milliseconds(100);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 400);
}

// Guards against an overestimated wait after a pass that ended early.
TEST_F(PassPredictorTest, FirstEventEndsThePass) {
  AddPart(1, 600);
  now_ += milliseconds(100);
  AddPart(2, 200);
  now_ += milliseconds(150);
  predictor_.FinishPart(1, now_);
  // The next pass starts now.
  now_ += milliseconds(20);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 0);
  EXPECT_LT(predictor_.WaitMs(now_), 320);
  predictor_.FinishPart(2, now_);
  EXPECT_DOUBLE_EQ(predictor_.WaitMs(now_), 0);
}

// Guards against further parts for an engine that is slower than its cost
// model.
TEST_F(PassPredictorTest, OverduePartsCountAgain) {
  AddPart(1, 100, 400);
  now_ += milliseconds(300);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 0);
  now_ += milliseconds(100);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 100);
  EXPECT_DOUBLE_EQ(predictor_.WaitMs(now_), 100);
  predictor_.FinishPart(1, now_);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 0);
}

TEST_F(PassPredictorTest, CancelledPartThatHasNotStartedTakesNoTime) {
  AddPart(1, 600);
  now_ += milliseconds(100);
  AddPart(2, 200);
  predictor_.CancelPart(2, now_);
  EXPECT_DOUBLE_EQ(predictor_.SharedPrefillMs(now_), 0);
}

}  // namespace
}  // namespace burdockhatch
