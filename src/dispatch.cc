#include "src/dispatch.h"

#include <algorithm>
#include <utility>

#include "src/admission.h"
#include "src/agent_report.h"
#include "src/attempts.h"
#include "src/claims.h"
#include "src/memory_reservations.h"
#include "src/prefix_table.h"
#include "src/warmup.h"

namespace burdockhatch {

namespace {

// Calls without a claim are refused this long before their deadline. At the
// deadline the entry has already told the caller that the outcome is unknown,
// although the call provably never ran.
constexpr Duration kUnclaimedRefusalMargin = std::chrono::milliseconds(150);
// Longest time for which a service is obeyed that wants no call.
constexpr Duration kMaxServiceBackOff = std::chrono::minutes(10);
// Streams that end within this time end by the same failure of the engine.
constexpr Duration kEngineFailureWindow = std::chrono::seconds(1);

// Returns the matching attempts as a copy, because ending an attempt changes
// the table.
template <class Filter>
std::vector<AttemptId> SelectAttempts(const AgentTables& tables,
                                      Filter filter) {
  std::vector<AttemptId> ids;
  for (const auto& [id, attempt] : tables.attempts) {
    if (filter(attempt)) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<StreamId> ImportedCacheIds(const Offer& offer) {
  // Each gang member imports the cache under the stream id of the attempt.
  return std::vector<StreamId>(offer.members.size(), StreamIdOf(offer.attempt));
}

// Moves the prompt and the generated prefix out of the attempt, which no longer
// needs them.
StreamSpec TakeStreamSpec(AcceptedAttempt& attempt) {
  Offer& offer = attempt.offer;
  StreamSpec spec;
  spec.stream = StreamIdOf(attempt.id);
  spec.model = offer.model;
  spec.prompt_tokens = offer.prompt_tokens;
  spec.max_output_tokens = offer.max_output_tokens;
  spec.priority = static_cast<int>(attempt.length);
  spec.prefix_hashes = offer.prefix_hashes;
  spec.imported_caches = ImportedCacheIds(offer);
  for (const GangMember& it : offer.members) {
    spec.imported_tokens += it.tokens;
  }
  spec.first_chunk = offer.first_chunk;
  spec.generated_prefix = std::move(offer.generated_prefix);
  spec.prompt = std::move(offer.body);
  return spec;
}

void DispatchStream(AgentTables& tables, AcceptedAttempt& attempt) {
  attempt.prompt_tokens_in_flight_at_dispatch = PromptTokensInFlight(tables);
  attempt.total_prompt_tokens_at_dispatch = tables.prompt_tokens_dispatched;
  tables.prompt_tokens_dispatched += attempt.offer.prompt_tokens;
  ReserveForStream(tables, attempt);
  attempt.phase = AttemptPhase::kStarting;
  RecordPrefixUse(tables.prefixes, attempt.offer.prefix_hashes);
  EmitAction(tables,
             StartStream{TakeStreamSpec(attempt), attempt.id, attempt.entry});
}

void DispatchServiceCall(AgentTables& tables, AcceptedAttempt& attempt) {
  Offer& offer = attempt.offer;
  ServiceRequest request;
  request.method = offer.method;
  request.path = offer.path;
  request.body = std::move(offer.body);
  request.key = offer.key;
  request.timeout = attempt.deadline - tables.now;
  attempt.phase = AttemptPhase::kRunning;
  tables.open_calls.insert(attempt.id);
  EmitAction(tables,
             DispatchCall{attempt.id, std::move(request), attempt.deadline});
}

// Dispatches the attempt. Its deadline and claim are checked last, immediately
// before the action.
void Dispatch(AgentTables& tables, AcceptedAttempt& attempt) {
  if (tables.now >= attempt.deadline) {
    CloseAsNotRun(tables, attempt.id, ErrorCode::kDeadlineExceeded);
    return;
  }
  if (attempt.key && !ConsumeClaim(tables, attempt)) {
    return;
  }
  attempt.dispatched_at = tables.now;
  ++tables.counters.dispatched;
  if (IsModelEngineAgent(tables)) {
    DispatchStream(tables, attempt);
  } else {
    DispatchServiceCall(tables, attempt);
  }
}

// Upper bound of the time that a warm engine needs from the attempt's dispatch
// until now: to prefill all prompts in flight then or dispatched since, and to
// decode this attempt's output.
Duration ExpectedServiceTime(const AgentTables& tables,
                             const AcceptedAttempt& attempt) {
  const Tokens prompt = attempt.prompt_tokens_in_flight_at_dispatch +
                        tables.prompt_tokens_dispatched -
                        attempt.total_prompt_tokens_at_dispatch;
  return TimeAtRate(prompt, tables.options.prefill_rate) +
         tables.options.time_per_token * attempt.output.value();
}

bool ExceededColdServiceTimeLimit(const AgentTables& tables,
                                  const AcceptedAttempt& attempt) {
  const AgentOptions& options = tables.options;
  if (options.prefill_rate.value() <= 0 ||
      options.time_per_token <= Duration(0)) {
    return false;
  }
  const Duration taken = tables.now - attempt.dispatched_at;
  return taken > ColdServiceTimeLimit(ExpectedServiceTime(tables, attempt));
}

void RecordCompletion(AgentTables& tables, Tokens load, Tokens work) {
  ++tables.counters.completed;
  RecordThroughput(tables, load);
  RaiseBudgetForWork(tables.warmup, work);
}

void CompleteStream(AgentTables& tables,
                    const AcceptedAttempt& attempt,
                    uint32_t chunk_count) {
  // The earlier service time and output of an adopted stream are unknown.
  if (!attempt.adopted) {
    const Tokens prompt = attempt.load - attempt.offer.max_output_tokens;
    RecordCompletion(tables, attempt.load, prompt + attempt.output);
    if (ExceededColdServiceTimeLimit(tables, attempt)) {
      FallBackToColdBudget(tables.warmup);
    }
  }
  EraseReservation(tables, StreamReservationId(attempt.id));
  AttemptResult result;
  result.chunk_count = chunk_count;
  CloseAttempt(tables, attempt.id, result);
}

// Handles the end of a stream whose attempt is closed. If a Resume made the
// agent relay the output once more, the Finish is sent again.
void HandleEndOfClosedStream(AgentTables& tables,
                             const AttemptId& id,
                             StreamEnd end,
                             uint32_t chunk_count) {
  auto it = tables.closed_attempts.find(id);
  if (end == StreamEnd::kComplete) {
    EraseReservation(tables, StreamReservationId(id));
  }
  if (it == tables.closed_attempts.end() || !it->second.rereading_output) {
    return;
  }
  ClosedAttempt& closed_attempt = it->second;
  closed_attempt.rereading_output = false;
  if (end == StreamEnd::kComplete) {
    closed_attempt.result.chunk_count = chunk_count;
    closed_attempt.result.failure = {};
  } else if (closed_attempt.result.failure.code == ErrorCode::kNone) {
    closed_attempt.result.failure =
        UnknownOutcomeFailure(ErrorCode::kTargetFailed);
  }
  SendFinish(tables, id, closed_attempt);
}

void ResumeClosedAttempt(AgentTables& tables,
                         const PeerId& from,
                         const Resume& resume,
                         ClosedAttempt& closed_attempt) {
  closed_attempt.entry = from;
  const bool whole = closed_attempt.result.failure.code == ErrorCode::kNone;
  if (IsModelEngineAgent(tables) && whole &&
      resume.next_chunk < closed_attempt.result.chunk_count) {
    closed_attempt.rereading_output = true;
    EmitAction(tables, AttachStream{StreamIdOf(resume.attempt), resume.attempt,
                                    from, resume.next_chunk});
    return;
  }
  if (whole && resume.next_chunk == 0) {
    SendAnswer(tables, from, resume.attempt, closed_attempt.result.answer);
  }
  SendFinish(tables, resume.attempt, closed_attempt);
}

void ReattachStream(AgentTables& tables, AcceptedAttempt& attempt) {
  attempt.reattach_at.reset();
  EmitAction(tables, AttachStream{StreamIdOf(attempt.id), attempt.id,
                                  attempt.entry, attempt.next_chunk});
}

// Adopts an attempt that an earlier incarnation of this agent accepted. If the
// engine does not know its stream, the attach ends with kNotFound.
void AdoptAttempt(AgentTables& tables,
                  const PeerId& from,
                  const Resume& resume) {
  const Duration left = std::clamp(resume.time_left, Duration(0), kMaxTimeLeft);
  AcceptedAttempt& attempt = tables.attempts[resume.attempt];
  attempt.id = resume.attempt;
  attempt.entry = from;
  attempt.accepted_at = tables.now;
  attempt.dispatched_at = tables.now;
  attempt.deadline = tables.now + left;
  attempt.phase = AttemptPhase::kRunning;
  attempt.next_chunk = resume.next_chunk;
  attempt.adopted = true;
  if (MemoryReservation* reservation =
          FindReservation(tables, StreamReservationId(attempt.id))) {
    reservation->attempt = attempt.id;
    reservation->entry = from;
    reservation->is_orphan = false;
    reservation->lease_end = attempt.deadline;
    attempt.load = reservation->load;
  }
  ReattachStream(tables, attempt);
}

// Answers a Resume of an attempt that cannot be adopted: a service call (an
// earlier incarnation left at most its claim), a stream that is being
// cancelled, or an attempt without time left.
void RefuseUnknownResume(AgentTables& tables,
                         const PeerId& from,
                         const Resume& resume) {
  Finish finish;
  finish.attempt = resume.attempt;
  finish.failure = UnknownOutcomeFailure(ErrorCode::kOutcomeUnknown);
  finish.state = BuildAgentState(tables);
  SendToEntry(tables, from, std::move(finish));
}

constexpr ErrorCode ErrorCodeOf(StreamEnd end) {
  return end == StreamEnd::kCancelled ? ErrorCode::kDeadlineExceeded
                                      : ErrorCode::kTargetFailed;
}

// Whether the attempt's answer was due to begin when the engine failed. The
// streams of one failure end one after the other, so the attempt is determined
// at the first end.
bool BeganAnswerAtFailure(AgentTables& tables, const AttemptId& id) {
  std::optional<EngineFailure>& failure = tables.last_engine_failure;
  if (!failure || tables.now - failure->at > kEngineFailureWindow) {
    failure = EngineFailure{tables.now, {}};
    std::optional<Time> first;
    for (const auto& [other, attempt] : tables.attempts) {
      if (IsDispatched(attempt) && !attempt.adopted &&
          attempt.output == Tokens(0) &&
          (!first || attempt.dispatched_at < *first)) {
        first = attempt.dispatched_at;
        failure->began_answer = other;
      }
    }
  }
  return failure->began_answer == id;
}

void CloseNotStarted(AgentTables& tables, const AttemptId& id, ErrorCode code) {
  EraseReservation(tables, StreamReservationId(id));
  CloseAsNotRun(tables, id, code, kRefusalRetryAfter);
}

}  // namespace

void CloseAsNotRun(AgentTables& tables,
                   const AttemptId& id,
                   ErrorCode code,
                   Duration retry_after) {
  AttemptResult result;
  result.failure = NotRunFailure(code, retry_after);
  CloseAttempt(tables, id, result);
}

void CloseAsOutcomeUnknown(AgentTables& tables,
                           const AttemptId& id,
                           ErrorCode code,
                           bool failed_at_start) {
  BeginRelease(tables, StreamReservationId(id));
  AttemptResult result;
  result.failure = UnknownOutcomeFailure(code);
  result.failed_at_start = failed_at_start;
  CloseAttempt(tables, id, result);
}

void CancelAttempt(AgentTables& tables, const AttemptId& id) {
  AcceptedAttempt* attempt = FindAttempt(tables, id);
  if (!attempt) {
    return;
  }
  // A joined attempt waits for a call that ran or may have run.
  if (IsDispatched(*attempt) || HasJoinedCall(tables, *attempt)) {
    CloseAsOutcomeUnknown(tables, id, ErrorCode::kDeadlineExceeded);
  } else {
    CloseAsNotRun(tables, id, ErrorCode::kDeadlineExceeded);
  }
}

void ExpireAttempts(AgentTables& tables) {
  const auto late = SelectAttempts(tables, [&](const AcceptedAttempt& attempt) {
    return attempt.deadline <= tables.now;
  });
  for (const AttemptId& id : late) {
    CancelAttempt(tables, id);
  }
  const auto unclaimed =
      SelectAttempts(tables, [&](const AcceptedAttempt& attempt) {
        return attempt.phase == AttemptPhase::kAwaitingClaim &&
               !HasJoinedCall(tables, attempt) &&
               attempt.deadline - kUnclaimedRefusalMargin <= tables.now;
      });
  for (const AttemptId& id : unclaimed) {
    CloseAsNotRun(tables, id, ErrorCode::kClaimUnavailable);
  }
  const auto overdue =
      SelectAttempts(tables, [&](const AcceptedAttempt& attempt) {
        return attempt.phase == AttemptPhase::kQueued &&
               attempt.queue_deadline <= tables.now;
      });
  for (const AttemptId& id : overdue) {
    CloseAsNotRun(tables, id, ErrorCode::kOverloaded, kRefusalRetryAfter);
  }
}

// Refuses what is queued while the service wants no call.
void RefuseQueuedInBackOff(AgentTables& tables) {
  if (tables.now >= tables.back_off_until) {
    return;
  }
  const auto queued =
      SelectAttempts(tables, [](const AcceptedAttempt& attempt) {
        return attempt.phase == AttemptPhase::kQueued;
      });
  for (const AttemptId& id : queued) {
    CloseAsNotRun(tables, id, ErrorCode::kOverloaded,
                  tables.back_off_until - tables.now);
  }
}

void DispatchQueued(AgentTables& tables) {
  RefuseQueuedInBackOff(tables);
  ReservedCapacity reserve;
  for (const AttemptId& id : DispatchOrder(tables)) {
    AcceptedAttempt& attempt = *FindAttempt(tables, id);
    if (CanDispatch(tables, attempt, reserve)) {
      Dispatch(tables, attempt);
    } else if (ReservesCapacity(tables, attempt) && reserve.load == Tokens(0)) {
      reserve = {attempt.load, attempt.load};
    }
  }
}

void RefuseQueuedIfNotAccepting(AgentTables& tables) {
  if (!tables.draining && !IsTargetWithdrawn(tables)) {
    tables.not_accepting_since.reset();
    return;
  }
  if (!tables.not_accepting_since) {
    tables.not_accepting_since = tables.now;
  }
  const bool in_grace_period =
      tables.now < *tables.not_accepting_since + kClaimWaitGrace;
  const auto queued =
      SelectAttempts(tables, [&](const AcceptedAttempt& attempt) {
        return !IsDispatched(attempt) && !HasJoinedCall(tables, attempt) &&
               !(in_grace_period && attempt.key);
      });
  const ErrorCode code = tables.draining ? ErrorCode::kTargetDraining
                                         : ErrorCode::kTargetWithdrawn;
  for (const AttemptId& id : queued) {
    CloseAsNotRun(tables, id, code);
  }
}

void HandleStreamStart(AgentTables& tables,
                       const StreamId& stream,
                       StartStatus status) {
  const std::optional<AttemptId> id = ParseAttemptId(stream.value());
  MemoryReservation* reservation = FindReservation(tables, {stream, false});
  if (!id || !reservation) {
    return;
  }
  AcceptedAttempt* attempt = FindAttempt(tables, *id);
  if (status == StartStatus::kStarted) {
    ConfirmReservation(tables, *reservation);
    if (attempt) {
      attempt->phase = AttemptPhase::kRunning;
    }
    return;
  }
  if (status == StartStatus::kUnknown) {
    BeginRelease(tables, {stream, false});
    if (attempt) {
      CloseAsOutcomeUnknown(tables, *id, ErrorCode::kTargetFailed);
    }
    return;
  }
  // The engine did not start the stream, so its memory is free and the attempt
  // did not run.
  CloseNotStarted(tables, *id,
                  status == StartStatus::kRefused ? ErrorCode::kOverloaded
                                                  : ErrorCode::kTargetFailed);
}

void HandleStreamProgress(AgentTables& tables,
                          const StreamId& stream,
                          uint32_t next_chunk,
                          Tokens tokens) {
  const std::optional<AttemptId> id = ParseAttemptId(stream.value());
  AcceptedAttempt* attempt = id ? FindAttempt(tables, *id) : nullptr;
  if (!attempt || !IsDispatched(*attempt)) {
    return;
  }
  attempt->phase = AttemptPhase::kRunning;
  attempt->next_chunk = std::max(attempt->next_chunk, next_chunk);
  attempt->output = std::max(attempt->output, tokens);
  if (MemoryReservation* reservation =
          FindReservation(tables, {stream, false})) {
    ConfirmReservation(tables, *reservation);
  }
}

void HandleStreamEnd(AgentTables& tables,
                     const StreamId& stream,
                     StreamEnd end,
                     uint32_t chunk_count) {
  const std::optional<AttemptId> id = ParseAttemptId(stream.value());
  if (!id) {
    return;
  }
  AcceptedAttempt* attempt = FindAttempt(tables, *id);
  if (!attempt || !IsDispatched(*attempt)) {
    HandleEndOfClosedStream(tables, *id, end, chunk_count);
    return;
  }
  switch (end) {
    case StreamEnd::kComplete:
      CompleteStream(tables, *attempt, chunk_count);
      return;
    case StreamEnd::kConnectionLost:
      attempt->reattach_at = tables.now + kReattachDelay;
      return;
    case StreamEnd::kFailed:
      DiscardRaiseProgress(tables.warmup);
      [[fallthrough]];
    case StreamEnd::kNotFound:
      CloseAsOutcomeUnknown(tables, *id, ErrorCodeOf(end),
                            BeganAnswerAtFailure(tables, *id));
      return;
    case StreamEnd::kCancelled:
      CloseAsOutcomeUnknown(tables, *id, ErrorCodeOf(end));
      return;
  }
}

void HandleServiceAnswer(AgentTables& tables,
                         const AttemptId& id,
                         ServiceResponse answer) {
  if (tables.open_calls.erase(id) == 0) {
    return;
  }
  if (answer.status == CallStatus::kAnswered) {
    RecordCompletion(tables, Tokens(1), Tokens(1));
  }
  if (answer.back_off > Duration(0)) {
    tables.back_off_until =
        std::max(tables.back_off_until,
                 tables.now + std::min(answer.back_off, kMaxServiceBackOff));
  }
  AttemptResult result;
  switch (answer.status) {
    case CallStatus::kAnswered:
      result.chunk_count = 1;
      result.http_status = answer.http_status;
      result.content_type = answer.content_type;
      result.answer = StoreAnswer(tables.answers, std::move(answer));
      break;
    case CallStatus::kNotSent:
      result.failure =
          NotRunFailure(ErrorCode::kTargetFailed, kRefusalRetryAfter);
      break;
    case CallStatus::kUnknown:
      result.failure = UnknownOutcomeFailure(ErrorCode::kOutcomeUnknown);
      break;
  }
  EndKeyedCall(tables, id, result);
  CloseServiceAttempt(tables, id, std::move(result));
}

void ReattachStreams(AgentTables& tables) {
  for (auto& [id, attempt] : tables.attempts) {
    if (attempt.reattach_at && *attempt.reattach_at <= tables.now) {
      ReattachStream(tables, attempt);
    }
  }
}

void HandleResume(AgentTables& tables,
                  const PeerId& from,
                  const Resume& resume) {
  if (AcceptedAttempt* attempt = FindAttempt(tables, resume.attempt)) {
    attempt->entry = from;
    // A start that is not answered yet may not have reached the engine, which
    // would answer that it has no such stream.
    if (IsModelEngineAgent(tables) &&
        attempt->phase == AttemptPhase::kRunning) {
      attempt->next_chunk = resume.next_chunk;
      ReattachStream(tables, *attempt);
    } else {
      SendAcceptance(tables, from, resume.attempt);
    }
    return;
  }
  auto it = tables.closed_attempts.find(resume.attempt);
  if (it != tables.closed_attempts.end()) {
    ResumeClosedAttempt(tables, from, resume, it->second);
    return;
  }
  const MemoryReservation* reservation =
      FindReservation(tables, StreamReservationId(resume.attempt));
  const bool stopping = reservation && reservation->releasing_since;
  if (IsModelEngineAgent(tables) && !stopping &&
      resume.time_left > Duration(0)) {
    AdoptAttempt(tables, from, resume);
    return;
  }
  RefuseUnknownResume(tables, from, resume);
}

void EndWorkOfEntry(AgentTables& tables, const PeerId& peer) {
  const auto gone = [&](const PeerId& other) {
    return other.instance == peer.instance &&
           other.incarnation <= peer.incarnation;
  };
  const auto ids = SelectAttempts(tables, [&](const AcceptedAttempt& attempt) {
    return gone(attempt.entry);
  });
  for (const AttemptId& id : ids) {
    CancelAttempt(tables, id);
  }
  for (auto& [id, reservation] : tables.reservations) {
    if (id.is_cache && gone(reservation.entry)) {
      BeginRelease(tables, id);
    }
  }
  std::erase_if(tables.subscribers,
                [&](const auto& row) { return gone(row.first); });
}

}  // namespace burdockhatch
