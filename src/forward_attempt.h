// One attempt of a forwarded request: its placement, its call to a target and
// what the target has sent so far.
#ifndef SRC_FORWARD_ATTEMPT_H_
#define SRC_FORWARD_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/clock.h"
#include "src/event_stream.h"
#include "src/forward_call.h"
#include "src/forward_protocol.h"
#include "src/messages.h"
#include "src/reservations.h"

namespace burdockhatch {

// Why an attempt ended without a complete successful response.
enum class AttemptFailure : uint8_t {
  kNotSent,        // The connection failed before a byte was written.
  kNotExecuted,    // The target stated that it did not execute the request.
  kBroken,         // The connection broke, or ended inside the response.
  kInvalid,        // The response belongs to no target or request.
  kErrorResponse,  // A complete response with a 5xx status.
  kTooLarge,       // The response exceeds a limit.
};

std::string_view ToString(AttemptFailure failure);

struct ForwardAttempt {
  // Of the placement ask, from the ask until the end of the attempt.
  std::optional<uint64_t> placement_number;
  std::unique_ptr<ReservationSet> reservations;
  std::shared_ptr<ForwardCall> call;  // Null before the send and after the end.
  bool is_balanced = false;  // Counted as in progress by the ServiceBalancer.

  TargetId target;
  uint64_t target_started_at = 0;  // As in TargetRecord.
  std::vector<ForwardHelper> helpers;
  Duration expected_first_event{0};
  Time sent_at{};

  uint32_t status = 0;  // 0 until the response head arrives.
  HeaderList headers;
  TargetFields fields;
  std::string body;  // Of a response that is not streamed.
  EventStream events;
  size_t counted_bytes = 0;  // Part of ForwardContext::buffered_response_bytes.
  bool is_streaming = false;  // Events are forwarded as they arrive.
  bool has_events = false;
  // The response has neither a length nor chunks.
  bool ends_with_connection = false;
};

using ForwardAttemptPtr = std::shared_ptr<ForwardAttempt>;

// Returns how much of the response is held in memory.
size_t HeldBytes(const ForwardAttempt& attempt);

bool IsSuccessStatus(uint32_t status);

// Returns how far the attempt has come: "none", "head" after the head of a
// successful response, or "events".
std::string_view ProgressOf(const ForwardAttempt& attempt);

// Returns whether the response is one to `attempt_id`, as far as it says.
bool AnswersAttempt(const TargetFields& fields, const std::string& attempt_id);

// Returns the event that tells placement how the attempt has ended.
PlacementEvent PlacementEventOf(const ForwardAttempt& attempt,
                                AttemptFailure failure);

}  // namespace burdockhatch

#endif  // SRC_FORWARD_ATTEMPT_H_
