// The tables of an entry. Plain data; the systems that run over them are free
// functions in modules of their own.
#ifndef SRC_ENTRY_TABLES_H_
#define SRC_ENTRY_TABLES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include "src/clock.h"
#include "src/entry_core.h"
#include "src/fleet_config.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/object_api.h"
#include "src/random.h"
#include "src/units.h"

namespace burdockhatch {

// When a peer that has not spoken was last heard.
inline constexpr Time kNever{-std::chrono::hours(1)};

// Index of a target in FleetTable::rows and FleetTable::hints.
using TargetSlot = uint32_t;

// Whether a target may get new work.
enum class Standing : uint8_t {
  kUsable,
  kUnheard,   // Nothing is known of its state yet.
  kSuspect,   // It missed reports, or its connection failed.
  kUnusable,  // Not ready, draining, leaving or withdrawn.
};

// Which work prefers a target, see length_pools.h.
enum class LengthPool : uint8_t { kNone, kShort, kLong };

// What placement reads of a target: plain numbers, kept apart from the rest so
// that a scan over all targets of a model touches little memory.
struct TargetHint {
  int64_t reported_tokens = 0;    // In flight and queued, as reported.
  int64_t unanswered_tokens = 0;  // Own offers that no report covers yet.
  int64_t own_tokens = 0;         // Own attempts that have not ended.
  int64_t warm_budget = 0;        // Tokens; 0 when not reported.
  int64_t memory_total = 0;       // Tokens; 0 when not reported.
  int64_t memory_free = 0;
  double load_per_token = 0;          // Inverse of the budget.
  double expected_wait_us = 0;        // Until a short request is dispatched.
  double prefill_us_per_token = 0;    // Prefill; 0 for plain services.
  double data_centre_penalty_us = 0;  // Cost of reaching its data centre.
  uint64_t affinity_mark = 0;
  uint64_t excluded_mark = 0;
  uint64_t candidate_mark = 0;
  uint32_t cached_blocks = 0;  // Valid when affinity_mark is current.
  Standing standing = Standing::kUnheard;
  LengthPool pool = LengthPool::kNone;
  bool warming_up = false;  // Its warm-up budget is below the full one.
};

// One agent and its target.
struct TargetRow {
  InstanceInfo info;
  uint64_t hash = 0;  // Of the instance id, for rendezvous hashing.
  bool used = false;  // Otherwise the slot is free.
  bool listed = false;
  bool in_subset = false;
  bool connected = false;
  bool unreachable = false;  // A send failed and nothing was heard since.
  bool withdrawn = false;    // By the configuration.
  bool leaving = false;      // By its own heartbeat or Goodbye.
  Incarnation incarnation;   // 0 until it has spoken.
  std::optional<AgentState> state;
  Time connected_at = kNever;
  Time last_heard = kNever;
  Time next_subscribe;
  Time outside_subset_until =
      kNever;             // Connected outside the subset until then.
  uint32_t attempts = 0;  // Own attempts and gang shares that pin the row.
};

// Targets that hold each cached prefix.
using AffinityIndex =
    absl::flat_hash_map<uint64_t, absl::InlinedVector<TargetSlot, 4>>;

struct FleetTable {
  std::vector<TargetRow> rows;
  std::vector<TargetHint> hints;
  std::vector<TargetSlot> free_slots;
  absl::flat_hash_map<InstanceId, TargetSlot> by_instance;
  std::map<ModelId, std::vector<TargetSlot>> by_model;
  std::map<ServiceId, std::vector<TargetSlot>> by_service;
  AffinityIndex affinity;
  uint64_t mark = 0;  // Tells marks of this decision from older ones.
  // Targets that hold a prefix of the request; room for all is reserved.
  std::vector<TargetSlot> cached;
};

// Another entry.
struct EntryPeer {
  InstanceInfo info;
  uint64_t hash = 0;        // Of the instance id, for rendezvous hashing.
  Incarnation incarnation;  // 0 until it has spoken.
  bool connected = false;
  bool leaving = false;
  Time last_heard = kNever;
};

// Rate limit of one client account at this entry.
struct LimitBucket {
  double tokens = 0;  // Negative: debt of requests admitted.
  Time refilled_at;
  int64_t share = 0;  // Tokens a second, valid until lease_until.
  Time lease_until;
  bool share_received = false;
  double demand = 0;         // Tokens a second, smoothed.
  double window_tokens = 0;  // Asked for since window_start.
  Time window_start;
  Time last_request_at;
  Time share_requested_at;         // When this entry last asked for a share.
  bool share_request_due = false;  // No share, or too small a one; ask soon.
  InstanceId home;
  uint64_t home_version = 0;  // Value of entries_version that `home` fits.
};

// A share that the home entry granted and counts until it expires.
struct GrantedShare {
  int64_t share = 0;
  Time until;
};

// Shares and demand of one entry, at the home entry of an account.
struct HomeLease {
  std::vector<GrantedShare> grants;
  int64_t demand = 0;
  Time asked_at;
};

struct HomeAccount {
  std::map<PeerId, HomeLease> leases;
};

// Requests for shares to one home entry.
struct ShareRequestState {
  uint64_t last_number = 0;
  uint64_t last_answered = 0;
  std::deque<std::pair<uint64_t, Time>> unanswered;
  Time next_request;
};

struct AccountLimits {
  std::map<ClientAccountId, LimitBucket> buckets;
  std::map<ClientAccountId, HomeAccount> homes;
  std::map<InstanceId, ShareRequestState> share_requests;
  Time next_update;
};

// Retries that a client account may still cause.
struct RetryBudgets {
  std::map<ClientAccountId, int64_t> credit_tenths;  // In tenths of a retry.
};

enum class RequestPhase : uint8_t {
  kWaiting,   // For a target; no attempt is under way.
  kHolding,   // A gang is being acquired.
  kOffered,   // No answer to the offer yet.
  kAccepted,  // The agent has dispatched or queued it.
  kRunning,   // Part of the answer has come.
  kResuming,  // The agent is silent or was restarted.
  kFinished,  // The agent has ended it; chunks are missing.
};

// The attempt of a request that is under way.
struct EntryAttempt {
  AttemptId id;
  TargetSlot slot = 0;
  Incarnation offered_to;  // Only this run of the agent can prove not_run.
  Incarnation serving;     // Run of the agent that last confirmed it.
  int64_t tokens = 0;
  bool unanswered = true;
  Time offered_at;
  Time resuming_since;
  Time next_resume;
  Duration resume_gap{0};
  std::optional<Finish> finish;
};

struct GangMemberRow {
  TargetSlot slot = 0;
  PeerId agent;
  int64_t tokens = 0;
  bool asked = false;
  bool held = false;
  Time asked_at;
  Time confirmed_at;
};

// A gang that is being acquired or runs. Members are in ascending target order.
struct Gang {
  AttemptId attempt;
  TargetSlot leader = 0;
  std::vector<GangMemberRow> members;
  int64_t leader_tokens = 0;
};

struct RequestRow {
  RequestSpec spec;
  RequestPhase phase = RequestPhase::kWaiting;
  AttemptNumber last_number;
  std::optional<EntryAttempt> attempt;
  std::optional<Gang> gang;
  uint32_t next_chunk = 0;  // What the session has.
  uint32_t unproven = 0;    // Earlier attempts without proof of not_run.
  std::vector<InstanceId> refused_by;
  bool overloaded = false;  // Some candidate refused for lack of capacity.
  Failure last_failure;
  Duration retry_hint{0};
  std::optional<Time> waiting_since;
  Time next_try;
  Duration backoff{0};
};

// An attempt that was given up and whose agent has not confirmed it yet.
struct AbandonedAttempt {
  InstanceId instance;
  Incarnation offered_to;
  Time deadline;
  Time next_cancel;
};

struct EntryTables {
  EntryOptions options;
  Random random{1};
  FleetConfigPtr config;
  bool draining = false;
  FleetTable fleet;
  std::map<InstanceId, EntryPeer> entries;
  uint64_t entries_version = 1;  // Grows when the set of live entries changes.
  AccountLimits limits;
  RetryBudgets retries;
  std::map<RequestId, RequestRow> requests;
  std::map<AttemptId, AbandonedAttempt> abandoned;
  Time next_membership;
  Time next_probe;  // For agents outside the subset.
  std::vector<EntryAction> actions;
};

}  // namespace burdockhatch

#endif  // SRC_ENTRY_TABLES_H_
