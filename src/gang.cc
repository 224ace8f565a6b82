#include "src/gang.h"

#include <algorithm>

#include "src/fleet_table.h"
#include "src/placement.h"
#include "src/request_admission.h"

namespace burdockhatch {

namespace {

constexpr Duration kHoldPatience = std::chrono::milliseconds(500);
constexpr Duration kHoldRenewal = kHoldTtl / 3;

int64_t FreeShare(const TargetHint& hint) {
  const int64_t free = hint.memory_free - hint.unanswered_tokens;
  return std::min(MemoryShare(hint.memory_total, LengthClass::kHuge), free);
}

using SlotsByDataCentre = std::map<DataCentreId, std::vector<TargetSlot>>;

SlotsByDataCentre UsableByDataCentre(const FleetTable& fleet,
                                     const std::vector<TargetSlot>& slots) {
  SlotsByDataCentre groups;
  for (const TargetSlot slot : slots) {
    const TargetHint& hint = fleet.hints[slot];
    if (hint.standing == Standing::kUsable && FreeShare(hint) > 0) {
      groups[fleet.rows[slot].info.data_centre].push_back(slot);
    }
  }
  return groups;
}

// The fewest targets that have room for `need`; empty when there are none.
std::vector<TargetSlot> PickMembers(const FleetTable& fleet,
                                    std::vector<TargetSlot> slots,
                                    int64_t need) {
  std::sort(slots.begin(), slots.end(), [&](TargetSlot a, TargetSlot b) {
    const int64_t free_a = FreeShare(fleet.hints[a]);
    const int64_t free_b = FreeShare(fleet.hints[b]);
    return free_a != free_b ? free_a > free_b : a < b;
  });
  int64_t room = 0;
  for (size_t i = 0; i < slots.size() && i < kMaxGangSize; ++i) {
    room += FreeShare(fleet.hints[slots[i]]);
    if (room >= need) {
      slots.resize(i + 1);
      return slots;
    }
  }
  return {};
}

// Shares `need` evenly, as far as the room of each allows. `slots` are in
// descending order of room, so the smallest are filled first.
std::vector<std::pair<TargetSlot, int64_t>> ShareOut(
    const FleetTable& fleet,
    const std::vector<TargetSlot>& slots,
    int64_t need) {
  std::vector<std::pair<TargetSlot, int64_t>> shares;
  int64_t members = static_cast<int64_t>(slots.size());
  for (auto it = slots.rbegin(); it != slots.rend(); ++it) {
    const int64_t even = (need + members - 1) / members;
    const int64_t share = std::min(FreeShare(fleet.hints[*it]), even);
    shares.emplace_back(*it, share);
    need -= share;
    --members;
  }
  return shares;
}

Gang MakeGang(const FleetTable& fleet,
              std::vector<std::pair<TargetSlot, int64_t>> shares) {
  std::sort(shares.begin(), shares.end(), [&](const auto& a, const auto& b) {
    return fleet.rows[a.first].info.target < fleet.rows[b.first].info.target;
  });
  // The leader runs the whole prefill, so it is one of the long pool if
  // possible.
  const auto in_long_pool = [&](const auto& it) {
    return fleet.hints[it.first].pool == LengthPool::kLong;
  };
  const auto chosen = std::find_if(shares.begin(), shares.end(), in_long_pool);
  const auto leader = chosen == shares.end() ? shares.begin() : chosen;
  Gang gang;
  gang.leader = leader->first;
  gang.leader_tokens = leader->second;
  for (size_t i = 0; i < shares.size(); ++i) {
    if (shares[i].first == gang.leader) {
      continue;
    }
    const TargetRow& row = fleet.rows[shares[i].first];
    GangMemberRow member;
    member.slot = shares[i].first;
    member.agent = {row.info.instance, row.incarnation};
    member.tokens = shares[i].second;
    gang.members.push_back(member);
  }
  return gang;
}

void AskHold(EntryTables& tables,
             const AttemptId& attempt,
             GangMemberRow& member,
             Time now) {
  member.asked_at = now;
  tables.actions.push_back(SendToAgent{
      member.agent, Hold{attempt, Tokens(member.tokens), kHoldTtl}});
}

// A member that was restarted has lost the imported cache.
bool LostMember(const FleetTable& fleet,
                const GangMemberRow& member,
                Time now) {
  if (fleet.rows[member.slot].incarnation != member.agent.incarnation) {
    return true;
  }
  return member.held && now - member.confirmed_at > kHoldTtl;
}

}  // namespace

bool NeedsGang(const FleetTable& fleet, const RequestSpec& spec) {
  const auto* slots = CandidatesOf(fleet, spec);
  if (spec.kind != WorkKind::kCompletion || !slots) {
    return false;
  }
  const LengthClass length_class = LengthClassOf(spec.prompt_tokens);
  bool any = false;
  for (const TargetSlot slot : *slots) {
    const TargetHint& hint = fleet.hints[slot];
    if (hint.standing != Standing::kUsable || hint.memory_total <= 0) {
      continue;
    }
    any = true;
    if (CostOf(spec).value() <= MemoryShare(hint.memory_total, length_class)) {
      return false;
    }
  }
  return any;
}

std::optional<Gang> PlanGang(const EntryTables& tables,
                             const RequestSpec& spec) {
  const FleetTable& fleet = tables.fleet;
  const auto* slots = CandidatesOf(fleet, spec);
  if (!slots) {
    return std::nullopt;
  }
  const int64_t need = CostOf(spec).value();
  std::vector<TargetSlot> best;
  for (auto& [data_centre, usable] : UsableByDataCentre(fleet, *slots)) {
    std::vector<TargetSlot> members = PickMembers(fleet, usable, need);
    const bool own = data_centre == tables.options.data_centre;
    if (!members.empty() &&
        (best.empty() || own || members.size() < best.size())) {
      best = std::move(members);
    }
    if (own && !best.empty()) {
      break;
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  return MakeGang(fleet, ShareOut(fleet, best, need));
}

GangProgress AdvanceGang(EntryTables& tables, Gang& gang, Time now) {
  for (GangMemberRow& member : gang.members) {
    if (LostMember(tables.fleet, member, now)) {
      return GangProgress::kLost;
    }
    if (member.held) {
      continue;
    }
    if (member.asked) {
      return now - member.asked_at > kHoldPatience ? GangProgress::kLost
                                                   : GangProgress::kHolding;
    }
    member.asked = true;
    AddOwnLoad(tables.fleet, member.slot, member.tokens);
    AskHold(tables, gang.attempt, member, now);
    return GangProgress::kHolding;
  }
  return GangProgress::kHeld;
}

bool NoteHoldReply(EntryTables& tables,
                   Gang& gang,
                   const PeerId& sender,
                   const HoldReply& reply,
                   Time now) {
  for (GangMemberRow& member : gang.members) {
    if (member.agent != sender || !member.asked) {
      continue;
    }
    if (reply.verdict == Verdict::kRefused) {
      return false;
    }
    if (!member.held) {
      MarkOfferAnswered(tables.fleet, member.slot, member.tokens);
    }
    member.held = true;
    member.confirmed_at = now;
  }
  return true;
}

GangProgress RenewHolds(EntryTables& tables, Gang& gang, Time now) {
  for (GangMemberRow& member : gang.members) {
    if (LostMember(tables.fleet, member, now)) {
      return GangProgress::kLost;
    }
    if (now - member.asked_at >= kHoldRenewal) {
      AskHold(tables, gang.attempt, member, now);
    }
  }
  return GangProgress::kHeld;
}

void ReleaseGang(EntryTables& tables, const Gang& gang) {
  for (const GangMemberRow& member : gang.members) {
    if (!member.asked) {
      continue;
    }
    RemoveOwnLoad(tables.fleet, member.slot, member.tokens, !member.held);
    tables.actions.push_back(
        SendToAgent{member.agent, HoldRelease{gang.attempt}});
  }
}

}  // namespace burdockhatch
