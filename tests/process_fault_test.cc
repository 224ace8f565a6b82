// Tests crashes, pauses and outages of real processes under load. Every caller
// must get the complete answer or one error, and no engine may keep memory that
// no request uses.
#include <signal.h>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <boost/json/parse.hpp>

#include "tests/process_harness.h"

namespace burdockhatch::process {
namespace {

constexpr uint32_t kOutput = 60;

FleetSpec FleetOfThreeDataCentres() {
  FleetSpec spec;
  spec.entry_data_centres = {"dc-a", "dc-b"};
  spec.engines = {{"dc-a"}, {"dc-b"}, {"dc-c"}};
  spec.services = {{"dc-a"}, {"dc-b"}};
  return spec;
}

class ProcessFaultTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(fleet_.Start()); }

  std::vector<std::string> EntryAddresses() const {
    return {fleet_.entry_address(0), fleet_.entry_address(1)};
  }

  // Checks the results after any fault that keeps the entries running.
  void ExpectNoUnexplainedFailures(const LoadResults& counts) {
    EXPECT_EQ(counts.connections_lost, 0) << DescribeResults(counts);
    EXPECT_EQ(counts.wrong_answers, 0) << DescribeResults(counts);
    EXPECT_GT(counts.answered, 0) << DescribeResults(counts);
    EXPECT_TRUE(fleet_.WaitForMemoryReleased());
  }

  void ExpectAllTargetsUsable() {
    for (int i = 0; i < 2; ++i) {
      EXPECT_TRUE(fleet_.WaitForUsableTargets(i, 5)) << "entry " << i;
      const CallResult result = RequestCompletion(
          fleet_.entry_address(i), fmt::format("after {}", i), kOutput, true);
      EXPECT_EQ(result.verdict, CallVerdict::kExpectedAnswer) << result.text;
    }
  }

  int64_t CountStartedStreams() const {
    int64_t started = 0;
    for (size_t i = 0; i < 3; ++i) {
      const std::string stats =
          CallHttp(fleet_.engine_address(i), "GET", "/stats").body;
      started += boost::json::parse(stats).at("started").to_number<int64_t>();
    }
    return started;
  }

  Fleet fleet_{FleetOfThreeDataCentres()};
};

TEST_F(ProcessFaultTest, AgentIsKilledAndRestarted) {
  LoadGenerator load(EntryAddresses(), 6, kOutput);
  ASSERT_TRUE(load.WaitForRequests(10));
  for (int i = 0; i < 2; ++i) {
    fleet_.engine_agent(0).Kill();
    EXPECT_TRUE(load.WaitForRequests(10));
    fleet_.StartEngineAgent(0);
    EXPECT_TRUE(load.WaitForRequests(20));
  }
  const LoadResults counts = load.Stop();
  ExpectNoUnexplainedFailures(counts);
  // Completions may be retried, and two other targets are in service.
  EXPECT_EQ(counts.errors, 0) << DescribeResults(counts);
  ExpectAllTargetsUsable();
}

// The requests before and between the crashes fill the retry budget: an account
// may retry a tenth of its requests, and attempts that fail beyond that may
// return errors.
TEST_F(ProcessFaultTest, EngineIsKilledAndRestarted) {
  LoadGenerator load(EntryAddresses(), 6, kOutput);
  for (int i = 0; i < 2; ++i) {
    ASSERT_TRUE(load.WaitForRequests(60));
    fleet_.engine(0).Kill();
    EXPECT_TRUE(load.WaitForRequests(10));
    fleet_.StartEngine(0);
    EXPECT_TRUE(load.WaitForRequests(20));
  }
  const LoadResults counts = load.Stop();
  ExpectNoUnexplainedFailures(counts);
  EXPECT_EQ(counts.errors, 0) << DescribeResults(counts);
  ExpectAllTargetsUsable();
}

// Callers of the killed entry lose their connections. Guards against wrong
// answers and against memory of their streams that is not freed.
TEST_F(ProcessFaultTest, EntryIsKilledAndRestarted) {
  LoadGenerator other({fleet_.entry_address(1)}, 3, kOutput);
  LoadGenerator load({fleet_.entry_address(0)}, 4, kOutput);
  ASSERT_TRUE(load.WaitForRequests(10));
  fleet_.entry(0).Kill();
  EXPECT_TRUE(load.WaitForRequests(4));
  fleet_.StartEntry(0);
  ASSERT_TRUE(fleet_.WaitForEntryReady(0));
  EXPECT_TRUE(load.WaitForRequests(20));
  const LoadResults counts = load.Stop();
  EXPECT_EQ(counts.wrong_answers, 0) << DescribeResults(counts);
  EXPECT_GT(counts.answered, 0) << DescribeResults(counts);
  const LoadResults others = other.Stop();
  EXPECT_EQ(others.answered, others.total()) << DescribeResults(others);
  EXPECT_TRUE(fleet_.WaitForMemoryReleased());
  ExpectAllTargetsUsable();
}

TEST_F(ProcessFaultTest, AgentIsPaused) {
  LoadGenerator load(EntryAddresses(), 6, kOutput);
  ASSERT_TRUE(load.WaitForRequests(10));
  fleet_.engine_agent(0).Signal(SIGSTOP);
  EXPECT_TRUE(load.WaitForRequests(20));
  fleet_.engine_agent(0).Signal(SIGCONT);
  EXPECT_TRUE(load.WaitForRequests(20));
  ExpectNoUnexplainedFailures(load.Stop());
  ExpectAllTargetsUsable();
}

TEST_F(ProcessFaultTest, EngineIsPaused) {
  LoadGenerator load(EntryAddresses(), 6, kOutput);
  ASSERT_TRUE(load.WaitForRequests(10));
  fleet_.engine(0).Signal(SIGSTOP);
  EXPECT_TRUE(load.WaitForRequests(20));
  fleet_.engine(0).Signal(SIGCONT);
  EXPECT_TRUE(load.WaitForRequests(20));
  ExpectNoUnexplainedFailures(load.Stop());
  ExpectAllTargetsUsable();
}

// Guards against work that is given up, or that runs a second time, because its
// agent or its engine is silent for about a second, also while the
// configuration changes and another agent is stopped.
TEST_F(ProcessFaultTest, SilenceOfASecondRunsNothingTwice) {
  const int64_t started_before = CountStartedStreams();
  LoadGenerator load(EntryAddresses(), 6, kOutput);
  ASSERT_TRUE(load.WaitForRequests(10));
  for (int round = 0; round < 2; ++round) {
    for (ChildProcess* silent : {&fleet_.engine_agent(0), &fleet_.engine(0)}) {
      silent->Signal(SIGSTOP);
      if (round == 1) {
        EXPECT_TRUE(fleet_.PutConfig());
        fleet_.engine_agent(1).Signal(SIGTERM);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
      silent->Signal(SIGCONT);
      EXPECT_TRUE(load.WaitForRequests(20));
      if (round == 1) {
        EXPECT_EQ(fleet_.engine_agent(1).WaitForExit(), 0);
        fleet_.StartEngineAgent(1);
        EXPECT_TRUE(fleet_.WaitForUsableTargets(0, 5));
      }
    }
  }
  const LoadResults counts = load.Stop();
  ExpectNoUnexplainedFailures(counts);
  EXPECT_EQ(counts.answered, counts.total()) << DescribeResults(counts);
  EXPECT_EQ(CountStartedStreams() - started_before, counts.total());
}

TEST_F(ProcessFaultTest, EntryIsPaused) {
  LoadGenerator load(EntryAddresses(), 6, kOutput);
  ASSERT_TRUE(load.WaitForRequests(10));
  fleet_.entry(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fleet_.entry(0).Signal(SIGCONT);
  EXPECT_TRUE(load.WaitForRequests(20));
  ExpectNoUnexplainedFailures(load.Stop());
  ExpectAllTargetsUsable();
}

// Guards against an outage of the object API that fails requests which need no
// write to it.
TEST_F(ProcessFaultTest, ObjectApiIsDown) {
  LoadGenerator load(EntryAddresses(), 4, kOutput);
  ASSERT_TRUE(load.WaitForRequests(5));
  fleet_.object_api().Kill();
  EXPECT_TRUE(load.WaitForRequests(20));
  const Headers account = {{"X-Client-Account", "acme"},
                           {"X-Deadline-Ms", "3000"}};
  // Reads and calls without an idempotency key are served. A call with a key
  // needs a claim in the object API and is rejected with the outcome not_run.
  EXPECT_EQ(
      CallHttp(EntryAddresses()[0], "POST", "/services/orders/h", "x", account)
          .status,
      200);
  EXPECT_EQ(
      CallHttp(EntryAddresses()[0], "GET", "/services/orders/s", "", account)
          .status,
      200);
  Headers keyed = account;
  keyed.emplace_back("Idempotency-Key", "down-1");
  const CallResult refused = ParseError(
      CallHttp(EntryAddresses()[0], "POST", "/services/orders/h", "x", keyed));
  EXPECT_EQ(refused.verdict, CallVerdict::kErrorAnswer) << refused.text;
  EXPECT_EQ(refused.outcome, "not_run") << refused.text;
  EXPECT_EQ(fleet_.CountExecutions("down-1"), 0);
  const LoadResults counts = load.Stop();
  EXPECT_EQ(counts.answered, counts.total()) << DescribeResults(counts);
  EXPECT_TRUE(fleet_.WaitForMemoryReleased());
}

TEST_F(ProcessFaultTest, ObjectApiIsSlow) {
  ASSERT_TRUE(
      Fleet::SetFaults(fleet_.object_api_address(), R"({"delay_ms":1500})"));
  LoadGenerator load(EntryAddresses(), 4, kOutput);
  const Headers keyed = {{"X-Client-Account", "acme"},
                         {"X-Deadline-Ms", "15000"},
                         {"Idempotency-Key", "slow-1"}};
  const HttpResult call =
      CallHttp(EntryAddresses()[0], "POST", "/services/orders/h", "x", keyed);
  EXPECT_EQ(call.status, 200) << call.body;
  EXPECT_EQ(fleet_.CountExecutions("slow-1"), 1);
  EXPECT_TRUE(load.WaitForRequests(20));
  const LoadResults counts = load.Stop();
  EXPECT_EQ(counts.answered, counts.total()) << DescribeResults(counts);
}

// Guards against a claim that is written twice or is mistaken for another
// holder's claim because the answer to its write was lost.
TEST_F(ProcessFaultTest, AnswersOfTheObjectApiAreLost) {
  ASSERT_TRUE(
      Fleet::SetFaults(fleet_.object_api_address(), R"({"lose_answer":0.5})"));
  for (int i = 0; i < 10; ++i) {
    const std::string key = fmt::format("lost-{}", i);
    const Headers keyed = {{"X-Client-Account", "acme"},
                           {"X-Deadline-Ms", "15000"},
                           {"Idempotency-Key", key}};
    const HttpResult call = CallHttp(EntryAddresses()[i % 2], "POST",
                                     "/services/orders/h", "x", keyed);
    const int64_t executions = fleet_.CountExecutions(key);
    EXPECT_LE(executions, 1);
    if (call.status == 200) {
      EXPECT_EQ(executions, 1);
      continue;
    }
    const CallResult error = ParseError(call);
    EXPECT_EQ(error.verdict, CallVerdict::kErrorAnswer) << call.body;
    if (error.outcome == "not_run") {
      EXPECT_EQ(executions, 0) << call.body;
    }
  }
}

// Guards against a second execution when the service closes the connection
// after it has executed the call.
TEST_F(ProcessFaultTest, CallWhoseAnswerIsLostIsNotRepeated) {
  for (size_t i = 0; i < 2; ++i) {
    ASSERT_TRUE(Fleet::SetFaults(fleet_.service_address(i),
                                 R"({"execute_then_close":1})"));
  }
  const Headers keyed = {{"X-Client-Account", "acme"},
                         {"X-Deadline-Ms", "8000"},
                         {"Idempotency-Key", "lost-call"}};
  for (int i = 0; i < 3; ++i) {
    const CallResult error = ParseError(CallHttp(
        EntryAddresses()[i % 2], "POST", "/services/orders/h", "x", keyed));
    EXPECT_EQ(error.verdict, CallVerdict::kErrorAnswer) << error.text;
    EXPECT_EQ(error.outcome, "unknown") << error.text;
  }
  EXPECT_EQ(fleet_.CountExecutions("lost-call"), 1);
  const CallResult unkeyed = ParseError(
      CallHttp(EntryAddresses()[0], "POST", "/services/orders/h", "no-key",
               {{"X-Client-Account", "acme"}, {"X-Deadline-Ms", "8000"}}));
  EXPECT_EQ(unkeyed.outcome, "unknown") << unkeyed.text;
}

// Guards against a call that is executed again after the agent that holds its
// claim has crashed.
TEST_F(ProcessFaultTest, KeyedCallIsExecutedAtMostOnceAcrossAgentCrashes) {
  for (size_t i = 0; i < 2; ++i) {
    ASSERT_TRUE(Fleet::SetFaults(fleet_.service_address(i),
                                 R"({"answer_delay_ms":400})"));
  }
  for (int i = 0; i < 4; ++i) {
    const std::string key = fmt::format("crash-{}", i);
    const Headers keyed = {{"X-Client-Account", "acme"},
                           {"X-Deadline-Ms", "6000"},
                           {"Idempotency-Key", key}};
    std::thread caller([&] {
      CallHttp(EntryAddresses()[0], "POST", "/services/orders/h", "x", keyed);
    });
    WaitUntil([&] { return fleet_.CountExecutions(key) > 0; },
              std::chrono::seconds(3));
    fleet_.service_agent(i % 2).Kill();
    fleet_.StartServiceAgent(i % 2);
    for (int retry = 0; retry < 3; ++retry) {
      const HttpResult again = CallHttp(EntryAddresses()[retry % 2], "POST",
                                        "/services/orders/h", "x", keyed);
      EXPECT_NE(again.status, 0);
    }
    caller.join();
    EXPECT_LE(fleet_.CountExecutions(key), 1) << key;
  }
}

// Guards against memory that stays reserved after the caller has disconnected.
TEST_F(ProcessFaultTest, MemoryOfDisconnectedCallersIsFreed) {
  for (int i = 0; i < 6; ++i) {
    // The client disconnects long before an answer of this length is complete.
    const HttpResult result = CallHttp(
        EntryAddresses()[i % 2], "POST", "/v1/completions",
        R"({"model":"m","prompt":"gone","max_tokens":4000,"stream":true})",
        {{"X-Client-Account", "acme"}, {"X-Deadline-Ms", "300000"}},
        std::chrono::milliseconds(700));
    EXPECT_EQ(result.status, 0);
  }
  EXPECT_TRUE(fleet_.WaitForMemoryReleased());
}

FleetSpec FleetOfManyEngines() {
  FleetSpec spec;
  spec.entry_data_centres = {"dc-a", "dc-a"};
  spec.engines.assign(8, {"dc-a"});
  return spec;
}

class ProcessPoisonTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(fleet_.Start()); }

  // A prompt of two full blocks, of which the first is shared.
  static std::string Prompt(const std::string& word, int number) {
    std::string shared;
    while (shared.size() < 4'096) {
      shared += word + " ";
    }
    return shared.substr(0, 4'096) + fmt::format("{:05000}", number);
  }

  CallResult Complete(size_t entry, const std::string& prompt) const {
    return RequestCompletion(fleet_.entry_address(entry), prompt, 5, false);
  }

  int64_t CountRestarts() const {
    int64_t restarts = 0;
    for (size_t i = 0; i < 8; ++i) {
      const std::string stats =
          CallHttp(fleet_.engine_address(i), "GET", "/stats").body;
      restarts += boost::json::parse(stats).at("restarts").to_number<int64_t>();
    }
    return restarts;
  }

  Fleet fleet_{FleetOfManyEngines()};
};

// Guards against a prefix of prompts that restarts one engine after the other
// through all entries, while the object API is down, and again after a restart
// of an entry.
TEST_F(ProcessPoisonTest, PrefixThatRestartsEnginesIsBlockedAtAllEntries) {
  for (size_t i = 0; i < 8; ++i) {
    ASSERT_TRUE(
        Fleet::SetFaults(fleet_.engine_address(i), R"({"poison": true})"));
  }
  EXPECT_EQ(Complete(0, Prompt("healthy", 0)).verdict,
            CallVerdict::kExpectedAnswer);
  ASSERT_TRUE(
      Fleet::SetFaults(fleet_.object_api_address(), R"({"down": true})"));
  CallResult last;
  for (int i = 1; i <= 8; ++i) {
    last = Complete(static_cast<size_t>(i) % 2, Prompt("poison", i));
  }
  EXPECT_LE(CountRestarts(), 5);
  EXPECT_EQ(last.code, "part_blocked") << last.text;
  EXPECT_EQ(last.outcome, "not_run");
  for (size_t entry : {0, 1}) {
    EXPECT_EQ(Complete(entry, Prompt("poison", 20)).code, "part_blocked");
    EXPECT_EQ(Complete(entry, Prompt("healthy", 21)).verdict,
              CallVerdict::kExpectedAnswer);
  }
  ASSERT_TRUE(
      Fleet::SetFaults(fleet_.object_api_address(), R"({"down": false})"));
  const int64_t restarts = CountRestarts();
  fleet_.entry(0).Kill();
  fleet_.StartEntry(0);
  ASSERT_TRUE(fleet_.WaitForEntryReady(0));
  EXPECT_TRUE(WaitUntil([&] {
    return CallHttp(fleet_.entry_address(0), "GET", "/debug/state")
               .body.find("\"blocked\"") != std::string::npos;
  }));
  EXPECT_EQ(Complete(0, Prompt("poison", 30)).code, "part_blocked");
  EXPECT_EQ(CountRestarts(), restarts);
}

}  // namespace
}  // namespace burdockhatch::process
