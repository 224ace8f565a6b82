// Fake model engine for tests: continuous batching with priorities, chunked
// prefill, a prefix cache in limited memory and warm-up. A stream holds its
// memory until it is complete and read, cancelled, or past its retention. Runs
// on one thread.
//
// Work and memory are counted in tokens. The time scale divides the computation
// times (prefill, output, loading a model), not the lags and the retention.
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
  // Limit of the prefix cache; a negative value means a quarter of the memory.
  int64_t cache_tokens = -1;
  int64_t block_tokens = 1024;  // Prompt tokens per prefix hash.
  double prefill_tokens_per_s = 20'000;
  int64_t prefill_chunk_tokens = 512;  // Largest prefill in one step.
  double ms_per_token = 20;            // Duration of a step that generates.
  int64_t max_batch = 32;
  int64_t cold_tokens = 0;  // Tokens to process until a cold engine is warm.
  bool start_warm = false;  // Cold only after a fault or a restart.
  // More tokens in flight overload a cold engine; 0 means no limit.
  int64_t cold_capacity_tokens = 0;
  double cold_slowdown = 4;  // Factor on the duration of all steps while cold.
  bool honours_fencing = true;
  uint64_t report_lag_ms = 500;  // Age of the load report.
  uint64_t event_lag_ms = 500;   // Delay until a cache event is published.
  int64_t tokens_per_chunk = 4;
  uint64_t retention_ms = 10'000;  // Time for which an ended stream is kept.
  uint64_t load_ms = 2'000;        // Time to load a model.
  double time_scale = 1;
};

// Accepts these faults in addition to CommonFaultNames():
//   cold             once: loses the prefix cache and turns cold
//   restart          once: loses all streams and caches; a new incarnation
//   crash            once: the program exits with status 3
//   poison           bool: restarts when it begins the answer to a prompt that
//                    contains the word "poison"
//   stall            bool: accepts streams and produces nothing
//   slow             number: factor on the duration of all steps
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
