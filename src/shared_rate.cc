#include "src/shared_rate.h"

#include "src/units.h"

namespace burdockhatch {

void SharedRate::Set(std::optional<double> requests_per_s,
                     double phase,
                     Time now) {
  if (requests_per_s == requests_per_s_) {
    return;
  }
  const std::optional<double> previous = requests_per_s_;
  requests_per_s_ = requests_per_s;
  if (!requests_per_s_) {
    next_request_ = Time();
  } else if (!previous) {
    Restart(phase, now);
  } else if (now < next_request_) {
    next_request_ =
        now + FromMs(ToMs(next_request_ - now) * *previous / *requests_per_s_);
  }
}

void SharedRate::Restart(double phase, Time now) {
  if (requests_per_s_) {
    next_request_ = now + FromMs(IntervalMs() * phase);
  }
}

void SharedRate::OnRequest(Time now, double factor) {
  if (requests_per_s_) {
    next_request_ = now + FromMs(IntervalMs() * factor);
  }
}

}  // namespace burdockhatch
