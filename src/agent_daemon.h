// The agent: runs beside one target, lets AgentCore decide, starts streams and
// calls at the target and relays their output to entries.
#ifndef SRC_AGENT_DAEMON_H_
#define SRC_AGENT_DAEMON_H_

#include "src/settings.h"

namespace burdockhatch {

// Runs until a planned stop is complete. Returns the exit status.
int RunAgent(const Settings& settings);

}  // namespace burdockhatch

#endif  // SRC_AGENT_DAEMON_H_
