#include "tests/entry_driver.h"

#include <algorithm>
#include <utility>

namespace burdockhatch {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);

EntryOptions Options(uint64_t seed) {
  EntryOptions options;
  options.self = {InstanceId("entry-1"), Incarnation(7)};
  options.data_centre = DataCentreId("dc-a");
  options.region = RegionId("region");
  options.seed = seed;
  return options;
}

// Tokens that an offer books at the leader of its gang.
int64_t LeaderTokens(const Offer& offer) {
  int64_t tokens = (offer.prompt_tokens + offer.max_output_tokens).value();
  for (const GangMember& it : offer.members) {
    tokens -= it.tokens.value();
  }
  return tokens;
}

// Memory booked by holds and by prompts of length class kHuge, in tokens.
int64_t HugeTokens(const FakeAgent& agent, const AttemptId& except) {
  int64_t tokens = 0;
  for (const auto& [id, hold] : agent.holds) {
    tokens += id == except ? 0 : hold.tokens;
  }
  for (const auto& [id, it] : agent.attempts) {
    const bool huge =
        ClassifyPromptLength(it.offer.prompt_tokens) == LengthClass::kHuge;
    tokens += huge && !it.ended ? LeaderTokens(it.offer) : 0;
  }
  return tokens;
}

// Whether a hold or a huge prompt fits into the half of the memory reserved for
// them.
bool FitsHuge(const FakeAgent& agent, const AttemptId& id, int64_t tokens) {
  return HugeTokens(agent, id) + tokens <= agent.memory_total / 2;
}

}  // namespace

std::string ChunkText(const RequestId& request, uint32_t index) {
  return ToString(request) + ":" + std::to_string(index) + " ";
}

EntryDriver::EntryDriver(uint64_t seed, EntryFaultPlan faults)
    : random_(seed), faults_(faults), core_(Options(seed)) {
  config_.version = ConfigVersion(0);
  config_.models[ModelId("model")] = {};
  config_.services[ServiceId("service")] = {};
  ClientAccountConfig account;
  account.limit = TokensPerSecond(100'000'000);
  account.burst = Tokens(100'000'000);
  config_.accounts[ClientAccountId("account")] = account;
}

FakeAgent& EntryDriver::AddAgent(const std::string& name,
                                 const std::string& data_centre,
                                 const std::string& model,
                                 const std::string& service) {
  FakeAgent agent;
  agent.info.instance = InstanceId(name);
  agent.info.role = Role::kAgent;
  agent.info.region = RegionId("region");
  agent.info.data_centre = DataCentreId(data_centre);
  agent.info.address = "127.0.0.1:" + std::to_string(9000 + agents_.size());
  agent.info.target = TargetId("target-" + name);
  agent.info.model = ModelId(model);
  agent.info.service = ServiceId(service);
  agents_.reserve(64);
  agents_.push_back(agent);
  return agents_.back();
}

void EntryDriver::Start() {
  PushConfig();
  PushInstances();
  const EntryFaultPlan faults = std::exchange(faults_, {});
  Run(std::chrono::milliseconds(1200));
  faults_ = faults;
}

void EntryDriver::PushConfig() {
  config_.version = config_.version.Next();
  core_.OnConfig(std::make_shared<FleetConfig>(config_), Now());
  TakeActions();
}

void EntryDriver::PushInstances() {
  std::vector<InstanceInfo> list;
  for (const FakeAgent& it : agents_) {
    list.push_back(it.info);
  }
  core_.OnInstances(list, Now());
  TakeActions();
}

RequestSpec EntryDriver::Completion(int64_t tokens, Duration timeout) {
  RequestSpec spec;
  spec.account = ClientAccountId("account");
  spec.model = ModelId("model");
  spec.prompt_tokens = Tokens(tokens);
  spec.max_output_tokens = Tokens(100);
  spec.deadline = Now() + timeout;
  return spec;
}

RequestSpec EntryDriver::ServiceCall(bool repeatable, Duration timeout) {
  RequestSpec spec;
  spec.account = ClientAccountId("account");
  spec.kind = WorkKind::kServiceCall;
  spec.service = ServiceId("service");
  spec.prompt_tokens = Tokens(10);
  spec.deadline = Now() + timeout;
  spec.repeatable = repeatable;
  spec.method = repeatable ? "GET" : "POST";
  spec.path = "/";
  return spec;
}

RequestId EntryDriver::Submit(RequestSpec spec) {
  spec.request = {1, next_request_++};
  const RequestId id = spec.request;
  records_[id].spec = spec;
  core_.OnRequest(std::move(spec), Now());
  TakeActions();
  return id;
}

FakeAgent& EntryDriver::agent(const std::string& name) {
  return *std::find_if(agents_.begin(), agents_.end(), [&](const auto& it) {
    return it.info.instance.value() == name;
  });
}

const RequestEnd* EntryDriver::FirstEnd(const RequestId& request) const {
  const RequestRecord& record = records_.at(request);
  return record.ends.empty() ? nullptr : &record.ends.front();
}

void EntryDriver::Run(Duration length) {
  const Time end = Now() + length;
  while (Now() < end) {
    clock_.Advance(kTick);
    for (FakeAgent& it : agents_) {
      StepFaults(it);
      StepAgent(it);
    }
    DeliverDue();
    core_.Tick(Now());
    TakeActions();
  }
}

size_t EntryDriver::EndOpenRequests() {
  const size_t ended = core_.EndOpenRequests(Now());
  TakeActions();
  return ended;
}

void EntryDriver::Drain() {
  core_.BeginDrain(Now());
  TakeActions();
}

void EntryDriver::Deliver(const FakeAgent& agent, MessageBody body) {
  Message message;
  message.sender = {agent.info.instance, agent.incarnation};
  message.body = std::move(body);
  DeliverToEntry(message);
}

AgentState EntryDriver::NextStateOf(FakeAgent& agent) {
  AgentState state;
  state.sequence = ++agent.sequence;
  state.target = agent.info.target;
  state.data_centre = agent.info.data_centre;
  state.model = agent.info.model;
  state.service = agent.info.service;
  state.ready = agent.ready;
  state.draining = agent.draining;
  state.withdrawn = agent.withdrawn;
  state.memory_total = Tokens(agent.memory_total);
  state.memory_free = Tokens(agent.memory_total - HugeTokens(agent, {}));
  state.warm_budget = Tokens(agent.warm_budget);
  state.full_budget = Tokens(100'000);
  state.in_flight = Tokens(agent.reported_load);
  state.expected_wait = agent.expected_wait;
  state.prefill_rate = TokensPerSecond(100'000);
  state.cached_prefixes = agent.cached_prefixes;
  return state;
}

Duration EntryDriver::RandomTransitTime() {
  const uint64_t range = RandomChance(faults_.late)
                             ? static_cast<uint64_t>(kLongestDelay.count())
                             : 4000;
  return Duration(500 + static_cast<int64_t>(random_.UniformBelow(range)));
}

void EntryDriver::Send(Packet packet) {
  const int copies = RandomChance(faults_.lost)         ? 0
                     : RandomChance(faults_.duplicated) ? 2
                                                        : 1;
  for (int i = 0; i < copies; ++i) {
    packet.at = Now() + RandomTransitTime();
    packet.order = ++packet_order_;
    packets_.push_back(packet);
  }
}

void EntryDriver::SendToEntry(FakeAgent& agent, MessageBody body) {
  Packet packet;
  packet.to_entry = true;
  packet.message.sender = {agent.info.instance, agent.incarnation};
  packet.message.body = std::move(body);
  Send(std::move(packet));
}

// Whether the configuration, the instance list or the agent states delivered so
// far show that the target is unusable.
bool EntryDriver::KnownUnusable(const InstanceId& instance) const {
  const FleetTable& fleet = core_.tables().fleet;
  const auto slot = fleet.by_instance.find(instance);
  if (slot == fleet.by_instance.end()) {
    return true;
  }
  const TargetRow& row = fleet.rows[slot->second];
  const FleetConfig& config = *core_.tables().config;
  return config.withdrawn_targets.contains(row.info.target) ||
         config.withdrawn_data_centres.contains(row.info.data_centre) ||
         row.info.state == InstanceState::kLeaving || !row.state ||
         !row.state->ready || row.state->draining || row.state->withdrawn;
}

void EntryDriver::OnOfferSent(const SendOffer& action) {
  RequestRecord& record = records_.at(action.offer.attempt.request);
  record.current_attempt = action.offer.attempt;
  record.buffered_chunks.clear();
  record.offers.push_back({Now(), action.offer.attempt, action.to.instance,
                           action.offer.first_chunk,
                           KnownUnusable(action.to.instance)});
  if (RandomChance(faults_.unsent)) {
    core_.OnSendFailed(action.offer.attempt, Now());
    return;
  }
  Packet packet;
  packet.to = action.to.instance;
  packet.receiver = action.to.incarnation;
  packet.message.body = action.offer;
  Send(std::move(packet));
}

void EntryDriver::TakeActions() {
  for (auto actions = core_.TakeActions(); !actions.empty();
       actions = core_.TakeActions()) {
    for (EntryAction& it : actions) {
      if (const auto* offer = std::get_if<SendOffer>(&it)) {
        OnOfferSent(*offer);
      } else if (const auto* send = std::get_if<SendMessage>(&it)) {
        sent_.push_back(*send);
        Packet packet;
        packet.to = send->to.instance;
        packet.receiver = send->to.incarnation;
        packet.message.body = send->body;
        Send(std::move(packet));
      } else if (const auto* done = std::get_if<CompleteRequest>(&it)) {
        records_.at(done->request)
            .ends.push_back({Now(), true, {}, done->chunk_count});
      } else if (const auto* failed = std::get_if<FailRequest>(&it)) {
        records_.at(failed->request)
            .ends.push_back({Now(), false, failed->failure, 0});
      } else {
        connection_actions_.push_back(it);
      }
    }
  }
}

void EntryDriver::DeliverDue() {
  std::vector<Packet> due;
  std::erase_if(packets_, [&](Packet& it) {
    if (it.at > Now()) {
      return false;
    }
    due.push_back(std::move(it));
    return true;
  });
  std::sort(due.begin(), due.end(), [](const Packet& a, const Packet& b) {
    return a.at != b.at ? a.at < b.at : a.order < b.order;
  });
  for (const Packet& it : due) {
    if (it.to_entry) {
      DeliverToEntry(it.message);
    } else {
      DeliverToAgent(it);
    }
  }
}

void EntryDriver::DeliverToEntry(const Message& message) {
  if (const auto* chunk = std::get_if<Chunk>(&message.body)) {
    OnChunk(*chunk);
  } else {
    core_.OnMessage(message, Now());
  }
  TakeActions();
}

void EntryDriver::OnChunk(const Chunk& chunk) {
  RequestRecord& record = records_.at(chunk.attempt.request);
  if (record.current_attempt != chunk.attempt || !record.ends.empty()) {
    return;
  }
  record.buffered_chunks[chunk.index] = chunk.data;
  for (auto it = record.buffered_chunks.find(record.answer_chunks);
       it != record.buffered_chunks.end();
       it = record.buffered_chunks.find(record.answer_chunks)) {
    record.answer += it->second;
    ++record.answer_chunks;
  }
  core_.OnProgress(chunk.attempt, record.answer_chunks, Now());
}

void EntryDriver::DeliverToAgent(const Packet& packet) {
  const auto it = std::find_if(
      agents_.begin(), agents_.end(),
      [&](const auto& agent) { return agent.info.instance == packet.to; });
  if (it == agents_.end() || !it->alive) {
    return;
  }
  if (it->paused_until > Now()) {
    Packet later = packet;
    later.at = it->paused_until;
    packets_.push_back(later);
    return;
  }
  FakeAgent& agent = *it;
  const MessageBody& body = packet.message.body;
  if (const auto* resume = std::get_if<Resume>(&body)) {
    OnResume(agent, *resume);
    return;
  }
  if (const auto* subscribe = std::get_if<Subscribe>(&body)) {
    agent.subscribed_until = Now() + subscribe->ttl;
    return;
  }
  if (packet.receiver != Incarnation() &&
      packet.receiver != agent.incarnation) {
    return;
  }
  if (const auto* offer = std::get_if<Offer>(&body)) {
    OnOffer(agent, *offer);
  } else if (const auto* cancel = std::get_if<Cancel>(&body)) {
    OnCancel(agent, *cancel);
  } else if (const auto* hold = std::get_if<Hold>(&body)) {
    OnHold(agent, *hold);
  } else if (const auto* release = std::get_if<HoldRelease>(&body)) {
    agent.holds.erase(release->attempt);
  }
}

void EntryDriver::Refuse(FakeAgent& agent,
                         const AttemptId& attempt,
                         ErrorCode code) {
  agent.tombstones.insert(attempt);
  OfferReply reply;
  reply.attempt = attempt;
  reply.verdict = Verdict::kRefused;
  reply.failure = {code, Outcome::kNotRun, agent.retry_after};
  reply.state = NextStateOf(agent);
  SendToEntry(agent, reply);
}

void EntryDriver::OnOffer(FakeAgent& agent, const Offer& offer) {
  if (agent.tombstones.contains(offer.attempt)) {
    Refuse(agent, offer.attempt, ErrorCode::kTargetNotReady);
    return;
  }
  if (!agent.attempts.contains(offer.attempt)) {
    if (agent.draining) {
      Refuse(agent, offer.attempt, ErrorCode::kTargetDraining);
      return;
    }
    if (agent.withdrawn) {
      Refuse(agent, offer.attempt, ErrorCode::kTargetWithdrawn);
      return;
    }
    if (agent.refuse_all != ErrorCode::kNone) {
      Refuse(agent, offer.attempt, agent.refuse_all);
      return;
    }
    const bool huge =
        ClassifyPromptLength(offer.prompt_tokens) == LengthClass::kHuge;
    if (huge && !FitsHuge(agent, offer.attempt, LeaderTokens(offer))) {
      Refuse(agent, offer.attempt, ErrorCode::kOverloaded);
      return;
    }
    if (RandomChance(faults_.refused)) {
      Refuse(agent, offer.attempt,
             RandomChance(0.5) ? ErrorCode::kOverloaded
                               : ErrorCode::kTargetNotReady);
      return;
    }
    FakeAttempt attempt;
    attempt.offer = offer;
    attempt.chunks = std::max(agent.chunks_per_answer, offer.first_chunk);
    attempt.next_chunk_index = offer.first_chunk;
    attempt.next_chunk_at = Now() + agent.chunk_interval;
    agent.attempts[offer.attempt] = attempt;
    records_.at(offer.attempt.request)
        .dispatches.push_back({Now(), offer.attempt, agent.info.instance});
  }
  if (agent.replies_suppressed) {
    return;
  }
  OfferReply reply;
  reply.attempt = offer.attempt;
  reply.verdict = Verdict::kAccepted;
  reply.state = NextStateOf(agent);
  SendToEntry(agent, reply);
}

// An unknown attempt was not dispatched by this incarnation of the agent, which
// cannot know what an earlier incarnation dispatched.
void EntryDriver::OnResume(FakeAgent& agent, const Resume& resume) {
  const auto it = agent.attempts.find(resume.attempt);
  if (it == agent.attempts.end()) {
    Refuse(agent, resume.attempt, ErrorCode::kTargetFailed);
    return;
  }
  if (agent.replies_suppressed) {
    return;
  }
  FakeAttempt& attempt = it->second;
  attempt.relay_active = true;
  for (uint32_t i = resume.next_chunk; i < attempt.next_chunk_index; ++i) {
    SendToEntry(agent, Chunk{resume.attempt, i, 1,
                             ChunkText(resume.attempt.request, i)});
  }
  if (attempt.ended) {
    SendFinish(agent, resume.attempt, attempt);
    return;
  }
  OfferReply reply;
  reply.attempt = resume.attempt;
  reply.verdict = Verdict::kAccepted;
  reply.state = NextStateOf(agent);
  SendToEntry(agent, reply);
}

void EntryDriver::OnCancel(FakeAgent& agent, const Cancel& cancel) {
  const auto it = agent.attempts.find(cancel.attempt);
  if (it == agent.attempts.end()) {
    Refuse(agent, cancel.attempt, ErrorCode::kTargetFailed);
    return;
  }
  if (!it->second.ended) {
    it->second.ended = true;
    it->second.failure = {ErrorCode::kTargetFailed, Outcome::kUnknown, {}};
  }
  SendFinish(agent, cancel.attempt, it->second);
}

void EntryDriver::OnHold(FakeAgent& agent, const Hold& hold) {
  HoldReply reply;
  reply.attempt = hold.attempt;
  const bool fits = FitsHuge(agent, hold.attempt, hold.tokens.value());
  const bool refused = agent.refuse_all != ErrorCode::kNone || agent.draining;
  reply.verdict = fits && !refused ? Verdict::kAccepted : Verdict::kRefused;
  if (reply.verdict == Verdict::kAccepted) {
    agent.holds[hold.attempt] = {hold.tokens.value(), Now() + hold.ttl};
  } else {
    reply.failure = {ErrorCode::kOverloaded, Outcome::kNotRun, {}};
  }
  reply.state = NextStateOf(agent);
  SendToEntry(agent, reply);
}

void EntryDriver::SendFinish(FakeAgent& agent,
                             const AttemptId& id,
                             const FakeAttempt& it) {
  Finish finish;
  finish.attempt = id;
  finish.chunk_count = it.chunks;
  finish.failure = it.failure;
  finish.state = NextStateOf(agent);
  SendToEntry(agent, finish);
}

void EntryDriver::StepAttempt(FakeAgent& agent,
                              const AttemptId& id,
                              FakeAttempt& it) {
  if (it.ended || !it.relay_active || it.next_chunk_at > Now()) {
    return;
  }
  it.next_chunk_at = Now() + agent.chunk_interval;
  if (RandomChance(faults_.failed_streams)) {
    it.ended = true;
    it.failure = {ErrorCode::kTargetFailed, Outcome::kUnknown, {}};
    SendFinish(agent, id, it);
    return;
  }
  const bool crashes = std::any_of(
      it.offer.prefix_hashes.begin(), it.offer.prefix_hashes.end(),
      [&](uint64_t hash) { return agent.crashing_prefixes.contains(hash); });
  if (crashes) {
    CrashEngine(agent);
    return;
  }
  if (it.next_chunk_index < it.chunks) {
    const uint32_t index = it.next_chunk_index++;
    if (!agent.odd_chunks_lost || index % 2 == 0) {
      SendToEntry(agent, Chunk{id, index, 1, ChunkText(id.request, index)});
    }
    return;
  }
  it.ended = true;
  SendFinish(agent, id, it);
}

void EntryDriver::CrashEngine(FakeAgent& agent) {
  ++agent.crashes;
  for (auto& [id, it] : agent.attempts) {
    if (!it.ended) {
      it.ended = true;
      it.failure = {ErrorCode::kTargetFailed, Outcome::kUnknown, {}};
      SendFinish(agent, id, it);
    }
  }
}

void EntryDriver::StepAgent(FakeAgent& agent) {
  if (!agent.alive || agent.paused_until > Now()) {
    return;
  }
  std::erase_if(agent.holds,
                [&](const auto& it) { return it.second.until <= Now(); });
  for (auto& [id, it] : agent.attempts) {
    if (!agent.replies_suppressed) {
      StepAttempt(agent, id, it);
    }
  }
  if (agent.subscribed_until > Now() && agent.next_report <= Now()) {
    agent.next_report = Now() + std::chrono::seconds(1);
    SendToEntry(agent, LoadReport{NextStateOf(agent)});
  }
}

void EntryDriver::Restart(FakeAgent& agent, bool streams_survive) {
  agent.incarnation = agent.incarnation.Next();
  agent.sequence = 0;
  agent.tombstones.clear();
  agent.holds.clear();
  agent.subscribed_until = Time();
  if (!streams_survive) {
    agent.attempts.clear();
  }
  for (auto& [id, it] : agent.attempts) {
    it.relay_active = false;
  }
}

void EntryDriver::StepFaults(FakeAgent& agent) {
  constexpr double kTicksPerSecond = 100;
  if (!agent.alive) {
    if (agent.alive_again_at <= Now()) {
      agent.alive = true;
      Restart(agent, agent.streams_survive);
    }
    return;
  }
  if (RandomChance(faults_.restarts_per_s / kTicksPerSecond)) {
    Restart(agent, RandomChance(0.5));
  }
  if (RandomChance(faults_.deaths_per_s / kTicksPerSecond)) {
    agent.alive = false;
    agent.streams_survive = RandomChance(0.3);
    agent.alive_again_at =
        Now() + Duration(static_cast<int64_t>(random_.UniformBelow(8'000'000)));
  }
  if (RandomChance(faults_.pauses_per_s / kTicksPerSecond)) {
    agent.paused_until =
        Now() + Duration(static_cast<int64_t>(random_.UniformBelow(6'000'000)));
  }
}

}  // namespace burdockhatch
