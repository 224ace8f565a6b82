#include "src/settings.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

constexpr char kAgentSettings[] = R"({
  "role": "agent", "instance": "agent-1", "data_centre": "ga-north-a",
  "region": "ga-north", "bus_address": "127.0.0.1:5001",
  "http_address": "127.0.0.1:5002", "object_api_address": "127.0.0.1:5003",
  "target": {"id": "engine-1", "kind": "engine", "address": "127.0.0.1:5004",
             "model": "m", "memory_tokens": 450000,
             "full_budget_tokens": 100000, "prefill_tokens_per_s": 9000,
             "ms_per_token": 20, "fencing": "ignored"},
  "limits": {"max_body_bytes": 2048, "default_deadline_ms": 700,
             "balancer_lag_ms": 50, "traffic_threads": 3}
})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

std::vector<std::string> ListPaths(const std::string& text) {
  Findings findings;
  EXPECT_FALSE(ParseSettings(text, &findings));
  std::vector<std::string> paths;
  for (const Finding& it : findings.list) {
    paths.push_back(it.path);
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

TEST(SettingsTest, ReadsAnAgent) {
  Findings findings;
  const std::optional<Settings> settings =
      ParseSettings(kAgentSettings, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  EXPECT_EQ(settings->role, Role::kAgent);
  EXPECT_EQ(settings->instance.value(), "agent-1");
  EXPECT_EQ(settings->region.value(), "ga-north");
  EXPECT_EQ(settings->bus_address, "127.0.0.1:5001");
  EXPECT_EQ(settings->object_api_address, "127.0.0.1:5003");
  EXPECT_EQ(settings->target.target.value(), "engine-1");
  EXPECT_EQ(settings->target.memory, Tokens(450'000));
  EXPECT_EQ(settings->target.full_budget, Tokens(100'000));
  EXPECT_EQ(settings->target.prefill_rate, TokensPerSecond(9'000));
  EXPECT_EQ(settings->target.time_per_token, std::chrono::milliseconds(20));
  EXPECT_FALSE(settings->target.honours_fencing);
  EXPECT_EQ(settings->limits.max_body, Bytes(2'048));
  EXPECT_EQ(settings->limits.default_deadline, std::chrono::milliseconds(700));
  EXPECT_EQ(settings->limits.traffic_threads, 3u);
}

// Guards against a daemon that reports only one error per start.
TEST(SettingsTest, ReportsAllFindingsTogether) {
  std::string text = Replace(kAgentSettings, "\"agent-1\"", "\"\"");
  text = Replace(text, "127.0.0.1:5001", "localhost:5001");
  text = Replace(text, "450000", "-1");
  text = Replace(text, "\"ignored\"", "\"maybe\"");
  text = Replace(text, "\"traffic_threads\"", "\"trafic_threads\"");
  EXPECT_EQ(ListPaths(text),
            (std::vector<std::string>{
                "/bus_address", "/instance", "/limits/trafic_threads",
                "/target/fencing", "/target/memory_tokens"}));
}

TEST(SettingsTest, ReportsMissingFields) {
  EXPECT_GE(ListPaths("{}").size(), 7u);
  EXPECT_FALSE(ListPaths("[]").empty());
  EXPECT_FALSE(ListPaths("{\"role\":").empty());
  EXPECT_FALSE(ListPaths("").empty());
}

// Guards against a stop grace that ends before the load balancer has turned
// away, or leaves no time to end the requests.
TEST(SettingsTest, StopGraceExceedsTheBalancerLag) {
  const std::string text =
      Replace(kAgentSettings, "\"balancer_lag_ms\": 50",
              "\"balancer_lag_ms\": 3000, \"stop_grace_ms\": 5000");
  Findings findings;
  const std::optional<Settings> settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  EXPECT_EQ(settings->limits.stop_grace, std::chrono::seconds(5));
  for (const char* value : {"4999", "0", "-1", "600001", "\"5 s\""}) {
    EXPECT_EQ(
        ListPaths(Replace(text, "ms\": 5000", std::string("ms\": ") + value)),
        std::vector<std::string>{"/limits/stop_grace_ms"})
        << value;
  }
}

// Guards against an address check that stops at a null byte.
TEST(SettingsTest, RejectsAddressWithNullByte) {
  for (const char* address :
       {"127.0.0.1\\u0000:5001", "127.0.0.1\\u0000x:5001"}) {
    const std::string text = Replace(kAgentSettings, "127.0.0.1:5001", address);
    EXPECT_EQ(ListPaths(text), std::vector<std::string>{"/bus_address"});
  }
}

// Guards against a port that ends the process or is taken for another one.
TEST(SettingsTest, RejectsPortOutOfRange) {
  for (const char* port : {"0", "65536", "99999999999", "-1", "05001x", "",
                           "000005001", "18446744073709556617"}) {
    const std::string text = Replace(kAgentSettings, "127.0.0.1:5001",
                                     "127.0.0.1:" + std::string(port));
    EXPECT_EQ(ListPaths(text), std::vector<std::string>{"/bus_address"})
        << port;
  }
}

TEST(SettingsTest, RejectsTargetOfAnEntry) {
  const std::string text = Replace(kAgentSettings, "\"agent\"", "\"entry\"");
  EXPECT_EQ(ListPaths(text), std::vector<std::string>{"/target"});
}

// Guards against an entry that cannot fetch the configuration from its peers
// when it starts during an outage of the object API.
TEST(SettingsTest, ReadsSeedPeersOfAnEntry) {
  const std::string text = R"({
    "role": "entry", "instance": "entry-1", "data_centre": "ga-north-a",
    "region": "ga-north", "bus_address": "127.0.0.1:5001",
    "http_address": "127.0.0.1:5002", "object_api_address": "127.0.0.1:5003",
    "seed_peers": [{"instance": "entry-2", "address": "127.0.0.1:5011"}]
  })";
  Findings findings;
  const std::optional<Settings> settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  ASSERT_EQ(settings->seed_peers.size(), 1u);
  EXPECT_EQ(settings->seed_peers[0].instance.value(), "entry-2");
  EXPECT_EQ(settings->seed_peers[0].address, "127.0.0.1:5011");
  EXPECT_EQ(ListPaths(Replace(text, "127.0.0.1:5011", "entry-2:5011")),
            std::vector<std::string>{"/seed_peers/0/address"});
}

TEST(SettingsTest, RejectsEngineFieldsOfAPlainService) {
  const std::string text = Replace(kAgentSettings, "\"engine\"", "\"service\"");
  const std::vector<std::string> paths = ListPaths(text);
  EXPECT_TRUE(std::count(paths.begin(), paths.end(), "/target/memory_tokens"));
  EXPECT_TRUE(std::count(paths.begin(), paths.end(), "/target/model"));
}

TEST(SettingsTest, ReportsUnreadableFile) {
  EXPECT_FALSE(ReadSettingsFile("tests/no-such-file.json"));
}

constexpr char kForwardingSettings[] = R"({
  "role": "entry", "instance": "edge-1", "data_centre": "ga-north-a",
  "region": "ga-north", "bus_address": "127.0.0.1:5001",
  "http_address": "127.0.0.1:5002", "object_api_address": "127.0.0.1:5003",
  "forwarding": {"caller_address": "127.0.0.1:5004", "agent_bus_port": 7000,
                 "regions": {"ga-north-a": "ga-north"}, "repeat_ratio": 0.25,
                 "repeat_window_ms": 5000, "repeat_allowance": 12,
                 "stop_grace_ms": 4000}
})";

TEST(SettingsTest, ReadsForwarding) {
  Findings findings;
  const auto settings = ParseSettings(kForwardingSettings, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  ASSERT_TRUE(settings->forwarding);
  EXPECT_EQ(settings->forwarding->caller_address, "127.0.0.1:5004");
  EXPECT_EQ(settings->forwarding->agent_bus_port, 7000u);
  EXPECT_EQ(settings->forwarding->repeat_ratio, 0.25);
  EXPECT_EQ(settings->forwarding->repeat_allowance, 12u);
  EXPECT_EQ(settings->forwarding->stop_grace, std::chrono::seconds(4));
  EXPECT_EQ(settings->forwarding->regions.at(DataCentreId("ga-north-a")),
            RegionId("ga-north"));
}

// Guards against a process that does not start because a figure of its
// deployment became a fraction (review/5).
TEST(SettingsTest, ReadsForwardingFiguresWithFractions) {
  std::string text = Replace(kForwardingSettings, "\"stop_grace_ms\": 4000",
                             "\"stop_grace_s\": 7.5");
  text =
      Replace(text, "\"repeat_window_ms\": 5000", "\"repeat_window_s\": 2.25");
  text =
      Replace(text, "\"repeat_allowance\": 12", "\"repeat_allowance\": 12.7");
  Findings findings;
  const auto settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  EXPECT_EQ(settings->forwarding->stop_grace, std::chrono::milliseconds(7'500));
  EXPECT_EQ(settings->forwarding->repeat_window,
            std::chrono::milliseconds(2'250));
  EXPECT_EQ(settings->forwarding->repeat_allowance, 12u);
  EXPECT_EQ(ListPaths(Replace(text, "7.5", "600.1")),
            std::vector<std::string>{"/forwarding/stop_grace_s"});
  EXPECT_EQ(ListPaths(Replace(text, "7.5", "7.5, \"stop_grace_ms\": 7500")),
            std::vector<std::string>{"/forwarding/stop_grace_s"});
}

// Guards against a process that starts with invalid forwarding settings.
TEST(SettingsTest, ReportsPathsOfForwardingFindings) {
  EXPECT_EQ(ListPaths(Replace(kForwardingSettings, "7000", "70000")),
            std::vector<std::string>{"/forwarding/agent_bus_port"});
  EXPECT_EQ(ListPaths(Replace(kForwardingSettings, "0.25", "2")),
            std::vector<std::string>{"/forwarding/repeat_ratio"});
  EXPECT_EQ(ListPaths(Replace(kForwardingSettings, "stop_grace_ms", "grace")),
            std::vector<std::string>{"/forwarding/grace"});
  EXPECT_EQ(
      ListPaths(Replace(kForwardingSettings, "\"entry\"", "\"agent\"")).front(),
      "/forwarding/agent_bus_port");
}

// Guards against limits of responses that are ignored, absurd or contradictory.
TEST(SettingsTest, ChecksResponseLimits) {
  Findings findings;
  const std::string text = Replace(kAgentSettings, "\"traffic_threads\": 3",
                                   "\"max_response_bytes\": 4096, "
                                   "\"max_buffered_response_bytes\": 8192");
  const auto settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  EXPECT_EQ(settings->limits.max_response, Bytes(4'096));
  EXPECT_EQ(settings->limits.max_buffered_responses, Bytes(8'192));
  EXPECT_EQ(ListPaths(Replace(text, "4096", "9000")),
            std::vector<std::string>{"/limits/max_response_bytes"});
  EXPECT_EQ(ListPaths(Replace(text, "8192", "0")),
            std::vector<std::string>{"/limits/max_buffered_response_bytes"});
  EXPECT_EQ(ListPaths(Replace(text, "4096", "1")),
            std::vector<std::string>{"/limits/max_response_bytes"});
}

// Guards against a budget of requests that is ignored or absurd.
TEST(SettingsTest, ChecksBufferedRequestsLimit) {
  Findings findings;
  const std::string text = Replace(kAgentSettings, "\"traffic_threads\": 3",
                                   "\"max_buffered_requests_bytes\": 8192");
  const auto settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  EXPECT_EQ(settings->limits.max_buffered_requests, Bytes(8'192));
  for (const char* it : {"0", "-1", "1e10", "\"8192\""}) {
    EXPECT_EQ(ListPaths(Replace(text, "8192", it)),
              std::vector<std::string>{"/limits/max_buffered_requests_bytes"});
  }
}

// Guards against limits of blame that are ignored, absurd or contradictory.
TEST(SettingsTest, ChecksCrashBlame) {
  Findings findings;
  const std::string text = Replace(
      kAgentSettings, "\"limits\"",
      "\"crash_blame\": {\"enabled\": false, \"crashes\": 3, "
      "\"answered_crashes\": 5, \"memory_ms\": 30000, \"block_ms\": 60000, "
      "\"max_block_ms\": 120000, \"max_unanswered\": 4, "
      "\"max_suspects\": 10, \"max_answered_parts\": 20}, \"limits\"");
  const auto settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  const CrashBlameLimits& limits = settings->crash_blame;
  EXPECT_FALSE(limits.enabled);
  EXPECT_EQ(limits.crashes, 3u);
  EXPECT_EQ(limits.answered_crashes, 5u);
  EXPECT_EQ(limits.memory, std::chrono::seconds(30));
  EXPECT_EQ(limits.block, std::chrono::seconds(60));
  EXPECT_EQ(limits.max_block, std::chrono::seconds(120));
  EXPECT_EQ(limits.max_unanswered, 4u);
  EXPECT_EQ(limits.max_suspects, 10u);
  EXPECT_EQ(limits.max_answered_parts, 20u);
  using Paths = std::vector<std::string>;
  EXPECT_EQ(ListPaths(Replace(text, "\"crashes\": 3", "\"crashes\": 0")),
            Paths{"/crash_blame/crashes"});
  EXPECT_EQ(ListPaths(Replace(text, "\"crashes\": 3", "\"crashes\": 6")),
            Paths{"/crash_blame/crashes"});
  EXPECT_EQ(ListPaths(Replace(text, "60000", "600000")),
            Paths{"/crash_blame/block_ms"});
  EXPECT_EQ(ListPaths(Replace(text, "\"enabled\": false", "\"enabled\": 1")),
            Paths{"/crash_blame/enabled"});
  EXPECT_EQ(ListPaths(Replace(text, "max_suspects", "max_suspect")),
            Paths{"/crash_blame/max_suspect"});
}

// Guards against settings of what targets say of themselves that are ignored,
// or accepted without a check.
TEST(SettingsTest, ReadsTargetSignals) {
  Findings findings;
  const std::string text =
      Replace(kAgentSettings, "\"limits\"",
              "\"target_signals\": {\"enabled\": false, "
              "\"max_back_off_ms\": 20000, \"leaving_memory_ms\": 30000}, "
              "\"limits\"");
  const auto settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  EXPECT_FALSE(settings->target_signals.enabled);
  EXPECT_EQ(settings->target_signals.max_back_off, std::chrono::seconds(20));
  EXPECT_EQ(settings->target_signals.leaving_memory, std::chrono::seconds(30));
  using Paths = std::vector<std::string>;
  EXPECT_EQ(ListPaths(Replace(text, "20000", "0")),
            Paths{"/target_signals/max_back_off_ms"});
  EXPECT_EQ(ListPaths(Replace(text, "30000", "-1")),
            Paths{"/target_signals/leaving_memory_ms"});
  EXPECT_EQ(ListPaths(Replace(text, "\"enabled\": false", "\"enabled\": 1")),
            Paths{"/target_signals/enabled"});
  EXPECT_EQ(ListPaths(Replace(text, "max_back_off", "max_backoff")),
            Paths{"/target_signals/max_backoff_ms"});
}

// Guards against a switch for calls to the store that is ignored or not
// checked.
TEST(SettingsTest, ReadsLongWatches) {
  Findings findings;
  const std::string text =
      Replace(kForwardingSettings, "\"agent_bus_port\"",
              "\"long_watches\": true, \"agent_bus_port\"");
  const auto settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  EXPECT_TRUE(settings->forwarding->long_watches);
  EXPECT_EQ(
      ListPaths(Replace(text, "\"long_watches\": true", "\"long_watches\": 1")),
      std::vector<std::string>{"/forwarding/long_watches"});
}

// Guards against a switch for slow engines that is ignored or not checked.
TEST(SettingsTest, ReadsTargetPace) {
  Findings findings;
  const std::string text = Replace(kForwardingSettings, "\"agent_bus_port\"",
                                   "\"target_pace\": true, \"agent_bus_port\"");
  const auto settings = ParseSettings(text, &findings);
  ASSERT_TRUE(settings) << ToString(findings);
  EXPECT_TRUE(settings->forwarding->target_pace);
  EXPECT_EQ(
      ListPaths(Replace(text, "\"target_pace\": true", "\"target_pace\": 1")),
      std::vector<std::string>{"/forwarding/target_pace"});
}

}  // namespace
}  // namespace burdockhatch
