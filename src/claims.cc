#include "src/claims.h"

#include "src/dispatch.h"

namespace burdockhatch {

void AwaitClaim(AgentTables& tables, const AttemptId& id) {
  EndNotRun(tables, id, ErrorCode::kClaimUnavailable);
}

bool UseClaim(AgentTables& tables, Attempt& attempt) {
  EndNotRun(tables, attempt.id, ErrorCode::kClaimUnavailable);
  return false;
}

bool IsJoined(const AgentTables& tables, const Attempt& attempt) {
  return false;
}

void NoteKeyedEnd(AgentTables& tables,
                  const AttemptId& id,
                  const Ending& ending) {}

}  // namespace burdockhatch
