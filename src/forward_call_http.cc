#include <array>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "src/forward_call.h"
#include "src/http_headers.h"
#include "src/ip_endpoint.h"
#include "src/log.h"

namespace burdockhatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr uint32_t kMaxHeaderBytes = 16 * 1024;
// Also limits what a target may send without the end of a chunk header or of
// the trailer.
constexpr size_t kReadBufferBytes = 2 * kMaxHeaderBytes;
// Of the body, passed on at a time.
constexpr size_t kBodyPartBytes = 8 * 1024;

std::string FormatRequestHead(const ForwardCallSpec& spec) {
  std::string text = fmt::format("{} {} HTTP/1.1\r\n", spec.method, spec.path);
  AppendHeaders(spec.headers, &text);
  const bool has_body =
      !spec.body->empty() || (spec.method != "GET" && spec.method != "HEAD" &&
                              spec.method != "DELETE");
  if (has_body) {
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n",
                   spec.body->size());
  }
  return text + "\r\n";
}

class HttpForwardCall : public ForwardCall,
                        public std::enable_shared_from_this<HttpForwardCall> {
 public:
  HttpForwardCall(asio::io_context& io,
                  ForwardCallSpec spec,
                  ForwardCallHandlers handlers)
      : spec_(std::move(spec)), handlers_(std::move(handlers)), stream_(io) {}

  void Start() {
    const std::optional<tcp::endpoint> endpoint =
        ParseIpEndpoint(spec_.address);
    if (!endpoint) {
      Log(LogLevel::kWarning, "target_address_invalid",
          {{"address", spec_.address}});
      asio::post(stream_.get_executor(), [self = shared_from_this()] {
        self->Finish(ForwardCallResult::kNotSent);
      });
      return;
    }
    stream_.expires_after(spec_.connect_timeout);
    stream_.async_connect(*endpoint,
                          [self = shared_from_this()](error_code ec) {
                            if (ec) {
                              self->Finish(ForwardCallResult::kNotSent);
                              return;
                            }
                            self->SendRequest();
                          });
  }

  void Stop() override {
    if (std::exchange(stopped_, true)) {
      return;
    }
    ReleaseHandlers();
    CloseSocket();
  }

  void PauseReading() override { paused_ = true; }

  void ResumeReading() override {
    if (std::exchange(paused_, false) && std::exchange(read_deferred_, false)) {
      asio::post(stream_.get_executor(),
                 [self = shared_from_this()] { self->ReadBody(); });
    }
  }

 private:
  void SendRequest() {
    if (stopped_) {
      return;
    }
    // The caller of ForwardCall enforces the request's deadline.
    stream_.expires_never();
    error_code ec;
    stream_.socket().set_option(tcp::no_delay(true), ec);
    request_head_ = FormatRequestHead(spec_);
    const std::array<asio::const_buffer, 2> parts = {
        asio::buffer(request_head_), asio::buffer(*spec_.body)};
    asio::async_write(stream_, parts,
                      [self = shared_from_this()](error_code ec, size_t n) {
                        self->OnWritten(ec, n);
                      });
    // A target may respond before it has read the whole body, so reading starts
    // in parallel with writing.
    ReadResponseHead();
  }

  void ReadResponseHead() {
    parser_.emplace();
    // The caller of ForwardCall limits the body.
    parser_->body_limit(boost::none);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->skip(spec_.method == "HEAD");
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](error_code ec, size_t) {
                              self->OnResponseHead(ec);
                            });
  }

  // The read side reports how the call ends, except when nothing was written.
  void OnWritten(error_code ec, size_t written) {
    // The kernel reports a reset once. If the write gets it, the read sees an
    // orderly end. A write gets broken_pipe if the target closed in order
    // before.
    was_reset_ = ec && ec != asio::error::broken_pipe;
    if (ec && written == 0 && !response_head_read_) {
      Finish(ForwardCallResult::kNotSent);
    }
  }

  void OnResponseHead(error_code ec) {
    if (ec) {
      Finish(ForwardCallResult::kBroken);
      return;
    }
    if (stopped_) {
      return;
    }
    const unsigned status = parser_->get().result_int();
    if (IsInterimStatus(status) &&
        ++interim_responses_ <= kMaxInterimResponses) {
      ReadResponseHead();
      return;
    }
    if (!IsFinalStatus(status)) {
      Finish(ForwardCallResult::kBroken);
      return;
    }
    response_head_read_ = true;
    HeaderList headers;
    for (const auto& it : parser_->get()) {
      headers.push_back(
          {std::string(it.name_string()), std::string(it.value())});
    }
    if (handlers_.on_head) {
      handlers_.on_head(status, std::move(headers));
    }
    ReadBody();
  }

  void ReadBody() {
    if (stopped_) {
      return;
    }
    if (paused_) {
      read_deferred_ = true;
      return;
    }
    if (parser_->is_done()) {
      // A response without a length ends with the connection.
      const bool is_cut_off = was_reset_ && parser_->need_eof();
      Finish(is_cut_off ? ForwardCallResult::kBroken
                        : ForwardCallResult::kComplete);
      return;
    }
    auto& body = parser_->get().body();
    body.data = body_part_.data();
    body.size = body_part_.size();
    http::async_read_some(stream_, buffer_, *parser_,
                          [self = shared_from_this()](error_code ec, size_t) {
                            self->OnBodyRead(ec);
                          });
  }

  void OnBodyRead(error_code ec) {
    if (stopped_) {
      return;
    }
    const std::string_view data(body_part_.data(),
                                body_part_.size() - parser_->get().body().size);
    if (!data.empty() && handlers_.on_body) {
      handlers_.on_body(data);
    }
    if (stopped_) {
      return;
    }
    if (ec == http::error::need_buffer) {
      ec = {};
    }
    // A response without Content-Length ends with the connection. Beast then
    // reports end_of_stream and marks the message as done.
    if (ec && !(ec == http::error::end_of_stream && parser_->is_done())) {
      Finish(ForwardCallResult::kBroken);
      return;
    }
    ReadBody();
  }

  void Finish(ForwardCallResult result) {
    if (stopped_) {
      return;
    }
    stopped_ = true;
    CloseSocket();
    const auto on_end = std::move(handlers_.on_end);
    ReleaseHandlers();
    if (on_end) {
      on_end(result);
    }
  }

  // A handler that calls Stop() is still running, and may hold the last
  // reference to its owner.
  void ReleaseHandlers() {
    asio::post(stream_.get_executor(),
               [handlers = std::exchange(handlers_, {})] {});
  }

  void CloseSocket() {
    error_code ignored;
    stream_.socket().close(ignored);
  }

  ForwardCallSpec spec_;
  ForwardCallHandlers handlers_;
  beast::tcp_stream stream_;
  std::string request_head_;
  beast::flat_buffer buffer_{kReadBufferBytes};
  std::array<char, kBodyPartBytes> body_part_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  int interim_responses_ = 0;
  bool response_head_read_ = false;
  bool was_reset_ = false;  // As reported to the write.
  bool stopped_ = false;
  bool paused_ = false;
  bool read_deferred_ = false;  // A read is due once reading resumes.
};

class HttpForwardConnector : public ForwardConnector {
 public:
  explicit HttpForwardConnector(asio::io_context& io) : io_(io) {}

  std::shared_ptr<ForwardCall> Start(ForwardCallSpec spec,
                                     ForwardCallHandlers handlers) override {
    auto call = std::make_shared<HttpForwardCall>(io_, std::move(spec),
                                                  std::move(handlers));
    call->Start();
    return call;
  }

  void Probe(const std::string& address,
             std::function<void(bool reachable)> done) override {
    const std::optional<tcp::endpoint> endpoint = ParseIpEndpoint(address);
    if (!endpoint) {
      done(false);
      return;
    }
    const auto stream = std::make_shared<beast::tcp_stream>(io_);
    stream->expires_after(ForwardCallSpec().connect_timeout);
    stream->async_connect(*endpoint, [stream, done = std::move(done)](
                                         error_code ec) { done(!ec); });
  }

 private:
  asio::io_context& io_;
};

}  // namespace

std::unique_ptr<ForwardConnector> MakeForwardConnector(asio::io_context& io) {
  return std::make_unique<HttpForwardConnector>(io);
}

}  // namespace burdockhatch
