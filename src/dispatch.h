// Dispatches accepted attempts to the target and follows them to their end.
#ifndef SRC_DISPATCH_H_
#define SRC_DISPATCH_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Time before the relay of a stream whose connection was lost is set up again.
inline constexpr Duration kReattachRetry = std::chrono::milliseconds(200);

// Ends attempts whose deadline or time in the queue has passed.
void ExpireAttempts(AgentTables& tables);

// Dispatches queued attempts in order while they fit.
void DispatchQueued(AgentTables& tables);

// Ends an attempt that has not been dispatched.
void CloseAsNotRun(AgentTables& tables,
                   const AttemptId& id,
                   ErrorCode code,
                   Duration retry_after = Duration(0));

// Ends a dispatched attempt whose answer is not whole. Its stream is cancelled.
void CloseAsOutcomeUnknown(AgentTables& tables,
                           const AttemptId& id,
                           ErrorCode code);

// Ends an attempt that its entry does not need any more.
void CancelAttempt(AgentTables& tables, const AttemptId& id);

// Refuses queued attempts of a target that is withdrawn or drains.
void CloseQueue(AgentTables& tables);

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
                         ServiceAnswer answer);

// Sets up lost relays again.
void ReattachStreams(AgentTables& tables);

// Sends the rest of an attempt's output to the entry that asks for it.
void HandleResume(AgentTables& tables,
                  const PeerId& from,
                  const Resume& resume);

// Ends the attempts and holds of a run of an entry that is gone.
void EndWorkOfEntry(AgentTables& tables, const PeerId& peer);

}  // namespace burdockhatch

#endif  // SRC_DISPATCH_H_
