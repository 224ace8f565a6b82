#include "src/request_end.h"

#include "src/entry_blame.h"
#include "src/fleet_table.h"
#include "src/gang.h"

namespace burdockhatch {

namespace {

constexpr Duration kCancelInterval = std::chrono::milliseconds(500);

PeerId CurrentPeer(const TargetRow& row) {
  return {row.info.instance, row.incarnation};
}

void SendCancel(EntryTables& tables,
                const InstanceId& instance,
                const AttemptId& attempt) {
  PeerId to{instance, {}};
  if (const TargetRow* row = FindTarget(tables.fleet, instance)) {
    to = CurrentPeer(*row);
  }
  tables.actions.push_back(SendMessage{to, Cancel{attempt}});
}

void EraseRow(EntryTables& tables, RequestRow& row, Time now) {
  if (row.attempt) {
    AbandonAttempt(tables, row, now);
  }
  EndAttempt(tables, row);
  const RequestId request = row.spec.request;
  tables.requests.erase(request);
}

}  // namespace

bool ProvesNotRun(Incarnation offered_incarnation,
                  Incarnation sender_incarnation,
                  const Failure& failure) {
  return failure.outcome == Outcome::kNotRun &&
         sender_incarnation == offered_incarnation;
}

Outcome KnownOutcome(const RequestRow& row) {
  if (row.attempt && row.attempt->finish) {
    return Outcome::kRan;
  }
  return row.attempt || row.unproven_attempts > 0 ? Outcome::kUnknown
                                                  : Outcome::kNotRun;
}

void EndAttempt(EntryTables& tables, RequestRow& row) {
  if (row.attempt) {
    const EntryAttempt& attempt = *row.attempt;
    RemoveOwnLoad(tables.fleet, attempt.slot, attempt.tokens,
                  attempt.offer_unanswered);
    EndTrialOf(tables, row);
    row.attempt.reset();
  }
  if (row.gang) {
    ReleaseGang(tables, *row.gang);
    row.gang.reset();
  }
}

void AbandonAttempt(EntryTables& tables, RequestRow& row, Time now) {
  const EntryAttempt& attempt = *row.attempt;
  const InstanceId& instance = tables.fleet.rows[attempt.slot].info.instance;
  SendCancel(tables, instance, attempt.id);
  if (row.spec.deadline > now) {
    tables.abandoned_attempts[attempt.id] = {
        instance, attempt.offered_incarnation, row.spec.deadline,
        now + kCancelInterval};
  }
  ++row.unproven_attempts;
  EndAttempt(tables, row);
}

void CompleteRow(EntryTables& tables, RequestRow& row) {
  const Finish& finish = *row.attempt->finish;
  tables.actions.push_back(CompleteRequest{row.spec.request, finish.chunk_count,
                                           finish.http_status,
                                           finish.content_type});
  EndAttempt(tables, row);
  const RequestId request = row.spec.request;
  tables.requests.erase(request);
}

void FailRow(EntryTables& tables,
             RequestRow& row,
             ErrorCode code,
             Duration retry_after,
             Time now) {
  FailRowAsReported(tables, row, {code, KnownOutcome(row), retry_after}, now);
}

void FailRowAsReported(EntryTables& tables,
                       RequestRow& row,
                       const Failure& failure,
                       Time now) {
  tables.actions.push_back(FailRequest{row.spec.request, failure});
  EraseRow(tables, row, now);
}

void CancelRow(EntryTables& tables, RequestRow& row, Time now) {
  EraseRow(tables, row, now);
}

void CloseAbandonedAttempt(EntryTables& tables,
                           const PeerId& sender,
                           const AttemptId& attempt,
                           const Failure& failure) {
  const auto it = tables.abandoned_attempts.find(attempt);
  if (it == tables.abandoned_attempts.end() ||
      it->second.instance != sender.instance) {
    return;
  }
  const auto request = tables.requests.find(attempt.request);
  if (request != tables.requests.end() &&
      ProvesNotRun(it->second.offered_incarnation, sender.incarnation,
                   failure)) {
    --request->second.unproven_attempts;
  }
  tables.abandoned_attempts.erase(it);
}

void ResendCancels(EntryTables& tables, Time now) {
  std::erase_if(tables.abandoned_attempts,
                [&](const auto& it) { return it.second.deadline <= now; });
  for (auto& [attempt, row] : tables.abandoned_attempts) {
    if (now >= row.next_cancel) {
      row.next_cancel = now + kCancelInterval;
      SendCancel(tables, row.instance, attempt);
    }
  }
}

}  // namespace burdockhatch
