#include "bench/experiments.h"

#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/policy_run.h"
#include "bench/statistics.h"
#include "bench/workload.h"

namespace burdockhatch::bench {

namespace {

using namespace std::chrono_literals;

constexpr Policy kPolicies[] = {Policy::kBurdockhatch, Policy::kRoundRobin,
                                Policy::kLeastOutstanding};

constexpr std::string_view kClassNames[kLengthClassCount] = {"short", "medium",
                                                             "long", "huge"};

WorkloadOptions Workload(const ExperimentOptions& options,
                         double load,
                         LengthClass longest = LengthClass::kHuge) {
  WorkloadOptions workload;
  workload.seed = options.seed;
  workload.replicas = options.replicas;
  workload.load = load;
  workload.longest = longest;
  return workload;
}

RunOptions Options(const ExperimentOptions& options, Policy policy) {
  RunOptions run;
  run.policy = policy;
  run.replicas = options.replicas;
  run.seed = options.seed;
  return run;
}

void NoteEnds(const std::string& experiment,
              const std::string& prefix,
              const std::vector<WorkItem>& items,
              const RunResult& result,
              Report* report) {
  report->Note(experiment, prefix + "requests", "", items.size());
  report->Note(experiment, prefix + "answered", "",
               CountEnd(result, End::kAnswered));
  report->Note(experiment, prefix + "refused not_run", "",
               CountEnd(result, End::kRefused));
  report->Note(experiment, prefix + "failed", "",
               CountEnd(result, End::kFailed));
  report->Note(experiment, prefix + "cache hit share", "",
               result.cache_hit_share);
  std::map<ErrorCode, std::map<LengthClass, int>> codes;
  for (size_t n = 0; n < items.size(); ++n) {
    if (result.items[n].code != ErrorCode::kNone) {
      ++codes[result.items[n].code][ClassifyPromptLength(items[n].prompt)];
    }
  }
  for (const auto& [code, by_class] : codes) {
    for (const auto& [length, count] : by_class) {
      report->Note(experiment,
                   fmt::format("{}{}, {}", prefix, ToString(code),
                               kClassNames[static_cast<int>(length)]),
                   "", count);
    }
  }
  report->Note(experiment, prefix + "offers per request", "",
               static_cast<double>(result.offers) / items.size());
}

void NoteFirstToken(const std::string& experiment,
                    const std::string& prefix,
                    const std::vector<WorkItem>& items,
                    const RunResult& result,
                    Report* report) {
  for (int n = 0; n < kLengthClassCount; ++n) {
    const auto seconds =
        FirstTokenSeconds(items, result, static_cast<LengthClass>(n));
    for (const double q : {0.5, 0.95, 0.99}) {
      report->Note(experiment,
                   fmt::format("{}first token {} p{:g}", prefix, kClassNames[n],
                               q * 100),
                   "s", Quantile(seconds, q));
    }
  }
}

// Faults of the run that no experiment allows.
void CheckInvariants(const std::string& experiment,
                     const std::vector<WorkItem>& items,
                     const RunResult& result,
                     Report* report) {
  report->Check(experiment, "requests that end late or never", "",
                CountOverdue(items, result), {Sense::kAtMost, 0});
  report->Check(experiment, "tokens left booked at engines", "tokens",
                result.memory_left.value(), {Sense::kAtMost, 0});
  report->Check(experiment, "engines overloaded while cold", "",
                result.fell_over, {Sense::kAtMost, 0});
}

}  // namespace

void RunSlowdown(const ExperimentOptions& options, Report* report) {
  const std::string experiment = "slowdown of short requests at 0.8";
  const auto items = MakeWorkload(Workload(options, 0.8));
  const auto alone_items =
      MakeWorkload(Workload(options, 0.8, LengthClass::kShort));
  double own_p95 = 0;
  double best_baseline_p95 = 0;
  for (const Policy policy : kPolicies) {
    const RunResult mixed = Run(Options(options, policy), items);
    const RunResult alone = Run(Options(options, policy), alone_items);
    const auto slowdown = ShortSlowdown(items, mixed, alone_items, alone);
    const std::string prefix = fmt::format("{}: ", ToString(policy));
    const double p95 = Quantile(slowdown, 0.95);
    report->Note(experiment, prefix + "slowdown p50", "x",
                 Quantile(slowdown, 0.5));
    report->Note(experiment, prefix + "slowdown p95", "x", p95);
    report->Note(experiment, prefix + "slowdown p99", "x",
                 Quantile(slowdown, 0.99));
    NoteEnds(experiment, prefix, items, mixed, report);
    NoteFirstToken(experiment, prefix, items, mixed, report);
    if (policy != Policy::kBurdockhatch) {
      best_baseline_p95 =
          best_baseline_p95 == 0 ? p95 : std::min(best_baseline_p95, p95);
      continue;
    }
    own_p95 = p95;
    report->Check(experiment, "slowdown p95", "x", p95, {Sense::kAtMost, 1.25});
    report->Check(experiment, "first token, all, p95", "s",
                  Quantile(FirstTokenSeconds(items, mixed), 0.95),
                  {Sense::kAtMost, 0.43});
    report->Check(
        experiment, "first token, short, p99", "s",
        Quantile(FirstTokenSeconds(items, mixed, LengthClass::kShort), 0.99),
        {Sense::kAtMost, 0.43});
    report->Check(experiment, "between tokens, p95", "ms",
                  Quantile(TokenGapMs(items, mixed), 0.95),
                  {Sense::kAtMost, 63});
    CheckInvariants(experiment, items, mixed, report);
  }
  report->Check(experiment, "best baseline p95 over own p95", "x",
                best_baseline_p95 / own_p95, {Sense::kAtLeast, 3});
}

void RunOverload(const ExperimentOptions& options, Report* report) {
  const std::string experiment = "goodput against offered load";
  for (const Policy policy : kPolicies) {
    double at_capacity = 0;
    for (const double load : {0.3, 0.6, 0.8, 1.0, 1.5, 2.0}) {
      const auto items = MakeWorkload(Workload(options, load));
      const RunResult result = Run(Options(options, policy), items);
      const double goodput = Goodput(items, result);
      const std::string prefix =
          fmt::format("{} at {:g}: ", ToString(policy), load);
      report->Note(experiment, prefix + "goodput", "1/s", goodput);
      report->Note(experiment, prefix + "offers per request", "",
                   static_cast<double>(result.offers) / items.size());
      if (load == 1.0) {
        at_capacity = goodput;
      }
      if (policy == Policy::kBurdockhatch) {
        NoteEnds(experiment, prefix, items, result, report);
        CheckInvariants(experiment, items, result, report);
      }
      if (policy == Policy::kBurdockhatch && load == 2.0) {
        report->Check(experiment, "goodput at 2 over goodput at 1", "x",
                      goodput / at_capacity, {Sense::kAtLeast, 0.95});
        report->Check(experiment, "offers per request at 2", "",
                      static_cast<double>(result.offers) / items.size(),
                      {Sense::kAtMost, 3});
      }
    }
  }
}

void RunLongPrompts(const ExperimentOptions& options, Report* report) {
  const std::string experiment = "long prompts at 0.6";
  auto items = MakeWorkload(Workload(options, 0.6));
  // Two prompts of a million tokens at the same moment, three times.
  const size_t step = items.size() / 8;
  for (const size_t n : {step, 3 * step, 5 * step}) {
    for (const size_t k : {n, n + 1}) {
      items[k].prompt = kLongestPrompt;
      items[k].prefix_hashes.clear();
      items[k].deadline = DeadlineFor(items[k].prompt, items[k].max_output);
    }
    items[n + 1].arrival = items[n].arrival + 1us;
  }
  const RunResult result = Run(Options(options, Policy::kBurdockhatch), items);
  int huge = 0;
  int huge_answered = 0;
  for (size_t n = 0; n < items.size(); ++n) {
    if (ClassifyPromptLength(items[n].prompt) == LengthClass::kHuge) {
      ++huge;
      huge_answered += result.items[n].end == End::kAnswered ? 1 : 0;
    }
  }
  NoteEnds(experiment, "", items, result, report);
  NoteFirstToken(experiment, "", items, result, report);
  report->Note(experiment, "prompts over 100,000 tokens", "", huge);
  report->Check(experiment, "share of these answered", "",
                static_cast<double>(huge_answered) / huge,
                {Sense::kAtLeast, 1});
  CheckInvariants(experiment, items, result, report);
}

void RunDataCentreChange(const ExperimentOptions& options, Report* report) {
  const std::string experiment = "data centre out and back at 0.6";
  WorkloadOptions workload = Workload(options, 0.6);
  workload.length = 120s;
  const auto items = MakeWorkload(workload);
  workload.longest = LengthClass::kShort;
  const auto alone_items = MakeWorkload(workload);
  const RunResult alone =
      Run(Options(options, Policy::kBurdockhatch), alone_items);
  RunOptions run = Options(options, Policy::kBurdockhatch);
  run.withdraw_at = 30s;
  run.return_at = 90s;
  const RunResult result = Run(run, items);
  NoteEnds(experiment, "", items, result, report);
  report->Check(experiment, "answers lost", "",
                CountEnd(result, End::kFailed) + CountEnd(result, End::kNone),
                {Sense::kAtMost, 0});
  report->Check(
      experiment, "short slowdown p95", "x",
      Quantile(ShortSlowdown(items, result, alone_items, alone), 0.95),
      {Sense::kAtMost, 1.5});
  report->Check(experiment, "dispatched to the withdrawn data centre", "",
                result.offers_to_withdrawn, {Sense::kAtMost, 0});
  report->Check(experiment, "seconds to settle after the return", "s",
                result.settle_seconds == 0 ? 1e9 : result.settle_seconds,
                {Sense::kAtMost, 10});
  CheckInvariants(experiment, items, result, report);
}

void RunColdTargets(const ExperimentOptions& options, Report* report) {
  const std::string experiment = "warm targets turn cold at 0.6";
  const auto items = MakeWorkload(Workload(options, 0.6));
  RunOptions run = Options(options, Policy::kBurdockhatch);
  run.cold_at = 20s;
  run.cold_replicas = 2;
  const RunResult result = Run(run, items);
  NoteEnds(experiment, "", items, result, report);
  NoteFirstToken(experiment, "", items, result, report);
  report->Note(experiment, "most tokens in flight at a cold engine", "tokens",
               result.cold_peak.value());
  report->Note(experiment, "engines that fell over", "", result.fell_over);
}

}  // namespace burdockhatch::bench
