// A fixed piece of arithmetic whose CPU time stands for the speed of the
// machine. Costs are given as ratios to it, so that they can be compared
// between machines.
#ifndef BENCH_REFERENCE_LOOP_H_
#define BENCH_REFERENCE_LOOP_H_

namespace burdockhatch::bench {

// CPU seconds of a chain of one million MixHash steps, the fastest of several
// runs.
double ReferenceSeconds();

}  // namespace burdockhatch::bench

#endif  // BENCH_REFERENCE_LOOP_H_
