#include "bench/allocation_counter.h"

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace {

// The size of each block is kept in front of it. Unlike malloc_usable_size, it
// is the same on every machine.
constexpr std::size_t kHeader = alignof(std::max_align_t);

std::atomic<uint64_t> allocations = 0;
std::atomic<int64_t> live_bytes = 0;

void* Allocate(std::size_t size) {
  auto* block = static_cast<char*>(std::malloc(size + kHeader));
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  *reinterpret_cast<std::size_t*>(block) = size;
  allocations.fetch_add(1, std::memory_order_relaxed);
  live_bytes.fetch_add(static_cast<int64_t>(size), std::memory_order_relaxed);
  return block + kHeader;
}

void Release(void* memory) {
  if (memory == nullptr) {
    return;
  }
  char* block = static_cast<char*>(memory) - kHeader;
  const std::size_t size = *reinterpret_cast<std::size_t*>(block);
  live_bytes.fetch_sub(static_cast<int64_t>(size), std::memory_order_relaxed);
  std::free(block);
}

}  // namespace

void* operator new(std::size_t size) {
  return Allocate(size);
}
void* operator new[](std::size_t size) {
  return Allocate(size);
}
void operator delete(void* memory) noexcept {
  Release(memory);
}
void operator delete[](void* memory) noexcept {
  Release(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
  Release(memory);
}
void operator delete[](void* memory, std::size_t) noexcept {
  Release(memory);
}

namespace burdockhatch::bench {

uint64_t AllocationCount() {
  return allocations.load(std::memory_order_relaxed);
}

int64_t LiveHeapBytes() {
  return live_bytes.load(std::memory_order_relaxed);
}

}  // namespace burdockhatch::bench
