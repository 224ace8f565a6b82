#include "src/reconcile.h"

#include <algorithm>
#include <set>

#include "src/attempts.h"
#include "src/dispatch.h"
#include "src/memory_reservations.h"
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
  MemoryReservation& reservation =
      tables.reservations[{holding.stream, holding.is_cache}];
  reservation.memory = holding.memory;
  reservation.load = holding.is_cache ? Tokens(0) : holding.memory;
  reservation.length = LengthClassOf(holding.memory);
  reservation.is_gang =
      holding.is_cache || reservation.length == LengthClass::kHuge;
  reservation.reserved_at = tables.now;
  reservation.lease_end = tables.now + kOrphanGracePeriod;
  reservation.is_orphan = true;
  ConfirmReservation(tables, reservation);
}

// An attempt that a Resume adopted before the list came gets its reservation.
void JoinAdopted(AgentTables& tables, const EngineHolding& holding) {
  const std::optional<AttemptId> id = ParseAttemptId(holding.stream.value());
  AcceptedAttempt* attempt = id ? FindAttempt(tables, *id) : nullptr;
  if (holding.is_cache || !attempt || !attempt->adopted) {
    return;
  }
  MemoryReservation& reservation = tables.reservations[{holding.stream, false}];
  reservation.is_orphan = false;
  reservation.attempt = attempt->id;
  reservation.entry = attempt->entry;
  reservation.lease_end = attempt->deadline;
  attempt->load = reservation.load;
}

void ReadHolding(AgentTables& tables,
                 const EngineHolding& holding,
                 Time asked_at) {
  const MemoryReservationId id{holding.stream, holding.is_cache};
  if (MemoryReservation* reservation = FindReservation(tables, id)) {
    ConfirmReservation(tables, *reservation);
    reservation->last_missing_list_asked_at.reset();
    reservation->memory = std::max(reservation->memory, holding.memory);
    return;
  }
  if (EndedSince(tables, holding.stream, asked_at)) {
    return;
  }
  BookOrphan(tables, holding);
  JoinAdopted(tables, holding);
}

// Whether a list asked for at `asked_at` must show what the reservation stands
// for. A start without an answer may reach the engine after its cancel.
bool MustBeListed(const MemoryReservation& reservation, Time asked_at) {
  if (!reservation.releasing_since) {
    return reservation.confirmed_at && *reservation.confirmed_at < asked_at;
  }
  const Duration settle = reservation.confirmed_at ? Duration(0) : kStartSettle;
  return *reservation.releasing_since + settle < asked_at;
}

// Lists needed to end a reservation. A stream that was not cancelled may be
// missing from one list because it has just ended.
int ListsNeeded(const MemoryReservation& reservation) {
  return reservation.releasing_since ? 1 : kMissingLists;
}

// Returns whether the reservation is over.
bool CountMissing(MemoryReservation& reservation, Time asked_at) {
  if (!MustBeListed(reservation, asked_at) ||
      reservation.last_missing_list_asked_at == asked_at) {
    return false;
  }
  reservation.last_missing_list_asked_at = asked_at;
  ++reservation.consecutive_missing_lists;
  return reservation.consecutive_missing_lists >= ListsNeeded(reservation);
}

// The engine has freed the memory, but the end of the stream may still be on
// its way. Reading on brings the rest of the output or the news of its loss.
void EndMissing(AgentTables& tables, const MemoryReservationId& id) {
  MemoryReservation* reservation = FindReservation(tables, id);
  const std::optional<AttemptId> attempt_id = reservation->attempt;
  EraseReservation(tables, id);
  AcceptedAttempt* attempt =
      attempt_id && !id.is_cache ? FindAttempt(tables, *attempt_id) : nullptr;
  if (attempt) {
    attempt->reattach_at = tables.now;
  }
}

void ReadMissing(AgentTables& tables, const EngineList& list, Time asked_at) {
  std::set<MemoryReservationId> listed;
  for (const EngineHolding& holding : list.holdings) {
    listed.insert({holding.stream, holding.is_cache});
  }
  std::vector<MemoryReservationId> over;
  for (auto& [id, reservation] : tables.reservations) {
    if (!listed.contains(id) && CountMissing(reservation, asked_at)) {
      over.push_back(id);
    }
  }
  for (const MemoryReservationId& id : over) {
    EndMissing(tables, id);
  }
}

bool IsReleasing(const AgentTables& tables) {
  return std::any_of(
      tables.reservations.begin(), tables.reservations.end(),
      [](const auto& row) { return row.second.releasing_since.has_value(); });
}

}  // namespace

void RequestEngineList(AgentTables& tables) {
  if (!IsModelEngineAgent(tables)) {
    return;
  }
  if (tables.list_outstanding &&
      tables.now < tables.list_asked_at + kListTimeout) {
    return;
  }
  const bool soon = !tables.listed || IsReleasing(tables);
  const Duration interval = soon ? kReleaseRetryInterval : kReconcileInterval;
  if (tables.next_list_at > tables.now &&
      tables.next_list_at - tables.now <= interval) {
    return;
  }
  tables.list_outstanding = true;
  tables.list_asked_at = tables.now;
  tables.next_list_at = tables.now + interval;
  EmitAction(tables, ListEngine{});
}

void ReconcileWithEngineList(AgentTables& tables,
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
  UpdateEngineIncarnation(tables, list->engine);
  tables.listed = true;
  for (const EngineHolding& holding : list->holdings) {
    ReadHolding(tables, holding, asked_at);
  }
  ReadMissing(tables, *list, asked_at);
}

void UpdateEngineIncarnation(AgentTables& tables, EngineIncarnation engine) {
  if (engine <= tables.engine) {
    return;
  }
  const bool known = tables.engine.value() > 0;
  tables.engine = engine;
  if (!known) {
    return;
  }
  tables.prefixes = PrefixTable{};
  HandleEngineRestart(tables.warmup, engine);
  // Streams of the old run cannot go on. Reading them again tells whether the
  // new run knows them.
  for (auto& [id, attempt] : tables.attempts) {
    if (attempt.phase == AttemptPhase::kRunning && IsModelEngineAgent(tables)) {
      attempt.reattach_at = tables.now;
    }
  }
  for (auto& [id, reservation] : tables.reservations) {
    reservation.consecutive_missing_lists = kMissingLists - 1;
  }
  // A list asked for at once frees the memory of the old run.
  tables.next_list_at = tables.now;
}

}  // namespace burdockhatch
