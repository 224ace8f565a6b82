// The errors a caller can receive. Each has a stable code, an HTTP status and
// the outcome of the work: whether it ran.
#ifndef SRC_ERRORS_H_
#define SRC_ERRORS_H_

#include <cstdint>
#include <string_view>

#include "src/units.h"

namespace burdockhatch {

// Whether the work of a request ran.
enum class Outcome : uint8_t {
  kNotRun,   // It did not run and never will.
  kRan,      // It ran.
  kUnknown,  // It may have run, may be running or may still run within its
             // deadline.
};

enum class ErrorCode : uint8_t {
  kNone,
  kInvalidRequest,
  kBodyTooLarge,
  kUnknownModel,
  kUnknownService,
  kUnknownClientAccount,
  kPromptTooLong,
  kRateLimited,
  kOverloaded,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kNoTarget,
  kTargetWithdrawn,
  kTargetDraining,
  kTargetNotReady,
  kTargetFailed,
  kOutcomeUnknown,
  kAlreadyRan,
  kClaimUnavailable,
  kNotReady,
  kNotFound,
  kInternal,
};

inline constexpr int kErrorCodeCount =
    static_cast<int>(ErrorCode::kInternal) + 1;

// Stable text of `code`, as it stands in the JSON error body, e.g.
// "rate_limited".
std::string_view ToString(ErrorCode code);

// HTTP status that goes with `code`.
int HttpStatusOf(ErrorCode code);

// "not_run", "ran" or "unknown".
std::string_view ToString(Outcome outcome);

// Why a request ended without a whole answer.
struct Failure {
  ErrorCode code = ErrorCode::kNone;
  Outcome outcome = Outcome::kUnknown;
  Duration retry_after{0};  // Zero: no hint.
};

}  // namespace burdockhatch

#endif  // SRC_ERRORS_H_
