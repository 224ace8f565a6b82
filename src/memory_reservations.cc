#include "src/memory_reservations.h"

#include <algorithm>

#include "src/admission.h"
#include "src/agent_report.h"
#include "src/attempts.h"

namespace burdockhatch {

namespace {

template <class Amount, class Filter>
Tokens SumReservations(const AgentTables& tables,
                       Amount amount,
                       Filter filter) {
  Tokens sum;
  for (const auto& [id, reservation] : tables.reservations) {
    if (filter(reservation)) {
      sum += reservation.*amount;
    }
  }
  return sum;
}

void ReplyToHold(AgentTables& tables,
                 const PeerId& to,
                 const AttemptId& attempt,
                 Verdict verdict,
                 const Failure& failure) {
  SendToEntry(tables, to,
              HoldReply{attempt, verdict, failure, BuildAgentState(tables)});
}

void SendRelease(AgentTables& tables,
                 const MemoryReservationId& id,
                 MemoryReservation& reservation) {
  reservation.next_release_at = tables.now + kReleaseRetryInterval;
  if (id.is_cache) {
    EmitAction(tables, ReleaseCacheAction{id.stream});
  } else {
    EmitAction(tables, CancelStream{id.stream});
  }
}

std::optional<Failure> CheckHold(const AgentTables& tables, const Hold& hold) {
  if (std::optional<Failure> failure = CheckAvailability(tables)) {
    return failure;
  }
  if (tables.released_holds.contains(hold.attempt) || hold.ttl <= Duration(0)) {
    return NotRunFailure(ErrorCode::kDeadlineExceeded);
  }
  if (hold.tokens <= Tokens(0)) {
    return NotRunFailure(ErrorCode::kInvalidRequest);
  }
  if (hold.tokens > MaxGangMemory(tables)) {
    return NotRunFailure(ErrorCode::kPromptTooLong);
  }
  if (hold.tokens > FreeMemory(tables) ||
      ReservedGangMemory(tables) + hold.tokens > MaxGangMemory(tables)) {
    return NotRunFailure(ErrorCode::kOverloaded, kReleaseRetryInterval);
  }
  return std::nullopt;
}

void RenewHold(AgentTables& tables,
               const PeerId& from,
               const Hold& hold,
               MemoryReservation& reservation) {
  if (reservation.releasing_since) {
    ReplyToHold(tables, from, hold.attempt, Verdict::kRefused,
                NotRunFailure(ErrorCode::kOverloaded, kReleaseRetryInterval));
    return;
  }
  reservation.entry = from;
  reservation.is_orphan = false;
  reservation.attempt = hold.attempt;
  reservation.lease_end = tables.now + std::min(hold.ttl, kMaxHoldTtl);
  // The reply to an unconfirmed hold is sent when the engine answers the cache
  // import.
  if (reservation.confirmed_at) {
    ReplyToHold(tables, from, hold.attempt, Verdict::kAccepted, {});
  }
}

void ReserveForHold(AgentTables& tables, const PeerId& from, const Hold& hold) {
  const MemoryReservationId id = CacheReservationId(hold.attempt);
  MemoryReservation& reservation = tables.reservations[id];
  reservation.memory = hold.tokens;
  reservation.length = LengthClass::kHuge;
  reservation.is_gang = true;
  reservation.entry = from;
  reservation.attempt = hold.attempt;
  reservation.reserved_at = tables.now;
  reservation.lease_end = tables.now + std::min(hold.ttl, kMaxHoldTtl);
  EmitAction(tables, ImportCacheAction{id.stream, hold.tokens});
}

}  // namespace

Tokens ReservedMemory(const AgentTables& tables) {
  return SumReservations(tables, &MemoryReservation::memory,
                         [](const MemoryReservation&) { return true; });
}

Tokens FreeMemory(const AgentTables& tables) {
  return std::max(Tokens(0), tables.memory_total - ReservedMemory(tables));
}

Tokens ReservedGangMemory(const AgentTables& tables) {
  return SumReservations(
      tables, &MemoryReservation::memory,
      [](const MemoryReservation& reservation) { return reservation.is_gang; });
}

Tokens MaxGangMemory(const AgentTables& tables) {
  const auto total = static_cast<double>(tables.memory_total.value());
  return Tokens(static_cast<int64_t>(total * kMaxGangMemoryShare));
}

Tokens WorkInFlight(const AgentTables& tables) {
  return WorkInFlightOfClassOrLonger(tables, LengthClass::kShort);
}

Tokens WorkInFlightOfClassOrLonger(const AgentTables& tables,
                                   LengthClass length) {
  if (!IsModelEngineAgent(tables)) {
    return Tokens(static_cast<int64_t>(tables.open_calls.size()));
  }
  return SumReservations(tables, &MemoryReservation::load,
                         [&](const MemoryReservation& reservation) {
                           return reservation.length >= length;
                         });
}

Tokens PromptTokensInFlight(const AgentTables& tables) {
  return SumReservations(tables, &MemoryReservation::prompt,
                         [](const MemoryReservation&) { return true; });
}

MemoryReservationId StreamReservationId(const AttemptId& attempt) {
  return {StreamIdOf(attempt), false};
}

MemoryReservationId CacheReservationId(const AttemptId& attempt) {
  return {StreamIdOf(attempt), true};
}

MemoryReservation* FindReservation(AgentTables& tables,
                                   const MemoryReservationId& id) {
  auto it = tables.reservations.find(id);
  return it == tables.reservations.end() ? nullptr : &it->second;
}

void ReserveForStream(AgentTables& tables, const AcceptedAttempt& attempt) {
  MemoryReservation& reservation =
      tables.reservations[StreamReservationId(attempt.id)];
  reservation.memory = attempt.load;
  reservation.load = attempt.load;
  // The leader of a gang prefills the whole prompt, although it stores only its
  // own part.
  reservation.prompt = attempt.offer.prompt_tokens;
  reservation.length = attempt.length;
  reservation.is_gang = attempt.length == LengthClass::kHuge;
  reservation.entry = attempt.entry;
  reservation.attempt = attempt.id;
  reservation.reserved_at = tables.now;
  reservation.lease_end = attempt.deadline;
}

void EraseReservation(AgentTables& tables, const MemoryReservationId& id) {
  tables.reservations.erase(id);
}

void BeginRelease(AgentTables& tables, const MemoryReservationId& id) {
  MemoryReservation* reservation = FindReservation(tables, id);
  if (!reservation || reservation->releasing_since) {
    return;
  }
  reservation->releasing_since = tables.now;
  reservation->consecutive_missing_lists = 0;
  reservation->last_missing_list_asked_at.reset();
  SendRelease(tables, id, *reservation);
}

void RetryReleases(AgentTables& tables) {
  for (auto& [id, reservation] : tables.reservations) {
    if (reservation.releasing_since &&
        reservation.next_release_at <= tables.now) {
      SendRelease(tables, id, reservation);
    }
  }
}

void ReleaseExpiredLeases(AgentTables& tables) {
  for (auto& [id, reservation] : tables.reservations) {
    if (reservation.lease_end <= tables.now) {
      BeginRelease(tables, id);
    }
  }
}

void HandleHold(AgentTables& tables, const PeerId& from, const Hold& hold) {
  if (!IsModelEngineAgent(tables)) {
    return;
  }
  if (MemoryReservation* reservation =
          FindReservation(tables, CacheReservationId(hold.attempt))) {
    RenewHold(tables, from, hold, *reservation);
    return;
  }
  if (std::optional<Failure> failure = CheckHold(tables, hold)) {
    ReplyToHold(tables, from, hold.attempt, Verdict::kRefused, *failure);
    return;
  }
  ReserveForHold(tables, from, hold);
}

void ReleaseHold(AgentTables& tables, const AttemptId& attempt) {
  // A delayed Hold that arrives after this release must not reserve memory.
  tables.released_holds[attempt] = tables.now + kTombstoneMargin;
  BeginRelease(tables, CacheReservationId(attempt));
}

void HandleCacheImportAnswer(AgentTables& tables,
                             const StreamId& cache,
                             StartStatus status) {
  const MemoryReservationId id{cache, true};
  MemoryReservation* reservation = FindReservation(tables, id);
  if (!reservation || !reservation->attempt) {
    return;
  }
  const AttemptId attempt = *reservation->attempt;
  const PeerId entry = reservation->entry;
  if (status == StartStatus::kStarted) {
    ConfirmReservation(tables, *reservation);
    if (!reservation->releasing_since) {
      ReplyToHold(tables, entry, attempt, Verdict::kAccepted, {});
    }
    return;
  }
  if (status == StartStatus::kUnknown) {
    BeginRelease(tables, id);
  } else {
    EraseReservation(tables, id);
  }
  ReplyToHold(tables, entry, attempt, Verdict::kRefused,
              NotRunFailure(ErrorCode::kTargetFailed));
}

void ConfirmReservation(AgentTables& tables, MemoryReservation& reservation) {
  if (!reservation.confirmed_at) {
    reservation.confirmed_at = tables.now;
  }
  reservation.consecutive_missing_lists = 0;
}

}  // namespace burdockhatch
