#include "src/reconcile.h"

#include <algorithm>
#include <set>

#include "src/attempts.h"
#include "src/dispatch.h"
#include "src/memory_reservations.h"
#include "src/warmup.h"

namespace burdockhatch {

namespace {

// Returns whether the stream ended after the list was requested, so that the
// list may still contain it.
bool HasEndedSince(const AgentTables& tables,
                   const StreamId& stream,
                   Time asked_at) {
  const std::optional<AttemptId> id = ParseAttemptId(stream.value());
  if (!id) {
    return false;
  }
  auto it = tables.closed_attempts.find(*id);
  return it != tables.closed_attempts.end() && it->second.ended_at >= asked_at;
}

// Reserves memory for a listed stream or cache that has no reservation. A
// previous incarnation of this agent may have started it, so an entry gets time
// to adopt it.
void AddOrphanReservation(AgentTables& tables, const EngineHolding& holding) {
  ++tables.counters.orphans;
  MemoryReservation& reservation =
      tables.reservations[{holding.stream, holding.is_cache}];
  reservation.memory = holding.memory;
  reservation.load = holding.is_cache ? Tokens(0) : holding.memory;
  reservation.length = ClassifyPromptLength(holding.memory);
  reservation.is_gang =
      holding.is_cache || reservation.length == LengthClass::kHuge;
  reservation.reserved_at = tables.now;
  reservation.lease_end = tables.now + kOrphanGracePeriod;
  reservation.is_orphan = true;
  ConfirmReservation(tables, reservation);
}

// Connects the reservation of a listed stream to its attempt, if a Resume
// adopted the attempt before the list arrived.
void AttachAdoptedAttempt(AgentTables& tables, const EngineHolding& holding) {
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

void ReconcileHolding(AgentTables& tables,
                      const EngineHolding& holding,
                      Time asked_at) {
  const MemoryReservationId id{holding.stream, holding.is_cache};
  if (MemoryReservation* reservation = FindReservation(tables, id)) {
    ConfirmReservation(tables, *reservation);
    reservation->last_missing_list_asked_at.reset();
    reservation->memory = std::max(reservation->memory, holding.memory);
    return;
  }
  if (HasEndedSince(tables, holding.stream, asked_at)) {
    return;
  }
  AddOrphanReservation(tables, holding);
  AttachAdoptedAttempt(tables, holding);
}

// Returns whether a list requested at `asked_at` must contain the reservation's
// stream or cache if it still exists. An unanswered start may reach the engine
// after its cancel, so an unconfirmed reservation is kept for kMaxStartDelay
// after its first cancel.
bool MustBeListed(const MemoryReservation& reservation, Time asked_at) {
  if (!reservation.releasing_since) {
    return reservation.confirmed_at && *reservation.confirmed_at < asked_at;
  }
  const Duration max_start_delay =
      reservation.confirmed_at ? Duration(0) : kMaxStartDelay;
  return *reservation.releasing_since + max_start_delay < asked_at;
}

// Returns how many lists must lack a reservation's stream before the
// reservation ends. A stream that was not cancelled may be missing from one
// list because it has just ended.
int RequiredMissingLists(const MemoryReservation& reservation) {
  return reservation.releasing_since ? 1 : kMissingListLimit;
}

// Counts a list that lacks the reservation's stream or cache, once per list.
// Returns whether the reservation must end.
bool RecordMissingAndCheckLimit(MemoryReservation& reservation, Time asked_at) {
  if (!MustBeListed(reservation, asked_at) ||
      reservation.last_missing_list_asked_at == asked_at) {
    return false;
  }
  reservation.last_missing_list_asked_at = asked_at;
  ++reservation.consecutive_missing_lists;
  return reservation.consecutive_missing_lists >=
         RequiredMissingLists(reservation);
}

// Ends a reservation whose memory the engine has freed. The end of the stream
// may still be in transit, so the agent attaches to the stream again and
// receives the rest of the output or an error.
void EndMissingReservation(AgentTables& tables, const MemoryReservationId& id) {
  MemoryReservation* reservation = FindReservation(tables, id);
  const std::optional<AttemptId> attempt_id = reservation->attempt;
  EraseReservation(tables, id);
  AcceptedAttempt* attempt =
      attempt_id && !id.is_cache ? FindAttempt(tables, *attempt_id) : nullptr;
  if (attempt) {
    attempt->reattach_at = tables.now;
  }
}

void EndMissingReservations(AgentTables& tables,
                            const EngineHoldings& list,
                            Time asked_at) {
  std::set<MemoryReservationId> listed;
  for (const EngineHolding& holding : list.holdings) {
    listed.insert({holding.stream, holding.is_cache});
  }
  std::vector<MemoryReservationId> missing;
  for (auto& [id, reservation] : tables.reservations) {
    if (!listed.contains(id) &&
        RecordMissingAndCheckLimit(reservation, asked_at)) {
      missing.push_back(id);
    }
  }
  for (const MemoryReservationId& id : missing) {
    EndMissingReservation(tables, id);
  }
}

bool HasReleasingReservation(const AgentTables& tables) {
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
  const bool soon = !tables.listed || HasReleasingReservation(tables);
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
                             const EngineHoldings* list,
                             Time asked_at) {
  tables.list_outstanding = false;
  if (!list) {
    ++tables.unanswered_list_requests;
    return;
  }
  if (list->engine < tables.engine) {
    return;  // The list was made before the engine's restart.
  }
  tables.unanswered_list_requests = 0;
  UpdateEngineIncarnation(tables, list->engine);
  tables.listed = true;
  for (const EngineHolding& holding : list->holdings) {
    ReconcileHolding(tables, holding, asked_at);
  }
  EndMissingReservations(tables, *list, asked_at);
}

void UpdateEngineIncarnation(AgentTables& tables, EngineIncarnation engine) {
  if (engine <= tables.engine) {
    return;
  }
  const bool is_restart = tables.engine.value() > 0;
  tables.engine = engine;
  if (!is_restart) {
    return;
  }
  tables.prefixes = PrefixTable{};
  HandleEngineRestart(tables.warmup, engine);
  // Streams of the previous incarnation cannot continue. Attaching to them
  // again shows whether the new incarnation knows them.
  for (auto& [id, attempt] : tables.attempts) {
    if (attempt.phase == AttemptPhase::kRunning && IsModelEngineAgent(tables)) {
      attempt.reattach_at = tables.now;
    }
  }
  // After a restart, a single list without the stream ends its reservation.
  // That list is due now, to free the memory reserved for the previous
  // incarnation.
  for (auto& [id, reservation] : tables.reservations) {
    reservation.consecutive_missing_lists = kMissingListLimit - 1;
  }
  tables.next_list_at = tables.now;
}

}  // namespace burdockhatch
