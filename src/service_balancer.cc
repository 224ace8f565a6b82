#include "src/service_balancer.h"

#include <algorithm>
#include <utility>

#include "src/fleet_size.h"

namespace burdockhatch {

namespace {

// Weight of the newest sample in the moving averages.
constexpr double kNewSampleWeight = 0.2;
// Latency assumed until a target has answered its first call.
constexpr double kInitialCallMs = 15;
// Penalties below are in milliseconds of call latency.
constexpr double kRemoteDataCentrePenaltyMs = 2;
// Penalty at a failure share of 1; smaller shares count in proportion.
constexpr double kFailurePenaltyMs = 400;
// High enough that a suspect target is chosen only if all targets are suspect.
constexpr double kSuspectPenaltyMs = 10'000;
constexpr double kColdPenaltyMs = 50;
// A failed target is suspect for this long, doubled by each further failure.
constexpr Duration kInitialSuspectTime = std::chrono::milliseconds(500);
constexpr Duration kMaxSuspectTime = std::chrono::seconds(5);
// A target that rejects a call as full is suspect for this long.
constexpr Duration kRejectedSuspectTime = std::chrono::milliseconds(100);
// Share of the rate of a cold target, or of one that states a limit, that all
// entries together use.
constexpr double kRateShare = 0.8;

}  // namespace

double ServiceBalancer::Score(const FleetDirectory::KnownTarget& entry,
                              const ChoiceParams& params,
                              Time now) {
  const Target& target = targets_[entry.record.target];
  const double call_ms = target.call_ms > 0 ? target.call_ms : kInitialCallMs;
  const double slots = std::max<double>(entry.record.slots, 1);
  double score = call_ms * (1 + target.in_progress / slots);
  score += target.failure_share * kFailurePenaltyMs;
  score += entry.record.data_centre == params.entry_data_centre
               ? 0
               : kRemoteDataCentrePenaltyMs;
  score += now < entry.cold_until ? kColdPenaltyMs : 0;
  score += now < target.suspect_until ? kSuspectPenaltyMs : 0;
  // The jitter spreads calls over targets of equal score. It is below the
  // remote penalty, so it never moves a call to another data centre by itself.
  return score + random_.UniformReal() * kRemoteDataCentrePenaltyMs / 2;
}

// The first call of an entry to a target whose rate becomes limited comes at a
// random point of its interval. Without this, each entry would be free to call
// at once, and all of them together would exceed the target's rate.
void ServiceBalancer::UpdateRates(
    const std::vector<const FleetDirectory::KnownTarget*>& usable,
    const ChoiceParams& params,
    Time now) {
  const double own_share =
      kRateShare / params.entry_count.value_or(kAssumedEntryCount);
  for (const FleetDirectory::KnownTarget* it : usable) {
    std::optional<double> rate;
    if (params.signals != nullptr) {
      rate = params.signals->RateOf(it->record.target, it->record.started_at);
    }
    if (params.cold_requests_per_s > 0 && now < it->cold_until) {
      rate = std::min(rate.value_or(params.cold_requests_per_s),
                      params.cold_requests_per_s);
    }
    SharedRate& own = targets_[it->record.target].rate;
    if (rate || own.is_limited()) {
      own.Set(rate ? std::optional(*rate * own_share) : std::nullopt,
              random_.UniformReal(), now);
    }
  }
}

Time ServiceBalancer::OpenAt(const FleetDirectory::KnownTarget& entry,
                             const ChoiceParams& params,
                             Time now) {
  const TargetId& id = entry.record.target;
  const auto& excluded = params.excluded_targets;
  if (std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
    return Time::max();
  }
  Time at = targets_[id].rate.next_request();
  if (params.signals != nullptr) {
    if (params.signals->IsLeaving(id, entry.record.started_at, now)) {
      return Time::max();
    }
    at =
        std::max(at, params.signals->BackOffUntil(id, entry.record.started_at));
  }
  return at;
}

std::optional<ShutTargets> ServiceBalancer::FindShutTargets(
    const std::vector<const FleetDirectory::KnownTarget*>& usable,
    const ChoiceParams& params,
    Time now) {
  ShutTargets shut;
  for (const FleetDirectory::KnownTarget* it : usable) {
    const Time at = OpenAt(*it, params, now);
    if (at <= now) {
      return std::nullopt;
    }
    shut.Add(at, targets_[it->record.target].rate.requests_per_s());
  }
  return shut;
}

std::optional<TargetId> ServiceBalancer::BeginCall(
    const std::vector<const FleetDirectory::KnownTarget*>& usable,
    const ChoiceParams& params,
    Time now) {
  UpdateRates(usable, params, now);
  const FleetDirectory::KnownTarget* best = nullptr;
  double best_score = 0;
  for (const FleetDirectory::KnownTarget* it : usable) {
    if (now < OpenAt(*it, params, now)) {
      continue;
    }
    const double score = Score(*it, params, now);
    if (best == nullptr || score < best_score) {
      best = it;
      best_score = score;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Target& target = targets_[best->record.target];
  ++target.in_progress;
  target.rate.OnRequest(now);
  return best->record.target;
}

void ServiceBalancer::EndCall(const TargetId& id,
                              CallOutcome outcome,
                              Duration took,
                              Time now) {
  Target& target = targets_[id];
  target.in_progress -= target.in_progress > 0 ? 1 : 0;
  if (outcome == CallOutcome::kCallerGone) {
    return;
  }
  const bool failed = outcome == CallOutcome::kFailed;
  target.failure_share += kNewSampleWeight * (failed - target.failure_share);
  if (outcome == CallOutcome::kAnswered) {
    const double ms = static_cast<double>(took.count()) / 1e3;
    target.call_ms =
        target.call_ms > 0
            ? target.call_ms + kNewSampleWeight * (ms - target.call_ms)
            : ms;
    target.consecutive_failures = 0;
    target.suspect_until = Time();
    return;
  }
  if (failed) {
    ++target.consecutive_failures;
    const Duration suspicion =
        kInitialSuspectTime *
        (int64_t{1} << std::min(target.consecutive_failures - 1, 4U));
    target.suspect_until = now + std::min(suspicion, kMaxSuspectTime);
  } else {
    target.suspect_until = now + kRejectedSuspectTime;
  }
}

void ServiceBalancer::RemoveUnlistedTargets(const FleetDirectory& directory) {
  std::erase_if(targets_, [&](const auto& it) {
    return it.second.in_progress == 0 && directory.Find(it.first) == nullptr;
  });
}

}  // namespace burdockhatch
