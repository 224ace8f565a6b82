// How much slower than their stated costs the engines of a service are. The
// pace of an engine is 1 if it is as fast as stated and 2 if it takes twice as
// long.
//
// A sample is one request: its time to the first event, in relation to the
// prediction for an engine that is as fast as stated. The prediction may be
// wrong for all engines, for example in a burst, and an entry or its link may
// be slow. A sample is therefore divided by the usual ratio of the other
// engines, at the same entry and at all entries, whichever is larger.
#ifndef SRC_TARGET_PACE_H_
#define SRC_TARGET_PACE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"

namespace burdockhatch {

inline constexpr double kEvenPace = 1;
// A larger pace would refuse long prompts for which a slow engine is the last
// one left.
inline constexpr double kMaxPace = 8;
// An engine with this pace or more gets no request while others are free,
// except for trials. Those that are less slow get what their prediction allows.
inline constexpr double kUnusablePace = 4;

// Returns the ratio of the observed to the predicted time to the first event.
// `pace` is the pace by which the prediction was multiplied.
double PaceRatio(Duration observed, Duration predicted, double pace);

struct PaceSample {
  PeerId entry;
  TargetId target;
  uint64_t request_id = 0;
  double ratio = 1;  // See PaceRatio().
  // Engines that prefilled a part of the prompt. A split prompt does not tell
  // which of them is slow, so its sample weighs less.
  size_t engines = 1;
};

class TargetPaceTable {
 public:
  struct Change {
    TargetId target;
    double pace = kEvenPace;
    bool was_slow = false;

    bool is_slow() const { return pace > kEvenPace; }
  };
  struct Counters {
    uint64_t samples = 0;
    uint64_t became_slow = 0;
    uint64_t became_even = 0;
    uint64_t trials = 0;
  };

  // Adds a sample. One of the same entry and request replaces the previous one:
  // a request without its first event yet is a sample of the time that it has
  // taken so far. Returns the change of the target's pace, if any.
  std::optional<Change> Add(const PaceSample& sample, Time now);

  // Forgets targets without a recent sample. Returns the changes.
  std::vector<Change> Prune(Time now);

  void RemoveEntry(const PeerId& entry);

  // Whether the entry has stated the time of a first event lately.
  bool KnowsEntry(const PeerId& entry) const {
    return entry_ratios_.contains(entry);
  }

  double PaceOf(const TargetId& target) const;

  // Whether a slow target that gets no work should get a request that shows
  // whether it is even again.
  bool IsTrialDue(const TargetId& target, Time now) const;
  void OnTrial(const TargetId& target, Time now);

  const Counters& counters() const { return counters_; }

 private:
  struct KnownSample {
    PaceSample sample;
    Time at{};
    std::optional<double> usual_ratio;  // When the sample was added.
  };
  struct TargetState {
    double pace = kEvenPace;
    std::vector<KnownSample> samples;  // The latest ones, oldest first.
    Time next_trial_at{};
  };
  struct LatestRatio {
    double ratio = 1;
    Time at{};
  };
  // Latest ratio of each target, at one entry or at all.
  using RatioMap = std::map<TargetId, LatestRatio>;

  // Returns the usual ratio of the targets other than `target`, or nullopt if
  // there are too few of them.
  static std::optional<double> UsualRatio(const RatioMap& ratios,
                                          const TargetId& target,
                                          size_t min_others,
                                          Time now);
  // Returns the usual ratio of the other targets, at the entry of the sample
  // and at all entries, whichever is larger.
  std::optional<double> UsualRatio(const PaceSample& sample, Time now) const;
  double JudgePace(const TargetState& state, Time now) const;

  std::map<TargetId, TargetState> targets_;
  std::map<PeerId, RatioMap> entry_ratios_;
  RatioMap fleet_ratios_;
  Counters counters_;
};

}  // namespace burdockhatch

#endif  // SRC_TARGET_PACE_H_
