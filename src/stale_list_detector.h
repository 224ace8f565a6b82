// Recognizes a target list that is older than the fleet. After a loss of power,
// other targets answer at the addresses of a list that does not name them yet,
// and each request that is sent by that list is wasted.
#ifndef SRC_STALE_LIST_DETECTOR_H_
#define SRC_STALE_LIST_DETECTOR_H_

#include <cstdint>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"

namespace burdockhatch {

class StaleListDetector {
 public:
  // How long targets that may be gone are not used. Targets are listed anew
  // within this time after a restart of the fleet, and a request can wait for
  // it.
  static constexpr Duration kDoubtTime = std::chrono::milliseconds(1'500);

  // Records that another target has answered at the address of `target`, whose
  // start the list gives as `started_at`. Returns whether the list is stale.
  bool OnReplaced(const TargetId& target, uint64_t started_at, Time now);

  // Whether a target that started at `started_at`, and has not answered since,
  // is probably gone like those that were replaced.
  bool MayBeGone(uint64_t started_at) const {
    return started_at <= newest_replaced_start_;
  }

 private:
  struct Replacement {
    TargetId target;
    Time seen_at{};
  };

  std::vector<Replacement> recent_;  // Of different targets.
  uint64_t newest_replaced_start_ = 0;
};

}  // namespace burdockhatch

#endif  // SRC_STALE_LIST_DETECTOR_H_
