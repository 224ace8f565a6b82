// Replaces operator new in the test program to count heap allocations, for
// tests that guard against allocations on a hot path, and to let them fail.
#ifndef TESTS_ALLOCATION_COUNTER_H_
#define TESTS_ALLOCATION_COUNTER_H_

#include <cstddef>
#include <cstdint>

namespace burdockhatch {

// Returns the number of allocations by operator new on this thread since it
// started.
uint64_t ThreadAllocationCount();

// While an object exists, allocations of more than `max_bytes` on this thread
// fail with std::bad_alloc.
class ScopedAllocationLimit {
 public:
  explicit ScopedAllocationLimit(size_t max_bytes);
  ~ScopedAllocationLimit();
};

}  // namespace burdockhatch

#endif  // TESTS_ALLOCATION_COUNTER_H_
