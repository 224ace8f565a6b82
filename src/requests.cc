#include "src/requests.h"

#include <algorithm>
#include <utility>

#include "src/entry_blame.h"
#include "src/fleet_table.h"
#include "src/gang.h"
#include "src/membership.h"
#include "src/request_admission.h"
#include "src/request_end.h"
#include "src/request_placing.h"
#include "src/retry_budget.h"

namespace burdockhatch {

namespace {

constexpr Duration kResumeInterval = std::chrono::milliseconds(500);
// A lost chunk appears as a stall of the answer. Long prompts and queues stall
// it as well, so the interval between Resume messages doubles up to the
// maximum.
constexpr Duration kInitialStallTimeout = std::chrono::seconds(1);
constexpr Duration kMaxStallTimeout = std::chrono::seconds(8);
// Delay of the first Resume after Finish. Chunks and Finish are handled on
// different threads, so Finish may overtake the last chunks.
constexpr Duration kMissingChunkDelay = std::chrono::milliseconds(50);
// Interval between Resume messages while chunks are missing after Finish.
constexpr Duration kMissingChunkInterval = std::chrono::milliseconds(200);

void FailAtDeadline(EntryTables& tables, RequestRow& row, Time now) {
  FailRow(tables, row, ErrorCode::kDeadlineExceeded, Duration(0), now);
}

// Returns null if the request is not open. Fails it if its deadline has passed.
RequestRow* FindOpenRequest(EntryTables& tables,
                            const RequestId& request,
                            Time now) {
  const auto it = tables.requests.find(request);
  if (it == tables.requests.end()) {
    return nullptr;
  }
  RequestRow& row = it->second;
  if (row.spec.deadline <= now) {
    FailAtDeadline(tables, row, now);
    return nullptr;
  }
  return &row;
}

// Returns the open request whose current attempt is `attempt`, or null.
RequestRow* FindAttempt(EntryTables& tables,
                        const AttemptId& attempt,
                        Time now) {
  RequestRow* row = FindOpenRequest(tables, attempt.request, now);
  return row && row->attempt && row->attempt->id == attempt ? row : nullptr;
}

bool IsFromAttemptAgent(const EntryTables& tables,
                        const EntryAttempt& attempt,
                        const PeerId& sender) {
  return tables.fleet.rows[attempt.slot].info.instance == sender.instance;
}

void MarkOfferAnswered(EntryTables& tables, EntryAttempt& attempt) {
  if (attempt.offer_unanswered) {
    attempt.offer_unanswered = false;
    RemoveUnansweredLoad(tables.fleet, attempt.slot, attempt.tokens);
  }
}

// Records that the agent's incarnation `serving_incarnation` has the attempt.
void MarkServed(EntryTables& tables,
                RequestRow& row,
                Incarnation serving_incarnation,
                RequestPhase phase,
                Time now) {
  EntryAttempt& attempt = *row.attempt;
  MarkOfferAnswered(tables, attempt);
  attempt.serving_incarnation =
      std::max(attempt.serving_incarnation, serving_incarnation);
  attempt.resume_interval = kInitialStallTimeout;
  attempt.next_resume = now + kInitialStallTimeout;
  row.phase = phase;
  row.waiting_since.reset();
}

void SendResume(EntryTables& tables, const RequestRow& row, Time now) {
  const EntryAttempt& attempt = *row.attempt;
  const TargetRow& target = tables.fleet.rows[attempt.slot];
  tables.actions.push_back(
      SendMessage{{target.info.instance, target.incarnation},
                  Resume{attempt.id, row.next_chunk, row.spec.deadline - now}});
}

void StartResuming(EntryTables& tables, RequestRow& row, Time now) {
  row.phase = RequestPhase::kResuming;
  row.attempt->no_progress_since = now;
  row.attempt->next_resume = now + kResumeInterval;
  SendResume(tables, row, now);
}

void ResumeIfDue(EntryTables& tables,
                 RequestRow& row,
                 Duration interval,
                 Time now) {
  if (now >= row.attempt->next_resume) {
    row.attempt->next_resume = now + interval;
    SendResume(tables, row, now);
  }
}

bool IsAgentSuspect(const EntryTables& tables, const EntryAttempt& attempt) {
  return tables.fleet.hints[attempt.slot].availability ==
         TargetAvailability::kSuspect;
}

bool AgentRestarted(const EntryTables& tables, const EntryAttempt& attempt) {
  const Incarnation known =
      std::max(attempt.offered_incarnation, attempt.serving_incarnation);
  return tables.fleet.rows[attempt.slot].incarnation > known;
}

bool ResumeTimedOut(const RequestRow& row, Time now) {
  return row.spec.repeatable && now >= row.attempt->next_retry_check &&
         now - row.attempt->no_progress_since >= kResumeReplyTimeout;
}

void UpdateOfferedAttempt(EntryTables& tables, RequestRow& row, Time now) {
  const EntryAttempt& attempt = *row.attempt;
  if (now - attempt.offered_at >= kOfferReplyTimeout ||
      IsAgentSuspect(tables, attempt) || AgentRestarted(tables, attempt)) {
    StartResuming(tables, row, now);
  }
}

void UpdateRunningAttempt(EntryTables& tables, RequestRow& row, Time now) {
  EntryAttempt& attempt = *row.attempt;
  if (IsAgentSuspect(tables, attempt) || AgentRestarted(tables, attempt)) {
    StartResuming(tables, row, now);
    return;
  }
  if (now >= attempt.next_resume) {
    attempt.resume_interval =
        std::min(2 * attempt.resume_interval, kMaxStallTimeout);
    ResumeIfDue(tables, row, attempt.resume_interval, now);
  }
}

// Whether the incarnation that accepted the attempt is heard from again. It was
// only slow and still has the attempt.
bool ServingIncarnationIsBack(const EntryTables& tables,
                              const EntryAttempt& attempt) {
  return attempt.serving_incarnation != Incarnation() &&
         tables.fleet.rows[attempt.slot].incarnation ==
             attempt.serving_incarnation &&
         !IsAgentSuspect(tables, attempt);
}

void UpdateResumingAttempt(EntryTables& tables, RequestRow& row, Time now) {
  if (ServingIncarnationIsBack(tables, *row.attempt)) {
    MarkServed(tables, row, row.attempt->serving_incarnation,
               RequestPhase::kRunning, now);
    return;
  }
  if (ResumeTimedOut(row, now)) {
    RetryInsteadOfSilentAttempt(tables, row, now);
    return;
  }
  ResumeIfDue(tables, row, kResumeInterval, now);
}

void UpdateFinishedAttempt(EntryTables& tables, RequestRow& row, Time now) {
  if (ResumeTimedOut(row, now)) {
    RetryInsteadOfSilentAttempt(tables, row, now);
    return;
  }
  ResumeIfDue(tables, row, kMissingChunkInterval, now);
}

void UpdateAttempt(EntryTables& tables, RequestRow& row, Time now) {
  if (row.gang && RenewHolds(tables, *row.gang, now) == GangProgress::kFailed) {
    HandleGangLoss(tables, row, now);
    return;
  }
  switch (row.phase) {
    case RequestPhase::kOffered:
      UpdateOfferedAttempt(tables, row, now);
      return;
    case RequestPhase::kAccepted:
    case RequestPhase::kRunning:
      UpdateRunningAttempt(tables, row, now);
      return;
    case RequestPhase::kResuming:
      UpdateResumingAttempt(tables, row, now);
      return;
    case RequestPhase::kFinished:
      UpdateFinishedAttempt(tables, row, now);
      return;
    case RequestPhase::kWaiting:
    case RequestPhase::kHolding:
      return;
  }
}

void UpdateRequest(EntryTables& tables, RequestRow& row, Time now) {
  if (row.spec.deadline <= now) {
    FailAtDeadline(tables, row, now);
  } else if (row.phase == RequestPhase::kHolding) {
    ContinueGangAcquisition(tables, row, now);
  } else if (row.attempt) {
    UpdateAttempt(tables, row, now);
  } else if (now >= row.next_placement) {
    TryPlaceRequest(tables, row, now);
  }
}

// Completes the request once the session has as many chunks as the agent sent.
void CompleteIfAllChunksReceived(EntryTables& tables, RequestRow& row) {
  const EntryAttempt& attempt = *row.attempt;
  if (attempt.finish && row.next_chunk >= attempt.finish->chunk_count) {
    CompleteRow(tables, row);
  }
}

void HandleFinish(EntryTables& tables,
                  RequestRow& row,
                  const Finish& finish,
                  Time now) {
  EntryAttempt& attempt = *row.attempt;
  MarkOfferAnswered(tables, attempt);
  if (!attempt.finish) {
    attempt.no_progress_since = now;
    attempt.next_resume = now + kMissingChunkDelay;
  }
  attempt.finish = finish;
  row.phase = RequestPhase::kFinished;
  CompleteIfAllChunksReceived(tables, row);
}

// Chunks do not contain the incarnation of the agent. Shortly after a restart
// was detected, chunks of the previous incarnation may still be in transit.
bool MayBeFromPreviousIncarnation(const EntryTables& tables,
                                  const RequestRow& row,
                                  Time now) {
  if (!AgentRestarted(tables, *row.attempt)) {
    return false;
  }
  return row.phase != RequestPhase::kResuming ||
         now - row.attempt->no_progress_since < kResumeInterval;
}

// A late duplicate of an offer is refused with kAlreadyRan after the attempt
// has completed. Its answer can then be requested with Resume, unless it
// belongs to another call with the same idempotency key.
bool AnswerCanBeResumed(const RequestRow& row, const Failure& failure) {
  return failure.code == ErrorCode::kAlreadyRan && !row.spec.key;
}

// A failure of an attempt that is not the current one only stops the resending
// of Cancel.
void HandleAttemptFailure(EntryTables& tables,
                          const PeerId& sender,
                          const AttemptId& attempt,
                          const Failure& failure,
                          CrashEvidence evidence,
                          Time now) {
  RequestRow* row = FindAttempt(tables, attempt, now);
  if (!row || !IsFromAttemptAgent(tables, *row->attempt, sender)) {
    CloseAbandonedAttempt(tables, sender, attempt, failure);
    return;
  }
  if (row->attempt->finish) {
    return;
  }
  if (AnswerCanBeResumed(*row, failure)) {
    if (row->phase != RequestPhase::kResuming) {
      StartResuming(tables, *row, now);
    }
    return;
  }
  if (ProvesNotRun(row->attempt->offered_incarnation, sender.incarnation,
                   failure)) {
    RetryAfterRefusal(tables, *row, failure, now);
  } else {
    RecordFailureForBlame(tables, *row, failure, evidence, now);
    RetryAfterFailure(tables, *row, failure, now);
  }
}

void HandleAcceptance(EntryTables& tables,
                      const PeerId& sender,
                      const AttemptId& attempt,
                      Time now) {
  RequestRow* row = FindAttempt(tables, attempt, now);
  if (!row || !IsFromAttemptAgent(tables, *row->attempt, sender)) {
    tables.actions.push_back(SendMessage{sender, Cancel{attempt}});
    return;
  }
  if (row->phase == RequestPhase::kOffered ||
      row->phase == RequestPhase::kResuming) {
    MarkServed(tables, *row, sender.incarnation, RequestPhase::kAccepted, now);
  }
}

RequestRow* FindRequestOfGang(EntryTables& tables, const AttemptId& attempt) {
  const auto it = tables.requests.find(attempt.request);
  if (it == tables.requests.end() || !it->second.gang ||
      it->second.gang->attempt != attempt) {
    return nullptr;
  }
  return &it->second;
}

}  // namespace

void StartRequest(EntryTables& tables, RequestSpec spec, Time now) {
  if (tables.requests.contains(spec.request)) {
    return;
  }
  if (const auto failure = CheckAdmission(tables, spec, now)) {
    tables.actions.push_back(FailRequest{spec.request, *failure});
    return;
  }
  AddRetryCredit(tables.retries, spec.account);
  RequestRow& row = tables.requests[spec.request];
  row.spec = std::move(spec);
  row.parts = SharedPartsOf(row.spec);
  row.own_mark = OwnMarkOf(row.spec);
  TryPlaceRequest(tables, row, now);
}

void CancelRequest(EntryTables& tables, const RequestId& request, Time now) {
  const auto it = tables.requests.find(request);
  if (it != tables.requests.end()) {
    CancelRow(tables, it->second, now);
  }
}

void OnOfferReply(EntryTables& tables,
                  const PeerId& sender,
                  const OfferReply& reply,
                  Time now) {
  if (reply.verdict == Verdict::kAccepted) {
    HandleAcceptance(tables, sender, reply.attempt, now);
  } else {
    HandleAttemptFailure(tables, sender, reply.attempt, reply.failure,
                         CrashEvidence::kUnanswered, now);
  }
}

void OnHoldReply(EntryTables& tables,
                 const PeerId& sender,
                 const HoldReply& reply,
                 Time now) {
  RequestRow* row = FindRequestOfGang(tables, reply.attempt);
  if (!row) {
    if (reply.verdict == Verdict::kAccepted) {
      tables.actions.push_back(SendMessage{sender, HoldRelease{reply.attempt}});
    }
    return;
  }
  const bool kept = RecordHoldReply(tables, *row->gang, sender, reply, now);
  if (!kept && row->attempt) {
    HandleGangLoss(tables, *row, now);
  } else if (!kept) {
    WaitForCapacity(tables, *row, now);
  } else if (row->phase == RequestPhase::kHolding) {
    ContinueGangAcquisition(tables, *row, now);
  }
}

void OnFinish(EntryTables& tables,
              const PeerId& sender,
              const Finish& finish,
              Time now) {
  if (finish.failure.code != ErrorCode::kNone) {
    HandleAttemptFailure(tables, sender, finish.attempt, finish.failure,
                         finish.failed_at_start ? CrashEvidence::kAtStart
                                                : CrashEvidence::kUnanswered,
                         now);
    return;
  }
  RequestRow* row = FindAttempt(tables, finish.attempt, now);
  if (row && IsFromAttemptAgent(tables, *row->attempt, sender)) {
    HandleFinish(tables, *row, finish, now);
  } else {
    const Failure ran{ErrorCode::kNone, Outcome::kRan, Duration(0)};
    CloseAbandonedAttempt(tables, sender, finish.attempt, ran);
  }
}

// Progress of an abandoned attempt is counted as well, because the session has
// these chunks and later attempts do not send them again.
void RecordProgress(EntryTables& tables,
                    const AttemptId& attempt,
                    uint32_t next_chunk,
                    Time now) {
  RequestRow* row = FindOpenRequest(tables, attempt.request, now);
  if (!row || next_chunk <= row->next_chunk) {
    return;
  }
  row->next_chunk = next_chunk;
  if (!row->attempt || attempt != row->attempt->id) {
    return;
  }
  RecordAnswerForBlame(tables, *row, now);
  if (row->attempt->finish) {
    row->attempt->no_progress_since = now;
    CompleteIfAllChunksReceived(tables, *row);
    return;
  }
  if (MayBeFromPreviousIncarnation(tables, *row, now)) {
    return;
  }
  const Incarnation serving_incarnation =
      tables.fleet.rows[row->attempt->slot].incarnation;
  MarkServed(tables, *row, serving_incarnation, RequestPhase::kRunning, now);
}

void HandleSendFailure(EntryTables& tables,
                       const AttemptId& attempt,
                       Time now) {
  RequestRow* row = FindAttempt(tables, attempt, now);
  if (!row || row->attempt->serving_incarnation != Incarnation()) {
    return;
  }
  const TargetRow& target = tables.fleet.rows[row->attempt->slot];
  MarkUnreachable(tables, target.info.instance, now);
  RetryAfterSendFailure(tables, *row, now);
}

void UpdateRequests(EntryTables& tables, Time now) {
  for (auto it = tables.requests.begin(); it != tables.requests.end();) {
    RequestRow& row = it->second;
    ++it;  // UpdateRequest may erase the row.
    UpdateRequest(tables, row, now);
  }
}

}  // namespace burdockhatch
