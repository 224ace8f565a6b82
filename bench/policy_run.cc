#include "bench/policy_run.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include "src/agent_core.h"
#include "src/entry_core.h"
#include "src/random.h"

namespace burdockhatch::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration kAgentTick = 10ms;
constexpr Duration kEntryTick = 10ms;
constexpr Duration kEngineCall = 200us;  // Between an agent and its engine.
constexpr Duration kLoadPeriod = 500ms;  // Between load reports of an engine.
constexpr Duration kLoadLag = 500ms;
constexpr Duration kCacheEventLag = 300ms;
constexpr double kCacheEventLoss = 0.05;
constexpr Duration kWithdrawalBound = 3s;
constexpr Duration kSettleWindow = 1s;
constexpr Duration kTidyTime =
    20s;  // For releases and reconciliation after the last request.

// Runs functions at their times; equal times run in the order they were added.
class EventQueue {
 public:
  void At(Time time, std::function<void()> run) {
    events_.push({std::max(time, now_), ++sequence_, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }
  Time now() const { return now_; }

  // Runs until `end` or until no event is left.
  void RunUntil(Time end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    Time time;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  std::priority_queue<Event> events_;
  Time now_;
  uint64_t sequence_ = 0;
};

// One target: an engine model and what drives its steps.
struct Target {
  int index = 0;
  int data_centre = 0;
  EngineModel engine;
  bool stepping = false;
  uint64_t epoch = 0;  // Grows when the engine restarts; events of an earlier
                       // epoch are dropped.
  std::unique_ptr<AgentCore> agent;
  PeerId agent_id;
  std::unordered_map<uint64_t, StreamId> stream_names;

  explicit Target(EngineModelOptions options) : engine(options) {}
};

struct Entry {
  int index = 0;
  int data_centre = 0;
  std::unique_ptr<EntryCore> core;
  PeerId id;
  std::vector<int> outstanding;  // Baselines: requests per target.
};

uint64_t StreamNumber(const StreamId& id) {
  return std::hash<std::string>()(id.value());
}

class PolicyRun {
 public:
  PolicyRun(const RunOptions& options, const std::vector<WorkItem>& items)
      : options_(options), items_(items), random_(options.seed) {
    result_.items.resize(items.size());
  }

  RunResult Execute() {
    MakeTargets();
    MakeEntries();
    if (with_agents()) {
      StartCores();
    }
    ScheduleOperatorActions();
    for (size_t n = 0; n < items_.size(); ++n) {
      queue_.At(items_[n].arrival, [this, n] { Arrive(n); });
    }
    RunToTheEnd();
    Summarize();
    return std::move(result_);
  }

 private:
  // Ends the run early once every item has ended and the engines have had time
  // to be tidied up.
  void RunToTheEnd() {
    const Time last = items_.empty() ? Time{} : items_.back().arrival;
    queue_.RunUntil(last);
    const Time limit = last + options_.drain;
    while (ended_ < items_.size() && queue_.now() < limit) {
      queue_.RunUntil(queue_.now() + 1s);
    }
    queue_.RunUntil(queue_.now() + kTidyTime);
  }

  bool with_agents() const { return options_.policy == Policy::kBurdockhatch; }

  Duration Latency(int a, int b) const {
    return a == b ? options_.inside_data_centre : options_.between_data_centres;
  }

  DataCentreId DataCentreName(int index) const {
    return DataCentreId(fmt::format("dc-{}", index));
  }

  void MakeTargets() {
    EngineModelOptions engine = options_.engine;
    engine.priorities = with_agents();
    for (int n = 0; n < options_.replicas; ++n) {
      auto target = std::make_unique<Target>(engine);
      target->index = n;
      target->data_centre = n % options_.data_centres;
      target->agent_id = {InstanceId(fmt::format("agent-{}", n)),
                          Incarnation(1)};
      targets_.push_back(std::move(target));
    }
  }

  void MakeEntries() {
    const int count = options_.data_centres * options_.entries_per_data_centre;
    for (int n = 0; n < count; ++n) {
      auto entry = std::make_unique<Entry>();
      entry->index = n;
      entry->data_centre = n % options_.data_centres;
      entry->id = {InstanceId(fmt::format("entry-{}", n)), Incarnation(1)};
      entry->outstanding.resize(options_.replicas);
      entries_.push_back(std::move(entry));
    }
  }

  FleetConfigPtr MakeConfig(uint64_t version, bool withdrawn) const {
    auto config = std::make_shared<FleetConfig>();
    config->version = ConfigVersion(version);
    ModelConfig& model = config->models[ModelId("model")];
    for (int n = 0; n < options_.data_centres; ++n) {
      model.data_centres.push_back(DataCentreName(n));
    }
    // Limits are not what these experiments measure.
    ClientAccountConfig account;
    account.limit = TokensPerSecond(1'000'000'000);
    account.burst = Tokens(1'000'000'000);
    for (int n = 0; n < 64; ++n) {
      config->accounts[ClientAccountId(fmt::format("account-{}", n))] = account;
    }
    if (withdrawn) {
      config->withdrawn_data_centres.insert(DataCentreName(0));
    }
    return config;
  }

  std::vector<InstanceInfo> MakeInstances() const {
    std::vector<InstanceInfo> list;
    for (const auto& it : targets_) {
      InstanceInfo info;
      info.instance = it->agent_id.instance;
      info.role = Role::kAgent;
      info.data_centre = DataCentreName(it->data_centre);
      info.address = fmt::format("127.0.0.1:{}", 10'000 + it->index);
      info.target = TargetId(fmt::format("target-{}", it->index));
      info.model = ModelId("model");
      list.push_back(info);
    }
    for (const auto& it : entries_) {
      InstanceInfo info;
      info.instance = it->id.instance;
      info.role = Role::kEntry;
      info.data_centre = DataCentreName(it->data_centre);
      info.address = fmt::format("127.0.0.1:{}", 20'000 + it->index);
      list.push_back(info);
    }
    return list;
  }

  void StartCores() {
    for (const auto& target : targets_) {
      AgentOptions agent;
      agent.self = target->agent_id;
      agent.target = TargetId(fmt::format("target-{}", target->index));
      agent.data_centre = DataCentreName(target->data_centre);
      agent.model = ModelId("model");
      agent.memory = options_.engine.memory;
      agent.full_budget = options_.engine.memory;
      agent.prefill_rate = options_.engine.prefill_rate;
      agent.time_per_token = 20ms;
      target->agent = std::make_unique<AgentCore>(agent);
      target->agent->OnConfig(MakeConfig(1, false), queue_.now());
      // The engines have served for long before the run begins.
      EngineLoad load = target->engine.Load();
      load.uptime = 3600s;
      load.completed = Tokens(1'000'000'000);
      target->agent->OnEngineLoad(&load, queue_.now());
      PerformAgent(target.get());
      TickAgent(target.get());
      ReportLoad(target.get());
    }
    const std::vector<InstanceInfo> instances = MakeInstances();
    for (const auto& entry : entries_) {
      EntryOptions core;
      core.self = entry->id;
      core.data_centre = DataCentreName(entry->data_centre);
      core.region = RegionId("region");
      core.seed = MixHash(options_.seed, static_cast<uint64_t>(entry->index));
      entry->core = std::make_unique<EntryCore>(core);
      entry->core->OnConfig(MakeConfig(1, false), queue_.now());
      entry->core->OnInstances(instances, queue_.now());
      PerformEntry(entry.get());
      TickEntry(entry.get());
    }
  }

  void TickAgent(Target* target) {
    target->agent->Tick(queue_.now(), UnixSeconds(0));
    PerformAgent(target);
    queue_.After(kAgentTick, [this, target] { TickAgent(target); });
  }

  void TickEntry(Entry* entry) {
    entry->core->Tick(queue_.now());
    PerformEntry(entry);
    queue_.After(kEntryTick, [this, entry] { TickEntry(entry); });
  }

  // Load reports and cache events reach the agent late; some cache events never
  // do.
  void ReportLoad(Target* target) {
    EngineLoad load = target->engine.Load();
    load.uptime += target->engine.incarnation() == EngineIncarnation(1)
                       ? Duration(3600s)
                       : Duration(0);
    load.completed += target->engine.incarnation() == EngineIncarnation(1)
                          ? Tokens(1'000'000'000)
                          : Tokens(0);
    queue_.After(kLoadLag, [this, target, load] {
      target->agent->OnEngineLoad(&load, queue_.now());
      PerformAgent(target);
    });
    std::vector<CacheEvent> kept;
    for (const CacheEvent& it : target->engine.TakeCacheEvents()) {
      if (random_.UniformReal() >= kCacheEventLoss) {
        kept.push_back(it);
      }
    }
    queue_.After(kCacheEventLag, [this, target, kept] {
      target->agent->OnCacheEvents(kept, queue_.now());
      PerformAgent(target);
    });
    queue_.After(kLoadPeriod, [this, target] { ReportLoad(target); });
  }

  void ScheduleOperatorActions() {
    if (options_.withdraw_at > 0us) {
      queue_.At(Time(options_.withdraw_at), [this] { Withdraw(); });
      queue_.At(Time(options_.return_at), [this] { Return(); });
    }
    if (options_.cold_at > 0us) {
      queue_.At(Time(options_.cold_at), [this] {
        for (int n = 0; n < options_.cold_replicas; ++n) {
          targets_[n]->engine.TurnCold();
        }
      });
    }
  }

  // Each process learns of a change at its own time within a second.
  void SpreadConfig(uint64_t version, bool withdrawn) {
    const FleetConfigPtr config = MakeConfig(version, withdrawn);
    for (const auto& it : targets_) {
      Target* target = it.get();
      queue_.After(Duration(random_.UniformBelow(1'000'000)),
                   [this, target, config] {
                     if (with_agents()) {
                       target->agent->OnConfig(config, queue_.now());
                       PerformAgent(target);
                     }
                   });
    }
    for (const auto& it : entries_) {
      Entry* entry = it.get();
      queue_.After(Duration(random_.UniformBelow(1'000'000)),
                   [this, entry, config] {
                     if (with_agents()) {
                       entry->core->OnConfig(config, queue_.now());
                       PerformEntry(entry);
                     }
                   });
    }
  }

  void Withdraw() {
    withdrawn_ = true;
    withdrawn_since_ = queue_.now();
    SpreadConfig(2, true);
  }

  void Return() {
    withdrawn_ = false;
    returned_at_ = queue_.now();
    for (const auto& it : targets_) {
      // Baselines have no withdrawal; their engines would lose requests by a
      // restart.
      if (it->data_centre == 0 && with_agents() && it->engine.Idle()) {
        it->engine.Restart();
        ++it->epoch;
      }
    }
    SpreadConfig(3, false);
  }

  RequestId RequestOf(size_t n) const {
    return {MixHash(options_.seed, n), static_cast<uint64_t>(n)};
  }

  void Arrive(size_t n) {
    Entry* entry = entries_[random_.UniformBelow(entries_.size())].get();
    queue_.After(options_.to_client, [this, n, entry] {
      if (with_agents()) {
        Admit(n, entry);
      } else {
        PlaceBaseline(n, entry);
      }
    });
  }

  void Admit(size_t n, Entry* entry) {
    const WorkItem& item = items_[n];
    RequestSpec spec;
    spec.request = RequestOf(n);
    spec.account = ClientAccountId(fmt::format("account-{}", item.account));
    spec.model = ModelId("model");
    spec.prompt_tokens = item.prompt;
    spec.max_output_tokens = item.max_output;
    spec.prefix_hashes = item.prefix_hashes;
    spec.deadline = item.arrival + item.deadline;
    spec.path = "/v1/completions";
    entry->core->OnRequest(std::move(spec), queue_.now());
    PerformEntry(entry);
  }

  size_t ItemOf(const RequestId& id) const {
    return static_cast<size_t>(id.low);
  }

  void PerformEntry(Entry* entry) {
    for (EntryAction& action : entry->core->TakeActions()) {
      if (auto* offer = std::get_if<SendOffer>(&action)) {
        ++result_.offers;
        Deliver(entry, offer->to.instance, std::move(offer->offer));
      } else if (auto* send = std::get_if<SendMessage>(&action)) {
        Deliver(entry, send->to.instance, std::move(send->body));
      } else if (auto* complete = std::get_if<CompleteRequest>(&action)) {
        EndItem(ItemOf(complete->request), End::kAnswered, ErrorCode::kNone);
      } else if (auto* fail = std::get_if<FailRequest>(&action)) {
        const bool not_run = fail->failure.outcome == Outcome::kNotRun;
        EndItem(ItemOf(fail->request), not_run ? End::kRefused : End::kFailed,
                fail->failure.code);
      }
    }
  }

  void EndItem(size_t n, End end, ErrorCode code) {
    ItemResult& item = result_.items[n];
    if (item.end != End::kNone) {
      return;
    }
    ++ended_;
    item.end = end;
    item.code = code;
    item.ended = queue_.now() + options_.to_client;
  }

  void Deliver(Entry* entry, const InstanceId& to, MessageBody body) {
    ++result_.messages;
    // Messages to other entries concern account limits, which are out of scope
    // here.
    if (DeliverBetweenEntries(entry, to, body)) {
      return;
    }
    const auto it = std::find_if(
        targets_.begin(), targets_.end(),
        [&](const auto& target) { return target->agent_id.instance == to; });
    if (it == targets_.end()) {
      return;
    }
    Target* target = it->get();
    Message message{entry->id, target->agent_id.incarnation, ConfigVersion(1),
                    std::move(body)};
    queue_.After(Latency(entry->data_centre, target->data_centre),
                 [this, target, message = std::move(message)] {
                   target->agent->OnMessage(message, queue_.now());
                   PerformAgent(target);
                 });
  }

  bool DeliverBetweenEntries(Entry* from,
                             const InstanceId& to,
                             const MessageBody& body) {
    const auto it = std::find_if(
        entries_.begin(), entries_.end(),
        [&](const auto& entry) { return entry->id.instance == to; });
    if (it == entries_.end()) {
      return false;
    }
    Entry* entry = it->get();
    const Message message{from->id, entry->id.incarnation, ConfigVersion(1),
                          body};
    queue_.After(Latency(from->data_centre, entry->data_centre),
                 [this, entry, message] {
                   entry->core->OnMessage(message, queue_.now());
                   PerformEntry(entry);
                 });
    return true;
  }

  void DeliverToEntry(Target* target, const PeerId& to, MessageBody body) {
    ++result_.messages;
    const auto it = std::find_if(
        entries_.begin(), entries_.end(),
        [&](const auto& entry) { return entry->id.instance == to.instance; });
    if (it == entries_.end()) {
      return;
    }
    Entry* entry = it->get();
    if (const auto* reply = std::get_if<OfferReply>(&body)) {
      result_.refused_offers += reply->verdict == Verdict::kRefused ? 1 : 0;
    }
    Message message{target->agent_id, entry->id.incarnation, ConfigVersion(1),
                    std::move(body)};
    queue_.After(
        Latency(entry->data_centre, target->data_centre),
        [this, entry, message = std::move(message)] {
          if (const auto* finish = std::get_if<Finish>(&message.body)) {
            entry->core->OnProgress(finish->attempt, finish->chunk_count,
                                    queue_.now());
          }
          entry->core->OnMessage(message, queue_.now());
          PerformEntry(entry);
        });
  }

  void PerformAgent(Target* target) {
    for (AgentAction& action : target->agent->TakeActions()) {
      PerformAgentAction(target, std::move(action));
    }
  }

  void PerformAgentAction(Target* target, AgentAction action) {
    if (auto* send = std::get_if<SendToPeer>(&action)) {
      DeliverToEntry(target, send->to, std::move(send->body));
    } else if (auto* start = std::get_if<StartStream>(&action)) {
      StartAtEngine(target, std::move(*start));
    } else if (auto* cancel = std::get_if<CancelStream>(&action)) {
      target->engine.Cancel(StreamNumber(cancel->stream));
      queue_.After(kEngineCall, [this, target, stream = cancel->stream] {
        target->agent->OnStreamEnded(stream, StreamEnd::kCancelled, 0,
                                     queue_.now());
        PerformAgent(target);
      });
    } else if (auto* import = std::get_if<ImportCacheAction>(&action)) {
      const uint64_t number = StreamNumber(import->cache);
      target->stream_names[number] = import->cache;
      target->engine.HoldCache(number, import->memory);
      queue_.After(kEngineCall, [this, target, cache = import->cache] {
        target->agent->OnCacheImported(cache, StartStatus::kStarted,
                                       queue_.now());
        PerformAgent(target);
      });
    } else if (auto* release = std::get_if<ReleaseCacheAction>(&action)) {
      target->engine.ReleaseCache(StreamNumber(release->cache));
    } else if (std::holds_alternative<ListEngine>(action)) {
      ListAtEngine(target);
    }
  }

  void ListAtEngine(Target* target) {
    const Time asked_at = queue_.now();
    queue_.After(kEngineCall, [this, target, asked_at] {
      EngineHoldings list;
      list.engine = target->engine.incarnation();
      list.holdings = target->engine.Holdings();
      for (EngineHolding& it : list.holdings) {
        it.stream = target->stream_names[std::stoull(it.stream.value())];
      }
      target->agent->OnEngineList(&list, asked_at, queue_.now());
      PerformAgent(target);
    });
  }

  void StartAtEngine(Target* target, StartStream start) {
    const size_t n = ItemOf(start.attempt.request);
    CountDispatch(target);
    EngineStream stream;
    stream.id = StreamNumber(start.spec.stream);
    stream.prompt = start.spec.prompt_tokens;
    stream.output = items_[n].output;
    stream.priority = start.spec.priority;
    stream.prefix_hashes = items_[n].prefix_hashes;
    stream.memory = start.spec.prompt_tokens + start.spec.max_output_tokens;
    stream.memory -= RemoteShare(start.spec.stream);
    target->stream_names[stream.id] = start.spec.stream;
    stream_items_[stream.id] = n;
    stream_entries_[stream.id] = start.entry;
    queue_.After(kEngineCall, [this, target, stream, name = start.spec.stream] {
      target->engine.Start(stream);
      target->agent->OnStreamStarted(name, StartStatus::kStarted, queue_.now());
      PerformAgent(target);
      KeepStepping(target);
    });
  }

  // What the other engines of the gang hold for the stream, under its name.
  Tokens RemoteShare(const StreamId& stream) const {
    Tokens share;
    for (const auto& it : targets_) {
      share += it->engine.HeldCache(StreamNumber(stream));
    }
    return share;
  }

  void CountDispatch(Target* target) {
    if (target->data_centre == 0 && withdrawn_ &&
        queue_.now() > withdrawn_since_ + kWithdrawalBound) {
      ++result_.offers_to_withdrawn;
    }
    if (returned_at_ != Time{} && result_.settle_seconds == 0) {
      CountSettling(target);
    }
  }

  void CountSettling(Target* target) {
    if (queue_.now() > settle_window_start_ + kSettleWindow) {
      settle_window_start_ = queue_.now();
      settle_total_ = 0;
      settle_returned_ = 0;
    }
    ++settle_total_;
    settle_returned_ += target->data_centre == 0 ? 1 : 0;
    const double part = 1.0 / options_.data_centres;
    constexpr int kEnough = 20;
    if (settle_total_ >= kEnough &&
        settle_returned_ >= 0.8 * part * settle_total_) {
      const Duration taken = queue_.now() - returned_at_;
      result_.settle_seconds = static_cast<double>(taken.count()) / 1e6;
    }
  }

  void KeepStepping(Target* target) {
    if (target->engine.fell_over()) {
      target->engine.Restart();
      ++target->epoch;
    }
    if (target->stepping || target->engine.Idle()) {
      return;
    }
    target->stepping = true;
    auto events = std::make_shared<std::vector<StreamEvent>>();
    const Duration duration = target->engine.Step(events.get());
    queue_.After(duration, [this, target, events, epoch = target->epoch] {
      target->stepping = false;
      if (epoch == target->epoch) {
        for (const StreamEvent& it : *events) {
          OnStreamEvent(target, it);
        }
      }
      KeepStepping(target);
    });
  }

  void OnStreamEvent(Target* target, const StreamEvent& event) {
    const size_t n = stream_items_[event.stream];
    if (event.kind == StreamEvent::Kind::kFirstToken) {
      ItemResult& item = result_.items[n];
      if (item.first_token == Time{}) {
        item.first_token = queue_.now() + ReturnLatency(target, event.stream);
      }
    }
    if (with_agents()) {
      ReportToAgent(target, event);
    } else if (event.kind == StreamEvent::Kind::kFinished) {
      FinishBaseline(target, n);
    }
    if (event.kind == StreamEvent::Kind::kFinished) {
      result_.items[n].tokens = event.tokens;
    }
  }

  Duration ReturnLatency(Target* target, uint64_t stream) {
    const auto it = stream_entries_.find(stream);
    int data_centre = target->data_centre;
    for (const auto& entry : entries_) {
      if (it != stream_entries_.end() && entry->id == it->second) {
        data_centre = entry->data_centre;
      }
    }
    return Latency(data_centre, target->data_centre) + options_.to_client;
  }

  void ReportToAgent(Target* target, const StreamEvent& event) {
    const StreamId& name = target->stream_names[event.stream];
    if (event.kind == StreamEvent::Kind::kFirstToken) {
      target->agent->OnStreamProgress(name, 1, Tokens(1), queue_.now());
      ReportProgressToEntry(target, event.stream, name);
    } else {
      target->agent->OnStreamProgress(name, event.tokens, Tokens(event.tokens),
                                      queue_.now());
      target->agent->OnStreamEnded(name, StreamEnd::kComplete, event.tokens,
                                   queue_.now());
    }
    PerformAgent(target);
  }

  void ReportProgressToEntry(Target* target,
                             uint64_t stream,
                             const StreamId& name) {
    const PeerId entry_id = stream_entries_[stream];
    const auto attempt = ParseAttemptId(name.value());
    for (const auto& it : entries_) {
      if (it->id == entry_id && attempt) {
        Entry* entry = it.get();
        queue_.After(Latency(entry->data_centre, target->data_centre),
                     [this, entry, attempt = *attempt] {
                       entry->core->OnProgress(attempt, 1, queue_.now());
                       PerformEntry(entry);
                     });
      }
    }
  }

  // ---- Baselines
  // -----------------------------------------------------------------------------

  void PlaceBaseline(size_t n, Entry* entry) {
    const WorkItem& item = items_[n];
    const Tokens memory = item.prompt + item.max_output;
    if (memory > options_.engine.memory) {
      EndItem(n, End::kRefused, ErrorCode::kPromptTooLong);
      return;
    }
    Target* target = ChooseBaseline(entry);
    ++result_.offers;
    ++entry->outstanding[target->index];
    EngineStream stream;
    stream.id = n;
    stream.prompt = item.prompt;
    stream.output = item.output;
    stream.prefix_hashes = item.prefix_hashes;
    stream.memory = memory;
    stream_items_[n] = n;
    stream_entries_[n] = entry->id;
    baseline_entries_[n] = entry;
    queue_.After(Latency(entry->data_centre, target->data_centre),
                 [this, target, stream] {
                   target->engine.Start(stream);
                   KeepStepping(target);
                 });
    queue_.At(item.arrival + item.deadline, [this, target, n] {
      if (result_.items[n].end == End::kNone) {
        target->engine.Cancel(n);
        --baseline_entries_[n]->outstanding[target->index];
        EndItem(n, End::kFailed, ErrorCode::kDeadlineExceeded);
      }
    });
  }

  Target* ChooseBaseline(Entry* entry) {
    if (options_.policy == Policy::kRoundRobin) {
      const size_t next = round_robin_++ % targets_.size();
      return targets_[next].get();
    }
    const size_t first = random_.UniformBelow(targets_.size());
    size_t best = first;
    for (size_t k = 0; k < targets_.size(); ++k) {
      const size_t n = (first + k) % targets_.size();
      if (entry->outstanding[n] < entry->outstanding[best]) {
        best = n;
      }
    }
    return targets_[best].get();
  }

  void FinishBaseline(Target* target, size_t n) {
    const Duration delay = ReturnLatency(target, n) - options_.to_client;
    queue_.After(delay, [this, target, n] {
      if (result_.items[n].end == End::kNone) {
        --baseline_entries_[n]->outstanding[target->index];
        EndItem(n, End::kAnswered, ErrorCode::kNone);
      }
    });
  }

  void Summarize() {
    uint64_t prompt_tokens = 0;
    uint64_t hit_tokens = 0;
    for (const auto& it : targets_) {
      result_.fell_over += it->engine.times_fallen();
      result_.cold_peak = std::max(result_.cold_peak, it->engine.cold_peak());
      result_.memory_left += it->engine.memory_used();
      prompt_tokens += it->engine.prompt_tokens_total();
      hit_tokens += it->engine.hit_tokens_total();
    }
    if (prompt_tokens > 0) {
      result_.cache_hit_share =
          static_cast<double>(hit_tokens) / static_cast<double>(prompt_tokens);
    }
  }

  const RunOptions options_;
  const std::vector<WorkItem>& items_;
  Random random_;
  EventQueue queue_;
  RunResult result_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::unordered_map<uint64_t, size_t> stream_items_;
  std::unordered_map<uint64_t, PeerId> stream_entries_;
  std::unordered_map<size_t, Entry*> baseline_entries_;
  size_t ended_ = 0;
  size_t round_robin_ = 0;
  bool withdrawn_ = false;
  Time withdrawn_since_;
  Time returned_at_;
  Time settle_window_start_;
  int settle_total_ = 0;
  int settle_returned_ = 0;
};

}  // namespace

std::string_view ToString(Policy policy) {
  switch (policy) {
    case Policy::kBurdockhatch:
      return "burdockhatch";
    case Policy::kRoundRobin:
      return "round_robin";
    case Policy::kLeastOutstanding:
      return "least_outstanding";
  }
  return "unknown";
}

RunResult Run(const RunOptions& options, const std::vector<WorkItem>& items) {
  return PolicyRun(options, items).Execute();
}

}  // namespace burdockhatch::bench
