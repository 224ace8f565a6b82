#include "src/placement_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "src/log.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Agents that an entry keeps a connection to: the one that decides and those
// that would take over.
constexpr size_t kConnectedAgents = 3;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
// While requests wait at the lead its silence shows sooner.
constexpr Duration kBusyHeartbeatInterval = std::chrono::milliseconds(100);
// Two heartbeats lost and one on its way.
constexpr Duration kAgentTimeout = std::chrono::milliseconds(1'300);
// Many times the round trip in one region; a first event is due after 300 ms.
constexpr Duration kAskTimeout = std::chrono::milliseconds(80);
constexpr Duration kQueuedTimeout = std::chrono::milliseconds(350);
// All entries have asked a new lead, or sent it their snapshot, by then.
constexpr Duration kLeadSettles = std::chrono::seconds(3);
// Changes of the targets reach the lead within this time, from one entry.
constexpr Duration kListSpread = std::chrono::milliseconds(300);
constexpr Duration kSnapshotInterval = std::chrono::seconds(1);

}  // namespace

PlacementClient::PlacementClient(PeerId self,
                                 Heartbeat heartbeat,
                                 PlacementBus* bus)
    : self_(std::move(self)), heartbeat_(std::move(heartbeat)), bus_(bus) {}

bool PlacementClient::IsAlive(const Agent& agent, Time now) {
  return !agent.suspect && agent.last_heard != Time() &&
         now - agent.last_heard < kAgentTimeout;
}

void PlacementClient::SetAgents(std::vector<AgentEndpoint> agents, Time now) {
  if (agents.size() > kConnectedAgents) {
    agents.resize(kConnectedAgents);
  }
  std::vector<Agent> next;
  for (AgentEndpoint& it : agents) {
    const auto known =
        std::find_if(agents_.begin(), agents_.end(),
                     [&](const Agent& agent) { return agent.address == it; });
    if (known != agents_.end()) {
      next.push_back(std::move(*known));
      agents_.erase(known);
      continue;
    }
    bus_->Connect(it.instance, it.bus_address);
    Agent agent;
    agent.address = std::move(it);
    next.push_back(std::move(agent));
  }
  for (const Agent& it : agents_) {
    const bool stays =
        std::any_of(next.begin(), next.end(), [&](const Agent& agent) {
          return agent.address.instance == it.address.instance;
        });
    if (!stays) {
      bus_->Disconnect(it.address.instance);
    }
  }
  agents_ = std::move(next);
  ChooseLead(now);
}

void PlacementClient::SetTargets(TargetList list, Time now) {
  local_.SetTargets(list, now);
  KnownList& known = lists_[list.service];
  known.fingerprint = TargetListFingerprint(list);
  known.list = std::move(list);
  if (!known.send_at) {
    const auto spread = static_cast<uint64_t>(kListSpread.count());
    known.send_at = now + Duration(static_cast<int64_t>(
                              StableHash(self_.instance.value()) % spread));
  }
  TakeLocalDecisions(now);
}

// All entries see a change at about the same time. Those that come later find
// that the lead knows it already.
void PlacementClient::SendChangedLists(Time now) {
  for (auto& [service, known] : lists_) {
    if (!known.send_at || now < *known.send_at) {
      continue;
    }
    known.send_at.reset();
    if (!lead_.empty() && known.lead_fingerprint != known.fingerprint) {
      known.lead_fingerprint = known.fingerprint;
      bus_->Send(lead_, known.list);
    }
  }
}

void PlacementClient::RequestPlacement(
    PlacementAsk ask,
    std::function<void(const PlacementReply&)> done,
    Time now) {
  Pending& pending = pending_[ask.number];
  pending.first_event_by = now + ask.first_event_left;
  pending.ends_at = now + ask.time_left;
  pending.ask = std::move(ask);
  pending.done = std::move(done);
  SendAsk(pending, now);
  TakeLocalDecisions(now);
}

void PlacementClient::SendAsk(Pending& pending, Time now) {
  pending.asked_at = now;
  pending.queued = false;
  pending.ask.first_event_left = pending.first_event_by - now;
  pending.ask.time_left = std::max(pending.ends_at - now, Duration(0));
  if (lead_.empty()) {
    local_.RequestPlacement(self_, pending.ask, now);
  } else {
    bus_->Send(lead_, pending.ask);
  }
}

void PlacementClient::ReportEvent(uint64_t number,
                                  PlacementEvent event,
                                  const TargetId& failed,
                                  Time now) {
  const PlacementChange change{number, event, failed};
  if (event != PlacementEvent::kFirstEvent) {
    pending_.erase(number);
  }
  local_.ApplyChange(self_, change, now);
  if (!lead_.empty()) {
    bus_->Send(lead_, change);
  }
  TakeLocalDecisions(now);
}

void PlacementClient::OnMessage(const Message& message, Time now) {
  const auto agent =
      std::find_if(agents_.begin(), agents_.end(), [&](const Agent& it) {
        return it.address.instance == message.sender.instance;
      });
  if (agent == agents_.end()) {
    return;
  }
  const bool restarted = agent->incarnation != Incarnation() &&
                         agent->incarnation != message.sender.incarnation;
  agent->incarnation = message.sender.incarnation;
  agent->last_heard = now;
  agent->suspect = false;
  if (std::holds_alternative<Goodbye>(message.body)) {
    agent->suspect = true;
    agent->last_heard = Time();
  }
  const bool is_lead = message.sender.instance == lead_;
  if (is_lead && restarted) {
    MakeLead(lead_, now);
  }
  if (const auto* reply = std::get_if<PlacementReply>(&message.body);
      reply != nullptr && is_lead) {
    OnReply(*reply, now);
  }
  ChooseLead(now);
  TakeLocalDecisions(now);
}

void PlacementClient::OnReply(const PlacementReply& reply, Time now) {
  // A new lead has not yet heard all entries.
  if (reply.entries >= entries_ || now - lead_since_ > kLeadSettles) {
    entries_ = std::max(reply.entries, 1U);
  }
  const auto it = pending_.find(reply.number);
  if (it != pending_.end() && reply.list_fingerprint != 0) {
    lists_[it->second.ask.service].lead_fingerprint = reply.list_fingerprint;
  }
  if (it == pending_.end()) {
    // The request has ended meanwhile; the lead must not count it on.
    if (reply.verdict == PlacementVerdict::kPlaced) {
      const PlacementSnapshot own = local_.MakeSnapshot(self_);
      const bool known = std::any_of(
          own.works.begin(), own.works.end(),
          [&](const PlacedWork& work) { return work.number == reply.number; });
      if (!known) {
        bus_->Send(lead_, PlacementChange{reply.number, PlacementEvent::kEnded,
                                          TargetId()});
      }
    }
    return;
  }
  Pending& pending = it->second;
  switch (reply.verdict) {
    case PlacementVerdict::kQueued:
      pending.queued = true;
      return;
    case PlacementVerdict::kUnknownList: {
      const auto list = lists_.find(pending.ask.service);
      if (list != lists_.end()) {
        bus_->Send(lead_, list->second.list);
        SendAsk(pending, now);
        return;
      }
      PlacementReply refusal;
      refusal.number = reply.number;
      Complete(reply.number, refusal, now);
      return;
    }
    case PlacementVerdict::kPlaced:
    case PlacementVerdict::kRefused:
      Complete(reply.number, reply, now);
  }
}

void PlacementClient::Complete(uint64_t number,
                               const PlacementReply& reply,
                               Time now) {
  auto node = pending_.extract(number);
  if (node.empty()) {
    return;
  }
  const Pending& pending = node.mapped();
  if (reply.verdict == PlacementVerdict::kPlaced) {
    PlacedWork work;
    work.number = number;
    work.service = pending.ask.service;
    work.target = reply.target;
    work.helpers = reply.helpers;
    work.holds = reply.holds;
    work.prompt = pending.ask.prompt;
    work.output = pending.ask.output;
    work.gap_target = pending.ask.gap_target;
    local_.Adopt(self_, work, now);
  }
  pending.done(reply);
}

void PlacementClient::TakeLocalDecisions(Time now) {
  // Completing a request may ask for another one.
  for (auto list = local_.TakeDecisions(); !list.empty();
       list = local_.TakeDecisions()) {
    for (const auto& it : list) {
      PlacementReply reply = it.reply;
      if (reply.verdict == PlacementVerdict::kQueued) {
        continue;
      }
      if (reply.verdict == PlacementVerdict::kUnknownList) {
        reply.verdict = PlacementVerdict::kRefused;
      }
      Complete(reply.number, reply, now);
    }
  }
}

void PlacementClient::OnUnreachable(const InstanceId& peer, Time now) {
  for (Agent& it : agents_) {
    if (it.address.instance == peer && it.last_heard != Time()) {
      it.suspect = true;
    }
  }
  ChooseLead(now);
  TakeLocalDecisions(now);
}

void PlacementClient::ChooseLead(Time now) {
  const auto alive =
      std::find_if(agents_.begin(), agents_.end(),
                   [now](const Agent& agent) { return IsAlive(agent, now); });
  const InstanceId best =
      alive == agents_.end() ? InstanceId() : alive->address.instance;
  if (best != lead_) {
    Log(LogLevel::kInfo, "placement_lead_changed",
        {{"from", lead_.empty() ? "self" : lead_.value()},
         {"to", best.empty() ? "self" : best.value()},
         {"waiting", std::to_string(pending_.size())}});
    MakeLead(best, now);
  }
}

void PlacementClient::MakeLead(const InstanceId& agent, Time now) {
  lead_ = agent;
  lead_since_ = now;
  next_snapshot_ = now + kSnapshotInterval;
  if (!lead_.empty()) {
    for (auto& [service, known] : lists_) {
      known.lead_fingerprint = known.fingerprint;
      known.send_at.reset();
      bus_->Send(lead_, known.list);
    }
    bus_->Send(lead_, local_.MakeSnapshot(self_));
  }
  for (auto& [number, pending] : pending_) {
    // Ends what the local scheduler still has waiting of it.
    local_.ApplyChange(self_, {number, PlacementEvent::kEnded, TargetId()},
                       now);
    SendAsk(pending, now);
  }
}

void PlacementClient::Tick(Time now) {
  const bool waits = !pending_.empty() && !lead_.empty();
  bool lead_is_silent = false;
  Time waits_since = now;
  for (const auto& [number, pending] : pending_) {
    lead_is_silent = lead_is_silent ||
                     (!pending.queued && now - pending.asked_at > kAskTimeout);
    waits_since = std::min(waits_since, pending.asked_at);
  }
  for (Agent& it : agents_) {
    const bool is_lead = it.address.instance == lead_;
    const Duration interval =
        is_lead && waits ? kBusyHeartbeatInterval : kHeartbeatInterval;
    // A reply tells as much as the answer to a heartbeat, and a busy agent has
    // better to do.
    if (now - std::max(it.last_heard, it.last_asked) >= interval) {
      it.last_asked = now;
      bus_->Send(it.address.instance, heartbeat_);
    }
    if (is_lead && waits &&
        (lead_is_silent ||
         now - std::max(it.last_heard, waits_since) > kQueuedTimeout)) {
      Log(LogLevel::kWarning, "placement_lead_silent",
          {{"agent", lead_.value()},
           {"silent_ms",
            std::to_string((now - it.last_heard).count() / 1'000)}});
      it.suspect = true;
    }
  }
  ChooseLead(now);
  SendChangedLists(now);
  if (!lead_.empty() && now >= next_snapshot_) {
    next_snapshot_ = now + kSnapshotInterval;
    bus_->Send(lead_, local_.MakeSnapshot(self_));
  }
  if (lead_.empty()) {
    local_.Tick(now);
  }
  TakeLocalDecisions(now);
}

std::string PlacementClient::Dump(Time now) const {
  std::string agents;
  for (const Agent& it : agents_) {
    const int64_t age =
        it.last_heard == Time() ? -1 : (now - it.last_heard).count() / 1'000;
    agents += fmt::format(
        "{}{{\"agent\":\"{}\",\"heard_ms_ago\":{},"
        "\"suspect\":{}}}",
        agents.empty() ? "" : ",", it.address.instance.value(), age,
        it.suspect);
  }
  return fmt::format(
      "{{\"lead\":\"{}\",\"waiting\":{},\"agents\":[{}],\"own\":{}}}",
      lead_.value(), pending_.size(), agents, local_.Dump(now));
}

}  // namespace burdockhatch
