#include "standins/fake_object_api.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "src/object_api.h"
#include "standins/faults.h"
#include "standins/http_server.h"

namespace burdockhatch::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::string_view kWatchPath = "/watch/";
constexpr std::string_view kInstancesPath = "/instances";
// Largest burst, as the calls that the rate limit allows in this time.
constexpr double kBurstSeconds = 0.25;
constexpr uint64_t kDefaultWaitMs = 30'000;
constexpr uint64_t kMaxWaitMs = 120'000;

struct Object {
  uint64_t version = 0;
  std::string value;
};

struct TokenBucket {
  double rate_per_s = 0;
  double tokens = 0;
  SteadyTime refilled_at;

  double Capacity() const { return std::max(1.0, rate_per_s * kBurstSeconds); }

  bool TryTake(SteadyTime now) {
    const std::chrono::duration<double> passed = now - refilled_at;
    refilled_at = now;
    tokens = std::min(Capacity(), tokens + rate_per_s * passed.count());
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
};

struct Watcher {
  uint64_t id = 0;
  ObjectName name;
  uint64_t after_version = 0;
  std::shared_ptr<HttpExchange> exchange;
  std::unique_ptr<asio::steady_timer> timer;
};

struct InstanceSnapshot {
  uint64_t version = 0;
  SteadyTime visible_at;
  std::string body;
};

// Splits "<kind>/<name>"; the name may contain further slashes.
std::optional<ObjectName> ParseObjectName(std::string_view path) {
  const size_t slash = path.find('/');
  if (slash == 0 || slash == std::string_view::npos ||
      slash + 1 == path.size()) {
    return std::nullopt;
  }
  return ObjectName{std::string(path.substr(0, slash)),
                    std::string(path.substr(slash + 1))};
}

std::string ETag(uint64_t version) {
  return fmt::format("\"{}\"", version);
}

std::optional<uint64_t> ParseETag(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  uint64_t version = 0;
  const char* end = text.data() + text.size() - 1;
  auto [rest, ec] = std::from_chars(text.data() + 1, end, version);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return version;
}

HttpResponse ObjectResponse(unsigned status, const Object& object) {
  return {.status = status,
          .body = object.value,
          .headers = {{"ETag", ETag(object.version)}}};
}

}  // namespace

struct FakeObjectApi::Impl {
  Impl(asio::io_context& context, FakeObjectApiOptions o);

  void Handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange);
  void HandleObject(const HttpRequest& request,
                    const ObjectName& name,
                    HttpExchange& exchange);
  void GetObject(const HttpRequest& request,
                 const ObjectName& name,
                 HttpExchange& exchange);
  void PutObject(const HttpRequest& request,
                 const ObjectName& name,
                 HttpExchange& exchange);
  void DeleteObject(const HttpRequest& request,
                    const ObjectName& name,
                    HttpExchange& exchange);
  void ListNames(const std::string& kind, HttpExchange& exchange);
  void Watch(const HttpRequest& request,
             const ObjectName& name,
             std::shared_ptr<HttpExchange> exchange);
  void OnWatchTimeout(uint64_t id);
  void NotifyWatchers(const ObjectName& name);

  void GetInstances(const HttpRequest& request, HttpExchange& exchange);
  void ChangeInstance(const HttpRequest& request, HttpExchange& exchange);
  void LoadInstances(const std::string& text);
  void PublishInstances(SteadyTime visible_at);
  void AdvanceInstances();

  bool AdmitCall(bool is_write, HttpExchange& exchange);
  bool PreconditionHolds(const HttpRequest& request, const Object* object);
  const Object* FindObject(const ObjectName& name) const;
  void OnFaultChange();
  std::string StatsJson() const;

  asio::io_context& io;
  FakeObjectApiOptions options;
  Faults faults;
  std::map<ObjectName, Object> objects;
  uint64_t last_version = 0;
  std::list<Watcher> watchers;
  uint64_t last_watcher_id = 0;
  TokenBucket read_bucket;
  TokenBucket write_bucket;

  std::map<std::string, json::object> instances;
  std::deque<InstanceSnapshot> snapshots;  // Oldest first; never empty.
  uint64_t last_instance_version = 0;
  bool instances_frozen = false;

  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  uint64_t conflicts = 0;
  uint64_t throttled = 0;
  uint64_t instance_reads = 0;

  HttpServer server;  // Declared last: its handlers use the other members.
};

namespace {

std::set<std::string> KnownFaultNames() {
  std::set<std::string> known = CommonFaultNames();
  known.insert({"freeze_instances", "throttle", "refuse_ms"});
  return known;
}

}  // namespace

FakeObjectApi::Impl::Impl(asio::io_context& context, FakeObjectApiOptions o)
    : io(context),
      options(std::move(o)),
      faults(options.seed, KnownFaultNames()),
      server(
          context,
          // Twice the largest value: a body that is slightly too large is
          // read to its end, so that its sender can read the 413.
          {.listen = options.listen,
           .max_body_bytes = 2 * static_cast<uint64_t>(kMaxObjectSize.value())},
          faults,
          [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            Handle(std::move(request), std::move(exchange));
          }) {
  const SteadyTime now = std::chrono::steady_clock::now();
  read_bucket = {options.max_reads_per_s, 0, now};
  read_bucket.tokens = read_bucket.Capacity();
  write_bucket = {options.max_writes_per_s, 0, now};
  write_bucket.tokens = write_bucket.Capacity();
  LoadInstances(options.instances);
  PublishInstances(now);
  server.SetControlRequestFilter([](const HttpRequest& request) {
    return request.path.starts_with("/instances/");
  });
  server.SetFaultListener([this] { OnFaultChange(); });
}

void FakeObjectApi::Impl::Handle(HttpRequest request,
                                 std::shared_ptr<HttpExchange> exchange) {
  const std::string_view path = request.path;
  if (path == "/stats") {
    exchange->Reply({.body = StatsJson()});
    return;
  }
  if (path == kInstancesPath) {
    GetInstances(request, *exchange);
    return;
  }
  if (path.starts_with("/instances/")) {
    ChangeInstance(request, *exchange);
    return;
  }
  if (path.starts_with(kObjectsPath)) {
    const std::string_view rest = path.substr(kObjectsPath.size());
    if (std::optional<ObjectName> name = ParseObjectName(rest)) {
      HandleObject(request, *name, *exchange);
      return;
    }
    if (request.method == "GET" && !rest.empty()) {
      ListNames(std::string(rest), *exchange);
      return;
    }
  }
  if (path.starts_with(kWatchPath)) {
    if (std::optional<ObjectName> name =
            ParseObjectName(path.substr(kWatchPath.size()))) {
      Watch(request, *name, std::move(exchange));
      return;
    }
  }
  ReplyError(*exchange, 404, "no_such_path");
}

void FakeObjectApi::Impl::HandleObject(const HttpRequest& request,
                                       const ObjectName& name,
                                       HttpExchange& exchange) {
  if (request.method == "GET") {
    GetObject(request, name, exchange);
  } else if (request.method == "PUT") {
    PutObject(request, name, exchange);
  } else if (request.method == "DELETE") {
    DeleteObject(request, name, exchange);
  } else {
    ReplyError(exchange, 405, "method_not_allowed");
  }
}

// Takes a call out of the rate limit. Answers 429 and returns false when the
// limit is exceeded.
bool FakeObjectApi::Impl::AdmitCall(bool is_write, HttpExchange& exchange) {
  TokenBucket& bucket = is_write ? write_bucket : read_bucket;
  if (faults.IsActive("throttle") ||
      !bucket.TryTake(std::chrono::steady_clock::now())) {
    ++throttled;
    ReplyError(exchange, 429, "throttled");
    return false;
  }
  return true;
}

const Object* FakeObjectApi::Impl::FindObject(const ObjectName& name) const {
  auto it = objects.find(name);
  return it == objects.end() ? nullptr : &it->second;
}

// Evaluates If-Match and If-None-Match as RFC 9110 specifies. A malformed tag
// matches no version.
bool FakeObjectApi::Impl::PreconditionHolds(const HttpRequest& request,
                                            const Object* object) {
  const std::string match = request.Header("if-match");
  if (!match.empty()) {
    if (object == nullptr) {
      return false;
    }
    return match == "*" || ParseETag(match) == object->version;
  }
  return request.Header("if-none-match") != "*" || object == nullptr;
}

void FakeObjectApi::Impl::GetObject(const HttpRequest& request,
                                    const ObjectName& name,
                                    HttpExchange& exchange) {
  if (!AdmitCall(false, exchange)) {
    return;
  }
  ++reads;
  const Object* object = FindObject(name);
  if (object == nullptr) {
    ReplyError(exchange, 404, "not_found");
    return;
  }
  if (ParseETag(request.Header("if-none-match")) == object->version) {
    exchange.Reply(
        {.status = 304, .headers = {{"ETag", ETag(object->version)}}});
    return;
  }
  exchange.Reply(ObjectResponse(200, *object));
}

void FakeObjectApi::Impl::PutObject(const HttpRequest& request,
                                    const ObjectName& name,
                                    HttpExchange& exchange) {
  if (!AdmitCall(true, exchange)) {
    return;
  }
  if (static_cast<int64_t>(request.body.size()) > kMaxObjectSize.value()) {
    ReplyError(exchange, 413, "too_large");
    return;
  }
  const Object* object = FindObject(name);
  if (!PreconditionHolds(request, object)) {
    ++conflicts;
    HttpResponse response{.status = 412, .body = R"({"error":"conflict"})"};
    if (object != nullptr) {
      response.headers.emplace_back("ETag", ETag(object->version));
    }
    exchange.Reply(std::move(response));
    return;
  }
  ++writes;
  const unsigned status = object == nullptr ? 201 : 200;
  const uint64_t version = ++last_version;
  objects[name] = {version, request.body};
  exchange.Reply({.status = status,
                  .body = fmt::format("{{\"version\":{}}}", version),
                  .headers = {{"ETag", ETag(version)}}});
  NotifyWatchers(name);
}

void FakeObjectApi::Impl::DeleteObject(const HttpRequest& request,
                                       const ObjectName& name,
                                       HttpExchange& exchange) {
  if (!AdmitCall(true, exchange)) {
    return;
  }
  const Object* object = FindObject(name);
  if (!PreconditionHolds(request, object)) {
    ++conflicts;
    ReplyError(exchange, 412, "conflict");
    return;
  }
  if (object == nullptr) {
    ReplyError(exchange, 404, "not_found");
    return;
  }
  ++writes;
  objects.erase(name);
  exchange.Reply({.status = 204});
}

void FakeObjectApi::Impl::ListNames(const std::string& kind,
                                    HttpExchange& exchange) {
  if (!AdmitCall(false, exchange)) {
    return;
  }
  ++reads;
  json::array names;
  for (auto it = objects.lower_bound({kind, ""});
       it != objects.end() && it->first.kind == kind; ++it) {
    names.emplace_back(it->first.name);
  }
  exchange.Reply(
      {.body = json::serialize(json::object{{"names", std::move(names)}})});
}

void FakeObjectApi::Impl::Watch(const HttpRequest& request,
                                const ObjectName& name,
                                std::shared_ptr<HttpExchange> exchange) {
  if (!AdmitCall(false, *exchange)) {
    return;
  }
  ++watches;
  const uint64_t after_version = request.QueryNumber("after", 0);
  const Object* object = FindObject(name);
  if (object != nullptr && object->version > after_version) {
    exchange->Reply(ObjectResponse(200, *object));
    return;
  }
  const uint64_t wait_ms =
      std::min(request.QueryNumber("wait_ms", kDefaultWaitMs), kMaxWaitMs);
  if (wait_ms == 0) {
    exchange->Reply({.status = 304});
    return;
  }
  Watcher watcher{++last_watcher_id, name, after_version, std::move(exchange),
                  std::make_unique<asio::steady_timer>(
                      io, std::chrono::milliseconds(wait_ms))};
  watcher.timer->async_wait(
      [this, id = watcher.id](boost::system::error_code ec) {
        if (!ec) {
          OnWatchTimeout(id);
        }
      });
  watchers.push_back(std::move(watcher));
}

void FakeObjectApi::Impl::OnWatchTimeout(uint64_t id) {
  auto it = std::find_if(watchers.begin(), watchers.end(),
                         [id](const Watcher& w) { return w.id == id; });
  if (it == watchers.end()) {
    return;
  }
  it->exchange->Reply({.status = 304});
  watchers.erase(it);
}

void FakeObjectApi::Impl::NotifyWatchers(const ObjectName& name) {
  const Object* object = FindObject(name);
  std::erase_if(watchers, [&](Watcher& watcher) {
    if (watcher.name != name || object->version <= watcher.after_version) {
      return false;
    }
    watcher.exchange->Reply(ObjectResponse(200, *object));
    return true;
  });
}

void FakeObjectApi::Impl::LoadInstances(const std::string& text) {
  if (text.empty()) {
    return;
  }
  boost::system::error_code ec;
  const json::value parsed = json::parse(text, ec);
  const json::value* list = nullptr;
  if (!ec && parsed.is_object()) {
    list = parsed.as_object().if_contains("instances");
  }
  if (list == nullptr || !list->is_array()) {
    throw std::runtime_error("expected {\"instances\":[...]}");
  }
  for (const json::value& entry : list->as_array()) {
    const json::value* id =
        entry.is_object() ? entry.as_object().if_contains("instance") : nullptr;
    if (id == nullptr || !id->is_string()) {
      throw std::runtime_error("expected \"instance\" in every instance");
    }
    instances[std::string(id->as_string())] = entry.as_object();
  }
}

void FakeObjectApi::Impl::PublishInstances(SteadyTime visible_at) {
  json::array list;
  for (const auto& [id, fields] : instances) {
    list.emplace_back(fields);
  }
  ++last_instance_version;
  json::object body{{"version", last_instance_version},
                    {"instances", std::move(list)}};
  snapshots.push_back(
      {last_instance_version, visible_at, json::serialize(body)});
}

// Removes the snapshots that a newer visible one replaces.
void FakeObjectApi::Impl::AdvanceInstances() {
  const SteadyTime now = std::chrono::steady_clock::now();
  while (snapshots.size() > 1 && snapshots[1].visible_at <= now) {
    snapshots.pop_front();
  }
}

void FakeObjectApi::Impl::GetInstances(const HttpRequest& request,
                                       HttpExchange& exchange) {
  if (!AdmitCall(false, exchange)) {
    return;
  }
  ++reads;
  ++instance_reads;
  if (!instances_frozen) {
    AdvanceInstances();
  }
  const InstanceSnapshot& snapshot = snapshots.front();
  const std::string tag = ETag(snapshot.version);
  if (request.Header("if-none-match") == tag) {
    exchange.Reply({.status = 304, .headers = {{"ETag", tag}}});
    return;
  }
  exchange.Reply({.body = snapshot.body, .headers = {{"ETag", tag}}});
}

// Lets a test change the list of instances. The change becomes visible after
// the lag.
void FakeObjectApi::Impl::ChangeInstance(const HttpRequest& request,
                                         HttpExchange& exchange) {
  const std::string id = request.path.substr(kInstancesPath.size() + 1);
  if (request.method == "PUT") {
    boost::system::error_code ec;
    json::value fields = json::parse(request.body, ec);
    if (ec || !fields.is_object()) {
      ReplyError(exchange, 400, "expected a JSON object");
      return;
    }
    fields.as_object()["instance"] = id;
    instances[id] = fields.as_object();
  } else if (request.method == "DELETE") {
    if (instances.erase(id) == 0) {
      ReplyError(exchange, 404, "not_found");
      return;
    }
  } else {
    ReplyError(exchange, 405, "method_not_allowed");
    return;
  }
  PublishInstances(std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(options.instance_lag_ms));
  exchange.Reply({.status = 204});
}

void FakeObjectApi::Impl::OnFaultChange() {
  const double refuse_ms = faults.Number("refuse_ms");
  if (refuse_ms > 0) {
    faults.Clear("refuse_ms");
    server.RefuseConnections(static_cast<uint64_t>(refuse_ms));
  }
  // An outage also closes the connections of pending watches.
  if (faults.IsActive("down")) {
    watchers.clear();
  }
  if (!instances_frozen) {
    AdvanceInstances();
  }
  instances_frozen = faults.IsActive("freeze_instances");
}

std::string FakeObjectApi::Impl::StatsJson() const {
  return json::serialize(json::object{{"reads", reads},
                                      {"writes", writes},
                                      {"watches", watches},
                                      {"conflicts", conflicts},
                                      {"throttled", throttled},
                                      {"instance_reads", instance_reads},
                                      {"pending_watches", watchers.size()},
                                      {"objects", objects.size()}});
}

FakeObjectApi::FakeObjectApi(asio::io_context& io, FakeObjectApiOptions options)
    : impl_(std::make_unique<Impl>(io, std::move(options))) {}

FakeObjectApi::~FakeObjectApi() = default;

std::string FakeObjectApi::address() const {
  return impl_->server.address();
}

}  // namespace burdockhatch::standins
