#include "src/service_retry_budget.h"

#include <algorithm>

namespace burdockhatch {

namespace {

// Part of the budget that is used. The rest covers entries that count each
// other late.
constexpr double kUsedShare = 0.7;
// Repeats that an entry always has, however many entries there are.
constexpr double kLeastAllowance = 2;

}  // namespace

void ServiceRetryBudget::OnRequest(const ServiceId& service, Time now) {
  Window& window = windows_[service];
  Forget(window, now);
  window.requests.push_back(now);
}

bool ServiceRetryBudget::TryTakeRetry(const ServiceId& service,
                                      uint32_t entries,
                                      Time now) {
  Window& window = windows_[service];
  Forget(window, now);
  const double allowance = std::max(
      kUsedShare * limits_.allowance / std::max(entries, 1U), kLeastAllowance);
  const double limit =
      kUsedShare * limits_.ratio * static_cast<double>(window.requests.size()) +
      allowance;
  if (static_cast<double>(window.repeats.size()) + 1 > limit) {
    return false;
  }
  window.repeats.push_back(now);
  return true;
}

void ServiceRetryBudget::Forget(Window& window, Time now) const {
  const auto forget = [&](std::deque<Time>& times) {
    while (!times.empty() && now - times.front() >= limits_.window) {
      times.pop_front();
    }
  };
  forget(window.requests);
  forget(window.repeats);
}

}  // namespace burdockhatch
