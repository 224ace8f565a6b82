#include "bench/fleet_sim.h"

#include <ctime>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "bench/agent_sizes.h"
#include "bench/allocation_counter.h"
#include "src/config_edit.h"
#include "src/entry_tables.h"
#include "src/wire.h"

namespace burdockhatch::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 20ms;  // The tick of a daemon.
// Only the first entry and agent are measured for CPU time; the others tick
// less often to keep a run of the whole fleet short.
constexpr uint64_t kCoarseTick = 5;
constexpr uint64_t kSpreadTick = 5;
constexpr uint64_t kListPeriod = 50;
constexpr uint64_t kLoadPeriod = 50;
constexpr uint64_t kProgressPeriod = 3;  // About one generated token.
constexpr uint64_t kCoarseProgressPeriod = 50;
constexpr Tokens kOutput{300};
constexpr Tokens kMemory{4'000'000};
constexpr int64_t kTokensPerBlock = 1'000;
constexpr UnixSeconds kWall{1'700'000'000};

constexpr uint64_t StepsOf(Duration duration) {
  return static_cast<uint64_t>(duration / kStep);
}

std::optional<TrafficGroup> GroupOf(const MessageBody& body) {
  if (std::holds_alternative<Chunk>(body)) {
    return std::nullopt;
  }
  if (std::holds_alternative<LoadReport>(body) ||
      std::holds_alternative<Subscribe>(body)) {
    return TrafficGroup::kReports;
  }
  if (std::holds_alternative<ShareRequest>(body) ||
      std::holds_alternative<ShareGrant>(body)) {
    return TrafficGroup::kShares;
  }
  if (std::holds_alternative<Heartbeat>(body) ||
      std::holds_alternative<Goodbye>(body)) {
    return TrafficGroup::kPeers;
  }
  if (std::holds_alternative<ConfigPush>(body) ||
      std::holds_alternative<ConfigPull>(body)) {
    return TrafficGroup::kConfig;
  }
  return TrafficGroup::kRequests;
}

DataCentreId DataCentreOf(const FleetSimOptions& options, int index) {
  return DataCentreId(
      fmt::format("data-centre-{}", index % options.data_centres));
}

ModelId ModelOf(const FleetSimOptions& options, int64_t index) {
  return ModelId(fmt::format("model-{}", index % options.models));
}

ClientAccountId AccountOf(int index) {
  return ClientAccountId(fmt::format("client-account-{:05}", index));
}

FleetConfig MakeConfig(const FleetSimOptions& options) {
  FleetConfig config;
  for (int i = 0; i < options.models; ++i) {
    ModelConfig& model = config.models[ModelOf(options, i)];
    for (int j = 0; j < options.data_centres; ++j) {
      model.data_centres.push_back(DataCentreOf(options, j));
    }
  }
  for (int i = 0; i < options.accounts; ++i) {
    ClientAccountConfig& account = config.accounts[AccountOf(i)];
    // High enough that limits refuse nothing: the cost of shares does not
    // depend on the limit.
    account.limit = TokensPerSecond(1'000'000'000);
    account.burst = Tokens(2'000'000'000);
    for (int j = 0; j < options.templates_per_account; ++j) {
      TemplateConfig& it =
          config.templates[TemplateId(fmt::format("template-{:05}-{}", i, j))];
      it.account = AccountOf(i);
      it.model = ModelOf(options, i);
    }
  }
  return config;
}

}  // namespace

std::string_view ToString(TrafficGroup group) {
  switch (group) {
    case TrafficGroup::kReports:
      return "reports";
    case TrafficGroup::kRequests:
      return "requests";
    case TrafficGroup::kShares:
      return "shares";
    case TrafficGroup::kPeers:
      return "heartbeats";
    case TrafficGroup::kConfig:
      return "config";
  }
  return "";
}

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

struct FleetSim::Node {
  PeerId id;
  InstanceInfo info;
  std::unique_ptr<ConfigDistributor> spread;
  std::unique_ptr<EntryCore> entry;
  std::unique_ptr<AgentCore> agent;
  NodeTraffic traffic;
  bool measured = false;  // Its CPU time is taken, and it ticks as a daemon.
  double cpu_seconds = 0;
  double request_credit = 0;
};

namespace {

// Adds the CPU time of its lifetime to `*total`, unless that is null.
class CpuMeter {
 public:
  explicit CpuMeter(double* total)
      : total_(total), start_(total ? ThreadCpuSeconds() : 0) {}
  ~CpuMeter() {
    if (total_) {
      *total_ += ThreadCpuSeconds() - start_;
    }
  }
  CpuMeter(const CpuMeter&) = delete;
  CpuMeter& operator=(const CpuMeter&) = delete;

 private:
  double* total_;
  double start_;
};

}  // namespace

FleetSim::FleetSim(FleetSimOptions options)
    : options_(options), random_(options.seed) {
  WriteFirstConfig();
  AddNodes();
  const std::vector<InstanceInfo> instances = Instances();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = *nodes_[i];
    node.spread->OnInstances(instances, now_);
    if (node.entry) {
      node.entry->OnInstances(instances, now_);
    }
    Settle(i);
  }
}

FleetSim::~FleetSim() = default;

void FleetSim::WriteFirstConfig() {
  object_version_ = ObjectVersion(1);
  FleetConfig config = MakeConfig(options_);
  config.version = ConfigVersion(1);
  object_value_ = SerializeFleetConfig(config);
}

void FleetSim::AddNodes() {
  for (int i = 0; i < options_.entries + options_.agents; ++i) {
    const bool is_entry = i < options_.entries;
    const int rank = is_entry ? i : i - options_.entries;
    auto node = std::make_unique<Node>();
    node->id = {
        InstanceId(fmt::format("{}-{:04}", is_entry ? "entry" : "agent", rank)),
        Incarnation(1'765'000'000'000)};
    node->measured = rank == 0;
    InstanceInfo& info = node->info;
    info.instance = node->id.instance;
    info.role = is_entry ? Role::kEntry : Role::kAgent;
    info.data_centre = DataCentreOf(options_, rank);
    info.region =
        RegionId(fmt::format("region-{}", rank % options_.data_centres % 3));
    info.address = fmt::format("10.20.{}.{}:7001", i / 250, i % 250);
    ConfigDistributorOptions spread;
    spread.self = node->id;
    spread.role = info.role;
    spread.data_centre = info.data_centre;
    spread.address = info.address;
    spread.seed = options_.seed;
    if (is_entry) {
      EntryOptions entry{node->id, info.data_centre, info.region,
                         MixHash(options_.seed, static_cast<uint64_t>(i)),
                         options_.subset_size};
      node->entry = std::make_unique<EntryCore>(entry);
    } else {
      info.target = TargetId(fmt::format("target-{:04}", rank));
      // Consecutive agents of one model stand in different data centres.
      info.model = ModelOf(options_, rank / options_.data_centres);
      AgentOptions agent;
      agent.self = node->id;
      agent.target = info.target;
      agent.data_centre = info.data_centre;
      agent.model = info.model;
      agent.memory = kMemory;
      agent.full_budget = kMemory;
      agent.prefill_rate = TokensPerSecond(10'000'000);
      node->agent = std::make_unique<AgentCore>(agent);
    }
    node->spread = std::make_unique<ConfigDistributor>(spread, now_);
    by_instance_[node->id.instance] = nodes_.size();
    nodes_.push_back(std::move(node));
  }
}

std::vector<InstanceInfo> FleetSim::Instances() const {
  std::vector<InstanceInfo> instances;
  for (const auto& node : nodes_) {
    instances.push_back(node->info);
  }
  for (int i = 0; i < options_.unfollowed_agents; ++i) {
    InstanceInfo info;
    info.instance = InstanceId(fmt::format("other-{:04}", i));
    info.role = Role::kAgent;
    info.data_centre = DataCentreOf(options_, i);
    info.address = fmt::format("10.30.{}.{}:7001", i / 250, i % 250);
    info.target = TargetId(fmt::format("other-target-{:04}", i));
    info.model = ModelId("model-other");
    // Leaving instances stay in the tables and are not followed.
    info.state = InstanceState::kLeaving;
    instances.push_back(info);
  }
  return instances;
}

void FleetSim::Run(Duration length) {
  const uint64_t end = step_ + StepsOf(length);
  while (step_ < end) {
    Step();
  }
}

void FleetSim::Step() {
  ++step_;
  now_ += kStep;
  DeliverPackets();
  StepWatches();
  StepStreams();
  StepRequests();
  TickNodes();
}

void FleetSim::Send(size_t from, const PeerId& to, MessageBody body) {
  Node& node = *nodes_[from];
  const std::optional<TrafficGroup> group = GroupOf(body);
  const auto target = by_instance_.find(to.instance);
  if (!group || target == by_instance_.end()) {
    return;
  }
  auto message = std::make_shared<Message>(Message{
      node.id, to.incarnation, node.spread->version(), std::move(body)});
  std::string frame = Encode(*message);
  Traffic& traffic = node.traffic.groups[static_cast<size_t>(*group)];
  ++traffic.sent_messages;
  const size_t bytes = frame.size() + kFramingBytes;
  traffic.sent_bytes += bytes;
  if (options_.lost_messages > 0 &&
      random_.UniformReal() < options_.lost_messages) {
    return;
  }
  if (!nodes_[target->second]->measured) {
    frame.clear();
    frame.shrink_to_fit();
  }
  packets_.push_back({step_ + StepsOf(options_.link_delay), target->second,
                      bytes, std::move(frame), std::move(message)});
}

void FleetSim::DeliverPackets() {
  // The delay is the same for all packets, so they are in order of arrival.
  const auto end =
      std::find_if(packets_.begin(), packets_.end(),
                   [&](const Packet& it) { return it.step > step_; });
  std::vector<Packet> due(std::make_move_iterator(packets_.begin()),
                          std::make_move_iterator(end));
  packets_.erase(packets_.begin(), end);
  for (const Packet& it : due) {
    Node& node = *nodes_[it.to];
    Traffic& traffic =
        node.traffic.groups[static_cast<size_t>(*GroupOf(it.message->body))];
    ++traffic.received_messages;
    traffic.received_bytes += it.bytes;
    if (!node.spread) {
      continue;
    }
    {
      const CpuMeter meter(node.measured ? &node.cpu_seconds : nullptr);
      if (node.measured) {
        const auto decoded = Decode(it.frame);
        if (!decoded) {
          ++failed_;
        }
      }
      node.spread->OnMessage(*it.message, now_);
      if (node.entry) {
        node.entry->OnMessage(*it.message, now_);
      } else if (node.agent) {
        node.agent->OnMessage(*it.message, now_);
      }
    }
    Settle(it.to);
  }
}

void FleetSim::SettleSpread(size_t index) {
  Node& node = *nodes_[index];
  for (ConfigDistributorAction& it : node.spread->TakeActions()) {
    if (auto* send = std::get_if<SendConfigMessage>(&it)) {
      Send(index, send->to, std::move(send->body));
    } else if (const auto* watch = std::get_if<WatchConfig>(&it)) {
      ++(watch->wait > Duration(0) ? object_calls_.watches
                                   : object_calls_.polls);
      watches_.push_back(
          {index, watch->after, step_ + 1 + StepsOf(watch->wait)});
    } else if (const auto* apply = std::get_if<ApplyConfig>(&it)) {
      if (node.entry) {
        node.entry->OnConfig(apply->config, now_);
      } else if (node.agent) {
        node.agent->OnConfig(apply->config, now_);
      }
    }
  }
}

void FleetSim::Settle(size_t index) {
  Node& node = *nodes_[index];
  const CpuMeter meter(node.measured ? &node.cpu_seconds : nullptr);
  SettleSpread(index);
  if (node.entry) {
    for (EntryAction& it : node.entry->TakeActions()) {
      if (auto* offer = std::get_if<SendOffer>(&it)) {
        Send(index, offer->to, std::move(offer->offer));
      } else if (auto* send = std::get_if<SendMessage>(&it)) {
        Send(index, send->to, std::move(send->body));
      } else if (std::holds_alternative<CompleteRequest>(it)) {
        ++completed_;
      } else if (std::holds_alternative<FailRequest>(it)) {
        ++failed_;
      }
    }
  }
  if (node.agent) {
    for (AgentAction& it : node.agent->TakeActions()) {
      if (auto* send = std::get_if<SendToPeer>(&it)) {
        Send(index, send->to, std::move(send->body));
      } else if (const auto* start = std::get_if<StartStream>(&it)) {
        OnStart(index, *start);
      }
    }
  }
}

void FleetSim::OnStart(size_t agent, const StartStream& start) {
  streams_.push_back({agent, by_instance_.at(start.entry.instance),
                      start.attempt, start.spec.stream,
                      step_ + StepsOf(options_.service_time)});
  nodes_[agent]->agent->OnStreamStarted(start.spec.stream,
                                        StartStatus::kStarted, now_);
}

void FleetSim::StepStreams() {
  std::vector<size_t> touched;
  std::vector<RunningStream> ended;
  for (const RunningStream& it : streams_) {
    Node& agent = *nodes_[it.agent];
    Node& entry = *nodes_[it.entry];
    const uint64_t agent_period =
        agent.measured ? kProgressPeriod : kCoarseProgressPeriod;
    const uint64_t entry_period =
        entry.measured ? kProgressPeriod : kCoarseProgressPeriod;
    const bool ends = step_ >= it.end_step;
    if (ends || step_ % agent_period == 0) {
      const CpuMeter meter(agent.measured ? &agent.cpu_seconds : nullptr);
      agent.agent->OnStreamProgress(it.stream, 1, kOutput, now_);
    }
    if (ends || step_ % entry_period == 0) {
      const CpuMeter meter(entry.measured ? &entry.cpu_seconds : nullptr);
      entry.entry->OnProgress(it.attempt, 1, now_);
    }
    if (ends) {
      ended.push_back(it);
    }
  }
  std::erase_if(streams_,
                [&](const RunningStream& it) { return step_ >= it.end_step; });
  for (const RunningStream& it : ended) {
    Node& agent = *nodes_[it.agent];
    {
      const CpuMeter meter(agent.measured ? &agent.cpu_seconds : nullptr);
      agent.agent->OnStreamEnded(it.stream, StreamEnd::kComplete, 1, now_);
    }
    Settle(it.agent);
  }
}

RequestSpec FleetSim::NextRequest() {
  RequestSpec spec;
  spec.request = {options_.seed, ++next_request_};
  spec.account = AccountOf(static_cast<int>(
      random_.UniformBelow(static_cast<uint64_t>(options_.active_accounts))));
  spec.model = ModelOf(options_, static_cast<int64_t>(random_.UniformBelow(
                                     static_cast<uint64_t>(options_.models))));
  spec.prompt_tokens = options_.prompt;
  spec.max_output_tokens = kOutput;
  for (int64_t i = 0; i < options_.prompt.value() / kTokensPerBlock; ++i) {
    spec.prefix_hashes.push_back(
        options_.distinct_blocks == 0
            ? random_.Next()
            : MixHash(options_.seed,
                      random_.UniformBelow(options_.distinct_blocks)));
  }
  spec.deadline = now_ + options_.deadline;
  return spec;
}

void FleetSim::StepRequests() {
  const double per_step =
      options_.requests_per_entry * static_cast<double>(kStep.count()) / 1e6;
  for (size_t i = 0; i < static_cast<size_t>(options_.entries); ++i) {
    Node& node = *nodes_[i];
    // Entries reach a whole request at different steps.
    node.request_credit += per_step * 2 * random_.UniformReal();
    while (node.entry && node.request_credit >= 1) {
      node.request_credit -= 1;
      RequestSpec spec = NextRequest();
      {
        const CpuMeter meter(node.measured ? &node.cpu_seconds : nullptr);
        node.entry->OnRequest(std::move(spec), now_);
      }
      Settle(i);
    }
  }
}

void FleetSim::StepWatches() {
  std::vector<PendingWatch> due;
  std::erase_if(watches_, [&](const PendingWatch& it) {
    const bool answers = object_version_ > it.after || step_ >= it.end_step;
    if (answers) {
      due.push_back(it);
    }
    return answers;
  });
  for (const PendingWatch& it : due) {
    Node& node = *nodes_[it.node];
    ObjectReply reply;
    reply.status = ObjectStatus::kNotModified;
    if (object_version_ > it.after) {
      reply = {ObjectStatus::kOk, object_version_, object_value_};
    }
    if (node.spread) {
      node.spread->OnObjectReply(reply, now_);
      Settle(it.node);
    }
  }
}

void FleetSim::TickTarget(size_t index) {
  AgentCore& agent = *nodes_[index]->agent;
  if ((step_ + index) % kListPeriod == 0) {
    EngineHoldings list;
    list.engine = EngineIncarnation(1);
    for (const RunningStream& it : streams_) {
      if (it.agent == index) {
        list.holdings.push_back({it.stream, options_.prompt + kOutput, false});
      }
    }
    agent.OnEngineList(&list, now_, now_);
  }
  if ((step_ + index) % kLoadPeriod == 0) {
    EngineLoad load;
    load.engine = EngineIncarnation(1);
    load.uptime = std::chrono::hours(24);
    load.memory_total = kMemory;
    load.completed = Tokens(1'000'000'000);
    agent.OnEngineLoad(&load, now_);
  }
  if (step_ == kLoadPeriod) {
    std::vector<CacheEvent> events;
    for (int i = 1; i <= options_.cached_prefixes; ++i) {
      events.push_back({static_cast<uint64_t>(i), true, random_.Next()});
    }
    agent.OnCacheEvents(events, now_);
  }
}

void FleetSim::TickNodes() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = *nodes_[i];
    if (!node.spread || (!node.measured && (step_ + i) % kCoarseTick != 0)) {
      continue;
    }
    {
      const CpuMeter meter(node.measured ? &node.cpu_seconds : nullptr);
      if ((step_ + i) % kSpreadTick == 0) {
        node.spread->Tick(now_);
      }
      if (node.entry) {
        node.entry->Tick(now_);
      } else if (node.agent) {
        node.agent->Tick(now_, kWall);
      }
    }
    Settle(i);
  }
  for (size_t i = static_cast<size_t>(options_.entries); i < nodes_.size();
       ++i) {
    if (nodes_[i]->agent) {
      TickTarget(i);
      Settle(i);
    }
  }
}

void FleetSim::ResetCounters() {
  for (auto& node : nodes_) {
    node->traffic = {};
    node->cpu_seconds = 0;
  }
  object_calls_ = {};
  completed_ = 0;
  failed_ = 0;
}

void FleetSim::ChangeConfig() {
  Findings findings;
  std::optional<FleetConfig> config = ParseFleetConfig(
      object_value_, ConfigVersion(object_version_.value()), &findings);
  ConfigChange change;
  change.id = ChangeId(fmt::format("change-{}", object_version_.value()));
  change.base = config->version;
  const ClientAccountId account = AccountOf(static_cast<int>(
      random_.UniformBelow(static_cast<uint64_t>(options_.accounts))));
  change.edits.push_back(
      MakeEdit(*config, "/accounts/" + account.value() + "/burst",
               std::to_string(1'000'000'000 + object_version_.value())));
  RebaseResult result = Rebase(change, *config, ConflictMode::kRebase);
  object_version_ = object_version_.Next();
  object_value_ = SerializeFleetConfig(result.config);
}

bool FleetSim::ConfigInForce() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return !node->spread ||
           node->spread->version().value() == object_version_.value();
  });
}

namespace {

void AddTo(Traffic& sum, const Traffic& part) {
  sum.sent_messages += part.sent_messages;
  sum.sent_bytes += part.sent_bytes;
  sum.received_messages += part.received_messages;
  sum.received_bytes += part.received_bytes;
}

}  // namespace

Traffic FleetSim::EntryTraffic(TrafficGroup group) const {
  Traffic sum;
  for (size_t i = 0; i < static_cast<size_t>(options_.entries); ++i) {
    AddTo(sum, nodes_[i]->traffic.groups[static_cast<size_t>(group)]);
  }
  return sum;
}

Traffic FleetSim::AgentTraffic(TrafficGroup group) const {
  Traffic sum;
  for (size_t i = static_cast<size_t>(options_.entries); i < nodes_.size();
       ++i) {
    AddTo(sum, nodes_[i]->traffic.groups[static_cast<size_t>(group)]);
  }
  return sum;
}

double FleetSim::EntryCpuSeconds() const {
  return nodes_[0]->cpu_seconds;
}

double FleetSim::AgentCpuSeconds() const {
  return nodes_[static_cast<size_t>(options_.entries)]->cpu_seconds;
}

double FleetSim::FollowedTargets() const {
  double sum = 0;
  for (int i = 0; i < options_.entries; ++i) {
    const EntryTables& tables = nodes_[static_cast<size_t>(i)]->entry->tables();
    sum += static_cast<double>(
        std::count_if(tables.fleet.rows.begin(), tables.fleet.rows.end(),
                      [](const TargetRow& it) { return it.connected; }));
  }
  return sum / options_.entries;
}

double FleetSim::Subscribers() const {
  double sum = 0;
  for (size_t i = static_cast<size_t>(options_.entries); i < nodes_.size();
       ++i) {
    sum += static_cast<double>(SizesOf(*nodes_[i]->agent).subscribers);
  }
  return sum / options_.agents;
}

double FleetSim::RunningAttempts() const {
  const Node& node = *nodes_[static_cast<size_t>(options_.entries)];
  return static_cast<double>(SizesOf(*node.agent).attempts);
}

double FleetSim::ClosedAttempts() const {
  const Node& node = *nodes_[static_cast<size_t>(options_.entries)];
  return static_cast<double>(SizesOf(*node.agent).closed_attempts);
}

double FleetSim::AccountBuckets() const {
  return static_cast<double>(nodes_[0]->entry->tables().limits.buckets.size());
}

int64_t FleetSim::TakeEntryHeap() {
  Node& node = *nodes_[0];
  const int64_t before = LiveHeapBytes();
  node.entry.reset();
  node.spread.reset();
  return before - LiveHeapBytes();
}

int64_t FleetSim::TakeAgentHeap() {
  Node& node = *nodes_[static_cast<size_t>(options_.entries)];
  const int64_t before = LiveHeapBytes();
  node.agent.reset();
  node.spread.reset();
  return before - LiveHeapBytes();
}

int64_t FleetSim::ConfigHeap() const {
  Findings findings;
  const int64_t before = LiveHeapBytes();
  const std::optional<FleetConfig> config = ParseFleetConfig(
      object_value_, ConfigVersion(object_version_.value()), &findings);
  return LiveHeapBytes() - before;
}

}  // namespace burdockhatch::bench
