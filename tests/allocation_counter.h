// Replaces operator new in the test program to count heap allocations, for
// tests that guard against allocations on a hot path.
#ifndef TESTS_ALLOCATION_COUNTER_H_
#define TESTS_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace burdockhatch {

// Returns the number of allocations by operator new on this thread since it
// started.
uint64_t ThreadAllocationCount();

}  // namespace burdockhatch

#endif  // TESTS_ALLOCATION_COUNTER_H_
