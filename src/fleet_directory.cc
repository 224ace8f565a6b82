#include "src/fleet_directory.h"

#include <algorithm>
#include <utility>

namespace burdockhatch {

void FleetDirectory::Put(const TargetRecord& record,
                         uint64_t revision,
                         Time now) {
  for (auto& [id, other] : entries_) {
    if (id != record.target && other.record.address == record.address) {
      // Only the target that started last is there; when that is not known, the
      // one that was listed last.
      const bool is_older = record.started_at < other.record.started_at;
      if (is_older) {
        return;
      }
      other.replaced = true;
    }
  }
  Entry& entry = entries_[record.target];
  const bool restarted = entry.record.started_at != record.started_at;
  entry.replaced = entry.replaced && !restarted;
  entry.record = record;
  entry.cold_until = now + record.cold_left;
  entry.lapses_at.reset();
  revision_ = std::max(revision_, revision);
  ++generation_;
}

void FleetDirectory::Remove(const TargetId& target,
                            uint64_t revision,
                            bool list_was_away,
                            Time now) {
  Drop(target, list_was_away, now);
  revision_ = std::max(revision_, revision);
}

void FleetDirectory::Replace(const std::vector<TargetRecord>& records,
                             uint64_t revision,
                             bool list_was_away,
                             Time now) {
  std::set<TargetId> listed;
  for (const TargetRecord& it : records) {
    listed.insert(it.target);
    Put(it, revision, now);
  }
  std::vector<TargetId> missing;
  for (const auto& [target, entry] : entries_) {
    if (!listed.contains(target)) {
      missing.push_back(target);
    }
  }
  for (const TargetId& it : missing) {
    Drop(it, list_was_away, now);
  }
  revision_ = std::max(revision_, revision);
}

void FleetDirectory::Drop(const TargetId& target,
                          bool list_was_away,
                          Time now) {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return;
  }
  ++generation_;
  if (list_was_away && !it->second.record.draining) {
    if (!it->second.lapses_at) {
      it->second.lapses_at = now + kLapsedGrace;
    }
    return;
  }
  entries_.erase(it);
}

void FleetDirectory::SetWithdrawn(std::set<DataCentreId> data_centres) {
  withdrawn_ = std::move(data_centres);
  ++generation_;
}

void FleetDirectory::MarkReplaced(const TargetId& target) {
  const auto it = entries_.find(target);
  if (it != entries_.end() && !it->second.replaced) {
    it->second.replaced = true;
    ++generation_;
  }
}

bool FleetDirectory::IsUsable(const Entry& entry, Time now) const {
  const bool lapsed = entry.lapses_at && now >= *entry.lapses_at;
  return !entry.record.draining && !entry.replaced && !lapsed &&
         !withdrawn_.contains(entry.record.data_centre);
}

const FleetDirectory::Entry* FleetDirectory::Find(
    const TargetId& target) const {
  const auto it = entries_.find(target);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<const FleetDirectory::Entry*> FleetDirectory::UsableTargets(
    const ServiceId& service,
    Time now) const {
  std::vector<const Entry*> list;
  for (const auto& [target, entry] : entries_) {
    if (entry.record.service == service && IsUsable(entry, now)) {
      list.push_back(&entry);
    }
  }
  return list;
}

void FleetDirectory::Tick(Time now) {
  const size_t dropped = std::erase_if(entries_, [now](const auto& it) {
    return it.second.lapses_at && now >= *it.second.lapses_at;
  });
  if (dropped > 0) {
    ++generation_;
  }
}

}  // namespace burdockhatch
