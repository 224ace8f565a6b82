// The HTTP interface for callers, without sockets: requests are parsed into
// RequestSpec, and answers and errors are formatted.
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

// Bytes of a prompt that count as one token.
inline constexpr size_t kEstimatedBytesPerToken = 4;
// Bytes of a prompt that one prefix hash covers.
inline constexpr size_t kPrefixBlockBytes = 4096;

// The parts of an HTTP request that matter.
struct CallerHttpRequest {
  std::string method;
  std::string target;  // Path and query.
  std::string body;
  std::string client_account;  // X-Client-Account.
  std::string authorization;
  std::string deadline_ms;  // X-Deadline-Ms.
  std::optional<std::string> idempotency_key;
};

// How the answer is written.
enum class ResponseFormat : uint8_t { kCompletion, kChat, kService };

struct CallerRequest {
  RequestSpec spec;  // Without request id and deadline.
  Duration timeout{0};
  ResponseFormat format = ResponseFormat::kCompletion;
  bool stream = false;
  std::string payload;  // Prompt text, or the body of a service call.
};

// A request that is refused before it reaches the core.
struct CallerRequestError {
  ErrorCode code = ErrorCode::kInvalidRequest;
  std::string message;
};

// Parses a request to /v1/completions, /v1/chat/completions or /services/.
// Any other path gives kNotFound. `config` may be null; then templates and
// repeatable methods other than GET and HEAD are unknown.
std::variant<CallerRequest, CallerRequestError> ParseCallerRequest(
    CallerHttpRequest input,
    const FleetConfig* config,
    const LimitSettings& limits);

// One hash for each whole block of `prompt`, each chained to the one before, so
// that equal hashes mean equal prefixes.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

// Names an answer to its caller.
struct ResponseMetadata {
  RequestId request;
  ModelId model;
  ResponseFormat format = ResponseFormat::kCompletion;
  int64_t created = 0;  // Unix seconds.
};

// The JSON body of a whole answer.
std::string CompletionResponseBody(const ResponseMetadata& head,
                                   std::string_view text,
                                   Tokens prompt_tokens,
                                   Tokens output_tokens);

// One server-sent event with a part of the answer.
std::string CompletionChunkEvent(const ResponseMetadata& head,
                                 std::string_view text);

// The events that close a whole streamed answer, "data: [DONE]" last.
std::string FinalStreamEvents(const ResponseMetadata& head);

// A sentence for the caller that goes with `code`.
std::string_view ErrorMessageFor(ErrorCode code);

// {"error": {"code", "message", "outcome", "retry_after_ms"}}.
std::string ErrorResponseBody(const Failure& failure, std::string_view message);

// An error in a stream that has begun.
std::string ErrorStreamEvent(const Failure& failure, std::string_view message);

}  // namespace burdockhatch

#endif  // SRC_CALLER_API_H_
