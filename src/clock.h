// Time source of the processes. Decision logic takes the time as an argument;
// daemons read it from SteadyClock, and tests from ManualClock, which they
// advance explicitly.
#ifndef SRC_CLOCK_H_
#define SRC_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "src/units.h"

namespace burdockhatch {

// Tag type of the time points that a Clock returns.
struct RuntimeClock {};

// Time since an arbitrary origin, meaningful only within this process and
// therefore never sent to another one.
using Time = std::chrono::time_point<RuntimeClock, Duration>;

// Seconds since the Unix epoch. Used only for times that leave the process:
// records in the object API, which outlive processes, and creation times in
// answers to callers.
using UnixSeconds = std::chrono::seconds;

class Clock {
 public:
  virtual ~Clock() = default;

  virtual Time Now() const = 0;
  virtual UnixSeconds WallNow() const = 0;
};

// The clocks of the machine: the monotonic clock that counts suspension for
// Now(), the system clock for WallNow().
class SteadyClock : public Clock {
 public:
  Time Now() const override;
  UnixSeconds WallNow() const override;
};

// A clock that changes only when a test advances it.
class ManualClock : public Clock {
 public:
  Time Now() const override { return now_; }
  UnixSeconds WallNow() const override { return wall_; }

  void Advance(Duration step);

 private:
  Time now_{std::chrono::seconds(1)};
  UnixSeconds wall_{1'700'000'000};
  Duration wall_remainder_{0};
};

}  // namespace burdockhatch

#endif  // SRC_CLOCK_H_
