// Bounds the retries of each client account by a share of its admitted
// requests, so that retries do not amplify a brown-out.
#ifndef SRC_RETRY_BUDGET_H_
#define SRC_RETRY_BUDGET_H_

#include <cstdint>

#include "src/entry_tables.h"

namespace burdockhatch {

// Credit is counted in tenths of a retry: each admitted request adds one.
inline constexpr int64_t kCreditPerRetry = 10;
// Credit of an account that has sent nothing yet, so that accounts with little
// traffic can retry at all.
inline constexpr int64_t kInitialRetryCredit = 10 * kCreditPerRetry;
inline constexpr int64_t kMaxRetryCredit = 100 * kCreditPerRetry;

void AddRetryCredit(RetryBudgets& budgets, const ClientAccountId& account);

// Takes one retry; false when the budget is used up.
bool TryTakeRetry(RetryBudgets& budgets, const ClientAccountId& account);

// Forgets accounts that are not configured any more.
void PruneRetryBudgets(RetryBudgets& budgets, const FleetConfig& config);

}  // namespace burdockhatch

#endif  // SRC_RETRY_BUDGET_H_
