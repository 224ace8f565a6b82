#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/allocation_counter.h"
#include "bench/control_cost.h"
#include "bench/fleet_sim.h"
#include "bench/reference_loop.h"
#include "src/entry_tables.h"
#include "src/fleet_table.h"
#include "src/placement.h"

namespace burdockhatch::bench {

namespace {

constexpr int kTargets = 750;
constexpr int kDecisions = 2'000;
constexpr int kRuns = 7;
constexpr uint64_t kSharedPrefix = 42;  // Cached by every tenth target.
constexpr double kMostMicroseconds = 5;
constexpr Time kNow{std::chrono::seconds(10)};

AgentState StateOf(int index, uint64_t sequence) {
  AgentState state;
  state.sequence = sequence;
  state.target = TargetId(fmt::format("target-{:04}", index));
  state.model = ModelId("model");
  state.ready = true;
  state.memory_total = Tokens(450'000);
  state.memory_free = Tokens(200'000);
  state.warm_budget = Tokens(200'000);
  state.full_budget = Tokens(200'000);
  state.in_flight = Tokens(1'000 * (index % 90));
  state.prefill_rate = TokensPerSecond(20'000);
  if (index % 10 == 0) {
    state.cached_prefixes.push_back(kSharedPrefix);
  }
  return state;
}

void AddTargets(EntryTables& tables) {
  for (int i = 0; i < kTargets; ++i) {
    InstanceInfo info;
    info.instance = InstanceId(fmt::format("agent-{:04}", i));
    info.role = Role::kAgent;
    info.data_centre = DataCentreId(fmt::format("data-centre-{}", i % 7));
    info.address = "10.0.0.1:7001";
    info.target = TargetId(fmt::format("target-{:04}", i));
    info.model = ModelId("model");
    const TargetSlot slot = AddOrUpdateTarget(tables, info);
    TargetRow& row = tables.fleet.rows[slot];
    row.connected = true;
    row.listed = true;
    row.incarnation = Incarnation(1);
    row.last_heard = kNow;
    ApplyAgentState(tables.fleet, slot, Incarnation(1), StateOf(i, 1));
    RefreshAvailability(tables.fleet, slot, kNow);
  }
}

struct DecisionRun {
  double seconds = 0;
  uint64_t allocations = 0;
  int chosen = 0;
};

DecisionRun Decide(FleetTable& fleet, Tokens prompt) {
  std::vector<uint64_t> hashes(static_cast<size_t>(prompt.value() / 1'000 + 1),
                               kSharedPrefix + 1);
  hashes[0] = kSharedPrefix;
  PlacementQuery query;
  query.candidates = &fleet.by_model.at(ModelId("model"));
  query.prompt = prompt;
  query.max_total_tokens = prompt + Tokens(300);
  query.prefix_hashes = &hashes;
  DecisionRun run;
  const uint64_t allocations = AllocationCount();
  const double start = ThreadCpuSeconds();
  for (int i = 0; i < kDecisions; ++i) {
    query.random_bits = static_cast<uint64_t>(i) * 0x9e3779b97f4a7c15ULL;
    BeginDecision(fleet);
    run.chosen += ChooseTarget(fleet, query).slot ? 1 : 0;
  }
  run.seconds = ThreadCpuSeconds() - start;
  run.allocations = AllocationCount() - allocations;
  return run;
}

}  // namespace

void RunDecision(const ExperimentOptions&, Report* report) {
  EntryTables tables;
  tables.options.data_centre = DataCentreId("data-centre-0");
  AddTargets(tables);
  const double reference = ReferenceSeconds();
  for (const int64_t prompt : {int64_t{1'000}, int64_t{100'000}}) {
    DecisionRun best = Decide(tables.fleet, Tokens(prompt));
    uint64_t allocations = best.allocations;
    for (int i = 1; i < kRuns; ++i) {
      const DecisionRun run = Decide(tables.fleet, Tokens(prompt));
      best.seconds = std::min(best.seconds, run.seconds);
      allocations += run.allocations;
    }
    const std::string name =
        fmt::format("among {} targets, {}k tokens: ", kTargets, prompt / 1'000);
    report->Check("decision", name + "choices that found a target", "share",
                  static_cast<double>(best.chosen) / kDecisions,
                  {Sense::kAtLeast, 1});
    report->Check("decision", name + "allocations", "count",
                  static_cast<double>(allocations), {Sense::kAtMost, 0});
    const double microseconds = best.seconds / kDecisions * 1e6;
    report->Add(
        {"decision", name + "time", "us", microseconds, std::nullopt, false});
    // In units of 1,000 steps of the reference loop.
    report->Add({"decision", name + "1,000 reference steps", "ratio",
                 best.seconds / kDecisions / (reference / 1'000), std::nullopt,
                 false});
    report->Add({"decision", name + "of the target of 5 us", "ratio",
                 microseconds / kMostMicroseconds, std::nullopt, false});
  }
  report->Add({"decision", "1,000 steps of the reference loop", "us",
               reference * 1e3, std::nullopt, false});
}

}  // namespace burdockhatch::bench
