// Tests how ChooseTarget selects the target that a request is offered to.
#include <gtest/gtest.h>

#include "src/affinity.h"
#include "src/fleet_table.h"
#include "src/placement.h"
#include "tests/allocation_counter.h"
#include "tests/entry_driver.h"
#include "tests/entry_invariants.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EntryPlacementTest : public testing::Test {
 protected:
  EntryPlacementTest() : driver_(3) {}

  // Submits `count` requests at once and returns how many of their first offers
  // went to `name`.
  int CountFirstOffersTo(const std::string& name,
                         int count,
                         const std::vector<uint64_t>& prefix_hashes = {}) {
    int offers = 0;
    for (int i = 0; i < count; ++i) {
      RequestSpec spec = driver_.Completion(4000);
      spec.prefix_hashes = prefix_hashes;
      const RequestId request = driver_.Submit(spec);
      const auto& sent = driver_.record(request).offers;
      offers += !sent.empty() && sent[0].to == InstanceId(name) ? 1 : 0;
    }
    return offers;
  }

  void RunToEndAndCheck() {
    driver_.Run(seconds(12));
    CheckEntryInvariants(driver_);
  }

  EntryDriver driver_;
};

// Guards against requests that queue at a slow target while another is free.
TEST_F(EntryPlacementTest, PrefersTheShorterExpectedWait) {
  driver_.AddAgent("slow", "dc-a", "model", "").expected_wait =
      milliseconds(500);
  driver_.AddAgent("fast", "dc-a", "model", "");
  driver_.Start();
  EXPECT_EQ(CountFirstOffersTo("fast", 5), 5);
  RunToEndAndCheck();
}

// Guards against a thundering herd: reports arrive once a second, so the load
// of this entry's own offers must count immediately.
TEST_F(EntryPlacementTest, OwnOffersCountBeforeTheNextReport) {
  driver_.AddAgent("one", "dc-a", "model", "");
  driver_.AddAgent("two", "dc-a", "model", "");
  driver_.Start();
  const int offers = CountFirstOffersTo("one", 20);
  EXPECT_GE(offers, 8);
  EXPECT_LE(offers, 12);
  RunToEndAndCheck();
}

// Guards against prompts whose prefill is repeated although a target has most
// of it in its cache.
TEST_F(EntryPlacementTest, PrefersTheTargetWithTheLongestCachedPrefix) {
  driver_.AddAgent("cold", "dc-a", "model", "");
  driver_.AddAgent("cached", "dc-a", "model", "").cached_prefixes = {13};
  driver_.AddAgent("other", "dc-a", "model", "").cached_prefixes = {11};
  driver_.Start();
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(CountFirstOffersTo("cached", 1, {11, 12, 13, 14}), 1);
    driver_.Run(seconds(1));
  }
  RunToEndAndCheck();
}

// Guards against a popular prefix that overloads the only target that caches
// it.
TEST_F(EntryPlacementTest, AffinityIsBoundedByLoad) {
  driver_.AddAgent("one", "dc-a", "model", "").cached_prefixes = {13};
  driver_.AddAgent("two", "dc-a", "model", "");
  driver_.AddAgent("three", "dc-a", "model", "");
  driver_.Start();
  const int offers = CountFirstOffersTo("one", 60, {11, 12, 13});
  EXPECT_GE(offers, 20);
  EXPECT_LE(offers, 30);
  RunToEndAndCheck();
}

// Guards against a cached prefix that outweighs a load far above the mean.
TEST_F(EntryPlacementTest, AffinityIsIgnoredAtAnOverloadedTarget) {
  FakeAgent& cached = driver_.AddAgent("cached", "dc-a", "model", "");
  cached.cached_prefixes = {13};
  cached.reported_load = 60'000;
  driver_.AddAgent("idle-1", "dc-a", "model", "");
  driver_.AddAgent("idle-2", "dc-a", "model", "");
  driver_.Start();
  EXPECT_EQ(CountFirstOffersTo("cached", 1, {11, 12, 13}), 0);
  RunToEndAndCheck();
}

// Guards against a newly started target that gets as many requests as the warm
// ones.
TEST_F(EntryPlacementTest, ColdTargetGetsNoMoreThanItsBudget) {
  driver_.AddAgent("cold", "dc-a", "model", "").warm_budget = 9'000;
  driver_.AddAgent("warm-1", "dc-a", "model", "");
  driver_.AddAgent("warm-2", "dc-a", "model", "");
  driver_.Start();
  EXPECT_LE(CountFirstOffersTo("cold", 40), 2);
  RunToEndAndCheck();
}

// Guards against needless traffic between data centres.
TEST_F(EntryPlacementTest, PrefersItsOwnDataCentreAmongEquals) {
  driver_.AddAgent("far", "dc-b", "model", "").info.region =
      RegionId("elsewhere");
  driver_.AddAgent("near", "dc-a", "model", "");
  driver_.Start();
  EXPECT_EQ(CountFirstOffersTo("near", 5), 5);
  RunToEndAndCheck();
}

void FillFleet(EntryTables& tables, int count) {
  Random random(1);
  for (int i = 0; i < count; ++i) {
    InstanceInfo info;
    info.instance = InstanceId("agent-" + std::to_string(i));
    info.role = Role::kAgent;
    info.model = ModelId("model");
    const TargetSlot slot = AddOrUpdateTarget(tables, info);
    TargetRow& row = tables.fleet.rows[slot];
    row.connected = true;
    row.incarnation = Incarnation(1);
    row.last_heard = Time(seconds(1));
    AgentState state;
    state.sequence = 1;
    state.ready = true;
    state.warm_budget = state.full_budget = Tokens(100'000);
    state.memory_total = state.memory_free = Tokens(450'000);
    state.in_flight = Tokens(static_cast<int64_t>(random.UniformBelow(50'000)));
    state.prefill_rate = TokensPerSecond(50'000);
    state.cached_prefixes = {random.UniformBelow(40), random.UniformBelow(40)};
    ApplyAgentState(tables.fleet, slot, Incarnation(1), state);
    RefreshAvailability(tables.fleet, slot, Time(seconds(1)));
  }
}

// Guards against allocations in the placement decision, which runs for every
// request. The number of targets is that of the largest fleet.
TEST(EntryPlacementScaleTest, DecisionAmong750TargetsDoesNotAllocate) {
  EntryTables tables;
  FillFleet(tables, 750);
  FleetTable& fleet = tables.fleet;
  const std::vector<uint64_t> hashes = {1, 2, 3, 4, 5, 6, 7, 8};
  PlacementQuery query;
  query.candidates = &fleet.by_model.at(ModelId("model"));
  query.prompt = Tokens(4000);
  query.max_total_tokens = Tokens(4100);
  query.prefix_hashes = &hashes;
  const uint64_t before = ThreadAllocationCount();
  for (int i = 0; i < 100; ++i) {
    query.random_bits = static_cast<uint64_t>(i);
    BeginDecision(fleet);
    EXPECT_TRUE(ChooseTarget(fleet, query).slot.has_value());
  }
  EXPECT_EQ(ThreadAllocationCount(), before);
}

// Guards against an allocation counter that counts nothing, which would make
// the test above pass.
TEST(AllocationCounterTest, CountsAllocations) {
  const uint64_t before = ThreadAllocationCount();
  std::vector<int> numbers(1000);
  EXPECT_EQ(numbers.size(), 1000u);
  EXPECT_GT(ThreadAllocationCount(), before);
}

// Guards against index entries of targets that no longer cache the prefix.
TEST(AffinityTest, RemovedPrefixesAreNotFound) {
  FleetTable fleet;
  fleet.hints.resize(2);
  fleet.cached_targets.reserve(2);
  AddPrefixes(fleet.affinity, 0, {5, 6});
  AddPrefixes(fleet.affinity, 1, {6});
  RemovePrefixes(fleet.affinity, 0, {5, 6});
  BeginDecision(fleet);
  MarkCachedBlocks(fleet, {5, 6});
  EXPECT_NE(fleet.hints[0].affinity_mark, fleet.decision_number);
  EXPECT_EQ(fleet.hints[1].affinity_mark, fleet.decision_number);
  EXPECT_EQ(fleet.hints[1].cached_blocks, 2u);
  EXPECT_FALSE(fleet.affinity.contains(5));
}

}  // namespace
}  // namespace burdockhatch
