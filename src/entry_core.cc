#include "src/entry_core.h"

#include <utility>

#include "src/account_limits.h"
#include "src/entry_dump.h"
#include "src/entry_tables.h"
#include "src/fleet_table.h"
#include "src/membership.h"
#include "src/request_end.h"
#include "src/requests.h"
#include "src/retry_budget.h"

namespace burdockhatch {

namespace {

// A look at all 750 targets on every tick would be a large part of an entry's
// control cost.
constexpr Duration kMembershipInterval = std::chrono::milliseconds(50);

// A message that means an earlier run of this entry is not for this one.
bool MeansOtherRun(const EntryTables& tables, const Message& message) {
  if (std::holds_alternative<Heartbeat>(message.body)) {
    return false;
  }
  return message.receiver != Incarnation() &&
         message.receiver != tables.options.self.incarnation;
}

// The state of the sender, if the body carries one.
const AgentState* StateIn(const MessageBody& body) {
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

void TakeState(EntryTables& tables, const Message& message, Time now) {
  const AgentState* state = StateIn(message.body);
  const auto slot = tables.fleet.by_instance.find(message.sender.instance);
  if (!state || slot == tables.fleet.by_instance.end()) {
    return;
  }
  ApplyAgentState(tables.fleet, slot->second, message.sender.incarnation,
                  *state);
  RefreshStanding(tables.fleet, slot->second, now);
}

// Systems for one kind of body each; what is not for an entry's decisions is
// ignored.
struct Dispatcher {
  EntryTables& tables;
  const PeerId& sender;
  SenderRun heard;
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
    if (heard != SenderRun::kStaleRun) {
      OnHeartbeat(tables, sender, body, now);
    }
  }
  void operator()(const Goodbye&) const {
    if (heard != SenderRun::kStaleRun) {
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
  tables_->options = std::move(options);
}

EntryCore::~EntryCore() = default;

void EntryCore::Tick(Time now) {
  if (now >= tables_->next_membership) {
    tables_->next_membership = now + kMembershipInterval;
    UpdateMembership(*tables_, now);
  }
  UpdateAccountLimits(*tables_, now);
  UpdateRequests(*tables_, now);
  RepeatCancels(*tables_, now);
}

void EntryCore::OnRequest(RequestSpec spec, Time now) {
  StartRequest(*tables_, std::move(spec), now);
}

void EntryCore::OnCallerGone(const RequestId& request, Time now) {
  DropRequest(*tables_, request, now);
}

void EntryCore::OnMessage(const Message& message, Time now) {
  if (MeansOtherRun(*tables_, message)) {
    return;
  }
  const SenderRun heard = RecordMessageFrom(*tables_, message.sender, now);
  TakeState(*tables_, message, now);
  std::visit(Dispatcher{*tables_, message.sender, heard, now}, message.body);
  if (heard == SenderRun::kNewRun) {
    UpdateRequests(*tables_, now);
  }
}

void EntryCore::OnProgress(const AttemptId& attempt,
                           uint32_t next_chunk,
                           Time now) {
  NoteProgress(*tables_, attempt, next_chunk, now);
}

void EntryCore::OnSendFailed(const AttemptId& attempt, Time now) {
  NoteSendFailed(*tables_, attempt, now);
}

void EntryCore::OnInstances(const std::vector<InstanceInfo>& instances,
                            Time now) {
  ApplyInstanceList(*tables_, instances, now);
}

void EntryCore::OnPeerUnreachable(const InstanceId& instance, Time now) {
  MarkUnreachable(*tables_, instance, now);
  UpdateRequests(*tables_, now);
}

// A configuration never reverts.
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

void EntryCore::BeginDrain(Time now) {
  tables_->draining = true;
}

bool EntryCore::Drained() const {
  return tables_->draining && tables_->requests.empty();
}

std::vector<EntryAction> EntryCore::TakeActions() {
  return std::exchange(tables_->actions, {});
}

std::string EntryCore::Dump(Time now) const {
  return DumpEntry(*tables_, now);
}

}  // namespace burdockhatch
