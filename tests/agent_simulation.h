// Simulation for failure tests of agents: engines, plain services, the object
// API and an entry, with seeded random faults, in virtual time.
#ifndef TESTS_AGENT_SIMULATION_H_
#define TESTS_AGENT_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/agent_core.h"
#include "src/agent_tables.h"
#include "src/clock.h"
#include "src/random.h"

namespace burdockhatch {

// Probabilities of faults, each in [0, 1]. The agent gets a lost answer as
// unknown after the answer timeout of 300 ms.
struct SimulatedFaults {
  double start_lost = 0;         // The start is lost and gets no answer.
  double start_answer_lost = 0;  // The start arrives; its answer is lost.
  double start_late = 0;         // The start arrives after the answer timeout.
  double start_slow = 0;         // The start arrives and is answered after 1 s.
  double start_refused = 0;
  double start_not_sent = 0;
  double cancel_lost = 0;
  double list_lost = 0;
  double stream_hangs = 0;  // The stream never ends.
  // The relay loses its connection before the stream ends.
  double end_lost = 0;
  double object_lost = 0;         // The request is lost and gets no answer.
  double object_answer_lost = 0;  // The update succeeds; its answer is lost.
  double object_late = 0;  // The update takes effect after the answer timeout.
  double object_throttled = 0;
  double call_lost = 0;  // The call runs; its answer is lost.
  double call_slow = 0;  // The call runs; the answer comes after 3 s.
  double call_not_sent = 0;
  double duplicate_offer = 0;
  bool outage = false;  // The object API answers no request.
};

struct SimulatedStream {
  Tokens memory;
  Tokens load;
  uint32_t chunks = 0;
  uint32_t produced_chunks = 0;
};

// A model engine, as seen by its agent.
struct SimulatedEngine {
  EngineIncarnation incarnation{1};
  std::map<StreamId, SimulatedStream> streams;
  std::map<StreamId, Tokens> caches;
  std::map<StreamId, uint32_t> finished;  // Chunk counts of finished streams.
  Tokens completed_tokens;
  Time started_at;
};

// An agent, its target and the state of its connections.
struct SimulatedNode {
  AgentOptions options;
  std::unique_ptr<AgentCore> core;
  SimulatedEngine engine;
  bool paused = false;
  PeerId known_peer;           // The incarnation known to the entry.
  bool is_restarting = false;  // The agent has stopped and not started again.
  // Events that arrived during a pause.
  std::vector<std::function<void()>> deferred_events;
  // Number of the current relay of each stream.
  std::map<StreamId, uint64_t> relays;
  uint64_t relay_count = 0;
  Time next_load_report_at;
};

// State of the entry for an attempt offered to one incarnation of an agent.
struct OfferRecord {
  Offer offer;
  PeerId agent;
  Time deadline;
  std::optional<Time> accepted_at;
  // The agent restarted, or the entry gave up the attempt.
  bool interrupted = false;
  std::vector<std::pair<Time, Finish>> finishes;
  std::vector<Chunk> chunks;
  bool reported_not_run = false;
  int refusals = 0;
};

struct SimulatedObject {
  ObjectVersion version;
  std::string value;
};

class AgentSimulation {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(10);

  // Time between the stop of an agent and its next start. Longer than a request
  // of the previous incarnation can take to arrive.
  static constexpr Duration kRestartDelay = std::chrono::milliseconds(1'100);

  explicit AgentSimulation(uint64_t seed) : random_(seed) {}

  SimulatedNode& AddEngineAgent(const std::string& name);
  SimulatedNode& AddServiceAgent(const std::string& name);

  Time now() const { return clock_.Now(); }
  Random& random() { return random_; }

  // Advances virtual time by `time`. Events run in order, agents tick every
  // kTickInterval.
  void Run(Duration time);
  void ScheduleAfter(Duration delay, std::function<void()> event);

  // Stops the agent; its next incarnation starts kRestartDelay later.
  void RestartAgent(SimulatedNode& node);
  void RestartEngine(SimulatedNode& node);
  void Pause(SimulatedNode& node) { node.paused = true; }
  void Unpause(SimulatedNode& node);
  // Replaces the AgentCore by one with the node's current options.
  void Reconfigure(SimulatedNode& node) { StartCore(node); }
  void SetConfig(FleetConfigPtr config);

  // Sends `offer` as a new attempt and returns the attempt's id.
  AttemptId SendOffer(SimulatedNode& node, Offer offer);
  void Send(SimulatedNode& node, MessageBody body);

  Offer MakeCompletionOffer(Tokens prompt, Tokens output, Duration time_left);
  Offer MakeKeyedCallOffer(const std::string& key, Duration time_left);

  std::vector<std::unique_ptr<SimulatedNode>> nodes;
  std::map<AttemptId, OfferRecord> offers;
  std::map<AttemptId, int> dispatches;  // Dispatches by all agents.
  // If not zero, services refuse all calls and want a pause of this length.
  Duration service_back_off{0};
  std::map<AttemptId, int> executions;  // Executions at engines and services.
  std::map<std::string, int> key_executions;
  std::map<ObjectName, SimulatedObject> objects;
  std::vector<HoldReply> hold_replies;
  std::vector<std::pair<Time, LoadReport>> reports;
  int goodbyes = 0;
  int starts_over_budget = 0;  // Dispatches above the warm-up budget.
  int starts_over_memory = 0;  // Streams started without enough engine memory.
  int late_dispatches = 0;
  int object_updates = 0;
  int cancels = 0;
  SimulatedFaults faults;
  PeerId entry{InstanceId("entry"), Incarnation(1)};

 private:
  struct Event {
    Time at;
    uint64_t number;
    std::function<void()> run;
  };

  SimulatedNode& AddNode(AgentOptions options);
  void StartCore(SimulatedNode& node);
  void Deliver(SimulatedNode& node, std::function<void(AgentCore&)> event);
  void ExecuteActions(SimulatedNode& node);
  void StepNode(SimulatedNode& node);
  void StepEngine(SimulatedNode& node);
  bool Chance(double p) { return random_.UniformReal() < p; }
  Duration Latency() {
    return std::chrono::microseconds(500 + random_.UniformBelow(2'000));
  }

  void Execute(SimulatedNode& node, SendToPeer& action);
  void Execute(SimulatedNode& node, StartStream& action);
  void Execute(SimulatedNode& node, AttachStream& action);
  void Execute(SimulatedNode& node, CancelStream& action);
  void Execute(SimulatedNode& node, ImportCacheAction& action);
  void Execute(SimulatedNode& node, ReleaseCacheAction& action);
  void Execute(SimulatedNode& node, ListEngine& action);
  void Execute(SimulatedNode& node, DispatchCall& action);
  void Execute(SimulatedNode& node, ReadObject& action);
  void Execute(SimulatedNode& node, UpdateObject& action);

  void StartStreamAtEngine(SimulatedNode& node, const StartStream& action);
  void Relay(SimulatedNode& node, const StreamId& stream, uint32_t from);
  void ContinueRelay(SimulatedNode& node,
                     const StreamId& stream,
                     uint32_t from,
                     uint64_t relay);
  void EndRelays(SimulatedNode& node, StreamEnd end);
  ObjectReply ApplyUpdate(const UpdateObject& action);
  void AnswerUpdate(SimulatedNode& node,
                    const ObjectName& name,
                    ObjectReply reply);

  ManualClock clock_;
  Random random_;
  std::vector<Event> events_;
  uint64_t event_count_ = 0;
  uint64_t request_count_ = 0;
  FleetConfigPtr config_;
};

// Returns a configuration with the model and the service of the simulated
// agents.
std::shared_ptr<FleetConfig> MakeSimulationConfig(uint64_t version);

}  // namespace burdockhatch

#endif  // TESTS_AGENT_SIMULATION_H_
