// Ends attempts and requests and determines the outcome reported to the caller.
#ifndef SRC_REQUEST_END_H_
#define SRC_REQUEST_END_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// Whether `failure`, sent by the incarnation `sender_incarnation` of an agent,
// proves that an attempt offered to `offered_incarnation` did not run. A later
// incarnation cannot know what an earlier one dispatched.
bool ProvesNotRun(Incarnation offered_incarnation,
                  Incarnation sender_incarnation,
                  const Failure& failure);

// Returns kNotRun only if no attempt of the request can have run, and kRan only
// if the current attempt is known to have finished.
Outcome KnownOutcome(const RequestRow& row);

// Removes the current attempt: subtracts it from the load of its target and
// releases its gang.
void EndAttempt(EntryTables& tables, RequestRow& row);

// Abandons the current attempt without proof of not_run. Cancel is sent to its
// agent until the agent confirms the end or the deadline passes.
void AbandonAttempt(EntryTables& tables, RequestRow& row, Time now);

// The following functions erase the row, so references to it are invalid
// afterwards. FailRow reports KnownOutcome(); FailRowAsReported reports the
// given failure.
void CompleteRow(EntryTables& tables, RequestRow& row);
void FailRow(EntryTables& tables,
             RequestRow& row,
             ErrorCode code,
             Duration retry_after,
             Time now);
void FailRowAsReported(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now);
void CancelRow(EntryTables& tables, RequestRow& row, Time now);

// Handles an agent's confirmation that an abandoned attempt has ended. Proof of
// not_run is taken into account if the request is still open.
void CloseAbandonedAttempt(EntryTables& tables,
                           const PeerId& sender,
                           const AttemptId& attempt,
                           const Failure& failure);

// Resends the Cancel messages that are due and removes abandoned attempts whose
// deadline has passed.
void ResendCancels(EntryTables& tables, Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUEST_END_H_
