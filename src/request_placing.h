// Starts attempts of requests and decides whether to retry when an attempt ends
// without a complete answer.
#ifndef SRC_REQUEST_PLACING_H_
#define SRC_REQUEST_PLACING_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// Every function here may end the request and erase its row, so references to
// the row are invalid afterwards.

// Offers the request to a target, starts to acquire a gang, or makes the
// request wait. Fails it if no target can be chosen and one has refused it for
// lack of capacity, or if it has waited too long.
void TryPlaceRequest(EntryTables& tables, RequestRow& row, Time now);

// Requests the next hold of a gang, or offers the attempt to the leader once
// all holds are confirmed.
void ContinueGangAcquisition(EntryTables& tables, RequestRow& row, Time now);

// Called when a gang could not be acquired or its leader did not run the
// attempt, or when a target refused a huge prompt for lack of capacity.
// Releases any holds and retries after a randomised backoff. Fails the request
// as overloaded when it has waited for 1 / kCapacityWaitDivisor of the time to
// its deadline, or when the remaining time is too short for the prefill.
void WaitForCapacity(EntryTables& tables, RequestRow& row, Time now);

// Handles proof that the current attempt did not run.
void RetryAfterRefusal(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now);

// Handles an offer of the current attempt that was never written.
void RetryAfterSendFailure(EntryTables& tables, RequestRow& row, Time now);

// Handles the reported end of the current attempt without proof of not_run.
void RetryAfterFailure(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now);

// Handles a hold of a running gang that a member has lost or refused to renew.
void HandleGangLoss(EntryTables& tables, RequestRow& row, Time now);

// Abandons the current attempt, which may still be running, and retries. Only
// for repeatable requests.
void AbandonAndRetry(EntryTables& tables, RequestRow& row, Time now);

// Same for an attempt whose agent is silent. The agent may be sound: unless its
// connection has failed, the attempt is kept while no other target can take the
// request.
void RetryInsteadOfSilentAttempt(EntryTables& tables,
                                 RequestRow& row,
                                 Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUEST_PLACING_H_
