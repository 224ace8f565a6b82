#include "src/request_priority.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace burdockhatch {

namespace {

// Delay from the end of the prefill to the first event.
constexpr double kFirstEventMs = 100;
// A late long prompt is refused if more than this prefill is ahead of it,
// because new prompts that can be in time would overtake it until its caller
// leaves. The prompt's own prefill does not count, or the longest prompts would
// never be answered.
constexpr double kMaxLateBacklogMs = 1'600;
// A caller leaves when the first event takes this multiple of its target time.
constexpr int kCallerTimeoutFactor = 3;
// Time over which served requests are averaged: several times the wait of a
// long prompt.
constexpr double kShareWindowS = 10;
// A kind whose average has decayed below this many requests is forgotten.
constexpr double kMinShareRequests = 0.05;
// A kind lags if it is served less than this often, as a part of all requests:
// a quarter, and a margin for the delay of the averages.
constexpr double kMinShareOfAll = 0.28;
// The same as a part of the smaller prompts of its priority: half as often, and
// a margin.
constexpr double kMinShareOfSmaller = 0.6;
// Prompts of a kind are up to this many size classes smaller than the largest.
constexpr int kSizeClassesOfKind = 2;
// A request counts as larger by this factor for each step of lesser urgency
// when one has to be late, up to a maximum: a long prompt stays costlier than a
// short one whatever their priorities.
constexpr double kCostPerPriority = 2;
constexpr double kMaxPriorityCost = 4;
// Prefill of long prompts that stay queued because their kind lags, per engine.
// What is beyond it competes like any other prompt.
constexpr double kMaxFavouredPerEngineMs = 300;

// Sorts by urgency the requests at the positions of short prompts, and those at
// the positions of long ones. Requests of equal urgency keep their order.
void SortByUrgency(const std::vector<WaitingRequest>& waiting,
                   std::vector<size_t>& order) {
  for (const bool is_long : {false, true}) {
    std::vector<size_t> positions;
    std::vector<size_t> requests;
    for (size_t i = 0; i < order.size(); ++i) {
      if (waiting[order[i]].is_long == is_long) {
        positions.push_back(i);
        requests.push_back(order[i]);
      }
    }
    std::stable_sort(requests.begin(), requests.end(), [&](size_t a, size_t b) {
      return IsMoreUrgent(waiting[a], waiting[b]);
    });
    for (size_t i = 0; i < positions.size(); ++i) {
      order[positions[i]] = requests[i];
    }
  }
}

// Removes from `by_due` the first long prompts whose kind lags. They stay
// queued even if they will be late, and do not make others late.
std::vector<size_t> TakeFavoured(const std::vector<WaitingRequest>& waiting,
                                 std::vector<size_t>& by_due,
                                 const EngineLoad& load) {
  std::vector<size_t> favoured;
  double prefill_ms = 0;
  std::erase_if(by_due, [&](size_t i) {
    const WaitingRequest& it = waiting[i];
    if (!it.lags || !it.is_long ||
        prefill_ms > kMaxFavouredPerEngineMs * load.engines) {
      return false;
    }
    prefill_ms += it.prefill_ms;
    favoured.push_back(i);
    return true;
  });
  return favoured;
}

// What it costs the others that the request is in time.
double CostOf(const WaitingRequest& request, Priority most_urgent) {
  const int steps =
      request.lags ? 0 : request.priority.value() - most_urgent.value();
  return request.prefill_ms *
         std::min(std::pow(kCostPerPriority, steps), kMaxPriorityCost);
}

}  // namespace

RequestKind KindOf(Priority priority, Tokens prompt) {
  const auto tokens =
      static_cast<uint64_t>(std::max<int64_t>(prompt.value(), 0));
  return {priority, static_cast<int>(std::bit_width(tokens))};
}

void ServedShares::OnServed(const RequestKind& kind, Time now) {
  Decay(now);
  ++shares_[kind].served;
  UpdateLagging();
}

void ServedShares::OnUnserved(const RequestKind& kind, Time now) {
  Decay(now);
  ++shares_[kind].unserved;
  UpdateLagging();
}

void ServedShares::Decay(Time now) {
  const double passed_s = ToMs(now - decayed_at_) / 1e3;
  decayed_at_ = now;
  const double factor = std::exp(-std::max(passed_s, 0.0) / kShareWindowS);
  for (auto& [kind, share] : shares_) {
    share.served *= factor;
    share.unserved *= factor;
  }
  std::erase_if(shares_, [](const auto& it) {
    return it.second.ended() < kMinShareRequests;
  });
}

bool ServedShares::HasSeveralPriorities() const {
  return !shares_.empty() &&
         shares_.begin()->first.priority != shares_.rbegin()->first.priority;
}

void ServedShares::UpdateLagging() {
  lagging_.clear();
  for (const auto& [kind, share] : shares_) {
    if (IsLagging(kind, share)) {
      lagging_.insert(kind);
    }
  }
}

bool ServedShares::IsLagging(const RequestKind& kind, const Share& own) const {
  const double ratio = own.Ratio();
  Share all;
  Share smaller;
  for (const auto& [other, share] : shares_) {
    all.served += share.served;
    all.unserved += share.unserved;
    if (other.size_class == kind.size_class && kind.priority < other.priority &&
        ratio < share.Ratio()) {
      return true;
    }
    const int smaller_by = kind.size_class - other.size_class;
    if (other.priority == kind.priority && smaller_by > 0 &&
        smaller_by <= kSizeClassesOfKind) {
      smaller.served += share.served;
      smaller.unserved += share.unserved;
    }
  }
  return ratio < kMinShareOfAll * all.Ratio() ||
         (smaller.ended() > 0 && ratio < kMinShareOfSmaller * smaller.Ratio());
}

Time ReturnSchedule::Assign(Priority priority,
                            Time earliest,
                            Time latest,
                            Duration interval) {
  Time first = earliest;
  for (size_t i = 0; i <= priority.value(); ++i) {
    first = std::max(first, next_[i]);
  }
  const Time at = std::min(first, latest);
  next_[priority.value()] = at + interval;
  return at;
}

bool IsMoreUrgent(const WaitingRequest& a, const WaitingRequest& b) {
  if (a.lags != b.lags) {
    return a.lags;
  }
  return a.priority < b.priority;
}

// Uses the Moore-Hodgson algorithm, which minimizes the number of late
// requests: it takes requests by due time and, whenever one would be late,
// defers the one with the longest prefill, which frees the most time for the
// others. Less urgent requests count as longer. Late requests keep their order
// of arrival among those of their priority.
QueuePlan PlanQueue(const std::vector<WaitingRequest>& waiting,
                    const EngineLoad& load,
                    ReturnSchedule& returns,
                    Time now) {
  QueuePlan plan;
  if (waiting.empty()) {
    return plan;
  }
  const auto by_priority = [](const WaitingRequest& a,
                              const WaitingRequest& b) {
    return a.priority < b.priority;
  };
  const auto [most, least] =
      std::minmax_element(waiting.begin(), waiting.end(), by_priority);
  const Priority most_urgent = most->priority;
  const bool is_mixed =
      most->priority != least->priority ||
      std::any_of(waiting.begin(), waiting.end(),
                  [](const WaitingRequest& it) { return it.lags; });
  std::vector<size_t> by_due(waiting.size());
  for (size_t i = 0; i < by_due.size(); ++i) {
    by_due[i] = i;
  }
  const auto is_due_first = [&](size_t a, size_t b) {
    return waiting[a].first_event_by < waiting[b].first_event_by;
  };
  std::stable_sort(by_due.begin(), by_due.end(), is_due_first);
  double busy_ms = load.busy_ms;
  std::vector<size_t> late;
  const std::vector<size_t> favoured = TakeFavoured(waiting, by_due, load);
  for (const size_t it : by_due) {
    const double left_ms = ToMs(waiting[it].first_event_by - now);
    busy_ms += waiting[it].prefill_ms / load.engines;
    plan.order.push_back(it);
    if (busy_ms + kFirstEventMs > left_ms) {
      const auto costliest = std::max_element(
          plan.order.begin(), plan.order.end(), [&](size_t a, size_t b) {
            return CostOf(waiting[a], most_urgent) <
                   CostOf(waiting[b], most_urgent);
          });
      busy_ms -= waiting[*costliest].prefill_ms / load.engines;
      late.push_back(*costliest);
      plan.order.erase(costliest);
    }
  }
  std::stable_sort(late.begin(), late.end(), [&](size_t a, size_t b) {
    return waiting[a].asked_at < waiting[b].asked_at;
  });
  plan.order.insert(plan.order.end(), favoured.begin(), favoured.end());
  std::stable_sort(plan.order.begin(), plan.order.end(), is_due_first);
  SortByUrgency(waiting, plan.order);
  SortByUrgency(waiting, late);
  // Refuses long prompts that are late and either behind more than
  // kMaxLateBacklogMs of prefill or would be answered only after their caller
  // has left.
  for (const size_t i : late) {
    const WaitingRequest& it = waiting[i];
    const double end_ms =
        busy_ms + it.prefill_ms / load.engines + kFirstEventMs;
    const Duration target = it.first_event_by - it.asked_at;
    const Time last = it.asked_at + target * kCallerTimeoutFactor;
    const bool is_hopeless = it.is_long && (now + FromMs(end_ms) > last ||
                                            busy_ms > kMaxLateBacklogMs);
    if (!is_hopeless) {
      busy_ms += it.prefill_ms / load.engines;
      plan.order.push_back(i);
      continue;
    }
    Duration retry_after = FromMs(end_ms / 2);
    if (is_mixed) {
      const Time earliest = now + std::min(retry_after, kMaxShedReturnDelay);
      retry_after =
          returns.Assign(it.priority, earliest, now + kMaxShedReturnDelay,
                         FromMs(it.prefill_ms / load.engines)) -
          now;
    }
    plan.shed.push_back({i, retry_after});
  }
  return plan;
}

}  // namespace burdockhatch
