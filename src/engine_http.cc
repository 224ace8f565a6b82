#include "src/engine_http.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include <fmt/format.h>
#include <boost/asio/post.hpp>

#include "src/answer_assembler.h"
#include "src/engine_json.h"
#include "src/http_call.h"

namespace burdockhatch {

namespace asio = boost::asio;

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);
// The engine sends a comment every second while a stream has no events.
constexpr Duration kEventIdleTimeout = std::chrono::seconds(5);
// Loading a model reads its weights from the weight store.
constexpr Duration kOrderTimeout = std::chrono::minutes(5);
// Of a response: a report, a list of holdings or of cache events.
constexpr Bytes kMaxResponse(4 * 1024 * 1024);

// Of the text of one token, with room to spare.
constexpr size_t kMaxBytesPerToken = 1'024;

size_t MaxStreamBytes(Tokens max_output) {
  const auto tokens = static_cast<size_t>(std::clamp<int64_t>(
      max_output.value(), 1, kMaxAnswerBytes / kMaxBytesPerToken));
  return tokens * kMaxBytesPerToken;
}

bool IsSuccess(const HttpReply& reply) {
  return reply.status == CallStatus::kAnswered && reply.http_status >= 200 &&
         reply.http_status < 300;
}

// Status 4xx, 503 and 507 mean that nothing runs. Other server errors leave it
// unknown whether the request took effect.
bool IsRefusal(uint32_t http_status) {
  constexpr uint32_t kUnavailable = 503;
  constexpr uint32_t kInsufficientStorage = 507;
  return (http_status >= 400 && http_status < 500) ||
         http_status == kUnavailable || http_status == kInsufficientStorage;
}

StartStatus ToStartStatus(const HttpReply& reply) {
  if (reply.status == CallStatus::kNotSent) {
    return StartStatus::kNotSent;
  }
  if (IsSuccess(reply)) {
    return StartStatus::kStarted;
  }
  const bool refused =
      reply.status == CallStatus::kAnswered && IsRefusal(reply.http_status);
  return refused ? StartStatus::kRefused : StartStatus::kUnknown;
}

OrderStatus ToOrderStatus(const HttpReply& reply) {
  constexpr uint32_t kConflict = 409;
  if (reply.status == CallStatus::kNotSent) {
    return OrderStatus::kFailed;
  }
  if (IsSuccess(reply)) {
    return OrderStatus::kDone;
  }
  if (reply.status != CallStatus::kAnswered || !IsRefusal(reply.http_status)) {
    return OrderStatus::kUnknown;
  }
  return reply.http_status == kConflict ? OrderStatus::kStaleFencing
                                        : OrderStatus::kFailed;
}

// Each call has a connection of its own: on one that is kept, a faulty engine
// may write an earlier answer once more.
HttpCall MakeCall(std::string method, std::string target) {
  HttpCall call;
  call.method = std::move(method);
  call.target = std::move(target);
  call.timeout = kCallTimeout;
  call.max_response = kMaxResponse;
  return call;
}

HttpCall MakeJsonCall(std::string method,
                      std::string target,
                      std::string body) {
  HttpCall call = MakeCall(std::move(method), std::move(target));
  call.body = std::move(body);
  call.headers.emplace_back("Content-Type", "application/json");
  return call;
}

std::string StreamPath(const StreamId& stream) {
  return "/v1/streams/" + stream.value();
}

std::string CachePath(const StreamId& cache) {
  return "/v1/kv/" + cache.value();
}

// State of a stream according to the events read so far. Accessed only on the
// strand of the reader.
struct StreamProgress {
  size_t max_bytes = 0;
  size_t bytes = 0;
  std::optional<StreamEndEvent> end;
  bool invalid = false;
};

StreamEndEvent ResolveStreamEnd(const StreamProgress& progress,
                                EventStreamEnd end,
                                uint32_t http_status) {
  constexpr uint32_t kNotFound = 404;
  if (progress.bytes > progress.max_bytes) {
    return {StreamEnd::kFailed, 0};
  }
  if (progress.end && !progress.invalid) {
    return *progress.end;
  }
  if (end == EventStreamEnd::kRefused && http_status == kNotFound) {
    return {StreamEnd::kNotFound, 0};
  }
  return {StreamEnd::kConnectionLost, 0};
}

// State shared by the engine and its pending callbacks, which keep it alive.
// `readers_` is accessed only on the control thread.
class EngineSession : public std::enable_shared_from_this<EngineSession> {
 public:
  EngineSession(asio::io_context& control,
                asio::io_context& traffic,
                std::string address)
      : control_(control), client_(MakeHttpClient(traffic, address)) {}

  void Start(StreamSpec spec, Engine::StreamCallbacks callbacks) {
    HttpCall call = MakeJsonCall("POST", "/v1/streams", FormatStreamSpec(spec));
    CallOnControl(
        std::move(call),
        [this, stream = spec.stream, first_chunk = spec.first_chunk,
         max_bytes = MaxStreamBytes(spec.max_output_tokens),
         callbacks = std::move(callbacks)](const HttpReply& reply) mutable {
          OnStarted(stream, first_chunk, max_bytes, ToStartStatus(reply),
                    std::move(callbacks));
        });
  }

  // An engine that sends more than `max_bytes` has failed.
  void StartReader(const StreamId& stream,
                   uint32_t next_chunk,
                   size_t max_bytes,
                   Engine::StreamCallbacks callbacks) {
    StopReader(stream);
    const uint64_t generation = ++last_generation_;
    auto progress = std::make_shared<StreamProgress>();
    progress->max_bytes = max_bytes;
    EventStreamCallbacks events;
    events.on_event = [progress, on_chunk = std::move(callbacks.on_chunk)](
                          std::string_view data) {
      OnEvent(data, *progress, on_chunk);
      return progress->bytes <= progress->max_bytes;
    };
    events.on_end = [self = shared_from_this(), stream, generation, progress,
                     on_end = std::move(callbacks.on_end)](
                        EventStreamEnd end, uint32_t http_status) {
      const StreamEndEvent event =
          ResolveStreamEnd(*progress, end, http_status);
      asio::post(self->control_, [self, stream, generation, event, on_end] {
        self->OnReaderEnded(stream, generation, event, on_end);
      });
    };
    readers_[stream] = {
        generation,
        client_->ReadEvents(
            fmt::format("{}/events?from={}", StreamPath(stream), next_chunk),
            kEventIdleTimeout, std::move(events))};
  }

  // Runs `done` with the reply on the control thread.
  template <class Done>
  void CallOnControl(HttpCall call, Done done) {
    client_->Call(
        std::move(call), [self = shared_from_this(),
                          done = std::move(done)](HttpReply reply) mutable {
          asio::post(self->control_,
                     [self, done = std::move(done),
                      reply = std::move(reply)]() mutable { done(reply); });
        });
  }

  // Stops all readers. They hold references to this session, so the destructor
  // of the engine must call this to release it.
  void Close() {
    closed_ = true;
    for (auto& [stream, reader] : readers_) {
      reader.reader->Stop();
    }
    readers_.clear();
  }

 private:
  struct Reader {
    uint64_t generation = 0;
    std::shared_ptr<EventStreamReader> reader;
  };

  static void OnEvent(std::string_view data,
                      StreamProgress& progress,
                      const std::function<void(StreamChunk)>& on_chunk) {
    std::optional<StreamEvent> event = ParseStreamEvent(data);
    if (!event) {
      progress.invalid = true;
      return;
    }
    if (progress.invalid || progress.end) {
      return;
    }
    if (auto* end = std::get_if<StreamEndEvent>(&*event)) {
      progress.end = *end;
      return;
    }
    StreamChunk chunk = std::get<StreamChunk>(std::move(*event));
    progress.bytes += chunk.data.size();
    if (progress.bytes <= progress.max_bytes) {
      on_chunk(std::move(chunk));
    }
  }

  void OnStarted(const StreamId& stream,
                 uint32_t first_chunk,
                 size_t max_bytes,
                 StartStatus status,
                 Engine::StreamCallbacks callbacks) {
    callbacks.on_start(status);
    // If `on_start` called Attach, that reader replaces this one.
    if (status == StartStatus::kStarted && !closed_ &&
        !readers_.contains(stream)) {
      StartReader(stream, first_chunk, max_bytes, std::move(callbacks));
    }
  }

  void OnReaderEnded(const StreamId& stream,
                     uint64_t generation,
                     StreamEndEvent event,
                     const std::function<void(StreamEnd, uint32_t)>& on_end) {
    auto it = readers_.find(stream);
    if (it == readers_.end() || it->second.generation != generation) {
      return;
    }
    readers_.erase(it);
    on_end(event.end, event.chunk_count);
  }

  void StopReader(const StreamId& stream) {
    auto it = readers_.find(stream);
    if (it != readers_.end()) {
      it->second.reader->Stop();
      readers_.erase(it);
    }
  }

  asio::io_context& control_;
  std::unique_ptr<HttpClient> client_;
  std::map<StreamId, Reader> readers_;
  uint64_t last_generation_ = 0;
  bool closed_ = false;
};

class HttpEngine : public Engine {
 public:
  HttpEngine(asio::io_context& control,
             asio::io_context& traffic,
             std::string address)
      : session_(std::make_shared<EngineSession>(control,
                                                 traffic,
                                                 std::move(address))) {}

  ~HttpEngine() override { session_->Close(); }

  void Start(StreamSpec spec, StreamCallbacks callbacks) override {
    session_->Start(std::move(spec), std::move(callbacks));
  }

  void Attach(const StreamId& stream,
              uint32_t next_chunk,
              StreamCallbacks callbacks) override {
    session_->StartReader(stream, next_chunk, kMaxAnswerBytes,
                          std::move(callbacks));
  }

  void Cancel(const StreamId& stream) override {
    session_->CallOnControl(MakeCall("DELETE", StreamPath(stream)),
                            [](const HttpReply&) {});
  }

  void ImportCache(const StreamId& cache,
                   Tokens memory,
                   std::function<void(StartStatus)> done) override {
    session_->CallOnControl(
        MakeJsonCall("PUT", CachePath(cache), FormatCacheMemory(memory)),
        [done = std::move(done)](const HttpReply& reply) {
          done(ToStartStatus(reply));
        });
  }

  void ReleaseCache(const StreamId& cache) override {
    session_->CallOnControl(MakeCall("DELETE", CachePath(cache)),
                            [](const HttpReply&) {});
  }

  void ListHoldings(
      std::function<void(const EngineHoldings* list)> done) override {
    session_->CallOnControl(MakeCall("GET", "/v1/streams"),
                            [done = std::move(done)](const HttpReply& reply) {
                              std::optional<EngineHoldings> list;
                              if (IsSuccess(reply)) {
                                list = ParseEngineHoldings(reply.body);
                              }
                              done(list ? &*list : nullptr);
                            });
  }

  void FetchLoad(std::function<void(const EngineLoad* load)> done) override {
    session_->CallOnControl(MakeCall("GET", "/v1/load"),
                            [done = std::move(done)](const HttpReply& reply) {
                              std::optional<EngineLoad> load;
                              if (IsSuccess(reply)) {
                                load = ParseEngineLoad(reply.body);
                              }
                              done(load ? &*load : nullptr);
                            });
  }

  void FetchCacheEvents(
      uint64_t sequence,
      std::function<void(std::vector<CacheEvent>)> done) override {
    session_->CallOnControl(
        MakeCall("GET", fmt::format("/v1/cache_events?from={}", sequence)),
        [done = std::move(done)](const HttpReply& reply) {
          std::optional<std::vector<CacheEvent>> events;
          if (IsSuccess(reply)) {
            events = ParseCacheEvents(reply.body);
          }
          done(events ? std::move(*events) : std::vector<CacheEvent>());
        });
  }

  void LoadModel(const ModelId& model,
                 FencingNumber fencing,
                 std::function<void(OrderStatus)> done) override {
    HttpCall call =
        MakeJsonCall("POST", "/v1/orders", FormatLoadModel(model, fencing));
    call.timeout = kOrderTimeout;
    session_->CallOnControl(std::move(call),
                            [done = std::move(done)](const HttpReply& reply) {
                              done(ToOrderStatus(reply));
                            });
  }

 private:
  std::shared_ptr<EngineSession> session_;
};

}  // namespace

std::unique_ptr<Engine> MakeHttpEngine(asio::io_context& control,
                                       asio::io_context& traffic,
                                       std::string address) {
  return std::make_unique<HttpEngine>(control, traffic, std::move(address));
}

}  // namespace burdockhatch
