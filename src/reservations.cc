#include "src/reservations.h"

#include <utility>

#include "src/log.h"

namespace burdockhatch {

struct ReservationSet::State {
  EngineMemory* memory = nullptr;
  Timers* timers = nullptr;
  std::vector<Reservation> reservations;
  std::function<void(bool)> done;
  size_t reply_count = 0;
  bool any_refused = false;
  bool is_destroyed = false;
};

ReservationSet::ReservationSet(EngineMemory* memory,
                               Timers* timers,
                               std::vector<Reservation> reservations)
    : state_(std::make_shared<State>()) {
  state_->memory = memory;
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
  ScheduleRenewal();
}

void ReservationSet::ScheduleRenewal() {
  renewed_at_ = state_->timers->Now();
  renewal_ = state_->timers->Schedule(kRenewInterval, [this] { Renew(); });
}

void ReservationSet::Renew() {
  const Duration age = state_->timers->Now() - renewed_at_;
  if (age >= kReservationTtl) {
    // The engines have freed the memory and aborted the request while this
    // process was paused. A renewal would reserve memory that nothing uses.
    Log(LogLevel::kWarning, "reservation_lapsed",
        {{"age_ms", std::to_string(age.count() / 1'000)}});
    return;
  }
  for (const Reservation& it : state_->reservations) {
    state_->memory->Reserve(it, kReservationTtl, [id = it.id](bool reserved) {
      if (!reserved) {
        // The engine aborts the request when its reservation expires.
        Log(LogLevel::kWarning, "reservation_not_renewed", {{"id", id}});
      }
    });
  }
  ScheduleRenewal();
}

}  // namespace burdockhatch
