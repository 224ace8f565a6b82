#include "src/entry_dump.h"

#include <boost/json.hpp>

#include "src/account_limits.h"
#include "src/fleet_table.h"

namespace burdockhatch {

namespace {

namespace json = boost::json;

int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

json::object DumpTarget(const TargetRow& row, const TargetHint& hint) {
  return {
      {"instance", row.info.instance.value()},
      {"incarnation", row.incarnation.value()},
      {"target", row.info.target.value()},
      {"data_centre", row.info.data_centre.value()},
      {"model", row.info.model.value()},
      {"service", row.info.service.value()},
      {"standing", std::string(ToString(hint.availability))},
      {"listed", row.listed},
      {"followed", row.connected},
      {"attempts", row.attempts_and_holds},
      {"own_tokens", hint.own_tokens},
      {"reported_tokens", hint.reported_tokens},
      {"warm_budget", hint.warm_budget},
      {"expected_wait_ms", static_cast<int64_t>(hint.expected_wait_us / 1000)}};
}

json::object DumpRequest(const EntryTables& tables,
                         const RequestRow& row,
                         Time now) {
  json::object out{{"request", ToString(row.spec.request)},
                   {"account", row.spec.account.value()},
                   {"phase", std::string(ToString(row.phase))},
                   {"attempts", row.last_attempt_number.value()},
                   {"next_chunk", row.next_chunk},
                   {"time_left_ms", Milliseconds(row.spec.deadline - now)}};
  if (row.attempt) {
    const TargetRow& target = tables.fleet.rows[row.attempt->slot];
    out["instance"] = target.info.instance.value();
  }
  if (row.gang) {
    out["gang_size"] = row.gang->members.size() + 1;
  }
  return out;
}

json::object DumpLimit(const LimitBucket& bucket, Time now) {
  return {{"tokens", static_cast<int64_t>(bucket.tokens)},
          {"share", bucket.lease_until > now ? bucket.share : 0},
          {"demand", static_cast<int64_t>(bucket.demand)}};
}

json::array DumpTargets(const FleetTable& fleet) {
  json::array out;
  for (TargetSlot slot = 0; slot < fleet.rows.size(); ++slot) {
    if (fleet.rows[slot].used) {
      out.push_back(DumpTarget(fleet.rows[slot], fleet.hints[slot]));
    }
  }
  return out;
}

json::array DumpRequests(const EntryTables& tables, Time now) {
  json::array out;
  for (const auto& [request, row] : tables.requests) {
    out.push_back(DumpRequest(tables, row, now));
  }
  return out;
}

json::object DumpAccounts(const EntryTables& tables, Time now) {
  json::object out;
  for (const auto& [account, bucket] : tables.limits.buckets) {
    out[account.value()] = DumpLimit(bucket, now);
  }
  return out;
}

json::object DumpGranted(const EntryTables& tables, Time now) {
  json::object out;
  for (const auto& [account, home] : tables.limits.homes) {
    out[account.value()] = TotalGrantedRate(tables.limits, account, now);
  }
  return out;
}

json::array DumpEntries(const EntryTables& tables) {
  json::array out;
  for (const auto& [instance, peer] : tables.entries) {
    out.push_back(json::object{{"instance", instance.value()},
                               {"incarnation", peer.incarnation.value()},
                               {"leaving", peer.leaving}});
  }
  return out;
}

}  // namespace

std::string_view ToString(TargetAvailability availability) {
  switch (availability) {
    case TargetAvailability::kUsable:
      return "usable";
    case TargetAvailability::kUnheard:
      return "unheard";
    case TargetAvailability::kSuspect:
      return "suspect";
    case TargetAvailability::kUnusable:
      return "unusable";
  }
  return "unusable";
}

std::string_view ToString(RequestPhase phase) {
  switch (phase) {
    case RequestPhase::kWaiting:
      return "waiting";
    case RequestPhase::kHolding:
      return "holding";
    case RequestPhase::kOffered:
      return "offered";
    case RequestPhase::kAccepted:
      return "accepted";
    case RequestPhase::kRunning:
      return "running";
    case RequestPhase::kResuming:
      return "resuming";
    case RequestPhase::kFinished:
      return "finished";
  }
  return "finished";
}

std::string DumpEntry(const EntryTables& tables, Time now) {
  json::object out;
  out["instance"] = tables.options.self.instance.value();
  out["incarnation"] = tables.options.self.incarnation.value();
  out["data_centre"] = tables.options.data_centre.value();
  out["config_version"] =
      tables.config ? tables.config->version.value() : uint64_t{0};
  out["draining"] = tables.draining;
  out["targets"] = DumpTargets(tables.fleet);
  out["entries"] = DumpEntries(tables);
  out["requests"] = DumpRequests(tables, now);
  out["abandoned_attempts"] = tables.abandoned_attempts.size();
  out["accounts"] = DumpAccounts(tables, now);
  out["granted"] = DumpGranted(tables, now);
  out["crash_blame"] = json::parse(tables.blame.Dump(now));
  return json::serialize(out);
}

}  // namespace burdockhatch
