// Decides for an entry which target gets a request, when an attempt is retried
// or moved to another target, and what a caller is told. Consumes events and
// produces actions, without sockets or a clock. All calls must come from one
// thread. The text of answers does not pass through this class: sessions
// assemble it (see answer_assembler.h) and report the next missing chunk.
#ifndef SRC_ENTRY_CORE_H_
#define SRC_ENTRY_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/clock.h"
#include "src/crash_blame.h"
#include "src/errors.h"
#include "src/fleet_config.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/object_api.h"
#include "src/units.h"

namespace burdockhatch {

struct EntryOptions {
  PeerId self;
  DataCentreId data_centre;
  RegionId region;
  uint64_t seed = 1;
  // Approximate number of agents in the subset, over all models and services.
  uint32_t subset_size = 48;
  CrashBlameLimits crash_blame;
};

// A caller's request after its session has parsed it and counted its tokens.
struct RequestSpec {
  RequestId request;
  ClientAccountId account;
  WorkKind kind = WorkKind::kCompletion;
  ModelId model;
  ServiceId service;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  std::vector<uint64_t> prefix_hashes;
  // Of the text that the client account's template puts before the prompt.
  std::optional<uint64_t> template_prefix_hash;
  // Of the whole prompt, which is the same when the caller sends it again.
  std::optional<uint64_t> prompt_hash;
  Time deadline;
  bool repeatable = true;
  std::optional<IdempotencyKey> key;
  std::string method;
  std::string path;
};

// Sends an offer. The session of the request first fills in `generated_prefix`
// and `body`, and from then on accepts only chunks of this attempt. If the send
// fails before a byte is written, OnSendFailed is called.
struct SendOffer {
  PeerId to;
  Offer offer;
};

// Sends a message other than an offer to an agent or another entry. A failed
// send is not reported.
struct SendMessage {
  PeerId to;
  MessageBody body;
};

// Tells the session that all chunks of the answer have been received.
struct CompleteRequest {
  RequestId request;
  uint32_t chunk_count = 0;
  uint32_t http_status = 0;  // Set for plain service calls only.
  std::string content_type;
};

struct FailRequest {
  RequestId request;
  Failure failure;
};

struct ConnectPeer {
  InstanceId instance;
  std::string address;
};

struct DisconnectPeer {
  InstanceId instance;
};

// Sends the report to the entries that this one exchanges heartbeats with.
struct SpreadReport {
  BlameReport report;
};

using EntryAction = std::variant<SendOffer,
                                 SendMessage,
                                 CompleteRequest,
                                 FailRequest,
                                 ConnectPeer,
                                 DisconnectPeer,
                                 SpreadReport>;

struct EntryTables;

class EntryCore {
 public:
  explicit EntryCore(EntryOptions options);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  void Tick(Time now);

  // Admits the request and sends an offer, or fails it immediately. Every
  // request gets exactly one CompleteRequest or FailRequest, at its deadline at
  // the latest, unless the caller disconnects.
  void OnRequest(RequestSpec spec, Time now);
  void OnCallerGone(const RequestId& request, Time now);

  // Handles every message except chunks, which go to the session. The session
  // reports its progress through OnProgress.
  void OnMessage(const Message& message, Time now);
  // The session has received all chunks before `next_chunk`.
  void OnProgress(const AttemptId& attempt, uint32_t next_chunk, Time now);

  // The offer of `attempt` was never written, which proves that it did not run.
  void OnSendFailed(const AttemptId& attempt, Time now);

  void OnInstances(const std::vector<InstanceInfo>& instances, Time now);
  // Messages cannot be sent to the peer at present.
  void OnPeerUnreachable(const InstanceId& instance, Time now);
  void OnConfig(FleetConfigPtr config, Time now);

  // From now on, refuses requests whose deadline is not before `work_ends_at`.
  void OnStopPlanned(Time work_ends_at);
  void BeginDrain(Time now);
  bool IsDrained() const;
  // Fails the requests in progress because the process ends. Returns their
  // number.
  size_t EndOpenRequests(Time now);

  std::vector<EntryAction> TakeActions();

  const EntryTables& tables() const { return *tables_; }
  std::string Dump(Time now) const;

 private:
  std::unique_ptr<EntryTables> tables_;
};

}  // namespace burdockhatch

#endif  // SRC_ENTRY_CORE_H_
