#include "src/engine_json.h"

#include <type_traits>
#include <utility>

#include <boost/json.hpp>

namespace burdockhatch {

namespace json = boost::json;

namespace {

// Reads the fields of one JSON object and remembers whether all were valid.
class Fields {
 public:
  explicit Fields(const json::value& value)
      : object_(value.if_object()), valid_(object_ != nullptr) {}

  bool valid() const { return valid_; }

  template <class Number>
  Number Integer(std::string_view name) {
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

  // An amount that is never negative.
  int64_t Amount(std::string_view name) {
    const auto amount = Integer<int64_t>(name);
    valid_ = valid_ && amount >= 0;
    return amount;
  }

  std::string Text(std::string_view name) {
    const json::value* value = Find(name);
    if (value == nullptr || !value->is_string()) {
      valid_ = false;
      return {};
    }
    return std::string(value->as_string());
  }

  bool Bool(std::string_view name) {
    const json::value* value = Find(name);
    if (value == nullptr || !value->is_bool()) {
      valid_ = false;
      return false;
    }
    return value->as_bool();
  }

  const json::array& Array(std::string_view name) {
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

json::value Parse(std::string_view text) {
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
  const json::value value = Parse(text);
  Fields fields(value);
  if (fields.Has("end")) {
    const std::string end = fields.Text("end");
    StreamEndEvent event;
    event.end = end == "complete"    ? StreamEnd::kComplete
                : end == "cancelled" ? StreamEnd::kCancelled
                                     : StreamEnd::kFailed;
    if (fields.Has("chunk_count") || event.end == StreamEnd::kComplete) {
      event.chunk_count = fields.Integer<uint32_t>("chunk_count");
    }
    return fields.valid() ? std::optional<StreamEvent>(event) : std::nullopt;
  }
  StreamChunk chunk;
  chunk.index = fields.Integer<uint32_t>("index");
  chunk.tokens = fields.Integer<uint32_t>("tokens");
  chunk.data = fields.Text("data");
  if (!fields.valid()) {
    return std::nullopt;
  }
  return chunk;
}

std::optional<EngineHoldings> ParseEngineHoldings(std::string_view text) {
  const json::value value = Parse(text);
  Fields fields(value);
  EngineHoldings list;
  list.engine = EngineIncarnation(fields.Integer<uint64_t>("engine"));
  for (const json::value& entry : fields.Array("holdings")) {
    Fields holding(entry);
    list.holdings.push_back({StreamId(holding.Text("stream")),
                             Tokens(holding.Amount("memory")),
                             holding.Bool("is_cache")});
    if (!holding.valid()) {
      return std::nullopt;
    }
  }
  return fields.valid() ? std::optional(std::move(list)) : std::nullopt;
}

std::optional<EngineLoad> ParseEngineLoad(std::string_view text) {
  const json::value value = Parse(text);
  Fields fields(value);
  EngineLoad load;
  load.engine = EngineIncarnation(fields.Integer<uint64_t>("engine"));
  load.uptime = Duration(fields.Amount("uptime_us"));
  load.memory_total = Tokens(fields.Amount("memory_total"));
  load.memory_used = Tokens(fields.Amount("memory_used"));
  load.completed = Tokens(fields.Amount("completed"));
  load.prefix_lookups = fields.Integer<uint64_t>("prefix_lookups");
  load.prefix_hits = fields.Integer<uint64_t>("prefix_hits");
  for (const json::value& model : fields.Array("models")) {
    if (!model.is_string()) {
      return std::nullopt;
    }
    load.models.emplace_back(std::string(model.as_string()));
  }
  return fields.valid() ? std::optional(std::move(load)) : std::nullopt;
}

std::optional<std::vector<CacheEvent>> ParseCacheEvents(std::string_view text) {
  const json::value value = Parse(text);
  Fields fields(value);
  std::vector<CacheEvent> events;
  for (const json::value& entry : fields.Array("events")) {
    Fields event(entry);
    events.push_back({event.Integer<uint64_t>("sequence"), event.Bool("added"),
                      event.Integer<uint64_t>("prefix_hash")});
    if (!event.valid()) {
      return std::nullopt;
    }
  }
  return fields.valid() ? std::optional(std::move(events)) : std::nullopt;
}

}  // namespace burdockhatch
