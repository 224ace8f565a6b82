// Runs fakes and HTTP clients on threads of a test.
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

// Runs a fake server on its own thread.
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

// A client whose Send() waits for the reply. Each call uses its own connection.
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

  // Returns the JSON object that GET `target` answers, or an empty object when
  // the answer is not one.
  boost::json::object GetJson(const std::string& target);
  // Returns a number from GET /stats, or -1 when it is missing.
  int64_t ReadStat(std::string_view name);
  // Sets faults and checks that the fake accepted them.
  void SetFaults(const std::string& text);

 private:
  IoThread thread_;
  std::unique_ptr<HttpClient> client_;
};

HttpCall MakeTestCall(std::string method, std::string target);

// Polls until `condition` holds. Returns false after a timeout that only a
// failing test reaches.
bool WaitUntil(const std::function<bool()>& condition);

}  // namespace burdockhatch

#endif  // TESTS_STANDINS_TEST_UTIL_H_
