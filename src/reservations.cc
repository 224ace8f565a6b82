#include "src/reservations.h"

#include <utility>

#include "src/log.h"

namespace burdockhatch {

struct ReservationSet::State {
  EngineMemory* memory = nullptr;
  TargetProbe* probe = nullptr;
  Timers* timers = nullptr;
  std::vector<Reservation> reservations;
  std::function<void(bool)> done;
  size_t reply_count = 0;
  bool any_refused = false;
  bool is_destroyed = false;
};

ReservationSet::ReservationSet(EngineMemory* memory,
                               TargetProbe* probe,
                               Timers* timers,
                               std::string target_address,
                               std::vector<Reservation> reservations)
    : state_(std::make_shared<State>()),
      target_address_(std::move(target_address)) {
  state_->memory = memory;
  state_->probe = probe;
  state_->timers = timers;
  state_->reservations = std::move(reservations);
}

ReservationSet::~ReservationSet() {
  state_->is_destroyed = true;
  for (const Reservation& it : state_->reservations) {
    state_->memory->Release(it);
  }
}

void ReservationSet::Start(std::function<void(bool reserved)> done) {
  // Keeps the state alive if `done` destroys the set.
  const std::shared_ptr<State> state = state_;
  state->done = std::move(done);
  const Time requested_at = state->timers->Now();
  for (const Reservation& it : state->reservations) {
    state->memory->Reserve(
        it, kReservationTtl, [state, requested_at](bool reserved) {
          const bool expired =
              state->timers->Now() - requested_at >= kReservationTtl;
          ++state->reply_count;
          state->any_refused = state->any_refused || !reserved || expired;
          if (state->is_destroyed ||
              state->reply_count < state->reservations.size()) {
            return;
          }
          const auto done = std::exchange(state->done, nullptr);
          done(!state->any_refused);
        });
  }
  if (state->is_destroyed) {
    return;
  }
  renewed_at_ = requested_at;
  ScheduleProbe(kRenewInterval);
}

void ReservationSet::SetUnreachableHandler(std::function<void()> handler) {
  on_unreachable_ = std::move(handler);
}

void ReservationSet::ScheduleProbe(Duration delay) {
  renewal_ = state_->timers->Schedule(delay, [this] { ProbeTarget(); });
}

bool ReservationSet::HasLapsed() const {
  const Duration age = state_->timers->Now() - renewed_at_;
  if (age < kReservationTtl) {
    return false;
  }
  Log(LogLevel::kWarning, "reservation_lapsed",
      {{"target_address", target_address_},
       {"failed_probes", std::to_string(failed_probes_)},
       {"age_ms", std::to_string(age.count() / 1'000)}});
  return true;
}

void ReservationSet::ProbeTarget() {
  if (HasLapsed()) {
    return;
  }
  state_->probe->Probe(target_address_, [this, state = state_](bool reachable) {
    if (!state->is_destroyed) {
      OnProbed(reachable);
    }
  });
}

void ReservationSet::OnProbed(bool reachable) {
  if (HasLapsed()) {
    return;
  }
  if (reachable) {
    failed_probes_ = 0;
    Renew();
    return;
  }
  ScheduleProbe(kProbeRetryInterval);
  if (++failed_probes_ != kFailedProbesUntilUnreachable) {
    return;
  }
  Log(LogLevel::kWarning, "target_unreachable",
      {{"target_address", target_address_}});
  if (const auto handler = on_unreachable_) {
    handler();
  }
}

void ReservationSet::Renew() {
  for (const Reservation& it : state_->reservations) {
    state_->memory->Reserve(it, kReservationTtl, [id = it.id](bool reserved) {
      if (!reserved) {
        // The engine aborts the request when its reservation expires.
        Log(LogLevel::kWarning, "reservation_not_renewed", {{"id", id}});
      }
    });
  }
  renewed_at_ = state_->timers->Now();
  ScheduleProbe(kRenewInterval);
}

}  // namespace burdockhatch
