#include "src/retry_budget.h"

#include <algorithm>

namespace burdockhatch {

namespace {

int64_t& AccountCredit(RetryBudgets& budgets, const ClientAccountId& account) {
  return budgets.credit.try_emplace(account, kInitialRetryCredit).first->second;
}

}  // namespace

void AddRetryCredit(RetryBudgets& budgets, const ClientAccountId& account) {
  int64_t& credit = AccountCredit(budgets, account);
  credit = std::min(credit + 1, kMaxRetryCredit);
}

bool HasRetryCredit(RetryBudgets& budgets, const ClientAccountId& account) {
  return AccountCredit(budgets, account) >= kCreditPerRetry;
}

bool TryTakeRetry(RetryBudgets& budgets, const ClientAccountId& account) {
  if (!HasRetryCredit(budgets, account)) {
    return false;
  }
  AccountCredit(budgets, account) -= kCreditPerRetry;
  return true;
}

void PruneRetryBudgets(RetryBudgets& budgets, const FleetConfig& config) {
  std::erase_if(budgets.credit, [&](const auto& it) {
    return !config.accounts.contains(it.first);
  });
}

}  // namespace burdockhatch
