// Load balancer for plain services, whose targets have no agent. Each entry
// scores targets by its own calls in progress, latencies and failures.
#ifndef SRC_SERVICE_BALANCER_H_
#define SRC_SERVICE_BALANCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/clock.h"
#include "src/fleet_directory.h"
#include "src/ids.h"
#include "src/random.h"
#include "src/shared_rate.h"
#include "src/shut_targets.h"
#include "src/target_signals.h"

namespace burdockhatch {

enum class CallOutcome : uint8_t {
  kAnswered,    // Includes application errors.
  kRejected,    // Not executed: the target was full.
  kFailed,      // Connection failure, broken answer or timeout.
  kCallerGone,  // The caller disconnected.
};

class ServiceBalancer {
 public:
  struct ChoiceParams {
    DataCentreId entry_data_centre;  // Its targets are preferred.
    std::vector<TargetId> excluded_targets;
    double cold_requests_per_s = 0;  // 0 means no limit.
    // Entries that share the rate of a target; nullopt if unknown.
    std::optional<uint32_t> entry_count;
    // What the targets say of themselves; may be null.
    const TargetSignalTable* signals = nullptr;
  };

  explicit ServiceBalancer(uint64_t seed) : random_(seed) {}

  // Chooses a target among `usable` for one call and counts the call as in
  // progress. Returns nullopt if no target may get a call now.
  std::optional<TargetId> BeginCall(
      const std::vector<const FleetDirectory::KnownTarget*>& usable,
      const ChoiceParams& params,
      Time now);

  // Returns when targets open again if the rates and signals of all of them
  // forbid calls now, or nullopt if some target may be called.
  std::optional<ShutTargets> FindShutTargets(
      const std::vector<const FleetDirectory::KnownTarget*>& usable,
      const ChoiceParams& params,
      Time now);

  // Records the outcome of a call that BeginCall started.
  void EndCall(const TargetId& target,
               CallOutcome outcome,
               Duration took,
               Time now);

  // Drops the statistics of targets that are no longer in the directory and
  // have no call in progress.
  void RemoveUnlistedTargets(const FleetDirectory& directory);

 private:
  struct Target {
    uint32_t in_progress = 0;
    double failure_share = 0;  // Moving average of failed calls, 0 to 1.
    // Moving average of the call latency; 0 until the first answer.
    double call_ms = 0;
    uint32_t consecutive_failures = 0;
    Time suspect_until{};
    // This entry's part of the rate, while the target is cold or states a
    // limit.
    SharedRate rate;
  };

  // Returns the earliest time at which the target may be called, or Time::max()
  // if it may not.
  Time OpenAt(const FleetDirectory::KnownTarget& entry,
              const ChoiceParams& params,
              Time now);
  void UpdateRates(
      const std::vector<const FleetDirectory::KnownTarget*>& usable,
      const ChoiceParams& params,
      Time now);

  // Returns the cost of a call in milliseconds; the lowest cost is chosen.
  double Score(const FleetDirectory::KnownTarget& entry,
               const ChoiceParams& params,
               Time now);

  std::map<TargetId, Target> targets_;
  Random random_;
};

}  // namespace burdockhatch

#endif  // SRC_SERVICE_BALANCER_H_
