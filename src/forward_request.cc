#include "src/forward_request.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "src/log.h"

namespace burdockhatch {

namespace {

// Connections that may fail for one request. None of them reaches a target.
constexpr uint32_t kMaxUnreached = 4;
// Further targets after one that says it did not run the request. After a power
// loss many addresses belong to other targets until the list is up to date.
constexpr uint32_t kMaxNotRun = 6;
// The first of them are tried at once, the others after doubling waits.
constexpr uint32_t kNotRunAtOnce = 2;
constexpr Duration kNotRunWait = std::chrono::milliseconds(40);
// A caller without a target waits this long at most before it is refused.
constexpr Duration kMaxPlaceWait = std::chrono::milliseconds(1'000);
// A repeat needs at least this to be of use.
constexpr Duration kLeastTimeForRepeat = std::chrono::milliseconds(40);
// A plain call is repeated at another target after this part of its target.
constexpr double kPlainPatience = 0.7;
// An engine's first event is late after this multiple of the estimate, on top
// of the allowance for a pass and a lost packet.
constexpr int kFirstEventPatience = 3;
constexpr Duration kFirstEventAllowance = std::chrono::milliseconds(500);
// Pauses of this multiple of the gap target mean that the target is gone.
constexpr int kGapPatience = 3;
constexpr Duration kLeastGapPatience = std::chrono::milliseconds(600);
// While no target may get the request, it is tried again at this interval.
constexpr Duration kPlaceAgainInterval = std::chrono::milliseconds(25);
// Memory that was not free is asked for again after a pass or two.
constexpr Duration kReserveAgainInterval = std::chrono::milliseconds(100);
// A pass of an engine that reads other prompts between the answers.
constexpr Duration kSlowPass = std::chrono::milliseconds(90);
// When a refused caller may return: spread, so that callers who were refused
// together do not return together.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(150);
constexpr int64_t kRetryAfterSpreadMs = 350;

bool IsSuccess(uint32_t status) {
  return status >= 200 && status < 300;
}

std::string Ms(Duration duration) {
  return fmt::format("{:.1f}", static_cast<double>(duration.count()) / 1e3);
}

}  // namespace

ForwardRequest::ForwardRequest(ForwardContext* context,
                               std::shared_ptr<CallerExchange> exchange,
                               ReceivedRequest request)
    : context_(context),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      fields_(context->protocol->ParseCallerFields(request_.headers)),
      config_(context->config),
      received_at_(context->timers->Now()) {}

void ForwardRequest::Start() {
  if (!ReadRoute()) {
    return;
  }
  context_->budget.OnRequest(service_, received_at_);
  events_.set_last_id(fields_.last_event_id);
  exchange_->OnGone([self = shared_from_this()] { self->OnCallerGone(); });
  const Duration time_left =
      std::min(fields_.time_left.value_or(route_->timeout), route_->timeout);
  deadline_ = received_at_ + time_left;
  deadline_timer_ = context_->timers->Schedule(
      time_left, [self = shared_from_this()] { self->OnDeadline(); });
  NextAttempt();
}

// --- Before the first attempt -----------------------------------------------

bool ForwardRequest::ReadRoute() {
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
    const auto owner = config_->keys.find(fields_.key);
    if (owner == config_->keys.end()) {
      Reject(401, "unknown_key");
      return false;
    }
    account_ = owner->second.account;
    account_regions_ = owner->second.regions;
  }
  service_ = ChooseService(*route_, context_->random.Unit());
  const auto pool = config_->services.find(service_);
  pool_ = pool == config_->services.end() ? nullptr : &pool->second;
  if (context_->stops_at && received_at_ >= context_->accepts_all_until &&
      !EndsBeforeStop()) {
    Reject(503, "stopping");
    return false;
  }
  return true;
}

bool ForwardRequest::EndsBeforeStop() const {
  Duration longest = route_->timeout;
  if (pool_ != nullptr && pool_->engine) {
    const int64_t passes = fields_.max_output.value() /
                           std::max<int64_t>(pool_->engine->steps_per_pass, 1);
    const auto read_ms =
        static_cast<int64_t>(ReadMs(*pool_->engine, fields_.prompt));
    longest = kSlowPass * (passes + 2) + std::chrono::milliseconds(read_ms);
  }
  longest = std::min(
      {longest, route_->timeout, fields_.time_left.value_or(route_->timeout)});
  return received_at_ + longest < *context_->stops_at;
}

void ForwardRequest::Reject(uint32_t status, std::string_view reason) {
  HeaderList headers = context_->protocol->EntryResponseHeaders(fields_);
  if (status == 503) {
    headers.push_back({"Retry-After", "0.3"});
  }
  exchange_->Answer(status, headers, "");
  Finish(status, reason);
}

// --- Attempts ---------------------------------------------------------------

Duration ForwardRequest::TimeLeft() const {
  return deadline_ - context_->timers->Now();
}

void ForwardRequest::NextAttempt() {
  if (finished_) {
    return;
  }
  if (pool_ != nullptr && pool_->engine) {
    AskForPlacement();
  } else {
    PlaceOnService();
  }
}

void ForwardRequest::AskForPlacement() {
  const Time now = context_->timers->Now();
  PlacementAsk ask;
  ask.service = service_;
  ask.prompt = fields_.prompt;
  ask.output = fields_.expected_output.value_or(fields_.max_output);
  ask.first_event_left = received_at_ + route_->latency_target - now;
  ask.gap_target = route_->gap_target;
  ask.time_left = std::max(deadline_ - now, Duration(0));
  ask.excluded = excluded_;
  ask.number = context_->placement->NextNumber();
  placement_ = ask.number;
  context_->placement->Ask(
      std::move(ask),
      [self = shared_from_this()](const PlacementReply& reply) {
        self->OnPlaced(reply);
      },
      now);
}

void ForwardRequest::OnPlaced(const PlacementReply& reply) {
  if (finished_) {
    return;
  }
  const Time now = context_->timers->Now();
  if (reply.verdict == PlacementVerdict::kRefused) {
    placement_.reset();
    retry_after_ = reply.retry_after;
    FinishFailed("refused_by_placement");
    return;
  }
  const FleetDirectory::Entry* entry = context_->directory.Find(reply.target);
  if (entry == nullptr || !context_->directory.IsUsable(*entry, now)) {
    // The deciding agent's list is older than the entry's.
    excluded_.push_back(reply.target);
    context_->placement->Report(reply.number, PlacementEvent::kEnded,
                                TargetId(), now);
    placement_.reset();
    retry_timer_ = context_->timers->Schedule(
        Duration(0), [self = shared_from_this()] { self->NextAttempt(); });
    return;
  }
  std::vector<ForwardHelper> helpers;
  for (const TargetId& it : reply.helpers) {
    const FleetDirectory::Entry* helper = context_->directory.Find(it);
    if (helper != nullptr && context_->directory.IsUsable(*helper, now)) {
      helpers.push_back({helper->record.address, ""});
    }
  }
  expected_first_event_ = reply.expected_first_event;
  if (reply.holds.empty()) {
    SendTo(*entry, std::move(helpers));
  } else {
    ReserveAndSend(*entry, std::move(helpers), reply.holds);
  }
}

// The memory of an oversize prompt is reserved before the prompt is sent.
void ForwardRequest::ReserveAndSend(const FleetDirectory::Entry& entry,
                                    std::vector<ForwardHelper> helpers,
                                    const std::vector<MemoryHold>& holds) {
  std::vector<Reservation> wanted;
  for (const MemoryHold& it : holds) {
    const FleetDirectory::Entry* holder = context_->directory.Find(it.target);
    const std::string address = holder == nullptr ? "" : holder->record.address;
    const auto helper = std::find_if(
        helpers.begin(), helpers.end(),
        [&](const ForwardHelper& known) { return known.address == address; });
    if (helper != helpers.end()) {
      // Another attempt must not use the same memory.
      helper->reservation =
          fmt::format("{}-{}-{}", fields_.attempt_id, sends_, wanted.size());
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
    const FleetDirectory::Entry* found = self->context_->directory.Find(target);
    if (reserved && found != nullptr) {
      self->SendTo(*found, std::move(helpers));
      return;
    }
    Log(LogLevel::kWarning, "reservation_failed",
        {{"request", self->fields_.attempt_id}, {"target", target.value()}});
    self->ReleaseAttempt(PlacementEvent::kEnded, CallOutcome::kLeft);
    self->retry_timer_ = self->context_->timers->Schedule(
        kReserveAgainInterval, [self] { self->NextAttempt(); });
  });
}

void ForwardRequest::PlaceOnService() {
  const Time now = context_->timers->Now();
  std::vector<const FleetDirectory::Entry*> usable =
      context_->directory.UsableTargets(service_, now);
  const auto allowed = [&](const std::vector<RegionId>& regions,
                           const DataCentreId& data_centre) {
    const auto region = context_->regions.find(data_centre);
    return regions.empty() || (region != context_->regions.end() &&
                               std::find(regions.begin(), regions.end(),
                                         region->second) != regions.end());
  };
  std::erase_if(usable, [&](const FleetDirectory::Entry* it) {
    return !allowed(route_->regions, it->record.data_centre) ||
           !allowed(account_regions_, it->record.data_centre);
  });
  ServiceBalancer::Request request;
  request.near = context_->data_centre;
  request.excluded = excluded_;
  request.cold_requests_per_s =
      pool_ == nullptr ? 0 : pool_->cold_requests_per_s;
  request.entries = context_->placement->entries();
  const std::optional<TargetId> target =
      context_->balancer.Begin(usable, request, now);
  if (target) {
    SendTo(*context_->directory.Find(*target), {});
    return;
  }
  // Without any usable target the caller is told at once.
  if (usable.empty() || may_have_run_ || TimeLeft() < 2 * kPlaceAgainInterval ||
      now - received_at_ > kMaxPlaceWait) {
    FinishFailed("no_target");
    return;
  }
  // Targets may be on their way back into the list.
  retry_timer_ = context_->timers->Schedule(kPlaceAgainInterval,
                                            [self = shared_from_this()] {
                                              self->excluded_.clear();
                                              self->NextAttempt();
                                            });
}

void ForwardRequest::SendTo(const FleetDirectory::Entry& entry,
                            std::vector<ForwardHelper> helpers) {
  const Time now = context_->timers->Now();
  target_ = entry.record.target;
  helpers_ = helpers;
  sent_at_ = now;
  status_ = 0;
  answer_headers_.clear();
  answer_body_.clear();
  streaming_ = false;
  ++attempts_;
  ++sends_;

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
    self->OnHead(status, std::move(headers));
  };
  handlers.on_body = [self](std::string_view data) { self->OnBody(data); };
  handlers.on_end = [self](ForwardCallResult end) { self->OnEnd(end); };
  StartPatience(FirstPatience());
  call_ = context_->connector->Start(std::move(spec), std::move(handlers));
}

Duration ForwardRequest::FirstPatience() const {
  if (route_->is_streaming) {
    return expected_first_event_ * kFirstEventPatience + kFirstEventAllowance;
  }
  const auto target = static_cast<double>(route_->latency_target.count());
  return Duration(static_cast<int64_t>(target * kPlainPatience));
}

void ForwardRequest::StartPatience(Duration patience) {
  patience_timer_.reset();
  if (route_->repeatable) {
    patience_timer_ = context_->timers->Schedule(
        patience, [self = shared_from_this()] { self->OnSilent(); });
  }
}

void ForwardRequest::OnSilent() {
  if (finished_ || !call_ || attempts_ >= route_->max_attempts ||
      TimeLeft() < kLeastTimeForRepeat) {
    return;
  }
  EndAttempt(AttemptEnd::kSilent);
}

void ForwardRequest::OnHead(uint32_t status, HeaderList headers) {
  status_ = status;
  answer_fields_ = context_->protocol->ParseTargetFields(status, headers);
  answer_headers_ = EndToEndHeaders(headers);
  if (answer_fields_.not_executed || !IsSuccess(status)) {
    return;
  }
  // An answer that no target signed, or to another request, is not ours.
  if (!answer_fields_.is_signed ||
      (!answer_fields_.attempt_id.empty() &&
       answer_fields_.attempt_id != fields_.attempt_id)) {
    EndAttempt(AttemptEnd::kBroken);
    return;
  }
  streaming_ = route_->is_streaming;
}

void ForwardRequest::OnBody(std::string_view data) {
  if (!streaming_) {
    answer_body_.append(data);
    return;
  }
  ForwardEvents(data);
}

void ForwardRequest::ForwardEvents(std::string_view data) {
  std::string whole = events_.Feed(data);
  if (events_.is_invalid()) {
    EndAttempt(AttemptEnd::kBroken);
    return;
  }
  if (whole.empty()) {
    return;
  }
  if (!stream_started_) {
    stream_started_ = true;
    first_event_at_ = context_->timers->Now();
    exchange_->StartStream(status_, answer_headers_);
  }
  if (placement_) {
    context_->placement->Report(*placement_, PlacementEvent::kFirstEvent,
                                TargetId(), context_->timers->Now());
  }
  const Time now = context_->timers->Now();
  if (last_event_at_ != Time()) {
    longest_gap_ = std::max(longest_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
  StartPatience(std::max(route_->gap_target * kGapPatience, kLeastGapPatience));
  exchange_->Write(std::move(whole));
}

void ForwardRequest::OnEnd(ForwardCallResult end) {
  if (end == ForwardCallResult::kNotSent) {
    EndAttempt(AttemptEnd::kNotSent);
    return;
  }
  if (end == ForwardCallResult::kBroken) {
    EndAttempt(AttemptEnd::kBroken);
    return;
  }
  if (answer_fields_.not_executed) {
    EndAttempt(AttemptEnd::kNotRun);
    return;
  }
  if (streaming_) {
    if (events_.has_partial() || !stream_started_) {
      EndAttempt(AttemptEnd::kBroken);
      return;
    }
    ReleaseAttempt(PlacementEvent::kEnded, CallOutcome::kAnswered);
    exchange_->EndStream();
    Finish(200, "streamed");
    return;
  }
  if (status_ >= 500) {
    EndAttempt(AttemptEnd::kFailedAnswer);
    return;
  }
  AnswerWhole();
}

void ForwardRequest::AnswerWhole() {
  ReleaseAttempt(PlacementEvent::kEnded, CallOutcome::kAnswered);
  exchange_->Answer(status_, answer_headers_, answer_body_);
  Finish(status_, "answered");
}

TargetId ForwardRequest::FailedTarget(AttemptEnd end) const {
  if (end != AttemptEnd::kNotRun || answer_fields_.failed_helper.empty()) {
    return target_;
  }
  for (const auto& [id, entry] : context_->directory.entries()) {
    if (entry.record.address == answer_fields_.failed_helper) {
      return id;
    }
  }
  return target_;
}

void ForwardRequest::EndAttempt(AttemptEnd end) {
  const Time now = context_->timers->Now();
  Log(LogLevel::kWarning, "attempt_failed",
      {{"request", fields_.attempt_id},
       {"target", target_.value()},
       {"why", end == AttemptEnd::kNotSent  ? "not_sent"
               : end == AttemptEnd::kNotRun ? "not_run"
               : end == AttemptEnd::kBroken ? "broken"
               : end == AttemptEnd::kSilent ? "silent"
                                            : "failed_answer"},
       {"status", std::to_string(status_)},
       {"after_ms", Ms(now - sent_at_)},
       {"helpers", std::to_string(helpers_.size())},
       {"last_event",
        events_.last_id() ? std::to_string(*events_.last_id()) : "none"}});
  if (end == AttemptEnd::kNotRun && answer_fields_.is_wrong_target) {
    context_->directory.MarkReplaced(target_);
  }
  if (end == AttemptEnd::kFailedAnswer && answer_fields_.is_signed &&
      (route_->repeatable || (status_ != 503 && status_ != 429))) {
    failed_answer_ = FailedAnswer{status_, answer_headers_, answer_body_};
  }
  const bool not_sent = end == AttemptEnd::kNotSent;
  const bool not_executed = end == AttemptEnd::kNotRun;
  may_have_run_ = may_have_run_ || (!not_sent && !not_executed);
  attempts_ -= not_sent || not_executed ? 1 : 0;
  unreached_ += not_sent ? 1 : 0;
  const TargetId failed = FailedTarget(end);
  const bool is_fault = end != AttemptEnd::kFailedAnswer;
  const std::optional<uint64_t> placement = std::exchange(placement_, {});
  patience_timer_.reset();
  if (call_) {
    std::exchange(call_, nullptr)->Stop();
  }
  reservations_.reset();
  events_.DropPartial();
  if (placement) {
    PlacementEvent event = PlacementEvent::kTargetFailed;
    if (!is_fault) {
      event = PlacementEvent::kEnded;
    } else if (not_executed && answer_fields_.is_wrong_target) {
      event = PlacementEvent::kTargetReplaced;
    }
    context_->placement->Report(*placement, event,
                                is_fault ? failed : TargetId(), now);
  } else {
    context_->balancer.End(target_,
                           not_executed ? CallOutcome::kRejected
                           : is_fault   ? CallOutcome::kFailed
                                        : CallOutcome::kAnswered,
                           now - sent_at_, now);
  }
  excluded_.push_back(failed);
  if (excluded_.size() >= static_cast<size_t>(kMaxExcludedTargets)) {
    excluded_.erase(excluded_.begin());
  }
  if (!MayRepeat(end)) {
    FinishFailed("no_further_attempt");
    return;
  }
  const uint32_t rejected = Rejections();
  if (!not_executed || rejected <= kNotRunAtOnce) {
    NextAttempt();
    return;
  }
  retry_timer_ = context_->timers->Schedule(
      kNotRunWait * (1 << (rejected - kNotRunAtOnce - 1)),
      [self = shared_from_this()] { self->NextAttempt(); });
}

uint32_t ForwardRequest::Rejections() const {
  return sends_ - unreached_ - attempts_;
}

bool ForwardRequest::MayRepeat(AttemptEnd end) {
  const Time now = context_->timers->Now();
  if (TimeLeft() < kLeastTimeForRepeat) {
    return false;
  }
  if (end == AttemptEnd::kNotSent) {
    return unreached_ < kMaxUnreached;
  }
  const uint32_t rejected = sends_ - unreached_ - attempts_;
  const bool allowed =
      end == AttemptEnd::kNotRun ? rejected <= kMaxNotRun : route_->repeatable;
  return allowed && attempts_ < route_->max_attempts &&
         context_->budget.Take(service_, context_->placement->entries(), now);
}

void ForwardRequest::ReleaseAttempt(PlacementEvent event, CallOutcome outcome) {
  const Time now = context_->timers->Now();
  patience_timer_.reset();
  if (placement_) {
    context_->placement->Report(*std::exchange(placement_, {}), event,
                                TargetId(), now);
  } else if (call_) {
    context_->balancer.End(target_, outcome, now - sent_at_, now);
  }
  if (call_) {
    std::exchange(call_, nullptr)->Stop();
  }
  reservations_.reset();
}

// --- The end ----------------------------------------------------------------

void ForwardRequest::OnCallerGone() {
  if (finished_) {
    return;
  }
  ReleaseAttempt(PlacementEvent::kEnded, CallOutcome::kLeft);
  Finish(0, "caller_gone");
}

void ForwardRequest::OnDeadline() {
  if (finished_) {
    return;
  }
  may_have_run_ = may_have_run_ || call_ != nullptr;
  ReleaseAttempt(PlacementEvent::kEnded, CallOutcome::kFailed);
  FinishFailed("deadline");
}

void ForwardRequest::FinishFailed(std::string_view reason) {
  if (stream_started_) {
    exchange_->Abort();
    Finish(0, reason);
    return;
  }
  if (failed_answer_) {
    exchange_->Answer(failed_answer_->status, failed_answer_->headers,
                      failed_answer_->body);
    Finish(failed_answer_->status, reason);
    return;
  }
  uint32_t status = 503;
  if (may_have_run_) {
    status = TimeLeft() <= Duration(0) ? 504 : 502;
  }
  HeaderList headers = context_->protocol->EntryResponseHeaders(fields_);
  if (status == 503) {
    const auto spread = static_cast<int64_t>(
        context_->random.Below(static_cast<uint64_t>(kRetryAfterSpreadMs)));
    const Duration wait = std::max(kLeastRetryAfter, retry_after_) +
                          std::chrono::milliseconds(spread);
    headers.push_back(
        {"Retry-After",
         fmt::format("{:.2f}", static_cast<double>(wait.count()) / 1e6)});
  }
  exchange_->Answer(status, headers, "");
  Finish(status, reason);
}

void ForwardRequest::Finish(uint32_t status, std::string_view outcome) {
  if (finished_) {
    return;
  }
  finished_ = true;
  deadline_timer_.reset();
  patience_timer_.reset();
  retry_timer_.reset();
  const Time now = context_->timers->Now();
  const Duration first =
      stream_started_ ? first_event_at_ - received_at_ : now - received_at_;
  Log(LogLevel::kInfo, "request_finished",
      {{"request", fields_.attempt_id},
       {"route", route_ == nullptr ? "" : route_->name},
       {"account", account_.value()},
       {"config", config_ ? std::to_string(config_->version) : "none"},
       {"target", target_.value()},
       {"prompt", std::to_string(fields_.prompt.value())},
       {"sends", std::to_string(sends_)},
       {"helpers", std::to_string(helpers_.size())},
       {"waited_ms",
        Ms(sends_ > 0 ? sent_at_ - received_at_ : now - received_at_)},
       {"expected_ms", Ms(expected_first_event_)},
       {"first_ms", Ms(first)},
       {"gap_ms", Ms(longest_gap_)},
       {"took_ms", Ms(now - received_at_)},
       {"status", std::to_string(status)},
       {"outcome", std::string(outcome)}});
  const std::string labels = fmt::format("outcome=\"{}\"", outcome);
  context_->metrics->Count("burdockhatch_forwarded_total", labels);
  if (route_ != nullptr) {
    context_->metrics->Observe("burdockhatch_first_byte_seconds",
                               fmt::format("service=\"{}\"", service_.value()),
                               first);
  }
}

}  // namespace burdockhatch
