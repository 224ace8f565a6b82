#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/leaf/error.hpp>

#include "src/caller_server.h"
#include "src/ip_endpoint.h"
#include "src/log.h"

namespace burdockhatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace leaf = boost::leaf;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A caller that reads nothing of pending output for this long is treated as
// disconnected.
constexpr auto kWriteTimeout = std::chrono::seconds(30);
// Time for the caller to close a connection after the server has shut down its
// sending side.
constexpr auto kCloseTimeout = std::chrono::seconds(1);
constexpr size_t kReadBufferBytes = 64 * 1024;
// Output that waits for a slow caller: above the first mark the response is
// not read on, below the second it is again.
constexpr size_t kCongestedOutputBytes = 256 * 1024;
constexpr size_t kDrainedOutputBytes = 64 * 1024;
// Wait after a failed accept, for example when no descriptor is free. The
// failed connection stays in the queue, so an immediate retry would spin.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

struct SharedState {
  CallerLimits limits;
  uint32_t max_connections = 0;
  ExchangeHandler handler;
  bool draining = false;
  uint64_t open_exchanges = 0;
  std::map<void*, std::weak_ptr<class Connection>> connections;
};

// One HTTP connection. All members are used on one thread.
class Connection : public CallerExchange,
                   public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, std::shared_ptr<SharedState> shared)
      : stream_(std::move(socket)), shared_(std::move(shared)) {}

  ~Connection() override {
    EndExchange();
    shared_->connections.erase(this);
  }

  void Start() {
    shared_->connections[this] = weak_from_this();
    error_code ec;
    stream_.socket().set_option(tcp::no_delay(true), ec);
    stream_.socket().set_option(asio::socket_base::keep_alive(true), ec);
    stream_.socket().non_blocking(true, ec);
    WaitForRequest();
  }

  // Returns whether input of a request has arrived that is not answered yet.
  bool HasPendingInput() {
    if (closed_ || in_exchange_) {
      return false;
    }
    error_code ec;
    return reading_request_ || buffer_.size() > 0 ||
           stream_.socket().available(ec) > 0;
  }

  void CloseIfIdle() {
    if (!in_exchange_ && !HasPendingInput()) {
      Close();
    }
  }

  void CloseNow() { Close(); }

  // --- CallerExchange ---

  void SendResponse(uint32_t status,
                    const HeaderList& headers,
                    const std::string& body) override {
    std::string text = ResponseHead(status, headers);
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n\r\n",
                   body.size());
    if (!is_head_request_) {
      text += body;
    }
    response_ends_ = true;
    Send(std::move(text));
  }

  void StartStream(uint32_t status, const HeaderList& headers) override {
    chunked_ = http_version_ >= 11;
    keep_alive_ = keep_alive_ && chunked_;
    std::string text = ResponseHead(status, headers);
    text += chunked_ ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    Send(std::move(text));
  }

  void Write(std::string data) override {
    if (!data.empty()) {
      Send(chunked_ ? fmt::format("{:x}\r\n{}\r\n", data.size(), data)
                    : std::move(data));
    }
  }

  void EndStream() override {
    response_ends_ = true;
    Send(chunked_ ? "0\r\n\r\n" : "");
  }

  void Abort() override {
    disconnect_handler_ = nullptr;
    // A reset signals the truncation also for a response whose end is marked by
    // the close of the connection.
    error_code ec;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  bool IsCongested() const override { return congested_; }

  void SetDrainedHandler(std::function<void()> handler) override {
    drained_handler_ = std::move(handler);
  }

  void SetDisconnectHandler(std::function<void()> handler) override {
    disconnect_handler_ = std::move(handler);
  }

 private:
  // --- Reading ---

  void WaitForRequest() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<uint32_t>(shared_->limits.max_header.value()) + 1024);
    parser_->body_limit(
        static_cast<uint64_t>(shared_->limits.max_body.value()));
    if (buffer_.size() > 0) {
      ReadHeader();
      return;
    }
    // Callers reuse a connection until the idle timeout. Half of it in addition
    // prevents closing the connection while a request is in transit.
    stream_.expires_after(shared_->limits.idle_timeout * 3 / 2);
    stream_.async_read_some(
        buffer_.prepare(kReadBufferBytes),
        [self = shared_from_this()](error_code ec, size_t n) {
          if (ec) {
            self->Close();
            return;
          }
          self->buffer_.commit(n);
          self->ReadHeader();
        });
  }

  void ReadHeader() {
    reading_request_ = true;
    stream_.expires_after(shared_->limits.header_timeout * 2);
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](error_code ec, size_t) {
                              if (ec) {
                                self->RejectMalformed(ec);
                                return;
                              }
                              self->ReadBody();
                            });
  }

  void ReadBody() {
    http_version_ = parser_->get().version();
    keep_alive_ = parser_->keep_alive();
    stream_.expires_after(shared_->limits.idle_timeout * 2);
    const auto expect = parser_->get()[http::field::expect];
    if (beast::iequals(expect, "100-continue")) {
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, size_t) {
                       if (ec) {
                         self->RejectMalformed(ec);
                         return;
                       }
                       self->OnRequest();
                     });
  }

  void RejectMalformed(error_code ec) {
    const bool connection_ended =
        ec == http::error::end_of_stream || ec == http::error::partial_message;
    if (connection_ended ||
        ec.category() !=
            http::make_error_code(http::error::bad_method).category()) {
      Close();
      return;
    }
    uint32_t status = 400;
    if (ec == http::error::header_limit) {
      status = 431;
    } else if (ec == http::error::body_limit) {
      status = 413;
    }
    Log(LogLevel::kWarning, "request_malformed", {{"reason", ec.message()}});
    keep_alive_ = false;
    StartExchange();
    SendResponse(status, {}, "");
  }

  void OnRequest() {
    stream_.expires_never();
    http::request<http::string_body> message = parser_->release();
    ReceivedRequest request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    for (const auto& it : message) {
      request.headers.push_back(
          {std::string(it.name_string()), std::string(it.value())});
    }
    request.body =
        std::make_shared<const std::string>(std::move(message.body()));
    is_head_request_ = request.method == "HEAD";
    StartExchange();
    WatchForDisconnect();
    shared_->handler(shared_from_this(), std::move(request));
  }

  // Input of a pipelined request ends the watch, because a disconnect behind it
  // can be detected only by reading that request.
  void WatchForDisconnect() {
    if (buffer_.size() > 0 || disconnect_watch_pending_) {
      return;
    }
    disconnect_watch_pending_ = true;
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](error_code ec) { self->OnReadable(ec); });
  }

  void OnReadable(error_code ec) {
    disconnect_watch_pending_ = false;
    if (ec || !in_exchange_ || closed_) {
      return;
    }
    char byte = 0;
    error_code read_ec;
    const size_t n = stream_.socket().receive(
        asio::buffer(&byte, 1), asio::socket_base::message_peek, read_ec);
    if (read_ec == asio::error::would_block) {
      WatchForDisconnect();
      return;
    }
    if (read_ec || n == 0) {
      Close();
    }
  }

  // --- Writing ---

  std::string ResponseHead(uint32_t status, const HeaderList& headers) {
    keep_alive_ = keep_alive_ && !shared_->draining;
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n", status,
                    std::string_view(reason.data(), reason.size()));
    AppendHeaders(headers, &text);
    if (!keep_alive_) {
      text += "Connection: close\r\n";
    }
    return text;
  }

  void Send(std::string text) {
    if (closed_) {
      return;
    }
    queued_output_ += text;
    congested_ = congested_ || PendingOutputBytes() > kCongestedOutputBytes;
    if (!write_pending_) {
      WriteQueuedOutput();
    }
  }

  size_t PendingOutputBytes() const {
    return queued_output_.size() + output_being_written_.size() -
           written_bytes_;
  }

  void WriteQueuedOutput() {
    write_pending_ = true;
    output_being_written_ = std::exchange(queued_output_, std::string());
    written_bytes_ = 0;
    WriteSome();
  }

  // Writes in steps, because the timeout restarts with each step that makes
  // progress.
  void WriteSome() {
    if (in_exchange_) {
      stream_.expires_after(kWriteTimeout);
    }
    stream_.async_write_some(
        asio::buffer(output_being_written_) + written_bytes_,
        [self = shared_from_this()](error_code ec, size_t n) {
          self->OnWritten(ec, n);
        });
  }

  void OnWritten(error_code ec, size_t n) {
    if (closed_) {
      return;
    }
    if (ec) {
      Close();
      return;
    }
    written_bytes_ += n;
    if (congested_ && PendingOutputBytes() < kDrainedOutputBytes) {
      congested_ = false;
      // The handler may replace itself or end the exchange.
      if (const auto handler = drained_handler_) {
        handler();
      }
      if (closed_) {
        return;
      }
    }
    if (written_bytes_ < output_being_written_.size()) {
      WriteSome();
      return;
    }
    write_pending_ = false;
    output_being_written_.clear();
    written_bytes_ = 0;
    if (!queued_output_.empty()) {
      WriteQueuedOutput();
      return;
    }
    if (!in_exchange_) {
      return;
    }
    stream_.expires_never();
    if (!response_ends_) {
      return;
    }
    EndExchange();
    if (keep_alive_) {
      WaitForRequest();
      return;
    }
    // Closing a socket with unread input would reset the connection and lose
    // the response.
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(kCloseTimeout);
    DrainInput();
  }

  void DrainInput() {
    buffer_.clear();
    stream_.async_read_some(buffer_.prepare(kReadBufferBytes),
                            [self = shared_from_this()](error_code ec, size_t) {
                              if (ec) {
                                self->Close();
                              } else {
                                self->DrainInput();
                              }
                            });
  }

  // --- State ---

  void StartExchange() {
    in_exchange_ = true;
    reading_request_ = false;
    response_ends_ = false;
    chunked_ = false;
    ++shared_->open_exchanges;
  }

  void EndExchange() {
    if (in_exchange_) {
      in_exchange_ = false;
      disconnect_handler_ = nullptr;
      drained_handler_ = nullptr;
      --shared_->open_exchanges;
    }
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    const auto self = shared_from_this();
    const auto disconnect_handler = std::move(disconnect_handler_);
    const auto drained_handler = std::move(drained_handler_);
    EndExchange();
    error_code ignored;
    stream_.socket().close(ignored);
    if (disconnect_handler) {
      disconnect_handler();
    }
  }

  beast::tcp_stream stream_;
  std::shared_ptr<SharedState> shared_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::function<void()> disconnect_handler_;
  std::function<void()> drained_handler_;
  unsigned http_version_ = 11;
  bool keep_alive_ = false;
  bool is_head_request_ = false;
  bool reading_request_ = false;  // A request has been received in part.
  bool in_exchange_ = false;
  bool chunked_ = false;
  bool response_ends_ = false;  // The queued output completes the response.
  bool disconnect_watch_pending_ = false;
  bool write_pending_ = false;
  bool closed_ = false;
  bool congested_ = false;  // See CallerExchange::IsCongested.
  std::string output_being_written_;
  size_t written_bytes_ = 0;  // Of output_being_written_.
  std::string queued_output_;
};

class HttpCallerServer : public CallerServer {
 public:
  HttpCallerServer(asio::io_context& io, std::shared_ptr<SharedState> shared)
      : io_(io), acceptor_(io), accept_retry_(io), shared_(std::move(shared)) {}

  ~HttpCallerServer() override { Stop(); }

  // Returns an error message, or an empty string on success.
  std::string Start(const std::string& address) {
    const std::optional<tcp::endpoint> parsed = ParseIpEndpoint(address);
    if (!parsed) {
      return fmt::format("'{}' is not <IP address>:<port>", address);
    }
    const tcp::endpoint& endpoint = *parsed;
    error_code ec;
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
      acceptor_.bind(endpoint, ec);
    }
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return fmt::format("cannot listen on {}: {}", address, ec.message());
    }
    Accept();
    return "";
  }

  void SetLimits(const CallerLimits& limits) override {
    shared_->limits = limits;
  }

  void BeginDrain() override { shared_->draining = true; }
  uint64_t open_exchanges() const override { return shared_->open_exchanges; }
  uint64_t connections() const override { return shared_->connections.size(); }

  bool HasPendingInput() const override {
    const auto open = OpenConnections();
    return std::any_of(open.begin(), open.end(),
                       [](const auto& it) { return it->HasPendingInput(); });
  }

  void Stop() override {
    AcceptQueued();
    error_code ignored;
    acceptor_.close(ignored);
    accept_retry_.cancel();
    for (const auto& it : OpenConnections()) {
      CloseLaterIfIdle(it);
    }
  }

  void CloseAll() override {
    for (const auto& it : OpenConnections()) {
      it->CloseNow();
    }
  }

 private:
  std::vector<std::shared_ptr<Connection>> OpenConnections() const {
    std::vector<std::shared_ptr<Connection>> open;
    for (const auto& [key, weak] : shared_->connections) {
      if (auto connection = weak.lock()) {
        open.push_back(std::move(connection));
      }
    }
    return open;
  }

  // Closing the listener would reset connections that are established and wait
  // to be accepted.
  void AcceptQueued() {
    error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec) {
      tcp::socket socket(io_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        std::make_shared<Connection>(std::move(socket), shared_)->Start();
      }
    }
  }

  void Accept() {
    acceptor_.async_accept(io_, [this](error_code ec, tcp::socket socket) {
      if (ec == asio::error::operation_aborted) {
        return;
      }
      const bool is_open = acceptor_.is_open();
      if (ec) {
        if (is_open) {
          AcceptAfterDelay(ec);
        }
        return;
      }
      if (is_open) {
        Accept();
      }
      if (shared_->connections.size() < shared_->max_connections) {
        const auto connection =
            std::make_shared<Connection>(std::move(socket), shared_);
        connection->Start();
        if (!is_open) {
          CloseLaterIfIdle(connection);
        }
      }
    });
  }

  // A read of input that has arrived may be complete, with its handler queued.
  void CloseLaterIfIdle(const std::shared_ptr<Connection>& connection) {
    asio::post(io_, [connection] { connection->CloseIfIdle(); });
  }

  void AcceptAfterDelay(error_code accept_ec) {
    Log(LogLevel::kWarning, "accept_failed", {{"reason", accept_ec.message()}});
    accept_retry_.expires_after(kAcceptRetryDelay);
    accept_retry_.async_wait([this](error_code ec) {
      if (!ec && acceptor_.is_open()) {
        Accept();
      }
    });
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_;
  std::shared_ptr<SharedState> shared_;
};

}  // namespace

leaf::result<std::unique_ptr<CallerServer>> StartCallerServer(
    asio::io_context& io,
    const std::string& address,
    const CallerLimits& limits,
    uint32_t max_connections,
    ExchangeHandler handler) {
  auto shared = std::make_shared<SharedState>();
  shared->limits = limits;
  shared->max_connections = max_connections;
  shared->handler = std::move(handler);
  auto server = std::make_unique<HttpCallerServer>(io, std::move(shared));
  std::string error = server->Start(address);
  if (!error.empty()) {
    return leaf::new_error(CallerServerError{std::move(error)});
  }
  return std::unique_ptr<CallerServer>(std::move(server));
}

}  // namespace burdockhatch
