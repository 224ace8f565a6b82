// Reconciles the agent's reservations with the engine's list of its streams and
// caches.
#ifndef SRC_RECONCILE_H_
#define SRC_RECONCILE_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Time between list requests after the first list, while no reservation is
// being released. Otherwise kReleaseRetryInterval applies.
inline constexpr Duration kReconcileInterval = std::chrono::seconds(5);

// Time after which an unanswered list request is repeated.
inline constexpr Duration kListTimeout = std::chrono::seconds(5);

// Time for which a stream or cache without an attempt is kept, so that an entry
// can adopt it with a Resume or Hold.
inline constexpr Duration kOrphanGracePeriod = std::chrono::seconds(10);

// Longest time after which an unanswered start may still reach the engine. Its
// reservation is kept this long after the first cancel.
inline constexpr Duration kMaxStartDelay = std::chrono::seconds(2);

// Number of consecutive lists without a stream after which its reservation
// ends, unless the reservation is being released.
inline constexpr int kMissingListLimit = 2;

// Requests a list from the engine when one is due.
void RequestEngineList(AgentTables& tables);

// Updates the reservations from a list that was requested at `asked_at`. `list`
// is null when the engine did not answer.
void ReconcileWithEngineList(AgentTables& tables,
                             const EngineHoldings* list,
                             Time asked_at);

// Records the engine's incarnation. After a restart, resets the prefix table
// and the warm-up budget. Also makes the agent attach to its running streams
// again and request a list, which ends the streams and reservations that the
// new incarnation does not know.
void UpdateEngineIncarnation(AgentTables& tables, EngineIncarnation engine);

}  // namespace burdockhatch

#endif  // SRC_RECONCILE_H_
