#include "src/store_probe.h"

#include <utility>

#include "src/log.h"

namespace burdockhatch {

namespace {

// The platform counts a process as connected three seconds after the store is
// back, and expects a change in force two seconds later.
constexpr Duration kProbeInterval = std::chrono::milliseconds(1'000);
constexpr Duration kProbeIntervalAway = std::chrono::milliseconds(400);

}  // namespace

StoreProbe::StoreProbe(FleetFeed* feed,
                       Timers* timers,
                       std::function<void()> on_back)
    : feed_(feed), timers_(timers), on_back_(std::move(on_back)) {}

void StoreProbe::Start() {
  next_ = timers_->After(kProbeInterval, [this] { Ask(); });
}

void StoreProbe::Ask() {
  const std::weak_ptr<bool> alive = alive_;
  feed_->Probe([this, alive](bool answered) {
    if (!alive.expired()) {
      OnAnswer(answered);
    }
  });
}

void StoreProbe::OnAnswer(bool answered) {
  if (answered != answers_) {
    answers_ = answered;
    Log(answered ? LogLevel::kInfo : LogLevel::kWarning,
        answered ? "store_regained" : "store_lost");
    if (answered) {
      on_back_();
    }
  }
  next_ = timers_->After(answered ? kProbeInterval : kProbeIntervalAway,
                         [this] { Ask(); });
}

}  // namespace burdockhatch
