#include "src/agent_core.h"

#include <algorithm>
#include <utility>

#include "src/admission.h"
#include "src/agent_report.h"
#include "src/agent_tables.h"
#include "src/attempts.h"
#include "src/claims.h"
#include "src/dispatch.h"
#include "src/memory_reservations.h"
#include "src/prefix_table.h"
#include "src/reconcile.h"
#include "src/warmup.h"

namespace burdockhatch {

namespace {

// Entries that sent no message for this long are forgotten.
constexpr Duration kEntryRetention = std::chrono::minutes(30);

Tokens FullBudget(const AgentOptions& options) {
  if (options.service.empty()) {
    return options.full_budget;
  }
  return Tokens(options.max_service_calls);
}

// Whether the message is addressed to this incarnation of the agent. Resume and
// Subscribe apply to any incarnation.
bool IsForThisIncarnation(const AgentTables& tables, const Message& message) {
  return message.receiver.value() == 0 ||
         message.receiver == tables.options.self.incarnation ||
         std::holds_alternative<Resume>(message.body) ||
         std::holds_alternative<Subscribe>(message.body);
}

// Records the incarnation of an entry. Returns false for a message from an
// earlier incarnation.
bool UpdateKnownEntry(AgentTables& tables, const PeerId& sender) {
  auto [it, added] = tables.entries.try_emplace(
      sender.instance, KnownEntry{sender.incarnation, tables.now});
  KnownEntry& known = it->second;
  if (sender.incarnation < known.incarnation) {
    return false;
  }
  const PeerId previous{sender.instance, known.incarnation};
  const bool restarted = sender.incarnation > known.incarnation;
  known = {sender.incarnation, tables.now};
  if (restarted) {
    EndWorkOfEntry(tables, previous);
  }
  return true;
}

void HandleOffer(AgentTables& tables,
                 const Message& message,
                 const Offer& offer) {
  const PeerId& from = message.sender;
  if (ReplyToDuplicateOffer(tables, from, offer)) {
    return;
  }
  // The engine already has a stream of this attempt: an earlier incarnation of
  // this agent started it.
  if (FindReservation(tables, StreamReservationId(offer.attempt))) {
    RefuseOffer(tables, from, offer,
                UnknownOutcomeFailure(ErrorCode::kOutcomeUnknown));
    return;
  }
  // The offer may duplicate one that an earlier incarnation of this agent has
  // run.
  if (message.receiver.value() == 0 && !offer.repeatable) {
    RefuseOffer(tables, from, offer,
                UnknownOutcomeFailure(ErrorCode::kOutcomeUnknown));
    return;
  }
  std::optional<Failure> failure = CheckAvailability(tables);
  if (!failure) {
    failure = CheckOffer(tables, offer);
  }
  if (failure) {
    RefuseOffer(tables, from, offer, *failure);
    return;
  }
  const Tokens load = OfferLoad(tables, offer);
  const Duration least = MinServiceTime(tables, offer);
  AcceptedAttempt& attempt = AcceptOffer(tables, from, offer);
  attempt.load = load;
  const Duration wait = kMaxQueueWait[static_cast<int>(attempt.length)];
  attempt.queue_deadline =
      std::min(tables.now + wait, attempt.deadline - least);
  // A gang leader has a hold for its own share until its offer arrives. The
  // memory now goes to its stream.
  if (FindReservation(tables, CacheReservationId(offer.attempt))) {
    ReleaseHold(tables, offer.attempt);
  }
  if (!IsModelEngineAgent(tables) && !offer.repeatable && offer.key) {
    RequestClaim(tables, attempt.id);
  }
}

// Entries repeat a Cancel until a Finish answers it, so each Cancel is
// answered.
void HandleCancel(AgentTables& tables,
                  const PeerId& from,
                  const AttemptId& id) {
  if (FindAttempt(tables, id)) {
    CancelAttempt(tables, id);
    return;
  }
  if (!tables.closed_attempts.contains(id)) {
    BeginRelease(tables, StreamReservationId(id));
    RecordUnknownCancel(tables, from, id);
  }
  ClosedAttempt& closed_attempt = tables.closed_attempts[id];
  closed_attempt.entry = from;
  SendFinish(tables, id, closed_attempt);
}

void HandleMessageBody(AgentTables& tables, const Message& message) {
  const PeerId& from = message.sender;
  if (const auto* offer = std::get_if<Offer>(&message.body)) {
    HandleOffer(tables, message, *offer);
  } else if (const auto* cancel = std::get_if<Cancel>(&message.body)) {
    HandleCancel(tables, from, cancel->attempt);
  } else if (const auto* resume = std::get_if<Resume>(&message.body)) {
    HandleResume(tables, from, *resume);
  } else if (const auto* hold = std::get_if<Hold>(&message.body)) {
    HandleHold(tables, from, *hold);
  } else if (const auto* release = std::get_if<HoldRelease>(&message.body)) {
    ReleaseHold(tables, release->attempt);
  } else if (const auto* subscribe = std::get_if<Subscribe>(&message.body)) {
    AddSubscriber(tables, from, subscribe->ttl);
  } else if (std::holds_alternative<Goodbye>(message.body)) {
    EndWorkOfEntry(tables, from);
  }
}

bool HasNoOpenWork(const AgentTables& tables) {
  const bool holding =
      std::any_of(tables.reservations.begin(), tables.reservations.end(),
                  [](const auto& row) { return !row.second.releasing_since; });
  return tables.attempts.empty() && tables.open_calls.empty() && !holding;
}

// Expires attempts before an event is handled: after a pause of this process, a
// delayed event must not find an attempt past its deadline.
void AdvanceTimeAndExpire(AgentTables& tables, Time now) {
  AdvanceTime(tables, now);
  ExpireAttempts(tables);
}

// Expires, refuses and dispatches attempts after an event, and completes a
// drain.
void ProcessQueues(AgentTables& tables) {
  ExpireAttempts(tables);
  RefuseQueuedIfNotAccepting(tables);
  ProcessClaims(tables);
  DispatchQueued(tables);
  if (tables.draining && !tables.goodbye_sent && HasNoOpenWork(tables)) {
    tables.goodbye_sent = true;
    SendGoodbyes(tables);
  }
}

}  // namespace

AgentCore::AgentCore(AgentOptions options)
    : tables_(std::make_unique<AgentTables>()) {
  tables_->options = std::move(options);
  tables_->memory_total = tables_->options.memory;
  ResetToColdBudget(tables_->warmup, FullBudget(tables_->options));
}

AgentCore::~AgentCore() = default;

void AgentCore::Tick(Time now, UnixSeconds wall_time) {
  AgentTables& tables = *tables_;
  AdvanceTimeAndExpire(tables, now);
  tables.wall_time = wall_time;
  ReleaseExpiredLeases(tables);
  RetryReleases(tables);
  RequestEngineList(tables);
  ReattachStreams(tables);
  EraseExpiredRecords(tables);
  ExpirePrefixes(tables.prefixes, tables.now);
  std::erase_if(tables.entries, [&](const auto& row) {
    return row.second.seen_at + kEntryRetention <= tables.now;
  });
  UpdateThroughputMeter(tables);
  ProcessQueues(tables);
  SendLoadReports(tables);
}

void AgentCore::OnMessage(const Message& message, Time now) {
  AgentTables& tables = *tables_;
  AdvanceTimeAndExpire(tables, now);
  if (!IsForThisIncarnation(tables, message) ||
      !UpdateKnownEntry(tables, message.sender)) {
    return;
  }
  HandleMessageBody(tables, message);
  ProcessQueues(tables);
}

void AgentCore::OnStreamStarted(const StreamId& stream,
                                StartStatus status,
                                Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  HandleStreamStart(*tables_, stream, status);
  ProcessQueues(*tables_);
}

void AgentCore::OnStreamProgress(const StreamId& stream,
                                 uint32_t next_chunk,
                                 Tokens tokens,
                                 Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  HandleStreamProgress(*tables_, stream, next_chunk, tokens);
}

void AgentCore::OnStreamEnded(const StreamId& stream,
                              StreamEnd end,
                              uint32_t chunk_count,
                              Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  HandleStreamEnd(*tables_, stream, end, chunk_count);
  ProcessQueues(*tables_);
}

void AgentCore::OnCacheImported(const StreamId& cache,
                                StartStatus status,
                                Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  HandleCacheImportAnswer(*tables_, cache, status);
}

void AgentCore::OnEngineList(const EngineHoldings* list,
                             Time asked_at,
                             Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  ReconcileWithEngineList(*tables_, list, asked_at);
  ProcessQueues(*tables_);
}

void AgentCore::OnEngineLoad(const EngineLoad* load, Time now) {
  AgentTables& tables = *tables_;
  AdvanceTimeAndExpire(tables, now);
  if (!load) {
    ++tables.unanswered_load_requests;
    return;
  }
  tables.unanswered_load_requests = 0;
  if (load->engine < tables.engine) {
    return;
  }
  UpdateEngineIncarnation(tables, load->engine);
  if (load->memory_total > Tokens(0)) {
    tables.memory_total = load->memory_total;
  }
  ApplyEngineLoad(tables.warmup, *load);
  ProcessQueues(tables);
}

void AgentCore::OnCacheEvents(const std::vector<CacheEvent>& events, Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  ApplyCacheEvents(tables_->prefixes, events, now);
}

void AgentCore::OnServiceProbe(bool healthy, Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  if (!healthy && tables_->service_healthy) {
    FallBackToColdBudget(tables_->warmup);
  }
  tables_->service_healthy = healthy;
  ProcessQueues(*tables_);
}

void AgentCore::OnServiceAnswer(const AttemptId& attempt,
                                ServiceResponse answer,
                                Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  HandleServiceAnswer(*tables_, attempt, std::move(answer));
  ProcessQueues(*tables_);
}

void AgentCore::OnObjectRead(const ObjectName& name,
                             const ObjectReply& reply,
                             Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  OnClaimShardRead(*tables_, name, reply);
  ProcessQueues(*tables_);
}

void AgentCore::OnObjectUpdated(const ObjectName& name,
                                const ObjectReply& reply,
                                Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  OnClaimShardWritten(*tables_, name, reply);
  ProcessQueues(*tables_);
}

void AgentCore::OnConfig(FleetConfigPtr config, Time now) {
  AgentTables& tables = *tables_;
  AdvanceTimeAndExpire(tables, now);
  if (!config || (tables.config && config->version <= tables.config->version)) {
    return;
  }
  tables.config = std::move(config);
  ProcessQueues(tables);
}

void AgentCore::OnPeerGone(const PeerId& peer, Time now) {
  AdvanceTimeAndExpire(*tables_, now);
  EndWorkOfEntry(*tables_, peer);
  ProcessQueues(*tables_);
}

void AgentCore::BeginDrain(Time now) {
  AgentTables& tables = *tables_;
  AdvanceTimeAndExpire(tables, now);
  if (tables.draining) {
    return;
  }
  tables.draining = true;
  SendReportsNow(tables);
  ProcessQueues(tables);
}

bool AgentCore::Drained() const {
  return tables_->draining && HasNoOpenWork(*tables_);
}

AgentState AgentCore::State(Time now) {
  AdvanceTime(*tables_, now);
  return BuildAgentState(*tables_);
}

std::vector<AgentAction> AgentCore::TakeActions() {
  return std::exchange(tables_->actions, {});
}

std::string AgentCore::Dump(Time now) const {
  return DumpTables(*tables_);
}

}  // namespace burdockhatch
