// The attempts that an agent has accepted and the records of those that are
// over. A record outlives the deadline of its attempt, so that a duplicate of
// the offer is never dispatched.
#ifndef SRC_ATTEMPTS_H_
#define SRC_ATTEMPTS_H_

#include "src/agent_tables.h"

namespace burdockhatch {

// How much later than its deadline a duplicate of an offer may arrive. Covers
// the clocks' drift and the queues of the bus. The time in which this process
// was paused does not count.
inline constexpr Duration kTombstoneMargin = std::chrono::seconds(30);

// A gap between events that counts as a pause of this process.
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

// Messages handled this soon after a pause may have arrived before it.
inline constexpr Duration kPostPauseWindow = std::chrono::milliseconds(200);

// Deadlines further away are cut to this.
inline constexpr Duration kMaxTimeLeft = std::chrono::hours(1);

// Bytes of answers of plain services that are kept for retries.
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

// Sets the time of the tables. After a pause, extends the records of closed
// attempts: messages waited as long as the process did.
void AdvanceTime(AgentTables& tables, Time now);

// Time that an offer has left, bounded, less a pause that it may have waited
// through.
Duration TimeLeft(const AgentTables& tables, const Offer& offer);

AcceptedAttempt* FindAttempt(AgentTables& tables, const AttemptId& id);

// Replies to an offer or attempt that the tables already know. Returns false
// when they do not.
bool ReplyToDuplicateOffer(AgentTables& tables,
                           const PeerId& from,
                           const Offer& offer);

// Tells an entry that its attempt is accepted and not over.
void SendAcceptance(AgentTables& tables, const PeerId& to, const AttemptId& id);

// Refuses an offer for good; with outcome kNotRun, the record is its tombstone.
void RefuseOffer(AgentTables& tables,
                 const PeerId& from,
                 const Offer& offer,
                 const Failure& failure);

// Keeps a cancelled attempt that is not known, in case its offer is still on
// its way. Its outcome is unknown: a predecessor may have run it.
void RecordUnknownCancel(AgentTables& tables,
                         const PeerId& from,
                         const AttemptId& id);

// Enters an attempt into the table and replies to its offer.
AcceptedAttempt& AcceptOffer(AgentTables& tables,
                             const PeerId& from,
                             Offer offer);

// Sends the Finish and keeps a record. The attempt is not valid any more.
void CloseAttempt(AgentTables& tables, const AttemptId& id, Ending ending);

// Ends an attempt of a plain service. An ending without a failure comes with
// the answer as chunk 0.
void CloseServiceAttempt(AgentTables& tables,
                         const AttemptId& id,
                         Ending ending);

// Sends the Finish of a closed attempt again.
void ResendFinish(AgentTables& tables,
                  const AttemptId& id,
                  const ClosedAttempt& closed);

// Sends the whole answer of a call as chunk 0.
void SendAnswer(AgentTables& tables,
                const PeerId& to,
                const AttemptId& attempt,
                uint64_t answer);

// Keeps an answer; the oldest ones make room. Returns its number.
uint64_t StoreAnswer(AnswerStore& store, ServiceAnswer answer);
const ServiceAnswer* FindAnswer(const AnswerStore& store, uint64_t number);

void EraseExpiredRecords(AgentTables& tables);

}  // namespace burdockhatch

#endif  // SRC_ATTEMPTS_H_
