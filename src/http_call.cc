#include "src/http_call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>

#include <fmt/format.h>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "src/byte_budget.h"
#include "src/http_headers.h"
#include "src/ip_endpoint.h"
#include "src/log.h"
#include "src/server_sent_events.h"

namespace burdockhatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyClockTime = std::chrono::steady_clock::time_point;

namespace {

// A server that takes longer to accept a connection is treated as unreachable,
// which leaves the caller time to try another one.
constexpr std::chrono::milliseconds kConnectTimeout{1'000};
// Prevents overflow of the clock when a deadline is computed.
constexpr Duration kMaxTimeout = std::chrono::hours(24);
constexpr std::chrono::seconds kMaxIdleTime{10};
constexpr size_t kMaxIdleConnections = 8;
constexpr uint32_t kMaxHeaderBytes = 16 * 1024;
// Also limits what a server may send without the end of a chunk header or of
// the trailer.
constexpr size_t kReadBufferBytes = 2 * kMaxHeaderBytes;
constexpr size_t kBodyPartBytes = 8 * 1024;
constexpr size_t kMaxLoggedTargetBytes = 128;
// Of all responses that the process is reading. One that needs more fails.
constexpr Bytes kMaxHeldResponses(64 * 1024 * 1024);

using Strand = asio::strand<asio::io_context::executor_type>;
using Stream = beast::tcp_stream;

// Rejects characters that would allow request or header injection.
bool IsWellFormed(std::string_view text, bool allow_space) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f || (byte == ' ' && !allow_space)) {
      return false;
    }
  }
  return true;
}

bool IsWellFormed(const HttpCall& call) {
  if (call.method.empty() || !call.target.starts_with('/') ||
      !IsWellFormed(call.method, false) || !IsWellFormed(call.target, false)) {
    return false;
  }
  for (const auto& [name, value] : call.headers) {
    if (!IsWellFormed(name, false) || !IsWellFormed(value, true)) {
      return false;
    }
  }
  return true;
}

std::string RequestText(const HttpCall& call, const std::string& host) {
  std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method,
                                 call.target, host);
  for (const auto& [name, value] : call.headers) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  const bool has_body =
      !call.body.empty() || (call.method != "GET" && call.method != "HEAD" &&
                             call.method != "DELETE");
  if (has_body) {
    text += fmt::format("Content-Length: {}\r\n", call.body.size());
  }
  text += "\r\n";
  return text + call.body;
}

std::shared_ptr<ByteBudget> HeldResponses() {
  static const auto budget = std::make_shared<ByteBudget>(kMaxHeldResponses);
  return budget;
}

// Reads a response in parts of bounded size, whatever the server sends.
class ResponseReader {
 public:
  using Parser = http::response_parser<http::buffer_body>;

  // Begins the next response. Input that follows the previous one is kept.
  void Begin() {
    parser_.emplace();
    // The owner limits the body.
    parser_->body_limit(boost::none);
    parser_->header_limit(kMaxHeaderBytes);
  }
  void DiscardInput() { buffer_.clear(); }

  template <class Handler>
  void ReadHeader(Stream& stream, Handler handler) {
    http::async_read_header(stream, buffer_, *parser_, std::move(handler));
  }

  // Reads the next part of the body, which part() returns afterwards.
  template <class Handler>
  void ReadPart(Stream& stream, Handler handler) {
    auto& body = parser_->get().body();
    body.data = part_.data();
    body.size = part_.size();
    http::async_read_some(
        stream, buffer_, *parser_,
        [handler = std::move(handler)](error_code ec, size_t) mutable {
          // The part is full.
          handler(ec == http::error::need_buffer ? error_code() : ec);
        });
  }
  std::string_view part() const {
    return {part_.data(), part_.size() - parser_->get().body().size};
  }

  Parser& parser() { return *parser_; }
  size_t buffered_bytes() const { return buffer_.size(); }

 private:
  beast::flat_buffer buffer_{kReadBufferBytes};
  std::array<char, kBodyPartBytes> part_;
  std::optional<Parser> parser_;
};

void LogTooLarge(const std::string& address,
                 const std::string& target,
                 size_t bytes) {
  Log(LogLevel::kWarning, "response_too_large",
      {{"address", address},
       {"target", target.substr(0, kMaxLoggedTargetBytes)},
       {"bytes", std::to_string(bytes)},
       {"held_by_all", std::to_string(HeldResponses()->used())}});
}

// Pool of idle keep-alive connections.
class ConnectionPool {
 public:
  void Put(std::unique_ptr<Stream> stream) {
    stream->expires_never();
    const std::lock_guard lock(mutex_);
    if (idle_.size() < kMaxIdleConnections) {
      idle_.push_back({std::move(stream), std::chrono::steady_clock::now()});
    }
  }

  // Returns null if there is no usable idle connection.
  std::unique_ptr<Stream> Take() {
    const std::lock_guard lock(mutex_);
    while (!idle_.empty()) {
      IdleConnection idle = std::move(idle_.back());
      idle_.pop_back();
      if (std::chrono::steady_clock::now() - idle.since < kMaxIdleTime &&
          IsUsable(*idle.stream)) {
        return std::move(idle.stream);
      }
    }
    return nullptr;
  }

 private:
  struct IdleConnection {
    std::unique_ptr<Stream> stream;
    SteadyClockTime since;
  };

  // A connection that the server has closed or that has unread input cannot be
  // reused. No read is pending on an idle connection, so this peek does not
  // interfere with another reader.
  static bool IsUsable(Stream& stream) {
    error_code ec;
    stream.socket().non_blocking(true, ec);
    char byte = 0;
    stream.socket().receive(asio::buffer(&byte, 1),
                            asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
  }

  std::mutex mutex_;
  std::vector<IdleConnection> idle_;
};

// The server's address and the idle connections to it, shared by all sessions.
struct Server {
  Server(asio::io_context& context, std::string text)
      : io(context),
        address(std::move(text)),
        endpoint(ParseIpEndpoint(address)) {
    if (!endpoint) {
      Log(LogLevel::kWarning, "http_address_invalid", {{"address", address}});
    }
  }

  asio::io_context& io;
  std::string address;
  std::optional<tcp::endpoint> endpoint;
  ConnectionPool pool;
};

// Sets TCP keep-alive so that a connection whose peer is gone fails after
// `lost_probes` seconds and one more.
void SetKeepAlive(tcp::socket& socket, int lost_probes) {
  using IdleSeconds =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using ProbeIntervalSeconds =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using ProbeCount =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IdleSeconds(1), ignored);
  socket.set_option(ProbeIntervalSeconds(1), ignored);
  socket.set_option(ProbeCount(lost_probes), ignored);
}

// Closes a connection without a graceful shutdown.
void CloseNow(Stream* stream) {
  if (stream != nullptr) {
    error_code ignored;
    stream->socket().close(ignored);
  }
}

// One call. Runs on the connection's strand.
class CallSession : public std::enable_shared_from_this<CallSession> {
 public:
  CallSession(std::shared_ptr<Server> server,
              HttpCall call,
              std::function<void(HttpReply)> done)
      : server_(std::move(server)),
        call_(std::move(call)),
        done_(std::move(done)),
        deadline_(std::chrono::steady_clock::now() +
                  std::min(call_.timeout, kMaxTimeout)) {}

  void Start() {
    if (!server_->endpoint || !IsWellFormed(call_)) {
      asio::post(server_->io, [self = shared_from_this()] {
        self->Finish(CallStatus::kNotSent);
      });
      return;
    }
    request_text_ = RequestText(call_, server_->address);
    if (call_.repeatable) {
      stream_ = server_->pool.Take();
    }
    uses_pooled_connection_ = stream_ != nullptr;
    if (!uses_pooled_connection_) {
      Connect();
      return;
    }
    asio::post(stream_->get_executor(),
               [self = shared_from_this()] { self->Write(); });
  }

 private:
  void Connect() {
    uses_pooled_connection_ = false;
    stream_ = std::make_unique<Stream>(asio::make_strand(server_->io));
    // The calling thread does not run on the strand of the new connection, on
    // which a timeout may close it at any time.
    asio::post(stream_->get_executor(),
               [self = shared_from_this()] { self->ConnectOnStrand(); });
  }

  void ConnectOnStrand() {
    stream_->expires_at(std::min(
        deadline_, std::chrono::steady_clock::now() + kConnectTimeout));
    stream_->async_connect(*server_->endpoint,
                           [self = shared_from_this()](error_code ec) {
                             if (ec) {
                               self->Finish(CallStatus::kNotSent);
                               return;
                             }
                             self->Write();
                           });
  }

  void Write() {
    error_code ignored;
    stream_->socket().set_option(tcp::no_delay(true), ignored);
    SetKeepAlive(stream_->socket(), call_.lost_probes);
    stream_->expires_at(deadline_);
    // Checks the deadline a last time before the first byte, because the
    // process may have been paused since the call was made.
    if (std::chrono::steady_clock::now() >= deadline_) {
      Finish(CallStatus::kNotSent);
      return;
    }
    asio::async_write(
        *stream_, asio::buffer(request_text_),
        [self = shared_from_this()](error_code ec, size_t written) {
          self->OnWritten(ec, written);
        });
  }

  void OnWritten(error_code ec, size_t written) {
    if (!ec) {
      any_byte_written_ = true;
      Read();
      return;
    }
    any_byte_written_ = any_byte_written_ || written > 0;
    if (RetryOnFreshConnection()) {
      return;
    }
    Finish(CallStatus::kNotSent);
  }

  void Read() {
    reader_.Begin();
    reader_.parser().skip(call_.method == "HEAD");
    reader_.ReadHeader(*stream_,
                       [self = shared_from_this()](error_code ec, size_t) {
                         self->OnHeader(ec);
                       });
  }

  void OnHeader(error_code ec) {
    if (!ec) {
      OnStatus(reader_.parser().get().result_int());
      return;
    }
    const bool nothing_read = interim_responses_ == 0 &&
                              !reader_.parser().got_some() &&
                              reader_.buffered_bytes() == 0;
    if (nothing_read && ec != beast::error::timeout &&
        RetryOnFreshConnection()) {
      return;
    }
    Finish(CallStatus::kUnknown);
  }

  void OnStatus(uint32_t status) {
    if (IsInterimStatus(status) &&
        ++interim_responses_ <= kMaxInterimResponses) {
      Read();
    } else if (IsFinalStatus(status)) {
      ReadBody();
    } else {
      Finish(CallStatus::kUnknown);
    }
  }

  void ReadBody() {
    if (reader_.parser().is_done()) {
      OnResponse();
      return;
    }
    reader_.ReadPart(*stream_, [self = shared_from_this()](error_code ec) {
      self->OnBodyPart(ec);
    });
  }

  void OnBodyPart(error_code ec) {
    const std::string_view part = reader_.part();
    const size_t held = reply_.body.size() + part.size();
    if (held > static_cast<size_t>(call_.max_response.value()) ||
        !held_.Resize(held)) {
      LogTooLarge(server_->address, call_.target, held);
      Finish(CallStatus::kUnknown);
      return;
    }
    reply_.body.append(part);
    // A response without Content-Length ends with the connection.
    if (ec &&
        !(ec == http::error::end_of_stream && reader_.parser().is_done())) {
      Finish(CallStatus::kUnknown);
      return;
    }
    ReadBody();
  }

  void OnResponse() {
    const ResponseReader::Parser& parser = reader_.parser();
    const auto& message = parser.get();
    reply_.http_status = message.result_int();
    reply_.content_type = std::string(message[http::field::content_type]);
    reply_.etag = std::string(message[http::field::etag]);
    if (!call_.wanted_header.empty()) {
      reply_.wanted_header = std::string(message[call_.wanted_header]);
    }
    if (message.result() == http::status::service_unavailable) {
      const auto text = message[http::field::retry_after];
      reply_.retry_after = ParseRetryAfter({text.data(), text.size()});
    }
    if (parser.keep_alive() && reader_.buffered_bytes() == 0) {
      server_->pool.Put(std::move(stream_));
    }
    Finish(CallStatus::kAnswered);
  }

  // The server may close a pooled connection while the request is in transit. A
  // repeatable request is then sent once more on a new connection.
  bool RetryOnFreshConnection() {
    if (!uses_pooled_connection_ || !call_.repeatable) {
      return false;
    }
    reader_.DiscardInput();
    Connect();
    return true;
  }

  void Finish(CallStatus status) {
    // Bytes may have been written earlier, possibly by a first attempt on a
    // pooled connection.
    if (status == CallStatus::kNotSent && any_byte_written_) {
      status = CallStatus::kUnknown;
    }
    CloseNow(stream_.get());
    if (status != CallStatus::kAnswered) {
      reply_.body = std::string();
    }
    reply_.status = status;
    done_(std::move(reply_));
  }

  std::shared_ptr<Server> server_;
  HttpCall call_;
  std::function<void(HttpReply)> done_;
  SteadyClockTime deadline_;
  std::string request_text_;
  std::unique_ptr<Stream> stream_;
  bool uses_pooled_connection_ = false;
  bool any_byte_written_ = false;  // On any connection used by this call.
  int interim_responses_ = 0;
  ResponseReader reader_;
  ByteShare held_{HeldResponses()};
  HttpReply reply_;
};

// One stream of server-sent events. Runs on the connection's strand, except
// Stop.
class EventSession : public EventStreamReader,
                     public std::enable_shared_from_this<EventSession> {
 public:
  EventSession(std::shared_ptr<Server> server,
               std::string target,
               Duration idle_timeout,
               EventStreamCallbacks callbacks)
      : server_(std::move(server)),
        call_{.method = "GET",
              .target = std::move(target),
              .body = {},
              .headers = {{"Accept", "text/event-stream"}},
              .wanted_header = {},
              .repeatable = true},
        idle_timeout_(idle_timeout),
        callbacks_(std::move(callbacks)),
        stream_(std::make_unique<Stream>(asio::make_strand(server_->io))) {}

  void Start() {
    asio::post(stream_->get_executor(), [self = shared_from_this()] {
      if (!self->server_->endpoint || !IsWellFormed(self->call_)) {
        self->Finish(EventStreamEnd::kLost);
        return;
      }
      self->Connect();
    });
  }

  void Stop() override {
    if (!stopped_.exchange(true)) {
      asio::post(stream_->get_executor(), [self = shared_from_this()] {
        CloseNow(self->stream_.get());
      });
    }
  }

 private:
  void Connect() {
    if (stopped_) {
      return;
    }
    request_text_ = RequestText(call_, server_->address);
    stream_->expires_after(kConnectTimeout);
    stream_->async_connect(*server_->endpoint,
                           [self = shared_from_this()](error_code ec) {
                             if (ec) {
                               self->Finish(EventStreamEnd::kLost);
                               return;
                             }
                             self->Write();
                           });
  }

  void Write() {
    error_code ignored;
    stream_->socket().set_option(tcp::no_delay(true), ignored);
    stream_->expires_after(idle_timeout_);
    asio::async_write(*stream_, asio::buffer(request_text_),
                      [self = shared_from_this()](error_code ec, size_t) {
                        if (ec) {
                          self->Finish(EventStreamEnd::kLost);
                          return;
                        }
                        self->ReadHeader();
                      });
  }

  void ReadHeader() {
    reader_.Begin();
    reader_.ReadHeader(*stream_,
                       [self = shared_from_this()](error_code ec, size_t) {
                         self->OnHeader(ec);
                       });
  }

  void OnHeader(error_code ec) {
    if (ec) {
      Finish(EventStreamEnd::kLost);
      return;
    }
    http_status_ = reader_.parser().get().result_int();
    if (http_status_ != 200) {
      Finish(EventStreamEnd::kRefused);
      return;
    }
    ReadBodyPart();
  }

  void ReadBodyPart() {
    if (reader_.parser().is_done()) {
      Finish(EventStreamEnd::kFinished);
      return;
    }
    stream_->expires_after(idle_timeout_);
    reader_.ReadPart(*stream_, [self = shared_from_this()](error_code ec) {
      self->OnBodyPart(ec);
    });
  }

  void OnBodyPart(error_code ec) {
    bool wants_more = true;
    const bool valid = events_.Feed(reader_.part(), [&](std::string_view data) {
      if (!stopped_ && wants_more) {
        wants_more = callbacks_.on_event(data);
      }
    });
    if (!wants_more) {
      Finish(EventStreamEnd::kLost);
      return;
    }
    if (!valid || !held_.Resize(events_.buffered_bytes())) {
      LogTooLarge(server_->address, call_.target, events_.buffered_bytes());
      ec = http::error::body_limit;
    }
    if (ec) {
      Finish(EventStreamEnd::kLost);
      return;
    }
    ReadBodyPart();
  }

  void Finish(EventStreamEnd end) {
    CloseNow(stream_.get());
    if (!stopped_.exchange(true)) {
      callbacks_.on_end(end, http_status_);
    }
    callbacks_ = {};
  }

  std::shared_ptr<Server> server_;
  HttpCall call_;
  Duration idle_timeout_;
  EventStreamCallbacks callbacks_;
  std::string request_text_;
  std::unique_ptr<Stream> stream_;
  ResponseReader reader_;
  ServerSentEventParser events_;
  ByteShare held_{HeldResponses()};
  uint32_t http_status_ = 0;
  std::atomic<bool> stopped_ = false;
};

class BeastHttpClient : public HttpClient {
 public:
  BeastHttpClient(asio::io_context& io, std::string address)
      : server_(std::make_shared<Server>(io, std::move(address))) {}

  void Call(HttpCall call, std::function<void(HttpReply)> done) override {
    std::make_shared<CallSession>(server_, std::move(call), std::move(done))
        ->Start();
  }

  std::shared_ptr<EventStreamReader> ReadEvents(
      std::string target,
      Duration idle_timeout,
      EventStreamCallbacks callbacks) override {
    auto session = std::make_shared<EventSession>(
        server_, std::move(target), idle_timeout, std::move(callbacks));
    session->Start();
    return session;
  }

 private:
  std::shared_ptr<Server> server_;
};

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient(asio::io_context& io,
                                           std::string address) {
  return std::make_unique<BeastHttpClient>(io, std::move(address));
}

}  // namespace burdockhatch
