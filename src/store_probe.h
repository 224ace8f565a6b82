// Notices that the platform's store has stopped answering this process, and
// that it answers again, while watches wait in silence.
#ifndef SRC_STORE_PROBE_H_
#define SRC_STORE_PROBE_H_

#include <functional>
#include <memory>

#include "src/fleet_feed.h"
#include "src/timers.h"

namespace burdockhatch {

class StoreProbe {
 public:
  // `on_back` runs when the store answers after it has not. `feed` and `timers`
  // outlive the probe.
  StoreProbe(FleetFeed* feed, Timers* timers, std::function<void()> on_back);

  void Start();

 private:
  void Ask();
  void OnAnswer(bool answered);

  FleetFeed* feed_;
  Timers* timers_;
  std::function<void()> on_back_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<Timer> next_;
  bool answers_ = true;
};

}  // namespace burdockhatch

#endif  // SRC_STORE_PROBE_H_
