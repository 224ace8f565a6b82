// Chooses the target of an attempt by expected wait, cached prefix, warm-up
// budget and data centre. The load hints may be stale, so the chosen target can
// still reject the offer.
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
  Tokens max_total_tokens;  // Prompt plus the maximum output.
  const std::vector<uint64_t>* prefix_hashes = nullptr;
  // Spreads the choices of entries that see the same load reports.
  uint64_t random_bits = 0;
};

struct PlacementChoice {
  std::optional<TargetSlot> slot;
  // The request exceeds the warm-up budget or the free memory of every usable
  // target.
  bool all_at_capacity = false;
};

// Starts a new decision. ChooseTarget does not choose targets that have been
// passed to ExcludeTarget since. None of these functions allocates memory.
void BeginDecision(FleetTable& fleet);
void ExcludeTarget(FleetTable& fleet, TargetSlot slot);
PlacementChoice ChooseTarget(FleetTable& fleet, const PlacementQuery& query);

// Returns the live target, not excluded, with the highest rendezvous score for
// `key`, whether or not this entry is connected to its agent, so that all
// entries agree.
std::optional<TargetSlot> ChooseAgentForKey(
    const FleetTable& fleet,
    const std::vector<TargetSlot>& candidates,
    const IdempotencyKey& key);

// Returns the most memory of a target that one prompt of this class may book.
int64_t MaxBookableMemory(int64_t memory_total, LengthClass length_class);

// Returns the targets of the request's model or service, or null if there are
// none.
const std::vector<TargetSlot>* FindCandidates(const FleetTable& fleet,
                                              const RequestSpec& spec);

}  // namespace burdockhatch

#endif  // SRC_PLACEMENT_H_
