#include "src/placement_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "src/fleet_size.h"
#include "src/log.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Agents to which an entry stays connected: the leader and its possible
// successors.
constexpr size_t kConnectedAgents = PlacementScheduler::kMaxLeaders;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
// Shorter interval while requests are pending at the leader, to detect its
// silence sooner.
constexpr Duration kBusyHeartbeatInterval = std::chrono::milliseconds(100);
// Interval for an agent that has not replied yet. The bus drops messages until
// its connection is established, so the first heartbeat is usually lost.
constexpr Duration kFirstHeartbeatInterval = std::chrono::milliseconds(50);
// Time after which an agent that has never replied is probably gone.
constexpr Duration kFirstReplyTime = std::chrono::seconds(2);
// Silence after which an agent counts as dead. Allows for two lost heartbeats
// and one in flight.
constexpr Duration kAgentTimeout = std::chrono::milliseconds(1'300);
// Time without a reply to a placement ask after which the leader counts as
// silent. Many times the round trip within a region, and short enough that
// another agent can place the request well before its first event, which is due
// after 300 ms.
constexpr Duration kAskReplyTimeout = std::chrono::milliseconds(80);
// Silence of the leader, while requests are pending there, after which it is
// replaced: more than three busy heartbeat intervals.
constexpr Duration kBusyLeaderSilenceTimeout = std::chrono::milliseconds(350);
// Time until all entries have sent a new leader a request or their snapshot.
constexpr Duration kLeaderSettleTime = std::chrono::seconds(3);
// The entries spread the sending of a changed target list over this time. The
// change reaches the leader within it, usually from a single entry.
constexpr Duration kListSendSpread = std::chrono::milliseconds(300);
constexpr Duration kSnapshotInterval = std::chrono::seconds(1);
// How long an entry without a leader expects the next one.
constexpr Duration kExpectedLeaderTime = std::chrono::seconds(3);
// How long an entry that has just learned its agents waits for the first of
// them before it places requests with parts itself: it does not know which are
// blocked.
constexpr Duration kFirstLeaderWait = std::chrono::milliseconds(200);

}  // namespace

PlacementClient::PlacementClient(PeerId self,
                                 Heartbeat heartbeat,
                                 PlacementBus* bus,
                                 const CrashBlameLimits& blame_limits,
                                 const TargetSignalLimits& signal_limits)
    : self_(std::move(self)),
      heartbeat_(std::move(heartbeat)),
      bus_(bus),
      local_scheduler_(blame_limits, signal_limits) {
  local_scheduler_.SetExpectsLeader(true);
  SetLocalRateShare(Time());
}

bool PlacementClient::IsAlive(const Agent& agent, Time now) {
  return !agent.suspect && agent.last_heard != Time() &&
         now - agent.last_heard < kAgentTimeout;
}

void PlacementClient::SetAgents(std::vector<AgentEndpoint> agents, Time now) {
  if (agents.size() > kConnectedAgents) {
    agents.resize(kConnectedAgents);
  }
  std::vector<Agent> next;
  size_t known = 0;
  for (AgentEndpoint& it : agents) {
    const auto known_agent =
        std::find_if(agents_.begin(), agents_.end(),
                     [&](const Agent& agent) { return agent.endpoint == it; });
    if (known_agent != agents_.end()) {
      next.push_back(std::move(*known_agent));
      agents_.erase(known_agent);
      ++known;
      continue;
    }
    bus_->Connect(it.instance, it.bus_address);
    Agent agent;
    agent.endpoint = std::move(it);
    agent.connected_at = now;
    next.push_back(std::move(agent));
  }
  for (const Agent& it : agents_) {
    const bool stays =
        std::any_of(next.begin(), next.end(), [&](const Agent& agent) {
          return agent.endpoint.instance == it.endpoint.instance;
        });
    if (!stays) {
      bus_->Disconnect(it.endpoint.instance);
    }
  }
  const bool changed = !agents_.empty() || next.size() != known;
  agents_ = std::move(next);
  if (first_agents_at_ == Time() && !agents_.empty()) {
    first_agents_at_ = now;
    leader_since_ = now;
  }
  SelectLeader(now);
  if (changed) {
    OnAgentsChanged(now);
  }
}

void PlacementClient::SetTargets(TargetList list, Time now) {
  local_scheduler_.SetTargets(list, now);
  TargetListState& list_state = target_lists_[list.service];
  list_state.fingerprint = TargetListFingerprint(list);
  list_state.list = std::move(list);
  if (!list_state.send_due_at) {
    const auto spread = static_cast<uint64_t>(kListSendSpread.count());
    list_state.send_due_at =
        now + Duration(static_cast<int64_t>(StableHash(self_.instance.value()) %
                                            spread));
  }
  ProcessLocalDecisions(now);
}

// All entries see a change at about the same time. Those whose turn is later
// find that the leader already has the list.
void PlacementClient::SendChangedLists(Time now) {
  for (auto& [service, list_state] : target_lists_) {
    if (!list_state.send_due_at || now < *list_state.send_due_at) {
      continue;
    }
    list_state.send_due_at.reset();
    if (!leader_.empty() &&
        list_state.leader_fingerprint != list_state.fingerprint) {
      list_state.leader_fingerprint = list_state.fingerprint;
      bus_->Send(leader_, list_state.list);
    }
  }
}

void PlacementClient::RequestPlacement(
    PlacementAsk ask,
    std::function<void(const PlacementReply&)> done,
    Time now) {
  // A leader that has just started may not know of the block yet.
  const CrashBlame::Decision decision =
      local_scheduler_.blame().Check(ask.parts, ask.number, now, ask.own_mark);
  if (decision.verdict == CrashBlame::Verdict::kBlocked) {
    local_scheduler_.blame().CountRefusal();
    PlacementReply reply;
    reply.number = ask.number;
    reply.verdict = PlacementVerdict::kBlocked;
    reply.retry_after = decision.blocked_left;
    done(reply);
    return;
  }
  Pending& pending = pending_[ask.number];
  pending.first_event_by = now + ask.first_event_left;
  pending.deadline = now + ask.time_left;
  pending.ask = std::move(ask);
  pending.done = std::move(done);
  SendAsk(pending, now);
  ProcessLocalDecisions(now);
}

void PlacementClient::SendAsk(Pending& pending, Time now) {
  pending.asked_at = now;
  pending.queued = false;
  pending.ask.unsettled_left = UnsettledLeft(now);
  pending.ask.first_event_left = pending.first_event_by - now;
  pending.ask.time_left = std::max(pending.deadline - now, Duration(0));
  pending.awaits_first_leader =
      (!pending.ask.parts.empty() || pending.ask.own_mark != PartKey()) &&
      AwaitsFirstLeader(now);
  if (pending.awaits_first_leader) {
    return;
  }
  if (leader_.empty()) {
    local_scheduler_.RequestPlacement(self_, pending.ask, now);
  } else {
    bus_->Send(leader_, pending.ask);
  }
}

bool PlacementClient::AwaitsFirstLeader(Time now) const {
  return !had_leader_ && !agents_.empty() &&
         now < first_agents_at_ + kFirstLeaderWait;
}

// The limit of the local scheduler holds for any number of entries.
Duration PlacementClient::UnsettledLeft(Time now) const {
  return leader_.empty()
             ? Duration(0)
             : std::max(agents_since_ + kSettleTime - now, Duration(0));
}

// Queued requests were sent as settled.
void PlacementClient::OnAgentsChanged(Time now) {
  agents_since_ = now;
  for (auto& [number, pending] : pending_) {
    if (pending.queued && !leader_.empty()) {
      SendAsk(pending, now);
    }
  }
}

void PlacementClient::SetLocalRateShare(Time now) {
  local_scheduler_.SetRateShare(
      kLocalRateShare / reported_entry_count_.value_or(kAssumedEntryCount),
      StableHash(self_.instance.value()), now);
}

void PlacementClient::ReportEvent(uint64_t number,
                                  PlacementEvent event,
                                  const TargetId& failed,
                                  Time now,
                                  Duration first_event_after) {
  const PlacementChange change{number, event, failed, first_event_after};
  if (EndsPlacement(event)) {
    pending_.erase(number);
  }
  local_scheduler_.ApplyChange(self_, change, now);
  if (!leader_.empty()) {
    bus_->Send(leader_, change);
  }
  SendOwnBlame(now);
  ProcessLocalDecisions(now);
}

void PlacementClient::OnResponse(const TargetId& target,
                                 uint64_t started_at,
                                 const TargetSignals& signals,
                                 bool is_answer,
                                 Time sent_at,
                                 Time now) {
  local_scheduler_.OnResponse(self_, target, started_at, signals, is_answer,
                              sent_at, now);
  // Without a leader, the next one is told when it is chosen.
  if (leader_.empty()) {
    return;
  }
  SignalReport news = local_scheduler_.signals().TakeChanges(now);
  if (!news.empty()) {
    bus_->Send(leader_, std::move(news));
  }
}

// A report of another agent than the leader is passed on, so that the leaders
// of different entries learn of each other's targets.
void PlacementClient::OnSignalReport(const PeerId& sender,
                                     const SignalReport& report,
                                     bool from_leader,
                                     Time now) {
  SignalReport news = local_scheduler_.MergeSignals(sender, report, now);
  if (!from_leader && !leader_.empty() && !news.empty()) {
    bus_->Send(leader_, std::move(news));
  }
}

// The leader learns of the entry's own crashes through the changes; the other
// agents may lead for other entries. Leaders tell each other of answers, which
// all entries have.
void PlacementClient::SendOwnBlame(Time now) {
  BlameReport news = local_scheduler_.blame().TakeChanges(now);
  news.answered.clear();
  if (news.empty()) {
    return;
  }
  for (const Agent& it : agents_) {
    if (it.endpoint.instance != leader_ && IsAlive(it, now)) {
      bus_->Send(it.endpoint.instance, news);
    }
  }
}

void PlacementClient::OnMessage(const Message& message, Time now) {
  const auto agent =
      std::find_if(agents_.begin(), agents_.end(), [&](const Agent& it) {
        return it.endpoint.instance == message.sender.instance;
      });
  if (agent == agents_.end()) {
    return;
  }
  const bool restarted = agent->incarnation != Incarnation() &&
                         agent->incarnation != message.sender.incarnation;
  const bool is_new = agent->incarnation != message.sender.incarnation;
  agent->incarnation = message.sender.incarnation;
  agent->last_heard = now;
  agent->suspect = false;
  if (std::holds_alternative<Goodbye>(message.body)) {
    agent->suspect = true;
    agent->last_heard = Time();
  }
  if (is_new) {
    OnAgentsChanged(now);
  }
  const bool is_leader = message.sender.instance == leader_;
  if (is_leader && restarted) {
    SetLeader(leader_, now);
  }
  if (const auto* reply = std::get_if<PlacementReply>(&message.body);
      reply != nullptr && is_leader) {
    OnReply(*reply, now);
  }
  if (const auto* report = std::get_if<BlameReport>(&message.body)) {
    OnBlameReport(*report, is_leader, now);
  }
  if (const auto* report = std::get_if<SignalReport>(&message.body)) {
    OnSignalReport(message.sender, *report, is_leader, now);
  }
  SelectLeader(now);
  ProcessLocalDecisions(now);
}

// A report of another agent than the leader is passed on, so that leaders of
// different entries learn of each other's blocks.
void PlacementClient::OnBlameReport(const BlameReport& report,
                                    bool from_leader,
                                    Time now) {
  CrashBlame& blame = local_scheduler_.blame();
  blame.Merge(report, now);
  BlameReport news = blame.TakeChanges(now);
  if (!from_leader && !leader_.empty() && !news.empty()) {
    bus_->Send(leader_, std::move(news));
  }
}

bool PlacementClient::LiftPart(PartKey part, Time now) {
  const bool had = local_scheduler_.blame().Lift(part, now);
  if (!leader_.empty()) {
    BlameReport report;
    report.answered.push_back({part, Duration(0)});
    bus_->Send(leader_, std::move(report));
  }
  return had;
}

void PlacementClient::OnReply(const PlacementReply& reply, Time now) {
  // A new leader has not heard from all entries yet, so its count may be too
  // low.
  if (reply.entries >= entry_count_ ||
      now - leader_since_ > kLeaderSettleTime) {
    entry_count_ = std::max(reply.entries, 1U);
    reported_entry_count_ = entry_count_;
  }
  const auto it = pending_.find(reply.number);
  if (it != pending_.end() && reply.list_fingerprint != 0) {
    target_lists_[it->second.ask.service].leader_fingerprint =
        reply.list_fingerprint;
  }
  if (it == pending_.end()) {
    // The request has ended in the meantime; tells the leader so that it stops
    // counting it.
    if (reply.verdict == PlacementVerdict::kPlaced) {
      const PlacementSnapshot own = local_scheduler_.MakeSnapshot(self_);
      const bool is_tracked = std::any_of(
          own.works.begin(), own.works.end(),
          [&](const PlacedWork& work) { return work.number == reply.number; });
      if (!is_tracked) {
        bus_->Send(
            leader_,
            PlacementChange{reply.number, PlacementEvent::kEnded, TargetId()});
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
      const auto list = target_lists_.find(pending.ask.service);
      if (list != target_lists_.end()) {
        bus_->Send(leader_, list->second.list);
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
    case PlacementVerdict::kBlocked:
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
    work.parts = pending.ask.parts;
    work.own_mark = pending.ask.own_mark;
    local_scheduler_.ImportRequest(self_, work, now);
  }
  pending.done(reply);
}

void PlacementClient::ProcessLocalDecisions(Time now) {
  // Completing a request may place another one.
  for (auto list = local_scheduler_.TakeDecisions(); !list.empty();
       list = local_scheduler_.TakeDecisions()) {
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
    if (it.endpoint.instance == peer && it.last_heard != Time()) {
      it.suspect = true;
    }
  }
  SelectLeader(now);
  ProcessLocalDecisions(now);
}

void PlacementClient::SelectLeader(Time now) {
  const auto alive =
      std::find_if(agents_.begin(), agents_.end(),
                   [now](const Agent& agent) { return IsAlive(agent, now); });
  const InstanceId best =
      alive == agents_.end() ? InstanceId() : alive->endpoint.instance;
  if (best != leader_) {
    Log(LogLevel::kInfo, "placement_lead_changed",
        {{"from", leader_.empty() ? "self" : leader_.value()},
         {"to", best.empty() ? "self" : best.value()},
         {"waiting", std::to_string(pending_.size())}});
    SetLeader(best, now);
  }
}

void PlacementClient::SetLeader(const InstanceId& agent, Time now) {
  leader_ = agent;
  leader_since_ = now;
  had_leader_ = had_leader_ || !leader_.empty();
  // One entry knows too few requests to tell which parts are harmless.
  local_scheduler_.blame().SetJudging(leader_.empty());
  next_snapshot_ = now + kSnapshotInterval;
  if (!leader_.empty()) {
    for (auto& [service, list_state] : target_lists_) {
      list_state.leader_fingerprint = list_state.fingerprint;
      list_state.send_due_at.reset();
      bus_->Send(leader_, list_state.list);
    }
    BlameReport blame = local_scheduler_.blame().Export(now);
    if (!blame.empty()) {
      bus_->Send(leader_, std::move(blame));
    }
    SignalReport signals = local_scheduler_.signals().Export(now);
    if (!signals.empty()) {
      bus_->Send(leader_, std::move(signals));
    }
    bus_->Send(leader_, local_scheduler_.MakeSnapshot(self_));
  } else {
    SetLocalRateShare(now);
    local_scheduler_.SetExpectsLeader(true);
  }
  // The next leader places what it can at once, so it has to hear of the more
  // urgent requests first.
  std::vector<Pending*> waiting;
  for (auto& [number, pending] : pending_) {
    waiting.push_back(&pending);
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const Pending* a, const Pending* b) {
                     return a->ask.priority.value_or(kMiddlePriority) <
                            b->ask.priority.value_or(kMiddlePriority);
                   });
  for (Pending* it : waiting) {
    // Removes the request from the queue of the local scheduler.
    local_scheduler_.ApplyChange(
        self_, {it->ask.number, PlacementEvent::kEnded, TargetId()}, now);
    SendAsk(*it, now);
  }
}

void PlacementClient::Tick(Time now) {
  const bool has_waiting = !pending_.empty() && !leader_.empty();
  bool leader_is_silent = false;
  Time waiting_since = now;
  for (const auto& [number, pending] : pending_) {
    leader_is_silent =
        leader_is_silent ||
        (!pending.queued && now - pending.asked_at > kAskReplyTimeout);
    waiting_since = std::min(waiting_since, pending.asked_at);
  }
  for (Agent& it : agents_) {
    const bool is_leader = it.endpoint.instance == leader_;
    const bool is_new =
        it.last_heard == Time() && now - it.connected_at < kFirstReplyTime;
    const Duration interval = is_new ? kFirstHeartbeatInterval
                              : is_leader && has_waiting
                                  ? kBusyHeartbeatInterval
                                  : kHeartbeatInterval;
    // Any message proves that the agent is alive, so no heartbeat is sent to a
    // busy agent that replies.
    if (now - std::max(it.last_heard, it.last_heartbeat_sent) >= interval) {
      it.last_heartbeat_sent = now;
      bus_->Send(it.endpoint.instance, heartbeat_);
    }
    if (is_leader && has_waiting &&
        (leader_is_silent || now - std::max(it.last_heard, waiting_since) >
                                 kBusyLeaderSilenceTimeout)) {
      Log(LogLevel::kWarning, "placement_lead_silent",
          {{"agent", leader_.value()},
           {"silent_ms",
            std::to_string((now - it.last_heard).count() / 1'000)}});
      it.suspect = true;
    }
  }
  SelectLeader(now);
  local_scheduler_.blame().Prune(now);
  local_scheduler_.signals().Prune(now);
  SendChangedLists(now);
  if (!leader_.empty() && now >= next_snapshot_) {
    next_snapshot_ = now + kSnapshotInterval;
    bus_->Send(leader_, local_scheduler_.MakeSnapshot(self_));
  }
  for (auto& [number, pending] : pending_) {
    if (pending.awaits_first_leader && !AwaitsFirstLeader(now)) {
      SendAsk(pending, now);
    }
  }
  if (leader_.empty()) {
    local_scheduler_.SetExpectsLeader(
        !agents_.empty() && now - leader_since_ < kExpectedLeaderTime);
    local_scheduler_.Tick(now);
  }
  ProcessLocalDecisions(now);
}

std::string PlacementClient::Dump(Time now) const {
  std::string agents;
  for (const Agent& it : agents_) {
    const int64_t age =
        it.last_heard == Time() ? -1 : (now - it.last_heard).count() / 1'000;
    agents += fmt::format(
        "{}{{\"agent\":\"{}\",\"heard_ms_ago\":{},"
        "\"suspect\":{}}}",
        agents.empty() ? "" : ",", it.endpoint.instance.value(), age,
        it.suspect);
  }
  return fmt::format(
      "{{\"lead\":\"{}\",\"waiting\":{},\"agents\":[{}],\"own\":{}}}",
      leader_.value(), pending_.size(), agents, local_scheduler_.Dump(now));
}

}  // namespace burdockhatch
