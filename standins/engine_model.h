// The model of a batching engine behind the fake engine: streams, memory,
// prefix cache and warm-up. No sockets and no clock; the caller asks for the
// next step and applies it once its time has passed.
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

enum class Phase : uint8_t { kWaiting, kPrefill, kGenerating, kEnded };

struct ModelStream {
  StreamSpec spec;
  uint64_t arrival = 0;
  uint64_t prompt_hash = 0;
  Phase phase = Phase::kWaiting;
  int64_t load = 0;          // Local prompt and output; the tokens in flight.
  int64_t memory = 0;        // Held; 0 once released.
  int64_t local_prompt = 0;  // Prompt tokens that this engine computes.
  int64_t prefill_left = 0;
  uint32_t generated = 0;  // Output tokens of the whole answer so far.
  uint32_t next_chunk = 0;
  std::string pending;  // Text of tokens that do not fill a chunk yet.
  uint32_t pending_tokens = 0;
  std::vector<StreamChunk> chunks;
  std::string end;  // "complete", "cancelled", "failed"; empty while it runs.
};

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
  uint64_t overloads = 0;     // Restarts because a cold engine was overloaded.
  uint64_t streams_lost = 0;  // By restarts.
  uint64_t orders = 0;        // Carried out.
  int64_t peak_in_flight = 0;
  int64_t peak_cold_in_flight = 0;
  int64_t peak_memory = 0;
  int64_t peak_batch = 0;
};

enum class ModelStart : uint8_t {
  kStarted,
  kExists,
  kWrongModel,
  kOutOfMemory,
  kOverloaded,  // The engine was cold, lost everything and restarted.
};

// One step of the batch.
struct ModelStep {
  double milliseconds = 0;                               // 0: nothing to do.
  std::vector<std::pair<std::string, int64_t>> prefill;  // Tokens per stream.
  std::vector<std::string> generate;
};

class EngineModel {
 public:
  explicit EngineModel(const FakeEngineOptions& options);

  ModelStart Start(StreamSpec spec);
  // False when the stream is unknown.
  bool Cancel(const std::string& id);
  // The reader has the whole answer: releases the memory.
  void MarkRead(const std::string& id);
  void Erase(const std::string& id);

  // False when the memory does not suffice.
  bool PutCache(const std::string& id, int64_t memory);
  bool DropCache(const std::string& id);

  ModelStep NextStep();
  // Returns the streams that have new chunks or have ended.
  std::vector<std::string> Apply(const ModelStep& step);

  void TurnCold();
  // Loses all streams and caches.
  void Restart();
  void ReplaceModel(const std::string& model);
  void FailNextStreams(bool fail) { fail_streams_ = fail; }

  bool IsCold() const { return warmup_left_ > 0; }
  int64_t InFlight() const;
  int64_t MemoryUsed() const;  // By streams and imported caches.
  int64_t PrefixCacheTokens() const;
  const std::string& model() const { return model_; }
  int64_t completed_tokens() const { return completed_tokens_; }
  uint64_t prefix_lookups() const { return prefix_lookups_; }
  uint64_t prefix_hits() const { return prefix_hits_; }
  uint64_t restarts() const { return stats.restarts; }
  size_t waiting() const;
  size_t running() const;

  std::map<std::string, ModelStream>& streams() { return streams_; }
  const std::map<std::string, int64_t>& caches() const { return caches_; }

  // Changes of the prefix cache since the last call.
  std::vector<CacheEvent> TakeCacheEvents();

  ModelStats stats;

 private:
  void Admit();
  void BeginPrefill(ModelStream& stream);
  int64_t LookUpPrefix(const StreamSpec& spec);
  void AddPrefix(const StreamSpec& spec);
  void EvictPrefixes(int64_t limit);
  int64_t CacheLimit() const;
  void Generate(ModelStream& stream);
  void FlushChunk(ModelStream& stream);
  void End(ModelStream& stream, const std::string& end);
  void CountWork(int64_t tokens);
  void RecordPeaks();
  std::vector<ModelStream*> Ordered(Phase phase);

  FakeEngineOptions options_;
  std::string model_;
  std::map<std::string, ModelStream> streams_;
  std::map<std::string, int64_t> caches_;
  std::list<uint64_t> prefix_lru_;  // Most recently used first.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> prefixes_;
  std::vector<CacheEvent> cache_events_;
  uint64_t arrivals_ = 0;
  int64_t warmup_left_ = 0;
  int64_t completed_tokens_ = 0;
  uint64_t prefix_lookups_ = 0;
  uint64_t prefix_hits_ = 0;
  bool fail_streams_ = false;
};

}  // namespace burdockhatch::standins

#endif  // STANDINS_ENGINE_MODEL_H_
