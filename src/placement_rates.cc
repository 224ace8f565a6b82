// Rates of requests to targets, what targets say of themselves, and refusals
// while no target takes a request.
#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

#include "src/log.h"
#include "src/placement_scheduler.h"
#include "src/random.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// How long a request that will be late may wait for a target. Callers leave
// soon after.
constexpr Duration kMaxShutWait = std::chrono::milliseconds(1'500);
// Time over which the rate of requests is averaged.
constexpr Duration kAskRateWindow = std::chrono::seconds(2);
// Interval at which rates are updated without an event.
constexpr Duration kRateUpdateInterval = std::chrono::seconds(1);

}  // namespace

void PlacementScheduler::SetRateShare(double share,
                                      std::optional<uint64_t> phase_seed,
                                      Time now) {
  rate_share_ = share;
  rate_phase_seed_ = phase_seed;
  for (auto& [service, state] : services_) {
    for (auto& [id, target] : state.targets) {
      UpdateRate(state, target, now);
      if (rate_phase_seed_) {
        target.rate.Restart(RatePhase(id), now);
      }
    }
  }
}

double PlacementScheduler::RatePhase(const TargetId& target) const {
  if (!rate_phase_seed_) {
    return 0;
  }
  const uint64_t hash = MixHash(*rate_phase_seed_, StableHash(target.value()));
  return static_cast<double>(hash >> 11) * 0x1p-53;
}

void PlacementScheduler::UpdateRate(ServiceState& state,
                                    Target& target,
                                    Time now) {
  const TargetId& id = target.description.target;
  const uint64_t started_at = target.description.started_at;
  target.is_leaving = signals_.IsLeaving(id, started_at, now);
  std::optional<double> rate = signals_.RateOf(id, started_at);
  state.is_order_outdated |= rate.has_value() != target.states_limit;
  target.states_limit = rate.has_value();
  if (now < target.cold_until && state.cold_requests_per_s > 0) {
    rate = std::min(rate.value_or(state.cold_requests_per_s),
                    state.cold_requests_per_s);
    state.next_rate_update_at =
        std::min(state.next_rate_update_at, target.cold_until);
  }
  if (rate) {
    *rate *= rate_share_;
  }
  target.rate.Set(rate, RatePhase(id), now);
}

// Targets that state a limit come last: a request counts there whatever its
// length, so they are best used for long prompts.
void PlacementScheduler::SortFillOrder(ServiceState& state) {
  state.is_order_outdated = false;
  std::sort(state.fill_order.begin(), state.fill_order.end(),
            [](const Target* a, const Target* b) {
              const std::string& first = a->description.target.value();
              const std::string& second = b->description.target.value();
              return std::tuple(a->states_limit, StableHash(first),
                                std::string_view(first)) <
                     std::tuple(b->states_limit, StableHash(second),
                                std::string_view(second));
            });
}

void PlacementScheduler::UpdateRates(ServiceState& state, Time now) {
  if (state.is_order_outdated) {
    SortFillOrder(state);
  }
  if (now < state.next_rate_update_at) {
    return;
  }
  state.next_rate_update_at = now + kRateUpdateInterval;
  for (Target* it : state.fill_order) {
    UpdateRate(state, *it, now);
  }
}

void PlacementScheduler::UpdateRatesOf(const SignalReport& report, Time now) {
  for (const SignalRecord& it : report.records) {
    for (auto& [service, state] : services_) {
      const auto target = state.targets.find(it.target);
      if (target != state.targets.end()) {
        UpdateRate(state, target->second, now);
      }
    }
  }
}

void PlacementScheduler::OnTargetReplaced(ServiceState& state,
                                          const Target& replaced,
                                          Time now) {
  const bool is_stale = state.stale_list.OnReplaced(
      replaced.description.target, replaced.description.started_at, now);
  if (!is_stale) {
    return;
  }
  size_t doubted = 0;
  for (Target* it : state.fill_order) {
    if (!it->has_answered && !it->is_doubted && now >= it->suspect_until &&
        state.stale_list.MayBeGone(it->description.started_at)) {
      it->is_doubted = true;
      it->suspect_until = now + StaleListDetector::kDoubtTime;
      ++doubted;
    }
  }
  if (doubted > 0) {
    Log(LogLevel::kWarning, "target_list_stale",
        {{"replaced", replaced.description.target.value()},
         {"not_used", std::to_string(doubted)}});
  }
}

void PlacementScheduler::OnTargetAnswered(Target& target) {
  target.has_answered = true;
  if (std::exchange(target.is_doubted, false)) {
    target.suspect_until = Time();
  }
}

void PlacementScheduler::SetBackOff(const PeerId& entry,
                                    const TargetId& id,
                                    uint64_t started_at,
                                    Time until,
                                    Time now) {
  for (auto& [service, state] : services_) {
    const auto target = state.targets.find(id);
    if (until > now && target != state.targets.end() &&
        target->second.description.started_at == started_at) {
      std::map<PeerId, Time>& back_offs = target->second.back_offs;
      std::erase_if(back_offs,
                    [&](const auto& it) { return now >= it.second; });
      back_offs[entry] = until;
    }
  }
}

void PlacementScheduler::OnResponse(const PeerId& entry,
                                    const TargetId& target,
                                    uint64_t started_at,
                                    const TargetSignals& signals,
                                    bool is_answer,
                                    Time sent_at,
                                    Time now) {
  const std::optional<double> rate = signals_.RateOf(target, started_at);
  signals_.OnResponse(target, started_at, signals, is_answer, sent_at, now);
  if (signals.is_leaving || signals_.RateOf(target, started_at) != rate) {
    SignalRecord changed;
    changed.target = target;
    UpdateRatesOf({{changed}}, now);
  }
  SetBackOff(entry, target, started_at,
             signals_.BackOffUntil(target, started_at), now);
}

SignalReport PlacementScheduler::MergeSignals(const PeerId& entry,
                                              const SignalReport& report,
                                              Time now) {
  SignalReport news = signals_.Merge(report, now);
  UpdateRatesOf(news, now);
  for (const SignalRecord& it : report.records) {
    SetBackOff(entry, it.target, it.started_at, now + it.back_off_left, now);
  }
  return news;
}

void PlacementScheduler::TakeFromRate(Target& target,
                                      bool is_unsettled,
                                      Time now) const {
  const double share =
      is_unsettled ? std::min(kUnsettledShare, rate_share_) : rate_share_;
  target.rate.OnRequest(now, rate_share_ / share);
}

Time PlacementScheduler::AvailableAt(const Target& target,
                                     const QueuedRequest& request) {
  const std::vector<TargetId>& excluded = request.ask.excluded;
  if (!target.listed || target.is_leaving ||
      std::find(excluded.begin(), excluded.end(), target.description.target) !=
          excluded.end()) {
    return Time::max();
  }
  const auto back_off = target.back_offs.find(request.entry);
  return std::max(
      {target.suspect_until, target.rate.next_request(),
       back_off == target.back_offs.end() ? Time() : back_off->second});
}

std::optional<ShutTargets> PlacementScheduler::FindShutTargets(
    const ServiceState& state,
    const QueuedRequest& request,
    Time now) {
  const bool is_short = !IsLongPrompt(state, request.ask.prompt);
  const Tokens memory = request.ask.prompt + request.ask.output;
  // Slots become free one after the other.
  const double slots = std::max<double>(state.cost.slots, 1);
  const double slot_free_ms = state.short_answer_ms / slots;
  ShutTargets shut;
  bool is_known = false;  // Something else than a suspicion shuts a target.
  for (const Target* it : state.fill_order) {
    Time at = AvailableAt(*it, request);
    is_known = is_known || at > it->suspect_until || now >= it->suspect_until;
    std::optional<double> rate = it->rate.requests_per_s();
    const bool is_full = it->answers() >= state.cost.slots ||
                         it->memory_used + memory > state.cost.memory;
    if (is_short && is_full && at != Time::max()) {
      at = std::max(at, now + FromMs(slot_free_ms));
      rate = std::min(rate.value_or(1e3 / slot_free_ms), 1e3 / slot_free_ms);
    }
    if (at <= now) {
      return std::nullopt;
    }
    shut.Add(at, rate);
  }
  return is_known ? std::optional(shut) : std::nullopt;
}

// Short prompts do not wait for the long ones that are queued before them, and
// no prompt waits for less urgent ones.
size_t PlacementScheduler::CountAhead(const ServiceState& state,
                                      const QueuedRequest& request) {
  const WaitingRequest own = Weigh(state, request);
  return static_cast<size_t>(std::count_if(
      state.queue.begin(), state.queue.end(), [&](const QueuedRequest& it) {
        const WaitingRequest other = Weigh(state, it);
        return (own.is_long || !other.is_long) && !IsMoreUrgent(own, other);
      }));
}

// A moving average over about kAskRateWindow.
void PlacementScheduler::CountShortAsk(ServiceState& state, Time now) {
  const double window_s = ToMs(kAskRateWindow) / 1e3;
  const double passed_s = ToMs(now - state.last_short_ask_at) / 1e3;
  state.short_asks_per_s *= std::exp(-passed_s / window_s);
  state.short_asks_per_s += 1 / window_s;
  state.last_short_ask_at = now;
}

bool PlacementScheduler::RefuseIfShutOut(ServiceState& state,
                                         const QueuedRequest& request,
                                         size_t ahead,
                                         Time now) {
  const std::optional<ShutTargets> shut = FindShutTargets(state, request, now);
  if (!shut) {
    return false;
  }
  const Time in_time = std::min(request.first_event_by, request.give_up_at);
  if (shut->OpenAt(ahead) <= in_time) {
    return false;
  }
  // A request that will be late is overtaken by new ones that can be in time.
  const bool is_long = IsLongPrompt(state, request.ask.prompt);
  const double overtaking_per_s = is_long ? 0 : state.short_asks_per_s;
  const Time latest =
      std::min(request.asked_at + kMaxShutWait, request.give_up_at);
  // While the fleet starts, more targets are listed at any moment.
  const bool is_unsettled =
      expects_leader_ || now < request.asked_at + request.ask.unsettled_left;
  const bool may_open = is_unsettled && now < latest;
  if (may_open || shut->OpenAt(ahead, overtaking_per_s) <= latest) {
    return false;
  }
  // Callers that are refused come back one after the other, at the rate at
  // which the targets take requests.
  const Time last = now + (is_unsettled ? kMaxShutWait : kMaxShedReturnDelay);
  const Duration interval = shut->requests_per_s > 0
                                ? FromMs(1e3 / shut->requests_per_s)
                                : Duration(0);
  const Time return_at = state.shut_returns.Assign(
      PriorityOf(request.ask), shut->OpenAt(ahead), last, interval);
  Refuse(state, request, "targets_shut", return_at - now, now);
  return true;
}

}  // namespace burdockhatch
