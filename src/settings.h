// Settings of one daemon: its role, location, addresses and target. The
// platform writes them to a JSON file before it starts the process.
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

#include "src/crash_blame.h"
#include "src/findings.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/target_signals.h"
#include "src/units.h"

namespace burdockhatch {

enum class TargetKind : uint8_t { kEngine, kService };

// The target that an agent dispatches to.
struct TargetSettings {
  TargetId target;
  TargetKind kind = TargetKind::kEngine;
  std::string address;     // "ip:port" of the target's HTTP interface.
  ModelId model;           // Engines only.
  ServiceId service;       // Plain services only.
  Tokens memory{450'000};  // Engines only: size of the KV cache.
  // Engines only: limit of tokens in flight when warm.
  Tokens full_budget{200'000};
  // Engines only: speed of prompt processing and time per output token.
  TokensPerSecond prefill_rate{20'000};
  std::chrono::milliseconds time_per_token{25};
  uint32_t max_service_calls = 64;  // Plain services only: concurrent calls.
  // Whether the target refuses orders with a stale fencing token. JSON member
  // "fencing": "honoured" or "ignored".
  bool honours_fencing = true;
};

struct LimitSettings {
  Bytes max_body{16 * 1024 * 1024};  // Body of one request.
  // Deadline of a request that states none.
  std::chrono::milliseconds default_deadline{60'000};
  std::chrono::milliseconds max_deadline{3'600'000};
  // Longest time for which the platform's load balancer still sends requests
  // after the health endpoint has answered 503.
  std::chrono::milliseconds balancer_lag{5'000};
  // Time that the platform allows between SIGTERM and SIGKILL. Entries of the
  // product's own path; forwarding entries have theirs.
  std::chrono::milliseconds stop_grace{75'000};
  uint32_t traffic_threads = 2;
  uint32_t max_connections = 4'096;  // Open connections from callers.
  // Forwarding entries only: the body of one response that is not streamed, and
  // all of them that are held in memory. A larger one fails its attempt.
  Bytes max_response{2 * 1024 * 1024};
  Bytes max_buffered_responses{32 * 1024 * 1024};
  // All requests that an entry holds, from their first byte until they are
  // over. At the stated load an entry holds less than 8 MB; 160 MB of memory
  // have room for this, the responses and 3,000 connections.
  Bytes max_buffered_requests{48 * 1024 * 1024};
};

// An entry from which another one can fetch the configuration before it has the
// instance list, for example when it starts during an outage of the object API.
struct PeerSettings {
  InstanceId instance;
  std::string address;  // "ip:port" of the entry's bus.
};

// Settings of a process in forwarding mode: an entry forwards requests
// unchanged, along the routes of the platform; an agent only places requests,
// and the entries call the engine.
struct ForwardingSettings {
  std::string caller_address;   // Entries only: "ip:port" that callers use.
  std::string engine_address;   // Agents only: "ip:port" of the engine.
  uint32_t agent_bus_port = 0;  // Entries only: bus port of every agent.
  std::map<DataCentreId, RegionId> regions;  // Entries only.
  // Retry budget of one service, entries only: `repeat_ratio` is the highest
  // ratio of retries to requests within `repeat_window`. `repeat_allowance` is
  // the number of retries per window, of all entries together, that are allowed
  // on top of the ratio.
  double repeat_ratio = 0.2;
  std::chrono::milliseconds repeat_window{10'000};
  uint32_t repeat_allowance = 50;
  // Time that the platform allows between SIGTERM and SIGKILL.
  std::chrono::milliseconds stop_grace{8'000};
  // Entries only: the longest time for which a request waits until a process
  // that has just started knows its configuration and targets. 0: it is refused
  // at once.
  std::chrono::milliseconds max_startup_wait{0};
  // Whether slow engines get less work, see target_pace.h. Stated in the
  // settings of agents and entries.
  bool target_pace = false;
  // Entries only: whether fewer calls to the store are made, see
  // long_watch_feed.h.
  bool long_watches = false;
};

struct Settings {
  std::string path;  // Of the file that they were read from; may be empty.
  Role role = Role::kEntry;
  InstanceId instance;
  DataCentreId data_centre;
  RegionId region;
  std::string bus_address;
  std::string http_address;
  std::string object_api_address;
  // Entries only: number of agents that the entry follows, over all models.
  uint32_t subset_size = 48;
  std::vector<PeerSettings> seed_peers;  // Entries only.
  TargetSettings target;                 // Agents only.
  LimitSettings limits;
  CrashBlameLimits crash_blame;
  TargetSignalLimits target_signals;
  std::optional<ForwardingSettings> forwarding;
};

// Describes why a settings file could not be read.
struct SettingsFileError {
  std::string path;
  std::string reason;
};

// Returns the content of the file. Fails with SettingsFileError, also when the
// file is larger than 1 MiB.
boost::leaf::result<std::string> ReadSettingsFile(const std::string& path);

// Parses the JSON text of the settings. Returns nullopt and adds one finding
// per error when the settings are malformed, incomplete or have unknown keys.
std::optional<Settings> ParseSettings(std::string_view text,
                                      Findings* findings);

}  // namespace burdockhatch

#endif  // SRC_SETTINGS_H_
