// Chooses targets of plain services, which have no agent beside them. Each
// entry counts its own calls and what came of them.
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

namespace burdockhatch {

enum class CallOutcome : uint8_t {
  kAnswered,    // Also with an error of the application.
  kRejected,    // Did not run: the target was full.
  kFailed,      // Broke off, was silent, or could not be reached.
  kCallerGone,  // The caller left.
};

class ServiceBalancer {
 public:
  struct Request {
    DataCentreId entry_data_centre;  // Of the entry.
    std::vector<TargetId> excluded;
    double cold_requests_per_s = 0;  // 0: no limit.
    uint32_t entries = 1;            // That share a cold target's rate.
  };

  explicit ServiceBalancer(uint64_t seed) : random_(seed) {}

  // The target among `usable` for one call, which then counts as begun; nullopt
  // when none may get one now.
  std::optional<TargetId> BeginCall(
      const std::vector<const FleetDirectory::Entry*>& usable,
      const Request& request,
      Time now);

  void EndCall(const TargetId& target,
               CallOutcome outcome,
               Duration took,
               Time now);

  // Forgets targets that are not in the directory any more.
  void RemoveUnlistedTargets(const FleetDirectory& directory);

 private:
  struct Target {
    uint32_t in_progress = 0;
    double failure_share = 0;  // Moving average.
    double call_ms = 0;        // Moving average; 0 before the first answer.
    uint32_t failures = 0;     // In a row.
    Time suspect_until{};
    Time next_cold_call{};
  };

  double Score(const FleetDirectory::Entry& entry,
               const Request& request,
               Time now);

  std::map<TargetId, Target> targets_;
  Random random_;
};

}  // namespace burdockhatch

#endif  // SRC_SERVICE_BALANCER_H_
