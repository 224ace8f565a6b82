#include "src/restored_store.h"

#include <algorithm>
#include <utility>

namespace burdockhatch {

void RemovedTargets::Add(const TargetId& target,
                         uint64_t started_at,
                         Time now) {
  Removed& removed = removed_[target];
  removed.started_at = std::max(removed.started_at, started_at);
  removed.since = now;
  RemoveOldest(now);
}

void RemovedTargets::AddListedByCopy(const TargetId& target,
                                     uint64_t started_at,
                                     Time now) {
  Add(target, started_at, now);
  if (const auto it = removed_.find(target); it != removed_.end()) {
    it->second.is_listed_by_copy = true;
  }
}

bool RemovedTargets::IsListedByCopy(const TargetId& target,
                                    uint64_t started_at,
                                    bool is_restored,
                                    Time now) {
  const auto it = removed_.find(target);
  if (it == removed_.end() || started_at > it->second.started_at) {
    return false;
  }
  Removed& removed = it->second;
  if (is_restored && now - removed.since <= kMemory) {
    removed.is_listed_by_copy = true;
  }
  if (removed.is_listed_by_copy) {
    removed.since = now;
  }
  return removed.is_listed_by_copy;
}

void RemovedTargets::OnListed(const std::set<TargetId>& listed) {
  for (auto& [target, removed] : removed_) {
    removed.is_listed_by_copy =
        removed.is_listed_by_copy && listed.contains(target);
  }
}

void RemovedTargets::RemoveOldest(Time now) {
  if (removed_.size() <= kMaxTargets) {
    return;
  }
  std::erase_if(removed_, [now](const auto& it) {
    return now - it.second.since > kMemory;
  });
  if (removed_.size() > kMaxTargets) {
    removed_.erase(std::min_element(removed_.begin(), removed_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.since < b.second.since;
                                    }));
  }
}

void WithdrawalList::Replace(std::set<DataCentreId> listed,
                             StoreEpoch epoch,
                             Time now) {
  if (epoch_ && *epoch_ != epoch) {
    for (const DataCentreId& it : InForce()) {
      kept_until_[it] = now + kKeepTime;
    }
  }
  epoch_ = epoch;
  listed_ = std::move(listed);
  std::erase_if(kept_until_,
                [this](const auto& it) { return listed_.contains(it.first); });
}

void WithdrawalList::Add(const DataCentreId& data_centre) {
  listed_.insert(data_centre);
  kept_until_.erase(data_centre);
}

void WithdrawalList::Remove(const DataCentreId& data_centre) {
  listed_.erase(data_centre);
  kept_until_.erase(data_centre);
}

void WithdrawalList::ExtendKept(Time now) {
  for (auto& [data_centre, until] : kept_until_) {
    until = now + kKeepTime;
  }
}

bool WithdrawalList::EndKept(Time now) {
  return std::erase_if(kept_until_,
                       [now](const auto& it) { return now >= it.second; }) > 0;
}

std::set<DataCentreId> WithdrawalList::InForce() const {
  std::set<DataCentreId> in_force = listed_;
  for (const auto& [data_centre, until] : kept_until_) {
    in_force.insert(data_centre);
  }
  return in_force;
}

}  // namespace burdockhatch
