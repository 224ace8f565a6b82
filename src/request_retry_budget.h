// Bounds the retries that an entry sends for each service. All entries together
// stay within a ratio of the service's requests plus a fixed allowance; each
// entry uses only its part, as entries do not see each other's retries.
#ifndef SRC_REQUEST_RETRY_BUDGET_H_
#define SRC_REQUEST_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>

#include "src/clock.h"
#include "src/ids.h"

namespace burdockhatch {

struct RequestRetryLimits {
  double ratio = 0.2;  // Retries per request in the sliding window.
  Duration window = std::chrono::seconds(10);
  // Retries per window beyond the ratio, for all entries together.
  uint32_t allowance = 50;
};

class RequestRetryBudget {
 public:
  explicit RequestRetryBudget(RequestRetryLimits limits) : limits_(limits) {}

  void OnRequest(const ServiceId& service, Time now);

  // Consumes one retry, or returns false if the window has none left. The
  // allowance is divided among `entry_count` entries.
  bool TryTakeRetry(const ServiceId& service, uint32_t entry_count, Time now);

 private:
  struct Window {
    std::deque<Time> requests;
    std::deque<Time> retries;
  };

  void DropExpired(Window& window, Time now) const;

  RequestRetryLimits limits_;
  std::map<ServiceId, Window> windows_;
};

}  // namespace burdockhatch

#endif  // SRC_REQUEST_RETRY_BUDGET_H_
