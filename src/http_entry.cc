#include "src/http_entry.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/leaf/error.hpp>

#include "src/answer_assembler.h"
#include "src/caller_api.h"
#include "src/log.h"

namespace burdockhatch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using asio::ip::tcp;

// A connection on which no request arrives, or whose request does not arrive
// completely, within this time is closed.
constexpr auto kReadTimeout = std::chrono::seconds(75);
// A caller that takes nothing for this long is treated as gone.
constexpr auto kWriteTimeout = std::chrono::seconds(60);
constexpr uint32_t kMaxHeaderBytes = 16 * 1024;
constexpr size_t kReadBufferBytes = 64 * 1024;

RequestId DrawRequestId() {
  // Not decision logic: ids must differ between processes and runs.
  thread_local std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return {generator(), generator() | 1};
}

class Session;

// What all sessions share.
struct Shared {
  HttpEntryOptions options;
  HttpSessionDelegate* control = nullptr;
  const Clock* clock = nullptr;
  Metrics* metrics = nullptr;
  std::atomic<ServingPhase> phase = ServingPhase::kStarting;
  std::atomic<uint64_t> connections = 0;
  // Requests of callers whose answer is not yet written to the end.
  std::atomic<uint64_t> in_progress = 0;

  std::mutex mutex;  // Guards the members below.
  FleetConfigPtr config;
  std::map<RequestId, std::shared_ptr<Session>> requests;
  std::map<Session*, std::weak_ptr<Session>> sessions;
  // Sessions that wait for the text of the state.
  std::map<Session*, std::shared_ptr<Session>> dumps;

  FleetConfigPtr Config() {
    const std::lock_guard lock(mutex);
    return config;
  }
};

// One connection of a caller. All members are used on its strand only.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Shared> shared, bool refuse)
      : stream_(std::move(socket)),
        shared_(std::move(shared)),
        buffer_(kReadBufferBytes + kMaxHeaderBytes),
        refuse_(refuse) {
    ++shared_->connections;
  }

  ~Session() {
    LeaveProgress();
    --shared_->connections;
    const std::lock_guard lock(shared_->mutex);
    shared_->sessions.erase(this);
  }

  void Start() {
    {
      const std::lock_guard lock(shared_->mutex);
      shared_->sessions[this] = weak_from_this();
    }
    Post([this] {
      boost::system::error_code ec;
      stream_.socket().set_option(tcp::no_delay(true), ec);
      stream_.socket().non_blocking(true, ec);
      ReadRequest();
    });
  }

  // Runs `step` on the strand.
  template <class Step>
  void Post(Step step) {
    asio::post(stream_.get_executor(),
               [self = shared_from_this(), step = std::move(step)]() mutable {
                 step();
               });
  }

  void FillAndSendOffer(const PeerId& to, Offer offer) {
    if (!IsActive(offer.attempt.request)) {
      return;
    }
    assembler_.SwitchToAttempt(offer.attempt.number);
    offer.first_chunk = assembler_.next_chunk();
    if (request_.spec.kind == WorkKind::kCompletion) {
      offer.generated_prefix = assembler_.text();
    }
    offer.body = request_.payload;
    shared_->control->SendOfferToAgent(to, std::move(offer));
  }

  void OnChunk(Chunk chunk) {
    if (!IsActive(chunk.attempt.request)) {
      return;
    }
    const std::vector<std::string> parts = assembler_.Add(std::move(chunk));
    if (parts.empty()) {
      return;
    }
    ObserveFirstChunk();
    if (request_.stream) {
      for (const std::string& it : parts) {
        WriteStreamPart(CompletionChunkEvent(head_, it));
      }
    }
    shared_->control->ReportProgress(assembler_.attempt(),
                                     assembler_.next_chunk());
  }

  void Complete(const CompleteRequest& complete) {
    if (!IsActive(complete.request)) {
      return;
    }
    if (assembler_.next_chunk() != complete.chunk_count) {
      Fail({complete.request, {ErrorCode::kInternal, Outcome::kRan, {}}});
      return;
    }
    CountOutcome(ErrorCode::kNone);
    if (request_.format == ResponseFormat::kService) {
      WriteWhole(static_cast<int>(complete.http_status), complete.content_type,
                 assembler_.text());
    } else if (request_.stream) {
      EndStream(FinalStreamEvents(head_));
    } else {
      WriteWhole(200, "application/json",
                 CompletionResponseBody(head_, assembler_.text(),
                                        request_.spec.prompt_tokens,
                                        assembler_.tokens()));
    }
    EndRequest();
  }

  void Fail(const FailRequest& fail) {
    if (!IsActive(fail.request)) {
      return;
    }
    CountOutcome(fail.failure.code);
    const std::string_view message = ErrorMessageFor(fail.failure.code);
    if (header_written_) {
      keep_alive_ = false;
      EndStream(ErrorStreamEvent(fail.failure, message));
    } else {
      WriteError(fail.failure, message);
    }
    LogRequest(
        LogLevel::kWarning, fail.request, "request_failed",
        {{"code", std::string(ToString(fail.failure.code))},
         {"outcome", std::string(ToString(fail.failure.outcome))},
         {"attempts", std::to_string(assembler_.attempt().number.value())}});
    EndRequest();
  }

  void Close() {
    boost::system::error_code ec;
    closed_ = true;
    LeaveProgress();
    stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
    stream_.close();
  }

 private:
  bool IsActive(const RequestId& request) const {
    return active_ && head_.request == request;
  }

  // --- Reading ---

  void ReadRequest() {
    if (closed_) {
      return;
    }
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(
        static_cast<uint64_t>(shared_->options.limits.max_body.value()));
    stream_.expires_after(kReadTimeout);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](boost::system::error_code ec,
                                                 size_t) { self->OnRead(ec); });
  }

  void OnRead(boost::system::error_code ec) {
    stream_.expires_never();
    if (ec == http::error::body_limit) {
      Refuse({ErrorCode::kBodyTooLarge, Outcome::kNotRun, {}},
             ErrorMessageFor(ErrorCode::kBodyTooLarge));
      return;
    }
    // Whatever is not an error of the parser is one of the connection.
    const bool parse_error =
        ec.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        ec != http::error::end_of_stream && ec != http::error::partial_message;
    if (ec && !parse_error) {
      Close();
      return;
    }
    if (ec) {
      Refuse({ErrorCode::kInvalidRequest, Outcome::kNotRun, {}},
             "the request is not valid HTTP");
      return;
    }
    Handle(parser_->release());
  }

  // Answers a request that could not be read to its end; the connection cannot
  // go on.
  void Refuse(const Failure& failure, std::string_view message) {
    keep_alive_ = false;
    drain_input_ = true;
    CountOutcome(failure.code);
    WriteError(failure, message);
  }

  static std::string Field(const http::request<http::string_body>& request,
                           std::string_view name) {
    const auto it = request.find(beast::string_view(name.data(), name.size()));
    return it == request.end()
               ? std::string()
               : std::string(it->value().data(), it->value().size());
  }

  void Handle(http::request<http::string_body> request) {
    const ServingPhase phase = shared_->phase;
    keep_alive_ = request.keep_alive() && phase != ServingPhase::kTerminating &&
                  phase != ServingPhase::kDraining;
    header_written_ = false;
    CallerHttpRequest input;
    input.method.assign(request.method_string().data(),
                        request.method_string().size());
    input.target.assign(request.target().data(), request.target().size());
    if (HandleOperatorPath(input.method,
                           input.target.substr(0, input.target.find('?')))) {
      return;
    }
    if (!shared_->options.caller_api_enabled) {
      WriteError({ErrorCode::kNotFound, Outcome::kNotRun, {}},
                 "there is no such path");
      return;
    }
    if (refuse_) {
      Refuse(
          {ErrorCode::kOverloaded, Outcome::kNotRun, std::chrono::seconds(1)},
          "this entry has too many connections");
      return;
    }
    if (phase == ServingPhase::kStarting || phase == ServingPhase::kDraining) {
      CountOutcome(ErrorCode::kNotReady);
      WriteError(
          {ErrorCode::kNotReady, Outcome::kNotRun, std::chrono::seconds(1)},
          ErrorMessageFor(ErrorCode::kNotReady));
      return;
    }
    input.client_account = Field(request, "X-Client-Account");
    input.authorization = Field(request, "Authorization");
    input.deadline_ms = Field(request, "X-Deadline-Ms");
    if (request.count("Idempotency-Key") != 0) {
      input.idempotency_key = Field(request, "Idempotency-Key");
    }
    input.body = std::move(request.body());
    StartRequest(std::move(input));
  }

  bool HandleOperatorPath(const std::string& method, const std::string& path) {
    const ServingPhase phase = shared_->phase;
    const bool stopping =
        phase == ServingPhase::kTerminating || phase == ServingPhase::kDraining;
    if (path == "/healthz") {
      WriteWhole(stopping ? 503 : 200, "text/plain",
                 stopping ? "stopping\n" : "ok\n");
    } else if (path == "/readyz") {
      const bool ready = phase == ServingPhase::kServing;
      WriteWhole(ready ? 200 : 503, "text/plain",
                 ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
      WriteWhole(200, "text/plain; version=0.0.4",
                 shared_->control->MetricsText());
    } else if (path == "/debug/state") {
      WriteState();
    } else {
      return false;
    }
    return true;
  }

  // The control thread may outlive the sessions, so it must not own this one;
  // it is kept in the shared table until the text comes.
  void WriteState() {
    {
      const std::lock_guard lock(shared_->mutex);
      shared_->dumps[this] = shared_from_this();
    }
    shared_->control->DumpState(
        [weak = weak_from_this()](const std::string& text) {
          if (const std::shared_ptr<Session> self = weak.lock()) {
            self->Post([session = self.get(), text] {
              session->WriteWhole(200, "application/json", text);
              const std::lock_guard lock(session->shared_->mutex);
              session->shared_->dumps.erase(session);
            });
          }
        });
  }

  // --- One request of a caller ---

  void StartRequest(CallerHttpRequest input) {
    const FleetConfigPtr config = shared_->Config();
    std::variant<CallerRequest, CallerRequestError> parsed = ParseCallerRequest(
        std::move(input), config.get(), shared_->options.limits);
    if (const auto* error = std::get_if<CallerRequestError>(&parsed)) {
      CountOutcome(error->code);
      WriteError({error->code, Outcome::kNotRun, {}}, error->message);
      return;
    }
    request_ = std::move(std::get<CallerRequest>(parsed));
    started_ = shared_->clock->Now();
    request_.spec.request = DrawRequestId();
    request_.spec.deadline = started_ + request_.timeout;
    head_ = {request_.spec.request, request_.spec.model, request_.format,
             shared_->clock->WallNow().count()};
    assembler_ = AnswerAssembler(head_.request);
    active_ = true;
    in_progress_ = true;
    ++shared_->in_progress;
    first_chunk_seen_ = false;
    {
      const std::lock_guard lock(shared_->mutex);
      shared_->requests[head_.request] = shared_from_this();
    }
    WatchForDisconnect();
    shared_->control->SubmitRequest(request_.spec);
  }

  void LeaveProgress() {
    if (in_progress_) {
      in_progress_ = false;
      --shared_->in_progress;
    }
  }

  void EndRequest() {
    active_ = false;
    const std::lock_guard lock(shared_->mutex);
    shared_->requests.erase(head_.request);
  }

  // While a request is in progress nothing is read, so the end of the
  // connection is noticed by waiting for readability and looking at what came.
  void WatchForDisconnect() {
    if (watching_) {
      return;
    }
    watching_ = true;
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](boost::system::error_code ec) {
          self->watching_ = false;
          self->OnReadable(ec);
        });
  }

  void OnReadable(boost::system::error_code ec) {
    if (!active_ || closed_) {
      return;
    }
    char byte = 0;
    if (!ec) {
      stream_.socket().receive(asio::buffer(&byte, 1),
                               tcp::socket::message_peek, ec);
    }
    if (ec == asio::error::would_block) {
      WatchForDisconnect();
      return;
    }
    // Without an error the caller has sent its next request early; it is read
    // after this one.
    if (ec) {
      OnCallerGone();
    }
  }

  void OnCallerGone() {
    if (active_) {
      CountOutcome("caller_gone");
      shared_->control->OnCallerDisconnected(head_.request);
      EndRequest();
    }
    Close();
  }

  // --- Writing ---

  void WriteWhole(int status,
                  std::string_view content_type,
                  const std::string& body) {
    std::string text = Header(status, content_type);
    text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    text += body;
    ends_answer_ = true;
    Write(std::move(text));
  }

  void WriteError(const Failure& failure, std::string_view message) {
    std::string body = ErrorResponseBody(failure, message);
    std::string text = Header(HttpStatusOf(failure.code), "application/json");
    if (failure.retry_after > Duration(0)) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
      text += fmt::format("Retry-After: {}\r\n", seconds.count());
    }
    text += fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    ends_answer_ = true;
    Write(std::move(text));
  }

  std::string Header(int status, std::string_view content_type) const {
    const beast::string_view reason = http::obsolete_reason(
        http::int_to_status(static_cast<unsigned>(status)));
    // A content type comes from a plain service; a line break in it would start
    // a header of its own.
    const bool clean =
        content_type.find_first_of("\r\n") == std::string_view::npos;
    return fmt::format(
        "HTTP/1.1 {} {}\r\nServer: burdockhatch\r\nContent-Type: {}\r\n"
        "Connection: {}\r\n",
        status, std::string_view(reason.data(), reason.size()),
        clean && !content_type.empty() ? content_type
                                       : "application/octet-stream",
        keep_alive_ ? "keep-alive" : "close");
  }

  static std::string HttpChunk(std::string_view data) {
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
  }

  void WriteStreamPart(std::string_view event) {
    std::string text;
    if (!header_written_) {
      header_written_ = true;
      text = Header(200, "text/event-stream");
      text += "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
    text += HttpChunk(event);
    Write(std::move(text));
  }

  void EndStream(std::string_view ending) {
    WriteStreamPart(ending);
    ends_answer_ = true;
    Write("0\r\n\r\n");
  }

  void Write(std::string text) {
    if (closed_) {
      return;
    }
    if (writing_) {
      // What waits is written together.
      waiting_ += text;
      return;
    }
    writing_ = true;
    out_ = std::move(text);
    stream_.expires_after(kWriteTimeout);
    asio::async_write(
        stream_, asio::buffer(out_),
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          self->OnWritten(ec);
        });
  }

  void OnWritten(boost::system::error_code ec) {
    writing_ = false;
    stream_.expires_never();
    if (ec || closed_) {
      OnCallerGone();
      return;
    }
    if (!waiting_.empty()) {
      Write(std::exchange(waiting_, std::string()));
      return;
    }
    if (!ends_answer_) {
      return;
    }
    ends_answer_ = false;
    header_written_ = false;
    LeaveProgress();
    if (keep_alive_) {
      ReadRequest();
    } else if (drain_input_) {
      DrainInput();
    } else {
      Close();
    }
  }

  // A caller that is still sending a refused body would otherwise lose the
  // answer to a connection reset.
  void DrainInput() {
    boost::system::error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    buffer_.clear();
    stream_.expires_after(std::chrono::seconds(2));
    DrainSome();
  }

  void DrainSome() {
    stream_.async_read_some(
        buffer_.prepare(kReadBufferBytes),
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          if (ec) {
            self->Close();
          } else {
            self->DrainSome();
          }
        });
  }

  // --- Metrics ---

  void CountOutcome(ErrorCode code) {
    CountOutcome(ToString(code));
    if (active_) {
      shared_->metrics->Observe("burdockhatch_request_seconds", ClassLabel(),
                                shared_->clock->Now() - started_);
    }
  }

  void CountOutcome(std::string_view code) {
    shared_->metrics->Count("burdockhatch_requests_total",
                            fmt::format("code=\"{}\"", code));
  }

  void ObserveFirstChunk() {
    if (first_chunk_seen_) {
      return;
    }
    first_chunk_seen_ = true;
    shared_->metrics->Observe("burdockhatch_first_token_seconds", ClassLabel(),
                              shared_->clock->Now() - started_);
  }

  std::string_view ClassLabel() const {
    if (request_.format == ResponseFormat::kService) {
      return "class=\"service\"";
    }
    switch (LengthClassOf(request_.spec.prompt_tokens)) {
      case LengthClass::kShort:
        return "class=\"short\"";
      case LengthClass::kMedium:
        return "class=\"medium\"";
      case LengthClass::kLong:
        return "class=\"long\"";
      case LengthClass::kHuge:
        return "class=\"huge\"";
    }
    return "";
  }

  beast::tcp_stream stream_;
  std::shared_ptr<Shared> shared_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  const bool refuse_;

  // The request in progress.
  bool active_ = false;
  bool in_progress_ = false;  // Also while the answer is still being written.
  CallerRequest request_;
  ResponseMetadata head_;
  AnswerAssembler assembler_;
  Time started_{};
  bool first_chunk_seen_ = false;

  bool keep_alive_ = false;
  bool header_written_ = false;
  bool ends_answer_ = false;  // The connection goes on after what is queued.
  bool drain_input_ = false;
  bool watching_ = false;
  bool writing_ = false;
  bool closed_ = false;
  std::string out_;      // Being written.
  std::string waiting_;  // Written next.
};

class HttpEntryImpl : public HttpEntry {
 public:
  HttpEntryImpl(HttpEntryOptions options,
                HttpSessionDelegate* control,
                const Clock* clock,
                Metrics* metrics)
      : shared_(std::make_shared<Shared>()), acceptor_(asio::make_strand(io_)) {
    shared_->options = std::move(options);
    shared_->control = control;
    shared_->clock = clock;
    shared_->metrics = metrics;
  }

  ~HttpEntryImpl() override { Stop(); }

  // Returns an error text, empty on success.
  std::string Start() {
    const std::string& address = shared_->options.address;
    const size_t colon = address.rfind(':');
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    if (ec || colon == std::string::npos) {
      return fmt::format("http address '{}' is not <IP number>:<port>",
                         address);
    }
    const auto port =
        static_cast<uint16_t>(std::stoi(address.substr(colon + 1)));
    Listen({ip, port}, ec);
    if (ec) {
      return fmt::format("cannot listen on {}: {}", address, ec.message());
    }
    Accept();
    for (uint32_t i = 0; i < shared_->options.limits.traffic_threads; ++i) {
      threads_.emplace_back([this] { io_.run(); });
    }
    return "";
  }

  void FillAndSendOffer(const PeerId& to, Offer offer) override {
    if (auto session = Find(offer.attempt.request)) {
      session->Post(
          [self = session.get(), to, offer = std::move(offer)]() mutable {
            self->FillAndSendOffer(to, std::move(offer));
          });
    }
  }

  void DeliverChunk(Chunk chunk) override {
    if (auto session = Find(chunk.attempt.request)) {
      session->Post([self = session.get(), chunk = std::move(chunk)]() mutable {
        self->OnChunk(std::move(chunk));
      });
    }
  }

  void Complete(const CompleteRequest& complete) override {
    if (auto session = Find(complete.request)) {
      session->Post(
          [self = session.get(), complete] { self->Complete(complete); });
    }
  }

  void Fail(const FailRequest& fail) override {
    if (auto session = Find(fail.request)) {
      session->Post([self = session.get(), fail] { self->Fail(fail); });
    }
  }

  void SetConfig(FleetConfigPtr config) override {
    const std::lock_guard lock(shared_->mutex);
    shared_->config = std::move(config);
  }

  void SetPhase(ServingPhase phase) override { shared_->phase = phase; }

  HttpEntryStats Stats() const override {
    HttpEntryStats stats;
    stats.connections = shared_->connections;
    stats.requests = shared_->in_progress;
    return stats;
  }

  void Stop() override {
    if (threads_.empty()) {
      return;
    }
    asio::post(acceptor_.get_executor(), [this] { acceptor_.close(); });
    CloseSessions();
    io_.stop();
    for (std::thread& it : threads_) {
      it.join();
    }
    threads_.clear();
  }

 private:
  void Listen(const tcp::endpoint& endpoint, boost::system::error_code& ec) {
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
      acceptor_.bind(endpoint, ec);
    }
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
  }

  void Accept() {
    acceptor_.async_accept(
        asio::make_strand(io_),
        [this](boost::system::error_code ec, tcp::socket socket) {
          if (ec == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
          }
          if (!ec) {
            OnAccepted(std::move(socket));
          }
          Accept();
        });
  }

  void OnAccepted(tcp::socket socket) {
    const uint64_t limit = shared_->options.limits.max_connections;
    const uint64_t open = shared_->connections;
    // Twice the limit is beyond what deserves an answer.
    if (open >= 2 * limit) {
      return;
    }
    std::make_shared<Session>(std::move(socket), shared_, open >= limit)
        ->Start();
  }

  std::shared_ptr<Session> Find(const RequestId& request) {
    const std::lock_guard lock(shared_->mutex);
    const auto it = shared_->requests.find(request);
    return it == shared_->requests.end() ? nullptr : it->second;
  }

  // Answers already handed to the system are not cut off: closing a socket
  // sends what is in its buffer.
  void CloseSessions() {
    std::vector<std::shared_ptr<Session>> sessions;
    // A session that ends takes the lock, so none may end under it.
    std::map<RequestId, std::shared_ptr<Session>> requests;
    std::map<Session*, std::shared_ptr<Session>> dumps;
    {
      const std::lock_guard lock(shared_->mutex);
      requests.swap(shared_->requests);
      dumps.swap(shared_->dumps);
      for (const auto& [key, weak] : shared_->sessions) {
        if (auto session = weak.lock()) {
          sessions.push_back(std::move(session));
        }
      }
    }
    for (const auto& it : sessions) {
      it->Post([self = it.get()] { self->Close(); });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  std::shared_ptr<Shared> shared_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<std::thread> threads_;
};

}  // namespace

leaf::result<std::unique_ptr<HttpEntry>> StartHttpEntry(
    HttpEntryOptions options,
    HttpSessionDelegate* control,
    const Clock* clock,
    Metrics* metrics) {
  auto entry = std::make_unique<HttpEntryImpl>(std::move(options), control,
                                               clock, metrics);
  std::string error = entry->Start();
  if (!error.empty()) {
    return leaf::new_error(HttpEntryError{std::move(error)});
  }
  return std::unique_ptr<HttpEntry>(std::move(entry));
}

}  // namespace burdockhatch
