#include "src/request_retry_budget.h"

#include <algorithm>

namespace burdockhatch {

namespace {

// Share of the budget that is used. The rest covers entries whose count of
// entries is out of date.
constexpr double kUsedBudgetShare = 0.7;
// Retries per window that an entry may always send, however many entries share
// the allowance.
constexpr double kMinAllowance = 2;

}  // namespace

void RequestRetryBudget::OnRequest(const ServiceId& service, Time now) {
  Window& window = windows_[service];
  DropExpired(window, now);
  window.requests.push_back(now);
}

bool RequestRetryBudget::TryTakeRetry(const ServiceId& service,
                                      uint32_t entry_count,
                                      Time now) {
  Window& window = windows_[service];
  DropExpired(window, now);
  const double allowance =
      std::max(kUsedBudgetShare * limits_.allowance / std::max(entry_count, 1U),
               kMinAllowance);
  const double limit = kUsedBudgetShare * limits_.ratio *
                           static_cast<double>(window.requests.size()) +
                       allowance;
  if (static_cast<double>(window.retries.size()) + 1 > limit) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

void RequestRetryBudget::DropExpired(Window& window, Time now) const {
  const auto drop_expired = [&](std::deque<Time>& times) {
    while (!times.empty() && now - times.front() >= limits_.window) {
      times.pop_front();
    }
  };
  drop_expired(window.requests);
  drop_expired(window.retries);
}

}  // namespace burdockhatch
