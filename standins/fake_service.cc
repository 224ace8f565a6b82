#include "standins/fake_service.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "standins/faults.h"
#include "standins/http_server.h"

namespace burdockhatch::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::set<std::string> KnownFaultNames() {
  std::set<std::string> known = CommonFaultNames();
  known.insert({"execute_then_close", "unhealthy", "error_status",
                "answer_delay_ms", "refuse_ms"});
  return known;
}

json::object CountsToJson(
    const std::map<std::string, uint64_t>& count_by_name) {
  json::object object;
  for (const auto& [key, count] : count_by_name) {
    object[key] = count;
  }
  return object;
}

}  // namespace

struct FakeService::Impl {
  Impl(asio::io_context& context, FakeServiceOptions o);

  void Handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange);
  void HandleHealthCheck(HttpExchange& exchange);
  HttpResponse Execute(const HttpRequest& request);
  HttpResponse Read(const HttpRequest& request);
  void ReplyAfterDelay(std::shared_ptr<HttpExchange> exchange,
                       HttpResponse response);
  std::string StatsJson() const;

  asio::io_context& io;
  FakeServiceOptions options;
  Faults faults;
  uint64_t executions = 0;
  uint64_t reads = 0;
  uint64_t probes = 0;
  uint64_t in_progress = 0;
  uint64_t peak_in_progress = 0;
  std::map<std::string, uint64_t> executions_by_key;
  std::map<std::string, uint64_t> executions_by_body;
  HttpServer server;  // Declared last: its handlers use the other members.
};

FakeService::Impl::Impl(asio::io_context& context, FakeServiceOptions o)
    : io(context),
      options(std::move(o)),
      faults(options.seed, KnownFaultNames()),
      server(
          context,
          {.listen = options.listen},
          faults,
          [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            Handle(std::move(request), std::move(exchange));
          }) {
  server.SetFaultListener([this] {
    const double refuse_ms = faults.Number("refuse_ms");
    if (refuse_ms > 0) {
      faults.Clear("refuse_ms");
      server.RefuseConnections(static_cast<uint64_t>(refuse_ms));
    }
  });
}

void FakeService::Impl::Handle(HttpRequest request,
                               std::shared_ptr<HttpExchange> exchange) {
  if (request.path == "/stats") {
    exchange->Reply({.body = StatsJson()});
    return;
  }
  if (request.path == "/healthz") {
    HandleHealthCheck(*exchange);
    return;
  }
  if (request.method == "GET" || request.method == "HEAD") {
    ReplyAfterDelay(std::move(exchange), Read(request));
    return;
  }
  HttpResponse response = Execute(request);
  if (faults.ShouldInject("execute_then_close")) {
    exchange->Close();
    return;
  }
  ReplyAfterDelay(std::move(exchange), std::move(response));
}

void FakeService::Impl::HandleHealthCheck(HttpExchange& exchange) {
  ++probes;
  if (faults.IsActive("unhealthy")) {
    ReplyError(exchange, 503, "unhealthy");
    return;
  }
  exchange.Reply({.body = R"({"status":"ok"})"});
}

HttpResponse FakeService::Impl::Execute(const HttpRequest& request) {
  ++executions;
  const std::string key = request.Header("idempotency-key");
  if (!key.empty()) {
    ++executions_by_key[key];
  }
  ++executions_by_body[request.body];
  json::object body{{"path", request.path},
                    {"execution", executions},
                    {"key", key},
                    {"body", request.body}};
  const auto status = static_cast<unsigned>(faults.Number("error_status"));
  return {.status = status == 0 ? 200 : status, .body = json::serialize(body)};
}

HttpResponse FakeService::Impl::Read(const HttpRequest& request) {
  ++reads;
  const auto status = static_cast<unsigned>(faults.Number("error_status"));
  json::object body{{"path", request.path}, {"read", true}};
  return {.status = status == 0 ? 200 : status, .body = json::serialize(body)};
}

void FakeService::Impl::ReplyAfterDelay(std::shared_ptr<HttpExchange> exchange,
                                        HttpResponse response) {
  const auto fault_ms = static_cast<uint64_t>(faults.Number("answer_delay_ms"));
  const std::chrono::milliseconds delay(options.delay_ms + fault_ms);
  if (delay.count() == 0) {
    exchange->Reply(std::move(response));
    return;
  }
  ++in_progress;
  peak_in_progress = std::max(peak_in_progress, in_progress);
  auto timer = std::make_shared<asio::steady_timer>(io, delay);
  timer->async_wait(
      [this, timer, exchange = std::move(exchange),
       response = std::move(response)](boost::system::error_code ec) mutable {
        if (ec) {
          return;
        }
        --in_progress;
        exchange->Reply(std::move(response));
      });
}

std::string FakeService::Impl::StatsJson() const {
  return json::serialize(
      json::object{{"executions", executions},
                   {"reads", reads},
                   {"probes", probes},
                   {"peak_in_progress", peak_in_progress},
                   {"per_key", CountsToJson(executions_by_key)},
                   {"per_body", CountsToJson(executions_by_body)}});
}

FakeService::FakeService(asio::io_context& io, FakeServiceOptions options)
    : impl_(std::make_unique<Impl>(io, std::move(options))) {}

FakeService::~FakeService() = default;

std::string FakeService::address() const {
  return impl_->server.address();
}

}  // namespace burdockhatch::standins
