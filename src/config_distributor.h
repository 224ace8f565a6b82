// Brings the configuration to every process: two entries of each data centre
// watch the object, news is pushed to peers, and a process that is behind
// pulls. Events go in, actions come out; no sockets and no clock.
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

// An entry that a process may ask before it has an instance list.
struct SeedPeer {
  InstanceId instance;
  std::string address;  // "ip:port" of its bus.
};

struct ConfigDistributorOptions {
  PeerId self;
  Role role = Role::kEntry;
  DataCentreId data_centre;
  std::string address;  // "ip:port" of the own bus.
  uint64_t seed = 1;
  uint32_t peer_count = 6;           // Entries only: peers for anti-entropy.
  std::vector<SeedPeer> seed_peers;  // Entries only.
};

// Sends `body`; an incarnation of 0 means that it is not known. A failed send
// is reported with OnPeerUnreachable.
struct SendConfigMessage {
  PeerId to;
  MessageBody body;
};

// Calls ObjectApi::Watch on FleetConfigObject(); the answer goes to
// OnObjectReply. There is at most one such call at a time.
struct WatchConfig {
  ObjectVersion after;
  Duration wait{0};
};

// The configuration is in effect from now on.
struct ApplyConfig {
  FleetConfigPtr config;
};

// The daemon keeps a connection while any part of it asks for one.
struct ConnectConfigPeer {
  InstanceId instance;
  std::string address;
};

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

  // Every kConfigTickInterval or so.
  void Tick(Time now);

  // Any message of any process: each carries the version that its sender knows.
  void OnMessage(const Message& message, Time now);

  // Agents: an entry asked for load reports for the next `ttl`. OnMessage calls
  // this for a Subscribe.
  void OnSubscriber(const PeerId& entry, Duration ttl, Time now);

  void OnInstances(const std::vector<InstanceInfo>& instances, Time now);
  void OnPeerUnreachable(const InstanceId& instance, Time now);
  void OnObjectReply(const ObjectReply& reply, Time now);

  // Planned stop: heartbeats say so and this process gives up its watch.
  void BeginDrain();

  std::vector<ConfigDistributorAction> TakeActions();

  // Null until the first configuration; the process is not ready until then.
  const FleetConfigPtr& current() const;
  // Goes into the envelope of every message that this process sends.
  ConfigVersion version() const;

  const ConfigDistributorTables& tables() const { return *tables_; }
  // A JSON dump.
  std::string Dump(Time now) const;

 private:
  std::unique_ptr<ConfigDistributorTables> tables_;
};

inline constexpr Duration kConfigTickInterval = std::chrono::milliseconds(100);

}  // namespace burdockhatch

#endif  // SRC_CONFIG_DISTRIBUTOR_H_
