// The benchmark: seeded policy experiments in virtual time and control-cost
// slopes. Prints a signature that is the same on every machine; exits with 1
// when a bound is broken.

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "bench/control_cost.h"
#include "bench/experiments.h"
#include "bench/mixed_lengths.h"
#include "bench/report.h"

ABSL_FLAG(uint64_t, seed, 1, "Seed of the workloads.");
ABSL_FLAG(int, replicas, 16, "Model-serving replicas.");
ABSL_FLAG(bool, json, false, "Print the figures as JSON.");
ABSL_FLAG(
    std::string,
    only,
    "",
    "Run one experiment: slowdown, overload, long, data_centre, cold, control, "
    "decision, fleet, spread, mixed.");

namespace burdockhatch::bench {
namespace {

using Experiment = void (*)(const ExperimentOptions&, Report*);

constexpr std::pair<std::string_view, Experiment> kExperiments[] = {
    {"slowdown", RunSlowdown},   {"overload", RunOverload},
    {"long", RunLongPrompts},    {"data_centre", RunDataCentreChange},
    {"cold", RunColdTargets},    {"decision", RunDecision},
    {"control", RunControl},     {"fleet", RunFleet},
    {"spread", RunConfigSpread}, {"mixed", RunMixedLengths},
};

int Main() {
  ExperimentOptions options;
  options.seed = absl::GetFlag(FLAGS_seed);
  options.replicas = absl::GetFlag(FLAGS_replicas);
  const std::string only = absl::GetFlag(FLAGS_only);
  Report report;
  for (const auto& [name, run] : kExperiments) {
    if (only.empty() || only == name) {
      run(options, &report);
    }
  }
  if (absl::GetFlag(FLAGS_json)) {
    report.PrintJson();
  } else {
    report.PrintTable();
    fmt::print("\nsignature {:016x}\nbounds broken: {}\n", report.Signature(),
               report.Broken());
  }
  return report.Broken() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace burdockhatch::bench

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Policy and control-cost benchmark.");
  absl::ParseCommandLine(argc, argv);
  return burdockhatch::bench::Main();
}
