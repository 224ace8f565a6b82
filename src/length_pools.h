// Separates short and longer prompts where load allows. The prefill of a long
// prompt slows down all streams of its engine, so longer requests prefer one
// pool of the targets of a model and short requests the other. The preference
// is a placement penalty and not a constraint: requests go to the other pool
// when their own is busy.
#ifndef SRC_LENGTH_POOLS_H_
#define SRC_LENGTH_POOLS_H_

#include "src/entry_tables.h"
#include "src/messages.h"

namespace burdockhatch {

// Fraction of the targets of each model and data centre in the long pool.
inline constexpr double kLongPoolFraction = 0.6;

// Assigns the targets of models to pools. Entries that know the same targets
// make the same assignment.
void AssignLengthPools(FleetTable& fleet);

// Returns the placement penalty, in microseconds, for requests of the class at
// this target. It is zero inside the pool that the class prefers.
double PoolPenaltyUs(const TargetHint& hint, LengthClass length_class);

}  // namespace burdockhatch

#endif  // SRC_LENGTH_POOLS_H_
