// fake_engine: a fake model engine for tests.
#include <cstdio>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "standins/fake_engine.h"
#include "standins/http_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7101", "ip:port to listen on");
ABSL_FLAG(uint64_t, seed, 1, "seed of faults that occur with a probability");
ABSL_FLAG(std::string, model, "model", "model that is loaded at startup");
ABSL_FLAG(int64_t, memory_tokens, 450'000, "size of the KV memory in tokens");
ABSL_FLAG(
    int64_t,
    cache_tokens,
    -1,
    "limit of the prefix cache in tokens; negative: a quarter of the memory");
ABSL_FLAG(int64_t, block_tokens, 1024, "prompt tokens per prefix hash");
ABSL_FLAG(double,
          prefill_tokens_per_s,
          20'000,
          "prefill rate of a warm engine");
ABSL_FLAG(int64_t, prefill_chunk_tokens, 512, "prefill tokens per step");
ABSL_FLAG(double, ms_per_token, 20, "duration of a step that generates, in ms");
ABSL_FLAG(int64_t, max_batch, 32, "largest number of streams in the batch");
ABSL_FLAG(int64_t,
          cold_tokens,
          0,
          "tokens to process before the engine runs at full speed");
ABSL_FLAG(bool, start_warm, false, "cold only after a fault or a restart");
ABSL_FLAG(
    int64_t,
    cold_capacity_tokens,
    0,
    "tokens in flight above which a cold engine is overloaded; 0: no limit");
ABSL_FLAG(double,
          cold_slowdown,
          4,
          "factor on the duration of all steps while cold");
ABSL_FLAG(bool,
          honours_fencing,
          true,
          "refuse orders with a stale fencing token");
ABSL_FLAG(uint64_t, report_lag_ms, 500, "age of the report at /v1/load in ms");
ABSL_FLAG(uint64_t,
          event_lag_ms,
          500,
          "delay of events at /v1/cache_events in ms");
ABSL_FLAG(int64_t, tokens_per_chunk, 4, "output tokens per event");
ABSL_FLAG(uint64_t,
          retention_ms,
          10'000,
          "time for which an ended stream is kept, in ms");
ABSL_FLAG(uint64_t, load_ms, 2'000, "time to load a model in ms");
ABSL_FLAG(double, time_scale, 1, "divides the computation times");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Fake model engine for tests.");
  absl::ParseCommandLine(argc, argv);
  burdockhatch::standins::FakeEngineOptions options;
  options.listen = absl::GetFlag(FLAGS_listen);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.model = absl::GetFlag(FLAGS_model);
  options.memory_tokens = absl::GetFlag(FLAGS_memory_tokens);
  options.cache_tokens = absl::GetFlag(FLAGS_cache_tokens);
  options.block_tokens = absl::GetFlag(FLAGS_block_tokens);
  options.prefill_tokens_per_s = absl::GetFlag(FLAGS_prefill_tokens_per_s);
  options.prefill_chunk_tokens = absl::GetFlag(FLAGS_prefill_chunk_tokens);
  options.ms_per_token = absl::GetFlag(FLAGS_ms_per_token);
  options.max_batch = absl::GetFlag(FLAGS_max_batch);
  options.cold_tokens = absl::GetFlag(FLAGS_cold_tokens);
  options.start_warm = absl::GetFlag(FLAGS_start_warm);
  options.cold_capacity_tokens = absl::GetFlag(FLAGS_cold_capacity_tokens);
  options.cold_slowdown = absl::GetFlag(FLAGS_cold_slowdown);
  options.honours_fencing = absl::GetFlag(FLAGS_honours_fencing);
  options.report_lag_ms = absl::GetFlag(FLAGS_report_lag_ms);
  options.event_lag_ms = absl::GetFlag(FLAGS_event_lag_ms);
  options.tokens_per_chunk = absl::GetFlag(FLAGS_tokens_per_chunk);
  options.retention_ms = absl::GetFlag(FLAGS_retention_ms);
  options.load_ms = absl::GetFlag(FLAGS_load_ms);
  options.time_scale = absl::GetFlag(FLAGS_time_scale);
  try {
    boost::asio::io_context io(1);
    burdockhatch::standins::FakeEngine engine(io, options);
    fmt::print(stderr, "fake_engine: listening on {}\n", engine.address());
    burdockhatch::standins::RunUntilTerminated(io);
  } catch (const std::exception& e) {
    fmt::print(stderr, "fake_engine: {}\n", e.what());
    return 1;
  }
  return 0;
}
