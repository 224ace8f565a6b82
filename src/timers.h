// One-shot timers of the runtime, which tests advance.
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

  // Runs `event` once after `delay`, on the thread of the decisions, unless the
  // result is destroyed before.
  [[nodiscard]] virtual std::unique_ptr<Timer> Schedule(
      Duration delay,
      std::function<void()> event) = 0;
};

}  // namespace burdockhatch

#endif  // SRC_TIMERS_H_
