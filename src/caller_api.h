// Parses HTTP requests of callers into RequestSpec and formats responses and
// errors. Contains no I/O.
#ifndef SRC_CALLER_API_H_
#define SRC_CALLER_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/entry_core.h"
#include "src/errors.h"
#include "src/fleet_config.h"
#include "src/settings.h"

namespace burdockhatch {

// Prompt bytes per token, for estimates of the prompt length.
inline constexpr size_t kEstimatedBytesPerToken = 4;
// Prompt bytes covered by each prefix hash.
inline constexpr size_t kPrefixBlockBytes = 4096;

// The fields of an HTTP request that the parser uses.
struct CallerHttpRequest {
  std::string method;
  std::string target;  // HTTP request target: path and query.
  std::string body;
  std::string client_account;                  // Value of X-Client-Account.
  std::string authorization;                   // Value of Authorization.
  std::string deadline_ms;                     // Value of X-Deadline-Ms.
  std::optional<std::string> idempotency_key;  // Value of Idempotency-Key.
};

// Format of the response body.
enum class ResponseFormat : uint8_t { kCompletion, kChat, kService };

struct CallerRequest {
  RequestSpec spec;     // The request id and the deadline are not set.
  Duration timeout{0};  // From the arrival of the request to its deadline.
  ResponseFormat format = ResponseFormat::kCompletion;
  bool stream = false;
  std::string payload;  // Prompt text, or the body of a service call.
};

// Reason for rejecting a request before it reaches the entry core.
struct CallerRequestError {
  ErrorCode code = ErrorCode::kInvalidRequest;
  std::string message;
};

// Parses a request to /v1/completions, /v1/chat/completions or /services/.
// Any other path fails with kNotFound. `config` may be null; then templates and
// repeatable methods other than GET and HEAD are unknown.
std::variant<CallerRequest, CallerRequestError> ParseCallerRequest(
    CallerHttpRequest input,
    const FleetConfig* config,
    const LimitSettings& limits);

// Returns one hash per complete block of `prompt`. Each hash includes the one
// before it, so that equal hashes stand for equal prefixes.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

// Metadata that each response body of a completion repeats.
struct ResponseMetadata {
  RequestId request;
  ModelId model;
  ResponseFormat format = ResponseFormat::kCompletion;
  int64_t created = 0;  // Seconds since the Unix epoch.
};

// Returns the JSON body of a non-streamed completion.
std::string CompletionResponseBody(const ResponseMetadata& head,
                                   std::string_view text,
                                   Tokens prompt_tokens,
                                   Tokens output_tokens);

// Returns a server-sent event with one part of a streamed completion.
std::string CompletionChunkEvent(const ResponseMetadata& head,
                                 std::string_view text);

// Returns the events that end a successful stream; the last is
// "data: [DONE]".
std::string FinalStreamEvents(const ResponseMetadata& head);

// Returns the message for the caller that describes `code`.
std::string_view ErrorMessageFor(ErrorCode code);

// Returns {"error": {"code", "message", "outcome", "retry_after_ms"}}.
std::string ErrorResponseBody(const Failure& failure, std::string_view message);

// Returns the event that reports an error after the stream has started.
std::string ErrorStreamEvent(const Failure& failure, std::string_view message);

}  // namespace burdockhatch

#endif  // SRC_CALLER_API_H_
