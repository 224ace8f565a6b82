// Memory of the engine, in tokens. A stream or cache is booked before the
// engine is asked for it; the booking ends by completion, by a cancel or
// release that the engine's list confirms, or by reconciliation.
#ifndef SRC_BOOKING_H_
#define SRC_BOOKING_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Largest part of the memory for holds and prompts of the class huge, so that
// shorter requests always find room.
inline constexpr double kGangShare = 0.5;

// Time between two cancels or releases of one booking.
inline constexpr Duration kReleaseRetry = std::chrono::milliseconds(500);

inline constexpr Duration kMaxHoldTime = std::chrono::hours(1);

Tokens BookedMemory(const AgentTables& tables);
Tokens FreeMemory(const AgentTables& tables);

// Memory of holds and huge prompts, and the most it may be.
Tokens GangMemory(const AgentTables& tables);
Tokens GangLimit(const AgentTables& tables);

// Work in flight at the target: tokens of an engine, calls of a plain service.
Tokens InFlight(const AgentTables& tables);

// Work in flight of the length class and the longer ones.
Tokens InFlightFrom(const AgentTables& tables, LengthClass length);

// Prompt tokens of the work in flight.
Tokens PromptInFlight(const AgentTables& tables);

BookingId StreamBooking(const AttemptId& attempt);
BookingId CacheBooking(const AttemptId& attempt);
Booking* FindBooking(AgentTables& tables, const BookingId& id);

void BookStream(AgentTables& tables, const AcceptedAttempt& attempt);
void EndBooking(AgentTables& tables, const BookingId& id);

// Cancels the stream or releases the cache until the engine's list confirms it.
void BeginRelease(AgentTables& tables, const BookingId& id);
void RetryReleases(AgentTables& tables);

// Releases holds whose time is over and streams that outlast their deadline.
void ReleaseExpiredLeases(AgentTables& tables);

// Holds of gang members. The reply to a Hold is sent once the engine has
// answered the import.
void OnHold(AgentTables& tables, const PeerId& from, const Hold& hold);
void ReleaseHold(AgentTables& tables, const AttemptId& attempt);
void OnImportAnswer(AgentTables& tables,
                    const StreamId& cache,
                    StartStatus status);

// Notes that the engine has the stream or cache.
void ConfirmBooking(AgentTables& tables, Booking& booking);

}  // namespace burdockhatch

#endif  // SRC_BOOKING_H_
