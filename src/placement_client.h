// Requests placement from an agent on behalf of an entry, and fails over to
// another agent when that one is silent. Without a live agent the entry places
// its requests itself and then knows of no requests but its own.
#ifndef SRC_PLACEMENT_CLIENT_H_
#define SRC_PLACEMENT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/placement_scheduler.h"

namespace burdockhatch {

// Address of an agent that can place requests. It runs on the instance of a
// target.
struct AgentEndpoint {
  InstanceId instance;
  std::string bus_address;  // "ip:port".
  DataCentreId data_centre;

  bool operator==(const AgentEndpoint&) const = default;
};

// Message bus operations that the client needs.
class PlacementBus {
 public:
  virtual ~PlacementBus() = default;

  virtual void Send(const InstanceId& to, MessageBody body) = 0;
  virtual void Connect(const InstanceId& peer, const std::string& address) = 0;
  virtual void Disconnect(const InstanceId& peer) = 0;
};

class PlacementClient {
 public:
  // Share of a limited target's rate for all entries together that place
  // requests themselves, beside the shares of the leaders.
  static constexpr double kLocalRateShare = 0.05;
  // Time for which an entry must have known the same incarnations of the agents
  // until they are settled: the target lists of all entries agree by then, so
  // no more than PlacementScheduler::kMaxLeaders agents place requests, and
  // what earlier ones have placed is more than a second ago.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(2'500);
  // Number of entries assumed until an agent has reported it.
  static constexpr uint32_t kInitialEntryCount = 32;

  // `heartbeat` is the message that the entry sends to agents. `bus` must
  // outlive the client.
  PlacementClient(PeerId self,
                  Heartbeat heartbeat,
                  PlacementBus* bus,
                  const CrashBlameLimits& blame_limits = {},
                  const TargetSignalLimits& signal_limits = {});

  // Sets the agents in order of preference, which is the same at all entries.
  // The first live agent is the leader, which places the requests.
  void SetAgents(std::vector<AgentEndpoint> agents, Time now);
  void SetTargets(TargetList list, Time now);

  // See PlacementScheduler. Matters while the entry places its requests itself.
  void SetTargetPaceEnabled(bool enabled) {
    local_scheduler_.SetTargetPaceEnabled(enabled);
  }
  TargetPaceTable::Counters pace_counters() const {
    return local_scheduler_.pace_counters();
  }

  // Returns an unused request number.
  uint64_t NextNumber() { return next_number_++; }

  // Requests a placement. Calls `done` once with kPlaced or kRefused, possibly
  // before it returns, unless the end of the request is reported first.
  // `ask.number` must come from NextNumber.
  void RequestPlacement(PlacementAsk ask,
                        std::function<void(const PlacementReply&)> done,
                        Time now);

  // Reports an event of a placed or queued request. EndsPlacement() tells
  // which events end the request. `failed` is the target at fault, empty if
  // there is none. `first_event_after`: see PlacementChange.
  void ReportEvent(uint64_t number,
                   PlacementEvent event,
                   const TargetId& failed,
                   Time now,
                   Duration first_event_after = Duration(0));

  // Records what a response says of its target, see TargetSignalTable.
  void OnResponse(const TargetId& target,
                  uint64_t started_at,
                  const TargetSignals& signals,
                  bool is_answer,
                  Time sent_at,
                  Time now);

  void OnMessage(const Message& message, Time now);
  void OnUnreachable(const InstanceId& peer, Time now);

  // Must be called every kPlacementTickInterval while requests are pending,
  // else at least every 50 ms.
  void Tick(Time now);

  // Number of entries that the leader knows.
  uint32_t entry_count() const { return entry_count_; }
  // The same, or nullopt until a leader has reported it.
  std::optional<uint32_t> reported_entry_count() const {
    return reported_entry_count_;
  }
  // The agent that places requests; empty while the entry places them itself.
  const InstanceId& leader() const { return leader_; }

  // What the entry itself knows of prompt parts that crash targets: its own
  // requests, and the blocks that leaders have reported.
  const CrashBlame& blame() const { return local_scheduler_.blame(); }
  // What targets have said of themselves, to this entry and to others as far as
  // leaders have reported it.
  const TargetSignalTable& signals() const {
    return local_scheduler_.signals();
  }
  // Ends the suspicion of a part, here and at the leader. Returns whether the
  // part was suspect here.
  bool LiftPart(PartKey part, Time now);

  // Returns the client's state as JSON.
  std::string Dump(Time now) const;

 private:
  struct Agent {
    AgentEndpoint endpoint;
    Incarnation incarnation;
    Time connected_at{};
    Time last_heard{};  // Zero if never heard.
    Time last_heartbeat_sent{};
    // The agent has said goodbye, is unreachable or was silent. Cleared by its
    // next message.
    bool suspect = false;
  };

  struct Pending {
    PlacementAsk ask;
    std::function<void(const PlacementReply&)> done;
    Time asked_at{};
    Time first_event_by{};
    Time deadline{};
    bool queued = false;               // The leader has replied kQueued.
    bool awaits_first_leader = false;  // Not sent yet.
  };

  struct TargetListState {
    TargetList list;
    uint64_t fingerprint = 0;
    // Of the list that the leader last reported or was sent.
    uint64_t leader_fingerprint = 0;
    // Time to send the list; set while the leader may not know it.
    std::optional<Time> send_due_at;
  };

  static bool IsAlive(const Agent& agent, Time now);
  void SelectLeader(Time now);
  void SetLeader(const InstanceId& agent, Time now);
  void SendAsk(Pending& pending, Time now);
  // Whether the entry has just started and no agent has answered yet.
  bool AwaitsFirstLeader(Time now) const;
  Duration UnsettledLeft(Time now) const;
  void OnAgentsChanged(Time now);
  void SetLocalRateShare(Time now);
  void OnReply(const PlacementReply& reply, Time now);
  void SendOwnBlame(Time now);
  void OnSignalReport(const PeerId& sender,
                      const SignalReport& report,
                      bool from_leader,
                      Time now);
  void OnBlameReport(const BlameReport& report, bool from_leader, Time now);
  void ProcessLocalDecisions(Time now);
  void SendChangedLists(Time now);
  void Complete(uint64_t number, const PlacementReply& reply, Time now);

  const PeerId self_;
  const Heartbeat heartbeat_;
  PlacementBus* bus_;
  // Tracks the entry's own placed requests, and places requests while there is
  // no leader.
  PlacementScheduler local_scheduler_;
  std::map<ServiceId, TargetListState> target_lists_;
  std::vector<Agent> agents_;  // In order of preference.
  InstanceId leader_;
  std::map<uint64_t, Pending> pending_;
  uint64_t next_number_ = 1;
  uint32_t entry_count_ = kInitialEntryCount;
  std::optional<uint32_t> reported_entry_count_;
  Time leader_since_{};
  bool had_leader_ = false;
  Time first_agents_at_{};
  Time agents_since_{};  // Of the last new agent or incarnation.
  Time next_snapshot_{};
};

}  // namespace burdockhatch

#endif  // SRC_PLACEMENT_CLIENT_H_
