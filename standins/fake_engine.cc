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

constexpr std::string_view kStreams = "/v1/streams";
constexpr std::string_view kKv = "/v1/kv";
constexpr std::string_view kEvents = "/events";
// Readers take a connection without a byte for several of these as lost.
constexpr std::chrono::seconds kCommentInterval{1};
// A step that is later than this is not caught up with.
constexpr std::chrono::milliseconds kMaxCatchUp{200};
constexpr std::chrono::milliseconds kStallPoll{20};
constexpr int kCrashStatus = 3;
constexpr size_t kMaxCacheEvents = 100'000;
constexpr size_t kMaxCacheEventsPerReply = 1'000;

std::set<std::string> KnownFaults() {
  std::set<std::string> known = CommonFaults();
  known.insert({"cold", "restart", "crash", "stall", "slow", "lose_event",
                "duplicate_event", "cut_events", "lose_cache_event",
                "ignore_cancel", "fail_streams", "refuse_ms"});
  return known;
}

std::chrono::steady_clock::duration Milliseconds(double ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

int64_t IntegerOr(const json::object& object,
                  std::string_view name,
                  int64_t missing) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) {
    return missing;
  }
  error_code ec;
  const auto number = value->to_number<int64_t>(ec);
  return ec ? missing : number;
}

std::string TextOr(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

const json::array* ArrayIn(const json::object& object, std::string_view name) {
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

// Returns nullopt when a field that a stream cannot do without is missing.
std::optional<StreamSpec> ParseSpec(const json::object& fields) {
  StreamSpec spec;
  spec.stream = StreamId(TextOr(fields, "stream"));
  spec.model = ModelId(TextOr(fields, "model"));
  spec.prompt_tokens = Tokens(IntegerOr(fields, "prompt_tokens", -1));
  spec.max_output_tokens = Tokens(IntegerOr(fields, "max_output_tokens", -1));
  spec.priority = static_cast<int>(IntegerOr(fields, "priority", 0));
  spec.first_chunk = static_cast<uint32_t>(IntegerOr(fields, "first_chunk", 0));
  spec.imported_tokens = Tokens(IntegerOr(fields, "imported_tokens", 0));
  spec.generated_prefix = TextOr(fields, "generated_prefix");
  spec.prompt = TextOr(fields, "prompt");
  if (const json::array* hashes = ArrayIn(fields, "prefix_hashes")) {
    for (const json::value& hash : *hashes) {
      error_code ec;
      spec.prefix_hashes.push_back(hash.to_number<uint64_t>(ec));
    }
  }
  if (const json::array* caches = ArrayIn(fields, "imported_caches")) {
    for (const json::value& cache : *caches) {
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

// One connection that reads the events of a stream.
struct Reader {
  std::shared_ptr<HttpExchange> exchange;
  size_t position = 0;  // Index into the stream's list of chunks.
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
  void OnStep();
  void PublishCacheEvents();
  void SendChunks(const std::string& id);
  // False when the connection is not to be used any more.
  bool SendTo(const std::string& id, ModelStream& stream, Reader& reader);
  bool SendChunk(const StreamChunk& chunk, HttpExchange& exchange);
  void OnEnded(const std::string& id);
  void SendComments();
  void SampleLoad();
  std::string LoadBody() const;
  void Restart();
  void ResetAfterRestart();
  void OnFaultChange();
  std::string Stats() const;

  asio::io_context& io;
  FakeEngineOptions options;
  Faults faults;
  EngineModel model;
  uint64_t incarnation = 0;
  SteadyTime started_at;
  uint64_t highest_fencing = 0;

  asio::steady_timer step_timer;
  std::optional<ModelStep> step;
  bool stalled = false;
  SteadyTime step_due;

  std::map<std::string, std::vector<Reader>> readers;
  std::set<std::string> retained;  // Ended streams whose retention runs.
  asio::steady_timer comment_timer;
  asio::steady_timer sample_timer;
  std::deque<LoadSample> samples;
  std::deque<PublishedEvent> cache_events;
  // Starts at the incarnation, so that sequences also grow over restarts.
  uint64_t last_cache_event = 0;
  uint64_t lost_events = 0;

  HttpServer server;  // Last: its handlers use the members above.
};

FakeEngine::Impl::Impl(asio::io_context& context, FakeEngineOptions o)
    : io(context),
      options(std::move(o)),
      faults(options.seed, KnownFaults()),
      model(options),
      incarnation(std::chrono::duration_cast<std::chrono::microseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()),
      started_at(std::chrono::steady_clock::now()),
      step_timer(context),
      comment_timer(context),
      sample_timer(context),
      last_cache_event(incarnation),
      server(
          context,
          {.listen = options.listen},
          faults,
          [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            Handle(std::move(request), std::move(exchange));
          }) {
  server.SetFaultListener([this] { OnFaultChange(); });
  SendComments();
  SampleLoad();
}

void FakeEngine::Impl::Handle(HttpRequest request,
                              std::shared_ptr<HttpExchange> exchange) {
  const std::string_view path = request.path;
  if (path == "/stats") {
    exchange->Reply({.body = Stats()});
  } else if (path.starts_with(kStreams)) {
    HandleStreams(request, std::move(exchange));
  } else if (path.starts_with(kKv)) {
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
      std::string_view(request.path).substr(kStreams.size());
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
  if (request.method == "GET" && rest.ends_with(kEvents)) {
    rest.remove_suffix(kEvents.size());
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
    spec = ParseSpec(*fields);
  }
  if (!spec) {
    ReplyError(exchange, 400, "invalid_stream");
    return;
  }
  model.FailNextStreams(faults.Flag("fail_streams"));
  switch (model.Start(std::move(*spec))) {
    case ModelStart::kStarted:
      exchange.Reply({.status = 201, .body = "{}"});
      ScheduleStep();
      return;
    case ModelStart::kExists:
      exchange.Reply({.status = 200, .body = "{}"});
      return;
    case ModelStart::kWrongModel:
      ReplyError(exchange, 409, "wrong_model");
      return;
    case ModelStart::kOutOfMemory:
      ReplyError(exchange, 507, "out_of_memory");
      return;
    case ModelStart::kOverloaded:
      // A process that crashes answers nobody.
      exchange.Close();
      ResetAfterRestart();
      return;
  }
}

void FakeEngine::Impl::ListHoldings(HttpExchange& exchange) {
  json::array holdings;
  for (const auto& [id, stream] : model.streams()) {
    if (stream.memory > 0) {
      holdings.push_back(
          json::object{{"stream", id},
                       {"memory", stream.memory},
                       {"is_cache", false},
                       {"running", stream.phase != Phase::kEnded}});
    }
  }
  for (const auto& [id, memory] : model.caches()) {
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
  if (!faults.Flag("ignore_cancel")) {
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
  // At once, so that the reader knows that the stream exists.
  exchange->SendComment();
  Reader reader{std::move(exchange), from > first ? from - first : 0};
  readers[id].push_back(std::move(reader));
  SendChunks(id);
}

void FakeEngine::Impl::HandleKv(const HttpRequest& request,
                                HttpExchange& exchange) {
  std::string_view id = std::string_view(request.path).substr(kKv.size());
  if (id.empty() && request.method == "GET") {
    json::array caches;
    for (const auto& [name, memory] : model.caches()) {
      caches.push_back(json::object{{"stream", name}, {"memory", memory}});
    }
    exchange.Reply({.body = json::serialize(json::object{
                        {"engine", incarnation}, {"caches", caches}})});
    return;
  }
  if (id.size() < 2 || id.front() != '/') {
    ReplyError(exchange, 404, "no_such_path");
    return;
  }
  const std::string name(id.substr(1));
  if (request.method == "DELETE") {
    if (model.DropCache(name)) {
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
  if (!model.PutCache(name, memory)) {
    ReplyError(exchange, 507, "out_of_memory");
    return;
  }
  exchange.Reply({.status = 201, .body = "{}"});
}

void FakeEngine::Impl::PostOrder(const HttpRequest& request,
                                 std::shared_ptr<HttpExchange> exchange) {
  const std::optional<json::object> fields = ParseObject(request.body);
  if (!fields || TextOr(*fields, "order") != "load_model" ||
      TextOr(*fields, "model").empty()) {
    ReplyError(*exchange, 400, "invalid_order");
    return;
  }
  const auto fencing = static_cast<uint64_t>(IntegerOr(*fields, "fencing", 0));
  if (options.honours_fencing && fencing < highest_fencing) {
    ++model.stats.refused_fencing;
    ReplyError(*exchange, 409, "stale_fencing");
    return;
  }
  highest_fencing = std::max(highest_fencing, fencing);
  LoadModel(TextOr(*fields, "model"), std::move(exchange));
}

// Answers once the model is loaded. An order for the loaded model has no
// effect.
void FakeEngine::Impl::LoadModel(const std::string& name,
                                 std::shared_ptr<HttpExchange> exchange) {
  if (name == model.model()) {
    exchange->Reply({.body = "{}"});
    return;
  }
  const auto delay =
      Milliseconds(static_cast<double>(options.load_ms) / options.time_scale);
  auto timer = std::make_shared<asio::steady_timer>(io, delay);
  const uint64_t ordered_in = incarnation;
  timer->async_wait([this, timer, name, ordered_in,
                     exchange = std::move(exchange)](error_code ec) {
    if (ec || ordered_in != incarnation) {
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
  while (samples.size() > 1 && samples[1].at <= limit) {
    samples.pop_front();
  }
  if (options.report_lag_ms == 0) {
    exchange.Reply({.body = LoadBody()});
    return;
  }
  exchange.Reply({.body = samples.front().body});
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

// Starts the timer of the next step unless one runs.
void FakeEngine::Impl::ScheduleStep() {
  if (step || stalled) {
    return;
  }
  const SteadyTime now = std::chrono::steady_clock::now();
  if (faults.Flag("stall")) {
    stalled = true;
    step_timer.expires_after(kStallPoll);
    step_timer.async_wait([this](error_code ec) {
      if (!ec) {
        stalled = false;
        ScheduleStep();
      }
    });
    return;
  }
  ModelStep next = model.NextStep();
  if (next.prefill.empty() && next.generate.empty()) {
    return;
  }
  const double slow = std::max(faults.Number("slow"), 1.0);
  const auto length =
      Milliseconds(next.milliseconds * slow / options.time_scale);
  // A late timer does not slow the engine down, within bounds.
  if (step_due + kMaxCatchUp < now || step_due > now) {
    step_due = now;
  }
  step_due += length;
  step = std::move(next);
  step_timer.expires_at(step_due);
  step_timer.async_wait([this](error_code ec) {
    if (!ec) {
      OnStep();
    }
  });
}

void FakeEngine::Impl::OnStep() {
  if (!step) {
    return;
  }
  const ModelStep done = std::move(*step);
  step.reset();
  const std::vector<std::string> changed = model.Apply(done);
  PublishCacheEvents();
  for (const std::string& id : changed) {
    SendChunks(id);
  }
  ScheduleStep();
  if (!step) {
    step_due = SteadyTime();
  }
}

void FakeEngine::Impl::PublishCacheEvents() {
  const SteadyTime visible_at = std::chrono::steady_clock::now() +
                                std::chrono::milliseconds(options.event_lag_ms);
  for (CacheEvent event : model.TakeCacheEvents()) {
    event.sequence = ++last_cache_event;
    if (!faults.Chance("lose_cache_event")) {
      cache_events.push_back({visible_at, event});
    }
  }
  while (cache_events.size() > kMaxCacheEvents) {
    cache_events.pop_front();
  }
}

// Sends every reader of a stream what it has not got yet.
void FakeEngine::Impl::SendChunks(const std::string& id) {
  auto stream = model.streams().find(id);
  if (stream == model.streams().end()) {
    return;
  }
  if (auto it = readers.find(id); it != readers.end()) {
    std::erase_if(it->second, [&](Reader& reader) {
      return !SendTo(id, stream->second, reader);
    });
    if (it->second.empty()) {
      readers.erase(it);
    }
  }
  if (stream->second.phase == Phase::kEnded) {
    OnEnded(id);
  }
}

bool FakeEngine::Impl::SendTo(const std::string& id,
                              ModelStream& stream,
                              Reader& reader) {
  while (reader.position < stream.chunks.size()) {
    if (!reader.exchange->IsOpen() ||
        !SendChunk(stream.chunks[reader.position], *reader.exchange)) {
      return false;
    }
    ++reader.position;
  }
  if (stream.phase != Phase::kEnded) {
    return reader.exchange->IsOpen();
  }
  json::object end{{"end", stream.end}, {"chunk_count", stream.next_chunk}};
  reader.exchange->SendEvent(json::serialize(end));
  reader.exchange->EndEvents([this, id] { model.MarkRead(id); });
  return false;
}

// False when the connection was closed by a fault.
bool FakeEngine::Impl::SendChunk(const StreamChunk& chunk,
                                 HttpExchange& exchange) {
  if (faults.Chance("cut_events")) {
    exchange.Close();
    return false;
  }
  if (faults.Chance("lose_event")) {
    ++lost_events;
    return true;
  }
  const std::string text = json::serialize(json::object{
      {"index", chunk.index}, {"tokens", chunk.tokens}, {"data", chunk.data}});
  exchange.SendEvent(text);
  if (faults.Chance("duplicate_event")) {
    exchange.SendEvent(text);
  }
  return true;
}

// Forgets a stream when its retention has passed.
void FakeEngine::Impl::OnEnded(const std::string& id) {
  if (!retained.insert(id).second) {
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(
      io, std::chrono::milliseconds(options.retention_ms));
  timer->async_wait([this, timer, id, ended_in = incarnation](error_code ec) {
    if (ec || ended_in != incarnation) {
      return;
    }
    model.Erase(id);
    retained.erase(id);
  });
}

void FakeEngine::Impl::SendComments() {
  for (auto& [id, list] : readers) {
    for (Reader& reader : list) {
      reader.exchange->SendComment();
    }
  }
  comment_timer.expires_after(kCommentInterval);
  comment_timer.async_wait([this](error_code ec) {
    if (!ec) {
      SendComments();
    }
  });
}

void FakeEngine::Impl::SampleLoad() {
  samples.push_back({std::chrono::steady_clock::now(), LoadBody()});
  const uint64_t interval =
      std::clamp<uint64_t>(options.report_lag_ms / 4, 10, 1'000);
  // Bounds the list when nobody reads the load.
  while (samples.size() > options.report_lag_ms / interval + 3) {
    samples.pop_front();
  }
  sample_timer.expires_after(std::chrono::milliseconds(interval));
  sample_timer.async_wait([this](error_code ec) {
    if (!ec) {
      SampleLoad();
    }
  });
}

std::string FakeEngine::Impl::LoadBody() const {
  const auto uptime = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - started_at);
  return json::serialize(
      json::object{{"engine", incarnation},
                   {"uptime_us", uptime.count()},
                   {"memory_total", options.memory_tokens},
                   {"memory_used", model.MemoryUsed()},
                   {"completed", model.completed_tokens()},
                   {"prefix_lookups", model.prefix_lookups()},
                   {"prefix_hits", model.prefix_hits()},
                   {"running", model.running()},
                   {"waiting", model.waiting()},
                   {"models", json::array{model.model()}}});
}

void FakeEngine::Impl::Restart() {
  model.Restart();
  ResetAfterRestart();
}

// The rest of the engine's state goes with the streams.
void FakeEngine::Impl::ResetAfterRestart() {
  ++incarnation;
  started_at = std::chrono::steady_clock::now();
  step.reset();
  stalled = false;
  step_timer.cancel();
  readers.clear();
  retained.clear();
  cache_events.clear();
  last_cache_event = std::max(last_cache_event, incarnation);
  highest_fencing = 0;
  samples.clear();
  samples.push_back({started_at, LoadBody()});
}

void FakeEngine::Impl::OnFaultChange() {
  if (faults.Flag("crash")) {
    std::_Exit(kCrashStatus);
  }
  if (faults.Flag("restart")) {
    faults.Clear("restart");
    Restart();
  }
  if (faults.Flag("cold")) {
    faults.Clear("cold");
    model.TurnCold();
    PublishCacheEvents();
  }
  if (const double refuse_ms = faults.Number("refuse_ms"); refuse_ms > 0) {
    faults.Clear("refuse_ms");
    server.RefuseConnections(static_cast<uint64_t>(refuse_ms));
  }
  model.FailNextStreams(faults.Flag("fail_streams"));
  if (faults.Flag("down")) {
    readers.clear();
  }
}

std::string FakeEngine::Impl::Stats() const {
  const ModelStats& s = model.stats;
  return json::serialize(
      json::object{{"engine", incarnation},
                   {"model", model.model()},
                   {"cold", model.IsCold()},
                   {"in_flight", model.InFlight()},
                   {"memory_used", model.MemoryUsed()},
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
