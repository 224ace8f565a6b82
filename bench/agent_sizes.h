// Sizes of an agent's tables. Apart from the other modules because the tables
// of agents and entries cannot be included together.
#ifndef BENCH_AGENT_SIZES_H_
#define BENCH_AGENT_SIZES_H_

#include <cstddef>

#include "src/agent_core.h"

namespace burdockhatch::bench {

struct AgentSizes {
  size_t subscribers = 0;
  size_t attempts = 0;
  size_t closed_attempts = 0;
};

AgentSizes SizesOf(const AgentCore& agent);

}  // namespace burdockhatch::bench

#endif  // BENCH_AGENT_SIZES_H_
