// Saves calls to the platform's store: keeps watches of the lists that rarely
// change open for long, and lets one list try a store that refuses calls.
#ifndef SRC_LONG_WATCH_FEED_H_
#define SRC_LONG_WATCH_FEED_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/fleet_feed.h"
#include "src/revision_ledger.h"
#include "src/timers.h"

namespace burdockhatch {

// The list of targets is watched as its follower asks, and its replies prove
// that the other lists are complete (RevisionLedger). Where they don't, the
// list is checked by a call without a wait. A watch that a follower makes ends
// after the time that it states, whether or not it takes a call.
class LongWatchFeed : public FleetFeed {
 public:
  // Shorter than the least history that the store keeps.
  static constexpr Duration kLongWait = std::chrono::milliseconds(15'000);
  // Time after a reply in which the change that it shows reaches the watch of
  // its list.
  static constexpr Duration kDeliveryTime = std::chrono::milliseconds(100);
  // What the age of a proof may exceed the time that a follower states by: the
  // list of targets is not watched for 400 ms after a change, and replies may
  // be late.
  static constexpr Duration kProofSlack = std::chrono::milliseconds(600);
  // Time after a refused call in which the calls of other lists are held back.
  static constexpr Duration kHoldTime = std::chrono::milliseconds(400);
  // Time after which a call that is held back is made.
  static constexpr Duration kMaxHold = std::chrono::milliseconds(600);
  // Calls in a row of one list that end with the refusal of another's. A
  // refusal may concern its own list only.
  static constexpr int kMaxSharedRefusals = 2;

  struct Stats {
    uint64_t watches_confirmed = 0;  // Ended without a call.
    uint64_t checks = 0;
    uint64_t refusals_shared = 0;  // Calls not made after a refused one.
  };

  // `store` and `timers` outlive the feed.
  LongWatchFeed(FleetFeed* store, Timers* timers);

  void List(FeedKind kind, const std::string& after, Callback done) override;
  void Watch(FeedKind kind,
             StoreRevision after,
             Duration wait,
             Callback done) override;
  void WatchEncoded(FeedKind kind,
                    StoreRevision after,
                    Duration wait,
                    std::function<void(EncodedFeedReply)> done) override;
  FeedReply Decode(FeedKind kind, const std::string& body) const override;

  const Stats& stats() const { return stats_; }

 private:
  struct PendingWatch {
    StoreRevision after;
    Duration wait{0};
    Callback done;
  };
  // A call that waits for the outcome of another list's.
  struct HeldCall {
    std::function<void()> make;
    Callback refuse;
    std::unique_ptr<Timer> timer;
  };
  struct Feed {
    std::optional<PendingWatch> pending;
    std::unique_ptr<Timer> due;  // Of `pending`.
    // The watch that is open at the store; replies to former ones are dropped.
    bool is_open = false;
    uint64_t open_number = 0;
    StoreRevision open_after;
    Time checked_at{};
    int shared_refusals = 0;  // In a row.
    std::optional<HeldCall> held;
  };

  Feed& FeedOf(FeedKind kind) { return feeds_[static_cast<size_t>(kind)]; }
  void OpenWatch(FeedKind kind, StoreRevision after);
  void Abandon(FeedKind kind);
  // Ends the pending watch of the follower.
  void Complete(FeedKind kind, FeedReply reply);
  void ScheduleDue(FeedKind kind, Duration delay);
  void OnDue(FeedKind kind);
  void Check(FeedKind kind);
  void OnChecked(FeedKind kind, StoreRevision after, FeedReply reply);
  // Takes note of a reply that is passed on.
  void OnReply(FeedKind kind, const FeedReply& reply);
  void NoteOutcome(FeedKind kind, const FeedReply& reply);
  // Soon checks the lists that lack a change which a reply has shown, each at
  // most once in the time that its follower states.
  void HastenChecks();
  // Makes the call, or holds it back while the store refuses others. `refuse`
  // receives the refusal if it is not made.
  void MakeOrHold(FeedKind kind, std::function<void()> make, Callback refuse);
  // Ends the calls that are held back: they are made, or share the refusal.
  void ReleaseHeld(FeedKind decided_by, bool is_refused);

  FleetFeed* store_;
  Timers* timers_;
  RevisionLedger ledger_;
  std::array<Feed, kFeedKindCount> feeds_;
  Time refused_at_{};  // Of the latest call, if it was refused.
  FeedKind refused_kind_ = FeedKind::kRoutes;
  std::string refusal_reason_;
  Stats stats_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burdockhatch

#endif  // SRC_LONG_WATCH_FEED_H_
