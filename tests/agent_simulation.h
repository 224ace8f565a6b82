// A small simulation around agents for failure tests: engines, a plain service,
// the object API and an entry, with seeded faults, in virtual time.
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

// Chances of faults, each in [0, 1].
struct SimulatedFaults {
  double start_lost = 0;         // The start never arrives; no answer.
  double start_answer_lost = 0;  // It arrives; no answer.
  double start_late = 0;         // It arrives after the answer was given up.
  double start_refused = 0;
  double start_not_sent = 0;
  double cancel_lost = 0;
  double list_lost = 0;
  double stream_hangs = 0;  // The stream makes no progress.
  double end_lost = 0;      // The relay breaks before the end of the stream.
  double object_lost = 0;   // The request never arrives; no answer.
  double object_answer_lost = 0;  // It takes effect; no answer.
  double object_late = 0;         // It takes effect after it was given up.
  double object_throttled = 0;
  double call_lost = 0;  // The call runs; no answer.
  double call_slow = 0;  // The call runs; the answer comes after 3 s.
  double call_not_sent = 0;
  double duplicate_offer = 0;
  bool outage = false;  // Of the object API.
};

struct SimulatedStream {
  Tokens memory;
  Tokens load;
  uint32_t chunks = 0;
  uint32_t produced = 0;
};

// A model engine as the agent sees it.
struct SimulatedEngine {
  EngineIncarnation incarnation{1};
  std::map<StreamId, SimulatedStream> streams;
  std::map<StreamId, Tokens> caches;
  std::map<StreamId, uint32_t> finished;  // Chunks of finished streams.
  Tokens completed;
  Time started;
};

// An agent, its target and its connection to both.
struct SimulatedNode {
  AgentOptions options;
  std::unique_ptr<AgentCore> core;
  SimulatedEngine engine;
  bool paused = false;
  PeerId known;       // The run that the entry has heard of last.
  bool down = false;  // Between two runs of the agent.
  std::vector<std::function<void()>> inbox;  // Events during a pause.
  std::map<StreamId, uint64_t> relays;       // Number of the current relay.
  uint64_t relay_count = 0;
  Time next_load;
};

// What the entry knows of an attempt at one run of an agent.
struct OfferRecord {
  Offer offer;
  PeerId agent;
  Time deadline;
  std::optional<Time> accepted;
  bool interrupted = false;  // Its agent restarted, or the entry left it.
  std::vector<std::pair<Time, Finish>> finishes;
  std::vector<Chunk> chunks;
  bool told_not_run = false;
  int refusals = 0;
};

struct SimulatedObject {
  ObjectVersion version;
  std::string value;
};

class AgentSimulation {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  // Longer than a request of the former run can be under way.
  static constexpr Duration kRestartTime = std::chrono::milliseconds(1'100);

  explicit AgentSimulation(uint64_t seed) : random_(seed) {}

  SimulatedNode& AddEngineAgent(const std::string& name);
  SimulatedNode& AddServiceAgent(const std::string& name);

  Time now() const { return clock_.Now(); }
  Random& random() { return random_; }

  // Advances virtual time; events run in order, agents tick every kStep.
  void Run(Duration time);
  void After(Duration delay, std::function<void()> event);

  // Ends the agent's run; the next one starts kRestartTime later.
  void RestartAgent(SimulatedNode& node);
  void RestartEngine(SimulatedNode& node);
  void Pause(SimulatedNode& node) { node.paused = true; }
  void Unpause(SimulatedNode& node);
  // Replaces the core by one with the node's changed options.
  void Reconfigure(SimulatedNode& node) { StartCore(node); }
  void SetConfig(FleetConfigPtr config);

  // Sends an offer as a new attempt; returns its id.
  AttemptId SendOffer(SimulatedNode& node, Offer offer);
  void Send(SimulatedNode& node, MessageBody body);

  Offer MakeCompletionOffer(Tokens prompt, Tokens output, Duration time_left);
  Offer MakeKeyedCallOffer(const std::string& key, Duration time_left);

  std::vector<std::unique_ptr<SimulatedNode>> nodes;
  std::map<AttemptId, OfferRecord> offers;
  std::map<AttemptId, int> dispatches;  // Actions, over all agents.
  std::map<AttemptId, int> executions;  // At engines and services.
  std::map<std::string, int> key_executions;
  std::map<ObjectName, SimulatedObject> objects;
  std::vector<HoldReply> hold_replies;
  std::vector<std::pair<Time, LoadReport>> reports;
  int goodbyes = 0;
  int starts_over_budget = 0;  // Starts above the warm-up budget.
  int starts_over_memory = 0;  // Starts for which the engine had no memory.
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
  void Pump(SimulatedNode& node);
  void StepNode(SimulatedNode& node);
  void StepEngine(SimulatedNode& node);
  bool Chance(double p) { return random_.Unit() < p; }
  Duration Latency() {
    return std::chrono::microseconds(500 + random_.Below(2'000));
  }

  void Do(SimulatedNode& node, SendToPeer& action);
  void Do(SimulatedNode& node, StartStream& action);
  void Do(SimulatedNode& node, AttachStream& action);
  void Do(SimulatedNode& node, CancelStream& action);
  void Do(SimulatedNode& node, ImportCacheAction& action);
  void Do(SimulatedNode& node, ReleaseCacheAction& action);
  void Do(SimulatedNode& node, ListEngine& action);
  void Do(SimulatedNode& node, DispatchCall& action);
  void Do(SimulatedNode& node, ReadObject& action);
  void Do(SimulatedNode& node, UpdateObject& action);

  void EngineStart(SimulatedNode& node, const StartStream& action);
  void Relay(SimulatedNode& node, const StreamId& stream, uint32_t from);
  void FollowRelay(SimulatedNode& node,
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

// A configuration with the model and the service of the simulation's agents.
std::shared_ptr<FleetConfig> MakeSimulationConfig(uint64_t version);

}  // namespace burdockhatch

#endif  // TESTS_AGENT_SIMULATION_H_
