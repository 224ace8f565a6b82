#include "src/retry_budget.h"

#include <algorithm>

namespace burdockhatch {

namespace {

int64_t& AccountCredit(RetryBudgets& budgets, const ClientAccountId& account) {
  return budgets.credit_tenths.try_emplace(account, kInitialRetryCredit)
      .first->second;
}

}  // namespace

void AddRetryCredit(RetryBudgets& budgets, const ClientAccountId& account) {
  int64_t& credit_tenths = AccountCredit(budgets, account);
  credit_tenths = std::min(credit_tenths + 1, kMaxRetryCredit);
}

bool TryTakeRetry(RetryBudgets& budgets, const ClientAccountId& account) {
  int64_t& credit_tenths = AccountCredit(budgets, account);
  if (credit_tenths < kCreditPerRetry) {
    return false;
  }
  credit_tenths -= kCreditPerRetry;
  return true;
}

void PruneRetryBudgets(RetryBudgets& budgets, const FleetConfig& config) {
  std::erase_if(budgets.credit_tenths, [&](const auto& it) {
    return !config.accounts.contains(it.first);
  });
}

}  // namespace burdockhatch
