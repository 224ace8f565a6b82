#include "bench/reference_loop.h"

#include <algorithm>
#include <cstdint>

#include "bench/fleet_sim.h"
#include "src/random.h"

namespace burdockhatch::bench {

namespace {

constexpr int kSteps = 1'000'000;
constexpr int kRuns = 7;

// Keeps the result of the loop alive.
volatile uint64_t sink = 0;

}  // namespace

double ReferenceSeconds() {
  double fastest = 1e9;
  for (int run = 0; run < kRuns; ++run) {
    const double start = ThreadCpuSeconds();
    uint64_t word = static_cast<uint64_t>(run);
    for (int i = 0; i < kSteps; ++i) {
      word = MixHash(word, static_cast<uint64_t>(i));
    }
    sink = word;
    fastest = std::min(fastest, ThreadCpuSeconds() - start);
  }
  return fastest;
}

}  // namespace burdockhatch::bench
