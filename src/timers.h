// One-shot timers, implemented by the event loop and, for tests, by a manually
// advanced clock.
#ifndef SRC_TIMERS_H_
#define SRC_TIMERS_H_

#include <functional>
#include <memory>

#include "src/clock.h"

namespace burdockhatch {

// Cancels its timer when destroyed.
class Timer {
 public:
  virtual ~Timer() = default;
};

class Timers {
 public:
  virtual ~Timers() = default;

  virtual Time Now() const = 0;

  // Runs `callback` once after `delay`, on the event loop thread, unless the
  // returned timer is destroyed first.
  [[nodiscard]] virtual std::unique_ptr<Timer> Schedule(
      Duration delay,
      std::function<void()> callback) = 0;
};

}  // namespace burdockhatch

#endif  // SRC_TIMERS_H_
