// Typed messages between the processes of the system. The codec in wire.h turns
// them into protobuf and back; decision logic sees only these types.
#ifndef SRC_MESSAGES_H_
#define SRC_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/engine_cost.h"
#include "src/errors.h"
#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch {

enum class WorkKind : uint8_t { kCompletion, kServiceCall };

// Classes of prompt length. Each has its own share of a target's budget.
enum class LengthClass : uint8_t { kShort, kMedium, kLong, kHuge };
inline constexpr int kLengthClassCount = 4;

inline constexpr Tokens kShortLimit{4'000};
inline constexpr Tokens kMediumLimit{32'000};
inline constexpr Tokens kLongLimit{100'000};

constexpr LengthClass ClassifyPromptLength(Tokens prompt) {
  if (prompt <= kShortLimit) {
    return LengthClass::kShort;
  }
  if (prompt <= kMediumLimit) {
    return LengthClass::kMedium;
  }
  return prompt <= kLongLimit ? LengthClass::kLong : LengthClass::kHuge;
}

// What an agent says of itself in every reply and load report.
struct AgentState {
  uint64_t sequence =
      0;  // Grows with each state sent; an older state is dropped.
  TargetId target;
  DataCentreId data_centre;
  ModelId model;           // Empty for a plain service.
  ServiceId service;       // Empty for a model engine.
  bool ready = false;      // The target answers and the configuration is known.
  bool draining = false;   // The agent was told to stop.
  bool withdrawn = false;  // Operators took the target or its data centre out.
  EngineIncarnation engine;
  Tokens memory_total;
  Tokens memory_free;  // Not booked.
  Tokens warm_budget;  // Tokens in flight that the target may carry now.
  Tokens full_budget;  // The same when warm.
  Tokens in_flight;    // Tokens of the work dispatched and not ended.
  Tokens queued;       // Tokens of the work accepted and not dispatched.
  uint32_t running = 0;
  uint32_t waiting = 0;
  Duration expected_wait{
      0};  // Until a short request that arrives now is dispatched.
  TokensPerSecond prefill_rate;
  // Hashes of cached prompt prefixes, most recently used first, at most
  // kMaxReportedPrefixes.
  std::vector<uint64_t> cached_prefixes;
};
inline constexpr size_t kMaxReportedPrefixes = 32;

// A target that keeps part of the KV cache of a prompt that is larger than one
// engine.
struct GangMember {
  PeerId agent;
  Tokens tokens;  // Share of the prompt that this member holds.
};
inline constexpr int kMaxGangSize = 8;

// Entry to agent: asks the agent to run one attempt.
struct Offer {
  AttemptId attempt;
  WorkKind kind = WorkKind::kCompletion;
  ClientAccountId account;
  ModelId model;
  ServiceId service;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  std::vector<uint64_t> prefix_hashes;  // One per block of the prompt, chained.
  Duration time_left{0};                // Until the caller's deadline.
  bool repeatable = true;
  std::optional<IdempotencyKey> key;
  std::vector<GangMember> members;  // Empty unless the prompt needs a gang; the
                                    // leader is not listed.
  uint32_t first_chunk =
      0;  // Index of the first chunk that the caller still needs.
  std::string
      generated_prefix;  // Output that the caller has, for a continued attempt.
  std::string method;    // Plain service calls only.
  std::string path;
  std::string body;
};

// Entry to agent: the attempt is not needed any more.
struct Cancel {
  AttemptId attempt;
};

// Entry to agent: send the chunks of a running attempt again from `next_chunk`.
// Also tells an agent that has just started that a live entry claims the
// stream.
struct Resume {
  AttemptId attempt;
  uint32_t next_chunk = 0;
  Duration time_left{0};
};

// Entry to agent: book memory for a member of a gang for at most `ttl`.
struct Hold {
  AttemptId attempt;
  Tokens tokens;
  Duration ttl{0};
};

struct HoldRelease {
  AttemptId attempt;
};

// Entry to agent: send load reports for the next `ttl`.
struct Subscribe {
  Duration ttl{0};
};

enum class Verdict : uint8_t {
  kAccepted,  // Dispatched, or queued for at most the time the agent allows.
  kRefused,   // See `failure`.
};

struct OfferReply {
  AttemptId attempt;
  Verdict verdict = Verdict::kRefused;
  Failure failure;
  AgentState state;
};

struct HoldReply {
  AttemptId attempt;
  Verdict verdict = Verdict::kRefused;
  Failure failure;
  AgentState state;
};

// Agent to entry: a part of the answer.
struct Chunk {
  AttemptId attempt;
  uint32_t index = 0;  // From 0, counted over the whole answer.
  uint32_t tokens = 0;
  std::string data;
};

// Agent to entry: the attempt has ended. `failure.code` is kNone for a whole
// answer of `chunk_count` chunks.
struct Finish {
  AttemptId attempt;
  uint32_t chunk_count = 0;
  Failure failure;
  uint32_t http_status =
      0;  // Plain service calls only: what the service answered.
  std::string content_type;
  AgentState state;
};

// Agent to entry, once a second to each subscriber.
struct LoadReport {
  AgentState state;
};

enum class Role : uint8_t { kEntry, kAgent };

// Any to any: the sender is alive.
struct Heartbeat {
  Role role = Role::kEntry;
  DataCentreId data_centre;
  std::string address;  // "ip:port" of the sender's bus.
  bool leaving = false;
};

// Any to any: send the configuration changes after `have`.
struct ConfigPull {
  ConfigVersion have;
};

// Any to any: the configuration at `version`, as JSON text: the edits since
// `base`, or, when `base` is 0, the whole document.
struct ConfigPush {
  ConfigVersion base;
  ConfigVersion version;
  std::string document;
};

// The sender is about to stop.
struct Goodbye {};

struct AccountDemand {
  ClientAccountId account;
  TokensPerSecond demand;
};

// Entry to home entry: asks for shares of account limits.
struct ShareRequest {
  uint64_t number = 0;  // Grows with each request to one home entry.
  std::vector<AccountDemand> demands;
};

struct AccountShare {
  ClientAccountId account;
  TokensPerSecond share;
};

// Home entry to entry: shares, valid for `lease` from when the request was
// sent.
struct ShareGrant {
  uint64_t number = 0;  // Of the request that this answers.
  Duration lease{0};
  std::vector<AccountShare> shares;
};

// --- Placement of forwarded requests ---------------------------------------

// A target as an entry describes it to the agent that places work.
struct TargetDescription {
  TargetId target;
  std::string address;  // "ip:port" of its HTTP interface.
  DataCentreId data_centre;
  Duration cold_left{0};
};
inline constexpr int kMaxDescribedTargets = 4096;

// Entry to agent: the usable targets of one service, replacing any list of a
// lower revision.
struct TargetList {
  ServiceId service;
  uint64_t revision = 0;
  EngineCost cost;
  double cold_requests_per_s = 0;  // 0: no limit.
  std::vector<TargetDescription> targets;
};

// Entry to agent: asks for a target for one request.
struct PlacementAsk {
  uint64_t number = 0;  // Unique at the entry.
  ServiceId service;
  Tokens prompt;
  Tokens output;                 // Expected, not the maximum.
  Duration first_event_left{0};  // Until the first event is late; may be over.
  Duration gap_target{0};        // Longest pause between events.
  Duration time_left{0};
  std::vector<TargetId> excluded;  // Have failed this request.
};
inline constexpr int kMaxExcludedTargets = 64;

enum class PlacementVerdict : uint8_t {
  kPlaced,
  kQueued,       // Another reply follows.
  kRefused,      // No target can answer in time.
  kUnknownList,  // The agent has no list of the service's targets.
};

// Other targets that read a part of one prompt.
inline constexpr int kMaxHelpers = 16;

// Memory of a helper that keeps a part of a prompt larger than one engine.
struct MemoryHold {
  TargetId target;
  Tokens tokens;
};

struct PlacementReply {
  uint64_t number = 0;
  PlacementVerdict verdict = PlacementVerdict::kRefused;
  TargetId target;
  std::vector<TargetId> helpers;
  std::vector<MemoryHold> holds;  // Of some of the helpers.
  Duration expected_first_event{0};
  Duration retry_after{0};
  uint32_t entries = 1;  // That the agent places work for.
  // Of the list that the agent goes by, see placement_scheduler.h. An entry
  // with an equal one need not send its own.
  uint64_t list_fingerprint = 0;
};

enum class PlacementEvent : uint8_t {
  kFirstEvent,      // The prompt has been read.
  kEnded,           // The request uses its targets no more.
  kTargetFailed,    // Ended, as a target broke off or did not answer.
  kTargetReplaced,  // Ended, as another target has the address.
};

// Entry to agent: what became of a placed request.
struct PlacementChange {
  uint64_t number = 0;
  PlacementEvent event = PlacementEvent::kEnded;
  TargetId failed;  // The target that failed or was replaced.
};

struct PlacedWork {
  uint64_t number = 0;
  ServiceId service;
  TargetId target;
  std::vector<TargetId> helpers;
  std::vector<MemoryHold> holds;
  Tokens prompt;
  Tokens output;
  Duration gap_target{0};
  bool reading = true;
};

// Entry to agent: all work that the entry has placed and that has not ended.
// An agent that takes over the placement knows nothing else of it.
struct PlacementSnapshot {
  std::vector<PlacedWork> works;
};
inline constexpr int kMaxPlacedWorks = 16 * 1024;

using MessageBody = std::variant<Offer,
                                 Cancel,
                                 Resume,
                                 Hold,
                                 HoldRelease,
                                 Subscribe,
                                 OfferReply,
                                 HoldReply,
                                 Chunk,
                                 Finish,
                                 LoadReport,
                                 Heartbeat,
                                 ConfigPull,
                                 ConfigPush,
                                 Goodbye,
                                 ShareRequest,
                                 ShareGrant,
                                 TargetList,
                                 PlacementAsk,
                                 PlacementReply,
                                 PlacementChange,
                                 PlacementSnapshot>;

// What goes over the bus.
struct Message {
  PeerId sender;
  // The incarnation of the receiver that the sender means; 0 when it does not
  // know. A receiver drops a message that means another incarnation, except
  // Resume, Subscribe, Heartbeat and configuration.
  Incarnation receiver;
  ConfigVersion config_version;  // Highest version that the sender knows.
  MessageBody body;
};

}  // namespace burdockhatch

#endif  // SRC_MESSAGES_H_
