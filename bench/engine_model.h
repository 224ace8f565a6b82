// A small model of one model engine in virtual time: continuous batching,
// chunked prefill with priorities, a prefix cache in limited memory, cold
// start. Its constants follow from the design scale; docs/policy.md derives
// them.
#ifndef BENCH_ENGINE_MODEL_H_
#define BENCH_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "src/clock.h"
#include "src/engine.h"
#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch::bench {

// Prompt tokens per prefix hash.
inline constexpr Tokens kBlockTokens{4096};

struct EngineModelOptions {
  Tokens memory{450'000};
  TokensPerSecond prefill_rate{160'000};
  Duration step_base{10'000};    // One decode step of an empty batch.
  Duration step_per_stream{80};  // Added per stream in the batch.
  Tokens prefill_chunk{4'096};   // Prefill work in one step, at most.
  Tokens prefix_cache{
      300'000};  // Cached prefixes, beside the memory of the streams.
  Tokens cold_work{400'000};  // Work until a cold engine is warm.
  int cold_slowdown = 4;      // Factor on every step while cold.
  Tokens cold_capacity{
      120'000};  // A cold engine that holds more than this falls over.
  bool priorities = true;  // Otherwise first come, first served.
};

// What happened to a stream in a step.
struct StreamEvent {
  enum class Kind : uint8_t { kFirstToken, kFinished };
  Kind kind;
  uint64_t stream;
  uint32_t tokens;
};

struct EngineStream {
  uint64_t id = 0;
  Tokens prompt;
  Tokens output;
  int priority = 0;
  uint64_t arrival = 0;  // Order of arrival.
  std::vector<uint64_t> prefix_hashes;
  Tokens memory;  // Held from admission to the end.
  Tokens prefill_left;
  Tokens generated;
  bool admitted = false;  // Has memory.
};

class EngineModel {
 public:
  explicit EngineModel(EngineModelOptions options) : options_(options) {}

  // `memory` is what the stream holds here, less than its prompt when a gang
  // holds the rest.
  void Start(EngineStream stream);
  void Cancel(uint64_t stream);
  void HoldCache(uint64_t cache, Tokens memory);
  void ReleaseCache(uint64_t cache);
  Tokens HeldCache(uint64_t cache) const;

  bool Idle() const { return streams_.empty(); }
  // Runs one step that begins now and returns how long it takes; the events
  // happen at its end.
  Duration Step(std::vector<StreamEvent>* events);

  // Loses all streams and caches and starts cold.
  void Restart();
  // Drops the prefix cache and the speed of a warm engine, but no stream.
  void TurnCold();

  bool cold() const { return completed_ < cold_until_; }
  bool fell_over() const { return fell_over_; }
  uint64_t times_fallen() const { return times_fallen_; }
  Tokens memory_used() const { return memory_used_; }
  Tokens in_flight() const;
  // Most tokens in flight seen while cold.
  Tokens cold_peak() const { return cold_peak_; }
  EngineLoad Load() const;
  EngineIncarnation incarnation() const { return incarnation_; }
  std::vector<EngineHolding> Holdings() const;
  // Hashes added to and evicted from the prefix cache since the last call.
  std::vector<CacheEvent> TakeCacheEvents();
  uint64_t prompt_tokens_total() const { return prompt_tokens_total_; }
  uint64_t hit_tokens_total() const { return hit_tokens_total_; }

 private:
  Tokens CachedPrefix(const EngineStream& stream);
  void InsertPrefix(const EngineStream& stream);
  void Admit();
  void CheckColdLoad();

  EngineModelOptions options_;
  std::vector<EngineStream> streams_;
  std::unordered_map<uint64_t, Tokens> caches_;
  Tokens memory_used_;
  uint64_t arrivals_ = 0;

  std::list<uint64_t> cache_order_;  // Most recently used first.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache_index_;
  std::vector<CacheEvent> cache_events_;
  uint64_t cache_sequence_ = 0;

  EngineIncarnation incarnation_{1};
  Tokens completed_;
  Tokens cold_until_;
  Duration uptime_{0};
  Tokens cold_peak_;
  bool fell_over_ = false;
  uint64_t times_fallen_ = 0;
  uint64_t lookups_ = 0;
  uint64_t hits_ = 0;
  uint64_t prompt_tokens_total_ = 0;
  uint64_t hit_tokens_total_ = 0;
};

}  // namespace burdockhatch::bench

#endif  // BENCH_ENGINE_MODEL_H_
