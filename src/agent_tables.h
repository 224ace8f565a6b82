// State of an agent, without behaviour. The modules attempts,
// memory_reservations, admission, dispatch, warmup, reconcile and claims
// operate on it.
#ifndef SRC_AGENT_TABLES_H_
#define SRC_AGENT_TABLES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/agent_core.h"

namespace burdockhatch {

// Hash of an idempotency key and the client account that used it.
struct IdempotencyKeyHash {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const IdempotencyKeyHash&) const = default;
};

// Progress of an accepted attempt.
enum class AttemptPhase : uint8_t {
  kQueued,  // Accepted, not dispatched.
  // Waits for the claim on its idempotency key, or for the result of the call
  // that uses the claim.
  kAwaitingClaim,
  kStarting,  // Dispatched to the engine, start not confirmed.
  kRunning,   // Dispatched and running.
};

// An accepted attempt whose Finish has not been sent.
struct AcceptedAttempt {
  AttemptId id;
  PeerId entry;
  Offer offer;  // Empty for an attempt adopted after a restart.
  LengthClass length = LengthClass::kShort;
  AttemptPhase phase = AttemptPhase::kQueued;
  // Tokens (calls, for a plain service) that the attempt adds to the work in
  // flight.
  Tokens load;
  Time accepted_at;
  Time deadline;
  Time queue_deadline;  // The attempt is refused if still queued at this time.
  Time dispatched_at;
  uint32_t next_chunk = 0;  // One above the last chunk relayed to the entry.
  Tokens output;            // Output tokens relayed so far.
  // When to attach again to a stream whose relay was lost but which may still
  // run.
  std::optional<Time> reattach_at;
  // Snapshots at dispatch of the prompt tokens in flight and of
  // AgentTables::prompt_tokens_dispatched. Since then the engine has prefilled
  // at most the former plus the increase of the latter.
  Tokens prompt_tokens_in_flight_at_dispatch;
  Tokens total_prompt_tokens_at_dispatch;
  std::optional<IdempotencyKeyHash> key;  // Set when the call needs a claim.
  bool adopted = false;  // Accepted by an earlier incarnation of this agent.
};

// How an attempt ended.
struct AttemptResult {
  Failure failure;  // Code kNone for a complete answer.
  uint32_t chunk_count = 0;
  uint32_t http_status = 0;
  std::string content_type;
  uint64_t answer = 0;           // Number in AnswerStore; 0 for none.
  bool failed_at_start = false;  // See Finish::failed_at_start.
};

// A failure of the engine that ended several streams.
struct EngineFailure {
  Time at;
  AttemptId began_answer;  // See Finish::failed_at_start.
};

// Record of an attempt that has ended or was refused. While the record exists,
// a duplicate of the offer is not dispatched.
struct ClosedAttempt {
  PeerId entry;
  AttemptResult result;
  Time ended_at;
  Time expires_at;
  // A Resume made the agent relay the output of the ended stream again.
  bool rereading_output = false;
};

// Stream or cache for which engine memory is reserved.
struct MemoryReservationId {
  StreamId stream;
  bool is_cache = false;

  auto operator<=>(const MemoryReservationId&) const = default;
};

struct MemoryReservation {
  Tokens memory;
  Tokens load;    // Tokens of the work in flight; zero for a cache.
  Tokens prompt;  // Prompt tokens to prefill.
  LengthClass length = LengthClass::kShort;
  bool is_gang = false;  // Counts towards kMaxGangMemoryShare.
  PeerId entry;
  std::optional<AttemptId> attempt;
  Time reserved_at;
  Time lease_end;  // The reservation is released at this time.
  // When the engine first confirmed or listed the stream or cache.
  std::optional<Time> confirmed_at;
  // Consecutive engine lists in which the stream or cache was missing.
  int consecutive_missing_lists = 0;
  // When the first cancel or release was sent. It is repeated until an engine
  // list shows that the stream or cache is gone.
  std::optional<Time> releasing_since;
  Time next_release_at;
  // Found in an engine list while no attempt accounts for it.
  bool is_orphan = false;
  // Request time of the last list counted in `consecutive_missing_lists`.
  std::optional<Time> last_missing_list_asked_at;
};

// Warm-up of the target: the tokens (calls, for a plain service) in flight that
// it may carry, and the signs that it is warm or cold.
struct WarmupState {
  Tokens full_budget;
  Tokens budget;
  Tokens completed_since_raise;    // Work completed since the last raise.
  bool first_report_read = false;  // The first engine load report was applied.
  EngineIncarnation engine;
  Duration uptime{0};  // Engine uptime in the last report.
  // Prefix cache counters of the engine at the start of the current window.
  uint64_t window_start_lookups = 0;
  uint64_t window_start_hits = 0;
  double hit_rate = 0;  // Smoothed prefix cache hit rate of past windows.
  uint64_t fallback_count = 0;
};

// Measures the throughput of the target while work is waiting.
struct ThroughputMeter {
  Time window_start;
  bool saturated = false;  // Work was waiting when the window began.
  Tokens completed;        // Work completed in the window.
  // Smoothed throughput; zero until measured.
  TokensPerSecond rate;
};

// An entry that receives load reports.
struct Subscriber {
  Time subscribed_until;
  Time next_report_at;
};

// Progress of the claim on an idempotency key and of the call that uses it.
enum class IdempotencyKeyState : uint8_t {
  kClaiming,   // Waiting for the claim, call not dispatched.
  kClaimed,    // Claimed by this incarnation, call not dispatched.
  kInFlight,   // Call dispatched, no answer yet.
  kAnswered,   // Call dispatched and answered.
  kUncertain,  // Call dispatched and ended without an answer.
};

// State of an idempotency key that was offered to this incarnation.
struct IdempotencyKeyStatus {
  IdempotencyKeyState state = IdempotencyKeyState::kClaiming;
  std::vector<AttemptId> waiting;       // Attempts in order of arrival.
  std::optional<AttemptId> claim_user;  // Attempt that may use the claim.
  uint64_t fingerprint = 0;             // Hash of the method, path and body.
  uint64_t answer = 0;                  // Number in AnswerStore; 0 for none.
  Time claim_requested_at;
  UnixSeconds claimed_at{0};
};

// Claim of one agent incarnation on a key, stored in a claim shard.
struct ClaimRecord {
  InstanceId holder;
  Incarnation incarnation;
  UnixSeconds claimed_at{0};
  bool done = false;  // The call was answered.
};
using ClaimRecords = std::map<IdempotencyKeyHash, ClaimRecord>;

enum class ShardOperation : uint8_t { kNone, kRead, kWrite };

// A claim shard, kept as an object in the object API. At most one request on it
// is outstanding.
struct ClaimShard {
  ObjectName name;
  bool loaded = false;
  ObjectVersion version;
  ClaimRecords records;  // Contents at `version`.
  // When the request that returned `version` was sent.
  Time version_requested_at;
  ShardOperation outstanding_operation = ShardOperation::kNone;
  Time operation_sent_at;        // When the outstanding operation was sent.
  ClaimRecords pending_records;  // Contents of the outstanding write.
  // Version on which a conditional write got no answer, so that the write may
  // still take effect. No claim in the shard is used until a higher version
  // rules that out.
  std::optional<ObjectVersion> uncertain_write_version;
  bool needs_read = false;
  Time next_operation_at;
  Time next_write_at;
  Duration backoff{0};
  std::set<IdempotencyKeyHash> wanted_keys;  // Keys whose state is kClaiming.
  uint64_t writes = 0;
};

// Answers of plain services, kept for retries and Resume. Their total size is
// bounded.
struct AnswerStore {
  std::map<uint64_t, ServiceResponse> answers;  // By number, oldest first.
  uint64_t next = 1;                            // Number of the next answer.
  size_t bytes = 0;                             // Total size of the bodies.
};

// A prompt prefix that the engine is believed to have in its cache.
struct CachedPrefix {
  // Sequence number of the last cache event for this prefix.
  uint64_t sequence = 0;
  bool present = false;
  uint64_t last_use = 0;  // Value of PrefixTable::use_counter at the last use.
  // Set when cache events were lost after the prefix was added, as its eviction
  // may be among them. The prefix is dropped at this time.
  std::optional<Time> doubtful_until;
};

// Prompt prefixes in the engine's cache, by hash.
struct PrefixTable {
  std::map<uint64_t, CachedPrefix> prefixes;
  uint64_t last_sequence = 0;
  uint64_t use_counter = 0;
};

struct AgentCounters {
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t dispatched = 0;
  uint64_t completed = 0;
  uint64_t orphans = 0;
  uint64_t duplicate_offers = 0;
  // Claims found to be held by another agent or incarnation.
  uint64_t foreign_claims = 0;
  uint64_t claim_conflicts = 0;
};

// The latest incarnation of an entry that sent a message.
struct KnownEntry {
  Incarnation incarnation;
  Time seen_at;
};

struct AgentTables {
  AgentOptions options;
  Time now;
  UnixSeconds wall_time{0};
  FleetConfigPtr config;

  std::map<AttemptId, AcceptedAttempt> attempts;
  std::map<AttemptId, ClosedAttempt> closed_attempts;
  std::map<MemoryReservationId, MemoryReservation> reservations;
  // Calls sent to the plain service, not answered.
  std::set<AttemptId> open_calls;
  // Attempts whose hold was released, with the time until which a delayed Hold
  // is refused.
  std::map<AttemptId, Time> released_holds;

  Tokens memory_total;
  WarmupState warmup;
  ThroughputMeter throughput;
  Tokens prompt_tokens_dispatched;  // Total since the start of the process.

  std::optional<EngineFailure> last_engine_failure;
  bool listed = false;  // The first engine list was received.
  EngineIncarnation engine;
  // Consecutive requests without an answer.
  int unanswered_list_requests = 0;
  int unanswered_load_requests = 0;
  bool list_outstanding = false;
  Time list_asked_at;
  Time next_list_at;
  bool service_healthy = false;
  // End of the time for which the plain service wants no call.
  Time back_off_until;

  std::map<IdempotencyKeyHash, IdempotencyKeyStatus> keys;
  std::set<IdempotencyKeyHash> claimed_keys;  // Keys whose state is kClaimed.
  // Keys of calls that were dispatched and are not answered.
  std::map<AttemptId, IdempotencyKeyHash> keyed_calls;
  Time next_key_expiry_check_at;
  std::map<uint32_t, ClaimShard> shards;
  AnswerStore answers;

  PrefixTable prefixes;
  std::map<PeerId, Subscriber> subscribers;
  std::map<InstanceId, KnownEntry> entries;

  bool draining = false;
  bool goodbye_sent = false;
  // When the target was withdrawn or the drain began; unset while the agent
  // accepts work.
  std::optional<Time> not_accepting_since;
  uint64_t state_sequence = 0;

  // Last pause of this process. An offer handled soon after it may have waited
  // for as long as the pause.
  bool clock_started = false;
  Duration last_pause{0};
  Time last_pause_ended_at;

  AgentCounters counters;
  std::vector<AgentAction> actions;
};

inline bool IsModelEngineAgent(const AgentTables& tables) {
  return tables.options.service.empty();
}

inline void EmitAction(AgentTables& tables, AgentAction action) {
  tables.actions.push_back(std::move(action));
}

}  // namespace burdockhatch

#endif  // SRC_AGENT_TABLES_H_
