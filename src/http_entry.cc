#include "src/http_entry.h"

#include <algorithm>
#include <atomic>
#include <charconv>
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
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/leaf/error.hpp>

#include "src/answer_assembler.h"
#include "src/caller_api.h"
#include "src/caller_request_http.h"
#include "src/connection_bounds.h"
#include "src/connection_ends.h"
#include "src/exception_guard.h"
#include "src/http_headers.h"
#include "src/ip_endpoint.h"
#include "src/log.h"
#include "src/request_memory.h"

namespace burdockhatch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using asio::ip::tcp;
using SteadyTime = asio::steady_timer::time_point;

// A caller that does not read pending output within this time is treated as
// disconnected.
constexpr auto kWriteTimeout = std::chrono::seconds(60);
constexpr uint32_t kMaxHeaderBytes = 16 * 1024;
// Time for a caller to read its refusal and close the connection.
constexpr auto kDrainTimeout = std::chrono::seconds(2);
// Bounds the time that one session takes from the others.
constexpr int kMaxReceivesPerTurn = 16;
// A timer that runs later than this shows that the process was held up.
constexpr auto kMaxTimerDelay = std::chrono::milliseconds(100);
// Receive buffer of a connection: enough for 100 Mbit/s to a caller 10 ms away.
// Without it the kernel holds up to 6 MB of input that is not read.
constexpr int kReceiveBufferBytes = 128 * 1024;
// What the kernel takes for such a buffer.
constexpr size_t kUnreadInputBytes = size_t{2} * kReceiveBufferBytes;
// When the table of connections is full, one that has waited this long without
// input gives way to a new one.
constexpr Duration kMinStalledTime = std::chrono::seconds(1);
// Wait after a failed accept, for example when no descriptor is free. The
// failed connection stays in the queue, so an immediate retry would spin.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr Time kNotWaiting = Time::max();
// Parsing a body takes several times its size, so only one body above this is
// parsed at a time.
constexpr size_t kMaxConcurrentlyParsedBytes = 256 * 1024;
// Memory for parsing a body, beside the body: its JSON value and the prompt.
constexpr int64_t kParsedCopies = 2;
// Bounds for an address that serves only health, metrics and state.
constexpr int64_t kMaxOperatorBodyBytes = 64 * 1024;
constexpr uint32_t kMaxOperatorConnections = 64;
constexpr int64_t kMaxOperatorRequestsBytes = 1024 * 1024;

RequestId GenerateRequestId() {
  // Seeded by the system, unlike the deterministic decision logic, because ids
  // must differ between processes and runs.
  thread_local std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return {generator(), generator() | 1};
}

// The key of the part follows.
constexpr std::string_view kLiftPartPath = "/debug/lift-part/";

class Session;

// State that all sessions and the server share.
struct SharedState {
  HttpEntryOptions options;
  HttpSessionDelegate* delegate = nullptr;
  const Clock* clock = nullptr;
  Metrics* metrics = nullptr;
  std::atomic<ServingPhase> phase = ServingPhase::kStarting;
  std::atomic<uint64_t> connections = 0;
  ConnectionBounds bounds;
  std::unique_ptr<RequestMemory> memory;
  std::mutex parse_mutex;  // Held while a large body is parsed.
  // Caller requests whose response is not yet completely written.
  std::atomic<uint64_t> in_progress = 0;

  std::mutex mutex;  // Guards the members below.
  FleetConfigPtr config;
  std::map<RequestId, std::shared_ptr<Session>> requests;
  std::map<Session*, std::weak_ptr<Session>> sessions;
  // Sessions that wait for a state dump, kept alive until it arrives.
  std::map<Session*, std::shared_ptr<Session>> state_dump_waiters;

  FleetConfigPtr Config() {
    const std::lock_guard lock(mutex);
    return config;
  }
};

// One HTTP connection. All members are used on its strand only.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket,
          std::shared_ptr<SharedState> shared,
          bool exceeds_connection_limit)
      : stream_(std::move(socket)),
        shared_(std::move(shared)),
        read_timer_(stream_.get_executor()),
        exceeds_connection_limit_(exceeds_connection_limit) {
    ++shared_->connections;
  }

  ~Session() {
    shared_->memory->Release(this);
    EndProgress();
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

  // Runs `step` on the strand and keeps the session alive until then.
  template <class Step>
  void Post(Step step) {
    asio::post(stream_.get_executor(),
               [self = shared_from_this(), step = std::move(step)]() mutable {
                 self->Guard(step);
               });
  }

  // Runs a step of the session. An exception ends this session only.
  template <class Step>
  void Guard(Step&& step) {
    if (RunGuarded("caller_session", std::forward<Step>(step)) || closed_) {
      return;
    }
    if (!RunGuarded("caller_session", [this] { OnStepFailed(); })) {
      RunGuarded("caller_session",
                 [this] { Close(ConnectionEnd::kException); });
    }
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
    is_sent_ = true;
    shared_->memory->MarkSent(this);
    shared_->delegate->SendOfferToAgent(to, std::move(offer));
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
        WriteStreamEvent(CompletionChunkEvent(head_, it));
      }
    }
    shared_->delegate->ReportProgress(assembler_.attempt(),
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
      WriteResponse(static_cast<int>(complete.http_status),
                    complete.content_type, assembler_.text());
    } else if (request_.stream) {
      WriteStreamEnd(FinalStreamEvents(head_));
    } else {
      WriteResponse(200, "application/json",
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
      WriteStreamEnd(ErrorStreamEvent(fail.failure, message));
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

  void Close(ConnectionEnd reason) {
    if (!closed_) {
      ReportIfUnanswered(reason);
    }
    boost::system::error_code ec;
    closed_ = true;
    EndReading();
    EndProgress();
    reader_.Discard();
    shared_->memory->Release(this);
    stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
    stream_.close();
  }

  // Ends the request that RequestMemory has chosen, unless it has been sent to
  // an agent meanwhile. Only this session sends it.
  void Shed() {
    if (closed_ || !shared_->memory->IsChosen(this)) {
      return;
    }
    if (request_active_ && !is_sent_) {
      shared_->delegate->OnCallerDisconnected(head_.request);
      EndRequest();
    } else if (!reading_) {
      shared_->memory->MarkSent(this);
      ShedChosen();
      return;
    }
    RejectAndClose(
        {ErrorCode::kOverloaded, Outcome::kNotRun, std::chrono::seconds(1)},
        "this entry holds too many requests", ConnectionEnd::kMemory);
  }

  // Chooses the session to be closed by CloseIfStalled(), so that it is not
  // chosen twice.
  void StopWaiting() { waits_since_ = kNotWaiting; }

  // Closes the connection unless input has arrived since StopWaiting().
  void CloseIfStalled() {
    boost::system::error_code ec;
    if (!closed_ && reading_ && waits_since() == kNotWaiting &&
        stream_.socket().available(ec) == 0) {
      Close(ConnectionEnd::kTableFull);
    }
  }

  // The time since which the session has waited for input; kNotWaiting if it
  // does not. Called on any thread.
  Time waits_since() const { return waits_since_; }

 private:
  // --- Memory ---

  // Counts what the request that is being read holds, and sheds requests if all
  // of them hold too much. Returns false if the session's own one was shed.
  bool CountInput() {
    CountMemory(reader_.held_bytes(), RequestStage::kReading);
    ShedChosen();
    return reading_ && !closed_;
  }

  void CountMemory(size_t held, RequestStage stage) {
    shared_->memory->Update(this, {held, reader_.received_bytes(), stage},
                            shared_->clock->Now());
  }

  void ShedChosen() {
    while (const auto owner = shared_->memory->Choose(shared_->clock->Now())) {
      if (*owner == this) {
        Shed();
        continue;
      }
      std::shared_ptr<Session> victim;
      {
        const std::lock_guard lock(shared_->mutex);
        const auto it = shared_->sessions.find(
            static_cast<Session*>(const_cast<void*>(*owner)));
        victim = it == shared_->sessions.end() ? nullptr : it->second.lock();
      }
      if (victim) {
        victim->Post([self = victim.get()] { self->Shed(); });
      }
    }
  }

  // --- State ---

  bool IsActive(const RequestId& request) const {
    return request_active_ && head_.request == request;
  }

  void OnStepFailed() {
    {
      const std::lock_guard lock(shared_->mutex);
      shared_->state_dump_waiters.erase(this);
    }
    const bool has_input = reader_.has_input() || awaits_response_;
    EndReading();
    if (request_active_) {
      CountOutcome(ErrorCode::kInternal);
      shared_->delegate->OnCallerDisconnected(head_.request);
      EndRequest();
      RespondAfterException({ErrorCode::kInternal, Outcome::kUnknown, {}});
    } else if (has_input) {
      RespondAfterException(
          {ErrorCode::kOverloaded, Outcome::kNotRun, std::chrono::seconds(1)});
    } else {
      Close(ConnectionEnd::kException);
    }
  }

  void RespondAfterException(const Failure& failure) {
    if (header_written_ || write_pending_ || response_ends_) {
      Close(ConnectionEnd::kException);
      return;
    }
    keep_alive_ = false;
    must_drain_input_ = true;
    if (failure.outcome == Outcome::kNotRun) {
      ReportRefused(ConnectionEnd::kException,
                    static_cast<uint32_t>(HttpStatusOf(failure.code)));
    }
    WriteError(failure, "the request met an internal error");
  }

  // --- Reading ---

  void ReadRequest() {
    if (closed_) {
      return;
    }
    CallerLimits limits;
    limits.max_header = Bytes(kMaxHeaderBytes);
    limits.max_body = shared_->options.limits.max_body;
    reader_.Begin(limits);
    reading_ = true;
    waits_since_ = shared_->clock->Now();
    request_begun_ = false;
    StartReadTimer(shared_->options.read_timeout);
    if (!HandleInput()) {
      WatchInput();
    }
  }

  void EndReading() {
    reading_ = false;
    waits_since_ = kNotWaiting;
    read_timer_.expires_at(SteadyTime::max());
  }

  // Handles what has been read. Returns false if more input is needed.
  bool HandleInput() {
    while (true) {
      switch (reader_.Parse()) {
        case CallerRequestReader::State::kNeedsInput:
          if (!request_begun_ && reader_.has_input()) {
            request_begun_ = true;
            StartReadTimer(shared_->options.read_timeout);
          }
          return false;
        case CallerRequestReader::State::kHeaderRead:
          break;
        case CallerRequestReader::State::kComplete: {
          if (!CountInput()) {
            return true;
          }
          EndReading();
          const bool keep_alive = reader_.keep_alive();
          const size_t held = reader_.held_bytes();
          std::string body;
          const ReceivedRequest request = reader_.Take(&body);
          CountMemory(held, RequestStage::kWaiting);
          Handle(request, std::move(body), keep_alive);
          return true;
        }
        case CallerRequestReader::State::kMalformed:
          RejectMalformed();
          return true;
      }
    }
  }

  void RejectMalformed() {
    if (reader_.error_status() == 413) {
      RejectAndClose({ErrorCode::kBodyTooLarge, Outcome::kNotRun, {}},
                     ErrorMessageFor(ErrorCode::kBodyTooLarge),
                     ConnectionEnd::kMalformed);
    } else {
      RejectAndClose({ErrorCode::kInvalidRequest, Outcome::kNotRun, {}},
                     "the request is not valid HTTP",
                     ConnectionEnd::kMalformed);
    }
  }

  void ReadInput() {
    for (int i = 0; i < kMaxReceivesPerTurn; ++i) {
      boost::system::error_code ec;
      reader_.Receive(stream_.socket(), ec);
      if (ec == asio::error::would_block) {
        break;
      }
      if (ec) {
        OnInputEnded(ec);
        return;
      }
      waits_since_ = shared_->clock->Now();
      if (HandleInput() || !CountInput()) {
        return;
      }
      if (shared_->memory->IsExceeded()) {
        break;  // So that the sessions that were chosen end first.
      }
    }
    WatchInput();
  }

  void OnInputEnded(boost::system::error_code ec) {
    // A caller that has shut down only its sending side reads the refusal.
    if (ec == asio::error::eof && reader_.has_input()) {
      RejectAndClose({ErrorCode::kInvalidRequest, Outcome::kNotRun, {}},
                     "the request is not complete", ConnectionEnd::kDisconnect);
    } else {
      Close(ConnectionEnd::kDisconnect);
    }
  }

  void StartReadTimer(Duration timeout) {
    read_timer_.expires_after(timeout);
    read_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec) {
          self->Guard([&] { self->OnReadTimer(ec); });
        });
  }

  void OnReadTimer(boost::system::error_code ec) {
    const SteadyTime now = SteadyTime::clock::now();
    // The handler of a timer that was set anew may have been queued.
    if (ec || closed_ || now < read_timer_.expiry()) {
      return;
    }
    if (draining_input_) {
      Close(ConnectionEnd::kConnectionClose);
      return;
    }
    const auto delay = now - read_timer_.expiry();
    // Input may have arrived that this turn of the loop has not read yet.
    ReadInput();
    if (closed_ || !reading_ || read_timer_.expiry() > now) {
      return;
    }
    if (delay > kMaxTimerDelay) {
      // Time in which the process did not read is not the caller's.
      StartReadTimer(std::chrono::ceil<Duration>(delay));
    } else if (request_begun_) {
      RejectAndClose({ErrorCode::kRequestTimeout, Outcome::kNotRun, {}},
                     ErrorMessageFor(ErrorCode::kRequestTimeout),
                     ConnectionEnd::kReadTimeout);
    } else {
      Close(ConnectionEnd::kIdleTimeout);
    }
  }

  // Sends an error response and closes the connection, whose remaining input
  // may be the unread rest of the request.
  void RejectAndClose(const Failure& failure,
                      std::string_view message,
                      ConnectionEnd reason) {
    EndReading();
    keep_alive_ = false;
    must_drain_input_ = true;
    reader_.Discard();
    shared_->memory->Release(this);
    ReportRefused(reason, static_cast<uint32_t>(HttpStatusOf(failure.code)));
    CountOutcome(failure.code);
    WriteError(failure, message);
  }

  static std::string HeaderValue(const ReceivedRequest& request,
                                 std::string_view name) {
    const std::string* value = FindHeader(request.headers, name);
    return value == nullptr ? std::string() : *value;
  }

  void Handle(const ReceivedRequest& request,
              std::string body,
              bool keep_alive) {
    const ServingPhase phase = shared_->phase;
    keep_alive_ = keep_alive && phase != ServingPhase::kTerminating &&
                  phase != ServingPhase::kDraining;
    header_written_ = false;
    awaits_response_ = true;
    CallerHttpRequest input;
    input.method = request.method;
    input.target = request.path;
    if (HandleOperatorRequest(input.method,
                              input.target.substr(0, input.target.find('?')))) {
      return;
    }
    if (!shared_->options.caller_api_enabled) {
      WriteError({ErrorCode::kNotFound, Outcome::kNotRun, {}},
                 "there is no such path");
      return;
    }
    if (exceeds_connection_limit_) {
      RejectAndClose(
          {ErrorCode::kOverloaded, Outcome::kNotRun, std::chrono::seconds(1)},
          "this entry has too many connections", ConnectionEnd::kTableFull);
      return;
    }
    if (phase == ServingPhase::kStarting || phase == ServingPhase::kDraining) {
      CountOutcome(ErrorCode::kNotReady);
      WriteError(
          {ErrorCode::kNotReady, Outcome::kNotRun, std::chrono::seconds(1)},
          ErrorMessageFor(ErrorCode::kNotReady));
      return;
    }
    input.client_account = HeaderValue(request, "X-Client-Account");
    input.authorization = HeaderValue(request, "Authorization");
    input.deadline_ms = HeaderValue(request, "X-Deadline-Ms");
    if (FindHeader(request.headers, "Idempotency-Key") != nullptr) {
      input.idempotency_key = HeaderValue(request, "Idempotency-Key");
    }
    input.body = std::move(body);
    StartRequest(std::move(input));
  }

  bool HandleOperatorRequest(const std::string& method,
                             const std::string& path) {
    const ServingPhase phase = shared_->phase;
    const bool stopping =
        phase == ServingPhase::kTerminating || phase == ServingPhase::kDraining;
    if (path == "/healthz") {
      WriteResponse(stopping ? 503 : 200, "text/plain",
                    stopping ? "stopping\n" : "ok\n");
    } else if (path == "/readyz") {
      const bool ready = phase == ServingPhase::kServing;
      WriteResponse(ready ? 200 : 503, "text/plain",
                    ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
      WriteResponse(200, "text/plain; version=0.0.4",
                    shared_->delegate->MetricsText());
    } else if (path == "/debug/state") {
      WriteStateDump();
    } else if (path.starts_with(kLiftPartPath)) {
      LiftPart(method, path.substr(kLiftPartPath.size()));
    } else {
      return false;
    }
    return true;
  }

  // Callers must not end blocks, so an address that serves them offers no
  // lifting.
  void LiftPart(const std::string& method, std::string_view text) {
    uint64_t key = 0;
    const auto [rest, ec] =
        std::from_chars(text.data(), text.data() + text.size(), key, 16);
    if (shared_->options.caller_api_enabled) {
      WriteResponse(403, "text/plain", "not offered where callers connect\n");
    } else if (method != "POST") {
      WriteResponse(405, "text/plain", "use POST\n");
    } else if (ec != std::errc() || rest != text.data() + text.size()) {
      WriteResponse(400, "text/plain", "the part must be a hexadecimal key\n");
    } else {
      shared_->delegate->LiftPart(PartKey(key));
      WriteResponse(202, "text/plain", "lifting\n");
    }
  }

  // The control thread may outlive the sessions, so its callback must not own
  // this one; the shared table keeps the session alive until the dump arrives.
  void WriteStateDump() {
    {
      const std::lock_guard lock(shared_->mutex);
      shared_->state_dump_waiters[this] = shared_from_this();
    }
    shared_->delegate->DumpState(
        [weak = weak_from_this()](const std::string& text) {
          if (const std::shared_ptr<Session> self = weak.lock()) {
            self->Post([session = self.get(), text] {
              session->WriteResponse(200, "application/json", text);
              const std::lock_guard lock(session->shared_->mutex);
              session->shared_->state_dump_waiters.erase(session);
            });
          }
        });
  }

  // --- Caller request ---

  void StartRequest(CallerHttpRequest input) {
    const FleetConfigPtr config = shared_->Config();
    std::unique_lock parse_lock(shared_->parse_mutex, std::defer_lock);
    if (input.body.size() > kMaxConcurrentlyParsedBytes) {
      parse_lock.lock();
    }
    std::variant<CallerRequest, CallerRequestError> parsed = ParseCallerRequest(
        std::move(input), config.get(), shared_->options.limits);
    if (parse_lock) {
      parse_lock.unlock();
    }
    if (const auto* error = std::get_if<CallerRequestError>(&parsed)) {
      CountOutcome(error->code);
      WriteError({error->code, Outcome::kNotRun, {}}, error->message);
      return;
    }
    request_ = std::move(std::get<CallerRequest>(parsed));
    request_started_at_ = shared_->clock->Now();
    request_.spec.request = GenerateRequestId();
    request_.spec.deadline = request_started_at_ + request_.timeout;
    head_ = {request_.spec.request, request_.spec.model, request_.format,
             shared_->clock->WallNow().count()};
    assembler_ = AnswerAssembler(head_.request);
    request_active_ = true;
    is_sent_ = false;
    counted_in_progress_ = true;
    ++shared_->in_progress;
    first_chunk_seen_ = false;
    {
      const std::lock_guard lock(shared_->mutex);
      shared_->requests[head_.request] = shared_from_this();
    }
    WatchInput();
    shared_->delegate->SubmitRequest(request_.spec);
  }

  void EndProgress() {
    if (counted_in_progress_) {
      counted_in_progress_ = false;
      --shared_->in_progress;
    }
  }

  void EndRequest() {
    request_active_ = false;
    request_.payload = std::string();
    shared_->memory->Release(this);
    const std::lock_guard lock(shared_->mutex);
    shared_->requests.erase(head_.request);
  }

  void WatchInput() {
    if (input_watch_pending_ || closed_) {
      return;
    }
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](boost::system::error_code ec) {
          self->input_watch_pending_ = false;
          if (self->reading_ || self->draining_input_) {
            self->Guard([&] { self->OnReadable(ec); });
          } else {
            // Without the watch, a disconnect is found by the next write.
            RunGuarded("caller_session", [&] { self->OnReadable(ec); });
          }
        });
    input_watch_pending_ = true;
  }

  void OnReadable(boost::system::error_code ec) {
    if (closed_) {
      return;
    }
    if (draining_input_) {
      DrainInput();
    } else if (reading_) {
      ReadInput();
    } else if (request_active_) {
      CheckForDisconnect(ec);
    }
  }

  // Nothing is read while a request is in progress, so a disconnect is detected
  // by peeking at the input.
  void CheckForDisconnect(boost::system::error_code ec) {
    char byte = 0;
    if (!ec) {
      stream_.socket().receive(asio::buffer(&byte, 1),
                               tcp::socket::message_peek, ec);
    }
    if (ec == asio::error::would_block) {
      WatchInput();
      return;
    }
    if (ec) {
      HandleCallerDisconnect(ConnectionEnd::kDisconnect);
      return;
    }
    // Readable input without an error is a pipelined request, which is read
    // after the current one and stays in the kernel until then.
    CountMemory(request_.payload.capacity() + kUnreadInputBytes,
                is_sent_ ? RequestStage::kSent : RequestStage::kWaiting);
    ShedChosen();
  }

  void HandleCallerDisconnect(ConnectionEnd reason) {
    // Before EndRequest, so that the request in progress is still known.
    if (!closed_) {
      ReportIfUnanswered(reason);
    }
    closed_ = true;
    if (request_active_) {
      CountOutcome("caller_gone");
      shared_->delegate->OnCallerDisconnected(head_.request);
      EndRequest();
    }
    Close(reason);
  }

  void ReportIfUnanswered(ConnectionEnd reason) {
    const bool is_whole = request_active_ || awaits_response_;
    const bool is_part = !draining_input_ && reader_.has_input();
    if (is_whole || is_part) {
      ReportUnanswered(
          reason, is_whole ? RequestProgress::kWhole : RequestProgress::kPart,
          reader_.buffered_bytes());
    }
  }

  // --- Writing ---

  void WriteResponse(int status,
                     std::string_view content_type,
                     const std::string& body) {
    std::string text = ResponseHeader(status, content_type);
    text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    text += body;
    response_ends_ = true;
    Write(std::move(text));
  }

  void WriteError(const Failure& failure, std::string_view message) {
    std::string body = ErrorResponseBody(failure, message);
    std::string text =
        ResponseHeader(HttpStatusOf(failure.code), "application/json");
    if (failure.retry_after > Duration(0)) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
      text += fmt::format("Retry-After: {}\r\n", seconds.count());
    }
    text += fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    response_ends_ = true;
    Write(std::move(text));
  }

  std::string ResponseHeader(int status, std::string_view content_type) const {
    const beast::string_view reason = http::obsolete_reason(
        http::int_to_status(static_cast<unsigned>(status)));
    // The content type may come from a plain service; a line break in it would
    // inject another header.
    const bool is_valid_content_type =
        content_type.find_first_of("\r\n") == std::string_view::npos;
    return fmt::format(
        "HTTP/1.1 {} {}\r\nServer: burdockhatch\r\nContent-Type: {}\r\n"
        "Connection: {}\r\n",
        status, std::string_view(reason.data(), reason.size()),
        is_valid_content_type && !content_type.empty()
            ? content_type
            : "application/octet-stream",
        keep_alive_ ? "keep-alive" : "close");
  }

  static std::string HttpChunk(std::string_view data) {
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
  }

  void WriteStreamEvent(std::string_view event) {
    std::string text;
    if (!header_written_) {
      header_written_ = true;
      text = ResponseHeader(200, "text/event-stream");
      text += "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
    text += HttpChunk(event);
    Write(std::move(text));
  }

  void WriteStreamEnd(std::string_view ending) {
    WriteStreamEvent(ending);
    response_ends_ = true;
    Write("0\r\n\r\n");
  }

  void Write(std::string text) {
    if (closed_) {
      return;
    }
    if (write_pending_) {
      // Output queued during a write is sent in one next write.
      queued_output_ += text;
      return;
    }
    output_being_written_ = std::move(text);
    stream_.expires_after(kWriteTimeout);
    asio::async_write(
        stream_, asio::buffer(output_being_written_),
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          self->Guard([&] { self->OnWritten(ec); });
        });
    write_pending_ = true;
  }

  void OnWritten(boost::system::error_code ec) {
    write_pending_ = false;
    stream_.expires_never();
    if (ec || closed_) {
      HandleCallerDisconnect(ec == beast::error::timeout
                                 ? ConnectionEnd::kWriteTimeout
                                 : ConnectionEnd::kWriteFailed);
      return;
    }
    if (!queued_output_.empty()) {
      Write(std::exchange(queued_output_, std::string()));
      return;
    }
    if (!response_ends_) {
      return;
    }
    shared_->memory->Release(this);
    response_ends_ = false;
    header_written_ = false;
    awaits_response_ = false;
    EndProgress();
    if (keep_alive_) {
      ReadRequest();
    } else if (must_drain_input_) {
      BeginDrain();
    } else {
      Close(ConnectionEnd::kConnectionClose);
    }
  }

  // Closing the socket while the caller is still sending a rejected body would
  // reset the connection and lose the error response.
  void BeginDrain() {
    boost::system::error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    draining_input_ = true;
    StartReadTimer(kDrainTimeout);
    DrainInput();
  }

  void DrainInput() {
    boost::system::error_code ec;
    reader_.Discard();
    CallerRequestReader::Drop(stream_.socket(), ec);
    if (ec && ec != asio::error::would_block) {
      Close(ConnectionEnd::kConnectionClose);
      return;
    }
    WatchInput();
  }

  // --- Metrics ---

  void CountOutcome(ErrorCode code) {
    CountOutcome(ToString(code));
    if (request_active_) {
      shared_->metrics->ObserveDuration(
          "burdockhatch_request_seconds", LengthClassLabel(),
          shared_->clock->Now() - request_started_at_);
    }
  }

  void CountOutcome(std::string_view code) {
    shared_->metrics->IncrementCounter("burdockhatch_requests_total",
                                       fmt::format("code=\"{}\"", code));
  }

  void ObserveFirstChunk() {
    if (first_chunk_seen_) {
      return;
    }
    first_chunk_seen_ = true;
    shared_->metrics->ObserveDuration(
        "burdockhatch_first_token_seconds", LengthClassLabel(),
        shared_->clock->Now() - request_started_at_);
  }

  std::string_view LengthClassLabel() const {
    if (request_.format == ResponseFormat::kService) {
      return "class=\"service\"";
    }
    switch (ClassifyPromptLength(request_.spec.prompt_tokens)) {
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
  std::shared_ptr<SharedState> shared_;
  CallerRequestReader reader_;
  asio::steady_timer read_timer_;  // Runs while reading_ or draining_input_.
  const bool exceeds_connection_limit_;

  // State of the current request.
  bool request_active_ = false;
  bool is_sent_ = false;  // An offer with the request has been sent.
  // See waits_since().
  std::atomic<Time> waits_since_ = kNotWaiting;
  bool awaits_response_ = false;      // Read, and its response not written.
  bool counted_in_progress_ = false;  // Until the response is written.
  CallerRequest request_;
  ResponseMetadata head_;
  AnswerAssembler assembler_;
  Time request_started_at_{};
  bool first_chunk_seen_ = false;

  bool keep_alive_ = false;
  bool header_written_ = false;
  bool response_ends_ = false;  // The queued output completes the response.
  bool must_drain_input_ = false;
  bool reading_ = false;         // A request is awaited or being read.
  bool request_begun_ = false;   // Input of that request has been read.
  bool draining_input_ = false;  // The last response has been sent.
  bool input_watch_pending_ = false;
  bool write_pending_ = false;
  bool closed_ = false;
  std::string output_being_written_;
  std::string queued_output_;
};

class HttpEntryImpl : public HttpEntry {
 public:
  HttpEntryImpl(HttpEntryOptions options,
                HttpSessionDelegate* delegate,
                const Clock* clock,
                Metrics* metrics)
      : shared_(std::make_shared<SharedState>()),
        acceptor_(asio::make_strand(io_)),
        accept_retry_(acceptor_.get_executor()) {
    shared_->options = std::move(options);
    LimitSettings& limits = shared_->options.limits;
    if (!shared_->options.caller_api_enabled) {
      limits.max_body = std::min(limits.max_body, Bytes(kMaxOperatorBodyBytes));
      limits.max_connections =
          std::min(limits.max_connections, kMaxOperatorConnections);
      limits.max_buffered_requests = Bytes(kMaxOperatorRequestsBytes);
    }
    shared_->bounds =
        BoundConnections(limits.max_connections, DescriptorLimit());
    const Bytes parsing = limits.max_body * kParsedCopies;
    shared_->memory = std::make_unique<RequestMemory>(
        std::max(limits.max_buffered_requests - parsing, Bytes(0)));
    shared_->memory->SetLargestBody(limits.max_body);
    shared_->delegate = delegate;
    shared_->clock = clock;
    shared_->metrics = metrics;
  }

  ~HttpEntryImpl() override { Stop(); }

  // Returns an error message, or an empty string on success.
  std::string Start() {
    const std::string& address = shared_->options.address;
    const std::optional<tcp::endpoint> endpoint = ParseIpEndpoint(address);
    if (!endpoint) {
      return fmt::format("http address '{}' is not <IP address>:<port>",
                         address);
    }
    boost::system::error_code ec;
    Listen(*endpoint, ec);
    if (ec) {
      return fmt::format("cannot listen on {}: {}", address, ec.message());
    }
    Accept();
    for (uint32_t i = 0; i < shared_->options.limits.traffic_threads; ++i) {
      threads_.emplace_back([this] { RunLoopGuarded(io_); });
    }
    return "";
  }

  void FillAndSendOffer(const PeerId& to, Offer offer) override {
    if (auto session = FindSession(offer.attempt.request)) {
      session->Post(
          [self = session.get(), to, offer = std::move(offer)]() mutable {
            self->FillAndSendOffer(to, std::move(offer));
          });
    }
  }

  void DeliverChunk(Chunk chunk) override {
    if (auto session = FindSession(chunk.attempt.request)) {
      session->Post([self = session.get(), chunk = std::move(chunk)]() mutable {
        self->OnChunk(std::move(chunk));
      });
    }
  }

  void Complete(const CompleteRequest& complete) override {
    if (auto session = FindSession(complete.request)) {
      session->Post(
          [self = session.get(), complete] { self->Complete(complete); });
    }
  }

  void Fail(const FailRequest& fail) override {
    if (auto session = FindSession(fail.request)) {
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
    stats.memory = shared_->memory->Stats();
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
      // Accepted connections inherit it. Set before listen(), because it limits
      // the window that callers are offered.
      acceptor_.set_option(
          asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
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
          if (ec) {
            AcceptAfterDelay(ec);
            return;
          }
          RunGuarded("accept", [&] { OnAccepted(std::move(socket)); });
          Accept();
        });
  }

  void AcceptAfterDelay(boost::system::error_code accept_ec) {
    Log(LogLevel::kWarning, "accept_failed", {{"reason", accept_ec.message()}});
    accept_retry_.expires_after(kAcceptRetryDelay);
    accept_retry_.async_wait([this](boost::system::error_code ec) {
      if (!ec && acceptor_.is_open()) {
        Accept();
      }
    });
  }

  void OnAccepted(tcp::socket socket) {
    // A stalled session that is closed leaves its place to the new one.
    const uint64_t open =
        shared_->connections -
        (shared_->connections >= shared_->bounds.served && CloseStalledSession()
             ? 1
             : 0);
    // Connections above the first bound get an error response; above the second
    // one they are closed without one.
    if (open >= shared_->bounds.open) {
      ReportUnanswered(ConnectionEnd::kTableFull, RequestProgress::kNone, 0);
      return;
    }
    std::make_shared<Session>(std::move(socket), shared_,
                              open >= shared_->bounds.served)
        ->Start();
  }

  // Closes the session that has waited longest for input, if it has for
  // kMinStalledTime. Returns whether there is one.
  bool CloseStalledSession() {
    Time longest = shared_->clock->Now() - kMinStalledTime;
    std::shared_ptr<Session> stalled;
    std::vector<std::shared_ptr<Session>> others;  // Released without the lock.
    {
      const std::lock_guard lock(shared_->mutex);
      for (const auto& [key, weak] : shared_->sessions) {
        if (key->waits_since() < longest) {
          if (std::shared_ptr<Session> session = weak.lock()) {
            longest = session->waits_since();
            others.push_back(std::exchange(stalled, std::move(session)));
          }
        }
      }
    }
    if (stalled) {
      stalled->StopWaiting();
      stalled->Post([self = stalled.get()] { self->CloseIfStalled(); });
    }
    return stalled != nullptr;
  }

  std::shared_ptr<Session> FindSession(const RequestId& request) {
    const std::lock_guard lock(shared_->mutex);
    const auto it = shared_->requests.find(request);
    return it == shared_->requests.end() ? nullptr : it->second;
  }

  // Responses already passed to the kernel are not truncated: it sends the
  // socket's buffer after the close.
  void CloseSessions() {
    std::vector<std::shared_ptr<Session>> sessions;
    // The destructor of a session takes the lock, so these references are
    // released only after it.
    std::map<RequestId, std::shared_ptr<Session>> requests;
    std::map<Session*, std::shared_ptr<Session>> state_dump_waiters;
    {
      const std::lock_guard lock(shared_->mutex);
      requests.swap(shared_->requests);
      state_dump_waiters.swap(shared_->state_dump_waiters);
      for (const auto& [key, weak] : shared_->sessions) {
        if (auto session = weak.lock()) {
          sessions.push_back(std::move(session));
        }
      }
    }
    for (const auto& it : sessions) {
      it->Post([self = it.get()] { self->Close(ConnectionEnd::kStop); });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  std::shared_ptr<SharedState> shared_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_;  // On the strand of acceptor_.
  std::vector<std::thread> threads_;
};

}  // namespace

leaf::result<std::unique_ptr<HttpEntry>> StartHttpEntry(
    HttpEntryOptions options,
    HttpSessionDelegate* delegate,
    const Clock* clock,
    Metrics* metrics) {
  auto entry = std::make_unique<HttpEntryImpl>(std::move(options), delegate,
                                               clock, metrics);
  std::string error = entry->Start();
  if (!error.empty()) {
    return leaf::new_error(HttpEntryError{std::move(error)});
  }
  return std::unique_ptr<HttpEntry>(std::move(entry));
}

}  // namespace burdockhatch
