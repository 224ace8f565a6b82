// Gives a request an attempt, and decides what follows when an attempt ends
// without a whole answer.
#ifndef SRC_REQUEST_PLACING_H_
#define SRC_REQUEST_PLACING_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// Every function here may end the request and erase its row: no reference to
// the row may be used afterwards.

// Offers the request to a target, starts to acquire a gang, lets it wait, or
// fails it when nothing can be expected.
void TryPlace(EntryTables& tables, RequestRow& row, Time now);

// Asks for the next hold of a gang, or offers the attempt to its leader.
void ContinueGang(EntryTables& tables, RequestRow& row, Time now);

// There is no room for a gang or a huge prompt now: gives back any holds and
// tries again after a random time, or ends the request when it has waited for
// its share of the time to the deadline.
void WaitForRoom(EntryTables& tables, RequestRow& row, Time now);

// The current attempt certainly did not run.
void RetryAfterRefusal(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now);

// The offer of the current attempt was never written.
void RetryAfterSendFailure(EntryTables& tables, RequestRow& row, Time now);

// The current attempt was reported as ended, without proof of not_run.
void RetryAfterFailure(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now);

// A member of the running gang has lost its part of the cache.
void LoseGang(EntryTables& tables, RequestRow& row, Time now);

// The current attempt is given up although it may still run. Only for
// repeatable requests.
void MoveElsewhere(EntryTables& tables, RequestRow& row, Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUEST_PLACING_H_
