// Runs stand-ins and HTTP clients on threads of a test.
#ifndef TESTS_STANDINS_TEST_UTIL_H_
#define TESTS_STANDINS_TEST_UTIL_H_

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "src/http_call.h"

namespace burdockhatch {

// An io_context with a thread that runs it.
class IoThread {
 public:
  IoThread();
  ~IoThread();

  void Start();
  // Stops the thread; nothing runs on the context afterwards.
  void Stop();

  // Runs `task` on the thread and waits for it.
  void Run(const std::function<void()>& task);

  boost::asio::io_context io;

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

// A stand-in on a thread of its own.
template <class Fake>
class FakeServerThread {
 public:
  template <class Options>
  explicit FakeServerThread(Options options)
      : fake_(std::make_unique<Fake>(thread_.io, std::move(options))),
        address_(fake_->address()) {
    thread_.Start();
  }
  ~FakeServerThread() { thread_.Stop(); }

  const std::string& address() const { return address_; }

 private:
  IoThread thread_;
  std::unique_ptr<Fake> fake_;
  std::string address_;
};

// A client that waits for its answers. Each call uses a connection of its own.
class TestClient {
 public:
  explicit TestClient(const std::string& address);
  ~TestClient();

  using Headers = std::vector<std::pair<std::string, std::string>>;

  HttpReply Send(const std::string& method,
                 const std::string& target,
                 std::string body = "",
                 Headers headers = {});
  std::future<HttpReply> SendAsync(HttpCall call);

  // The answer to GET `target` as a JSON object; empty when there is none.
  boost::json::object GetJson(const std::string& target);
  // A number out of GET /stats; -1 when it is missing.
  int64_t ReadStat(std::string_view name);
  // Sets faults and checks that the stand-in took them.
  void SetFaults(const std::string& text);

 private:
  IoThread thread_;
  std::unique_ptr<HttpClient> client_;
};

HttpCall MakeTestCall(std::string method, std::string target);

// Waits until `condition` holds. False when it does not within a time that only
// a fault exceeds.
bool WaitUntil(const std::function<bool()>& condition);

}  // namespace burdockhatch

#endif  // TESTS_STANDINS_TEST_UTIL_H_
