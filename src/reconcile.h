// Compares the engine's own list of streams and caches with the reservations.
#ifndef SRC_RECONCILE_H_
#define SRC_RECONCILE_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Time between lists while nothing is being released.
inline constexpr Duration kReconcileInterval = std::chrono::seconds(5);

// Time after which a request for a list that got no answer is repeated.
inline constexpr Duration kListTimeout = std::chrono::seconds(5);

// How long a stream or cache that no attempt accounts for is kept for a Resume
// or Hold.
inline constexpr Duration kOrphanGracePeriod = std::chrono::seconds(10);

// How late a start that got no answer may still reach the engine. Its
// reservation is kept that long after the first cancel.
inline constexpr Duration kStartSettle = std::chrono::seconds(2);

// Consecutive lists without a stream after which its reservation ends.
inline constexpr int kMissingLists = 2;

// Asks for a list when one is due.
void RequestEngineList(AgentTables& tables);

// Compares the list with the reservations; null when the engine did not answer.
void ReconcileWithEngineList(AgentTables& tables,
                             const EngineList* list,
                             Time asked_at);

// Notes the engine's incarnation; a new one ends what the old one ran.
void UpdateEngineIncarnation(AgentTables& tables, EngineIncarnation engine);

}  // namespace burdockhatch

#endif  // SRC_RECONCILE_H_
