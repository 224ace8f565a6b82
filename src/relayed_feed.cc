#include "src/relayed_feed.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "src/log.h"

namespace burdockhatch {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(500);
// Time without a proof after which another relay is chosen, and for which the
// silent one is not chosen again.
constexpr Duration kRelayTimeout = std::chrono::milliseconds(1'500);
constexpr Duration kAvoidTime = std::chrono::seconds(10);

// Least number of entries, or of engines, of a fleet whose feeds are relayed.
constexpr uint32_t kMinEntriesForRelay = 64;
constexpr size_t kMinEnginesForRelay = 100;

}  // namespace

bool IsRelayWorthwhile(std::optional<uint32_t> reported_entries,
                       size_t engines) {
  return reported_entries ? *reported_entries >= kMinEntriesForRelay
                          : engines >= kMinEnginesForRelay;
}

void RelayedFeed::SetRelays(std::vector<AgentEndpoint> relays, Time now) {
  relays_ = std::move(relays);
  const bool is_listed = std::any_of(
      relays_.begin(), relays_.end(),
      [this](const AgentEndpoint& it) { return it.instance == relay_; });
  if (!relay_.empty() && !is_listed) {
    LeaveRelay("not_listed", now);
  }
  SelectRelay(now);
}

void RelayedFeed::SelectRelay(Time now) {
  if (!relay_.empty()) {
    return;
  }
  std::erase_if(avoided_until_,
                [now](const auto& it) { return now >= it.second; });
  for (const AgentEndpoint& it : relays_) {
    if (!avoided_until_.contains(it.instance)) {
      relay_ = it.instance;
      proof_at_ = now;
      poll_sent_at_ = Time();
      bus_->Connect(it.instance, it.bus_address);
      Log(LogLevel::kInfo, "feed_relay_chosen", {{"relay", relay_.value()}});
      return;
    }
  }
}

void RelayedFeed::LeaveRelay(const char* reason, Time now) {
  Log(LogLevel::kInfo, "feed_relay_left",
      {{"relay", relay_.value()},
       {"reason", reason},
       {"proof_age_ms", std::to_string((now - proof_at_).count() / 1'000)}});
  avoided_until_[relay_] = now + kAvoidTime;
  bus_->Disconnect(relay_);
  relay_ = InstanceId();
  for (int i = 0; i < kFeedKindCount; ++i) {
    const auto kind = static_cast<FeedKind>(i);
    FeedOf(kind).confirmed_at = Time();
    CompletePending(kind, now);
  }
}

bool RelayedFeed::IsConfirmed(FeedKind kind, Time now) const {
  const Time confirmed_at = feeds_[static_cast<size_t>(kind)].confirmed_at;
  return confirmed_at != Time() && now - confirmed_at <= MaxProofAge(kind);
}

void RelayedFeed::Tick(Time now) {
  if (!relay_.empty() && now - proof_at_ > kRelayTimeout) {
    LeaveRelay("silent", now);
  }
  SelectRelay(now);
  if (!relay_.empty() && now - poll_sent_at_ >= kPollInterval) {
    Poll(now);
  }
  for (int i = 0; i < kFeedKindCount; ++i) {
    CompletePending(static_cast<FeedKind>(i), now);
  }
}

void RelayedFeed::Poll(Time now) {
  FeedPoll poll;
  poll.number = ++poll_number_;
  for (int i = 0; i < kFeedKindCount; ++i) {
    const auto kind = static_cast<FeedKind>(i);
    if (FeedOf(kind).known > 0) {
      poll.known.push_back({kind, FeedOf(kind).known, FeedOf(kind).epoch});
    }
  }
  if (poll.known.empty()) {
    return;
  }
  poll_sent_at_ = now;
  bus_->Send(relay_, std::move(poll));
}

void RelayedFeed::OnMessage(const Message& message, Time now) {
  if (relay_.empty() || message.sender.instance != relay_) {
    return;
  }
  if (const auto* proof = std::get_if<FeedProof>(&message.body)) {
    OnProof(*proof, now);
  } else if (const auto* delta = std::get_if<FeedDelta>(&message.body)) {
    OnDelta(*delta);
    CompletePending(delta->feed, now);
  } else if (std::holds_alternative<Goodbye>(message.body)) {
    LeaveRelay("goodbye", now);
  }
}

void RelayedFeed::OnUnreachable(const InstanceId& peer, Time now) {
  // Until the first proof the connection is being established.
  if (peer == relay_ && poll_number_ > 0 &&
      std::any_of(feeds_.begin(), feeds_.end(),
                  [](const Feed& it) { return it.confirmed_at != Time(); })) {
    LeaveRelay("unreachable", now);
  }
}

void RelayedFeed::OnProof(const FeedProof& proof, Time now) {
  if (proof.poll != poll_number_) {
    return;
  }
  proof_at_ = now;
  std::array<bool, kFeedKindCount> is_confirmed{};
  for (const FeedProof::Confirmation& it : proof.confirmed) {
    Feed& feed = FeedOf(it.feed);
    if (feed.known > 0 && it.epoch == feed.epoch &&
        feed.known >= it.last_change) {
      is_confirmed[static_cast<size_t>(it.feed)] = true;
      // The agent stated the age after the poll was sent.
      feed.confirmed_at = poll_sent_at_ - it.age;
      feed.known = std::max(feed.known, it.revision);
    }
  }
  for (size_t i = 0; i < feeds_.size(); ++i) {
    if (!is_confirmed[i]) {
      feeds_[i].confirmed_at = Time();
    }
  }
}

void RelayedFeed::OnDelta(const FeedDelta& delta) {
  Feed& feed = FeedOf(delta.feed);
  // The reply of an open store call may be newer, and the next poll asks for
  // the changes that it lacks.
  if (delta.epoch != feed.epoch) {
    // The store knows which epoch is the current one.
    feed.confirmed_at = Time();
    return;
  }
  if (feed.known == 0 || feed.store_call_open || delta.revision <= feed.known) {
    return;
  }
  if (delta.after > feed.known) {
    feed.confirmed_at = Time();
    return;
  }
  FeedReply reply = store_->Decode(delta.feed, delta.body);
  if (reply.status != FeedStatus::kOk) {
    Log(LogLevel::kWarning, "feed_delta_unreadable",
        {{"feed", std::string(ToString(delta.feed))},
         {"relay", relay_.value()},
         {"reason", reply.reason}});
    feed.confirmed_at = Time();
    return;
  }
  feed.known = delta.revision;
  feed.received.unreadable_items += reply.unreadable_items;
  feed.received.items.insert(feed.received.items.end(),
                             std::make_move_iterator(reply.items.begin()),
                             std::make_move_iterator(reply.items.end()));
}

void RelayedFeed::CompletePending(FeedKind kind, Time now) {
  Feed& feed = FeedOf(kind);
  if (!feed.pending) {
    return;
  }
  const bool is_confirmed = IsConfirmed(kind, now);
  if (feed.received.items.empty() && is_confirmed &&
      now < feed.pending->give_up_at) {
    return;
  }
  PendingWatch pending = std::move(*feed.pending);
  feed.pending.reset();
  if (feed.received.items.empty() && !is_confirmed) {
    WatchStore(kind, pending.wait, std::move(pending.done));
    return;
  }
  FeedReply reply = std::exchange(feed.received, FeedReply());
  reply.status = FeedStatus::kOk;
  reply.revision = feed.known;
  reply.epoch = feed.epoch;
  pending.done(std::move(reply));
}

void RelayedFeed::List(FeedKind kind, const std::string& after, Callback done) {
  // The list replaces what the relay has sent.
  FeedOf(kind).received = FeedReply();
  FeedOf(kind).known = 0;
  FeedOf(kind).confirmed_at = Time();
  store_->List(kind, after, std::move(done));
}

void RelayedFeed::Watch(FeedKind kind,
                        StoreRevision after,
                        Duration wait,
                        Callback done) {
  Feed& feed = FeedOf(kind);
  if (after.epoch != feed.epoch) {
    feed.received = FeedReply();
    feed.known = 0;
    feed.epoch = after.epoch;
    feed.confirmed_at = Time();
  }
  feed.known = std::max(feed.known, after.revision);
  const Time now = timers_->Now();
  if (IsConfirmed(kind, now) || !feed.received.items.empty()) {
    feed.pending = PendingWatch{wait, now + wait, std::move(done)};
    return;
  }
  WatchStore(kind, wait, std::move(done));
}

void RelayedFeed::WatchStore(FeedKind kind, Duration wait, Callback done) {
  Feed& feed = FeedOf(kind);
  feed.store_call_open = true;
  const std::weak_ptr<bool> alive = alive_;
  store_->Watch(
      kind, {feed.known, feed.epoch}, wait,
      [this, kind, alive, done = std::move(done)](FeedReply reply) {
        if (alive.expired()) {
          return;
        }
        Feed& feed = FeedOf(kind);
        feed.store_call_open = false;
        if (reply.status == FeedStatus::kOk && reply.epoch == feed.epoch) {
          feed.known = std::max(feed.known, reply.revision);
        }
        done(std::move(reply));
      });
}

void RelayedFeed::WatchEncoded(FeedKind kind,
                               StoreRevision after,
                               Duration wait,
                               std::function<void(EncodedFeedReply)> done) {
  store_->WatchEncoded(kind, after, wait, std::move(done));
}

FeedReply RelayedFeed::Decode(FeedKind kind, const std::string& body) const {
  return store_->Decode(kind, body);
}

std::string RelayedFeed::Dump(Time now) const {
  std::string ages;
  for (const Feed& it : feeds_) {
    const int64_t age = it.confirmed_at == Time()
                            ? -1
                            : (now - it.confirmed_at).count() / 1'000;
    ages += fmt::format("{}{}", ages.empty() ? "" : ",", age);
  }
  return fmt::format("{{\"relay\":\"{}\",\"confirmed_ms_ago\":[{}]}}",
                     relay_.value(), ages);
}

}  // namespace burdockhatch
