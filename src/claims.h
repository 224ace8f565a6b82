// Idempotency claims: before this agent dispatches a call with a key, its
// incarnation must hold the claim on the key in one of the service's claim
// shards. A conditional update of the shard alone decides who holds a claim.
#ifndef SRC_CLAIMS_H_
#define SRC_CLAIMS_H_

#include "src/agent_tables.h"
#include "src/attempts.h"

namespace burdockhatch {

// Least time between two writes of one shard: 16 shards cost at most 160
// writes/s of the several hundred that the object API handles.
inline constexpr Duration kClaimWriteInterval = std::chrono::milliseconds(100);

// Back-off after a request that the object API did not serve.
inline constexpr Duration kMinClaimBackoff = std::chrono::milliseconds(100);
inline constexpr Duration kMaxClaimBackoff = std::chrono::seconds(2);

// A shard that would grow above this takes no new keys.
inline constexpr size_t kMaxClaimShardBytes =
    static_cast<size_t>(kMaxObjectSize.value()) - 4096;

// Makes the accepted attempt wait for the claim on its key, join the call that
// holds it, or take the stored answer.
void RequestClaim(AgentTables& tables, const AttemptId& id);

// Marks the claim of a queued attempt as used, right before the dispatch.
// Returns false, and makes the attempt wait, when the claim is not held for it.
bool ConsumeClaim(AgentTables& tables, AcceptedAttempt& attempt);

// Whether the attempt waits for the answer of a call that was dispatched.
bool HasJoinedCall(const AgentTables& tables, const AcceptedAttempt& attempt);

// Notes the end of a dispatched call and ends the attempts that joined it.
void EndKeyedCall(AgentTables& tables,
                  const AttemptId& id,
                  const AttemptResult& result);

// Gives held claims to waiting attempts, sends the reads and writes that are
// due and forgets keys whose retention is over.
void ProcessClaims(AgentTables& tables);

void OnClaimShardRead(AgentTables& tables,
                      const ObjectName& name,
                      const ObjectReply& reply);
void OnClaimShardWritten(AgentTables& tables,
                         const ObjectName& name,
                         const ObjectReply& reply);

}  // namespace burdockhatch

#endif  // SRC_CLAIMS_H_
