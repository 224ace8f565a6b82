// Membership as seen by an entry: the platform's instance list, heartbeats of
// peers, the subset of agents that this entry follows, and the detection of
// failed agents. An entry follows an agent when it keeps a connection to it and
// subscribes to its load reports. A group is all agents of one model or of one
// service.
#ifndef SRC_MEMBERSHIP_H_
#define SRC_MEMBERSHIP_H_

#include <cstdint>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

// Agents end a subscription that is not renewed within this time.
inline constexpr Duration kSubscriptionTtl = std::chrono::seconds(30);
// An entry follows at least this many agents of each group, as far as it has
// them, so that a large group does not displace a small one.
inline constexpr uint32_t kMinFollowedPerGroup = 6;

// Applies a new version of the platform's instance list. An instance that is
// missing from it but still sends messages is kept, because the list lags.
void ApplyInstanceList(EntryTables& tables,
                       const std::vector<InstanceInfo>& instances,
                       Time now);

// How the incarnation of a message's sender compares to the one known.
enum class SenderIncarnation : uint8_t {
  kUnknownPeer,
  kStale,  // The incarnation is older, so its state is obsolete.
  kCurrent,
  kNew,  // The peer has restarted, or this is its first message.
};

// Records that a message from `sender` arrived. A newer incarnation replaces
// the reported state of the one before.
SenderIncarnation RecordMessageFrom(EntryTables& tables,
                                    const PeerId& sender,
                                    Time now);

void OnHeartbeat(EntryTables& tables,
                 const PeerId& sender,
                 const Heartbeat& heartbeat,
                 Time now);
void OnGoodbye(EntryTables& tables, const PeerId& sender, Time now);
void MarkUnreachable(EntryTables& tables, const InstanceId& instance, Time now);

// Recomputes which agents this entry follows. Call it after a change of the
// instance list or of the configuration.
void ChooseSubset(EntryTables& tables, Time now);

// Follows an agent outside the subset for a limited time.
void FollowTemporarily(EntryTables& tables, TargetSlot slot, Time now);

// Temporarily follows some of `candidates` that are outside the subset. Call it
// when all candidates inside the subset appear full.
void FollowOutsideSubset(EntryTables& tables,
                         const std::vector<TargetSlot>& candidates,
                         Time now);

// Opens and closes connections to agents, renews subscriptions, removes agents
// that are gone, and updates the availability of each target.
void UpdateMembership(EntryTables& tables, Time now);

}  // namespace burdockhatch

#endif  // SRC_MEMBERSHIP_H_
