// The targets that an entry may forward to, as known from the platform's target
// list, which lags behind the fleet. A target that drains, or whose data centre
// is withdrawn, gets no new requests.
#ifndef SRC_FLEET_DIRECTORY_H_
#define SRC_FLEET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"
#include "src/restored_store.h"
#include "src/store_revision.h"
#include "src/units.h"

namespace burdockhatch {

// An item of the platform's target list.
struct TargetRecord {
  TargetId target;
  ServiceId service;
  std::string address;  // "ip:port".
  DataCentreId data_centre;
  uint32_t slots = 1;  // Requests that the target executes concurrently.
  bool draining = false;
  Duration cold_left{0};    // Remaining cold time as of the record.
  uint64_t started_at = 0;  // Unix milliseconds; 0 if unknown.
};

// How long a target stays usable after its list item expired during an outage
// of the list. The platform lists a live target again within two seconds.
inline constexpr Duration kMissingTargetGrace = std::chrono::milliseconds(2000);

class FleetDirectory {
 public:
  // Adds or updates a target because of a change of the list. `revision` is the
  // revision of the target list, which grows with each change in the epoch of
  // the last complete list.
  void Put(const TargetRecord& record, uint64_t revision, Time now);

  // `store_was_unavailable` means that the list could not be read until shortly
  // before, so the item of a live target may have expired. Such a target stays
  // usable for kMissingTargetGrace, unless it was draining.
  void Remove(const TargetId& target,
              uint64_t revision,
              bool store_was_unavailable,
              Time now);

  // What a list of a new epoch says that is not taken over.
  struct RestoreSummary {
    bool is_restored = false;  // The list is the first one of its epoch.
    int gone = 0;              // Listed starts of targets that are gone.
    int draining = 0;          // Listed as ready, but known to drain.
    int missing = 0;           // Known, but not listed.
  };

  // Applies a complete list, read at the start, after the history of changes
  // was lost, and after the store was restored from a copy. Targets not in
  // `records` are treated as removed. In a new epoch, what is known to be gone
  // or draining stays so, and targets not in `records` stay usable for
  // kMissingTargetGrace.
  RestoreSummary Replace(const std::vector<TargetRecord>& records,
                         StoreRevision revision,
                         bool store_was_unavailable,
                         Time now);

  // The grace of targets whose items may have expired during an outage of the
  // store begins with its return, which other lists may have seen earlier.
  void SetStoreReturn(Time returned_at) { store_returned_at_ = returned_at; }

  void SetWithdrawn(std::set<DataCentreId> data_centres);

  // Makes `target` unusable until it restarts: another target has answered at
  // its address.
  void MarkReplaced(const TargetId& target);

  // The services that the configuration names. Targets of others are listed by
  // writers that nobody knows, and say nothing of the targets at their address.
  // Until the first call all services count as named.
  void SetServices(std::set<ServiceId> services);

  struct KnownTarget {
    TargetRecord record;
    Time cold_until{};
    std::optional<Time> expires_at;  // Set during the grace period.
    bool is_replaced = false;  // Another target has answered at the address.
    // Another target that started later is listed at the address.
    bool is_superseded = false;
    uint64_t put_number = 0;  // Grows with each record.
    // The target drains, and a copy lists it as ready.
    bool drains_despite_copy = false;
    // The target is missing because a copy lacks it.
    bool is_missing_in_copy = false;
  };

  bool IsUsable(const KnownTarget& entry, Time now) const;
  const KnownTarget* Find(const TargetId& target) const;
  std::vector<const KnownTarget*> UsableTargets(const ServiceId& service,
                                                Time now) const;
  const std::map<TargetId, KnownTarget>& targets() const { return targets_; }
  const std::set<DataCentreId>& withdrawn_data_centres() const {
    return withdrawn_data_centres_;
  }

  // Changes whenever the set of usable targets may have changed.
  uint64_t generation() const { return generation_; }
  // The revision of the newest list change applied.
  StoreRevision revision() const { return revision_; }
  const RemovedTargets& removed_targets() const { return removed_targets_; }

  // Removes targets whose grace period has passed.
  void DropExpiredTargets(Time now);

 private:
  void PutRecord(const TargetRecord& record, Time now);
  // Decides which of the targets at an address may be there.
  void ResolveAddress(const std::string& address);
  bool IsListedLater(const KnownTarget& a, const KnownTarget& b) const;
  // Corrects a listed record by what is known of the target. Returns nullopt if
  // the listed start is gone.
  std::optional<TargetRecord> CorrectListed(const TargetRecord& listed,
                                            RestoreSummary* summary,
                                            Time now);
  void RemoveOrStartGrace(const TargetId& target,
                          bool store_was_unavailable,
                          Time now);

  std::map<TargetId, KnownTarget> targets_;
  std::set<DataCentreId> withdrawn_data_centres_;
  std::optional<std::set<ServiceId>> services_;
  uint64_t last_put_number_ = 0;
  Time store_returned_at_{};
  uint64_t generation_ = 0;
  StoreRevision revision_;
  bool has_list_ = false;
  RemovedTargets removed_targets_;
};

}  // namespace burdockhatch

#endif  // SRC_FLEET_DIRECTORY_H_
