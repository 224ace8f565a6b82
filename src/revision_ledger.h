// Tells from the revisions in the store's replies whether a list that has heard
// nothing for a while has missed a change.
#ifndef SRC_REVISION_LEDGER_H_
#define SRC_REVISION_LEDGER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "src/clock.h"
#include "src/messages.h"
#include "src/store_revision.h"
#include "src/units.h"

namespace burdockhatch {

// All lists share the store's revision counter, and each reply states its
// value. A list is complete up to a revision if every change until then belongs
// to another list and has been received there. If revisions have gaps, no list
// is confirmed by the replies to another one.
class RevisionLedger {
 public:
  // The changes of `kind` up to `position` have been received.
  void OnReceived(FeedKind kind, StoreRevision position);

  // A reply that is passed on to the list `kind`: its changes have these
  // revisions, and the store was at `position`.
  void OnReply(FeedKind kind,
               StoreRevision position,
               const std::vector<uint64_t>& changes,
               Time now);

  // Whether the list, known up to `known`, lacks no change that any reply
  // shows.
  bool IsComplete(FeedKind kind, StoreRevision known) const;
  // Whether it is complete by a reply within the last `max_age`.
  bool IsConfirmed(FeedKind kind,
                   StoreRevision known,
                   Duration max_age,
                   Time now) const;

 private:
  // Changes beyond this number wait for a reply to a list that is far behind;
  // without them it is not confirmed.
  static constexpr size_t kMaxChanges = 1'024;

  // Returns false if the epoch has passed.
  bool EnterEpoch(StoreEpoch epoch);
  void Advance();

  StoreEpoch epoch_;
  std::array<uint64_t, kFeedKindCount> complete_until_{};
  std::set<uint64_t> changes_;  // Received, and beyond an entry of the above.
  uint64_t newest_ = 0;         // Revision of the store.
  Time newest_at_{};            // When a reply stated it last.
};

}  // namespace burdockhatch

#endif  // SRC_REVISION_LEDGER_H_
