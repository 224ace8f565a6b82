#include "src/request_admission.h"

#include <algorithm>

#include "src/account_limits.h"

namespace burdockhatch {

namespace {

Failure Refusal(ErrorCode code, Duration retry_after = Duration(0)) {
  return {code, Outcome::kNotRun, retry_after};
}

std::optional<Failure> CheckModel(const FleetConfig& config,
                                  const RequestSpec& spec) {
  const auto model = config.models.find(spec.model);
  if (model == config.models.end()) {
    return Refusal(ErrorCode::kUnknownModel);
  }
  if (spec.prompt_tokens > model->second.context_limit) {
    return Refusal(ErrorCode::kPromptTooLong);
  }
  return std::nullopt;
}

std::optional<Failure> CheckDestination(const FleetConfig& config,
                                        const RequestSpec& spec) {
  if (spec.kind == WorkKind::kCompletion) {
    return CheckModel(config, spec);
  }
  if (!config.services.contains(spec.service)) {
    return Refusal(ErrorCode::kUnknownService);
  }
  return std::nullopt;
}

std::optional<Failure> CheckAccount(EntryTables& tables,
                                    const RequestSpec& spec,
                                    Time now) {
  const auto account = tables.config->accounts.find(spec.account);
  if (account == tables.config->accounts.end() || !account->second.enabled) {
    return Refusal(ErrorCode::kUnknownClientAccount);
  }
  const RateLimitResult verdict = TryTakeTokens(
      tables.limits, spec.account, account->second, TotalTokensOf(spec),
      FindHomeEntry(tables, spec.account), CountLiveEntries(tables), now);
  if (!verdict.admitted) {
    return Refusal(ErrorCode::kRateLimited, verdict.retry_after);
  }
  return std::nullopt;
}

}  // namespace

Tokens TotalTokensOf(const RequestSpec& spec) {
  return std::max(spec.prompt_tokens + spec.max_output_tokens, Tokens(1));
}

Tokens TargetLoadOf(const RequestSpec& spec) {
  return spec.kind == WorkKind::kCompletion ? TotalTokensOf(spec) : Tokens(1);
}

std::optional<Failure> CheckAdmission(EntryTables& tables,
                                      const RequestSpec& spec,
                                      Time now) {
  if (!tables.config || tables.draining) {
    return Refusal(ErrorCode::kNotReady, kNotReadyRetryAfter);
  }
  if (spec.deadline <= now) {
    return Refusal(ErrorCode::kDeadlineExceeded);
  }
  if (tables.work_ends_at && spec.deadline >= *tables.work_ends_at) {
    return Refusal(ErrorCode::kNotReady, kNotReadyRetryAfter);
  }
  if (const auto failure = CheckDestination(*tables.config, spec)) {
    return failure;
  }
  return CheckAccount(tables, spec, now);
}

}  // namespace burdockhatch
