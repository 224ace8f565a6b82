#include "src/admission.h"

#include <algorithm>
#include <tuple>

#include "src/agent_report.h"
#include "src/attempts.h"
#include "src/booking.h"
#include "src/prefix_table.h"

namespace burdockhatch {

namespace {

constexpr Duration kMeterWindow = std::chrono::seconds(1);

// A target is taken to complete its budget at least once in this time. One long
// prompt that completes nothing for some windows would otherwise bring the
// measured rate near zero, and the target would refuse all work.
constexpr std::chrono::seconds kLongestTurnover{15};

// Without a measurement, a call of a plain service is taken to last this long.
constexpr int64_t kCallsPerSecondEach = 10;

// Bounds the memory for calls that wait for a claim during an outage of the
// object API; at 4 KB a call this is 16 MB.
constexpr size_t kMaxAttempts = 4096;

int Rank(LengthClass length) {
  return static_cast<int>(length);
}

int AgedRank(const AgentTables& tables, const AcceptedAttempt& attempt) {
  const auto steps = (tables.now - attempt.accepted_at) / kAgingInterval;
  return std::max(0, Rank(attempt.length) - static_cast<int>(steps));
}

Tokens Share(Tokens budget, double share) {
  return Tokens(
      static_cast<int64_t>(static_cast<double>(budget.value()) * share));
}

TokensPerSecond DrainRate(const AgentTables& tables) {
  const int64_t budget = tables.warmup.budget.value();
  if (tables.meter.rate.value() > 0) {
    const TokensPerSecond least(budget / kLongestTurnover.count());
    return std::max(tables.meter.rate, least);
  }
  if (!IsEngineAgent(tables)) {
    return TokensPerSecond(budget * kCallsPerSecondEach);
  }
  const int64_t full = std::max<int64_t>(1, tables.warmup.full.value());
  const double share = static_cast<double>(budget) / static_cast<double>(full);
  const auto rate = static_cast<double>(tables.options.prefill_rate.value());
  return TokensPerSecond(static_cast<int64_t>(rate * share));
}

Tokens QueuedUpTo(const AgentTables& tables, LengthClass length) {
  Tokens sum;
  for (const auto& [id, attempt] : tables.attempts) {
    if (attempt.phase == AttemptPhase::kQueued &&
        AgedRank(tables, attempt) <= Rank(length)) {
      sum += attempt.load;
    }
  }
  return sum;
}

Duration WaitFor(const AgentTables& tables, LengthClass length, Tokens load) {
  const Tokens queued = QueuedUpTo(tables, length);
  const Tokens room = tables.warmup.budget - InFlight(tables);
  const Tokens excess = queued + load - room;
  if (excess <= Tokens(0)) {
    return Duration(0);
  }
  const TokensPerSecond rate = DrainRate(tables);
  return rate.value() > 0 ? TimeFor(excess, rate) : Duration(0);
}

std::optional<Failure> CheckRoute(const AgentTables& tables,
                                  const Offer& offer) {
  if (IsEngineAgent(tables)) {
    return offer.kind == WorkKind::kCompletion &&
                   offer.model == tables.options.model
               ? std::nullopt
               : std::optional(NotRun(ErrorCode::kUnknownModel));
  }
  return offer.kind == WorkKind::kServiceCall &&
                 offer.service == tables.options.service
             ? std::nullopt
             : std::optional(NotRun(ErrorCode::kUnknownService));
}

std::optional<Failure> CheckSize(const AgentTables& tables,
                                 const Offer& offer) {
  const Tokens load = OfferLoad(tables, offer);
  if (IsEngineAgent(tables)) {
    const bool huge = LengthClassOf(offer.prompt_tokens) == LengthClass::kHuge;
    const Tokens most = huge ? GangLimit(tables) : tables.memory_total;
    if (load <= Tokens(0) || offer.prompt_tokens < Tokens(0)) {
      return NotRun(ErrorCode::kInvalidRequest);
    }
    if (load > most || load > tables.warmup.full) {
      return NotRun(ErrorCode::kPromptTooLong);
    }
  }
  // A cold target never carries more than its budget, not even one request.
  if (load > tables.warmup.budget) {
    return NotRun(ErrorCode::kOverloaded, kRefusalRetryAfter);
  }
  return std::nullopt;
}

std::optional<Failure> CheckTime(const AgentTables& tables,
                                 const Offer& offer) {
  const Duration left = TimeLeft(tables, offer);
  if (left <= Duration(0)) {
    return NotRun(ErrorCode::kDeadlineExceeded);
  }
  const Duration least = MinServiceTime(tables, offer);
  if (least >= left) {
    return NotRun(ErrorCode::kDeadlineTooShort);
  }
  const LengthClass length = LengthClassOf(offer.prompt_tokens);
  const Duration wait = WaitFor(tables, length, OfferLoad(tables, offer));
  if (wait > std::min(kMaxQueueWait[Rank(length)], left - least)) {
    return NotRun(ErrorCode::kOverloaded, std::max(wait, kRefusalRetryAfter));
  }
  if (tables.attempts.size() >= kMaxAttempts) {
    return NotRun(ErrorCode::kOverloaded, kRefusalRetryAfter);
  }
  return std::nullopt;
}

bool FitsClass(const AgentTables& tables, const AcceptedAttempt& attempt) {
  const Tokens used = InFlightFrom(tables, attempt.length);
  const Tokens most =
      Share(tables.warmup.budget, kClassShare[Rank(attempt.length)]);
  // One request larger than the share of its class runs alone in it.
  return used == Tokens(0) || used + attempt.load <= most;
}

bool FitsMemory(const AgentTables& tables,
                const AcceptedAttempt& attempt,
                Tokens reserved) {
  if (attempt.load + reserved > FreeMemory(tables)) {
    return false;
  }
  return attempt.length != LengthClass::kHuge ||
         GangMemory(tables) + attempt.load <= GangLimit(tables);
}

// Short work keeps the part of the budget that no longer class may use, even
// while aged work waits for room.
bool FitsShortShare(const AgentTables& tables, const AcceptedAttempt& attempt) {
  if (attempt.length != LengthClass::kShort) {
    return false;
  }
  const Tokens used =
      InFlight(tables) - InFlightFrom(tables, LengthClass::kMedium);
  const double share = 1 - kClassShare[Rank(LengthClass::kMedium)];
  return used + attempt.load <= Share(tables.warmup.budget, share);
}

}  // namespace

Tokens OfferLoad(const AgentTables& tables, const Offer& offer) {
  if (!IsEngineAgent(tables)) {
    return Tokens(1);
  }
  Tokens load = offer.prompt_tokens + offer.max_output_tokens;
  for (const GangMember& member : offer.members) {
    load -= member.tokens;
  }
  return load;
}

Duration MinServiceTime(const AgentTables& tables, const Offer& offer) {
  const TokensPerSecond rate = tables.options.prefill_rate;
  if (!IsEngineAgent(tables) || rate.value() <= 0) {
    return Duration(0);
  }
  const Tokens prompt = offer.prompt_tokens;
  const auto blocks = static_cast<int64_t>(offer.prefix_hashes.size());
  if (blocks == 0) {
    return TimeFor(prompt, rate);
  }
  const auto cached = static_cast<int64_t>(
      CountCachedBlocks(tables.prefixes, offer.prefix_hashes));
  return TimeFor(prompt * (blocks - cached) / blocks, rate);
}

std::optional<Failure> CheckAvailability(const AgentTables& tables) {
  if (tables.draining) {
    return NotRun(ErrorCode::kTargetDraining);
  }
  if (IsTargetWithdrawn(tables)) {
    return NotRun(ErrorCode::kTargetWithdrawn);
  }
  if (!IsReady(tables)) {
    return NotRun(ErrorCode::kTargetNotReady, kRefusalRetryAfter);
  }
  return std::nullopt;
}

std::optional<Failure> CheckOffer(const AgentTables& tables,
                                  const Offer& offer) {
  for (auto check : {CheckRoute, CheckSize, CheckTime}) {
    if (std::optional<Failure> failure = check(tables, offer)) {
      return failure;
    }
  }
  return std::nullopt;
}

Duration ExpectedQueueWait(const AgentTables& tables, LengthClass length) {
  return WaitFor(tables, length, Tokens(1));
}

std::vector<AttemptId> DispatchOrder(const AgentTables& tables) {
  using Row = std::tuple<int, Time, AttemptId>;
  std::vector<Row> rows;
  for (const auto& [id, attempt] : tables.attempts) {
    if (attempt.phase == AttemptPhase::kQueued) {
      rows.emplace_back(AgedRank(tables, attempt), attempt.accepted_at, id);
    }
  }
  std::sort(rows.begin(), rows.end());
  std::vector<AttemptId> order;
  for (const Row& row : rows) {
    order.push_back(std::get<AttemptId>(row));
  }
  return order;
}

bool ReservesCapacity(const AgentTables& tables,
                      const AcceptedAttempt& attempt) {
  // Keeping half of an engine free for a long prompt for tens of seconds cost a
  // fifth of the goodput at twice the capacity, so only medium work reserves.
  return attempt.length == LengthClass::kMedium &&
         AgedRank(tables, attempt) == 0;
}

bool CanDispatch(const AgentTables& tables,
                 const AcceptedAttempt& attempt,
                 const ReservedCapacity& reserve) {
  const Tokens after = InFlight(tables) + attempt.load;
  if (after > tables.warmup.budget) {
    return false;
  }
  if (!IsEngineAgent(tables)) {
    return true;
  }
  const bool spares_reserve = after + reserve.load <= tables.warmup.budget ||
                              FitsShortShare(tables, attempt);
  return spares_reserve && FitsClass(tables, attempt) &&
         FitsMemory(tables, attempt, reserve.memory);
}

void RecordCompletedLoad(AgentTables& tables, Tokens load) {
  tables.meter.completed += load;
}

void UpdateDrainMeter(AgentTables& tables) {
  DrainMeter& meter = tables.meter;
  const Duration elapsed = tables.now - meter.window_start;
  if (elapsed < kMeterWindow) {
    return;
  }
  const bool waiting = QueuedUpTo(tables, LengthClass::kHuge) > Tokens(0);
  if (meter.saturated && waiting && elapsed < 2 * kMeterWindow) {
    const int64_t rate = meter.completed.value() * 1'000'000 / elapsed.count();
    meter.rate = meter.rate.value() == 0
                     ? TokensPerSecond(rate)
                     : (meter.rate * 3 + TokensPerSecond(rate)) / 4;
  }
  meter.saturated = waiting;
  meter.completed = Tokens(0);
  meter.window_start = tables.now;
}

}  // namespace burdockhatch
