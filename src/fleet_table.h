// Hints about targets: what their agents reported, what this entry has in
// flight there, and who is suspect. Soft state; never proof of an outcome.
#ifndef SRC_FLEET_TABLE_H_
#define SRC_FLEET_TABLE_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// Agents report once a second; one that missed kMissedReports is suspect.
inline constexpr Duration kReportInterval = std::chrono::seconds(1);
inline constexpr int kMissedReports = 3;
inline constexpr Duration kSuspicionTime =
    kMissedReports * kReportInterval + kReportInterval / 2;

// Null when the instance is not an agent that this entry knows.
TargetRow* FindTarget(FleetTable& fleet, const InstanceId& instance);

// Adds a target, or updates what the instance list says of it.
TargetSlot AddOrUpdateTarget(EntryTables& tables, const InstanceInfo& info);

// Frees the slot. The row must not be pinned by attempts.
void RemoveTarget(FleetTable& fleet, TargetSlot slot);

// Takes over `state` unless a newer one of the same run, or a newer run, is
// known.
void ApplyAgentState(FleetTable& fleet,
                     TargetSlot slot,
                     Incarnation sender,
                     const AgentState& state);

// Recomputes whether the target may get new work.
void RefreshStanding(FleetTable& fleet, TargetSlot slot, Time now);
void RefreshStandings(FleetTable& fleet, Time now);

void ApplyWithdrawals(EntryTables& tables, Time now);

// Count work of this entry at a target. What AddOwnLoad adds, RemoveOwnLoad
// takes away again, whatever happened in between; MarkOfferAnswered says that
// the agent's own report covers the work from now on.
void AddOwnLoad(FleetTable& fleet, TargetSlot slot, int64_t tokens);
void MarkOfferAnswered(FleetTable& fleet, TargetSlot slot, int64_t tokens);
void RemoveOwnLoad(FleetTable& fleet,
                   TargetSlot slot,
                   int64_t tokens,
                   bool unanswered);

// Best estimate of the tokens in flight and queued at a target.
int64_t EstimateLoadTokens(const TargetHint& hint);

}  // namespace burdockhatch

#endif  // SRC_FLEET_TABLE_H_
