// Bounds on the connections of callers, so that descriptors are left for files,
// targets and the store.
#ifndef SRC_CONNECTION_BOUNDS_H_
#define SRC_CONNECTION_BOUNDS_H_

#include <cstdint>

namespace burdockhatch {

struct ConnectionBounds {
  uint64_t served = 0;  // Requests on connections above it are refused.
  uint64_t open = 0;    // Connections above it are closed.
};

// `max_connections` is the setting, `descriptors` the limit of the process.
ConnectionBounds BoundConnections(uint64_t max_connections,
                                  uint64_t descriptors);

// Returns the process's limit of open descriptors.
uint64_t DescriptorLimit();

}  // namespace burdockhatch

#endif  // SRC_CONNECTION_BOUNDS_H_
