// What both roles of the daemon share: the control thread with its tick, the
// threads of the adapters, the bus, the object API, the fleet configuration,
// the HTTP server and the planned stop.
#ifndef SRC_DAEMON_LOOP_H_
#define SRC_DAEMON_LOOP_H_

#include <functional>
#include <map>
#include <memory>
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

// Base of the two daemons. All virtual functions without a note run on the
// control thread.
class DaemonLoop : public HttpSessionDelegate {
 public:
  explicit DaemonLoop(Settings settings);
  ~DaemonLoop() override;

  // Runs until a planned stop is complete. Returns the exit status.
  int Run();

  // HttpSessionDelegate, for traffic threads.
  void DumpState(std::function<void(std::string)> done) override;
  std::string MetricsText() override;

 protected:
  // Called once, after the bus and the object API are there and before the
  // first event.
  virtual void OnStart() = 0;
  virtual void OnTick(Time now) = 0;
  virtual void OnConfig(FleetConfigPtr config, Time now) = 0;
  virtual void OnInstances(const std::vector<InstanceInfo>& instances,
                           Time now) = 0;
  // A message other than one that HandleOnBusThread took.
  virtual void OnMessage(const Message& message, Time now) = 0;
  // Whether the message was handled on the bus thread, where this runs.
  virtual bool HandleOnBusThread(Message& message) = 0;
  virtual void OnUnreachable(const InstanceId& peer, Time now) = 0;
  // Executes the actions that the core has asked for. Called after each event.
  virtual void ExecuteActions(Time now) = 0;
  // Whether this process can do its work, apart from a planned stop.
  virtual bool IsReady() const = 0;
  // A planned stop refuses new work from now on.
  virtual void BeginDrain(Time now) = 0;
  virtual bool IsDrained() const = 0;
  // The last messages before the bus stops.
  virtual void SendGoodbye() = 0;
  // JSON text.
  virtual std::string CoreStateJson(Time now) const = 0;

  // How long a planned stop still accepts work after the health endpoint has
  // answered 503.
  virtual Duration AcceptPeriodAfterStop() const = 0;

  // Runs `event` on the control thread, then executes the actions of the core.
  // Callable from any thread.
  void PostToControlThread(std::function<void(Time now)> event);

  // Executes the actions of the core after an event that was run by an adapter.
  void ExecutePendingActions();

  // Parts of the daemon that ask for connections.
  enum class ConnectionUser : uint8_t { kCore, kConfig };

  // Keeps a connection to `peer` while at least one user asks for it. The
  // address given last is used.
  void Connect(ConnectionUser user,
               const InstanceId& peer,
               const std::string& address);
  void Disconnect(ConnectionUser user, const InstanceId& peer);

  Time Now() const { return clock_.Now(); }

  const Settings settings_;
  const PeerId self_;
  SteadyClock clock_;
  Metrics metrics_;
  // Adapters own connections on `traffic_io_` and have handlers on
  // `control_io_`, so that `traffic_io_` is destroyed last.
  boost::asio::io_context traffic_io_;
  boost::asio::io_context control_io_;
  std::unique_ptr<ObjectApi> object_api_;
  std::unique_ptr<Bus> bus_;
  std::unique_ptr<HttpEntry> http_server_;
  FleetConfigPtr config_;
  std::map<InstanceId, std::vector<ConnectionUser>> connection_users_;

 private:
  struct Parts;

  bool StartParts();
  void StartTick();
  void Tick();
  void UpdatePhase(Time now);
  void BeginStop(int signal_number);
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

  std::unique_ptr<Parts> parts_;
};

}  // namespace burdockhatch

#endif  // SRC_DAEMON_LOOP_H_
