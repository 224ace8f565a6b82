// The entry: serves callers over HTTP, lets EntryCore decide and relays
// answers from agents.
#ifndef SRC_ENTRY_DAEMON_H_
#define SRC_ENTRY_DAEMON_H_

#include "src/settings.h"

namespace burdockhatch {

// Runs until a planned stop is complete. Returns the exit status.
int RunEntry(const Settings& settings);

}  // namespace burdockhatch

#endif  // SRC_ENTRY_DAEMON_H_
