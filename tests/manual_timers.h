// A manually advanced implementation of Timers.
#ifndef TESTS_MANUAL_TIMERS_H_
#define TESTS_MANUAL_TIMERS_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "src/timers.h"

namespace burdockhatch {

class ManualTimers : public Timers {
 public:
  ~ManualTimers() override { CancelAll(); }

  // Destroys the pending callbacks, which may own the objects that own their
  // timers.
  void CancelAll() {
    Events pending;
    pending.swap(*events_);
  }

  Time Now() const override { return now_; }

  std::unique_ptr<Timer> Schedule(Duration delay,
                                  std::function<void()> callback) override {
    const Key key{now_ + delay, next_sequence_++};
    (*events_)[key] = std::move(callback);
    return std::make_unique<Handle>(events_, key);
  }

  // Advances the clock by `step` and runs the callbacks due, in order of time.
  void Advance(Duration step) {
    const Time end = now_ + step;
    while (!events_->empty() && events_->begin()->first.first <= end) {
      auto node = events_->extract(events_->begin());
      now_ = std::max(now_, node.key().first);
      node.mapped()();
    }
    now_ = end;
  }

  // Moves the clock without running the callbacks that are due, like a process
  // that was paused and handles other events first.
  void SkipTo(Time time) { now_ = time; }

 private:
  using Key = std::pair<Time, uint64_t>;
  using Events = std::map<Key, std::function<void()>>;

  class Handle : public Timer {
   public:
    Handle(std::shared_ptr<Events> events, Key key)
        : events_(std::move(events)), key_(key) {}
    ~Handle() override { events_->erase(key_); }

   private:
    std::shared_ptr<Events> events_;
    Key key_;
  };

  Time now_{std::chrono::seconds(100)};
  uint64_t next_sequence_ = 0;
  std::shared_ptr<Events> events_ = std::make_shared<Events>();
};

}  // namespace burdockhatch

#endif  // TESTS_MANUAL_TIMERS_H_
