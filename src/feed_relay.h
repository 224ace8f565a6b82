// Follows the platform's lists on behalf of the entries of a data centre and
// sends them the changes. The store then serves one process instead of each
// entry.
#ifndef SRC_FEED_RELAY_H_
#define SRC_FEED_RELAY_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/clock.h"
#include "src/fleet_feed.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/timers.h"

namespace burdockhatch {

class FeedRelay {
 public:
  using Sender = std::function<void(const PeerId& entry, MessageBody body)>;

  // `feed` and `timers` must outlive the relay.
  FeedRelay(FleetFeed* feed, Timers* timers, Sender send);

  // Sends the changes that the entry lacks, and a proof. A feed is followed
  // from its first poll until no entry has polled for kEntryTimeout.
  void OnPoll(const PeerId& entry, const FeedPoll& poll, Time now);

  size_t entry_count() const { return entries_.size(); }

  // Returns the relay's state as JSON.
  std::string Dump(Time now) const;

 private:
  struct Feed {
    bool is_followed = false;
    uint64_t revision = 0;
    StoreEpoch epoch;  // Of all revisions of the feed.
    // History is complete after this revision.
    uint64_t complete_after = 0;
    std::deque<FeedDelta> history;
    size_t history_bytes = 0;
    Time call_sent_at{};
    Duration call_wait{0};
    // No change is missing up to this time. Zero until the first reply.
    Time confirmed_at{};
    std::unique_ptr<Timer> next_call;
  };

  struct Entry {
    Time polled_at{};
    std::array<uint64_t, kFeedKindCount> sent_revisions{};
  };

  Feed& FeedOf(FeedKind kind) { return feeds_[static_cast<size_t>(kind)]; }
  void Watch(FeedKind kind);
  void OnWatch(FeedKind kind, EncodedFeedReply reply);
  void StopFollowing(FeedKind kind);
  void AddDelta(FeedKind kind, EncodedFeedReply reply);
  void SendMissing(FeedKind kind, const PeerId& entry, uint64_t revision);
  void RemoveSilentEntries(Time now);

  FleetFeed* feed_;
  Timers* timers_;
  Sender send_;
  std::array<Feed, kFeedKindCount> feeds_;
  std::map<PeerId, Entry> entries_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burdockhatch

#endif  // SRC_FEED_RELAY_H_
