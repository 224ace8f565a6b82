// When the targets of a service take requests again, while the rates and
// signals of all of them forbid requests.
#ifndef SRC_SHUT_TARGETS_H_
#define SRC_SHUT_TARGETS_H_

#include <algorithm>

#include "src/clock.h"
#include "src/shared_rate.h"
#include "src/units.h"

namespace burdockhatch {

struct ShutTargets {
  Time first_open_at = Time::max();
  // When a target whose rate is not limited is open.
  Time unlimited_at = Time::max();
  // Sum of the limited rates.
  double requests_per_s = 0;

  // Adds a target that is open from `at` on, or never if it is Time::max().
  void Add(Time at, const SharedRate& rate) {
    if (at == Time::max()) {
      return;
    }
    first_open_at = std::min(first_open_at, at);
    if (rate.is_limited()) {
      requests_per_s += *rate.requests_per_s();
    } else {
      unlimited_at = std::min(unlimited_at, at);
    }
  }

  // Returns when a request can be sent that has `ahead` others before it, or
  // Time::max() if no target opens.
  Time OpenAt(size_t ahead) const {
    if (first_open_at == Time::max() || requests_per_s <= 0) {
      return unlimited_at;
    }
    const double behind_ms = 1e3 * static_cast<double>(ahead) / requests_per_s;
    return std::min(unlimited_at, first_open_at + FromMs(behind_ms));
  }
};

}  // namespace burdockhatch

#endif  // SRC_SHUT_TARGETS_H_
