// Idempotency claims: before this agent dispatches a call with a key, its
// incarnation must hold the claim on the key in one of the service's claim
// shards. A conditional update of the shard alone decides who holds a claim.
#ifndef SRC_CLAIMS_H_
#define SRC_CLAIMS_H_

#include "src/agent_tables.h"
#include "src/attempts.h"

namespace burdockhatch {

// Makes the accepted attempt wait for the claim on its key, join the call that
// holds it, or take the stored answer.
void AwaitClaim(AgentTables& tables, const AttemptId& id);

// Marks the claim of a queued attempt as used, right before the dispatch.
// Returns false, and ends or requeues the attempt, when the claim is not held
// for it.
bool UseClaim(AgentTables& tables, Attempt& attempt);

// Whether the attempt waits for the answer of a call that was dispatched.
bool IsJoined(const AgentTables& tables, const Attempt& attempt);

// Notes the end of a dispatched call; answers the attempts that joined it.
void NoteKeyedEnd(AgentTables& tables,
                  const AttemptId& id,
                  const Ending& ending);

}  // namespace burdockhatch

#endif  // SRC_CLAIMS_H_
