#include "src/forward_attempt.h"

namespace burdockhatch {

std::string_view ToString(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "not_sent";
    case AttemptFailure::kNotExecuted:
      return "not_run";
    case AttemptFailure::kBroken:
      return "broken";
    case AttemptFailure::kInvalid:
      return "invalid";
    case AttemptFailure::kErrorResponse:
      return "failed_answer";
    case AttemptFailure::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

size_t HeldBytes(const ForwardAttempt& attempt) {
  return attempt.body.size() + attempt.events.buffered_bytes();
}

bool IsSuccessStatus(uint32_t status) {
  return status >= 200 && status < 300;
}

std::string_view ProgressOf(const ForwardAttempt& attempt) {
  if (attempt.has_events) {
    return "events";
  }
  return IsSuccessStatus(attempt.status) ? "head" : "none";
}

bool AnswersAttempt(const TargetFields& fields, const std::string& attempt_id) {
  return fields.attempt_id.empty() || fields.attempt_id == attempt_id;
}

PlacementEvent PlacementEventOf(const ForwardAttempt& attempt,
                                AttemptFailure failure) {
  if (failure == AttemptFailure::kErrorResponse) {
    return PlacementEvent::kEnded;
  }
  if (failure == AttemptFailure::kNotExecuted) {
    return attempt.fields.is_wrong_target ? PlacementEvent::kTargetReplaced
                                          : PlacementEvent::kTargetRefused;
  }
  if (failure != AttemptFailure::kBroken) {
    return PlacementEvent::kTargetFailed;
  }
  if (attempt.has_events) {
    return PlacementEvent::kBrokenAfterStart;
  }
  return IsSuccessStatus(attempt.status) ? PlacementEvent::kBrokenAtStart
                                         : PlacementEvent::kBrokenUnanswered;
}

}  // namespace burdockhatch
