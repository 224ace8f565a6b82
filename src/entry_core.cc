#include "src/entry_core.h"

#include <utility>

#include "src/entry_tables.h"

namespace burdockhatch {

namespace {

constexpr Duration kSubscribeTtl = std::chrono::seconds(30);

void Fail(EntryTables& tables, const RequestId& request, Failure failure) {
  tables.requests.erase(request);
  tables.actions.push_back(FailRequest{request, failure});
}

const KnownAgent* ChooseAgent(const EntryTables& tables,
                              const RequestSpec& spec) {
  for (const auto& [instance, agent] : tables.agents) {
    if (agent.info.model == spec.model && agent.info.service == spec.service &&
        agent.info.state == InstanceState::kLive) {
      return &agent;
    }
  }
  return nullptr;
}

void SendFirstOffer(EntryTables& tables, OpenRequest& row, Time now) {
  Offer offer;
  offer.attempt = row.attempt;
  offer.kind = row.spec.kind;
  offer.account = row.spec.account;
  offer.model = row.spec.model;
  offer.service = row.spec.service;
  offer.prompt_tokens = row.spec.prompt_tokens;
  offer.max_output_tokens = row.spec.max_output_tokens;
  offer.prefix_hashes = row.spec.prefix_hashes;
  offer.time_left = row.spec.deadline - now;
  offer.repeatable = row.spec.repeatable;
  offer.key = row.spec.key;
  offer.method = row.spec.method;
  offer.path = row.spec.path;
  tables.actions.push_back(SendOffer{row.agent, std::move(offer)});
}

void CompleteIfWhole(EntryTables& tables, OpenRequest& row) {
  if (!row.finish || row.next_chunk < row.finish->chunk_count) {
    return;
  }
  const RequestId request = row.spec.request;
  tables.actions.push_back(CompleteRequest{request, row.finish->chunk_count,
                                           row.finish->http_status,
                                           row.finish->content_type});
  tables.requests.erase(request);
}

OpenRequest* FindAttempt(EntryTables& tables, const AttemptId& attempt) {
  const auto it = tables.requests.find(attempt.request);
  if (it == tables.requests.end() || it->second.attempt != attempt) {
    return nullptr;
  }
  return &it->second;
}

void OnOfferReply(EntryTables& tables, const OfferReply& reply) {
  OpenRequest* row = FindAttempt(tables, reply.attempt);
  if (row && reply.verdict == Verdict::kRefused) {
    Fail(tables, row->spec.request, reply.failure);
  }
}

void OnFinish(EntryTables& tables, const Finish& finish) {
  OpenRequest* row = FindAttempt(tables, finish.attempt);
  if (!row) {
    return;
  }
  if (finish.failure.code != ErrorCode::kNone) {
    Fail(tables, row->spec.request, finish.failure);
    return;
  }
  row->finish = finish;
  CompleteIfWhole(tables, *row);
}

}  // namespace

EntryCore::EntryCore(EntryOptions options)
    : tables_(std::make_unique<EntryTables>()) {
  tables_->options = std::move(options);
}

EntryCore::~EntryCore() = default;

void EntryCore::Tick(Time now) {
  std::vector<RequestId> expired;
  for (const auto& [request, row] : tables_->requests) {
    if (row.spec.deadline <= now) {
      expired.push_back(request);
    }
  }
  for (const RequestId& it : expired) {
    Fail(*tables_, it, {ErrorCode::kDeadlineExceeded, Outcome::kUnknown, {}});
  }
}

void EntryCore::OnRequest(RequestSpec spec, Time now) {
  if (!tables_->config || tables_->draining) {
    Fail(*tables_, spec.request, {ErrorCode::kNotReady, Outcome::kNotRun, {}});
    return;
  }
  const KnownAgent* agent = ChooseAgent(*tables_, spec);
  if (!agent) {
    Fail(*tables_, spec.request, {ErrorCode::kNoTarget, Outcome::kNotRun, {}});
    return;
  }
  OpenRequest row;
  row.attempt = {spec.request, AttemptNumber(1)};
  row.agent = {agent->info.instance, agent->incarnation};
  row.spec = std::move(spec);
  OpenRequest& stored = tables_->requests[row.spec.request] = std::move(row);
  SendFirstOffer(*tables_, stored, now);
}

void EntryCore::OnCallerGone(const RequestId& request, Time now) {
  const auto it = tables_->requests.find(request);
  if (it == tables_->requests.end()) {
    return;
  }
  tables_->actions.push_back(
      SendToAgent{it->second.agent, Cancel{it->second.attempt}});
  tables_->requests.erase(it);
}

void EntryCore::OnMessage(const Message& message, Time now) {
  const auto agent = tables_->agents.find(message.sender.instance);
  if (agent != tables_->agents.end()) {
    agent->second.incarnation = message.sender.incarnation;
  }
  if (const auto* reply = std::get_if<OfferReply>(&message.body)) {
    OnOfferReply(*tables_, *reply);
  } else if (const auto* finish = std::get_if<Finish>(&message.body)) {
    OnFinish(*tables_, *finish);
  }
}

void EntryCore::OnProgress(const AttemptId& attempt,
                           uint32_t next_chunk,
                           Time now) {
  if (OpenRequest* row = FindAttempt(*tables_, attempt)) {
    row->next_chunk = next_chunk;
    CompleteIfWhole(*tables_, *row);
  }
}

void EntryCore::OnSendFailed(const AttemptId& attempt, Time now) {
  if (OpenRequest* row = FindAttempt(*tables_, attempt)) {
    Fail(*tables_, row->spec.request,
         {ErrorCode::kTargetFailed, Outcome::kNotRun, {}});
  }
}

void EntryCore::OnInstances(const std::vector<InstanceInfo>& instances,
                            Time now) {
  for (const InstanceInfo& it : instances) {
    if (it.role != Role::kAgent) {
      continue;
    }
    KnownAgent& agent = tables_->agents[it.instance];
    if (agent.info.address != it.address) {
      tables_->actions.push_back(ConnectPeer{it.instance, it.address});
      tables_->actions.push_back(SendToAgent{{it.instance, agent.incarnation},
                                             Subscribe{kSubscribeTtl}});
    }
    agent.info = it;
  }
}

void EntryCore::OnPeerUnreachable(const InstanceId& instance, Time now) {}

void EntryCore::OnConfig(FleetConfigPtr config, Time now) {
  tables_->config = std::move(config);
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
  return "{}";
}

}  // namespace burdockhatch
