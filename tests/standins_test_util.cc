#include "tests/standins_test_util.h"

#include <chrono>

#include <gtest/gtest.h>

namespace burdockhatch {

namespace {

// Long, because the machine may be busy; no test checks the elapsed time.
constexpr Duration kWaitTimeout = std::chrono::seconds(20);
constexpr std::chrono::milliseconds kPollInterval{2};

}  // namespace

IoThread::IoThread() : work_(boost::asio::make_work_guard(io)) {}

IoThread::~IoThread() {
  Stop();
}

void IoThread::Start() {
  thread_ = std::thread([this] { io.run(); });
}

void IoThread::Stop() {
  io.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void IoThread::Run(const std::function<void()>& task) {
  auto done = std::make_shared<std::promise<void>>();
  boost::asio::post(io, [&task, done] {
    task();
    done->set_value();
  });
  done->get_future().wait();
}

TestClient::TestClient(const std::string& address)
    : client_(MakeHttpClient(thread_.io, address)) {
  thread_.Start();
}

TestClient::~TestClient() {
  thread_.Stop();
}

HttpCall MakeTestCall(std::string method, std::string target) {
  HttpCall call;
  call.method = std::move(method);
  call.target = std::move(target);
  call.timeout = kWaitTimeout;
  return call;
}

std::future<HttpReply> TestClient::SendAsync(HttpCall call) {
  auto promise = std::make_shared<std::promise<HttpReply>>();
  client_->Call(std::move(call), [promise](HttpReply reply) {
    promise->set_value(std::move(reply));
  });
  return promise->get_future();
}

HttpReply TestClient::Send(const std::string& method,
                           const std::string& target,
                           std::string body,
                           Headers headers) {
  HttpCall call = MakeTestCall(method, target);
  call.body = std::move(body);
  call.headers = std::move(headers);
  return SendAsync(std::move(call)).get();
}

boost::json::object TestClient::GetJson(const std::string& target) {
  const HttpReply reply = Send("GET", target);
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(reply.body, ec);
  return !ec && value.is_object() ? value.as_object() : boost::json::object();
}

int64_t TestClient::ReadStat(std::string_view name) {
  const boost::json::object stats = GetJson("/stats");
  const boost::json::value* value = stats.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<int64_t>()
                                                : -1;
}

void TestClient::SetFaults(const std::string& text) {
  const HttpReply reply = Send("POST", "/faults", text);
  EXPECT_EQ(reply.http_status, 200u) << reply.body;
}

bool WaitUntil(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace burdockhatch
