// Idempotency claims. Before this agent dispatches a call with an idempotency
// key, its incarnation must hold the claim on that key, which is stored in one
// of the service's claim shards. Only a conditional update of the shard decides
// which agent holds a claim.
#ifndef SRC_CLAIMS_H_
#define SRC_CLAIMS_H_

#include "src/agent_tables.h"
#include "src/attempts.h"

namespace burdockhatch {

// Minimum time between two writes of one shard by this agent. With 16 shards,
// that is at most 160 of the several hundred writes/s that the object API
// handles.
inline constexpr Duration kClaimWriteInterval = std::chrono::milliseconds(100);

// Range of the exponential backoff after a failed object API request.
inline constexpr Duration kMinClaimBackoff = std::chrono::milliseconds(100);
inline constexpr Duration kMaxClaimBackoff = std::chrono::seconds(2);

// New keys are refused when they would make the serialized shard larger. The
// margin of 4,096 bytes keeps it below the size limit of the object API.
inline constexpr size_t kMaxClaimShardBytes =
    static_cast<size_t>(kMaxObjectSize.value()) - 4096;

// Queues the accepted attempt for the claim on its key, lets it wait for the
// answer of the call in flight with the same key, or ends it with the result of
// a call that has ended.
void RequestClaim(AgentTables& tables, const AttemptId& id);

// Marks the claim of a queued attempt as used. Called immediately before the
// dispatch. Returns false when the attempt must not be dispatched: an attempt
// without the claim ends as not run, and one whose claim is too old waits for
// the renewal.
bool ConsumeClaim(AgentTables& tables, AcceptedAttempt& attempt);

// Returns whether the attempt waits for the answer of another attempt's call
// that was already dispatched.
bool HasJoinedCall(const AgentTables& tables, const AcceptedAttempt& attempt);

// Records the result of a dispatched call. If the call did not run, its claim
// goes to the next waiting attempt; otherwise the attempts that joined the call
// end with its result.
void EndKeyedCall(AgentTables& tables,
                  const AttemptId& id,
                  const AttemptResult& result);

// Queues waiting attempts whose claims are held, sends the shard reads and
// writes that are due and removes keys whose retention has expired.
void ProcessClaims(AgentTables& tables);

void OnClaimShardRead(AgentTables& tables,
                      const ObjectName& name,
                      const ObjectReply& reply);
void OnClaimShardWritten(AgentTables& tables,
                         const ObjectName& name,
                         const ObjectReply& reply);

}  // namespace burdockhatch

#endif  // SRC_CLAIMS_H_
