#include "src/placement_scheduler.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>

#include <fmt/format.h>

#include "src/engine_cost.h"
#include "src/random.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

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
// Between the end of reading and the first event.
constexpr double kFirstEventMs = 100;
// A prompt that is late already waits only behind this much reading: new ones
// that can be in time would overtake it until its caller leaves. Its own length
// does not count, or the longest would never be answered.
constexpr double kLateBacklogMs = 1'200;
// A caller leaves when the first event takes this multiple of its target.
constexpr int kPatienceTargets = 3;
// Answers to long prompts that share one engine before the next one is used.
constexpr uint32_t kLongAnswersPerTarget = 10;
// Reading that one engine may have before it or be given, all passes: short
// prompts that come meanwhile find no engine to go to.
constexpr double kMostBacklogMs = 800;
// A short prompt does not wait longer while other engines could take it.
constexpr double kShortWaitMs = 90;
// Tokens of a long prompt that outweigh one answer to a short one: answers are
// worth about the square root of their prompts' lengths to the users, and few
// answers of an engine notice one pause.
constexpr double kTokensPerPausedAnswer = 100'000;
// Time to the first event that is worth one paused answer.
constexpr double kMsPerPausedAnswer = 50;
constexpr double kAnswerScoreMs = 3;
constexpr double kColdScoreMs = 200;
// Beyond the expected first event, before an engine counts as slow: a pass and
// the way of the news.
constexpr Duration kOverdueAllowance = std::chrono::milliseconds(100);
// The deciding agent has a fifth of a core: what waits is tried at this
// interval, and only until some of it in a row of urgency found no place.
constexpr Duration kTryInterval = std::chrono::milliseconds(5);
constexpr int kMostFailedTries = 4;
constexpr Duration kShareShrinkInterval = std::chrono::milliseconds(200);
constexpr Duration kFirstSuspicion = std::chrono::seconds(1);
constexpr Duration kLongestSuspicion = std::chrono::seconds(8);
constexpr Duration kSnapshotDelay = std::chrono::milliseconds(500);

Duration FromMs(double ms) {
  return Duration(static_cast<int64_t>(ms * 1e3));
}

double ToMs(Duration duration) {
  return Milliseconds(duration).count();
}

}  // namespace

uint64_t FingerprintOf(const TargetList& list) {
  // The order of the targets does not matter.
  uint64_t sum = 0;
  for (const TargetDescription& it : list.targets) {
    const uint64_t cold = it.cold_left > Duration(0) ? 1 : 0;
    sum +=
        MixHash(StableHash(it.target.value()), StableHash(it.address) + cold);
  }
  return sum;
}

bool PlacementScheduler::IsLong(const Pool& pool, Tokens prompt) {
  return ReadMs(pool.cost, prompt) > kLongReadMs;
}

double PlacementScheduler::PassMsOf(const Pool& pool, const Target& target) {
  return PassMs(pool.cost, std::max(target.answers(), 1U), target.memory_used);
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

// --- Events -----------------------------------------------------------------

void PlacementScheduler::SetTargets(const TargetList& list, Time now) {
  Pool& pool = pools_[list.service];
  if (list.revision < pool.revision) {
    return;
  }
  pool.revision = list.revision;
  pool.fingerprint = FingerprintOf(list);
  pool.cost = list.cost;
  pool.cold_requests_per_s = list.cold_requests_per_s;
  for (auto& [id, target] : pool.targets) {
    target.listed = false;
  }
  pool.order.clear();
  for (const TargetDescription& it : list.targets) {
    Target& target = pool.targets[it.target];
    target.description = it;
    target.listed = true;
    target.cold_until = now + it.cold_left;
    pool.order.push_back(&target);
  }
  std::sort(pool.order.begin(), pool.order.end(),
            [](const Target* a, const Target* b) {
              const TargetId& first = a->description.target;
              const TargetId& second = b->description.target;
              return std::pair(StableHash(first.value()), first) <
                     std::pair(StableHash(second.value()), second);
            });
  std::erase_if(pool.targets, [](const auto& it) {
    const Target& target = it.second;
    return !target.listed && target.answers() == 0 && target.reading == 0 &&
           target.memory_used == Tokens(0);
  });
  PlaceWaiting(pool, now);
}

void PlacementScheduler::Ask(const PeerId& entry,
                             const PlacementAsk& ask,
                             Time now) {
  const auto it = pools_.find(ask.service);
  PlacementReply reply;
  reply.number = ask.number;
  reply.entries = static_cast<uint32_t>(std::max<size_t>(entries_.size(), 1));
  if (it == pools_.end()) {
    reply.verdict = PlacementVerdict::kUnknownList;
    decisions_.push_back({entry, reply});
    return;
  }
  Pool& pool = it->second;
  Waiting waiting{entry, ask, now, now + ask.first_event_left,
                  now + ask.time_left};
  // An entry that doubted this scheduler asks again under the same number.
  std::erase_if(pool.waiting, [&](const Waiting& it) {
    return it.entry == entry && it.ask.number == ask.number;
  });
  const auto placed = pool.works.find({entry, ask.number});
  if (placed != pool.works.end()) {
    EndWork(pool, placed, now);
  }
  entries_.insert(entry);
  const size_t most = std::min<size_t>(pool.order.size(), kMaxHelpers + 1);
  if (most == 0 ||
      ask.prompt + ask.output >
          (pool.cost.memory - kMemoryMargin) * static_cast<int64_t>(most)) {
    Refuse(waiting, Duration(0));
    return;
  }
  if (std::optional<Choice> choice = Choose(pool, waiting, now)) {
    Place(pool, waiting, std::move(*choice), now);
    return;
  }
  reply.verdict = PlacementVerdict::kQueued;
  decisions_.push_back({entry, reply});
  pool.waiting.push_back(std::move(waiting));
}

void PlacementScheduler::Change(const PeerId& entry,
                                const PlacementChange& change,
                                Time now) {
  for (auto& [service, pool] : pools_) {
    const bool ended = change.event != PlacementEvent::kFirstEvent;
    if (ended) {
      std::erase_if(pool.waiting, [&](const Waiting& it) {
        return it.entry == entry && it.ask.number == change.number;
      });
    }
    const auto target = pool.targets.find(change.failed);
    if (target != pool.targets.end()) {
      Target& failed = target->second;
      if (change.event == PlacementEvent::kTargetReplaced) {
        // The lists of the entries still have it for a few seconds.
        failed.suspect_until = now + kLongestSuspicion;
      } else if (change.event == PlacementEvent::kTargetFailed) {
        failed.suspect_for = std::clamp(failed.suspect_for * 2, kFirstSuspicion,
                                        kLongestSuspicion);
        failed.suspect_until = now + failed.suspect_for;
      }
    }
    const auto work = pool.works.find({entry, change.number});
    if (work == pool.works.end()) {
      continue;
    }
    if (ended) {
      EndWork(pool, work, now);
    } else {
      EndReading(pool, work->second, true, now);
      pool.targets[work->second.placed.target].suspect_for = Duration(0);
    }
    PlaceWaiting(pool, now);
  }
}

void PlacementScheduler::Adopt(const PeerId& entry,
                               const PlacedWork& work,
                               Time now) {
  const auto it = pools_.find(work.service);
  if (it == pools_.end()) {
    return;
  }
  Pool& pool = it->second;
  const WorkKey key{entry, work.number};
  if (pool.works.contains(key)) {
    return;
  }
  Work adopted;
  adopted.placed = work;
  adopted.placed_at = now;
  adopted.is_long = IsLong(pool, work.prompt);
  adopted.part_ms = ReadMs(pool.cost, work.prompt) /
                    static_cast<double>(work.helpers.size() + 1);
  AddWork(pool, key, std::move(adopted), now);
}

void PlacementScheduler::Restore(const PeerId& entry,
                                 const PlacementSnapshot& snapshot,
                                 Time now) {
  entries_.insert(entry);
  std::map<uint64_t, const PlacedWork*> stated;
  for (const PlacedWork& it : snapshot.works) {
    stated[it.number] = &it;
    Adopt(entry, it, now);
  }
  for (auto& [service, pool] : pools_) {
    for (auto it = pool.works.begin(); it != pool.works.end();) {
      const auto work = it++;
      const bool settled = now - work->second.placed_at > kSnapshotDelay;
      if (work->first.first == entry && settled &&
          !stated.contains(work->first.second)) {
        EndWork(pool, work, now);
      }
    }
    PlaceWaiting(pool, now);
  }
}

void PlacementScheduler::ForgetEntry(const PeerId& entry, Time now) {
  entries_.erase(entry);
  for (auto& [service, pool] : pools_) {
    std::erase_if(pool.waiting,
                  [&](const Waiting& it) { return it.entry == entry; });
    for (auto it = pool.works.begin(); it != pool.works.end();) {
      const auto work = it++;
      if (work->first.first == entry) {
        EndWork(pool, work, now);
      }
    }
    PlaceWaiting(pool, now);
  }
}

void PlacementScheduler::Tick(Time now) {
  for (auto& [service, pool] : pools_) {
    PlaceWaiting(pool, now);
  }
}

bool PlacementScheduler::HasWaiting() const {
  return std::any_of(pools_.begin(), pools_.end(),
                     [](const auto& it) { return !it.second.waiting.empty(); });
}

std::vector<PlacementScheduler::Decision> PlacementScheduler::TakeDecisions() {
  return std::exchange(decisions_, {});
}

PlacementSnapshot PlacementScheduler::SnapshotOf(const PeerId& entry) const {
  PlacementSnapshot snapshot;
  for (const auto& [service, pool] : pools_) {
    for (const auto& [key, work] : pool.works) {
      if (key.first == entry) {
        snapshot.works.push_back(work.placed);
      }
    }
  }
  return snapshot;
}

// --- Decisions --------------------------------------------------------------

double PlacementScheduler::LongReadMs(const Pool& pool) {
  double read_ms = pool.long_reading_ms;
  for (const Waiting& it : pool.waiting) {
    if (IsLong(pool, it.ask.prompt)) {
      read_ms += ReadMs(pool.cost, it.ask.prompt);
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
  const double own_ms = is_long ? ReadMs(pool.cost, waiting.ask.prompt) : 0;
  UpdateShortShare(pool, LongReadMs(pool) + own_ms, now);
  return is_long ? ChooseLong(pool, waiting, now)
                 : ChooseShort(pool, waiting, now);
}

std::optional<PlacementScheduler::Choice>
PlacementScheduler::ChooseShort(Pool& pool, const Waiting& waiting, Time now) {
  const PlacementAsk& ask = waiting.ask;
  const double read_ms = ReadMs(pool.cost, ask.prompt);
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
  choice.part_ms = ReadMs(pool.cost, ask.prompt) / static_cast<double>(parts);
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
  const double read_ms = ReadMs(pool.cost, ask.prompt);
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
  const double read_ms = ReadMs(pool.cost, ask.prompt);
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
  const double read_ms = ReadMs(pool.cost, ask.prompt);
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
  const double read_ms = ReadMs(pool.cost, waiting.ask.prompt);
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

void PlacementScheduler::Place(Pool& pool,
                               const Waiting& waiting,
                               Choice choice,
                               Time now) {
  const PlacementAsk& ask = waiting.ask;
  Work work;
  work.placed = {ask.number,     ask.service,    choice.target,
                 choice.helpers, choice.holds,   ask.prompt,
                 ask.output,     ask.gap_target, true};
  work.placed_at = now;
  work.expected_first_event = choice.expected_first_event;
  work.part_ms = choice.part_ms;
  work.is_long = IsLong(pool, ask.prompt);
  AddWork(pool, {waiting.entry, ask.number}, std::move(work), now);

  PlacementReply reply;
  reply.number = ask.number;
  reply.verdict = PlacementVerdict::kPlaced;
  reply.target = std::move(choice.target);
  reply.helpers = std::move(choice.helpers);
  reply.holds = std::move(choice.holds);
  reply.expected_first_event = choice.expected_first_event;
  reply.entries = static_cast<uint32_t>(std::max<size_t>(entries_.size(), 1));
  reply.list_fingerprint = pool.fingerprint;
  decisions_.push_back({waiting.entry, std::move(reply)});
}

void PlacementScheduler::AddWork(Pool& pool,
                                 const WorkKey& key,
                                 Work work,
                                 Time now) {
  Target& target = pool.targets[work.placed.target];
  ++(work.is_long ? target.long_answers : target.short_answers);
  ++(work.is_long ? pool.long_works : pool.short_works);
  target.memory_used += work.placed.prompt + work.placed.output;
  for (const MemoryHold& it : work.placed.holds) {
    target.memory_used -= it.tokens;
    pool.targets[it.target].memory_used += it.tokens;
  }
  ++target.gap_targets[work.placed.gap_target];
  if (now < target.cold_until && pool.cold_requests_per_s > 0) {
    target.next_cold_request =
        now + FromMs(1e3 / (pool.cold_requests_per_s * cold_share_));
  }
  work.serial = next_serial_++;
  target.writing += work.placed.reading ? 0 : 1;
  if (work.placed.reading) {
    const Time due = now + work.expected_first_event + kOverdueAllowance;
    pool.long_reading_ms +=
        work.is_long ? ReadMs(pool.cost, work.placed.prompt) : 0;
    const auto read = [&](const TargetId& id) {
      Target& reader = pool.targets[id];
      ++reader.reading;
      reader.passes.Add({work.serial, work.part_ms, due},
                        PassMsOf(pool, reader), now);
    };
    read(work.placed.target);
    for (const TargetId& it : work.placed.helpers) {
      read(it);
    }
  }
  pool.works[key] = std::move(work);
}

void PlacementScheduler::EndReading(Pool& pool,
                                    Work& work,
                                    bool was_read,
                                    Time now) {
  if (!work.placed.reading) {
    return;
  }
  work.placed.reading = false;
  ++pool.targets[work.placed.target].writing;
  pool.long_reading_ms -=
      work.is_long ? ReadMs(pool.cost, work.placed.prompt) : 0;
  const auto end = [&](const TargetId& id) {
    Target& reader = pool.targets[id];
    --reader.reading;
    if (was_read) {
      reader.passes.Finish(work.serial, now);
    } else {
      reader.passes.Cancel(work.serial, now);
    }
  };
  end(work.placed.target);
  for (const TargetId& it : work.placed.helpers) {
    end(it);
  }
}

void PlacementScheduler::EndWork(Pool& pool,
                                 std::map<WorkKey, Work>::iterator work,
                                 Time now) {
  EndReading(pool, work->second, false, now);
  const PlacedWork& placed = work->second.placed;
  Target& target = pool.targets[placed.target];
  --(work->second.is_long ? target.long_answers : target.short_answers);
  --(work->second.is_long ? pool.long_works : pool.short_works);
  --target.writing;
  target.memory_used -= placed.prompt + placed.output;
  for (const MemoryHold& it : placed.holds) {
    target.memory_used += it.tokens;
    pool.targets[it.target].memory_used -= it.tokens;
  }
  const auto gap = target.gap_targets.find(placed.gap_target);
  if (--gap->second == 0) {
    target.gap_targets.erase(gap);
  }
  pool.works.erase(work);
}

void PlacementScheduler::Refuse(const Waiting& waiting, Duration retry_after) {
  PlacementReply reply;
  reply.number = waiting.ask.number;
  reply.verdict = PlacementVerdict::kRefused;
  reply.retry_after = retry_after;
  decisions_.push_back({waiting.entry, std::move(reply)});
}

// Moore and Hodgson's rule keeps the most requests in time: in the order of
// their due times, whenever one would be late, the one that reads longest is
// given up, as the others gain most. What is late keeps the order of arrival.
void PlacementScheduler::SortWaiting(Pool& pool, Time now) {
  struct Job {
    Waiting waiting;
    double read_ms = 0;
  };
  std::vector<Job> jobs;
  for (Waiting& it : pool.waiting) {
    const double read_ms = ReadMs(pool.cost, it.ask.prompt);
    jobs.push_back({std::move(it), read_ms});
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const Job& a, const Job& b) {
    return a.waiting.first_event_by < b.waiting.first_event_by;
  });
  const double engines =
      std::max<double>(static_cast<double>(pool.order.size()) -
                           static_cast<double>(pool.short_share),
                       1);
  double busy_ms = pool.long_reading_ms / engines;
  std::vector<Job> in_time;
  std::vector<Job> late;
  for (Job& it : jobs) {
    const double left_ms = ToMs(it.waiting.first_event_by - now);
    busy_ms += it.read_ms / engines;
    in_time.push_back(std::move(it));
    if (busy_ms + kFirstEventMs > left_ms) {
      const auto longest = std::max_element(
          in_time.begin(), in_time.end(),
          [](const Job& a, const Job& b) { return a.read_ms < b.read_ms; });
      busy_ms -= longest->read_ms / engines;
      late.push_back(std::move(*longest));
      in_time.erase(longest);
    }
  }
  std::stable_sort(late.begin(), late.end(), [](const Job& a, const Job& b) {
    return a.waiting.asked_at < b.waiting.asked_at;
  });
  // What comes so late that its caller will have left gives its place up now.
  std::erase_if(late, [&](const Job& it) {
    const double end_ms = busy_ms + it.read_ms / engines + kFirstEventMs;
    const Duration target = it.waiting.first_event_by - it.waiting.asked_at;
    const Time last = it.waiting.asked_at + target * kPatienceTargets;
    const bool hopeless =
        it.read_ms > kLongReadMs &&
        (now + FromMs(end_ms) > last || busy_ms > kLateBacklogMs);
    if (hopeless) {
      Refuse(it.waiting, FromMs(end_ms / 2));
    } else {
      busy_ms += it.read_ms / engines;
    }
    return hopeless;
  });
  pool.waiting.clear();
  for (std::vector<Job>* list : {&in_time, &late}) {
    for (Job& it : *list) {
      pool.waiting.push_back(std::move(it.waiting));
    }
  }
}

void PlacementScheduler::PlaceWaiting(Pool& pool, Time now) {
  if (pool.waiting.empty() || now < pool.next_try) {
    return;
  }
  pool.next_try = now + kTryInterval;
  SortWaiting(pool, now);
  std::vector<Waiting> waiting = std::exchange(pool.waiting, {});
  std::vector<Waiting> left;
  int failed = 0;
  for (Waiting& it : waiting) {
    if (now >= it.give_up_at) {
      Refuse(it, Duration(0));
      continue;
    }
    std::optional<Choice> choice;
    if (failed < kMostFailedTries) {
      choice = Choose(pool, it, now);
    }
    if (choice) {
      Place(pool, it, std::move(*choice), now);
    } else {
      ++failed;
      left.push_back(std::move(it));
    }
  }
  pool.waiting = std::move(left);
}

std::string PlacementScheduler::Dump(Time now) const {
  std::string text = "{";
  for (const auto& [service, pool] : pools_) {
    fmt::format_to(
        std::back_inserter(text),
        "{}\"{}\":{{\"short\":{},\"long\":{},\"waiting\":{},"
        "\"short_targets\":{},\"first_waiting_tokens\":{},"
        "\"targets\":[",
        text.size() > 1 ? "," : "", service.value(), pool.short_works,
        pool.long_works, pool.waiting.size(), pool.short_share,
        pool.waiting.empty() ? 0 : pool.waiting.front().ask.prompt.value());
    bool first = true;
    for (const Target* target : pool.order) {
      const Target& it = *target;
      fmt::format_to(std::back_inserter(text),
                     "{}{{\"target\":\"{}\",\"short\":{},\"long\":{},"
                     "\"backlog_ms\":{:.0f},\"memory\":{},"
                     "\"suspect_ms\":{:.0f}}}",
                     first ? "" : ",", it.description.target.value(),
                     it.short_answers, it.long_answers, it.passes.WaitMs(now),
                     it.memory_used.value(),
                     ToMs(std::max(it.suspect_until - now, Duration(0))));
      first = false;
    }
    text += "]}";
  }
  return text + "}";
}

}  // namespace burdockhatch
