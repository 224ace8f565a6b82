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

// Tells whether a target can be reached.
class TargetProbe {
 public:
  virtual ~TargetProbe() = default;

  // Connects to the target at `address` ("ip:port") and closes the connection
  // at once. `done` receives whether it was established in time. It is called
  // on the event loop thread, and may be called from within Probe().
  virtual void Probe(const std::string& address,
                     std::function<void(bool reachable)> done) = 0;
};

// Makes a set of reservations for a request, which succeeds only as a whole,
// renews it while the target of the request can be reached, and releases it on
// destruction. A target that has lost power ends the request without a sign to
// this process, and its helpers would hold the memory until the deadline.
class ReservationSet {
 public:
  // The platform frees reservations that are not renewed within this time, so a
  // crashed entry leaks memory for no longer.
  static constexpr Duration kReservationTtl = std::chrono::milliseconds(3'000);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(1'000);
  // Pause after a failed probe. A lost packet fails one, so several must fit
  // into the time that a reservation lasts.
  static constexpr Duration kProbeRetryInterval =
      std::chrono::milliseconds(300);
  // Failed probes in a row after which the target counts as unreachable.
  static constexpr int kFailedProbesUntilUnreachable = 2;

  // `memory`, `probe` and `timers` outlive the set. `target_address` is that of
  // the target which the request is sent to.
  ReservationSet(EngineMemory* memory,
                 TargetProbe* probe,
                 Timers* timers,
                 std::string target_address,
                 std::vector<Reservation> reservations);
  ~ReservationSet();
  ReservationSet(const ReservationSet&) = delete;
  ReservationSet& operator=(const ReservationSet&) = delete;

  // Calls `done` once all engines have replied, unless the set is destroyed
  // first. `reserved` is true if every engine accepted and no reservation has
  // expired since.
  void Start(std::function<void(bool reserved)> done);

  // Called once per loss of contact with the target. May destroy the set.
  void SetUnreachableHandler(std::function<void()> handler);

 private:
  struct State;

  void ProbeTarget();
  void OnProbed(bool reachable);
  // Whether the engines have freed the memory because this process was paused,
  // or the target could not be reached. A renewal would reserve memory that
  // nothing uses.
  bool HasLapsed() const;
  void Renew();
  void ScheduleProbe(Duration delay);

  std::shared_ptr<State> state_;
  const std::string target_address_;
  std::function<void()> on_unreachable_;
  int failed_probes_ = 0;  // In a row.
  Time renewed_at_{};
  std::unique_ptr<Timer> renewal_;
};

}  // namespace burdockhatch

#endif  // SRC_RESERVATIONS_H_
