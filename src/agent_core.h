// Decision logic of an agent, the only process that dispatches work to its
// target. It takes events and returns actions, and uses no sockets and no
// clock. All calls must come from one thread.
#ifndef SRC_AGENT_CORE_H_
#define SRC_AGENT_CORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/clock.h"
#include "src/engine.h"
#include "src/fleet_config.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/object_api.h"
#include "src/plain_service.h"
#include "src/units.h"

namespace burdockhatch {

// Identity of an agent and properties of its target, from the settings.
struct AgentOptions {
  PeerId self;
  TargetId target;
  DataCentreId data_centre;
  ModelId model;       // Empty for a plain service.
  ServiceId service;   // Empty for a model engine.
  Tokens memory;       // Model engines: size of the KV cache memory.
  Tokens full_budget;  // Tokens in flight that a warm engine can carry.
  // Prefill rate of a warm engine without cache hits.
  TokensPerSecond prefill_rate;
  // Decode time per token of one stream on a fully loaded engine.
  Duration time_per_token{0};
  uint32_t max_service_calls = 64;  // Plain services: concurrent calls.
  // Whether the target refuses requests with a lower fencing number than it has
  // seen. Not used by the agent.
  bool honours_fencing = true;
};

// Sends `body` to the entry `to`.
struct SendToPeer {
  PeerId to;
  MessageBody body;
};

// Starts a stream on the engine and relays its chunks to `entry`.
struct StartStream {
  StreamSpec spec;
  AttemptId attempt;
  PeerId entry;
};

// Relays the chunks of a running or finished stream of the engine to `entry`,
// starting at `next_chunk`. Replaces an earlier relay of the same stream.
struct AttachStream {
  StreamId stream;
  AttemptId attempt;
  PeerId entry;
  uint32_t next_chunk = 0;
};

struct CancelStream {
  StreamId stream;
};

struct ImportCacheAction {
  StreamId cache;
  Tokens memory;
};

struct ReleaseCacheAction {
  StreamId cache;
};

// Requests the engine's list of streams and caches; the answer goes to
// OnEngineList.
struct ListEngine {};

// Dispatches a call to the plain service. If `not_after` has passed when the
// I/O thread is about to write the request, the call is not sent and its answer
// has status kNotSent.
struct DispatchCall {
  AttemptId attempt;
  ServiceRequest request;
  Time not_after;
};

struct ReadObject {
  ObjectName name;
};

struct UpdateObject {
  ObjectName name;
  ObjectVersion expected;
  std::string value;
};

using AgentAction = std::variant<SendToPeer,
                                 StartStream,
                                 AttachStream,
                                 CancelStream,
                                 ImportCacheAction,
                                 ReleaseCacheAction,
                                 ListEngine,
                                 DispatchCall,
                                 ReadObject,
                                 UpdateObject>;

struct AgentTables;

class AgentCore {
 public:
  explicit AgentCore(AgentOptions options);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  // Advances the time and sends what is due. `wall_time` is the wall clock
  // time, used in records that outlive this process.
  void Tick(Time now, UnixSeconds wall_time);

  // Handles a message from an entry. Bodies that only agents send and bodies
  // for other components (heartbeats, configuration) are ignored.
  void OnMessage(const Message& message, Time now);

  void OnStreamStarted(const StreamId& stream, StartStatus status, Time now);
  // `next_chunk` is one above the index of the last relayed chunk; `tokens` is
  // the number of output tokens so far.
  void OnStreamProgress(const StreamId& stream,
                        uint32_t next_chunk,
                        Tokens tokens,
                        Time now);
  void OnStreamEnded(const StreamId& stream,
                     StreamEnd end,
                     uint32_t chunk_count,
                     Time now);
  void OnCacheImported(const StreamId& cache, StartStatus status, Time now);
  // `list` is null if the engine did not answer. `asked_at` is the time of the
  // request; a stream started later may be missing from the list.
  void OnEngineList(const EngineHoldings* list, Time asked_at, Time now);
  void OnEngineLoad(const EngineLoad* load, Time now);
  void OnCacheEvents(const std::vector<CacheEvent>& events, Time now);

  void OnServiceProbe(bool healthy, Time now);
  void OnServiceAnswer(const AttemptId& attempt,
                       ServiceResponse answer,
                       Time now);

  void OnObjectRead(const ObjectName& name, const ObjectReply& reply, Time now);
  void OnObjectUpdated(const ObjectName& name,
                       const ObjectReply& reply,
                       Time now);

  void OnConfig(FleetConfigPtr config, Time now);

  // Ends the work of an entry's incarnation that has ended, e.g. because a
  // newer incarnation was seen.
  void OnPeerGone(const PeerId& peer, Time now);

  // Begins a planned stop: refuses new work and lets running work complete.
  void BeginDrain(Time now);
  // Whether a drain has begun and no work is running, queued or held.
  bool Drained() const;

  AgentState State(Time now);

  // Returns the actions requested since the last call, in order.
  std::vector<AgentAction> TakeActions();

  // For tests and invariant checks.
  const AgentTables& tables() const { return *tables_; }

  // Returns the tables as JSON.
  std::string Dump(Time now) const;

 private:
  std::unique_ptr<AgentTables> tables_;
};

}  // namespace burdockhatch

#endif  // SRC_AGENT_CORE_H_
