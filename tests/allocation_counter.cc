#include "tests/allocation_counter.h"

#include <cstdlib>
#include <new>

namespace {

thread_local uint64_t allocations = 0;
thread_local size_t max_allocation_bytes = SIZE_MAX;

void* Allocate(std::size_t size) {
  ++allocations;
  if (size > max_allocation_bytes) {
    throw std::bad_alloc();
  }
  if (void* memory = std::malloc(size == 0 ? 1 : size)) {
    return memory;
  }
  throw std::bad_alloc();
}

}  // namespace

void* operator new(std::size_t size) {
  return Allocate(size);
}
void* operator new[](std::size_t size) {
  return Allocate(size);
}
// The forms without exceptions are replaced too: memory of theirs is freed by
// the operators below.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  ++allocations;
  return std::malloc(size == 0 ? 1 : size);
}
void* operator new[](std::size_t size, const std::nothrow_t& tag) noexcept {
  return operator new(size, tag);
}
void operator delete(void* memory) noexcept {
  std::free(memory);
}
void operator delete[](void* memory) noexcept {
  std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}
void operator delete[](void* memory, std::size_t) noexcept {
  std::free(memory);
}
void operator delete(void* memory, const std::nothrow_t&) noexcept {
  std::free(memory);
}
void operator delete[](void* memory, const std::nothrow_t&) noexcept {
  std::free(memory);
}

namespace burdockhatch {

uint64_t ThreadAllocationCount() {
  return allocations;
}

ScopedAllocationLimit::ScopedAllocationLimit(size_t max_bytes) {
  max_allocation_bytes = max_bytes;
}

ScopedAllocationLimit::~ScopedAllocationLimit() {
  max_allocation_bytes = SIZE_MAX;
}

}  // namespace burdockhatch
