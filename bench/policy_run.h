// Runs one workload through the decision logic in virtual time: entry cores,
// agent cores and engine models, joined by links of fixed latency. Also runs
// the baselines, which place requests on the same engines without agents.
#ifndef BENCH_POLICY_RUN_H_
#define BENCH_POLICY_RUN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "bench/engine_model.h"
#include "bench/workload.h"
#include "src/clock.h"
#include "src/errors.h"
#include "src/messages.h"
#include "src/units.h"

namespace burdockhatch::bench {

enum class Policy : uint8_t {
  kBurdockhatch,
  kRoundRobin,
  kLeastOutstanding,  // Requests outstanding, counted by each entry for itself.
};

std::string_view ToString(Policy policy);

struct RunOptions {
  Policy policy = Policy::kBurdockhatch;
  int replicas = 16;
  int data_centres = 3;
  int entries_per_data_centre = 2;
  Duration between_data_centres{1'000};
  Duration inside_data_centre{100};
  Duration to_client{1'000};
  uint64_t seed = 1;
  EngineModelOptions engine;
  // Time added after the last arrival, so that every request reaches its end.
  Duration drain{600'000'000};

  // Data centre 0 is withdrawn and returned at these times; zero: never. Its
  // engines restart cold while it is out.
  Duration withdraw_at{0};
  Duration return_at{0};

  // These replicas turn cold at this time; zero: never.
  Duration cold_at{0};
  int cold_replicas = 0;
};

enum class End : uint8_t {
  kNone,  // Never ended: a fault of the policy.
  kAnswered,
  kRefused,  // Ended with the outcome not_run.
  kFailed,
};

// What happened to one item of the workload.
struct ItemResult {
  End end = End::kNone;
  ErrorCode code = ErrorCode::kNone;
  Time first_token;
  Time ended;
  uint32_t tokens = 0;
};

struct RunResult {
  std::vector<ItemResult> items;  // In the order of the workload.
  uint64_t offers = 0;            // Attempts sent to agents or engines.
  uint64_t refused_offers = 0;
  uint64_t messages = 0;
  uint64_t fell_over = 0;      // Cold engines that were given too much.
  Tokens cold_peak;            // Most tokens in flight at a cold engine.
  double cache_hit_share = 0;  // Prompt tokens served from the prefix cache.
  uint64_t offers_to_withdrawn =
      0;               // Dispatched to a withdrawn target after the bound.
  Tokens memory_left;  // Held by engines when all work has ended.
  // Seconds after the return until the data centre's share of dispatches is
  // back at 80% of its part.
  double settle_seconds = 0;
};

RunResult Run(const RunOptions& options, const std::vector<WorkItem>& items);

}  // namespace burdockhatch::bench

#endif  // BENCH_POLICY_RUN_H_
