#include "src/clock.h"

namespace burdockhatch {

Time SteadyClock::Now() const {
  const auto since_origin = std::chrono::steady_clock::now().time_since_epoch();
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
