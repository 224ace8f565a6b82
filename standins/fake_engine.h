// Stand-in of a model engine: continuous batching with priorities, chunked
// prefill, a prefix cache in limited memory, warm-up, and streams whose memory
// is held until they are complete and read, cancelled or past retention. Runs
// on one thread.
//
// Amounts of work and memory are in tokens. The time scale divides the times
// of computation (prefill, output, loading a model), not lags and retention.
#ifndef STANDINS_FAKE_ENGINE_H_
#define STANDINS_FAKE_ENGINE_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace burdockhatch::standins {

struct FakeEngineOptions {
  std::string listen = "127.0.0.1:0";
  uint64_t seed = 1;
  std::string model = "model";
  int64_t memory_tokens = 450'000;
  int64_t cache_tokens = -1;    // Limit of the prefix cache; below 0: a quarter
                                // of the memory.
  int64_t block_tokens = 1024;  // Prompt tokens per prefix hash.
  double prefill_tokens_per_s = 20'000;
  int64_t prefill_chunk_tokens = 512;  // Prefill per step; then others run.
  double ms_per_token = 20;            // Length of a step that generates.
  int64_t max_batch = 32;
  int64_t cold_tokens = 0;           // Work until a cold engine is warm.
  bool start_warm = false;           // Cold only after a fault or a restart.
  int64_t cold_capacity_tokens = 0;  // Tokens in flight that a cold engine
                                     // carries; 0: no limit.
  double cold_slowdown = 4;          // Factor of all steps while cold.
  bool honours_fencing = true;
  uint64_t report_lag_ms = 500;
  uint64_t event_lag_ms = 500;  // Until a cache event is published.
  int64_t tokens_per_chunk = 4;
  uint64_t retention_ms = 10'000;  // Of ended streams.
  uint64_t load_ms = 2'000;        // Of one order to load a model.
  double time_scale = 1;
};

// Faults besides the common ones:
//   cold             once: loses the prefix cache and turns cold
//   restart          once: loses everything; a new incarnation
//   crash            once: the program exits with status 3
//   stall            bool: accepts streams and produces nothing
//   slow             number: factor of all steps
//   lose_event       probability: an event of a stream is not sent
//   duplicate_event  probability: an event of a stream is sent twice
//   cut_events       probability: the connection closes instead of an event
//   lose_cache_event probability: a cache event is never published
//   ignore_cancel    bool: DELETE /v1/streams/<id> answers 204 without effect
//   fail_streams     bool: streams end as failed after their first chunk
//   refuse_ms        number: refuse connections for this time, once
class FakeEngine {
 public:
  FakeEngine(boost::asio::io_context& io, FakeEngineOptions options);
  ~FakeEngine();

  std::string address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace burdockhatch::standins

#endif  // STANDINS_FAKE_ENGINE_H_
