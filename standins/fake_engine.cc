#include "standins/fake_engine.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "standins/engine_model.h"
#include "standins/faults.h"
#include "standins/http_server.h"

namespace burdockhatch::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using SteadyTime = std::chrono::steady_clock::time_point;
using boost::system::error_code;

namespace {

constexpr std::string_view kStreamsPath = "/v1/streams";
constexpr std::string_view kKvPath = "/v1/kv";
constexpr std::string_view kEventsSuffix = "/events";
// Readers consider a connection lost when it carries no byte for several of
// these intervals.
constexpr std::chrono::seconds kKeepAliveInterval{1};
// The schedule of steps restarts when a step is later than this.
constexpr std::chrono::milliseconds kMaxStepDelay{200};
constexpr std::chrono::milliseconds kStallPollInterval{20};
constexpr int kCrashExitStatus = 3;
constexpr size_t kMaxCacheEvents = 100'000;
constexpr size_t kMaxCacheEventsPerReply = 1'000;

std::set<std::string> KnownFaultNames() {
  std::set<std::string> known = CommonFaultNames();
  known.insert({"cold", "restart", "crash", "poison", "stall", "slow",
                "lose_event", "duplicate_event", "cut_events",
                "lose_cache_event", "ignore_cancel", "fail_streams",
                "refuse_ms"});
  return known;
}

std::chrono::steady_clock::duration ToSteadyDuration(double ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

int64_t IntegerOr(const json::object& object,
                  std::string_view name,
                  int64_t default_value) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) {
    return default_value;
  }
  error_code ec;
  const auto number = value->to_number<int64_t>(ec);
  return ec ? default_value : number;
}

std::string StringOrEmpty(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

const json::array* FindArray(const json::object& object,
                             std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_array() ? &value->as_array() : nullptr;
}

std::optional<json::object> ParseObject(const std::string& text) {
  error_code ec;
  json::value parsed = json::parse(text, ec);
  if (ec || !parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.as_object());
}

// Returns nullopt when a required field is missing.
std::optional<StreamSpec> ParseStreamSpec(const json::object& fields) {
  StreamSpec spec;
  spec.stream = StreamId(StringOrEmpty(fields, "stream"));
  spec.model = ModelId(StringOrEmpty(fields, "model"));
  spec.prompt_tokens = Tokens(IntegerOr(fields, "prompt_tokens", -1));
  spec.max_output_tokens = Tokens(IntegerOr(fields, "max_output_tokens", -1));
  spec.priority = static_cast<int>(IntegerOr(fields, "priority", 0));
  spec.first_chunk = static_cast<uint32_t>(IntegerOr(fields, "first_chunk", 0));
  spec.imported_tokens = Tokens(IntegerOr(fields, "imported_tokens", 0));
  spec.generated_prefix = StringOrEmpty(fields, "generated_prefix");
  spec.prompt = StringOrEmpty(fields, "prompt");
  if (const json::array* hashes = FindArray(fields, "prefix_hashes")) {
    for (const json::value& hash : *hashes) {
      error_code ec;
      spec.prefix_hashes.push_back(hash.to_number<uint64_t>(ec));
    }
  }
  if (const json::array* imported_caches =
          FindArray(fields, "imported_caches")) {
    for (const json::value& cache : *imported_caches) {
      if (cache.is_string()) {
        spec.imported_caches.emplace_back(std::string(cache.as_string()));
      }
    }
  }
  if (spec.stream.empty() || spec.prompt_tokens < Tokens(0) ||
      spec.max_output_tokens < Tokens(0)) {
    return std::nullopt;
  }
  return spec;
}

// A connection that reads the events of a stream.
struct StreamReader {
  std::shared_ptr<HttpExchange> exchange;
  size_t next_chunk_position = 0;  // Index into ModelStream::chunks.
};

struct LoadSample {
  SteadyTime at;
  std::string body;
};

struct PublishedEvent {
  SteadyTime visible_at;
  CacheEvent event;
};

}  // namespace

struct FakeEngine::Impl {
  Impl(asio::io_context& context, FakeEngineOptions o);

  void Handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange);
  void HandleStreams(const HttpRequest& request,
                     std::shared_ptr<HttpExchange> exchange);
  void PostStream(const HttpRequest& request, HttpExchange& exchange);
  void ListHoldings(HttpExchange& exchange);
  void DeleteStream(const std::string& id, HttpExchange& exchange);
  void ReadEvents(const HttpRequest& request,
                  const std::string& id,
                  std::shared_ptr<HttpExchange> exchange);
  void HandleKv(const HttpRequest& request, HttpExchange& exchange);
  void PostOrder(const HttpRequest& request,
                 std::shared_ptr<HttpExchange> exchange);
  void LoadModel(const std::string& model,
                 std::shared_ptr<HttpExchange> exchange);
  void GetLoad(HttpExchange& exchange);
  void GetCacheEvents(const HttpRequest& request, HttpExchange& exchange);

  void ScheduleStep();
  // Ids of streams whose prompt contains the word "poison".
  std::set<std::string> poisoned_streams;
  void OnStep();
  void PublishCacheEvents();
  void SendChunks(const std::string& id);
  // Returns false when the connection is closed or the stream has ended.
  bool SendPendingChunks(const std::string& id,
                         ModelStream& stream,
                         StreamReader& reader);
  bool SendChunk(const StreamChunk& chunk, HttpExchange& exchange);
  void ScheduleStreamRemoval(const std::string& id);
  void SendKeepAliveComments();
  void SampleLoad();
  std::string LoadJson() const;
  void Restart();
  void ResetAfterRestart();
  void OnFaultChange();
  std::string StatsJson() const;

  asio::io_context& io;
  FakeEngineOptions options;
  Faults faults;
  EngineModel model;
  uint64_t incarnation = 0;
  SteadyTime started_at;
  uint64_t highest_fencing_token = 0;

  asio::steady_timer step_timer;
  std::optional<EngineStep> current_step;
  bool stalled = false;
  SteadyTime current_step_end;

  std::map<std::string, std::vector<StreamReader>> readers;
  std::set<std::string>
      retained_streams;  // Ended streams within their retention.
  asio::steady_timer comment_timer;
  asio::steady_timer load_sample_timer;
  std::deque<LoadSample> load_samples;
  std::deque<PublishedEvent> cache_events;
  // Starts at the incarnation, so that sequence numbers grow across restarts.
  uint64_t last_cache_event_sequence = 0;
  uint64_t lost_events = 0;

  HttpServer server;  // Declared last: its handlers use the other members.
};

FakeEngine::Impl::Impl(asio::io_context& context, FakeEngineOptions o)
    : io(context),
      options(std::move(o)),
      faults(options.seed, KnownFaultNames()),
      model(options),
      incarnation(std::chrono::duration_cast<std::chrono::microseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()),
      started_at(std::chrono::steady_clock::now()),
      step_timer(context),
      comment_timer(context),
      load_sample_timer(context),
      last_cache_event_sequence(incarnation),
      server(
          context,
          {.listen = options.listen},
          faults,
          [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            Handle(std::move(request), std::move(exchange));
          }) {
  server.SetFaultListener([this] { OnFaultChange(); });
  SendKeepAliveComments();
  SampleLoad();
}

void FakeEngine::Impl::Handle(HttpRequest request,
                              std::shared_ptr<HttpExchange> exchange) {
  const std::string_view path = request.path;
  if (path == "/stats") {
    exchange->Reply({.body = StatsJson()});
  } else if (path.starts_with(kStreamsPath)) {
    HandleStreams(request, std::move(exchange));
  } else if (path.starts_with(kKvPath)) {
    HandleKv(request, *exchange);
  } else if (path == "/v1/load" && request.method == "GET") {
    GetLoad(*exchange);
  } else if (path == "/v1/cache_events" && request.method == "GET") {
    GetCacheEvents(request, *exchange);
  } else if (path == "/v1/orders" && request.method == "POST") {
    PostOrder(request, std::move(exchange));
  } else {
    ReplyError(*exchange, 404, "no_such_path");
  }
}

void FakeEngine::Impl::HandleStreams(const HttpRequest& request,
                                     std::shared_ptr<HttpExchange> exchange) {
  std::string_view rest =
      std::string_view(request.path).substr(kStreamsPath.size());
  if (rest.empty() && request.method == "POST") {
    PostStream(request, *exchange);
    return;
  }
  if (rest.empty() && request.method == "GET") {
    ListHoldings(*exchange);
    return;
  }
  if (rest.size() < 2 || rest.front() != '/') {
    ReplyError(*exchange, 404, "no_such_path");
    return;
  }
  rest.remove_prefix(1);
  if (request.method == "DELETE") {
    DeleteStream(std::string(rest), *exchange);
    return;
  }
  if (request.method == "GET" && rest.ends_with(kEventsSuffix)) {
    rest.remove_suffix(kEventsSuffix.size());
    ReadEvents(request, std::string(rest), std::move(exchange));
    return;
  }
  ReplyError(*exchange, 404, "no_such_path");
}

void FakeEngine::Impl::PostStream(const HttpRequest& request,
                                  HttpExchange& exchange) {
  std::optional<json::object> fields = ParseObject(request.body);
  std::optional<StreamSpec> spec;
  if (fields) {
    spec = ParseStreamSpec(*fields);
  }
  if (!spec) {
    ReplyError(exchange, 400, "invalid_stream");
    return;
  }
  model.SetFailStreams(faults.IsActive("fail_streams"));
  // The model does not keep prompts.
  if (spec->prompt.find("poison") != std::string::npos) {
    poisoned_streams.insert(spec->stream.value());
  }
  switch (model.Start(std::move(*spec))) {
    case StartResult::kStarted:
      exchange.Reply({.status = 201, .body = "{}"});
      ScheduleStep();
      return;
    case StartResult::kAlreadyExists:
      exchange.Reply({.status = 200, .body = "{}"});
      return;
    case StartResult::kWrongModel:
      ReplyError(exchange, 409, "wrong_model");
      return;
    case StartResult::kOutOfMemory:
      ReplyError(exchange, 507, "out_of_memory");
      return;
    case StartResult::kOverloaded:
      // An engine that crashes sends no answer.
      exchange.Close();
      ResetAfterRestart();
      return;
  }
}

void FakeEngine::Impl::ListHoldings(HttpExchange& exchange) {
  json::array holdings;
  for (const auto& [id, stream] : model.streams()) {
    if (stream.memory_tokens > 0) {
      holdings.push_back(
          json::object{{"stream", id},
                       {"memory", stream.memory_tokens},
                       {"is_cache", false},
                       {"running", stream.phase != StreamPhase::kEnded}});
    }
  }
  for (const auto& [id, memory] : model.imported_caches()) {
    holdings.push_back(json::object{{"stream", id},
                                    {"memory", memory},
                                    {"is_cache", true},
                                    {"running", false}});
  }
  exchange.Reply({.body = json::serialize(json::object{
                      {"engine", incarnation}, {"holdings", holdings}})});
}

void FakeEngine::Impl::DeleteStream(const std::string& id,
                                    HttpExchange& exchange) {
  if (!model.streams().contains(id)) {
    ReplyError(exchange, 404, "not_found");
    return;
  }
  if (!faults.IsActive("ignore_cancel")) {
    model.Cancel(id);
    SendChunks(id);
  }
  exchange.Reply({.status = 204});
}

void FakeEngine::Impl::ReadEvents(const HttpRequest& request,
                                  const std::string& id,
                                  std::shared_ptr<HttpExchange> exchange) {
  auto it = model.streams().find(id);
  if (it == model.streams().end()) {
    ReplyError(*exchange, 404, "not_found");
    return;
  }
  const uint64_t from = request.QueryNumber("from", 0);
  const uint32_t first = it->second.spec.first_chunk;
  exchange->BeginEvents();
  // The comment is sent at once, so that the reader knows that the stream
  // exists.
  exchange->SendComment();
  StreamReader reader{std::move(exchange), from > first ? from - first : 0};
  readers[id].push_back(std::move(reader));
  SendChunks(id);
}

void FakeEngine::Impl::HandleKv(const HttpRequest& request,
                                HttpExchange& exchange) {
  std::string_view id = std::string_view(request.path).substr(kKvPath.size());
  if (id.empty() && request.method == "GET") {
    json::array imported_caches;
    for (const auto& [name, memory] : model.imported_caches()) {
      imported_caches.push_back(
          json::object{{"stream", name}, {"memory", memory}});
    }
    exchange.Reply(
        {.body = json::serialize(json::object{{"engine", incarnation},
                                              {"caches", imported_caches}})});
    return;
  }
  if (id.size() < 2 || id.front() != '/') {
    ReplyError(exchange, 404, "no_such_path");
    return;
  }
  const std::string name(id.substr(1));
  if (request.method == "DELETE") {
    if (model.DropImportedCache(name)) {
      exchange.Reply({.status = 204});
    } else {
      ReplyError(exchange, 404, "not_found");
    }
    return;
  }
  const std::optional<json::object> fields = ParseObject(request.body);
  const int64_t memory = fields ? IntegerOr(*fields, "memory", -1) : -1;
  if (request.method != "PUT" || memory < 0) {
    ReplyError(exchange, 400, "invalid_cache");
    return;
  }
  if (!model.PutImportedCache(name, memory)) {
    ReplyError(exchange, 507, "out_of_memory");
    return;
  }
  exchange.Reply({.status = 201, .body = "{}"});
}

void FakeEngine::Impl::PostOrder(const HttpRequest& request,
                                 std::shared_ptr<HttpExchange> exchange) {
  const std::optional<json::object> fields = ParseObject(request.body);
  if (!fields || StringOrEmpty(*fields, "order") != "load_model" ||
      StringOrEmpty(*fields, "model").empty()) {
    ReplyError(*exchange, 400, "invalid_order");
    return;
  }
  const auto fencing = static_cast<uint64_t>(IntegerOr(*fields, "fencing", 0));
  if (options.honours_fencing && fencing < highest_fencing_token) {
    ++model.stats.refused_fencing;
    ReplyError(*exchange, 409, "stale_fencing");
    return;
  }
  highest_fencing_token = std::max(highest_fencing_token, fencing);
  LoadModel(StringOrEmpty(*fields, "model"), std::move(exchange));
}

// Answers once the model is loaded. An order for the model that is already
// loaded has no effect.
void FakeEngine::Impl::LoadModel(const std::string& name,
                                 std::shared_ptr<HttpExchange> exchange) {
  if (name == model.model()) {
    exchange->Reply({.body = "{}"});
    return;
  }
  const auto delay = ToSteadyDuration(static_cast<double>(options.load_ms) /
                                      options.time_scale);
  auto timer = std::make_shared<asio::steady_timer>(io, delay);
  const uint64_t incarnation_at_order = incarnation;
  timer->async_wait([this, timer, name, incarnation_at_order,
                     exchange = std::move(exchange)](error_code ec) {
    if (ec || incarnation_at_order != incarnation) {
      exchange->Close();
      return;
    }
    ++model.stats.orders;
    model.ReplaceModel(name);
    exchange->Reply({.body = "{}"});
  });
}

void FakeEngine::Impl::GetLoad(HttpExchange& exchange) {
  const SteadyTime limit = std::chrono::steady_clock::now() -
                           std::chrono::milliseconds(options.report_lag_ms);
  while (load_samples.size() > 1 && load_samples[1].at <= limit) {
    load_samples.pop_front();
  }
  if (options.report_lag_ms == 0) {
    exchange.Reply({.body = LoadJson()});
    return;
  }
  exchange.Reply({.body = load_samples.front().body});
}

void FakeEngine::Impl::GetCacheEvents(const HttpRequest& request,
                                      HttpExchange& exchange) {
  const uint64_t from = request.QueryNumber("from", 0);
  const SteadyTime now = std::chrono::steady_clock::now();
  json::array events;
  for (const PublishedEvent& published : cache_events) {
    if (published.visible_at > now ||
        events.size() == kMaxCacheEventsPerReply) {
      break;
    }
    if (published.event.sequence > from) {
      events.push_back(
          json::object{{"sequence", published.event.sequence},
                       {"added", published.event.added},
                       {"prefix_hash", published.event.prefix_hash}});
    }
  }
  exchange.Reply({.body = json::serialize(json::object{{"engine", incarnation},
                                                       {"events", events}})});
}

// Starts the timer of the next step unless a step is already scheduled.
void FakeEngine::Impl::ScheduleStep() {
  if (current_step || stalled) {
    return;
  }
  const SteadyTime now = std::chrono::steady_clock::now();
  if (faults.IsActive("stall")) {
    stalled = true;
    step_timer.expires_after(kStallPollInterval);
    step_timer.async_wait([this](error_code ec) {
      if (!ec) {
        stalled = false;
        ScheduleStep();
      }
    });
    return;
  }
  EngineStep next = model.NextStep();
  if (next.prefill_tokens.empty() && next.generating_streams.empty()) {
    return;
  }
  const double slow = std::max(faults.Number("slow"), 1.0);
  const auto length =
      ToSteadyDuration(next.duration_ms * slow / options.time_scale);
  // The next step starts when the previous one was due, so that a late timer
  // does not slow the engine down, up to kMaxStepDelay.
  if (current_step_end + kMaxStepDelay < now || current_step_end > now) {
    current_step_end = now;
  }
  current_step_end += length;
  current_step = std::move(next);
  step_timer.expires_at(current_step_end);
  step_timer.async_wait([this](error_code ec) {
    if (!ec) {
      OnStep();
    }
  });
}

void FakeEngine::Impl::OnStep() {
  if (!current_step) {
    return;
  }
  const EngineStep done = std::move(*current_step);
  current_step.reset();
  const std::vector<std::string> changed = model.ApplyStep(done);
  const bool is_poisoned = std::any_of(
      changed.begin(), changed.end(),
      [this](const auto& id) { return poisoned_streams.contains(id); });
  if (faults.IsActive("poison") && is_poisoned) {
    Restart();
    return;
  }
  PublishCacheEvents();
  for (const std::string& id : changed) {
    SendChunks(id);
  }
  ScheduleStep();
  if (!current_step) {
    current_step_end = SteadyTime();
  }
}

void FakeEngine::Impl::PublishCacheEvents() {
  const SteadyTime visible_at = std::chrono::steady_clock::now() +
                                std::chrono::milliseconds(options.event_lag_ms);
  for (CacheEvent event : model.TakeCacheEvents()) {
    event.sequence = ++last_cache_event_sequence;
    if (!faults.ShouldInject("lose_cache_event")) {
      cache_events.push_back({visible_at, event});
    }
  }
  while (cache_events.size() > kMaxCacheEvents) {
    cache_events.pop_front();
  }
}

// Sends every reader of a stream the chunks that it has not received yet.
void FakeEngine::Impl::SendChunks(const std::string& id) {
  auto stream = model.streams().find(id);
  if (stream == model.streams().end()) {
    return;
  }
  if (auto it = readers.find(id); it != readers.end()) {
    std::erase_if(it->second, [&](StreamReader& reader) {
      return !SendPendingChunks(id, stream->second, reader);
    });
    if (it->second.empty()) {
      readers.erase(it);
    }
  }
  if (stream->second.phase == StreamPhase::kEnded) {
    ScheduleStreamRemoval(id);
  }
}

bool FakeEngine::Impl::SendPendingChunks(const std::string& id,
                                         ModelStream& stream,
                                         StreamReader& reader) {
  while (reader.next_chunk_position < stream.chunks.size()) {
    if (!reader.exchange->IsOpen() ||
        !SendChunk(stream.chunks[reader.next_chunk_position],
                   *reader.exchange)) {
      return false;
    }
    ++reader.next_chunk_position;
  }
  if (stream.phase != StreamPhase::kEnded) {
    return reader.exchange->IsOpen();
  }
  json::object end{{"end", stream.end_reason},
                   {"chunk_count", stream.next_chunk}};
  reader.exchange->SendEvent(json::serialize(end));
  reader.exchange->EndEvents([this, id] { model.MarkAnswerRead(id); });
  return false;
}

// Returns false when a fault closed the connection.
bool FakeEngine::Impl::SendChunk(const StreamChunk& chunk,
                                 HttpExchange& exchange) {
  if (faults.ShouldInject("cut_events")) {
    exchange.Close();
    return false;
  }
  if (faults.ShouldInject("lose_event")) {
    ++lost_events;
    return true;
  }
  const std::string text = json::serialize(json::object{
      {"index", chunk.index}, {"tokens", chunk.tokens}, {"data", chunk.data}});
  exchange.SendEvent(text);
  if (faults.ShouldInject("duplicate_event")) {
    exchange.SendEvent(text);
  }
  return true;
}

// Removes an ended stream once its retention has passed.
void FakeEngine::Impl::ScheduleStreamRemoval(const std::string& id) {
  if (!retained_streams.insert(id).second) {
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(
      io, std::chrono::milliseconds(options.retention_ms));
  timer->async_wait(
      [this, timer, id, incarnation_at_end = incarnation](error_code ec) {
        if (ec || incarnation_at_end != incarnation) {
          return;
        }
        model.EraseStream(id);
        retained_streams.erase(id);
      });
}

void FakeEngine::Impl::SendKeepAliveComments() {
  for (auto& [id, list] : readers) {
    for (StreamReader& reader : list) {
      reader.exchange->SendComment();
    }
  }
  comment_timer.expires_after(kKeepAliveInterval);
  comment_timer.async_wait([this](error_code ec) {
    if (!ec) {
      SendKeepAliveComments();
    }
  });
}

void FakeEngine::Impl::SampleLoad() {
  load_samples.push_back({std::chrono::steady_clock::now(), LoadJson()});
  const uint64_t interval =
      std::clamp<uint64_t>(options.report_lag_ms / 4, 10, 1'000);
  // Keeps the list bounded when nobody reads the load.
  while (load_samples.size() > options.report_lag_ms / interval + 3) {
    load_samples.pop_front();
  }
  load_sample_timer.expires_after(std::chrono::milliseconds(interval));
  load_sample_timer.async_wait([this](error_code ec) {
    if (!ec) {
      SampleLoad();
    }
  });
}

std::string FakeEngine::Impl::LoadJson() const {
  const auto uptime = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - started_at);
  return json::serialize(
      json::object{{"engine", incarnation},
                   {"uptime_us", uptime.count()},
                   {"memory_total", options.memory_tokens},
                   {"memory_used", model.MemoryUsedTokens()},
                   {"completed", model.completed_tokens()},
                   {"prefix_lookups", model.prefix_lookups()},
                   {"prefix_hits", model.prefix_hits()},
                   {"running", model.running_count()},
                   {"waiting", model.waiting_count()},
                   {"models", json::array{model.model()}}});
}

void FakeEngine::Impl::Restart() {
  model.Restart();
  ResetAfterRestart();
}

// Resets the state that is kept outside the model.
void FakeEngine::Impl::ResetAfterRestart() {
  ++incarnation;
  started_at = std::chrono::steady_clock::now();
  current_step.reset();
  stalled = false;
  step_timer.cancel();
  readers.clear();
  poisoned_streams.clear();
  retained_streams.clear();
  cache_events.clear();
  last_cache_event_sequence = std::max(last_cache_event_sequence, incarnation);
  highest_fencing_token = 0;
  load_samples.clear();
  load_samples.push_back({started_at, LoadJson()});
}

void FakeEngine::Impl::OnFaultChange() {
  if (faults.IsActive("crash")) {
    std::_Exit(kCrashExitStatus);
  }
  if (faults.IsActive("restart")) {
    faults.Clear("restart");
    Restart();
  }
  if (faults.IsActive("cold")) {
    faults.Clear("cold");
    model.TurnCold();
    PublishCacheEvents();
  }
  if (const double refuse_ms = faults.Number("refuse_ms"); refuse_ms > 0) {
    faults.Clear("refuse_ms");
    server.RefuseConnections(static_cast<uint64_t>(refuse_ms));
  }
  model.SetFailStreams(faults.IsActive("fail_streams"));
  if (faults.IsActive("down")) {
    readers.clear();
  }
}

std::string FakeEngine::Impl::StatsJson() const {
  const ModelStats& s = model.stats;
  return json::serialize(
      json::object{{"engine", incarnation},
                   {"model", model.model()},
                   {"cold", model.IsCold()},
                   {"in_flight", model.InFlightTokens()},
                   {"memory_used", model.MemoryUsedTokens()},
                   {"prefix_cache_tokens", model.PrefixCacheTokens()},
                   {"completed_tokens", model.completed_tokens()},
                   {"prefix_lookups", model.prefix_lookups()},
                   {"prefix_hits", model.prefix_hits()},
                   {"started", s.started},
                   {"duplicate_starts", s.duplicate_starts},
                   {"completed", s.completed},
                   {"cancelled", s.cancelled},
                   {"failed", s.failed},
                   {"refused_memory", s.refused_memory},
                   {"refused_model", s.refused_model},
                   {"refused_fencing", s.refused_fencing},
                   {"restarts", s.restarts},
                   {"overloads", s.overloads},
                   {"streams_lost", s.streams_lost},
                   {"orders", s.orders},
                   {"lost_events", lost_events},
                   {"peak_in_flight", s.peak_in_flight},
                   {"peak_cold_in_flight", s.peak_cold_in_flight},
                   {"peak_memory", s.peak_memory},
                   {"peak_batch", s.peak_batch}});
}

FakeEngine::FakeEngine(asio::io_context& io, FakeEngineOptions options)
    : impl_(std::make_unique<Impl>(io, std::move(options))) {}

FakeEngine::~FakeEngine() = default;

std::string FakeEngine::address() const {
  return impl_->server.address();
}

}  // namespace burdockhatch::standins
