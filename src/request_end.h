// How attempts and requests end, and what the caller is told of the outcome.
#ifndef SRC_REQUEST_END_H_
#define SRC_REQUEST_END_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// Whether `failure`, sent by a run of the agent, proves that an attempt offered
// to the run `offered_to` did not run. A later run cannot know what its
// predecessor dispatched.
bool ProvesNotRun(Incarnation offered_to,
                  Incarnation sender,
                  const Failure& failure);

// What is certain about the work of the request so far.
Outcome OutcomeOf(const RequestRow& row);

// Ends the count of the current attempt, gives back its gang and forgets it.
void EndAttempt(EntryTables& tables, RequestRow& row);

// Gives up the current attempt without proof of not_run. Its agent gets Cancel
// until it confirms or the deadline passes.
void AbandonAttempt(EntryTables& tables, RequestRow& row, Time now);

// These erase the row: no reference to it may be used afterwards. FailRow tells
// the outcome that is certain; FailRowWith the one that an agent reported.
void CompleteRow(EntryTables& tables, RequestRow& row);
void FailRow(EntryTables& tables,
             RequestRow& row,
             ErrorCode code,
             Duration retry_after,
             Time now);
void FailRowWith(EntryTables& tables,
                 RequestRow& row,
                 const Failure& failure,
                 Time now);
void DropRow(EntryTables& tables, RequestRow& row, Time now);

// An agent has confirmed that an abandoned attempt has ended. A proof of
// not_run counts for the request if it is still open.
void ConfirmAbandoned(EntryTables& tables,
                      const PeerId& sender,
                      const AttemptId& attempt,
                      const Failure& failure);

void RepeatCancels(EntryTables& tables, Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUEST_END_H_
