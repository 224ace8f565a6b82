#include "src/attempts.h"

#include <algorithm>
#include <utility>

#include "src/agent_report.h"

namespace burdockhatch {

namespace {

constexpr Duration kMinRecordTime = kTombstoneMargin;

void ReplyToOffer(AgentTables& tables,
                  const PeerId& to,
                  const AttemptId& attempt,
                  Verdict verdict,
                  const Failure& failure) {
  SendTo(tables, to, OfferReply{attempt, verdict, failure, MakeState(tables)});
}

// What a duplicate of a closed attempt's offer is told.
Failure FailureOfDuplicate(const ClosedAttempt& closed) {
  if (closed.finish.failure.code == ErrorCode::kNone) {
    return {ErrorCode::kAlreadyRan, Outcome::kRan, Duration(0)};
  }
  return closed.finish.failure;
}

ClosedAttempt& Record(AgentTables& tables,
                      const AttemptId& id,
                      const PeerId& entry,
                      Time deadline) {
  ClosedAttempt& closed = tables.closed[id];
  closed.entry = entry;
  closed.ended_at = tables.now;
  closed.expires =
      std::max(deadline + kTombstoneMargin, tables.now + kMinRecordTime);
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
  if (tables.now < tables.pause_ended + kPauseSettle) {
    return bounded - tables.pause;
  }
  return bounded;
}

Attempt* FindAttempt(AgentTables& tables, const AttemptId& id) {
  auto it = tables.attempts.find(id);
  return it == tables.attempts.end() ? nullptr : &it->second;
}

bool AnswerDuplicate(AgentTables& tables,
                     const PeerId& from,
                     const Offer& offer) {
  if (FindAttempt(tables, offer.attempt)) {
    ++tables.counters.duplicate_offers;
    ReplyToOffer(tables, from, offer.attempt, Verdict::kAccepted, {});
    return true;
  }
  auto it = tables.closed.find(offer.attempt);
  if (it == tables.closed.end()) {
    return false;
  }
  ++tables.counters.duplicate_offers;
  ReplyToOffer(tables, from, offer.attempt, Verdict::kRefused,
               FailureOfDuplicate(it->second));
  return true;
}

void RefuseOffer(AgentTables& tables,
                 const PeerId& from,
                 const Offer& offer,
                 const Failure& failure) {
  ++tables.counters.refused;
  const Duration left = std::clamp(offer.time_left, Duration(0), kMaxTimeLeft);
  ClosedAttempt& closed =
      Record(tables, offer.attempt, from, tables.now + left);
  closed.finish.attempt = offer.attempt;
  closed.finish.failure = failure;
  ReplyToOffer(tables, from, offer.attempt, Verdict::kRefused, failure);
}

Attempt& AcceptOffer(AgentTables& tables, const PeerId& from, Offer offer) {
  ++tables.counters.accepted;
  const AttemptId id = offer.attempt;
  Attempt& attempt = tables.attempts[id];
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
  const Attempt& attempt = it->second;
  ClosedAttempt& closed = Record(tables, id, attempt.entry, attempt.deadline);
  closed.dispatched =
      IsDispatched(attempt) && ending.failure.outcome != Outcome::kNotRun;
  closed.completion = IsEngineAgent(tables);
  closed.answer = ending.answer;
  closed.finish.attempt = id;
  closed.finish.chunk_count = ending.chunk_count;
  closed.finish.failure = ending.failure;
  closed.finish.http_status = ending.http_status;
  closed.finish.content_type = std::move(ending.content_type);
  tables.attempts.erase(it);
  RepeatFinish(tables, closed);
}

void RepeatFinish(AgentTables& tables, ClosedAttempt& closed) {
  Finish finish = closed.finish;
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
  // The newest answer is still to be sent, so it stays even when it is larger
  // than the limit.
  while (store.bytes > kMaxAnswerBytes && store.answers.size() > 1) {
    store.bytes -= store.answers.begin()->second.body.size();
    store.answers.erase(store.answers.begin());
  }
  return number;
}

const ServiceAnswer* FindAnswer(const AnswerStore& store, uint64_t number) {
  auto it = store.answers.find(number);
  return it == store.answers.end() ? nullptr : &it->second;
}

void ExpireClosed(AgentTables& tables) {
  std::erase_if(tables.closed, [&](const auto& row) {
    return row.second.expires <= tables.now;
  });
  std::erase_if(tables.released_holds,
                [&](const auto& row) { return row.second <= tables.now; });
}

}  // namespace burdockhatch
