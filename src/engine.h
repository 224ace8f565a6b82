// A model engine, as its agent uses it.
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
  int priority = 0;  // Lower runs first.
  std::vector<uint64_t> prefix_hashes;
  std::vector<StreamId> imported_caches;  // At other engines, for a gang.
  Tokens imported_tokens;  // Part of the prompt that the imported caches hold.
  uint32_t first_chunk = 0;
  std::string generated_prefix;
  std::string prompt;
};

enum class StartStatus : uint8_t {
  kStarted,
  kRefused,  // The engine answered that it does not run the stream.
  kNotSent,  // The engine could not be reached.
  kUnknown,  // No answer; the stream may run.
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
  kConnectionLost,  // The stream may still run; attach again.
  kNotFound,        // The engine does not know the stream.
};

// One stream or cache that an engine holds memory for.
struct EngineHolding {
  StreamId stream;
  Tokens memory;
  bool is_cache = false;  // An exported or imported KV cache.
};

struct EngineHoldings {
  EngineIncarnation engine;
  std::vector<EngineHolding> holdings;
};

// What an engine reports of itself. Reports lag.
struct EngineLoad {
  EngineIncarnation engine;
  Duration uptime{0};
  Tokens memory_total;
  Tokens memory_used;
  Tokens completed;  // Prompt and output tokens completed since the engine
                     // started.
  uint64_t prefix_lookups = 0;
  uint64_t prefix_hits = 0;
  std::vector<ModelId> models;
};

struct CacheEvent {
  uint64_t sequence = 0;  // A jump tells of lost events.
  bool added = false;     // Added to the cache, otherwise evicted from it.
  uint64_t prefix_hash = 0;
};

enum class OrderStatus : uint8_t { kDone, kStaleFencing, kFailed, kUnknown };

// Calls return at once; callbacks run on the control thread, except `on_chunk`,
// which runs on the traffic thread that reads the stream.
class Engine {
 public:
  struct StreamCallbacks {
    std::function<void(StartStatus)> on_start;
    std::function<void(StreamChunk)> on_chunk;
    std::function<void(StreamEnd, uint32_t chunk_count)> on_end;
  };

  virtual ~Engine() = default;

  virtual void Start(StreamSpec spec, StreamCallbacks callbacks) = 0;

  // Reads the chunks of a running or finished stream again from `next_chunk`.
  // `on_start` is not used.
  virtual void Attach(const StreamId& stream,
                      uint32_t next_chunk,
                      StreamCallbacks callbacks) = 0;

  virtual void Cancel(const StreamId& stream) = 0;

  virtual void ImportCache(const StreamId& cache,
                           Tokens memory,
                           std::function<void(StartStatus)> done) = 0;
  virtual void ReleaseCache(const StreamId& cache) = 0;

  // `list` is null when the engine did not answer.
  virtual void ListHoldings(
      std::function<void(const EngineHoldings* list)> done) = 0;
  virtual void FetchLoad(std::function<void(const EngineLoad* load)> done) = 0;

  // Cache events after `sequence`; may come late and with gaps.
  virtual void FetchCacheEvents(
      uint64_t sequence,
      std::function<void(std::vector<CacheEvent>)> done) = 0;

  // Orders the engine to load `model`.
  virtual void LoadModel(const ModelId& model,
                         FencingNumber fencing,
                         std::function<void(OrderStatus)> done) = 0;
};

}  // namespace burdockhatch

#endif  // SRC_ENGINE_H_
