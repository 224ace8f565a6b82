// The decisions of an agent, the one authority over its target. Events go in,
// actions come out; no sockets and no clock. All calls come from one thread.
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

// What an agent knows of itself and its target from its settings.
struct AgentOptions {
  PeerId self;
  TargetId target;
  DataCentreId data_centre;
  ModelId model;       // Empty for a plain service.
  ServiceId service;   // Empty for a model engine.
  Tokens memory;       // Model engines: size of the KV memory.
  Tokens full_budget;  // Tokens in flight that the warm target carries.
  TokensPerSecond prefill_rate;     // Of the warm engine, without a cache hit.
  Duration time_per_token{0};       // Of one stream, when the engine is full.
  uint32_t max_service_calls = 64;  // Plain services: calls at once.
  bool honours_fencing = true;
};

// Sends `body` to an entry.
struct SendToPeer {
  PeerId to;
  MessageBody body;
};

// Starts a stream and relays its chunks to `entry`.
struct StartStream {
  StreamSpec spec;
  AttemptId attempt;
  PeerId entry;
};

// Relays the chunks of a stream of the engine to `entry`, from `next_chunk`;
// replaces an earlier relay of the same stream.
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

// Asks for Engine::List; the answer goes to OnEngineList.
struct ListEngine {};

// Dispatches a call to the plain service, unless `not_after` has passed on the
// thread that writes; then the answer has status kNotSent.
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

  // `wall` is the wall clock, for records that outlive this process.
  void Tick(Time now, UnixSeconds wall_time);

  // A message of an entry. Bodies that only an agent sends, and those for other
  // parts (heartbeat, configuration), are ignored.
  void OnMessage(const Message& message, Time now);

  void OnStreamStarted(const StreamId& stream, StartStatus status, Time now);
  // `next_chunk` is one above the index of the last chunk relayed; `tokens` the
  // output so far.
  void OnStreamProgress(const StreamId& stream,
                        uint32_t next_chunk,
                        Tokens tokens,
                        Time now);
  void OnStreamEnded(const StreamId& stream,
                     StreamEnd end,
                     uint32_t chunk_count,
                     Time now);
  void OnCacheImported(const StreamId& cache, StartStatus status, Time now);
  // `list` is null when the engine did not answer. `asked_at` is when it was
  // asked: a stream started since then may be missing from it.
  void OnEngineList(const EngineList* list, Time asked_at, Time now);
  void OnEngineLoad(const EngineLoad* load, Time now);
  void OnCacheEvents(const std::vector<CacheEvent>& events, Time now);

  void OnServiceProbe(bool healthy, Time now);
  void OnServiceAnswer(const AttemptId& attempt,
                       ServiceAnswer answer,
                       Time now);

  void OnObjectRead(const ObjectName& name, const ObjectReply& reply, Time now);
  void OnObjectUpdated(const ObjectName& name,
                       const ObjectReply& reply,
                       Time now);

  void OnConfig(FleetConfigPtr config, Time now);

  // A run of an entry is gone for good, e.g. a new incarnation of it was seen.
  void OnPeerGone(const PeerId& peer, Time now);

  // Planned stop: refuses new work; running work goes on.
  void BeginDrain(Time now);
  // Whether nothing is running, queued or held any more.
  bool Drained() const;

  AgentState State(Time now);

  // The actions that the events since the last call ask for, in order.
  std::vector<AgentAction> TakeActions();

  // For tests, the state dump and invariant checks.
  const AgentTables& tables() const { return *tables_; }

  // A JSON dump of the tables.
  std::string Dump(Time now) const;

 private:
  std::unique_ptr<AgentTables> tables_;
};

}  // namespace burdockhatch

#endif  // SRC_AGENT_CORE_H_
