#include "src/revision_ledger.h"

#include <algorithm>

namespace burdockhatch {

bool RevisionLedger::EnterEpoch(StoreEpoch epoch) {
  if (epoch.value() > epoch_.value()) {
    epoch_ = epoch;
    complete_until_ = {};
    changes_.clear();
    newest_ = 0;
    newest_at_ = Time();
  }
  return epoch == epoch_;
}

void RevisionLedger::Advance() {
  for (uint64_t& it : complete_until_) {
    while (changes_.contains(it + 1)) {
      ++it;
    }
  }
  const uint64_t behind =
      *std::min_element(complete_until_.begin(), complete_until_.end());
  changes_.erase(changes_.begin(), changes_.upper_bound(behind));
  if (changes_.size() > kMaxChanges) {
    changes_.clear();
  }
}

void RevisionLedger::OnReceived(FeedKind kind, StoreRevision position) {
  if (!EnterEpoch(position.epoch)) {
    return;
  }
  uint64_t& until = complete_until_[static_cast<size_t>(kind)];
  until = std::max(until, position.revision);
  Advance();
}

void RevisionLedger::OnReply(FeedKind kind,
                             StoreRevision position,
                             const std::vector<uint64_t>& changes,
                             Time now) {
  if (!EnterEpoch(position.epoch)) {
    return;
  }
  changes_.insert(changes.begin(), changes.end());
  if (position.revision >= newest_) {
    newest_ = position.revision;
    newest_at_ = now;
  }
  OnReceived(kind, position);
}

bool RevisionLedger::IsComplete(FeedKind kind, StoreRevision known) const {
  return known.epoch == epoch_ &&
         complete_until_[static_cast<size_t>(kind)] >= newest_;
}

bool RevisionLedger::IsConfirmed(FeedKind kind,
                                 StoreRevision known,
                                 Duration max_age,
                                 Time now) const {
  return IsComplete(kind, known) && newest_at_ != Time() &&
         now - newest_at_ < max_age;
}

}  // namespace burdockhatch
