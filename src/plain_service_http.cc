#include "src/plain_service_http.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "src/http_call.h"

namespace burdockhatch {

namespace asio = boost::asio;

namespace {

constexpr Duration kHealthCheckTimeout = std::chrono::seconds(2);
constexpr Bytes kMaxHealthResponse(64 * 1024);

// Each call has a connection of its own: on one that is kept, a faulty service
// may write an earlier answer once more.
HttpCall ToCall(ServiceRequest request) {
  HttpCall call;
  call.method = std::move(request.method);
  call.target = std::move(request.path);
  call.timeout = request.timeout;
  if (!request.body.empty()) {
    call.headers.emplace_back("Content-Type", "application/json");
  }
  call.body = std::move(request.body);
  if (request.key) {
    call.headers.emplace_back("Idempotency-Key", request.key->value());
  }
  return call;
}

ServiceResponse ToResponse(HttpReply reply) {
  return {reply.status, reply.http_status, std::move(reply.content_type),
          std::move(reply.body), reply.retry_after};
}

class HttpPlainService : public PlainService {
 public:
  HttpPlainService(asio::io_context& control,
                   asio::io_context& traffic,
                   std::string address)
      : control_(control),
        client_(MakeHttpClient(traffic, std::move(address))) {}

  void Call(ServiceRequest request,
            std::function<void(ServiceResponse)> done) override {
    client_->Call(
        ToCall(std::move(request)),
        [&control = control_, done = std::move(done)](HttpReply reply) mutable {
          asio::post(control, [done = std::move(done),
                               reply = std::move(reply)]() mutable {
            done(ToResponse(std::move(reply)));
          });
        });
  }

  void CheckHealth(std::function<void(bool healthy)> done) override {
    HttpCall call;
    call.method = "GET";
    call.target = "/healthz";
    call.timeout = kHealthCheckTimeout;
    call.max_response = kMaxHealthResponse;
    client_->Call(std::move(call), [&control = control_,
                                    done = std::move(done)](HttpReply reply) {
      const bool healthy = reply.status == CallStatus::kAnswered &&
                           reply.http_status >= 200 && reply.http_status < 300;
      asio::post(control, [done, healthy] { done(healthy); });
    });
  }

 private:
  asio::io_context& control_;
  std::unique_ptr<HttpClient> client_;
};

}  // namespace

std::unique_ptr<PlainService> MakeHttpPlainService(asio::io_context& control,
                                                   asio::io_context& traffic,
                                                   std::string address) {
  return std::make_unique<HttpPlainService>(control, traffic,
                                            std::move(address));
}

}  // namespace burdockhatch
