// Choice of a target for an attempt, by expected wait, cached prefix, warm-up
// budget and data centre. Hints may be stale: a choice is only an offer.
#ifndef SRC_PLACEMENT_H_
#define SRC_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

struct PlacementQuery {
  const std::vector<TargetSlot>* candidates = nullptr;
  Tokens prompt;
  Tokens max_total_tokens;  // Prompt and output at most.
  const std::vector<uint64_t>* prefix_hashes = nullptr;
  uint64_t random_bits = 0;  // Random; spreads the choices of entries that see
                             // the same reports.
};

struct PlacementChoice {
  std::optional<TargetSlot> slot;
  // Every usable target is above its warm-up budget with this request.
  bool all_at_capacity = false;
};

// Targets that are passed to Exclude between BeginDecision and ChooseTarget are
// not chosen. None of these allocates.
void BeginDecision(FleetTable& fleet);
void ExcludeTarget(FleetTable& fleet, TargetSlot slot);
PlacementChoice ChooseTarget(FleetTable& fleet, const PlacementQuery& query);

// The agent that ranks first for `key` among the live agents of a service,
// whether or not this entry is connected to it, so that all entries agree.
std::optional<TargetSlot> ChooseAgentForKey(
    const FleetTable& fleet,
    const std::vector<TargetSlot>& candidates,
    const IdempotencyKey& key);

// Largest part of a target's memory that one prompt of this length may book.
int64_t MaxBookableMemory(int64_t memory_total, LengthClass length_class);

// The targets of the request's model or service; null when there are none.
const std::vector<TargetSlot>* FindCandidates(const FleetTable& fleet,
                                              const RequestSpec& spec);

}  // namespace burdockhatch

#endif  // SRC_PLACEMENT_H_
