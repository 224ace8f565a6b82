#include "src/errors.h"

#include <array>

namespace burdockhatch {

namespace {

struct ErrorInfo {
  ErrorCode code;
  std::string_view text;
  int http_status;
};

constexpr std::array<ErrorInfo, kErrorCodeCount> kErrorTable = {{
    {ErrorCode::kNone, "none", 200},
    {ErrorCode::kInvalidRequest, "invalid_request", 400},
    {ErrorCode::kBodyTooLarge, "body_too_large", 413},
    {ErrorCode::kUnknownModel, "unknown_model", 404},
    {ErrorCode::kUnknownService, "unknown_service", 404},
    {ErrorCode::kUnknownClientAccount, "unknown_client_account", 403},
    {ErrorCode::kPromptTooLong, "prompt_too_long", 400},
    {ErrorCode::kRateLimited, "rate_limited", 429},
    {ErrorCode::kOverloaded, "overloaded", 503},
    {ErrorCode::kDeadlineTooShort, "deadline_too_short", 503},
    {ErrorCode::kDeadlineExceeded, "deadline_exceeded", 504},
    {ErrorCode::kNoTarget, "no_target", 503},
    {ErrorCode::kTargetWithdrawn, "target_withdrawn", 503},
    {ErrorCode::kTargetDraining, "target_draining", 503},
    {ErrorCode::kTargetNotReady, "target_not_ready", 503},
    {ErrorCode::kTargetFailed, "target_failed", 502},
    {ErrorCode::kOutcomeUnknown, "outcome_unknown", 502},
    {ErrorCode::kAlreadyRan, "already_ran", 409},
    {ErrorCode::kClaimUnavailable, "claim_unavailable", 503},
    {ErrorCode::kNotReady, "not_ready", 503},
    {ErrorCode::kNotFound, "not_found", 404},
    {ErrorCode::kInternal, "internal", 500},
    {ErrorCode::kPartBlocked, "part_blocked", 503},
    {ErrorCode::kRequestTimeout, "request_timeout", 408},
}};

// The table is indexed by code. A misplaced row would report the wrong error to
// callers, so the order is checked at compile time.
constexpr bool RowsMatchCodes() {
  for (int i = 0; i < kErrorCodeCount; ++i) {
    if (static_cast<int>(kErrorTable[i].code) != i) {
      return false;
    }
  }
  return true;
}
static_assert(RowsMatchCodes());

}  // namespace

std::string_view ToString(ErrorCode code) {
  return kErrorTable[static_cast<int>(code)].text;
}

int HttpStatusOf(ErrorCode code) {
  return kErrorTable[static_cast<int>(code)].http_status;
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace burdockhatch
