// Reservations of engine memory, in tokens. Memory is reserved before the
// engine is asked to start a stream or import a cache. A reservation ends when
// the stream completes, when an engine list confirms a cancel or release, or by
// reconciliation.
#ifndef SRC_MEMORY_RESERVATIONS_H_
#define SRC_MEMORY_RESERVATIONS_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Largest share of the memory that holds and streams of length class huge may
// reserve, so that shorter requests always find room.
inline constexpr double kMaxGangMemoryShare = 0.5;

// Interval between repeated cancels or releases of one reservation.
inline constexpr Duration kReleaseRetryInterval =
    std::chrono::milliseconds(500);

// Longer times to live of holds are cut to this.
inline constexpr Duration kMaxHoldTtl = std::chrono::hours(1);

// Returns the memory of all reservations.
Tokens ReservedMemory(const AgentTables& tables);
Tokens FreeMemory(const AgentTables& tables);

// Returns the memory reserved for holds and streams of length class huge.
Tokens ReservedGangMemory(const AgentTables& tables);
// Returns the limit of ReservedGangMemory().
Tokens MaxGangMemory(const AgentTables& tables);

// Returns the work in flight at the target: tokens for an engine, calls for a
// plain service.
Tokens WorkInFlight(const AgentTables& tables);

// Returns the work in flight of the length class and of all longer classes.
Tokens WorkInFlightOfClassOrLonger(const AgentTables& tables,
                                   LengthClass length);

// Returns the prompt tokens of the streams in flight.
Tokens PromptTokensInFlight(const AgentTables& tables);

MemoryReservationId StreamReservationId(const AttemptId& attempt);
MemoryReservationId CacheReservationId(const AttemptId& attempt);
MemoryReservation* FindReservation(AgentTables& tables,
                                   const MemoryReservationId& id);

void ReserveForStream(AgentTables& tables, const AcceptedAttempt& attempt);
void EraseReservation(AgentTables& tables, const MemoryReservationId& id);

// Cancels the stream or releases the cache, repeatedly until an engine list
// confirms that it is gone.
void BeginRelease(AgentTables& tables, const MemoryReservationId& id);
void RetryReleases(AgentTables& tables);

// Releases holds whose time to live has passed, streams past their deadline and
// orphans past kOrphanGracePeriod.
void ReleaseExpiredLeases(AgentTables& tables);

// Reserves memory for a member of a gang, or renews its hold. A new hold that
// is not refused is answered when the engine has answered the cache import.
void HandleHold(AgentTables& tables, const PeerId& from, const Hold& hold);
// Ends a hold and refuses a delayed Hold of the same attempt.
void ReleaseHold(AgentTables& tables, const AttemptId& attempt);

// Confirms the hold, or ends it when the engine did not import the cache, and
// sends the HoldReply.
void HandleCacheImportAnswer(AgentTables& tables,
                             const StreamId& cache,
                             StartStatus status);

// Records that the engine has the stream or cache.
void ConfirmReservation(AgentTables& tables, MemoryReservation& reservation);

}  // namespace burdockhatch

#endif  // SRC_MEMORY_RESERVATIONS_H_
