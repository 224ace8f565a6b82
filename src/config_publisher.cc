#include "src/config_publisher.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace burdockhatch {

namespace {

constexpr Duration kFirstBackOff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackOff = std::chrono::seconds(2);
constexpr uint32_t kMaxBackOffDoublings = 5;

}  // namespace

ConfigPublisher::ConfigPublisher(Change change,
                                 PublishOptions options,
                                 Time now)
    : change_(std::move(change)),
      options_(options),
      deadline_(now + options.time_limit),
      random_(options.seed) {
  Send(Step::kRead);
}

void ConfigPublisher::OnReply(const ObjectReply& reply, Time now) {
  if (result_ || !waiting_for_) {
    return;
  }
  const Step step = *waiting_for_;
  waiting_for_.reset();
  if (step == Step::kRead) {
    OnRead(reply, now);
  } else {
    OnUpdate(reply, now);
  }
}

void ConfigPublisher::Tick(Time now) {
  if (result_) {
    return;
  }
  if (now >= deadline_) {
    if (waiting_for_ == Step::kUpdate) {
      unresolved_ = expected_;
    }
    EndUnapplied(PublishStatus::kUnavailable);
    return;
  }
  if (next_ && now >= next_at_) {
    Send(*std::exchange(next_, std::nullopt));
  }
}

std::vector<PublishAction> ConfigPublisher::TakeActions() {
  return std::exchange(actions_, {});
}

void ConfigPublisher::OnRead(const ObjectReply& reply, Time now) {
  if (reply.status == ObjectStatus::kNotFound) {
    OnHead(FleetConfig{}, now);
    return;
  }
  if (reply.status != ObjectStatus::kOk) {
    BackOff(Step::kRead, now);
    return;
  }
  Findings findings;
  const std::optional<FleetConfig> head = ParseFleetConfig(
      reply.value, ConfigVersion(reply.version.value()), &findings);
  if (head) {
    OnHead(*head, now);
    return;
  }
  findings.Add("", "the stored configuration is not valid");
  EndUnapplied(PublishStatus::kInvalid);
  result_->findings = std::move(findings);
}

// An update that failed for certain may be repeated against the same version;
// after a lost answer the document decides.
void ConfigPublisher::OnUpdate(const ObjectReply& reply, Time now) {
  switch (reply.status) {
    case ObjectStatus::kOk:
      End(PublishStatus::kAccepted);
      result_->version = ConfigVersion(reply.version.value());
      return;
    case ObjectStatus::kConflict:
    case ObjectStatus::kNotFound:
      Send(Step::kRead);
      return;
    case ObjectStatus::kThrottled:
    case ObjectStatus::kNotSent:
      BackOff(Step::kUpdate, now);
      return;
    case ObjectStatus::kNotModified:
    case ObjectStatus::kUnknown:
      unresolved_ = expected_;
      BackOff(Step::kRead, now);
      return;
  }
}

void ConfigPublisher::OnHead(const FleetConfig& head, Time now) {
  const ChangeFate fate =
      FateOf(head, change_.id, unresolved_.value_or(head.version));
  if (fate == ChangeFate::kApplied) {
    End(PublishStatus::kAccepted);
    const auto record =
        std::find_if(head.log.begin(), head.log.end(),
                     [&](const auto& it) { return it.id == change_.id; });
    result_->version = record->version;
    return;
  }
  if (fate == ChangeFate::kUnprovable) {
    End(PublishStatus::kUnknown);
    return;
  }
  // An update of unknown outcome that is still open may take effect later. The
  // same update again decides it: only one of the two can.
  if (fate == ChangeFate::kNotApplied) {
    unresolved_.reset();
  }
  RebaseResult rebased = Rebase(change_, head, options_.mode);
  switch (rebased.status) {
    case RebaseStatus::kNoChange:
      EndUnapplied(PublishStatus::kNoChange);
      return;
    case RebaseStatus::kConflict:
      EndUnapplied(PublishStatus::kConflict);
      result_->conflicts = std::move(rebased.conflicts);
      return;
    case RebaseStatus::kInvalid:
      EndUnapplied(PublishStatus::kInvalid);
      result_->findings = std::move(rebased.findings);
      return;
    case RebaseStatus::kApplied:
      break;
  }
  expected_ = head.version;
  value_ = SerializeFleetConfig(rebased.config);
  if (static_cast<int64_t>(value_.size()) > kMaxObjectSize.value()) {
    EndUnapplied(PublishStatus::kInvalid);
    result_->findings.Add(
        "", fmt::format("the configuration would take {} bytes; the object API "
                        "stores at most {}",
                        value_.size(), kMaxObjectSize.value()));
    return;
  }
  Send(Step::kUpdate);
}

void ConfigPublisher::Send(Step step) {
  waiting_for_ = step;
  if (step == Step::kRead) {
    actions_.emplace_back(ReadConfigObject{});
    return;
  }
  ++tries_;
  actions_.emplace_back(
      UpdateConfigObject{ObjectVersion(expected_.value()), value_});
}

void ConfigPublisher::BackOff(Step next, Time now) {
  const Duration full =
      std::min(kFirstBackOff * (1 << std::min(failures_, kMaxBackOffDoublings)),
               kMaxBackOff);
  ++failures_;
  const auto jitter =
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(full.count())));
  next_ = next;
  next_at_ = now + full / 2 + Duration(jitter);
}

void ConfigPublisher::End(PublishStatus status) {
  result_.emplace();
  result_->status = status;
  next_.reset();
}

// Ends with `status`, which says that the change was not applied, unless an
// earlier update may still take effect.
void ConfigPublisher::EndUnapplied(PublishStatus status) {
  End(unresolved_ ? PublishStatus::kUnknown : status);
}

}  // namespace burdockhatch
