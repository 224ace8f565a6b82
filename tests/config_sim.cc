#include "tests/config_sim.h"

namespace burdockhatch {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kLateEffectDelay = std::chrono::milliseconds(2'500);
constexpr Duration kOperatorTickInterval = std::chrono::milliseconds(50);

ObjectReply StatusReply(ObjectStatus status) {
  ObjectReply reply;
  reply.status = status;
  return reply;
}

}  // namespace

void Timeline::At(Time when, std::function<void()> run) {
  events_.emplace(std::max(when, now_), std::move(run));
}

void Timeline::RunUntil(Time end) {
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto node = events_.extract(events_.begin());
    now_ = node.key();
    node.mapped()();
  }
  now_ = end;
}

Duration SimObjectApi::Latency() {
  return Duration(500 + static_cast<int64_t>(random_.UniformBelow(4'500)));
}

void SimObjectApi::Deliver(ObjectReply reply, Callback done) {
  timeline_->At(
      timeline_->now() + Latency(),
      [reply = std::move(reply), done = std::move(done)] { done(reply); });
}

void SimObjectApi::Call(std::function<ObjectReply()> effect, Callback done) {
  ++calls_;
  const auto answer_unknown = [&] {
    timeline_->At(timeline_->now() + kCallTimeout,
                  [done] { done(StatusReply(ObjectStatus::kUnknown)); });
  };
  if (outage || Chance(faults.lose_request)) {
    answer_unknown();
    return;
  }
  if (Chance(faults.throttle)) {
    Deliver(StatusReply(ObjectStatus::kThrottled), std::move(done));
    return;
  }
  if (Chance(faults.late_request)) {
    answer_unknown();
    timeline_->At(timeline_->now() + kLateEffectDelay, [effect] { effect(); });
    return;
  }
  if (Chance(faults.lose_answer)) {
    answer_unknown();
    timeline_->At(timeline_->now() + Latency(), [effect] { effect(); });
    return;
  }
  timeline_->At(timeline_->now() + Latency(),
                [this, effect = std::move(effect), done = std::move(done)] {
                  Deliver(effect(), done);
                });
}

void SimObjectApi::Read(Callback done) {
  Call(
      [this] {
        return version_.value() == 0
                   ? StatusReply(ObjectStatus::kNotFound)
                   : ObjectReply{ObjectStatus::kOk, version_, value_};
      },
      std::move(done));
}

ObjectReply SimObjectApi::Apply(ObjectVersion expected,
                                const std::string& value) {
  if (expected != version_) {
    return StatusReply(ObjectStatus::kConflict);
  }
  version_ = ObjectVersion(version_.value() + 1 + random_.UniformBelow(3));
  value_ = value;
  if (on_change) {
    on_change();
  }
  AnswerWatches();
  return {ObjectStatus::kOk, version_, ""};
}

void SimObjectApi::Update(ObjectVersion expected,
                          std::string value,
                          Callback done) {
  Call([this, expected,
        value = std::move(value)] { return Apply(expected, value); },
       std::move(done));
}

void SimObjectApi::Overwrite(std::string value) {
  Apply(version_, value);
}

void SimObjectApi::AnswerWatches() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (version_ <= it->second.after) {
      ++it;
      continue;
    }
    // A watch whose reply is lost ends with its own timeout.
    if (!outage && !Chance(faults.lose_answer)) {
      Deliver({ObjectStatus::kOk, version_, value_}, it->second.done);
      it = watches_.erase(it);
    } else {
      it->second.after = ObjectVersion(UINT64_MAX);
      ++it;
    }
  }
}

void SimObjectApi::Watch(ObjectVersion after, Duration wait, Callback done) {
  ++calls_;
  if (outage || Chance(faults.lose_request)) {
    timeline_->At(timeline_->now() + wait + kCallTimeout,
                  [done] { done(StatusReply(ObjectStatus::kUnknown)); });
    return;
  }
  const uint64_t id = next_watch_++;
  watches_[id] = {after, std::move(done)};
  if (version_ > after) {
    AnswerWatches();
  }
  timeline_->At(timeline_->now() + wait, [this, id] {
    const auto it = watches_.find(id);
    if (it == watches_.end()) {
      return;
    }
    const bool lost = outage || it->second.after.value() == UINT64_MAX;
    const Duration delay = lost ? kCallTimeout : Duration(0);
    const ObjectStatus status =
        lost ? ObjectStatus::kUnknown : ObjectStatus::kNotModified;
    timeline_->At(timeline_->now() + delay,
                  [done = std::move(it->second.done), status] {
                    done(StatusReply(status));
                  });
    watches_.erase(it);
  });
}

void SimOperator::Start(ConfigChange change, PublishOptions options) {
  publisher_ = std::make_unique<ConfigPublisher>(std::move(change), options,
                                                 timeline_->now());
  Poll();
}

void SimOperator::Poll() {
  publisher_->Tick(timeline_->now());
  for (PublishAction& it : publisher_->TakeActions()) {
    const auto on_reply = [this](const ObjectReply& reply) {
      publisher_->OnReply(reply, timeline_->now());
    };
    if (auto* update = std::get_if<UpdateConfigObject>(&it)) {
      api_->Update(update->expected, std::move(update->value), on_reply);
    } else {
      api_->Read(on_reply);
    }
  }
  if (!done()) {
    timeline_->At(timeline_->now() + kOperatorTickInterval, [this] { Poll(); });
  }
}

}  // namespace burdockhatch
