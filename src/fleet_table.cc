#include "src/fleet_table.h"

#include <algorithm>
#include <utility>

#include "src/affinity.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Placement penalty of a target in another data centre. The round trip is
// negligible within a data centre and takes 2 to 3 ms within a region. The path
// between regions may be interrupted, so other regions are a last resort.
constexpr double kSameRegionPenaltyUs = 3'000;
constexpr double kOtherRegionPenaltyUs = 1'200'000;

double DataCentrePenaltyUs(const EntryOptions& options,
                           const InstanceInfo& info) {
  if (info.data_centre == options.data_centre) {
    return 0;
  }
  return info.region == options.region ? kSameRegionPenaltyUs
                                       : kOtherRegionPenaltyUs;
}

template <class Id>
void RemoveFromGroup(std::map<Id, std::vector<TargetSlot>>& groups,
                     const Id& id,
                     TargetSlot slot) {
  const auto it = groups.find(id);
  if (it == groups.end()) {
    return;
  }
  std::erase(it->second, slot);
  if (it->second.empty()) {
    groups.erase(it);
  }
}

void RemoveFromGroups(FleetTable& fleet, TargetSlot slot) {
  const InstanceInfo& info = fleet.rows[slot].info;
  RemoveFromGroup(fleet.by_model, info.model, slot);
  RemoveFromGroup(fleet.by_service, info.service, slot);
}

void AddToGroups(FleetTable& fleet, TargetSlot slot) {
  const InstanceInfo& info = fleet.rows[slot].info;
  if (!info.model.empty()) {
    fleet.by_model[info.model].push_back(slot);
  }
  if (!info.service.empty()) {
    fleet.by_service[info.service].push_back(slot);
  }
}

TargetSlot AllocateSlot(FleetTable& fleet) {
  if (fleet.free_slots.empty()) {
    fleet.rows.emplace_back();
    fleet.hints.emplace_back();
    fleet.cached_targets.reserve(fleet.rows.capacity());
    return static_cast<TargetSlot>(fleet.rows.size() - 1);
  }
  const TargetSlot slot = fleet.free_slots.back();
  fleet.free_slots.pop_back();
  return slot;
}

// Assumed budget of targets that report none.
constexpr double kDefaultBudgetTokens = 1e6;

double BudgetTokens(const AgentState& state) {
  const int64_t budget = state.warm_budget.value();
  return budget > 0 ? static_cast<double>(budget) : kDefaultBudgetTokens;
}

void UpdateHint(TargetHint& hint, const AgentState& state) {
  hint.reported_tokens = (state.in_flight + state.queued).value();
  hint.warm_budget = state.warm_budget.value();
  hint.warming_up = state.warm_budget < state.full_budget;
  hint.load_per_token = 1 / BudgetTokens(state);
  hint.memory_total = state.memory_total.value();
  hint.memory_free = state.memory_free.value();
  hint.expected_wait_us = static_cast<double>(state.expected_wait.count());
  const int64_t rate = state.prefill_rate.value();
  hint.prefill_us_per_token = rate > 0 ? 1e6 / static_cast<double>(rate) : 0;
}

bool AcceptsNewWork(const TargetRow& row) {
  const AgentState& state = *row.state;
  return state.ready && !state.draining && !state.withdrawn;
}

bool IsSilent(const TargetRow& row, Time now) {
  return now - std::max(row.last_heard, row.connected_at) > kSuspicionTimeout;
}

TargetAvailability ComputeAvailability(const TargetRow& row, Time now) {
  if (row.withdrawn || row.leaving ||
      row.info.state == InstanceState::kLeaving) {
    return TargetAvailability::kUnusable;
  }
  if (row.connected && (row.unreachable || IsSilent(row, now))) {
    return TargetAvailability::kSuspect;
  }
  if (!row.connected || !row.state) {
    return TargetAvailability::kUnheard;
  }
  return AcceptsNewWork(row) ? TargetAvailability::kUsable
                             : TargetAvailability::kUnusable;
}

}  // namespace

TargetRow* FindTarget(FleetTable& fleet, const InstanceId& instance) {
  const auto it = fleet.by_instance.find(instance);
  return it == fleet.by_instance.end() ? nullptr : &fleet.rows[it->second];
}

TargetSlot AddOrUpdateTarget(EntryTables& tables, const InstanceInfo& info) {
  FleetTable& fleet = tables.fleet;
  const auto known = fleet.by_instance.find(info.instance);
  const bool is_new = known == fleet.by_instance.end();
  const TargetSlot slot = is_new ? AllocateSlot(fleet) : known->second;
  if (is_new) {
    fleet.rows[slot] = TargetRow{};
    fleet.hints[slot] = TargetHint{};
    fleet.by_instance[info.instance] = slot;
  } else {
    RemoveFromGroups(fleet, slot);
  }
  TargetRow& row = fleet.rows[slot];
  row.info = info;
  row.hash = StableHash(info.instance.value());
  row.used = true;
  fleet.hints[slot].data_centre_penalty_us =
      DataCentrePenaltyUs(tables.options, info);
  AddToGroups(fleet, slot);
  return slot;
}

void RemoveTarget(FleetTable& fleet, TargetSlot slot) {
  TargetRow& row = fleet.rows[slot];
  RemoveFromGroups(fleet, slot);
  if (row.state) {
    RemovePrefixes(fleet.affinity, slot, row.state->cached_prefixes);
  }
  fleet.by_instance.erase(row.info.instance);
  row = TargetRow{};
  fleet.hints[slot] = TargetHint{};
  fleet.free_slots.push_back(slot);
}

void ApplyAgentState(FleetTable& fleet,
                     TargetSlot slot,
                     Incarnation sender,
                     const AgentState& state) {
  TargetRow& row = fleet.rows[slot];
  if (sender != row.incarnation ||
      (row.state && state.sequence <= row.state->sequence)) {
    return;
  }
  if (!row.state || row.state->cached_prefixes != state.cached_prefixes) {
    if (row.state) {
      RemovePrefixes(fleet.affinity, slot, row.state->cached_prefixes);
    }
    AddPrefixes(fleet.affinity, slot, state.cached_prefixes);
  }
  row.state = state;
  UpdateHint(fleet.hints[slot], state);
}

void RefreshAvailability(FleetTable& fleet, TargetSlot slot, Time now) {
  fleet.hints[slot].availability = ComputeAvailability(fleet.rows[slot], now);
}

void RefreshAllAvailability(FleetTable& fleet, Time now) {
  for (TargetSlot slot = 0; slot < fleet.rows.size(); ++slot) {
    if (fleet.rows[slot].used) {
      RefreshAvailability(fleet, slot, now);
    }
  }
}

void ApplyWithdrawals(EntryTables& tables, Time now) {
  const FleetConfig& config = *tables.config;
  for (TargetSlot slot = 0; slot < tables.fleet.rows.size(); ++slot) {
    TargetRow& row = tables.fleet.rows[slot];
    if (!row.used) {
      continue;
    }
    row.withdrawn = IsWithdrawn(config, row.info.target, row.info.data_centre);
    RefreshAvailability(tables.fleet, slot, now);
  }
}

void AddOwnLoad(FleetTable& fleet, TargetSlot slot, int64_t tokens) {
  fleet.hints[slot].own_tokens += tokens;
  fleet.hints[slot].unanswered_tokens += tokens;
  ++fleet.rows[slot].attempts_and_holds;
}

void RemoveUnansweredLoad(FleetTable& fleet, TargetSlot slot, int64_t tokens) {
  fleet.hints[slot].unanswered_tokens -= tokens;
}

void RemoveOwnLoad(FleetTable& fleet,
                   TargetSlot slot,
                   int64_t tokens,
                   bool unanswered) {
  fleet.hints[slot].own_tokens -= tokens;
  if (unanswered) {
    fleet.hints[slot].unanswered_tokens -= tokens;
  }
  --fleet.rows[slot].attempts_and_holds;
}

int64_t EstimateLoadTokens(const TargetHint& hint) {
  return std::max(hint.reported_tokens + hint.unanswered_tokens,
                  hint.own_tokens);
}

}  // namespace burdockhatch
