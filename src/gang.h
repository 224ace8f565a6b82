// Gangs: several targets of one data centre that together store the KV cache of
// a prompt too large for one engine. Holds on the members are acquired one at a
// time in ascending target order, all or none, so that two gangs cannot block
// each other with half of the holds each.
#ifndef SRC_GANG_H_
#define SRC_GANG_H_

#include <optional>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

// Holds are renewed while the attempt runs. An agent frees the memory when a
// hold has not been renewed for this time.
inline constexpr Duration kHoldTtl = std::chrono::seconds(15);

// Whether there are usable targets with known memory, but none of them may book
// the whole request.
bool NeedsGang(const FleetTable& fleet, const RequestSpec& spec);

// Returns the smallest gang within one data centre, preferring the entry's own
// data centre; nullopt if no data centre has enough free memory.
std::optional<Gang> PlanGang(const EntryTables& tables,
                             const RequestSpec& spec);

enum class GangProgress : uint8_t { kAcquiring, kAcquired, kFailed };

// Requests the next hold unless one is outstanding. Returns kFailed if a member
// has not answered in time or was restarted.
GangProgress AcquireNextHold(EntryTables& tables, Gang& gang, Time now);

// Records the reply to a hold or its renewal. Returns false if it was refused.
// Ignores a reply that matches no requested hold, and returns true.
bool RecordHoldReply(EntryTables& tables,
                     Gang& gang,
                     const PeerId& sender,
                     const HoldReply& reply,
                     Time now);

// Renews the holds of a running gang. Returns kFailed if a member has lost its
// hold.
GangProgress RenewHolds(EntryTables& tables, Gang& gang, Time now);

// Releases all holds and subtracts them from the load of the targets.
void ReleaseGang(EntryTables& tables, const Gang& gang);

}  // namespace burdockhatch

#endif  // SRC_GANG_H_
