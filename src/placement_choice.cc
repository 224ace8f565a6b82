// Which engines read a prompt and write its answer.
#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "src/engine_cost.h"
#include "src/placement_scheduler.h"

namespace burdockhatch {

namespace {

// Prompts that take longer to read pause the answers of an engine for longer
// than the shortest gap target of the platforms (200 ms) allows beside a pass.
constexpr double kLongReadMs = 130;
// Short answers on one engine: enough to leave most engines to long prompts,
// few enough that two prompts seldom share a pass.
constexpr uint32_t kShortAnswersPerTarget = 9;
// The same while long prompts need the engines more.
constexpr uint32_t kShortAnswersWhenCrowded = 13;
// Reading of long prompts for which one engine is set apart.
constexpr double kLongReadPerTargetMs = 700;
// Reading of a long prompt that one engine does, at the least.
constexpr double kMinPartMs = 50;
// Kept free on each engine that shares an oversize prompt, as the answers'
// lengths are estimates.
constexpr Tokens kMemoryMargin{10'000};
// A helper with less free memory is not worth an order.
constexpr Tokens kLeastHold{20'000};
// Kept free on engines with short answers, for the short prompts to come.
constexpr double kSharedMarginMs = 30;
// Kept free between a pause by estimate and the gap target.
constexpr double kGapMarginMs = 25;
// Reading that an engine without answers may have before it.
constexpr double kIdleReadRoomMs = 1'000;
// Answers to long prompts that share one engine before the next one is used.
constexpr uint32_t kLongAnswersPerTarget = 10;
// Reading that one engine may have before it or be given, all passes: short
// prompts that come meanwhile find no engine to go to.
constexpr double kMostBacklogMs = 800;
// A short prompt does not wait longer while other engines could take it.
constexpr double kShortWaitMs = 90;
// A long prompt may pause one answer for each of this many of its tokens. One
// for each 25,000 gains less for long prompts than it costs the paused answers.
constexpr double kTokensPerPausedAnswer = 100'000;
// Time to the first event that is worth one paused answer.
constexpr double kMsPerPausedAnswer = 50;
// What an answer in progress, or a cold engine, counts when a short prompt
// chooses.
constexpr double kAnswerScoreMs = 3;
constexpr double kColdScoreMs = 200;
constexpr Duration kShareShrinkInterval = std::chrono::milliseconds(200);

}  // namespace

bool PlacementScheduler::IsLong(const Pool& pool, Tokens prompt) {
  return PrefillMs(pool.cost, prompt) > kLongReadMs;
}

double PlacementScheduler::PassMsOf(const Pool& pool, const Target& target) {
  return DecodePassMs(pool.cost, std::max(target.answers(), 1U),
                      target.memory_used);
}

double PlacementScheduler::FullRoomMs(const Pool& pool, const Target& target) {
  if (target.gap_targets.empty()) {
    return kIdleReadRoomMs;
  }
  const double gap = ToMs(target.gap_targets.begin()->first);
  return gap - PassMsOf(pool, target) - kGapMarginMs;
}

double PlacementScheduler::ReadRoomMs(const Pool& pool,
                                      const Target& target,
                                      Time now) {
  // Passes are long only while an answer is written. Otherwise a part that is
  // added is read at once, ahead of the prompts that the engine has begun.
  const double wait = target.passes.WaitMs(now);
  const double taken = target.writing == 0 ? wait : target.passes.SharedMs(now);
  return std::min(FullRoomMs(pool, target) - taken, kMostBacklogMs - wait);
}

bool PlacementScheduler::IsAvailable(const Target& target,
                                     const PlacementAsk& ask,
                                     Time now) const {
  return target.listed && now >= target.suspect_until &&
         now >= target.next_cold_request &&
         std::find(ask.excluded.begin(), ask.excluded.end(),
                   target.description.target) == ask.excluded.end();
}
Tokens PlacementScheduler::MostTokens(const Pool& pool) {
  const size_t most = std::min<size_t>(pool.order.size(), kMaxHelpers + 1);
  return (pool.cost.memory - kMemoryMargin) * static_cast<int64_t>(most);
}

double PlacementScheduler::LongReadMs(const Pool& pool) {
  double read_ms = pool.long_reading_ms;
  for (const Waiting& it : pool.waiting) {
    if (IsLong(pool, it.ask.prompt)) {
      read_ms += PrefillMs(pool.cost, it.ask.prompt);
    }
  }
  return read_ms;
}

// Short answers take as many targets as they comfortably need, and fewer when
// long prompts need them more.
void PlacementScheduler::UpdateShortShare(Pool& pool,
                                          double long_read_ms,
                                          Time now) {
  const auto targets_for = [&](uint32_t per_target) -> size_t {
    const uint32_t most = std::max(pool.cost.slots, 1U);
    const uint32_t per = std::min(per_target, most);
    return (pool.short_works + per) / per;
  };
  const size_t all = std::max<size_t>(pool.order.size(), 1);
  const auto for_long =
      static_cast<size_t>(std::ceil(long_read_ms / kLongReadPerTargetMs));
  const size_t least = std::min(targets_for(kShortAnswersWhenCrowded), all);
  const size_t most = all - std::min(for_long, all - 1);
  const size_t needed =
      std::max(std::min(targets_for(kShortAnswersPerTarget), most), least);
  if (needed >= pool.short_share) {
    pool.short_share = needed;
    pool.shrink_at = now + kShareShrinkInterval;
  } else if (long_read_ms > 0) {
    // Long prompts wait for these targets to finish their short answers.
    pool.short_share = needed;
  } else if (now >= pool.shrink_at) {
    --pool.short_share;
    pool.shrink_at = now + kShareShrinkInterval;
  }
}

std::optional<PlacementScheduler::Choice>
PlacementScheduler::Choose(Pool& pool, const Waiting& waiting, Time now) {
  const bool is_long = IsLong(pool, waiting.ask.prompt);
  const double own_ms = is_long ? PrefillMs(pool.cost, waiting.ask.prompt) : 0;
  UpdateShortShare(pool, LongReadMs(pool) + own_ms, now);
  return is_long ? ChooseLong(pool, waiting, now)
                 : ChooseShort(pool, waiting, now);
}

std::optional<PlacementScheduler::Choice>
PlacementScheduler::ChooseShort(Pool& pool, const Waiting& waiting, Time now) {
  const PlacementAsk& ask = waiting.ask;
  const double read_ms = PrefillMs(pool.cost, ask.prompt);
  const Tokens memory = ask.prompt + ask.output;
  Target* best = nullptr;
  double best_score = 0;
  bool best_spares = false;
  size_t seen = 0;
  for (Target* it : pool.order) {
    Target& target = *it;
    if (!IsAvailable(target, ask, now)) {
      continue;
    }
    // Engines of long prompts serve a short one only when the others are full,
    // or read so much that their answers would pause for too long.
    if (seen++ >= pool.short_share && best != nullptr && best_spares) {
      break;
    }
    if (target.answers() >= pool.cost.slots ||
        target.memory_used + memory > pool.cost.memory) {
      continue;
    }
    const double score = target.passes.WaitMs(now) + read_ms +
                         PassMsOf(pool, target) +
                         target.answers() * kAnswerScoreMs +
                         (now < target.cold_until ? kColdScoreMs : 0);
    const bool spares = ReadRoomMs(pool, target, now) >= read_ms &&
                        target.passes.WaitMs(now) <= kShortWaitMs;
    if (best == nullptr ||
        std::pair(!spares, score) < std::pair(!best_spares, best_score)) {
      best = &target;
      best_score = score;
      best_spares = spares;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Choice choice;
  choice.target = best->description.target;
  choice.part_ms = read_ms;
  choice.expected_first_event =
      FromMs(best->passes.WaitMs(now) + read_ms + 2 * PassMsOf(pool, *best));
  return choice;
}

bool PlacementScheduler::FitsWhenIdle(const Pool& pool,
                                      const std::vector<Candidate>& candidates,
                                      double read_ms) {
  std::vector<double> rooms;
  for (const Candidate& it : candidates) {
    rooms.push_back(FullRoomMs(pool, *it.target));
  }
  std::sort(rooms.begin(), rooms.end(), std::greater<>());
  const size_t most = std::min<size_t>(rooms.size(), kMaxHelpers + 1);
  for (size_t n = 1; n <= most; ++n) {
    if (rooms[n - 1] >= read_ms / static_cast<double>(n)) {
      return true;
    }
  }
  return false;
}

bool PlacementScheduler::IsOversize(const Pool& pool, const PlacementAsk& ask) {
  return ask.prompt + ask.output + kMemoryMargin > pool.cost.memory;
}

std::optional<std::vector<MemoryHold>> PlacementScheduler::ChooseHolds(
    const Pool& pool,
    const PlacementAsk& ask,
    const Target& writer,
    std::vector<const Target*> helpers) {
  const auto free = [&](const Target& it) {
    return pool.cost.memory - it.memory_used - kMemoryMargin;
  };
  std::sort(helpers.begin(), helpers.end(),
            [](const Target* a, const Target* b) {
              return a->memory_used < b->memory_used;
            });
  Tokens missing = ask.prompt - std::max(free(writer) - ask.output, Tokens(0));
  std::vector<MemoryHold> holds;
  for (const Target* it : helpers) {
    if (missing <= Tokens(0)) {
      break;
    }
    const Tokens part = std::min(free(*it), missing);
    if (part < kLeastHold && part < missing) {
      return std::nullopt;
    }
    holds.push_back({it->description.target, std::max(part, Tokens(1))});
    missing -= part;
  }
  if (missing > Tokens(0)) {
    return std::nullopt;
  }
  return holds;
}

// Answers of one kind share few targets, which leaves the others free to read:
// neither the new answer nor those in progress are to be paused for long.
const PlacementScheduler::Candidate* PlacementScheduler::ChooseWriter(
    const Pool& pool,
    const PlacementAsk& ask,
    const std::vector<Candidate>& candidates,
    double part_ms) {
  // Helpers keep what an oversize prompt needs beyond the writer's memory.
  const Tokens memory =
      IsOversize(pool, ask) ? ask.output + kLeastHold : ask.prompt + ask.output;
  const auto rank = [&](const Candidate& candidate) {
    const Target& it = *candidate.target;
    const bool pauses = candidate.wait_ms + PassMsOf(pool, it) + kGapMarginMs >
                        ToMs(ask.gap_target);
    const bool paused = candidate.room_ms < part_ms;
    const bool other_kind =
        !it.gap_targets.empty() && !it.gap_targets.contains(ask.gap_target);
    const bool crowded = it.long_answers >= kLongAnswersPerTarget;
    return std::tuple(pauses || paused, it.short_answers > 0, crowded,
                      other_kind, -static_cast<int64_t>(it.long_answers),
                      it.memory_used.value());
  };
  const Candidate* writer = nullptr;
  for (const Candidate& it : candidates) {
    const Target& target = *it.target;
    if (target.answers() >= pool.cost.slots ||
        target.memory_used + memory > pool.cost.memory) {
      continue;
    }
    if (writer == nullptr || rank(it) < rank(*writer)) {
      writer = &it;
    }
  }
  return writer;
}

std::optional<PlacementScheduler::Choice> PlacementScheduler::SplitInto(
    const Pool& pool,
    const PlacementAsk& ask,
    const std::vector<Candidate>& candidates,
    size_t parts) {
  Choice choice;
  choice.part_ms =
      PrefillMs(pool.cost, ask.prompt) / static_cast<double>(parts);
  const Candidate* writer = ChooseWriter(pool, ask, candidates, choice.part_ms);
  if (writer == nullptr) {
    return std::nullopt;
  }
  choice.target = writer->target->description.target;
  std::vector<const Target*> helpers;
  double slowest_ms = 0;
  const auto add = [&](const Candidate& it) {
    slowest_ms = std::max(slowest_ms, it.wait_ms + choice.part_ms +
                                          2 * PassMsOf(pool, *it.target));
  };
  add(*writer);
  for (const Candidate& it : candidates) {
    if (&it != writer && choice.helpers.size() + 1 < parts) {
      choice.helpers.push_back(it.target->description.target);
      helpers.push_back(it.target);
      add(it);
    }
  }
  if (IsOversize(pool, ask)) {
    auto holds = ChooseHolds(pool, ask, *writer->target, std::move(helpers));
    if (!holds) {
      return std::nullopt;
    }
    choice.holds = std::move(*holds);
  }
  choice.expected_first_event = FromMs(slowest_ms);
  return choice;
}

size_t PlacementScheduler::LeastParts(const std::vector<Candidate>& candidates,
                                      double read_ms) {
  double most_room_ms = 1;
  for (const Candidate& it : candidates) {
    most_room_ms = std::max(most_room_ms, it.room_ms);
  }
  return static_cast<size_t>(std::max(std::ceil(read_ms / most_room_ms), 1.0));
}

// Tries each number of parts up to those of the least useful size, and more
// only while nothing fits; takes the one that ends first.
std::optional<PlacementScheduler::Choice> PlacementScheduler::Split(
    const Pool& pool,
    const PlacementAsk& ask,
    std::vector<Candidate> candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [&](const Candidate& a, const Candidate& b) {
              return std::pair(a.wait_ms, -a.room_ms) <
                     std::pair(b.wait_ms, -b.room_ms);
            });
  const double read_ms = PrefillMs(pool.cost, ask.prompt);
  const size_t most = std::min<size_t>(candidates.size(), kMaxHelpers + 1);
  const auto wanted = std::min(
      static_cast<size_t>(std::max(std::ceil(read_ms / kMinPartMs), 1.0)),
      most);
  std::optional<Choice> best;
  for (size_t n = LeastParts(candidates, read_ms); n <= most; ++n) {
    const double part_ms = read_ms / static_cast<double>(n);
    std::vector<Candidate> fitting = candidates;
    std::erase_if(fitting,
                  [&](const Candidate& it) { return it.room_ms < part_ms; });
    if (fitting.size() >= n) {
      std::optional<Choice> choice = SplitInto(pool, ask, fitting, n);
      if (choice && (!best || choice->expected_first_event <
                                  best->expected_first_event)) {
        best = std::move(choice);
      }
    }
    if (n >= wanted && best) {
      break;
    }
  }
  return best;
}

std::optional<PlacementScheduler::Choice>
PlacementScheduler::ChooseLong(Pool& pool, const Waiting& waiting, Time now) {
  const PlacementAsk& ask = waiting.ask;
  std::vector<Candidate> all;
  for (Target* it : pool.order) {
    Target& target = *it;
    if (IsAvailable(target, ask, now) && target.reading < pool.cost.slots) {
      all.push_back(
          {&target, ReadRoomMs(pool, target, now), target.passes.WaitMs(now)});
    }
  }
  if (all.empty()) {
    return std::nullopt;
  }
  const size_t skipped = std::min(pool.short_share, all.size() - 1);
  std::vector<Candidate> apart(
      all.begin() + static_cast<std::ptrdiff_t>(skipped), all.end());
  if (auto choice = Split(pool, ask, apart)) {
    return choice;
  }
  // Parts so small that they hardly delay short answers go anywhere.
  for (Candidate& it : all) {
    it.room_ms -= it.target->short_answers > 0 ? kSharedMarginMs : 0;
  }
  if (auto choice = Split(pool, ask, all)) {
    return choice;
  }
  if (auto choice = SplitPausingFew(pool, ask, all)) {
    return choice;
  }
  const double read_ms = PrefillMs(pool.cost, ask.prompt);
  if (FitsWhenIdle(pool, apart, read_ms)) {
    return std::nullopt;
  }
  return ChooseAgainstPauses(pool, waiting, std::move(apart), now);
}

// Answers of the target that would pause for too long if it read `part_ms` in
// one pass; nullopt when others than those of a shorter gap target would.
std::optional<uint32_t> PlacementScheduler::AnswersPaused(
    const Pool& pool,
    const PlacementAsk& ask,
    const Target& target,
    double part_ms) {
  const double pause_ms = part_ms + PassMsOf(pool, target) + kGapMarginMs;
  uint32_t paused = 0;
  for (const auto& [gap, answers] : target.gap_targets) {
    if (pause_ms > ToMs(gap)) {
      if (gap >= ask.gap_target) {
        return std::nullopt;
      }
      paused += answers;
    }
  }
  return paused;
}

std::optional<PlacementScheduler::Choice> PlacementScheduler::SplitPausingFew(
    const Pool& pool,
    const PlacementAsk& ask,
    std::vector<Candidate> candidates) {
  std::erase_if(candidates,
                [](const Candidate& it) { return it.target->reading > 0; });
  for (Candidate& it : candidates) {
    it.room_ms = kIdleReadRoomMs;
  }
  const double read_ms = PrefillMs(pool.cost, ask.prompt);
  const double budget =
      static_cast<double>(ask.prompt.value()) / kTokensPerPausedAnswer;
  const size_t most = std::min<size_t>(candidates.size(), kMaxHelpers + 1);
  std::optional<Choice> best;
  double best_cost_ms = 0;
  for (size_t parts = LeastParts(candidates, read_ms); parts <= most; ++parts) {
    const double part_ms = read_ms / static_cast<double>(parts);
    std::vector<std::pair<uint32_t, const Candidate*>> by_paused;
    for (const Candidate& it : candidates) {
      if (const auto paused = AnswersPaused(pool, ask, *it.target, part_ms)) {
        by_paused.emplace_back(*paused, &it);
      }
    }
    if (by_paused.size() < parts) {
      continue;
    }
    std::sort(by_paused.begin(), by_paused.end());
    uint32_t paused = 0;
    std::vector<Candidate> chosen;
    for (size_t i = 0; i < parts; ++i) {
      paused += by_paused[i].first;
      chosen.push_back(*by_paused[i].second);
    }
    if (paused > budget) {
      continue;
    }
    std::optional<Choice> choice = SplitInto(pool, ask, chosen, parts);
    if (!choice) {
      continue;
    }
    const double cost_ms =
        ToMs(choice->expected_first_event) + paused * kMsPerPausedAnswer;
    if (!best || cost_ms < best_cost_ms) {
      best = std::move(choice);
      best_cost_ms = cost_ms;
    }
  }
  return best;
}

// Even idle engines would pause their answers for too long. Those that write
// none take the prompt together, unless it is then late and others may be free
// in time; those that write answers to long prompts come last.
std::optional<PlacementScheduler::Choice>
PlacementScheduler::ChooseAgainstPauses(const Pool& pool,
                                        const Waiting& waiting,
                                        std::vector<Candidate> candidates,
                                        Time now) {
  const double read_ms = PrefillMs(pool.cost, waiting.ask.prompt);
  const auto split =
      [&](std::vector<Candidate> chosen) -> std::optional<Choice> {
    const size_t parts = std::min<size_t>(chosen.size(), kMaxHelpers + 1);
    if (parts == 0) {
      return std::nullopt;
    }
    const Duration part = FromMs(read_ms / static_cast<double>(parts));
    const bool in_time = now + part < waiting.first_event_by;
    if (!in_time && now < waiting.first_event_by) {
      return std::nullopt;
    }
    return SplitInto(pool, waiting.ask, chosen, parts);
  };
  std::erase_if(candidates, [](const Candidate& it) {
    return it.target->answers() > 0 || it.target->reading > 0;
  });
  return split(std::move(candidates));
}

}  // namespace burdockhatch
