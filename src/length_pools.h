// Keeps short and longer prompts apart where load allows. The prefill of a long
// prompt slows every stream of its engine, so longer work prefers one part of
// the targets of a model and short work the rest. The preference is a cost, not
// a rule: work moves to the other part when its own is busy.
#ifndef SRC_LENGTH_POOLS_H_
#define SRC_LENGTH_POOLS_H_

#include "src/entry_tables.h"
#include "src/messages.h"

namespace burdockhatch {

// Part of the targets of each model and data centre that longer work prefers.
inline constexpr double kLongPoolShare = 0.6;

// Assigns the listed targets to the pools. Every entry that knows the same
// targets assigns them alike.
void AssignLengthPools(FleetTable& fleet);

// Added cost, in microseconds, of a target outside the pool of the class.
double PoolPenaltyUs(const TargetHint& hint, LengthClass length_class);

}  // namespace burdockhatch

#endif  // SRC_LENGTH_POOLS_H_
