// Peers of an entry: the instance list, what peers say of themselves, the
// subset of agents that this entry follows, and suspicion.
#ifndef SRC_MEMBERSHIP_H_
#define SRC_MEMBERSHIP_H_

#include <cstdint>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

inline constexpr Duration kSubscribeTtl = std::chrono::seconds(30);
// At least this many agents of each model and service are followed, so that one
// model never crowds out another.
inline constexpr uint32_t kMinPerGroup = 6;

// Replaces what the platform's list says. An instance that is missing from the
// list but still speaks is kept: the list lags.
void ApplyInstanceList(EntryTables& tables,
                       const std::vector<InstanceInfo>& instances,
                       Time now);

enum class SenderRun : uint8_t {
  kUnknownPeer,
  kStaleRun,  // An older run of the instance; its state is worthless.
  kSameRun,
  kNewRun,  // A restart was noticed, or the peer spoke for the first time.
};

// Notes that `sender` has spoken.
SenderRun RecordMessageFrom(EntryTables& tables,
                            const PeerId& sender,
                            Time now);

void OnHeartbeat(EntryTables& tables,
                 const PeerId& sender,
                 const Heartbeat& heartbeat,
                 Time now);
void OnGoodbye(EntryTables& tables, const PeerId& sender, Time now);
void MarkUnreachable(EntryTables& tables, const InstanceId& instance, Time now);

// Recomputes the subset after a change of the list or the configuration.
void ChooseSubset(EntryTables& tables, Time now);

// Follows an agent outside the subset for a while.
void FollowTemporarily(EntryTables& tables, TargetSlot slot, Time now);

// Follows some agents outside the subset, because all of `candidates` inside it
// appear full.
void FollowOutsideSubset(EntryTables& tables,
                         const std::vector<TargetSlot>& candidates,
                         Time now);

// Connects, subscribes, disconnects and forgets as is due, and updates
// suspicion.
void UpdateMembership(EntryTables& tables, Time now);

}  // namespace burdockhatch

#endif  // SRC_MEMBERSHIP_H_
