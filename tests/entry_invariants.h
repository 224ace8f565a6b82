// Guarantees of an entry, as checks that every failure test runs at its end.
#ifndef TESTS_ENTRY_INVARIANTS_H_
#define TESTS_ENTRY_INVARIANTS_H_

#include "tests/entry_driver.h"

namespace burdockhatch {

// Each request ends exactly once, at its deadline plus one tick at the latest.
void CheckOneEndByDeadline(const EntryDriver& driver);

// A request that was told not_run was never dispatched, before or after.
void CheckNotRunIsTrue(const EntryDriver& driver);

// A request that must not be repeated was dispatched at most once.
void CheckNonRepeatableOnce(const EntryDriver& driver);

// A completed request got its own whole answer.
void CheckWholeAnswers(const EntryDriver& driver);

// No offer went to a target that the entry knew to be withdrawn, leaving,
// draining or not ready.
void CheckNoOfferToUnusable(const EntryDriver& driver);

// Once no request is open, no work is counted at any target.
void CheckCountersAreZero(const EntryTables& tables);

// The shares in use at `entries` under a lease stay within what a home entry
// may grant of `limit`.
void CheckSharesWithinLimit(const std::vector<EntryCore*>& entries,
                            const ClientAccountId& account,
                            int64_t limit,
                            Time now);

// All of the above that apply to one entry. No request may be open.
void CheckEntryInvariants(EntryDriver& driver);

}  // namespace burdockhatch

#endif  // TESTS_ENTRY_INVARIANTS_H_
