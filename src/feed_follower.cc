#include "src/feed_follower.h"

#include <algorithm>
#include <utility>

#include "src/log.h"

namespace burdockhatch {

namespace {

// Each call costs the same, however long it waits. The wait bounds how long a
// store that is silent to this process, or that hides changes while it forgets
// its history, keeps a change from being seen: the platform counts a process as
// connected three seconds after that, and expects the change in force two
// seconds after it was made.
constexpr Duration kWatchWait = std::chrono::milliseconds(2'300);
// A withdrawal is to be in force within five seconds.
constexpr Duration kWithdrawalWait = std::chrono::milliseconds(4'000);
// Changes often come together; one call then brings them. Far below the bounds
// within which a change is to be in force.
constexpr Duration kCollectTime = std::chrono::milliseconds(200);
// Targets come and go by the dozen when a release or a failure goes through the
// fleet; a leaving one is to get nothing new after two seconds.
constexpr Duration kTargetsCollectTime = std::chrono::milliseconds(400);
constexpr int64_t kFirstRetryMs = 60;
constexpr int64_t kLongestRetryMs = 600;
// Changes read this soon after the store is back may come from its absence.
constexpr Duration kAwayMemory = std::chrono::milliseconds(300);

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
  listing_ = true;
  if (after.empty()) {
    listed_.clear();
    list_revision_ = 0;
  }
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
  OnSuccess();
  if (list_revision_ == 0) {
    // An item of this page may change while later pages are read.
    list_revision_ = reply.revision;
  }
  listed_.insert(listed_.end(), std::make_move_iterator(reply.items.begin()),
                 std::make_move_iterator(reply.items.end()));
  if (!reply.next.empty()) {
    List(reply.next);
    return;
  }
  revision_ = list_revision_;
  listing_ = false;
  observer_({true, std::exchange(listed_, {}), revision_, WasAway()});
  Watch();
}

void FeedFollower::Watch() {
  const std::weak_ptr<bool> alive = alive_;
  // After a failure, a call that answers at once shows when the store is back.
  const Duration usual =
      kind_ == FeedKind::kWithdrawals ? kWithdrawalWait : kWatchWait;
  const Duration wait = failures_ > 0 ? Duration(0) : usual;
  feed_->Watch(kind_, revision_, wait, [this, alive](FeedReply reply) {
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
  OnSuccess();
  revision_ = std::max(revision_, reply.revision);
  if (reply.items.empty()) {
    Watch();
    return;
  }
  observer_({false, std::move(reply.items), revision_, WasAway()});
  WatchLater(kind_ == FeedKind::kTargets ? kTargetsCollectTime : kCollectTime);
}

void FeedFollower::WatchLater(Duration delay) {
  retry_ = timers_->Schedule(delay, [this] { Watch(); });
}

void FeedFollower::OnFailure(const FeedReply& reply) {
  const Time now = timers_->Now();
  if (away_since_ == Time()) {
    away_since_ = now;
    Log(LogLevel::kWarning, "feed_lost",
        {{"feed", std::string(ToString(kind_))}, {"reason", reply.reason}});
  }
  const int64_t base = std::min<int64_t>(
      kFirstRetryMs << std::min(failures_, 6U), kLongestRetryMs);
  ++failures_;
  const int64_t wait_ms =
      base / 2 +
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(base) / 2 + 1));
  retry_ = timers_->Schedule(std::chrono::milliseconds(wait_ms), [this] {
    if (listing_) {
      List("");
    } else {
      Watch();
    }
  });
}

void FeedFollower::OnSuccess() {
  failures_ = 0;
  if (away_since_ == Time()) {
    return;
  }
  const Time now = timers_->Now();
  Log(LogLevel::kInfo, "feed_regained",
      {{"feed", std::string(ToString(kind_))},
       {"away_ms", std::to_string((now - away_since_).count() / 1'000)}});
  away_since_ = Time();
  back_at_ = now;
}

bool FeedFollower::WasAway() const {
  return back_at_ != Time() && timers_->Now() - back_at_ < kAwayMemory;
}

}  // namespace burdockhatch
