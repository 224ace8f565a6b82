// Fake of the platform's object API for tests: versioned objects with
// conditional updates and watches, rate limits, and a list of instances that
// lags behind its changes. All state is in memory. Runs on one thread.
#ifndef STANDINS_FAKE_OBJECT_API_H_
#define STANDINS_FAKE_OBJECT_API_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace burdockhatch::standins {

struct FakeObjectApiOptions {
  std::string listen = "127.0.0.1:0";
  uint64_t seed = 1;
  double max_reads_per_s = 2000;
  double max_writes_per_s = 400;
  uint64_t instance_lag_ms = 2000;
  // JSON text {"instances":[...]}, or empty for no instances.
  std::string instances = {};
};

// Accepts these faults in addition to CommonFaultNames():
//   freeze_instances  bool: the visible list of instances does not change
//   throttle          bool: answer 429 to every call
//   refuse_ms         number: refuse connections for this time, once
class FakeObjectApi {
 public:
  // Throws std::runtime_error when `options.instances` is invalid.
  FakeObjectApi(boost::asio::io_context& io, FakeObjectApiOptions options);
  ~FakeObjectApi();

  // "ip:port" of the listening socket.
  std::string address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace burdockhatch::standins

#endif  // STANDINS_FAKE_OBJECT_API_H_
