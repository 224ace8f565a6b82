// The tables of an agent: plain entities that the systems in attempts, booking,
// admission, warmup, reconcile and claims run over.
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
struct KeyHash {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const KeyHash&) const = default;
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
  Time queue_until;  // A queued attempt is refused then.
  Time dispatched_at;
  uint32_t next_chunk = 0;
  Tokens output;
  // Lost relay of a stream that may still run: when to attach again.
  std::optional<Time> reattach_at;
  // Prompt tokens in flight at dispatch and dispatched in all until then; give
  // the prefill work that the engine may have done before it ended.
  Tokens prompt_in_flight;
  Tokens prompt_dispatched;
  std::optional<KeyHash> key;  // Set when the call needs a claim.
  bool adopted = false;
};

// How an attempt ended.
struct Ending {
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
  Ending ending;
  Time ended_at;
  Time expires;
  bool reading_again = false;  // A Resume asked for the output once more.
};

// Memory of the engine reserved for one stream or cache.
struct BookingId {
  StreamId stream;
  bool is_cache = false;

  auto operator<=>(const BookingId&) const = default;
};

struct Booking {
  Tokens memory;
  Tokens load;  // Part of the work in flight; zero for a cache.
  Tokens prompt;
  LengthClass length = LengthClass::kShort;
  bool gang = false;  // Counts towards kGangShare.
  PeerId entry;
  std::optional<AttemptId> attempt;
  Time booked_at;
  Time lease_end;  // A booking that lasts longer is released.
  // The engine confirmed the stream or cache, or listed it.
  std::optional<Time> confirmed_at;
  int missing_lists = 0;  // Consecutive lists without it.
  // Set while a cancel or release is repeated until the list confirms it.
  std::optional<Time> releasing_since;
  Time next_release;
  bool orphan = false;  // Found in a list, without an attempt.
  std::optional<Time> last_missing_asked;
};

// Warm-up budget of the target.
struct WarmupState {
  Tokens full;
  Tokens budget;
  Tokens completed_since_raise;
  bool evidence_taken = false;  // The first load report was looked at.
  EngineIncarnation engine;
  Duration uptime{0};
  uint64_t lookups = 0;  // At the start of the current window.
  uint64_t hits = 0;
  double hit_rate = 0;  // Of the windows so far, smoothed.
  uint64_t falls = 0;
};

// Throughput of the target while work waits for it.
struct DrainMeter {
  Time window_start;
  bool saturated = false;  // Work waited when the window began.
  Tokens completed;        // In the window.
  TokensPerSecond rate;    // Smoothed; zero when not measured.
};

struct Subscriber {
  Time until;
  Time next_report;
};

enum class KeyState : uint8_t {
  kClaiming,   // No dispatch; waits for the claim.
  kHeld,       // Claimed by this incarnation, not dispatched.
  kInFlight,   // Dispatched.
  kAnswered,   // Dispatched and answered.
  kUncertain,  // Dispatched, no answer known.
};

// What this incarnation knows of a key that it was offered.
struct KeyEntry {
  KeyState state = KeyState::kClaiming;
  std::vector<AttemptId> waiting;  // In order of arrival.
  std::optional<AttemptId> runner;
  uint64_t fingerprint = 0;  // Of the method, path and body.
  uint64_t answer = 0;       // In AnswerStore; 0 for none.
  Time wanted_at;            // When the claim was asked for.
  UnixSeconds claimed_at{0};
};

// One record of a claim shard.
struct ClaimRecord {
  InstanceId holder;
  Incarnation incarnation;
  UnixSeconds claimed_at{0};
  bool done = false;
};
using ClaimRecords = std::map<KeyHash, ClaimRecord>;

enum class ShardOperation : uint8_t { kNone, kRead, kWrite };

// One claim shard and the single request on it that may be outstanding.
struct ClaimShard {
  ObjectName name;
  bool loaded = false;
  ObjectVersion version;
  ClaimRecords records;  // As of `version`.
  Time read_at;          // When the state of `version` was asked for.
  ShardOperation outstanding = ShardOperation::kNone;
  Time asked_at;
  ClaimRecords written;  // Content of the outstanding write.
  // A write on this version got no answer and may still take effect. No claim
  // is used until a higher version shows that it cannot.
  std::optional<ObjectVersion> uncertain;
  bool read_wanted = false;
  Time next_operation;
  Time next_write;
  Duration backoff{0};
  std::set<KeyHash> wanting;  // Keys in state kClaiming.
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
  uint64_t used = 0;  // Grows with each use; orders the report.
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

struct EntryRun {
  Incarnation incarnation;
  Time seen_at;
};

struct AgentTables {
  AgentOptions options;
  Time now;
  UnixSeconds wall{0};
  FleetConfigPtr config;

  std::map<AttemptId, AcceptedAttempt> attempts;
  std::map<AttemptId, ClosedAttempt> closed;
  std::map<BookingId, Booking> bookings;
  std::set<AttemptId> calls;  // At the plain service and not answered.
  std::map<AttemptId, Time> released_holds;  // A late Hold is refused until.

  Tokens memory_total;
  WarmupState warmup;
  DrainMeter meter;
  Tokens prompt_dispatched;  // In all.

  bool listed = false;  // The first engine list has arrived.
  EngineIncarnation engine;
  int unanswered_lists = 0;
  int unanswered_loads = 0;
  bool list_outstanding = false;
  Time list_asked;
  Time next_list;
  bool service_healthy = false;

  std::map<KeyHash, KeyEntry> keys;
  std::set<KeyHash> held;                    // Keys in state kHeld.
  std::map<AttemptId, KeyHash> keyed_calls;  // Dispatched and not answered.
  Time next_key_sweep;
  std::map<uint32_t, ClaimShard> shards;
  AnswerStore answers;

  PrefixTable prefixes;
  std::map<PeerId, Subscriber> subscribers;
  std::map<InstanceId, EntryRun> entries;

  bool draining = false;
  bool goodbye_sent = false;
  std::optional<Time> closed_since;  // Withdrawn or draining since.
  uint64_t state_sequence = 0;

  // Offers handled soon after a pause may have waited as long as the pause.
  bool clock_started = false;
  Duration pause{0};
  Time pause_ended;

  AgentCounters counters;
  std::vector<AgentAction> actions;
};

inline bool IsEngineAgent(const AgentTables& tables) {
  return tables.options.service.empty();
}

inline void Act(AgentTables& tables, AgentAction action) {
  tables.actions.push_back(std::move(action));
}

}  // namespace burdockhatch

#endif  // SRC_AGENT_TABLES_H_
