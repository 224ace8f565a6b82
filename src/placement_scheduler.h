// Places the requests of all entries on the engines of a service. One agent
// runs the scheduler of each service and rebuilds its state from the entries'
// snapshots.
//
// An engine does not decode while it prefills, so a long prompt delays every
// answer on its engine. Short prompts are therefore packed onto as few engines
// as hold them, and the other engines prefill long prompts in parts, one after
// the other. The number of engines for short prompts follows the number of
// short requests in progress.
#ifndef SRC_PLACEMENT_SCHEDULER_H_
#define SRC_PLACEMENT_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/crash_blame.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/pass_predictor.h"
#include "src/priority.h"
#include "src/request_priority.h"
#include "src/shared_rate.h"
#include "src/shut_targets.h"
#include "src/stale_list_detector.h"
#include "src/target_pace.h"
#include "src/target_signals.h"
#include "src/units.h"

namespace burdockhatch {

// Returns a hash of the targets' names, addresses and cold states. It does not
// depend on their order.
uint64_t TargetListFingerprint(const TargetList& list);

class PlacementScheduler {
 public:
  struct Decision {
    PeerId entry;
    PlacementReply reply;
  };

  // Agents that may place requests at the same time: the leader and its
  // possible successors, as entries may disagree on the leader.
  static constexpr int kMaxLeaders = 3;
  // Share of the rate of a cold target, or of one that states a limit, that a
  // leader uses. The leaders together stay within the overrun of one half that
  // targets tolerate.
  static constexpr double kLeaderShare = 1.5 / kMaxLeaders;
  // The same for a leader that all entries follow. A second one has
  // kLeaderShare, as entries follow another leader too.
  static constexpr double kSoleLeaderShare = 0.9;
  // The same while entries may disagree on the agents too, for example when all
  // have restarted and learn the target list. Suits six leaders within a
  // second.
  static constexpr double kUnsettledShare = 0.35;

  explicit PlacementScheduler(const CrashBlameLimits& blame_limits = {},
                              const TargetSignalLimits& signal_limits = {})
      : blame_(blame_limits), signals_(signal_limits) {}

  // Sets the share of targets' request rates that this scheduler may use.
  // `phase_seed` is set for schedulers that use the same small share at the
  // same time: each sends its first request to a target whose rate becomes
  // limited at another point of its interval.
  void SetRateShare(double share, std::optional<uint64_t> phase_seed, Time now);

  // Replaces the target list unless the known one is of a later epoch, or newer
  // in the same one. A list of equal
  // revision is accepted because the withdrawals of an entry may have changed.
  void SetTargets(const TargetList& list, Time now);

  // Places the request at once, refuses it or queues it.
  void RequestPlacement(const PeerId& entry, const PlacementAsk& ask, Time now);

  void ApplyChange(const PeerId& entry,
                   const PlacementChange& change,
                   Time now);

  // Replaces the placed requests of the entry by those of the snapshot. A
  // request that was placed too recently for the entry to have received the
  // reply (kSnapshotDelay) is kept.
  void RestoreSnapshot(const PeerId& entry,
                       const PlacementSnapshot& snapshot,
                       Time now);

  // Whether a leader is expected to take over soon: requests that all targets
  // are shut for are then queued rather than refused at once.
  void SetExpectsLeader(bool expects) { expects_leader_ = expects; }

  // Records what a response to a request of `entry` says of its target, see
  // TargetSignalTable.
  void OnResponse(const PeerId& entry,
                  const TargetId& target,
                  uint64_t started_at,
                  const TargetSignals& signals,
                  bool is_answer,
                  Time sent_at,
                  Time now);
  // Adds what responses to `entry`, or others that it knows of, have said.
  // Returns the records that were news.
  SignalReport MergeSignals(const PeerId& entry,
                            const SignalReport& report,
                            Time now);

  // Adds a request that another scheduler has placed.
  void ImportRequest(const PeerId& entry, const PlacedWork& work, Time now);

  void RemoveEntry(const PeerId& entry, Time now);

  // Places queued requests. Must be called every kPlacementTickInterval while
  // HasQueuedRequests().
  void Tick(Time now);

  bool HasQueuedRequests() const;
  std::vector<Decision> TakeDecisions();
  PlacementSnapshot MakeSnapshot(const PeerId& entry) const;

  // What the scheduler knows of prompt parts that crash targets.
  CrashBlame& blame() { return blame_; }
  const CrashBlame& blame() const { return blame_; }

  // What targets say of themselves, as far as this process has heard.
  TargetSignalTable& signals() { return signals_; }
  const TargetSignalTable& signals() const { return signals_; }

  // Whether slow targets are recognized and get less work, see TargetPaceTable.
  // True by default; daemons pass their setting.
  void SetTargetPaceEnabled(bool enabled) { target_pace_enabled_ = enabled; }
  // Sums over all services.
  TargetPaceTable::Counters pace_counters() const;

  // Returns the scheduler's state as JSON.
  std::string Dump(Time now) const;

 private:
  using RequestKey = std::pair<PeerId, uint64_t>;

  struct TargetPace {
    TargetId target;
    double pace = kEvenPace;
  };

  struct PlacedRequest {
    PlacedWork work;            // work.reading: the prefill is in progress.
    uint64_t placement_id = 0;  // Unique in this scheduler.
    Time placed_at{};
    Duration expected_first_event{0};
    double part_prefill_ms = 0;  // Prefill time on each of its targets.
    bool is_long = false;
    bool is_unsettled = false;  // See PlacementAsk::unsettled_left.
    bool is_trial = false;      // Its targets may crash under it.
    // Its target may have become even again.
    bool is_pace_trial = false;
    // The targets that the first event waits for, with the paces that the
    // prediction assumed.
    std::vector<TargetPace> paces;
  };

  // A request that ended before its first event, for example because its caller
  // left. The target may still crash under it.
  struct LeftRequest {
    PartKeys parts;
    PartKey own_mark;
    Time sent_at{};
    Time left_at{};
  };

  struct Target {
    TargetDescription description;
    bool listed = false;
    Time cold_until{};
    // The rate of requests, while the target is cold or states a limit.
    SharedRate rate;
    bool states_limit = false;
    bool is_leaving = false;
    // Ends of the times for which the target wants no request of an entry.
    std::map<PeerId, Time> back_offs;
    uint32_t short_answers = 0;
    uint32_t long_answers = 0;
    uint32_t decoding = 0;    // Answers that have sent their first event.
    uint32_t prefilling = 0;  // Prompts being prefilled here, whole or in part.
    int trials = 0;  // Suspect requests whose prompts are being processed.
    Tokens memory_used;
    std::map<Duration, uint32_t> gap_target_counts;  // Answers by gap target.
    PassPredictor pass_predictor;
    Time suspect_until{};
    Duration suspect_duration{0};
    // This start of the target has sent an event since this scheduler knows it.
    bool has_answered = false;
    bool is_doubted = false;  // Suspect because the target list is stale.
    // The target has turned requests away: it gets one only if no other target
    // has room.
    Time avoided_until{};
    Duration avoided_duration{0};
    double pace = kEvenPace;                 // As in ServiceState::paces.
    std::vector<LeftRequest> left_requests;  // The latest ones.

    uint32_t answers() const { return short_answers + long_answers; }
  };

  struct QueuedRequest {
    PeerId entry;
    PlacementAsk ask;
    Time asked_at{};
    Time first_event_by{};
    Time give_up_at{};
  };

  struct PriorityCounts {
    size_t waiting = 0;
    uint64_t served = 0;
    uint64_t refused = 0;
  };

  static constexpr double kInitialShortAnswerMs = 2'000;

  struct ServiceState {
    EngineCost cost;
    double cold_requests_per_s = 0;
    uint64_t revision = 0;
    StoreEpoch epoch;
    uint64_t fingerprint = 0;
    std::map<TargetId, Target> targets;
    StaleListDetector stale_list;
    // Short prompts fill the targets from the front.
    std::vector<Target*> fill_order;
    bool is_order_outdated = false;
    std::map<RequestKey, PlacedRequest> placed_requests;
    std::vector<QueuedRequest> queue;
    uint32_t short_request_count = 0;
    uint32_t long_request_count = 0;
    // Moving average of the time from the placement of a short prompt to the
    // end of its answer.
    double short_answer_ms = kInitialShortAnswerMs;
    // Short prompts a second that entries ask for and that can be in time, by a
    // moving average. Those that a new leader is asked for again are late.
    double short_asks_per_s = 0;
    Time last_short_ask_at{};
    // Prefill time of all long prompts in progress, over all their parts.
    double long_prefill_in_progress_ms = 0;
    // Targets at the front of fill_order that are preferred for short prompts.
    // Long prompts use them only if the others do not suffice.
    size_t short_target_count = 1;
    Time next_shrink_at{};
    // Earliest time of the next attempt to place queued requests.
    Time next_attempt_at{};
    // When callers should come back that are refused because all targets are
    // shut, and those of late long prompts.
    ReturnSchedule shut_returns;
    ReturnSchedule long_returns;
    ServedShares shares;
    std::map<Priority, PriorityCounts> by_priority;  // Since the start.
    // When the rates of the targets change next by the passage of time.
    Time next_rate_update_at{};
    TargetPaceTable paces;
    Time next_pace_update_at{};
  };

  struct Assignment {
    TargetId target;
    std::vector<TargetId> helpers;
    std::vector<MemoryHold> holds;
    double part_prefill_ms = 0;
    Duration expected_first_event{0};
    bool is_pace_trial = false;
  };

  // A target that can prefill a part of a long prompt.
  struct PrefillCandidate {
    Target* target;
    double available_prefill_ms;  // By the stated cost.
    double wait_ms;               // Time until the prefill of a part starts.
  };

  // Returns whether the prompt could be split over the candidates if they had
  // no other prefill.
  static bool FitsWithoutOtherPrefill(
      const ServiceState& state,
      const std::vector<PrefillCandidate>& candidates,
      double prefill_ms);
  static bool IsLongPrompt(const ServiceState& state, Tokens prompt);
  // Returns the most tokens that a prompt and its answer may have, held by as
  // many engines as may share one prompt.
  static Tokens MaxRequestTokens(const ServiceState& state);
  // Returns the milliseconds of a pass without prefill on the target, by its
  // pace.
  static double TargetDecodePassMs(const ServiceState& state,
                                   const Target& target);
  // Returns the prefill in milliseconds that the target could do in one pass
  // without exceeding the gap target of an answer in progress, if it had no
  // other prefill. In time that passes at the target, not by the stated cost.
  static double MaxPassPrefillMs(const ServiceState& state,
                                 const Target& target);
  // Returns the part of MaxPassPrefillMs that is not in use now, by the stated
  // cost: a slow target has less.
  static double AvailablePrefillMs(const ServiceState& state,
                                   const Target& target,
                                   Time now);
  // Returns the earliest time at which the target may get the request as far as
  // rates, back-offs and suspicions are concerned, or Time::max() if it may
  // not.
  static Time AvailableAt(const Target& target, const QueuedRequest& request);
  static bool IsAvailable(const Target& target,
                          const QueuedRequest& request,
                          Time now) {
    return now >= AvailableAt(target, request);
  }
  // Returns when targets open again if rates, back-offs, suspicions or, for a
  // short prompt, the answers in progress keep all of them from taking the
  // request now. Nullopt if some target is open, or if suspicions alone shut
  // them, which new targets may end at any moment.
  static std::optional<ShutTargets> FindShutTargets(
      const ServiceState& state,
      const QueuedRequest& request,
      Time now);
  // Refuses the request if all targets are shut for longer than it can wait
  // behind `ahead` others. Returns whether it was refused.
  bool RefuseIfShutOut(ServiceState& state,
                       const QueuedRequest& request,
                       size_t ahead,
                       Time now);
  static void UpdateShortTargetCount(ServiceState& state,
                                     double long_prefill_ms,
                                     Time now);
  // Returns the prefill in milliseconds of all long prompts that are queued or
  // in progress.
  static double LongPrefillBacklogMs(const ServiceState& state);
  std::optional<Assignment> Choose(ServiceState& state,
                                   const QueuedRequest& request,
                                   Time now);
  std::optional<Assignment> ChooseShort(ServiceState& state,
                                        const QueuedRequest& request,
                                        Time now);
  // Considers targets that are avoided only if `with_avoided`.
  std::optional<Assignment> ChooseShortAmong(ServiceState& state,
                                             const QueuedRequest& request,
                                             bool with_avoided,
                                             Time now);
  // Gives a short prompt to a slow target whose trial is due.
  std::optional<Assignment> ChoosePaceTrial(const ServiceState& state,
                                            const QueuedRequest& request,
                                            Time now);
  // Whether the target gets a request only if no other target has room.
  static bool IsAvoided(const Target& target, Time now) {
    return now < target.avoided_until || target.pace >= kUnusablePace;
  }
  std::optional<Assignment> ChooseLong(ServiceState& state,
                                       const QueuedRequest& request,
                                       Time now);
  static std::optional<Assignment> SplitOverIdleTargets(
      const ServiceState& state,
      const QueuedRequest& request,
      std::vector<PrefillCandidate> candidates,
      Time now);
  static std::optional<uint32_t> CountStalledAnswers(const ServiceState& state,
                                                     const PlacementAsk& ask,
                                                     const Target& target,
                                                     double part_prefill_ms);
  // Splits the prompt over engines without prefill in progress, so that few
  // answers of a shorter gap target are stalled beyond it.
  static std::optional<Assignment> SplitWithStallBudget(
      const ServiceState& state,
      const PlacementAsk& ask,
      std::vector<PrefillCandidate> candidates);
  // Returns the least number of equal parts such that one of them fits the
  // candidate with the most available prefill.
  static size_t MinPartCount(const std::vector<PrefillCandidate>& candidates,
                             double prefill_ms);
  // Splits the prompt over the candidates that can prefill a part without
  // stalling an answer beyond its gap target. Returns nullopt if there are too
  // few.
  static std::optional<Assignment> Split(
      const ServiceState& state,
      const PlacementAsk& ask,
      std::vector<PrefillCandidate> candidates);
  // Returns the candidate that is to hold the prompt and decode the answer, or
  // null if none has a free slot and enough memory.
  static const PrefillCandidate* ChooseDecodeTarget(
      const ServiceState& state,
      const PlacementAsk& ask,
      const std::vector<PrefillCandidate>& candidates,
      double part_prefill_ms);
  // Returns whether the request is oversize: its prompt and answer need the
  // memory of several engines.
  static bool ExceedsOneTarget(const ServiceState& state,
                               const PlacementAsk& ask);
  // Divides the prompt of an oversize request over the memory of the decode
  // target and the helpers. Returns nullopt if their memory does not suffice.
  static std::optional<std::vector<MemoryHold>> ChooseHolds(
      const ServiceState& state,
      const PlacementAsk& ask,
      const Target& decode_target,
      std::vector<const Target*> helpers);
  // Splits the prompt into `parts` parts over the decode target and the first
  // candidates, without checking that the parts keep the gap targets.
  static std::optional<Assignment> SplitIntoParts(
      const ServiceState& state,
      const PlacementAsk& ask,
      const std::vector<PrefillCandidate>& candidates,
      size_t parts);
  static Priority PriorityOf(const PlacementAsk& ask);
  static WaitingRequest Weigh(const ServiceState& state,
                              const QueuedRequest& request);
  // Whether a queued request, of a prompt that is long or short as this one,
  // is to be tried before it.
  static bool IsBehindMoreUrgent(const ServiceState& state,
                                 const QueuedRequest& request);
  static void CountUnserved(ServiceState& state,
                            const PlacementAsk& ask,
                            Time now);
  static std::string DumpQueue(const ServiceState& state, Time now);
  static std::string DumpPriorities(const ServiceState& state);
  // Sorts the queue and refuses late long prompts as PlanQueue() decides.
  void SortQueue(ServiceState& state, Time now);
  void Place(ServiceState& state,
             const QueuedRequest& request,
             Assignment assignment,
             Time now);
  void AddPlacedRequest(ServiceState& state,
                        const RequestKey& key,
                        PlacedRequest placed,
                        Time now);
  // Ends the prefill of a request. `prefill_done` is true if the first event
  // has been received, false if the request ended before it.
  static void EndPrefill(ServiceState& state,
                         PlacedRequest& placed,
                         bool prefill_done,
                         Time now);
  void RemovePlacedRequest(ServiceState& state,
                           std::map<RequestKey, PlacedRequest>::iterator placed,
                           Time now);
  // Returns a reply that tells the number of entries.
  PlacementReply MakeReply(uint64_t number, PlacementVerdict verdict) const;
  static void CountShortAsk(ServiceState& state, Time now);
  // Returns how many requests of the queue a new request has to wait for.
  static size_t CountAhead(const ServiceState& state,
                           const QueuedRequest& request);
  void Refuse(ServiceState& state,
              const QueuedRequest& request,
              std::string_view reason,
              Duration retry_after,
              Time now);
  // Refuses a request that can never be served.
  void RefuseUncounted(const QueuedRequest& request, Duration retry_after);
  // Whether the parts of the prompt allow the request to be placed now. Refuses
  // it if they are blocked.
  CrashBlame::Verdict CheckParts(const QueuedRequest& request, Time now);
  // Records the event as evidence about the parts of the request.
  void ReportToBlame(ServiceState& state,
                     const PlacedRequest& placed,
                     const PlacementChange& change,
                     uint64_t trial,
                     Time now);
  void BlameLeftRequests(Target& target, Time now);
  static uint64_t TrialOf(const PeerId& entry, uint64_t number);
  void PlaceQueued(ServiceState& state, Time now);
  // Returns the point of an interval, from 0 to 1, at which this scheduler
  // sends the first request to the target.
  double RatePhase(const TargetId& target) const;
  // Applies the signals of the target and the rate that it may get now.
  void UpdateRate(ServiceState& state, Target& target, Time now);
  // Does so for all targets if the passage of time may have changed them.
  void UpdateRates(ServiceState& state, Time now);
  // Does so for the targets of the report.
  void UpdateRatesOf(const SignalReport& report, Time now);
  static void SortFillOrder(ServiceState& state);
  // Suspects the targets that have not answered if the list that names
  // `replaced` is stale.
  static void OnTargetReplaced(ServiceState& state,
                               const Target& replaced,
                               Time now);
  static void OnTargetAnswered(Target& target);
  // Records until when this start of the target wants no request of the entry.
  void SetBackOff(const PeerId& entry,
                  const TargetId& target,
                  uint64_t started_at,
                  Time until,
                  Time now);
  // Adds the time to the first event, so far or in all, as a sample of the
  // targets that the request has waited for.
  void AddPaceSamples(ServiceState& state,
                      const RequestKey& key,
                      const PlacedRequest& placed,
                      Duration observed,
                      Time now);
  // Adds the requests whose first event is late, and forgets old samples.
  void UpdatePaces(ServiceState& state, Time now);
  static void ApplyPaceChange(ServiceState& state,
                              const TargetPaceTable::Change& change);
  // Takes the request from the rate of a target that decodes it, prefills a
  // part of it, or both.
  void TakeFromRate(Target& target, bool is_unsettled, Time now) const;

  CrashBlame blame_;
  TargetSignalTable signals_;
  bool expects_leader_ = false;
  bool target_pace_enabled_ = true;
  double rate_share_ = kLeaderShare;
  std::optional<uint64_t> rate_phase_seed_;
  std::map<ServiceId, ServiceState> services_;
  std::set<PeerId> entries_;
  uint64_t next_placement_id_ = 1;
  std::vector<Decision> decisions_;
};

// Interval of the ticks that retry the placement of queued requests when no
// event does.
inline constexpr Duration kPlacementTickInterval =
    std::chrono::milliseconds(10);

}  // namespace burdockhatch

#endif  // SRC_PLACEMENT_SCHEDULER_H_
