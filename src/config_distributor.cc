#include "src/config_distributor.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "src/config_distributor_tables.h"
#include "src/config_edit.h"
#include "src/findings.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kWatchersPerDataCentre = 2;
// Kept short so that a watcher detects a silently broken connection well within
// the 9 s in which a change must be in effect everywhere.
constexpr Duration kMaxWatchWait = seconds(4);
constexpr Duration kWatchRetryDelay = seconds(1);
constexpr Duration kFallbackPollInterval = seconds(30);
constexpr Duration kMeanInitialPollDelay = milliseconds(500);
// Shorter than the fallback interval, because a process without a configuration
// is not ready.
constexpr Duration kStartupPollInterval = seconds(2);
// A process that receives no message for this long is isolated and watches the
// object itself, unless it is draining or is an agent with a current
// subscription.
constexpr Duration kIsolationTimeout = seconds(3);
constexpr Duration kHeartbeatInterval = seconds(1);
constexpr Duration kPullTimeout = seconds(1);
constexpr Duration kPushRepeatInterval = seconds(1);
constexpr Duration kReachableAfterMessage = seconds(5);
constexpr Duration kUnreachablePeerExclusion = seconds(10);

// Returns a random duration between 0.5 and 1.5 times `mean`.
Duration Jittered(Duration mean, Random* random) {
  return mean / 2 + Duration(static_cast<int64_t>(random->UniformBelow(
                        static_cast<uint64_t>(mean.count()))));
}

bool IsUnreachable(const ConfigDistributorTables& t,
                   const InstanceId& instance,
                   Time now) {
  const auto it = t.unreachable_until.find(instance);
  return it != t.unreachable_until.end() && now < it->second;
}

bool IsReachable(const ConfigDistributorTables& t,
                 const InstanceId& instance,
                 const ConfigPeer& peer,
                 Time now) {
  return t.heartbeat_peers.contains(instance) || now < peer.reachable_until;
}

void Send(ConfigDistributorTables* t, const InstanceId& to, MessageBody body) {
  const auto peer = t->peers.find(to);
  const Incarnation incarnation =
      peer == t->peers.end() ? Incarnation() : peer->second.incarnation;
  t->actions.emplace_back(
      SendConfigMessage{PeerId{to, incarnation}, std::move(body)});
}

Heartbeat MakeHeartbeat(const ConfigDistributorTables& t) {
  return {t.options.role, t.options.data_centre, t.options.address,
          t.is_draining};
}

const std::optional<std::string>& CachedChanges(ConfigDistributorTables* t,
                                                ConfigVersion have) {
  const auto [it, is_new] = t->changes_cache.try_emplace(have);
  if (is_new) {
    it->second = SerializeChangesSince(*t->store.current(), have);
  }
  return it->second;
}

// Sends the edits that the peer lacks. If the change log does not reach back to
// the peer's version, sends a heartbeat that announces the new version instead.
// The peer then pulls from one process, so that it does not receive a large
// document many times.
void PushToPeer(ConfigDistributorTables* t,
                const InstanceId& to,
                ConfigPeer* peer,
                Time now) {
  const ConfigVersion base = peer->known_version.value() != 0
                                 ? peer->known_version
                                 : t->previous_version;
  peer->pushed_at = now;
  peer->pushed_version = t->store.version();
  const std::optional<std::string>& changes = CachedChanges(t, base);
  if (!changes) {
    ++t->counters.announcements;
    Send(t, to, MakeHeartbeat(*t));
    return;
  }
  ++t->counters.pushes;
  Send(t, to, ConfigPush{base, t->store.version(), *changes});
}

void PushToOutdatedPeers(ConfigDistributorTables* t, Time now) {
  for (auto& [instance, peer] : t->peers) {
    if (peer.known_version < t->store.version() &&
        IsReachable(*t, instance, peer, now)) {
      PushToPeer(t, instance, &peer, now);
    }
  }
}

// Applies the configuration and pushes it to outdated peers. Returns false if
// it is not newer than the current one.
bool ApplyNewConfig(ConfigDistributorTables* t, FleetConfig config, Time now) {
  const ConfigVersion previous = t->store.version();
  if (!t->store.Apply(std::move(config))) {
    return false;
  }
  t->previous_version = previous;
  t->needs_snapshot = false;
  t->changes_cache.clear();
  t->highest_known_version =
      std::max(t->highest_known_version, t->store.version());
  t->next_pull_at = now;
  t->actions.emplace_back(ApplyConfig{t->store.current()});
  PushToOutdatedPeers(t, now);
  return true;
}

// Chooses a random reachable peer with a newer version. Avoids the previous
// source if there is another one, because the previous one may have failed.
InstanceId ChoosePullSource(ConfigDistributorTables* t, Time now) {
  std::vector<InstanceId> sources;
  for (const auto& [instance, peer] : t->peers) {
    if (peer.known_version > t->store.version() &&
        IsReachable(*t, instance, peer, now)) {
      sources.push_back(instance);
    }
  }
  if (sources.size() > 1) {
    std::erase(sources, t->last_pull_source);
  }
  return sources.empty() ? InstanceId()
                         : sources[t->random.UniformBelow(sources.size())];
}

void PullIfBehind(ConfigDistributorTables* t, Time now) {
  if (t->highest_known_version <= t->store.version() || now < t->next_pull_at) {
    return;
  }
  const InstanceId source = ChoosePullSource(t, now);
  if (source.empty()) {
    return;
  }
  ++t->counters.pulls;
  t->last_pull_source = source;
  t->next_pull_at = now + kPullTimeout;
  Send(t, source,
       ConfigPull{t->needs_snapshot ? ConfigVersion() : t->store.version()});
}

void AnswerPull(ConfigDistributorTables* t,
                const InstanceId& from,
                ConfigVersion have) {
  const ConfigVersion version = t->store.version();
  if (version <= have) {
    return;
  }
  if (have.value() != 0) {
    if (const std::optional<std::string>& changes = CachedChanges(t, have)) {
      Send(t, from, ConfigPush{have, version, *changes});
      return;
    }
  }
  ++t->counters.snapshots;
  Send(t, from,
       ConfigPush{ConfigVersion(), version,
                  SerializeFleetConfig(*t->store.current())});
}

void OnPush(ConfigDistributorTables* t, const ConfigPush& push, Time now) {
  if (push.version <= t->store.version()) {
    return;
  }
  t->highest_known_version = std::max(t->highest_known_version, push.version);
  Findings findings;
  std::optional<FleetConfig> config;
  if (push.base.value() == 0) {
    config = ParseFleetConfig(push.document, push.version, &findings);
  } else if (t->store.current() == nullptr || push.base > t->store.version()) {
    return;  // The next pull requests the missing versions.
  } else {
    config = ApplyChanges(*t->store.current(), push.document, push.version,
                          &findings);
  }
  if (!config) {
    ++t->counters.rejected;
    t->needs_snapshot = true;
    return;
  }
  ApplyNewConfig(t, std::move(*config), now);
}

// Chooses the successor on a ring of hashes and further peers by rendezvous
// hashing. The ring connects all entries that have the same instance list; the
// other peers shorten the paths.
std::set<InstanceId> ChooseHeartbeatPeers(const ConfigDistributorTables& t,
                                          Time now) {
  std::vector<uint64_t> hashes;
  std::vector<InstanceId> names;
  for (const InstanceInfo& it : t.live_entries) {
    if (!IsUnreachable(t, it.instance, now)) {
      names.push_back(it.instance);
      hashes.push_back(StableHash(it.instance.value()));
    }
  }
  std::set<InstanceId> peers;
  if (names.empty() || t.options.peer_count == 0) {
    return peers;
  }
  const uint64_t own = StableHash(t.options.self.instance.value());
  // Unsigned subtraction wraps, so the first hash follows the last one.
  size_t successor = 0;
  for (size_t i = 1; i < hashes.size(); ++i) {
    if (hashes[i] - own < hashes[successor] - own) {
      successor = i;
    }
  }
  peers.insert(names[successor]);
  for (const uint32_t i : RendezvousTop(own, hashes, t.options.peer_count)) {
    if (peers.size() < t.options.peer_count) {
      peers.insert(names[i]);
    }
  }
  return peers;
}

std::string FindAddress(const ConfigDistributorTables& t,
                        const InstanceId& instance) {
  for (const InstanceInfo& it : t.live_entries) {
    if (it.instance == instance) {
      return it.address;
    }
  }
  return "";
}

void UpdateHeartbeatPeers(ConfigDistributorTables* t, Time now) {
  std::map<InstanceId, std::string> wanted;
  for (const InstanceId& it : ChooseHeartbeatPeers(*t, now)) {
    wanted[it] = FindAddress(*t, it);
  }
  if (!t->has_instance_list) {
    for (const SeedPeer& it : t->options.seed_peers) {
      if (it.instance != t->options.self.instance) {
        wanted[it.instance] = it.address;
      }
    }
  }
  for (const auto& [instance, address] : t->heartbeat_peers) {
    const auto it = wanted.find(instance);
    if (it == wanted.end() || it->second != address) {
      t->actions.emplace_back(DisconnectConfigPeer{instance});
    }
  }
  for (const auto& [instance, address] : wanted) {
    const auto it = t->heartbeat_peers.find(instance);
    if (it == t->heartbeat_peers.end() || it->second != address) {
      t->actions.emplace_back(ConnectConfigPeer{instance, address});
    }
    t->peers.try_emplace(instance);
  }
  t->heartbeat_peers = std::move(wanted);
}

bool IsRankedAsWatcher(const ConfigDistributorTables& t, Time now) {
  std::vector<uint64_t> hashes = {StableHash(t.options.self.instance.value())};
  for (const InstanceInfo& it : t.live_entries) {
    if (it.data_centre == t.options.data_centre &&
        !IsUnreachable(t, it.instance, now)) {
      hashes.push_back(StableHash(it.instance.value()));
    }
  }
  const std::vector<uint32_t> top =
      RendezvousTop(StableHash(t.options.data_centre.value()), hashes,
                    kWatchersPerDataCentre);
  return std::find(top.begin(), top.end(), 0) != top.end();
}

// Returns whether the process has lost contact with all others. Idle agents
// receive few messages, so a current subscription counts as contact.
bool IsIsolated(const ConfigDistributorTables& t, Time now) {
  if (now - t.last_message_at <= kIsolationTimeout) {
    return false;
  }
  return t.options.role == Role::kEntry ||
         std::none_of(t.peers.begin(), t.peers.end(), [&](const auto& it) {
           return now < it.second.reachable_until;
         });
}

// Updates whether this process watches the object. An isolated process watches
// regardless of its rank, because it cannot receive changes from peers.
void UpdateWatcher(ConfigDistributorTables* t, Time now) {
  const bool is_isolated = IsIsolated(*t, now);
  const bool is_ranked =
      t->options.role == Role::kEntry && IsRankedAsWatcher(*t, now);
  const bool should_watch = !t->is_draining && (is_ranked || is_isolated);
  if (should_watch && !t->is_watcher) {
    // The jitter avoids simultaneous requests when all processes of a data
    // centre become isolated at once.
    t->next_object_request_at =
        std::min(t->next_object_request_at,
                 now + Jittered(kMeanInitialPollDelay, &t->random));
  }
  t->is_watcher = should_watch;
}

void RequestConfigObject(ConfigDistributorTables* t, Time now) {
  if (t->is_object_request_pending || now < t->next_object_request_at) {
    return;
  }
  const ConfigVersion after = std::max(t->store.version(), t->rejected_version);
  t->is_object_request_pending = true;
  ++t->counters.object_calls;
  t->actions.emplace_back(
      WatchConfig{ObjectVersion(after.value()),
                  t->is_watcher ? kMaxWatchWait : Duration(0)});
}

void SendHeartbeats(ConfigDistributorTables* t, Time now) {
  if (t->options.role != Role::kEntry || now < t->next_heartbeat_at) {
    return;
  }
  t->next_heartbeat_at = now + kHeartbeatInterval;
  for (const auto& [instance, address] : t->heartbeat_peers) {
    Send(t, instance, MakeHeartbeat(*t));
  }
}

void RemoveExpiredPeers(ConfigDistributorTables* t, Time now) {
  std::erase_if(t->peers, [&](const auto& it) {
    return !IsReachable(*t, it.first, it.second, now);
  });
  const size_t ended = std::erase_if(
      t->unreachable_until, [&](const auto& it) { return it.second <= now; });
  if (ended > 0 && t->options.role == Role::kEntry) {
    UpdateHeartbeatPeers(t, now);
  }
}

// Updates the state of the message's sender. Returns null for a message from an
// earlier incarnation of the sender.
ConfigPeer* UpdateSender(ConfigDistributorTables* t,
                         const Message& message,
                         Time now) {
  ConfigPeer& peer = t->peers[message.sender.instance];
  if (message.sender.incarnation < peer.incarnation) {
    return nullptr;
  }
  if (message.sender.incarnation != peer.incarnation) {
    peer = ConfigPeer{};
    peer.incarnation = message.sender.incarnation;
  }
  peer.known_version = std::max(peer.known_version, message.config_version);
  peer.reachable_until =
      std::max(peer.reachable_until, now + kReachableAfterMessage);
  t->last_message_at = now;
  t->highest_known_version =
      std::max(t->highest_known_version, message.config_version);
  const bool was_unreachable =
      t->unreachable_until.erase(message.sender.instance) > 0;
  if (was_unreachable && t->options.role == Role::kEntry) {
    UpdateHeartbeatPeers(t, now);
  }
  return &peer;
}

// Pushes the configuration to a peer whose message carried an older version,
// since an earlier push may have been lost. Waits kPushRepeatInterval before it
// repeats a push, because messages sent before the push arrived carry the old
// version too.
void PushIfPeerBehind(ConfigDistributorTables* t,
                      const InstanceId& instance,
                      ConfigPeer* peer,
                      Time now) {
  if (peer->known_version >= t->store.version()) {
    return;
  }
  const bool repeated = peer->pushed_version == t->store.version() &&
                        now - peer->pushed_at < kPushRepeatInterval;
  if (!repeated) {
    PushToPeer(t, instance, peer, now);
  }
}

// Returns the delay before the next request to the object API.
Duration NextObjectRequestDelay(ConfigDistributorTables* t, bool healthy) {
  if (t->store.current() == nullptr) {
    return Jittered(kStartupPollInterval, &t->random);
  }
  if (!t->is_watcher) {
    return Jittered(kFallbackPollInterval, &t->random);
  }
  return healthy ? Duration(0) : Jittered(kWatchRetryDelay, &t->random);
}

// Applies a stored configuration. Returns false if it is invalid or not newer
// than the current one.
bool ApplyStoredConfig(ConfigDistributorTables* t,
                       const ObjectReply& reply,
                       Time now) {
  const ConfigVersion version(reply.version.value());
  if (version <= t->store.version()) {
    return false;
  }
  Findings findings;
  std::optional<FleetConfig> config =
      ParseFleetConfig(reply.value, version, &findings);
  if (!config) {
    ++t->counters.rejected;
    t->rejected_version = std::max(t->rejected_version, version);
    return false;
  }
  return ApplyNewConfig(t, std::move(*config), now);
}

}  // namespace

ConfigDistributor::ConfigDistributor(ConfigDistributorOptions options, Time now)
    : tables_(std::make_unique<ConfigDistributorTables>()) {
  ConfigDistributorTables& t = *tables_;
  t.options = std::move(options);
  t.random = Random(
      MixHash(t.options.seed, StableHash(t.options.self.instance.value())));
  t.last_message_at = now;
  t.next_pull_at = now;
  t.next_object_request_at = now + Jittered(kMeanInitialPollDelay, &t.random);
  t.next_heartbeat_at = now;
  if (t.options.role == Role::kEntry) {
    UpdateHeartbeatPeers(&t, now);
  }
}

ConfigDistributor::~ConfigDistributor() = default;

void ConfigDistributor::Tick(Time now) {
  RemoveExpiredPeers(tables_.get(), now);
  UpdateWatcher(tables_.get(), now);
  RequestConfigObject(tables_.get(), now);
  SendHeartbeats(tables_.get(), now);
  PullIfBehind(tables_.get(), now);
}

void ConfigDistributor::OnMessage(const Message& message, Time now) {
  ConfigDistributorTables* t = tables_.get();
  if (message.sender.instance == t->options.self.instance) {
    return;
  }
  ConfigPeer* peer = UpdateSender(t, message, now);
  if (peer == nullptr) {
    return;
  }
  const InstanceId& from = message.sender.instance;
  if (std::holds_alternative<Goodbye>(message.body)) {
    t->peers.erase(from);
    OnPeerUnreachable(from, now);
    return;
  }
  if (const auto* pull = std::get_if<ConfigPull>(&message.body)) {
    AnswerPull(t, from, pull->have);
  } else if (const auto* push = std::get_if<ConfigPush>(&message.body)) {
    OnPush(t, *push, now);
  } else {
    PushIfPeerBehind(t, from, peer, now);
  }
  if (const auto* subscribe = std::get_if<Subscribe>(&message.body)) {
    OnSubscriber(message.sender, subscribe->ttl, now);
  }
  PullIfBehind(t, now);
}

void ConfigDistributor::OnSubscriber(const PeerId& entry,
                                     Duration ttl,
                                     Time now) {
  ConfigPeer& peer = tables_->peers[entry.instance];
  peer.incarnation = std::max(peer.incarnation, entry.incarnation);
  peer.reachable_until = std::max(peer.reachable_until, now + ttl);
}

void ConfigDistributor::OnInstances(const std::vector<InstanceInfo>& instances,
                                    Time now) {
  if (tables_->options.role != Role::kEntry) {
    return;
  }
  tables_->has_instance_list = true;
  tables_->live_entries.clear();
  for (const InstanceInfo& it : instances) {
    if (it.role == Role::kEntry && it.state == InstanceState::kLive &&
        it.instance != tables_->options.self.instance) {
      tables_->live_entries.push_back(it);
    }
  }
  UpdateHeartbeatPeers(tables_.get(), now);
}

void ConfigDistributor::OnPeerUnreachable(const InstanceId& instance,
                                          Time now) {
  tables_->unreachable_until[instance] = now + kUnreachablePeerExclusion;
  if (tables_->heartbeat_peers.contains(instance)) {
    UpdateHeartbeatPeers(tables_.get(), now);
  }
}

void ConfigDistributor::OnObjectReply(const ObjectReply& reply, Time now) {
  ConfigDistributorTables* t = tables_.get();
  t->is_object_request_pending = false;
  const bool healthy = reply.status == ObjectStatus::kOk
                           ? ApplyStoredConfig(t, reply, now)
                           : reply.status == ObjectStatus::kNotModified;
  t->next_object_request_at = now + NextObjectRequestDelay(t, healthy);
}

void ConfigDistributor::BeginDrain() {
  tables_->is_draining = true;
}

std::vector<InstanceId> ConfigDistributor::heartbeat_peers() const {
  std::vector<InstanceId> peers;
  for (const auto& [instance, address] : tables_->heartbeat_peers) {
    peers.push_back(instance);
  }
  return peers;
}

std::vector<ConfigDistributorAction> ConfigDistributor::TakeActions() {
  return std::exchange(tables_->actions, {});
}

const FleetConfigPtr& ConfigDistributor::current() const {
  return tables_->store.current();
}

ConfigVersion ConfigDistributor::version() const {
  return tables_->store.version();
}

std::string ConfigDistributor::Dump(Time now) const {
  const ConfigDistributorTables& t = *tables_;
  boost::json::object peers;
  for (const auto& [instance, peer] : t.peers) {
    peers[instance.value()] = {
        {"version", peer.known_version.value()},
        {"linked", t.heartbeat_peers.contains(instance)},
        {"reachable", IsReachable(t, instance, peer, now)}};
  }
  boost::json::object dump;
  dump["version"] = t.store.version().value();
  dump["highest_known"] = t.highest_known_version.value();
  dump["rejected_version"] = t.rejected_version.value();
  dump["watcher"] = t.is_watcher;
  dump["peers"] = std::move(peers);
  dump["counters"] = {{"pushes", t.counters.pushes},
                      {"announcements", t.counters.announcements},
                      {"pulls", t.counters.pulls},
                      {"snapshots", t.counters.snapshots},
                      {"rejected", t.counters.rejected},
                      {"object_calls", t.counters.object_calls}};
  return boost::json::serialize(dump);
}

}  // namespace burdockhatch
