#include "src/placement_scheduler.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

#include "src/engine_cost.h"
#include "src/log.h"
#include "src/random.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Time after the expected first event until an engine counts as slow: one pass
// and the delay of the notification.
constexpr Duration kOverdueAllowance = std::chrono::milliseconds(100);
// Minimum time between two attempts to place the queued requests, which any
// event may trigger. The placing agent has only a fifth of a core.
constexpr Duration kPlacementAttemptInterval = std::chrono::milliseconds(5);
// Weight of the newest answer in the average time of short answers.
constexpr double kNewAnswerWeight = 0.05;
// Long prompts that may fail to be placed per attempt, in queue order; the
// others are not tried. Limits the CPU time of an attempt.
constexpr int kMaxFailedLongPlacements = 4;
// The same for each priority if there are several, so that urgent prompts
// without room do not keep others from being tried.
constexpr int kMaxFailedPerPriority = 2;
// Waiting requests that a dump lists, in queue order.
constexpr size_t kMaxDumpedRequests = 20;
// A failed target gets no work for this long, doubled by each further failure.
constexpr Duration kInitialSuspectTime = std::chrono::seconds(1);
constexpr Duration kMaxSuspectTime = std::chrono::seconds(8);
// A target that has turned a request away is avoided for this long, doubled by
// each further refusal and halved by each answer.
constexpr Duration kInitialAvoidedTime = std::chrono::milliseconds(250);
constexpr Duration kMaxAvoidedTime = std::chrono::seconds(4);
// A snapshot may miss requests placed within this time, as their replies may
// still be in flight.
constexpr Duration kSnapshotDelay = std::chrono::milliseconds(500);
// A target that breaks off answers within this time after a request has ended
// may have crashed because of it: one engine pass and the delay of the report.
constexpr Duration kLeftRequestWindow = std::chrono::milliseconds(300);
constexpr size_t kMaxLeftRequests = 8;
// Interval at which requests without a first event are looked at. Finds a
// target that has stopped answering within a second.
constexpr Duration kPaceUpdateInterval = std::chrono::milliseconds(100);
// A first event is late after twice its expected time and this allowance for
// the messages between the entry and the leader.
constexpr Duration kLateFirstEventAllowance = std::chrono::milliseconds(50);
// Least share of the expected time to the first event that a part of a split
// prompt takes if the first event is to tell anything about its target.
constexpr double kMinPartShare = 0.75;

bool IsTargetFailure(PlacementEvent event) {
  return event == PlacementEvent::kTargetFailed ||
         event == PlacementEvent::kTargetSilent ||
         event == PlacementEvent::kBrokenUnanswered ||
         event == PlacementEvent::kBrokenAtStart ||
         event == PlacementEvent::kBrokenAfterStart;
}

}  // namespace

uint64_t TargetListFingerprint(const TargetList& list) {
  // The sum does not depend on the order of the targets.
  uint64_t sum = 0;
  for (const TargetDescription& it : list.targets) {
    const uint64_t cold = it.cold_left > Duration(0) ? 1 : 0;
    sum += MixHash(StableHash(it.target.value()),
                   StableHash(it.address) + cold + 2 * it.started_at);
  }
  return sum;
}

// --- Events -----------------------------------------------------------------

void PlacementScheduler::SetTargets(const TargetList& list, Time now) {
  ServiceState& state = services_[list.service];
  if (list.epoch < state.epoch ||
      (list.epoch == state.epoch && list.revision < state.revision)) {
    return;
  }
  if (list.epoch != state.epoch && !state.targets.empty()) {
    Log(LogLevel::kInfo, "target_list_epoch_changed",
        {{"service", list.service.value()},
         {"from", std::to_string(state.epoch.value())},
         {"to", std::to_string(list.epoch.value())}});
  }
  state.revision = list.revision;
  state.epoch = list.epoch;
  state.fingerprint = TargetListFingerprint(list);
  state.cost = list.cost;
  state.cold_requests_per_s = list.cold_requests_per_s;
  for (auto& [id, target] : state.targets) {
    target.listed = false;
  }
  state.fill_order.clear();
  for (const TargetDescription& it : list.targets) {
    Target& target = state.targets[it.target];
    if (target.description.started_at != it.started_at) {
      target.back_offs.clear();
      target.has_answered = false;
      target.is_doubted = false;
    }
    target.description = it;
    target.listed = true;
    target.cold_until = now + it.cold_left;
    UpdateRate(state, target, now);
    state.fill_order.push_back(&target);
  }
  SortFillOrder(state);
  std::erase_if(state.targets, [](const auto& it) {
    const Target& target = it.second;
    return !target.listed && target.answers() == 0 && target.prefilling == 0 &&
           target.memory_used == Tokens(0);
  });
  PlaceQueued(state, now);
}

// --- Requests ----------------------------------------------------------------

void PlacementScheduler::RequestPlacement(const PeerId& entry,
                                          const PlacementAsk& ask,
                                          Time now) {
  const auto it = services_.find(ask.service);
  if (it == services_.end()) {
    decisions_.push_back(
        {entry, MakeReply(ask.number, PlacementVerdict::kUnknownList)});
    return;
  }
  ServiceState& state = it->second;
  QueuedRequest request{entry, ask, now, now + ask.first_event_left,
                        now + ask.time_left};
  // An entry that suspected this scheduler of a failure repeats its request
  // under the same number.
  std::erase_if(state.queue, [&](const QueuedRequest& it) {
    return it.entry == entry && it.ask.number == ask.number;
  });
  const auto placed = state.placed_requests.find({entry, ask.number});
  if (placed != state.placed_requests.end()) {
    RemovePlacedRequest(state, placed, now);
  }
  entries_.insert(entry);
  if (!IsLongPrompt(state, ask.prompt) && ask.first_event_left > Duration(0)) {
    CountShortAsk(state, now);
  }
  if (ask.prompt + ask.output > MaxRequestTokens(state)) {
    RefuseUncounted(request, Duration(0));
    return;
  }
  const CrashBlame::Verdict verdict = CheckParts(request, now);
  if (verdict == CrashBlame::Verdict::kBlocked) {
    return;
  }
  if (verdict == CrashBlame::Verdict::kWait) {
    blame_.CountWait();
  } else if (!IsBehindMoreUrgent(state, request)) {
    if (std::optional<Assignment> assignment = Choose(state, request, now)) {
      Place(state, request, std::move(*assignment), now);
      return;
    }
  }
  if (RefuseIfShutOut(state, request, CountAhead(state, request), now)) {
    return;
  }
  decisions_.push_back(
      {entry, MakeReply(ask.number, PlacementVerdict::kQueued)});
  state.queue.push_back(std::move(request));
}

void PlacementScheduler::ApplyChange(const PeerId& entry,
                                     const PlacementChange& change,
                                     Time now) {
  for (auto& [service, changed] : services_) {
    ServiceState& state = changed;
    const bool ended = EndsPlacement(change.event);
    UpdatePaces(state, now);
    if (ended) {
      std::erase_if(state.queue, [&](const QueuedRequest& it) {
        const bool left = it.entry == entry && it.ask.number == change.number;
        if (left) {
          CountUnserved(state, it.ask, now);
        }
        return left;
      });
    }
    const auto target = state.targets.find(change.failed);
    if (target != state.targets.end()) {
      Target& failed = target->second;
      if (change.event == PlacementEvent::kTargetReplaced) {
        // The entries' target lists still contain the replaced target for a few
        // seconds.
        failed.suspect_until = now + kMaxSuspectTime;
        OnTargetReplaced(state, failed, now);
      } else if (IsTargetFailure(change.event)) {
        failed.suspect_duration = std::clamp(
            failed.suspect_duration * 2, kInitialSuspectTime, kMaxSuspectTime);
        failed.suspect_until = now + failed.suspect_duration;
      } else if (change.event == PlacementEvent::kTargetRefused) {
        failed.avoided_duration = std::clamp(
            failed.avoided_duration * 2, kInitialAvoidedTime, kMaxAvoidedTime);
        failed.avoided_until = now + failed.avoided_duration;
      }
    }
    const auto placed = state.placed_requests.find({entry, change.number});
    if (placed == state.placed_requests.end()) {
      continue;
    }
    ReportToBlame(state, placed->second, change, TrialOf(entry, change.number),
                  now);
    if (ended) {
      if (!placed->second.is_long && !placed->second.work.reading) {
        const double took_ms = ToMs(now - placed->second.placed_at);
        state.short_answer_ms +=
            kNewAnswerWeight * (took_ms - state.short_answer_ms);
      }
      RemovePlacedRequest(state, placed, now);
    } else if (change.event == PlacementEvent::kFirstEvent) {
      if (placed->second.work.reading &&
          change.first_event_after > Duration(0)) {
        AddPaceSamples(state, placed->first, placed->second,
                       change.first_event_after, now);
      }
      EndPrefill(state, placed->second, true, now);
      Target& answered = state.targets[placed->second.work.target];
      answered.suspect_duration = Duration(0);
      answered.avoided_duration /= 2;
      OnTargetAnswered(answered);
    }
    PlaceQueued(state, now);
  }
}

uint64_t PlacementScheduler::TrialOf(const PeerId& entry, uint64_t number) {
  return MixHash(
      MixHash(StableHash(entry.instance.value()), entry.incarnation.value()),
      number);
}

CrashBlame::Verdict PlacementScheduler::CheckParts(const QueuedRequest& request,
                                                   Time now) {
  const CrashBlame::Decision decision = blame_.Check(
      request.ask.parts, TrialOf(request.entry, request.ask.number), now,
      request.ask.own_mark);
  if (decision.verdict == CrashBlame::Verdict::kBlocked) {
    blame_.CountRefusal();
    PlacementReply reply =
        MakeReply(request.ask.number, PlacementVerdict::kBlocked);
    reply.retry_after = decision.blocked_left;
    decisions_.push_back({request.entry, std::move(reply)});
  }
  // Long prompts that share a new part would wait for seconds, and few of them
  // are read at a time anyway.
  const auto state = services_.find(request.ask.service);
  const bool is_long = state != services_.end() &&
                       IsLongPrompt(state->second, request.ask.prompt);
  if (decision.verdict == CrashBlame::Verdict::kSend && !is_long &&
      blame_.IsCrowded(request.ask.parts, now)) {
    return CrashBlame::Verdict::kWait;
  }
  return decision.verdict;
}

void PlacementScheduler::ReportToBlame(ServiceState& state,
                                       const PlacedRequest& placed,
                                       const PlacementChange& change,
                                       uint64_t trial,
                                       Time now) {
  const PlacedWork& work = placed.work;
  Target& target = state.targets[work.target];
  switch (change.event) {
    case PlacementEvent::kTargetSilent:
      return;
    case PlacementEvent::kFirstEvent:
      if (work.reading) {
        blame_.OnAnswer(work.parts, now, work.own_mark);
      }
      break;
    case PlacementEvent::kEnded:
      if (work.reading && (!work.parts.empty() || work.own_mark != PartKey())) {
        target.left_requests.push_back(
            {work.parts, work.own_mark, placed.placed_at, now});
        if (target.left_requests.size() > kMaxLeftRequests) {
          target.left_requests.erase(target.left_requests.begin());
        }
      }
      break;
    case PlacementEvent::kBrokenUnanswered:
    case PlacementEvent::kBrokenAtStart:
      blame_.OnCrash(work.parts, work.target.value(), placed.placed_at,
                     change.event == PlacementEvent::kBrokenAtStart
                         ? CrashEvidence::kAtStart
                         : CrashEvidence::kUnanswered,
                     now, work.own_mark);
      BlameLeftRequests(target, now);
      break;
    case PlacementEvent::kBrokenAfterStart:
      BlameLeftRequests(target, now);
      break;
    case PlacementEvent::kTargetFailed:
    case PlacementEvent::kTargetReplaced:
    case PlacementEvent::kTargetRefused:
      break;
  }
  blame_.EndTrial(trial);
}

void PlacementScheduler::BlameLeftRequests(Target& target, Time now) {
  for (const LeftRequest& it : std::exchange(target.left_requests, {})) {
    if (now - it.left_at <= kLeftRequestWindow) {
      blame_.OnCrash(it.parts, target.description.target.value(), it.sent_at,
                     CrashEvidence::kUnanswered, now, it.own_mark);
    }
  }
}

void PlacementScheduler::ImportRequest(const PeerId& entry,
                                       const PlacedWork& work,
                                       Time now) {
  const auto it = services_.find(work.service);
  if (it == services_.end()) {
    return;
  }
  ServiceState& state = it->second;
  const RequestKey key{entry, work.number};
  if (state.placed_requests.contains(key)) {
    return;
  }
  PlacedRequest imported;
  imported.work = work;
  imported.placed_at = now;
  imported.is_long = IsLongPrompt(state, work.prompt);
  imported.part_prefill_ms = PrefillMs(state.cost, work.prompt) /
                             static_cast<double>(work.helpers.size() + 1);
  const auto target = state.targets.find(work.target);
  if (!work.reading && target != state.targets.end()) {
    OnTargetAnswered(target->second);
  }
  AddPlacedRequest(state, key, std::move(imported), now);
}

void PlacementScheduler::RestoreSnapshot(const PeerId& entry,
                                         const PlacementSnapshot& snapshot,
                                         Time now) {
  entries_.insert(entry);
  std::map<uint64_t, const PlacedWork*> in_snapshot;
  for (const PlacedWork& it : snapshot.works) {
    in_snapshot[it.number] = &it;
    ImportRequest(entry, it, now);
  }
  for (auto& [service, state] : services_) {
    for (auto it = state.placed_requests.begin();
         it != state.placed_requests.end();) {
      const auto placed = it++;
      const bool is_older_than_reply =
          now - placed->second.placed_at > kSnapshotDelay;
      if (placed->first.first == entry && is_older_than_reply &&
          !in_snapshot.contains(placed->first.second)) {
        RemovePlacedRequest(state, placed, now);
      }
    }
    PlaceQueued(state, now);
  }
}

void PlacementScheduler::RemoveEntry(const PeerId& entry, Time now) {
  entries_.erase(entry);
  for (auto& [service, state] : services_) {
    std::erase_if(state.queue,
                  [&](const QueuedRequest& it) { return it.entry == entry; });
    for (auto& [id, target] : state.targets) {
      target.back_offs.erase(entry);
    }
    state.paces.RemoveEntry(entry);
    for (auto it = state.placed_requests.begin();
         it != state.placed_requests.end();) {
      const auto placed = it++;
      if (placed->first.first == entry) {
        RemovePlacedRequest(state, placed, now);
      }
    }
    PlaceQueued(state, now);
  }
}

void PlacementScheduler::Tick(Time now) {
  blame_.Prune(now);
  signals_.Prune(now);
  for (auto& [service, state] : services_) {
    UpdatePaces(state, now);
    PlaceQueued(state, now);
  }
}

bool PlacementScheduler::HasQueuedRequests() const {
  return std::any_of(services_.begin(), services_.end(),
                     [](const auto& it) { return !it.second.queue.empty(); });
}

std::vector<PlacementScheduler::Decision> PlacementScheduler::TakeDecisions() {
  return std::exchange(decisions_, {});
}

PlacementSnapshot PlacementScheduler::MakeSnapshot(const PeerId& entry) const {
  PlacementSnapshot snapshot;
  for (const auto& [service, state] : services_) {
    for (const auto& [key, placed] : state.placed_requests) {
      if (key.first == entry) {
        snapshot.works.push_back(placed.work);
      }
    }
  }
  return snapshot;
}
// --- Placed and queued requests ----------------------------------------------

void PlacementScheduler::Place(ServiceState& state,
                               const QueuedRequest& request,
                               Assignment assignment,
                               Time now) {
  const PlacementAsk& ask = request.ask;
  const Priority priority = PriorityOf(ask);
  state.shares.OnServed(KindOf(priority, ask.prompt), now);
  ++state.by_priority[priority].served;
  PlacedRequest placed;
  placed.work = {ask.number,         ask.service,      assignment.target,
                 assignment.helpers, assignment.holds, ask.prompt,
                 ask.output,         ask.gap_target,   true,
                 ask.parts,          ask.own_mark};
  const uint64_t trial = TrialOf(request.entry, ask.number);
  placed.is_trial = blame_.Check(ask.parts, trial, now, ask.own_mark).is_trial;
  blame_.OnSent(ask.parts, trial, now, ask.own_mark);
  placed.placed_at = now;
  placed.expected_first_event = assignment.expected_first_event;
  placed.part_prefill_ms = assignment.part_prefill_ms;
  placed.is_long = IsLongPrompt(state, ask.prompt);
  placed.is_unsettled = now < request.asked_at + ask.unsettled_left;
  placed.is_pace_trial = assignment.is_pace_trial;
  if (placed.is_pace_trial) {
    state.paces.OnTrial(assignment.target, now);
  }
  AddPlacedRequest(state, {request.entry, ask.number}, std::move(placed), now);

  PlacementReply reply = MakeReply(ask.number, PlacementVerdict::kPlaced);
  reply.target = std::move(assignment.target);
  reply.helpers = std::move(assignment.helpers);
  reply.holds = std::move(assignment.holds);
  reply.expected_first_event = assignment.expected_first_event;
  reply.list_fingerprint = state.fingerprint;
  decisions_.push_back({request.entry, std::move(reply)});
}

void PlacementScheduler::AddPlacedRequest(ServiceState& state,
                                          const RequestKey& key,
                                          PlacedRequest placed,
                                          Time now) {
  Target& target = state.targets[placed.work.target];
  ++(placed.is_long ? target.long_answers : target.short_answers);
  ++(placed.is_long ? state.long_request_count : state.short_request_count);
  target.memory_used += placed.work.prompt + placed.work.output;
  for (const MemoryHold& it : placed.work.holds) {
    target.memory_used -= it.tokens;
    state.targets[it.target].memory_used += it.tokens;
  }
  ++target.gap_target_counts[placed.work.gap_target];
  TakeFromRate(target, placed.is_unsettled, now);
  for (const TargetId& it : placed.work.helpers) {
    TakeFromRate(state.targets[it], placed.is_unsettled, now);
  }
  placed.placement_id = next_placement_id_++;
  target.decoding += placed.work.reading ? 0 : 1;
  if (placed.work.reading) {
    target.trials += placed.is_trial ? 1 : 0;
    const Time due = now + placed.expected_first_event + kOverdueAllowance;
    state.long_prefill_in_progress_ms +=
        placed.is_long ? PrefillMs(state.cost, placed.work.prompt) : 0;
    const auto start_prefill = [&](const TargetId& id) {
      Target& prefill_target = state.targets[id];
      ++prefill_target.prefilling;
      const double decode_ms = TargetDecodePassMs(state, prefill_target);
      const double prefill_ms = placed.part_prefill_ms * prefill_target.pace;
      const double end_ms = prefill_target.pass_predictor.WaitMs(now) +
                            prefill_ms + 2 * decode_ms;
      if (placed.work.helpers.empty() ||
          end_ms >= kMinPartShare * ToMs(placed.expected_first_event)) {
        placed.paces.push_back(
            {id, placed.is_pace_trial ? kEvenPace : prefill_target.pace});
      }
      prefill_target.pass_predictor.AddPart(
          {placed.placement_id, prefill_ms, due}, decode_ms, now);
    };
    start_prefill(placed.work.target);
    for (const TargetId& it : placed.work.helpers) {
      start_prefill(it);
    }
  }
  state.placed_requests[key] = std::move(placed);
}

void PlacementScheduler::EndPrefill(ServiceState& state,
                                    PlacedRequest& placed,
                                    bool prefill_done,
                                    Time now) {
  if (!placed.work.reading) {
    return;
  }
  placed.work.reading = false;
  state.targets[placed.work.target].trials -= placed.is_trial ? 1 : 0;
  ++state.targets[placed.work.target].decoding;
  state.long_prefill_in_progress_ms -=
      placed.is_long ? PrefillMs(state.cost, placed.work.prompt) : 0;
  const auto end_prefill = [&](const TargetId& id) {
    Target& prefill_target = state.targets[id];
    --prefill_target.prefilling;
    if (prefill_done) {
      prefill_target.pass_predictor.FinishPart(placed.placement_id, now);
    } else {
      prefill_target.pass_predictor.CancelPart(placed.placement_id, now);
    }
  };
  end_prefill(placed.work.target);
  for (const TargetId& it : placed.work.helpers) {
    end_prefill(it);
  }
}

void PlacementScheduler::RemovePlacedRequest(
    ServiceState& state,
    std::map<RequestKey, PlacedRequest>::iterator placed,
    Time now) {
  EndPrefill(state, placed->second, false, now);
  blame_.EndTrial(TrialOf(placed->first.first, placed->first.second));
  const PlacedWork& work = placed->second.work;
  Target& target = state.targets[work.target];
  --(placed->second.is_long ? target.long_answers : target.short_answers);
  --(placed->second.is_long ? state.long_request_count
                            : state.short_request_count);
  --target.decoding;
  target.memory_used -= work.prompt + work.output;
  for (const MemoryHold& it : work.holds) {
    target.memory_used += it.tokens;
    state.targets[it.target].memory_used -= it.tokens;
  }
  const auto gap = target.gap_target_counts.find(work.gap_target);
  if (--gap->second == 0) {
    target.gap_target_counts.erase(gap);
  }
  state.placed_requests.erase(placed);
}

// --- Paces of targets -------------------------------------------------------

void PlacementScheduler::AddPaceSamples(ServiceState& state,
                                        const RequestKey& key,
                                        const PlacedRequest& placed,
                                        Duration observed,
                                        Time now) {
  // A request that another scheduler has placed has no prediction.
  if (!target_pace_enabled_ || placed.expected_first_event == Duration(0)) {
    return;
  }
  for (const TargetPace& it : placed.paces) {
    const auto change = state.paces.Add(
        {key.first, it.target, placed.placement_id,
         PaceRatio(observed, placed.expected_first_event, it.pace),
         placed.work.helpers.size() + 1},
        now);
    if (change) {
      ApplyPaceChange(state, *change);
    }
  }
}

void PlacementScheduler::UpdatePaces(ServiceState& state, Time now) {
  if (now < state.next_pace_update_at) {
    return;
  }
  state.next_pace_update_at = now + kPaceUpdateInterval;
  for (const auto& [key, placed] : state.placed_requests) {
    const Duration waited = now - placed.placed_at - kLateFirstEventAllowance;
    // Entries of an older version state no times: their late requests alone
    // would look as if all their requests were late.
    if (placed.work.reading && waited > 2 * placed.expected_first_event &&
        state.paces.KnowsEntry(key.first)) {
      AddPaceSamples(state, key, placed, waited, now);
    }
  }
  for (const TargetPaceTable::Change& it : state.paces.Prune(now)) {
    ApplyPaceChange(state, it);
  }
}

void PlacementScheduler::ApplyPaceChange(
    ServiceState& state,
    const TargetPaceTable::Change& change) {
  const auto target = state.targets.find(change.target);
  if (target != state.targets.end()) {
    target->second.pace = change.pace;
  }
  if (change.is_slow() != change.was_slow) {
    Log(LogLevel::kInfo, change.is_slow() ? "target_slow" : "target_even",
        {{"target", change.target.value()},
         {"pace", fmt::format("{:.2f}", change.pace)}});
  }
}

TargetPaceTable::Counters PlacementScheduler::pace_counters() const {
  TargetPaceTable::Counters sum;
  for (const auto& [service, state] : services_) {
    const TargetPaceTable::Counters& it = state.paces.counters();
    sum.samples += it.samples;
    sum.became_slow += it.became_slow;
    sum.became_even += it.became_even;
    sum.trials += it.trials;
  }
  return sum;
}

PlacementReply PlacementScheduler::MakeReply(uint64_t number,
                                             PlacementVerdict verdict) const {
  PlacementReply reply;
  reply.number = number;
  reply.verdict = verdict;
  reply.entries = static_cast<uint32_t>(std::max<size_t>(entries_.size(), 1));
  return reply;
}

Priority PlacementScheduler::PriorityOf(const PlacementAsk& ask) {
  return ask.priority.value_or(kMiddlePriority);
}

void PlacementScheduler::CountUnserved(ServiceState& state,
                                       const PlacementAsk& ask,
                                       Time now) {
  state.shares.OnUnserved(KindOf(PriorityOf(ask), ask.prompt), now);
}

void PlacementScheduler::RefuseUncounted(const QueuedRequest& request,
                                         Duration retry_after) {
  PlacementReply reply =
      MakeReply(request.ask.number, PlacementVerdict::kRefused);
  reply.retry_after = retry_after;
  decisions_.push_back({request.entry, std::move(reply)});
}

void PlacementScheduler::Refuse(ServiceState& state,
                                const QueuedRequest& request,
                                std::string_view reason,
                                Duration retry_after,
                                Time now) {
  const PlacementAsk& ask = request.ask;
  CountUnserved(state, ask, now);
  ++state.by_priority[PriorityOf(ask)].refused;
  if (ask.priority) {
    Log(LogLevel::kInfo, "request_shed",
        {{"entry", request.entry.instance.value()},
         {"number", std::to_string(ask.number)},
         {"service", ask.service.value()},
         {"priority", std::to_string(ask.priority->value())},
         {"prompt", std::to_string(ask.prompt.value())},
         {"reason", std::string(reason)},
         {"waited_ms",
          std::to_string((now - request.asked_at).count() / 1'000)},
         {"retry_after_ms", std::to_string(retry_after.count() / 1'000)}});
  }
  RefuseUncounted(request, retry_after);
}

WaitingRequest PlacementScheduler::Weigh(const ServiceState& state,
                                         const QueuedRequest& request) {
  const PlacementAsk& ask = request.ask;
  const Priority priority = PriorityOf(ask);
  return {priority,
          state.shares.HasSeveralPriorities() &&
              state.shares.Lags(KindOf(priority, ask.prompt)),
          IsLongPrompt(state, ask.prompt),
          PrefillMs(state.cost, ask.prompt),
          request.asked_at,
          request.first_event_by};
}

void PlacementScheduler::SortQueue(ServiceState& state, Time now) {
  std::vector<WaitingRequest> waiting;
  for (const QueuedRequest& it : state.queue) {
    waiting.push_back(Weigh(state, it));
  }
  EngineLoad load;
  load.engines =
      std::max<double>(static_cast<double>(state.fill_order.size()) -
                           static_cast<double>(state.short_target_count),
                       1);
  load.busy_ms = state.long_prefill_in_progress_ms / load.engines;
  const QueuePlan plan = PlanQueue(waiting, load, state.long_returns, now);
  std::vector<QueuedRequest> queued = std::exchange(state.queue, {});
  for (const QueuePlan::Shed& it : plan.shed) {
    Refuse(state, queued[it.request], "late", it.retry_after, now);
  }
  for (const size_t it : plan.order) {
    state.queue.push_back(std::move(queued[it]));
  }
}

bool PlacementScheduler::IsBehindMoreUrgent(const ServiceState& state,
                                            const QueuedRequest& request) {
  const WaitingRequest own = Weigh(state, request);
  return std::any_of(
      state.queue.begin(), state.queue.end(), [&](const QueuedRequest& it) {
        return !own.lags && PriorityOf(it.ask) < own.priority &&
               (own.is_long || !IsLongPrompt(state, it.ask.prompt));
      });
}

void PlacementScheduler::PlaceQueued(ServiceState& state, Time now) {
  if (state.queue.empty() || now < state.next_attempt_at) {
    return;
  }
  state.next_attempt_at = now + kPlacementAttemptInterval;
  SortQueue(state, now);
  std::vector<QueuedRequest> queued = std::exchange(state.queue, {});
  std::vector<QueuedRequest> left;
  size_t short_left = 0;
  std::map<Priority, int> failed;
  const int max_failed = state.shares.HasSeveralPriorities()
                             ? kMaxFailedPerPriority
                             : kMaxFailedLongPlacements;
  for (QueuedRequest& it : queued) {
    if (now >= it.give_up_at) {
      Refuse(state, it, "no_time_left", Duration(0), now);
      continue;
    }
    const CrashBlame::Verdict verdict = CheckParts(it, now);
    if (verdict == CrashBlame::Verdict::kBlocked) {
      continue;
    }
    const bool is_long = IsLongPrompt(state, it.ask.prompt);
    int& failed_before = failed[PriorityOf(it.ask)];
    std::optional<Assignment> assignment;
    if (verdict == CrashBlame::Verdict::kSend &&
        (!is_long || failed_before < max_failed)) {
      assignment = Choose(state, it, now);
    }
    if (assignment) {
      Place(state, it, std::move(*assignment), now);
    } else {
      failed_before += is_long && verdict == CrashBlame::Verdict::kSend ? 1 : 0;
      const size_t ahead = is_long ? left.size() : short_left;
      if (!RefuseIfShutOut(state, it, ahead, now)) {
        short_left += is_long ? 0 : 1;
        left.push_back(std::move(it));
      }
    }
  }
  state.queue = std::move(left);
}

std::string PlacementScheduler::DumpQueue(const ServiceState& state, Time now) {
  std::string text;
  for (size_t i = 0; i < std::min(state.queue.size(), kMaxDumpedRequests);
       ++i) {
    const QueuedRequest& it = state.queue[i];
    fmt::format_to(std::back_inserter(text),
                   "{}{{\"priority\":{},\"tokens\":{},\"waited_ms\":{:.0f},"
                   "\"lags\":{}}}",
                   i == 0 ? "" : ",", PriorityOf(it.ask).value(),
                   it.ask.prompt.value(), ToMs(now - it.asked_at),
                   Weigh(state, it).lags);
  }
  return text;
}

std::string PlacementScheduler::DumpPriorities(const ServiceState& state) {
  std::map<Priority, size_t> waiting;
  for (const QueuedRequest& it : state.queue) {
    ++waiting[PriorityOf(it.ask)];
  }
  std::map<Priority, PriorityCounts> counts = state.by_priority;
  for (const auto& [priority, number] : waiting) {
    counts[priority].waiting = number;
  }
  std::string text;
  for (const auto& [priority, it] : counts) {
    fmt::format_to(std::back_inserter(text),
                   "{}\"{}\":{{\"waiting\":{},\"served\":{},"
                   "\"refused\":{}}}",
                   text.empty() ? "" : ",", priority.value(), it.waiting,
                   it.served, it.refused);
  }
  return text;
}

std::string PlacementScheduler::Dump(Time now) const {
  std::string text = "{";
  for (const auto& [service, state] : services_) {
    fmt::format_to(
        std::back_inserter(text),
        "{}\"{}\":{{\"epoch\":{},\"short\":{},\"long\":{},\"waiting\":{},"
        "\"short_targets\":{},\"first_waiting_tokens\":{},"
        "\"queue\":[{}],\"priorities\":{{{}}},\"targets\":[",
        text.size() > 1 ? "," : "", service.value(), state.epoch.value(),
        state.short_request_count, state.long_request_count, state.queue.size(),
        state.short_target_count,
        state.queue.empty() ? 0 : state.queue.front().ask.prompt.value(),
        DumpQueue(state, now), DumpPriorities(state));
    bool first = true;
    for (const Target* target : state.fill_order) {
      const Target& it = *target;
      fmt::format_to(std::back_inserter(text),
                     "{}{{\"target\":\"{}\",\"short\":{},\"long\":{},"
                     "\"backlog_ms\":{:.0f},\"pace\":{:.2f},\"memory\":{},"
                     "\"suspect_ms\":{:.0f},\"rate_per_s\":{},"
                     "\"leaving\":{},\"back_offs\":{}}}",
                     first ? "" : ",", it.description.target.value(),
                     it.short_answers, it.long_answers,
                     it.pass_predictor.WaitMs(now), it.pace,
                     it.memory_used.value(),
                     ToMs(std::max(it.suspect_until - now, Duration(0))),
                     it.rate.is_limited()
                         ? fmt::format("{:.3f}", *it.rate.requests_per_s())
                         : "null",
                     it.is_leaving, it.back_offs.size());
      first = false;
    }
    text += "]}";
  }
  return text + "}";
}

}  // namespace burdockhatch
