// Reserves memory on several engines for the parts of one prompt.
#ifndef SRC_RESERVATIONS_H_
#define SRC_RESERVATIONS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/timers.h"
#include "src/units.h"

namespace burdockhatch {

struct Reservation {
  std::string address;  // "ip:port" of the engine.
  std::string id;       // Unique at the engine.
  Tokens tokens;
};

// Interface to the engines' memory reservations, implemented by the platform.
// Callbacks run on the event loop thread.
class EngineMemory {
 public:
  virtual ~EngineMemory() = default;

  // Reserves memory for the duration `ttl`, or renews the reservation with the
  // same id. `done` receives whether the engine holds the reservation.
  virtual void Reserve(const Reservation& reservation,
                       Duration ttl,
                       std::function<void(bool reserved)> done) = 0;
  virtual void Release(const Reservation& reservation) = 0;
};

// Makes a set of reservations that succeeds only as a whole, renews it
// periodically and releases it on destruction.
class ReservationSet {
 public:
  // The platform frees reservations that are not renewed within this time, so a
  // crashed entry leaks memory for no longer.
  static constexpr Duration kReservationTtl = std::chrono::milliseconds(3'000);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(1'000);

  // `memory` and `timers` outlive the set.
  ReservationSet(EngineMemory* memory,
                 Timers* timers,
                 std::vector<Reservation> reservations);
  ~ReservationSet();
  ReservationSet(const ReservationSet&) = delete;
  ReservationSet& operator=(const ReservationSet&) = delete;

  // Calls `done` once all engines have replied, unless the set is destroyed
  // first. `reserved` is true if every engine accepted and no reservation has
  // expired since.
  void Start(std::function<void(bool reserved)> done);

 private:
  struct State;

  void Renew();
  void ScheduleRenewal();

  std::shared_ptr<State> state_;
  Time renewed_at_{};
  std::unique_ptr<Timer> renewal_;
};

}  // namespace burdockhatch

#endif  // SRC_RESERVATIONS_H_
