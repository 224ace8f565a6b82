// Tests the fake plain service. Other tests use its counters to prove that no
// call is executed twice.
#include "standins/fake_service.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "tests/standins_test_util.h"

namespace burdockhatch {
namespace {

using standins::FakeService;
using standins::FakeServiceOptions;

class FakeServiceTest : public ::testing::Test {
 protected:
  FakeServiceTest()
      : service_(FakeServiceOptions{}), client_(service_.address()) {}

  HttpReply PostOrder(const std::string& key, const std::string& body) {
    return client_.Send("POST", "/orders", body, {{"Idempotency-Key", key}});
  }
  std::string ReadCount(const std::string& table, const std::string& name) {
    const boost::json::object stats = client_.GetJson("/stats");
    const boost::json::value* count =
        stats.at(table).as_object().if_contains(name);
    return count == nullptr ? "" : boost::json::serialize(*count);
  }

  FakeServerThread<FakeService> service_;
  TestClient client_;
};

// Guards against a fake that hides duplicates: each execution is counted, also
// with a repeated key.
TEST_F(FakeServiceTest, CountsExecutionsByKeyAndByBody) {
  EXPECT_EQ(PostOrder("k1", "a").http_status, 200u);
  EXPECT_EQ(PostOrder("k1", "a").http_status, 200u);
  EXPECT_EQ(PostOrder("k2", "a").http_status, 200u);
  EXPECT_EQ(client_.Send("GET", "/stock/7").http_status, 200u);
  EXPECT_EQ(ReadCount("per_key", "k1"), "2");
  EXPECT_EQ(ReadCount("per_key", "k2"), "1");
  EXPECT_EQ(ReadCount("per_body", "a"), "3");
  EXPECT_EQ(client_.ReadStat("executions"), 3);
  EXPECT_EQ(client_.ReadStat("reads"), 1);
}

TEST_F(FakeServiceTest, ExecuteThenCloseCountsTheExecution) {
  client_.SetFaults(R"({"execute_then_close":1})");
  EXPECT_EQ(PostOrder("k1", "a").status, CallStatus::kUnknown);
  EXPECT_EQ(ReadCount("per_key", "k1"), "1");
}

TEST_F(FakeServiceTest, CloseBeforeExecutesNothing) {
  client_.SetFaults(R"({"close_before":1})");
  EXPECT_EQ(PostOrder("k1", "a").status, CallStatus::kUnknown);
  EXPECT_EQ(client_.ReadStat("executions"), 0);
}

TEST_F(FakeServiceTest, UnhealthyFailsTheHealthCheckOnly) {
  EXPECT_EQ(client_.Send("GET", "/healthz").http_status, 200u);
  client_.SetFaults(R"({"unhealthy":true})");
  EXPECT_EQ(client_.Send("GET", "/healthz").http_status, 503u);
  EXPECT_EQ(PostOrder("k1", "a").http_status, 200u);
}

TEST_F(FakeServiceTest, ErrorStatusComesAfterTheExecution) {
  client_.SetFaults(R"({"error_status":500})");
  EXPECT_EQ(PostOrder("k1", "a").http_status, 500u);
  EXPECT_EQ(client_.ReadStat("executions"), 1);
}

TEST_F(FakeServiceTest, AnswerDelayComesAfterTheExecution) {
  client_.SetFaults(R"({"answer_delay_ms":60000})");
  HttpCall call = MakeTestCall("POST", "/orders");
  call.timeout = std::chrono::milliseconds(100);
  EXPECT_EQ(client_.SendAsync(call).get().status, CallStatus::kUnknown);
  EXPECT_TRUE(WaitUntil([&] { return client_.ReadStat("executions") == 1; }));
}

TEST_F(FakeServiceTest, RefusedConnectionsExecuteNothing) {
  client_.SetFaults(R"({"refuse_ms":300})");
  EXPECT_EQ(PostOrder("k1", "a").status, CallStatus::kNotSent);
  EXPECT_TRUE(WaitUntil([&] { return client_.ReadStat("executions") == 0; }));
}

}  // namespace
}  // namespace burdockhatch
