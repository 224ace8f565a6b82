// Limits the retries of each client account to a fraction of its admitted
// requests, so that retries do not amplify an overload.
#ifndef SRC_RETRY_BUDGET_H_
#define SRC_RETRY_BUDGET_H_

#include <cstdint>

#include "src/entry_tables.h"

namespace burdockhatch {

// Credit units that one retry costs. Each admitted request adds one unit, so
// retries are limited to a tenth of the admitted requests.
inline constexpr int64_t kCreditPerRetry = 10;
// Credit of a new account, so that accounts with little traffic can retry.
inline constexpr int64_t kInitialRetryCredit = 10 * kCreditPerRetry;
inline constexpr int64_t kMaxRetryCredit = 100 * kCreditPerRetry;

void AddRetryCredit(RetryBudgets& budgets, const ClientAccountId& account);

// Whether TryTakeRetry would return true.
bool HasRetryCredit(RetryBudgets& budgets, const ClientAccountId& account);

// Spends the credit of one retry. Returns false if there is too little left.
bool TryTakeRetry(RetryBudgets& budgets, const ClientAccountId& account);

// Removes accounts that are no longer in the configuration.
void PruneRetryBudgets(RetryBudgets& budgets, const FleetConfig& config);

}  // namespace burdockhatch

#endif  // SRC_RETRY_BUDGET_H_
