// Base of the two forwarding daemons: one event loop thread for requests and
// placement decisions, the bus, the HTTP address for health, metrics and state,
// and the planned stop.
#ifndef SRC_FORWARD_LOOP_DAEMON_H_
#define SRC_FORWARD_LOOP_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/bus.h"
#include "src/clock.h"
#include "src/http_entry.h"
#include "src/loop_timers_daemon.h"
#include "src/metrics.h"
#include "src/settings.h"
#include "src/timers.h"

namespace burdockhatch {

// Responses are forwarded on the thread that makes the decisions: an instance
// has one core, where handing over to another thread costs more than a
// decision.
class ForwardDaemonBase : public HttpSessionDelegate, public Timers {
 public:
  explicit ForwardDaemonBase(Settings settings);
  ~ForwardDaemonBase() override;

  int Run();

  // HttpSessionDelegate. The operators' HTTP address serves no callers.
  void SubmitRequest(RequestSpec) override {}
  void OnCallerDisconnected(const RequestId&) override {}
  void ReportProgress(const AttemptId&, uint32_t) override {}
  void SendOfferToAgent(const PeerId&, Offer) override {}
  void DumpState(std::function<void(std::string)> done) override;
  std::string MetricsText() override;
  void LiftPart(PartKey part) override;

  // Timers.
  Time Now() const override { return clock_.Now(); }
  std::unique_ptr<Timer> Schedule(Duration delay,
                                  std::function<void()> callback) override;

 protected:
  // Returns an error text, empty on success.
  virtual std::string OnStart() = 0;
  virtual void OnMessage(const Message& message, Time now) = 0;
  virtual void OnUnreachable(const InstanceId& peer, Time now) = 0;
  // Returns the delay until the next tick.
  virtual Duration OnTick(Time now) = 0;
  virtual bool IsReady() const = 0;
  virtual void OnStopRequested() = 0;
  // The stop grace has changed while the process stops.
  virtual void OnStopGraceChanged() {}
  // Whether the process may exit, given the time since the stop was requested.
  virtual bool CanExit(Duration since_stop_requested) = 0;
  // Ends what is still in progress. Called after the last event.
  virtual void OnLoopEnded() {}
  // Ends the suspicion and the block of a part of prompts. Returns whether it
  // was suspect here.
  virtual bool LiftPartNow(PartKey part, Time now) = 0;
  // Returns the state of the daemon as JSON.
  virtual std::string Dump(Time now) const = 0;

  // Time between SIGTERM and SIGKILL, as the settings file says now.
  Duration stop_grace() const { return stop_grace_; }
  Time stop_requested_at() const { return stop_requested_at_; }

  const Settings settings_;
  const PeerId self_;
  SteadyClock clock_;
  Metrics metrics_;
  boost::asio::io_context io_;
  LoopTimers timers_;
  std::unique_ptr<Bus> bus_;
  std::unique_ptr<HttpEntry> admin_server_;

 private:
  std::string StartServers();
  void WaitForSignal();
  void OnSignal(int signal);
  // Reads the stop grace anew from the settings file.
  void UpdateStopGrace();
  void Tick();
  void UpdateReadiness();

  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_;
  bool stopping_ = false;
  bool ready_ = false;
  Duration stop_grace_;
  Time stop_requested_at_{};
};

}  // namespace burdockhatch

#endif  // SRC_FORWARD_LOOP_DAEMON_H_
