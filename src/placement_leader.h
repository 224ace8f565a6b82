// The part of a placement agent that knows no network: places the requests of
// all entries while the agent leads, and shares with the entries which prompt
// parts are blocked.
#ifndef SRC_PLACEMENT_LEADER_H_
#define SRC_PLACEMENT_LEADER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/clock.h"
#include "src/crash_blame.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/placement_scheduler.h"

namespace burdockhatch {

class PlacementLeader {
 public:
  using SendFunction = std::function<void(const PeerId& to, MessageBody body)>;

  // `heartbeat` is the reply to heartbeats of entries.
  PlacementLeader(Heartbeat heartbeat,
                  const CrashBlameLimits& blame_limits,
                  SendFunction send,
                  const TargetSignalLimits& signal_limits = {});

  // Handles any message of an entry. Other bodies only prove that it is alive.
  void OnMessage(const Message& message, Time now);
  // Forgets entries that are silent. Called at least every 200 ms, and every
  // kPlacementTickInterval while HasQueuedRequests().
  void Tick(Time now);
  // Tells the entries that this agent is about to stop.
  void SendGoodbyes();

  // See PlacementScheduler.
  void SetTargetPaceEnabled(bool enabled) {
    scheduler_.SetTargetPaceEnabled(enabled);
  }
  TargetPaceTable::Counters pace_counters() const {
    return scheduler_.pace_counters();
  }

  bool HasQueuedRequests() const { return scheduler_.HasQueuedRequests(); }
  size_t entry_count() const { return entries_.size(); }
  // Whether all entries that this agent hears from have followed it for some
  // time.
  bool is_sole_leader() const { return is_sole_leader_; }
  const CrashBlame& blame() const { return scheduler_.blame(); }
  const TargetSignalTable& signals() const { return scheduler_.signals(); }
  // Ends the suspicion and the block of a part, here and at all entries.
  bool LiftPart(PartKey part, Time now);

  // Returns the state as JSON.
  std::string Dump(Time now) const;

 private:
  // A new incarnation of an entry proves that the previous one has stopped.
  void RemovePreviousIncarnations(const PeerId& entry, Time now);
  void RemoveEntry(const PeerId& entry, Time now);
  void UpdateJudging(Time now);
  void UpdateRateShare(Time now);
  void SendDecisions();
  // The entries keep suspicions and blocks in case this agent stops, refuse
  // blocked requests without asking, and tell other leaders.
  void SpreadBlame(Time now);
  void SpreadBlockedRequests(Time now);
  // Tells all entries what one of them has reported of targets.
  void SpreadSignals(Time now);

  struct Entry {
    Time last_heard{};
    Time last_led{};  // Last message that only a leader receives.
  };

  const Heartbeat heartbeat_;
  const SendFunction send_;
  PlacementScheduler scheduler_;
  std::map<PeerId, Entry> entries_;
  Time last_led_at_{};  // Last message that only a leader receives.
  // Last time at which some entry did not follow this agent.
  Time last_shared_at_{};
  bool is_sole_leader_ = false;
  Time next_share_check_{};
  SignalReport signal_news_;  // Not told to the entries yet.
  std::optional<Time> leading_since_;
  Time next_block_spread_{};
  Time next_signal_spread_{};
};

}  // namespace burdockhatch

#endif  // SRC_PLACEMENT_LEADER_H_
