// Selection of the engines that prefill a prompt and decode its answer.
#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "src/engine_cost.h"
#include "src/placement_scheduler.h"

namespace burdockhatch {

namespace {

// Prompts with more prefill are long: together with the decode of a pass, they
// would stall answers beyond the platforms' shortest gap target of 200 ms.
constexpr double kMaxShortPrefillMs = 130;
// Short answers per engine: enough to leave most engines to long prompts, few
// enough that two short prompts seldom share a pass.
constexpr uint32_t kShortAnswersPerTarget = 9;
// Time that a short answer takes, about, in seconds.
constexpr double kShortAnswerSeconds = 2;
// Short answers per engine while long prompts need the other engines.
constexpr uint32_t kMaxShortAnswersPerTarget = 13;
// Prefill of long prompts per engine that is reserved for them.
constexpr double kLongPrefillPerTargetMs = 700;
// Least prefill of a part of a long prompt. Parts are smaller only if no split
// into larger ones fits.
constexpr double kMinPartPrefillMs = 50;
// Memory kept free on each engine that holds a part of an oversize request, as
// answer lengths are estimates. An oversize request needs the memory of several
// engines.
constexpr Tokens kMemoryMargin{10'000};
// A helper with less free memory is not worth a request, unless it can hold all
// that is left of the prompt. Also the memory for the prompt that the decode
// target of an oversize request must have free.
constexpr Tokens kMinHoldTokens{20'000};
// Prefill time kept free on engines with short answers for further short
// prompts.
constexpr double kShortAnswerMarginMs = 30;
// Margin between the estimated stall of an answer and its gap target.
constexpr double kGapMarginMs = 25;
// Most prefill of one part on an engine without answers or, where a long prompt
// may stall answers, without other prefill.
constexpr double kMaxPartPrefillMs = 1'000;
// Answers to long prompts on one engine before the next engine is used.
constexpr uint32_t kLongAnswersPerTarget = 10;
// Most prefill that an engine may have pending over all passes, including a new
// part. With more, short prompts that arrive meanwhile find no available
// engine.
constexpr double kMaxBacklogMs = 800;
// Most wait of a short prompt on an engine while another engine is available.
constexpr double kMaxShortWaitMs = 90;
// A long prompt may stall one answer per this many of its tokens. At 25,000 the
// gain of long prompts is smaller than the loss of the stalled answers.
constexpr double kTokensPerStalledAnswer = 100'000;
// Delay of the first event that is as costly as one stalled answer.
constexpr double kStalledAnswerCostMs = 50;
// Penalties of an answer in progress and of a cold engine in the choice of a
// target for a short prompt.
constexpr double kAnswerPenaltyMs = 3;
constexpr double kColdPenaltyMs = 200;
// Replaces kAnswerPenaltyMs for a request whose engine may crash, so that few
// answers are lost.
constexpr double kTrialAnswerPenaltyMs = 1'000;
constexpr Duration kShortTargetShrinkInterval = std::chrono::milliseconds(200);

}  // namespace

bool PlacementScheduler::IsLongPrompt(const ServiceState& state,
                                      Tokens prompt) {
  return PrefillMs(state.cost, prompt) > kMaxShortPrefillMs;
}

double PlacementScheduler::TargetDecodePassMs(const ServiceState& state,
                                              const Target& target) {
  return target.pace * DecodePassMs(state.cost, std::max(target.answers(), 1U),
                                    target.memory_used);
}

double PlacementScheduler::MaxPassPrefillMs(const ServiceState& state,
                                            const Target& target) {
  if (target.gap_target_counts.empty()) {
    return kMaxPartPrefillMs;
  }
  const double gap = ToMs(target.gap_target_counts.begin()->first);
  return gap - TargetDecodePassMs(state, target) - kGapMarginMs;
}

double PlacementScheduler::AvailablePrefillMs(const ServiceState& state,
                                              const Target& target,
                                              Time now) {
  // Prefill extends passes only while an answer is being decoded. Otherwise a
  // new part is prefilled at once, ahead of prompts already started.
  const double wait = target.pass_predictor.WaitMs(now);
  const double taken =
      target.decoding == 0 ? wait : target.pass_predictor.SharedPrefillMs(now);
  return std::min(MaxPassPrefillMs(state, target) - taken,
                  kMaxBacklogMs - wait) /
         target.pace;
}

Tokens PlacementScheduler::MaxRequestTokens(const ServiceState& state) {
  const size_t most =
      std::min<size_t>(state.fill_order.size(), kMaxHelpers + 1);
  return (state.cost.memory - kMemoryMargin) * static_cast<int64_t>(most);
}

double PlacementScheduler::LongPrefillBacklogMs(const ServiceState& state) {
  double prefill_ms = state.long_prefill_in_progress_ms;
  for (const QueuedRequest& it : state.queue) {
    if (IsLongPrompt(state, it.ask.prompt)) {
      prefill_ms += PrefillMs(state.cost, it.ask.prompt);
    }
  }
  return prefill_ms;
}

// Sets short_target_count to one target per kShortAnswersPerTarget short
// answers, down to one per kMaxShortAnswersPerTarget while long prompts need
// targets.
void PlacementScheduler::UpdateShortTargetCount(ServiceState& state,
                                                double long_prefill_ms,
                                                Time now) {
  // Returns how many targets hold the short requests and one more. A target
  // that states a limit holds what its rate lets it start.
  const auto targets_for = [&](uint32_t per_target) -> size_t {
    const uint32_t per = std::min(per_target, std::max(state.cost.slots, 1U));
    uint32_t held = 0;
    size_t n = 0;
    while (held <= state.short_request_count) {
      uint32_t most = per;
      if (n < state.fill_order.size() && state.fill_order[n]->states_limit) {
        const double started =
            *state.fill_order[n]->rate.requests_per_s() * kShortAnswerSeconds;
        most = std::max(1U, std::min(per, static_cast<uint32_t>(started)));
      }
      if (n < state.fill_order.size() &&
          state.fill_order[n]->pace > kEvenPace) {
        most = std::max(
            1U, static_cast<uint32_t>(most / state.fill_order[n]->pace));
      }
      held += most;
      ++n;
    }
    return n;
  };
  const size_t all = std::max<size_t>(state.fill_order.size(), 1);
  const auto for_long =
      static_cast<size_t>(std::ceil(long_prefill_ms / kLongPrefillPerTargetMs));
  const size_t least = std::min(targets_for(kMaxShortAnswersPerTarget), all);
  const size_t most = all - std::min(for_long, all - 1);
  const size_t needed =
      std::max(std::min(targets_for(kShortAnswersPerTarget), most), least);
  if (needed >= state.short_target_count) {
    state.short_target_count = needed;
    state.next_shrink_at = now + kShortTargetShrinkInterval;
  } else if (long_prefill_ms > 0) {
    // Long prompts can use these targets once their short answers have ended.
    state.short_target_count = needed;
  } else if (now >= state.next_shrink_at) {
    --state.short_target_count;
    state.next_shrink_at = now + kShortTargetShrinkInterval;
  }
}

std::optional<PlacementScheduler::Assignment> PlacementScheduler::Choose(
    ServiceState& state,
    const QueuedRequest& request,
    Time now) {
  UpdateRates(state, now);
  const bool is_long = IsLongPrompt(state, request.ask.prompt);
  const double own_prefill_ms =
      is_long ? PrefillMs(state.cost, request.ask.prompt) : 0;
  UpdateShortTargetCount(state, LongPrefillBacklogMs(state) + own_prefill_ms,
                         now);
  return is_long ? ChooseLong(state, request, now)
                 : ChooseShort(state, request, now);
}

std::optional<PlacementScheduler::Assignment> PlacementScheduler::ChooseShort(
    ServiceState& state,
    const QueuedRequest& request,
    Time now) {
  if (auto trial = ChoosePaceTrial(state, request, now)) {
    return trial;
  }
  auto assignment = ChooseShortAmong(state, request, false, now);
  if (assignment) {
    return assignment;
  }
  const bool any_avoided =
      std::any_of(state.fill_order.begin(), state.fill_order.end(),
                  [now](const Target* it) { return IsAvoided(*it, now); });
  return any_avoided ? ChooseShortAmong(state, request, true, now)
                     : std::nullopt;
}

std::optional<PlacementScheduler::Assignment>
PlacementScheduler::ChooseShortAmong(ServiceState& state,
                                     const QueuedRequest& request,
                                     bool with_avoided,
                                     Time now) {
  const PlacementAsk& ask = request.ask;
  const double prefill_ms = PrefillMs(state.cost, ask.prompt);
  const Tokens memory = ask.prompt + ask.output;
  Target* best = nullptr;
  double best_score = 0;
  bool best_keeps_limits = false;
  // Targets at the front that may take the request or whose stated limit
  // forbids it now.
  size_t seen = 0;
  const bool is_trial =
      blame_
          .Check(ask.parts, TrialOf(request.entry, ask.number), now,
                 ask.own_mark)
          .is_trial;
  const double answer_penalty_ms =
      is_trial ? kTrialAnswerPenaltyMs : kAnswerPenaltyMs;
  for (Target* it : state.fill_order) {
    Target& target = *it;
    if (!IsAvailable(target, request, now)) {
      seen += target.states_limit && !target.rate.IsOpen(now) ? 1 : 0;
      continue;
    }
    if (IsAvoided(target, now) && !with_avoided) {
      continue;
    }
    // Engines reserved for long prompts take a short one only if all others are
    // full, have so much pending prefill that answers would stall too long, or
    // would let the prompt wait longer than kMaxShortWaitMs.
    if (seen++ >= state.short_target_count && best != nullptr &&
        best_keeps_limits && !is_trial) {
      break;
    }
    if (target.answers() >= state.cost.slots ||
        target.memory_used + memory > state.cost.memory) {
      continue;
    }
    // A crash under two suspect requests would not tell which one is to blame.
    if (is_trial && target.trials > 0) {
      continue;
    }
    const double score = target.pass_predictor.WaitMs(now) +
                         prefill_ms * target.pace +
                         TargetDecodePassMs(state, target) +
                         target.answers() * answer_penalty_ms +
                         (now < target.cold_until ? kColdPenaltyMs : 0);
    const bool keeps_limits =
        AvailablePrefillMs(state, target, now) >= prefill_ms &&
        target.pass_predictor.WaitMs(now) <= kMaxShortWaitMs;
    if (best == nullptr || std::pair(!keeps_limits, score) <
                               std::pair(!best_keeps_limits, best_score)) {
      best = &target;
      best_score = score;
      best_keeps_limits = keeps_limits;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Assignment assignment;
  assignment.target = best->description.target;
  assignment.part_prefill_ms = prefill_ms;
  assignment.expected_first_event =
      FromMs(best->pass_predictor.WaitMs(now) + prefill_ms * best->pace +
             2 * TargetDecodePassMs(state, *best));
  return assignment;
}

// The prediction assumes an even target, so that the entry tries another one
// soon if the target is still slow. A request that may crash its target is not
// used, as it would tell nothing about the pace.
std::optional<PlacementScheduler::Assignment>
PlacementScheduler::ChoosePaceTrial(const ServiceState& state,
                                    const QueuedRequest& request,
                                    Time now) {
  const PlacementAsk& ask = request.ask;
  for (const Target* it : state.fill_order) {
    const Target& target = *it;
    if (target.pace <= kEvenPace || target.prefilling > 0 ||
        !IsAvailable(target, request, now) || now < target.avoided_until ||
        !state.paces.IsTrialDue(target.description.target, now) ||
        target.answers() >= state.cost.slots ||
        target.memory_used + ask.prompt + ask.output > state.cost.memory ||
        blame_
            .Check(ask.parts, TrialOf(request.entry, ask.number), now,
                   ask.own_mark)
            .is_trial) {
      continue;
    }
    Assignment assignment;
    assignment.target = target.description.target;
    assignment.part_prefill_ms = PrefillMs(state.cost, ask.prompt);
    assignment.expected_first_event =
        FromMs(target.pass_predictor.WaitMs(now) + assignment.part_prefill_ms +
               2 * TargetDecodePassMs(state, target) / target.pace);
    assignment.is_pace_trial = true;
    return assignment;
  }
  return std::nullopt;
}

bool PlacementScheduler::FitsWithoutOtherPrefill(
    const ServiceState& state,
    const std::vector<PrefillCandidate>& candidates,
    double prefill_ms) {
  std::vector<double> rooms;
  for (const PrefillCandidate& it : candidates) {
    rooms.push_back(MaxPassPrefillMs(state, *it.target) / it.target->pace);
  }
  std::sort(rooms.begin(), rooms.end(), std::greater<>());
  const size_t most = std::min<size_t>(rooms.size(), kMaxHelpers + 1);
  for (size_t n = 1; n <= most; ++n) {
    if (rooms[n - 1] >= prefill_ms / static_cast<double>(n)) {
      return true;
    }
  }
  return false;
}

bool PlacementScheduler::ExceedsOneTarget(const ServiceState& state,
                                          const PlacementAsk& ask) {
  return ask.prompt + ask.output + kMemoryMargin > state.cost.memory;
}

std::optional<std::vector<MemoryHold>> PlacementScheduler::ChooseHolds(
    const ServiceState& state,
    const PlacementAsk& ask,
    const Target& decode_target,
    std::vector<const Target*> helpers) {
  const auto free = [&](const Target& it) {
    return state.cost.memory - it.memory_used - kMemoryMargin;
  };
  std::sort(helpers.begin(), helpers.end(),
            [](const Target* a, const Target* b) {
              return a->memory_used < b->memory_used;
            });
  Tokens unassigned =
      ask.prompt - std::max(free(decode_target) - ask.output, Tokens(0));
  std::vector<MemoryHold> holds;
  for (const Target* it : helpers) {
    if (unassigned <= Tokens(0)) {
      break;
    }
    const Tokens part = std::min(free(*it), unassigned);
    if (part < kMinHoldTokens && part < unassigned) {
      return std::nullopt;
    }
    holds.push_back({it->description.target, std::max(part, Tokens(1))});
    unassigned -= part;
  }
  if (unassigned > Tokens(0)) {
    return std::nullopt;
  }
  return holds;
}

// Packs answers of the same gap target onto few engines, which leaves the
// others free for prefill. Avoids engines on which the new answer or those in
// progress would stall for too long.
const PlacementScheduler::PrefillCandidate*
PlacementScheduler::ChooseDecodeTarget(
    const ServiceState& state,
    const PlacementAsk& ask,
    const std::vector<PrefillCandidate>& candidates,
    double part_prefill_ms) {
  // The helpers hold the part of an oversize request that exceeds the decode
  // target's memory.
  const Tokens memory = ExceedsOneTarget(state, ask)
                            ? ask.output + kMinHoldTokens
                            : ask.prompt + ask.output;
  const auto rank = [&](const PrefillCandidate& candidate) {
    const Target& it = *candidate.target;
    const bool stalls =
        candidate.wait_ms + TargetDecodePassMs(state, it) + kGapMarginMs >
        ToMs(ask.gap_target);
    const bool stalled = candidate.available_prefill_ms < part_prefill_ms;
    const bool other_kind = !it.gap_target_counts.empty() &&
                            !it.gap_target_counts.contains(ask.gap_target);
    const bool crowded = it.long_answers >= kLongAnswersPerTarget;
    return std::tuple(stalls || stalled, it.pace, it.short_answers > 0, crowded,
                      other_kind, -static_cast<int64_t>(it.long_answers),
                      it.memory_used.value());
  };
  const PrefillCandidate* decode_target = nullptr;
  for (const PrefillCandidate& it : candidates) {
    const Target& target = *it.target;
    if (target.answers() >= state.cost.slots ||
        target.memory_used + memory > state.cost.memory) {
      continue;
    }
    if (decode_target == nullptr || rank(it) < rank(*decode_target)) {
      decode_target = &it;
    }
  }
  return decode_target;
}

std::optional<PlacementScheduler::Assignment>
PlacementScheduler::SplitIntoParts(
    const ServiceState& state,
    const PlacementAsk& ask,
    const std::vector<PrefillCandidate>& candidates,
    size_t parts) {
  Assignment assignment;
  assignment.part_prefill_ms =
      PrefillMs(state.cost, ask.prompt) / static_cast<double>(parts);
  const PrefillCandidate* decode_target =
      ChooseDecodeTarget(state, ask, candidates, assignment.part_prefill_ms);
  if (decode_target == nullptr) {
    return std::nullopt;
  }
  assignment.target = decode_target->target->description.target;
  std::vector<const Target*> helpers;
  double max_part_end_ms = 0;
  const auto add = [&](const PrefillCandidate& it) {
    max_part_end_ms =
        std::max(max_part_end_ms,
                 it.wait_ms + assignment.part_prefill_ms * it.target->pace +
                     2 * TargetDecodePassMs(state, *it.target));
  };
  add(*decode_target);
  for (const PrefillCandidate& it : candidates) {
    if (&it != decode_target && assignment.helpers.size() + 1 < parts) {
      assignment.helpers.push_back(it.target->description.target);
      helpers.push_back(it.target);
      add(it);
    }
  }
  if (ExceedsOneTarget(state, ask)) {
    auto holds =
        ChooseHolds(state, ask, *decode_target->target, std::move(helpers));
    if (!holds) {
      return std::nullopt;
    }
    assignment.holds = std::move(*holds);
  }
  assignment.expected_first_event = FromMs(max_part_end_ms);
  return assignment;
}

size_t PlacementScheduler::MinPartCount(
    const std::vector<PrefillCandidate>& candidates,
    double prefill_ms) {
  double max_available_ms = 1;
  for (const PrefillCandidate& it : candidates) {
    max_available_ms = std::max(max_available_ms, it.available_prefill_ms);
  }
  return static_cast<size_t>(
      std::max(std::ceil(prefill_ms / max_available_ms), 1.0));
}

// Tries each number of parts up to the one at which a part has at most
// kMinPartPrefillMs, and more only while no split fits. Returns the split with
// the earliest first event.
std::optional<PlacementScheduler::Assignment> PlacementScheduler::Split(
    const ServiceState& state,
    const PlacementAsk& ask,
    std::vector<PrefillCandidate> candidates) {
  // A slow engine counts as one that starts later, by the further time that the
  // smallest part takes.
  const auto start_ms = [](const PrefillCandidate& it) {
    return it.wait_ms + (it.target->pace - kEvenPace) * kMinPartPrefillMs;
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const PrefillCandidate& a, const PrefillCandidate& b) {
              return std::pair(start_ms(a), -a.available_prefill_ms) <
                     std::pair(start_ms(b), -b.available_prefill_ms);
            });
  const double prefill_ms = PrefillMs(state.cost, ask.prompt);
  const size_t most = std::min<size_t>(candidates.size(), kMaxHelpers + 1);
  const auto wanted =
      std::min(static_cast<size_t>(
                   std::max(std::ceil(prefill_ms / kMinPartPrefillMs), 1.0)),
               most);
  std::optional<Assignment> best;
  for (size_t n = MinPartCount(candidates, prefill_ms); n <= most; ++n) {
    const double part_prefill_ms = prefill_ms / static_cast<double>(n);
    std::vector<PrefillCandidate> fitting = candidates;
    std::erase_if(fitting, [&](const PrefillCandidate& it) {
      return it.available_prefill_ms < part_prefill_ms;
    });
    if (fitting.size() >= n) {
      std::optional<Assignment> assignment =
          SplitIntoParts(state, ask, fitting, n);
      if (assignment && (!best || assignment->expected_first_event <
                                      best->expected_first_event)) {
        best = std::move(assignment);
      }
    }
    if (n >= wanted && best) {
      break;
    }
  }
  return best;
}

std::optional<PlacementScheduler::Assignment> PlacementScheduler::ChooseLong(
    ServiceState& state,
    const QueuedRequest& request,
    Time now) {
  const PlacementAsk& ask = request.ask;
  const bool all_avoided =
      std::all_of(state.fill_order.begin(), state.fill_order.end(),
                  [&](const Target* it) { return IsAvoided(*it, now); });
  std::vector<PrefillCandidate> all;
  size_t seen = 0;  // As in ChooseShort().
  size_t for_short = 0;
  for (Target* it : state.fill_order) {
    Target& target = *it;
    if (IsAvoided(target, now) && !all_avoided) {
      continue;
    }
    if (IsAvailable(target, request, now) &&
        target.prefilling < state.cost.slots) {
      all.push_back({&target, AvailablePrefillMs(state, target, now),
                     target.pass_predictor.WaitMs(now)});
      for_short += seen++ < state.short_target_count ? 1 : 0;
    } else if (target.states_limit && !target.rate.IsOpen(now)) {
      ++seen;
    }
  }
  if (all.empty()) {
    return std::nullopt;
  }
  const size_t skipped = std::min(for_short, all.size() - 1);
  std::vector<PrefillCandidate> apart(
      all.begin() + static_cast<std::ptrdiff_t>(skipped), all.end());
  if (auto assignment = Split(state, ask, apart)) {
    return assignment;
  }
  // Parts that are small enough to hardly delay short answers may go to any
  // target.
  for (PrefillCandidate& it : all) {
    it.available_prefill_ms -=
        it.target->short_answers > 0 ? kShortAnswerMarginMs : 0;
  }
  if (auto assignment = Split(state, ask, all)) {
    return assignment;
  }
  if (auto assignment = SplitWithStallBudget(state, ask, all)) {
    return assignment;
  }
  const double prefill_ms = PrefillMs(state.cost, ask.prompt);
  if (FitsWithoutOtherPrefill(state, apart, prefill_ms)) {
    return std::nullopt;
  }
  return SplitOverIdleTargets(state, request, std::move(apart), now);
}

// Returns the number of answers on the target that would stall beyond their gap
// target if it prefilled `part_prefill_ms` in one pass, or nullopt if one of
// them has a gap target as long as the request's or longer.
std::optional<uint32_t> PlacementScheduler::CountStalledAnswers(
    const ServiceState& state,
    const PlacementAsk& ask,
    const Target& target,
    double part_prefill_ms) {
  const double stall_ms = part_prefill_ms * target.pace +
                          TargetDecodePassMs(state, target) + kGapMarginMs;
  uint32_t stalled = 0;
  for (const auto& [gap, answers] : target.gap_target_counts) {
    if (stall_ms > ToMs(gap)) {
      if (gap >= ask.gap_target) {
        return std::nullopt;
      }
      stalled += answers;
    }
  }
  return stalled;
}

std::optional<PlacementScheduler::Assignment>
PlacementScheduler::SplitWithStallBudget(
    const ServiceState& state,
    const PlacementAsk& ask,
    std::vector<PrefillCandidate> candidates) {
  std::erase_if(candidates, [](const PrefillCandidate& it) {
    return it.target->prefilling > 0;
  });
  for (PrefillCandidate& it : candidates) {
    it.available_prefill_ms = kMaxPartPrefillMs / it.target->pace;
  }
  const double prefill_ms = PrefillMs(state.cost, ask.prompt);
  const double budget =
      static_cast<double>(ask.prompt.value()) / kTokensPerStalledAnswer;
  const size_t most = std::min<size_t>(candidates.size(), kMaxHelpers + 1);
  std::optional<Assignment> best;
  double best_cost_ms = 0;
  for (size_t parts = MinPartCount(candidates, prefill_ms); parts <= most;
       ++parts) {
    const double part_prefill_ms = prefill_ms / static_cast<double>(parts);
    std::vector<std::pair<uint32_t, const PrefillCandidate*>> by_stalled;
    for (const PrefillCandidate& it : candidates) {
      if (const auto stalled =
              CountStalledAnswers(state, ask, *it.target, part_prefill_ms)) {
        by_stalled.emplace_back(*stalled, &it);
      }
    }
    if (by_stalled.size() < parts) {
      continue;
    }
    std::sort(by_stalled.begin(), by_stalled.end());
    uint32_t stalled = 0;
    std::vector<PrefillCandidate> chosen;
    for (size_t i = 0; i < parts; ++i) {
      stalled += by_stalled[i].first;
      chosen.push_back(*by_stalled[i].second);
    }
    if (stalled > budget) {
      continue;
    }
    std::optional<Assignment> assignment =
        SplitIntoParts(state, ask, chosen, parts);
    if (!assignment) {
      continue;
    }
    const double cost_ms =
        ToMs(assignment->expected_first_event) + stalled * kStalledAnswerCostMs;
    if (!best || cost_ms < best_cost_ms) {
      best = std::move(assignment);
      best_cost_ms = cost_ms;
    }
  }
  return best;
}

// Splits the prompt over the engines that have no answers and no prefill. Used
// if even engines without other prefill would stall their answers for too long.
// Returns nullopt, to wait for more engines, if the prompt would be late now
// but still has time left.
std::optional<PlacementScheduler::Assignment>
PlacementScheduler::SplitOverIdleTargets(
    const ServiceState& state,
    const QueuedRequest& request,
    std::vector<PrefillCandidate> candidates,
    Time now) {
  const double prefill_ms = PrefillMs(state.cost, request.ask.prompt);
  const auto split =
      [&](std::vector<PrefillCandidate> chosen) -> std::optional<Assignment> {
    const size_t parts = std::min<size_t>(chosen.size(), kMaxHelpers + 1);
    if (parts == 0) {
      return std::nullopt;
    }
    const Duration part = FromMs(prefill_ms / static_cast<double>(parts));
    const bool in_time = now + part < request.first_event_by;
    if (!in_time && now < request.first_event_by) {
      return std::nullopt;
    }
    return SplitIntoParts(state, request.ask, chosen, parts);
  };
  std::erase_if(candidates, [](const PrefillCandidate& it) {
    return it.target->answers() > 0 || it.target->prefilling > 0;
  });
  return split(std::move(candidates));
}

}  // namespace burdockhatch
