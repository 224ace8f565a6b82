// Assumptions on the fleet until its size has been reported.
#ifndef SRC_FLEET_SIZE_H_
#define SRC_FLEET_SIZE_H_

#include <cstdint>

namespace burdockhatch {

// Number of entries assumed where they share a limit: more than the largest
// fleet that the project is designed for has.
inline constexpr uint32_t kAssumedEntryCount = 1'000;

}  // namespace burdockhatch

#endif  // SRC_FLEET_SIZE_H_
