#include "src/forward_request.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "src/caller_api.h"
#include "src/crash_blame.h"
#include "src/errors.h"
#include "src/exception_guard.h"
#include "src/log.h"

namespace burdockhatch {

namespace {

// Failed connections allowed per request. None of them reaches a target.
constexpr uint32_t kMaxFailedConnects = 4;
// Retries allowed per request after targets that did not execute it. After a
// power loss many addresses belong to other targets until the target list
// catches up.
constexpr uint32_t kMaxRejectedSends = 6;
// The first of these retries start at once, later ones after a delay that
// doubles each time.
constexpr uint32_t kImmediateRejectionRetries = 2;
constexpr Duration kRejectionRetryDelay = std::chrono::milliseconds(40);
// How long a request may wait for an available target before it is rejected.
constexpr Duration kMaxTargetWait = std::chrono::milliseconds(1'000);
// Longest delay after which a caller is told to come back because all targets
// want no request.
constexpr Duration kMaxReturnDelay = std::chrono::seconds(5);
// Minimum time left for a retry to be useful.
constexpr Duration kMinTimeForRetry = std::chrono::milliseconds(40);
// A repeatable request on a route without streaming is retried at another
// target after this fraction of the route's latency target.
constexpr double kResponseTimeoutFraction = 0.7;
// The first event of an engine times out after this multiple of its estimate,
// plus an allowance for one engine pass and one lost packet.
constexpr int kFirstEventTimeoutFactor = 3;
constexpr Duration kFirstEventAllowance = std::chrono::milliseconds(500);
// A target is considered dead when no event arrives for this multiple of the
// gap target.
constexpr int kGapTimeoutFactor = 3;
constexpr Duration kMinGapTimeout = std::chrono::milliseconds(600);
// Interval at which a silent attempt that cannot be retried yet is checked.
constexpr Duration kSilenceRecheckInterval = std::chrono::milliseconds(300);
// Interval at which a request looks for an available target again.
constexpr Duration kTargetRetryInterval = std::chrono::milliseconds(25);
// Engine memory that was not free may become free after one or two passes.
constexpr Duration kReservationRetryDelay = std::chrono::milliseconds(100);
// Duration of an engine pass that also prefills other prompts.
constexpr Duration kSlowPassDuration = std::chrono::milliseconds(90);
// Retry-After of a 503 response: this minimum plus random jitter, so that
// callers rejected together do not retry together.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(150);
constexpr int64_t kRetryAfterSpreadMs = 350;

bool IsSuccess(uint32_t status) {
  return status >= 200 && status < 300;
}

// Parts of a prompt that a log line names.
constexpr size_t kMaxLoggedParts = 8;

std::string FormatParts(const std::vector<std::string>& parts) {
  const size_t n = std::min(parts.size(), kMaxLoggedParts);
  return fmt::format("{}", fmt::join(parts.begin(), parts.begin() + n, ","));
}

std::string FormatMs(Duration duration) {
  return fmt::format("{:.1f}", static_cast<double>(duration.count()) / 1e3);
}

}  // namespace

ForwardRequest::ForwardRequest(ForwardContext* context,
                               std::shared_ptr<CallerExchange> exchange,
                               ReceivedRequest request)
    : context_(context),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      caller_fields_(context->protocol->ParseCallerFields(request_.headers)),
      config_(context->config),
      received_at_(context->timers->Now()) {}

template <class Step>
void ForwardRequest::Guard(Step&& step) {
  if (RunGuarded("request", std::forward<Step>(step)) || finished_) {
    return;
  }
  Log(LogLevel::kError, "request_failed_by_exception",
      {{"request", caller_fields_.attempt_id}});
  may_have_executed_ = may_have_executed_ || forward_call_ != nullptr;
  CloseAttempt(PlacementEvent::kEnded, CallOutcome::kFailed);
  FinishWithFailure("internal_error");
}

void ForwardRequest::Start() {
  Guard([this] { Admit(); });
}

void ForwardRequest::Admit() {
  if (!ResolveRoute()) {
    return;
  }
  context_->retry_budget.OnRequest(service_, received_at_);
  events_.set_last_id(caller_fields_.last_event_id);
  exchange_->SetDisconnectHandler([self = shared_from_this()] {
    self->Guard([&] { self->OnCallerGone(); });
  });
  const Duration time_left = std::min(
      caller_fields_.time_left.value_or(route_->timeout), route_->timeout);
  deadline_ = received_at_ + time_left;
  deadline_timer_ =
      context_->timers->Schedule(time_left, [self = shared_from_this()] {
        self->Guard([&] { self->OnDeadline(); });
      });
  StartNextAttempt();
}

// --- Admission --------------------------------------------------------------

bool ForwardRequest::ResolveRoute() {
  if (!config_) {
    Reject(503, "no_configuration");
    return false;
  }
  route_ = FindRoute(*config_, request_.host, request_.path);
  if (route_ == nullptr) {
    Reject(404, "no_route");
    return false;
  }
  if (config_->keys_required && !route_->allows_anonymous) {
    const auto owner = config_->keys.find(caller_fields_.key);
    if (owner == config_->keys.end()) {
      Reject(401, "unknown_key");
      return false;
    }
    account_ = owner->second.account;
    account_regions_ = owner->second.regions;
  }
  service_ = ChooseService(*route_, context_->random.UniformReal());
  const auto pool = config_->services.find(service_);
  pool_ = pool == config_->services.end() ? nullptr : &pool->second;
  if (context_->stop_deadline && received_at_ >= context_->accepts_all_until &&
      !CanFinishBeforeStop()) {
    Reject(503, "stopping");
    return false;
  }
  return true;
}

bool ForwardRequest::CanFinishBeforeStop() const {
  Duration longest = route_->timeout;
  if (pool_ != nullptr && pool_->engine) {
    const int64_t passes = caller_fields_.max_output.value() /
                           std::max<int64_t>(pool_->engine->steps_per_pass, 1);
    const auto read_ms =
        static_cast<int64_t>(PrefillMs(*pool_->engine, caller_fields_.prompt));
    longest =
        kSlowPassDuration * (passes + 2) + std::chrono::milliseconds(read_ms);
  }
  longest = std::min({longest, route_->timeout,
                      caller_fields_.time_left.value_or(route_->timeout)});
  return received_at_ + longest < *context_->stop_deadline;
}

void ForwardRequest::Reject(uint32_t status, std::string_view reason) {
  HeaderList headers = context_->protocol->EntryResponseHeaders(caller_fields_);
  if (status == 503) {
    headers.push_back({"Retry-After", "0.3"});
  }
  exchange_->SendResponse(status, headers, "");
  Finish(status, reason);
}

// --- Attempts ---------------------------------------------------------------

Duration ForwardRequest::TimeLeft() const {
  return deadline_ - context_->timers->Now();
}

void ForwardRequest::StartNextAttempt() {
  if (finished_) {
    return;
  }
  if (pool_ != nullptr && pool_->engine) {
    RequestPlacement();
  } else {
    BalanceAndSend();
  }
}

void ForwardRequest::RequestPlacement() {
  const Time now = context_->timers->Now();
  PlacementAsk ask;
  ask.service = service_;
  ask.prompt = caller_fields_.prompt;
  ask.output =
      caller_fields_.expected_output.value_or(caller_fields_.max_output);
  ask.first_event_left = received_at_ + route_->latency_target - now;
  ask.gap_target = route_->gap_target;
  ask.time_left = std::max(deadline_ - now, Duration(0));
  ask.excluded = excluded_targets_;
  ask.parts = MakePartKeys();
  ask.number = context_->placement->NextNumber();
  placement_number_ = ask.number;
  context_->placement->RequestPlacement(
      std::move(ask),
      [self = shared_from_this()](const PlacementReply& reply) {
        self->Guard([&] { self->OnPlacementReply(reply); });
      },
      now);
}

void ForwardRequest::OnPlacementReply(const PlacementReply& reply) {
  if (finished_) {
    return;
  }
  const Time now = context_->timers->Now();
  if (reply.verdict == PlacementVerdict::kRefused) {
    placement_number_.reset();
    retry_after_ = reply.retry_after;
    FinishWithFailure("refused_by_placement");
    return;
  }
  if (reply.verdict == PlacementVerdict::kBlocked) {
    placement_number_.reset();
    FinishAsBlocked(reply.retry_after);
    return;
  }
  const FleetDirectory::KnownTarget* entry =
      context_->directory.Find(reply.target);
  if (entry == nullptr || !context_->directory.IsUsable(*entry, now) ||
      IsShut(*entry)) {
    // The placing agent knows less of the target than the entry does.
    excluded_targets_.push_back(reply.target);
    context_->placement->ReportEvent(reply.number, PlacementEvent::kEnded,
                                     TargetId(), now);
    placement_number_.reset();
    retry_timer_ =
        context_->timers->Schedule(Duration(0), [self = shared_from_this()] {
          self->Guard([&] { self->StartNextAttempt(); });
        });
    return;
  }
  std::vector<ForwardHelper> helpers;
  for (const TargetId& it : reply.helpers) {
    const FleetDirectory::KnownTarget* helper = context_->directory.Find(it);
    if (helper != nullptr && context_->directory.IsUsable(*helper, now) &&
        !IsShut(*helper)) {
      helpers.push_back({helper->record.address, ""});
    }
  }
  expected_first_event_delay_ = reply.expected_first_event;
  if (reply.holds.empty()) {
    SendToTarget(*entry, std::move(helpers));
  } else {
    ReserveAndSend(*entry, std::move(helpers), reply.holds);
  }
}

// Reserves the memory that helpers provide for an oversize prompt before the
// prompt is sent.
void ForwardRequest::ReserveAndSend(const FleetDirectory::KnownTarget& entry,
                                    std::vector<ForwardHelper> helpers,
                                    const std::vector<MemoryHold>& holds) {
  std::vector<Reservation> wanted;
  for (const MemoryHold& it : holds) {
    const FleetDirectory::KnownTarget* holder =
        context_->directory.Find(it.target);
    const std::string address = holder == nullptr ? "" : holder->record.address;
    const auto helper = std::find_if(
        helpers.begin(), helpers.end(),
        [&](const ForwardHelper& each) { return each.address == address; });
    if (helper != helpers.end()) {
      // The id is unique per send, so that no other attempt can use the memory.
      helper->reservation = fmt::format("{}-{}-{}", caller_fields_.attempt_id,
                                        send_count_, wanted.size());
      wanted.push_back({address, helper->reservation, it.tokens});
    }
  }
  const TargetId target = entry.record.target;
  reservations_ = std::make_unique<ReservationSet>(
      context_->engine_memory, context_->timers, std::move(wanted));
  reservations_->Start([self = shared_from_this(), target,
                        helpers = std::move(helpers)](bool reserved) mutable {
    if (self->finished_) {
      return;
    }
    const FleetDirectory::KnownTarget* found =
        self->context_->directory.Find(target);
    if (reserved && found != nullptr && !self->IsShut(*found)) {
      self->SendToTarget(*found, std::move(helpers));
      return;
    }
    Log(LogLevel::kWarning, "reservation_failed",
        {{"request", self->caller_fields_.attempt_id},
         {"target", target.value()}});
    self->CloseAttempt(PlacementEvent::kEnded, CallOutcome::kCallerGone);
    self->retry_timer_ = self->context_->timers->Schedule(
        kReservationRetryDelay, [self] { self->StartNextAttempt(); });
  });
}

bool ForwardRequest::IsShut(const FleetDirectory::KnownTarget& entry) const {
  return context_->placement->signals().IsShut(
      entry.record.target, entry.record.started_at, context_->timers->Now());
}

void ForwardRequest::SetWaitsForTarget(bool waits) {
  if (std::exchange(waits_for_target_, waits) != waits) {
    context_->waiting_for_target[service_] += waits ? 1 : -1;
  }
}

void ForwardRequest::BalanceAndSend() {
  SetWaitsForTarget(false);
  const Time now = context_->timers->Now();
  std::vector<const FleetDirectory::KnownTarget*> usable =
      context_->directory.UsableTargets(service_, now);
  const auto allowed = [&](const std::vector<RegionId>& regions,
                           const DataCentreId& data_centre) {
    const auto region = context_->regions.find(data_centre);
    return regions.empty() || (region != context_->regions.end() &&
                               std::find(regions.begin(), regions.end(),
                                         region->second) != regions.end());
  };
  std::erase_if(usable, [&](const FleetDirectory::KnownTarget* it) {
    return !allowed(route_->regions, it->record.data_centre) ||
           !allowed(account_regions_, it->record.data_centre);
  });
  ServiceBalancer::ChoiceParams request;
  request.entry_data_centre = context_->data_centre;
  request.excluded_targets = excluded_targets_;
  request.cold_requests_per_s =
      pool_ == nullptr ? 0 : pool_->cold_requests_per_s;
  request.entry_count = context_->placement->reported_entry_count();
  request.signals = &context_->placement->signals();
  const std::optional<TargetId> target =
      context_->balancer.BeginCall(usable, request, now);
  if (target) {
    SendToTarget(*context_->directory.Find(*target), {});
    return;
  }
  // Only a request that has not executed waits, and only if a usable target
  // exists; otherwise the caller gets an error immediately.
  if (usable.empty() || may_have_executed_ ||
      TimeLeft() < 2 * kTargetRetryInterval ||
      now - received_at_ > kMaxTargetWait) {
    FinishWithFailure("no_target");
    return;
  }
  request.excluded_targets.clear();
  const size_t ahead = context_->waiting_for_target[service_];
  if (const std::optional<ShutTargets> shut =
          context_->balancer.FindShutTargets(usable, request, now)) {
    const Time open_at = shut->OpenAt(ahead);
    if (open_at > std::min(received_at_ + kMaxTargetWait, deadline_)) {
      retry_after_ = std::min(open_at, now + kMaxReturnDelay) - now;
      FinishWithFailure("targets_shut");
      return;
    }
  }
  SetWaitsForTarget(true);
  // Excluded targets may be back in the target list by the next try.
  retry_timer_ = context_->timers->Schedule(
      kTargetRetryInterval, [self = shared_from_this()] {
        self->excluded_targets_.clear();
        self->Guard([&] { self->StartNextAttempt(); });
      });
}

void ForwardRequest::SendToTarget(const FleetDirectory::KnownTarget& entry,
                                  std::vector<ForwardHelper> helpers) {
  const Time now = context_->timers->Now();
  if (now >= deadline_) {
    // The process was paused, and the deadline timer runs later in this turn.
    if (!placement_number_) {
      context_->balancer.EndCall(entry.record.target, CallOutcome::kCallerGone,
                                 Duration(0), now);
    }
    OnDeadline();
    return;
  }
  target_ = entry.record.target;
  target_started_at_ = entry.record.started_at;
  helpers_ = helpers;
  sent_at_ = now;
  response_status_ = 0;
  response_headers_.clear();
  DropBufferedBodies();
  is_streaming_ = false;
  attempt_has_events_ = false;
  ++attempt_count_;
  ++send_count_;

  ForwardFields fields;
  fields.target = target_;
  fields.time_left = TimeLeft();
  fields.account = account_;
  fields.helpers = std::move(helpers);
  fields.last_event_id = events_.last_id();
  ForwardCallSpec spec;
  spec.address = entry.record.address;
  spec.method = request_.method;
  spec.path = request_.path;
  spec.headers = context_->protocol->BuildForwardHeaders(
      EndToEndHeaders(request_.headers), fields);
  spec.body = request_.body;

  const auto self = shared_from_this();
  ForwardCallHandlers handlers;
  handlers.on_head = [self](uint32_t status, HeaderList headers) {
    self->Guard([&] { self->OnResponseHead(status, std::move(headers)); });
  };
  handlers.on_body = [self](std::string_view data) {
    self->Guard([&] { self->OnResponseBody(data); });
  };
  handlers.on_end = [self](ForwardCallResult result) {
    self->Guard([&] { self->OnCallEnd(result); });
  };
  StartSilenceTimer(FirstResponseTimeout());
  forward_call_ =
      context_->connector->Start(std::move(spec), std::move(handlers));
}

Duration ForwardRequest::FirstResponseTimeout() const {
  if (route_->is_streaming) {
    return expected_first_event_delay_ * kFirstEventTimeoutFactor +
           kFirstEventAllowance;
  }
  const auto target = static_cast<double>(route_->latency_target.count());
  return Duration(static_cast<int64_t>(target * kResponseTimeoutFraction));
}

void ForwardRequest::StartSilenceTimer(Duration timeout) {
  silence_timer_.reset();
  if (route_->repeatable) {
    silence_timer_ =
        context_->timers->Schedule(timeout, [self = shared_from_this()] {
          self->Guard([&] { self->OnSilenceTimeout(); });
        });
  }
}

void ForwardRequest::OnSilenceTimeout() {
  if (finished_ || !forward_call_ || attempt_count_ >= route_->max_attempts ||
      TimeLeft() < kMinTimeForRetry) {
    return;
  }
  // The target may be slow and sound: without a retry its answer is awaited
  // until the deadline.
  if (!AllowRetry(AttemptFailure::kTimedOut)) {
    StartSilenceTimer(kSilenceRecheckInterval);
    return;
  }
  FailAttempt(AttemptFailure::kTimedOut);
}

void ForwardRequest::OnResponseHead(uint32_t status, HeaderList headers) {
  response_status_ = status;
  response_fields_ = context_->protocol->ParseTargetFields(status, headers);
  response_headers_ = EndToEndHeaders(headers);
  RecordSignals();
  ends_with_connection_ = FindHeader(headers, "Content-Length") == nullptr &&
                          FindHeader(headers, "Transfer-Encoding") == nullptr;
  // A response to another request is not forwarded, and its refusal says
  // nothing about this one.
  if (IsForOtherAttempt()) {
    response_fields_.not_executed = false;
    FailAttempt(AttemptFailure::kInvalid);
    return;
  }
  if (response_fields_.not_executed) {
    return;
  }
  if (!IsSuccess(status)) {
    // Nothing but events may follow those that the caller has.
    if (stream_started_) {
      FailAttempt(AttemptFailure::kErrorResponse);
    }
    return;
  }
  if (!response_fields_.is_signed || !ContinuesStream(headers)) {
    FailAttempt(AttemptFailure::kInvalid);
    return;
  }
  is_streaming_ = route_->is_streaming;
}

bool ForwardRequest::IsForOtherAttempt() const {
  return !response_fields_.attempt_id.empty() &&
         response_fields_.attempt_id != caller_fields_.attempt_id;
}

bool ForwardRequest::ContinuesStream(const HeaderList& headers) const {
  const std::string* type = FindHeader(headers, "Content-Type");
  return !stream_started_ ||
         (response_status_ == stream_status_ &&
          (type == nullptr ? "" : *type) == stream_content_type_);
}

// A response to another attempt may be old.
void ForwardRequest::RecordSignals() {
  if (IsForOtherAttempt()) {
    return;
  }
  context_->placement->OnResponse(
      target_, target_started_at_, response_fields_.signals,
      response_fields_.is_signed, sent_at_, context_->timers->Now());
}

void ForwardRequest::OnResponseBody(std::string_view data) {
  if (is_streaming_) {
    ForwardEvents(data);
    return;
  }
  if (ExceedsResponseLimits(data.size())) {
    FailAttempt(AttemptFailure::kTooLarge);
    return;
  }
  response_body_.append(data);
  buffered_bytes_ += data.size();
  context_->buffered_response_bytes += data.size();
}

bool ForwardRequest::ExceedsResponseLimits(size_t more) const {
  const ResponseLimits& limits = context_->response_limits;
  return response_body_.size() + more >
             static_cast<size_t>(limits.max_response.value()) ||
         context_->buffered_response_bytes + more >
             static_cast<size_t>(limits.max_buffered_responses.value());
}

// The last error response stays, as it may be the final one.
void ForwardRequest::DropBufferedBodies() {
  response_body_ = std::string();
  const size_t kept = error_response_ ? error_response_->body.size() : 0;
  context_->buffered_response_bytes -= buffered_bytes_ - kept;
  buffered_bytes_ = kept;
}

void ForwardRequest::ForwardEvents(std::string_view data) {
  std::string complete_events = events_.Feed(data);
  if (events_.is_invalid()) {
    FailAttempt(AttemptFailure::kInvalid);
    return;
  }
  if (complete_events.empty()) {
    return;
  }
  const bool is_first_of_attempt = !std::exchange(attempt_has_events_, true);
  if (!stream_started_) {
    stream_started_ = true;
    stream_status_ = response_status_;
    const std::string* type = FindHeader(response_headers_, "Content-Type");
    stream_content_type_ = type == nullptr ? "" : *type;
    first_event_at_ = context_->timers->Now();
    exchange_->StartStream(response_status_, response_headers_);
  }
  if (placement_number_ && is_first_of_attempt) {
    context_->placement->ReportEvent(*placement_number_,
                                     PlacementEvent::kFirstEvent, TargetId(),
                                     context_->timers->Now());
  }
  const Time now = context_->timers->Now();
  if (last_event_at_ != Time()) {
    longest_gap_ = std::max(longest_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
  StartSilenceTimer(GapTimeout());
  exchange_->Write(std::move(complete_events));
  PauseWhileCongested();
}

void ForwardRequest::PauseWhileCongested() {
  if (!exchange_->IsCongested() || !forward_call_) {
    return;
  }
  forward_call_->PauseReading();
  silence_timer_.reset();
  exchange_->SetDrainedHandler([self = shared_from_this()] {
    self->Guard([&] {
      if (!self->finished_ && self->forward_call_) {
        self->StartSilenceTimer(self->GapTimeout());
        self->forward_call_->ResumeReading();
      }
    });
  });
}

Duration ForwardRequest::GapTimeout() const {
  return std::max(route_->gap_target * kGapTimeoutFactor, kMinGapTimeout);
}

void ForwardRequest::OnCallEnd(ForwardCallResult result) {
  if (result == ForwardCallResult::kNotSent) {
    FailAttempt(AttemptFailure::kNotSent);
    return;
  }
  if (result == ForwardCallResult::kBroken) {
    FailAttempt(AttemptFailure::kBroken);
    return;
  }
  if (response_fields_.not_executed) {
    FailAttempt(AttemptFailure::kNotExecuted);
    return;
  }
  if (is_streaming_) {
    if (!IsStreamComplete()) {
      FailAttempt(AttemptFailure::kBroken);
      return;
    }
    CloseAttempt(PlacementEvent::kEnded, CallOutcome::kAnswered);
    exchange_->Write(events_.TakeHeldEvents());
    exchange_->EndStream();
    Finish(200, "streamed");
    return;
  }
  if (response_status_ >= 500) {
    FailAttempt(AttemptFailure::kErrorResponse);
    return;
  }
  SendBufferedResponse();
}

// A connection that ends before the first event of a resumed stream says
// nothing about the rest, unless the framing marks the end of the response.
bool ForwardRequest::IsStreamComplete() const {
  return stream_started_ && !events_.has_partial_event() &&
         (attempt_has_events_ || !ends_with_connection_);
}

void ForwardRequest::SendBufferedResponse() {
  CloseAttempt(PlacementEvent::kEnded, CallOutcome::kAnswered);
  exchange_->SendResponse(response_status_, response_headers_, response_body_);
  Finish(response_status_, "answered");
}

std::string_view ForwardRequest::ToString(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "not_sent";
    case AttemptFailure::kNotExecuted:
      return "not_run";
    case AttemptFailure::kBroken:
      return "broken";
    case AttemptFailure::kInvalid:
      return "invalid";
    case AttemptFailure::kTimedOut:
      return "silent";
    case AttemptFailure::kErrorResponse:
      return "failed_answer";
    case AttemptFailure::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

std::string_view ForwardRequest::AttemptProgress() const {
  if (attempt_has_events_) {
    return "events";
  }
  return IsSuccess(response_status_) ? "head" : "none";
}

TargetId ForwardRequest::FindFailedTarget(AttemptFailure failure) const {
  if (failure != AttemptFailure::kNotExecuted ||
      response_fields_.failed_helper.empty()) {
    return target_;
  }
  for (const auto& [id, entry] : context_->directory.targets()) {
    if (entry.record.address == response_fields_.failed_helper) {
      return id;
    }
  }
  return target_;
}

void ForwardRequest::FailAttempt(AttemptFailure failure) {
  const Time now = context_->timers->Now();
  Log(LogLevel::kWarning, "attempt_failed",
      {{"request", caller_fields_.attempt_id},
       {"target", target_.value()},
       {"why", std::string(ToString(failure))},
       {"status", std::to_string(response_status_)},
       {"after_ms", FormatMs(now - sent_at_)},
       {"helpers", std::to_string(helpers_.size())},
       {"last_event",
        events_.last_id() ? std::to_string(*events_.last_id()) : "none"},
       {"progress", std::string(AttemptProgress())},
       {"parts", FormatParts(caller_fields_.shared_parts)}});
  context_->metrics->IncrementCounter(
      "burdockhatch_attempt_failures_total",
      fmt::format("why=\"{}\",progress=\"{}\"", ToString(failure),
                  AttemptProgress()));
  if (failure == AttemptFailure::kNotExecuted &&
      response_fields_.is_wrong_target) {
    context_->directory.MarkReplaced(target_);
  }
  if (failure == AttemptFailure::kErrorResponse && response_fields_.is_signed &&
      (route_->repeatable ||
       (response_status_ != 503 && response_status_ != 429))) {
    error_response_ = ErrorResponse{response_status_, response_headers_,
                                    std::exchange(response_body_, {})};
  }
  const bool not_sent = failure == AttemptFailure::kNotSent;
  const bool not_executed = failure == AttemptFailure::kNotExecuted;
  may_have_executed_ = may_have_executed_ || (!not_sent && !not_executed);
  attempt_count_ -= not_sent || not_executed ? 1 : 0;
  failed_connection_count_ += not_sent ? 1 : 0;
  const TargetId failed = FindFailedTarget(failure);
  const bool is_fault = failure != AttemptFailure::kErrorResponse;
  const std::optional<uint64_t> placement =
      std::exchange(placement_number_, {});
  silence_timer_.reset();
  if (forward_call_) {
    std::exchange(forward_call_, nullptr)->Stop();
  }
  reservations_.reset();
  events_.DropPartialEvent();
  if (placement) {
    context_->placement->ReportEvent(*placement, FailureEvent(failure),
                                     is_fault ? failed : TargetId(), now);
  } else {
    context_->balancer.EndCall(target_,
                               not_executed ? CallOutcome::kRejected
                               : is_fault   ? CallOutcome::kFailed
                                            : CallOutcome::kAnswered,
                               now - sent_at_, now);
  }
  excluded_targets_.push_back(failed);
  if (excluded_targets_.size() >= static_cast<size_t>(kMaxExcludedTargets)) {
    excluded_targets_.erase(excluded_targets_.begin());
  }
  // OnSilenceTimeout has taken the retry already.
  if (failure != AttemptFailure::kTimedOut && !AllowRetry(failure)) {
    FinishWithFailure("no_further_attempt");
    return;
  }
  const uint32_t rejected = RejectedSends();
  if (!not_executed || rejected <= kImmediateRejectionRetries) {
    StartNextAttempt();
    return;
  }
  retry_timer_ = context_->timers->Schedule(
      kRejectionRetryDelay * (1 << (rejected - kImmediateRejectionRetries - 1)),
      [self = shared_from_this()] {
        self->Guard([&] { self->StartNextAttempt(); });
      });
}

PlacementEvent ForwardRequest::FailureEvent(AttemptFailure failure) const {
  if (failure == AttemptFailure::kErrorResponse) {
    return PlacementEvent::kEnded;
  }
  if (failure == AttemptFailure::kNotExecuted &&
      response_fields_.is_wrong_target) {
    return PlacementEvent::kTargetReplaced;
  }
  if (failure == AttemptFailure::kNotExecuted) {
    return PlacementEvent::kTargetRefused;
  }
  if (failure != AttemptFailure::kBroken) {
    return PlacementEvent::kTargetFailed;
  }
  if (attempt_has_events_) {
    return PlacementEvent::kBrokenAfterStart;
  }
  return IsSuccess(response_status_) ? PlacementEvent::kBrokenAtStart
                                     : PlacementEvent::kBrokenUnanswered;
}

PartKeys ForwardRequest::MakePartKeys() const {
  PartKeys keys;
  for (const std::string& it : caller_fields_.shared_parts) {
    keys.push_back(MakePartKey(caller_fields_.model, it));
  }
  return keys;
}

uint32_t ForwardRequest::RejectedSends() const {
  return send_count_ - failed_connection_count_ - attempt_count_;
}

bool ForwardRequest::AllowRetry(AttemptFailure failure) {
  const Time now = context_->timers->Now();
  if (TimeLeft() < kMinTimeForRetry) {
    return false;
  }
  if (failure == AttemptFailure::kNotSent) {
    return failed_connection_count_ < kMaxFailedConnects;
  }
  const uint32_t rejected =
      send_count_ - failed_connection_count_ - attempt_count_;
  const bool allowed = failure == AttemptFailure::kNotExecuted
                           ? rejected <= kMaxRejectedSends
                           : route_->repeatable;
  return allowed && attempt_count_ < route_->max_attempts &&
         context_->retry_budget.TryTakeRetry(
             service_, context_->placement->entry_count(), now);
}

void ForwardRequest::CloseAttempt(PlacementEvent event, CallOutcome outcome) {
  const Time now = context_->timers->Now();
  silence_timer_.reset();
  if (placement_number_) {
    context_->placement->ReportEvent(*std::exchange(placement_number_, {}),
                                     event, TargetId(), now);
  } else if (forward_call_) {
    context_->balancer.EndCall(target_, outcome, now - sent_at_, now);
  }
  if (forward_call_) {
    std::exchange(forward_call_, nullptr)->Stop();
  }
  reservations_.reset();
}

// --- Completion -------------------------------------------------------------

void ForwardRequest::OnCallerGone() {
  if (finished_) {
    return;
  }
  CloseAttempt(PlacementEvent::kEnded, CallOutcome::kCallerGone);
  Finish(0, "caller_gone");
}

void ForwardRequest::OnDeadline() {
  if (finished_) {
    return;
  }
  may_have_executed_ = may_have_executed_ || forward_call_ != nullptr;
  CloseAttempt(PlacementEvent::kEnded, CallOutcome::kFailed);
  FinishWithFailure("deadline");
}

void ForwardRequest::FinishAsBlocked(Duration blocked_left) {
  retry_after_ = blocked_left;
  const Failure failure{
      ErrorCode::kPartBlocked,
      may_have_executed_ ? Outcome::kUnknown : Outcome::kNotRun, blocked_left};
  FinishWithFailure("part_blocked",
                    ErrorResponseBody(failure, ErrorMessageFor(failure.code)));
}

void ForwardRequest::FinishWithFailure(std::string_view reason,
                                       std::string body) {
  if (stream_started_) {
    exchange_->Abort();
    Finish(0, reason);
    return;
  }
  if (error_response_) {
    exchange_->SendResponse(error_response_->status, error_response_->headers,
                            error_response_->body);
    Finish(error_response_->status, reason);
    return;
  }
  uint32_t status = 503;
  if (may_have_executed_) {
    status = TimeLeft() <= Duration(0) ? 504 : 502;
  }
  HeaderList headers = context_->protocol->EntryResponseHeaders(caller_fields_);
  if (status == 503) {
    const auto spread = static_cast<int64_t>(context_->random.UniformBelow(
        static_cast<uint64_t>(kRetryAfterSpreadMs)));
    const Duration wait = std::max(kMinRetryAfter, retry_after_) +
                          std::chrono::milliseconds(spread);
    headers.push_back(
        {"Retry-After",
         fmt::format("{:.2f}", static_cast<double>(wait.count()) / 1e6)});
  }
  if (!body.empty()) {
    headers.push_back({"Content-Type", "application/json"});
  }
  exchange_->SendResponse(status, headers, body);
  Finish(status, reason);
}

void ForwardRequest::Finish(uint32_t status, std::string_view outcome) {
  if (finished_) {
    return;
  }
  finished_ = true;
  SetWaitsForTarget(false);
  error_response_.reset();
  DropBufferedBodies();
  deadline_timer_.reset();
  silence_timer_.reset();
  retry_timer_.reset();
  const Time now = context_->timers->Now();
  const Duration first =
      stream_started_ ? first_event_at_ - received_at_ : now - received_at_;
  Log(LogLevel::kInfo, "request_finished",
      {{"request", caller_fields_.attempt_id},
       {"route", route_ == nullptr ? "" : route_->name},
       {"account", account_.value()},
       {"config", config_ ? std::to_string(config_->version) : "none"},
       {"target", target_.value()},
       {"prompt", std::to_string(caller_fields_.prompt.value())},
       {"parts", FormatParts(caller_fields_.shared_parts)},
       {"sends", std::to_string(send_count_)},
       {"helpers", std::to_string(helpers_.size())},
       {"waited_ms", FormatMs(send_count_ > 0 ? sent_at_ - received_at_
                                              : now - received_at_)},
       {"expected_ms", FormatMs(expected_first_event_delay_)},
       {"first_ms", FormatMs(first)},
       {"gap_ms", FormatMs(longest_gap_)},
       {"took_ms", FormatMs(now - received_at_)},
       {"status", std::to_string(status)},
       {"outcome", std::string(outcome)}});
  const std::string labels = fmt::format("outcome=\"{}\"", outcome);
  context_->metrics->IncrementCounter("burdockhatch_forwarded_total", labels);
  if (route_ != nullptr) {
    context_->metrics->ObserveDuration(
        "burdockhatch_first_byte_seconds",
        fmt::format("service=\"{}\"", service_.value()), first);
  }
}

}  // namespace burdockhatch
