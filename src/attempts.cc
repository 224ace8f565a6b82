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
  SendTo(tables, to, OfferReply{attempt, verdict, failure, MakeState(tables)});
}

// Failure sent in reply to a duplicate of a closed attempt's offer.
Failure DuplicateOfferFailure(const ClosedAttempt& closed) {
  if (closed.ending.failure.code == ErrorCode::kNone) {
    return {ErrorCode::kAlreadyRan, Outcome::kRan, Duration(0)};
  }
  return closed.ending.failure;
}

Time RecordExpiry(const AgentTables& tables, const Offer& offer) {
  const Duration left = std::clamp(offer.time_left, Duration(0), kMaxTimeLeft);
  return tables.now + left + kTombstoneMargin;
}

ClosedAttempt& AddClosedRecord(AgentTables& tables,
                               const AttemptId& id,
                               const PeerId& entry,
                               Time deadline) {
  ClosedAttempt& closed = tables.closed[id];
  closed.entry = entry;
  closed.ended_at = tables.now;
  closed.expires = std::max(deadline, tables.now) + kTombstoneMargin;
  return closed;
}

}  // namespace

void AdvanceTime(AgentTables& tables, Time now) {
  const Duration gap = now - tables.now;
  if (tables.clock_started && gap > kPauseThreshold) {
    for (auto& [id, closed] : tables.closed) {
      closed.expires += gap;
    }
    tables.pause = gap;
    tables.pause_ended = now;
  }
  tables.clock_started = true;
  tables.now = std::max(tables.now, now);
}

Duration TimeLeft(const AgentTables& tables, const Offer& offer) {
  const Duration bounded = std::min(offer.time_left, kMaxTimeLeft);
  if (tables.now < tables.pause_ended + kPostPauseWindow) {
    return bounded - tables.pause;
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
  auto it = tables.closed.find(offer.attempt);
  if (it == tables.closed.end()) {
    return false;
  }
  ++tables.counters.duplicate_offers;
  ClosedAttempt& closed = it->second;
  closed.expires = std::max(closed.expires, RecordExpiry(tables, offer));
  ReplyToOffer(tables, from, offer.attempt, Verdict::kRefused,
               DuplicateOfferFailure(closed));
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
  ClosedAttempt& closed =
      AddClosedRecord(tables, offer.attempt, from, tables.now);
  closed.expires = RecordExpiry(tables, offer);
  closed.ending.failure = failure;
  ReplyToOffer(tables, from, offer.attempt, Verdict::kRefused, failure);
}

void RecordUnknownCancel(AgentTables& tables,
                         const PeerId& from,
                         const AttemptId& id) {
  ClosedAttempt& closed = AddClosedRecord(tables, id, from, tables.now);
  closed.ending.failure = UnknownOutcomeFailure(ErrorCode::kDeadlineExceeded);
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
  attempt.length = LengthClassOf(offer.prompt_tokens);
  attempt.next_chunk = offer.first_chunk;
  attempt.offer = std::move(offer);
  ReplyToOffer(tables, from, id, Verdict::kAccepted, {});
  return attempt;
}

void CloseAttempt(AgentTables& tables, const AttemptId& id, Ending ending) {
  auto it = tables.attempts.find(id);
  if (it == tables.attempts.end()) {
    return;
  }
  const AcceptedAttempt attempt = std::move(it->second);
  tables.attempts.erase(it);
  ClosedAttempt& closed =
      AddClosedRecord(tables, attempt.id, attempt.entry, attempt.deadline);
  closed.ending = std::move(ending);
  ResendFinish(tables, attempt.id, closed);
}

void CloseServiceAttempt(AgentTables& tables,
                         const AttemptId& id,
                         Ending ending) {
  const AcceptedAttempt* attempt = FindAttempt(tables, id);
  if (!attempt) {
    return;
  }
  if (ending.failure.code == ErrorCode::kNone) {
    SendAnswer(tables, attempt->entry, id, ending.answer);
  }
  CloseAttempt(tables, id, std::move(ending));
}

void ResendFinish(AgentTables& tables,
                  const AttemptId& id,
                  const ClosedAttempt& closed) {
  Finish finish;
  finish.attempt = id;
  finish.chunk_count = closed.ending.chunk_count;
  finish.failure = closed.ending.failure;
  finish.http_status = closed.ending.http_status;
  finish.content_type = closed.ending.content_type;
  finish.state = MakeState(tables);
  SendTo(tables, closed.entry, std::move(finish));
}

void SendAnswer(AgentTables& tables,
                const PeerId& to,
                const AttemptId& attempt,
                uint64_t answer) {
  if (const ServiceAnswer* found = FindAnswer(tables.answers, answer)) {
    SendTo(tables, to, Chunk{attempt, 0, 0, found->body});
  }
}

uint64_t StoreAnswer(AnswerStore& store, ServiceAnswer answer) {
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

const ServiceAnswer* FindAnswer(const AnswerStore& store, uint64_t number) {
  auto it = store.answers.find(number);
  return it == store.answers.end() ? nullptr : &it->second;
}

void EraseExpiredRecords(AgentTables& tables) {
  std::erase_if(tables.closed, [&](const auto& row) {
    return row.second.expires <= tables.now;
  });
  std::erase_if(tables.released_holds,
                [&](const auto& row) { return row.second <= tables.now; });
}

}  // namespace burdockhatch
