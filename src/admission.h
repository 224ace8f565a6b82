// Which offers are accepted and in which order accepted work is dispatched.
// Short work goes first; longer work ages towards it so that no class starves.
// All load is measured in tokens (calls, for a plain service).
#ifndef SRC_ADMISSION_H_
#define SRC_ADMISSION_H_

#include <array>
#include <optional>
#include <vector>

#include "src/agent_tables.h"

namespace burdockhatch {

// Part of the warm-up budget that the work of a class and of all longer classes
// may use together. What is left over is always there for shorter work.
inline constexpr std::array<double, kLengthClassCount> kClassShare = {1.0, 0.75,
                                                                      0.6, 0.5};

// Longest time in the queue, by class.
inline constexpr std::array<Duration, kLengthClassCount> kMaxQueueWait = {
    std::chrono::seconds(10), std::chrono::seconds(15),
    std::chrono::seconds(30), std::chrono::seconds(60)};

// Queued work rises by one class each time it has waited this long.
inline constexpr Duration kAgingInterval = std::chrono::seconds(2);

// When refused offers may be made again.
inline constexpr Duration kRefusalRetryAfter = std::chrono::seconds(1);

// How long calls that wait for a claim may still be dispatched after a
// withdrawal or the start of a drain; below the bound of 3 s for new work.
inline constexpr Duration kClaimWaitGrace = std::chrono::seconds(2);

// Tokens that the attempt of `offer` adds to the work in flight.
Tokens OfferLoad(const AgentTables& tables, const Offer& offer);

// Shortest time in which the target can serve `offer`. Output usually ends
// before its limit, so only the prefill counts.
Duration MinServiceTime(const AgentTables& tables, const Offer& offer);

// Why the target takes no new work now.
std::optional<Failure> CheckAvailability(const AgentTables& tables);

// Why `offer` cannot be accepted.
std::optional<Failure> CheckOffer(const AgentTables& tables,
                                  const Offer& offer);

// Expected time until work of the class that arrives now is dispatched.
Duration ExpectedQueueWait(const AgentTables& tables, LengthClass length);

// Queued attempts, first to be dispatched first.
std::vector<AttemptId> DispatchOrder(const AgentTables& tables);

// Room that a blocked, aged attempt keeps free for itself.
struct ReservedCapacity {
  Tokens load;
  Tokens memory;
};

bool ReservesCapacity(const AgentTables& tables,
                      const AcceptedAttempt& attempt);

// Whether the attempt can be dispatched now without touching `reserve`.
bool CanDispatch(const AgentTables& tables,
                 const AcceptedAttempt& attempt,
                 const ReservedCapacity& reserve);

// Counts completed work towards the measured throughput.
void RecordCompletedLoad(AgentTables& tables, Tokens load);
void UpdateDrainMeter(AgentTables& tables);

}  // namespace burdockhatch

#endif  // SRC_ADMISSION_H_
