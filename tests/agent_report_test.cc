#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "src/agent_report.h"
#include "src/prefix_table.h"
#include "tests/agent_invariants.h"
#include "tests/agent_simulation.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against entries that place work by outdated reports, and against more
// reports than the control-plane budget allows.
TEST(AgentReportTest, SubscribersGetOneReportPerSecond) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddEngineAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.Send(node, Subscribe{seconds(10)});
  for (int i = 0; i < 5; ++i) {
    simulation.Run(seconds(1));
    simulation.Send(node, Subscribe{seconds(10)});
  }
  // One report at once, then one per second.
  EXPECT_EQ(simulation.reports.size(), 6u);
  for (size_t i = 1; i < simulation.reports.size(); ++i) {
    EXPECT_GT(simulation.reports[i].second.state.sequence,
              simulation.reports[i - 1].second.state.sequence);
  }
  simulation.Run(seconds(30));
  EXPECT_LE(simulation.reports.size(), 6u + 10u);
}

// Guards against a burst of load reports after a pause of the agent.
TEST(AgentReportTest, MissedReportsAreSkipped) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddEngineAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.Send(node, Subscribe{seconds(600)});
  simulation.Pause(node);
  simulation.Run(seconds(60));
  simulation.Unpause(node);
  const size_t before = simulation.reports.size();
  simulation.Run(milliseconds(500));
  EXPECT_LE(simulation.reports.size(), before + 1);
}

// Guards against a drain that is reported to entries too late, that ends before
// the running work, or that sends Goodbye early.
TEST(AgentReportTest, DrainIsReportedAtOnceAndEndsWithGoodbye) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddEngineAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.Send(node, Subscribe{seconds(60)});
  const AttemptId running = simulation.SendOffer(
      node, simulation.MakeCompletionOffer(Tokens(1'000), Tokens(2'000),
                                           seconds(30)));
  simulation.Run(milliseconds(50));
  node.core->BeginDrain(simulation.now());
  simulation.Run(AgentSimulation::kTickInterval);
  EXPECT_TRUE(simulation.reports.back().second.state.draining);
  EXPECT_FALSE(node.core->Drained());
  EXPECT_EQ(simulation.goodbyes, 0);
  simulation.Run(seconds(5));
  EXPECT_TRUE(node.core->Drained());
  EXPECT_EQ(simulation.goodbyes, 1);
  EXPECT_EQ(simulation.offers[running].finishes[0].second.failure.code,
            ErrorCode::kNone);
  CheckAllInvariants(simulation);
}

// Guards against a drain that refuses a call waiting for its claim, whose
// idempotency key could then not be used anywhere.
TEST(AgentReportTest, DrainLetsCallsObtainTheirClaims) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddServiceAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.faults.outage = true;
  const AttemptId call = simulation.SendOffer(
      node, simulation.MakeKeyedCallOffer("k", seconds(5)));
  simulation.Run(milliseconds(20));
  simulation.faults.outage = false;
  node.core->BeginDrain(simulation.now());
  simulation.Run(seconds(1));
  EXPECT_EQ(simulation.executions[call], 1);
  EXPECT_TRUE(node.core->Drained());
}

// Guards against new work at a target that has been draining for longer than
// the bound of 3 s.
TEST(AgentReportTest, DrainRefusesCallsWithoutClaimAfterGracePeriod) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddServiceAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.faults.outage = true;
  const AttemptId call = simulation.SendOffer(
      node, simulation.MakeKeyedCallOffer("k", seconds(30)));
  simulation.Run(milliseconds(20));
  node.core->BeginDrain(simulation.now());
  simulation.Run(seconds(3));
  ASSERT_EQ(simulation.offers[call].finishes.size(), 1u);
  EXPECT_EQ(simulation.offers[call].finishes[0].second.failure.code,
            ErrorCode::kTargetDraining);
  EXPECT_TRUE(node.core->Drained());
}

// Guards against an AgentState that contradicts the tables.
TEST(AgentReportTest, StateReportsWorkInFlightAndQueued) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddEngineAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.SendOffer(node, simulation.MakeCompletionOffer(
                                 Tokens(45'000), Tokens(2'000), seconds(30)));
  simulation.SendOffer(node, simulation.MakeCompletionOffer(
                                 Tokens(20'000), Tokens(100), seconds(30)));
  simulation.Run(milliseconds(20));
  const AgentState state = node.core->State(simulation.now());
  EXPECT_TRUE(state.ready);
  EXPECT_EQ(state.running, 1u);
  EXPECT_EQ(state.waiting, 1u);
  EXPECT_EQ(state.in_flight, Tokens(47'000));
  EXPECT_EQ(state.queued, Tokens(20'100));
  EXPECT_EQ(state.memory_free, Tokens(450'000 - 47'000));
  EXPECT_EQ(state.warm_budget, Tokens(50'000));
  EXPECT_EQ(state.full_budget, Tokens(400'000));
}

// Guards against a state dump that is not valid JSON.
TEST(AgentReportTest, DumpIsJson) {
  AgentSimulation simulation(1);
  SimulatedNode& node = simulation.AddEngineAgent("agent-1");
  simulation.Run(milliseconds(100));
  simulation.SendOffer(node, simulation.MakeCompletionOffer(
                                 Tokens(4'000), Tokens(2'000), seconds(30)));
  simulation.Run(milliseconds(20));
  const auto root =
      boost::json::parse(node.core->Dump(simulation.now())).as_object();
  EXPECT_EQ(root.at("bookings").as_array().size(), 1u);
  EXPECT_EQ(root.at("attempts").as_array().size(), 1u);
  EXPECT_EQ(root.at("in_flight").to_number<int64_t>(), 6'000);
}

constexpr Time kNow{seconds(100)};

// Guards against a delayed cache event that overrides a newer one.
TEST(AgentPrefixTableTest, DelayedEventIsIgnored) {
  PrefixTable table;
  ApplyCacheEvents(table, {{1, true, 7}, {3, false, 7}, {2, true, 7}}, kNow);
  EXPECT_TRUE(RecentPrefixes(table, 10).empty());
}

// Guards against prefixes that stay in the reports although their eviction
// event was lost.
TEST(AgentPrefixTableTest, LostEventsExpireOlderPrefixes) {
  PrefixTable table;
  ApplyCacheEvents(table, {{1, true, 7}, {2, true, 8}}, kNow);
  ApplyCacheEvents(table, {{9, true, 8}}, kNow);
  ExpirePrefixes(table, kNow + seconds(1));
  EXPECT_EQ(RecentPrefixes(table, 10), (std::vector<uint64_t>{8, 7}));
  ExpirePrefixes(table, kNow + kDoubtfulPrefixTtl);
  EXPECT_EQ(RecentPrefixes(table, 10), std::vector<uint64_t>{8});
}

// Guards against a prefix table that grows without bound.
TEST(AgentPrefixTableTest, LeastRecentlyUsedPrefixesAreRemoved) {
  PrefixTable table;
  for (uint64_t i = 1; i <= 3 * kMaxTrackedPrefixes; ++i) {
    ApplyCacheEvents(table, {{i, true, i}}, kNow);
  }
  EXPECT_LE(table.prefixes.size(), kMaxTrackedPrefixes);
  EXPECT_EQ(RecentPrefixes(table, 1),
            std::vector<uint64_t>{3 * kMaxTrackedPrefixes});
}

}  // namespace
}  // namespace burdockhatch
