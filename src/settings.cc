#include "src/settings.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include <boost/json/value.hpp>
#include <boost/leaf/error.hpp>

#include "src/ip_endpoint.h"
#include "src/json_reader.h"

namespace burdockhatch {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr size_t kMaxSettingsBytes = 1 << 20;
constexpr size_t kMaxAddressLength = 64;
constexpr int64_t kDayMs = 24 * 3600 * 1000;
constexpr Bounds kTokenCountBounds{1, 1'000'000'000};
constexpr Bounds kTokensPerSecondBounds{1, 1'000'000'000};
constexpr Bounds kMsPerTokenBounds{1, 60'000};
constexpr Bounds kBodyBytesBounds{1'024, 32 * 1024 * 1024};
constexpr Bounds kRequestBytesBounds{1'024, 1024 * 1024 * 1024};
constexpr Bounds kResponseBytesBounds{1'024, 1024 * 1024 * 1024};
constexpr Bounds kDeadlineMsBounds{1, kDayMs};
constexpr Bounds kShutdownMsBounds{0, 600'000};
constexpr Bounds kStartupWaitMsBounds{0, 60'000};
// A planned stop must leave this time after the load balancer's lag, to end the
// requests and the process.
constexpr std::chrono::milliseconds kMinDrainTime{2'000};
constexpr Bounds kThreadCountBounds{1, 64};
constexpr Bounds kConnectionCountBounds{1, 100'000};
constexpr Bounds kSubsetSizeBounds{1, 10'000};
constexpr Bounds kCallCountBounds{1, 100'000};
constexpr Bounds kPortBounds{1, 65'535};
constexpr Bounds kBlameCrashesBounds{1, 100};
constexpr Bounds kUnansweredBounds{1, 1'000'000};
constexpr Bounds kBlameMsBounds{1'000, 7 * kDayMs};
constexpr Bounds kSignalMsBounds{1'000, 7 * kDayMs};
constexpr Bounds kBlameMemoryMsBounds{1'000, 3'600'000};
constexpr Bounds kSuspectCountBounds{1, static_cast<int64_t>(kMaxBlameRecords)};
constexpr Bounds kAnsweredPartsBounds{1, 1'000'000};

// Reads "<IP number>:<port>". Host names are rejected, because the platform
// gives IP numbers and resolving a name could block.
void ReadAddress(std::string_view key,
                 ObjectReader* reader,
                 std::string* field,
                 Findings* findings) {
  const bool present = reader->Find(key) != nullptr;
  reader->ReadString(key, kMaxAddressLength, field);
  if (present && !ParseIpEndpoint(*field)) {
    findings->Add(reader->PathOf(key),
                  "expected \"<IP number>:<port>\", port 1 to 65535");
  }
}

void ReadLimitSettings(const json::value& value,
                       std::string path,
                       LimitSettings* limits,
                       Findings* findings) {
  using std::chrono::milliseconds;
  ObjectReader reader(value, std::move(path), findings);
  reader.ReadQuantity("max_body_bytes", kBodyBytesBounds, &limits->max_body);
  reader.ReadDuration<milliseconds>("default_deadline_ms", kDeadlineMsBounds,
                                    &limits->default_deadline);
  reader.ReadDuration<milliseconds>("max_deadline_ms", kDeadlineMsBounds,
                                    &limits->max_deadline);
  reader.ReadDuration<milliseconds>("balancer_lag_ms", kShutdownMsBounds,
                                    &limits->balancer_lag);
  reader.ReadDuration<milliseconds>("stop_grace_ms", kShutdownMsBounds,
                                    &limits->stop_grace);
  if (limits->stop_grace < limits->balancer_lag + kMinDrainTime) {
    findings->Add(reader.PathOf("stop_grace_ms"),
                  "is not 2000 above balancer_lag_ms");
  }
  reader.ReadCount("traffic_threads", kThreadCountBounds,
                   &limits->traffic_threads);
  reader.ReadCount("max_connections", kConnectionCountBounds,
                   &limits->max_connections);
  reader.ReadQuantity("max_buffered_requests_bytes", kRequestBytesBounds,
                      &limits->max_buffered_requests);
  const size_t findings_before = findings->list.size();
  reader.ReadQuantity("max_response_bytes", kResponseBytesBounds,
                      &limits->max_response);
  reader.ReadQuantity("max_buffered_response_bytes", kResponseBytesBounds,
                      &limits->max_buffered_responses);
  // A rejected value leaves its default, which says nothing about the other.
  if (findings->list.size() == findings_before &&
      limits->max_response > limits->max_buffered_responses) {
    findings->Add(reader.PathOf("max_response_bytes"),
                  "is above max_buffered_response_bytes");
  }
  if (limits->default_deadline > limits->max_deadline) {
    findings->Add(reader.PathOf("default_deadline_ms"),
                  "is above max_deadline_ms");
  }
  reader.ReportUnknownKeys();
}

void ReadEngineSettings(ObjectReader* reader, TargetSettings* target) {
  reader->Require({"model", "memory_tokens"});
  reader->ReadId("model", &target->model);
  reader->ReadQuantity("memory_tokens", kTokenCountBounds, &target->memory);
  reader->ReadQuantity("full_budget_tokens", kTokenCountBounds,
                       &target->full_budget);
  reader->ReadQuantity("prefill_tokens_per_s", kTokensPerSecondBounds,
                       &target->prefill_rate);
  reader->ReadDuration<std::chrono::milliseconds>(
      "ms_per_token", kMsPerTokenBounds, &target->time_per_token);
}

void ReadTargetSettings(const json::value& value,
                        std::string path,
                        TargetSettings* target,
                        Findings* findings) {
  ObjectReader reader(value, std::move(path), findings);
  reader.Require({"id", "kind", "address"});
  reader.ReadId("id", &target->target);
  reader.ReadEnum(
      "kind",
      {{"engine", TargetKind::kEngine}, {"service", TargetKind::kService}},
      &target->kind);
  ReadAddress("address", &reader, &target->address, findings);
  reader.ReadEnum("fencing", {{"honoured", true}, {"ignored", false}},
                  &target->honours_fencing);
  if (target->kind == TargetKind::kEngine) {
    ReadEngineSettings(&reader, target);
  } else {
    reader.Require({"service"});
    reader.ReadId("service", &target->service);
    reader.ReadCount("max_calls", kCallCountBounds, &target->max_service_calls);
  }
  reader.ReportUnknownKeys();
}

void ReadSeedPeers(const json::value& value,
                   const std::string& path,
                   std::vector<PeerSettings>* peers,
                   Findings* findings) {
  if (!value.is_array()) {
    findings->Add(path, "expected an array");
    return;
  }
  for (const json::value& it : value.get_array()) {
    ObjectReader reader(it, ChildPath(path, peers->size()), findings);
    PeerSettings& peer = peers->emplace_back();
    reader.Require({"instance", "address"});
    reader.ReadId("instance", &peer.instance);
    ReadAddress("address", &reader, &peer.address, findings);
    reader.ReportUnknownKeys();
  }
}

void ReadRegions(const json::value& value,
                 const std::string& path,
                 std::map<DataCentreId, RegionId>* regions,
                 Findings* findings) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    findings->Add(path, "expected an object");
    return;
  }
  for (const auto& it : *object) {
    const std::string name(it.key());
    if (auto region = ParseId(it.value(), ChildPath(path, name), findings)) {
      regions->emplace(DataCentreId(name), RegionId(*region));
    }
  }
}

// Reads a duration from `key`, in seconds, which may stand in place of
// `ms_key`.
void ReadSecondsInstead(std::string_view key,
                        std::string_view ms_key,
                        Bounds bounds_ms,
                        ObjectReader* reader,
                        std::chrono::milliseconds* field,
                        Findings* findings) {
  if (reader->Find(key) != nullptr && reader->Find(ms_key) != nullptr) {
    findings->Add(reader->PathOf(key), "excludes " + std::string(ms_key));
  }
  reader->ReadSeconds(key, bounds_ms, field);
}

void ReadForwardingSettings(const json::value& value,
                            std::string path,
                            Role role,
                            ForwardingSettings* forwarding,
                            Findings* findings) {
  using std::chrono::milliseconds;
  ObjectReader reader(value, std::move(path), findings);
  if (role == Role::kEntry) {
    reader.Require({"caller_address", "agent_bus_port"});
    ReadAddress("caller_address", &reader, &forwarding->caller_address,
                findings);
    reader.ReadCount("agent_bus_port", kPortBounds,
                     &forwarding->agent_bus_port);
    if (const json::value* regions = reader.Find("regions")) {
      ReadRegions(*regions, reader.PathOf("regions"), &forwarding->regions,
                  findings);
    }
    reader.ReadNumber("repeat_ratio", 0, 1, &forwarding->repeat_ratio);
    reader.ReadDuration<milliseconds>("repeat_window_ms", kDeadlineMsBounds,
                                      &forwarding->repeat_window);
    ReadSecondsInstead("repeat_window_s", "repeat_window_ms", kDeadlineMsBounds,
                       &reader, &forwarding->repeat_window, findings);
    double allowance = forwarding->repeat_allowance;
    reader.ReadNumber("repeat_allowance", kCallCountBounds.min,
                      kCallCountBounds.max, &allowance);
    forwarding->repeat_allowance = static_cast<uint32_t>(allowance);
    reader.ReadDuration<milliseconds>("max_startup_wait_ms",
                                      kStartupWaitMsBounds,
                                      &forwarding->max_startup_wait);
    reader.ReadBool("long_watches", &forwarding->long_watches);
  } else {
    reader.Require({"engine_address"});
    ReadAddress("engine_address", &reader, &forwarding->engine_address,
                findings);
  }
  reader.ReadDuration<milliseconds>("stop_grace_ms", kShutdownMsBounds,
                                    &forwarding->stop_grace);
  ReadSecondsInstead("stop_grace_s", "stop_grace_ms", kShutdownMsBounds,
                     &reader, &forwarding->stop_grace, findings);
  reader.ReadBool("target_pace", &forwarding->target_pace);
  reader.ReportUnknownKeys();
}

void ReadCrashBlameSettings(const json::value& value,
                            std::string path,
                            CrashBlameLimits* limits,
                            Findings* findings) {
  using std::chrono::milliseconds;
  ObjectReader reader(value, std::move(path), findings);
  reader.ReadBool("enabled", &limits->enabled);
  reader.ReadCount("crashes", kBlameCrashesBounds, &limits->crashes);
  reader.ReadCount("answered_crashes", kBlameCrashesBounds,
                   &limits->answered_crashes);
  reader.ReadDuration<milliseconds>("memory_ms", kBlameMemoryMsBounds,
                                    &limits->memory);
  const size_t findings_before = findings->list.size();
  reader.ReadDuration<milliseconds>("block_ms", kBlameMsBounds, &limits->block);
  reader.ReadDuration<milliseconds>("max_block_ms", kBlameMsBounds,
                                    &limits->max_block);
  if (findings->list.size() == findings_before &&
      limits->block > limits->max_block) {
    findings->Add(reader.PathOf("block_ms"), "is above max_block_ms");
  }
  reader.ReadCount("max_unanswered", kUnansweredBounds,
                   &limits->max_unanswered);
  reader.ReadCount("max_suspects", kSuspectCountBounds, &limits->max_suspects);
  reader.ReadCount("max_answered_parts", kAnsweredPartsBounds,
                   &limits->max_answered_parts);
  if (limits->crashes > limits->answered_crashes) {
    findings->Add(reader.PathOf("crashes"), "is above answered_crashes");
  }
  reader.ReportUnknownKeys();
}

void ReadTargetSignalSettings(const json::value& value,
                              std::string path,
                              TargetSignalLimits* limits,
                              Findings* findings) {
  using std::chrono::milliseconds;
  ObjectReader reader(value, std::move(path), findings);
  reader.ReadBool("enabled", &limits->enabled);
  reader.ReadDuration<milliseconds>("max_back_off_ms", kSignalMsBounds,
                                    &limits->max_back_off);
  reader.ReadDuration<milliseconds>("leaving_memory_ms", kSignalMsBounds,
                                    &limits->leaving_memory);
  reader.ReportUnknownKeys();
}

void ReadRoleSettings(ObjectReader* reader,
                      Settings* settings,
                      Findings* findings) {
  reader->ReadEnum("role", {{"entry", Role::kEntry}, {"agent", Role::kAgent}},
                   &settings->role);
  if (settings->role == Role::kEntry) {
    reader->ReadCount("subset_size", kSubsetSizeBounds, &settings->subset_size);
    if (const json::value* peers = reader->Find("seed_peers")) {
      ReadSeedPeers(*peers, reader->PathOf("seed_peers"), &settings->seed_peers,
                    findings);
    }
    return;
  }
  if (!settings->forwarding) {
    reader->Require({"target"});
  }
  if (const json::value* target = reader->Find("target")) {
    ReadTargetSettings(*target, reader->PathOf("target"), &settings->target,
                       findings);
  }
}

}  // namespace

leaf::result<std::string> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return leaf::new_error(SettingsFileError{path, std::strerror(errno)});
  }
  std::string text(kMaxSettingsBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    return leaf::new_error(SettingsFileError{path, "read error"});
  }
  text.resize(static_cast<size_t>(file.gcount()));
  if (text.size() > kMaxSettingsBytes) {
    return leaf::new_error(SettingsFileError{path, "larger than 1 MiB"});
  }
  return text;
}

std::optional<Settings> ParseSettings(std::string_view text,
                                      Findings* findings) {
  const size_t findings_before = findings->list.size();
  const std::optional<json::value> value = ParseJson(text, findings);
  if (!value) {
    return std::nullopt;
  }
  Settings settings;
  ObjectReader reader(*value, "", findings);
  if (!reader.is_object()) {
    return std::nullopt;
  }
  reader.Require({"role", "instance", "data_centre", "region", "bus_address",
                  "http_address", "object_api_address"});
  // Set before the role is read: an agent in forwarding mode needs no target.
  if (reader.Find("forwarding") != nullptr) {
    settings.forwarding.emplace();
  }
  ReadRoleSettings(&reader, &settings, findings);
  if (const json::value* forwarding = reader.Find("forwarding")) {
    ReadForwardingSettings(*forwarding, reader.PathOf("forwarding"),
                           settings.role, &*settings.forwarding, findings);
  }
  reader.ReadId("instance", &settings.instance);
  reader.ReadId("data_centre", &settings.data_centre);
  reader.ReadId("region", &settings.region);
  ReadAddress("bus_address", &reader, &settings.bus_address, findings);
  ReadAddress("http_address", &reader, &settings.http_address, findings);
  ReadAddress("object_api_address", &reader, &settings.object_api_address,
              findings);
  if (const json::value* limits = reader.Find("limits")) {
    ReadLimitSettings(*limits, reader.PathOf("limits"), &settings.limits,
                      findings);
  }
  if (const json::value* crash_blame = reader.Find("crash_blame")) {
    ReadCrashBlameSettings(*crash_blame, reader.PathOf("crash_blame"),
                           &settings.crash_blame, findings);
  }
  if (const json::value* signals = reader.Find("target_signals")) {
    ReadTargetSignalSettings(*signals, reader.PathOf("target_signals"),
                             &settings.target_signals, findings);
  }
  reader.ReportUnknownKeys();
  if (findings->list.size() != findings_before) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace burdockhatch
