#include "src/config_distributor.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "src/config_distributor_tables.h"
#include "src/config_edit.h"
#include "tests/config_sim.h"
#include "tests/config_test_util.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Required bound on the time until an accepted change is in effect everywhere.
constexpr Duration kMaxPropagationTime = seconds(9);
constexpr int kSubscribersPerAgent = 3;

struct Node {
  InstanceInfo info;
  Incarnation incarnation{1};
  std::unique_ptr<ConfigDistributor> distributor;
  ConfigVersion applied_version;  // Must never decrease.
  bool up = true;
};

// A simulation of processes, their links and the object API, on manual time.
class Fleet {
 public:
  explicit Fleet(uint64_t seed)
      : api(&timeline, MixHash(seed, 1)), random_(MixHash(seed, 2)) {
    FleetConfig config = SmallFleetConfig(ConfigVersion());
    api.Overwrite(SerializeFleetConfig(config));
  }

  void AddEntries(int count) {
    for (int i = 0; i < count; ++i) {
      Add(Role::kEntry);
    }
  }
  void AddAgents(int count) {
    for (int i = 0; i < count; ++i) {
      Add(Role::kAgent);
    }
  }

  InstanceId Add(Role role) {
    const size_t n = nodes.size();
    InstanceInfo info;
    info.instance = InstanceId(
        fmt::format("{}-{}", role == Role::kEntry ? "entry" : "agent", n));
    info.role = role;
    info.data_centre = DataCentreId(fmt::format("ga-north-{}", "abc"[n % 3]));
    info.address = fmt::format("10.0.0.{}:7000", n);
    nodes[info.instance].info = info;
    Restart(info.instance);
    return info.instance;
  }

  void Restart(const InstanceId& instance) {
    Node& node = nodes.at(instance);
    node.incarnation = node.incarnation.Next();
    node.applied_version = ConfigVersion();
    node.up = true;
    ConfigDistributorOptions options;
    options.self = {instance, node.incarnation};
    options.role = node.info.role;
    options.data_centre = node.info.data_centre;
    options.address = node.info.address;
    options.seed = random_.Next();
    options.seed_peers = seed_peers;
    node.distributor =
        std::make_unique<ConfigDistributor>(std::move(options), timeline.now());
    TickPeriodically(instance, node.incarnation);
  }

  // Passes the current instance list to all processes that are up, except those
  // in `without_list`.
  void PublishInstances() {
    std::vector<InstanceInfo> list;
    for (const auto& [instance, node] : nodes) {
      if (node.up) {
        list.push_back(node.info);
      }
    }
    for (auto& [instance, node] : nodes) {
      if (node.up && !without_list.contains(instance)) {
        node.distributor->OnInstances(list, timeline.now());
      }
    }
  }

  // Publishes a change of one account's limit and waits until it is accepted.
  ConfigVersion Publish(int64_t limit) {
    Findings findings;
    const FleetConfig head = *ParseFleetConfig(
        api.value(), ConfigVersion(api.version().value()), &findings);
    ConfigChange change;
    change.id = ChangeId(fmt::format("change-{}", limit));
    change.base = head.version;
    change.edits = {
        MakeEdit(head, "/accounts/acme/limit", std::to_string(limit))};
    // Late replies refer to the operator, so it must stay alive.
    SimOperator& it = *operators_.emplace_back(
        std::make_unique<SimOperator>(&timeline, &api));
    it.Start(change, {.seed = random_.Next()});
    while (!it.done()) {
      timeline.RunFor(milliseconds(1));
    }
    EXPECT_EQ(it.result().status, PublishStatus::kAccepted);
    return it.result().version;
  }

  bool IsEverywhere(ConfigVersion version) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
      return !it.second.up || it.second.distributor->version() >= version;
    });
  }

  int CountBehind(ConfigVersion version) const {
    return static_cast<int>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& it) {
          return it.second.up && it.second.distributor->version() < version;
        }));
  }

  // Returns the time until all processes have `version`, or nullopt if that
  // takes longer than `limit`.
  std::optional<Duration> TimeUntilEverywhere(ConfigVersion version,
                                              Duration limit) {
    const Time start = timeline.now();
    while (timeline.now() - start <= limit) {
      if (IsEverywhere(version)) {
        return timeline.now() - start;
      }
      timeline.RunFor(milliseconds(10));
    }
    return std::nullopt;
  }

  Timeline timeline;
  SimObjectApi api;
  std::map<InstanceId, Node> nodes;
  std::vector<SeedPeer> seed_peers;
  std::set<InstanceId> without_list;
  double loss_probability = 0;
  uint64_t sent_bytes = 0;
  // Returns whether messages between the two instances are dropped.
  std::function<bool(const InstanceId&, const InstanceId&)> is_link_cut;
  std::function<bool(const InstanceId&)> is_api_cut;
  // Modifies the replies of the object API, if set.
  std::function<void(ObjectReply*)> modify_reply;

 private:
  void TickPeriodically(const InstanceId& instance, Incarnation incarnation) {
    Node& node = nodes.at(instance);
    if (node.incarnation != incarnation || !node.up) {
      return;
    }
    node.distributor->Tick(timeline.now());
    ExecuteActions(node);
    SendPeriodicMessages(node);
    timeline.At(timeline.now() + kConfigTickInterval,
                [this, instance, incarnation] {
                  TickPeriodically(instance, incarnation);
                });
  }

  // Sends what other components of the processes send: a subscription every 2 s
  // and a load report every second.
  void SendPeriodicMessages(Node& node) {
    const int64_t tick =
        timeline.now().time_since_epoch() / kConfigTickInterval +
        static_cast<int64_t>(node.info.address.size());
    if (node.info.role == Role::kEntry || tick % 10 != 0) {
      return;
    }
    std::vector<InstanceId> entries;
    for (const auto& [instance, other] : nodes) {
      if (other.info.role == Role::kEntry) {
        entries.push_back(instance);
      }
    }
    for (int i = 0; i < kSubscribersPerAgent && !entries.empty(); ++i) {
      const InstanceId& entry =
          entries[MixHash(
                      i, std::hash<std::string>()(node.info.instance.value())) %
                  entries.size()];
      if (tick % 20 == 0 && nodes.at(entry).up) {
        Transmit(nodes.at(entry), node.info.instance, Subscribe{seconds(6)});
      }
      Transmit(node, entry, LoadReport{});
    }
  }

  void ExecuteActions(Node& node) {
    EXPECT_GE(node.distributor->version(), node.applied_version) << "reverted";
    for (ConfigDistributorAction& it : node.distributor->TakeActions()) {
      if (auto* send = std::get_if<SendConfigMessage>(&it)) {
        Transmit(node, send->to.instance, std::move(send->body));
      } else if (const auto* watch = std::get_if<WatchConfig>(&it)) {
        StartWatch(node, *watch);
      } else if (const auto* apply = std::get_if<ApplyConfig>(&it)) {
        EXPECT_GT(apply->config->version, node.applied_version) << "reverted";
        node.applied_version = apply->config->version;
      }
    }
  }

  void StartWatch(Node& node, const WatchConfig& watch) {
    const InstanceId instance = node.info.instance;
    const Incarnation incarnation = node.incarnation;
    const auto deliver = [this, instance,
                          incarnation](const ObjectReply& answer) {
      Node& to = nodes.at(instance);
      if (!to.up || to.incarnation != incarnation) {
        return;
      }
      ObjectReply reply = answer;
      if (is_api_cut && is_api_cut(instance)) {
        reply = ObjectReply{};
      } else if (modify_reply) {
        modify_reply(&reply);
      }
      to.distributor->OnObjectReply(reply, timeline.now());
      ExecuteActions(to);
    };
    api.Watch(watch.after, watch.wait, deliver);
  }

  void Transmit(const Node& from, const InstanceId& to, MessageBody body) {
    if (const auto* push = std::get_if<ConfigPush>(&body)) {
      sent_bytes += push->document.size();
    }
    if (random_.UniformReal() < loss_probability || !nodes.contains(to) ||
        (is_link_cut && is_link_cut(from.info.instance, to))) {
      return;
    }
    const Message message{{from.info.instance, from.incarnation},
                          Incarnation(),
                          from.distributor->version(),
                          std::move(body)};
    const Duration latency(1'000 +
                           static_cast<int64_t>(random_.UniformBelow(30'000)));
    timeline.At(timeline.now() + latency, [this, to, message] {
      Node& node = nodes.at(to);
      if (node.up) {
        node.distributor->OnMessage(message, timeline.now());
        ExecuteActions(node);
      }
    });
  }

  Random random_;
  std::vector<std::unique_ptr<SimOperator>> operators_;
};

class ConfigDistributorSeedTest : public testing::TestWithParam<uint64_t> {};

// Guards against a change that misses the bound because a lost push is not
// repeated.
TEST_P(ConfigDistributorSeedTest, EverywhereWithinTheBoundDespiteLoss) {
  Fleet fleet(GetParam());
  fleet.loss_probability = 0.05;
  fleet.api.faults = {
      .lose_request = 0.05, .lose_answer = 0.05, .throttle = 0.05};
  fleet.AddEntries(30);
  fleet.AddAgents(60);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(20));
  Duration worst{0};
  for (int i = 1; i <= 20; ++i) {
    const ConfigVersion version = fleet.Publish(i);
    const auto time = fleet.TimeUntilEverywhere(version, kMaxPropagationTime);
    ASSERT_TRUE(time) << fleet.CountBehind(version) << " processes are behind";
    worst = std::max(worst, *time);
  }
  fmt::print("seed {}: slowest change everywhere after {} ms\n", GetParam(),
             worst / milliseconds(1));
}

// Guards against processes that depend on the object API to receive a change
// that other processes already have.
TEST_P(ConfigDistributorSeedTest,
       OutageRightAfterTheAcceptDoesNotStopDistribution) {
  Fleet fleet(GetParam());
  fleet.loss_probability = 0.05;
  fleet.AddEntries(30);
  fleet.AddAgents(60);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(20));
  for (int i = 1; i <= 10; ++i) {
    fleet.api.outage = false;
    fleet.timeline.RunFor(seconds(10));
    // The outage begins right after the write, when only the replies to the
    // watches are in transit.
    fleet.api.on_change = [&] {
      fleet.timeline.At(fleet.timeline.now() + Duration(1),
                        [&] { fleet.api.outage = true; });
    };
    const ConfigVersion version = fleet.Publish(i);
    ASSERT_TRUE(fleet.api.outage);
    ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kMaxPropagationTime))
        << fleet.CountBehind(version) << " processes are behind";
  }
}

// Guards against a process that starts during an outage and stays without a
// configuration. An agent in particular knows no peer until an entry contacts
// it.
TEST_P(ConfigDistributorSeedTest,
       ProcessesThatStartDuringAnOutageAskTheirPeers) {
  Fleet fleet(GetParam());
  fleet.loss_probability = 0.05;
  fleet.AddEntries(12);
  fleet.AddAgents(12);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(20));
  const ConfigVersion version = fleet.Publish(1);
  ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kMaxPropagationTime));
  fleet.api.outage = true;
  const InstanceId entry = fleet.Add(Role::kEntry);
  const InstanceId agent = fleet.Add(Role::kAgent);
  EXPECT_EQ(fleet.nodes.at(entry).distributor->current(), nullptr);
  fleet.PublishInstances();
  fleet.Restart(InstanceId("entry-3"));
  fleet.Restart(InstanceId("agent-15"));
  EXPECT_TRUE(fleet.TimeUntilEverywhere(version, kMaxPropagationTime))
      << fleet.CountBehind(version) << " processes are behind";
  EXPECT_NE(fleet.nodes.at(agent).distributor->current(), nullptr);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ConfigDistributorSeedTest,
                         testing::Values(1, 2, 3, 4, 5, 6));

// Guards against an entry without a configuration source because it received no
// instance list during an outage.
TEST(ConfigDistributorTest, SeedPeersServeAnEntryWithoutAnInstanceList) {
  Fleet fleet(7);
  fleet.AddEntries(6);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(20));
  const ConfigVersion version = fleet.Publish(1);
  ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kMaxPropagationTime));
  fleet.api.outage = true;
  fleet.seed_peers = {{InstanceId("entry-0"), "10.0.0.0:7000"}};
  fleet.Add(Role::kEntry);
  EXPECT_TRUE(fleet.TimeUntilEverywhere(version, kMaxPropagationTime));
}

// Guards against a rollback when the object API or a peer answers with an older
// document. Fleet checks the version at each step.
TEST(ConfigDistributorTest,
     NeverRevertsWhenTheObjectApiAnswersWithOldVersions) {
  Fleet fleet(8);
  fleet.loss_probability = 0.05;
  fleet.AddEntries(9);
  fleet.AddAgents(9);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  const ObjectReply old{ObjectStatus::kOk, fleet.api.version(),
                        fleet.api.value()};
  Random random(8);
  fleet.modify_reply = [&](ObjectReply* reply) {
    if (random.UniformReal() < 0.5) {
      *reply = old;
    }
  };
  for (int i = 1; i <= 10; ++i) {
    const ConfigVersion version = fleet.Publish(i);
    ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kMaxPropagationTime));
  }
}

// Guards against a process that stays behind for good because it missed more
// changes than the log holds, and against edits applied to the wrong base.
TEST(ConfigDistributorTest, SnapshotAfterMoreChangesThanTheLogHolds) {
  Fleet fleet(9);
  fleet.AddEntries(6);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  const InstanceId isolated_entry("entry-2");
  bool is_cut = true;
  fleet.is_link_cut = [&](const InstanceId& a, const InstanceId& b) {
    return is_cut && (a == isolated_entry || b == isolated_entry);
  };
  fleet.is_api_cut = [&](const InstanceId& it) {
    return is_cut && it == isolated_entry;
  };
  ConfigVersion version;
  for (int i = 1; i <= static_cast<int>(kMaxChangeLogRecords) + 10; ++i) {
    version = fleet.Publish(i);
  }
  fleet.timeline.RunFor(seconds(1));
  ASSERT_EQ(fleet.CountBehind(version), 1);
  is_cut = false;
  // The process can get the changes only from its peers.
  fleet.api.outage = true;
  EXPECT_TRUE(fleet.TimeUntilEverywhere(version, kMaxPropagationTime));
  EXPECT_EQ(SerializeFleetConfig(
                *fleet.nodes.at(isolated_entry).distributor->current()),
            fleet.api.value());
}

// Guards against edits applied to a base that lacks a replacement of the whole
// document, which leaves no record in the change log.
TEST(ConfigDistributorTest, ReplacedDocumentReachesAllProcessesWhole) {
  Fleet fleet(10);
  fleet.AddEntries(6);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  const InstanceId isolated_entry("entry-2");
  bool is_cut = false;
  fleet.is_link_cut = [&](const InstanceId& a, const InstanceId& b) {
    return is_cut && (a == isolated_entry || b == isolated_entry);
  };
  fleet.is_api_cut = [&](const InstanceId& it) { return it == isolated_entry; };
  ASSERT_TRUE(fleet.TimeUntilEverywhere(fleet.Publish(1), kMaxPropagationTime));
  is_cut = true;
  fleet.Publish(2);
  Findings findings;
  FleetConfig config = *ParseFleetConfig(
      fleet.api.value(), ConfigVersion(fleet.api.version().value()), &findings);
  config.accounts[ClientAccountId("extra")] = {};
  fleet.api.Overwrite(SerializeFleetConfig(config));
  const ConfigVersion version = fleet.Publish(3);
  fleet.timeline.RunFor(seconds(1));
  ASSERT_EQ(fleet.CountBehind(version), 1);
  is_cut = false;
  ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kMaxPropagationTime));
  for (const auto& [instance, node] : fleet.nodes) {
    EXPECT_EQ(SerializeFleetConfig(*node.distributor->current()),
              fleet.api.value())
        << instance.value();
  }
}

// Guards against a process that can reach only the object API and receives
// changes only through the poll every 30 s.
TEST(ConfigDistributorTest, IsolatedProcessWatchesTheObject) {
  Fleet fleet(11);
  fleet.AddEntries(9);
  fleet.AddAgents(3);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  fleet.is_link_cut = [&](const InstanceId&, const InstanceId&) {
    return true;
  };
  fleet.timeline.RunFor(seconds(20));
  EXPECT_TRUE(fleet.TimeUntilEverywhere(fleet.Publish(1), kMaxPropagationTime));
}

// Guards against an invalid stored document that replaces the configuration in
// effect or blocks later valid documents.
TEST(ConfigDistributorTest, InvalidStoredDocumentIsNotApplied) {
  Fleet fleet(12);
  fleet.AddEntries(6);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  const std::string valid_document = fleet.api.value();
  const ConfigVersion before =
      fleet.nodes.begin()->second.distributor->version();
  fleet.api.Overwrite("{\"models\":7}");
  const uint64_t calls_before = fleet.api.calls();
  fleet.timeline.RunFor(seconds(40));
  for (const auto& [instance, node] : fleet.nodes) {
    EXPECT_EQ(node.distributor->version(), before);
  }
  // An invalid document must not be read again in a tight loop.
  EXPECT_LT(fleet.api.calls() - calls_before, 200u);
  fleet.api.Overwrite(valid_document);
  EXPECT_TRUE(fleet.TimeUntilEverywhere(
      ConfigVersion(fleet.api.version().value()), kMaxPropagationTime));
}

// Guards against more calls to the object API than two watchers per data centre
// and the fallback polls of the other processes need.
TEST(ConfigDistributorTest, TwoEntriesPerDataCentreWatch) {
  Fleet fleet(13);
  fleet.AddEntries(60);
  fleet.AddAgents(60);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(60));
  std::map<DataCentreId, int> watchers;
  for (const auto& [instance, node] : fleet.nodes) {
    watchers[node.info.data_centre] +=
        node.distributor->tables().is_watcher ? 1 : 0;
  }
  EXPECT_EQ(watchers.size(), 3u);
  for (const auto& [data_centre, count] : watchers) {
    EXPECT_EQ(count, 2) << data_centre.value();
  }
  const uint64_t calls_before = fleet.api.calls();
  fleet.timeline.RunFor(seconds(60));
  // The 6 watchers make one call per 4 s each, the 114 other processes one per
  // 30 s. The jitter may add a tenth.
  EXPECT_LT(fleet.api.calls() - calls_before, (90u + 228u) * 11 / 10);
}

// Guards against a data centre without a watcher between the stop of its
// watchers and the next instance list.
TEST(ConfigDistributorTest, AnotherEntryWatchesAfterAGoodbye) {
  ConfigDistributorOptions options;
  options.self = {InstanceId("self"), Incarnation(1)};
  options.data_centre = DataCentreId("a");
  options.address = "10.0.0.1:7000";
  const Time start{seconds(1)};
  ConfigDistributor distributor(options, start);
  std::vector<InstanceInfo> list;
  for (int i = 0; i < 30; ++i) {
    InstanceInfo info;
    info.instance = InstanceId(fmt::format("entry-{}", i));
    info.data_centre = options.data_centre;
    list.push_back(info);
  }
  distributor.OnInstances(list, start);
  distributor.Tick(start);
  ASSERT_FALSE(distributor.tables().is_watcher);
  for (const InstanceInfo& it : list) {
    distributor.OnMessage({{it.instance, Incarnation(1)}, {}, {}, Goodbye{}},
                          start);
  }
  distributor.Tick(start);
  EXPECT_TRUE(distributor.tables().is_watcher);
}

// Guards against heartbeat peers that form disconnected groups.
TEST(ConfigDistributorTest, PeersConnectAllEntries) {
  Fleet fleet(14);
  fleet.AddEntries(80);
  fleet.PublishInstances();
  std::set<InstanceId> reached = {InstanceId("entry-0")};
  std::vector<InstanceId> pending(reached.begin(), reached.end());
  while (!pending.empty()) {
    const InstanceId from = pending.back();
    pending.pop_back();
    const auto& heartbeat_peers =
        fleet.nodes.at(from).distributor->tables().heartbeat_peers;
    EXPECT_LE(heartbeat_peers.size(), 6u);
    for (const auto& [instance, address] : heartbeat_peers) {
      if (reached.insert(instance).second) {
        pending.push_back(instance);
      }
    }
  }
  EXPECT_EQ(reached.size(), 80u);
}

// Guards against an entry that sends no heartbeats, and nothing else that goes
// along them, to a peer that has restarted until the instance list changes.
TEST(ConfigDistributorPeersTest, UnreachablePeerIsAPeerAgain) {
  Time now{seconds(100)};
  ConfigDistributorOptions options;
  options.self = {InstanceId("entry-1"), Incarnation(1)};
  ConfigDistributor distributor(options, now);
  InstanceInfo info;
  info.instance = InstanceId("entry-2");
  info.role = Role::kEntry;
  info.address = "10.0.0.2:7000";
  distributor.OnInstances({info}, now);
  const std::vector<InstanceId> peers = {info.instance};
  EXPECT_EQ(distributor.heartbeat_peers(), peers);
  distributor.OnPeerUnreachable(info.instance, now);
  EXPECT_TRUE(distributor.heartbeat_peers().empty());
  distributor.OnMessage({{info.instance, Incarnation(2)}, {}, {}, Heartbeat{}},
                        now);
  EXPECT_EQ(distributor.heartbeat_peers(), peers);
  distributor.OnPeerUnreachable(info.instance, now);
  now += seconds(11);
  distributor.Tick(now);
  EXPECT_EQ(distributor.heartbeat_peers(), peers);
}

}  // namespace
}  // namespace burdockhatch
