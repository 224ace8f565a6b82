// Typed messages between the processes of the system. The codec in wire.h
// converts them to and from protobuf; decision logic uses only these types.
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
#include "src/priority.h"
#include "src/units.h"

namespace burdockhatch {

enum class WorkKind : uint8_t { kCompletion, kServiceCall };

// Classes of prompt length. Each has its own share of a target's budget.
enum class LengthClass : uint8_t { kShort, kMedium, kLong, kHuge };
inline constexpr int kLengthClassCount = 4;

// Length of the longest prompt of each class; longer prompts are kHuge.
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

// State that an agent includes in every reply and load report. Work and budgets
// are counted in tokens for a model engine and in calls for a plain service.
struct AgentState {
  // Increases with each state that one incarnation of the agent sends;
  // receivers drop older states.
  uint64_t sequence = 0;
  TargetId target;
  DataCentreId data_centre;
  ModelId model;           // Empty for a plain service.
  ServiceId service;       // Empty for a model engine.
  bool ready = false;      // The target answers and the configuration is known.
  bool draining = false;   // The agent is stopping.
  bool withdrawn = false;  // Operators withdrew the target or data centre.
  EngineIncarnation engine;  // Incarnation of the model engine.
  Tokens memory_total;       // Size of the engine's KV cache.
  Tokens memory_free;        // KV cache not reserved.
  Tokens warm_budget;    // Current limit of in_flight, lower while warming up.
  Tokens full_budget;    // Limit of in_flight of a warm target.
  Tokens in_flight;      // Dispatched work that has not ended.
  Tokens queued;         // Accepted work that awaits dispatch.
  uint32_t running = 0;  // Number of dispatched attempts.
  uint32_t waiting = 0;  // Number of attempts that await dispatch.
  Duration expected_wait{
      0};  // Estimated queueing time of a short request arriving now.
  TokensPerSecond prefill_rate;  // Configured prompt processing speed.
  // Hashes of cached prompt prefixes, most recently used first, at most
  // kMaxReportedPrefixes.
  std::vector<uint64_t> cached_prefixes;
};
inline constexpr size_t kMaxReportedPrefixes = 32;

// A target that holds part of the KV cache of a prompt that exceeds the memory
// of one engine.
struct GangMember {
  PeerId agent;
  Tokens tokens;  // Prompt tokens whose KV cache this member holds.
};
inline constexpr int kMaxGangSize = 8;

// Entry to agent: requests that the agent run one attempt.
struct Offer {
  AttemptId attempt;
  WorkKind kind = WorkKind::kCompletion;
  ClientAccountId account;
  ModelId model;
  ServiceId service;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  std::vector<uint64_t> prefix_hashes;  // One per block of the prompt, chained.
  Duration time_left{0};                // Time to the caller's deadline.
  bool repeatable = true;  // The work may be executed more than once.
  std::optional<IdempotencyKey> key;
  std::vector<GangMember> members;  // Empty unless the prompt needs a gang; the
                                    // leader is not listed.
  uint32_t first_chunk =
      0;  // Index of the first chunk that the caller has not received.
  std::string
      generated_prefix;  // Output already delivered, when resuming an answer.
  std::string method;    // Plain service calls only.
  std::string path;
  std::string body;
};

// Entry to agent: cancels an attempt whose result is no longer needed.
struct Cancel {
  AttemptId attempt;
};

// Entry to agent: resend the chunks of a running attempt from `next_chunk` on.
// Also tells a restarted agent that a live entry still needs the stream, so
// that the agent does not treat it as an orphan.
struct Resume {
  AttemptId attempt;
  uint32_t next_chunk = 0;
  Duration time_left{0};
};

// Entry to agent: reserve memory of a gang member for at most `ttl`.
struct Hold {
  AttemptId attempt;
  Tokens tokens;
  Duration ttl{0};
};

struct HoldRelease {
  AttemptId attempt;
};

// Entry to agent: send load reports for the next `ttl`. A `ttl` of 0 ends the
// subscription.
struct Subscribe {
  Duration ttl{0};
};

enum class Verdict : uint8_t {
  kAccepted,  // Dispatched, or queued for at most the time the agent allows.
  kRefused,   // The reason is in `failure`.
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

// Agent to entry: one chunk of the answer.
struct Chunk {
  AttemptId attempt;
  uint32_t index = 0;  // Zero-based position in the whole answer.
  uint32_t tokens = 0;
  std::string data;
};

// Agent to entry: the attempt has ended. `failure.code` is kNone if the answer
// is complete; it then has `chunk_count` chunks.
struct Finish {
  AttemptId attempt;
  uint32_t chunk_count = 0;
  Failure failure;
  uint32_t http_status =
      0;  // Status of the service's response; plain service calls only.
  std::string content_type;
  AgentState state;
  // The engine failed, and of the attempts without output there this one was
  // dispatched first, so its answer was due to begin.
  bool failed_at_start = false;
};

// Agent to entry: state, sent once a second to each subscriber.
struct LoadReport {
  AgentState state;
};

enum class Role : uint8_t { kEntry, kAgent };

// Any process to any other: the sender is alive.
struct Heartbeat {
  Role role = Role::kEntry;
  DataCentreId data_centre;
  std::string address;  // Bus address of the sender, "ip:port".
  bool leaving = false;
};

// Any process to any other: requests the configuration changes after `have`.
struct ConfigPull {
  ConfigVersion have;
};

// Any process to any other: the configuration at `version` as JSON text. Holds
// the edits since `base`, or the whole document if `base` is 0.
struct ConfigPush {
  ConfigVersion base;
  ConfigVersion version;
  std::string document;
};

// The sender is about to stop.
struct Goodbye {};

struct AccountDemand {
  ClientAccountId account;
  TokensPerSecond demand;  // Rate that the requesting entry needs.
};

// Entry to home entry: requests shares of account rate limits. The home entry
// of an account leases out shares of its limit, see account_limits.h.
struct ShareRequest {
  uint64_t number = 0;  // Increases with each request to one home entry.
  std::vector<AccountDemand> demands;
};

struct AccountShare {
  ClientAccountId account;
  TokensPerSecond share;  // Rate that the requesting entry may admit.
};

// Home entry to entry: rate limit shares that are valid for `lease` from the
// time at which the request was sent.
struct ShareGrant {
  uint64_t number = 0;  // Number of the ShareRequest that this answers.
  Duration lease{0};
  std::vector<AccountShare> shares;
};

// --- Prompt parts that crash engines ----------------------------------------

// The parts of a prompt that other prompts may share.
using PartKeys = std::vector<PartKey>;
inline constexpr size_t kMaxPartsOfPrompt = 32;

// Prompt parts that are suspected of crashing engines, see crash_blame.h. Ages
// are as of the time of sending.
struct BlameRecord {
  struct Sighting {
    uint64_t target = 0;      // Hash of the id of the target that crashed.
    uint32_t weight = 0;      // See CrashEvidence.
    Duration request_age{0};  // Time from the sending of the request.
    Duration age{0};          // Time since the crash.
    PartKey own_mark;         // Of the request; PartKey() if it has none.

    bool operator==(const Sighting&) const = default;
  };
  PartKeys parts;
  bool was_answered = false;
  std::vector<Sighting> sightings;
  uint32_t blocks = 0;  // Times that the parts have been blocked.
  Duration blocked_left{0};
  // `parts` is the mark of one request, see request_blame.h.
  bool is_own_mark = false;

  bool operator==(const BlameRecord&) const = default;
};
inline constexpr size_t kMaxBlameSightings = 8;

// Any process to any other: what it knows of parts that crash engines.
struct BlameReport {
  // A request with the part has been answered.
  struct Answered {
    PartKey part;
    Duration age{0};

    bool operator==(const Answered&) const = default;
  };
  std::vector<BlameRecord> records;
  std::vector<Answered> answered;

  bool empty() const { return records.empty() && answered.empty(); }
  bool operator==(const BlameReport&) const = default;
};
inline constexpr size_t kMaxBlameRecords = 1'024;
inline constexpr size_t kMaxAnsweredInReport = 256;

// --- What targets say of themselves ------------------------------------------

// What a process knows of one target, see target_signals.h. Ages are as of the
// time of sending.
struct SignalRecord {
  TargetId target;
  uint64_t started_at = 0;  // As in TargetRecord: tells its starts apart.
  // Whether the record contains the newest statement on the rate of requests.
  bool has_statement = false;
  // Requests a second from all entries together; nullopt if the target states
  // no limit any more.
  std::optional<double> requests_per_s;
  Duration statement_age{0};
  // Time since the sending of the request that was answered with the statement.
  Duration request_age{0};
  bool is_leaving = false;
  Duration leaving_age{0};
  // Time for which the target wants no request from the sender of the report.
  Duration back_off_left{0};

  bool operator==(const SignalRecord&) const = default;
};

// Entry to leader: what responses to its own requests have said. Leader to
// entry: what the responses to others have said.
struct SignalReport {
  std::vector<SignalRecord> records;

  bool empty() const { return records.empty(); }
  bool operator==(const SignalReport&) const = default;
};
inline constexpr size_t kMaxSignalRecords = 4'096;

// --- Placement of forwarded requests ---------------------------------------

// Description of a target that an entry sends to the agent that places work,
// which is the leader in placement_client.h. A cold target is one that the
// platform's target list does not yet count as warm; the rate of requests to it
// may be limited.
struct TargetDescription {
  TargetId target;
  std::string address;  // HTTP address, "ip:port".
  DataCentreId data_centre;
  Duration cold_left{0};    // Remaining time for which the target is cold.
  uint64_t started_at = 0;  // As in TargetRecord: tells its starts apart.
};
inline constexpr int kMaxDescribedTargets = 4096;

// Entry to agent: the usable targets of one service. Replaces any list of a
// lower revision, and any list of a lower epoch.
struct TargetList {
  ServiceId service;
  uint64_t revision = 0;
  StoreEpoch epoch;
  EngineCost cost;
  double cold_requests_per_s = 0;  // Rate limit of a cold target; 0: none.
  std::vector<TargetDescription> targets;
};

// Entry to agent: requests a target for one request. The agent answers with
// PlacementReply.
struct PlacementAsk {
  uint64_t number = 0;  // Request number, unique within the entry.
  ServiceId service;
  Tokens prompt;
  Tokens output;                 // Expected output, not the maximum.
  Duration first_event_left{0};  // Time until the first event is late; negative
                                 // if it is late already.
  Duration gap_target{0};        // Maximum pause between events.
  Duration time_left{0};         // Time to the caller's deadline.
  std::vector<TargetId> excluded;  // Targets that failed this request.
  // Time for which entries may disagree on the leader, so that several agents
  // place work on the same targets.
  Duration unsettled_left{0};
  PartKeys parts;
  PartKey own_mark;  // PartKey() if the request has none.
  // Set only if requests of the service differ in priority. Missing means
  // kMiddlePriority.
  std::optional<Priority> priority;
};
inline constexpr int kMaxExcludedTargets = 64;

enum class PlacementVerdict : uint8_t {
  kPlaced,
  kQueued,       // Queued; another reply follows.
  kRefused,      // No target can answer in time.
  kUnknownList,  // The agent has no list of the service's targets.
  kBlocked,      // A part of the prompt has crashed engines.
};

// Limit of helpers: further targets that process a part of one prompt.
inline constexpr int kMaxHelpers = 16;

// Memory reserved at a helper for its part of a prompt larger than one engine.
struct MemoryHold {
  TargetId target;
  Tokens tokens;
};

struct PlacementReply {
  uint64_t number = 0;
  PlacementVerdict verdict = PlacementVerdict::kRefused;
  TargetId target;  // Set with kPlaced.
  std::vector<TargetId> helpers;
  std::vector<MemoryHold> holds;     // Memory reserved at some of the helpers.
  Duration expected_first_event{0};  // Expected time to the first event.
  Duration retry_after{0};  // With kRefused: suggested delay before a retry.
  uint32_t entries = 1;     // Number of entries that the agent places work for.
  // Fingerprint of the agent's target list, see placement_scheduler.h. An entry
  // whose list has the same fingerprint need not send it. 0: the agent states
  // none.
  uint64_t list_fingerprint = 0;
};

enum class PlacementEvent : uint8_t {
  kFirstEvent,      // The prompt is processed; output has begun.
  kEnded,           // The request no longer uses its targets.
  kTargetFailed,    // Ended: a target broke the answer off.
  kTargetReplaced,  // Ended: another target now has the address.
  // As kTargetFailed: the connection broke before the response head.
  kBrokenUnanswered,
  // As kTargetFailed: it broke between the head and the first event.
  kBrokenAtStart,
  kBrokenAfterStart,  // As kTargetFailed: it broke after the first event.
  kTargetRefused,     // Ended: the target did not execute the request.
  // The target is silent. The request still uses it.
  kTargetSilent,
};

// Returns whether the request no longer uses its targets after the event.
constexpr bool EndsPlacement(PlacementEvent event) {
  return event != PlacementEvent::kFirstEvent &&
         event != PlacementEvent::kTargetSilent;
}

// Entry to agent: progress or end of a placed request.
struct PlacementChange {
  uint64_t number = 0;
  PlacementEvent event = PlacementEvent::kEnded;
  TargetId failed;  // The target that failed or was replaced.
  // With kFirstEvent: time from the send of the request. 0: not stated.
  Duration first_event_after{0};
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
  bool reading = true;  // The prompt is still being processed.
  PartKeys parts;
  PartKey own_mark;  // PartKey() if the request has none.
};

// Entry to agent: all placed work of the entry that has not ended. It is the
// only source of existing work for an agent that takes over the placement.
struct PlacementSnapshot {
  std::vector<PlacedWork> works;
};
inline constexpr int kMaxPlacedWorks = 16 * 1024;

// Lists of the platform that processes follow.
enum class FeedKind : uint8_t { kRoutes, kTargets, kWithdrawals };
inline constexpr int kFeedKindCount = 3;

// Entry to agent: asks for the changes of each feed after the revision that the
// entry has, now and as they occur until shortly after the next poll is due.
struct FeedPoll {
  struct Known {
    FeedKind feed = FeedKind::kRoutes;
    uint64_t revision = 0;
    StoreEpoch epoch;

    bool operator==(const Known&) const = default;
  };
  uint64_t number = 0;  // Increases with each poll of the entry.
  std::vector<Known> known;
};

// Agent to entry: reply to a poll. The deltas sent before it contain all
// changes up to the time of the confirmation.
struct FeedProof {
  struct Confirmation {
    FeedKind feed = FeedKind::kRoutes;
    // Time since which the agent may lack changes.
    Duration age{0};
    // Revision of the latest change that the agent knows. An entry that lacks
    // it has missed a delta and cannot use the confirmation.
    uint64_t last_change = 0;
    // No change is missing up to this revision.
    uint64_t revision = 0;
    StoreEpoch epoch;  // Of both revisions.

    bool operator==(const Confirmation&) const = default;
  };
  uint64_t poll = 0;  // Number of the poll.
  // Without a feed whose changes after the polled revision the agent lacks.
  std::vector<Confirmation> confirmed;
};

// Agent to entry: the changes of a feed after one revision up to another, in
// the encoding of the platform.
struct FeedDelta {
  FeedKind feed = FeedKind::kRoutes;
  uint64_t after = 0;
  uint64_t revision = 0;
  std::string body;
  StoreEpoch epoch;  // Of both revisions.
};

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
                                 PlacementSnapshot,
                                 FeedPoll,
                                 FeedProof,
                                 FeedDelta,
                                 BlameReport,
                                 SignalReport>;

// Unit of transfer on the bus.
struct Message {
  PeerId sender;
  // Receiver incarnation that the message is for; 0 if unknown to the sender.
  // A receiver drops messages for another incarnation, except Resume,
  // Subscribe, Heartbeat and configuration messages.
  Incarnation receiver;
  ConfigVersion config_version;  // Highest version that the sender knows.
  MessageBody body;
};

}  // namespace burdockhatch

#endif  // SRC_MESSAGES_H_
