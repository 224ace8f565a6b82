// Interface through which an agent controls its model engine.
#ifndef SRC_ENGINE_H_
#define SRC_ENGINE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch {

struct StreamSpec {
  StreamId stream;
  ModelId model;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  int priority = 0;                     // Streams with lower values run first.
  std::vector<uint64_t> prefix_hashes;  // One per block of the prompt, chained.
  std::vector<StreamId> imported_caches;  // KV caches at other gang members.
  Tokens imported_tokens;        // Prompt tokens held by the imported caches.
  uint32_t first_chunk = 0;      // Index of the first chunk to send.
  std::string generated_prefix;  // Output already delivered, when resuming.
  std::string prompt;
};

enum class StartStatus : uint8_t {
  kStarted,
  kRefused,  // The engine replied that it does not run the stream.
  kNotSent,  // The engine could not be reached.
  kUnknown,  // No usable reply; the stream may be running.
};

struct StreamChunk {
  uint32_t index = 0;
  uint32_t tokens = 0;
  std::string data;
};

enum class StreamEnd : uint8_t {
  kComplete,
  kFailed,
  kCancelled,
  kConnectionLost,  // The stream may still run; call Attach to resume.
  kNotFound,        // The engine has no such stream.
};

// A stream or KV cache for which an engine holds memory.
struct EngineHolding {
  StreamId stream;
  Tokens memory;
  bool is_cache = false;  // An exported or imported KV cache.
};

struct EngineHoldings {
  EngineIncarnation engine;
  std::vector<EngineHolding> holdings;
};

// Load report of an engine. The values lag behind its current state.
struct EngineLoad {
  EngineIncarnation engine;
  Duration uptime{0};
  Tokens memory_total;
  Tokens memory_used;
  Tokens completed;  // Prompt and output tokens processed since the engine
                     // started.
  uint64_t prefix_lookups = 0;
  uint64_t prefix_hits = 0;
  std::vector<ModelId> models;
};

struct CacheEvent {
  uint64_t sequence = 0;  // Consecutive; a gap means that events were lost.
  bool added = false;     // True if the prefix was cached, false if evicted.
  uint64_t prefix_hash = 0;
};

// Result of an order to the engine: kStaleFencing and kFailed mean that it was
// not carried out, kUnknown that it may have been.
enum class OrderStatus : uint8_t { kDone, kStaleFencing, kFailed, kUnknown };

// All calls are asynchronous. Callbacks run on the control thread, except
// `on_chunk`, which runs on the traffic thread that reads the stream.
class Engine {
 public:
  struct StreamCallbacks {
    std::function<void(StartStatus)> on_start;
    std::function<void(StreamChunk)> on_chunk;
    std::function<void(StreamEnd, uint32_t chunk_count)> on_end;
  };

  virtual ~Engine() = default;

  virtual void Start(StreamSpec spec, StreamCallbacks callbacks) = 0;

  // Reads the chunks of a running or finished stream from `next_chunk` on.
  // `on_start` is not called.
  virtual void Attach(const StreamId& stream,
                      uint32_t next_chunk,
                      StreamCallbacks callbacks) = 0;

  virtual void Cancel(const StreamId& stream) = 0;

  // Makes the engine hold `memory` tokens of KV cache under the id `cache`, for
  // a gang of which this engine is a member.
  virtual void ImportCache(const StreamId& cache,
                           Tokens memory,
                           std::function<void(StartStatus)> done) = 0;
  // Frees the memory of an imported cache.
  virtual void ReleaseCache(const StreamId& cache) = 0;

  // `list` or `load` is null if the engine sent no valid reply.
  virtual void ListHoldings(
      std::function<void(const EngineHoldings* list)> done) = 0;
  virtual void FetchLoad(std::function<void(const EngineLoad* load)> done) = 0;

  // Fetches the cache events after `sequence`. Events can be late or missing.
  virtual void FetchCacheEvents(
      uint64_t sequence,
      std::function<void(std::vector<CacheEvent>)> done) = 0;

  // Orders the engine to load `model`. Engines may reject a stale `fencing`.
  virtual void LoadModel(const ModelId& model,
                         FencingNumber fencing,
                         std::function<void(OrderStatus)> done) = 0;
};

}  // namespace burdockhatch

#endif  // SRC_ENGINE_H_
