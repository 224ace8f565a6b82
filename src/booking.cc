#include "src/booking.h"

#include <algorithm>

#include "src/admission.h"
#include "src/agent_report.h"
#include "src/attempts.h"

namespace burdockhatch {

namespace {

template <class Amount, class Filter>
Tokens Sum(const AgentTables& tables, Amount amount, Filter filter) {
  Tokens sum;
  for (const auto& [id, booking] : tables.bookings) {
    if (filter(booking)) {
      sum += booking.*amount;
    }
  }
  return sum;
}

void ReplyToHold(AgentTables& tables,
                 const PeerId& to,
                 const AttemptId& attempt,
                 Verdict verdict,
                 const Failure& failure) {
  SendTo(tables, to, HoldReply{attempt, verdict, failure, MakeState(tables)});
}

void SendRelease(AgentTables& tables, const BookingId& id, Booking& booking) {
  booking.next_release = tables.now + kReleaseRetry;
  if (id.is_cache) {
    Act(tables, ReleaseCacheAction{id.stream});
  } else {
    Act(tables, CancelStream{id.stream});
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
  if (hold.tokens > GangLimit(tables)) {
    return NotRunFailure(ErrorCode::kPromptTooLong);
  }
  if (hold.tokens > FreeMemory(tables) ||
      GangMemory(tables) + hold.tokens > GangLimit(tables)) {
    return NotRunFailure(ErrorCode::kOverloaded, kReleaseRetry);
  }
  return std::nullopt;
}

void RenewHold(AgentTables& tables,
               const PeerId& from,
               const Hold& hold,
               Booking& booking) {
  if (booking.releasing_since) {
    ReplyToHold(tables, from, hold.attempt, Verdict::kRefused,
                NotRunFailure(ErrorCode::kOverloaded, kReleaseRetry));
    return;
  }
  booking.entry = from;
  booking.orphan = false;
  booking.attempt = hold.attempt;
  booking.lease_end = tables.now + std::min(hold.ttl, kMaxHoldTime);
  // The reply to a hold that is not confirmed yet follows the import's answer.
  if (booking.confirmed_at) {
    ReplyToHold(tables, from, hold.attempt, Verdict::kAccepted, {});
  }
}

void BookHold(AgentTables& tables, const PeerId& from, const Hold& hold) {
  const BookingId id = CacheBooking(hold.attempt);
  Booking& booking = tables.bookings[id];
  booking.memory = hold.tokens;
  booking.length = LengthClass::kHuge;
  booking.gang = true;
  booking.entry = from;
  booking.attempt = hold.attempt;
  booking.booked_at = tables.now;
  booking.lease_end = tables.now + std::min(hold.ttl, kMaxHoldTime);
  Act(tables, ImportCacheAction{id.stream, hold.tokens});
}

}  // namespace

Tokens BookedMemory(const AgentTables& tables) {
  return Sum(tables, &Booking::memory, [](const Booking&) { return true; });
}

Tokens FreeMemory(const AgentTables& tables) {
  return std::max(Tokens(0), tables.memory_total - BookedMemory(tables));
}

Tokens GangMemory(const AgentTables& tables) {
  return Sum(tables, &Booking::memory,
             [](const Booking& booking) { return booking.gang; });
}

Tokens GangLimit(const AgentTables& tables) {
  const auto total = static_cast<double>(tables.memory_total.value());
  return Tokens(static_cast<int64_t>(total * kGangShare));
}

Tokens InFlight(const AgentTables& tables) {
  return InFlightFrom(tables, LengthClass::kShort);
}

Tokens InFlightFrom(const AgentTables& tables, LengthClass length) {
  if (!IsEngineAgent(tables)) {
    return Tokens(static_cast<int64_t>(tables.calls.size()));
  }
  return Sum(tables, &Booking::load,
             [&](const Booking& booking) { return booking.length >= length; });
}

Tokens PromptInFlight(const AgentTables& tables) {
  return Sum(tables, &Booking::prompt, [](const Booking&) { return true; });
}

BookingId StreamBooking(const AttemptId& attempt) {
  return {StreamIdOf(attempt), false};
}

BookingId CacheBooking(const AttemptId& attempt) {
  return {StreamIdOf(attempt), true};
}

Booking* FindBooking(AgentTables& tables, const BookingId& id) {
  auto it = tables.bookings.find(id);
  return it == tables.bookings.end() ? nullptr : &it->second;
}

void BookStream(AgentTables& tables, const AcceptedAttempt& attempt) {
  Booking& booking = tables.bookings[StreamBooking(attempt.id)];
  booking.memory = attempt.load;
  booking.load = attempt.load;
  // The leader of a gang computes the whole prompt, whatever part it holds.
  booking.prompt = attempt.offer.prompt_tokens;
  booking.length = attempt.length;
  booking.gang = attempt.length == LengthClass::kHuge;
  booking.entry = attempt.entry;
  booking.attempt = attempt.id;
  booking.booked_at = tables.now;
  booking.lease_end = attempt.deadline;
}

void EndBooking(AgentTables& tables, const BookingId& id) {
  tables.bookings.erase(id);
}

void BeginRelease(AgentTables& tables, const BookingId& id) {
  Booking* booking = FindBooking(tables, id);
  if (!booking || booking->releasing_since) {
    return;
  }
  booking->releasing_since = tables.now;
  booking->missing_lists = 0;
  booking->last_missing_asked.reset();
  SendRelease(tables, id, *booking);
}

void RetryReleases(AgentTables& tables) {
  for (auto& [id, booking] : tables.bookings) {
    if (booking.releasing_since && booking.next_release <= tables.now) {
      SendRelease(tables, id, booking);
    }
  }
}

void ReleaseExpiredLeases(AgentTables& tables) {
  for (auto& [id, booking] : tables.bookings) {
    if (booking.lease_end <= tables.now) {
      BeginRelease(tables, id);
    }
  }
}

void OnHold(AgentTables& tables, const PeerId& from, const Hold& hold) {
  if (!IsEngineAgent(tables)) {
    return;
  }
  if (Booking* booking = FindBooking(tables, CacheBooking(hold.attempt))) {
    RenewHold(tables, from, hold, *booking);
    return;
  }
  if (std::optional<Failure> failure = CheckHold(tables, hold)) {
    ReplyToHold(tables, from, hold.attempt, Verdict::kRefused, *failure);
    return;
  }
  BookHold(tables, from, hold);
}

void ReleaseHold(AgentTables& tables, const AttemptId& attempt) {
  // A Hold that this release overtook must not book memory.
  tables.released_holds[attempt] = tables.now + kTombstoneMargin;
  BeginRelease(tables, CacheBooking(attempt));
}

void OnImportAnswer(AgentTables& tables,
                    const StreamId& cache,
                    StartStatus status) {
  const BookingId id{cache, true};
  Booking* booking = FindBooking(tables, id);
  if (!booking || !booking->attempt) {
    return;
  }
  const AttemptId attempt = *booking->attempt;
  const PeerId entry = booking->entry;
  if (status == StartStatus::kStarted) {
    ConfirmBooking(tables, *booking);
    if (!booking->releasing_since) {
      ReplyToHold(tables, entry, attempt, Verdict::kAccepted, {});
    }
    return;
  }
  if (status == StartStatus::kUnknown) {
    BeginRelease(tables, id);
  } else {
    EndBooking(tables, id);
  }
  ReplyToHold(tables, entry, attempt, Verdict::kRefused,
              NotRunFailure(ErrorCode::kTargetFailed));
}

void ConfirmBooking(AgentTables& tables, Booking& booking) {
  if (!booking.confirmed_at) {
    booking.confirmed_at = tables.now;
  }
  booking.missing_lists = 0;
}

}  // namespace burdockhatch
