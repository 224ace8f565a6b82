// The rate of requests to one target that several processes share, because the
// target is cold or states a limit. Each process uses a part of it and spaces
// its requests evenly, so that all together stay within the rate without
// talking to each other.
#ifndef SRC_SHARED_RATE_H_
#define SRC_SHARED_RATE_H_

#include <optional>

#include "src/clock.h"
#include "src/units.h"

namespace burdockhatch {

class SharedRate {
 public:
  // Sets the rate of this process in requests a second, above 0; nullopt means
  // that there is no limit. If there was none before, the first request is
  // allowed after `phase`, from 0 to 1, of an interval: processes that learn of
  // a limit together pass different phases. A wait in progress is scaled to the
  // new interval.
  void Set(std::optional<double> requests_per_s, double phase, Time now);

  // Lets the next request wait for `phase` of an interval, for a process that
  // has not sent at its own rate before.
  void Restart(double phase, Time now);

  // Records a request. The next one is allowed after an interval, times
  // `factor` if this request uses a smaller part of the rate.
  void OnRequest(Time now, double factor = 1);

  bool IsOpen(Time now) const { return now >= next_request_; }
  bool is_limited() const { return requests_per_s_.has_value(); }
  std::optional<double> requests_per_s() const { return requests_per_s_; }
  // Earliest time of the next request; in the past if it is allowed now.
  Time next_request() const { return next_request_; }

 private:
  // Returns the time between two requests. Must be limited.
  double IntervalMs() const { return 1e3 / *requests_per_s_; }

  std::optional<double> requests_per_s_;
  Time next_request_{};
};

}  // namespace burdockhatch

#endif  // SRC_SHARED_RATE_H_
