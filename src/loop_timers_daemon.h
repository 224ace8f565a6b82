// Timers of an event loop.
#ifndef SRC_LOOP_TIMERS_DAEMON_H_
#define SRC_LOOP_TIMERS_DAEMON_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "src/clock.h"
#include "src/timers.h"

namespace burdockhatch {

class LoopTimers : public Timers {
 public:
  // `io` must outlive the timers and be run by a single thread.
  explicit LoopTimers(boost::asio::io_context& io) : io_(io) {}

  Time Now() const override { return clock_.Now(); }
  std::unique_ptr<Timer> Schedule(Duration delay,
                                  std::function<void()> callback) override;

 private:
  boost::asio::io_context& io_;
  SteadyClock clock_;
};

}  // namespace burdockhatch

#endif  // SRC_LOOP_TIMERS_DAEMON_H_
