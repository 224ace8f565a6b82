// How urgent a request is, as the configuration states it.
#ifndef SRC_PRIORITY_H_
#define SRC_PRIORITY_H_

#include <cstdint>

#include "src/ids.h"

namespace burdockhatch {

// The smaller the value, the more urgent.
using Priority = NumericId<struct PriorityTag, uint8_t>;

inline constexpr Priority kMostUrgentPriority{0};
inline constexpr Priority kLeastUrgentPriority{9};
// Of a request whose priority is not known.
inline constexpr Priority kMiddlePriority{5};
inline constexpr int kPriorityCount = 10;

}  // namespace burdockhatch

#endif  // SRC_PRIORITY_H_
