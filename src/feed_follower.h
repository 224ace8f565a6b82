// Keeps up with one kind of the platform's lists: a list first, then changes,
// and a list again when changes were missed.
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
  bool is_whole_list = false;  // What `items` lacks is gone.
  std::vector<FeedItem> items;
  uint64_t revision = 0;
  // The platform's store could not be read shortly before.
  bool was_away = false;
};

class FeedFollower {
 public:
  using Observer = std::function<void(FeedUpdate)>;

  // `feed` and `timers` outlive the follower.
  FeedFollower(FeedKind kind,
               FleetFeed* feed,
               Timers* timers,
               uint64_t seed,
               Observer observer);

  void Start();

  // Since when no call has succeeded; zero while calls succeed.
  Time away_since() const { return away_since_; }
  uint64_t revision() const { return revision_; }

 private:
  void List(std::string after);
  void OnList(FeedReply reply);
  void Watch();
  void OnWatch(FeedReply reply);
  void OnFailure(const FeedReply& reply);
  void OnSuccess();
  void WatchLater(Duration delay);
  bool WasAway() const;

  const FeedKind kind_;
  FleetFeed* feed_;
  Timers* timers_;
  Random random_;
  Observer observer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<Timer> retry_;
  std::vector<FeedItem> listed_;
  uint64_t list_revision_ = 0;  // Of the first page.
  bool listing_ = true;
  uint64_t revision_ = 0;
  uint32_t failures_ = 0;
  Time away_since_{};
  Time back_at_{};
};

}  // namespace burdockhatch

#endif  // SRC_FEED_FOLLOWER_H_
