// Proxies one caller request through an entry: resolves the route, sends the
// request to one target after another until one responds, and returns exactly
// one response.
#ifndef SRC_FORWARD_REQUEST_H_
#define SRC_FORWARD_REQUEST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/caller_exchange.h"
#include "src/clock.h"
#include "src/fleet_directory.h"
#include "src/forward_attempt.h"
#include "src/forward_call.h"
#include "src/forward_protocol.h"
#include "src/metrics.h"
#include "src/placement_client.h"
#include "src/random.h"
#include "src/request_retry_budget.h"
#include "src/routes.h"
#include "src/service_balancer.h"
#include "src/timers.h"

namespace burdockhatch {

// Limits of responses, or events of a stream, that an entry holds in memory
// until they are complete.
struct ResponseLimits {
  Bytes max_response{2 * 1024 * 1024};             // Of one response.
  Bytes max_buffered_responses{32 * 1024 * 1024};  // Of all of them.
};

class ForwardRequest;

// State and services shared by all requests of an entry. Must outlive them.
struct ForwardContext {
  Timers* timers = nullptr;
  const ForwardProtocol* protocol = nullptr;
  ForwardConnector* connector = nullptr;
  PlacementClient* placement = nullptr;
  EngineMemory* engine_memory = nullptr;
  Metrics* metrics = nullptr;
  DataCentreId data_centre;
  std::map<DataCentreId, RegionId> regions;
  RouteConfigPtr config;  // Null until the first configuration arrives.
  std::optional<Time> stop_deadline;  // End of a planned stop.
  // Before this time a stopping entry still accepts every request, because the
  // load balancer in front has not yet had time to move traffic elsewhere. From
  // then on it sends only what its own time limit ends before the stop does.
  Time accepts_all_until{};
  bool has_target_list = false;  // The target list has been read once.
  Duration max_startup_wait{0};  // See ForwardingSettings.
  FleetDirectory directory;
  ServiceBalancer balancer{0};
  RequestRetryBudget retry_budget{RequestRetryLimits()};
  // Requests of each plain service that wait for a target, by priority.
  std::map<ServiceId, std::map<Priority, size_t>> waiting_for_target;
  Random random{0};
  ResponseLimits response_limits;
  size_t buffered_response_bytes = 0;
  // Requests that were admitted, or wait for the first configuration, and have
  // not finished.
  std::map<ForwardRequest*, std::weak_ptr<ForwardRequest>> open_requests;
  // Those of them that go on when the configuration or the target list changes.
  std::map<ForwardRequest*, std::weak_ptr<ForwardRequest>> awaiting_lists;
};

class ForwardRequest : public std::enable_shared_from_this<ForwardRequest> {
 public:
  ForwardRequest(ForwardContext* context,
                 std::shared_ptr<CallerExchange> exchange,
                 ReceivedRequest request);

  void Start();

  // Goes on with a request that waits for a change of the configuration or of
  // the target list.
  void OnListsChanged();

  // Refuses the request if it waits to be sent and IsTooLateToSend().
  void RefuseIfTooLateToSend();

  // Refuses the request for want of memory. Returns false if it may have been
  // sent to a target.
  bool Shed();

  // Returns the most bytes that one attempt of the request holds of a response.
  size_t LargestHeldBytes() const;
  // Fails the attempt that holds the most, so that others get its memory.
  void FailLargestAttempt();

  // Ends the request because the process stops: with 503 if it has not been
  // sent, else with 502 or 504; a stream that has begun is aborted.
  void EndAtStop();

 private:
  // Runs `step`; an exception ends this request only.
  template <class Step>
  void Guard(Step&& step);

  // --- Admission ---
  void Admit();
  // Registers the request, so that it ends with its caller or its process.
  void Open();
  // Waits for the first configuration and target list of a process that has
  // just started. Returns false if the request does not wait for them.
  bool WaitForFirstLists();
  // Calls OnListsChanged with the next change. Fails the request with `reason`
  // if there is none in time.
  void AwaitLists(Duration time, std::string_view reason);
  // Sets the route, client account and service. On failure rejects the request
  // and returns false.
  bool ResolveRoute();
  // Whether the process stops and nothing bounds the request to the time before
  // the end of the stop. Only its own time limit is a bound: a sound target may
  // be slow or silent within it. A stream that has begun is always resumed, as
  // it would be cut otherwise.
  bool IsTooLateToSend() const;
  void Reject(uint32_t status, std::string_view reason);

  // --- Attempts ---
  void StartNextAttempt();
  void RequestPlacement();
  void OnPlacementReply(const ForwardAttemptPtr& attempt,
                        const PlacementReply& reply);
  void BalanceAndSend();
  // Whether the target has said to this entry, or to others, that it wants no
  // request now.
  bool IsShut(const FleetDirectory::KnownTarget& entry) const;
  void ReserveAndSend(const FleetDirectory::KnownTarget& entry,
                      std::vector<ForwardHelper> helpers,
                      const std::vector<MemoryHold>& holds);
  void OnReserved(const ForwardAttemptPtr& attempt,
                  const TargetId& target,
                  std::vector<ForwardHelper> helpers,
                  bool reserved);
  void SendToTarget(const FleetDirectory::KnownTarget& entry,
                    std::vector<ForwardHelper> helpers);
  ForwardCallSpec MakeCallSpec(const FleetDirectory::KnownTarget& entry) const;
  void OnResponseHead(const ForwardAttemptPtr& attempt,
                      uint32_t status,
                      HeaderList headers);
  // Whether a response with these headers may follow the events that the caller
  // has received.
  bool ContinuesStream(uint32_t status, const HeaderList& headers) const;
  // Passes on what the response says of its target.
  void RecordSignals(const ForwardAttempt& attempt);
  void OnResponseBody(const ForwardAttemptPtr& attempt, std::string_view data);
  void OnCallEnd(const ForwardAttemptPtr& attempt, ForwardCallResult result);
  void ForwardEvents(const ForwardAttemptPtr& attempt, std::string_view data);
  // Whether a stream whose response has ended is complete.
  bool IsStreamComplete(const ForwardAttempt& attempt) const;
  // Reads the stream no faster than the caller does.
  void PauseWhileCongested();
  // Makes room for `more` bytes of the response, at the cost of the largest
  // ones if all of them exceed their limit. Returns false if the attempt would
  // be the largest itself, or if its response exceeds a limit.
  bool MakeRoom(const ForwardAttemptPtr& attempt, size_t more);
  // Updates the sums after the attempt has received or dropped data.
  void CountHeldBytes(ForwardAttempt& attempt);
  void DropResponse(ForwardAttempt& attempt);
  // The attempt that holds the most of a response; null if there is none.
  ForwardAttemptPtr FindLargestAttempt() const;
  // Forwards the response of `attempt` and ends all other attempts.
  void ChooseAttempt(const ForwardAttemptPtr& attempt);
  void FailAttempt(const ForwardAttemptPtr& attempt, AttemptFailure failure);
  void KeepErrorResponse(ForwardAttempt& attempt);
  // `list_is_stale`: the target list names a target that is gone.
  void RetryAfterFailure(AttemptFailure failure, bool list_is_stale);
  // Takes from the retry budget of the service when it returns true, except for
  // failed connections.
  bool AllowRetry(AttemptFailure failure);
  bool TakeRetry();
  // Returns the number of sends that targets reported as not executed.
  uint32_t RejectedSends() const;
  // The target at fault: a helper that the response names, else the target that
  // the request was sent to.
  TargetId FindFailedTarget(const ForwardAttempt& attempt,
                            AttemptFailure failure) const;
  void ExcludeTarget(const TargetId& target);
  // Stops the attempt and tells placement or the balancer how it has ended.
  void EndAttempt(ForwardAttempt& attempt,
                  PlacementEvent event,
                  const TargetId& failed,
                  CallOutcome outcome);
  // Ends the attempt in progress and the silent ones.
  void EndAllAttempts(CallOutcome outcome);
  bool HasCall() const;
  PartKeys MakePartKeys() const;
  PartKey MakeOwnMark() const;

  // --- Silent targets ---
  // Restarts the timer. On a route that is not repeatable it only stops it.
  void StartSilenceTimer(Duration timeout);
  Duration FirstResponseTimeout() const;
  Duration GapTimeout() const;
  void OnSilenceTimeout();
  // Treats the target of the attempt in progress as silent, without waiting for
  // the timeout.
  void OnTargetUnreachable(const ForwardAttemptPtr& attempt);
  // Keeps the attempt in progress open, as its target may be sound, while
  // another one is made.
  void SetAttemptAside();

  void SetWaitsForTarget(bool waits);
  // Returns how many requests wait for a target of the service that are at
  // least as urgent, or only those that are more urgent.
  size_t CountWaitingAhead(bool only_more_urgent) const;

  // --- Completion ---
  void OnDeadline();
  void OnCallerGone();
  void SendBufferedResponse(const ForwardAttemptPtr& attempt);
  // No further attempt is possible now: fails the request, unless a silent
  // target may still respond. In that case the next attempt is made after
  // `next_attempt_in`; never if it is 0.
  void FailUnlessSilentAttemptLeft(std::string_view reason,
                                   Duration next_attempt_in,
                                   std::string body = "");
  void FinishWithFailure(std::string_view reason, std::string body = "");
  // Rejects the request because of a part of its prompt that crashes targets.
  void FinishAsBlocked(Duration blocked_left);
  void Finish(uint32_t status, std::string_view outcome);
  Duration TimeLeft() const;

  ForwardContext* context_;
  std::shared_ptr<CallerExchange> exchange_;
  const ReceivedRequest request_;
  CallerFields caller_fields_;
  RouteConfigPtr config_;
  const Route* route_ = nullptr;  // Points into `config_`.
  ServiceId service_;
  const ServicePool* pool_ = nullptr;  // Points into `config_`; null if absent.
  ClientAccountId account_;
  // Set if requests of the service differ in priority.
  std::optional<Priority> priority_;
  std::vector<RegionId> account_regions_;

  Time received_at_{};
  Time deadline_{};
  std::unique_ptr<Timer> deadline_timer_;
  std::unique_ptr<Timer> silence_timer_;
  std::unique_ptr<Timer> retry_timer_;
  std::unique_ptr<Timer> lists_timer_;  // Runs while the request awaits lists.

  uint32_t attempt_count_ = 0;  // Sends that may have executed.
  uint32_t send_count_ = 0;     // All sends, including failed connections.
  uint32_t failed_connection_count_ = 0;
  uint32_t reservation_round_ = 0;
  std::vector<TargetId> excluded_targets_;
  bool may_have_executed_ = false;

  // The attempt in progress; null while only silent ones are left.
  ForwardAttemptPtr attempt_;
  // Attempts whose targets are silent, in the order in which they were set
  // aside. The first attempt that goes on ends the others.
  std::vector<ForwardAttemptPtr> silent_attempts_;
  Duration retry_after_{0};  // Advised when placement refuses.

  // Of the latest send.
  TargetId target_;
  size_t helper_count_ = 0;
  Duration expected_first_event_delay_{0};
  Time sent_at_{};

  // The last error response of a target. Returned to the caller if no later
  // attempt succeeds.
  struct ErrorResponse {
    uint32_t status = 0;
    HeaderList headers;
    std::string body;
  };
  std::optional<ErrorResponse> error_response_;
  size_t buffered_bytes_ = 0;  // Part of context_->buffered_response_bytes.

  std::optional<uint64_t> last_event_id_;  // That the caller has.
  bool stream_started_ = false;  // The response head was sent to the caller.
  uint32_t stream_status_ = 0;   // Of that head.
  std::string stream_content_type_;
  Time first_event_at_{};
  Time last_event_at_{};
  Duration longest_gap_{0};  // Between consecutive events sent to the caller.
  bool waits_for_target_ = false;  // Counted in waiting_for_target.
  uint32_t yield_count_ = 0;       // See kTriesPerTurn.
  bool finished_ = false;
};

// Forwards a request. If it fails before anything is sent on, the caller gets
// 503.
void StartForwardRequest(ForwardContext* context,
                         const std::shared_ptr<CallerExchange>& exchange,
                         ReceivedRequest request);

// Goes on with the requests that wait for a change of the configuration or of
// the target list. Must be called after each change.
void ResumeWaitingRequests(ForwardContext& context);

// Refuses, in a planned stop, the open requests that wait to be sent and can no
// longer be. Returns their number.
size_t RefuseLateRequests(ForwardContext& context);

// Ends all open requests at the end of a planned stop. Returns their number.
size_t EndOpenRequests(ForwardContext& context);

}  // namespace burdockhatch

#endif  // SRC_FORWARD_REQUEST_H_
