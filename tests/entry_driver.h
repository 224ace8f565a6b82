// Simulates the agents, the network and the sessions of one EntryCore, with
// faults from a seeded random generator and a manual clock.
#ifndef TESTS_ENTRY_DRIVER_H_
#define TESTS_ENTRY_DRIVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/entry_core.h"
#include "src/entry_tables.h"
#include "src/random.h"

namespace burdockhatch {

// Fault probabilities per message, and fault rates per agent.
struct EntryFaultPlan {
  double lost = 0;
  // Messages delayed by up to kLongestDelay instead of a few milliseconds.
  double late = 0;
  double duplicated = 0;
  double unsent = 0;          // Offers whose send fails.
  double refused = 0;         // Offers refused although there is capacity.
  double failed_streams = 0;  // Streams that fail, per chunk.
  double restarts_per_s = 0;
  double deaths_per_s = 0;  // The agent is down for up to 8 seconds.
  double pauses_per_s = 0;  // The agent is paused for up to 6 seconds.
};
inline constexpr Duration kLongestDelay = std::chrono::seconds(2);

// An attempt at a fake agent.
struct FakeAttempt {
  Offer offer;
  uint32_t chunks = 0;            // Chunks of the complete answer.
  uint32_t next_chunk_index = 0;  // Index of the next chunk to send.
  Time next_chunk_at;
  bool relay_active = true;  // False after a restart, until Resume.
  bool ended = false;
  Failure failure;  // Valid once `ended`.
};

struct FakeHold {
  int64_t tokens = 0;
  Time until;
};

struct FakeAgent {
  InstanceInfo info;
  Incarnation incarnation{1};
  uint64_t sequence = 0;
  bool alive = true;
  Time alive_again_at;
  Time paused_until;
  Time subscribed_until;
  Time next_report;
  bool draining = false;
  bool withdrawn = false;
  bool ready = true;
  ErrorCode refuse_all = ErrorCode::kNone;
  Duration retry_after{0};
  int64_t memory_total = 450'000;
  int64_t warm_budget = 100'000;
  int64_t reported_load = 0;
  Duration expected_wait{0};
  std::vector<uint64_t> cached_prefixes;
  std::map<AttemptId, FakeAttempt> attempts;
  std::set<AttemptId> tombstones;  // Refused attempts.
  std::map<AttemptId, FakeHold> holds;
  bool replies_suppressed = false;  // Accepts offers but sends no replies.
  // Chunks with an odd index are lost when first sent.
  bool odd_chunks_lost = false;
  bool streams_survive = true;  // Streams keep running across a restart.
  Duration chunk_interval = std::chrono::milliseconds(20);
  uint32_t chunks_per_answer = 5;
  // The engine crashes when it begins an answer to a prompt with one of these
  // prefix hashes. All its attempts fail.
  std::set<uint64_t> crashing_prefixes;
  uint32_t crashes = 0;
};

struct RequestEnd {
  Time at;
  bool completed = false;
  Failure failure;
  uint32_t chunk_count = 0;
};

struct SentOffer {
  Time at;
  AttemptId attempt;
  InstanceId to;
  uint32_t first_chunk = 0;
  // The entry knew that the target accepts no new work.
  bool target_known_unusable = false;
};

struct FakeDispatch {
  Time at;
  AttemptId attempt;
  InstanceId agent;
};

// History of one request for the invariant checks.
struct RequestRecord {
  RequestSpec spec;
  std::vector<RequestEnd> ends;
  std::vector<SentOffer> offers;
  std::vector<FakeDispatch> dispatches;
  std::string answer;
  uint32_t answer_chunks = 0;
  // The session accepts only chunks of this attempt.
  AttemptId current_attempt;
  std::map<uint32_t, std::string> buffered_chunks;
  bool caller_gone = false;
};

class EntryDriver {
 public:
  EntryDriver(uint64_t seed, EntryFaultPlan faults = {});

  // Adds an agent. Start() puts it on the instance list and connects it.
  FakeAgent& AddAgent(const std::string& name,
                      const std::string& data_centre,
                      const std::string& model,
                      const std::string& service);
  // Passes the configuration and the instance list to the core and runs without
  // faults until all agents have reported.
  void Start();

  FleetConfig& config() { return config_; }
  void PushConfig();
  void PushInstances();

  RequestId Submit(RequestSpec spec);
  // Returns a repeatable completion with `tokens` prompt tokens.
  RequestSpec Completion(int64_t tokens = 1000,
                         Duration timeout = std::chrono::seconds(10));
  RequestSpec ServiceCall(bool repeatable,
                          Duration timeout = std::chrono::seconds(5));

  void Run(Duration length);
  void Restart(FakeAgent& agent, bool streams_survive);

  Time Now() const { return clock_.Now(); }
  EntryCore& core() { return core_; }
  FakeAgent& agent(const std::string& name);
  RequestRecord& record(const RequestId& request) {
    return records_.at(request);
  }
  const std::map<RequestId, RequestRecord>& records() const { return records_; }
  // Returns the first end of a request, or null if it has not ended.
  const RequestEnd* FirstEnd(const RequestId& request) const;
  // Messages sent to agents and entries, except offers.
  const std::vector<SendMessage>& sent() const { return sent_; }
  // All ConnectPeer and DisconnectPeer actions.
  const std::vector<EntryAction>& connection_actions() const {
    return connection_actions_;
  }

  // Delivers a message to the core immediately, without faults.
  void Deliver(const FakeAgent& agent, MessageBody body);
  // Returns the agent's state with the next sequence number.
  AgentState NextStateOf(FakeAgent& agent);
  void Drain();
  size_t EndOpenRequests();
  EntryFaultPlan& faults() { return faults_; }
  bool list_is_stale = false;  // PushInstances is not called on deaths.

 private:
  struct Packet {
    Time at;
    uint64_t order = 0;
    bool to_entry = false;
    Message message;
    InstanceId to;
    Incarnation receiver;
  };

  bool RandomChance(double probability) {
    return random_.UniformReal() < probability;
  }
  Duration RandomTransitTime();
  void Send(Packet packet);
  void SendToEntry(FakeAgent& agent, MessageBody body);
  void TakeActions();
  void OnOfferSent(const SendOffer& action);
  void DeliverDue();
  void DeliverToAgent(const Packet& packet);
  void DeliverToEntry(const Message& message);
  void OnOffer(FakeAgent& agent, const Offer& offer);
  void OnResume(FakeAgent& agent, const Resume& resume);
  void OnCancel(FakeAgent& agent, const Cancel& cancel);
  void OnHold(FakeAgent& agent, const Hold& hold);
  void Refuse(FakeAgent& agent, const AttemptId& attempt, ErrorCode code);
  void OnChunk(const Chunk& chunk);
  void StepAgent(FakeAgent& agent);
  void StepAttempt(FakeAgent& agent, const AttemptId& id, FakeAttempt& it);
  void CrashEngine(FakeAgent& agent);
  void StepFaults(FakeAgent& agent);
  void SendFinish(FakeAgent& agent, const AttemptId& id, const FakeAttempt& it);
  bool KnownUnusable(const InstanceId& instance) const;

  ManualClock clock_;
  Random random_;
  EntryFaultPlan faults_;
  EntryCore core_;
  FleetConfig config_;
  std::vector<FakeAgent> agents_;
  std::vector<Packet> packets_;
  uint64_t packet_order_ = 0;
  uint64_t next_request_ = 1;
  std::map<RequestId, RequestRecord> records_;
  std::vector<SendMessage> sent_;
  std::vector<EntryAction> connection_actions_;
  std::set<AttemptId> lost_chunk_attempts_;
};

// Returns the text of a chunk, which identifies its request and index.
std::string ChunkText(const RequestId& request, uint32_t index);

}  // namespace burdockhatch

#endif  // TESTS_ENTRY_DRIVER_H_
