// Plays the agents, the network and the sessions around one EntryCore, with
// faults drawn from a seeded generator and a clock that the test advances.
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

// Probabilities of faults, per message or per second.
struct EntryFaultPlan {
  double lost = 0;
  double late = 0;  // Up to kLongestDelay instead of a few milliseconds.
  double duplicated = 0;
  double unsent = 0;  // Offers whose send fails.
  double refused = 0;
  double failed_streams = 0;
  double restarts = 0;  // Per agent and second.
  double deaths = 0;    // Per agent and second; the agent stays dead a while.
  double pauses = 0;    // Per agent and second.
};
inline constexpr Duration kLongestDelay = std::chrono::seconds(2);

// How one attempt fared at one run of a fake agent.
struct FakeAttempt {
  Offer offer;
  uint32_t chunks = 0;  // Of the whole answer.
  uint32_t sent = 0;    // Index of the next chunk.
  Time next_chunk_at;
  bool relayed = true;  // A restarted agent waits for Resume.
  bool ended = false;
  Failure failure;  // Of the end.
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
  Time alive_again;
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
  std::set<AttemptId> tombstones;
  std::map<AttemptId, FakeHold> holds;
  bool silent_to_offers = false;  // Takes offers and answers nothing.
  bool loses_chunks = false;      // Chunks with odd index are lost once.
  bool keeps_streams = true;      // A restart finds the streams running.
  Duration chunk_interval = std::chrono::milliseconds(20);
  uint32_t chunks_per_answer = 5;
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
  bool to_unusable = false;  // The entry knew that the target takes no work.
};

struct FakeDispatch {
  Time at;
  AttemptId attempt;
  InstanceId agent;
};

// What one request went through, for the invariant checks.
struct PlayedRequest {
  RequestSpec spec;
  std::vector<RequestEnd> ends;
  std::vector<SentOffer> offers;
  std::vector<FakeDispatch> dispatches;
  std::string answer;
  uint32_t answer_chunks = 0;
  AttemptId current;  // The session takes chunks of this attempt only.
  std::map<uint32_t, std::string> early_chunks;
  bool caller_gone = false;
};

class EntryDriver {
 public:
  EntryDriver(uint64_t seed, EntryFaultPlan faults = {});

  // Agents are listed and connected by Start.
  FakeAgent& AddAgent(const std::string& name,
                      const std::string& data_centre,
                      const std::string& model,
                      const std::string& service);
  // Gives the core a list and a configuration, and lets all agents report.
  void Start();

  FleetConfig& config() { return config_; }
  void PushConfig();
  void PushInstances();

  RequestId Submit(RequestSpec spec);
  // A repeatable completion of `tokens` prompt tokens.
  RequestSpec Completion(int64_t tokens = 1000,
                         Duration timeout = std::chrono::seconds(10));
  RequestSpec ServiceCall(bool repeatable,
                          Duration timeout = std::chrono::seconds(5));

  void Run(Duration length);
  void Restart(FakeAgent& agent, bool keeps_streams);

  Time Now() const { return clock_.Now(); }
  EntryCore& core() { return core_; }
  FakeAgent& agent(const std::string& name);
  PlayedRequest& record(const RequestId& request) {
    return records_.at(request);
  }
  const std::map<RequestId, PlayedRequest>& records() const { return records_; }
  // The only end of a request; null before it has ended.
  const RequestEnd* End(const RequestId& request) const;
  // Bodies sent to agents, other than offers.
  const std::vector<SendToAgent>& sent() const { return sent_; }
  const std::vector<EntryAction>& connections() const { return connections_; }

  // A message to the core, past the faults.
  void Deliver(const FakeAgent& agent, MessageBody body);
  AgentState StateOf(FakeAgent& agent);
  void Drain();
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

  bool Draw(double probability) { return random_.Unit() < probability; }
  Duration Transit();
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
  std::map<RequestId, PlayedRequest> records_;
  std::vector<SendToAgent> sent_;
  std::vector<EntryAction> connections_;
  std::set<AttemptId> lost_chunk_attempts_;
};

// The text of a chunk, which tells whose answer it belongs to.
std::string ChunkText(const RequestId& request, uint32_t index);

}  // namespace burdockhatch

#endif  // TESTS_ENTRY_DRIVER_H_
