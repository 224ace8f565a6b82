#include "src/service_balancer.h"

#include <map>

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;

class ServiceBalancerTest : public testing::Test {
 protected:
  ServiceBalancerTest() {
    for (int i = 0; i < 3; ++i) {
      TargetRecord record;
      record.target = TargetId("t" + std::to_string(i));
      record.service = ServiceId("orders");
      record.address = "10.0.0." + std::to_string(i) + ":80";
      record.slots = 6;
      record.data_centre = DataCentreId("dc" + std::to_string(i));
      directory_.Put(record, 1, now_);
    }
    request_.entry_data_centre = DataCentreId("dc0");
  }

  TargetId BeginCall() {
    const auto target = balancer_.BeginCall(
        directory_.UsableTargets(ServiceId("orders"), now_), request_, now_);
    return target.value_or(TargetId());
  }

  Time now_{std::chrono::seconds(100)};
  FleetDirectory directory_;
  ServiceBalancer balancer_{1};
  ServiceBalancer::ChoiceParams request_;
};

// Guards against a single target that gets all calls of a burst.
TEST_F(ServiceBalancerTest, BurstIsSpreadOverTargets) {
  std::map<TargetId, int> calls;
  for (int i = 0; i < 30; ++i) {
    ++calls[BeginCall()];
  }
  for (const auto& [target, count] : calls) {
    EXPECT_LE(count, 15) << target.value();
  }
  EXPECT_EQ(calls.size(), 3u);
}

// Guards against a target that fails calls and keeps its share: failed calls
// end early, so the number of calls in progress alone would favour it.
TEST_F(ServiceBalancerTest, FailingTargetGetsFewCalls) {
  int failing = 0;
  for (int i = 0; i < 300; ++i) {
    const TargetId target = BeginCall();
    const bool fails = target == TargetId("t0");
    failing += fails ? 1 : 0;
    now_ += milliseconds(10);
    balancer_.EndCall(target,
                      fails ? CallOutcome::kFailed : CallOutcome::kAnswered,
                      milliseconds(15), now_);
  }
  EXPECT_LT(failing, 30);
}

// Guards against refused calls when all targets are suspect.
TEST_F(ServiceBalancerTest, SuspectTargetsAreUsedWhenAllAreSuspect) {
  for (int i = 0; i < 3; ++i) {
    balancer_.EndCall(TargetId("t" + std::to_string(i)), CallOutcome::kFailed,
                      milliseconds(1), now_);
  }
  EXPECT_FALSE(BeginCall().empty());
}

// Guards against a retry on the target that has just failed.
TEST_F(ServiceBalancerTest, ExcludedTargetsGetNoCalls) {
  request_.excluded_targets = {TargetId("t0"), TargetId("t1"), TargetId("t2")};
  EXPECT_TRUE(BeginCall().empty());
}

// Guards against a cold target that is overloaded by all entries together.
TEST_F(ServiceBalancerTest, ColdTargetKeepsItsRate) {
  FleetDirectory cold;
  TargetRecord record;
  record.target = TargetId("cold");
  record.service = ServiceId("orders");
  record.cold_left = std::chrono::seconds(60);
  cold.Put(record, 1, now_);
  request_.cold_requests_per_s = 36;
  request_.entry_count = 4;
  int calls = 0;
  for (int i = 0; i < 1'000; ++i) {
    const auto target = balancer_.BeginCall(
        cold.UsableTargets(ServiceId("orders"), now_), request_, now_);
    calls += target ? 1 : 0;
    now_ += milliseconds(1);
  }
  EXPECT_GT(calls, 0);
  EXPECT_LE(calls * 4, 36);
}

}  // namespace
}  // namespace burdockhatch
