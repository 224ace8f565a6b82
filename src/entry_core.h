// The decisions of an entry: which target gets a request, when an attempt is
// repeated or moved, what a caller is told. Events go in, actions come out; no
// sockets and no clock. All calls come from one thread. The text of answers
// does not pass through here: sessions assemble it (see answer_assembler.h) and
// report how far it is.
#ifndef SRC_ENTRY_CORE_H_
#define SRC_ENTRY_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/clock.h"
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
  uint32_t subset_size = 48;  // Agents that this entry knows, over all models.
};

// One request of a caller, parsed and counted by its session.
struct RequestSpec {
  RequestId request;
  ClientAccountId account;
  WorkKind kind = WorkKind::kCompletion;
  ModelId model;
  ServiceId service;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  std::vector<uint64_t> prefix_hashes;
  Time deadline;
  bool repeatable = true;
  std::optional<IdempotencyKey> key;
  std::string method;
  std::string path;
};

// Sends an offer. The session of the request fills in `generated_prefix` and
// `body` before it goes out, and from now on takes chunks of this attempt only.
// A send that fails before a byte is written is reported with OnSendFailed.
struct SendOffer {
  PeerId to;
  Offer offer;
};

// Sends any other body. A failed send is not reported.
struct SendToAgent {
  PeerId to;
  MessageBody body;
};

// The whole answer has been received; the session may end it.
struct CompleteRequest {
  RequestId request;
  uint32_t chunk_count = 0;
  uint32_t http_status = 0;  // Plain service calls only.
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

using EntryAction = std::variant<SendOffer,
                                 SendToAgent,
                                 CompleteRequest,
                                 FailRequest,
                                 ConnectPeer,
                                 DisconnectPeer>;

struct EntryTables;

class EntryCore {
 public:
  explicit EntryCore(EntryOptions options);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  void Tick(Time now);

  // Admits the request and sends an offer, or fails it at once. Every request
  // gets exactly one CompleteRequest or FailRequest, at its deadline at the
  // latest, unless its caller goes.
  void OnRequest(RequestSpec spec, Time now);
  void OnCallerGone(const RequestId& request, Time now);

  // Replies, finishes, load reports and share messages. Chunks go to the
  // session; `OnProgress` tells how many it has.
  void OnMessage(const Message& message, Time now);
  void OnProgress(const AttemptId& attempt, uint32_t next_chunk, Time now);

  // The offer of `attempt` was never written: proof that it did not run.
  void OnSendFailed(const AttemptId& attempt, Time now);

  void OnInstances(const std::vector<InstanceInfo>& instances, Time now);
  // The connection to a peer cannot carry messages now.
  void OnPeerUnreachable(const InstanceId& instance, Time now);
  void OnConfig(FleetConfigPtr config, Time now);

  void BeginDrain(Time now);
  bool Drained() const;

  std::vector<EntryAction> TakeActions();

  const EntryTables& tables() const { return *tables_; }
  std::string Dump(Time now) const;

 private:
  std::unique_ptr<EntryTables> tables_;
};

}  // namespace burdockhatch

#endif  // SRC_ENTRY_CORE_H_
