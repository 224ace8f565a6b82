// Memory of engines that is reserved for parts of one prompt.
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

// How an engine's memory is reserved. A platform implements it. Callbacks run
// on the thread of the decisions.
class EngineMemory {
 public:
  virtual ~EngineMemory() = default;

  // Reserves memory for `hold`, or renews the reservation of that id. `done`
  // tells whether the engine keeps it.
  virtual void Reserve(const Reservation& reservation,
                       Duration hold,
                       std::function<void(bool reserved)> done) = 0;
  virtual void Release(const Reservation& reservation) = 0;
};

// Reserves all or nothing, renews while it exists, and releases when destroyed.
class ReservationSet {
 public:
  // The platform frees what nobody renews, so that an entry that dies leaves
  // nothing behind for longer.
  static constexpr Duration kHold = std::chrono::milliseconds(3'000);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(1'000);

  // `memory` and `timers` outlive the set.
  ReservationSet(EngineMemory* memory,
                 Timers* timers,
                 std::vector<Reservation> reservations);
  ~ReservationSet();
  ReservationSet(const ReservationSet&) = delete;
  ReservationSet& operator=(const ReservationSet&) = delete;

  // `done` runs once, unless the set is destroyed before.
  void Start(std::function<void(bool reserved)> done);

 private:
  struct State;

  void Renew();

  std::shared_ptr<State> state_;
  std::unique_ptr<Timer> renewal_;
};

}  // namespace burdockhatch

#endif  // SRC_RESERVATIONS_H_
