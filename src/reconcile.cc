#include "src/reconcile.h"

#include <algorithm>
#include <set>

#include "src/attempts.h"
#include "src/booking.h"
#include "src/dispatch.h"
#include "src/warmup.h"

namespace burdockhatch {

namespace {

// Whether the list may show a stream that has ended since it was made.
bool EndedSince(const AgentTables& tables,
                const StreamId& stream,
                Time asked_at) {
  const std::optional<AttemptId> id = ParseAttemptId(stream.value());
  if (!id) {
    return false;
  }
  auto it = tables.closed.find(*id);
  return it != tables.closed.end() && it->second.ended_at >= asked_at;
}

// Books a stream or cache that the tables do not know. It may belong to a
// predecessor of this agent, so an entry gets time to ask for it.
void BookOrphan(AgentTables& tables, const EngineHolding& holding) {
  ++tables.counters.orphans;
  Booking& booking = tables.bookings[{holding.stream, holding.is_cache}];
  booking.memory = holding.memory;
  booking.load = holding.is_cache ? Tokens(0) : holding.memory;
  booking.length = LengthClassOf(holding.memory);
  booking.gang = holding.is_cache || booking.length == LengthClass::kHuge;
  booking.booked_at = tables.now;
  booking.lease_end = tables.now + kAdoptionGrace;
  booking.orphan = true;
  ConfirmBooking(tables, booking);
}

// An attempt that a Resume adopted before the list came gets its booking.
void JoinAdopted(AgentTables& tables, const EngineHolding& holding) {
  const std::optional<AttemptId> id = ParseAttemptId(holding.stream.value());
  AcceptedAttempt* attempt = id ? FindAttempt(tables, *id) : nullptr;
  if (holding.is_cache || !attempt || !attempt->adopted) {
    return;
  }
  Booking& booking = tables.bookings[{holding.stream, false}];
  booking.orphan = false;
  booking.attempt = attempt->id;
  booking.entry = attempt->entry;
  booking.lease_end = attempt->deadline;
  attempt->load = booking.load;
}

void ReadHolding(AgentTables& tables,
                 const EngineHolding& holding,
                 Time asked_at) {
  const BookingId id{holding.stream, holding.is_cache};
  if (Booking* booking = FindBooking(tables, id)) {
    ConfirmBooking(tables, *booking);
    booking->last_missing_asked.reset();
    booking->memory = std::max(booking->memory, holding.memory);
    return;
  }
  if (EndedSince(tables, holding.stream, asked_at)) {
    return;
  }
  BookOrphan(tables, holding);
  JoinAdopted(tables, holding);
}

// Whether a list asked for at `asked_at` must show what the booking stands for.
// A start without an answer may reach the engine after its cancel.
bool MustBeListed(const Booking& booking, Time asked_at) {
  if (!booking.releasing_since) {
    return booking.confirmed_at && *booking.confirmed_at < asked_at;
  }
  const Duration settle = booking.confirmed_at ? Duration(0) : kStartSettle;
  return *booking.releasing_since + settle < asked_at;
}

// Lists needed to end a booking. A stream that was not cancelled may be missing
// from one list because it has just ended.
int ListsNeeded(const Booking& booking) {
  return booking.releasing_since ? 1 : kMissingLists;
}

// Returns whether the booking is over.
bool CountMissing(Booking& booking, Time asked_at) {
  if (!MustBeListed(booking, asked_at) ||
      booking.last_missing_asked == asked_at) {
    return false;
  }
  booking.last_missing_asked = asked_at;
  ++booking.missing_lists;
  return booking.missing_lists >= ListsNeeded(booking);
}

// The engine has freed the memory, but the end of the stream may still be on
// its way. Reading on brings the rest of the output or the news of its loss.
void EndMissing(AgentTables& tables, const BookingId& id) {
  Booking* booking = FindBooking(tables, id);
  const std::optional<AttemptId> attempt_id = booking->attempt;
  EndBooking(tables, id);
  AcceptedAttempt* attempt =
      attempt_id && !id.is_cache ? FindAttempt(tables, *attempt_id) : nullptr;
  if (attempt) {
    attempt->reattach_at = tables.now;
  }
}

void ReadMissing(AgentTables& tables, const EngineList& list, Time asked_at) {
  std::set<BookingId> listed;
  for (const EngineHolding& holding : list.holdings) {
    listed.insert({holding.stream, holding.is_cache});
  }
  std::vector<BookingId> over;
  for (auto& [id, booking] : tables.bookings) {
    if (!listed.contains(id) && CountMissing(booking, asked_at)) {
      over.push_back(id);
    }
  }
  for (const BookingId& id : over) {
    EndMissing(tables, id);
  }
}

bool IsReleasing(const AgentTables& tables) {
  return std::any_of(
      tables.bookings.begin(), tables.bookings.end(),
      [](const auto& row) { return row.second.releasing_since.has_value(); });
}

}  // namespace

void AskForList(AgentTables& tables) {
  if (!IsEngineAgent(tables)) {
    return;
  }
  if (tables.list_outstanding &&
      tables.now < tables.list_asked + kListTimeout) {
    return;
  }
  const bool soon = !tables.listed || IsReleasing(tables);
  const Duration interval = soon ? kReleaseRetry : kReconcileInterval;
  if (tables.next_list > tables.now &&
      tables.next_list - tables.now <= interval) {
    return;
  }
  tables.list_outstanding = true;
  tables.list_asked = tables.now;
  tables.next_list = tables.now + interval;
  Act(tables, ListEngine{});
}

void ReadEngineList(AgentTables& tables,
                    const EngineList* list,
                    Time asked_at) {
  tables.list_outstanding = false;
  if (!list) {
    ++tables.unanswered_lists;
    return;
  }
  if (list->engine < tables.engine) {
    return;  // Made before the engine's restart.
  }
  tables.unanswered_lists = 0;
  NoteEngine(tables, list->engine);
  tables.listed = true;
  for (const EngineHolding& holding : list->holdings) {
    ReadHolding(tables, holding, asked_at);
  }
  ReadMissing(tables, *list, asked_at);
}

void NoteEngine(AgentTables& tables, EngineIncarnation engine) {
  if (engine <= tables.engine) {
    return;
  }
  const bool known = tables.engine.value() > 0;
  tables.engine = engine;
  if (!known) {
    return;
  }
  tables.prefixes = PrefixTable{};
  NoteRestart(tables.warmup, engine);
  // Streams of the old run cannot go on. Reading them again tells whether the
  // new run knows them.
  for (auto& [id, attempt] : tables.attempts) {
    if (attempt.phase == AttemptPhase::kRunning && IsEngineAgent(tables)) {
      attempt.reattach_at = tables.now;
    }
  }
  for (auto& [id, booking] : tables.bookings) {
    booking.missing_lists = kMissingLists - 1;
  }
  // A list asked for at once frees the memory of the old run.
  tables.next_list = tables.now;
}

}  // namespace burdockhatch
