// Applies crash_blame.h to the requests of an entry: what each attempt says
// about the parts of its prompt, and which requests are not offered any more.
#ifndef SRC_ENTRY_BLAME_H_
#define SRC_ENTRY_BLAME_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// Returns the parts of the prompt that other prompts may share: the prefix of
// the template and the prefixes of full blocks. The last block is left out, as
// it belongs to the request itself.
PartKeys SharedPartsOf(const RequestSpec& spec);
// Returns the mark by which the request is known when its caller sends it
// again, or PartKey() if it has no prompt.
PartKey OwnMarkOf(const RequestSpec& spec);

// Returns whether the request may be offered now. If not, it waits for the
// trial of another request, or fails because its parts are blocked; the row is
// invalid in the latter case.
bool CheckPartsBeforeOffer(EntryTables& tables, RequestRow& row, Time now);

void RecordOfferForBlame(EntryTables& tables, const RequestRow& row, Time now);
// Ends the trial that the current attempt may have been.
void EndTrialOf(EntryTables& tables, const RequestRow& row);
// The current attempt has made progress.
void RecordAnswerForBlame(EntryTables& tables, RequestRow& row, Time now);
// The current attempt has failed with an unknown outcome.
void RecordFailureForBlame(EntryTables& tables,
                           const RequestRow& row,
                           const Failure& failure,
                           CrashEvidence evidence,
                           Time now);

// Emits what has changed since the last call, for the other entries.
void SpreadBlame(EntryTables& tables, Time now);
// Emits all that other entries should know, once in a while.
void RepeatBlame(EntryTables& tables, Time now);

}  // namespace burdockhatch

#endif  // SRC_ENTRY_BLAME_H_
