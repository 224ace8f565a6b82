#include "src/loop_timers_daemon.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace burdockhatch {

namespace asio = boost::asio;

namespace {

class LoopTimer : public Timer {
 public:
  LoopTimer(asio::io_context& io,
            Duration delay,
            std::function<void()> callback)
      : state_(std::make_shared<State>(io, std::move(callback))) {
    state_->timer.expires_after(delay);
    state_->timer.async_wait([state = state_](boost::system::error_code ec) {
      const auto callback = std::exchange(state->callback, nullptr);
      if (!ec && !state->is_cancelled) {
        callback();
      }
    });
  }

  // cancel() does not reach a handler that has expired and is queued, so the
  // flag stops it. The handler destroys the callback, which may own the object
  // that destroys this timer.
  ~LoopTimer() override {
    state_->is_cancelled = true;
    state_->timer.cancel();
  }

 private:
  struct State {
    State(asio::io_context& io, std::function<void()> callback)
        : timer(io), callback(std::move(callback)) {}

    asio::steady_timer timer;
    std::function<void()> callback;
    bool is_cancelled = false;
  };

  std::shared_ptr<State> state_;
};

}  // namespace

std::unique_ptr<Timer> LoopTimers::Schedule(Duration delay,
                                            std::function<void()> callback) {
  return std::make_unique<LoopTimer>(io_, delay, std::move(callback));
}

}  // namespace burdockhatch
