#include "src/attempts.h"

#include <algorithm>
#include <utility>

#include "src/agent_report.h"

namespace burdockhatch {

namespace {

void ReplyToOffer(AgentTables& tables,
                  const PeerId& to,
                  const AttemptId& attempt,
                  Verdict verdict,
                  const Failure& failure) {
  SendToEntry(tables, to,
              OfferReply{attempt, verdict, failure, BuildAgentState(tables)});
}

// Failure sent in reply to a duplicate of a closed attempt's offer.
Failure DuplicateOfferFailure(const ClosedAttempt& closed_attempt) {
  if (closed_attempt.result.failure.code == ErrorCode::kNone) {
    return {ErrorCode::kAlreadyRan, Outcome::kRan, Duration(0)};
  }
  return closed_attempt.result.failure;
}

Time RecordExpiry(const AgentTables& tables, const Offer& offer) {
  const Duration left = std::clamp(offer.time_left, Duration(0), kMaxTimeLeft);
  return tables.now + left + kTombstoneMargin;
}

ClosedAttempt& AddClosedRecord(AgentTables& tables,
                               const AttemptId& id,
                               const PeerId& entry,
                               Time deadline) {
  ClosedAttempt& closed_attempt = tables.closed_attempts[id];
  closed_attempt.entry = entry;
  closed_attempt.ended_at = tables.now;
  closed_attempt.expires_at = std::max(deadline, tables.now) + kTombstoneMargin;
  return closed_attempt;
}

}  // namespace

void AdvanceTime(AgentTables& tables, Time now) {
  const Duration gap = now - tables.now;
  if (tables.clock_started && gap > kPauseThreshold) {
    for (auto& [id, closed_attempt] : tables.closed_attempts) {
      closed_attempt.expires_at += gap;
    }
    tables.last_pause = gap;
    tables.last_pause_ended_at = now;
  }
  tables.clock_started = true;
  tables.now = std::max(tables.now, now);
}

Duration TimeLeft(const AgentTables& tables, const Offer& offer) {
  const Duration bounded = std::min(offer.time_left, kMaxTimeLeft);
  if (tables.now < tables.last_pause_ended_at + kPostPauseWindow) {
    return bounded - tables.last_pause;
  }
  return bounded;
}

AcceptedAttempt* FindAttempt(AgentTables& tables, const AttemptId& id) {
  auto it = tables.attempts.find(id);
  return it == tables.attempts.end() ? nullptr : &it->second;
}

bool ReplyToDuplicateOffer(AgentTables& tables,
                           const PeerId& from,
                           const Offer& offer) {
  if (FindAttempt(tables, offer.attempt)) {
    ++tables.counters.duplicate_offers;
    SendAcceptance(tables, from, offer.attempt);
    return true;
  }
  auto it = tables.closed_attempts.find(offer.attempt);
  if (it == tables.closed_attempts.end()) {
    return false;
  }
  ++tables.counters.duplicate_offers;
  ClosedAttempt& closed_attempt = it->second;
  closed_attempt.expires_at =
      std::max(closed_attempt.expires_at, RecordExpiry(tables, offer));
  ReplyToOffer(tables, from, offer.attempt, Verdict::kRefused,
               DuplicateOfferFailure(closed_attempt));
  return true;
}

void SendAcceptance(AgentTables& tables,
                    const PeerId& to,
                    const AttemptId& id) {
  ReplyToOffer(tables, to, id, Verdict::kAccepted, {});
}

void RefuseOffer(AgentTables& tables,
                 const PeerId& from,
                 const Offer& offer,
                 const Failure& failure) {
  ++tables.counters.refused;
  ClosedAttempt& closed_attempt =
      AddClosedRecord(tables, offer.attempt, from, tables.now);
  closed_attempt.expires_at = RecordExpiry(tables, offer);
  closed_attempt.result.failure = failure;
  ReplyToOffer(tables, from, offer.attempt, Verdict::kRefused, failure);
}

void RecordUnknownCancel(AgentTables& tables,
                         const PeerId& from,
                         const AttemptId& id) {
  ClosedAttempt& closed_attempt = AddClosedRecord(tables, id, from, tables.now);
  closed_attempt.result.failure =
      UnknownOutcomeFailure(ErrorCode::kDeadlineExceeded);
}

AcceptedAttempt& AcceptOffer(AgentTables& tables,
                             const PeerId& from,
                             Offer offer) {
  ++tables.counters.accepted;
  const AttemptId id = offer.attempt;
  AcceptedAttempt& attempt = tables.attempts[id];
  attempt.id = id;
  attempt.entry = from;
  attempt.accepted_at = tables.now;
  attempt.deadline = tables.now + TimeLeft(tables, offer);
  attempt.length = ClassifyPromptLength(offer.prompt_tokens);
  attempt.next_chunk = offer.first_chunk;
  attempt.offer = std::move(offer);
  ReplyToOffer(tables, from, id, Verdict::kAccepted, {});
  return attempt;
}

void CloseAttempt(AgentTables& tables,
                  const AttemptId& id,
                  AttemptResult result) {
  auto it = tables.attempts.find(id);
  if (it == tables.attempts.end()) {
    return;
  }
  const AcceptedAttempt attempt = std::move(it->second);
  tables.attempts.erase(it);
  ClosedAttempt& closed_attempt =
      AddClosedRecord(tables, attempt.id, attempt.entry, attempt.deadline);
  closed_attempt.result = std::move(result);
  SendFinish(tables, attempt.id, closed_attempt);
}

void CloseServiceAttempt(AgentTables& tables,
                         const AttemptId& id,
                         AttemptResult result) {
  const AcceptedAttempt* attempt = FindAttempt(tables, id);
  if (!attempt) {
    return;
  }
  if (result.failure.code == ErrorCode::kNone) {
    SendAnswer(tables, attempt->entry, id, result.answer);
  }
  CloseAttempt(tables, id, std::move(result));
}

void SendFinish(AgentTables& tables,
                const AttemptId& id,
                const ClosedAttempt& closed_attempt) {
  Finish finish;
  finish.attempt = id;
  finish.chunk_count = closed_attempt.result.chunk_count;
  finish.failure = closed_attempt.result.failure;
  finish.http_status = closed_attempt.result.http_status;
  finish.content_type = closed_attempt.result.content_type;
  finish.state = BuildAgentState(tables);
  finish.failed_at_start = closed_attempt.result.failed_at_start;
  SendToEntry(tables, closed_attempt.entry, std::move(finish));
}

void SendAnswer(AgentTables& tables,
                const PeerId& to,
                const AttemptId& attempt,
                uint64_t answer) {
  if (const ServiceResponse* found = FindAnswer(tables.answers, answer)) {
    SendToEntry(tables, to, Chunk{attempt, 0, 0, found->body});
  }
}

uint64_t StoreAnswer(AnswerStore& store, ServiceResponse answer) {
  const uint64_t number = store.next++;
  store.bytes += answer.body.size();
  store.answers.emplace(number, std::move(answer));
  // The newest answer has not been sent yet, so it is kept even if it exceeds
  // the limit.
  while (store.bytes > kMaxStoredAnswerBytes && store.answers.size() > 1) {
    store.bytes -= store.answers.begin()->second.body.size();
    store.answers.erase(store.answers.begin());
  }
  return number;
}

const ServiceResponse* FindAnswer(const AnswerStore& store, uint64_t number) {
  auto it = store.answers.find(number);
  return it == store.answers.end() ? nullptr : &it->second;
}

void EraseExpiredRecords(AgentTables& tables) {
  std::erase_if(tables.closed_attempts, [&](const auto& row) {
    return row.second.expires_at <= tables.now;
  });
  std::erase_if(tables.released_holds,
                [&](const auto& row) { return row.second <= tables.now; });
}

}  // namespace burdockhatch
