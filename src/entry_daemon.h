// Entry process: serves callers over HTTP, executes the decisions of EntryCore
// and relays answers from agents to callers.
#ifndef SRC_ENTRY_DAEMON_H_
#define SRC_ENTRY_DAEMON_H_

#include "src/settings.h"

namespace burdockhatch {

// Runs until a planned stop is complete and returns the exit status.
int RunEntry(const Settings& settings);

}  // namespace burdockhatch

#endif  // SRC_ENTRY_DAEMON_H_
