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
// Part of the time left for which a request waits for the first configuration.
// The rest lets the caller try again at another entry.
constexpr int kStartupWaitDivisor = 4;
// Time left of a request that states none, before its route is known.
constexpr Duration kUnknownTimeLeft = std::chrono::seconds(4);
// Least delay of the next try of a caller that has waited for the first lists
// in vain: the store is away for longer than a moment.
constexpr Duration kStartupRetryAfter = std::chrono::seconds(1);
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
// Another target is tried when no event arrives for this multiple of the gap
// target.
constexpr int kGapTimeoutFactor = 3;
constexpr Duration kMinGapTimeout = std::chrono::milliseconds(600);
// Interval at which a silent attempt that cannot be retried yet is checked.
constexpr Duration kSilenceRecheckInterval = std::chrono::milliseconds(300);
// Interval at which a request that waits for a silent target asks again for
// another one after none could take it. Each ask takes from the retry budget.
constexpr Duration kRefusedRecheckInterval = std::chrono::milliseconds(1'000);
// Interval at which a request looks for an available target again.
constexpr Duration kTargetRetryInterval = std::chrono::milliseconds(25);
// While a more urgent request waits for a target of the service, a request
// takes a free one only each fourth time that it looks: it yields, and is not
// starved.
constexpr uint32_t kTriesPerTurn = 4;
// Engine memory that was not free may become free after one or two passes.
constexpr Duration kReservationRetryDelay = std::chrono::milliseconds(100);
// Retry-After of a 503 response: this minimum plus random jitter, so that
// callers rejected together do not retry together.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(150);
constexpr int64_t kRetryAfterSpreadMs = 350;

// Retry-After, in seconds, of a request that is rejected before any target.
constexpr std::string_view kRejectionRetryAfter = "0.3";

// Parts of a prompt that a log line names.
constexpr size_t kMaxLoggedParts = 8;

std::string FormatParts(const std::vector<std::string>& parts) {
  const size_t n = std::min(parts.size(), kMaxLoggedParts);
  return fmt::format("{}", fmt::join(parts.begin(), parts.begin() + n, ","));
}

std::string FormatMark(PartKey mark) {
  return mark == PartKey() ? "" : FormatKeys({mark});
}

// Whether callers take the status as a promise that the request has not run.
bool PromisesNoExecution(uint32_t status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view PriorityResult(uint32_t status) {
  if (status == 503) {
    return "refused";
  }
  return IsSuccessStatus(status) ? "served" : "failed";
}

std::string FormatMs(Duration duration) {
  return fmt::format("{:.1f}", static_cast<double>(duration.count()) / 1e3);
}

// Returns the open request with the attempt that holds the most of a response;
// null if none holds any.
std::shared_ptr<ForwardRequest> FindLargestRequest(
    const ForwardContext& context) {
  std::shared_ptr<ForwardRequest> largest;
  size_t most = 0;
  for (const auto& [key, weak] : context.open_requests) {
    std::shared_ptr<ForwardRequest> request = weak.lock();
    const size_t held = request ? request->LargestHeldBytes() : 0;
    if (held > most) {
      most = held;
      largest = std::move(request);
    }
  }
  return largest;
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
  may_have_executed_ = may_have_executed_ || HasCall();
  RunGuarded("request_failure", [this] {
    Log(LogLevel::kError, "request_failed_by_exception",
        {{"request", caller_fields_.attempt_id}});
    EndAllAttempts(CallOutcome::kFailed);
    FinishWithFailure("internal_error");
  });
  if (!finished_) {
    exchange_->Abort();
    RunGuarded("request_failure", [this] { Finish(0, "internal_error"); });
  }
}

void ForwardRequest::Start() {
  Guard([this] { Admit(); });
}

void ForwardRequest::Admit() {
  if (WaitForFirstLists() || !ResolveRoute()) {
    return;
  }
  Open();
  context_->retry_budget.OnRequest(service_, received_at_);
  last_event_id_ = caller_fields_.last_event_id;
  deadline_timer_ = context_->timers->Schedule(
      deadline_ - received_at_, [self = shared_from_this()] {
        self->Guard([&] { self->OnDeadline(); });
      });
  StartNextAttempt();
}

void ForwardRequest::Open() {
  context_->open_requests[this] = weak_from_this();
  exchange_->SetDisconnectHandler([self = shared_from_this()] {
    self->Guard([&] { self->OnCallerGone(); });
  });
  exchange_->SetShedHandler(
      [self = shared_from_this()] { return self->Shed(); });
}

// --- Changes of the lists ---------------------------------------------------

bool ForwardRequest::WaitForFirstLists() {
  const Duration max_wait = context_->max_startup_wait;
  if (max_wait == Duration(0) || (config_ && context_->has_target_list)) {
    return false;
  }
  const Duration time_left =
      caller_fields_.time_left.value_or(kUnknownTimeLeft);
  deadline_ = received_at_ + time_left;
  if (IsTooLateToSend()) {
    return false;
  }
  Open();
  retry_after_ = kStartupRetryAfter;
  AwaitLists(std::min(max_wait, time_left / kStartupWaitDivisor),
             config_ ? "no_targets_yet" : "no_configuration");
  return true;
}

void ForwardRequest::AwaitLists(Duration time, std::string_view reason) {
  context_->awaiting_lists[this] = weak_from_this();
  context_->metrics->IncrementCounter("burdockhatch_list_waits_total",
                                      fmt::format("reason=\"{}\"", reason));
  lists_timer_ = context_->timers->Schedule(
      time, [self = shared_from_this(), reason = std::string(reason)] {
        self->Guard([&] {
          if (!self->finished_) {
            self->context_->awaiting_lists.erase(self.get());
            self->FinishWithFailure(reason);
          }
        });
      });
}

void ForwardRequest::OnListsChanged() {
  Guard([this] {
    if (finished_ || !lists_timer_) {
      return;
    }
    if (route_ != nullptr) {
      // The request waits for another target than those it was sent to.
      if (TakeRetry()) {
        context_->awaiting_lists.erase(this);
        lists_timer_.reset();
        StartNextAttempt();
      }
      return;
    }
    config_ = context_->config;
    if (!config_ || !context_->has_target_list) {
      return;
    }
    context_->awaiting_lists.erase(this);
    lists_timer_.reset();
    retry_after_ = Duration(0);
    Admit();
  });
}

void ResumeWaitingRequests(ForwardContext& context) {
  // A request that goes on leaves the table.
  const auto waiting = context.awaiting_lists;
  for (const auto& [key, weak] : waiting) {
    if (const std::shared_ptr<ForwardRequest> request = weak.lock()) {
      request->OnListsChanged();
    }
  }
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
  std::optional<Priority> account_priority;
  if (config_->keys_required && !route_->allows_anonymous) {
    const auto owner = config_->keys.find(caller_fields_.key);
    if (owner == config_->keys.end()) {
      Reject(401, "unknown_key");
      return false;
    }
    account_ = owner->second.account;
    account_regions_ = owner->second.regions;
    account_priority = owner->second.priority;
  }
  service_ = ChooseService(*route_, context_->random.UniformReal());
  if (config_->prioritized_services.contains(service_)) {
    priority_ = account_priority.value_or(route_->priority);
  }
  const auto pool = config_->services.find(service_);
  pool_ = pool == config_->services.end() ? nullptr : &pool->second;
  const Duration time_left = std::min(
      caller_fields_.time_left.value_or(route_->timeout), route_->timeout);
  deadline_ = received_at_ + time_left;
  if (IsTooLateToSend()) {
    Reject(503, "stopping");
    return false;
  }
  return true;
}

bool ForwardRequest::IsTooLateToSend() const {
  return context_->stop_deadline && !stream_started_ &&
         context_->timers->Now() >= context_->accepts_all_until &&
         deadline_ >= *context_->stop_deadline;
}

void ForwardRequest::Reject(uint32_t status, std::string_view reason) {
  HeaderList headers = context_->protocol->EntryResponseHeaders(caller_fields_);
  if (status == 503) {
    headers.push_back({"Retry-After", std::string(kRejectionRetryAfter)});
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
  attempt_ = std::make_shared<ForwardAttempt>();
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
  ask.own_mark = MakeOwnMark();
  ask.priority = priority_;
  ask.number = context_->placement->NextNumber();
  attempt_->placement_number = ask.number;
  context_->placement->RequestPlacement(
      std::move(ask),
      [self = shared_from_this(),
       attempt = attempt_](const PlacementReply& reply) {
        self->Guard([&] { self->OnPlacementReply(attempt, reply); });
      },
      now);
}

void ForwardRequest::OnPlacementReply(const ForwardAttemptPtr& attempt,
                                      const PlacementReply& reply) {
  if (finished_ || attempt != attempt_) {
    return;
  }
  const Time now = context_->timers->Now();
  if (reply.verdict == PlacementVerdict::kRefused) {
    attempt->placement_number.reset();
    retry_after_ = reply.retry_after;
    FailUnlessSilentAttemptLeft("refused_by_placement",
                                kRefusedRecheckInterval);
    return;
  }
  if (reply.verdict == PlacementVerdict::kBlocked) {
    attempt->placement_number.reset();
    FinishAsBlocked(reply.retry_after);
    return;
  }
  const FleetDirectory::KnownTarget* entry =
      context_->directory.Find(reply.target);
  if (entry == nullptr || !context_->directory.IsUsable(*entry, now) ||
      IsShut(*entry)) {
    // The placing agent knows less of the target than the entry does.
    excluded_targets_.push_back(reply.target);
    EndAttempt(*attempt, PlacementEvent::kEnded, TargetId(),
               CallOutcome::kCallerGone);
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
  attempt->expected_first_event = reply.expected_first_event;
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
  ++reservation_round_;
  std::vector<Reservation> wanted;
  for (const MemoryHold& it : holds) {
    const FleetDirectory::KnownTarget* holder =
        context_->directory.Find(it.target);
    const std::string address = holder == nullptr ? "" : holder->record.address;
    const auto helper = std::find_if(
        helpers.begin(), helpers.end(),
        [&](const ForwardHelper& each) { return each.address == address; });
    if (helper != helpers.end()) {
      // The id is unique per round, so that no other attempt can use the memory
      // and the release of a former round does not end this one.
      helper->reservation = fmt::format("{}-{}-{}", caller_fields_.attempt_id,
                                        reservation_round_, wanted.size());
      wanted.push_back({address, helper->reservation, it.tokens});
    }
  }
  const TargetId target = entry.record.target;
  if (wanted.size() < holds.size()) {
    // A helper is not usable any more, and the prompt does not fit without it.
    OnReserved(attempt_, target, {}, false);
    return;
  }
  attempt_->reservations = std::make_unique<ReservationSet>(
      context_->engine_memory, context_->connector, context_->timers,
      entry.record.address, std::move(wanted));
  attempt_->reservations->SetUnreachableHandler(
      [request = weak_from_this(), attempt = std::weak_ptr(attempt_)] {
        const std::shared_ptr<ForwardRequest> self = request.lock();
        const ForwardAttemptPtr unreachable = attempt.lock();
        if (self && unreachable) {
          self->Guard([&] { self->OnTargetUnreachable(unreachable); });
        }
      });
  attempt_->reservations->Start(
      [self = shared_from_this(), attempt = std::weak_ptr(attempt_), target,
       helpers = std::move(helpers)](bool reserved) mutable {
        if (const ForwardAttemptPtr asking = attempt.lock()) {
          self->Guard([&] {
            self->OnReserved(asking, target, std::move(helpers), reserved);
          });
        }
      });
}

void ForwardRequest::OnReserved(const ForwardAttemptPtr& attempt,
                                const TargetId& target,
                                std::vector<ForwardHelper> helpers,
                                bool reserved) {
  if (finished_ || attempt != attempt_) {
    return;
  }
  const FleetDirectory::KnownTarget* found = context_->directory.Find(target);
  if (reserved && found != nullptr && !IsShut(*found)) {
    SendToTarget(*found, std::move(helpers));
    return;
  }
  Log(LogLevel::kWarning, "reservation_failed",
      {{"request", caller_fields_.attempt_id}, {"target", target.value()}});
  EndAttempt(*attempt, PlacementEvent::kEnded, TargetId(),
             CallOutcome::kCallerGone);
  retry_timer_ = context_->timers->Schedule(
      kReservationRetryDelay, [self = shared_from_this()] {
        self->Guard([&] { self->StartNextAttempt(); });
      });
}

bool ForwardRequest::IsShut(const FleetDirectory::KnownTarget& entry) const {
  return context_->placement->signals().IsShut(
      entry.record.target, entry.record.started_at, context_->timers->Now());
}

void ForwardRequest::SetWaitsForTarget(bool waits) {
  if (std::exchange(waits_for_target_, waits) != waits) {
    context_
        ->waiting_for_target[service_][priority_.value_or(kMiddlePriority)] +=
        waits ? 1 : -1;
  }
}

size_t ForwardRequest::CountWaitingAhead(bool only_more_urgent) const {
  const Priority own = priority_.value_or(kMiddlePriority);
  size_t ahead = 0;
  const auto waiting = context_->waiting_for_target.find(service_);
  if (waiting != context_->waiting_for_target.end()) {
    for (const auto& [priority, count] : waiting->second) {
      const bool counts = only_more_urgent ? priority < own : priority <= own;
      ahead += counts ? count : 0;
    }
  }
  return ahead;
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
  const bool may_wait = !usable.empty() && !may_have_executed_ &&
                        TimeLeft() >= 2 * kTargetRetryInterval &&
                        now - received_at_ <= kMaxTargetWait;
  const bool yields = may_wait && CountWaitingAhead(true) > 0 &&
                      ++yield_count_ % kTriesPerTurn != 0;
  const std::optional<TargetId> target =
      yields ? std::nullopt
             : context_->balancer.BeginCall(usable, request, now);
  if (target) {
    attempt_->is_balanced = true;
    SendToTarget(*context_->directory.Find(*target), {});
    return;
  }
  // Only a request that has not executed waits, and only if a usable target
  // exists; otherwise the caller gets an error immediately.
  if (!may_wait) {
    FailUnlessSilentAttemptLeft("no_target", kRefusedRecheckInterval);
    return;
  }
  request.excluded_targets.clear();
  const size_t ahead = CountWaitingAhead(false);
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
  ForwardAttempt& attempt = *attempt_;
  attempt.target = entry.record.target;
  attempt.target_started_at = entry.record.started_at;
  attempt.helpers = std::move(helpers);
  attempt.sent_at = now;
  if (now >= deadline_) {
    // The process was paused, and the deadline timer runs later in this turn.
    EndAttempt(attempt, PlacementEvent::kEnded, TargetId(),
               CallOutcome::kCallerGone);
    OnDeadline();
    return;
  }
  if (IsTooLateToSend()) {
    EndAttempt(attempt, PlacementEvent::kEnded, TargetId(),
               CallOutcome::kCallerGone);
    FailUnlessSilentAttemptLeft("stopping", Duration(0));
    return;
  }
  attempt.events.set_last_id(last_event_id_);
  target_ = attempt.target;
  helper_count_ = attempt.helpers.size();
  expected_first_event_delay_ = attempt.expected_first_event;
  sent_at_ = now;
  ++attempt_count_;
  ++send_count_;
  ForwardCallHandlers handlers;
  handlers.on_head = [self = shared_from_this(), sent = attempt_](
                         uint32_t status, HeaderList headers) {
    self->Guard(
        [&] { self->OnResponseHead(sent, status, std::move(headers)); });
  };
  handlers.on_body = [self = shared_from_this(),
                      sent = attempt_](std::string_view data) {
    self->Guard([&] { self->OnResponseBody(sent, data); });
  };
  handlers.on_end = [self = shared_from_this(),
                     sent = attempt_](ForwardCallResult result) {
    self->Guard([&] { self->OnCallEnd(sent, result); });
  };
  StartSilenceTimer(FirstResponseTimeout());
  attempt.call =
      context_->connector->Start(MakeCallSpec(entry), std::move(handlers));
}

ForwardCallSpec ForwardRequest::MakeCallSpec(
    const FleetDirectory::KnownTarget& entry) const {
  ForwardFields fields;
  fields.target = attempt_->target;
  fields.time_left = TimeLeft();
  fields.account = account_;
  fields.helpers = attempt_->helpers;
  fields.last_event_id = last_event_id_;
  if (pool_ != nullptr && pool_->engine) {
    fields.priority = priority_;
  }
  ForwardCallSpec spec;
  spec.address = entry.record.address;
  spec.method = request_.method;
  spec.path = request_.path;
  spec.headers = context_->protocol->BuildForwardHeaders(
      EndToEndHeaders(request_.headers), fields);
  spec.body = request_.body;
  return spec;
}

Duration ForwardRequest::FirstResponseTimeout() const {
  if (route_->is_streaming) {
    return attempt_->expected_first_event * kFirstEventTimeoutFactor +
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
  if (finished_ || attempt_count_ >= route_->max_attempts ||
      TimeLeft() < kMinTimeForRetry) {
    return;
  }
  if (!TakeRetry()) {
    StartSilenceTimer(kSilenceRecheckInterval);
    return;
  }
  if (attempt_) {
    SetAttemptAside();
  }
  StartNextAttempt();
}

void ForwardRequest::OnTargetUnreachable(const ForwardAttemptPtr& attempt) {
  if (attempt == attempt_ && attempt->call && route_->repeatable) {
    OnSilenceTimeout();
  }
}

// A silent target may be sound. Its attempt ends only when another one has
// made progress, because the others may refuse or fail.
void ForwardRequest::SetAttemptAside() {
  const Time now = context_->timers->Now();
  const ForwardAttemptPtr silent = std::exchange(attempt_, nullptr);
  Log(LogLevel::kWarning, "target_silent",
      {{"request", caller_fields_.attempt_id},
       {"target", silent->target.value()},
       {"status", std::to_string(silent->status)},
       {"after_ms", FormatMs(now - silent->sent_at)},
       {"progress", std::string(ProgressOf(*silent))}});
  context_->metrics->IncrementCounter(
      "burdockhatch_silent_attempts_total",
      fmt::format("progress=\"{}\"", ProgressOf(*silent)));
  may_have_executed_ = true;
  if (silent->placement_number) {
    context_->placement->ReportEvent(*silent->placement_number,
                                     PlacementEvent::kTargetSilent,
                                     silent->target, now);
  } else if (std::exchange(silent->is_balanced, false)) {
    context_->balancer.EndCall(silent->target, CallOutcome::kFailed,
                               now - silent->sent_at, now);
  }
  ExcludeTarget(silent->target);
  silent_attempts_.push_back(silent);
}

void ForwardRequest::OnResponseHead(const ForwardAttemptPtr& attempt,
                                    uint32_t status,
                                    HeaderList headers) {
  attempt->status = status;
  attempt->fields = context_->protocol->ParseTargetFields(status, headers);
  attempt->headers = EndToEndHeaders(headers);
  attempt->ends_with_connection =
      FindHeader(headers, "Content-Length") == nullptr &&
      FindHeader(headers, "Transfer-Encoding") == nullptr;
  // A response to another request is not forwarded, and its refusal says
  // nothing about this one.
  if (!AnswersAttempt(attempt->fields, caller_fields_.attempt_id)) {
    attempt->fields.not_executed = false;
    FailAttempt(attempt, AttemptFailure::kInvalid);
    return;
  }
  RecordSignals(*attempt);
  if (attempt->fields.not_executed) {
    return;
  }
  if (!IsSuccessStatus(status)) {
    // Nothing but events may follow those that the caller has.
    if (stream_started_) {
      FailAttempt(attempt, AttemptFailure::kErrorResponse);
    }
    return;
  }
  if (!attempt->fields.is_signed || !ContinuesStream(status, headers)) {
    FailAttempt(attempt, AttemptFailure::kInvalid);
    return;
  }
  attempt->is_streaming = route_->is_streaming;
}

bool ForwardRequest::ContinuesStream(uint32_t status,
                                     const HeaderList& headers) const {
  const std::string* type = FindHeader(headers, "Content-Type");
  return !stream_started_ ||
         (status == stream_status_ &&
          (type == nullptr ? "" : *type) == stream_content_type_);
}

void ForwardRequest::RecordSignals(const ForwardAttempt& attempt) {
  context_->placement->OnResponse(
      attempt.target, attempt.target_started_at, attempt.fields.signals,
      attempt.fields.is_signed, attempt.sent_at, context_->timers->Now());
}

void ForwardRequest::OnResponseBody(const ForwardAttemptPtr& attempt,
                                    std::string_view data) {
  if (!MakeRoom(attempt, data.size())) {
    // The attempt may have ended when room was made.
    if (attempt->call) {
      FailAttempt(attempt, AttemptFailure::kTooLarge);
    }
    return;
  }
  if (attempt->is_streaming) {
    ForwardEvents(attempt, data);
    return;
  }
  attempt->body.append(data);
  CountHeldBytes(*attempt);
}

bool ForwardRequest::MakeRoom(const ForwardAttemptPtr& attempt, size_t more) {
  const ResponseLimits& limits = context_->response_limits;
  const size_t wanted = HeldBytes(*attempt) + more;
  const auto max_sum =
      static_cast<size_t>(limits.max_buffered_responses.value());
  if (!attempt->is_streaming &&
      wanted > static_cast<size_t>(limits.max_response.value())) {
    return false;
  }
  while (context_->buffered_response_bytes + more > max_sum) {
    const std::shared_ptr<ForwardRequest> largest =
        FindLargestRequest(*context_);
    if (!largest || largest->LargestHeldBytes() <= wanted) {
      return false;
    }
    largest->FailLargestAttempt();
  }
  return attempt->call != nullptr;
}

void ForwardRequest::CountHeldBytes(ForwardAttempt& attempt) {
  const size_t held = HeldBytes(attempt);
  const size_t former = std::exchange(attempt.counted_bytes, held);
  buffered_bytes_ += held - former;
  context_->buffered_response_bytes += held - former;
}

void ForwardRequest::DropResponse(ForwardAttempt& attempt) {
  attempt.body = std::string();
  attempt.events.DropPartialEvent();
  CountHeldBytes(attempt);
}

ForwardAttemptPtr ForwardRequest::FindLargestAttempt() const {
  ForwardAttemptPtr largest = attempt_ && attempt_->call ? attempt_ : nullptr;
  for (const ForwardAttemptPtr& it : silent_attempts_) {
    if (!largest || HeldBytes(*it) > HeldBytes(*largest)) {
      largest = it;
    }
  }
  return largest;
}

size_t ForwardRequest::LargestHeldBytes() const {
  const ForwardAttemptPtr largest = FindLargestAttempt();
  return largest ? HeldBytes(*largest) : 0;
}

void ForwardRequest::FailLargestAttempt() {
  Guard([this] {
    if (const ForwardAttemptPtr largest = FindLargestAttempt()) {
      FailAttempt(largest, AttemptFailure::kTooLarge);
    }
  });
}

void ForwardRequest::ForwardEvents(const ForwardAttemptPtr& attempt,
                                   std::string_view data) {
  std::string complete_events = attempt->events.Feed(data);
  CountHeldBytes(*attempt);
  if (attempt->events.is_invalid()) {
    FailAttempt(attempt, AttemptFailure::kInvalid);
    return;
  }
  if (complete_events.empty()) {
    return;
  }
  ChooseAttempt(attempt);
  const Time now = context_->timers->Now();
  const bool is_first_of_attempt = !std::exchange(attempt->has_events, true);
  if (!stream_started_) {
    stream_started_ = true;
    stream_status_ = attempt->status;
    const std::string* type = FindHeader(attempt->headers, "Content-Type");
    stream_content_type_ = type == nullptr ? "" : *type;
    first_event_at_ = now;
    exchange_->StartStream(attempt->status, attempt->headers);
  }
  if (attempt->placement_number && is_first_of_attempt) {
    context_->placement->ReportEvent(*attempt->placement_number,
                                     PlacementEvent::kFirstEvent, TargetId(),
                                     now, now - attempt->sent_at);
  }
  if (last_event_at_ != Time()) {
    longest_gap_ = std::max(longest_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
  last_event_id_ = attempt->events.last_id();
  StartSilenceTimer(GapTimeout());
  exchange_->Write(std::move(complete_events));
  PauseWhileCongested();
}

void ForwardRequest::ChooseAttempt(const ForwardAttemptPtr& attempt) {
  if (attempt != attempt_) {
    Log(LogLevel::kInfo, "silent_target_resumed",
        {{"request", caller_fields_.attempt_id},
         {"target", attempt->target.value()},
         {"after_ms", FormatMs(context_->timers->Now() - attempt->sent_at)}});
    context_->metrics->IncrementCounter(
        "burdockhatch_resumed_attempts_total",
        fmt::format("progress=\"{}\"", ProgressOf(*attempt)));
    retry_timer_.reset();
    SetWaitsForTarget(false);
    if (const ForwardAttemptPtr later = std::exchange(attempt_, attempt)) {
      EndAttempt(*later, PlacementEvent::kEnded, TargetId(),
                 CallOutcome::kCallerGone);
      DropResponse(*later);
    }
  }
  for (const ForwardAttemptPtr& it : std::exchange(silent_attempts_, {})) {
    if (it != attempt) {
      EndAttempt(*it, PlacementEvent::kEnded, TargetId(),
                 CallOutcome::kCallerGone);
      DropResponse(*it);
    }
  }
}

void ForwardRequest::PauseWhileCongested() {
  if (!exchange_->IsCongested() || !attempt_ || !attempt_->call) {
    return;
  }
  attempt_->call->PauseReading();
  silence_timer_.reset();
  exchange_->SetDrainedHandler([self = shared_from_this()] {
    self->Guard([&] {
      if (!self->finished_ && self->attempt_ && self->attempt_->call) {
        self->StartSilenceTimer(self->GapTimeout());
        self->attempt_->call->ResumeReading();
      }
    });
  });
}

Duration ForwardRequest::GapTimeout() const {
  return std::max(route_->gap_target * kGapTimeoutFactor, kMinGapTimeout);
}

void ForwardRequest::OnCallEnd(const ForwardAttemptPtr& attempt,
                               ForwardCallResult result) {
  if (result == ForwardCallResult::kNotSent) {
    FailAttempt(attempt, AttemptFailure::kNotSent);
    return;
  }
  if (result == ForwardCallResult::kBroken) {
    FailAttempt(attempt, AttemptFailure::kBroken);
    return;
  }
  if (attempt->fields.not_executed) {
    FailAttempt(attempt, AttemptFailure::kNotExecuted);
    return;
  }
  may_have_executed_ = true;
  if (attempt->is_streaming) {
    if (!IsStreamComplete(*attempt)) {
      FailAttempt(attempt, AttemptFailure::kBroken);
      return;
    }
    ChooseAttempt(attempt);
    EndAttempt(*attempt, PlacementEvent::kEnded, TargetId(),
               CallOutcome::kAnswered);
    if (!stream_started_) {
      exchange_->StartStream(attempt->status, attempt->headers);
    }
    exchange_->Write(attempt->events.TakeHeldEvents());
    exchange_->EndStream();
    Finish(200, "streamed");
    return;
  }
  if (attempt->status >= 500 || PromisesNoExecution(attempt->status)) {
    FailAttempt(attempt, AttemptFailure::kErrorResponse);
    return;
  }
  SendBufferedResponse(attempt);
}

// A connection that ends before the first event of a resumed stream says
// nothing about the rest, unless the framing marks the end of the response: a
// caller may resume behind the last event.
bool ForwardRequest::IsStreamComplete(const ForwardAttempt& attempt) const {
  return (stream_started_ || caller_fields_.last_event_id) &&
         !attempt.events.has_partial_event() &&
         (attempt.has_events || !attempt.ends_with_connection);
}

void ForwardRequest::SendBufferedResponse(const ForwardAttemptPtr& attempt) {
  ChooseAttempt(attempt);
  EndAttempt(*attempt, PlacementEvent::kEnded, TargetId(),
             CallOutcome::kAnswered);
  exchange_->SendResponse(attempt->status, attempt->headers, attempt->body);
  Finish(attempt->status, "answered");
}

TargetId ForwardRequest::FindFailedTarget(const ForwardAttempt& attempt,
                                          AttemptFailure failure) const {
  if (failure != AttemptFailure::kNotExecuted ||
      attempt.fields.failed_helper.empty()) {
    return attempt.target;
  }
  for (const auto& [id, entry] : context_->directory.targets()) {
    if (entry.record.address == attempt.fields.failed_helper) {
      return id;
    }
  }
  return attempt.target;
}

void ForwardRequest::ExcludeTarget(const TargetId& target) {
  excluded_targets_.push_back(target);
  if (excluded_targets_.size() >= static_cast<size_t>(kMaxExcludedTargets)) {
    excluded_targets_.erase(excluded_targets_.begin());
  }
}

void ForwardRequest::FailAttempt(const ForwardAttemptPtr& attempt,
                                 AttemptFailure failure) {
  const Time now = context_->timers->Now();
  const bool is_silent = attempt != attempt_;
  Log(LogLevel::kWarning, "attempt_failed",
      {{"request", caller_fields_.attempt_id},
       {"target", attempt->target.value()},
       {"why", std::string(ToString(failure))},
       {"status", std::to_string(attempt->status)},
       {"after_ms", FormatMs(now - attempt->sent_at)},
       {"helpers", std::to_string(attempt->helpers.size())},
       {"last_event",
        last_event_id_ ? std::to_string(*last_event_id_) : "none"},
       {"progress", std::string(ProgressOf(*attempt))},
       {"was_silent", is_silent ? "true" : "false"},
       {"parts", FormatParts(caller_fields_.shared_parts)},
       {"own_mark", FormatMark(MakeOwnMark())}});
  context_->metrics->IncrementCounter(
      "burdockhatch_attempt_failures_total",
      fmt::format("why=\"{}\",progress=\"{}\"", ToString(failure),
                  ProgressOf(*attempt)));
  if (failure == AttemptFailure::kNotExecuted &&
      attempt->fields.is_wrong_target) {
    context_->directory.MarkReplaced(attempt->target);
  }
  // A target that does not state that it has not run the request may have.
  if (failure == AttemptFailure::kErrorResponse && attempt->fields.is_signed &&
      (route_->repeatable || !PromisesNoExecution(attempt->status))) {
    KeepErrorResponse(*attempt);
  }
  DropResponse(*attempt);
  const bool not_sent = failure == AttemptFailure::kNotSent;
  const bool not_executed = failure == AttemptFailure::kNotExecuted;
  may_have_executed_ = may_have_executed_ || (!not_sent && !not_executed);
  attempt_count_ -= not_sent || not_executed ? 1 : 0;
  failed_connection_count_ += not_sent ? 1 : 0;
  const TargetId failed = FindFailedTarget(*attempt, failure);
  const bool is_fault = failure != AttemptFailure::kErrorResponse;
  EndAttempt(*attempt, PlacementEventOf(*attempt, failure),
             is_fault ? failed : TargetId(),
             not_executed ? CallOutcome::kRejected
             : is_fault   ? CallOutcome::kFailed
                          : CallOutcome::kAnswered);
  ExcludeTarget(failed);
  if (is_silent) {
    std::erase(silent_attempts_, attempt);
    if (attempt_ || !silent_attempts_.empty()) {
      return;
    }
  }
  const bool list_is_stale = not_executed && attempt->fields.is_wrong_target;
  attempt_.reset();
  silence_timer_.reset();
  RetryAfterFailure(failure, list_is_stale);
}

// The last error response may be the final one.
void ForwardRequest::KeepErrorResponse(ForwardAttempt& attempt) {
  const size_t replaced = error_response_ ? error_response_->body.size() : 0;
  buffered_bytes_ -= replaced;
  context_->buffered_response_bytes -= replaced;
  error_response_ = ErrorResponse{attempt.status, attempt.headers,
                                  std::exchange(attempt.body, {})};
  // The body stays counted, as part of the request.
  attempt.counted_bytes -= error_response_->body.size();
}

void ForwardRequest::RetryAfterFailure(AttemptFailure failure,
                                       bool list_is_stale) {
  if (!AllowRetry(failure)) {
    const Duration waited = context_->timers->Now() - received_at_;
    if (list_is_stale && context_->max_startup_wait > Duration(0) &&
        !may_have_executed_ && RejectedSends() <= kMaxRejectedSends &&
        waited < kMaxTargetWait && TimeLeft() > kMaxTargetWait) {
      AwaitLists(kMaxTargetWait - waited, "no_further_attempt");
      return;
    }
    FailUnlessSilentAttemptLeft("no_further_attempt", kSilenceRecheckInterval);
    return;
  }
  const uint32_t rejected = RejectedSends();
  if (failure != AttemptFailure::kNotExecuted ||
      rejected <= kImmediateRejectionRetries) {
    StartNextAttempt();
    return;
  }
  retry_timer_ = context_->timers->Schedule(
      kRejectionRetryDelay * (1 << (rejected - kImmediateRejectionRetries - 1)),
      [self = shared_from_this()] {
        self->Guard([&] { self->StartNextAttempt(); });
      });
}

PartKeys ForwardRequest::MakePartKeys() const {
  PartKeys keys;
  for (const std::string& it : caller_fields_.shared_parts) {
    keys.push_back(MakePartKey(caller_fields_.model, it));
  }
  return keys;
}

PartKey ForwardRequest::MakeOwnMark() const {
  return caller_fields_.prompt_hash
             ? burdockhatch::MakeOwnMark(caller_fields_.model,
                                         *caller_fields_.prompt_hash)
             : PartKey();
}

uint32_t ForwardRequest::RejectedSends() const {
  return send_count_ - failed_connection_count_ - attempt_count_;
}

bool ForwardRequest::AllowRetry(AttemptFailure failure) {
  if (TimeLeft() < kMinTimeForRetry) {
    return false;
  }
  if (failure == AttemptFailure::kNotSent) {
    return failed_connection_count_ < kMaxFailedConnects;
  }
  const bool allowed = failure == AttemptFailure::kNotExecuted
                           ? RejectedSends() <= kMaxRejectedSends
                           : route_->repeatable;
  return allowed && TakeRetry();
}

bool ForwardRequest::TakeRetry() {
  return attempt_count_ < route_->max_attempts &&
         context_->retry_budget.TryTakeRetry(service_,
                                             context_->placement->entry_count(),
                                             context_->timers->Now());
}

void ForwardRequest::EndAttempt(ForwardAttempt& attempt,
                                PlacementEvent event,
                                const TargetId& failed,
                                CallOutcome outcome) {
  const Time now = context_->timers->Now();
  if (attempt.call) {
    std::exchange(attempt.call, nullptr)->Stop();
  }
  attempt.reservations.reset();
  if (attempt.placement_number) {
    context_->placement->ReportEvent(
        *std::exchange(attempt.placement_number, {}), event, failed, now);
  } else if (std::exchange(attempt.is_balanced, false)) {
    context_->balancer.EndCall(attempt.target, outcome, now - attempt.sent_at,
                               now);
  }
}

void ForwardRequest::EndAllAttempts(CallOutcome outcome) {
  silence_timer_.reset();
  retry_timer_.reset();
  std::vector<ForwardAttemptPtr> open = std::exchange(silent_attempts_, {});
  if (attempt_) {
    open.push_back(std::exchange(attempt_, nullptr));
  }
  for (const ForwardAttemptPtr& it : open) {
    EndAttempt(*it, PlacementEvent::kEnded, TargetId(), outcome);
  }
}

bool ForwardRequest::HasCall() const {
  return !silent_attempts_.empty() || (attempt_ && attempt_->call);
}

// --- Completion -------------------------------------------------------------

void ForwardRequest::OnCallerGone() {
  if (finished_) {
    return;
  }
  EndAllAttempts(CallOutcome::kCallerGone);
  Finish(0, "caller_gone");
}

void ForwardRequest::OnDeadline() {
  if (finished_) {
    return;
  }
  may_have_executed_ = may_have_executed_ || HasCall();
  EndAllAttempts(CallOutcome::kFailed);
  FinishWithFailure("deadline");
}

void ForwardRequest::RefuseIfTooLateToSend() {
  Guard([this] {
    if (finished_ || HasCall() || !IsTooLateToSend()) {
      return;
    }
    EndAllAttempts(CallOutcome::kCallerGone);
    FinishWithFailure("stopping");
  });
}

bool ForwardRequest::Shed() {
  if (!finished_ && send_count_ == 0 && !HasCall() && !stream_started_) {
    Guard([this] {
      EndAllAttempts(CallOutcome::kCallerGone);
      FinishWithFailure("request_memory");
    });
  }
  return finished_;
}

void ForwardRequest::EndAtStop() {
  Guard([this] {
    if (finished_) {
      return;
    }
    may_have_executed_ = may_have_executed_ || HasCall();
    EndAllAttempts(CallOutcome::kCallerGone);
    FinishWithFailure("stopped");
  });
}

namespace {

// Calls `step` for each open request, which it may end. Returns the number of
// those that it has ended.
template <class Step>
size_t EndRequestsWith(ForwardContext& context, Step&& step) {
  // A request that ends leaves the table.
  const auto open = context.open_requests;
  for (const auto& [key, weak] : open) {
    if (const std::shared_ptr<ForwardRequest> request = weak.lock()) {
      step(*request);
    }
  }
  return open.size() - context.open_requests.size();
}

}  // namespace

size_t RefuseLateRequests(ForwardContext& context) {
  return EndRequestsWith(
      context, [](ForwardRequest& it) { it.RefuseIfTooLateToSend(); });
}

size_t EndOpenRequests(ForwardContext& context) {
  return EndRequestsWith(context, [](ForwardRequest& it) { it.EndAtStop(); });
}

void ForwardRequest::FinishAsBlocked(Duration blocked_left) {
  retry_after_ = blocked_left;
  const Failure failure{
      ErrorCode::kPartBlocked,
      may_have_executed_ ? Outcome::kUnknown : Outcome::kNotRun, blocked_left};
  FailUnlessSilentAttemptLeft(
      "part_blocked", Duration(0),
      ErrorResponseBody(failure, ErrorMessageFor(failure.code)));
}

void ForwardRequest::FailUnlessSilentAttemptLeft(std::string_view reason,
                                                 Duration next_attempt_in,
                                                 std::string body) {
  attempt_.reset();
  silence_timer_.reset();
  if (silent_attempts_.empty()) {
    FinishWithFailure(reason, std::move(body));
    return;
  }
  Log(LogLevel::kInfo, "silent_target_awaited",
      {{"request", caller_fields_.attempt_id},
       {"target", silent_attempts_.back()->target.value()},
       {"reason", std::string(reason)}});
  if (next_attempt_in > Duration(0)) {
    StartSilenceTimer(next_attempt_in);
  }
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
    // The leader has told callers of different urgency when to come back, one
    // after the other.
    const bool is_staggered = priority_ && retry_after_ > kMinRetryAfter;
    const auto spread =
        is_staggered ? int64_t{0}
                     : static_cast<int64_t>(context_->random.UniformBelow(
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
  context_->open_requests.erase(this);
  context_->awaiting_lists.erase(this);
  lists_timer_.reset();
  SetWaitsForTarget(false);
  error_response_.reset();
  context_->buffered_response_bytes -= std::exchange(buffered_bytes_, 0);
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
       {"priority", priority_ ? std::to_string(priority_->value()) : ""},
       {"config", config_ ? std::to_string(config_->version) : "none"},
       {"target", target_.value()},
       {"prompt", std::to_string(caller_fields_.prompt.value())},
       {"parts", FormatParts(caller_fields_.shared_parts)},
       {"own_mark", FormatMark(MakeOwnMark())},
       {"sends", std::to_string(send_count_)},
       {"helpers", std::to_string(helper_count_)},
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
  if (priority_) {
    context_->metrics->IncrementCounter(
        "burdockhatch_requests_by_priority_total",
        fmt::format("service=\"{}\",priority=\"{}\",result=\"{}\"",
                    service_.value(), priority_->value(),
                    PriorityResult(status)));
  }
  if (route_ != nullptr) {
    context_->metrics->ObserveDuration(
        "burdockhatch_first_byte_seconds",
        fmt::format("service=\"{}\"", service_.value()), first);
  }
}

void StartForwardRequest(ForwardContext* context,
                         const std::shared_ptr<CallerExchange>& exchange,
                         ReceivedRequest request) {
  std::shared_ptr<ForwardRequest> forwarded;
  if (RunGuarded("request", [&] {
        forwarded = std::make_shared<ForwardRequest>(context, exchange,
                                                     std::move(request));
      })) {
    forwarded->Start();
    return;
  }
  exchange->SendResponse(
      503, {{"Retry-After", std::string(kRejectionRetryAfter)}}, "");
}

}  // namespace burdockhatch
