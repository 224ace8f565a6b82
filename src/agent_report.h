// Reports of an agent's state: in replies, in load reports to subscribed
// entries and as JSON.
#ifndef SRC_AGENT_REPORT_H_
#define SRC_AGENT_REPORT_H_

#include <string>

#include "src/agent_tables.h"

namespace burdockhatch {

inline constexpr Duration kLoadReportInterval = std::chrono::seconds(1);
inline constexpr Duration kMaxSubscriptionTtl = std::chrono::minutes(10);

// Whether a configuration was received and the target answers: a plain service
// its last health probe, an engine its first list request and the latest list
// and load requests.
bool IsReady(const AgentTables& tables);

bool IsTargetWithdrawn(const AgentTables& tables);

// Returns the current state and increments the state sequence number.
AgentState BuildAgentState(AgentTables& tables);

void SendToEntry(AgentTables& tables, const PeerId& to, MessageBody body);

// Starts, extends or, for a `ttl` of zero, ends a subscription. A new
// subscriber gets a report at once.
void AddSubscriber(AgentTables& tables, const PeerId& entry, Duration ttl);

// Sends the reports that are due and removes expired subscriptions.
void SendLoadReports(AgentTables& tables);

// Sends a report to every subscriber immediately, e.g. when a drain begins.
void SendReportsNow(AgentTables& tables);

// Tells all subscribers that this agent has completed its drain.
void SendGoodbyes(AgentTables& tables);

// Returns the tables as JSON.
std::string DumpTables(const AgentTables& tables);

}  // namespace burdockhatch

#endif  // SRC_AGENT_REPORT_H_
