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

constexpr Duration kSubscribeRenewal = std::chrono::seconds(10);
// A subscription that brings no reports may have been lost.
constexpr Duration kSubscribeRetry = std::chrono::seconds(1);
// A connection that comes up fails sends at first.
constexpr Duration kConnectGrace = std::chrono::seconds(1);
constexpr Duration kFirstSubscribeRetry = std::chrono::milliseconds(200);
constexpr Duration kExtraTime = std::chrono::seconds(30);
constexpr uint32_t kProbesAtOnce = 2;
constexpr uint32_t kMaxExtras = 8;

void ForgetState(FleetTable& fleet, TargetSlot slot) {
  TargetRow& row = fleet.rows[slot];
  if (row.state) {
    RemovePrefixes(fleet.affinity, slot, row.state->cached_prefixes);
    row.state.reset();
  }
  fleet.hints[slot].reported_tokens = 0;
}

bool AddressChanged(const TargetRow* row, const InstanceInfo& info) {
  return row && row->connected && row->info.address != info.address;
}

void Disconnect(EntryTables& tables, TargetSlot slot, Time now) {
  TargetRow& row = tables.fleet.rows[slot];
  row.connected = false;
  ForgetState(tables.fleet, slot);
  RefreshStanding(tables.fleet, slot, now);
  tables.actions.push_back(DisconnectPeer{row.info.instance});
}

void PutEntry(EntryTables& tables, const InstanceInfo& info) {
  EntryPeer& peer = tables.entries[info.instance];
  if (peer.connected && peer.info.address != info.address) {
    tables.actions.push_back(DisconnectPeer{info.instance});
    peer.connected = false;
  }
  peer.info = info;
  peer.hash = StableHash(info.instance.value());
}

void PutAgent(EntryTables& tables, const InstanceInfo& info, Time now) {
  const TargetRow* known = FindTarget(tables.fleet, info.instance);
  if (AddressChanged(known, info)) {
    Disconnect(tables, tables.fleet.by_instance[info.instance], now);
  }
  const TargetSlot slot = AddOrUpdateTarget(tables, info);
  tables.fleet.rows[slot].listed = true;
}

void DropUnlistedEntries(EntryTables& tables,
                         const std::set<InstanceId>& listed,
                         Time now) {
  for (auto it = tables.entries.begin(); it != tables.entries.end();) {
    const bool silent = now - it->second.last_heard > kSuspicionTime;
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

// An unlisted agent that still speaks stays: the list may be wrong.
bool FitsSubset(const TargetRow& row, Time now) {
  const bool speaks = row.connected && now - row.last_heard <= kSuspicionTime;
  return (row.listed || speaks) && !row.withdrawn && !row.leaving &&
         row.info.state == InstanceState::kLive;
}

// Candidates of one group in this entry's order of preference.
std::vector<TargetSlot> RankGroup(const EntryTables& tables,
                                  const std::vector<TargetSlot>& slots,
                                  bool own_data_centre,
                                  Time now) {
  const uint64_t key = StableHash(tables.options.self.instance.value());
  std::vector<std::pair<uint64_t, TargetSlot>> ranked;
  for (const TargetSlot slot : slots) {
    const TargetRow& row = tables.fleet.rows[slot];
    const bool own = row.info.data_centre == tables.options.data_centre;
    if (FitsSubset(row, now) && own == own_data_centre) {
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

// Takes `quota` agents: mostly of the own data centre, but some of others, so
// that the loss of the own one is survived without a search.
void ChooseOfGroup(EntryTables& tables,
                   const std::vector<TargetSlot>& slots,
                   size_t quota,
                   Time now) {
  const auto own = RankGroup(tables, slots, true, now);
  const auto others = RankGroup(tables, slots, false, now);
  const size_t reserved =
      std::min(others.size(), std::max<size_t>(quota / 3, 2));
  const size_t own_count =
      std::min(own.size(), quota - std::min(quota, reserved));
  const size_t others_count = std::min(others.size(), quota - own_count);
  for (size_t i = 0; i < own_count; ++i) {
    tables.fleet.rows[own[i]].in_subset = true;
  }
  for (size_t i = 0; i < others_count; ++i) {
    tables.fleet.rows[others[i]].in_subset = true;
  }
}

template <class Groups>
void ChooseOfGroups(EntryTables& tables,
                    const Groups& groups,
                    size_t total,
                    Time now) {
  for (const auto& [id, slots] : groups) {
    const size_t fair =
        tables.options.subset_size * slots.size() / std::max<size_t>(total, 1);
    ChooseOfGroup(tables, slots, std::max<size_t>(fair, kMinPerGroup), now);
  }
}

bool WantsConnection(const TargetRow& row, Time now) {
  return row.in_subset || row.attempts > 0 || row.extra_until > now;
}

void Connect(EntryTables& tables, TargetRow& row, Time now) {
  row.connected = true;
  row.unreachable = false;
  row.connected_at = now;
  row.next_subscribe = now;
  tables.actions.push_back(ConnectPeer{row.info.instance, row.info.address});
}

bool IsComingUp(const TargetRow& row, Time now) {
  return row.last_heard < row.connected_at &&
         now - row.connected_at < kConnectGrace;
}

// Renewed earlier when reports have stopped, and soonest while the connection
// may still be coming up.
Duration SubscribeInterval(const TargetRow& row, Time now) {
  if (IsComingUp(row, now)) {
    return kFirstSubscribeRetry;
  }
  const bool silent = now - row.last_heard > 2 * kReportInterval;
  return silent ? kSubscribeRetry : kSubscribeRenewal;
}

void SubscribeIfDue(EntryTables& tables, TargetRow& row, Time now) {
  const Duration interval = SubscribeInterval(row, now);
  row.next_subscribe = std::min(row.next_subscribe, now + interval);
  if (!row.connected || now < row.next_subscribe) {
    return;
  }
  row.next_subscribe = now + interval;
  tables.actions.push_back(SendToAgent{{row.info.instance, row.incarnation},
                                       Subscribe{kSubscribeTtl}});
}

void UpdateTarget(EntryTables& tables, TargetSlot slot, Time now) {
  TargetRow& row = tables.fleet.rows[slot];
  const bool wanted = WantsConnection(row, now);
  if (wanted && !row.connected) {
    Connect(tables, row, now);
  } else if (!wanted && row.connected) {
    Disconnect(tables, slot, now);
  }
  if (wanted) {
    SubscribeIfDue(tables, row, now);
  }
  RefreshStanding(tables.fleet, slot, now);
}

// An unlisted agent that still speaks is kept.
bool MayForget(const TargetRow& row, Time now) {
  return !row.listed && row.attempts == 0 &&
         now - row.last_heard > kSuspicionTime;
}

void Forget(EntryTables& tables, TargetSlot slot) {
  TargetRow& row = tables.fleet.rows[slot];
  if (row.connected) {
    tables.actions.push_back(DisconnectPeer{row.info.instance});
  }
  RemoveTarget(tables.fleet, slot);
}

// A new run starts with an empty record: what the old run said is void, and the
// new one has not said that it leaves.
void StartRun(FleetTable& fleet,
              TargetSlot slot,
              Incarnation incarnation,
              Time now) {
  TargetRow& row = fleet.rows[slot];
  ForgetState(fleet, slot);
  row.incarnation = incarnation;
  row.leaving = false;
  row.next_subscribe = now;
}

SenderRun HearFromAgent(FleetTable& fleet,
                        TargetSlot slot,
                        Incarnation incarnation,
                        Time now) {
  TargetRow& row = fleet.rows[slot];
  if (incarnation < row.incarnation) {
    return SenderRun::kStaleRun;
  }
  const bool is_new = incarnation > row.incarnation;
  if (is_new) {
    StartRun(fleet, slot, incarnation, now);
  }
  row.last_heard = now;
  row.unreachable = false;
  RefreshStanding(fleet, slot, now);
  return is_new ? SenderRun::kNewRun : SenderRun::kSameRun;
}

SenderRun HearFromEntry(EntryTables& tables,
                        EntryPeer& peer,
                        Incarnation incarnation,
                        Time now) {
  if (incarnation < peer.incarnation) {
    return SenderRun::kStaleRun;
  }
  peer.last_heard = now;
  if (incarnation == peer.incarnation) {
    return SenderRun::kSameRun;
  }
  peer.incarnation = incarnation;
  if (peer.leaving) {
    peer.leaving = false;
    ++tables.entries_version;
  }
  return SenderRun::kNewRun;
}

// An entry that is not on the list yet.
void AddSpeakingEntry(EntryTables& tables,
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
  PutEntry(tables, info);
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
      PutAgent(tables, it, now);
    } else if (it.instance != tables.options.self.instance) {
      listed_entries.insert(it.instance);
      PutEntry(tables, it);
    }
  }
  DropUnlistedEntries(tables, listed_entries, now);
  ++tables.entries_version;
  AssignLengthPools(tables.fleet);
  if (tables.config) {
    ApplyWithdrawals(tables, now);
  }
  ChooseSubset(tables, now);
}

SenderRun RecordMessageFrom(EntryTables& tables,
                            const PeerId& sender,
                            Time now) {
  const auto slot = tables.fleet.by_instance.find(sender.instance);
  if (slot != tables.fleet.by_instance.end()) {
    return HearFromAgent(tables.fleet, slot->second, sender.incarnation, now);
  }
  const auto peer = tables.entries.find(sender.instance);
  if (peer != tables.entries.end()) {
    return HearFromEntry(tables, peer->second, sender.incarnation, now);
  }
  return SenderRun::kUnknownPeer;
}

void OnHeartbeat(EntryTables& tables,
                 const PeerId& sender,
                 const Heartbeat& heartbeat,
                 Time now) {
  if (TargetRow* row = FindTarget(tables.fleet, sender.instance)) {
    row->leaving = row->leaving || heartbeat.leaving;
    RefreshStanding(tables.fleet, tables.fleet.by_instance[sender.instance],
                    now);
    return;
  }
  const auto peer = tables.entries.find(sender.instance);
  if (peer == tables.entries.end()) {
    AddSpeakingEntry(tables, sender, heartbeat, now);
  } else if (heartbeat.leaving && !peer->second.leaving) {
    peer->second.leaving = true;
    ++tables.entries_version;
  }
}

void OnGoodbye(EntryTables& tables, const PeerId& sender, Time now) {
  if (TargetRow* row = FindTarget(tables.fleet, sender.instance)) {
    row->leaving = true;
    RefreshStanding(tables.fleet, tables.fleet.by_instance[sender.instance],
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
  if (!row || IsComingUp(*row, now)) {
    return;
  }
  row->unreachable = true;
  RefreshStanding(tables.fleet, tables.fleet.by_instance[instance], now);
}

void ChooseSubset(EntryTables& tables, Time now) {
  size_t total = 0;
  for (TargetRow& row : tables.fleet.rows) {
    row.in_subset = false;
    total += row.used ? 1 : 0;
  }
  ChooseOfGroups(tables, tables.fleet.by_model, total, now);
  ChooseOfGroups(tables, tables.fleet.by_service, total, now);
  UpdateMembership(tables, now);
}

void FollowTemporarily(EntryTables& tables, TargetSlot slot, Time now) {
  tables.fleet.rows[slot].extra_until = now + kExtraTime;
  UpdateTarget(tables, slot, now);
}

void FollowOutsideSubset(EntryTables& tables,
                         const std::vector<TargetSlot>& candidates,
                         Time now) {
  uint32_t extras = 0;
  std::vector<TargetSlot> outside;
  for (const TargetSlot slot : candidates) {
    const TargetRow& row = tables.fleet.rows[slot];
    extras += row.extra_until > now && !row.in_subset ? 1 : 0;
    if (!row.connected && FitsSubset(row, now)) {
      outside.push_back(slot);
    }
  }
  for (uint32_t i = 0; i < kProbesAtOnce && extras < kMaxExtras; ++i) {
    if (outside.empty()) {
      return;
    }
    const uint64_t pick = tables.random.Below(outside.size());
    FollowTemporarily(tables, outside[pick], now);
    outside.erase(outside.begin() + static_cast<int64_t>(pick));
    ++extras;
  }
}

void UpdateMembership(EntryTables& tables, Time now) {
  for (TargetSlot slot = 0; slot < tables.fleet.rows.size(); ++slot) {
    const TargetRow& row = tables.fleet.rows[slot];
    if (!row.used) {
      continue;
    }
    if (MayForget(row, now)) {
      Forget(tables, slot);
    } else {
      UpdateTarget(tables, slot, now);
    }
  }
}

}  // namespace burdockhatch
