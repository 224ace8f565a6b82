// Manages the attempts that an agent has accepted and the records of closed
// attempts. A record is kept beyond the deadline of its attempt, so that a
// duplicate of the offer is never dispatched.
#ifndef SRC_ATTEMPTS_H_
#define SRC_ATTEMPTS_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// Time for which tombstones are kept: the record of a closed attempt after the
// deadline of its offer, because a duplicate may still arrive, and that of a
// released hold after the release, because a delayed Hold may. Covers clock
// drift and the queues of the bus. For closed attempts, pauses of this process
// are added.
inline constexpr Duration kTombstoneMargin = std::chrono::seconds(30);

// A gap between events longer than this is treated as a pause of this process.
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

// Messages handled within this time after a pause may have been received before
// or during it.
inline constexpr Duration kPostPauseWindow = std::chrono::milliseconds(200);

// Upper bound of the time to an attempt's deadline.
inline constexpr Duration kMaxTimeLeft = std::chrono::hours(1);

// Total size of the plain services' answers that are kept for retries.
inline constexpr size_t kMaxStoredAnswerBytes = 8 << 20;

constexpr Failure NotRunFailure(ErrorCode code,
                                Duration retry_after = Duration(0)) {
  return {code, Outcome::kNotRun, retry_after};
}

constexpr Failure UnknownOutcomeFailure(ErrorCode code) {
  return {code, Outcome::kUnknown, Duration(0)};
}

inline bool IsDispatched(const AcceptedAttempt& attempt) {
  return attempt.phase == AttemptPhase::kStarting ||
         attempt.phase == AttemptPhase::kRunning;
}

// Sets the current time. After a pause of the process, extends the records of
// closed attempts by its length, because messages may have been delayed by as
// much.
void AdvanceTime(AgentTables& tables, Time now);

// Time until the deadline of an offer, at most kMaxTimeLeft. Shortly after a
// pause of this process, the length of the pause is subtracted, because the
// offer may have waited during it.
Duration TimeLeft(const AgentTables& tables, const Offer& offer);

AcceptedAttempt* FindAttempt(AgentTables& tables, const AttemptId& id);

// Replies to an offer whose attempt is already accepted or closed. Returns
// false for an unknown attempt.
bool ReplyToDuplicateOffer(AgentTables& tables,
                           const PeerId& from,
                           const Offer& offer);

// Tells an entry that its attempt is accepted and has not ended.
void SendAcceptance(AgentTables& tables, const PeerId& to, const AttemptId& id);

// Refuses an offer permanently. The record of the failure keeps later
// duplicates of the offer from being dispatched.
void RefuseOffer(AgentTables& tables,
                 const PeerId& from,
                 const Offer& offer,
                 const Failure& failure);

// Records the cancellation of an unknown attempt, whose offer may still be in
// transit. The outcome is unknown, because an earlier incarnation of the agent
// may have run the attempt.
void RecordUnknownCancel(AgentTables& tables,
                         const PeerId& from,
                         const AttemptId& id);

// Adds the attempt to the tables and replies to its offer.
AcceptedAttempt& AcceptOffer(AgentTables& tables,
                             const PeerId& from,
                             Offer offer);

// Sends Finish and replaces the attempt by a record. References to the attempt
// are invalid afterwards.
void CloseAttempt(AgentTables& tables,
                  const AttemptId& id,
                  AttemptResult result);

// Closes an attempt of a plain service. If it did not fail, first sends the
// answer as chunk 0.
void CloseServiceAttempt(AgentTables& tables,
                         const AttemptId& id,
                         AttemptResult result);

// Sends the Finish of a closed attempt, possibly again.
void SendFinish(AgentTables& tables,
                const AttemptId& id,
                const ClosedAttempt& closed_attempt);

// Sends the stored answer of a service call as chunk 0.
void SendAnswer(AgentTables& tables,
                const PeerId& to,
                const AttemptId& attempt,
                uint64_t answer);

// Stores an answer and returns its number. Evicts the oldest answers beyond
// kMaxStoredAnswerBytes.
uint64_t StoreAnswer(AnswerStore& store, ServiceResponse answer);
const ServiceResponse* FindAnswer(const AnswerStore& store, uint64_t number);

// Erases expired records of closed attempts and of released holds.
void EraseExpiredRecords(AgentTables& tables);

}  // namespace burdockhatch

#endif  // SRC_ATTEMPTS_H_
