#include "src/feed_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "src/log.h"

namespace burdockhatch {

namespace {

// How long a watch call waits for changes. RelayedFeed::MaxProofAge must exceed
// this wait and the interval of the polls.
constexpr Duration kWatchWait = std::chrono::milliseconds(1'000);
constexpr Duration kWithdrawalWatchWait = std::chrono::milliseconds(2'500);
// Longest delay of a reply while the store works. A reply that took longer is
// taken to be as old as its call.
constexpr Duration kMaxReplyDelay = std::chrono::milliseconds(250);
// Delay before the next watch after a change, so that one call returns a burst.
constexpr Duration kBatchingDelay = std::chrono::milliseconds(150);
// An entry polls several times within this time, unless it has stopped or uses
// another relay.
constexpr Duration kEntryTimeout = std::chrono::seconds(2);
// Limits of the history of one feed. An entry that lacks older changes reads
// them from the store.
constexpr size_t kMaxHistoryDeltas = 64;
constexpr size_t kMaxHistoryBytes = 4 * 1024 * 1024;

}  // namespace

FeedRelay::FeedRelay(FleetFeed* feed, Timers* timers, Sender send)
    : feed_(feed), timers_(timers), send_(std::move(send)) {}

void FeedRelay::OnPoll(const PeerId& entry, const FeedPoll& poll, Time now) {
  Entry& state = entries_[entry];
  state.polled_at = now;
  FeedProof proof;
  proof.poll = poll.number;
  for (const FeedPoll::Known& it : poll.known) {
    Feed& feed = FeedOf(it.feed);
    if (!feed.is_followed) {
      feed.is_followed = true;
      feed.revision = it.revision;
      feed.epoch = it.epoch;
      feed.complete_after = it.revision;
      Watch(it.feed);
      continue;
    }
    if (it.epoch != feed.epoch || it.revision < feed.complete_after) {
      continue;
    }
    SendMissing(it.feed, entry, it.revision);
    if (feed.confirmed_at != Time()) {
      proof.confirmed.push_back(
          {it.feed, now - feed.confirmed_at,
           feed.history.empty() ? 0 : feed.history.back().revision,
           feed.revision, feed.epoch});
    }
  }
  send_(entry, std::move(proof));
}

void FeedRelay::SendMissing(FeedKind kind,
                            const PeerId& entry,
                            uint64_t revision) {
  const Feed& feed = FeedOf(kind);
  for (const FeedDelta& it : feed.history) {
    if (it.revision > revision) {
      send_(entry, it);
    }
  }
  entries_[entry].sent_revisions[static_cast<size_t>(kind)] =
      std::max(revision, feed.revision);
}

void FeedRelay::Watch(FeedKind kind) {
  Feed& feed = FeedOf(kind);
  feed.call_sent_at = timers_->Now();
  // The first call only proves that the store answers.
  const Duration usual =
      kind == FeedKind::kWithdrawals ? kWithdrawalWatchWait : kWatchWait;
  feed.call_wait = feed.confirmed_at == Time() ? Duration(0) : usual;
  const std::weak_ptr<bool> alive = alive_;
  feed_->WatchEncoded(kind, {feed.revision, feed.epoch}, feed.call_wait,
                      [this, kind, alive](EncodedFeedReply reply) {
                        if (!alive.expired()) {
                          OnWatch(kind, std::move(reply));
                        }
                      });
}

void FeedRelay::OnWatch(FeedKind kind, EncodedFeedReply reply) {
  RemoveSilentEntries(timers_->Now());
  if (reply.status != FeedStatus::kOk || entries_.empty()) {
    Log(LogLevel::kInfo, "feed_relay_stopped",
        {{"feed", std::string(ToString(kind))},
         {"reason", entries_.empty() ? "no_entries" : "store"}});
    StopFollowing(kind);
    return;
  }
  Feed& feed = FeedOf(kind);
  if (reply.epoch != feed.epoch) {
    // An entry that has read the list again names the new epoch. One that
    // states no epoch makes the relay start in epoch 0 again and again, without
    // a line for each.
    if (feed.confirmed_at != Time()) {
      Log(LogLevel::kInfo, "feed_relay_stopped",
          {{"feed", std::string(ToString(kind))},
           {"reason", "epoch"},
           {"from", std::to_string(feed.epoch.value())},
           {"to", std::to_string(reply.epoch.value())}});
    }
    StopFollowing(kind);
    return;
  }
  // The store replies to a call without changes at the end of its wait.
  feed.confirmed_at =
      reply.has_changes
          ? std::max(feed.call_sent_at, timers_->Now() - kMaxReplyDelay)
          : feed.call_sent_at + feed.call_wait;
  if (!reply.has_changes) {
    feed.revision = std::max(feed.revision, reply.revision);
    Watch(kind);
    return;
  }
  AddDelta(kind, std::move(reply));
  feed.next_call =
      timers_->Schedule(kBatchingDelay, [this, kind] { Watch(kind); });
}

void FeedRelay::AddDelta(FeedKind kind, EncodedFeedReply reply) {
  Feed& feed = FeedOf(kind);
  FeedDelta delta{kind, feed.revision, std::max(feed.revision, reply.revision),
                  std::move(reply.body), feed.epoch};
  feed.revision = delta.revision;
  feed.history_bytes += delta.body.size();
  feed.history.push_back(std::move(delta));
  for (auto& [entry, state] : entries_) {
    SendMissing(kind, entry,
                std::max(state.sent_revisions[static_cast<size_t>(kind)],
                         feed.history.back().after));
  }
  while (feed.history.size() > kMaxHistoryDeltas ||
         (feed.history.size() > 1 && feed.history_bytes > kMaxHistoryBytes)) {
    feed.complete_after = feed.history.front().revision;
    feed.history_bytes -= feed.history.front().body.size();
    feed.history.pop_front();
  }
}

void FeedRelay::StopFollowing(FeedKind kind) {
  FeedOf(kind) = Feed();
  for (auto& [entry, state] : entries_) {
    state.sent_revisions[static_cast<size_t>(kind)] = 0;
  }
}

void FeedRelay::RemoveSilentEntries(Time now) {
  std::erase_if(entries_, [now](const auto& it) {
    return now - it.second.polled_at > kEntryTimeout;
  });
}

std::string FeedRelay::Dump(Time now) const {
  std::string text = fmt::format("{{\"entries\":{}", entries_.size());
  for (int i = 0; i < kFeedKindCount; ++i) {
    const Feed& it = feeds_[static_cast<size_t>(i)];
    const int64_t age = it.confirmed_at == Time()
                            ? -1
                            : (now - it.confirmed_at).count() / 1'000;
    text += fmt::format(
        ",\"{}\":{{\"epoch\":{},\"revision\":{},\"confirmed_ms_ago\":{},"
        "\"history\":{}}}",
        ToString(static_cast<FeedKind>(i)), it.epoch.value(), it.revision, age,
        it.history.size());
  }
  return text + "}";
}

}  // namespace burdockhatch
