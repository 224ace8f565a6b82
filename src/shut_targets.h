// When the targets of a service take requests again, while rates, signals or
// load keep all of them from taking one now.
#ifndef SRC_SHUT_TARGETS_H_
#define SRC_SHUT_TARGETS_H_

#include <algorithm>
#include <optional>

#include "src/clock.h"
#include "src/units.h"

namespace burdockhatch {

struct ShutTargets {
  Time first_open_at = Time::max();
  // When a target opens that takes any number of requests from then on.
  Time unlimited_at = Time::max();
  // Sum of the rates of the other targets.
  double requests_per_s = 0;

  // Adds a target that opens at `at` and takes requests at this rate from then
  // on, any number of them if the rate is nullopt. Time::max() means never.
  void Add(Time at, std::optional<double> rate_per_s) {
    if (at == Time::max()) {
      return;
    }
    first_open_at = std::min(first_open_at, at);
    if (rate_per_s) {
      requests_per_s += *rate_per_s;
    } else {
      unlimited_at = std::min(unlimited_at, at);
    }
  }

  // Returns when a request is sent that has `ahead` others before it, while
  // `overtaking_per_s` further requests a second are sent before it too.
  // Time::max() if it never is.
  Time OpenAt(size_t ahead, double overtaking_per_s = 0) const {
    if (ahead == 0) {
      return first_open_at;
    }
    const double spare_per_s = requests_per_s - overtaking_per_s;
    if (first_open_at == Time::max() || spare_per_s <= 0) {
      return unlimited_at;
    }
    const double behind_ms = 1e3 * static_cast<double>(ahead) / spare_per_s;
    return std::min(unlimited_at, first_open_at + FromMs(behind_ms));
  }

  bool operator==(const ShutTargets&) const = default;
};

}  // namespace burdockhatch

#endif  // SRC_SHUT_TARGETS_H_
