// What all daemons of the project do alike.
#ifndef SRC_DAEMON_COMMON_H_
#define SRC_DAEMON_COMMON_H_

#include "src/bus.h"
#include "src/ids.h"
#include "src/metrics.h"

namespace burdockhatch {

// The incarnation of a process that starts now.
Incarnation NewIncarnation();

// States the bus's counters in the metrics.
void ExportBusCounters(const BusStats& bus, Metrics* metrics);

}  // namespace burdockhatch

#endif  // SRC_DAEMON_COMMON_H_
