// Keeps a copy of one platform list up to date: reads the complete list, then
// watches for changes, and reads the list again if changes were missed.
#ifndef SRC_FEED_FOLLOWER_H_
#define SRC_FEED_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "src/fleet_feed.h"
#include "src/random.h"
#include "src/timers.h"

namespace burdockhatch {

struct FeedUpdate {
  bool is_snapshot = false;  // Items not in `items` were removed.
  std::vector<FeedItem> items;
  uint64_t revision = 0;
  StoreEpoch epoch;
  // The platform's store could not be read until shortly before this update.
  bool store_was_unavailable = false;
};

class FeedFollower {
 public:
  using Observer = std::function<void(FeedUpdate)>;

  // `feed` and `timers` must outlive the follower. `seed` is for retry jitter.
  FeedFollower(FeedKind kind,
               FleetFeed* feed,
               Timers* timers,
               uint64_t seed,
               Observer observer);

  void Start();

  // The time of the first failed call since the last success; zero while calls
  // succeed.
  Time unavailable_since() const { return unavailable_since_; }
  // The time of the first successful call after the last failure.
  Time recovered_at() const { return recovered_at_; }
  uint64_t revision() const { return revision_; }
  StoreEpoch epoch() const { return epoch_; }
  // Times that the list was read in another epoch than before.
  uint64_t epoch_changes() const { return epoch_changes_; }
  // Elements read so far that describe no valid item.
  uint64_t unreadable_items() const { return unreadable_items_; }

 private:
  void List(std::string after);
  void OnList(FeedReply reply);
  void Watch();
  void OnWatch(FeedReply reply);
  // Drops what was read of another epoch than that of the list.
  void ListNewEpoch(StoreEpoch list_epoch, FeedReply reply);
  void OnFailure(const FeedReply& reply);
  void OnSuccess(const FeedReply& reply);
  void ScheduleWatch(Duration delay);
  bool StoreWasUnavailable() const;

  const FeedKind kind_;
  FleetFeed* feed_;
  Timers* timers_;
  Random random_;
  Observer observer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<Timer> next_call_timer_;
  std::vector<FeedItem> listed_items_;
  std::string page_after_;            // Of the page that is being read.
  uint64_t first_page_revision_ = 0;  // Of the listing in progress.
  StoreEpoch listing_epoch_;          // Of the first page.
  bool is_listing_ = true;
  bool has_list_ = false;
  uint64_t revision_ = 0;
  StoreEpoch epoch_;
  uint64_t epoch_changes_ = 0;
  Time epoch_mismatch_at_{};  // Of the latest reply of another epoch.
  uint64_t unreadable_items_ = 0;
  uint32_t consecutive_failures_ = 0;
  Time unavailable_since_{};
  Time recovered_at_{};
};

}  // namespace burdockhatch

#endif  // SRC_FEED_FOLLOWER_H_
