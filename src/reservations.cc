#include "src/reservations.h"

#include <utility>

#include "src/log.h"

namespace burdockhatch {

struct ReservationSet::State {
  EngineMemory* memory = nullptr;
  Timers* timers = nullptr;
  std::vector<Reservation> reservations;
  std::function<void(bool)> done;
  size_t answers = 0;
  bool refused = false;
  bool ended = false;
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
  state_->ended = true;
  for (const Reservation& it : state_->reservations) {
    state_->memory->Release(it);
  }
}

void ReservationSet::Start(std::function<void(bool reserved)> done) {
  // `done` may destroy the set.
  const std::shared_ptr<State> state = state_;
  state->done = std::move(done);
  for (const Reservation& it : state->reservations) {
    state->memory->Reserve(it, kHold, [state](bool reserved) {
      ++state->answers;
      state->refused = state->refused || !reserved;
      if (state->ended || state->answers < state->reservations.size()) {
        return;
      }
      const auto done = std::exchange(state->done, nullptr);
      done(!state->refused);
    });
  }
  if (state->ended) {
    return;
  }
  renewal_ = state_->timers->Schedule(kRenewInterval, [this] { Renew(); });
}

void ReservationSet::Renew() {
  for (const Reservation& it : state_->reservations) {
    state_->memory->Reserve(it, kHold, [id = it.id](bool reserved) {
      if (!reserved) {
        // The engine cuts the request off when the memory lapses.
        Log(LogLevel::kWarning, "reservation_not_renewed", {{"id", id}});
      }
    });
  }
  renewal_ = state_->timers->Schedule(kRenewInterval, [this] { Renew(); });
}

}  // namespace burdockhatch
