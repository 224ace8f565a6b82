// The requests of callers and their attempts: offered, accepted, running,
// resuming, finished. Each request ends exactly once, at its deadline at the
// latest.
#ifndef SRC_REQUESTS_H_
#define SRC_REQUESTS_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// An offer without an answer is asked about after this time.
inline constexpr Duration kOfferPatience = std::chrono::milliseconds(500);
// A repeatable attempt whose agent does not answer Resume is moved after this
// time.
inline constexpr Duration kResumePatience = std::chrono::seconds(3);

void StartRequest(EntryTables& tables, RequestSpec spec, Time now);
void DropRequest(EntryTables& tables, const RequestId& request, Time now);

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
void NoteProgress(EntryTables& tables,
                  const AttemptId& attempt,
                  uint32_t next_chunk,
                  Time now);
void NoteSendFailed(EntryTables& tables, const AttemptId& attempt, Time now);

// Ends what is due, repeats what was not answered and places what waits.
void UpdateRequests(EntryTables& tables, Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUESTS_H_
