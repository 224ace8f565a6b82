#include "src/fleet_directory.h"

#include <algorithm>
#include <utility>

namespace burdockhatch {

void FleetDirectory::Put(const TargetRecord& record,
                         uint64_t revision,
                         Time now) {
  PutRecord(record, now);
  revision_.revision = std::max(revision_.revision, revision);
}

void FleetDirectory::PutRecord(const TargetRecord& record, Time now) {
  KnownTarget& entry = targets_[record.target];
  const bool restarted = entry.record.started_at != record.started_at;
  entry.is_replaced = entry.is_replaced && !restarted;
  const std::string former_address =
      std::exchange(entry.record, record).address;
  entry.put_number = ++last_put_number_;
  entry.cold_until = now + record.cold_left;
  entry.expires_at.reset();
  entry.is_missing_in_copy = false;
  entry.drains_despite_copy = false;
  removed_targets_.Forget(record.target);
  if (former_address != record.address) {
    ResolveAddress(former_address);
  }
  ResolveAddress(record.address);
  ++generation_;
}

// Of several targets with one address, only the one that started last can be
// there. Without start times, it is the one listed last.
bool FleetDirectory::IsListedLater(const KnownTarget& a,
                                   const KnownTarget& b) const {
  return std::pair(a.record.started_at, a.put_number) >
         std::pair(b.record.started_at, b.put_number);
}

void FleetDirectory::ResolveAddress(const std::string& address) {
  std::vector<KnownTarget*> here;
  for (auto& [target, entry] : targets_) {
    if (entry.record.address == address) {
      here.push_back(&entry);
    }
  }
  for (KnownTarget* it : here) {
    it->is_superseded =
        std::any_of(here.begin(), here.end(), [&](const KnownTarget* other) {
          return IsListedLater(*other, *it) && !other->is_replaced &&
                 (!services_ || services_->contains(other->record.service));
        });
  }
}

void FleetDirectory::SetServices(std::set<ServiceId> services) {
  if (services_ == services) {
    return;
  }
  services_ = std::move(services);
  std::set<std::string> addresses;
  for (const auto& [target, entry] : targets_) {
    addresses.insert(entry.record.address);
  }
  for (const std::string& it : addresses) {
    ResolveAddress(it);
  }
  ++generation_;
}

void FleetDirectory::Remove(const TargetId& target,
                            uint64_t revision,
                            bool store_was_unavailable,
                            Time now) {
  RemoveOrStartGrace(target, store_was_unavailable, now);
  revision_.revision = std::max(revision_.revision, revision);
}

FleetDirectory::RestoreSummary FleetDirectory::Replace(
    const std::vector<TargetRecord>& records,
    StoreRevision revision,
    bool store_was_unavailable,
    Time now) {
  RestoreSummary summary;
  summary.is_restored = has_list_ && revision.epoch != revision_.epoch;
  std::set<TargetId> named;
  std::set<TargetId> listed;
  for (const TargetRecord& it : records) {
    named.insert(it.target);
    if (const auto record = CorrectListed(it, &summary, now)) {
      listed.insert(it.target);
      PutRecord(*record, now);
      if (const auto known = targets_.find(it.target);
          known != targets_.end()) {
        known->second.drains_despite_copy = record->draining && !it.draining;
      }
    }
  }
  removed_targets_.OnListed(named);
  std::vector<TargetId> missing;
  for (const auto& [target, entry] : targets_) {
    if (!listed.contains(target)) {
      missing.push_back(target);
    }
  }
  for (const TargetId& it : missing) {
    RemoveOrStartGrace(it, store_was_unavailable || summary.is_restored, now);
    if (const auto known = targets_.find(it);
        known != targets_.end() && summary.is_restored) {
      known->second.is_missing_in_copy = true;
      ++summary.missing;
    }
  }
  if (has_list_ && !summary.is_restored) {
    revision.revision = std::max(revision.revision, revision_.revision);
  }
  revision_ = revision;
  has_list_ = true;
  return summary;
}

std::optional<TargetRecord> FleetDirectory::CorrectListed(
    const TargetRecord& listed,
    RestoreSummary* summary,
    Time now) {
  if (removed_targets_.IsListedByCopy(listed.target, listed.started_at,
                                      summary->is_restored, now)) {
    ++summary->gone;
    return std::nullopt;
  }
  TargetRecord record = listed;
  const auto it = targets_.find(listed.target);
  if (it == targets_.end()) {
    return record;
  }
  const KnownTarget& known = it->second;
  if (summary->is_restored && listed.started_at < known.record.started_at) {
    removed_targets_.AddListedByCopy(listed.target, known.record.started_at - 1,
                                     now);
    ++summary->gone;
    return std::nullopt;
  }
  if ((summary->is_restored || known.drains_despite_copy) &&
      known.record.draining && !listed.draining &&
      listed.started_at <= known.record.started_at) {
    record.draining = true;
    ++summary->draining;
  }
  return record;
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
      const bool returned_lately =
          now - store_returned_at_ < kMissingTargetGrace;
      it->second.expires_at =
          (returned_lately ? store_returned_at_ : now) + kMissingTargetGrace;
    }
    return;
  }
  removed_targets_.Add(target, it->second.record.started_at, now);
  const std::string address = it->second.record.address;
  targets_.erase(it);
  ResolveAddress(address);
}

void FleetDirectory::SetWithdrawn(std::set<DataCentreId> data_centres) {
  withdrawn_data_centres_ = std::move(data_centres);
  ++generation_;
}

void FleetDirectory::MarkReplaced(const TargetId& target) {
  const auto it = targets_.find(target);
  if (it != targets_.end() && !it->second.is_replaced) {
    it->second.is_replaced = true;
    ResolveAddress(it->second.record.address);
    ++generation_;
  }
}

bool FleetDirectory::IsUsable(const KnownTarget& entry, Time now) const {
  const bool has_expired = entry.expires_at && now >= *entry.expires_at;
  return !entry.record.draining && !entry.is_replaced && !entry.is_superseded &&
         !has_expired &&
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
  std::set<std::string> addresses;
  const size_t dropped = std::erase_if(targets_, [&](const auto& it) {
    const KnownTarget& entry = it.second;
    const bool has_expired = entry.expires_at && now >= *entry.expires_at;
    if (has_expired && !entry.is_missing_in_copy) {
      removed_targets_.Add(it.first, entry.record.started_at, now);
    }
    if (has_expired) {
      addresses.insert(entry.record.address);
    }
    return has_expired;
  });
  for (const std::string& it : addresses) {
    ResolveAddress(it);
  }
  if (dropped > 0) {
    ++generation_;
  }
}

}  // namespace burdockhatch
