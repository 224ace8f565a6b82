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
// Short, so that a watcher whose connection has died silently notices well
// within the bound of 9 s.
constexpr Duration kWatchWait = seconds(4);
constexpr Duration kWatchRetry = seconds(1);
constexpr Duration kFallbackPoll = seconds(30);
constexpr Duration kFirstPollSpread = milliseconds(500);
// A process without a configuration is not ready, so it asks often.
constexpr Duration kStartPoll = seconds(2);
// A process that hears nobody for this long watches the object itself.
constexpr Duration kIsolationLimit = seconds(3);
constexpr Duration kHeartbeat = seconds(1);
constexpr Duration kPullTimeout = seconds(1);
constexpr Duration kPushRepeat = seconds(1);
constexpr Duration kPeerMemory = seconds(5);
constexpr Duration kUnreachableFor = seconds(10);

// Between half and one and a half of `mean`.
Duration Jittered(Duration mean, Random* random) {
  return mean / 2 + Duration(static_cast<int64_t>(
                        random->Below(static_cast<uint64_t>(mean.count()))));
}

bool IsUnreachable(const ConfigDistributorTables& t,
                   const InstanceId& instance,
                   Time now) {
  const auto it = t.unreachable.find(instance);
  return it != t.unreachable.end() && now < it->second;
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
  return {t.options.role, t.options.data_centre, t.options.address, t.draining};
}

const std::optional<std::string>& CachedChanges(ConfigDistributorTables* t,
                                                ConfigVersion have) {
  const auto [it, is_new] = t->changes_cache.try_emplace(have);
  if (is_new) {
    it->second = ChangesSince(*t->store.current(), have);
  }
  return it->second;
}

// Sends the edits that the peer lacks. A heartbeat announces the version when
// the log does not reach back to the peer's; the peer then pulls, from one
// process only, so that a large document does not reach it many times.
void PushTo(ConfigDistributorTables* t,
            const InstanceId& to,
            ConfigPeer* peer,
            Time now) {
  const ConfigVersion base =
      peer->version.value() != 0 ? peer->version : t->previous_version;
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

void PushToAll(ConfigDistributorTables* t, Time now) {
  for (auto& [instance, peer] : t->peers) {
    if (peer.version < t->store.version() &&
        IsReachable(*t, instance, peer, now)) {
      PushTo(t, instance, &peer, now);
    }
  }
}

// Returns whether the configuration was news.
bool TakeConfig(ConfigDistributorTables* t, FleetConfig config, Time now) {
  const ConfigVersion previous = t->store.version();
  if (!t->store.Apply(std::move(config))) {
    return false;
  }
  t->previous_version = previous;
  t->need_snapshot = false;
  t->changes_cache.clear();
  t->highest_known = std::max(t->highest_known, t->store.version());
  t->pull_again_at = now;
  t->actions.emplace_back(ApplyConfig{t->store.current()});
  PushToAll(t, now);
  return true;
}

// Any peer that knows more may answer; another one than last time if there is
// one, because the last one may be dead.
InstanceId ChoosePullSource(ConfigDistributorTables* t, Time now) {
  std::vector<InstanceId> sources;
  for (const auto& [instance, peer] : t->peers) {
    if (peer.version > t->store.version() &&
        IsReachable(*t, instance, peer, now)) {
      sources.push_back(instance);
    }
  }
  if (sources.size() > 1) {
    std::erase(sources, t->pulled_from);
  }
  return sources.empty() ? InstanceId()
                         : sources[t->random.Below(sources.size())];
}

void PullIfBehind(ConfigDistributorTables* t, Time now) {
  if (t->highest_known <= t->store.version() || now < t->pull_again_at) {
    return;
  }
  const InstanceId source = ChoosePullSource(t, now);
  if (source.empty()) {
    return;
  }
  ++t->counters.pulls;
  t->pulled_from = source;
  t->pull_again_at = now + kPullTimeout;
  Send(t, source,
       ConfigPull{t->need_snapshot ? ConfigVersion() : t->store.version()});
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
  t->highest_known = std::max(t->highest_known, push.version);
  Findings findings;
  std::optional<FleetConfig> config;
  if (push.base.value() == 0) {
    config = ParseFleetConfig(push.document, push.version, &findings);
  } else if (t->store.current() == nullptr || push.base > t->store.version()) {
    return;  // The pull asks for what is missing.
  } else {
    config = ApplyChanges(*t->store.current(), push.document, push.version,
                          &findings);
  }
  if (!config) {
    ++t->counters.rejected;
    t->need_snapshot = true;
    return;
  }
  TakeConfig(t, std::move(*config), now);
}

// The next entry on a ring of hashes and the rendezvous choice. The ring
// connects all entries that share an instance list; the choice shortens paths.
std::set<InstanceId> ChoosePeers(const ConfigDistributorTables& t, Time now) {
  std::vector<uint64_t> hashes;
  std::vector<InstanceId> names;
  for (const InstanceInfo& it : t.entries) {
    if (!IsUnreachable(t, it.instance, now)) {
      names.push_back(it.instance);
      hashes.push_back(StableHash(it.instance.value()));
    }
  }
  std::set<InstanceId> chosen;
  if (names.empty() || t.options.peer_count == 0) {
    return chosen;
  }
  const uint64_t own = StableHash(t.options.self.instance.value());
  // Unsigned distance: the successor of the last hash is the first one.
  size_t successor = 0;
  for (size_t i = 1; i < hashes.size(); ++i) {
    if (hashes[i] - own < hashes[successor] - own) {
      successor = i;
    }
  }
  chosen.insert(names[successor]);
  for (const uint32_t i : RendezvousTop(own, hashes, t.options.peer_count)) {
    if (chosen.size() < t.options.peer_count) {
      chosen.insert(names[i]);
    }
  }
  return chosen;
}

std::string AddressOf(const ConfigDistributorTables& t,
                      const InstanceId& instance) {
  for (const InstanceInfo& it : t.entries) {
    if (it.instance == instance) {
      return it.address;
    }
  }
  return "";
}

void UpdateLinks(ConfigDistributorTables* t, Time now) {
  std::map<InstanceId, std::string> wanted;
  for (const InstanceId& it : ChoosePeers(*t, now)) {
    wanted[it] = AddressOf(*t, it);
  }
  if (!t->have_instances) {
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

bool RanksAsWatcher(const ConfigDistributorTables& t, Time now) {
  std::vector<uint64_t> hashes = {StableHash(t.options.self.instance.value())};
  for (const InstanceInfo& it : t.entries) {
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

// Agents hear little while they are idle; a subscription counts as contact.
bool IsIsolated(const ConfigDistributorTables& t, Time now) {
  if (now - t.heard_at <= kIsolationLimit) {
    return false;
  }
  return t.options.role == Role::kEntry ||
         std::none_of(t.peers.begin(), t.peers.end(), [&](const auto& it) {
           return now < it.second.reachable_until;
         });
}

// An isolated process cannot learn of news from peers, so it watches whatever
// its rank is.
void UpdateWatcher(ConfigDistributorTables* t, Time now) {
  const bool isolated = IsIsolated(*t, now);
  const bool ranks = t->options.role == Role::kEntry && RanksAsWatcher(*t, now);
  const bool watches = !t->draining && (ranks || isolated);
  if (watches && !t->is_watcher) {
    // Jittered: a whole data centre may find itself isolated at once.
    t->next_call =
        std::min(t->next_call, now + Jittered(kFirstPollSpread, &t->random));
  }
  t->is_watcher = watches;
}

void CallObjectApi(ConfigDistributorTables* t, Time now) {
  if (t->call_pending || now < t->next_call) {
    return;
  }
  const ConfigVersion after = std::max(t->store.version(), t->rejected_version);
  t->call_pending = true;
  ++t->counters.object_calls;
  t->actions.emplace_back(WatchConfig{
      ObjectVersion(after.value()), t->is_watcher ? kWatchWait : Duration(0)});
}

void SendHeartbeats(ConfigDistributorTables* t, Time now) {
  if (t->options.role != Role::kEntry || now < t->next_heartbeat) {
    return;
  }
  t->next_heartbeat = now + kHeartbeat;
  for (const auto& [instance, address] : t->heartbeat_peers) {
    Send(t, instance, MakeHeartbeat(*t));
  }
}

void ForgetPeers(ConfigDistributorTables* t, Time now) {
  std::erase_if(t->peers, [&](const auto& it) {
    return !IsReachable(*t, it.first, it.second, now);
  });
  std::erase_if(t->unreachable,
                [&](const auto& it) { return it.second <= now; });
}

// Returns null for a message of an earlier run of the sender.
ConfigPeer* NoteSender(ConfigDistributorTables* t,
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
  peer.version = std::max(peer.version, message.config_version);
  peer.reachable_until = std::max(peer.reachable_until, now + kPeerMemory);
  t->heard_at = now;
  t->highest_known = std::max(t->highest_known, message.config_version);
  t->unreachable.erase(message.sender.instance);
  return &peer;
}

// The sender of a message is behind: its state tells that an earlier push was
// lost, so the push is repeated, but not for each message on the way.
void PushIfBehind(ConfigDistributorTables* t,
                  const InstanceId& instance,
                  ConfigPeer* peer,
                  Time now) {
  if (peer->version >= t->store.version()) {
    return;
  }
  const bool repeated = peer->pushed_version == t->store.version() &&
                        now - peer->pushed_at < kPushRepeat;
  if (!repeated) {
    PushTo(t, instance, peer, now);
  }
}

// The next call after an answer of the object API.
Duration DelayAfter(ConfigDistributorTables* t, bool healthy) {
  if (t->store.current() == nullptr) {
    return Jittered(kStartPoll, &t->random);
  }
  if (!t->is_watcher) {
    return Jittered(kFallbackPoll, &t->random);
  }
  return healthy ? Duration(0) : Jittered(kWatchRetry, &t->random);
}

// Returns whether the answer was news.
bool TakeObject(ConfigDistributorTables* t,
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
  return TakeConfig(t, std::move(*config), now);
}

}  // namespace

ConfigDistributor::ConfigDistributor(ConfigDistributorOptions options, Time now)
    : tables_(std::make_unique<ConfigDistributorTables>()) {
  ConfigDistributorTables& t = *tables_;
  t.options = std::move(options);
  t.random = Random(
      MixHash(t.options.seed, StableHash(t.options.self.instance.value())));
  t.heard_at = now;
  t.pull_again_at = now;
  t.next_call = now + Jittered(kFirstPollSpread, &t.random);
  t.next_heartbeat = now;
  if (t.options.role == Role::kEntry) {
    UpdateLinks(&t, now);
  }
}

ConfigDistributor::~ConfigDistributor() = default;

void ConfigDistributor::Tick(Time now) {
  ForgetPeers(tables_.get(), now);
  UpdateWatcher(tables_.get(), now);
  CallObjectApi(tables_.get(), now);
  SendHeartbeats(tables_.get(), now);
  PullIfBehind(tables_.get(), now);
}

void ConfigDistributor::OnMessage(const Message& message, Time now) {
  ConfigDistributorTables* t = tables_.get();
  if (message.sender.instance == t->options.self.instance) {
    return;
  }
  ConfigPeer* peer = NoteSender(t, message, now);
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
    PushIfBehind(t, from, peer, now);
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
  tables_->have_instances = true;
  tables_->entries.clear();
  for (const InstanceInfo& it : instances) {
    if (it.role == Role::kEntry && it.state == InstanceState::kLive &&
        it.instance != tables_->options.self.instance) {
      tables_->entries.push_back(it);
    }
  }
  UpdateLinks(tables_.get(), now);
}

void ConfigDistributor::OnPeerUnreachable(const InstanceId& instance,
                                          Time now) {
  tables_->unreachable[instance] = now + kUnreachableFor;
  if (tables_->heartbeat_peers.contains(instance)) {
    UpdateLinks(tables_.get(), now);
  }
}

void ConfigDistributor::OnObjectReply(const ObjectReply& reply, Time now) {
  ConfigDistributorTables* t = tables_.get();
  t->call_pending = false;
  const bool healthy = reply.status == ObjectStatus::kOk
                           ? TakeObject(t, reply, now)
                           : reply.status == ObjectStatus::kNotModified;
  t->next_call = now + DelayAfter(t, healthy);
}

void ConfigDistributor::BeginDrain() {
  tables_->draining = true;
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
        {"version", peer.version.value()},
        {"linked", t.heartbeat_peers.contains(instance)},
        {"reachable", IsReachable(t, instance, peer, now)}};
  }
  boost::json::object dump;
  dump["version"] = t.store.version().value();
  dump["highest_known"] = t.highest_known.value();
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
