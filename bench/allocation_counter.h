// Counts heap allocations and live heap bytes of the benchmark program, by its
// own operator new and delete.
#ifndef BENCH_ALLOCATION_COUNTER_H_
#define BENCH_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace burdockhatch::bench {

// Calls of operator new since the program started.
uint64_t AllocationCount();

// Bytes that operator new has handed out and operator delete has not taken
// back, as requested by the program, without the allocator's overhead.
int64_t LiveHeapBytes();

}  // namespace burdockhatch::bench

#endif  // BENCH_ALLOCATION_COUNTER_H_
