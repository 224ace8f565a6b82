#include "src/target_signals.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "src/log.h"

namespace burdockhatch {

namespace {

// A rate that differs less from the known one is not reported: rates that
// targets measure vary from answer to answer.
constexpr double kReportedRateChange = 0.05;
// Interval at which a statement that responses repeat is reported again.
constexpr Duration kRepeatInterval = std::chrono::seconds(5);
// Time after the last statement for which a limit holds, and for which its end
// is reported again whenever the target answers, so that a leader that missed
// it learns of it.
constexpr Duration kStatementMemory = std::chrono::minutes(10);
constexpr Duration kPruneInterval = std::chrono::seconds(1);

Time TimeBefore(Time now, Duration age) {
  return now - std::max(age, Duration(0));
}

std::string FormatRate(const std::optional<double>& rate) {
  return rate ? fmt::format("{:.3f}", *rate) : "none";
}

bool IsSimilarRate(const std::optional<double>& a,
                   const std::optional<double>& b) {
  if (!a || !b) {
    return a.has_value() == b.has_value();
  }
  return std::abs(*a - *b) <= kReportedRateChange * std::max(*a, *b);
}

}  // namespace

const TargetSignalTable::State* TargetSignalTable::Find(
    const TargetId& target,
    uint64_t started_at) const {
  const auto it = states_.find(target);
  return it == states_.end() || it->second.started_at != started_at
             ? nullptr
             : &it->second;
}

TargetSignalTable::State* TargetSignalTable::FindOrAdd(const TargetId& target,
                                                       uint64_t started_at) {
  if (states_.size() >= kMaxSignalRecords && !states_.contains(target)) {
    return nullptr;
  }
  State& state = states_[target];
  if (started_at < state.started_at) {
    return nullptr;
  }
  if (started_at > state.started_at) {
    state = State();
    state.started_at = started_at;
  }
  return &state;
}

void TargetSignalTable::OnResponse(const TargetId& target,
                                   uint64_t started_at,
                                   const TargetSignals& signals,
                                   bool is_answer,
                                   Time sent_at,
                                   Time now) {
  if (!limits_.enabled) {
    return;
  }
  const bool says_something = signals.requests_per_s || signals.is_leaving ||
                              signals.back_off > Duration(0);
  if (signals.has_unreadable_rate) {
    ++counters_.unreadable;
    if (now >= next_unreadable_log_) {
      next_unreadable_log_ = now + kRepeatInterval;
      Log(LogLevel::kWarning, "target_limit_unreadable",
          {{"target", target.value()}});
    }
  }
  // Most targets never say anything and need no state.
  if (!says_something && Find(target, started_at) == nullptr) {
    return;
  }
  State* state = FindOrAdd(target, started_at);
  if (state == nullptr) {
    return;
  }
  const bool has_statement =
      signals.requests_per_s || (is_answer && !signals.has_unreadable_rate);
  if (has_statement) {
    state->changed |= ApplyStatement(
        target, *state, {signals.requests_per_s, now, sent_at}, "answer", now);
  }
  if (signals.is_leaving) {
    state->changed |= ApplyLeaving(target, *state, now, "answer");
  }
  if (signals.back_off > Duration(0)) {
    ++counters_.back_offs;
    const Time until = now + std::min(signals.back_off, limits_.max_back_off);
    if (now >= state->back_off_until) {
      Log(LogLevel::kInfo, "target_backs_off",
          {{"target", target.value()},
           {"back_off_ms", std::to_string((until - now).count() / 1'000)}});
    }
    if (until > state->back_off_until) {
      state->back_off_until = until;
      state->changed = true;
    }
  }
  state->changed |= now - state->told_at >= kRepeatInterval;
  has_changes_ |= state->changed;
}

bool TargetSignalTable::ApplyStatement(const TargetId& target,
                                       State& state,
                                       const Statement& statement,
                                       std::string_view source,
                                       Time now) {
  // Responses overtake each other. A limit ends only by the answer to a request
  // that was sent after the target had last stated it.
  const Time newest = statement.requests_per_s ? statement.stated_at
                                               : statement.request_sent_at;
  if (newest < state.stated_at) {
    return false;
  }
  const bool had_statement = state.stated_at != Time();
  if (!had_statement && !statement.requests_per_s) {
    return false;
  }
  const std::optional<double> known = state.requests_per_s;
  state.stated_at = statement.stated_at;
  state.request_sent_at = statement.request_sent_at;
  if (IsSimilarRate(known, statement.requests_per_s)) {
    // Keeps the lower of similar rates until one differs enough to be reported.
    if (known) {
      state.requests_per_s = std::min(*known, *statement.requests_per_s);
    }
    return false;
  }
  state.requests_per_s = statement.requests_per_s;
  ++(statement.requests_per_s ? counters_.limits : counters_.limit_ends);
  Log(LogLevel::kInfo, "target_limit_changed",
      {{"target", target.value()},
       {"from", FormatRate(known)},
       {"to", FormatRate(statement.requests_per_s)},
       {"by", std::string(source)},
       {"age_ms",
        std::to_string((now - statement.stated_at).count() / 1'000)}});
  return true;
}

bool TargetSignalTable::ApplyLeaving(const TargetId& target,
                                     State& state,
                                     Time since,
                                     std::string_view source) {
  const bool is_news = state.leaving_since == Time();
  if (is_news) {
    ++counters_.leaving;
    Log(LogLevel::kInfo, "target_leaving",
        {{"target", target.value()}, {"by", std::string(source)}});
  }
  state.leaving_since = std::max(state.leaving_since, since);
  return is_news;
}

std::optional<double> TargetSignalTable::RateOf(const TargetId& target,
                                                uint64_t started_at) const {
  const State* state = Find(target, started_at);
  if (state == nullptr || !state->requests_per_s) {
    return std::nullopt;
  }
  return std::max(*state->requests_per_s, kMinRequestsPerS);
}

bool TargetSignalTable::IsLeaving(const TargetId& target,
                                  uint64_t started_at,
                                  Time now) const {
  const State* state = Find(target, started_at);
  return state != nullptr && state->leaving_since != Time() &&
         now - state->leaving_since < limits_.leaving_memory;
}

Time TargetSignalTable::BackOffUntil(const TargetId& target,
                                     uint64_t started_at) const {
  const State* state = Find(target, started_at);
  return state == nullptr ? Time() : state->back_off_until;
}

SignalReport TargetSignalTable::Merge(const SignalReport& report, Time now) {
  SignalReport news;
  if (!limits_.enabled) {
    return news;
  }
  for (const SignalRecord& it : report.records) {
    if (!it.has_statement && !it.is_leaving) {
      continue;
    }
    State* state = FindOrAdd(it.target, it.started_at);
    if (state == nullptr) {
      continue;
    }
    bool is_news = false;
    if (it.has_statement) {
      is_news |=
          ApplyStatement(it.target, *state,
                         {it.requests_per_s, TimeBefore(now, it.statement_age),
                          TimeBefore(now, it.request_age)},
                         "report", now);
    }
    if (it.is_leaving) {
      is_news |= ApplyLeaving(it.target, *state,
                              TimeBefore(now, it.leaving_age), "report");
    }
    // The sender, or who told it, has told the leader.
    state->told_at = now;
    if (is_news) {
      news.records.push_back(it);
      news.records.back().back_off_left = Duration(0);
    }
  }
  return news;
}

SignalRecord TargetSignalTable::MakeRecord(const TargetId& target,
                                           const State& state,
                                           Time now) {
  SignalRecord record;
  record.target = target;
  record.started_at = state.started_at;
  if (state.stated_at != Time()) {
    record.has_statement = true;
    record.requests_per_s = state.requests_per_s;
    record.statement_age = now - state.stated_at;
    record.request_age = now - state.request_sent_at;
  }
  if (state.leaving_since != Time()) {
    record.is_leaving = true;
    record.leaving_age = now - state.leaving_since;
  }
  record.back_off_left = std::max(state.back_off_until - now, Duration(0));
  return record;
}

SignalReport TargetSignalTable::Export(Time now) const {
  SignalReport report;
  for (const auto& [target, state] : states_) {
    if (report.records.size() < kMaxSignalRecords && !IsExpired(state, now)) {
      report.records.push_back(MakeRecord(target, state, now));
    }
  }
  return report;
}

SignalReport TargetSignalTable::TakeChanges(Time now) {
  SignalReport report;
  if (!std::exchange(has_changes_, false)) {
    return report;
  }
  for (auto& [target, state] : states_) {
    if (state.changed && report.records.size() < kMaxSignalRecords) {
      state.changed = false;
      state.told_at = now;
      report.records.push_back(MakeRecord(target, state, now));
    }
  }
  return report;
}

bool TargetSignalTable::IsExpired(const State& state, Time now) const {
  const bool is_leaving = state.leaving_since != Time() &&
                          now - state.leaving_since < limits_.leaving_memory;
  return !is_leaving && now >= state.back_off_until &&
         now - state.stated_at >= kStatementMemory;
}

void TargetSignalTable::Prune(Time now) {
  if (now < next_prune_) {
    return;
  }
  next_prune_ = now + kPruneInterval;
  std::erase_if(states_,
                [&](const auto& it) { return IsExpired(it.second, now); });
}

size_t TargetSignalTable::CountLimited() const {
  return static_cast<size_t>(std::count_if(
      states_.begin(), states_.end(),
      [](const auto& it) { return it.second.requests_per_s.has_value(); }));
}

std::string TargetSignalTable::Dump(Time now) const {
  std::string targets;
  for (const auto& [target, state] : states_) {
    fmt::format_to(
        std::back_inserter(targets),
        "{}{{\"target\":\"{}\",\"limit_per_s\":{},\"stated_ms_ago\":{},"
        "\"leaving\":{},\"back_off_ms\":{}}}",
        targets.empty() ? "" : ",", target.value(),
        state.requests_per_s ? fmt::format("{:.3f}", *state.requests_per_s)
                             : "null",
        state.stated_at == Time() ? -1
                                  : (now - state.stated_at).count() / 1'000,
        IsLeaving(target, state.started_at, now),
        std::max<int64_t>((state.back_off_until - now).count() / 1'000, 0));
  }
  return fmt::format(
      "{{\"limits\":{},\"limit_ends\":{},\"leaving\":{},\"back_offs\":{},"
      "\"unreadable\":{},\"targets\":[{}]}}",
      counters_.limits, counters_.limit_ends, counters_.leaving,
      counters_.back_offs, counters_.unreadable, targets);
}

}  // namespace burdockhatch
