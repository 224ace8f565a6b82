// An entry's side of the placement: which agent decides for it, what is asked,
// and what happens when that agent is silent. Without an agent the entry places
// its requests itself, knowing only its own.
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

// An agent that may place work. It runs beside a target.
struct AgentEndpoint {
  InstanceId instance;
  std::string bus_address;  // "ip:port".
  DataCentreId data_centre;

  bool operator==(const AgentEndpoint&) const = default;
};

// What the client asks of the bus.
class PlacementBus {
 public:
  virtual ~PlacementBus() = default;

  virtual void Send(const InstanceId& to, MessageBody body) = 0;
  virtual void Connect(const InstanceId& peer, const std::string& address) = 0;
  virtual void Disconnect(const InstanceId& peer) = 0;
};

class PlacementClient {
 public:
  // Entries without an agent do not see each other's requests to cold targets,
  // nor how many they are; this suits some thirty of them.
  static constexpr double kLocalColdShare = 0.02;
  // Until an agent has said how many entries there are.
  static constexpr uint32_t kAssumedEntries = 32;

  // `heartbeat` is what the entry says of itself; `bus` outlives the client.
  PlacementClient(PeerId self, Heartbeat heartbeat, PlacementBus* bus);

  // The agents in the order in which they are to decide, which is the same at
  // all entries.
  void SetAgents(std::vector<AgentEndpoint> agents, Time now);
  void SetTargets(TargetList list, Time now);

  // A number for the next request.
  uint64_t NextNumber() { return next_number_++; }

  // `done` runs once with kPlaced or kRefused, possibly within the call, unless
  // the end of the request is reported first. `ask.number` comes from
  // NextNumber.
  void RequestPlacement(PlacementAsk ask,
                        std::function<void(const PlacementReply&)> done,
                        Time now);

  // Ends a request that is placed or still waits.
  void ReportEvent(uint64_t number,
                   PlacementEvent event,
                   const TargetId& failed,
                   Time now);

  void OnMessage(const Message& message, Time now);
  void OnUnreachable(const InstanceId& peer, Time now);

  // Call it every kPlacementTickInterval.
  void Tick(Time now);

  // Entries that the deciding agent knows.
  uint32_t entries() const { return entries_; }
  // The agent that decides; empty when the entry does so itself.
  const InstanceId& lead() const { return lead_; }

  // JSON text.
  std::string Dump(Time now) const;

 private:
  struct Agent {
    AgentEndpoint address;
    Incarnation incarnation;
    Time last_heard{};     // Zero: never.
    Time last_asked{};     // By a heartbeat.
    bool suspect = false;  // Until it is heard again.
  };

  struct Pending {
    PlacementAsk ask;
    std::function<void(const PlacementReply&)> done;
    Time asked_at{};
    Time first_event_by{};
    Time ends_at{};
    bool queued = false;  // The lead has said that it waits.
  };

  struct KnownList {
    TargetList list;
    uint64_t fingerprint = 0;
    uint64_t lead_fingerprint = 0;  // Of the list that the lead has last used.
    std::optional<Time> send_at;    // A change that the lead may not know.
  };

  static bool IsAlive(const Agent& agent, Time now);
  void ChooseLead(Time now);
  void MakeLead(const InstanceId& agent, Time now);
  void SendAsk(Pending& pending, Time now);
  void OnReply(const PlacementReply& reply, Time now);
  void TakeLocalDecisions(Time now);
  void SendChangedLists(Time now);
  void Complete(uint64_t number, const PlacementReply& reply, Time now);

  const PeerId self_;
  const Heartbeat heartbeat_;
  PlacementBus* bus_;
  // Mirrors the entry's own work; decides while there is no lead.
  PlacementScheduler local_{kLocalColdShare};
  std::map<ServiceId, KnownList> lists_;
  std::vector<Agent> agents_;  // In the order of their rank.
  InstanceId lead_;
  std::map<uint64_t, Pending> pending_;
  uint64_t next_number_ = 1;
  uint32_t entries_ = kAssumedEntries;
  Time lead_since_{};
  Time next_snapshot_{};
};

}  // namespace burdockhatch

#endif  // SRC_PLACEMENT_CLIENT_H_
