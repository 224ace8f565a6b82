// Processes callers' requests: starts them, reacts to messages from agents, and
// ends each request exactly once, at its deadline at the latest.
#ifndef SRC_REQUESTS_H_
#define SRC_REQUESTS_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// An offer that is unanswered for this time is followed up with Resume.
inline constexpr Duration kOfferReplyTimeout = std::chrono::milliseconds(500);
// If an agent does not answer Resume, or no missing chunk arrives after Finish,
// for this time, a repeatable request is moved to another target.
inline constexpr Duration kResumeReplyTimeout = std::chrono::seconds(3);

void StartRequest(EntryTables& tables, RequestSpec spec, Time now);
// The caller has disconnected.
void CancelRequest(EntryTables& tables, const RequestId& request, Time now);

void OnOfferReply(EntryTables& tables,
                  const PeerId& sender,
                  const OfferReply& reply,
                  Time now);
void OnHoldReply(EntryTables& tables,
                 const PeerId& sender,
                 const HoldReply& reply,
                 Time now);
void OnFinish(EntryTables& tables,
              const PeerId& sender,
              const Finish& finish,
              Time now);
// The session has received all chunks before `next_chunk`.
void RecordProgress(EntryTables& tables,
                    const AttemptId& attempt,
                    uint32_t next_chunk,
                    Time now);
// The offer of `attempt` was never written.
void HandleSendFailure(EntryTables& tables, const AttemptId& attempt, Time now);

// Fails requests at their deadline, sends Resume and gang messages that are due
// and tries to place waiting requests.
void UpdateRequests(EntryTables& tables, Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUESTS_H_
