#include "src/agent_report.h"

#include <algorithm>

#include <fmt/format.h>
#include <boost/json.hpp>

#include "src/admission.h"
#include "src/memory_reservations.h"
#include "src/prefix_table.h"

namespace burdockhatch {

namespace {

// An engine that left this many consecutive requests unanswered is considered
// down.
constexpr int kMaxUnansweredRequests = 2;

constexpr bool IsDispatched(AttemptPhase phase) {
  return phase == AttemptPhase::kStarting || phase == AttemptPhase::kRunning;
}

void CountAttempts(const AgentTables& tables, AgentState& state) {
  for (const auto& [id, attempt] : tables.attempts) {
    if (IsDispatched(attempt.phase)) {
      ++state.running;
    } else {
      ++state.waiting;
      state.queued += attempt.load;
    }
  }
}

std::string_view ToText(AttemptPhase phase) {
  switch (phase) {
    case AttemptPhase::kQueued:
      return "queued";
    case AttemptPhase::kAwaitingClaim:
      return "awaiting_claim";
    case AttemptPhase::kStarting:
      return "starting";
    case AttemptPhase::kRunning:
      return "running";
  }
  return "";
}

int64_t MillisUntil(const AgentTables& tables, Time time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time -
                                                               tables.now)
      .count();
}

boost::json::array DumpAttempts(const AgentTables& tables) {
  boost::json::array rows;
  for (const auto& [id, attempt] : tables.attempts) {
    rows.push_back({{"attempt", ToString(id)},
                    {"entry", attempt.entry.instance.value()},
                    {"phase", ToText(attempt.phase)},
                    {"load", attempt.load.value()},
                    {"deadline_ms", MillisUntil(tables, attempt.deadline)},
                    {"next_chunk", attempt.next_chunk},
                    {"adopted", attempt.adopted}});
  }
  return rows;
}

boost::json::array DumpReservations(const AgentTables& tables) {
  boost::json::array rows;
  for (const auto& [id, reservation] : tables.reservations) {
    rows.push_back({{"stream", id.stream.value()},
                    {"cache", id.is_cache},
                    {"memory", reservation.memory.value()},
                    {"lease_ms", MillisUntil(tables, reservation.lease_end)},
                    {"confirmed", reservation.confirmed_at.has_value()},
                    {"releasing", reservation.releasing_since.has_value()},
                    {"orphan", reservation.is_orphan}});
  }
  return rows;
}

boost::json::array DumpShards(const AgentTables& tables) {
  boost::json::array rows;
  for (const auto& [index, shard] : tables.shards) {
    rows.push_back({{"name", shard.name.name},
                    {"version", shard.version.value()},
                    {"records", shard.records.size()},
                    {"uncertain", shard.uncertain_write_version.has_value()},
                    {"writes", shard.writes}});
  }
  return rows;
}

boost::json::object DumpCounters(const AgentCounters& counters) {
  return {{"accepted", counters.accepted},
          {"refused", counters.refused},
          {"dispatched", counters.dispatched},
          {"completed", counters.completed},
          {"orphans", counters.orphans},
          {"duplicate_offers", counters.duplicate_offers},
          {"foreign_claims", counters.foreign_claims},
          {"claim_conflicts", counters.claim_conflicts}};
}

boost::json::object DumpWarmup(const WarmupState& warmup) {
  return {{"budget", warmup.budget.value()},
          {"full", warmup.full_budget.value()},
          {"completed_since_raise", warmup.completed_since_raise.value()},
          {"falls", warmup.fallback_count}};
}

}  // namespace

bool IsReady(const AgentTables& tables) {
  if (!tables.config) {
    return false;
  }
  if (!IsModelEngineAgent(tables)) {
    return tables.service_healthy;
  }
  return tables.listed &&
         tables.unanswered_list_requests < kMaxUnansweredRequests &&
         tables.unanswered_load_requests < kMaxUnansweredRequests;
}

bool IsTargetWithdrawn(const AgentTables& tables) {
  return tables.config && IsWithdrawn(*tables.config, tables.options.target,
                                      tables.options.data_centre);
}

AgentState BuildAgentState(AgentTables& tables) {
  const AgentOptions& options = tables.options;
  AgentState state;
  state.sequence = ++tables.state_sequence;
  state.target = options.target;
  state.data_centre = options.data_centre;
  state.model = options.model;
  state.service = options.service;
  state.ready = IsReady(tables);
  state.draining = tables.draining;
  state.withdrawn = IsTargetWithdrawn(tables);
  state.engine = tables.engine;
  state.memory_total = tables.memory_total;
  state.memory_free = FreeMemory(tables);
  state.warm_budget = tables.warmup.budget;
  state.full_budget = tables.warmup.full_budget;
  state.in_flight = WorkInFlight(tables);
  CountAttempts(tables, state);
  state.expected_wait = ExpectedQueueWait(tables, LengthClass::kShort);
  state.prefill_rate = options.prefill_rate;
  state.cached_prefixes = RecentPrefixes(tables.prefixes, kMaxReportedPrefixes);
  return state;
}

void SendToEntry(AgentTables& tables, const PeerId& to, MessageBody body) {
  EmitAction(tables, SendToPeer{to, std::move(body)});
}

void AddSubscriber(AgentTables& tables, const PeerId& entry, Duration ttl) {
  const Duration bounded = std::min(ttl, kMaxSubscriptionTtl);
  if (bounded <= Duration(0)) {
    tables.subscribers.erase(entry);
    return;
  }
  auto [it, added] = tables.subscribers.try_emplace(entry);
  it->second.subscribed_until = tables.now + bounded;
  if (added) {
    it->second.next_report_at = tables.now + kLoadReportInterval;
    SendToEntry(tables, entry, LoadReport{BuildAgentState(tables)});
  }
}

void SendLoadReports(AgentTables& tables) {
  std::erase_if(tables.subscribers, [&](const auto& row) {
    return row.second.subscribed_until <= tables.now;
  });
  for (auto& [entry, subscriber] : tables.subscribers) {
    if (subscriber.next_report_at <= tables.now) {
      // Reports that were missed during a pause are skipped, as only the latest
      // state matters.
      subscriber.next_report_at += kLoadReportInterval;
      if (subscriber.next_report_at <= tables.now) {
        subscriber.next_report_at = tables.now + kLoadReportInterval;
      }
      SendToEntry(tables, entry, LoadReport{BuildAgentState(tables)});
    }
  }
}

void SendReportsNow(AgentTables& tables) {
  for (auto& [entry, subscriber] : tables.subscribers) {
    subscriber.next_report_at = tables.now + kLoadReportInterval;
    SendToEntry(tables, entry, LoadReport{BuildAgentState(tables)});
  }
}

void SendGoodbyes(AgentTables& tables) {
  for (const auto& [entry, subscriber] : tables.subscribers) {
    SendToEntry(tables, entry, Goodbye{});
  }
}

std::string DumpTables(const AgentTables& tables) {
  boost::json::object root = {
      {"instance", tables.options.self.instance.value()},
      {"incarnation", tables.options.self.incarnation.value()},
      {"target", tables.options.target.value()},
      {"ready", IsReady(tables)},
      {"draining", tables.draining},
      {"withdrawn", IsTargetWithdrawn(tables)},
      {"engine_incarnation", tables.engine.value()},
      {"memory_total", tables.memory_total.value()},
      {"memory_free", FreeMemory(tables).value()},
      {"in_flight", WorkInFlight(tables).value()},
      {"warmup", DumpWarmup(tables.warmup)},
      {"attempts", DumpAttempts(tables)},
      {"closed_attempts", tables.closed_attempts.size()},
      {"bookings", DumpReservations(tables)},
      {"keys", tables.keys.size()},
      {"claim_shards", DumpShards(tables)},
      {"subscribers", tables.subscribers.size()},
      {"cached_prefixes", tables.prefixes.prefixes.size()},
      {"counters", DumpCounters(tables.counters)}};
  return boost::json::serialize(root);
}

}  // namespace burdockhatch
