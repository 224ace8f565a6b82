// Fake plain HTTP service for tests. GET and HEAD requests read; every other
// request executes and is counted. Runs on one thread.
#ifndef STANDINS_FAKE_SERVICE_H_
#define STANDINS_FAKE_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace burdockhatch::standins {

struct FakeServiceOptions {
  std::string listen = "127.0.0.1:0";
  uint64_t seed = 1;
  uint64_t delay_ms = 0;  // Time between the execution and the answer.
};

// Accepts these faults in addition to CommonFaultNames():
//   execute_then_close  probability: execute, then close the connection
//   unhealthy           bool: /healthz answers 503
//   error_status        number: answer this status after the execution
//   answer_delay_ms     number: wait between the execution and the answer
//   refuse_ms           number: refuse connections for this time, once
class FakeService {
 public:
  FakeService(boost::asio::io_context& io, FakeServiceOptions options);
  ~FakeService();

  std::string address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace burdockhatch::standins

#endif  // STANDINS_FAKE_SERVICE_H_
