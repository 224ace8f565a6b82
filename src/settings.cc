#include "src/settings.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/error.hpp>

#include "src/json_reader.h"

namespace burdockhatch {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr size_t kMaxSettingsBytes = 1 << 20;
constexpr size_t kMaxAddressLength = 64;
constexpr int64_t kDayMs = 24 * 3600 * 1000;
constexpr Bounds kTokenBounds{1, 1'000'000'000};
constexpr Bounds kRateBounds{1, 1'000'000'000};
constexpr Bounds kTokenTimeBounds{1, 60'000};
constexpr Bounds kBodyBounds{1'024, 32 * 1024 * 1024};
constexpr Bounds kDeadlineBounds{1, kDayMs};
constexpr Bounds kLagBounds{0, 600'000};
constexpr Bounds kThreadBounds{1, 64};
constexpr Bounds kConnectionBounds{1, 100'000};
constexpr Bounds kSubsetBounds{1, 10'000};
constexpr Bounds kCallBounds{1, 100'000};
constexpr Bounds kPortBounds{1, 65'535};

// The platform gives addresses as IP numbers; resolving a name could block.
bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  // make_address reads up to the first null byte and ignores what follows.
  if (text.find('\0') != std::string::npos) {
    return false;
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(text.substr(0, colon), ec);
  const std::string port = text.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= 5 &&
                      port.find_first_not_of("0123456789") == std::string::npos;
  return !ec && digits && std::stoi(port) > 0 && std::stoi(port) <= 65'535;
}

void ReadAddress(std::string_view key,
                 ObjectReader* reader,
                 std::string* field,
                 Findings* findings) {
  const bool present = reader->Find(key) != nullptr;
  reader->Text(key, kMaxAddressLength, field);
  if (present && !IsAddress(*field)) {
    findings->Add(reader->PlaceOf(key), "expected \"<IP number>:<port>\"");
  }
}

void ReadLimits(const json::value& value,
                std::string place,
                LimitSettings* limits,
                Findings* findings) {
  using std::chrono::milliseconds;
  ObjectReader reader(value, std::move(place), findings);
  reader.Amount("max_body_bytes", kBodyBounds, &limits->max_body);
  reader.Time<milliseconds>("default_deadline_ms", kDeadlineBounds,
                            &limits->default_deadline);
  reader.Time<milliseconds>("max_deadline_ms", kDeadlineBounds,
                            &limits->max_deadline);
  reader.Time<milliseconds>("balancer_lag_ms", kLagBounds,
                            &limits->balancer_lag);
  reader.Count("traffic_threads", kThreadBounds, &limits->traffic_threads);
  reader.Count("max_connections", kConnectionBounds, &limits->max_connections);
  if (limits->default_deadline > limits->max_deadline) {
    findings->Add(reader.PlaceOf("default_deadline_ms"),
                  "is above max_deadline_ms");
  }
  reader.Finish();
}

void ReadEngine(ObjectReader* reader, TargetSettings* target) {
  reader->Require({"model", "memory_tokens"});
  reader->Id("model", &target->model);
  reader->Amount("memory_tokens", kTokenBounds, &target->memory);
  reader->Amount("full_budget_tokens", kTokenBounds, &target->full_budget);
  reader->Amount("prefill_tokens_per_s", kRateBounds, &target->prefill_rate);
  reader->Time<std::chrono::milliseconds>("ms_per_token", kTokenTimeBounds,
                                          &target->time_per_token);
}

void ReadTarget(const json::value& value,
                std::string place,
                TargetSettings* target,
                Findings* findings) {
  ObjectReader reader(value, std::move(place), findings);
  reader.Require({"id", "kind", "address"});
  reader.Id("id", &target->target);
  reader.Choice(
      "kind",
      {{"engine", TargetKind::kEngine}, {"service", TargetKind::kService}},
      &target->kind);
  ReadAddress("address", &reader, &target->address, findings);
  reader.Choice("fencing", {{"honoured", true}, {"ignored", false}},
                &target->honours_fencing);
  if (target->kind == TargetKind::kEngine) {
    ReadEngine(&reader, target);
  } else {
    reader.Require({"service"});
    reader.Id("service", &target->service);
    reader.Count("max_calls", kCallBounds, &target->max_service_calls);
  }
  reader.Finish();
}

void ReadSeedPeers(const json::value& value,
                   const std::string& place,
                   std::vector<PeerSettings>* peers,
                   Findings* findings) {
  if (!value.is_array()) {
    findings->Add(place, "expected an array");
    return;
  }
  for (const json::value& it : value.get_array()) {
    ObjectReader reader(it, ChildPlace(place, peers->size()), findings);
    PeerSettings& peer = peers->emplace_back();
    reader.Require({"instance", "address"});
    reader.Id("instance", &peer.instance);
    ReadAddress("address", &reader, &peer.address, findings);
    reader.Finish();
  }
}

void ReadRegions(const json::value& value,
                 const std::string& place,
                 std::map<DataCentreId, RegionId>* regions,
                 Findings* findings) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    findings->Add(place, "expected an object");
    return;
  }
  for (const auto& it : *object) {
    const std::string name(it.key());
    if (auto region =
            ReadIdText(it.value(), ChildPlace(place, name), findings)) {
      regions->emplace(DataCentreId(name), RegionId(*region));
    }
  }
}

void ReadForwarding(const json::value& value,
                    std::string place,
                    Role role,
                    ForwardingSettings* forwarding,
                    Findings* findings) {
  using std::chrono::milliseconds;
  ObjectReader reader(value, std::move(place), findings);
  if (role == Role::kEntry) {
    reader.Require({"caller_address", "agent_bus_port"});
    ReadAddress("caller_address", &reader, &forwarding->caller_address,
                findings);
    reader.Count("agent_bus_port", kPortBounds, &forwarding->agent_bus_port);
    if (const json::value* regions = reader.Find("regions")) {
      ReadRegions(*regions, reader.PlaceOf("regions"), &forwarding->regions,
                  findings);
    }
    reader.Number("repeat_ratio", 0, 1, &forwarding->repeat_ratio);
    reader.Time<milliseconds>("repeat_window_ms", kDeadlineBounds,
                              &forwarding->repeat_window);
    reader.Count("repeat_allowance", kCallBounds,
                 &forwarding->repeat_allowance);
  } else {
    reader.Require({"engine_address"});
    ReadAddress("engine_address", &reader, &forwarding->engine_address,
                findings);
  }
  reader.Time<milliseconds>("stop_grace_ms", kLagBounds,
                            &forwarding->stop_grace);
  reader.Finish();
}

void ReadRole(ObjectReader* reader, Settings* settings, Findings* findings) {
  reader->Choice("role", {{"entry", Role::kEntry}, {"agent", Role::kAgent}},
                 &settings->role);
  if (settings->role == Role::kEntry) {
    reader->Count("subset_size", kSubsetBounds, &settings->subset_size);
    if (const json::value* peers = reader->Find("seed_peers")) {
      ReadSeedPeers(*peers, reader->PlaceOf("seed_peers"),
                    &settings->seed_peers, findings);
    }
    return;
  }
  if (!settings->forwarding) {
    reader->Require({"target"});
  }
  if (const json::value* target = reader->Find("target")) {
    ReadTarget(*target, reader->PlaceOf("target"), &settings->target, findings);
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
  if (reader.Find("forwarding") != nullptr) {
    settings.forwarding.emplace();
  }
  ReadRole(&reader, &settings, findings);
  if (const json::value* forwarding = reader.Find("forwarding")) {
    ReadForwarding(*forwarding, reader.PlaceOf("forwarding"), settings.role,
                   &*settings.forwarding, findings);
  }
  reader.Id("instance", &settings.instance);
  reader.Id("data_centre", &settings.data_centre);
  reader.Id("region", &settings.region);
  ReadAddress("bus_address", &reader, &settings.bus_address, findings);
  ReadAddress("http_address", &reader, &settings.http_address, findings);
  ReadAddress("object_api_address", &reader, &settings.object_api_address,
              findings);
  if (const json::value* limits = reader.Find("limits")) {
    ReadLimits(*limits, reader.PlaceOf("limits"), &settings.limits, findings);
  }
  reader.Finish();
  if (findings->list.size() != findings_before) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace burdockhatch
