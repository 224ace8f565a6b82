#include "src/target_pace.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/units.h"

namespace burdockhatch {

namespace {

// Added to the observed and the predicted time. Prompts with a few milliseconds
// of prefill would otherwise show the delays of the network and of scheduling.
constexpr double kFixedDelayMs = 10;
// Predictions assume that a prompt waits for a whole pass. The ratio of an even
// engine is therefore between 0.6 without answers in progress and 1 with them,
// and an engine with answers is not slow because the others have none.
constexpr double kMinUsualRatio = 0.8;
// A target becomes slow at this pace, above the largest that counts as even, so
// that it does not alternate between the two. Multiplied by the usual ratio if
// that is over 1: when all engines have longer queues than predicted, the
// queues of even engines differ by up to 1.7 times.
constexpr double kSlowPace = 1.5;
// The same while most samples are of split prompts, which another engine may
// have delayed.
constexpr double kSlowPaceOfSplits = 3;
constexpr double kMaxEvenPace = 1.25;
// Samples that the pace follows from. The median of five ignores two requests
// that were slow for reasons of their own.
constexpr size_t kMaxSamples = 5;
// Whole samples that make a target slow. One of a split prompt counts half.
constexpr double kMinEvidence = 4;
// Entries that must have seen a target slow, unless only one has samples.
constexpr size_t kMinEntries = 2;
// Other engines that a sample is compared with, at least: at all entries, and
// at its own. An entry that has heard from fewer is compared with all entries
// only, as one other slow engine would be half of its comparison.
constexpr size_t kMinOthersAtAll = 2;
constexpr size_t kMinOthersAtEntry = 4;
// Latest samples that make a slow target even if all of them are.
constexpr size_t kEvenSamples = 2;
// A sample is compared with others of this time. Longer than an entry with four
// requests a second needs to hear from several engines.
constexpr Duration kComparisonTime = std::chrono::milliseconds(1'500);
// A target without samples for this long counts as even.
constexpr Duration kForgetTime = std::chrono::seconds(4);
// A slow target without samples for this long gets a trial. Shorter than
// kForgetTime, so that a target that is still slow stays known.
constexpr Duration kTrialInterval = std::chrono::seconds(1);

}  // namespace

double PaceRatio(Duration observed, Duration predicted, double pace) {
  return pace * (ToMs(observed) + kFixedDelayMs) /
         (ToMs(predicted) + kFixedDelayMs);
}

std::optional<double> TargetPaceTable::UsualRatio(const RatioMap& ratios,
                                                  const TargetId& target,
                                                  size_t min_others,
                                                  Time now) {
  std::vector<double> others;
  for (const auto& [id, it] : ratios) {
    if (id != target && now - it.at <= kComparisonTime) {
      others.push_back(it.ratio);
    }
  }
  if (others.size() < min_others) {
    return std::nullopt;
  }
  const auto middle =
      others.begin() + static_cast<std::ptrdiff_t>((others.size() - 1) / 2);
  std::nth_element(others.begin(), middle, others.end());
  return std::max(*middle, kMinUsualRatio);
}

std::optional<double> TargetPaceTable::UsualRatio(const PaceSample& sample,
                                                  Time now) const {
  const auto at_all =
      UsualRatio(fleet_ratios_, sample.target, kMinOthersAtAll, now);
  const auto ratios = entry_ratios_.find(sample.entry);
  if (ratios == entry_ratios_.end()) {
    return at_all;
  }
  // An entry with few samples has no usual ratio of its own.
  return std::max(at_all, UsualRatio(ratios->second, sample.target,
                                     kMinOthersAtEntry, now));
}

// A sample is compared with the usual ratio at its own time and now: at the
// start of a burst the other targets have few samples of it yet, and after its
// end few that are older.
double TargetPaceTable::JudgePace(const TargetState& state, Time now) const {
  struct Judged {
    double pace = kEvenPace;
    double weight = 1;
  };
  std::vector<Judged> judged;
  std::set<PeerId> entries_seeing_slow;
  double evidence = 0;
  size_t whole = 0;
  double largest_usual = 1;
  double weights = 0;
  for (const KnownSample& it : state.samples) {
    const PaceSample& sample = it.sample;
    const std::optional<double> usual =
        std::max(it.usual_ratio, UsualRatio(sample, now));
    if (!usual) {
      continue;
    }
    largest_usual = std::max(largest_usual, *usual);
    const double pace = sample.ratio / *usual;
    const double weight = 1 / static_cast<double>(sample.engines);
    judged.push_back({pace, weight});
    weights += weight;
    evidence += sample.engines == 1 ? 1 : 0.5;
    whole += sample.engines == 1 ? 1 : 0;
    if (pace > kMaxEvenPace) {
      entries_seeing_slow.insert(sample.entry);
    }
  }
  if (judged.empty()) {
    return state.pace;
  }
  const bool is_slow = state.pace > kEvenPace;
  if (!is_slow && (evidence < kMinEvidence ||
                   entries_seeing_slow.size() <
                       std::min(entry_ratios_.size(), kMinEntries))) {
    return kEvenPace;
  }
  if (is_slow && judged.size() >= kEvenSamples &&
      std::all_of(judged.end() - kEvenSamples, judged.end(),
                  [](const Judged& it) { return it.pace <= kMaxEvenPace; })) {
    return kEvenPace;
  }
  std::sort(judged.begin(), judged.end(),
            [](const Judged& a, const Judged& b) { return a.pace < b.pace; });
  double sum = 0;
  const auto median =
      std::find_if(judged.begin(), judged.end(), [&](const Judged& it) {
        sum += it.weight;
        return sum >= weights / 2;
      });
  const double pace = median == judged.end() ? kEvenPace : median->pace;
  const double slow_pace =
      2 * whole > judged.size() ? kSlowPace : kSlowPaceOfSplits;
  const double least = is_slow ? kMaxEvenPace : slow_pace * largest_usual;
  return pace < least ? kEvenPace : std::min(pace, kMaxPace);
}

std::optional<TargetPaceTable::Change> TargetPaceTable::Add(
    const PaceSample& sample,
    Time now) {
  ++counters_.samples;
  // One slow engine would raise the ratios of all that share a prompt with it.
  if (sample.engines == 1) {
    entry_ratios_[sample.entry][sample.target] = {sample.ratio, now};
    fleet_ratios_[sample.target] = {sample.ratio, now};
  }
  TargetState& state = targets_[sample.target];
  std::erase_if(state.samples, [&](const KnownSample& it) {
    return now - it.at > kForgetTime ||
           (it.sample.entry == sample.entry &&
            it.sample.request_id == sample.request_id);
  });
  // A split sample counts half, so twice as many are kept.
  const size_t most = sample.engines == 1 ? kMaxSamples : 2 * kMaxSamples;
  while (state.samples.size() >= most) {
    state.samples.erase(state.samples.begin());
  }
  state.samples.push_back({sample, now, UsualRatio(sample, now)});
  const double before = state.pace;
  state.pace = JudgePace(state, now);
  if (state.pace == before) {
    return std::nullopt;
  }
  const Change change{sample.target, state.pace, before > kEvenPace};
  counters_.became_slow += change.is_slow() && !change.was_slow ? 1 : 0;
  counters_.became_even += change.is_slow() ? 0 : 1;
  return change;
}

std::vector<TargetPaceTable::Change> TargetPaceTable::Prune(Time now) {
  const auto is_old = [now](Time at) { return now - at > kForgetTime; };
  std::vector<Change> changes;
  std::erase_if(targets_, [&](const auto& it) {
    const TargetState& state = it.second;
    const bool forget =
        state.samples.empty() || is_old(state.samples.back().at);
    if (forget && state.pace > kEvenPace) {
      changes.push_back({it.first, kEvenPace, true});
    }
    return forget;
  });
  counters_.became_even += changes.size();
  const auto prune = [&](RatioMap& ratios) {
    std::erase_if(ratios, [&](const auto& it) { return is_old(it.second.at); });
  };
  prune(fleet_ratios_);
  for (auto& [entry, ratios] : entry_ratios_) {
    prune(ratios);
  }
  std::erase_if(entry_ratios_,
                [](const auto& it) { return it.second.empty(); });
  return changes;
}

void TargetPaceTable::RemoveEntry(const PeerId& entry) {
  entry_ratios_.erase(entry);
}

double TargetPaceTable::PaceOf(const TargetId& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? kEvenPace : it->second.pace;
}

bool TargetPaceTable::IsTrialDue(const TargetId& target, Time now) const {
  const auto it = targets_.find(target);
  return it != targets_.end() && it->second.pace > kEvenPace &&
         now >= it->second.next_trial_at &&
         now - it->second.samples.back().at >= kTrialInterval;
}

void TargetPaceTable::OnTrial(const TargetId& target, Time now) {
  const auto it = targets_.find(target);
  if (it != targets_.end()) {
    ++counters_.trials;
    it->second.next_trial_at = now + kTrialInterval;
  }
}

}  // namespace burdockhatch
