#include "src/placement_scheduler.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

#include "src/engine_cost.h"
#include "src/random.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Between the end of reading and the first event.
constexpr double kFirstEventMs = 100;
// A prompt that is late already waits only behind this much reading: new ones
// that can be in time would overtake it until its caller leaves. Its own length
// does not count, or the longest would never be answered.
constexpr double kLateBacklogMs = 1'600;
// A caller leaves when the first event takes this multiple of its target.
constexpr int kPatienceTargets = 3;
// Beyond the expected first event, before an engine counts as slow: a pass and
// the way of the news.
constexpr Duration kOverdueAllowance = std::chrono::milliseconds(100);
// The deciding agent has a fifth of a core: what waits is tried at this
// interval, and long prompts only until some in a row of urgency found no
// place.
constexpr Duration kTryInterval = std::chrono::milliseconds(5);
constexpr int kMostFailedTries = 4;
// A target that failed is spared for this long, twice as long each time.
constexpr Duration kFirstSuspicion = std::chrono::seconds(1);
constexpr Duration kLongestSuspicion = std::chrono::seconds(8);
// A reply that is still under way when its entry states its work.
constexpr Duration kSnapshotDelay = std::chrono::milliseconds(500);

}  // namespace

uint64_t TargetListFingerprint(const TargetList& list) {
  // The order of the targets does not matter.
  uint64_t sum = 0;
  for (const TargetDescription& it : list.targets) {
    const uint64_t cold = it.cold_left > Duration(0) ? 1 : 0;
    sum +=
        MixHash(StableHash(it.target.value()), StableHash(it.address) + cold);
  }
  return sum;
}

// --- Events -----------------------------------------------------------------

void PlacementScheduler::SetTargets(const TargetList& list, Time now) {
  Pool& pool = pools_[list.service];
  if (list.revision < pool.revision) {
    return;
  }
  pool.revision = list.revision;
  pool.fingerprint = TargetListFingerprint(list);
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

void PlacementScheduler::RequestPlacement(const PeerId& entry,
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
  if (ask.prompt + ask.output > MostTokens(pool)) {
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

void PlacementScheduler::ApplyChange(const PeerId& entry,
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
  adopted.part_ms = PrefillMs(pool.cost, work.prompt) /
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

PlacementSnapshot PlacementScheduler::MakeSnapshot(const PeerId& entry) const {
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
// --- Work and what waits ----------------------------------------------------

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
        work.is_long ? PrefillMs(pool.cost, work.placed.prompt) : 0;
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
      work.is_long ? PrefillMs(pool.cost, work.placed.prompt) : 0;
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
    const double read_ms = PrefillMs(pool.cost, it.ask.prompt);
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
        IsLong(pool, it.waiting.ask.prompt) &&
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
    const bool is_long = IsLong(pool, it.ask.prompt);
    std::optional<Choice> choice;
    if (!is_long || failed < kMostFailedTries) {
      choice = Choose(pool, it, now);
    }
    if (choice) {
      Place(pool, it, std::move(*choice), now);
    } else {
      failed += is_long ? 1 : 0;
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
