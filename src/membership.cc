#include "src/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/affinity.h"
#include "src/fleet_table.h"
#include "src/length_pools.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

constexpr Duration kSubscriptionRenewalInterval = std::chrono::seconds(10);
// Interval between Subscribe messages while no reports arrive: the subscription
// may have been lost.
constexpr Duration kSilentResubscribeInterval = std::chrono::seconds(1);
// Sends may fail for this long while a connection is being established.
constexpr Duration kConnectGracePeriod = std::chrono::seconds(1);
// Interval between Subscribe messages on a new connection, until the first
// message arrives or kConnectGracePeriod has passed.
constexpr Duration kConnectingResubscribeInterval =
    std::chrono::milliseconds(200);
// Time after the announcement of an agent that it leaves, after which an entry
// connects to it again if the instance list still names it: it may have been
// restarted. Until its new incarnation is heard, it gets no work.
constexpr Duration kLeavingMemory = std::chrono::seconds(5);
constexpr Duration kTemporaryFollowTime = std::chrono::seconds(30);
constexpr uint32_t kMaxNewFollowsPerCall = 2;
constexpr uint32_t kMaxTemporaryFollows = 8;

void ClearReportedState(FleetTable& fleet, TargetSlot slot) {
  TargetRow& row = fleet.rows[slot];
  if (row.state) {
    RemovePrefixes(fleet.affinity, slot, row.state->cached_prefixes);
    row.state.reset();
  }
  fleet.hints[slot].reported_tokens = 0;
}

bool IsConnectedToOldAddress(const TargetRow* row, const InstanceInfo& info) {
  return row && row->connected && row->info.address != info.address;
}

void Disconnect(EntryTables& tables, TargetSlot slot, Time now) {
  TargetRow& row = tables.fleet.rows[slot];
  row.connected = false;
  ClearReportedState(tables.fleet, slot);
  RefreshAvailability(tables.fleet, slot, now);
  tables.actions.push_back(DisconnectPeer{row.info.instance});
}

void AddOrUpdateEntry(EntryTables& tables, const InstanceInfo& info) {
  EntryPeer& peer = tables.entries[info.instance];
  if (peer.connected && peer.info.address != info.address) {
    tables.actions.push_back(DisconnectPeer{info.instance});
    peer.connected = false;
  }
  peer.info = info;
  peer.hash = StableHash(info.instance.value());
}

void AddOrUpdateAgent(EntryTables& tables, const InstanceInfo& info, Time now) {
  const TargetRow* known = FindTarget(tables.fleet, info.instance);
  if (IsConnectedToOldAddress(known, info)) {
    Disconnect(tables, tables.fleet.by_instance[info.instance], now);
  }
  const TargetSlot slot = AddOrUpdateTarget(tables, info);
  tables.fleet.rows[slot].listed = true;
}

void RemoveUnlistedEntries(EntryTables& tables,
                           const std::set<InstanceId>& listed,
                           Time now) {
  for (auto it = tables.entries.begin(); it != tables.entries.end();) {
    const bool silent = now - it->second.last_heard > kSuspicionTimeout;
    if (listed.contains(it->first) || !silent) {
      ++it;
      continue;
    }
    if (it->second.connected) {
      tables.actions.push_back(DisconnectPeer{it->first});
    }
    it = tables.entries.erase(it);
  }
}

// An unlisted agent that still sends messages stays eligible, because the list
// may be wrong.
bool IsEligibleForSubset(const TargetRow& row, Time now) {
  const bool is_heard =
      row.connected && now - row.last_heard <= kSuspicionTimeout;
  const bool is_gone = row.leaving && now - row.leaving_since < kLeavingMemory;
  return (row.listed || is_heard) && !row.withdrawn && !is_gone &&
         row.info.state == InstanceState::kLive;
}

// Returns the eligible targets of a group, inside or outside this entry's data
// centre, ordered by their rendezvous score for this entry.
std::vector<TargetSlot> RankEligibleTargets(
    const EntryTables& tables,
    const std::vector<TargetSlot>& slots,
    bool own_data_centre,
    Time now) {
  const uint64_t key = StableHash(tables.options.self.instance.value());
  std::vector<std::pair<uint64_t, TargetSlot>> ranked;
  for (const TargetSlot slot : slots) {
    const TargetRow& row = tables.fleet.rows[slot];
    const bool own = row.info.data_centre == tables.options.data_centre;
    if (IsEligibleForSubset(row, now) && own == own_data_centre) {
      ranked.emplace_back(RendezvousScore(key, row.hash), slot);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<TargetSlot> order;
  for (const auto& [score, slot] : ranked) {
    order.push_back(slot);
  }
  return order;
}

// Adds `quota` agents of a group to the subset. Most are in this entry's data
// centre; some are in others, so that the entry already knows agents there when
// its own data centre fails.
void ChooseGroupSubset(EntryTables& tables,
                       const std::vector<TargetSlot>& slots,
                       size_t quota,
                       Time now) {
  const auto own = RankEligibleTargets(tables, slots, true, now);
  const auto others = RankEligibleTargets(tables, slots, false, now);
  const size_t min_others =
      std::min(others.size(), std::max<size_t>(quota / 3, 2));
  const size_t own_count =
      std::min(own.size(), quota - std::min(quota, min_others));
  const size_t others_count = std::min(others.size(), quota - own_count);
  for (size_t i = 0; i < own_count; ++i) {
    tables.fleet.rows[own[i]].in_subset = true;
  }
  for (size_t i = 0; i < others_count; ++i) {
    tables.fleet.rows[others[i]].in_subset = true;
  }
}

template <class Groups>
void ChooseGroupSubsets(EntryTables& tables,
                        const Groups& groups,
                        size_t agent_count,
                        Time now) {
  for (const auto& [id, slots] : groups) {
    const size_t proportional = tables.options.subset_size * slots.size() /
                                std::max<size_t>(agent_count, 1);
    ChooseGroupSubset(tables, slots,
                      std::max<size_t>(proportional, kMinFollowedPerGroup),
                      now);
  }
}

bool NeedsConnection(const TargetRow& row, Time now) {
  return row.in_subset || row.attempts_and_holds > 0 ||
         row.outside_subset_until > now;
}

void Connect(EntryTables& tables, TargetRow& row, Time now) {
  row.connected = true;
  row.unreachable = false;
  row.connected_at = now;
  row.next_subscribe = now;
  tables.actions.push_back(ConnectPeer{row.info.instance, row.info.address});
}

bool IsConnecting(const TargetRow& row, Time now) {
  return row.last_heard < row.connected_at &&
         now - row.connected_at < kConnectGracePeriod;
}

// Returns the time until the next subscription message. It is shorter when no
// reports arrive, and shortest while the connection is being established.
Duration SubscribeInterval(const TargetRow& row, Time now) {
  if (IsConnecting(row, now)) {
    return kConnectingResubscribeInterval;
  }
  const bool silent = now - row.last_heard > 2 * kReportInterval;
  return silent ? kSilentResubscribeInterval : kSubscriptionRenewalInterval;
}

void SubscribeIfDue(EntryTables& tables, TargetRow& row, Time now) {
  const Duration interval = SubscribeInterval(row, now);
  row.next_subscribe = std::min(row.next_subscribe, now + interval);
  if (!row.connected || now < row.next_subscribe) {
    return;
  }
  row.next_subscribe = now + interval;
  tables.actions.push_back(SendMessage{{row.info.instance, row.incarnation},
                                       Subscribe{kSubscriptionTtl}});
}

void UpdateTargetConnection(EntryTables& tables, TargetSlot slot, Time now) {
  TargetRow& row = tables.fleet.rows[slot];
  const bool wanted = NeedsConnection(row, now);
  if (wanted && !row.connected) {
    Connect(tables, row, now);
  } else if (!wanted && row.connected) {
    Disconnect(tables, slot, now);
  }
  if (wanted) {
    SubscribeIfDue(tables, row, now);
  }
  RefreshAvailability(tables.fleet, slot, now);
}

// An unlisted agent is kept while it has attempts or still sends messages.
bool CanRemoveAgent(const TargetRow& row, Time now) {
  return !row.listed && row.attempts_and_holds == 0 &&
         now - row.last_heard > kSuspicionTimeout;
}

void RemoveAgent(EntryTables& tables, TargetSlot slot) {
  TargetRow& row = tables.fleet.rows[slot];
  if (row.connected) {
    tables.actions.push_back(DisconnectPeer{row.info.instance});
  }
  RemoveTarget(tables.fleet, slot);
}

// Resets the row for a new incarnation. The state reported by the previous one
// is obsolete, and the new one has not announced that it leaves.
void ResetForNewIncarnation(FleetTable& fleet,
                            TargetSlot slot,
                            Incarnation incarnation,
                            Time now) {
  TargetRow& row = fleet.rows[slot];
  ClearReportedState(fleet, slot);
  row.incarnation = incarnation;
  row.leaving = false;
  row.subset_check_at = now;
  row.next_subscribe = now;
}

void MarkLeaving(TargetRow& row, Time now) {
  if (!row.leaving) {
    row.leaving = true;
    row.leaving_since = now;
    row.subset_check_at = now + kLeavingMemory;
  }
}

bool IsSubsetCheckDue(EntryTables& tables, Time now) {
  bool is_due = false;
  for (TargetRow& row : tables.fleet.rows) {
    if (row.used && row.subset_check_at && now >= *row.subset_check_at) {
      row.subset_check_at.reset();
      is_due = true;
    }
  }
  return is_due;
}

SenderIncarnation RecordMessageFromAgent(FleetTable& fleet,
                                         TargetSlot slot,
                                         Incarnation incarnation,
                                         Time now) {
  TargetRow& row = fleet.rows[slot];
  if (incarnation < row.incarnation) {
    return SenderIncarnation::kStale;
  }
  const bool is_new = incarnation > row.incarnation;
  if (is_new) {
    ResetForNewIncarnation(fleet, slot, incarnation, now);
  }
  row.last_heard = now;
  row.unreachable = false;
  RefreshAvailability(fleet, slot, now);
  return is_new ? SenderIncarnation::kNew : SenderIncarnation::kCurrent;
}

SenderIncarnation RecordMessageFromEntry(EntryTables& tables,
                                         EntryPeer& peer,
                                         Incarnation incarnation,
                                         Time now) {
  if (incarnation < peer.incarnation) {
    return SenderIncarnation::kStale;
  }
  peer.last_heard = now;
  if (incarnation == peer.incarnation) {
    return SenderIncarnation::kCurrent;
  }
  peer.incarnation = incarnation;
  if (peer.leaving) {
    peer.leaving = false;
    ++tables.entries_version;
  }
  return SenderIncarnation::kNew;
}

// Adds an entry that sent a heartbeat before it appeared on the instance list.
void AddUnlistedEntry(EntryTables& tables,
                      const PeerId& sender,
                      const Heartbeat& heartbeat,
                      Time now) {
  if (heartbeat.role != Role::kEntry ||
      sender.instance == tables.options.self.instance) {
    return;
  }
  InstanceInfo info;
  info.instance = sender.instance;
  info.data_centre = heartbeat.data_centre;
  info.address = heartbeat.address;
  AddOrUpdateEntry(tables, info);
  EntryPeer& peer = tables.entries[sender.instance];
  peer.incarnation = sender.incarnation;
  peer.last_heard = now;
  peer.leaving = heartbeat.leaving;
  ++tables.entries_version;
}

}  // namespace

void ApplyInstanceList(EntryTables& tables,
                       const std::vector<InstanceInfo>& instances,
                       Time now) {
  for (TargetRow& row : tables.fleet.rows) {
    row.listed = false;
  }
  std::set<InstanceId> listed_entries;
  for (const InstanceInfo& it : instances) {
    if (it.role == Role::kAgent) {
      AddOrUpdateAgent(tables, it, now);
    } else if (it.instance != tables.options.self.instance) {
      listed_entries.insert(it.instance);
      AddOrUpdateEntry(tables, it);
    }
  }
  RemoveUnlistedEntries(tables, listed_entries, now);
  ++tables.entries_version;
  AssignLengthPools(tables.fleet);
  if (tables.config) {
    ApplyWithdrawals(tables, now);
  }
  ChooseSubset(tables, now);
}

SenderIncarnation RecordMessageFrom(EntryTables& tables,
                                    const PeerId& sender,
                                    Time now) {
  const auto slot = tables.fleet.by_instance.find(sender.instance);
  if (slot != tables.fleet.by_instance.end()) {
    return RecordMessageFromAgent(tables.fleet, slot->second,
                                  sender.incarnation, now);
  }
  const auto peer = tables.entries.find(sender.instance);
  if (peer != tables.entries.end()) {
    return RecordMessageFromEntry(tables, peer->second, sender.incarnation,
                                  now);
  }
  return SenderIncarnation::kUnknownPeer;
}

void OnHeartbeat(EntryTables& tables,
                 const PeerId& sender,
                 const Heartbeat& heartbeat,
                 Time now) {
  if (TargetRow* row = FindTarget(tables.fleet, sender.instance)) {
    if (heartbeat.leaving) {
      MarkLeaving(*row, now);
    }
    RefreshAvailability(tables.fleet, tables.fleet.by_instance[sender.instance],
                        now);
    return;
  }
  const auto peer = tables.entries.find(sender.instance);
  if (peer == tables.entries.end()) {
    AddUnlistedEntry(tables, sender, heartbeat, now);
  } else if (heartbeat.leaving && !peer->second.leaving) {
    peer->second.leaving = true;
    ++tables.entries_version;
  }
}

void OnGoodbye(EntryTables& tables, const PeerId& sender, Time now) {
  if (TargetRow* row = FindTarget(tables.fleet, sender.instance)) {
    MarkLeaving(*row, now);
    RefreshAvailability(tables.fleet, tables.fleet.by_instance[sender.instance],
                        now);
    return;
  }
  const auto peer = tables.entries.find(sender.instance);
  if (peer != tables.entries.end()) {
    peer->second.leaving = true;
    ++tables.entries_version;
  }
}

void MarkUnreachable(EntryTables& tables,
                     const InstanceId& instance,
                     Time now) {
  TargetRow* row = FindTarget(tables.fleet, instance);
  if (!row || IsConnecting(*row, now)) {
    return;
  }
  row->unreachable = true;
  RefreshAvailability(tables.fleet, tables.fleet.by_instance[instance], now);
}

void ChooseSubset(EntryTables& tables, Time now) {
  size_t agent_count = 0;
  for (TargetRow& row : tables.fleet.rows) {
    row.in_subset = false;
    agent_count += row.used ? 1 : 0;
  }
  ChooseGroupSubsets(tables, tables.fleet.by_model, agent_count, now);
  ChooseGroupSubsets(tables, tables.fleet.by_service, agent_count, now);
  UpdateMembership(tables, now);
}

void FollowTemporarily(EntryTables& tables, TargetSlot slot, Time now) {
  tables.fleet.rows[slot].outside_subset_until = now + kTemporaryFollowTime;
  UpdateTargetConnection(tables, slot, now);
}

void FollowOutsideSubset(EntryTables& tables,
                         const std::vector<TargetSlot>& candidates,
                         Time now) {
  uint32_t followed = 0;
  std::vector<TargetSlot> outside;
  for (const TargetSlot slot : candidates) {
    const TargetRow& row = tables.fleet.rows[slot];
    followed += row.outside_subset_until > now && !row.in_subset ? 1 : 0;
    if (!row.connected && IsEligibleForSubset(row, now)) {
      outside.push_back(slot);
    }
  }
  for (uint32_t i = 0;
       i < kMaxNewFollowsPerCall && followed < kMaxTemporaryFollows; ++i) {
    if (outside.empty()) {
      return;
    }
    const uint64_t pick = tables.random.UniformBelow(outside.size());
    FollowTemporarily(tables, outside[pick], now);
    outside.erase(outside.begin() + static_cast<int64_t>(pick));
    ++followed;
  }
}

void UpdateMembership(EntryTables& tables, Time now) {
  if (IsSubsetCheckDue(tables, now)) {
    ChooseSubset(tables, now);
    return;
  }
  for (TargetSlot slot = 0; slot < tables.fleet.rows.size(); ++slot) {
    const TargetRow& row = tables.fleet.rows[slot];
    if (!row.used) {
      continue;
    }
    if (CanRemoveAgent(row, now)) {
      RemoveAgent(tables, slot);
    } else {
      UpdateTargetConnection(tables, slot, now);
    }
  }
}

}  // namespace burdockhatch
