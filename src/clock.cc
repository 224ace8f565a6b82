#include "src/clock.h"

#include <ctime>

namespace burdockhatch {

Time SteadyClock::Now() const {
  // Unlike the steady clock, CLOCK_BOOTTIME counts the time for which the
  // machine is suspended, in which deadlines and leases expire elsewhere.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_origin =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return Time(std::chrono::duration_cast<Duration>(since_origin));
}

UnixSeconds SteadyClock::WallNow() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<UnixSeconds>(since_epoch);
}

void ManualClock::Advance(Duration step) {
  now_ += step;
  wall_remainder_ += step;
  const auto whole = std::chrono::duration_cast<UnixSeconds>(wall_remainder_);
  wall_ += whole;
  wall_remainder_ -= whole;
}

}  // namespace burdockhatch
