#include "src/gang.h"

#include <algorithm>

#include "src/fleet_table.h"
#include "src/placement.h"
#include "src/request_admission.h"

namespace burdockhatch {

namespace {

constexpr Duration kHoldReplyTimeout = std::chrono::milliseconds(500);
constexpr Duration kHoldRenewalInterval = kHoldTtl / 3;

// Memory, in tokens, that a hold or a huge prompt may book at the target now:
// the reported free memory minus own unanswered offers and holds.
int64_t BookableHugePromptTokens(const TargetHint& hint) {
  const int64_t free = hint.memory_free - hint.unanswered_tokens;
  return std::min(MaxBookableMemory(hint.memory_total, LengthClass::kHuge),
                  free);
}

using SlotsByDataCentre = std::map<DataCentreId, std::vector<TargetSlot>>;

SlotsByDataCentre UsableByDataCentre(const FleetTable& fleet,
                                     const std::vector<TargetSlot>& slots) {
  SlotsByDataCentre groups;
  for (const TargetSlot slot : slots) {
    const TargetHint& hint = fleet.hints[slot];
    if (hint.availability == TargetAvailability::kUsable &&
        BookableHugePromptTokens(hint) > 0) {
      groups[fleet.rows[slot].info.data_centre].push_back(slot);
    }
  }
  return groups;
}

// Returns the smallest set of targets with `need` free tokens in total; empty
// if there is none within kMaxGangSize.
std::vector<TargetSlot> PickMembers(const FleetTable& fleet,
                                    std::vector<TargetSlot> slots,
                                    int64_t need) {
  std::sort(slots.begin(), slots.end(), [&](TargetSlot a, TargetSlot b) {
    const int64_t free_a = BookableHugePromptTokens(fleet.hints[a]);
    const int64_t free_b = BookableHugePromptTokens(fleet.hints[b]);
    return free_a != free_b ? free_a > free_b : a < b;
  });
  int64_t room = 0;
  for (size_t i = 0; i < slots.size() && i < kMaxGangSize; ++i) {
    room += BookableHugePromptTokens(fleet.hints[slots[i]]);
    if (room >= need) {
      slots.resize(i + 1);
      return slots;
    }
  }
  return {};
}

// Divides `need` evenly among the targets, as far as the free memory of each
// allows. `slots` are in descending order of free memory, so the targets with
// the least are filled first.
std::vector<std::pair<TargetSlot, int64_t>> DivideTokens(
    const FleetTable& fleet,
    const std::vector<TargetSlot>& slots,
    int64_t need) {
  std::vector<std::pair<TargetSlot, int64_t>> shares;
  int64_t members = static_cast<int64_t>(slots.size());
  for (auto it = slots.rbegin(); it != slots.rend(); ++it) {
    const int64_t even = (need + members - 1) / members;
    const int64_t share =
        std::min(BookableHugePromptTokens(fleet.hints[*it]), even);
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
  // The leader runs the whole prefill, so a target of the long pool is
  // preferred.
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

void SendHold(EntryTables& tables,
              const AttemptId& attempt,
              GangMemberRow& member,
              Time now) {
  member.hold_sent_at = now;
  tables.actions.push_back(SendMessage{
      member.agent, Hold{attempt, Tokens(member.tokens), kHoldTtl}});
}

// Whether the hold has expired or the member was restarted and so has lost the
// imported cache.
bool HoldIsLost(const FleetTable& fleet,
                const GangMemberRow& member,
                Time now) {
  if (fleet.rows[member.slot].incarnation != member.agent.incarnation) {
    return true;
  }
  return member.hold_confirmed && now - member.last_confirmed_at > kHoldTtl;
}

}  // namespace

bool NeedsGang(const FleetTable& fleet, const RequestSpec& spec) {
  const auto* slots = FindCandidates(fleet, spec);
  if (spec.kind != WorkKind::kCompletion || !slots) {
    return false;
  }
  const LengthClass length_class = ClassifyPromptLength(spec.prompt_tokens);
  bool any = false;
  for (const TargetSlot slot : *slots) {
    const TargetHint& hint = fleet.hints[slot];
    if (hint.availability != TargetAvailability::kUsable ||
        hint.memory_total <= 0) {
      continue;
    }
    any = true;
    if (TotalTokensOf(spec).value() <=
        MaxBookableMemory(hint.memory_total, length_class)) {
      return false;
    }
  }
  return any;
}

std::optional<Gang> PlanGang(const EntryTables& tables,
                             const RequestSpec& spec) {
  const FleetTable& fleet = tables.fleet;
  const auto* slots = FindCandidates(fleet, spec);
  if (!slots) {
    return std::nullopt;
  }
  const int64_t need = TotalTokensOf(spec).value();
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
  return MakeGang(fleet, DivideTokens(fleet, best, need));
}

GangProgress AcquireNextHold(EntryTables& tables, Gang& gang, Time now) {
  for (GangMemberRow& member : gang.members) {
    if (HoldIsLost(tables.fleet, member, now)) {
      return GangProgress::kFailed;
    }
    if (member.hold_confirmed) {
      continue;
    }
    if (member.hold_requested) {
      return now - member.hold_sent_at > kHoldReplyTimeout
                 ? GangProgress::kFailed
                 : GangProgress::kAcquiring;
    }
    member.hold_requested = true;
    AddOwnLoad(tables.fleet, member.slot, member.tokens);
    SendHold(tables, gang.attempt, member, now);
    return GangProgress::kAcquiring;
  }
  return GangProgress::kAcquired;
}

bool RecordHoldReply(EntryTables& tables,
                     Gang& gang,
                     const PeerId& sender,
                     const HoldReply& reply,
                     Time now) {
  for (GangMemberRow& member : gang.members) {
    if (member.agent != sender || !member.hold_requested) {
      continue;
    }
    if (reply.verdict == Verdict::kRefused) {
      return false;
    }
    if (!member.hold_confirmed) {
      RemoveUnansweredLoad(tables.fleet, member.slot, member.tokens);
    }
    member.hold_confirmed = true;
    member.last_confirmed_at = now;
  }
  return true;
}

GangProgress RenewHolds(EntryTables& tables, Gang& gang, Time now) {
  for (GangMemberRow& member : gang.members) {
    if (HoldIsLost(tables.fleet, member, now)) {
      return GangProgress::kFailed;
    }
    if (now - member.hold_sent_at >= kHoldRenewalInterval) {
      SendHold(tables, gang.attempt, member, now);
    }
  }
  return GangProgress::kAcquired;
}

void ReleaseGang(EntryTables& tables, const Gang& gang) {
  for (const GangMemberRow& member : gang.members) {
    if (!member.hold_requested) {
      continue;
    }
    RemoveOwnLoad(tables.fleet, member.slot, member.tokens,
                  !member.hold_confirmed);
    tables.actions.push_back(
        SendMessage{member.agent, HoldRelease{gang.attempt}});
  }
}

}  // namespace burdockhatch
