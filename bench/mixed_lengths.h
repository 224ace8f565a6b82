// The placement of mixed prompt lengths, as the users' days bring them: short
// prompts and long ones in turn, each for some seconds above what the engines
// can read. Reports the benefit that callers get, and what the rest was lost
// to.
#ifndef BENCH_MIXED_LENGTHS_H_
#define BENCH_MIXED_LENGTHS_H_

#include "bench/experiments.h"
#include "bench/report.h"

namespace burdockhatch::bench {

void RunMixedLengths(const ExperimentOptions& options, Report* report);

}  // namespace burdockhatch::bench

#endif  // BENCH_MIXED_LENGTHS_H_
