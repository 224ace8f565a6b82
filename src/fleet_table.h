// Load and health of targets as an entry knows them: the reports of their
// agents, the load that this entry has in flight there, and which agents are
// suspected to have failed. This is soft state and never proves the outcome of
// an attempt.
#ifndef SRC_FLEET_TABLE_H_
#define SRC_FLEET_TABLE_H_

#include "src/entry_tables.h"

namespace burdockhatch {

// Agents send load reports at this interval.
inline constexpr Duration kReportInterval = std::chrono::seconds(1);
// An agent that misses this many reports in a row is suspected to have failed.
// Half an interval is added, so that a late last report is not taken as missed.
inline constexpr int kMissedReportsUntilSuspect = 3;
inline constexpr Duration kSuspicionTimeout =
    kMissedReportsUntilSuspect * kReportInterval + kReportInterval / 2;

// Returns null if the instance is not an agent known to this entry.
TargetRow* FindTarget(FleetTable& fleet, const InstanceId& instance);

// Adds a target, or updates its data from the instance list.
TargetSlot AddOrUpdateTarget(EntryTables& tables, const InstanceInfo& info);

// Frees the slot. `attempts_and_holds` of the row must be 0.
void RemoveTarget(FleetTable& fleet, TargetSlot slot);

// Stores a reported state. Ignores it if it is not of the current incarnation,
// or not newer than the stored state.
void ApplyAgentState(FleetTable& fleet,
                     TargetSlot slot,
                     Incarnation sender,
                     const AgentState& state);

// Recomputes whether the target may be offered new work.
void RefreshAvailability(FleetTable& fleet, TargetSlot slot, Time now);
void RefreshAllAvailability(FleetTable& fleet, Time now);

// Marks the targets that the current configuration withdraws.
void ApplyWithdrawals(EntryTables& tables, Time now);

// These three account for the load of one attempt or gang hold of this entry at
// a target. RemoveOwnLoad must be called once for each AddOwnLoad, however the
// attempt or hold ends. RemoveUnansweredLoad must be called at most once, when
// the agent answers the offer or hold: from then on the agent's own reports
// include the load. `unanswered` tells RemoveOwnLoad that RemoveUnansweredLoad
// has not been called.
void AddOwnLoad(FleetTable& fleet, TargetSlot slot, int64_t tokens);
void RemoveUnansweredLoad(FleetTable& fleet, TargetSlot slot, int64_t tokens);
void RemoveOwnLoad(FleetTable& fleet,
                   TargetSlot slot,
                   int64_t tokens,
                   bool unanswered);

// Estimates the tokens in flight and queued at a target. Reports lag, so the
// result is never below the load that this entry alone has there.
int64_t EstimateLoadTokens(const TargetHint& hint);

}  // namespace burdockhatch

#endif  // SRC_FLEET_TABLE_H_
