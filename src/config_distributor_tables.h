// The state of ConfigDistributor.
#ifndef SRC_CONFIG_DISTRIBUTOR_TABLES_H_
#define SRC_CONFIG_DISTRIBUTOR_TABLES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/config_distributor.h"
#include "src/config_store.h"
#include "src/random.h"

namespace burdockhatch {

// The state known about another process.
struct ConfigPeer {
  Incarnation incarnation;
  ConfigVersion known_version;  // Highest version that its messages carried.
  Time reachable_until;         // Extended by messages and subscriptions.
  Time pushed_at;
  ConfigVersion pushed_version;  // Version last pushed to the peer.
};

struct ConfigDistributorCounters {
  uint64_t pushes = 0;
  uint64_t announcements = 0;  // Heartbeats sent instead of a push.
  uint64_t pulls = 0;
  uint64_t snapshots = 0;  // Complete documents sent.
  uint64_t rejected = 0;   // Invalid documents and edits received.
  uint64_t object_calls = 0;
};

struct ConfigDistributorTables {
  ConfigDistributorOptions options;
  Random random{0};
  ConfigStore store;
  std::map<InstanceId, ConfigPeer> peers;
  // Addresses of the entries to which this process sends heartbeats.
  std::map<InstanceId, std::string> heartbeat_peers;
  // Live entries of the instance list, without this process.
  std::vector<InstanceInfo> live_entries;
  bool has_instance_list = false;
  // Until when each unreachable entry is excluded from selection.
  std::map<InstanceId, Time> unreachable_until;
  bool is_draining = false;

  bool is_watcher = false;
  bool is_object_request_pending = false;
  Time next_object_request_at;
  ConfigVersion rejected_version;  // Highest invalid stored version.

  ConfigVersion highest_known_version;
  Time next_pull_at;
  InstanceId last_pull_source;
  bool needs_snapshot = false;

  Time next_heartbeat_at;
  Time last_message_at;  // Time of the last message from any process.

  // Serialized changes from each base version to the current version; nullopt
  // if the change log does not reach back to the base version.
  std::map<ConfigVersion, std::optional<std::string>> changes_cache;
  ConfigVersion previous_version;

  ConfigDistributorCounters counters;
  std::vector<ConfigDistributorAction> actions;
};

}  // namespace burdockhatch

#endif  // SRC_CONFIG_DISTRIBUTOR_TABLES_H_
