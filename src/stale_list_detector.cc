#include "src/stale_list_detector.h"

#include <algorithm>

namespace burdockhatch {

namespace {

// Replaced targets within kEvidenceTime that show that the list is stale. A
// single target is also replaced when it restarts alone.
constexpr size_t kEvidence = 2;
constexpr Duration kEvidenceTime = std::chrono::seconds(1);

}  // namespace

bool StaleListDetector::OnReplaced(const TargetId& target,
                                   uint64_t started_at,
                                   Time now) {
  std::erase_if(recent_, [&](const Replacement& it) {
    return it.target == target || now - it.seen_at > kEvidenceTime;
  });
  recent_.push_back({target, now});
  newest_replaced_start_ = std::max(newest_replaced_start_, started_at);
  return recent_.size() >= kEvidence;
}

}  // namespace burdockhatch
