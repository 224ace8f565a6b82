// One request of a caller on its way through an entry: the route, the targets
// that it is sent to in turn, and the one answer that the caller gets.
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
#include "src/repeat_budget.h"
#include "src/reservations.h"
#include "src/routes.h"
#include "src/service_balancer.h"
#include "src/timers.h"

namespace burdockhatch {

// What all requests of an entry share. Outlives them.
struct ForwardContext {
  Timers* timers = nullptr;
  const ForwardProtocol* protocol = nullptr;
  ForwardConnector* connector = nullptr;
  PlacementClient* placement = nullptr;
  EngineMemory* engine_memory = nullptr;
  Metrics* metrics = nullptr;
  DataCentreId data_centre;
  std::map<DataCentreId, RegionId> regions;
  RouteConfigPtr config;         // Null until one is known.
  std::optional<Time> stops_at;  // The end of a planned stop.
  // Until then a planned stop takes all requests, as the balancer still sends
  // them and has not been told to send them elsewhere for long.
  Time accepts_all_until{};
  FleetDirectory directory;
  ServiceBalancer balancer{0};
  RepeatBudget budget{RepeatLimits()};
  Random random{0};
};

class ForwardRequest : public std::enable_shared_from_this<ForwardRequest> {
 public:
  ForwardRequest(ForwardContext* context,
                 std::shared_ptr<CallerExchange> exchange,
                 ReceivedRequest request);

  void Start();

 private:
  // Why an attempt ended without a whole answer.
  enum class AttemptEnd : uint8_t {
    kNotSent,
    kNotRun,  // The target says so.
    kBroken,
    kSilent,
    kFailedAnswer,  // A whole answer that says the work failed.
  };

  // --- Before the first attempt ---
  bool ReadRoute();
  // Whether the answer can be complete before a planned stop ends.
  bool EndsBeforeStop() const;
  void Reject(uint32_t status, std::string_view reason);

  // --- Attempts ---
  void NextAttempt();
  void AskForPlacement();
  void OnPlaced(const PlacementReply& reply);
  void PlaceOnService();
  void ReserveAndSend(const FleetDirectory::Entry& entry,
                      std::vector<ForwardHelper> helpers,
                      const std::vector<MemoryHold>& holds);
  void SendTo(const FleetDirectory::Entry& entry,
              std::vector<ForwardHelper> helpers);
  void OnHead(uint32_t status, HeaderList headers);
  void OnBody(std::string_view data);
  void OnEnd(ForwardCallResult end);
  void ForwardEvents(std::string_view data);
  void StartPatience(Duration patience);
  Duration FirstPatience() const;
  void OnSilent();
  void EndAttempt(AttemptEnd end);
  bool MayRepeat(AttemptEnd end);
  // Sends of which the target said that the request did not run.
  uint32_t Rejections() const;
  TargetId FailedTarget(AttemptEnd end) const;
  void ReleaseAttempt(PlacementEvent event, CallOutcome outcome);

  // --- The end ---
  void OnDeadline();
  void OnCallerGone();
  void AnswerWhole();
  void FinishFailed(std::string_view reason);
  void Finish(uint32_t status, std::string_view outcome);
  Duration TimeLeft() const;

  ForwardContext* context_;
  std::shared_ptr<CallerExchange> exchange_;
  const ReceivedRequest request_;
  CallerFields fields_;
  RouteConfigPtr config_;
  const Route* route_ = nullptr;  // In `config_`.
  ServiceId service_;
  const ServicePool* pool_ = nullptr;  // In `config_`; may be null.
  ClientAccountId account_;
  std::vector<RegionId> account_regions_;

  Time received_at_{};
  Time deadline_{};
  std::unique_ptr<Timer> deadline_timer_;
  std::unique_ptr<Timer> patience_timer_;
  std::unique_ptr<Timer> retry_timer_;

  uint32_t attempts_ = 0;   // Sent, unless the target says it did not run.
  uint32_t sends_ = 0;      // All.
  uint32_t unreached_ = 0;  // Connections that failed.
  std::vector<TargetId> excluded_;
  bool may_have_run_ = false;

  // The attempt in progress.
  std::shared_ptr<ForwardCall> call_;
  std::optional<uint64_t> placement_;  // Number at the placement client.
  TargetId target_;
  std::vector<ForwardHelper> helpers_;
  std::unique_ptr<ReservationSet> reservations_;
  Duration expected_first_event_{0};
  Duration retry_after_{0};  // Of a refusal of the placement.
  Time sent_at_{};
  uint32_t status_ = 0;  // 0 until the head of the answer is there.
  HeaderList answer_headers_;
  TargetFields answer_fields_;
  std::string answer_body_;
  bool streaming_ = false;  // The answer is passed on as it comes.

  // A whole failure of a target, given when nothing better comes.
  struct FailedAnswer {
    uint32_t status = 0;
    HeaderList headers;
    std::string body;
  };
  std::optional<FailedAnswer> failed_answer_;

  EventStream events_;
  bool stream_started_ = false;  // The caller has the head of the answer.
  Time first_event_at_{};
  Time last_event_at_{};
  Duration longest_gap_{0};  // Between events that the caller got.
  bool finished_ = false;
};

}  // namespace burdockhatch

#endif  // SRC_FORWARD_REQUEST_H_
