// Settings of one daemon: its role, its place, its addresses and its target.
// They come from a JSON file that the platform writes before it starts the
// process.
#ifndef SRC_SETTINGS_H_
#define SRC_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "src/findings.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/units.h"

namespace burdockhatch {

enum class TargetKind : uint8_t { kEngine, kService };

// The target of an agent.
struct TargetSettings {
  TargetId target;
  TargetKind kind = TargetKind::kEngine;
  std::string address;  // "ip:port" of its HTTP interface.
  ModelId model;        // Engines only.
  ServiceId service;    // Plain services only.
  Tokens memory{450'000};
  Tokens full_budget{200'000};  // Tokens in flight when warm.
  TokensPerSecond prefill_rate{20'000};
  std::chrono::milliseconds time_per_token{25};
  uint32_t max_service_calls = 64;
  bool honours_fencing = true;  // "fencing": "honoured" | "ignored".
};

struct LimitSettings {
  Bytes max_body{16 * 1024 * 1024};
  std::chrono::milliseconds default_deadline{60'000};
  std::chrono::milliseconds max_deadline{3'600'000};
  // How long the platform's load balancer may go on sending requests after the
  // health endpoint has answered 503.
  std::chrono::milliseconds balancer_lag{5'000};
  uint32_t traffic_threads = 2;
  uint32_t max_connections = 4'096;
};

// An entry that may be asked for the configuration before the instance list is
// known.
struct PeerSettings {
  InstanceId instance;
  std::string address;  // "ip:port" of its bus.
};

// Of a process that forwards requests as they are, by the routes of the
// platform. An agent then places requests and leaves the engine to the entries.
struct ForwardingSettings {
  std::string caller_address;   // "ip:port" for callers; entries only.
  std::string engine_address;   // "ip:port" of the engine; agents only.
  uint32_t agent_bus_port = 0;  // Of the agents on all machines; entries only.
  std::map<DataCentreId, RegionId> regions;  // Entries only.
  double repeat_ratio = 0.2;  // Repeats of a service by its requests.
  std::chrono::milliseconds repeat_window{10'000};
  uint32_t repeat_allowance = 50;  // Repeats of all entries beside the ratio.
  std::chrono::milliseconds stop_grace{8'000};  // From SIGTERM to SIGKILL.
};

struct Settings {
  Role role = Role::kEntry;
  InstanceId instance;
  DataCentreId data_centre;
  RegionId region;
  std::string bus_address;
  std::string http_address;
  std::string object_api_address;
  uint32_t subset_size = 48;  // Entries only: agents that the entry knows.
  std::vector<PeerSettings> seed_peers;  // Entries only.
  TargetSettings target;                 // Agents only.
  LimitSettings limits;
  std::optional<ForwardingSettings> forwarding;
};

// Why a settings file could not be read.
struct SettingsFileError {
  std::string path;
  std::string reason;
};

// Returns the text of the file. Fails with SettingsFileError.
boost::leaf::result<std::string> ReadSettingsFile(const std::string& path);

// Returns nullopt and adds all findings, each with a JSON pointer, when the
// settings are malformed, incomplete or have unknown keys.
std::optional<Settings> ParseSettings(std::string_view text,
                                      Findings* findings);

}  // namespace burdockhatch

#endif  // SRC_SETTINGS_H_
