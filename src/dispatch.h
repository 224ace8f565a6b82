// Dispatches accepted attempts to the target and tracks them until they end.
#ifndef SRC_DISPATCH_H_
#define SRC_DISPATCH_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Delay before the agent attaches again to a stream whose connection was lost.
inline constexpr Duration kReattachDelay = std::chrono::milliseconds(200);

// Ends attempts whose deadline or queue deadline has passed, and calls that
// still lack a claim shortly before their deadline.
void ExpireAttempts(AgentTables& tables);

// Dispatches the queued attempts that fit, in dispatch order.
void DispatchQueued(AgentTables& tables);

// Ends an attempt that did not run at the target, with outcome kNotRun.
void CloseAsNotRun(AgentTables& tables,
                   const AttemptId& id,
                   ErrorCode code,
                   Duration retry_after = Duration(0));

// Ends an attempt that may have run but has no complete answer, with outcome
// kUnknown. Its stream, if any, is cancelled.
void CloseAsOutcomeUnknown(AgentTables& tables,
                           const AttemptId& id,
                           ErrorCode code,
                           bool failed_at_start = false);

// Ends an attempt that its entry no longer needs: it was cancelled, its
// deadline has passed or the entry is gone.
void CancelAttempt(AgentTables& tables, const AttemptId& id);

// Refuses queued attempts while the target is withdrawn or draining. Calls that
// wait for a claim are refused only after kClaimWaitGrace.
void RefuseQueuedIfNotAccepting(AgentTables& tables);

void HandleStreamStart(AgentTables& tables,
                       const StreamId& stream,
                       StartStatus status);
void HandleStreamProgress(AgentTables& tables,
                          const StreamId& stream,
                          uint32_t next_chunk,
                          Tokens tokens);
void HandleStreamEnd(AgentTables& tables,
                     const StreamId& stream,
                     StreamEnd end,
                     uint32_t chunk_count);
void HandleServiceAnswer(AgentTables& tables,
                         const AttemptId& id,
                         ServiceResponse answer);

// Attaches again to the streams whose relay was lost.
void ReattachStreams(AgentTables& tables);

// Relays the remaining output of an attempt to the entry that asks for it, also
// when an earlier incarnation of this agent accepted the attempt.
void HandleResume(AgentTables& tables,
                  const PeerId& from,
                  const Resume& resume);

// Ends the attempts, holds and subscriptions of `peer` and of earlier
// incarnations of the same entry.
void EndWorkOfEntry(AgentTables& tables, const PeerId& peer);

}  // namespace burdockhatch

#endif  // SRC_DISPATCH_H_
