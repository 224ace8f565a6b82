// Common base of the entry and agent daemons: the control thread and its
// periodic tick, the I/O threads, the bus, the object API, the fleet
// configuration, the HTTP server and the planned stop.
#ifndef SRC_DAEMON_LOOP_H_
#define SRC_DAEMON_LOOP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/bus.h"
#include "src/clock.h"
#include "src/config_distributor.h"
#include "src/http_entry.h"
#include "src/metrics.h"
#include "src/object_api.h"
#include "src/settings.h"

namespace burdockhatch {

// Virtual functions are called on the control thread unless noted otherwise.
class DaemonLoop : public HttpSessionDelegate {
 public:
  explicit DaemonLoop(Settings settings);
  ~DaemonLoop() override;

  // Runs until a planned stop is complete. Returns the process exit status.
  int Run();

  // HttpSessionDelegate, called on traffic threads.
  void DumpState(std::function<void(std::string)> done) override;
  std::string MetricsText() override;

 protected:
  // Called once, after the bus and the object API have been created and before
  // the first event.
  virtual void OnStart() = 0;
  virtual void OnTick(Time now) = 0;
  virtual void OnConfig(FleetConfigPtr config, Time now) = 0;
  virtual void OnInstances(const std::vector<InstanceInfo>& instances,
                           Time now) = 0;
  // Handles a message for which HandleOnBusThread returned false.
  virtual void OnMessage(const Message& message, Time now) = 0;
  // Called on the bus thread. Returns whether the message is handled and must
  // not be passed to OnMessage.
  virtual bool HandleOnBusThread(Message& message) = 0;
  virtual void OnUnreachable(const InstanceId& peer, Time now) = 0;
  // Executes the actions that the core has requested. Called after each event.
  virtual void ExecuteActions(Time now) = 0;
  // Whether this process can accept work, regardless of a planned stop.
  virtual bool IsReady() const = 0;
  // A planned stop ends all open work at `work_ends_at`. Called again when the
  // stop grace changes meanwhile.
  virtual void OnStopPlanned(Time work_ends_at) {}
  // Starts to refuse new work because of a planned stop.
  virtual void BeginDrain(Time now) = 0;
  virtual bool IsDrained() const = 0;
  // Time after SIGTERM by which the process must have exited, if it bounds its
  // planned stop.
  virtual std::optional<Duration> StopGrace() const { return std::nullopt; }
  // limits.stop_grace_ms, as the settings file says now.
  Duration configured_stop_grace() const;
  // Ends all open work shortly before the end of the stop grace. Returns how
  // much there was.
  virtual size_t EndOpenWork(Time now) { return 0; }
  // Sends the last messages before the bus stops.
  virtual void SendGoodbye() = 0;
  // Returns the state of the core as JSON text.
  virtual std::string CoreStateJson(Time now) const = 0;

  // Time for which new work is still accepted after the health endpoint has
  // started to return 503 because of a planned stop.
  virtual Duration AcceptPeriodAfterStop() const = 0;

  // Runs `event` on the control thread, then executes the actions of the core.
  // May be called on any thread.
  void PostToControlThread(std::function<void(Time now)> event);

  // Executes the pending actions of the configuration spread and the core. A
  // callback of an adapter that delivers an event to the core must call it.
  void ExecutePendingActions();

  // Returns the entries with which this one exchanges heartbeats.
  std::vector<InstanceId> HeartbeatPeers() const;

  // Components that request connections to peers.
  enum class ConnectionUser : uint8_t { kCore, kConfig };

  // Keeps a connection to `peer` open while at least one user requests it. The
  // most recent address is used.
  void Connect(ConnectionUser user,
               const InstanceId& peer,
               const std::string& address);
  void Disconnect(ConnectionUser user, const InstanceId& peer);

  Time Now() const { return clock_.Now(); }

  const Settings settings_;
  const PeerId self_;
  SteadyClock clock_;
  Metrics metrics_;
  // Handlers pending on `control_io_` may own adapters with connections on
  // `traffic_io_`, so `traffic_io_` must be destroyed last.
  boost::asio::io_context traffic_io_;
  boost::asio::io_context control_io_;
  std::unique_ptr<ObjectApi> object_api_;
  std::unique_ptr<Bus> bus_;
  std::unique_ptr<HttpEntry> http_server_;
  FleetConfigPtr config_;
  std::map<InstanceId, std::vector<ConnectionUser>> connection_users_;

 private:
  struct Internals;

  bool StartComponents();
  void StartTick();
  void Tick();
  void UpdateServingPhase(Time now);
  void WaitForSignal();
  void OnSignal(int signal_number);
  void BeginStop(int signal_number);
  // Reads the stop grace anew from the settings file.
  void UpdateStopGrace();
  // Sets when the process begins to exit.
  void PlanStop();
  // Ends open work, and the process, when the stop grace is nearly over.
  void KeepStopGrace(Time now);
  void FinishStop();
  void ExecuteConfigActions();
  void Execute(SendConfigMessage& action);
  void Execute(const WatchConfig& action);
  void Execute(const ApplyConfig& action);
  void Execute(const ConnectConfigPeer& action);
  void Execute(const DisconnectConfigPeer& action);
  void PollInstances();
  void OnInstanceList(const InstanceListReply& reply);
  void ReceiveOnBusThread(Message message);
  void UpdateMetrics();
  std::string StateText() const;

  std::unique_ptr<Internals> internals_;
};

}  // namespace burdockhatch

#endif  // SRC_DAEMON_LOOP_H_
