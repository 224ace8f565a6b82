#include "src/fleet_directory.h"

#include <algorithm>
#include <utility>

namespace burdockhatch {

void FleetDirectory::Put(const TargetRecord& record,
                         uint64_t revision,
                         Time now) {
  for (auto& [id, other] : targets_) {
    if (id != record.target && other.record.address == record.address) {
      // Of several targets with one address, only the one that started last can
      // be there. Without start times, it is the one listed last.
      const bool is_older = record.started_at < other.record.started_at;
      if (is_older) {
        return;
      }
      other.is_replaced = true;
    }
  }
  KnownTarget& entry = targets_[record.target];
  const bool restarted = entry.record.started_at != record.started_at;
  entry.is_replaced = entry.is_replaced && !restarted;
  entry.record = record;
  entry.cold_until = now + record.cold_left;
  entry.expires_at.reset();
  revision_ = std::max(revision_, revision);
  ++generation_;
}

void FleetDirectory::Remove(const TargetId& target,
                            uint64_t revision,
                            bool store_was_unavailable,
                            Time now) {
  RemoveOrStartGrace(target, store_was_unavailable, now);
  revision_ = std::max(revision_, revision);
}

void FleetDirectory::Replace(const std::vector<TargetRecord>& records,
                             uint64_t revision,
                             bool store_was_unavailable,
                             Time now) {
  std::set<TargetId> listed;
  for (const TargetRecord& it : records) {
    listed.insert(it.target);
    Put(it, revision, now);
  }
  std::vector<TargetId> missing;
  for (const auto& [target, entry] : targets_) {
    if (!listed.contains(target)) {
      missing.push_back(target);
    }
  }
  for (const TargetId& it : missing) {
    RemoveOrStartGrace(it, store_was_unavailable, now);
  }
  revision_ = std::max(revision_, revision);
}

void FleetDirectory::RemoveOrStartGrace(const TargetId& target,
                                        bool store_was_unavailable,
                                        Time now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return;
  }
  ++generation_;
  if (store_was_unavailable && !it->second.record.draining) {
    if (!it->second.expires_at) {
      it->second.expires_at = now + kMissingTargetGrace;
    }
    return;
  }
  targets_.erase(it);
}

void FleetDirectory::SetWithdrawn(std::set<DataCentreId> data_centres) {
  withdrawn_data_centres_ = std::move(data_centres);
  ++generation_;
}

void FleetDirectory::MarkReplaced(const TargetId& target) {
  const auto it = targets_.find(target);
  if (it != targets_.end() && !it->second.is_replaced) {
    it->second.is_replaced = true;
    ++generation_;
  }
}

bool FleetDirectory::IsUsable(const KnownTarget& entry, Time now) const {
  const bool has_expired = entry.expires_at && now >= *entry.expires_at;
  return !entry.record.draining && !entry.is_replaced && !has_expired &&
         !withdrawn_data_centres_.contains(entry.record.data_centre);
}

const FleetDirectory::KnownTarget* FleetDirectory::Find(
    const TargetId& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? nullptr : &it->second;
}

std::vector<const FleetDirectory::KnownTarget*> FleetDirectory::UsableTargets(
    const ServiceId& service,
    Time now) const {
  std::vector<const KnownTarget*> list;
  for (const auto& [target, entry] : targets_) {
    if (entry.record.service == service && IsUsable(entry, now)) {
      list.push_back(&entry);
    }
  }
  return list;
}

void FleetDirectory::DropExpiredTargets(Time now) {
  const size_t dropped = std::erase_if(targets_, [now](const auto& it) {
    return it.second.expires_at && now >= *it.second.expires_at;
  });
  if (dropped > 0) {
    ++generation_;
  }
}

}  // namespace burdockhatch
