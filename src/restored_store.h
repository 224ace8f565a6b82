// What stays true of the platform's lists after its store was restored from a
// copy. The copy is some seconds old, so it lists what has gone since, and
// lacks what is new. What is written in the new epoch counts as news.
#ifndef SRC_RESTORED_STORE_H_
#define SRC_RESTORED_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "src/clock.h"
#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch {

// Starts of targets that are known to be gone, so that a copy which lists them
// does not bring them back.
class RemovedTargets {
 public:
  // A copy is some seconds old when it is restored, and the store is away for a
  // moment; five minutes cover both many times over.
  static constexpr Duration kMemory = std::chrono::minutes(5);
  // As many as an entry describes to a leader. At about 200 bytes each they
  // take less than 1 MB of the smallest machine's 160 MB. The oldest is dropped
  // first.
  static constexpr size_t kMaxTargets = 4'096;

  // The target's starts up to `started_at` are gone.
  void Add(const TargetId& target, uint64_t started_at, Time now);
  // As Add, for a target that a copy lists.
  void AddListedByCopy(const TargetId& target, uint64_t started_at, Time now);
  // The target has been written again.
  void Forget(const TargetId& target) { removed_.erase(target); }

  // Returns whether a list names this start only because a copy did.
  // `is_restored` says that the list is the first one of a new epoch; later
  // lists of the epoch may still contain the items of the copy.
  bool IsListedByCopy(const TargetId& target,
                      uint64_t started_at,
                      bool is_restored,
                      Time now);
  // Must be called after each complete list: a target that it does not name is
  // no longer listed by the copy.
  void OnListed(const std::set<TargetId>& listed);

  size_t size() const { return removed_.size(); }

 private:
  struct Removed {
    uint64_t started_at = 0;
    Time since{};
    bool is_listed_by_copy = false;
  };

  void RemoveOldest(Time now);

  std::map<TargetId, Removed> removed_;
};

// The data centres that operators have withdrawn, as known from the platform's
// list.
class WithdrawalList {
 public:
  // How long a withdrawal that a copy lacks stays in force. A process may need
  // 3 s to reach the store again, what an outage has lost is written again
  // within 2 s, and a withdrawal must be in force 5 s after its writing.
  static constexpr Duration kKeepTime = std::chrono::seconds(10);

  // Applies a complete list. If its epoch is another one, withdrawals in force
  // that it lacks are kept for kKeepTime.
  void Replace(std::set<DataCentreId> listed, StoreEpoch epoch, Time now);
  void Add(const DataCentreId& data_centre);
  // The operator has ended the withdrawal; it is kept no longer either.
  void Remove(const DataCentreId& data_centre);

  // The store cannot be read, so the operator cannot write: the time of kept
  // withdrawals begins anew.
  void ExtendKept(Time now);
  // Returns whether the time of a kept withdrawal was over.
  bool EndKept(Time now);

  std::set<DataCentreId> InForce() const;
  size_t kept_count() const { return kept_until_.size(); }

 private:
  std::set<DataCentreId> listed_;
  std::map<DataCentreId, Time> kept_until_;
  std::optional<StoreEpoch> epoch_;
};

}  // namespace burdockhatch

#endif  // SRC_RESTORED_STORE_H_
