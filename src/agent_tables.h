// The tables of an agent: plain entities that the systems in attempts,
// reservation, admission, warmup, reconcile and claims run over.
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

// The key of an idempotency claim, hashed with its client account.
struct IdempotencyKeyHash {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const IdempotencyKeyHash&) const = default;
};

// Where an accepted attempt stands.
enum class AttemptPhase : uint8_t {
  kQueued,         // Accepted, not dispatched.
  kAwaitingClaim,  // Waits for the claim on its key, or for the call that holds
                   // it.
  kStarting,       // Dispatched to the engine, start not confirmed.
  kRunning,        // Dispatched and running.
};

// An accepted attempt that has no Finish yet.
struct AcceptedAttempt {
  AttemptId id;
  PeerId entry;
  Offer offer;  // Empty but for the attempt when adopted after a restart.
  LengthClass length = LengthClass::kShort;
  AttemptPhase phase = AttemptPhase::kQueued;
  Tokens load;  // Tokens that it adds to the work in flight.
  Time accepted_at;
  Time deadline;
  Time queue_deadline;  // A queued attempt is refused then.
  Time dispatched_at;
  uint32_t next_chunk = 0;
  Tokens output;
  // Lost relay of a stream that may still run: when to attach again.
  std::optional<Time> reattach_at;
  // Prompt tokens in flight at dispatch and dispatched in all until then; give
  // the prefill work that the engine may have done before it ended.
  Tokens prompt_tokens_in_flight_at_dispatch;
  Tokens prompt_tokens_dispatched;
  std::optional<IdempotencyKeyHash> key;  // Set when the call needs a claim.
  bool adopted = false;
};

// How an attempt ended.
struct AttemptResult {
  Failure failure;  // Code kNone for a whole answer.
  uint32_t chunk_count = 0;
  uint32_t http_status = 0;
  std::string content_type;
  uint64_t answer = 0;  // In AnswerStore; 0 for none.
};

// An attempt that is over. While the record exists, the attempt is never
// dispatched (again); with outcome kNotRun it is a tombstone.
struct ClosedAttempt {
  PeerId entry;
  AttemptResult result;
  Time ended_at;
  Time expires_at;
  bool rereading_output = false;  // A Resume asked for the output once more.
};

// Memory of the engine reserved for one stream or cache.
struct MemoryReservationId {
  StreamId stream;
  bool is_cache = false;

  auto operator<=>(const MemoryReservationId&) const = default;
};

struct MemoryReservation {
  Tokens memory;
  Tokens load;  // Part of the work in flight; zero for a cache.
  Tokens prompt;
  LengthClass length = LengthClass::kShort;
  bool is_gang = false;  // Counts towards kMaxGangMemoryShare.
  PeerId entry;
  std::optional<AttemptId> attempt;
  Time reserved_at;
  Time lease_end;  // A reservation that lasts longer is released.
  // The engine confirmed the stream or cache, or listed it.
  std::optional<Time> confirmed_at;
  int consecutive_missing_lists = 0;  // Consecutive lists without it.
  // Set while a cancel or release is repeated until the list confirms it.
  std::optional<Time> releasing_since;
  Time next_release_at;
  bool is_orphan = false;  // Found in a list, without an attempt.
  std::optional<Time> last_missing_list_asked_at;
};

// Warm-up budget of the target.
struct WarmupState {
  Tokens full_budget;
  Tokens budget;
  Tokens completed_since_raise;
  bool evidence_taken = false;  // The first load report was looked at.
  EngineIncarnation engine;
  Duration uptime{0};
  uint64_t lookups = 0;  // At the start of the current window.
  uint64_t hits = 0;
  double hit_rate = 0;  // Of the windows so far, smoothed.
  uint64_t fallback_count = 0;
};

// Throughput of the target while work waits for it.
struct ThroughputMeter {
  Time window_start;
  bool saturated = false;  // Work waited when the window began.
  Tokens completed;        // In the window.
  TokensPerSecond rate;    // Smoothed; zero when not measured.
};

struct Subscriber {
  Time until;
  Time next_report;
};

enum class IdempotencyKeyState : uint8_t {
  kClaiming,   // No dispatch; waits for the claim.
  kClaimed,    // Claimed by this incarnation, not dispatched.
  kInFlight,   // Dispatched.
  kAnswered,   // Dispatched and answered.
  kUncertain,  // Dispatched, no answer known.
};

// What this incarnation knows of a key that it was offered.
struct IdempotencyKeyEntry {
  IdempotencyKeyState state = IdempotencyKeyState::kClaiming;
  std::vector<AttemptId> waiting;  // In order of arrival.
  std::optional<AttemptId> claim_user;
  uint64_t fingerprint = 0;  // Of the method, path and body.
  uint64_t answer = 0;       // In AnswerStore; 0 for none.
  Time claim_requested_at;   // When the claim was asked for.
  UnixSeconds claimed_at{0};
};

// One record of a claim shard.
struct ClaimRecord {
  InstanceId holder;
  Incarnation incarnation;
  UnixSeconds claimed_at{0};
  bool done = false;
};
using ClaimRecords = std::map<IdempotencyKeyHash, ClaimRecord>;

enum class ShardOperation : uint8_t { kNone, kRead, kWrite };

// One claim shard and the single request on it that may be outstanding.
struct ClaimShard {
  ObjectName name;
  bool loaded = false;
  ObjectVersion version;
  ClaimRecords records;  // As of `version`.
  Time read_at;          // When the state of `version` was asked for.
  ShardOperation outstanding_operation = ShardOperation::kNone;
  Time asked_at;
  ClaimRecords pending_records;  // Content of the outstanding write.
  // A write on this version got no answer and may still take effect. No claim
  // is used until a higher version shows that it cannot.
  std::optional<ObjectVersion> uncertain_write_version;
  bool needs_read = false;
  Time next_operation;
  Time next_write;
  Duration backoff{0};
  std::set<IdempotencyKeyHash> wanted_keys;  // Keys in state kClaiming.
  uint64_t writes = 0;
};

// Answers of calls, kept for retries and Resume up to a number of bytes.
struct AnswerStore {
  std::map<uint64_t, ServiceAnswer> answers;  // By growing number.
  uint64_t next = 1;
  size_t bytes = 0;
};

// A prompt prefix that the engine is believed to have in its cache.
struct CachedPrefix {
  uint64_t sequence = 0;  // Of the last event about it.
  bool present = false;
  uint64_t last_use = 0;  // Grows with each use; orders the report.
  // Set when events were lost after it was added: its eviction may be one.
  std::optional<Time> doubtful_until;
};

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
  uint64_t foreign_claims = 0;  // Keys found claimed by another holder.
  uint64_t claim_conflicts = 0;
};

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
  std::map<AttemptId, ClosedAttempt> closed;
  std::map<MemoryReservationId, MemoryReservation> reservations;
  std::set<AttemptId> open_calls;  // At the plain service and not answered.
  std::map<AttemptId, Time> released_holds;  // A late Hold is refused until.

  Tokens memory_total;
  WarmupState warmup;
  ThroughputMeter throughput;
  Tokens prompt_tokens_dispatched;  // In all.

  bool listed = false;  // The first engine list has arrived.
  EngineIncarnation engine;
  int unanswered_lists = 0;
  int unanswered_loads = 0;
  bool list_outstanding = false;
  Time list_asked_at;
  Time next_list_at;
  bool service_healthy = false;

  std::map<IdempotencyKeyHash, IdempotencyKeyEntry> keys;
  std::set<IdempotencyKeyHash> claimed_keys;  // Keys in state kClaimed.
  std::map<AttemptId, IdempotencyKeyHash>
      keyed_calls;  // Dispatched and not answered.
  Time next_key_sweep;
  std::map<uint32_t, ClaimShard> shards;
  AnswerStore answers;

  PrefixTable prefixes;
  std::map<PeerId, Subscriber> subscribers;
  std::map<InstanceId, KnownEntry> entries;

  bool draining = false;
  bool goodbye_sent = false;
  std::optional<Time> closed_since;  // Withdrawn or draining since.
  uint64_t state_sequence = 0;

  // Offers handled soon after a pause may have waited as long as the pause.
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
