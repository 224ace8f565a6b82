// Distributes the configuration to every process. Two entries of each data
// centre watch the configuration object, changes are pushed to peers, and a
// process with an old version pulls the new one. Takes events as input and
// returns actions for the caller to execute; uses neither sockets nor a clock.
#ifndef SRC_CONFIG_DISTRIBUTOR_H_
#define SRC_CONFIG_DISTRIBUTOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/clock.h"
#include "src/fleet_config.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/object_api.h"
#include "src/units.h"

namespace burdockhatch {

// An entry that a process may contact before it has an instance list.
struct SeedPeer {
  InstanceId instance;
  std::string address;  // "ip:port" of the bus.
};

struct ConfigDistributorOptions {
  PeerId self;
  Role role = Role::kEntry;
  DataCentreId data_centre;
  std::string address;  // "ip:port" of this process's bus.
  uint64_t seed = 1;
  uint32_t peer_count = 6;  // For entries: heartbeat peers for anti-entropy.
  std::vector<SeedPeer> seed_peers;  // For entries.
};

// Action: send `body` to a peer. An incarnation of 0 is unknown. The caller
// reports a failed send through OnPeerUnreachable.
struct SendConfigMessage {
  PeerId to;
  MessageBody body;
};

// Action: call ObjectApi::Watch on FleetConfigObjectName() and pass the reply
// to OnObjectReply. At most one call is outstanding.
struct WatchConfig {
  ObjectVersion after;  // Highest version applied or rejected.
  // How long the call waits for a higher version; zero for an immediate reply.
  Duration wait{0};
};

// Action: put the configuration into effect.
struct ApplyConfig {
  FleetConfigPtr config;
};

// Action: connect to a peer. The daemon keeps a connection while any of its
// components requests one.
struct ConnectConfigPeer {
  InstanceId instance;
  std::string address;
};

// Action: withdraw the request for a connection.
struct DisconnectConfigPeer {
  InstanceId instance;
};

using ConfigDistributorAction = std::variant<SendConfigMessage,
                                             WatchConfig,
                                             ApplyConfig,
                                             ConnectConfigPeer,
                                             DisconnectConfigPeer>;

struct ConfigDistributorTables;

class ConfigDistributor {
 public:
  ConfigDistributor(ConfigDistributorOptions options, Time now);
  ~ConfigDistributor();
  ConfigDistributor(const ConfigDistributor&) = delete;
  ConfigDistributor& operator=(const ConfigDistributor&) = delete;

  // Called about every kConfigTickInterval.
  void Tick(Time now);

  // Handles any message from another process. Each message carries the
  // configuration version of its sender.
  void OnMessage(const Message& message, Time now);

  // Records that an entry subscribed to this agent's load reports for `ttl`.
  // OnMessage calls this for a Subscribe.
  void OnSubscriber(const PeerId& entry, Duration ttl, Time now);

  void OnInstances(const std::vector<InstanceInfo>& instances, Time now);
  void OnPeerUnreachable(const InstanceId& instance, Time now);
  void OnObjectReply(const ObjectReply& reply, Time now);

  // Begins a planned stop: heartbeats announce the drain and this process stops
  // watching the object.
  void BeginDrain();

  std::vector<ConfigDistributorAction> TakeActions();

  // Returns null until the first configuration is applied. The process is not
  // ready before that.
  const FleetConfigPtr& current() const;
  // Returns the version that is sent along with every message.
  ConfigVersion version() const;

  // Entries to which this one sends heartbeats. Over all entries they form a
  // connected graph.
  std::vector<InstanceId> heartbeat_peers() const;

  const ConfigDistributorTables& tables() const { return *tables_; }
  // Returns the state as JSON for diagnosis.
  std::string Dump(Time now) const;

 private:
  std::unique_ptr<ConfigDistributorTables> tables_;
};

inline constexpr Duration kConfigTickInterval = std::chrono::milliseconds(100);

}  // namespace burdockhatch

#endif  // SRC_CONFIG_DISTRIBUTOR_H_
