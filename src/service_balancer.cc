#include "src/service_balancer.h"

#include <algorithm>

namespace burdockhatch {

namespace {

constexpr double kAverageWeight = 0.2;  // Of the newest value.
constexpr double kFirstCallMs = 15;     // Assumed before the first answer.
constexpr double kFarScore = 2;         // Milliseconds of another data centre.
constexpr double kFailureScore = 400;   // At a failure share of 1.
constexpr double kSuspectScore = 10'000;  // Only when all are suspect.
constexpr double kColdScore = 50;
constexpr Duration kFirstSuspicion = std::chrono::milliseconds(500);
constexpr Duration kLongestSuspicion = std::chrono::seconds(5);
// Part of a cold target's rate that the entries use together.
constexpr double kColdShare = 0.8;

}  // namespace

double ServiceBalancer::Score(const FleetDirectory::Entry& entry,
                              const Request& request,
                              Time now) {
  const Target& target = targets_[entry.record.target];
  const double call_ms = target.call_ms > 0 ? target.call_ms : kFirstCallMs;
  const double slots = std::max<double>(entry.record.slots, 1);
  double score = call_ms * (1 + target.in_progress / slots);
  score += target.failure_share * kFailureScore;
  score +=
      entry.record.data_centre == request.entry_data_centre ? 0 : kFarScore;
  score += now < entry.cold_until ? kColdScore : 0;
  score += now < target.suspect_until ? kSuspectScore : 0;
  // Equal targets share the load.
  return score + random_.Unit() * kFarScore / 2;
}

std::optional<TargetId> ServiceBalancer::BeginCall(
    const std::vector<const FleetDirectory::Entry*>& usable,
    const Request& request,
    Time now) {
  const FleetDirectory::Entry* best = nullptr;
  double best_score = 0;
  for (const FleetDirectory::Entry* it : usable) {
    const TargetId& id = it->record.target;
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), id) !=
        request.excluded.end();
    if (excluded || now < targets_[id].next_cold_call) {
      continue;
    }
    const double score = Score(*it, request, now);
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
  if (now < best->cold_until && request.cold_requests_per_s > 0) {
    const double own_rate = request.cold_requests_per_s * kColdShare /
                            std::max(request.entries, 1U);
    target.next_cold_call =
        now + Duration(static_cast<int64_t>(1e6 / own_rate));
  }
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
  target.failure_share += kAverageWeight * (failed - target.failure_share);
  if (outcome == CallOutcome::kAnswered) {
    const double ms = static_cast<double>(took.count()) / 1e3;
    target.call_ms =
        target.call_ms > 0
            ? target.call_ms + kAverageWeight * (ms - target.call_ms)
            : ms;
    target.failures = 0;
    target.suspect_until = Time();
    return;
  }
  if (failed) {
    ++target.failures;
    const Duration suspicion =
        kFirstSuspicion * (int64_t{1} << std::min(target.failures - 1, 4U));
    target.suspect_until = now + std::min(suspicion, kLongestSuspicion);
  } else {
    target.suspect_until = now + kFirstSuspicion / 5;
  }
}

void ServiceBalancer::RemoveUnlistedTargets(const FleetDirectory& directory) {
  std::erase_if(targets_, [&](const auto& it) {
    return it.second.in_progress == 0 && directory.Find(it.first) == nullptr;
  });
}

}  // namespace burdockhatch
