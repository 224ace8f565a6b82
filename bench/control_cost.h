// Control cost of each role: bytes, messages, CPU time and heap, measured with
// the real cores and codec at several sizes and extrapolated to the design
// scale.
#ifndef BENCH_CONTROL_COST_H_
#define BENCH_CONTROL_COST_H_

#include "bench/experiments.h"
#include "bench/report.h"

namespace burdockhatch::bench {

// Slopes at small sizes, extrapolated to the design scale.
void RunControl(const ExperimentOptions& options, Report* report);

// The whole fleet at the design scale; checks the extrapolation.
void RunFleet(const ExperimentOptions& options, Report* report);

// Changes of the configuration through all processes of the design scale.
void RunConfigSpread(const ExperimentOptions& options, Report* report);

// Time and allocations of one choice among all targets.
void RunDecision(const ExperimentOptions& options, Report* report);

}  // namespace burdockhatch::bench

#endif  // BENCH_CONTROL_COST_H_
