// The agent process of one target. It executes the decisions of AgentCore:
// starts streams and calls at the target and relays their output to entries.
#ifndef SRC_AGENT_DAEMON_H_
#define SRC_AGENT_DAEMON_H_

#include "src/settings.h"

namespace burdockhatch {

// Runs an agent until a planned stop is complete. Returns the exit status of
// the process.
int RunAgent(const Settings& settings);

}  // namespace burdockhatch

#endif  // SRC_AGENT_DAEMON_H_
