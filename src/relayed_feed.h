// A FleetFeed that takes changes from an agent which follows the platform's
// store for many entries (FeedRelay), and calls the store itself when the agent
// cannot prove that it is up to date.
#ifndef SRC_RELAYED_FEED_H_
#define SRC_RELAYED_FEED_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/fleet_feed.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/placement_client.h"
#include "src/timers.h"

namespace burdockhatch {

// Returns whether a relay costs less than it saves: few entries cost the store
// little. Until the number of entries has been reported, the number of engines
// decides.
bool IsRelayWorthwhile(std::optional<uint32_t> reported_entries,
                       size_t engines);

class RelayedFeed : public FleetFeed {
 public:
  // Age up to which a confirmation of the relay is relied on. It bounds the
  // delay of a change when the relay loses the store; a withdrawal may take
  // longer to be in force than a configuration.
  static constexpr Duration MaxProofAge(FeedKind kind) {
    return kind == FeedKind::kWithdrawals ? std::chrono::milliseconds(3'300)
                                          : std::chrono::milliseconds(1'800);
  }

  // `store`, `timers` and `bus` must outlive the feed.
  RelayedFeed(FleetFeed* store, Timers* timers, PlacementBus* bus)
      : store_(store), timers_(timers), bus_(bus) {}

  // Sets the agents that may relay, in order of preference. Without any, all
  // calls go to the store.
  void SetRelays(std::vector<AgentEndpoint> relays, Time now);

  void OnMessage(const Message& message, Time now);
  void OnUnreachable(const InstanceId& peer, Time now);
  // Must be called at least every 100 ms.
  void Tick(Time now);

  // The agent in use; empty if there is none.
  const InstanceId& relay() const { return relay_; }
  std::string Dump(Time now) const;

  // FleetFeed.
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

 private:
  // A call of Watch that waits for the relay.
  struct PendingWatch {
    Duration wait{0};
    Time give_up_at{};
    Callback done;
  };

  struct Feed {
    uint64_t known = 0;   // Revision up to which no change is missing.
    StoreEpoch epoch;     // Of `known`.
    Time confirmed_at{};  // Zero if the relay has not confirmed `known`.
    FeedReply received;   // Changes that no call has returned yet.
    bool store_call_open = false;
    std::optional<PendingWatch> pending;
  };

  Feed& FeedOf(FeedKind kind) { return feeds_[static_cast<size_t>(kind)]; }
  bool IsConfirmed(FeedKind kind, Time now) const;
  void WatchStore(FeedKind kind, Duration wait, Callback done);
  void SelectRelay(Time now);
  void LeaveRelay(const char* reason, Time now);
  void Poll(Time now);
  void OnProof(const FeedProof& proof, Time now);
  void OnDelta(const FeedDelta& delta);
  // Ends the pending call if it has a result, or passes it on to the store if
  // the relay cannot be relied on.
  void CompletePending(FeedKind kind, Time now);

  FleetFeed* store_;
  Timers* timers_;
  PlacementBus* bus_;
  std::array<Feed, kFeedKindCount> feeds_;
  std::vector<AgentEndpoint> relays_;
  InstanceId relay_;
  std::map<InstanceId, Time> avoided_until_;
  uint64_t poll_number_ = 0;
  Time poll_sent_at_{};  // Of the latest poll.
  Time proof_at_{};      // Of the latest proof, or of the choice of the relay.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burdockhatch

#endif  // SRC_RELAYED_FEED_H_
