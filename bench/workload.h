// Seeded workloads for the policy benchmark.
#ifndef BENCH_WORKLOAD_H_
#define BENCH_WORKLOAD_H_

#include <cstdint>
#include <vector>

#include "src/clock.h"
#include "src/messages.h"
#include "src/random.h"
#include "src/units.h"

namespace burdockhatch::bench {

// Prompt lengths follow a Pareto distribution cut off at both ends. With shape
// 0.85 and these ends one prompt in fifty is above 100,000 tokens, as the
// design scale says; the mean is 10,300.
inline constexpr double kPromptShape = 0.85;
inline constexpr Tokens kShortestPrompt{1'000};
inline constexpr Tokens kLongestPrompt{1'000'000};

// 1.5 million tokens/s over 4,900 requests/s.
inline constexpr Tokens kMeanOutput{306};
inline constexpr Tokens kMaxOutput{2'000};

// 4,900 requests/s over 750 replicas.
inline constexpr double kRequestsPerSecondPerReplica = 4'900.0 / 750;

struct WorkloadOptions {
  uint64_t seed = 1;
  int replicas = 16;
  double load = 0.8;  // Of the capacity that the design scale asks for.
  Duration length{60'000'000};  // Arrivals stop after this.
  int accounts = 10;            // The first two send half of all requests.
  int prefix_groups = 4;        // Catalog dialects or report templates.
  double repeat_share = 0.5;  // Requests about a document that was sent before.
  LengthClass longest =
      LengthClass::kHuge;  // Longer prompts are left out, not replaced.
};

struct WorkItem {
  Time arrival;
  int account = 0;
  Tokens prompt;
  Tokens output;      // What the model generates.
  Tokens max_output;  // What the caller asks for at most.
  std::vector<uint64_t> prefix_hashes;
  Duration deadline{0};
};

// How long a caller waits.
Duration DeadlineFor(Tokens prompt, Tokens max_output);

// Arrivals are a Poisson process. The same seed gives the same short requests
// whatever `longest` is.
std::vector<WorkItem> MakeWorkload(const WorkloadOptions& options);

}  // namespace burdockhatch::bench

#endif  // BENCH_WORKLOAD_H_
