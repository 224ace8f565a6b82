// JSON bodies of the engine protocol. The parse functions accept any input and
// return nullopt if it violates the protocol.
#ifndef SRC_ENGINE_JSON_H_
#define SRC_ENGINE_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/engine.h"

namespace burdockhatch {

// Body of POST /v1/streams.
std::string FormatStreamSpec(const StreamSpec& spec);

// Body of PUT /v1/kv/<id>.
std::string FormatCacheMemory(Tokens memory);

// Body of POST /v1/orders.
std::string FormatLoadModel(const ModelId& model, FencingNumber fencing);

// Final event of a stream.
struct StreamEndEvent {
  StreamEnd end = StreamEnd::kFailed;
  uint32_t chunk_count = 0;
};

using StreamEvent = std::variant<StreamChunk, StreamEndEvent>;

std::optional<StreamEvent> ParseStreamEvent(std::string_view text);
std::optional<EngineHoldings> ParseEngineHoldings(std::string_view text);
std::optional<EngineLoad> ParseEngineLoad(std::string_view text);
std::optional<std::vector<CacheEvent>> ParseCacheEvents(std::string_view text);

}  // namespace burdockhatch

#endif  // SRC_ENGINE_JSON_H_
