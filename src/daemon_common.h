// Functions shared by all daemons.
#ifndef SRC_DAEMON_COMMON_H_
#define SRC_DAEMON_COMMON_H_

#include "src/bus.h"
#include "src/crash_blame.h"
#include "src/ids.h"
#include "src/metrics.h"
#include "src/target_pace.h"
#include "src/target_signals.h"

namespace burdockhatch {

// Returns the incarnation of a process that starts now: the wall clock in
// milliseconds.
Incarnation NewIncarnation();

// Copies the bus counters to the metrics.
void ExportBusCounters(const BusStats& bus, Metrics* metrics);

// Copies the counters of prompt parts that crash targets to the metrics.
void ExportBlameCounters(const CrashBlame& blame, Time now, Metrics* metrics);
// Copies the counters of what targets say of themselves to the metrics.
void ExportSignalCounters(const TargetSignalTable& signals, Metrics* metrics);
// Copies the counters of slow targets to the metrics.
void ExportPaceCounters(const TargetPaceTable::Counters& counters,
                        Metrics* metrics);

}  // namespace burdockhatch

#endif  // SRC_DAEMON_COMMON_H_
