#include "src/request_retry_budget.h"

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};

int TakeAllRetries(RequestRetryBudget& budget, uint32_t entries, Time now) {
  int taken = 0;
  while (taken < 10'000 && budget.TryTakeRetry(ServiceId("s"), entries, now)) {
    ++taken;
  }
  return taken;
}

// Guards against entries that together exceed the platform's limit: the ratio
// of all requests plus one allowance.
TEST(RequestRetryBudgetTest, AllEntriesTogetherKeepTheLimit) {
  for (const uint32_t entries : {1U, 4U, 30U}) {
    int requests = 0;
    int retries = 0;
    for (uint32_t i = 0; i < entries; ++i) {
      RequestRetryBudget budget({0.2, std::chrono::seconds(10), 100});
      for (int n = 0; n < 50; ++n) {
        budget.OnRequest(ServiceId("s"), kStart);
        ++requests;
      }
      retries += TakeAllRetries(budget, entries, kStart);
    }
    EXPECT_LE(retries, 0.2 * requests + 100) << entries;
    EXPECT_GT(retries, 0);
  }
}

// Guards against a budget that is not restored when the window moves on.
TEST(RequestRetryBudgetTest, WindowSlides) {
  RequestRetryBudget budget({0.2, std::chrono::seconds(10), 10});
  const int first = TakeAllRetries(budget, 1, kStart);
  EXPECT_GT(first, 0);
  EXPECT_EQ(TakeAllRetries(budget, 1, kStart + std::chrono::seconds(9)), 0);
  EXPECT_EQ(TakeAllRetries(budget, 1, kStart + std::chrono::seconds(10)),
            first);
}

}  // namespace
}  // namespace burdockhatch
