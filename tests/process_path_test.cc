// Tests requests through separate processes without faults.
#include <signal.h>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <boost/json/parse.hpp>

#include "tests/process_harness.h"

namespace burdockhatch::process {
namespace {

FleetSpec SmallFleet() {
  FleetSpec spec;
  spec.entry_data_centres = {"dc-a", "dc-b"};
  spec.engines = {{"dc-a"}, {"dc-b"}};
  spec.services = {{"dc-a", {}}, {"dc-b", {}}};
  return spec;
}

HttpResult PostOrder(const std::string& address, const std::string& key) {
  Headers headers = {{"X-Client-Account", "acme"}, {"X-Deadline-Ms", "10000"}};
  if (!key.empty()) {
    headers.emplace_back("Idempotency-Key", key);
  }
  return CallHttp(address, "POST", "/services/orders/holds", "chalk", headers);
}

class ProcessPathTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(fleet_.Start()); }

  Fleet fleet_{SmallFleet()};
};

TEST_F(ProcessPathTest, StreamedAndWholeAnswersAreComplete) {
  for (int i = 0; i < 4; ++i) {
    const std::string prompt = fmt::format("prompt {}", i);
    const CallResult result =
        RequestCompletion(fleet_.entry_address(i % 2), prompt, 40, i < 2);
    EXPECT_EQ(result.verdict, CallVerdict::kExpectedAnswer) << result.text;
  }
  EXPECT_TRUE(fleet_.WaitForMemoryReleased());
}

// Guards against answers that reach another caller under concurrency.
TEST_F(ProcessPathTest, ConcurrentCallersGetTheirOwnAnswers) {
  LoadGenerator load({fleet_.entry_address(0), fleet_.entry_address(1)}, 8, 24);
  EXPECT_TRUE(load.WaitForRequests(120));
  const LoadResults counts = load.Stop();
  EXPECT_EQ(counts.answered, counts.total()) << DescribeResults(counts);
  EXPECT_TRUE(fleet_.WaitForMemoryReleased());
}

TEST_F(ProcessPathTest, ChatAnswersUseTheChatFormat) {
  const HttpResult result = CallHttp(
      fleet_.entry_address(0), "POST", "/v1/chat/completions",
      R"({"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}]})",
      {{"Authorization", "Bearer acme"}});
  ASSERT_EQ(result.status, 200) << result.body;
  const boost::json::value body = boost::json::parse(result.body);
  EXPECT_EQ(body.at("object"), "chat.completion");
  EXPECT_EQ(body.at("choices").at(0).at("message").at("role"), "assistant");
  EXPECT_EQ(body.at("usage").at("completion_tokens"), 4);
}

// Guards against a call with an idempotency key that is executed again.
TEST_F(ProcessPathTest, KeyedCallIsExecutedOnce) {
  std::string first;
  for (int i = 0; i < 4; ++i) {
    const HttpResult result = PostOrder(fleet_.entry_address(i % 2), "key-1");
    ASSERT_EQ(result.status, 200) << result.body;
    first = first.empty() ? result.body : first;
    EXPECT_EQ(result.body, first);
  }
  EXPECT_EQ(fleet_.CountExecutions("key-1"), 1);
}

TEST_F(ProcessPathTest, ReadsAndCallsWithoutKeyReachTheService) {
  const HttpResult read =
      CallHttp(fleet_.entry_address(0), "GET", "/services/orders/stock?item=3",
               "", {{"X-Client-Account", "acme"}});
  EXPECT_EQ(read.status, 200) << read.body;
  EXPECT_NE(read.body.find("stock"), std::string::npos) << read.body;
  const HttpResult call = PostOrder(fleet_.entry_address(0), "");
  EXPECT_EQ(call.status, 200) << call.body;
}

struct InvalidRequest {
  std::string name;
  std::string method;
  std::string target;
  std::string body;
  Headers headers;
  int status;
  std::string code;
};

// Guards against invalid input that is served, crashes the entry or gets an
// error without code or outcome. Every error must have the outcome not_run.
TEST_F(ProcessPathTest, InvalidInputGetsOneErrorWithCodeAndOutcome) {
  const Headers acme = {{"X-Client-Account", "acme"}};
  const std::string good = R"({"model":"m","prompt":"x"})";
  const std::vector<InvalidRequest> cases = {
      {"no account",
       "POST",
       "/v1/completions",
       good,
       {},
       403,
       "unknown_client_account"},
      {"unknown account",
       "POST",
       "/v1/completions",
       good,
       {{"X-Client-Account", "nobody"}},
       403,
       "unknown_client_account"},
      {"not json", "POST", "/v1/completions", "{", acme, 400,
       "invalid_request"},
      {"no prompt", "POST", "/v1/completions", R"({"model":"m"})", acme, 400,
       "invalid_request"},
      {"no model", "POST", "/v1/completions", R"({"prompt":"x"})", acme, 400,
       "invalid_request"},
      {"unknown model", "POST", "/v1/completions",
       R"({"model":"x","prompt":"x"})", acme, 404, "unknown_model"},
      {"bad output", "POST", "/v1/completions",
       R"({"model":"m","prompt":"x","max_tokens":-1})", acme, 400,
       "invalid_request"},
      {"unknown template", "POST", "/v1/completions",
       R"({"template":"t","prompt":"x"})", acme, 400, "invalid_request"},
      {"bad messages", "POST", "/v1/chat/completions",
       R"({"model":"m","messages":[1]})", acme, 400, "invalid_request"},
      {"bad deadline",
       "POST",
       "/v1/completions",
       good,
       {{"X-Client-Account", "acme"}, {"X-Deadline-Ms", "soon"}},
       400,
       "invalid_request"},
      {"unknown service", "GET", "/services/none/x", "", acme, 404,
       "unknown_service"},
      {"unknown path", "GET", "/v2/x", "", acme, 404, "not_found"},
      {"wrong method", "GET", "/v1/completions", "", acme, 400,
       "invalid_request"},
      {"too large", "POST", "/v1/completions",
       std::string(9 * 1024 * 1024, 'x'), acme, 413, "body_too_large"},
  };
  for (const InvalidRequest& it : cases) {
    const HttpResult result = CallHttp(fleet_.entry_address(0), it.method,
                                       it.target, it.body, it.headers);
    const CallResult error = ParseError(result);
    EXPECT_EQ(error.verdict, CallVerdict::kErrorAnswer)
        << it.name << result.body;
    EXPECT_EQ(result.status, it.status) << it.name << result.body;
    EXPECT_EQ(error.code, it.code) << it.name;
    EXPECT_EQ(error.outcome, "not_run") << it.name;
  }
  EXPECT_EQ(
      RequestCompletion(fleet_.entry_address(0), "still", 4, true).verdict,
      CallVerdict::kExpectedAnswer);
}

TEST_F(ProcessPathTest, AccountAboveItsLimitIsRejectedAsNotRun) {
  int refused = 0;
  for (int i = 0; i < 12; ++i) {
    const CallResult result =
        RequestCompletion(fleet_.entry_address(0), std::string(200, 'y'), 16,
                          false, std::chrono::seconds(10), "small");
    if (result.verdict == CallVerdict::kErrorAnswer) {
      ++refused;
      EXPECT_EQ(result.code, "rate_limited") << result.text;
      EXPECT_EQ(result.outcome, "not_run");
      EXPECT_EQ(result.status, 429);
    } else {
      EXPECT_EQ(result.verdict, CallVerdict::kExpectedAnswer) << result.text;
    }
  }
  EXPECT_GT(refused, 0);
}

TEST_F(ProcessPathTest, HealthMetricsAndStateAnswer) {
  for (const std::string& address :
       {fleet_.entry_address(0), fleet_.engine_agent_address(0)}) {
    EXPECT_EQ(CallHttp(address, "GET", "/healthz").status, 200);
    EXPECT_EQ(CallHttp(address, "GET", "/readyz").status, 200);
    const HttpResult metrics = CallHttp(address, "GET", "/metrics");
    EXPECT_NE(metrics.body.find("burdockhatch_bus_messages_sent_total"),
              std::string::npos);
    boost::system::error_code ec;
    boost::json::parse(CallHttp(address, "GET", "/debug/state").body, ec);
    EXPECT_FALSE(ec) << address;
  }
}

}  // namespace
}  // namespace burdockhatch::process
