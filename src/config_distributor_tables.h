// The tables of ConfigDistributor.
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

// What is known of another process.
struct ConfigPeer {
  Incarnation incarnation;
  ConfigVersion version;  // Highest that it said it knows.
  Time reachable_until;   // Heard from, or subscribed.
  Time pushed_at;
  ConfigVersion pushed_version;  // Last version that was pushed to it.
};

struct ConfigDistributorCounters {
  uint64_t pushes = 0;
  uint64_t announcements = 0;  // Heartbeats in place of a push.
  uint64_t pulls = 0;
  uint64_t snapshots = 0;  // Whole documents sent.
  uint64_t rejected = 0;   // Documents and edits that were not valid.
  uint64_t object_calls = 0;
};

struct ConfigDistributorTables {
  ConfigDistributorOptions options;
  Random random{0};
  ConfigStore store;
  std::map<InstanceId, ConfigPeer> peers;
  // Entries that this process sends heartbeats to, with their addresses.
  std::map<InstanceId, std::string> heartbeat_peers;
  std::vector<InstanceInfo> entries;  // Live entries of the list, without self.
  bool have_instances = false;
  std::map<InstanceId, Time> unreachable;  // Not chosen until then.
  bool draining = false;

  bool is_watcher = false;
  bool call_pending = false;
  Time next_call;
  ConfigVersion rejected_version;  // Of a stored document that is not valid.

  ConfigVersion highest_known;
  Time pull_again_at;
  InstanceId pulled_from;
  bool need_snapshot = false;

  Time next_heartbeat;
  Time heard_at;  // The last message from any process.

  // Texts of ChangesSince for the current version, by version.
  std::map<ConfigVersion, std::optional<std::string>> changes_cache;
  ConfigVersion previous_version;

  ConfigDistributorCounters counters;
  std::vector<ConfigDistributorAction> actions;
};

}  // namespace burdockhatch

#endif  // SRC_CONFIG_DISTRIBUTOR_TABLES_H_
