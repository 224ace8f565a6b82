#include "src/entry_core.h"

#include <utility>

#include "src/account_limits.h"
#include "src/entry_blame.h"
#include "src/entry_dump.h"
#include "src/entry_tables.h"
#include "src/fleet_table.h"
#include "src/membership.h"
#include "src/request_admission.h"
#include "src/request_end.h"
#include "src/requests.h"
#include "src/retry_budget.h"

namespace burdockhatch {

namespace {

// In a fleet of 750 targets, checking all of them on every tick would account
// for a large part of an entry's control cost.
constexpr Duration kMembershipInterval = std::chrono::milliseconds(50);

// Whether the message is addressed to another incarnation of this entry and
// must be dropped. Heartbeats apply to every incarnation.
bool IsForOtherIncarnation(const EntryTables& tables, const Message& message) {
  if (std::holds_alternative<Heartbeat>(message.body)) {
    return false;
  }
  return message.receiver != Incarnation() &&
         message.receiver != tables.options.self.incarnation;
}

// Returns the sender's state, or null if the body carries none.
const AgentState* ReportedState(const MessageBody& body) {
  if (const auto* reply = std::get_if<OfferReply>(&body)) {
    return &reply->state;
  }
  if (const auto* reply = std::get_if<HoldReply>(&body)) {
    return &reply->state;
  }
  if (const auto* finish = std::get_if<Finish>(&body)) {
    return &finish->state;
  }
  const auto* report = std::get_if<LoadReport>(&body);
  return report ? &report->state : nullptr;
}

void ApplyReportedState(EntryTables& tables, const Message& message, Time now) {
  const AgentState* state = ReportedState(message.body);
  const auto slot = tables.fleet.by_instance.find(message.sender.instance);
  if (!state || slot == tables.fleet.by_instance.end()) {
    return;
  }
  ApplyAgentState(tables.fleet, slot->second, message.sender.incarnation,
                  *state);
  RefreshAvailability(tables.fleet, slot->second, now);
}

// An entry that has just started knows of no blame.
void SendBlameToEntry(EntryTables& tables, const PeerId& peer, Time now) {
  if (!tables.entries.contains(peer.instance)) {
    return;
  }
  BlameReport known = tables.blame.Export(now);
  if (!known.records.empty()) {
    tables.actions.push_back(SendMessage{peer, std::move(known)});
  }
}

// Passes each message type to its handler. Types that do not affect an entry's
// decisions are ignored.
struct MessageHandler {
  EntryTables& tables;
  const PeerId& sender;
  SenderIncarnation sender_incarnation;
  Time now;

  void operator()(const OfferReply& body) const {
    OnOfferReply(tables, sender, body, now);
  }
  void operator()(const HoldReply& body) const {
    OnHoldReply(tables, sender, body, now);
  }
  void operator()(const Finish& body) const {
    OnFinish(tables, sender, body, now);
  }
  void operator()(const ShareRequest& body) const {
    OnShareRequest(tables, sender, body, now);
  }
  void operator()(const ShareGrant& body) const {
    ApplyShareGrant(tables.limits, sender.instance, body, now);
  }
  void operator()(const Heartbeat& body) const {
    if (sender_incarnation != SenderIncarnation::kStale) {
      OnHeartbeat(tables, sender, body, now);
    }
  }
  void operator()(const BlameReport& body) const {
    tables.blame.Merge(body, now);
  }
  void operator()(const Goodbye&) const {
    if (sender_incarnation != SenderIncarnation::kStale) {
      OnGoodbye(tables, sender, now);
    }
  }
  template <class Other>
  void operator()(const Other&) const {}
};

}  // namespace

EntryCore::EntryCore(EntryOptions options)
    : tables_(std::make_unique<EntryTables>()) {
  tables_->random = Random(options.seed);
  tables_->blame = CrashBlame(options.crash_blame);
  tables_->options = std::move(options);
}

EntryCore::~EntryCore() = default;

void EntryCore::Tick(Time now) {
  if (now >= tables_->next_membership_update) {
    tables_->next_membership_update = now + kMembershipInterval;
    UpdateMembership(*tables_, now);
  }
  UpdateAccountLimits(*tables_, now);
  UpdateRequests(*tables_, now);
  ResendCancels(*tables_, now);
  tables_->blame.Prune(now);
  SpreadBlame(*tables_, now);
  RepeatBlame(*tables_, now);
}

void EntryCore::OnRequest(RequestSpec spec, Time now) {
  StartRequest(*tables_, std::move(spec), now);
}

void EntryCore::OnCallerGone(const RequestId& request, Time now) {
  CancelRequest(*tables_, request, now);
}

void EntryCore::OnMessage(const Message& message, Time now) {
  if (IsForOtherIncarnation(*tables_, message)) {
    return;
  }
  const SenderIncarnation sender_incarnation =
      RecordMessageFrom(*tables_, message.sender, now);
  ApplyReportedState(*tables_, message, now);
  std::visit(MessageHandler{*tables_, message.sender, sender_incarnation, now},
             message.body);
  if (sender_incarnation == SenderIncarnation::kNew) {
    SendBlameToEntry(*tables_, message.sender, now);
    UpdateRequests(*tables_, now);
  }
  SpreadBlame(*tables_, now);
}

void EntryCore::OnProgress(const AttemptId& attempt,
                           uint32_t next_chunk,
                           Time now) {
  RecordProgress(*tables_, attempt, next_chunk, now);
  SpreadBlame(*tables_, now);
}

void EntryCore::OnSendFailed(const AttemptId& attempt, Time now) {
  HandleSendFailure(*tables_, attempt, now);
}

void EntryCore::OnInstances(const std::vector<InstanceInfo>& instances,
                            Time now) {
  ApplyInstanceList(*tables_, instances, now);
}

void EntryCore::OnPeerUnreachable(const InstanceId& instance, Time now) {
  MarkUnreachable(*tables_, instance, now);
  UpdateRequests(*tables_, now);
}

// Ignores configurations that are not newer than the current one.
void EntryCore::OnConfig(FleetConfigPtr config, Time now) {
  if (!config ||
      (tables_->config && config->version <= tables_->config->version)) {
    return;
  }
  tables_->config = std::move(config);
  ApplyWithdrawals(*tables_, now);
  ChooseSubset(*tables_, now);
  PruneRetryBudgets(tables_->retries, *tables_->config);
}

void EntryCore::OnStopPlanned(Time work_ends_at) {
  tables_->work_ends_at = work_ends_at;
}

void EntryCore::BeginDrain(Time now) {
  tables_->draining = true;
}

bool EntryCore::IsDrained() const {
  return tables_->draining && tables_->requests.empty();
}

size_t EntryCore::EndOpenRequests(Time now) {
  size_t ended = 0;
  while (!tables_->requests.empty()) {
    RequestRow& row = tables_->requests.begin()->second;
    const bool not_run = KnownOutcome(row) == Outcome::kNotRun;
    FailRow(*tables_, row,
            not_run ? ErrorCode::kNotReady : ErrorCode::kOutcomeUnknown,
            not_run ? kNotReadyRetryAfter : Duration(0), now);
    ++ended;
  }
  return ended;
}

std::vector<EntryAction> EntryCore::TakeActions() {
  return std::exchange(tables_->actions, {});
}

std::string EntryCore::Dump(Time now) const {
  return DumpEntry(*tables_, now);
}

}  // namespace burdockhatch
