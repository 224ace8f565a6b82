#include "bench/agent_sizes.h"

#include "src/agent_tables.h"

namespace burdockhatch::bench {

AgentSizes SizesOf(const AgentCore& agent) {
  const AgentTables& tables = agent.tables();
  return {tables.subscribers.size(), tables.attempts.size(),
          tables.closed_attempts.size()};
}

}  // namespace burdockhatch::bench
