// What targets say of themselves in their responses: the rate of requests that
// they accept, that they leave, and how long they want no request from this
// entry.
//
// Each entry records the responses that it reads and reports what is new to the
// leader, which tells the other entries. The module knows no clock, network or
// store: its state can be exported, merged and rebuilt.
#ifndef SRC_TARGET_SIGNALS_H_
#define SRC_TARGET_SIGNALS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "src/clock.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/units.h"

namespace burdockhatch {

// What one response says of its target.
struct TargetSignals {
  // Requests a second that the target accepts from all entries together.
  std::optional<double> requests_per_s;
  // The response states a rate that cannot be read, which says nothing.
  bool has_unreadable_rate = false;
  bool is_leaving = false;
  Duration back_off{0};  // Time for which it wants no request of this entry.
};

struct TargetSignalLimits {
  bool enabled = true;
  // A longer back-off is cut to this, so that no target is shut out for good.
  Duration max_back_off = std::chrono::minutes(10);
  // A target that leaves and is still listed after this time gets requests
  // again.
  Duration leaving_memory = std::chrono::minutes(5);
};

class TargetSignalTable {
 public:
  // Least rate used for a target, however low the rate is that it states, in
  // requests per second of all entries together. Its answers tell when the
  // limit has ended.
  static constexpr double kMinRequestsPerS = 0.25;
  struct Counters {
    uint64_t limits = 0;  // Times that a target began to state a rate.
    uint64_t limit_ends = 0;
    uint64_t leaving = 0;    // Targets that began to leave.
    uint64_t back_offs = 0;  // Refusals that named a back-off.
    uint64_t unreadable = 0;
  };

  explicit TargetSignalTable(TargetSignalLimits limits = {})
      : limits_(limits) {}

  // Records a response to a request that was sent at `sent_at`. `started_at`
  // identifies the start of the target, as in TargetRecord. `is_answer` is
  // false for a response that need not come from the target's application, so
  // that the lack of a statement means nothing.
  void OnResponse(const TargetId& target,
                  uint64_t started_at,
                  const TargetSignals& signals,
                  bool is_answer,
                  Time sent_at,
                  Time now);

  // Returns the rate that the target accepts from all entries together, at
  // least kMinRequestsPerS, or nullopt if it states none.
  std::optional<double> RateOf(const TargetId& target,
                               uint64_t started_at) const;
  bool IsLeaving(const TargetId& target, uint64_t started_at, Time now) const;
  // Returns the end of the time for which the target wants no request from this
  // process. In the past if there is none.
  Time BackOffUntil(const TargetId& target, uint64_t started_at) const;
  // Whether the target wants no request now, whatever its rate.
  bool IsShut(const TargetId& target, uint64_t started_at, Time now) const {
    return IsLeaving(target, started_at, now) ||
           now < BackOffUntil(target, started_at);
  }

  // Adds what another process knows, except for back-offs, which concern that
  // process alone. Returns the records that were news.
  SignalReport Merge(const SignalReport& report, Time now);
  // Returns all that is known, for a process that has just started.
  SignalReport Export(Time now) const;
  // Returns what OnResponse() has changed since the last call. What responses
  // repeat is told again once in a while, as reports may be lost.
  SignalReport TakeChanges(Time now);

  // Forgets what has expired, at most once a second.
  void Prune(Time now);

  const Counters& counters() const { return counters_; }
  size_t CountLimited() const;

  // Returns the state as JSON.
  std::string Dump(Time now) const;

 private:
  struct State {
    uint64_t started_at = 0;
    // The newest statement on the rate: a rate, or that there is none.
    std::optional<double> requests_per_s;
    Time stated_at{};        // Zero if there was no statement.
    Time request_sent_at{};  // Of the request that the statement answered.
    Time leaving_since{};    // Zero if the target does not leave.
    Time back_off_until{};
    bool changed = false;  // Since the last TakeChanges().
    Time told_at{};
  };

  struct Statement {
    std::optional<double> requests_per_s;
    Time stated_at{};
    Time request_sent_at{};
  };

  const State* Find(const TargetId& target, uint64_t started_at) const;
  // Returns the state of this start of the target, or null if a later start is
  // known or kMaxSignalRecords targets are.
  State* FindOrAdd(const TargetId& target, uint64_t started_at);
  // Applies a statement unless the known one is newer. Returns whether the rate
  // has changed.
  bool ApplyStatement(const TargetId& target,
                      State& state,
                      const Statement& statement,
                      std::string_view source,
                      Time now);
  bool ApplyLeaving(const TargetId& target,
                    State& state,
                    Time since,
                    std::string_view source);
  bool IsExpired(const State& state, Time now) const;
  static SignalRecord MakeRecord(const TargetId& target,
                                 const State& state,
                                 Time now);

  TargetSignalLimits limits_;
  std::map<TargetId, State> states_;
  Time next_prune_{};
  Time next_unreadable_log_{};
  bool has_changes_ = false;  // The state of some target has `changed` set.
  Counters counters_;
};

}  // namespace burdockhatch

#endif  // SRC_TARGET_SIGNALS_H_
