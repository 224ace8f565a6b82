// Counts heap allocations of the whole test program, for tests that guard
// against allocations on a hot path.
#ifndef TESTS_ALLOCATION_COUNTER_H_
#define TESTS_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace burdockhatch {

// Allocations by operator new on this thread since it started.
uint64_t ThreadAllocationCount();

}  // namespace burdockhatch

#endif  // TESTS_ALLOCATION_COUNTER_H_
