#include "src/engine_json.h"

#include <type_traits>
#include <utility>

#include <boost/json.hpp>

namespace burdockhatch {

namespace json = boost::json;

namespace {

// Reads the fields of one JSON object and records whether all were valid.
class ObjectReader {
 public:
  explicit ObjectReader(const json::value& value)
      : object_(value.if_object()), valid_(object_ != nullptr) {}

  bool valid() const { return valid_; }

  template <class Number>
  Number ReadInteger(std::string_view name) {
    const json::value* value = Find(name);
    if (value == nullptr || !value->is_number() || value->is_double()) {
      valid_ = false;
      return Number{};
    }
    boost::system::error_code ec;
    const auto number = value->to_number<Number>(ec);
    valid_ = valid_ && !ec;
    return number;
  }

  // Accepts only amounts that are not negative.
  int64_t ReadAmount(std::string_view name) {
    const auto amount = ReadInteger<int64_t>(name);
    valid_ = valid_ && amount >= 0;
    return amount;
  }

  std::string ReadString(std::string_view name) {
    const json::value* value = Find(name);
    if (value == nullptr || !value->is_string()) {
      valid_ = false;
      return {};
    }
    return std::string(value->as_string());
  }

  bool ReadBool(std::string_view name) {
    const json::value* value = Find(name);
    if (value == nullptr || !value->is_bool()) {
      valid_ = false;
      return false;
    }
    return value->as_bool();
  }

  const json::array& ReadArray(std::string_view name) {
    static const json::array none;
    const json::value* value = Find(name);
    if (value == nullptr || !value->is_array()) {
      valid_ = false;
      return none;
    }
    return value->as_array();
  }

  bool Has(std::string_view name) const { return Find(name) != nullptr; }

 private:
  const json::value* Find(std::string_view name) const {
    return object_ == nullptr ? nullptr : object_->if_contains(name);
  }

  const json::object* object_;
  bool valid_;
};

json::value ParseJson(std::string_view text) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  return ec ? json::value() : value;
}

}  // namespace

std::string FormatStreamSpec(const StreamSpec& spec) {
  json::array hashes;
  for (const uint64_t hash : spec.prefix_hashes) {
    hashes.emplace_back(hash);
  }
  json::array caches;
  for (const StreamId& cache : spec.imported_caches) {
    caches.emplace_back(cache.value());
  }
  return json::serialize(
      json::object{{"stream", spec.stream.value()},
                   {"model", spec.model.value()},
                   {"prompt_tokens", spec.prompt_tokens.value()},
                   {"max_output_tokens", spec.max_output_tokens.value()},
                   {"priority", spec.priority},
                   {"prefix_hashes", std::move(hashes)},
                   {"imported_caches", std::move(caches)},
                   {"imported_tokens", spec.imported_tokens.value()},
                   {"first_chunk", spec.first_chunk},
                   {"generated_prefix", spec.generated_prefix},
                   {"prompt", spec.prompt}});
}

std::string FormatCacheMemory(Tokens memory) {
  return json::serialize(json::object{{"memory", memory.value()}});
}

std::string FormatLoadModel(const ModelId& model, FencingNumber fencing) {
  return json::serialize(json::object{{"order", "load_model"},
                                      {"model", model.value()},
                                      {"fencing", fencing.value()}});
}

std::optional<StreamEvent> ParseStreamEvent(std::string_view text) {
  const json::value value = ParseJson(text);
  ObjectReader reader(value);
  if (reader.Has("end")) {
    const std::string end = reader.ReadString("end");
    StreamEndEvent event;
    event.end = end == "complete"    ? StreamEnd::kComplete
                : end == "cancelled" ? StreamEnd::kCancelled
                                     : StreamEnd::kFailed;
    if (reader.Has("chunk_count") || event.end == StreamEnd::kComplete) {
      event.chunk_count = reader.ReadInteger<uint32_t>("chunk_count");
    }
    return reader.valid() ? std::optional<StreamEvent>(event) : std::nullopt;
  }
  StreamChunk chunk;
  chunk.index = reader.ReadInteger<uint32_t>("index");
  chunk.tokens = reader.ReadInteger<uint32_t>("tokens");
  chunk.data = reader.ReadString("data");
  if (!reader.valid()) {
    return std::nullopt;
  }
  return chunk;
}

std::optional<EngineHoldings> ParseEngineHoldings(std::string_view text) {
  const json::value value = ParseJson(text);
  ObjectReader reader(value);
  EngineHoldings list;
  list.engine = EngineIncarnation(reader.ReadInteger<uint64_t>("engine"));
  for (const json::value& entry : reader.ReadArray("holdings")) {
    ObjectReader holding(entry);
    list.holdings.push_back({StreamId(holding.ReadString("stream")),
                             Tokens(holding.ReadAmount("memory")),
                             holding.ReadBool("is_cache")});
    if (!holding.valid()) {
      return std::nullopt;
    }
  }
  return reader.valid() ? std::optional(std::move(list)) : std::nullopt;
}

std::optional<EngineLoad> ParseEngineLoad(std::string_view text) {
  const json::value value = ParseJson(text);
  ObjectReader reader(value);
  EngineLoad load;
  load.engine = EngineIncarnation(reader.ReadInteger<uint64_t>("engine"));
  load.uptime = Duration(reader.ReadAmount("uptime_us"));
  load.memory_total = Tokens(reader.ReadAmount("memory_total"));
  load.memory_used = Tokens(reader.ReadAmount("memory_used"));
  load.completed = Tokens(reader.ReadAmount("completed"));
  load.prefix_lookups = reader.ReadInteger<uint64_t>("prefix_lookups");
  load.prefix_hits = reader.ReadInteger<uint64_t>("prefix_hits");
  for (const json::value& model : reader.ReadArray("models")) {
    if (!model.is_string()) {
      return std::nullopt;
    }
    load.models.emplace_back(std::string(model.as_string()));
  }
  return reader.valid() ? std::optional(std::move(load)) : std::nullopt;
}

std::optional<std::vector<CacheEvent>> ParseCacheEvents(std::string_view text) {
  const json::value value = ParseJson(text);
  ObjectReader reader(value);
  std::vector<CacheEvent> events;
  for (const json::value& entry : reader.ReadArray("events")) {
    ObjectReader event(entry);
    events.push_back({event.ReadInteger<uint64_t>("sequence"),
                      event.ReadBool("added"),
                      event.ReadInteger<uint64_t>("prefix_hash")});
    if (!event.valid()) {
      return std::nullopt;
    }
  }
  return reader.valid() ? std::optional(std::move(events)) : std::nullopt;
}

}  // namespace burdockhatch
