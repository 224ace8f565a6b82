// Routing configuration of a forwarding entry: which service handles a host and
// path, under which limits, and which client accounts may call.
#ifndef SRC_ROUTES_H_
#define SRC_ROUTES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/engine_cost.h"
#include "src/ids.h"
#include "src/priority.h"
#include "src/units.h"

namespace burdockhatch {

struct WeightedService {
  ServiceId service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  std::vector<WeightedService> shares;
  bool is_streaming = false;  // Responses are streams of server-sent events.
  bool repeatable = false;    // A request may safely execute more than once.
  uint32_t max_attempts = 1;  // Attempts per request that may have executed.
  Duration timeout = std::chrono::seconds(10);
  // Target time from the request to the first event of a stream, or to the
  // whole response on other routes.
  Duration latency_target = std::chrono::seconds(1);
  Duration gap_target = std::chrono::seconds(1);  // Between events of a stream.
  bool allows_anonymous = false;                  // No API key is needed.
  // Regions whose targets may be used; empty means all.
  std::vector<RegionId> regions;
  // Of its requests, unless their account has one.
  Priority priority = kMiddlePriority;
};

struct ServicePool {
  std::optional<EngineCost> engine;  // Set only for services run by engines.
  // Limit per cold target, over all entries; 0 means no limit.
  double cold_requests_per_s = 0;
};

struct KeyOwner {
  ClientAccountId account;
  // Regions whose targets may be used; empty means all.
  std::vector<RegionId> regions;
  // Takes precedence over that of the route.
  std::optional<Priority> priority;
};

// Size and time limits on what a caller sends.
struct CallerLimits {
  Bytes max_header{16 * 1024};
  Bytes max_body{4 * 1024 * 1024};
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

struct RouteConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, ServicePool> services;
  std::map<std::string, KeyOwner, std::less<>> keys;
  bool keys_required = false;
  CallerLimits limits;
  // Services whose requests may differ in priority. Only for these does a
  // priority have any effect.
  std::set<ServiceId> prioritized_services;
};

using RouteConfigPtr = std::shared_ptr<const RouteConfig>;

// Returns the route of `host` with the longest prefix of `path`, or null if
// none matches. The query of `path` is ignored.
const Route* FindRoute(const RouteConfig& config,
                       std::string_view host,
                       std::string_view path);

// Returns the services to which the configuration may send requests.
std::set<ServiceId> NamedServices(const RouteConfig& config);

// Returns the services whose requests may differ in priority.
std::set<ServiceId> FindPrioritizedServices(const RouteConfig& config);

// Picks a service of the route in proportion to its weight. `draw` is a uniform
// random number in [0, 1).
const ServiceId& ChooseService(const Route& route, double draw);

}  // namespace burdockhatch

#endif  // SRC_ROUTES_H_
