// Admission control and scheduling at an agent: which offers are accepted and
// in which order accepted attempts are dispatched. Short attempts go first. The
// priority of longer attempts rises while they wait, so that no length class
// starves. Load is measured in tokens, or in calls for a plain service.
#ifndef SRC_ADMISSION_H_
#define SRC_ADMISSION_H_

#include <array>
#include <optional>
#include <vector>

#include "src/agent_tables.h"

namespace burdockhatch {

// Fraction of the warm-up budget that attempts of a class and of all longer
// classes may use together, indexed by LengthClass. The rest is reserved for
// shorter attempts.
inline constexpr std::array<double, kLengthClassCount> kClassBudgetFraction = {
    1.0, 0.75, 0.6, 0.5};

// Maximum time in the queue, by length class.
inline constexpr std::array<Duration, kLengthClassCount> kMaxQueueWait = {
    std::chrono::seconds(10), std::chrono::seconds(15),
    std::chrono::seconds(30), std::chrono::seconds(60)};

// The priority of a queued attempt rises by one length class per interval.
inline constexpr Duration kAgingInterval = std::chrono::seconds(2);

// Minimum delay before a repeat of an attempt that was refused because the
// target was overloaded or not ready, or that could not be started.
inline constexpr Duration kRefusalRetryAfter = std::chrono::seconds(1);

// Calls that wait for a claim may still be dispatched for this long after a
// withdrawal or the start of a drain. No new work may start after 3 s, so this
// is shorter.
inline constexpr Duration kClaimWaitGrace = std::chrono::seconds(2);

// Returns the load that the attempt of `offer` adds to the target. For the
// leader of a gang, the shares of the other members do not count.
Tokens OfferLoad(const AgentTables& tables, const Offer& offer);

// Returns the shortest time in which the target can serve `offer`; zero for a
// plain service. Only the prefill of blocks that are not cached counts, because
// output usually ends before its limit.
Duration MinServiceTime(const AgentTables& tables, const Offer& offer);

// Returns the reason why the target accepts no new work now, if any.
std::optional<Failure> CheckAvailability(const AgentTables& tables);

// Returns the reason why `offer` cannot be accepted, if any.
std::optional<Failure> CheckOffer(const AgentTables& tables,
                                  const Offer& offer);

// Returns the expected time until an attempt of the class that arrives now is
// dispatched.
Duration ExpectedQueueWait(const AgentTables& tables, LengthClass length);

// Returns the queued attempts in the order in which they are to be dispatched.
std::vector<AttemptId> DispatchOrder(const AgentTables& tables);

// Capacity kept free for a blocked attempt that has aged to the top priority.
struct ReservedCapacity {
  Tokens load;
  Tokens memory;
};

// Whether capacity is kept free for the attempt while it is blocked.
bool ReservesCapacity(const AgentTables& tables,
                      const AcceptedAttempt& attempt);

// Whether the attempt can be dispatched now without using `reserve`.
bool CanDispatch(const AgentTables& tables,
                 const AcceptedAttempt& attempt,
                 const ReservedCapacity& reserve);

// Adds completed load to the throughput measurement.
void RecordThroughput(AgentTables& tables, Tokens load);
// Updates the measured throughput when a measurement window is over.
void UpdateThroughputMeter(AgentTables& tables);

}  // namespace burdockhatch

#endif  // SRC_ADMISSION_H_
