// Errors that a caller can receive. Each has a stable code, an HTTP status and
// the outcome of the request: whether its work ran.
#ifndef SRC_ERRORS_H_
#define SRC_ERRORS_H_

#include <cstdint>
#include <string_view>

#include "src/units.h"

namespace burdockhatch {

// Tells whether the work of a request ran.
enum class Outcome : uint8_t {
  kNotRun,   // The work did not run and never will.
  kRan,      // The work ran.
  kUnknown,  // The work may have run, may be running or may still run before
             // the deadline.
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
  kPartBlocked,     // A part of the prompt has crashed several engines.
  kRequestTimeout,  // The request was not complete in time.
};

inline constexpr int kErrorCodeCount =
    static_cast<int>(ErrorCode::kRequestTimeout) + 1;

// Returns the stable name of `code` used in the JSON error body, e.g.
// "rate_limited".
std::string_view ToString(ErrorCode code);

// Returns the HTTP status that callers receive with `code`.
int HttpStatusOf(ErrorCode code);

// Returns "not_run", "ran" or "unknown".
std::string_view ToString(Outcome outcome);

// Reason for which a request ended without a complete answer.
struct Failure {
  ErrorCode code = ErrorCode::kNone;
  Outcome outcome = Outcome::kUnknown;
  Duration retry_after{0};  // Suggested delay before a retry; zero: none.
};

}  // namespace burdockhatch

#endif  // SRC_ERRORS_H_
