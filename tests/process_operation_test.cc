// Planned operations while callers are served: stops, withdrawals of data
// centres, starts during an outage.
#include <signal.h>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/process_harness.h"

namespace burdockhatch::process {
namespace {

constexpr uint32_t kOutput = 60;

FleetSpec LoadedFleet() {
  FleetSpec spec;
  spec.entry_data_centres = {"dc-a", "dc-b"};
  spec.engines = {{"dc-a"}, {"dc-b"}, {"dc-c"}};
  spec.services = {{"dc-a"}, {"dc-b"}};
  spec.balancer_lag_ms = 1'000;
  return spec;
}

class ProcessOperationTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(fleet_.Start()); }

  Fleet fleet_{LoadedFleet()};
};

// Guards against a planned stop that interrupts a request.
TEST_F(ProcessOperationTest, StopOfAnAgentInterruptsNothing) {
  Load load({fleet_.entry_address(0), fleet_.entry_address(1)}, 6, kOutput);
  ASSERT_TRUE(load.WaitFor(10));
  for (size_t i = 0; i < 2; ++i) {
    fleet_.engine_agent(i).Signal(SIGTERM);
    EXPECT_EQ(fleet_.engine_agent(i).WaitForExit(), 0);
    EXPECT_TRUE(load.WaitFor(10));
    fleet_.StartEngineAgent(i);
    EXPECT_TRUE(fleet_.WaitForTargets(0, 5));
    EXPECT_TRUE(load.WaitFor(10));
  }
  const LoadCounts counts = load.Stop();
  EXPECT_EQ(counts.whole, counts.total()) << Describe(counts);
  EXPECT_TRUE(fleet_.BookingsSettle());
}

// The callers act as the platform's balancer: they ask the health endpoint and
// use an entry only while it answered 200, with a lag below the one in the
// settings.
TEST_F(ProcessOperationTest, StopOfAnEntryInterruptsNothing) {
  Load other({fleet_.entry_address(1)}, 3, kOutput);
  std::atomic<int> interrupted = 0;
  std::atomic<int> whole = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([this, i, &interrupted, &whole] {
      for (int n = 0; n < 1'000; ++n) {
        if (CallHttp(fleet_.entry_address(0), "GET", "/readyz").status != 200) {
          return;
        }
        const CallerResult result =
            Complete(fleet_.entry_address(0), fmt::format("{} {}", i, n),
                     kOutput, n % 2 == 0);
        ++(result.verdict == Verdict::kWhole ? whole : interrupted);
      }
    });
  }
  EXPECT_TRUE(WaitUntil([&] { return whole >= 12; }));
  fleet_.entry(0).Signal(SIGTERM);
  EXPECT_TRUE(WaitUntil([this] {
    return CallHttp(fleet_.entry_address(0), "GET", "/healthz").status == 503;
  }));
  // What the lagging balancer still sends is served.
  EXPECT_EQ(Complete(fleet_.entry_address(0), "late", kOutput, true).verdict,
            Verdict::kWhole);
  EXPECT_EQ(fleet_.entry(0).WaitForExit(), 0);
  for (std::thread& it : callers) {
    it.join();
  }
  EXPECT_EQ(interrupted, 0);
  const LoadCounts others = other.Stop();
  EXPECT_EQ(others.whole, others.total()) << Describe(others);
  EXPECT_TRUE(fleet_.BookingsSettle());
}

// Guards against a stop that cuts a long answer off.
TEST_F(ProcessOperationTest, ARequestInProgressOutlivesTheStopOfBothEnds) {
  CallerResult result;
  std::thread caller([&] {
    result = Complete(fleet_.entry_address(0), "long", 600, true,
                      std::chrono::seconds(60));
  });
  EXPECT_TRUE(WaitUntil([this] {
    const HttpResult state =
        CallHttp(fleet_.entry_address(0), "GET", "/debug/state");
    return state.body.find("\"requests\":1") != std::string::npos;
  }));
  for (size_t i = 0; i < 3; ++i) {
    fleet_.engine_agent(i).Signal(SIGTERM);
  }
  fleet_.entry(0).Signal(SIGINT);
  caller.join();
  EXPECT_EQ(result.verdict, Verdict::kWhole) << result.text.substr(0, 500);
  EXPECT_EQ(fleet_.entry(0).WaitForExit(), 0);
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(fleet_.engine_agent(i).WaitForExit(), 0);
  }
}

TEST_F(ProcessOperationTest, StopOfAServiceAgentRepeatsNoCall) {
  std::atomic<bool> stop = false;
  std::atomic<int> whole = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> calls = 0;
  std::thread caller([&] {
    for (int i = 0; !stop; ++i) {
      const std::string key = fmt::format("stop-{}", i);
      const HttpResult result = CallHttp(
          fleet_.entry_address(i % 2), "POST", "/services/orders/h", "x",
          {{"X-Client-Account", "acme"}, {"Idempotency-Key", key}});
      ++(result.status == 200 ? whole : refused);
      ++calls;
      EXPECT_EQ(fleet_.Executions(key), result.status == 200 ? 1 : 0)
          << result.body;
    }
  });
  EXPECT_TRUE(WaitUntil([&] { return calls >= 5; }));
  fleet_.service_agent(0).Signal(SIGTERM);
  EXPECT_EQ(fleet_.service_agent(0).WaitForExit(), 0);
  const int before = calls;
  EXPECT_TRUE(WaitUntil([&] { return calls >= before + 5; }));
  stop = true;
  caller.join();
  EXPECT_EQ(refused, 0);
  EXPECT_GT(whole, 0);
}

// Guards against work for a data centre that operators have taken out, and
// against requests that the withdrawal interrupts.
TEST_F(ProcessOperationTest, ADataCentreIsTakenOutAndBack) {
  Load load({fleet_.entry_address(0), fleet_.entry_address(1)}, 6, kOutput);
  ASSERT_TRUE(load.WaitFor(10));
  ASSERT_TRUE(fleet_.PutConfig(R"(["dc-a"])"));
  auto targets_state = [this](const char* text) {
    const std::string state =
        CallHttp(fleet_.engine_agent_address(0), "GET", "/debug/state").body;
    return state.find(text) != std::string::npos;
  };
  EXPECT_TRUE(WaitUntil([&] { return targets_state("\"withdrawn\":true"); }));
  EXPECT_TRUE(WaitUntil([&] { return targets_state("\"attempts\":[]"); }));
  EXPECT_TRUE(load.WaitFor(20));
  // Out of service means that nothing at all arrives.
  EXPECT_TRUE(targets_state("\"attempts\":[]"));
  ASSERT_TRUE(fleet_.PutConfig());
  EXPECT_TRUE(WaitUntil([&] { return targets_state("\"withdrawn\":false"); }));
  EXPECT_TRUE(load.WaitFor(20));
  const LoadCounts counts = load.Stop();
  EXPECT_EQ(counts.whole, counts.total()) << Describe(counts);
  EXPECT_TRUE(fleet_.BookingsSettle());
}

// A process that starts while the object API is down takes its configuration
// from its peers.
TEST_F(ProcessOperationTest, AnAgentStartsDuringAnOutage) {
  fleet_.object_api().Kill();
  fleet_.engine_agent(0).Kill();
  fleet_.StartEngineAgent(0);
  EXPECT_TRUE(WaitUntil([this] {
    return CallHttp(fleet_.engine_agent_address(0), "GET", "/readyz").status ==
           200;
  }));
  EXPECT_TRUE(fleet_.WaitForTargets(0, 5));
}

}  // namespace
}  // namespace burdockhatch::process
