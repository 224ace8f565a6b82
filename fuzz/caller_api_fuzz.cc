// Fuzzes the parser of callers' requests.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "src/caller_api.h"
#include "src/json_reader.h"
#include "src/wire.h"

namespace {

using namespace burdockhatch;

void Require(bool holds) {
  if (!holds) {
    abort();
  }
}

FleetConfig SampleConfig() {
  FleetConfig config;
  config.models[ModelId("m")].max_output = Tokens(100);
  config.services[ServiceId("s")].repeatable_methods = {"GET", "PUT"};
  config.accounts[ClientAccountId("c")];
  TemplateConfig& sample = config.templates[TemplateId("t")];
  sample.account = ClientAccountId("c");
  sample.model = ModelId("m");
  sample.max_output = Tokens(70);
  sample.deadline = std::chrono::hours(24);
  sample.prompt_prefix = "Review: ";
  return config;
}

// The text up to the next line feed, which is removed from `rest` as well.
std::string TakeLine(std::string_view* rest) {
  const size_t end = std::min(rest->find('\n'), rest->size());
  std::string line(rest->substr(0, end));
  rest->remove_prefix(std::min(end + 1, rest->size()));
  return line;
}

// Six lines for the request line and the headers; the body follows. A key of
// "-" stands for a request without one.
CallerHttpRequest InputFrom(std::string_view text) {
  CallerHttpRequest input;
  input.method = TakeLine(&text);
  input.target = TakeLine(&text);
  input.client_account = TakeLine(&text);
  input.authorization = TakeLine(&text);
  input.deadline_ms = TakeLine(&text);
  std::string key = TakeLine(&text);
  if (key != "-") {
    input.idempotency_key = std::move(key);
  }
  input.body = std::string(text);
  return input;
}

// An agent drops an offer that is beyond the limits of the codec, so such a
// request must not be accepted.
void CheckWireLimits(const RequestSpec& spec) {
  Require(spec.method.size() <= kMaxWireIdBytes);
  Require(spec.path.size() <= kMaxWirePathBytes);
  Require(spec.prefix_hashes.size() <= size_t{kMaxPrefixHashes});
  Require(spec.prompt_tokens.value() >= 0);
  Require(!spec.key || (!spec.key->value().empty() &&
                        spec.key->value().size() <= kMaxWireIdBytes));
}

void CheckRequest(const CallerRequest& request, const LimitSettings& limits) {
  const RequestSpec& spec = request.spec;
  Require(IsValidId(spec.account.value()));
  Require(request.timeout > Duration(0));
  Require(request.timeout <= limits.max_deadline);
  CheckWireLimits(spec);
  if (request.format == ResponseFormat::kService) {
    Require(spec.kind == WorkKind::kServiceCall);
    Require(IsValidId(spec.service.value()));
    Require(spec.path.starts_with('/') && !spec.method.empty());
    Require(!spec.key || !spec.repeatable);
    return;
  }
  Require(spec.kind == WorkKind::kCompletion);
  Require(IsValidId(spec.model.value()));
  Require(spec.max_output_tokens > Tokens(0) && spec.prompt_tokens > Tokens(0));
  Require(PrefixHashes(request.payload) == spec.prefix_hashes);
  Require(!spec.key);
}

}  // namespace

// A request that is rejected must come with an error code and a message.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static const FleetConfig config = SampleConfig();
  const LimitSettings limits;
  const CallerHttpRequest input =
      InputFrom({reinterpret_cast<const char*>(data), size});
  for (const FleetConfig* it :
       {&config, static_cast<const FleetConfig*>(nullptr)}) {
    const auto parsed = ParseCallerRequest(input, it, limits);
    if (const auto* error = std::get_if<CallerRequestError>(&parsed)) {
      Require(error->code != ErrorCode::kNone && !error->message.empty());
      continue;
    }
    CheckRequest(std::get<CallerRequest>(parsed), limits);
  }
  return 0;
}
