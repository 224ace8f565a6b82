// The experiments of the policy benchmark. Each adds its figures and bounds to
// a report.
#ifndef BENCH_EXPERIMENTS_H_
#define BENCH_EXPERIMENTS_H_

#include <cstdint>

#include "bench/report.h"

namespace burdockhatch::bench {

struct ExperimentOptions {
  uint64_t seed = 1;
  int replicas = 16;
};

// Short requests with million-token prompts in the mix, at 0.8 of capacity,
// against both baselines.
void RunSlowdown(const ExperimentOptions& options, Report* report);
// Goodput from 0.3 to 2 times capacity.
void RunOverload(const ExperimentOptions& options, Report* report);
// Every prompt up to a million tokens at 0.6 of capacity.
void RunLongPrompts(const ExperimentOptions& options, Report* report);
// A data centre is taken out and returned at 0.6 of capacity.
void RunDataCentreChange(const ExperimentOptions& options, Report* report);
// Some warm targets turn cold at 0.6 of capacity.
void RunColdTargets(const ExperimentOptions& options, Report* report);

}  // namespace burdockhatch::bench

#endif  // BENCH_EXPERIMENTS_H_
