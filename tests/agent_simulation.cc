#include "tests/agent_simulation.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "src/memory_reservations.h"

namespace burdockhatch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAnswerTimeout = milliseconds(300);
constexpr uint32_t kTokensPerChunk = 10;

Tokens TokensOfSpec(const StreamSpec& spec) {
  return spec.prompt_tokens + spec.max_output_tokens;
}

}  // namespace

std::shared_ptr<FleetConfig> MakeSimulationConfig(uint64_t version) {
  auto config = std::make_shared<FleetConfig>();
  config->version = ConfigVersion(version);
  config->models[ModelId("findings")] = {};
  ServiceConfig service;
  service.claim_shards = 2;
  config->services[ServiceId("orders")] = service;
  return config;
}

SimulatedNode& AgentSimulation::AddEngineAgent(const std::string& name) {
  AgentOptions options;
  options.self = {InstanceId(name), Incarnation(1)};
  options.target = TargetId(name + "-engine");
  options.data_centre = DataCentreId("riga-a");
  options.model = ModelId("findings");
  options.memory = Tokens(450'000);
  options.full_budget = Tokens(400'000);
  options.prefill_rate = TokensPerSecond(50'000);
  return AddNode(options);
}

SimulatedNode& AgentSimulation::AddServiceAgent(const std::string& name) {
  AgentOptions options;
  options.self = {InstanceId(name), Incarnation(1)};
  options.target = TargetId(name + "-service");
  options.data_centre = DataCentreId("riga-a");
  options.service = ServiceId("orders");
  return AddNode(options);
}

SimulatedNode& AgentSimulation::AddNode(AgentOptions options) {
  nodes.push_back(std::make_unique<SimulatedNode>());
  SimulatedNode& node = *nodes.back();
  node.options = std::move(options);
  node.engine.started_at = now();
  if (!config_) {
    config_ = MakeSimulationConfig(1);
  }
  StartCore(node);
  return node;
}

void AgentSimulation::StartCore(SimulatedNode& node) {
  node.core = std::make_unique<AgentCore>(node.options);
  node.core->Tick(now(), clock_.WallNow());
  node.core->OnConfig(config_, now());
  node.core->OnServiceProbe(true, now());
  node.known_peer = node.options.self;
  ExecuteActions(node);
}

void AgentSimulation::ScheduleAfter(Duration delay,
                                    std::function<void()> event) {
  events_.push_back({now() + delay, event_count_++, std::move(event)});
  std::push_heap(events_.begin(), events_.end(),
                 [](const Event& a, const Event& b) {
                   return std::pair(a.at, a.number) > std::pair(b.at, b.number);
                 });
}

void AgentSimulation::Run(Duration time) {
  const Time end = now() + time;
  const auto later = [](const Event& a, const Event& b) {
    return std::pair(a.at, a.number) > std::pair(b.at, b.number);
  };
  Time next_step = now() + kTickInterval;
  while (now() < end) {
    while (!events_.empty() && events_.front().at <= next_step) {
      std::pop_heap(events_.begin(), events_.end(), later);
      Event event = std::move(events_.back());
      events_.pop_back();
      if (event.at > now()) {
        clock_.Advance(event.at - now());
      }
      event.run();
    }
    clock_.Advance(next_step - now());
    for (auto& node : nodes) {
      StepNode(*node);
    }
    next_step = now() + kTickInterval;
  }
}

void AgentSimulation::Deliver(SimulatedNode& node,
                              std::function<void(AgentCore&)> event) {
  const Incarnation run = node.options.self.incarnation;
  auto deliver = [this, &node, run, event = std::move(event)] {
    if (node.options.self.incarnation == run && !node.is_restarting) {
      event(*node.core);
      ExecuteActions(node);
    }
  };
  if (node.paused) {
    node.deferred_events.push_back(std::move(deliver));
  } else {
    deliver();
  }
}

void AgentSimulation::Unpause(SimulatedNode& node) {
  node.paused = false;
  for (auto& event : std::exchange(node.deferred_events, {})) {
    event();
  }
}

void AgentSimulation::StepNode(SimulatedNode& node) {
  StepEngine(node);
  if (node.paused || node.is_restarting) {
    return;
  }
  node.core->Tick(now(), clock_.WallNow());
  if (node.options.service.empty() && node.next_load_report_at <= now()) {
    node.next_load_report_at = now() + seconds(1);
    EngineLoad load;
    load.engine = node.engine.incarnation;
    load.uptime = now() - node.engine.started_at;
    load.completed = node.engine.completed_tokens;
    node.core->OnEngineLoad(&load, now());
  }
  ExecuteActions(node);
}

// Each running stream produces one chunk per step.
void AgentSimulation::StepEngine(SimulatedNode& node) {
  std::vector<StreamId> ended;
  for (auto& [id, stream] : node.engine.streams) {
    if (++stream.produced_chunks >= stream.chunks) {
      ended.push_back(id);
    }
  }
  for (const StreamId& id : ended) {
    node.engine.completed_tokens += node.engine.streams[id].load;
    node.engine.finished[id] = node.engine.streams[id].chunks;
    node.engine.streams.erase(id);
  }
}

void AgentSimulation::RestartAgent(SimulatedNode& node) {
  for (auto& [id, record] : offers) {
    record.interrupted = record.interrupted || record.agent == node.known_peer;
  }
  node.options.self.incarnation = node.options.self.incarnation.Next();
  node.paused = false;
  node.deferred_events.clear();
  node.relays.clear();
  node.is_restarting = true;
  ScheduleAfter(kRestartDelay,
                [this, &node, run = node.options.self.incarnation] {
                  if (node.options.self.incarnation == run) {
                    node.is_restarting = false;
                    StartCore(node);
                  }
                });
}

void AgentSimulation::RestartEngine(SimulatedNode& node) {
  const EngineIncarnation next = node.engine.incarnation.Next();
  node.engine = SimulatedEngine{};
  node.engine.incarnation = next;
  node.engine.started_at = now();
  EndRelays(node, StreamEnd::kConnectionLost);
}

void AgentSimulation::EndRelays(SimulatedNode& node, StreamEnd end) {
  for (const auto& row : std::exchange(node.relays, {})) {
    Deliver(node, [this, stream = row.first, end](AgentCore& core) {
      core.OnStreamEnded(stream, end, 0, now());
    });
  }
}

void AgentSimulation::SetConfig(FleetConfigPtr config) {
  config_ = std::move(config);
  for (auto& node : nodes) {
    Deliver(*node, [this](AgentCore& core) { core.OnConfig(config_, now()); });
  }
}

Offer AgentSimulation::MakeCompletionOffer(Tokens prompt,
                                           Tokens output,
                                           Duration time_left) {
  Offer offer;
  offer.model = ModelId("findings");
  offer.prompt_tokens = prompt;
  offer.max_output_tokens = output;
  offer.time_left = time_left;
  return offer;
}

Offer AgentSimulation::MakeKeyedCallOffer(const std::string& key,
                                          Duration time_left) {
  Offer offer;
  offer.kind = WorkKind::kServiceCall;
  offer.service = ServiceId("orders");
  offer.account = ClientAccountId("agency");
  offer.time_left = time_left;
  offer.repeatable = false;
  offer.method = "POST";
  offer.path = "/permits";
  offer.key = IdempotencyKey(key);
  return offer;
}

AttemptId AgentSimulation::SendOffer(SimulatedNode& node, Offer offer) {
  offer.attempt = {{1, ++request_count_}, AttemptNumber(1)};
  OfferRecord& record = offers[offer.attempt];
  record.offer = offer;
  record.agent = node.known_peer;
  record.deadline = now() + offer.time_left;
  const Message message{entry, node.known_peer.incarnation, ConfigVersion(1),
                        offer};
  // A delayed duplicate may reach a later incarnation of the agent.
  const int copies = Chance(faults.duplicate_offer) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Duration delay = i == 0 ? Duration(0) : Latency() * 2'000;
    ScheduleAfter(delay, [this, &node, message] {
      Deliver(node, [this, message](AgentCore& core) {
        core.OnMessage(message, now());
      });
    });
  }
  return offer.attempt;
}

void AgentSimulation::Send(SimulatedNode& node, MessageBody body) {
  const Message message{entry, node.known_peer.incarnation, ConfigVersion(1),
                        std::move(body)};
  Deliver(node,
          [this, message](AgentCore& core) { core.OnMessage(message, now()); });
}

void AgentSimulation::ExecuteActions(SimulatedNode& node) {
  for (AgentAction& action : node.core->TakeActions()) {
    std::visit([&](auto& a) { Execute(node, a); }, action);
  }
}

void AgentSimulation::Execute(SimulatedNode& node, SendToPeer& action) {
  if (auto* reply = std::get_if<OfferReply>(&action.body)) {
    OfferRecord& record = offers[reply->attempt];
    if (reply->verdict == Verdict::kAccepted) {
      record.accepted_at = record.accepted_at.value_or(now());
    } else {
      ++record.refusals;
      record.reported_not_run =
          record.reported_not_run || reply->failure.outcome == Outcome::kNotRun;
    }
  } else if (auto* finish = std::get_if<Finish>(&action.body)) {
    OfferRecord& record = offers[finish->attempt];
    record.finishes.emplace_back(now(), *finish);
    record.reported_not_run = record.reported_not_run ||
                              (finish->failure.code != ErrorCode::kNone &&
                               finish->failure.outcome == Outcome::kNotRun);
  } else if (auto* chunk = std::get_if<Chunk>(&action.body)) {
    offers[chunk->attempt].chunks.push_back(*chunk);
  } else if (auto* hold = std::get_if<HoldReply>(&action.body)) {
    hold_replies.push_back(*hold);
  } else if (auto* report = std::get_if<LoadReport>(&action.body)) {
    reports.emplace_back(now(), *report);
  } else if (std::holds_alternative<Goodbye>(action.body)) {
    ++goodbyes;
  }
}

void AgentSimulation::Execute(SimulatedNode& node, StartStream& action) {
  ++dispatches[action.attempt];
  if (now() >= offers[action.attempt].deadline) {
    ++late_dispatches;
  }
  if (WorkInFlight(node.core->tables()) > node.core->tables().warmup.budget) {
    ++starts_over_budget;
  }
  const auto answer = [this, &node, id = action.spec.stream](StartStatus status,
                                                             Duration delay) {
    ScheduleAfter(delay, [this, &node, id, status] {
      Deliver(node, [this, id, status](AgentCore& core) {
        core.OnStreamStarted(id, status, now());
      });
    });
  };
  const auto arrive = [this, &node, action](Duration delay) {
    const EngineIncarnation run = node.engine.incarnation;
    ScheduleAfter(delay, [this, &node, action, run] {
      if (node.engine.incarnation == run) {
        StartStreamAtEngine(node, action);
      }
    });
  };
  if (Chance(faults.start_not_sent)) {
    answer(StartStatus::kNotSent, Latency());
  } else if (Chance(faults.start_refused)) {
    answer(StartStatus::kRefused, Latency());
  } else if (Chance(faults.start_lost)) {
    answer(StartStatus::kUnknown, kAnswerTimeout);
  } else if (Chance(faults.start_late)) {
    answer(StartStatus::kUnknown, kAnswerTimeout);
    arrive(kAnswerTimeout + milliseconds(100 + random_.UniformBelow(600)));
  } else if (Chance(faults.start_answer_lost)) {
    arrive(Latency());
    answer(StartStatus::kUnknown, kAnswerTimeout);
  } else {
    const bool slow = faults.start_slow > 0 && Chance(faults.start_slow);
    const Duration silence = slow ? seconds(1) : seconds(0);
    arrive(silence + Latency());
    answer(StartStatus::kStarted, silence + Latency() + milliseconds(3));
    ScheduleAfter(
        silence + milliseconds(8),
        [this, &node, id = action.spec.stream, from = action.spec.first_chunk] {
          if (node.engine.streams.contains(id) ||
              node.engine.finished.contains(id)) {
            Relay(node, id, from);
          }
        });
  }
}

void AgentSimulation::StartStreamAtEngine(SimulatedNode& node,
                                          const StartStream& action) {
  const StreamSpec& spec = action.spec;
  ++executions[action.attempt];
  SimulatedStream stream;
  stream.memory = TokensOfSpec(spec);
  stream.load = TokensOfSpec(spec);
  const auto output = static_cast<uint32_t>(spec.max_output_tokens.value());
  stream.chunks = spec.first_chunk + output / kTokensPerChunk + 1;
  stream.produced_chunks = spec.first_chunk;
  if (Chance(faults.stream_hangs)) {
    stream.chunks = std::numeric_limits<uint32_t>::max();
  }
  Tokens held = stream.memory;
  for (const auto& [id, other] : node.engine.streams) {
    held += other.memory;
  }
  if (held > node.options.memory) {
    ++starts_over_memory;
  }
  node.engine.streams[spec.stream] = stream;
}

void AgentSimulation::Relay(SimulatedNode& node,
                            const StreamId& stream,
                            uint32_t from) {
  const uint64_t relay = ++node.relay_count;
  node.relays[stream] = relay;
  ContinueRelay(node, stream, from, relay);
}

void AgentSimulation::ContinueRelay(SimulatedNode& node,
                                    const StreamId& stream,
                                    uint32_t from,
                                    uint64_t relay) {
  auto current = node.relays.find(stream);
  if (current == node.relays.end() || current->second != relay) {
    return;
  }
  const auto end = [&](StreamEnd how, uint32_t chunks) {
    node.relays.erase(stream);
    Deliver(node, [this, stream, how, chunks](AgentCore& core) {
      core.OnStreamEnded(stream, how, chunks, now());
    });
  };
  if (Chance(faults.end_lost)) {
    end(StreamEnd::kConnectionLost, 0);
    return;
  }
  auto finished = node.engine.finished.find(stream);
  if (finished != node.engine.finished.end()) {
    end(StreamEnd::kComplete, finished->second);
    return;
  }
  auto running = node.engine.streams.find(stream);
  if (running == node.engine.streams.end()) {
    end(StreamEnd::kNotFound, 0);
    return;
  }
  const uint32_t next = std::max(from, running->second.produced_chunks);
  Deliver(node, [this, stream, next](AgentCore& core) {
    core.OnStreamProgress(stream, next, Tokens(next * kTokensPerChunk), now());
  });
  ScheduleAfter(milliseconds(20), [this, &node, stream, next, relay] {
    ContinueRelay(node, stream, next, relay);
  });
}

void AgentSimulation::Execute(SimulatedNode& node, AttachStream& action) {
  node.relays[action.stream] = ++node.relay_count;
  ScheduleAfter(Latency(), [this, &node, action, relay = node.relay_count] {
    ContinueRelay(node, action.stream, action.next_chunk, relay);
  });
}

void AgentSimulation::Execute(SimulatedNode& node, CancelStream& action) {
  ++cancels;
  if (!Chance(faults.cancel_lost)) {
    ScheduleAfter(Latency(), [&node, id = action.stream] {
      node.engine.streams.erase(id);
    });
  }
}

void AgentSimulation::Execute(SimulatedNode& node, ImportCacheAction& action) {
  const bool lost = Chance(faults.start_lost);
  if (!lost) {
    node.engine.caches[action.cache] = action.memory;
  }
  const bool unknown = lost || Chance(faults.start_answer_lost);
  ScheduleAfter(
      unknown ? kAnswerTimeout : Latency(), [this, &node, action, unknown] {
        Deliver(node, [this, action, unknown](AgentCore& core) {
          core.OnCacheImported(
              action.cache,
              unknown ? StartStatus::kUnknown : StartStatus::kStarted, now());
        });
      });
}

void AgentSimulation::Execute(SimulatedNode& node, ReleaseCacheAction& action) {
  if (!Chance(faults.cancel_lost)) {
    node.engine.caches.erase(action.cache);
  }
}

void AgentSimulation::Execute(SimulatedNode& node, ListEngine& action) {
  const Time asked_at = now();
  if (Chance(faults.list_lost)) {
    ScheduleAfter(kAnswerTimeout, [this, &node, asked_at] {
      Deliver(node, [this, asked_at](AgentCore& core) {
        core.OnEngineList(nullptr, asked_at, now());
      });
    });
    return;
  }
  ScheduleAfter(Latency(), [this, &node, asked_at] {
    EngineHoldings list;
    list.engine = node.engine.incarnation;
    for (const auto& [id, stream] : node.engine.streams) {
      list.holdings.push_back({id, stream.memory, false});
    }
    for (const auto& [id, memory] : node.engine.caches) {
      list.holdings.push_back({id, memory, true});
    }
    ScheduleAfter(Latency(), [this, &node, list, asked_at] {
      Deliver(node, [this, list, asked_at](AgentCore& core) {
        core.OnEngineList(&list, asked_at, now());
      });
    });
  });
}

void AgentSimulation::Execute(SimulatedNode& node, DispatchCall& action) {
  ++dispatches[action.attempt];
  if (WorkInFlight(node.core->tables()) > node.core->tables().warmup.budget) {
    ++starts_over_budget;
  }
  const bool not_sent =
      Chance(faults.call_not_sent) || now() >= action.not_after;
  if (now() >= action.not_after) {
    ++late_dispatches;
  }
  const bool lost = Chance(faults.call_lost);
  const bool refused = !not_sent && service_back_off > Duration(0);
  if (!not_sent && !refused) {
    ++executions[action.attempt];
    if (action.request.key) {
      ++key_executions[action.request.key->value()];
    }
  }
  ServiceResponse answer;
  answer.status = not_sent ? CallStatus::kNotSent
                  : lost   ? CallStatus::kUnknown
                           : CallStatus::kAnswered;
  answer.http_status = refused ? 503 : 200;
  answer.back_off = refused ? service_back_off : Duration(0);
  answer.content_type = "text/plain";
  answer.body = "permit of " + ToString(action.attempt);
  const bool slow = Chance(faults.call_slow);
  const Duration delay = not_sent ? Duration(0)
                         : slow   ? milliseconds(3'000)
                                  : milliseconds(20);
  ScheduleAfter(delay, [this, &node, id = action.attempt, answer] {
    Deliver(node, [this, id, answer](AgentCore& core) {
      core.OnServiceAnswer(id, answer, now());
    });
  });
}

void AgentSimulation::Execute(SimulatedNode& node, ReadObject& action) {
  ObjectReply reply;
  Duration delay = Latency();
  if (faults.outage || Chance(faults.object_lost)) {
    delay = kAnswerTimeout;
  } else if (auto it = objects.find(action.name); it != objects.end()) {
    reply = {ObjectStatus::kOk, it->second.version, it->second.value};
  } else {
    reply.status = ObjectStatus::kNotFound;
  }
  ScheduleAfter(delay, [this, &node, name = action.name, reply] {
    Deliver(node, [this, name, reply](AgentCore& core) {
      core.OnObjectRead(name, reply, now());
    });
  });
}

ObjectReply AgentSimulation::ApplyUpdate(const UpdateObject& action) {
  SimulatedObject& object = objects[action.name];
  if (object.version != action.expected) {
    return {ObjectStatus::kConflict, {}, {}};
  }
  object.version = object.version.Next();
  object.value = action.value;
  return {ObjectStatus::kOk, object.version, {}};
}

void AgentSimulation::AnswerUpdate(SimulatedNode& node,
                                   const ObjectName& name,
                                   ObjectReply reply) {
  const bool unknown = reply.status == ObjectStatus::kUnknown;
  ScheduleAfter(unknown ? kAnswerTimeout : Latency(),
                [this, &node, name, reply] {
                  Deliver(node, [this, name, reply](AgentCore& core) {
                    core.OnObjectUpdated(name, reply, now());
                  });
                });
}

void AgentSimulation::Execute(SimulatedNode& node, UpdateObject& action) {
  ++object_updates;
  const ObjectReply unknown;
  if (faults.outage || Chance(faults.object_lost)) {
    AnswerUpdate(node, action.name, unknown);
  } else if (Chance(faults.object_throttled)) {
    AnswerUpdate(node, action.name, {ObjectStatus::kThrottled, {}, {}});
  } else if (Chance(faults.object_late)) {
    AnswerUpdate(node, action.name, unknown);
    const Duration delay =
        kAnswerTimeout + milliseconds(random_.UniformBelow(800));
    ScheduleAfter(delay, [this, action] { ApplyUpdate(action); });
  } else if (Chance(faults.object_answer_lost)) {
    ApplyUpdate(action);
    AnswerUpdate(node, action.name, unknown);
  } else {
    AnswerUpdate(node, action.name, ApplyUpdate(action));
  }
}

}  // namespace burdockhatch
