// Tests gangs, which run prompts too large for one engine.
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/entry_driver.h"
#include "tests/entry_invariants.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EntryGangTest : public testing::Test {
 protected:
  explicit EntryGangTest(EntryFaultPlan faults = {}) : driver_(11, faults) {
    for (int i = 0; i < 8; ++i) {
      driver_.AddAgent(EngineName(i), "dc-a", "model", "");
    }
    driver_.AddAgent("far-1", "dc-b", "model", "");
    driver_.Start();
  }

  static std::string EngineName(int i) { return "engine-" + std::to_string(i); }

  RequestId SubmitHuge(int64_t tokens, Duration timeout = seconds(60)) {
    return driver_.Submit(driver_.Completion(tokens, timeout));
  }

  void CheckNoHoldsRemain() {
    for (int i = 0; i < 8; ++i) {
      EXPECT_TRUE(driver_.agent(EngineName(i)).holds.empty()) << i;
    }
  }

  // Returns the targets to which Hold was sent for `attempt`, in order.
  std::vector<InstanceId> HoldTargetsOf(const AttemptId& attempt) {
    std::vector<InstanceId> hold_targets;
    for (const SendMessage& it : driver_.sent()) {
      const auto* hold = std::get_if<Hold>(&it.body);
      if (hold && hold->attempt == attempt) {
        hold_targets.push_back(it.to.instance);
      }
    }
    return hold_targets;
  }

  EntryDriver driver_;
};

// Guards against failing a prompt of a million tokens, which no single engine
// can hold.
TEST_F(EntryGangTest, MillionTokenPromptUsesFiveTargets) {
  const RequestId request = SubmitHuge(1'000'000);
  driver_.Run(seconds(2));
  const RequestRecord& record = driver_.record(request);
  ASSERT_EQ(record.offers.size(), 1u);
  const auto hold_targets = HoldTargetsOf(record.offers[0].attempt);
  EXPECT_EQ(hold_targets.size(), 4u);
  EXPECT_TRUE(std::is_sorted(hold_targets.begin(), hold_targets.end()));
  EXPECT_LT(record.offers[0].to, hold_targets.front());
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckNoHoldsRemain();
  CheckEntryInvariants(driver_);
}

// Guards against requesting a hold before the previous member has replied: two
// gangs could then each keep half of the holds.
TEST_F(EntryGangTest, HoldsAreRequestedSequentially) {
  driver_.agent(EngineName(1)).paused_until = driver_.Now() + milliseconds(300);
  const RequestId request = SubmitHuge(1'000'000);
  driver_.Run(milliseconds(100));
  size_t other_hold_count = 0;
  for (int i = 2; i < 8; ++i) {
    other_hold_count += driver_.agent(EngineName(i)).holds.size();
  }
  const bool first_hold_is_for_paused_agent =
      !HoldTargetsOf({request, AttemptNumber(1)}).empty() &&
      HoldTargetsOf({request, AttemptNumber(1)})[0] ==
          InstanceId(EngineName(1));
  EXPECT_TRUE(!first_hold_is_for_paused_agent || other_hold_count == 0);
  EXPECT_TRUE(first_hold_is_for_paused_agent);
  driver_.Run(seconds(10));
  CheckNoHoldsRemain();
  CheckEntryInvariants(driver_);
}

// Guards against holds that are kept after a member has refused its hold.
TEST_F(EntryGangTest, RefusalReleasesAllHoldsAndIsRetried) {
  driver_.agent(EngineName(3)).refuse_all = ErrorCode::kOverloaded;
  const RequestId request = SubmitHuge(1'000'000);
  driver_.Run(seconds(1));
  EXPECT_TRUE(driver_.record(request).offers.empty());
  EXPECT_GT(HoldTargetsOf({request, AttemptNumber(2)}).size(), 0u);
  driver_.agent(EngineName(3)).refuse_all = ErrorCode::kNone;
  driver_.Run(seconds(6));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckNoHoldsRemain();
  CheckEntryInvariants(driver_);
}

// Guards against a deadlock between gangs: eight targets have capacity for one
// gang of five at a time.
TEST_F(EntryGangTest, ContendingGangsAllComplete) {
  std::vector<RequestId> requests;
  for (int i = 0; i < 3; ++i) {
    requests.push_back(SubmitHuge(1'000'000));
  }
  driver_.Run(seconds(30));
  for (const RequestId& it : requests) {
    ASSERT_NE(driver_.FirstEnd(it), nullptr);
    EXPECT_TRUE(driver_.FirstEnd(it)->completed);
  }
  CheckNoHoldsRemain();
  CheckEntryInvariants(driver_);
}

// Guards against an answer from a gang that has lost part of the KV cache.
TEST_F(EntryGangTest, MemberRestartFailsAttempt) {
  for (int i = 0; i < 8; ++i) {
    driver_.agent(EngineName(i)).chunk_interval = seconds(2);
  }
  const RequestId request = SubmitHuge(1'000'000);
  driver_.Run(seconds(1));
  const AttemptId first = driver_.record(request).offers.at(0).attempt;
  const InstanceId member = HoldTargetsOf(first).at(1);
  driver_.Restart(driver_.agent(member.value()), false);
  driver_.Run(seconds(30));
  EXPECT_EQ(driver_.record(request).offers.size(), 2u);
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckNoHoldsRemain();
  CheckEntryInvariants(driver_);
}

// Guards against holds that expire while their attempt still runs.
TEST_F(EntryGangTest, HoldsAreRenewedWhileTheAttemptRuns) {
  for (int i = 0; i < 8; ++i) {
    driver_.agent(EngineName(i)).chunk_interval = seconds(8);
  }
  const RequestId request = SubmitHuge(1'000'000);
  driver_.Run(seconds(35));
  int held = 0;
  for (int i = 0; i < 8; ++i) {
    held += static_cast<int>(driver_.agent(EngineName(i)).holds.size());
  }
  EXPECT_EQ(held, 4);
  EXPECT_EQ(driver_.record(request).offers.size(), 1u);
  driver_.Run(seconds(30));
  CheckNoHoldsRemain();
  CheckEntryInvariants(driver_);
}

// Guards against waiting until the deadline although no gang can be formed.
TEST_F(EntryGangTest, RequestFailsEarlyWhenNoGangCanForm) {
  for (int i = 0; i < 8; ++i) {
    driver_.agent(EngineName(i)).refuse_all = ErrorCode::kOverloaded;
  }
  const RequestId request = SubmitHuge(1'000'000);
  driver_.Run(seconds(15));
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_EQ(driver_.FirstEnd(request)->failure.code, ErrorCode::kOverloaded);
  EXPECT_EQ(driver_.FirstEnd(request)->failure.outcome, Outcome::kNotRun);
  EXPECT_GT(driver_.FirstEnd(request)->failure.retry_after, Duration(0));
  CheckNoHoldsRemain();
  CheckEntryInvariants(driver_);
}

// Guards against forming a gang for a prompt that fits into the half of one
// engine's memory that huge prompts may use.
TEST_F(EntryGangTest, HugePromptThatFitsUsesOneTarget) {
  const RequestId request = SubmitHuge(200'000);
  driver_.Run(seconds(2));
  EXPECT_TRUE(HoldTargetsOf({request, AttemptNumber(1)}).empty());
  ASSERT_NE(driver_.FirstEnd(request), nullptr);
  EXPECT_TRUE(driver_.FirstEnd(request)->completed);
  CheckEntryInvariants(driver_);
}

class EntryGangFaultsTest : public testing::TestWithParam<uint64_t> {};

// Guards against leaked holds and load counts when messages are lost and agents
// restart while gangs are acquired.
TEST_P(EntryGangFaultsTest, ReleasesAllHoldsAndCounts) {
  EntryFaultPlan faults;
  faults.lost = 0.05;
  faults.late = 0.05;
  faults.duplicated = 0.1;
  faults.restarts_per_s = 0.02;
  faults.failed_streams = 0.01;
  EntryDriver driver(GetParam(), faults);
  for (int i = 0; i < 10; ++i) {
    driver.AddAgent("engine-" + std::to_string(i), "dc-a", "model", "");
  }
  driver.Start();
  Random random(GetParam());
  for (int i = 0; i < 40; ++i) {
    const int64_t tokens = random.UniformBelow(3) == 0 ? 1'000'000 : 3'000;
    driver.Submit(driver.Completion(tokens, seconds(15)));
    driver.Run(milliseconds(random.UniformBelow(600)));
  }
  driver.Run(seconds(35));
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(driver.agent("engine-" + std::to_string(i)).holds.empty());
  }
  CheckEntryInvariants(driver);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         EntryGangFaultsTest,
                         testing::Range<uint64_t>(1, 9));

}  // namespace
}  // namespace burdockhatch
