#include "src/request_placing.h"

#include <algorithm>
#include <array>

#include "src/entry_blame.h"
#include "src/fleet_table.h"
#include "src/gang.h"
#include "src/membership.h"
#include "src/placement.h"
#include "src/request_admission.h"
#include "src/request_end.h"
#include "src/retry_budget.h"

namespace burdockhatch {

namespace {

// Maximum time for which a request waits while no target can be chosen.
constexpr Duration kPlacementTimeout = std::chrono::seconds(5);
constexpr Duration kMinPlacementBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxPlacementBackoff = std::chrono::milliseconds(200);
// A huge prompt waits for capacity for 1 / kCapacityWaitDivisor of the time to
// its deadline. Capacity is freed only when other long requests end, which
// takes tens of seconds.
constexpr int kCapacityWaitDivisor = 5;
constexpr Duration kMinCapacityBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxCapacityBackoff = std::chrono::seconds(2);
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
// Interval at which another target is looked for while a silent one has the
// only attempt.
constexpr Duration kSilentAttemptRecheckInterval =
    std::chrono::milliseconds(500);
// Minimum interval between calls of FollowOutsideSubset.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

// Retry policy for an error code.
enum class RetryRule : uint8_t {
  kNoRetry,  // Another attempt would get the same answer.
  // Not charged to the retry budget: the cause is planned, or the offer was
  // never sent. Planned operations must not cost callers their answers.
  kUncharged,
  kCharged,     // A failure, charged to the retry budget.
  kOverloaded,  // Charged; the request fails if no other target can be chosen.
};

struct RetryRuleEntry {
  ErrorCode code;
  RetryRule rule;
};

constexpr std::array<RetryRuleEntry, kErrorCodeCount> kRetryRules = {{
    {ErrorCode::kNone, RetryRule::kCharged},
    {ErrorCode::kInvalidRequest, RetryRule::kNoRetry},
    {ErrorCode::kBodyTooLarge, RetryRule::kNoRetry},
    {ErrorCode::kUnknownModel, RetryRule::kUncharged},
    {ErrorCode::kUnknownService, RetryRule::kUncharged},
    {ErrorCode::kUnknownClientAccount, RetryRule::kNoRetry},
    {ErrorCode::kPromptTooLong, RetryRule::kNoRetry},
    {ErrorCode::kRateLimited, RetryRule::kOverloaded},
    {ErrorCode::kOverloaded, RetryRule::kOverloaded},
    {ErrorCode::kDeadlineTooShort, RetryRule::kOverloaded},
    {ErrorCode::kDeadlineExceeded, RetryRule::kNoRetry},
    {ErrorCode::kNoTarget, RetryRule::kUncharged},
    {ErrorCode::kTargetWithdrawn, RetryRule::kUncharged},
    {ErrorCode::kTargetDraining, RetryRule::kUncharged},
    {ErrorCode::kTargetNotReady, RetryRule::kUncharged},
    {ErrorCode::kTargetFailed, RetryRule::kCharged},
    {ErrorCode::kOutcomeUnknown, RetryRule::kCharged},
    {ErrorCode::kAlreadyRan, RetryRule::kNoRetry},
    {ErrorCode::kClaimUnavailable, RetryRule::kNoRetry},
    {ErrorCode::kNotReady, RetryRule::kUncharged},
    {ErrorCode::kNotFound, RetryRule::kCharged},
    {ErrorCode::kInternal, RetryRule::kCharged},
    {ErrorCode::kPartBlocked, RetryRule::kNoRetry},
    {ErrorCode::kRequestTimeout, RetryRule::kNoRetry},
}};

constexpr bool RetryRulesMatchErrorCodes() {
  for (int i = 0; i < kErrorCodeCount; ++i) {
    if (static_cast<int>(kRetryRules[i].code) != i) {
      return false;
    }
  }
  return true;
}
static_assert(RetryRulesMatchErrorCodes());

RetryRule RetryRuleFor(ErrorCode code) {
  return kRetryRules[static_cast<int>(code)].rule;
}

Offer MakeOffer(const RequestRow& row, Time now) {
  const RequestSpec& spec = row.spec;
  Offer offer;
  offer.attempt = row.attempt->id;
  offer.kind = spec.kind;
  offer.account = spec.account;
  offer.model = spec.model;
  offer.service = spec.service;
  offer.prompt_tokens = spec.prompt_tokens;
  offer.max_output_tokens = spec.max_output_tokens;
  offer.prefix_hashes = spec.prefix_hashes;
  offer.time_left = spec.deadline - now;
  offer.repeatable = spec.repeatable;
  offer.key = spec.key;
  offer.first_chunk = row.next_chunk;
  offer.method = spec.method;
  offer.path = spec.path;
  if (row.gang) {
    for (const GangMemberRow& it : row.gang->members) {
      offer.members.push_back({it.agent, Tokens(it.tokens)});
    }
  }
  return offer;
}

void OfferTo(EntryTables& tables,
             RequestRow& row,
             const AttemptId& id,
             TargetSlot slot,
             int64_t tokens,
             Time now) {
  const TargetRow& target = tables.fleet.rows[slot];
  EntryAttempt attempt;
  attempt.id = id;
  attempt.slot = slot;
  attempt.offered_incarnation = target.incarnation;
  attempt.tokens = tokens;
  attempt.first_chunk = row.next_chunk;
  attempt.offered_at = now;
  row.attempt = attempt;
  row.phase = RequestPhase::kOffered;
  AddOwnLoad(tables.fleet, slot, tokens);
  RecordOfferForBlame(tables, row, now);
  tables.actions.push_back(SendOffer{{target.info.instance, target.incarnation},
                                     MakeOffer(row, now)});
}

AttemptId NextAttemptId(RequestRow& row) {
  row.last_attempt_number = row.last_attempt_number.Next();
  return {row.spec.request, row.last_attempt_number};
}

void ExcludeRefusingTargets(FleetTable& fleet, const RequestRow& row) {
  BeginDecision(fleet);
  for (const InstanceId& it : row.refused_by) {
    const auto slot = fleet.by_instance.find(it);
    if (slot != fleet.by_instance.end()) {
      ExcludeTarget(fleet, slot->second);
    }
  }
}

// Returns the agent that ranks first for the key. If this entry does not follow
// it, starts to follow it and returns nullopt, so that the request waits for
// its state. After a refusal for lack of capacity, returns nullopt as well, so
// that the request fails and is not offered to another agent than the key's.
std::optional<TargetSlot> ChooseSlotForKey(EntryTables& tables,
                                           const RequestRow& row,
                                           const std::vector<TargetSlot>& slots,
                                           Time now) {
  if (row.has_capacity_refusal) {
    return std::nullopt;
  }
  const auto slot = ChooseAgentForKey(tables.fleet, slots, *row.spec.key);
  if (slot &&
      tables.fleet.hints[*slot].availability != TargetAvailability::kUsable) {
    FollowTemporarily(tables, *slot, now);
    return std::nullopt;
  }
  return slot;
}

void ProbeIfDue(EntryTables& tables,
                const std::vector<TargetSlot>& slots,
                Time now) {
  if (now >= tables.next_probe) {
    tables.next_probe = now + kProbeInterval;
    FollowOutsideSubset(tables, slots, now);
  }
}

std::optional<TargetSlot> ChooseSlot(EntryTables& tables,
                                     const RequestRow& row,
                                     Time now) {
  const auto* slots = FindCandidates(tables.fleet, row.spec);
  if (!slots) {
    return std::nullopt;
  }
  ExcludeRefusingTargets(tables.fleet, row);
  if (row.spec.key) {
    return ChooseSlotForKey(tables, row, *slots, now);
  }
  PlacementQuery query;
  query.candidates = slots;
  query.prompt = row.spec.prompt_tokens;
  query.max_total_tokens = TargetLoadOf(row.spec);
  query.prefix_hashes = &row.spec.prefix_hashes;
  query.random_bits = tables.random.Next();
  const PlacementChoice choice = ChooseTarget(tables.fleet, query);
  if (choice.all_at_capacity) {
    ProbeIfDue(tables, *slots, now);
  }
  return choice.slot;
}

Duration RetryAfterHint(const RequestRow& row) {
  return row.retry_after_hint > Duration(0) ? row.retry_after_hint
                                            : kDefaultRetryAfter;
}

// Called when no target can be chosen. Fails an overloaded request immediately,
// so that the caller can react; otherwise waits, since a target may become
// ready.
void WaitForTargetOrFail(EntryTables& tables, RequestRow& row, Time now) {
  if (row.has_capacity_refusal) {
    FailRow(tables, row, row.last_failure.code, RetryAfterHint(row), now);
    return;
  }
  if (!row.waiting_since) {
    row.waiting_since = now;
    row.backoff = kMinPlacementBackoff;
  }
  if (now - *row.waiting_since >= kPlacementTimeout) {
    const ErrorCode last = row.last_failure.code;
    FailRow(tables, row, last == ErrorCode::kNone ? ErrorCode::kNoTarget : last,
            kDefaultRetryAfter, now);
    return;
  }
  row.phase = RequestPhase::kWaiting;
  row.refused_by.clear();
  row.next_placement = now + row.backoff;
  row.backoff = std::min(2 * row.backoff, kMaxPlacementBackoff);
}

// Duration of the prefill on the fastest usable target.
Duration MinPrefillTime(const FleetTable& fleet, const RequestSpec& spec) {
  const auto* slots = FindCandidates(fleet, spec);
  double least = 0;
  for (const TargetSlot slot : slots ? *slots : std::vector<TargetSlot>()) {
    const TargetHint& hint = fleet.hints[slot];
    if (hint.availability == TargetAvailability::kUsable &&
        hint.prefill_us_per_token > 0) {
      least = least > 0 ? std::min(least, hint.prefill_us_per_token)
                        : hint.prefill_us_per_token;
    }
  }
  return Duration(static_cast<int64_t>(
      least * static_cast<double>(spec.prompt_tokens.value())));
}

// Returns the usable and unheard targets of one data centre, from which more
// are to be followed because no gang could be planned. The data centre is the
// entry's own if it has at least two such targets, otherwise the one with the
// most.
std::vector<TargetSlot> GangCandidates(const EntryTables& tables,
                                       const std::vector<TargetSlot>& slots) {
  std::map<DataCentreId, std::vector<TargetSlot>> groups;
  for (const TargetSlot slot : slots) {
    if (tables.fleet.hints[slot].availability <= TargetAvailability::kUnheard) {
      groups[tables.fleet.rows[slot].info.data_centre].push_back(slot);
    }
  }
  const auto own = groups.find(tables.options.data_centre);
  if (own != groups.end() && own->second.size() > 1) {
    return own->second;
  }
  std::vector<TargetSlot> largest;
  for (const auto& [data_centre, members] : groups) {
    largest = members.size() > largest.size() ? members : largest;
  }
  return largest;
}

void StartGang(EntryTables& tables, RequestRow& row, Time now) {
  std::optional<Gang> gang = PlanGang(tables, row.spec);
  if (!gang) {
    const auto* slots = FindCandidates(tables.fleet, row.spec);
    ProbeIfDue(tables, GangCandidates(tables, *slots), now);
    WaitForCapacity(tables, row, now);
    return;
  }
  gang->attempt = NextAttemptId(row);
  row.gang = std::move(gang);
  row.phase = RequestPhase::kHolding;
  ContinueGangAcquisition(tables, row, now);
}

void RecordOverload(RequestRow& row, const Failure& failure) {
  row.has_capacity_refusal = true;
  const Duration hint = failure.retry_after;
  if (hint > Duration(0) &&
      (row.retry_after_hint == Duration(0) || hint < row.retry_after_hint)) {
    row.retry_after_hint = hint;
  }
}

void RetryRequest(EntryTables& tables,
                  RequestRow& row,
                  bool charged,
                  Time now) {
  if (charged && !TryTakeRetry(tables.retries, row.spec.account)) {
    FailRow(tables, row, row.last_failure.code, RetryAfterHint(row), now);
    return;
  }
  TryPlaceRequest(tables, row, now);
}

void EndFailedAttempt(EntryTables& tables,
                      RequestRow& row,
                      const Failure& failure) {
  const TargetRow& target = tables.fleet.rows[row.attempt->slot];
  row.refused_by.push_back(target.info.instance);
  row.last_failure = failure;
  EndAttempt(tables, row);
}

// Whether another target than that of the current attempt can take the request.
bool CanRetryElsewhere(EntryTables& tables, RequestRow& row, Time now) {
  if (!HasRetryCredit(tables.retries, row.spec.account)) {
    return false;
  }
  if (row.gang || NeedsGang(tables.fleet, row.spec)) {
    return true;
  }
  const TargetRow& target = tables.fleet.rows[row.attempt->slot];
  row.refused_by.push_back(target.info.instance);
  const bool found = ChooseSlot(tables, row, now).has_value();
  row.refused_by.pop_back();
  return found;
}

}  // namespace

void TryPlaceRequest(EntryTables& tables, RequestRow& row, Time now) {
  if (!CheckPartsBeforeOffer(tables, row, now)) {
    return;
  }
  if (NeedsGang(tables.fleet, row.spec)) {
    StartGang(tables, row, now);
    return;
  }
  const auto slot = ChooseSlot(tables, row, now);
  if (!slot) {
    WaitForTargetOrFail(tables, row, now);
    return;
  }
  OfferTo(tables, row, NextAttemptId(row), *slot,
          TargetLoadOf(row.spec).value(), now);
}

void ContinueGangAcquisition(EntryTables& tables, RequestRow& row, Time now) {
  switch (AcquireNextHold(tables, *row.gang, now)) {
    case GangProgress::kAcquiring:
      return;
    case GangProgress::kFailed:
      WaitForCapacity(tables, row, now);
      return;
    case GangProgress::kAcquired:
      OfferTo(tables, row, row.gang->attempt, row.gang->leader,
              row.gang->leader_tokens, now);
      return;
  }
}

void WaitForCapacity(EntryTables& tables, RequestRow& row, Time now) {
  EndAttempt(tables, row);
  if (!row.waiting_since) {
    row.waiting_since = now;
    row.backoff = Duration(0);
  }
  const Duration initial_time_left = row.spec.deadline - *row.waiting_since;
  if (now - *row.waiting_since >= initial_time_left / kCapacityWaitDivisor ||
      row.spec.deadline - now < MinPrefillTime(tables.fleet, row.spec)) {
    FailRow(tables, row, ErrorCode::kOverloaded, RetryAfterHint(row), now);
    return;
  }
  row.backoff =
      std::clamp(2 * row.backoff, kMinCapacityBackoff, kMaxCapacityBackoff);
  const double factor = 0.5 + tables.random.UniformReal();
  row.next_placement =
      now + Duration(static_cast<int64_t>(
                factor * static_cast<double>(row.backoff.count())));
  row.phase = RequestPhase::kWaiting;
  row.refused_by.clear();
}

void RetryAfterRefusal(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now) {
  const bool was_gang = row.gang.has_value();
  const RetryRule rule = RetryRuleFor(failure.code);
  EndFailedAttempt(tables, row, failure);
  if (rule == RetryRule::kNoRetry) {
    FailRow(tables, row, failure.code, failure.retry_after, now);
    return;
  }
  const bool is_huge =
      ClassifyPromptLength(row.spec.prompt_tokens) == LengthClass::kHuge;
  if (was_gang || (is_huge && rule == RetryRule::kOverloaded)) {
    WaitForCapacity(tables, row, now);
    return;
  }
  if (rule == RetryRule::kOverloaded) {
    RecordOverload(row, failure);
  }
  RetryRequest(tables, row, rule != RetryRule::kUncharged, now);
}

void RetryAfterSendFailure(EntryTables& tables, RequestRow& row, Time now) {
  const Failure failure{ErrorCode::kNoTarget, Outcome::kNotRun, Duration(0)};
  RetryAfterRefusal(tables, row, failure, now);
}

void RetryAfterFailure(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now) {
  EndFailedAttempt(tables, row, failure);
  ++row.unproven_attempts;
  if (!row.spec.repeatable ||
      RetryRuleFor(failure.code) == RetryRule::kNoRetry) {
    Failure reported_failure = failure;
    reported_failure.outcome =
        failure.outcome == Outcome::kRan ? Outcome::kRan : Outcome::kUnknown;
    FailRowAsReported(tables, row, reported_failure, now);
    return;
  }
  RetryRequest(tables, row, true, now);
}

void HandleGangLoss(EntryTables& tables, RequestRow& row, Time now) {
  if (row.spec.repeatable) {
    AbandonAndRetry(tables, row, now);
  } else {
    FailRow(tables, row, ErrorCode::kTargetFailed, Duration(0), now);
  }
}

void AbandonAndRetry(EntryTables& tables, RequestRow& row, Time now) {
  row.last_failure = {ErrorCode::kTargetFailed, Outcome::kUnknown, Duration(0)};
  AbandonAttempt(tables, row, now);
  RetryRequest(tables, row, true, now);
}

void RetryInsteadOfSilentAttempt(EntryTables& tables,
                                 RequestRow& row,
                                 Time now) {
  const bool may_be_sound = !tables.fleet.rows[row.attempt->slot].unreachable;
  if (may_be_sound && !CanRetryElsewhere(tables, row, now)) {
    row.attempt->next_retry_check = now + kSilentAttemptRecheckInterval;
    return;
  }
  AbandonAndRetry(tables, row, now);
}

}  // namespace burdockhatch
