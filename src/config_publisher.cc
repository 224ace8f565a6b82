#include "src/config_publisher.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace burdockhatch {

namespace {

constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
constexpr uint32_t kMaxBackoffDoublings = 5;

}  // namespace

ConfigPublisher::ConfigPublisher(ConfigChange change,
                                 PublishOptions options,
                                 Time now)
    : change_(std::move(change)),
      options_(options),
      deadline_(now + options.time_limit),
      random_(options.seed) {
  SendRequest(Operation::kRead);
}

void ConfigPublisher::OnReply(const ObjectReply& reply, Time now) {
  if (result_ || !pending_operation_) {
    return;
  }
  const Operation operation = *pending_operation_;
  pending_operation_.reset();
  if (operation == Operation::kRead) {
    OnReadReply(reply, now);
  } else {
    OnUpdateReply(reply, now);
  }
}

void ConfigPublisher::Tick(Time now) {
  if (result_) {
    return;
  }
  if (now >= deadline_) {
    if (pending_operation_ == Operation::kUpdate) {
      unresolved_version_ = expected_version_;
    }
    FinishWithoutApplying(PublishStatus::kUnavailable);
    return;
  }
  if (next_operation_ && now >= next_operation_at_) {
    SendRequest(*std::exchange(next_operation_, std::nullopt));
  }
}

std::vector<PublishAction> ConfigPublisher::TakeActions() {
  return std::exchange(actions_, {});
}

void ConfigPublisher::OnReadReply(const ObjectReply& reply, Time now) {
  if (reply.status == ObjectStatus::kNotFound) {
    OnCurrentConfig(FleetConfig{}, now);
    return;
  }
  if (reply.status != ObjectStatus::kOk) {
    ScheduleAfterBackoff(Operation::kRead, now);
    return;
  }
  Findings findings;
  const std::optional<FleetConfig> current = ParseFleetConfig(
      reply.value, ConfigVersion(reply.version.value()), &findings);
  if (current) {
    OnCurrentConfig(*current, now);
    return;
  }
  findings.Add("", "the stored configuration is not valid");
  FinishWithoutApplying(PublishStatus::kInvalid);
  result_->findings = std::move(findings);
}

// An update that certainly failed is repeated against the same version. After a
// lost reply, reading the document shows whether the update took effect.
void ConfigPublisher::OnUpdateReply(const ObjectReply& reply, Time now) {
  switch (reply.status) {
    case ObjectStatus::kOk:
      Finish(PublishStatus::kAccepted);
      result_->version = ConfigVersion(reply.version.value());
      return;
    case ObjectStatus::kConflict:
    case ObjectStatus::kNotFound:
      SendRequest(Operation::kRead);
      return;
    case ObjectStatus::kThrottled:
    case ObjectStatus::kNotSent:
      ScheduleAfterBackoff(Operation::kUpdate, now);
      return;
    case ObjectStatus::kNotModified:
    case ObjectStatus::kUnknown:
      unresolved_version_ = expected_version_;
      ScheduleAfterBackoff(Operation::kRead, now);
      return;
  }
}

void ConfigPublisher::OnCurrentConfig(const FleetConfig& current, Time now) {
  const ChangeOutcome fate = FindChangeOutcome(
      current, change_.id, unresolved_version_.value_or(current.version));
  if (fate == ChangeOutcome::kApplied) {
    Finish(PublishStatus::kAccepted);
    const auto record =
        std::find_if(current.log.begin(), current.log.end(),
                     [&](const auto& it) { return it.id == change_.id; });
    result_->version = record->version;
    return;
  }
  if (fate == ChangeOutcome::kIndeterminate) {
    Finish(PublishStatus::kUnknown);
    return;
  }
  // An update of unknown outcome may still take effect. Sending it again
  // against the same version settles this, because only one of the two can
  // succeed. The unresolved version is kept until the document proves that the
  // update failed.
  if (fate == ChangeOutcome::kNotApplied) {
    unresolved_version_.reset();
  }
  RebaseResult rebased = Rebase(change_, current, options_.mode);
  switch (rebased.status) {
    case RebaseStatus::kNoChange:
      FinishWithoutApplying(PublishStatus::kNoChange);
      return;
    case RebaseStatus::kConflict:
      FinishWithoutApplying(PublishStatus::kConflict);
      result_->conflicts = std::move(rebased.conflicts);
      return;
    case RebaseStatus::kInvalid:
      FinishWithoutApplying(PublishStatus::kInvalid);
      result_->findings = std::move(rebased.findings);
      return;
    case RebaseStatus::kApplied:
      break;
  }
  expected_version_ = current.version;
  new_document_ = SerializeFleetConfig(rebased.config);
  if (static_cast<int64_t>(new_document_.size()) > kMaxObjectSize.value()) {
    FinishWithoutApplying(PublishStatus::kInvalid);
    result_->findings.Add(
        "", fmt::format("the configuration would take {} bytes; the object API "
                        "stores at most {}",
                        new_document_.size(), kMaxObjectSize.value()));
    return;
  }
  SendRequest(Operation::kUpdate);
}

void ConfigPublisher::SendRequest(Operation operation) {
  pending_operation_ = operation;
  if (operation == Operation::kRead) {
    actions_.emplace_back(ReadConfigObject{});
    return;
  }
  ++update_count_;
  actions_.emplace_back(UpdateConfigObject{
      ObjectVersion(expected_version_.value()), new_document_});
}

void ConfigPublisher::ScheduleAfterBackoff(Operation next, Time now) {
  const Duration full = std::min(
      kMinBackoff * (1 << std::min(failure_count_, kMaxBackoffDoublings)),
      kMaxBackoff);
  ++failure_count_;
  const auto jitter = static_cast<int64_t>(
      random_.UniformBelow(static_cast<uint64_t>(full.count())));
  next_operation_ = next;
  next_operation_at_ = now + full / 2 + Duration(jitter);
}

void ConfigPublisher::Finish(PublishStatus status) {
  result_.emplace();
  result_->status = status;
  next_operation_.reset();
}

// Finishes with `status`, which means that the change was not applied, or with
// kUnknown if an earlier update may still take effect.
void ConfigPublisher::FinishWithoutApplying(PublishStatus status) {
  Finish(unresolved_version_ ? PublishStatus::kUnknown : status);
}

}  // namespace burdockhatch
