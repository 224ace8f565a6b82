#include "src/request_placing.h"

#include <algorithm>
#include <array>

#include "src/fleet_table.h"
#include "src/gang.h"
#include "src/membership.h"
#include "src/placement.h"
#include "src/request_admission.h"
#include "src/request_end.h"
#include "src/retry_budget.h"

namespace burdockhatch {

namespace {

// A request for which no target can be chosen waits this long for one.
constexpr Duration kPlacementPatience = std::chrono::seconds(5);
constexpr Duration kMinWait = std::chrono::milliseconds(20);
constexpr Duration kMaxWait = std::chrono::milliseconds(200);
// A huge prompt waits for room for this part of the time to its deadline. Room
// for it comes only as other long work ends, which takes tens of seconds.
constexpr int kRoomPatienceDivisor = 5;
constexpr Duration kMinGangBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxGangBackoff = std::chrono::seconds(2);
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

// What a refusal means for the next attempt.
enum class RetryRule : uint8_t {
  kEnd,         // Another attempt would get the same answer.
  kFree,        // Planned or never sent: not charged to the retry budget, so
                // that no planned action costs an answer.
  kCharged,     // A failure: charged.
  kOverloaded,  // Charged; ends the request once all candidates said so.
};

struct RetryRow {
  ErrorCode code;
  RetryRule rule;
};

constexpr std::array<RetryRow, kErrorCodeCount> kRetryRules = {{
    {ErrorCode::kNone, RetryRule::kCharged},
    {ErrorCode::kInvalidRequest, RetryRule::kEnd},
    {ErrorCode::kBodyTooLarge, RetryRule::kEnd},
    {ErrorCode::kUnknownModel, RetryRule::kFree},
    {ErrorCode::kUnknownService, RetryRule::kFree},
    {ErrorCode::kUnknownClientAccount, RetryRule::kEnd},
    {ErrorCode::kPromptTooLong, RetryRule::kEnd},
    {ErrorCode::kRateLimited, RetryRule::kOverloaded},
    {ErrorCode::kOverloaded, RetryRule::kOverloaded},
    {ErrorCode::kDeadlineTooShort, RetryRule::kOverloaded},
    {ErrorCode::kDeadlineExceeded, RetryRule::kEnd},
    {ErrorCode::kNoTarget, RetryRule::kFree},
    {ErrorCode::kTargetWithdrawn, RetryRule::kFree},
    {ErrorCode::kTargetDraining, RetryRule::kFree},
    {ErrorCode::kTargetNotReady, RetryRule::kFree},
    {ErrorCode::kTargetFailed, RetryRule::kCharged},
    {ErrorCode::kOutcomeUnknown, RetryRule::kCharged},
    {ErrorCode::kAlreadyRan, RetryRule::kEnd},
    {ErrorCode::kClaimUnavailable, RetryRule::kEnd},
    {ErrorCode::kNotReady, RetryRule::kFree},
    {ErrorCode::kNotFound, RetryRule::kCharged},
    {ErrorCode::kInternal, RetryRule::kCharged},
}};

constexpr bool RulesMatchCodes() {
  for (int i = 0; i < kErrorCodeCount; ++i) {
    if (static_cast<int>(kRetryRules[i].code) != i) {
      return false;
    }
  }
  return true;
}
static_assert(RulesMatchCodes());

RetryRule RuleFor(ErrorCode code) {
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
  attempt.offered_to = target.incarnation;
  attempt.tokens = tokens;
  attempt.offered_at = now;
  row.attempt = attempt;
  row.phase = RequestPhase::kOffered;
  AddOwnLoad(tables.fleet, slot, tokens);
  tables.actions.push_back(SendOffer{{target.info.instance, target.incarnation},
                                     MakeOffer(row, now)});
}

AttemptId NextAttempt(RequestRow& row) {
  row.last_number = row.last_number.Next();
  return {row.spec.request, row.last_number};
}

void ExcludeRefusers(FleetTable& fleet, const RequestRow& row) {
  BeginDecision(fleet);
  for (const InstanceId& it : row.refused_by) {
    const auto slot = fleet.by_instance.find(it);
    if (slot != fleet.by_instance.end()) {
      Exclude(fleet, slot->second);
    }
  }
}

// The agent that ranks first may be one that this entry does not follow yet;
// the request then waits until it has spoken.
std::optional<TargetSlot> ChooseKeyed(EntryTables& tables,
                                      const RequestRow& row,
                                      const std::vector<TargetSlot>& slots,
                                      Time now) {
  if (row.overloaded) {
    return std::nullopt;
  }
  const auto slot = ChooseForKey(tables.fleet, slots, *row.spec.key);
  if (slot && tables.fleet.hints[*slot].standing != Standing::kUsable) {
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
  const auto* slots = CandidatesOf(tables.fleet, row.spec);
  if (!slots) {
    return std::nullopt;
  }
  ExcludeRefusers(tables.fleet, row);
  if (row.spec.key) {
    return ChooseKeyed(tables, row, *slots, now);
  }
  PlacementQuery query;
  query.candidates = slots;
  query.prompt = row.spec.prompt_tokens;
  query.total = LoadOf(row.spec);
  query.prefix_hashes = &row.spec.prefix_hashes;
  query.draw = tables.random.Next();
  const PlacementChoice choice = ChooseTarget(tables.fleet, query);
  if (choice.all_full) {
    ProbeIfDue(tables, *slots, now);
  }
  return choice.slot;
}

Duration RetryHint(const RequestRow& row) {
  return row.retry_hint > Duration(0) ? row.retry_hint : kDefaultRetryAfter;
}

// Nothing can be chosen. Overload ends the request early, so that the caller
// can act on it; otherwise a target may become ready soon.
void WaitOrGiveUp(EntryTables& tables, RequestRow& row, Time now) {
  if (row.overloaded) {
    FailRow(tables, row, row.last_failure.code, RetryHint(row), now);
    return;
  }
  if (!row.waiting_since) {
    row.waiting_since = now;
    row.backoff = kMinWait;
  }
  if (now - *row.waiting_since >= kPlacementPatience) {
    const ErrorCode last = row.last_failure.code;
    FailRow(tables, row, last == ErrorCode::kNone ? ErrorCode::kNoTarget : last,
            kDefaultRetryAfter, now);
    return;
  }
  row.phase = RequestPhase::kWaiting;
  row.refused_by.clear();
  row.next_try = now + row.backoff;
  row.backoff = std::min(2 * row.backoff, kMaxWait);
}

// Prefill alone takes this long on the fastest usable target.
Duration LeastServiceTime(const FleetTable& fleet, const RequestSpec& spec) {
  const auto* slots = CandidatesOf(fleet, spec);
  double least = 0;
  for (const TargetSlot slot : slots ? *slots : std::vector<TargetSlot>()) {
    const TargetHint& hint = fleet.hints[slot];
    if (hint.standing == Standing::kUsable && hint.prefill_us_per_token > 0) {
      least = least > 0 ? std::min(least, hint.prefill_us_per_token)
                        : hint.prefill_us_per_token;
    }
  }
  return Duration(static_cast<int64_t>(
      least * static_cast<double>(spec.prompt_tokens.value())));
}

// Live targets of the data centre where a gang may form: the own one if it has
// at least two, otherwise the largest.
std::vector<TargetSlot> GangCandidates(const EntryTables& tables,
                                       const std::vector<TargetSlot>& slots) {
  std::map<DataCentreId, std::vector<TargetSlot>> groups;
  for (const TargetSlot slot : slots) {
    if (tables.fleet.hints[slot].standing <= Standing::kUnheard) {
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
    const auto* slots = CandidatesOf(tables.fleet, row.spec);
    ProbeIfDue(tables, GangCandidates(tables, *slots), now);
    WaitForRoom(tables, row, now);
    return;
  }
  gang->attempt = NextAttempt(row);
  row.gang = std::move(gang);
  row.phase = RequestPhase::kHolding;
  ContinueGang(tables, row, now);
}

void NoteOverload(RequestRow& row, const Failure& failure) {
  row.overloaded = true;
  const Duration hint = failure.retry_after;
  if (hint > Duration(0) &&
      (row.retry_hint == Duration(0) || hint < row.retry_hint)) {
    row.retry_hint = hint;
  }
}

void Retry(EntryTables& tables, RequestRow& row, bool charged, Time now) {
  if (charged && !TryTakeRetry(tables.retries, row.spec.account)) {
    FailRow(tables, row, row.last_failure.code, RetryHint(row), now);
    return;
  }
  TryPlace(tables, row, now);
}

void ForgetAttempt(EntryTables& tables,
                   RequestRow& row,
                   const Failure& failure) {
  const TargetRow& target = tables.fleet.rows[row.attempt->slot];
  row.refused_by.push_back(target.info.instance);
  row.last_failure = failure;
  EndAttempt(tables, row);
}

}  // namespace

void TryPlace(EntryTables& tables, RequestRow& row, Time now) {
  if (NeedsGang(tables.fleet, row.spec)) {
    StartGang(tables, row, now);
    return;
  }
  const auto slot = ChooseSlot(tables, row, now);
  if (!slot) {
    WaitOrGiveUp(tables, row, now);
    return;
  }
  OfferTo(tables, row, NextAttempt(row), *slot, LoadOf(row.spec).value(), now);
}

void ContinueGang(EntryTables& tables, RequestRow& row, Time now) {
  switch (AdvanceGang(tables, *row.gang, now)) {
    case GangProgress::kHolding:
      return;
    case GangProgress::kLost:
      WaitForRoom(tables, row, now);
      return;
    case GangProgress::kHeld:
      OfferTo(tables, row, row.gang->attempt, row.gang->leader,
              row.gang->leader_tokens, now);
      return;
  }
}

void WaitForRoom(EntryTables& tables, RequestRow& row, Time now) {
  EndAttempt(tables, row);
  if (!row.waiting_since) {
    row.waiting_since = now;
    row.backoff = Duration(0);
  }
  const Duration at_first = row.spec.deadline - *row.waiting_since;
  if (now - *row.waiting_since >= at_first / kRoomPatienceDivisor ||
      row.spec.deadline - now < LeastServiceTime(tables.fleet, row.spec)) {
    FailRow(tables, row, ErrorCode::kOverloaded, RetryHint(row), now);
    return;
  }
  row.backoff = std::clamp(2 * row.backoff, kMinGangBackoff, kMaxGangBackoff);
  const double factor = 0.5 + tables.random.Unit();
  row.next_try = now + Duration(static_cast<int64_t>(
                           factor * static_cast<double>(row.backoff.count())));
  row.phase = RequestPhase::kWaiting;
  row.refused_by.clear();
}

void RetryAfterRefusal(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now) {
  const bool was_gang = row.gang.has_value();
  const RetryRule rule = RuleFor(failure.code);
  ForgetAttempt(tables, row, failure);
  if (rule == RetryRule::kEnd) {
    FailRow(tables, row, failure.code, failure.retry_after, now);
    return;
  }
  const bool is_huge =
      LengthClassOf(row.spec.prompt_tokens) == LengthClass::kHuge;
  if (was_gang || (is_huge && rule == RetryRule::kOverloaded)) {
    WaitForRoom(tables, row, now);
    return;
  }
  if (rule == RetryRule::kOverloaded) {
    NoteOverload(row, failure);
  }
  Retry(tables, row, rule != RetryRule::kFree, now);
}

void RetryAfterSendFailure(EntryTables& tables, RequestRow& row, Time now) {
  const Failure failure{ErrorCode::kNoTarget, Outcome::kNotRun, Duration(0)};
  RetryAfterRefusal(tables, row, failure, now);
}

void RetryAfterFailure(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now) {
  ForgetAttempt(tables, row, failure);
  ++row.unproven;
  if (!row.spec.repeatable || RuleFor(failure.code) == RetryRule::kEnd) {
    Failure told = failure;
    told.outcome =
        failure.outcome == Outcome::kRan ? Outcome::kRan : Outcome::kUnknown;
    FailRowWith(tables, row, told, now);
    return;
  }
  Retry(tables, row, true, now);
}

void LoseGang(EntryTables& tables, RequestRow& row, Time now) {
  if (row.spec.repeatable) {
    MoveElsewhere(tables, row, now);
  } else {
    FailRow(tables, row, ErrorCode::kTargetFailed, Duration(0), now);
  }
}

void MoveElsewhere(EntryTables& tables, RequestRow& row, Time now) {
  row.last_failure = {ErrorCode::kTargetFailed, Outcome::kUnknown, Duration(0)};
  AbandonAttempt(tables, row, now);
  Retry(tables, row, true, now);
}

}  // namespace burdockhatch
