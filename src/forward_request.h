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
#include "src/event_stream.h"
#include "src/fleet_directory.h"
#include "src/forward_call.h"
#include "src/forward_protocol.h"
#include "src/metrics.h"
#include "src/placement_client.h"
#include "src/random.h"
#include "src/request_retry_budget.h"
#include "src/reservations.h"
#include "src/routes.h"
#include "src/service_balancer.h"
#include "src/timers.h"

namespace burdockhatch {

// Limits of response bodies that an entry holds in memory until they are
// complete.
struct ResponseLimits {
  Bytes max_response{2 * 1024 * 1024};             // Of one response.
  Bytes max_buffered_responses{32 * 1024 * 1024};  // Of all of them.
};

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
  // load balancer in front has not yet had time to move traffic elsewhere.
  Time accepts_all_until{};
  FleetDirectory directory;
  ServiceBalancer balancer{0};
  RequestRetryBudget retry_budget{RequestRetryLimits()};
  // Requests of each plain service that wait for a target.
  std::map<ServiceId, size_t> waiting_for_target;
  Random random{0};
  ResponseLimits response_limits;
  size_t buffered_response_bytes = 0;
};

class ForwardRequest : public std::enable_shared_from_this<ForwardRequest> {
 public:
  ForwardRequest(ForwardContext* context,
                 std::shared_ptr<CallerExchange> exchange,
                 ReceivedRequest request);

  void Start();

 private:
  // Why an attempt ended without a complete successful response.
  enum class AttemptFailure : uint8_t {
    kNotSent,        // The connection failed before a byte was written.
    kNotExecuted,    // The target stated that it did not execute the request.
    kBroken,         // The connection broke, or ended inside the response.
    kInvalid,        // The response belongs to no target or request.
    kTimedOut,       // No response or event arrived in time.
    kErrorResponse,  // A complete response with a 5xx status.
    kTooLarge,       // The response exceeds a limit.
  };

  // Runs `step`; an exception ends this request only.
  template <class Step>
  void Guard(Step&& step);

  static std::string_view ToString(AttemptFailure failure);
  // How far the attempt in progress has come: "none", "head" after the head of
  // a successful response, or "events".
  std::string_view AttemptProgress() const;

  // --- Admission ---
  void Admit();
  // Sets the route, client account and service. On failure rejects the request
  // and returns false.
  bool ResolveRoute();
  // Whether the response can be complete before the planned stop ends.
  bool CanFinishBeforeStop() const;
  void Reject(uint32_t status, std::string_view reason);

  // --- Attempts ---
  void StartNextAttempt();
  void RequestPlacement();
  void OnPlacementReply(const PlacementReply& reply);
  void BalanceAndSend();
  // Whether the target has said to this entry, or to others, that it wants no
  // request now.
  bool IsShut(const FleetDirectory::KnownTarget& entry) const;
  void ReserveAndSend(const FleetDirectory::KnownTarget& entry,
                      std::vector<ForwardHelper> helpers,
                      const std::vector<MemoryHold>& holds);
  void SendToTarget(const FleetDirectory::KnownTarget& entry,
                    std::vector<ForwardHelper> helpers);
  void OnResponseHead(uint32_t status, HeaderList headers);
  bool IsForOtherAttempt() const;
  // Whether a response with these headers may follow the events that the caller
  // has received.
  bool ContinuesStream(const HeaderList& headers) const;
  // Passes on what the response says of its target.
  void RecordSignals();
  void OnResponseBody(std::string_view data);
  void OnCallEnd(ForwardCallResult result);
  void ForwardEvents(std::string_view data);
  // Whether a stream whose response has ended is complete.
  bool IsStreamComplete() const;
  // Reads the stream no faster than the caller does.
  void PauseWhileCongested();
  bool ExceedsResponseLimits(size_t more) const;
  void DropBufferedBodies();
  // Restarts the timer. On a route that is not repeatable it only stops it.
  void StartSilenceTimer(Duration timeout);
  Duration FirstResponseTimeout() const;
  Duration GapTimeout() const;
  void OnSilenceTimeout();
  void FailAttempt(AttemptFailure failure);
  // Takes from the retry budget of the service when it returns true, except for
  // failed connections.
  bool AllowRetry(AttemptFailure failure);
  // Returns the number of sends that targets reported as not executed.
  uint32_t RejectedSends() const;
  // The target at fault: a helper that the response names, else the target that
  // the request was sent to.
  TargetId FindFailedTarget(AttemptFailure failure) const;
  void CloseAttempt(PlacementEvent event, CallOutcome outcome);
  PartKeys MakePartKeys() const;
  // The event that tells placement about the failure of a target.
  PlacementEvent FailureEvent(AttemptFailure failure) const;

  void SetWaitsForTarget(bool waits);

  // --- Completion ---
  void OnDeadline();
  void OnCallerGone();
  void SendBufferedResponse();
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
  std::vector<RegionId> account_regions_;

  Time received_at_{};
  Time deadline_{};
  std::unique_ptr<Timer> deadline_timer_;
  std::unique_ptr<Timer> silence_timer_;
  std::unique_ptr<Timer> retry_timer_;

  uint32_t attempt_count_ = 0;  // Sends that may have executed.
  uint32_t send_count_ = 0;     // All sends, including failed connections.
  uint32_t failed_connection_count_ = 0;
  std::vector<TargetId> excluded_targets_;
  bool may_have_executed_ = false;

  // The attempt in progress.
  std::shared_ptr<ForwardCall> forward_call_;
  std::optional<uint64_t> placement_number_;  // Of the attempt's placement ask.
  TargetId target_;
  uint64_t target_started_at_ = 0;  // As in TargetRecord.
  std::vector<ForwardHelper> helpers_;
  std::unique_ptr<ReservationSet> reservations_;
  Duration expected_first_event_delay_{0};
  Duration retry_after_{0};  // Advised when placement refuses.
  Time sent_at_{};
  uint32_t response_status_ = 0;  // 0 until the response head arrives.
  HeaderList response_headers_;
  TargetFields response_fields_;
  std::string response_body_;
  bool is_streaming_ = false;        // Events are forwarded as they arrive.
  bool attempt_has_events_ = false;  // This attempt has delivered an event.
  // The response has neither a length nor chunks.
  bool ends_with_connection_ = false;

  // The last error response of a target. Returned to the caller if no later
  // attempt succeeds.
  struct ErrorResponse {
    uint32_t status = 0;
    HeaderList headers;
    std::string body;
  };
  std::optional<ErrorResponse> error_response_;
  size_t buffered_bytes_ = 0;  // Part of context_->buffered_response_bytes.

  EventStream events_;
  bool stream_started_ = false;  // The response head was sent to the caller.
  uint32_t stream_status_ = 0;   // Of that head.
  std::string stream_content_type_;
  Time first_event_at_{};
  Time last_event_at_{};
  Duration longest_gap_{0};  // Between consecutive events sent to the caller.
  bool waits_for_target_ = false;  // Counted in waiting_for_target.
  bool finished_ = false;
};

}  // namespace burdockhatch

#endif  // SRC_FORWARD_REQUEST_H_
