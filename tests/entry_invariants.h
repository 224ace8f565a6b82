// Checks of an entry's guarantees, which every fault test runs at its end.
#ifndef TESTS_ENTRY_INVARIANTS_H_
#define TESTS_ENTRY_INVARIANTS_H_

#include "tests/entry_driver.h"

namespace burdockhatch {

// Each request ends exactly once, at its deadline plus one tick at the latest.
void CheckOneEndByDeadline(const EntryDriver& driver);

// A request that failed with outcome not_run was never dispatched, before or
// after its end.
void CheckNotRunNeverDispatched(const EntryDriver& driver);

// A non-repeatable request was dispatched at most once.
void CheckNonRepeatableDispatchedOnce(const EntryDriver& driver);

// A completed request received the complete answer and no chunks of others.
void CheckAnswersComplete(const EntryDriver& driver);

// No offer went to a target that the entry knew to be withdrawn, leaving,
// draining or not ready.
void CheckNoOfferToUnusable(const EntryDriver& driver);

// Requires that no request is open, and that no load is counted at any target.
void CheckCountersAreZero(const EntryTables& tables);

// The leased shares in use at `entries` add up to no more than a home entry may
// grant of `limit`.
void CheckSharesWithinLimit(const std::vector<EntryCore*>& entries,
                            const ClientAccountId& account,
                            int64_t limit,
                            Time now);

// Runs all checks above that apply to one entry. No request may be open.
void CheckEntryInvariants(EntryDriver& driver);

}  // namespace burdockhatch

#endif  // TESTS_ENTRY_INVARIANTS_H_
