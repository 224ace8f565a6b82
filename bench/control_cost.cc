#include "bench/control_cost.h"

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "bench/fleet_sim.h"
#include "bench/linear_fit.h"
#include "bench/reference_loop.h"

namespace burdockhatch::bench {

namespace {

using namespace std::chrono_literals;

// The design scale.
constexpr int kEntries = 320;
constexpr int kAgents = 750;
constexpr int kDataCentres = 7;
constexpr int kModels = 7;
constexpr int kAccounts = 2'800;
constexpr double kRequestsPerSecond = 4'900;
constexpr double kRequestsPerEntry = kRequestsPerSecond / kEntries;
constexpr double kRequestsPerAgent = kRequestsPerSecond / kAgents;
constexpr double kChangesPerSecond = 610.0 / 86'400;

// Bounds of the control plane on each node.
constexpr double kMostBytes = 27'000;  // A second, sent and received.
constexpr double kMostHeap = 32e6;
constexpr double kMostCpuPercent = 4.3;
constexpr double kMostWrites = 300;  // Object API calls a second.
constexpr double kMostReads = 2'000;
constexpr double kMostSpreadSeconds = 9;

constexpr uint64_t kDistinctBlocks = 200;  // Keeps runs of a fleet short.
constexpr double kInstancePollSeconds = 15;
constexpr double kClaimWritesPerService = 160;

// Long enough that leases of account shares and idle buckets are in balance.
constexpr Duration kWarmUp = 15s;
constexpr Duration kWindow = 10s;

constexpr double kWindowSeconds = 10;

struct NodeCost {
  std::array<double, kTrafficGroupCount> sent{};      // Bytes a second.
  std::array<double, kTrafficGroupCount> received{};  // Bytes a second.
  std::array<double, kTrafficGroupCount> messages{};  // Both ways, a second.
  double cpu = 0;                                     // Share of a core.
  double heap = 0;                                    // Bytes.

  double Bytes(TrafficGroup group) const {
    const auto i = static_cast<size_t>(group);
    return sent[i] + received[i];
  }
  double AllBytes() const {
    double sum = 0;
    for (int i = 0; i < kTrafficGroupCount; ++i) {
      sum += Bytes(static_cast<TrafficGroup>(i));
    }
    return sum;
  }
  double AllMessages() const {
    double sum = 0;
    for (const double it : messages) {
      sum += it;
    }
    return sum;
  }
};

struct Sample {
  NodeCost entry;
  NodeCost agent;
  double followed = 0;
  double subscribers = 0;
  double running = 0;
  double closed = 0;
  double buckets = 0;
  double failed = 0;  // Share of the requests.
  double config_heap = 0;
  double document = 0;
  ObjectCalls object_calls;
};

NodeCost CostOf(const std::function<Traffic(TrafficGroup)>& traffic,
                int nodes) {
  NodeCost cost;
  for (size_t i = 0; i < kTrafficGroupCount; ++i) {
    const Traffic it = traffic(static_cast<TrafficGroup>(i));
    const double scale = 1.0 / (kWindowSeconds * std::max(nodes, 1));
    cost.sent[i] = static_cast<double>(it.sent_bytes) * scale;
    cost.received[i] = static_cast<double>(it.received_bytes) * scale;
    cost.messages[i] =
        static_cast<double>(it.sent_messages + it.received_messages) * scale;
  }
  return cost;
}

// Takes the figures of the window that has just passed. Ends the first entry
// and the first agent.
Sample TakeSample(FleetSim& sim, const FleetSimOptions& options) {
  Sample sample;
  sample.entry = CostOf([&](TrafficGroup it) { return sim.EntryTraffic(it); },
                        options.entries);
  sample.agent = CostOf([&](TrafficGroup it) { return sim.AgentTraffic(it); },
                        options.agents);
  sample.entry.cpu = sim.EntryCpuSeconds() / kWindowSeconds;
  sample.agent.cpu = sim.AgentCpuSeconds() / kWindowSeconds;
  sample.followed = sim.FollowedTargets();
  sample.subscribers = sim.Subscribers();
  sample.running = sim.RunningAttempts();
  sample.closed = sim.ClosedAttempts();
  sample.buckets = sim.AccountBuckets();
  sample.object_calls = sim.object_calls();
  const auto ended = static_cast<double>(sim.completed() + sim.failed());
  sample.failed = ended > 0 ? static_cast<double>(sim.failed()) / ended : 0;
  sample.config_heap = static_cast<double>(sim.ConfigHeap());
  sample.document = static_cast<double>(sim.ConfigDocumentBytes());
  sample.entry.heap = static_cast<double>(sim.TakeEntryHeap());
  sample.agent.heap = static_cast<double>(sim.TakeAgentHeap());
  return sample;
}

// `changes` configuration changes are made within the window.
Sample RunSample(const FleetSimOptions& options, int changes = 0) {
  // Runs of many entries take minutes.
  fmt::print(stderr, "control: {} entries, {} agents, {} accounts\n",
             options.entries, options.agents, options.accounts);
  FleetSim sim(options);
  sim.Run(kWarmUp);
  sim.ResetCounters();
  for (int i = 0; i < changes; ++i) {
    sim.ChangeConfig();
    sim.Run(kWindow / changes);
  }
  if (changes == 0) {
    sim.Run(kWindow);
  }
  return TakeSample(sim, options);
}

using Points = std::vector<std::pair<double, double>>;

// Prints the slope, the intercept and the residual of one line.
LinearFit AddFit(Report* report,
                 const std::string& name,
                 const std::string& unit,
                 const std::string& per,
                 const Points& points,
                 bool deterministic = true) {
  const LinearFit fit = FitLine(points);
  const std::string per_unit = unit + "/" + per;
  report->Add({"control", name + ": slope", per_unit, fit.slope, std::nullopt,
               deterministic});
  report->Add({"control", name + ": at zero", unit, fit.intercept, std::nullopt,
               deterministic});
  report->Add({"control", name + ": largest residual", "share", fit.residual,
               std::nullopt, deterministic});
  return fit;
}

// Lines that the extrapolation to the design scale is put together from.
struct Slopes {
  LinearFit entry_reports;      // By targets followed.
  LinearFit entry_heap;         // By targets followed.
  LinearFit entry_listed;       // Heap, by targets listed.
  LinearFit entry_requests;     // By requests a second.
  LinearFit entry_shares;       // By entries.
  LinearFit entry_bucket_heap;  // By entries, with their peers and buckets.
  LinearFit entry_config;       // By changes a second.
  LinearFit entry_cpu_targets;
  LinearFit entry_cpu_listed;
  LinearFit entry_cpu_requests;
  LinearFit entry_cpu_entries;
  double heartbeats = 0;
  LinearFit agent_reports;   // By subscribers.
  LinearFit agent_heap;      // By subscribers.
  LinearFit agent_requests;  // By requests a second.
  LinearFit agent_heap_running;
  LinearFit agent_cpu_subscribers;
  LinearFit agent_cpu_running;
  LinearFit config_heap;  // By client accounts.
  LinearFit document;     // By client accounts.
};

void RunTargetSlopes(uint64_t seed, Report* report, Slopes* slopes) {
  Points bytes;
  Points heap;
  Points cpu;
  for (const int n : {12, 24, 48, 96}) {
    FleetSimOptions options;
    options.seed = seed;
    options.agents = n;
    options.subset_size = static_cast<uint32_t>(n);
    const Sample sample = RunSample(options);
    bytes.emplace_back(n, sample.entry.Bytes(TrafficGroup::kReports));
    heap.emplace_back(n, sample.entry.heap);
    cpu.emplace_back(n, sample.entry.cpu * 100);
  }
  slopes->entry_reports = AddFit(report, "entry, reports by targets followed",
                                 "B/s", "target", bytes);
  slopes->entry_heap =
      AddFit(report, "entry, heap by targets followed", "B", "target", heap);
  slopes->entry_cpu_targets = AddFit(report, "entry, CPU by targets followed",
                                     "%", "target", cpu, false);
}

void RunListedSlopes(uint64_t seed, Report* report, Slopes* slopes) {
  Points heap;
  Points cpu;
  for (const int n : {185, 370, 740}) {
    FleetSimOptions options;
    options.seed = seed;
    options.unfollowed_agents = n;
    const Sample sample = RunSample(options);
    heap.emplace_back(n, sample.entry.heap);
    cpu.emplace_back(n, sample.entry.cpu * 100);
  }
  slopes->entry_listed =
      AddFit(report, "entry, heap by targets listed, not followed", "B",
             "target", heap);
  slopes->entry_cpu_listed =
      AddFit(report, "entry, CPU by targets listed, not followed", "%",
             "target", cpu, false);
}

void RunSubscriberSlopes(uint64_t seed, Report* report, Slopes* slopes) {
  Points bytes;
  Points heap;
  Points cpu;
  for (const int n : {5, 10, 20, 40}) {
    FleetSimOptions options;
    options.seed = seed;
    options.entries = n;
    options.agents = 6;
    const Sample sample = RunSample(options);
    bytes.emplace_back(sample.subscribers,
                       sample.agent.Bytes(TrafficGroup::kReports));
    heap.emplace_back(sample.subscribers, sample.agent.heap);
    cpu.emplace_back(sample.subscribers, sample.agent.cpu * 100);
  }
  slopes->agent_reports = AddFit(report, "agent, reports by subscribers", "B/s",
                                 "subscriber", bytes);
  slopes->agent_heap =
      AddFit(report, "agent, heap by subscribers", "B", "subscriber", heap);
  slopes->agent_cpu_subscribers = AddFit(report, "agent, CPU by subscribers",
                                         "%", "subscriber", cpu, false);
}

void RunRequestSlopes(uint64_t seed, Report* report, Slopes* slopes) {
  Points entry_bytes;
  Points entry_cpu;
  Points agent_bytes;
  for (const int rate : {5, 10, 20}) {
    FleetSimOptions options;
    options.seed = seed;
    options.requests_per_entry = rate;
    const Sample sample = RunSample(options);
    entry_bytes.emplace_back(rate, sample.entry.Bytes(TrafficGroup::kRequests));
    entry_cpu.emplace_back(rate, sample.entry.cpu * 100);
    agent_bytes.emplace_back(static_cast<double>(rate) / options.agents,
                             sample.agent.Bytes(TrafficGroup::kRequests));
  }
  slopes->entry_requests = AddFit(report, "entry, requests by rate", "B/s",
                                  "request/s", entry_bytes);
  slopes->entry_cpu_requests =
      AddFit(report, "entry, CPU by rate", "%", "request/s", entry_cpu, false);
  slopes->agent_requests = AddFit(report, "agent, requests by rate", "B/s",
                                  "request/s", agent_bytes);
}

void RunRunningSlopes(uint64_t seed, Report* report, Slopes* slopes) {
  Points heap;
  Points cpu;
  for (const int seconds : {2, 4, 8, 16}) {
    FleetSimOptions options;
    options.seed = seed;
    options.agents = 1;
    options.requests_per_entry = kRequestsPerAgent;
    options.service_time = std::chrono::seconds(seconds);
    const Sample sample = RunSample(options);
    heap.emplace_back(sample.running, sample.agent.heap);
    cpu.emplace_back(sample.running, sample.agent.cpu * 100);
  }
  slopes->agent_heap_running =
      AddFit(report, "agent, heap by running attempts", "B", "attempt", heap);
  slopes->agent_cpu_running = AddFit(report, "agent, CPU by running attempts",
                                     "%", "attempt", cpu, false);
}

// Enough agents for the requests of hundreds of entries, of which each entry
// follows twelve.
void SpreadLoad(FleetSimOptions* options) {
  options->agents = 84;
  options->subset_size = 12;
  options->service_time = 500ms;
  options->distinct_blocks = kDistinctBlocks;
}

void RunFleetSlopes(uint64_t seed, Report* report, Slopes* slopes) {
  Points shares;
  Points heap;
  Points cpu;
  for (const int n : {40, 80, 160}) {
    FleetSimOptions options;
    options.seed = seed;
    options.entries = n;
    SpreadLoad(&options);
    options.accounts = kAccounts;
    options.active_accounts = kAccounts;
    options.requests_per_entry = kRequestsPerEntry;
    const Sample sample = RunSample(options);
    shares.emplace_back(n, sample.entry.Bytes(TrafficGroup::kShares));
    heap.emplace_back(n, sample.entry.heap - sample.config_heap);
    cpu.emplace_back(n, sample.entry.cpu * 100);
    slopes->heartbeats = sample.entry.Bytes(TrafficGroup::kPeers);
  }
  slopes->entry_shares = AddFit(report, "entry, account shares by entries",
                                "B/s", "entry", shares);
  slopes->entry_bucket_heap =
      AddFit(report, "entry, heap by entries", "B", "entry", heap);
  slopes->entry_cpu_entries =
      AddFit(report, "entry, CPU by entries", "%", "entry", cpu, false);
  report->Note("control", "entry, heartbeats to and from peers", "B/s",
               slopes->heartbeats);
}

void RunActiveAccountSlopes(uint64_t seed, Report* report) {
  Points shares;
  for (const int n : {700, 1'400, 2'800}) {
    FleetSimOptions options;
    options.seed = seed;
    options.entries = 40;
    SpreadLoad(&options);
    options.accounts = n;
    options.active_accounts = n;
    options.requests_per_entry = kRequestsPerEntry;
    const Sample sample = RunSample(options);
    shares.emplace_back(n, sample.entry.Bytes(TrafficGroup::kShares));
  }
  AddFit(report, "entry, account shares by active accounts", "B/s", "account",
         shares);
}

void RunDocumentSlopes(uint64_t seed, Report* report, Slopes* slopes) {
  Points document;
  Points heap;
  for (const int n : {700, 1'400, 2'800}) {
    FleetSimOptions options;
    options.seed = seed;
    options.accounts = n;
    options.templates_per_account = 2;
    options.agents = 6;
    const FleetSim sim(options);
    document.emplace_back(n, static_cast<double>(sim.ConfigDocumentBytes()));
    heap.emplace_back(n, static_cast<double>(sim.ConfigHeap()));
  }
  slopes->document = AddFit(report, "configuration document by client accounts",
                            "B", "account", document);
  slopes->config_heap = AddFit(report, "configuration, heap by client accounts",
                               "B", "account", heap);
}

void RunChangeSlopes(uint64_t seed, Report* report, Slopes* slopes) {
  Points bytes;
  for (const int changes : {2, 5, 10}) {
    FleetSimOptions options;
    options.seed = seed;
    options.entries = 14;
    const Sample sample = RunSample(options, changes);
    bytes.emplace_back(changes / kWindowSeconds,
                       sample.entry.Bytes(TrafficGroup::kConfig));
  }
  slopes->entry_config = AddFit(report, "entry, configuration by changes",
                                "B/s", "change/s", bytes);
}

void CheckBytes(Report* report,
                const std::string& experiment,
                const std::string& name,
                double value) {
  report->Check(experiment, name, "B/s", value, {Sense::kAtMost, kMostBytes});
}

void CheckHeap(Report* report,
               const std::string& experiment,
               const std::string& name,
               double value) {
  report->Check(experiment, name, "MB", value / 1e6,
                {Sense::kAtMost, kMostHeap / 1e6});
}

// CPU time depends on the machine: it is shown beside the figure asked for,
// without a verdict.
void NoteCpu(Report* report,
             const std::string& experiment,
             const std::string& name,
             double percent) {
  report->Add({experiment, name, "%", percent, std::nullopt, false});
  report->Add({experiment, name + ", share of 4.3%", "ratio",
               percent / kMostCpuPercent, std::nullopt, false});
}

void Extrapolate(const Slopes& s,
                 double followed,
                 double subscribers,
                 Report* report) {
  const double listed = kAgents - followed;
  CheckBytes(report, "control", "entry, extrapolated: sent and received",
             s.entry_reports.At(followed) + s.heartbeats +
                 s.entry_requests.At(kRequestsPerEntry) +
                 s.entry_shares.At(kEntries) +
                 s.entry_config.slope * kChangesPerSecond);
  CheckHeap(
      report, "control", "entry, extrapolated: heap",
      s.entry_bucket_heap.At(kEntries) + s.entry_heap.slope * (followed - 12) +
          s.entry_listed.slope * (listed - 72) + s.config_heap.At(kAccounts));
  NoteCpu(report, "control", "entry, extrapolated: CPU",
          s.entry_cpu_entries.At(kEntries) +
              s.entry_cpu_targets.slope * (followed - 12) +
              s.entry_cpu_listed.slope * (listed - 72));
  CheckBytes(
      report, "control", "agent, extrapolated: sent and received",
      s.agent_reports.At(subscribers) + s.agent_requests.At(kRequestsPerAgent));
  CheckHeap(report, "control", "agent, extrapolated: heap",
            s.agent_heap_running.At(kRequestsPerAgent * 19) +
                s.agent_heap.slope * subscribers + s.config_heap.At(kAccounts));
  NoteCpu(report, "control", "agent, extrapolated: CPU",
          s.agent_cpu_running.At(kRequestsPerAgent * 19) +
              s.agent_cpu_subscribers.slope * subscribers);
}

void AddGroups(Report* report, const std::string& role, const NodeCost& cost) {
  for (size_t i = 0; i < kTrafficGroupCount; ++i) {
    const std::string name =
        fmt::format("{}, {}", role, ToString(static_cast<TrafficGroup>(i)));
    report->Note("fleet", name + ": sent", "B/s", cost.sent[i]);
    report->Note("fleet", name + ": received", "B/s", cost.received[i]);
    report->Note("fleet", name + ": messages", "1/s", cost.messages[i]);
  }
}

void AddObjectCalls(Report* report, const ObjectCalls& calls) {
  const double watches = static_cast<double>(calls.watches) / kWindowSeconds;
  const double polls = static_cast<double>(calls.polls) / kWindowSeconds;
  const double lists = (kEntries + kAgents) / kInstancePollSeconds;
  report->Note("fleet", "object API, watches", "1/s", watches);
  report->Note("fleet", "object API, fallback polls", "1/s", polls);
  report->Note("fleet", "object API, instance list polls", "1/s", lists);
  report->Check("fleet", "object API, reads of the fleet", "1/s",
                watches + polls + lists, {Sense::kAtMost, kMostReads});
  report->Check("fleet", "object API, writes with one claiming service", "1/s",
                kClaimWritesPerService + kChangesPerSecond,
                {Sense::kAtMost, kMostWrites});
}

// Time until the newest change is in force in every process.
double SpreadSeconds(FleetSim& sim) {
  constexpr Duration kPoll = 20ms;
  sim.ChangeConfig();
  double seconds = 0;
  while (!sim.ConfigInForce() && seconds < 2 * kMostSpreadSeconds) {
    sim.Run(kPoll);
    seconds += 0.02;
  }
  return seconds;
}

// Configuration through every process over a link that loses messages.
void RunSpread(uint64_t seed,
               Duration link_delay,
               double lost_messages,
               Report* report) {
  FleetSimOptions options;
  options.seed = seed;
  options.entries = kEntries;
  options.agents = kAgents;
  options.models = kModels;
  options.cached_prefixes = 0;
  options.link_delay = link_delay;
  options.lost_messages = lost_messages;
  FleetSim sim(options);
  sim.Run(5s);
  double slowest = 0;
  for (int i = 0; i < 5; ++i) {
    slowest = std::max(slowest, SpreadSeconds(sim));
    sim.Run(500ms);
  }
  report->Check(
      "spread",
      fmt::format("in force in 1,070 processes, {} ms a hop, {:.0f}% lost",
                  link_delay / 1ms, lost_messages * 100),
      "s", slowest, {Sense::kAtMost, kMostSpreadSeconds});
}

FleetSimOptions DesignScale(uint64_t seed) {
  FleetSimOptions options;
  options.seed = seed;
  options.entries = kEntries;
  options.agents = kAgents;
  options.data_centres = kDataCentres;
  options.models = kModels;
  options.accounts = kAccounts;
  options.active_accounts = kAccounts;
  options.requests_per_entry = kRequestsPerEntry;
  options.distinct_blocks = kDistinctBlocks;
  return options;
}

// Targets that an entry follows and subscribers of an agent at the design
// scale, without requests.
std::pair<double, double> FleetDegrees(uint64_t seed) {
  FleetSimOptions options = DesignScale(seed);
  options.accounts = 1;
  options.requests_per_entry = 0;
  FleetSim sim(options);
  sim.Run(2s);
  return {sim.FollowedTargets(), sim.Subscribers()};
}

}  // namespace

void RunControl(const ExperimentOptions& options, Report* report) {
  Slopes slopes;
  RunTargetSlopes(options.seed, report, &slopes);
  RunListedSlopes(options.seed, report, &slopes);
  RunSubscriberSlopes(options.seed, report, &slopes);
  RunRequestSlopes(options.seed, report, &slopes);
  RunRunningSlopes(options.seed, report, &slopes);
  RunFleetSlopes(options.seed, report, &slopes);
  RunActiveAccountSlopes(options.seed, report);
  RunChangeSlopes(options.seed, report, &slopes);
  RunDocumentSlopes(options.seed, report, &slopes);
  const auto [followed, subscribers] = FleetDegrees(options.seed);
  report->Note("control", "design scale, targets followed by an entry", "count",
               followed);
  report->Note("control", "design scale, subscribers of an agent", "count",
               subscribers);
  Extrapolate(slopes, followed, subscribers, report);
  report->Check("control", "configuration document, 2,800 accounts", "B",
                slopes.document.At(kAccounts) + 64 * 1024,
                {Sense::kAtMost, 1 << 20});
  report->Add({"control", "1,000,000 steps of the reference loop", "ms",
               ReferenceSeconds() * 1e3, std::nullopt, false});
}

void RunFleet(const ExperimentOptions& options, Report* report) {
  const Sample sample = RunSample(DesignScale(options.seed));
  report->Note("fleet", "targets followed by an entry", "count",
               sample.followed);
  report->Note("fleet", "subscribers of an agent", "count", sample.subscribers);
  report->Note("fleet", "client accounts at an entry", "count", sample.buckets);
  report->Check("fleet", "requests that failed", "share", sample.failed,
                {Sense::kAtMost, 0.001});
  AddGroups(report, "entry", sample.entry);
  AddGroups(report, "agent", sample.agent);
  CheckBytes(report, "fleet", "entry: sent and received",
             sample.entry.AllBytes());
  report->Note("fleet", "entry: messages", "1/s", sample.entry.AllMessages());
  CheckHeap(report, "fleet", "entry: heap", sample.entry.heap);
  NoteCpu(report, "fleet", "entry: CPU", sample.entry.cpu * 100);
  CheckBytes(report, "fleet", "agent: sent and received",
             sample.agent.AllBytes());
  report->Note("fleet", "agent: messages", "1/s", sample.agent.AllMessages());
  CheckHeap(report, "fleet", "agent: heap", sample.agent.heap);
  NoteCpu(report, "fleet", "agent: CPU", sample.agent.cpu * 100);
  AddObjectCalls(report, sample.object_calls);
}

void RunConfigSpread(const ExperimentOptions& options, Report* report) {
  RunSpread(options.seed, 20ms, 0.05, report);
  RunSpread(options.seed, 100ms, 0.3, report);
}

}  // namespace burdockhatch::bench
