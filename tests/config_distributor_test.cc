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

// The bound of the requirements for "in effect everywhere".
constexpr Duration kBound = seconds(9);
constexpr int kEntriesPerAgent = 3;

struct Node {
  InstanceInfo info;
  Incarnation incarnation{1};
  std::unique_ptr<ConfigDistributor> spread;
  ConfigVersion applied;  // For the check that it never reverts.
  bool up = true;
};

// Processes, their links and the object API, on manual time.
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
    node.applied = ConfigVersion();
    node.up = true;
    ConfigDistributorOptions options;
    options.self = {instance, node.incarnation};
    options.role = node.info.role;
    options.data_centre = node.info.data_centre;
    options.address = node.info.address;
    options.seed = random_.Next();
    options.seed_peers = seeds;
    node.spread =
        std::make_unique<ConfigDistributor>(std::move(options), timeline.now());
    Loop(instance, node.incarnation);
  }

  // Tells all entries of the instance list as the platform has it now.
  void PublishInstances() {
    std::vector<InstanceInfo> list;
    for (const auto& [instance, node] : nodes) {
      if (node.up) {
        list.push_back(node.info);
      }
    }
    for (auto& [instance, node] : nodes) {
      if (node.up && !without_list.contains(instance)) {
        node.spread->OnInstances(list, timeline.now());
      }
    }
  }

  // Publishes a change of one account's limit and returns when it is accepted.
  ConfigVersion Publish(int64_t limit) {
    Findings findings;
    const FleetConfig head = *ParseFleetConfig(
        api.value(), ConfigVersion(api.version().value()), &findings);
    Change change;
    change.id = ChangeId(fmt::format("change-{}", limit));
    change.base = head.version;
    change.edits = {
        MakeEdit(head, "/accounts/acme/limit", std::to_string(limit))};
    // Kept: late answers refer to it.
    SimOperator& it = *operators_.emplace_back(
        std::make_unique<SimOperator>(&timeline, &api));
    it.Start(change, {.seed = random_.Next()});
    while (!it.done()) {
      timeline.RunFor(milliseconds(1));
    }
    EXPECT_EQ(it.result().status, PublishStatus::kAccepted);
    return it.result().version;
  }

  bool Everywhere(ConfigVersion version) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
      return !it.second.up || it.second.spread->version() >= version;
    });
  }

  int Behind(ConfigVersion version) const {
    return static_cast<int>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& it) {
          return it.second.up && it.second.spread->version() < version;
        }));
  }

  // How long it takes until all processes have `version`, or nullopt after
  // `limit`.
  std::optional<Duration> TimeUntilEverywhere(ConfigVersion version,
                                              Duration limit) {
    const Time start = timeline.now();
    while (timeline.now() - start <= limit) {
      if (Everywhere(version)) {
        return timeline.now() - start;
      }
      timeline.RunFor(milliseconds(10));
    }
    return std::nullopt;
  }

  Timeline timeline;
  SimObjectApi api;
  std::map<InstanceId, Node> nodes;
  std::vector<SeedPeer> seeds;
  std::set<InstanceId> without_list;
  double loss = 0;
  uint64_t sent_bytes = 0;
  // Messages between the two are dropped.
  std::function<bool(const InstanceId&, const InstanceId&)> cut;
  std::function<bool(const InstanceId&)> cut_from_api;
  // In place of the answer of the object API, if set.
  std::function<void(ObjectReply*)> tamper;

 private:
  void Loop(const InstanceId& instance, Incarnation incarnation) {
    Node& node = nodes.at(instance);
    if (node.incarnation != incarnation || !node.up) {
      return;
    }
    node.spread->Tick(timeline.now());
    Run(node);
    Report(node);
    timeline.At(timeline.now() + kConfigTickInterval,
                [this, instance, incarnation] { Loop(instance, incarnation); });
  }

  // What the other parts of the processes send: subscriptions every 2 s and
  // load reports every second.
  void Report(Node& node) {
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
    for (int i = 0; i < kEntriesPerAgent && !entries.empty(); ++i) {
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

  void Run(Node& node) {
    EXPECT_GE(node.spread->version(), node.applied) << "reverted";
    for (ConfigDistributorAction& it : node.spread->TakeActions()) {
      if (auto* send = std::get_if<SendConfigMessage>(&it)) {
        Transmit(node, send->to.instance, std::move(send->body));
      } else if (const auto* watch = std::get_if<WatchConfig>(&it)) {
        Watch(node, *watch);
      } else if (const auto* apply = std::get_if<ApplyConfig>(&it)) {
        EXPECT_GT(apply->config->version, node.applied) << "reverted";
        node.applied = apply->config->version;
      }
    }
  }

  void Watch(Node& node, const WatchConfig& watch) {
    const InstanceId instance = node.info.instance;
    const Incarnation incarnation = node.incarnation;
    const auto deliver = [this, instance,
                          incarnation](const ObjectReply& answer) {
      Node& to = nodes.at(instance);
      if (!to.up || to.incarnation != incarnation) {
        return;
      }
      ObjectReply reply = answer;
      if (cut_from_api && cut_from_api(instance)) {
        reply = ObjectReply{};
      } else if (tamper) {
        tamper(&reply);
      }
      to.spread->OnObjectReply(reply, timeline.now());
      Run(to);
    };
    api.Watch(watch.after, watch.wait, deliver);
  }

  void Transmit(const Node& from, const InstanceId& to, MessageBody body) {
    if (const auto* push = std::get_if<ConfigPush>(&body)) {
      sent_bytes += push->document.size();
    }
    if (random_.Unit() < loss || !nodes.contains(to) ||
        (cut && cut(from.info.instance, to))) {
      return;
    }
    const Message message{{from.info.instance, from.incarnation},
                          Incarnation(),
                          from.spread->version(),
                          std::move(body)};
    const Duration latency(1'000 + static_cast<int64_t>(random_.Below(30'000)));
    timeline.At(timeline.now() + latency, [this, to, message] {
      Node& node = nodes.at(to);
      if (node.up) {
        node.spread->OnMessage(message, timeline.now());
        Run(node);
      }
    });
  }

  Random random_;
  std::vector<std::unique_ptr<SimOperator>> operators_;
};

class ConfigSpreadSeedTest : public testing::TestWithParam<uint64_t> {};

// Guards against a push that is lost and never repeated.
TEST_P(ConfigSpreadSeedTest, EverywhereWithinTheBoundDespiteLoss) {
  Fleet fleet(GetParam());
  fleet.loss = 0.05;
  fleet.api.faults = {
      .lose_request = 0.05, .lose_answer = 0.05, .throttle = 0.05};
  fleet.AddEntries(30);
  fleet.AddAgents(60);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(20));
  Duration worst{0};
  for (int i = 1; i <= 20; ++i) {
    const ConfigVersion version = fleet.Publish(i);
    const auto time = fleet.TimeUntilEverywhere(version, kBound);
    ASSERT_TRUE(time) << fleet.Behind(version) << " processes are behind";
    worst = std::max(worst, *time);
  }
  fmt::print("seed {}: slowest change everywhere after {} ms\n", GetParam(),
             worst / milliseconds(1));
}

// Guards against processes that need the object API to learn of a change that
// others have.
TEST_P(ConfigSpreadSeedTest, OutageRightAfterTheAcceptDoesNotStopTheSpread) {
  Fleet fleet(GetParam());
  fleet.loss = 0.05;
  fleet.AddEntries(30);
  fleet.AddAgents(60);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(20));
  for (int i = 1; i <= 10; ++i) {
    fleet.api.outage = false;
    fleet.timeline.RunFor(seconds(10));
    // The answers to the watches are on their way, and nothing else gets out.
    fleet.api.on_change = [&] {
      fleet.timeline.At(fleet.timeline.now() + Duration(1),
                        [&] { fleet.api.outage = true; });
    };
    const ConfigVersion version = fleet.Publish(i);
    ASSERT_TRUE(fleet.api.outage);
    ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kBound))
        << fleet.Behind(version) << " processes are behind";
  }
}

// Guards against a process that starts during an outage and stays without a
// configuration, in particular an agent, which knows no peer by itself.
TEST_P(ConfigSpreadSeedTest, ProcessesThatStartDuringAnOutageAskTheirPeers) {
  Fleet fleet(GetParam());
  fleet.loss = 0.05;
  fleet.AddEntries(12);
  fleet.AddAgents(12);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(20));
  const ConfigVersion version = fleet.Publish(1);
  ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kBound));
  fleet.api.outage = true;
  const InstanceId entry = fleet.Add(Role::kEntry);
  const InstanceId agent = fleet.Add(Role::kAgent);
  EXPECT_EQ(fleet.nodes.at(entry).spread->current(), nullptr);
  fleet.PublishInstances();
  fleet.Restart(InstanceId("entry-3"));
  fleet.Restart(InstanceId("agent-15"));
  EXPECT_TRUE(fleet.TimeUntilEverywhere(version, kBound))
      << fleet.Behind(version) << " processes are behind";
  EXPECT_NE(fleet.nodes.at(agent).spread->current(), nullptr);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ConfigSpreadSeedTest,
                         testing::Values(1, 2, 3, 4, 5, 6));

// Guards against an entry that gets no instance list during an outage and so
// finds nobody to ask.
TEST(ConfigSpreadTest, SeedPeersServeAnEntryWithoutAnInstanceList) {
  Fleet fleet(7);
  fleet.AddEntries(6);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(20));
  const ConfigVersion version = fleet.Publish(1);
  ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kBound));
  fleet.api.outage = true;
  fleet.seeds = {{InstanceId("entry-0"), "10.0.0.0:7000"}};
  fleet.Add(Role::kEntry);
  EXPECT_TRUE(fleet.TimeUntilEverywhere(version, kBound));
}

// Guards against a rollback when the object API or a peer answers with an older
// document. Fleet checks each step.
TEST(ConfigSpreadTest, NeverRevertsWhenTheObjectApiAnswersWithOldVersions) {
  Fleet fleet(8);
  fleet.loss = 0.05;
  fleet.AddEntries(9);
  fleet.AddAgents(9);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  const ObjectReply old{ObjectStatus::kOk, fleet.api.version(),
                        fleet.api.value()};
  Random random(8);
  fleet.tamper = [&](ObjectReply* reply) {
    if (random.Unit() < 0.5) {
      *reply = old;
    }
  };
  for (int i = 1; i <= 10; ++i) {
    const ConfigVersion version = fleet.Publish(i);
    ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kBound));
  }
}

// Guards against a process that stays behind for good because it missed more
// changes than the log holds, and against edits applied to the wrong base.
TEST(ConfigSpreadTest, SnapshotAfterMoreChangesThanTheLogHolds) {
  Fleet fleet(9);
  fleet.AddEntries(6);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  const InstanceId lost("entry-2");
  bool is_cut = true;
  fleet.cut = [&](const InstanceId& a, const InstanceId& b) {
    return is_cut && (a == lost || b == lost);
  };
  fleet.cut_from_api = [&](const InstanceId& it) {
    return is_cut && it == lost;
  };
  ConfigVersion version;
  for (int i = 1; i <= static_cast<int>(kChangeLogLength) + 10; ++i) {
    version = fleet.Publish(i);
  }
  fleet.timeline.RunFor(seconds(1));
  ASSERT_EQ(fleet.Behind(version), 1);
  is_cut = false;
  // Only its peers can tell it.
  fleet.api.outage = true;
  EXPECT_TRUE(fleet.TimeUntilEverywhere(version, kBound));
  EXPECT_EQ(SerializeFleetConfig(*fleet.nodes.at(lost).spread->current()),
            fleet.api.value());
}

// Guards against a document that was replaced without a log record: edits that
// skip the replacement must not be applied.
TEST(ConfigSpreadTest, ReplacedDocumentReachesAllProcessesWhole) {
  Fleet fleet(10);
  fleet.AddEntries(6);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  const InstanceId lost("entry-2");
  bool is_cut = false;
  fleet.cut = [&](const InstanceId& a, const InstanceId& b) {
    return is_cut && (a == lost || b == lost);
  };
  fleet.cut_from_api = [&](const InstanceId& it) { return it == lost; };
  ASSERT_TRUE(fleet.TimeUntilEverywhere(fleet.Publish(1), kBound));
  is_cut = true;
  fleet.Publish(2);
  Findings findings;
  FleetConfig config = *ParseFleetConfig(
      fleet.api.value(), ConfigVersion(fleet.api.version().value()), &findings);
  config.accounts[ClientAccountId("extra")] = {};
  fleet.api.Overwrite(SerializeFleetConfig(config));
  const ConfigVersion version = fleet.Publish(3);
  fleet.timeline.RunFor(seconds(1));
  ASSERT_EQ(fleet.Behind(version), 1);
  is_cut = false;
  ASSERT_TRUE(fleet.TimeUntilEverywhere(version, kBound));
  for (const auto& [instance, node] : fleet.nodes) {
    EXPECT_EQ(SerializeFleetConfig(*node.spread->current()), fleet.api.value())
        << instance.value();
  }
}

// Guards against a process that can reach the object API only and waits for the
// 30 s poll.
TEST(ConfigSpreadTest, IsolatedProcessWatchesTheObject) {
  Fleet fleet(11);
  fleet.AddEntries(9);
  fleet.AddAgents(3);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  fleet.cut = [&](const InstanceId&, const InstanceId&) { return true; };
  fleet.timeline.RunFor(seconds(20));
  EXPECT_TRUE(fleet.TimeUntilEverywhere(fleet.Publish(1), kBound));
}

// Guards against a stored document that breaks a rule and takes the fleet's
// configuration away, and against one that blocks all later ones.
TEST(ConfigSpreadTest, InvalidStoredDocumentIsNotApplied) {
  Fleet fleet(12);
  fleet.AddEntries(6);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(10));
  const std::string good = fleet.api.value();
  const ConfigVersion before = fleet.nodes.begin()->second.spread->version();
  fleet.api.Overwrite("{\"models\":7}");
  const uint64_t calls_before = fleet.api.calls();
  fleet.timeline.RunFor(seconds(40));
  for (const auto& [instance, node] : fleet.nodes) {
    EXPECT_EQ(node.spread->version(), before);
  }
  // No tight loop on a document that does not become valid by reading it again.
  EXPECT_LT(fleet.api.calls() - calls_before, 200u);
  fleet.api.Overwrite(good);
  EXPECT_TRUE(fleet.TimeUntilEverywhere(
      ConfigVersion(fleet.api.version().value()), kBound));
}

// Guards against more calls to the object API than a fallback poll and two
// watches per data centre need.
TEST(ConfigSpreadTest, TwoEntriesPerDataCentreWatch) {
  Fleet fleet(13);
  fleet.AddEntries(60);
  fleet.AddAgents(60);
  fleet.PublishInstances();
  fleet.timeline.RunFor(seconds(60));
  std::map<DataCentreId, int> watchers;
  for (const auto& [instance, node] : fleet.nodes) {
    watchers[node.info.data_centre] += node.spread->tables().is_watcher ? 1 : 0;
  }
  EXPECT_EQ(watchers.size(), 3u);
  for (const auto& [data_centre, count] : watchers) {
    EXPECT_EQ(count, 2) << data_centre.value();
  }
  const uint64_t calls_before = fleet.api.calls();
  fleet.timeline.RunFor(seconds(60));
  // 6 watchers, one call in 4 s each; 114 others, one call in 30 s each; a
  // tenth more for the jitter.
  EXPECT_LT(fleet.api.calls() - calls_before, (90u + 228u) * 11 / 10);
}

// Guards against a watcher that stops and leaves its data centre without one
// until the list changes.
TEST(ConfigSpreadTest, AnotherEntryWatchesAfterAGoodbye) {
  ConfigDistributorOptions options;
  options.self = {InstanceId("self"), Incarnation(1)};
  options.data_centre = DataCentreId("a");
  options.address = "10.0.0.1:7000";
  const Time start{seconds(1)};
  ConfigDistributor spread(options, start);
  std::vector<InstanceInfo> list;
  for (int i = 0; i < 30; ++i) {
    InstanceInfo info;
    info.instance = InstanceId(fmt::format("entry-{}", i));
    info.data_centre = options.data_centre;
    list.push_back(info);
  }
  spread.OnInstances(list, start);
  spread.Tick(start);
  ASSERT_FALSE(spread.tables().is_watcher);
  for (const InstanceInfo& it : list) {
    spread.OnMessage({{it.instance, Incarnation(1)}, {}, {}, Goodbye{}}, start);
  }
  spread.Tick(start);
  EXPECT_TRUE(spread.tables().is_watcher);
}

// Guards against a fleet whose peers form groups that do not reach each other.
TEST(ConfigSpreadTest, PeersConnectAllEntries) {
  Fleet fleet(14);
  fleet.AddEntries(80);
  fleet.PublishInstances();
  std::set<InstanceId> reached = {InstanceId("entry-0")};
  std::vector<InstanceId> open(reached.begin(), reached.end());
  while (!open.empty()) {
    const InstanceId from = open.back();
    open.pop_back();
    const auto& heartbeat_peers =
        fleet.nodes.at(from).spread->tables().heartbeat_peers;
    EXPECT_LE(heartbeat_peers.size(), 6u);
    for (const auto& [instance, address] : heartbeat_peers) {
      if (reached.insert(instance).second) {
        open.push_back(instance);
      }
    }
  }
  EXPECT_EQ(reached.size(), 80u);
}

}  // namespace
}  // namespace burdockhatch
