// Memory of the engine, in tokens. A stream or cache is booked before the
// engine is asked for it; the reservation ends by completion, by a cancel or
// release that the engine's list confirms, or by reconciliation.
#ifndef SRC_MEMORY_RESERVATIONS_H_
#define SRC_MEMORY_RESERVATIONS_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Largest part of the memory for holds and prompts of the class huge, so that
// shorter requests always find room.
inline constexpr double kMaxGangMemoryShare = 0.5;

// Time between two cancels or releases of one reservation.
inline constexpr Duration kReleaseRetryInterval =
    std::chrono::milliseconds(500);

inline constexpr Duration kMaxHoldTtl = std::chrono::hours(1);

Tokens ReservedMemory(const AgentTables& tables);
Tokens FreeMemory(const AgentTables& tables);

// Memory of holds and huge prompts, and the most it may be.
Tokens ReservedGangMemory(const AgentTables& tables);
Tokens MaxGangMemory(const AgentTables& tables);

// Work in flight at the target: tokens of an engine, calls of a plain service.
Tokens WorkInFlight(const AgentTables& tables);

// Work in flight of the length class and the longer ones.
Tokens WorkInFlightOfClassOrLonger(const AgentTables& tables,
                                   LengthClass length);

// Prompt tokens of the work in flight.
Tokens PromptTokensInFlight(const AgentTables& tables);

MemoryReservationId StreamReservationId(const AttemptId& attempt);
MemoryReservationId CacheReservationId(const AttemptId& attempt);
MemoryReservation* FindReservation(AgentTables& tables,
                                   const MemoryReservationId& id);

void ReserveForStream(AgentTables& tables, const AcceptedAttempt& attempt);
void EraseReservation(AgentTables& tables, const MemoryReservationId& id);

// Cancels the stream or releases the cache until the engine's list confirms it.
void BeginRelease(AgentTables& tables, const MemoryReservationId& id);
void RetryReleases(AgentTables& tables);

// Releases holds whose time is over and streams that outlast their deadline.
void ReleaseExpiredLeases(AgentTables& tables);

// Holds of gang members. The reply to a Hold is sent once the engine has
// answered the import.
void HandleHold(AgentTables& tables, const PeerId& from, const Hold& hold);
void ReleaseHold(AgentTables& tables, const AttemptId& attempt);
void HandleCacheImportAnswer(AgentTables& tables,
                             const StreamId& cache,
                             StartStatus status);

// Notes that the engine has the stream or cache.
void ConfirmReservation(AgentTables& tables, MemoryReservation& reservation);

}  // namespace burdockhatch

#endif  // SRC_MEMORY_RESERVATIONS_H_
