// The state of an entry as plain data. Free functions in separate modules
// operate on it.
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
#include "src/crash_blame.h"
#include "src/entry_core.h"
#include "src/fleet_config.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/object_api.h"
#include "src/random.h"
#include "src/units.h"

namespace burdockhatch {

// Initial value of timestamps for events that have not happened yet.
inline constexpr Time kDistantPast{-std::chrono::hours(1)};

// Index of a target in FleetTable::rows and FleetTable::hints.
using TargetSlot = uint32_t;

// Availability of a target for new work. The values are ordered: targets up to
// kUnheard are not known to have failed or to refuse work.
enum class TargetAvailability : uint8_t {
  kUsable,
  // Not followed, or no state received since the connection was opened.
  kUnheard,
  kSuspect,   // Reports are overdue, or the connection failed.
  kUnusable,  // Not ready, draining, leaving or withdrawn.
};

// Prompt lengths for which a target is preferred, see length_pools.h.
enum class LengthPool : uint8_t { kNone, kShort, kLong };

// The possibly stale data of a target that placement decisions use. Kept
// separate from TargetRow so that a scan over all targets of a model touches
// little memory.
struct TargetHint {
  int64_t reported_tokens = 0;  // In flight and queued, as reported.
  // Own offers and gang holds that the agent has not answered, so that none of
  // its reports includes them.
  int64_t unanswered_tokens = 0;
  // Own attempts and gang holds that have not ended.
  int64_t own_tokens = 0;
  int64_t warm_budget = 0;   // Tokens; 0 if not reported.
  int64_t memory_total = 0;  // Tokens; 0 if not reported.
  int64_t memory_free = 0;   // Tokens.
  // 1 / warm_budget, or 1 / kDefaultBudgetTokens if no budget is reported.
  double load_per_token = 0;
  // Reported time until a short request is dispatched.
  double expected_wait_us = 0;
  // 0 for plain services, or if no prefill rate is reported.
  double prefill_us_per_token = 0;
  // Cost added for a target in another data centre or region.
  double data_centre_penalty_us = 0;
  // Each mark is valid only if it equals FleetTable::decision_number.
  uint64_t affinity_mark = 0;  // The target has a prefix of the request cached.
  uint64_t excluded_mark = 0;  // The target must not be chosen.
  uint64_t candidate_mark = 0;  // The target is a candidate for the request.
  // Blocks of the prompt in the target's cache; requires a valid affinity_mark.
  uint32_t cached_blocks = 0;
  TargetAvailability availability = TargetAvailability::kUnheard;
  LengthPool pool = LengthPool::kNone;
  bool warming_up = false;  // The warm budget is below the full budget.
};

// An agent and its target.
struct TargetRow {
  InstanceInfo info;
  uint64_t hash = 0;    // Hash of the instance id for rendezvous hashing.
  bool used = false;    // False for a free slot.
  bool listed = false;  // The instance list contains this agent.
  bool in_subset = false;
  bool connected = false;
  bool unreachable = false;  // A send failed and no message has arrived since.
  bool withdrawn = false;    // Withdrawn by the configuration.
  bool leaving = false;  // Announced by a heartbeat or Goodbye of the agent.
  Time leaving_since = kDistantPast;
  // When the subset must be chosen anew because of this agent.
  std::optional<Time> subset_check_at;
  Incarnation incarnation;  // 0 until the first message from the agent.
  std::optional<AgentState> state;
  Time connected_at = kDistantPast;
  Time last_heard = kDistantPast;
  Time next_subscribe;
  // The connection is kept until this time although the agent is not in the
  // subset.
  Time outside_subset_until = kDistantPast;
  // Own attempts and gang holds on this target. The row is kept while any
  // exist.
  uint32_t attempts_and_holds = 0;
};

// Maps a prefix hash to the targets that have this prefix cached.
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
  // Number of the current placement decision. Marks of targets with another
  // value are left over from earlier decisions.
  uint64_t decision_number = 0;
  // Targets that hold a cached prefix of the request being placed. Capacity is
  // reserved for all targets.
  std::vector<TargetSlot> cached_targets;
};

// Another entry instance.
struct EntryPeer {
  InstanceInfo info;
  uint64_t hash = 0;        // Hash of the instance id for rendezvous hashing.
  Incarnation incarnation;  // 0 until the first message from the entry.
  bool connected = false;
  bool leaving = false;
  Time last_heard = kDistantPast;
};

// Token bucket that limits the rate of one client account at this entry.
struct LimitBucket {
  double tokens = 0;  // Negative when admitted requests exceed the limit.
  Time refilled_at;
  int64_t share = 0;  // Tokens per second, valid until lease_until.
  Time lease_until;
  bool share_received = false;  // The home entry has granted a share before.
  double demand = 0;            // Smoothed demand in tokens per second.
  double window_tokens = 0;     // Tokens requested since window_start.
  Time window_start;
  Time last_request_at;     // Last request of a caller, admitted or not.
  Time share_requested_at;  // Last request for a share to the home entry.
  // The share is missing or too small, so one is requested soon.
  bool share_request_due = false;
  // Home entry of the account, cached while home_version equals
  // EntryTables::entries_version.
  InstanceId home;
  uint64_t home_version = 0;
};

// A share that the home entry has granted. It counts against the limit of the
// account until it expires.
struct GrantedShare {
  int64_t share = 0;  // Tokens per second.
  Time until;
};

// Shares and demand of one entry, kept at the home entry of an account.
struct HomeLease {
  std::vector<GrantedShare> grants;
  int64_t demand = 0;  // Tokens per second.
  Time asked_at;       // Last share request of the entry.
};

struct HomeAccount {
  std::map<PeerId, HomeLease> leases;
};

// State of the share requests to one home entry.
struct ShareRequestState {
  uint64_t last_request_number = 0;
  uint64_t last_answered = 0;
  // Number and send time of each unanswered request.
  std::deque<std::pair<uint64_t, Time>> unanswered;
  Time next_request;
};

struct AccountLimits {
  std::map<ClientAccountId, LimitBucket> buckets;
  // Accounts for which this entry is the home entry.
  std::map<ClientAccountId, HomeAccount> homes;
  // Keyed by home entry.
  std::map<InstanceId, ShareRequestState> share_requests;
  Time next_update;
};

// Retries left to each client account.
struct RetryBudgets {
  // Credit units; kCreditPerRetry of them pay for one retry.
  std::map<ClientAccountId, int64_t> credit;
};

enum class RequestPhase : uint8_t {
  kWaiting,   // Waiting for a target; there is no current attempt.
  kHolding,   // A gang is being acquired.
  kOffered,   // The offer has not been answered.
  kAccepted,  // The agent has queued or dispatched the attempt.
  kRunning,   // Part of the answer has arrived.
  kResuming,  // The agent is silent or was restarted.
  kFinished,  // The agent has ended the attempt, but chunks are missing.
};

// The current attempt of a request.
struct EntryAttempt {
  AttemptId id;
  TargetSlot slot = 0;
  // Incarnation of the agent that got the offer. No other one can prove
  // not_run.
  Incarnation offered_incarnation;
  // Incarnation of the agent that last confirmed the attempt.
  Incarnation serving_incarnation;
  int64_t tokens = 0;  // Tokens counted as load of the target.
  bool offer_unanswered = true;
  uint32_t first_chunk = 0;  // Of the offer.
  bool has_output = false;   // A chunk of this attempt has arrived.
  Time offered_at;
  // Start of the time without progress: when resuming started or, in kFinished,
  // when Finish or the last new chunk arrived.
  Time no_progress_since;
  // When a silent attempt is next checked for a retry elsewhere.
  Time next_retry_check;
  Time next_resume;
  Duration resume_interval{0};
  std::optional<Finish> finish;
};

struct GangMemberRow {
  TargetSlot slot = 0;
  PeerId agent;
  int64_t tokens = 0;  // Tokens to hold.
  bool hold_requested = false;
  bool hold_confirmed = false;
  Time hold_sent_at;  // Last Hold sent, including renewals.
  Time last_confirmed_at;
};

// A gang that is being acquired or is running. Members are in ascending target
// order and do not include the leader.
struct Gang {
  AttemptId attempt;
  TargetSlot leader = 0;
  std::vector<GangMemberRow> members;
  int64_t leader_tokens = 0;  // Tokens booked at the leader.
};

struct RequestRow {
  RequestSpec spec;
  PartKeys parts;    // See SharedPartsOf().
  PartKey own_mark;  // See OwnMarkOf().
  RequestPhase phase = RequestPhase::kWaiting;
  AttemptNumber last_attempt_number;
  std::optional<EntryAttempt> attempt;
  std::optional<Gang> gang;
  uint32_t next_chunk = 0;         // First chunk that the session lacks.
  uint32_t unproven_attempts = 0;  // Earlier attempts without proof of not_run.
  std::vector<InstanceId> refused_by;
  // A candidate has refused the request for lack of capacity.
  bool has_capacity_refusal = false;
  Failure last_failure;
  // Shortest retry_after among the refusals for lack of capacity.
  Duration retry_after_hint{0};
  std::optional<Time> waiting_since;
  Time next_placement;
  Duration backoff{0};
};

// An attempt that was abandoned and whose agent has not confirmed its end.
struct AbandonedAttempt {
  InstanceId instance;
  Incarnation offered_incarnation;
  Time deadline;
  Time next_cancel;
};

struct EntryTables {
  EntryOptions options;
  Random random{1};
  FleetConfigPtr config;
  bool draining = false;
  std::optional<Time> work_ends_at;  // In a planned stop.
  FleetTable fleet;
  std::map<InstanceId, EntryPeer> entries;
  // Incremented whenever the set of live entries changes.
  uint64_t entries_version = 1;
  AccountLimits limits;
  RetryBudgets retries;
  CrashBlame blame;
  std::map<RequestId, RequestRow> requests;
  std::map<AttemptId, AbandonedAttempt> abandoned_attempts;
  Time next_membership_update;
  Time next_blame_report;
  Time next_probe;  // Next probe of agents outside the subset.
  std::vector<EntryAction> actions;
};

}  // namespace burdockhatch

#endif  // SRC_ENTRY_TABLES_H_
