// Simulates a batching engine for the fake engine: streams, memory, prefix
// cache and warm-up. The model has no sockets and no clock: the caller asks for
// the next step and applies it once its duration has passed.
#ifndef STANDINS_ENGINE_MODEL_H_
#define STANDINS_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/engine.h"
#include "standins/fake_engine.h"

namespace burdockhatch::standins {

enum class StreamPhase : uint8_t { kWaiting, kPrefill, kGenerating, kEnded };

struct ModelStream {
  StreamSpec spec;
  uint64_t arrival_number = 0;
  uint64_t prompt_hash = 0;
  StreamPhase phase = StreamPhase::kWaiting;
  // Local prompt plus maximum output.
  int64_t in_flight_tokens = 0;
  // Memory that the stream holds; 0 once it is released.
  int64_t memory_tokens = 0;
  // Prompt tokens that this engine computes itself or finds in its prefix
  // cache; the others are in imported caches.
  int64_t local_prompt_tokens = 0;
  int64_t prefill_tokens_left = 0;
  // Output tokens of the answer so far, with those that an earlier attempt
  // generated.
  uint32_t generated_tokens = 0;
  uint32_t next_chunk = 0;
  // Tokens that do not fill a chunk yet.
  std::string pending_text;
  uint32_t pending_tokens = 0;
  std::vector<StreamChunk> chunks;
  // "complete", "cancelled" or "failed"; empty while the stream runs.
  std::string end_reason;
};

// Counters of streams, refusals and restarts since the program started, and the
// largest values seen in that time. They survive restarts of the engine.
struct ModelStats {
  uint64_t started = 0;
  uint64_t duplicate_starts = 0;
  uint64_t completed = 0;
  uint64_t cancelled = 0;
  uint64_t failed = 0;
  uint64_t refused_memory = 0;
  uint64_t refused_model = 0;
  uint64_t refused_fencing = 0;
  uint64_t restarts = 0;
  // Restarts that an overload of the cold engine caused.
  uint64_t overloads = 0;
  // Waiting and running streams that restarts lost.
  uint64_t streams_lost = 0;
  // Orders to load a model that the engine carried out.
  uint64_t orders = 0;
  int64_t peak_in_flight = 0;       // In tokens.
  int64_t peak_cold_in_flight = 0;  // In tokens, while the engine was cold.
  int64_t peak_memory = 0;          // In tokens.
  int64_t peak_batch = 0;           // In streams.
};

enum class StartResult : uint8_t {
  kStarted,
  kAlreadyExists,
  kWrongModel,
  kOutOfMemory,
  kOverloaded,  // The cold engine restarted and lost all streams and caches.
};

// One pass of the engine over its batch.
struct EngineStep {
  double duration_ms = 0;  // 0 when there is no work.
  // Prompt tokens to compute, by stream.
  std::vector<std::pair<std::string, int64_t>> prefill_tokens;
  std::vector<std::string> generating_streams;
};

class EngineModel {
 public:
  explicit EngineModel(const FakeEngineOptions& options);

  StartResult Start(StreamSpec spec);
  // Ends a stream and releases its memory. Returns false when the stream is
  // unknown.
  bool Cancel(const std::string& id);
  // Releases the memory of an ended stream whose reader has the whole answer.
  void MarkAnswerRead(const std::string& id);
  void EraseStream(const std::string& id);

  // Reserves memory for the cache that another engine's stream imports. Returns
  // false when too little memory is free.
  bool PutImportedCache(const std::string& id, int64_t memory);
  bool DropImportedCache(const std::string& id);

  EngineStep NextStep();
  // Returns the streams that have new chunks or have ended.
  std::vector<std::string> ApplyStep(const EngineStep& step);

  void TurnCold();
  // Loses all streams and caches.
  void Restart();
  void ReplaceModel(const std::string& model);
  void SetFailStreams(bool fail) { fail_streams_ = fail; }

  bool IsCold() const { return warmup_tokens_left_ > 0; }
  int64_t InFlightTokens() const;
  // Memory held by streams and imported caches, without the prefix cache.
  int64_t MemoryUsedTokens() const;
  int64_t PrefixCacheTokens() const;
  const std::string& model() const { return model_; }
  int64_t completed_tokens() const { return completed_tokens_; }
  uint64_t prefix_lookups() const { return prefix_lookups_; }
  uint64_t prefix_hits() const { return prefix_hits_; }
  uint64_t restarts() const { return stats.restarts; }
  size_t waiting_count() const;
  size_t running_count() const;

  std::map<std::string, ModelStream>& streams() { return streams_; }
  const std::map<std::string, int64_t>& imported_caches() const {
    return imported_caches_;
  }

  // Returns the changes of the prefix cache since the previous call.
  std::vector<CacheEvent> TakeCacheEvents();

  ModelStats stats;

 private:
  void AdmitWaitingStreams();
  void BeginPrefill(ModelStream& stream);
  int64_t CachedPrefixTokens(const StreamSpec& spec);
  void AddPrefixBlocks(const StreamSpec& spec);
  void EvictPrefixBlocksAbove(int64_t limit);
  int64_t PrefixCacheLimit() const;
  void GenerateToken(ModelStream& stream);
  void FlushChunk(ModelStream& stream);
  void EndStream(ModelStream& stream, const std::string& end);
  void RecordCompletedTokens(int64_t tokens);
  void RecordPeaks();
  std::vector<ModelStream*> StreamsByPriority(StreamPhase phase);

  FakeEngineOptions options_;
  std::string model_;
  std::map<std::string, ModelStream> streams_;
  std::map<std::string, int64_t> imported_caches_;
  std::list<uint64_t> prefix_lru_;  // Most recently used first.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> prefixes_;
  std::vector<CacheEvent> cache_events_;
  uint64_t last_arrival_number_ = 0;
  int64_t warmup_tokens_left_ = 0;
  int64_t completed_tokens_ = 0;
  uint64_t prefix_lookups_ = 0;
  uint64_t prefix_hits_ = 0;
  bool fail_streams_ = false;
};

}  // namespace burdockhatch::standins

#endif  // STANDINS_ENGINE_MODEL_H_
