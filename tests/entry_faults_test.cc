// Injects many seeded random faults at once and checks all invariants.
#include <gtest/gtest.h>

#include "tests/entry_driver.h"
#include "tests/entry_invariants.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void AddFleet(EntryDriver& driver) {
  for (int i = 0; i < 6; ++i) {
    const std::string data_centre = i % 3 == 0 ? "dc-a" : "dc-b";
    driver.AddAgent("engine-" + std::to_string(i), data_centre, "model", "");
  }
  for (int i = 0; i < 3; ++i) {
    driver.AddAgent("desk-" + std::to_string(i), "dc-a", "", "service");
  }
}

RequestSpec RandomSpec(EntryDriver& driver, Random& random) {
  const Duration timeout(1'000'000 +
                         static_cast<int64_t>(random.UniformBelow(12'000'000)));
  const uint64_t kind = random.UniformBelow(4);
  if (kind < 2) {
    return driver.Completion(static_cast<int64_t>(random.UniformBelow(30'000)),
                             timeout);
  }
  RequestSpec spec = driver.ServiceCall(kind == 2, timeout);
  if (random.UniformBelow(2) == 0) {
    spec.key = IdempotencyKey(std::to_string(random.UniformBelow(50)));
  }
  return spec;
}

// Occasionally withdraws or restores a data centre, marks an agent as leaving
// on the instance list, or toggles the draining of an agent.
void RandomOperation(EntryDriver& driver, Random& random) {
  const uint64_t kind = random.UniformBelow(60);
  auto& withdrawn = driver.config().withdrawn_data_centres;
  if (kind == 0) {
    withdrawn.insert(DataCentreId("dc-b"));
    driver.PushConfig();
  } else if (kind == 1) {
    withdrawn.clear();
    driver.PushConfig();
  } else if (kind == 2) {
    FakeAgent& agent =
        driver.agent("engine-" + std::to_string(random.UniformBelow(6)));
    agent.info.state = agent.info.state == InstanceState::kLive
                           ? InstanceState::kLeaving
                           : InstanceState::kLive;
    driver.PushInstances();
  } else if (kind == 3) {
    FakeAgent& agent =
        driver.agent("engine-" + std::to_string(random.UniformBelow(6)));
    agent.draining = !agent.draining;
  } else if (kind == 4) {
    driver.PushInstances();
  }
}

void RunWithFaults(uint64_t seed, const EntryFaultPlan& faults) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  EntryDriver driver(seed, faults);
  AddFleet(driver);
  driver.Start();
  Random random(seed * 77 + 1);
  for (int i = 0; i < 300; ++i) {
    const RequestId request = driver.Submit(RandomSpec(driver, random));
    driver.Run(milliseconds(10 + random.UniformBelow(150)));
    RandomOperation(driver, random);
    if (random.UniformBelow(25) == 0 && !driver.FirstEnd(request)) {
      driver.record(request).caller_gone = true;
      driver.core().OnCallerGone(request, driver.Now());
    }
  }
  driver.Run(seconds(15));
  CheckEntryInvariants(driver);
}

class EntryFaultsTest : public testing::TestWithParam<uint64_t> {};

// Guards against wrong outcomes when messages are lost, late, duplicated or
// reordered.
TEST_P(EntryFaultsTest, FaultyNetwork) {
  EntryFaultPlan faults;
  faults.lost = 0.05;
  faults.late = 0.05;
  faults.duplicated = 0.1;
  faults.unsent = 0.05;
  RunWithFaults(GetParam(), faults);
}

// Guards against wrong outcomes when agents die, restart and pause.
TEST_P(EntryFaultsTest, FaultyAgents) {
  EntryFaultPlan faults;
  faults.refused = 0.2;
  faults.failed_streams = 0.02;
  faults.restarts_per_s = 0.05;
  faults.deaths_per_s = 0.05;
  faults.pauses_per_s = 0.05;
  RunWithFaults(GetParam(), faults);
}

// Guards against wrong outcomes when network and agent faults coincide.
TEST_P(EntryFaultsTest, FaultyNetworkAndAgents) {
  EntryFaultPlan faults;
  faults.lost = 0.1;
  faults.late = 0.1;
  faults.duplicated = 0.2;
  faults.unsent = 0.05;
  faults.refused = 0.1;
  faults.failed_streams = 0.02;
  faults.restarts_per_s = 0.1;
  faults.deaths_per_s = 0.05;
  faults.pauses_per_s = 0.1;
  RunWithFaults(GetParam(), faults);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         EntryFaultsTest,
                         testing::Range<uint64_t>(1, 13));

// Guards against failed or repeated requests in a fleet without faults.
TEST(EntryHealthyFleetTest, CompletesEverything) {
  EntryDriver driver(5);
  AddFleet(driver);
  driver.Start();
  Random random(3);
  for (int i = 0; i < 300; ++i) {
    driver.Submit(RandomSpec(driver, random));
    driver.Run(milliseconds(20));
  }
  driver.Run(seconds(15));
  for (const auto& [request, record] : driver.records()) {
    ASSERT_EQ(record.ends.size(), 1u);
    EXPECT_TRUE(record.ends[0].completed) << ToString(request);
    EXPECT_EQ(record.offers.size(), 1u) << ToString(request);
  }
  CheckEntryInvariants(driver);
}

}  // namespace
}  // namespace burdockhatch
