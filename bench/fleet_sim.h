// A fleet of real cores (EntryCore, AgentCore, ConfigDistributor) in virtual
// time, joined by an in-memory link that counts what the codec would put on the
// wire. Engines are reduced to a fixed service time: what a request costs the
// control plane does not depend on the engine's own behaviour.
#ifndef BENCH_FLEET_SIM_H_
#define BENCH_FLEET_SIM_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/agent_core.h"
#include "src/config_distributor.h"
#include "src/entry_core.h"
#include "src/messages.h"
#include "src/random.h"

namespace burdockhatch::bench {

struct FleetSimOptions {
  uint64_t seed = 1;
  int entries = 1;
  int agents = 12;
  int unfollowed_agents = 0;  // In the instance list only.
  uint32_t subset_size = 48;
  int data_centres = 7;
  int models = 1;
  int accounts = 100;
  int active_accounts = 100;  // Requests are spread evenly over these.
  int templates_per_account = 0;
  double requests_per_entry = 0;  // Each second.
  Duration service_time = std::chrono::seconds(4);
  Duration deadline = std::chrono::seconds(30);
  Tokens prompt{10'000};
  // Blocks that prompts are made of; 0: no two prompts share a block. Agents
  // scan the prefixes that they know for each state that they send.
  uint64_t distinct_blocks = 0;
  int cached_prefixes = 32;  // That each target reports.
  double lost_messages = 0;  // Probability.
  Duration link_delay = std::chrono::milliseconds(20);  // Whole steps.
};

// What a group of messages costs. Payload chunks are not control.
enum class TrafficGroup : uint8_t {
  kReports,   // LoadReport, Subscribe.
  kRequests,  // Offer, OfferReply, Finish, Cancel, Resume, holds.
  kShares,    // ShareRequest, ShareGrant.
  kPeers,     // Heartbeat, Goodbye.
  kConfig,    // ConfigPush, ConfigPull.
};
inline constexpr int kTrafficGroupCount = 5;
std::string_view ToString(TrafficGroup group);

struct Traffic {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_messages = 0;
  uint64_t received_bytes = 0;
};

struct NodeTraffic {
  std::array<Traffic, kTrafficGroupCount> groups;
};

struct ObjectCalls {
  uint64_t watches = 0;  // A watch that waits counts once.
  uint64_t polls = 0;    // Watches that end at once.
};

class FleetSim {
 public:
  explicit FleetSim(FleetSimOptions options);
  ~FleetSim();

  void Run(Duration length);
  // Starts the counters again.
  void ResetCounters();

  // Writes one change of the configuration into the object.
  void ChangeConfig();
  // Whether every process has the newest configuration.
  bool ConfigInForce() const;

  // Sums over all entries or all agents since ResetCounters.
  Traffic EntryTraffic(TrafficGroup group) const;
  Traffic AgentTraffic(TrafficGroup group) const;
  const ObjectCalls& object_calls() const { return object_calls_; }
  uint64_t completed() const { return completed_; }
  uint64_t failed() const { return failed_; }
  // Thread CPU time of the first entry and the first agent, with the codec.
  double EntryCpuSeconds() const;
  double AgentCpuSeconds() const;
  // Agents that the first entry is subscribed to, subscribers per agent, and
  // attempts that run at the first agent.
  double FollowedTargets() const;
  double Subscribers() const;
  double RunningAttempts() const;
  double ClosedAttempts() const;
  // Buckets of client accounts at the first entry.
  double AccountBuckets() const;

  // Heap bytes of the tables of the first entry or agent, ConfigDistributor and
  // its configuration included. Ends the process.
  int64_t TakeEntryHeap();
  int64_t TakeAgentHeap();
  // Heap bytes of one parsed configuration.
  int64_t ConfigHeap() const;
  size_t ConfigDocumentBytes() const { return object_value_.size(); }

 private:
  struct Node;
  struct Packet {
    uint64_t step = 0;
    size_t to = 0;
    size_t bytes = 0;
    std::string frame;
    std::shared_ptr<const Message> message;
  };
  struct RunningStream {
    size_t agent = 0;
    size_t entry = 0;
    AttemptId attempt;
    StreamId stream;
    uint64_t end_step = 0;
  };
  struct PendingWatch {
    size_t node = 0;
    ObjectVersion after;
    uint64_t end_step = 0;
  };

  void AddNodes();
  void WriteFirstConfig();
  std::vector<InstanceInfo> Instances() const;
  void Step();
  void DeliverPackets();
  void StepStreams();
  void StepRequests();
  void StepWatches();
  void TickNodes();
  void TickTarget(size_t index);
  void Settle(size_t index);
  void SettleSpread(size_t index);
  void Send(size_t from, const PeerId& to, MessageBody body);
  void OnStart(size_t agent, const StartStream& start);
  RequestSpec NextRequest();

  FleetSimOptions options_;
  Random random_;
  uint64_t step_ = 0;
  Time now_{std::chrono::seconds(1)};
  std::vector<std::unique_ptr<Node>> nodes_;  // Entries, then agents.
  std::map<InstanceId, size_t> by_instance_;
  std::vector<Packet> packets_;
  std::vector<RunningStream> streams_;
  std::vector<PendingWatch> watches_;
  ObjectVersion object_version_;
  std::string object_value_;
  ObjectCalls object_calls_;
  uint64_t completed_ = 0;
  uint64_t failed_ = 0;
  uint64_t next_request_ = 0;
};

// Transport framing of one message: TCP/IP headers and the ZeroMQ frames.
inline constexpr size_t kFramingBytes = 60;

// CPU time of the calling thread.
double ThreadCpuSeconds();

}  // namespace burdockhatch::bench

#endif  // BENCH_FLEET_SIM_H_
