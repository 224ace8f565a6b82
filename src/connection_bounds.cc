#include "src/connection_bounds.h"

#include <sys/resource.h>

#include <algorithm>

namespace burdockhatch {

namespace {

// 200 for files, and 800 for calls to targets and to the store: all engines of
// the largest stated fleet serve 828 requests at a time, through 28 entries.
constexpr uint64_t kReservedDescriptors = 1'000;
// A process with few descriptors reserves this part of them.
constexpr uint64_t kReservedPart = 4;
// The part of the open connections that are refused with an answer.
constexpr uint64_t kRefusedPart = 32;

}  // namespace

ConnectionBounds BoundConnections(uint64_t max_connections,
                                  uint64_t descriptors) {
  ConnectionBounds bounds;
  bounds.open = std::min(2 * max_connections,
                         descriptors - std::min(kReservedDescriptors,
                                                descriptors / kReservedPart));
  bounds.served =
      std::min(max_connections, bounds.open - bounds.open / kRefusedPart);
  return bounds;
}

uint64_t DescriptorLimit() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur
                                               : kReservedDescriptors;
}

}  // namespace burdockhatch
