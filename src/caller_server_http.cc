#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/leaf/error.hpp>

#include "src/caller_request_http.h"
#include "src/caller_server.h"
#include "src/connection_bounds.h"
#include "src/connection_ends.h"
#include "src/exception_guard.h"
#include "src/ip_endpoint.h"
#include "src/log.h"
#include "src/request_memory.h"

namespace burdockhatch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using asio::ip::tcp;
using boost::system::error_code;
using MonotonicClock = std::chrono::steady_clock;

namespace {

// A caller that reads nothing of pending output for this long is treated as
// disconnected.
constexpr auto kWriteTimeout = std::chrono::seconds(30);
// Time for the caller to close a connection after the server has shut down its
// sending side.
constexpr auto kCloseTimeout = std::chrono::seconds(1);
// Bounds the time that one connection takes from the others.
constexpr int kMaxReceivesPerTurn = 16;
// A timer that runs later than this shows that the process was held up.
constexpr auto kMaxTimerDelay = std::chrono::milliseconds(100);
// Output that waits for a slow caller: above the first mark the response is
// not read on, below the second it is again.
constexpr size_t kCongestedOutputBytes = 256 * 1024;
constexpr size_t kDrainedOutputBytes = 64 * 1024;
// Wait after a failed accept, for example when no descriptor is free. The
// failed connection stays in the queue, so an immediate retry would spin.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

// Retry-After, in seconds, of a request that is refused without being handled.
constexpr std::string_view kRefusalRetryAfter = "0.3";
// Time for a caller to send a request when the table of connections is full.
constexpr auto kFullTableReadTimeout = std::chrono::seconds(2);
// Time in which callers may not know of newer limits.
constexpr auto kLimitsOverlap = std::chrono::seconds(10);

// Receive buffer of a connection: enough for 100 Mbit/s to a caller 10 ms away.
// Without it the kernel holds up to 6 MB of input that is not read.
constexpr int kReceiveBufferBytes = 128 * 1024;
// What the kernel takes for such a buffer.
constexpr size_t kUnreadInputBytes = size_t{2} * kReceiveBufferBytes;
// When the table of connections is full, one that has waited this long without
// progress gives way to a new one.
constexpr auto kMinStalledTime = std::chrono::seconds(1);

Time ToTime(MonotonicClock::time_point time) {
  return Time(std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

// Returns `limits` with no shorter times than those of `other`.
CallerLimits WithLongerTimes(CallerLimits limits, const CallerLimits& other) {
  limits.header_timeout = std::max(limits.header_timeout, other.header_timeout);
  limits.idle_timeout = std::max(limits.idle_timeout, other.idle_timeout);
  return limits;
}

struct SharedState {
  CallerLimits limits;
  // The longest times of earlier limits that callers may still count on.
  CallerLimits earlier_limits;
  MonotonicClock::time_point earlier_limits_until{};
  ConnectionBounds bounds;
  std::shared_ptr<RequestMemory> memory;
  ExchangeHandler handler;
  bool draining = false;
  uint64_t open_exchanges = 0;
  std::map<void*, std::weak_ptr<class Connection>> connections;
};

// One HTTP connection. All members are used on one thread.
class Connection : public CallerExchange,
                   public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket,
             std::shared_ptr<SharedState> shared,
             bool exceeds_limit)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        shared_(std::move(shared)),
        exceeds_limit_(exceeds_limit) {}

  ~Connection() override {
    EndExchange();
    shared_->memory->Release(this);
    shared_->connections.erase(this);
  }

  void Start() {
    shared_->connections[this] = weak_from_this();
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    socket_.set_option(asio::socket_base::keep_alive(true), ec);
    socket_.non_blocking(true, ec);
    Guard([this] { WaitForRequest(); });
  }

  // Returns whether input of a request has arrived that is not answered yet.
  bool HasPendingInput() {
    if (closed_ || in_exchange_) {
      return false;
    }
    error_code ec;
    return (!draining_input_ && reader_.has_input()) ||
           socket_.available(ec) > 0;
  }

  void CloseIfIdle() {
    if (!in_exchange_ && !HasPendingInput()) {
      Close(ConnectionEnd::kStop);
    }
  }

  // Callers may count on newer, larger limits as well as on the older ones.
  void RaiseLimits(const CallerLimits& newer) {
    wait_limits_ = WithLongerTimes(wait_limits_, newer);
    reader_.RaiseLimits(newer);
  }

  void CloseNow() { Close(ConnectionEnd::kStop); }

  // The time since which the connection has waited for input, if it may be
  // closed in favour of another one.
  std::optional<MonotonicClock::time_point> StalledSince() const {
    const bool waits = wait_ == Wait::kRequest || wait_ == Wait::kHeader ||
                       wait_ == Wait::kBody || wait_ == Wait::kClose;
    return waits && !closed_ ? std::optional(last_input_at_) : std::nullopt;
  }

  // Closes the connection unless input has arrived that is not read yet.
  void CloseForAnother() {
    error_code ec;
    if (draining_input_ || socket_.available(ec) == 0) {
      Close(ConnectionEnd::kTableFull);
    }
  }

  // Ends the request because the entry holds too much memory. Returns false if
  // it has been sent to a target, or has ended.
  bool Shed() {
    if (closed_ || (!in_exchange_ && !reader_.has_input())) {
      return false;
    }
    if (!in_exchange_) {
      Refuse(503, ConnectionEnd::kMemory);
      return true;
    }
    // The handler ends the exchange, which releases it.
    const auto handler = shed_handler_;
    return handler && handler();
  }

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
    Send(std::move(text), /*ends_response=*/true);
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
    Send(chunked_ ? "0\r\n\r\n" : "", /*ends_response=*/true);
  }

  void Abort() override {
    disconnect_handler_ = nullptr;
    CutOff(ConnectionEnd::kAborted);
  }

  bool IsCongested() const override { return congested_; }

  void SetDrainedHandler(std::function<void()> handler) override {
    drained_handler_ = std::move(handler);
  }

  void SetDisconnectHandler(std::function<void()> handler) override {
    disconnect_handler_ = std::move(handler);
  }

  void SetShedHandler(std::function<bool()> handler) override {
    shed_handler_ = std::move(handler);
  }

 private:
  // --- Exceptions ---

  // Runs a step of the connection. An exception ends this connection only.
  template <class Step>
  void Guard(Step&& step) {
    if (RunGuarded("caller_connection", std::forward<Step>(step)) || closed_) {
      return;
    }
    if (!RunGuarded("caller_connection", [this] { OnStepFailed(); })) {
      RunGuarded("caller_connection",
                 [this] { CutOff(ConnectionEnd::kException); });
    }
  }

  void OnStepFailed() {
    if (in_exchange_) {
      CutOff(ConnectionEnd::kException);
    } else if (!draining_input_ && HasPendingInput()) {
      Refuse(503, ConnectionEnd::kException);
    } else {
      Close(ConnectionEnd::kException);
    }
  }

  // Ends an exchange whose handler has thrown. What it has done is unknown.
  void OnHandlerFailed() {
    if (closed_ || response_ends_) {
      return;
    }
    if (response_begun_) {
      CutOff(ConnectionEnd::kException);
      return;
    }
    if (const auto handler = std::exchange(disconnect_handler_, nullptr)) {
      RunGuarded("request_handler", handler);
    }
    keep_alive_ = false;
    SendResponse(500, {}, "");
  }

  void CutOff(ConnectionEnd reason) {
    // A reset signals the truncation also for a response whose end is marked by
    // the close of the connection.
    error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    Close(reason);
  }

  // --- Memory ---

  // Counts what the connection holds, and sheds requests if all of them hold
  // too much, possibly its own.
  void CountMemory() {
    const MonotonicClock::time_point now = MonotonicClock::now();
    const RequestStage stage =
        in_exchange_ ? RequestStage::kWaiting : RequestStage::kReading;
    const size_t held = in_exchange_ ? request_bytes_ : reader_.held_bytes();
    shared_->memory->Update(this,
                            {held + (has_unread_input_ ? kUnreadInputBytes : 0),
                             reader_.received_bytes(), stage},
                            ToTime(now));
    while (const auto owner = shared_->memory->Choose(ToTime(now))) {
      const auto it = shared_->connections.find(const_cast<void*>(*owner));
      const std::shared_ptr<Connection> victim =
          it == shared_->connections.end() ? nullptr : it->second.lock();
      bool is_shed = false;
      if (victim) {
        victim->Guard([&] { is_shed = victim->Shed(); });
      }
      if (!is_shed && shared_->memory->IsChosen(*owner)) {
        shared_->memory->MarkSent(*owner);
      }
    }
  }

  // The request is over, also if its response has not been read.
  void ReleaseMemory() {
    shared_->memory->Release(this);
    request_bytes_ = 0;
    has_unread_input_ = false;
    shed_handler_ = nullptr;
  }

  // --- Reading ---

  void WaitForRequest() {
    reader_.Begin(shared_->limits);
    last_input_at_ = MonotonicClock::now();
    BeginWait(Wait::kRequest);
    if (HandleInput()) {
      return;
    }
    if (reader_.has_input()) {
      CountMemory();
    }
    if (!in_exchange_ && !closed_) {
      WatchInput();
    }
  }

  // Handles what has been read. Returns false if more input is needed.
  bool HandleInput() {
    while (true) {
      switch (reader_.Parse()) {
        case CallerRequestReader::State::kNeedsInput:
          if (wait_ == Wait::kRequest && reader_.has_input()) {
            BeginWait(Wait::kHeader);
          }
          return false;
        case CallerRequestReader::State::kHeaderRead:
          if (!OnHeaderRead()) {
            return true;
          }
          break;
        case CallerRequestReader::State::kComplete:
          OnRequest();
          return true;
        case CallerRequestReader::State::kMalformed:
          Log(LogLevel::kWarning, "request_malformed",
              {{"reason", reader_.error_message()}});
          Refuse(reader_.error_status(), ConnectionEnd::kMalformed);
          return true;
      }
    }
  }

  bool ExceedsLimit() {
    exceeds_limit_ =
        exceeds_limit_ && shared_->connections.size() > shared_->bounds.served;
    return exceeds_limit_;
  }

  // Returns false if the request is refused.
  bool OnHeaderRead() {
    http_version_ = reader_.http_version();
    keep_alive_ = reader_.keep_alive();
    if (ExceedsLimit()) {
      Refuse(503, ConnectionEnd::kTableFull);
      return false;
    }
    BeginWait(Wait::kBody);
    if (reader_.expects_continue()) {
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
  }

  void ReadInput() {
    for (int i = 0; i < kMaxReceivesPerTurn; ++i) {
      error_code ec;
      reader_.Receive(socket_, ec);
      if (ec == asio::error::would_block) {
        WatchInput();
        return;
      }
      if (ec) {
        OnInputEnded(ec);
        return;
      }
      last_input_at_ = MonotonicClock::now();
      if (HandleInput()) {
        return;
      }
      CountMemory();
      if (in_exchange_ || closed_) {
        return;
      }
    }
    WatchInput();
  }

  void OnInputEnded(error_code ec) {
    // A caller that has shut down only its sending side reads the refusal.
    if (ec == asio::error::eof && reader_.has_input()) {
      Refuse(400, ConnectionEnd::kDisconnect);
    } else {
      Close(ConnectionEnd::kDisconnect);
    }
  }

  // Refuses a request that has not been handled.
  void Refuse(uint32_t status, ConnectionEnd reason) {
    ReportRefused(reason, status);
    keep_alive_ = false;
    is_refused_ = true;
    reader_.Discard();
    StartExchange();
    HeaderList headers;
    if (status == 503) {
      headers.push_back({"Retry-After", std::string(kRefusalRetryAfter)});
    }
    SendResponse(status, headers, "");
  }

  void OnRequest() {
    CountMemory();
    if (in_exchange_ || closed_) {
      return;
    }
    request_bytes_ = reader_.held_bytes();
    ReceivedRequest request = reader_.Take();
    is_head_request_ = request.method == "HEAD";
    StartExchange();
    has_unread_input_ = reader_.buffered_bytes() > 0;
    CountMemory();
    // Input of a pipelined request ends the watch, because a disconnect behind
    // it can be detected only by reading that request.
    if (reader_.buffered_bytes() == 0) {
      RunGuarded("caller_connection", [this] { WatchInput(); });
    }
    if (!RunGuarded("request_handler", [&] {
          shared_->handler(shared_from_this(), std::move(request));
        })) {
      OnHandlerFailed();
    }
  }

  void WatchInput() {
    if (input_watch_pending_ || closed_) {
      return;
    }
    socket_.async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
          if (self->in_exchange_) {
            // Without the watch, a disconnect is found by the next write.
            RunGuarded("caller_connection", [&] { self->OnReadable(ec); });
          } else {
            self->Guard([&] { self->OnReadable(ec); });
          }
        });
    input_watch_pending_ = true;
  }

  void OnReadable(error_code ec) {
    input_watch_pending_ = false;
    if (ec || closed_) {
      return;
    }
    if (in_exchange_) {
      if (!is_refused_) {
        CheckForDisconnect();
      }
    } else if (draining_input_) {
      DrainInput();
    } else {
      ReadInput();
    }
  }

  void CheckForDisconnect() {
    char byte = 0;
    error_code read_ec;
    const size_t n = socket_.receive(asio::buffer(&byte, 1),
                                     asio::socket_base::message_peek, read_ec);
    if (read_ec == asio::error::would_block) {
      WatchInput();
      return;
    }
    if (read_ec || n == 0) {
      Close(ConnectionEnd::kDisconnect);
      return;
    }
    // Input behind the request stays in the kernel until the request is over.
    has_unread_input_ = true;
    CountMemory();
  }

  // --- Timeouts ---

  // What the connection waits for.
  enum class Wait : uint8_t { kNone, kRequest, kHeader, kBody, kWrite, kClose };

  Duration TimeAllowed() {
    if ((wait_ == Wait::kRequest || wait_ == Wait::kHeader) && ExceedsLimit()) {
      return kFullTableReadTimeout;
    }
    switch (wait_) {
      case Wait::kRequest:
        // Callers reuse a connection until the idle timeout. Half of it in
        // addition prevents closing the connection while a request is in
        // transit.
        return wait_limits_.idle_timeout * 3 / 2;
      case Wait::kHeader:
        return wait_limits_.header_timeout * 2;
      case Wait::kBody:
        return wait_limits_.idle_timeout * 2;
      case Wait::kWrite:
        return kWriteTimeout;
      case Wait::kClose:
        return kCloseTimeout;
      case Wait::kNone:
        break;
    }
    return Duration::max();
  }

  void BeginWait(Wait wait) {
    wait_ = wait;
    wait_began_at_ = MonotonicClock::now();
    wait_limits_ =
        wait_began_at_ < shared_->earlier_limits_until
            ? WithLongerTimes(shared_->limits, shared_->earlier_limits)
            : shared_->limits;
    StartTimer(wait_began_at_ + TimeAllowed());
  }

  void EndWait() {
    wait_ = Wait::kNone;
    timer_.expires_at(MonotonicClock::time_point::max());
  }

  void StartTimer(MonotonicClock::time_point at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      self->Guard([&] { self->OnTimer(ec); });
    });
  }

  void OnTimer(error_code ec) {
    const MonotonicClock::time_point now = MonotonicClock::now();
    // The handler of a timer that was set anew may have been queued.
    if (ec || closed_ || now < timer_.expiry()) {
      return;
    }
    if (now < wait_began_at_ + TimeAllowed()) {
      StartTimer(wait_began_at_ + TimeAllowed());  // Newer limits are longer.
      return;
    }
    const MonotonicClock::duration delay = now - timer_.expiry();
    switch (wait_) {
      case Wait::kRequest:
      case Wait::kHeader:
      case Wait::kBody:
        OnReadTimeout(delay);
        break;
      case Wait::kWrite:
        if (delay > kMaxTimerDelay) {
          StartTimer(now + delay);
        } else {
          Close(ConnectionEnd::kWriteTimeout);
        }
        break;
      case Wait::kClose:
        Close(ConnectionEnd::kConnectionClose);
        break;
      case Wait::kNone:
        break;
    }
  }

  void OnReadTimeout(MonotonicClock::duration timer_delay) {
    // Input may have arrived that this turn of the loop has not read yet.
    const Wait wait = wait_;
    ReadInput();
    if (closed_ || wait_ != wait) {
      return;
    }
    if (timer_delay > kMaxTimerDelay) {
      // Time in which the process did not read is not the caller's.
      StartTimer(MonotonicClock::now() + timer_delay);
    } else if (wait_ == Wait::kRequest) {
      Close(ConnectionEnd::kIdleTimeout);
    } else {
      Refuse(408, ConnectionEnd::kReadTimeout);
    }
  }

  // --- Writing ---

  std::string ResponseHead(uint32_t status, const HeaderList& headers) {
    response_begun_ = true;
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

  void Send(std::string text, bool ends_response = false) {
    if (closed_) {
      return;
    }
    queued_output_ += text;
    congested_ = congested_ || PendingOutputBytes() > kCongestedOutputBytes;
    if (!write_pending_) {
      try {
        WriteQueuedOutput();
      } catch (...) {
        // Nothing was written, so the handler may send another response.
        write_pending_ = false;
        output_being_written_.clear();
        throw;
      }
    }
    response_ends_ = response_ends_ || ends_response;
    if (ends_response) {
      EndRequestMemory();
    }
  }

  // Releases the request once its response is complete, as a slow caller may
  // take long to read it. The handlers own the request.
  void EndRequestMemory() {
    ReleaseMemory();
    asio::post(socket_.get_executor(),
               [handler = std::exchange(disconnect_handler_, nullptr)] {});
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
      BeginWait(Wait::kWrite);
    }
    socket_.async_write_some(
        asio::buffer(output_being_written_) + written_bytes_,
        [self = shared_from_this()](error_code ec, size_t n) {
          self->Guard([&] { self->OnWritten(ec, n); });
        });
  }

  void OnWritten(error_code ec, size_t n) {
    if (closed_) {
      return;
    }
    if (ec) {
      Close(ConnectionEnd::kWriteFailed);
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
    EndWait();
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
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    BeginWait(Wait::kClose);
    if (reader_.buffered_bytes() > 0 && !is_refused_) {
      ReportUnanswered(ConnectionEnd::kConnectionClose, RequestProgress::kPart,
                       reader_.buffered_bytes());
    }
    draining_input_ = true;
    DrainInput();
  }

  void DrainInput() {
    error_code ec;
    reader_.Discard();
    CallerRequestReader::Drop(socket_, ec);
    if (ec && ec != asio::error::would_block) {
      Close(ConnectionEnd::kConnectionClose);
      return;
    }
    WatchInput();
  }

  // --- State ---

  void StartExchange() {
    in_exchange_ = true;
    EndWait();
    response_begun_ = false;
    response_ends_ = false;
    chunked_ = false;
    ++shared_->open_exchanges;
  }

  void EndExchange() {
    if (in_exchange_) {
      in_exchange_ = false;
      disconnect_handler_ = nullptr;
      drained_handler_ = nullptr;
      ReleaseMemory();
      --shared_->open_exchanges;
    }
  }

  // What has been read of a request that is not answered.
  RequestProgress UnansweredProgress() {
    if (in_exchange_) {
      return RequestProgress::kWhole;
    }
    return !draining_input_ && HasPendingInput() ? RequestProgress::kPart
                                                 : RequestProgress::kNone;
  }

  void Close(ConnectionEnd reason) {
    if (closed_) {
      return;
    }
    const RequestProgress progress = UnansweredProgress();
    if (progress != RequestProgress::kNone) {
      ReportUnanswered(reason, progress, reader_.buffered_bytes());
    }
    closed_ = true;
    EndWait();
    const auto self = shared_from_this();
    const auto disconnect_handler = std::move(disconnect_handler_);
    const auto drained_handler = std::move(drained_handler_);
    EndExchange();
    reader_.Discard();
    ReleaseMemory();
    shared_->connections.erase(this);
    error_code ignored;
    socket_.close(ignored);
    if (disconnect_handler) {
      disconnect_handler();
    }
  }

  tcp::socket socket_;
  asio::steady_timer timer_;  // Runs while wait_ is set.
  std::shared_ptr<SharedState> shared_;
  CallerRequestReader reader_;
  Wait wait_ = Wait::kNone;
  CallerLimits wait_limits_;  // The longest in force since the wait began.
  MonotonicClock::time_point wait_began_at_;
  std::function<void()> disconnect_handler_;
  std::function<void()> drained_handler_;
  std::function<bool()> shed_handler_;
  MonotonicClock::time_point last_input_at_{};
  size_t request_bytes_ = 0;  // Held by the request in the exchange.
  // More input arrived during the exchange and stays unread.
  bool has_unread_input_ = false;
  unsigned http_version_ = 11;
  bool keep_alive_ = false;
  bool is_head_request_ = false;
  bool in_exchange_ = false;
  bool exceeds_limit_;           // The table of connections was full.
  bool is_refused_ = false;      // The buffer may hold the rest of the request.
  bool draining_input_ = false;  // The last response has been sent.
  bool chunked_ = false;
  bool response_begun_ = false;
  bool response_ends_ = false;  // The queued output completes the response.
  bool input_watch_pending_ = false;
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
      // Accepted connections inherit it. Set before listen(), because it limits
      // the window that callers are offered.
      acceptor_.set_option(
          asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return fmt::format("cannot listen on {}: {}", address, ec.message());
    }
    Accept();
    return "";
  }

  void SetLimits(const CallerLimits& limits) override {
    const MonotonicClock::time_point now = MonotonicClock::now();
    shared_->earlier_limits =
        now < shared_->earlier_limits_until
            ? WithLongerTimes(shared_->limits, shared_->earlier_limits)
            : shared_->limits;
    shared_->earlier_limits_until = now + kLimitsOverlap;
    shared_->limits = limits;
    shared_->memory->SetLargestBody(limits.max_body);
    for (const auto& it : OpenConnections()) {
      it->RaiseLimits(limits);
    }
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
        StartConnection(std::move(socket));
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
      const std::shared_ptr<Connection> connection =
          StartConnection(std::move(socket));
      if (!is_open) {
        if (connection) {
          CloseLaterIfIdle(connection);
        }
        return;
      }
      if (!RunGuarded("accept", [this] { Accept(); })) {
        AcceptAfterDelay(asio::error::no_memory);
      }
    });
  }

  // Returns null if the connection was closed at once.
  std::shared_ptr<Connection> StartConnection(tcp::socket socket) {
    if (shared_->connections.size() >= shared_->bounds.served) {
      CloseStalledConnection();
    }
    const size_t open = shared_->connections.size();
    // Requests on connections above the first bound are refused; above the
    // second one connections are closed.
    if (open >= shared_->bounds.open) {
      ReportUnanswered(ConnectionEnd::kTableFull, RequestProgress::kNone, 0);
      return nullptr;
    }
    std::shared_ptr<Connection> connection;
    if (!RunGuarded("caller_connection", [&] {
          connection = std::make_shared<Connection>(
              std::move(socket), shared_, open >= shared_->bounds.served);
          connection->Start();
        })) {
      ReportUnanswered(ConnectionEnd::kException, RequestProgress::kNone, 0);
      return nullptr;
    }
    return connection;
  }

  // Closes the connection that has waited longest without input, if it has for
  // kMinStalledTime.
  void CloseStalledConnection() {
    MonotonicClock::time_point longest =
        MonotonicClock::now() - kMinStalledTime;
    std::shared_ptr<Connection> stalled;
    for (const auto& [key, weak] : shared_->connections) {
      const std::shared_ptr<Connection> it = weak.lock();
      const auto since = it ? it->StalledSince() : std::nullopt;
      if (since && *since < longest) {
        longest = *since;
        stalled = it;
      }
    }
    if (stalled) {
      RunGuarded("caller_connection", [&] { stalled->CloseForAnother(); });
    }
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
    ExchangeHandler handler,
    std::shared_ptr<RequestMemory> memory) {
  auto shared = std::make_shared<SharedState>();
  shared->limits = limits;
  shared->bounds = BoundConnections(max_connections, DescriptorLimit());
  shared->memory = std::move(memory);
  shared->memory->SetLargestBody(limits.max_body);
  shared->handler = std::move(handler);
  auto server = std::make_unique<HttpCallerServer>(io, std::move(shared));
  std::string error = server->Start(address);
  if (!error.empty()) {
    return leaf::new_error(CallerServerError{std::move(error)});
  }
  return std::unique_ptr<CallerServer>(std::move(server));
}

}  // namespace burdockhatch
