// What an agent says of itself: its state in every reply, load reports to
// subscribers and the dump.
#ifndef SRC_AGENT_REPORT_H_
#define SRC_AGENT_REPORT_H_

#include <string>

#include "src/agent_tables.h"

namespace burdockhatch {

inline constexpr Duration kLoadReportInterval = std::chrono::seconds(1);
inline constexpr Duration kMaxSubscription = std::chrono::minutes(10);

// Whether the target answers and the configuration is known.
bool IsReady(const AgentTables& tables);

bool IsTargetWithdrawn(const AgentTables& tables);

// The current state, with the next sequence number.
AgentState BuildAgentState(AgentTables& tables);

void SendToEntry(AgentTables& tables, const PeerId& to, MessageBody body);

// Starts or extends a subscription and sends a report at once.
void AddSubscriber(AgentTables& tables, const PeerId& entry, Duration ttl);

// Sends the reports that are due and forgets ended subscriptions.
void SendLoadReports(AgentTables& tables);

// Sends a report to every subscriber now, e.g. because a drain has begun.
void SendReportsNow(AgentTables& tables);

void SendGoodbyes(AgentTables& tables);

std::string DumpTables(const AgentTables& tables);

}  // namespace burdockhatch

#endif  // SRC_AGENT_REPORT_H_
