// Bounds what an entry sends beyond the first try of each request. All entries
// together keep to a ratio of the requests of a service plus a fixed allowance;
// each takes its part, as they do not see each other's repeats.
#ifndef SRC_SERVICE_RETRY_BUDGET_H_
#define SRC_SERVICE_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>

#include "src/clock.h"
#include "src/ids.h"

namespace burdockhatch {

struct ServiceRetryLimits {
  double ratio = 0.2;  // Of the requests in a window.
  Duration window = std::chrono::seconds(10);
  uint32_t allowance = 50;  // Of all entries together, in a window.
};

class ServiceRetryBudget {
 public:
  explicit ServiceRetryBudget(ServiceRetryLimits limits) : limits_(limits) {}

  void OnRequest(const ServiceId& service, Time now);

  // Takes one repeat; false when the window has none left. `entries` share the
  // allowance.
  bool TryTakeRetry(const ServiceId& service, uint32_t entries, Time now);

 private:
  struct Window {
    std::deque<Time> requests;
    std::deque<Time> repeats;
  };

  void Forget(Window& window, Time now) const;

  ServiceRetryLimits limits_;
  std::map<ServiceId, Window> windows_;
};

}  // namespace burdockhatch

#endif  // SRC_SERVICE_RETRY_BUDGET_H_
