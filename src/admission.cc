#include "src/admission.h"

#include <algorithm>
#include <tuple>

#include "src/agent_report.h"
#include "src/attempts.h"
#include "src/memory_reservations.h"
#include "src/prefix_table.h"

namespace burdockhatch {

namespace {

constexpr Duration kThroughputWindow = std::chrono::seconds(1);

// A target is assumed to complete its whole budget at least once in this time.
// A long prompt that completes nothing for several windows would otherwise
// bring the measured rate close to zero, and the target would refuse all work.
constexpr std::chrono::seconds kMaxBudgetTurnoverTime{15};

// Calls per second that a plain service is assumed to complete for each call of
// its budget until its throughput is measured: a call is taken to last 100 ms.
constexpr int64_t kAssumedCallsPerSecond = 10;

// Bounds the memory of calls that wait for a claim during an outage of the
// object API: 16 MB at 4 KB per call.
constexpr size_t kMaxAcceptedAttempts = 4096;

int ClassRank(LengthClass length) {
  return static_cast<int>(length);
}

// Rank of the attempt after aging; 0 is the highest priority.
int AgedRank(const AgentTables& tables, const AcceptedAttempt& attempt) {
  const auto steps = (tables.now - attempt.accepted_at) / kAgingInterval;
  return std::max(0, ClassRank(attempt.length) - static_cast<int>(steps));
}

Tokens BudgetFraction(Tokens budget, double fraction) {
  return Tokens(
      static_cast<int64_t>(static_cast<double>(budget.value()) * fraction));
}

TokensPerSecond ExpectedThroughput(const AgentTables& tables) {
  const int64_t budget = tables.warmup.budget.value();
  if (tables.throughput.rate.value() > 0) {
    const TokensPerSecond min_rate(budget / kMaxBudgetTurnoverTime.count());
    return std::max(tables.throughput.rate, min_rate);
  }
  if (!IsModelEngineAgent(tables)) {
    return TokensPerSecond(budget * kAssumedCallsPerSecond);
  }
  const int64_t full_budget =
      std::max<int64_t>(1, tables.warmup.full_budget.value());
  const double warm_fraction =
      static_cast<double>(budget) / static_cast<double>(full_budget);
  const auto rate = static_cast<double>(tables.options.prefill_rate.value());
  return TokensPerSecond(static_cast<int64_t>(rate * warm_fraction));
}

// Returns the queued load that is dispatched before a new attempt of the class.
Tokens QueuedLoadAhead(const AgentTables& tables, LengthClass length) {
  Tokens sum;
  for (const auto& [id, attempt] : tables.attempts) {
    if (attempt.phase == AttemptPhase::kQueued &&
        AgedRank(tables, attempt) <= ClassRank(length)) {
      sum += attempt.load;
    }
  }
  return sum;
}

Duration EstimatedWait(const AgentTables& tables,
                       LengthClass length,
                       Tokens load) {
  const Tokens queued = QueuedLoadAhead(tables, length);
  const Tokens free_budget = tables.warmup.budget - WorkInFlight(tables);
  const Tokens excess = queued + load - free_budget;
  if (excess <= Tokens(0)) {
    return Duration(0);
  }
  const TokensPerSecond rate = ExpectedThroughput(tables);
  return rate.value() > 0 ? TimeAtRate(excess, rate) : Duration(0);
}

std::optional<Failure> CheckRoute(const AgentTables& tables,
                                  const Offer& offer) {
  if (IsModelEngineAgent(tables)) {
    return offer.kind == WorkKind::kCompletion &&
                   offer.model == tables.options.model
               ? std::nullopt
               : std::optional(NotRunFailure(ErrorCode::kUnknownModel));
  }
  return offer.kind == WorkKind::kServiceCall &&
                 offer.service == tables.options.service
             ? std::nullopt
             : std::optional(NotRunFailure(ErrorCode::kUnknownService));
}

std::optional<Failure> CheckSize(const AgentTables& tables,
                                 const Offer& offer) {
  const Tokens load = OfferLoad(tables, offer);
  if (IsModelEngineAgent(tables)) {
    const bool huge =
        ClassifyPromptLength(offer.prompt_tokens) == LengthClass::kHuge;
    const Tokens max_load = huge ? MaxGangMemory(tables) : tables.memory_total;
    if (load <= Tokens(0) || offer.prompt_tokens < Tokens(0)) {
      return NotRunFailure(ErrorCode::kInvalidRequest);
    }
    if (load > max_load || load > tables.warmup.full_budget) {
      return NotRunFailure(ErrorCode::kPromptTooLong);
    }
  }
  // A cold target never runs more than its budget, not even a single request.
  if (load > tables.warmup.budget) {
    return NotRunFailure(ErrorCode::kOverloaded, kRefusalRetryAfter);
  }
  return std::nullopt;
}

std::optional<Failure> CheckDeadline(const AgentTables& tables,
                                     const Offer& offer) {
  const Duration left = TimeLeft(tables, offer);
  if (left <= Duration(0)) {
    return NotRunFailure(ErrorCode::kDeadlineExceeded);
  }
  const Duration service_time = MinServiceTime(tables, offer);
  if (service_time >= left) {
    return NotRunFailure(ErrorCode::kDeadlineTooShort);
  }
  const LengthClass length = ClassifyPromptLength(offer.prompt_tokens);
  const Duration wait = EstimatedWait(tables, length, OfferLoad(tables, offer));
  if (wait > std::min(kMaxQueueWait[ClassRank(length)], left - service_time)) {
    return NotRunFailure(ErrorCode::kOverloaded,
                         std::max(wait, kRefusalRetryAfter));
  }
  if (tables.attempts.size() >= kMaxAcceptedAttempts) {
    return NotRunFailure(ErrorCode::kOverloaded, kRefusalRetryAfter);
  }
  return std::nullopt;
}

bool FitsClassBudget(const AgentTables& tables,
                     const AcceptedAttempt& attempt) {
  const Tokens used = WorkInFlightOfClassOrLonger(tables, attempt.length);
  const Tokens class_budget = BudgetFraction(
      tables.warmup.budget, kClassBudgetFraction[ClassRank(attempt.length)]);
  // A request larger than the budget of its class runs alone in that class.
  return used == Tokens(0) || used + attempt.load <= class_budget;
}

bool FitsMemory(const AgentTables& tables,
                const AcceptedAttempt& attempt,
                Tokens reserved) {
  if (attempt.load + reserved > FreeMemory(tables)) {
    return false;
  }
  return attempt.length != LengthClass::kHuge ||
         ReservedGangMemory(tables) + attempt.load <= MaxGangMemory(tables);
}

// Whether a short attempt fits the part of the budget that longer classes may
// not use. Such an attempt may be dispatched although capacity is reserved for
// an aged one.
bool FitsShortBudget(const AgentTables& tables,
                     const AcceptedAttempt& attempt) {
  if (attempt.length != LengthClass::kShort) {
    return false;
  }
  const Tokens used = WorkInFlight(tables) -
                      WorkInFlightOfClassOrLonger(tables, LengthClass::kMedium);
  const double fraction =
      1 - kClassBudgetFraction[ClassRank(LengthClass::kMedium)];
  return used + attempt.load <= BudgetFraction(tables.warmup.budget, fraction);
}

}  // namespace

Tokens OfferLoad(const AgentTables& tables, const Offer& offer) {
  if (!IsModelEngineAgent(tables)) {
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
  if (!IsModelEngineAgent(tables) || rate.value() <= 0) {
    return Duration(0);
  }
  const Tokens prompt = offer.prompt_tokens;
  const auto blocks = static_cast<int64_t>(offer.prefix_hashes.size());
  if (blocks == 0) {
    return TimeAtRate(prompt, rate);
  }
  const auto cached = static_cast<int64_t>(
      CountCachedBlocks(tables.prefixes, offer.prefix_hashes));
  return TimeAtRate(prompt * (blocks - cached) / blocks, rate);
}

std::optional<Failure> CheckAvailability(const AgentTables& tables) {
  if (tables.draining) {
    return NotRunFailure(ErrorCode::kTargetDraining);
  }
  if (IsTargetWithdrawn(tables)) {
    return NotRunFailure(ErrorCode::kTargetWithdrawn);
  }
  if (!IsReady(tables)) {
    return NotRunFailure(ErrorCode::kTargetNotReady, kRefusalRetryAfter);
  }
  if (tables.now < tables.back_off_until) {
    return NotRunFailure(ErrorCode::kOverloaded,
                         tables.back_off_until - tables.now);
  }
  return std::nullopt;
}

std::optional<Failure> CheckOffer(const AgentTables& tables,
                                  const Offer& offer) {
  for (auto check : {CheckRoute, CheckSize, CheckDeadline}) {
    if (std::optional<Failure> failure = check(tables, offer)) {
      return failure;
    }
  }
  return std::nullopt;
}

Duration ExpectedQueueWait(const AgentTables& tables, LengthClass length) {
  return EstimatedWait(tables, length, Tokens(1));
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
  // Only medium attempts reserve capacity. Keeping half of an engine free for a
  // long prompt for tens of seconds reduced goodput by a fifth at an offered
  // load of twice the capacity.
  return attempt.length == LengthClass::kMedium &&
         AgedRank(tables, attempt) == 0;
}

bool CanDispatch(const AgentTables& tables,
                 const AcceptedAttempt& attempt,
                 const ReservedCapacity& reserve) {
  const Tokens after = WorkInFlight(tables) + attempt.load;
  if (after > tables.warmup.budget) {
    return false;
  }
  if (!IsModelEngineAgent(tables)) {
    return true;
  }
  const bool keeps_reserve_free =
      after + reserve.load <= tables.warmup.budget ||
      FitsShortBudget(tables, attempt);
  return keeps_reserve_free && FitsClassBudget(tables, attempt) &&
         FitsMemory(tables, attempt, reserve.memory);
}

void RecordThroughput(AgentTables& tables, Tokens load) {
  tables.throughput.completed += load;
}

void UpdateThroughputMeter(AgentTables& tables) {
  ThroughputMeter& throughput = tables.throughput;
  const Duration elapsed = tables.now - throughput.window_start;
  if (elapsed < kThroughputWindow) {
    return;
  }
  const bool waiting = QueuedLoadAhead(tables, LengthClass::kHuge) > Tokens(0);
  // Only windows with work waiting at both ends show what the target can do. A
  // window of twice the length contains a pause of this process.
  if (throughput.saturated && waiting && elapsed < 2 * kThroughputWindow) {
    const int64_t rate =
        throughput.completed.value() * 1'000'000 / elapsed.count();
    throughput.rate = throughput.rate.value() == 0
                          ? TokensPerSecond(rate)
                          : (throughput.rate * 3 + TokensPerSecond(rate)) / 4;
  }
  throughput.saturated = waiting;
  throughput.completed = Tokens(0);
  throughput.window_start = tables.now;
}

}  // namespace burdockhatch
