#include "src/requests.h"

#include <algorithm>
#include <utility>

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
// A lost chunk shows as a stall. Long prompts and queues stall as well, so the
// question is repeated ever more slowly.
constexpr Duration kFirstStall = std::chrono::seconds(1);
constexpr Duration kLongestStall = std::chrono::seconds(8);
// Chunks reach the session on another thread than Finish reaches this table.
constexpr Duration kGapDelay = std::chrono::milliseconds(50);
constexpr Duration kGapInterval = std::chrono::milliseconds(200);

void FailAtDeadline(EntryTables& tables, RequestRow& row, Time now) {
  FailRow(tables, row, ErrorCode::kDeadlineExceeded, Duration(0), now);
}

// An event that comes after the deadline ends the request instead.
RequestRow* FindOpen(EntryTables& tables, const RequestId& request, Time now) {
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

// The open request whose current attempt this is.
RequestRow* FindAttempt(EntryTables& tables,
                        const AttemptId& attempt,
                        Time now) {
  RequestRow* row = FindOpen(tables, attempt.request, now);
  return row && row->attempt && row->attempt->id == attempt ? row : nullptr;
}

bool IsFrom(const EntryTables& tables,
            const EntryAttempt& attempt,
            const PeerId& sender) {
  return tables.fleet.rows[attempt.slot].info.instance == sender.instance;
}

void NoteAnswered(EntryTables& tables, EntryAttempt& attempt) {
  if (attempt.unanswered) {
    attempt.unanswered = false;
    MarkOfferAnswered(tables.fleet, attempt.slot, attempt.tokens);
  }
}

// The agent's run `serving` has the attempt.
void NoteServed(EntryTables& tables,
                RequestRow& row,
                Incarnation serving,
                RequestPhase phase,
                Time now) {
  EntryAttempt& attempt = *row.attempt;
  NoteAnswered(tables, attempt);
  attempt.serving = std::max(attempt.serving, serving);
  attempt.resume_gap = kFirstStall;
  attempt.next_resume = now + kFirstStall;
  row.phase = phase;
  row.waiting_since.reset();
}

void SendResume(EntryTables& tables, const RequestRow& row, Time now) {
  const EntryAttempt& attempt = *row.attempt;
  const TargetRow& target = tables.fleet.rows[attempt.slot];
  tables.actions.push_back(
      SendToAgent{{target.info.instance, target.incarnation},
                  Resume{attempt.id, row.next_chunk, row.spec.deadline - now}});
}

void StartResuming(EntryTables& tables, RequestRow& row, Time now) {
  row.phase = RequestPhase::kResuming;
  row.attempt->resuming_since = now;
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

bool AgentIsSilent(const EntryTables& tables, const EntryAttempt& attempt) {
  return tables.fleet.hints[attempt.slot].standing == Standing::kSuspect;
}

bool AgentRestarted(const EntryTables& tables, const EntryAttempt& attempt) {
  const Incarnation known = std::max(attempt.offered_to, attempt.serving);
  return tables.fleet.rows[attempt.slot].incarnation > known;
}

bool OutOfPatience(const RequestRow& row, Time now) {
  return row.spec.repeatable &&
         now - row.attempt->resuming_since >= kResumePatience;
}

void UpdateOffered(EntryTables& tables, RequestRow& row, Time now) {
  const EntryAttempt& attempt = *row.attempt;
  if (now - attempt.offered_at >= kOfferPatience ||
      AgentIsSilent(tables, attempt) || AgentRestarted(tables, attempt)) {
    StartResuming(tables, row, now);
  }
}

void UpdateRunning(EntryTables& tables, RequestRow& row, Time now) {
  EntryAttempt& attempt = *row.attempt;
  if (AgentIsSilent(tables, attempt) || AgentRestarted(tables, attempt)) {
    StartResuming(tables, row, now);
    return;
  }
  if (now >= attempt.next_resume) {
    attempt.resume_gap = std::min(2 * attempt.resume_gap, kLongestStall);
    ResumeIfDue(tables, row, attempt.resume_gap, now);
  }
}

// The run of the agent that had accepted the attempt speaks again: it was slow,
// and still has the attempt.
bool AgentIsBack(const EntryTables& tables, const EntryAttempt& attempt) {
  return attempt.serving != Incarnation() &&
         tables.fleet.rows[attempt.slot].incarnation == attempt.serving &&
         !AgentIsSilent(tables, attempt);
}

void UpdateResuming(EntryTables& tables, RequestRow& row, Time now) {
  if (AgentIsBack(tables, *row.attempt)) {
    NoteServed(tables, row, row.attempt->serving, RequestPhase::kRunning, now);
    return;
  }
  if (OutOfPatience(row, now)) {
    MoveElsewhere(tables, row, now);
    return;
  }
  ResumeIfDue(tables, row, kResumeInterval, now);
}

void UpdateFinished(EntryTables& tables, RequestRow& row, Time now) {
  if (OutOfPatience(row, now)) {
    MoveElsewhere(tables, row, now);
    return;
  }
  ResumeIfDue(tables, row, kGapInterval, now);
}

void UpdateAttempt(EntryTables& tables, RequestRow& row, Time now) {
  if (row.gang && RenewHolds(tables, *row.gang, now) == GangProgress::kLost) {
    LoseGang(tables, row, now);
    return;
  }
  switch (row.phase) {
    case RequestPhase::kOffered:
      UpdateOffered(tables, row, now);
      return;
    case RequestPhase::kAccepted:
    case RequestPhase::kRunning:
      UpdateRunning(tables, row, now);
      return;
    case RequestPhase::kResuming:
      UpdateResuming(tables, row, now);
      return;
    case RequestPhase::kFinished:
      UpdateFinished(tables, row, now);
      return;
    case RequestPhase::kWaiting:
    case RequestPhase::kHolding:
      return;
  }
}

void UpdateRow(EntryTables& tables, RequestRow& row, Time now) {
  if (row.spec.deadline <= now) {
    FailAtDeadline(tables, row, now);
  } else if (row.phase == RequestPhase::kHolding) {
    ContinueGang(tables, row, now);
  } else if (row.attempt) {
    UpdateAttempt(tables, row, now);
  } else if (now >= row.next_try) {
    TryPlace(tables, row, now);
  }
}

// The answer is whole once the session has every chunk that the agent counted.
void CompleteIfWhole(EntryTables& tables, RequestRow& row) {
  const EntryAttempt& attempt = *row.attempt;
  if (attempt.finish && row.next_chunk >= attempt.finish->chunk_count) {
    CompleteRow(tables, row);
  }
}

void NoteFinished(EntryTables& tables,
                  RequestRow& row,
                  const Finish& finish,
                  Time now) {
  EntryAttempt& attempt = *row.attempt;
  NoteAnswered(tables, attempt);
  if (!attempt.finish) {
    attempt.resuming_since = now;
    attempt.next_resume = now + kGapDelay;
  }
  attempt.finish = finish;
  row.phase = RequestPhase::kFinished;
  CompleteIfWhole(tables, row);
}

// Chunks do not tell which run of the agent sent them. Shortly after a restart
// was seen they may still be on their way from the old run.
bool MayComeFromOldRun(const EntryTables& tables,
                       const RequestRow& row,
                       Time now) {
  if (!AgentRestarted(tables, *row.attempt)) {
    return false;
  }
  return row.phase != RequestPhase::kResuming ||
         now - row.attempt->resuming_since < kResumeInterval;
}

// A late copy of an offer finds its attempt complete. The answer can be had
// with Resume, unless it belongs to another call with the same key.
bool HasItsAnswer(const RequestRow& row, const Failure& failure) {
  return failure.code == ErrorCode::kAlreadyRan && !row.spec.key;
}

// What an agent says of the end of an attempt that is not the current one ends
// only the repetition of Cancel.
void NoteEnd(EntryTables& tables,
             const PeerId& sender,
             const AttemptId& attempt,
             const Failure& failure,
             Time now) {
  RequestRow* row = FindAttempt(tables, attempt, now);
  if (!row || !IsFrom(tables, *row->attempt, sender)) {
    ConfirmAbandoned(tables, sender, attempt, failure);
    return;
  }
  if (row->attempt->finish) {
    return;
  }
  if (HasItsAnswer(*row, failure)) {
    if (row->phase != RequestPhase::kResuming) {
      StartResuming(tables, *row, now);
    }
    return;
  }
  if (ProvesNotRun(row->attempt->offered_to, sender.incarnation, failure)) {
    RetryAfterRefusal(tables, *row, failure, now);
  } else {
    RetryAfterFailure(tables, *row, failure, now);
  }
}

void NoteAccepted(EntryTables& tables,
                  const PeerId& sender,
                  const AttemptId& attempt,
                  Time now) {
  RequestRow* row = FindAttempt(tables, attempt, now);
  if (!row || !IsFrom(tables, *row->attempt, sender)) {
    tables.actions.push_back(SendToAgent{sender, Cancel{attempt}});
    return;
  }
  if (row->phase == RequestPhase::kOffered ||
      row->phase == RequestPhase::kResuming) {
    NoteServed(tables, *row, sender.incarnation, RequestPhase::kAccepted, now);
  }
}

RequestRow* FindGang(EntryTables& tables, const AttemptId& attempt) {
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
  TryPlace(tables, row, now);
}

void DropRequest(EntryTables& tables, const RequestId& request, Time now) {
  const auto it = tables.requests.find(request);
  if (it != tables.requests.end()) {
    DropRow(tables, it->second, now);
  }
}

void OnOfferReply(EntryTables& tables,
                  const PeerId& sender,
                  const OfferReply& reply,
                  Time now) {
  if (reply.verdict == Verdict::kAccepted) {
    NoteAccepted(tables, sender, reply.attempt, now);
  } else {
    NoteEnd(tables, sender, reply.attempt, reply.failure, now);
  }
}

void OnHoldReply(EntryTables& tables,
                 const PeerId& sender,
                 const HoldReply& reply,
                 Time now) {
  RequestRow* row = FindGang(tables, reply.attempt);
  if (!row) {
    if (reply.verdict == Verdict::kAccepted) {
      tables.actions.push_back(SendToAgent{sender, HoldRelease{reply.attempt}});
    }
    return;
  }
  const bool kept = NoteHoldReply(tables, *row->gang, sender, reply, now);
  if (!kept && row->attempt) {
    LoseGang(tables, *row, now);
  } else if (!kept) {
    WaitForRoom(tables, *row, now);
  } else if (row->phase == RequestPhase::kHolding) {
    ContinueGang(tables, *row, now);
  }
}

void OnFinish(EntryTables& tables,
              const PeerId& sender,
              const Finish& finish,
              Time now) {
  if (finish.failure.code != ErrorCode::kNone) {
    NoteEnd(tables, sender, finish.attempt, finish.failure, now);
    return;
  }
  RequestRow* row = FindAttempt(tables, finish.attempt, now);
  if (row && IsFrom(tables, *row->attempt, sender)) {
    NoteFinished(tables, *row, finish, now);
  } else {
    const Failure ran{ErrorCode::kNone, Outcome::kRan, Duration(0)};
    ConfirmAbandoned(tables, sender, finish.attempt, ran);
  }
}

// Progress that is reported for an attempt that was given up still counts: the
// session has these chunks, and later attempts leave them out.
void NoteProgress(EntryTables& tables,
                  const AttemptId& attempt,
                  uint32_t next_chunk,
                  Time now) {
  RequestRow* row = FindOpen(tables, attempt.request, now);
  if (!row || next_chunk <= row->next_chunk) {
    return;
  }
  row->next_chunk = next_chunk;
  if (!row->attempt || attempt != row->attempt->id) {
    return;
  }
  if (row->attempt->finish) {
    row->attempt->resuming_since = now;
    CompleteIfWhole(tables, *row);
    return;
  }
  if (MayComeFromOldRun(tables, *row, now)) {
    return;
  }
  const Incarnation run = tables.fleet.rows[row->attempt->slot].incarnation;
  NoteServed(tables, *row, run, RequestPhase::kRunning, now);
}

void NoteSendFailed(EntryTables& tables, const AttemptId& attempt, Time now) {
  RequestRow* row = FindAttempt(tables, attempt, now);
  if (!row || row->attempt->serving != Incarnation()) {
    return;
  }
  const TargetRow& target = tables.fleet.rows[row->attempt->slot];
  MarkUnreachable(tables, target.info.instance, now);
  RetryAfterSendFailure(tables, *row, now);
}

void UpdateRequests(EntryTables& tables, Time now) {
  for (auto it = tables.requests.begin(); it != tables.requests.end();) {
    RequestRow& row = it->second;
    ++it;  // The update may erase the row.
    UpdateRow(tables, row, now);
  }
}

}  // namespace burdockhatch
