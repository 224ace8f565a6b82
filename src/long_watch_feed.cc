#include "src/long_watch_feed.h"

#include <algorithm>
#include <utility>

namespace burdockhatch {

LongWatchFeed::LongWatchFeed(FleetFeed* store, Timers* timers)
    : store_(store), timers_(timers) {}

void LongWatchFeed::List(FeedKind kind,
                         const std::string& after,
                         Callback done) {
  const std::weak_ptr<bool> alive = alive_;
  // A page proves nothing until the follower watches from its revision.
  const auto call = [this, alive, kind, after, done] {
    store_->List(kind, after, [this, alive, kind, done](FeedReply reply) {
      if (!alive.expired()) {
        NoteOutcome(kind, reply);
        done(std::move(reply));
      }
    });
  };
  MakeOrHold(kind, call, done);
}

void LongWatchFeed::Watch(FeedKind kind,
                          StoreRevision after,
                          Duration wait,
                          Callback done) {
  ledger_.OnReceived(kind, after);
  if (kind != FeedKind::kTargets && wait > Duration(0)) {
    Feed& feed = FeedOf(kind);
    feed.pending = PendingWatch{after, wait, std::move(done)};
    ScheduleDue(kind, wait);
    if (!feed.is_open || feed.open_after != after) {
      OpenWatch(kind, after);
    }
    return;
  }
  const std::weak_ptr<bool> alive = alive_;
  const auto call = [this, alive, kind, after, wait, done] {
    store_->Watch(kind, after, wait,
                  [this, alive, kind, done](FeedReply reply) {
                    if (!alive.expired()) {
                      OnReply(kind, reply);
                      done(std::move(reply));
                      HastenChecks();
                    }
                  });
  };
  // A call without a wait follows a failure.
  if (wait == Duration(0)) {
    MakeOrHold(kind, call, done);
  } else {
    call();
  }
}

void LongWatchFeed::OpenWatch(FeedKind kind, StoreRevision after) {
  Feed& feed = FeedOf(kind);
  feed.is_open = true;
  feed.open_after = after;
  const uint64_t number = ++feed.open_number;
  const std::weak_ptr<bool> alive = alive_;
  store_->Watch(kind, after, kLongWait,
                [this, alive, kind, number](FeedReply reply) {
                  if (alive.expired() || FeedOf(kind).open_number != number) {
                    return;
                  }
                  FeedOf(kind).is_open = false;
                  if (FeedOf(kind).pending) {
                    OnReply(kind, reply);
                    Complete(kind, std::move(reply));
                    HastenChecks();
                  }
                });
}

void LongWatchFeed::Abandon(FeedKind kind) {
  FeedOf(kind).is_open = false;
  ++FeedOf(kind).open_number;
}

void LongWatchFeed::Complete(FeedKind kind, FeedReply reply) {
  Feed& feed = FeedOf(kind);
  const Callback done = std::move(feed.pending->done);
  feed.pending.reset();
  feed.due.reset();
  done(std::move(reply));
}

void LongWatchFeed::ScheduleDue(FeedKind kind, Duration delay) {
  FeedOf(kind).due = timers_->Schedule(delay, [this, kind] { OnDue(kind); });
}

void LongWatchFeed::OnDue(FeedKind kind) {
  const Feed& feed = FeedOf(kind);
  if (!feed.pending) {
    return;
  }
  if (!ledger_.IsConfirmed(kind, feed.pending->after,
                           feed.pending->wait + kProofSlack, timers_->Now())) {
    Check(kind);
    return;
  }
  ++stats_.watches_confirmed;
  FeedReply reply;
  reply.status = FeedStatus::kOk;
  // The revision stays, so that the open watch serves the next one, too.
  reply.revision = feed.pending->after.revision;
  reply.epoch = feed.pending->after.epoch;
  Complete(kind, std::move(reply));
}

void LongWatchFeed::Check(FeedKind kind) {
  const StoreRevision after = FeedOf(kind).pending->after;
  ++stats_.checks;
  FeedOf(kind).checked_at = timers_->Now();
  const std::weak_ptr<bool> alive = alive_;
  store_->Watch(kind, after, Duration(0),
                [this, alive, kind, after](FeedReply reply) {
                  // The open watch may have had a reply meanwhile.
                  if (!alive.expired() && FeedOf(kind).pending &&
                      FeedOf(kind).pending->after == after) {
                    OnReply(kind, reply);
                    OnChecked(kind, after, std::move(reply));
                  }
                });
}

void LongWatchFeed::OnChecked(FeedKind kind,
                              StoreRevision after,
                              FeedReply reply) {
  if (reply.status == FeedStatus::kOk && reply.epoch == after.epoch &&
      reply.items.empty()) {
    reply.revision = after.revision;
  } else {
    // The open watch has failed to report this.
    Abandon(kind);
  }
  Complete(kind, std::move(reply));
}

void LongWatchFeed::OnReply(FeedKind kind, const FeedReply& reply) {
  NoteOutcome(kind, reply);
  if (reply.status == FeedStatus::kOk) {
    ledger_.OnReply(kind, {reply.revision, reply.epoch}, reply.changes,
                    timers_->Now());
  }
}

void LongWatchFeed::HastenChecks() {
  const Time now = timers_->Now();
  for (int i = 0; i < kFeedKindCount; ++i) {
    const auto kind = static_cast<FeedKind>(i);
    const Feed& feed = FeedOf(kind);
    if (feed.pending && !ledger_.IsComplete(kind, feed.pending->after)) {
      ScheduleDue(kind, std::max(kDeliveryTime,
                                 feed.checked_at + feed.pending->wait - now));
    }
  }
}

void LongWatchFeed::NoteOutcome(FeedKind kind, const FeedReply& reply) {
  const bool is_refused =
      reply.status == FeedStatus::kFailed && reply.is_refusal;
  if (is_refused) {
    refused_at_ = timers_->Now();
    refused_kind_ = kind;
    refusal_reason_ = reply.reason;
  } else {
    refused_at_ = Time();
    for (Feed& it : feeds_) {
      it.shared_refusals = 0;
    }
  }
  ReleaseHeld(kind, is_refused);
}

void LongWatchFeed::MakeOrHold(FeedKind kind,
                               std::function<void()> make,
                               Callback refuse) {
  Feed& feed = FeedOf(kind);
  if (refused_at_ == Time() || refused_kind_ == kind ||
      timers_->Now() - refused_at_ >= kHoldTime ||
      feed.shared_refusals >= kMaxSharedRefusals) {
    feed.shared_refusals = 0;
    make();
    return;
  }
  auto timer = timers_->Schedule(kMaxHold, [this, kind] {
    const auto call = std::move(FeedOf(kind).held->make);
    FeedOf(kind).held.reset();
    call();
  });
  feed.held = HeldCall{std::move(make), std::move(refuse), std::move(timer)};
}

void LongWatchFeed::ReleaseHeld(FeedKind decided_by, bool is_refused) {
  for (int i = 0; i < kFeedKindCount; ++i) {
    const auto kind = static_cast<FeedKind>(i);
    Feed& feed = FeedOf(kind);
    if (!feed.held || kind == decided_by) {
      continue;
    }
    const HeldCall held = std::move(*std::exchange(feed.held, std::nullopt));
    if (!is_refused) {
      held.make();
      continue;
    }
    ++feed.shared_refusals;
    ++stats_.refusals_shared;
    FeedReply reply;
    reply.reason = refusal_reason_;
    reply.is_refusal = true;
    held.refuse(std::move(reply));
  }
}

void LongWatchFeed::WatchEncoded(FeedKind kind,
                                 StoreRevision after,
                                 Duration wait,
                                 std::function<void(EncodedFeedReply)> done) {
  store_->WatchEncoded(kind, after, wait, std::move(done));
}

FeedReply LongWatchFeed::Decode(FeedKind kind, const std::string& body) const {
  return store_->Decode(kind, body);
}

}  // namespace burdockhatch
