// Prompts larger than one engine: several targets of one data centre keep the
// KV cache together. Members are held one after the other in ascending target
// order, all or nothing, so that two gangs never keep half of the holds each.
#ifndef SRC_GANG_H_
#define SRC_GANG_H_

#include <optional>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

// Holds are renewed while the attempt runs; after this time without the entry
// an agent frees the memory.
inline constexpr Duration kHoldTtl = std::chrono::seconds(15);

// Whether no usable target can book the whole prompt.
bool NeedsGang(const FleetTable& fleet, const RequestSpec& spec);

// The smallest gang in one data centre, own data centre first; nullopt when no
// data centre has enough free memory.
std::optional<Gang> PlanGang(const EntryTables& tables,
                             const RequestSpec& spec);

enum class GangProgress : uint8_t { kHolding, kHeld, kLost };

// Asks the next member for its hold, if none is outstanding; times out members
// that do not answer.
GangProgress AdvanceGang(EntryTables& tables, Gang& gang, Time now);

// Notes an answer to a hold or to its renewal. False when the member refused.
bool NoteHoldReply(EntryTables& tables,
                   Gang& gang,
                   const PeerId& sender,
                   const HoldReply& reply,
                   Time now);

// Renews the holds of a running gang. kLost when a member has lost its hold.
GangProgress RenewHolds(EntryTables& tables, Gang& gang, Time now);

// Gives back all holds and counts.
void ReleaseGang(EntryTables& tables, const Gang& gang);

}  // namespace burdockhatch

#endif  // SRC_GANG_H_
