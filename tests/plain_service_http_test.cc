// Tests of the HTTP client of plain services, in particular of the status that
// it reports for calls that must not be repeated.
#include "src/plain_service_http.h"

#include <chrono>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "standins/fake_service.h"
#include "tests/standins_test_util.h"

namespace burdockhatch {
namespace {

using standins::FakeService;
using standins::FakeServiceOptions;

class PlainServiceHttpTest : public ::testing::Test {
 protected:
  PlainServiceHttpTest()
      : fake_(FakeServiceOptions{}),
        client_(fake_.address()),
        service_(
            MakeHttpPlainService(control_.io, traffic_.io, fake_.address())) {
    traffic_.Start();
    control_.Start();
  }
  ~PlainServiceHttpTest() override {
    control_.Stop();
    traffic_.Stop();
  }

  static ServiceRequest Order(const std::string& key) {
    ServiceRequest request;
    request.method = "POST";
    request.path = "/orders";
    request.body = R"({"order":1})";
    request.key = IdempotencyKey(key);
    request.timeout = std::chrono::seconds(20);
    return request;
  }

  std::future<ServiceResponse> CallAsync(ServiceRequest request) {
    auto promise = std::make_shared<std::promise<ServiceResponse>>();
    service_->Call(std::move(request), [promise](ServiceResponse answer) {
      promise->set_value(std::move(answer));
    });
    return promise->get_future();
  }
  ServiceResponse Call(ServiceRequest request) {
    return CallAsync(std::move(request)).get();
  }
  bool CheckHealth() {
    auto promise = std::make_shared<std::promise<bool>>();
    service_->CheckHealth(
        [promise](bool healthy) { promise->set_value(healthy); });
    return promise->get_future().get();
  }

  FakeServerThread<FakeService> fake_;
  TestClient client_;
  IoThread traffic_;
  IoThread control_;
  std::unique_ptr<PlainService> service_;
};

TEST_F(PlainServiceHttpTest, RelaysResponseAndKey) {
  const ServiceResponse answer = Call(Order("k1"));
  EXPECT_EQ(answer.status, CallStatus::kAnswered);
  EXPECT_EQ(answer.http_status, 200u);
  EXPECT_EQ(answer.content_type, "application/json");
  EXPECT_NE(answer.body.find(R"("key":"k1")"), std::string::npos);
  EXPECT_EQ(client_.ReadStat("executions"), 1);
}

// Guards against writing a call after its deadline because the writing thread
// was busy or paused.
TEST_F(PlainServiceHttpTest, ExpiredCallIsNotWritten) {
  ServiceRequest request = Order("k1");
  request.timeout = std::chrono::milliseconds(20);
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  boost::asio::post(traffic_.io, [released] { released.wait(); });
  auto answer = CallAsync(request);
  std::this_thread::sleep_for(std::chrono::milliseconds(40));
  release.set_value();
  EXPECT_EQ(answer.get().status, CallStatus::kNotSent);
  request.timeout = Duration(0);
  EXPECT_EQ(Call(request).status, CallStatus::kNotSent);
  request.timeout = Duration(-1);
  EXPECT_EQ(Call(request).status, CallStatus::kNotSent);
  EXPECT_EQ(client_.ReadStat("executions"), 0);
}

TEST_F(PlainServiceHttpTest, RefusedConnectionIsNotSent) {
  client_.SetFaults(R"({"refuse_ms":300})");
  EXPECT_EQ(Call(Order("k1")).status, CallStatus::kNotSent);
}

// Guards against reporting kNotSent for calls that ran.
TEST_F(PlainServiceHttpTest, LostAnswersAreUnknown) {
  client_.SetFaults(R"({"execute_then_close":1})");
  EXPECT_EQ(Call(Order("k1")).status, CallStatus::kUnknown);
  client_.SetFaults(R"({"reset":true,"cut_answer":1})");
  EXPECT_EQ(Call(Order("k2")).status, CallStatus::kUnknown);
  client_.SetFaults(R"({"reset":true,"answer_delay_ms":60000})");
  ServiceRequest request = Order("k3");
  request.timeout = std::chrono::milliseconds(200);
  EXPECT_EQ(Call(request).status, CallStatus::kUnknown);
  EXPECT_EQ(client_.ReadStat("executions"), 3);
}

// Guards against a second execution by a retry of the client's own, also of a
// call that may be repeated.
TEST_F(PlainServiceHttpTest, ClientSendsNoCallAgain) {
  ServiceRequest read;
  read.method = "GET";
  read.path = "/stock/1";
  read.timeout = std::chrono::seconds(20);
  EXPECT_EQ(Call(read).status, CallStatus::kAnswered);
  client_.SetFaults(R"({"lose_answer":1})");
  EXPECT_EQ(Call(read).status, CallStatus::kUnknown);
  EXPECT_EQ(client_.ReadStat("reads"), 2);
  client_.SetFaults(R"({"reset":true})");
  EXPECT_EQ(Call(read).status, CallStatus::kAnswered);
  client_.SetFaults(R"({"lose_answer":1})");
  EXPECT_EQ(Call(Order("k1")).status, CallStatus::kUnknown);
  EXPECT_EQ(client_.ReadStat("executions"), 1);
}

// Guards against request injection through a caller's path or key.
TEST_F(PlainServiceHttpTest, UnsafeTextIsNotSent) {
  for (const std::string path :
       {"/a b", "/a\r\nX: y", "orders", "", "/a\n", "/\x7f"}) {
    ServiceRequest request = Order("k1");
    request.path = path;
    EXPECT_EQ(Call(request).status, CallStatus::kNotSent) << path;
  }
  EXPECT_EQ(Call(Order("k\r\nX: y")).status, CallStatus::kNotSent);
  EXPECT_EQ(client_.ReadStat("executions"), 0);
}

TEST_F(PlainServiceHttpTest, ReportsServiceHealth) {
  EXPECT_TRUE(CheckHealth());
  client_.SetFaults(R"({"unhealthy":true})");
  EXPECT_FALSE(CheckHealth());
  client_.SetFaults(R"({"reset":true,"down":true})");
  EXPECT_FALSE(CheckHealth());
}

TEST(PlainServiceAddressTest, InvalidAddressIsNotSent) {
  for (const std::string address :
       {"", "127.0.0.1", "host:1", "127.0.0.1:0", "127.0.0.1:x"}) {
    TestClient client(address);
    EXPECT_EQ(client.Send("GET", "/").status, CallStatus::kNotSent) << address;
  }
}

}  // namespace
}  // namespace burdockhatch
