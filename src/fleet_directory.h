// The targets that an entry may forward to, from the platform's lagging list.
// A target that leaves, or whose data centre is withdrawn, gets nothing new.
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
#include "src/units.h"

namespace burdockhatch {

// One line of the platform's list.
struct TargetRecord {
  TargetId target;
  ServiceId service;
  std::string address;  // "ip:port".
  DataCentreId data_centre;
  uint32_t slots = 1;  // Requests that the target works on at once.
  bool draining = false;
  Duration cold_left{0};    // At the time of the record.
  uint64_t started_at = 0;  // Unix milliseconds; 0 when not stated.
};

// Lines that lapsed while the list was away return within this time when the
// target lives; the platform states two seconds.
inline constexpr Duration kLapsedGrace = std::chrono::milliseconds(2000);

class FleetDirectory {
 public:
  // `revision` is that of the list, which grows with each change.
  void Put(const TargetRecord& record, uint64_t revision, Time now);

  // `list_was_away`: the list could not be read shortly before, so the target
  // may have lapsed although it lives. It stays usable for kLapsedGrace.
  void Remove(const TargetId& target,
              uint64_t revision,
              bool list_was_away,
              Time now);

  // Replaces the whole list after its history was lost.
  void Replace(const std::vector<TargetRecord>& records,
               uint64_t revision,
               bool list_was_away,
               Time now);

  void SetWithdrawn(std::set<DataCentreId> data_centres);

  // The target said that another one has its address.
  void MarkReplaced(const TargetId& target);

  struct Entry {
    TargetRecord record;
    Time cold_until{};
    std::optional<Time> lapses_at;  // Missing from the list since it was away.
    bool replaced = false;
  };

  bool IsUsable(const Entry& entry, Time now) const;
  const Entry* Find(const TargetId& target) const;
  std::vector<const Entry*> UsableTargets(const ServiceId& service,
                                          Time now) const;
  const std::map<TargetId, Entry>& entries() const { return entries_; }
  const std::set<DataCentreId>& withdrawn() const { return withdrawn_; }

  // Grows with each change of what is usable.
  uint64_t generation() const { return generation_; }
  // Of the newest change of the list.
  uint64_t revision() const { return revision_; }

  // Drops targets whose grace has passed.
  void Tick(Time now);

 private:
  void Drop(const TargetId& target, bool list_was_away, Time now);

  std::map<TargetId, Entry> entries_;
  std::set<DataCentreId> withdrawn_;
  uint64_t generation_ = 0;
  uint64_t revision_ = 0;
};

}  // namespace burdockhatch

#endif  // SRC_FLEET_DIRECTORY_H_
