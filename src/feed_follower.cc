#include "src/feed_follower.h"

#include <algorithm>
#include <utility>

#include "src/log.h"

namespace burdockhatch {

namespace {

// How long a watch call waits for changes. A longer wait needs fewer calls, and
// each costs the same. But a store that does not respond to this process, or
// that hides changes while it loses its history, can delay a change by one
// wait. The platform considers a process connected three seconds after such an
// outage and from then on requires a change to be in force two seconds after it
// was made, so a wait must stay below these three seconds.
constexpr Duration kWatchWait = std::chrono::milliseconds(2'300);
// A withdrawal must be in force within five seconds.
constexpr Duration kWithdrawalWatchWait = std::chrono::milliseconds(4'000);
// Delay before the next watch, so that one call returns a burst of changes; it
// is far below the 2 s within which a change must be in force.
constexpr Duration kBatchingDelay = std::chrono::milliseconds(200);
// Releases and failures change dozens of targets together. A leaving target
// must get no new requests after two seconds.
constexpr Duration kTargetBatchingDelay = std::chrono::milliseconds(400);
constexpr int64_t kFirstRetryMs = 60;
constexpr int64_t kMaxRetryMs = 600;
// Least interval of lists that are read because of another epoch. A list costs
// the store as much as a watch, and one that stated its epoch only sometimes
// would otherwise be called without a pause.
constexpr Duration kMinEpochMismatchInterval = std::chrono::seconds(1);
// Changes read this soon after an outage of the store may be a result of it.
constexpr Duration kOutageAttributionWindow = std::chrono::milliseconds(300);

}  // namespace

std::string_view ToString(FeedKind kind) {
  switch (kind) {
    case FeedKind::kRoutes:
      return "routes";
    case FeedKind::kTargets:
      return "targets";
    case FeedKind::kWithdrawals:
      return "withdrawals";
  }
  return "unknown";
}

FeedFollower::FeedFollower(FeedKind kind,
                           FleetFeed* feed,
                           Timers* timers,
                           uint64_t seed,
                           Observer observer)
    : kind_(kind),
      feed_(feed),
      timers_(timers),
      random_(seed),
      observer_(std::move(observer)) {}

void FeedFollower::Start() {
  List("");
}

void FeedFollower::List(std::string after) {
  is_listing_ = true;
  if (after.empty()) {
    listed_items_.clear();
    first_page_revision_ = 0;
  }
  page_after_ = after;
  const std::weak_ptr<bool> alive = alive_;
  feed_->List(kind_, after, [this, alive](FeedReply reply) {
    if (!alive.expired()) {
      OnList(std::move(reply));
    }
  });
}

void FeedFollower::OnList(FeedReply reply) {
  if (reply.status != FeedStatus::kOk) {
    OnFailure(reply);
    return;
  }
  if (!page_after_.empty() && reply.epoch != listing_epoch_) {
    ListNewEpoch(listing_epoch_, std::move(reply));
    return;
  }
  OnSuccess(reply);
  if (first_page_revision_ == 0) {
    // Watching starts at the revision of the first page, because its items may
    // change while later pages are read.
    first_page_revision_ = reply.revision;
    listing_epoch_ = reply.epoch;
  }
  listed_items_.insert(listed_items_.end(),
                       std::make_move_iterator(reply.items.begin()),
                       std::make_move_iterator(reply.items.end()));
  if (!reply.next.empty() && reply.next != page_after_) {
    List(reply.next);
    return;
  }
  if (!reply.next.empty()) {
    Log(LogLevel::kError, "feed_list_cut",
        {{"feed", std::string(ToString(kind_))},
         {"items", std::to_string(listed_items_.size())}});
  }
  if (has_list_ && listing_epoch_ != epoch_) {
    ++epoch_changes_;
    Log(LogLevel::kWarning, "feed_epoch_changed",
        {{"feed", std::string(ToString(kind_))},
         {"from", std::to_string(epoch_.value())},
         {"to", std::to_string(listing_epoch_.value())},
         {"old_revision", std::to_string(revision_)},
         {"revision", std::to_string(first_page_revision_)}});
  }
  revision_ = first_page_revision_;
  epoch_ = listing_epoch_;
  is_listing_ = false;
  has_list_ = true;
  observer_({true, std::exchange(listed_items_, {}), revision_, epoch_,
             StoreWasUnavailable()});
  Watch();
}

void FeedFollower::Watch() {
  const std::weak_ptr<bool> alive = alive_;
  // After a failure, a call without a wait shows promptly when the store is
  // available again.
  const Duration usual =
      kind_ == FeedKind::kWithdrawals ? kWithdrawalWatchWait : kWatchWait;
  const Duration wait = consecutive_failures_ > 0 ? Duration(0) : usual;
  feed_->Watch(kind_, {revision_, epoch_}, wait,
               [this, alive](FeedReply reply) {
                 if (!alive.expired()) {
                   OnWatch(std::move(reply));
                 }
               });
}

void FeedFollower::OnWatch(FeedReply reply) {
  if (reply.status == FeedStatus::kHistoryExpired) {
    Log(LogLevel::kWarning, "feed_history_gone",
        {{"feed", std::string(ToString(kind_))},
         {"revision", std::to_string(revision_)}});
    List("");
    return;
  }
  if (reply.status != FeedStatus::kOk) {
    OnFailure(reply);
    return;
  }
  if (reply.epoch != epoch_) {
    ListNewEpoch(epoch_, std::move(reply));
    return;
  }
  OnSuccess(reply);
  revision_ = std::max(revision_, reply.revision);
  if (reply.items.empty()) {
    Watch();
    return;
  }
  observer_({false, std::move(reply.items), revision_, epoch_,
             StoreWasUnavailable()});
  ScheduleWatch(kind_ == FeedKind::kTargets ? kTargetBatchingDelay
                                            : kBatchingDelay);
}

void FeedFollower::ScheduleWatch(Duration delay) {
  next_call_timer_ = timers_->Schedule(delay, [this] { Watch(); });
}

void FeedFollower::ListNewEpoch(StoreEpoch list_epoch, FeedReply reply) {
  reply.unreadable_items = 0;
  OnSuccess(reply);
  const Time now = timers_->Now();
  const bool repeats = epoch_mismatch_at_ != Time() &&
                       now - epoch_mismatch_at_ < kMinEpochMismatchInterval;
  epoch_mismatch_at_ = now;
  if (!repeats) {
    List("");
    return;
  }
  // A restored store changes its epoch once.
  Log(LogLevel::kWarning, "feed_epoch_unsteady",
      {{"feed", std::string(ToString(kind_))},
       {"list", std::to_string(list_epoch.value())},
       {"reply", std::to_string(reply.epoch.value())}});
  is_listing_ = true;
  next_call_timer_ =
      timers_->Schedule(kMinEpochMismatchInterval, [this] { List(""); });
}

void FeedFollower::OnFailure(const FeedReply& reply) {
  const Time now = timers_->Now();
  if (unavailable_since_ == Time()) {
    unavailable_since_ = now;
    Log(LogLevel::kWarning, "feed_lost",
        {{"feed", std::string(ToString(kind_))}, {"reason", reply.reason}});
  }
  const int64_t base = std::min<int64_t>(
      kFirstRetryMs << std::min(consecutive_failures_, 6U), kMaxRetryMs);
  ++consecutive_failures_;
  const int64_t wait_ms = base / 2 + static_cast<int64_t>(random_.UniformBelow(
                                         static_cast<uint64_t>(base) / 2 + 1));
  next_call_timer_ =
      timers_->Schedule(std::chrono::milliseconds(wait_ms), [this] {
        if (is_listing_) {
          List("");
        } else {
          Watch();
        }
      });
}

void FeedFollower::OnSuccess(const FeedReply& reply) {
  unreadable_items_ += reply.unreadable_items;
  consecutive_failures_ = 0;
  if (unavailable_since_ == Time()) {
    return;
  }
  const Time now = timers_->Now();
  Log(LogLevel::kInfo, "feed_regained",
      {{"feed", std::string(ToString(kind_))},
       {"away_ms",
        std::to_string((now - unavailable_since_).count() / 1'000)}});
  unavailable_since_ = Time();
  recovered_at_ = now;
}

bool FeedFollower::StoreWasUnavailable() const {
  return recovered_at_ != Time() &&
         timers_->Now() - recovered_at_ < kOutageAttributionWindow;
}

}  // namespace burdockhatch
