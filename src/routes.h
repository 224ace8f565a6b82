// Routes of an entry that forwards requests as they are: which service answers
// a host and path, under which limits, and who may call.
#ifndef SRC_ROUTES_H_
#define SRC_ROUTES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/engine_cost.h"
#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch {

struct RouteShare {
  ServiceId service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  std::vector<RouteShare> shares;
  bool is_streaming = false;  // The answer is a stream of server-sent events.
  bool repeatable = false;    // May run more than once.
  uint32_t max_attempts = 1;  // Targets that one request may be sent to.
  Duration timeout = std::chrono::seconds(10);
  Duration latency_target =
      std::chrono::seconds(1);                    // First event of a stream.
  Duration gap_target = std::chrono::seconds(1);  // Between events.
  bool allows_anonymous = false;                  // Needs no key.
  std::vector<RegionId> regions;                  // Empty: anywhere.
};

struct ServicePool {
  std::optional<EngineCost> engine;  // Absent for a plain service.
  double cold_requests_per_s = 0;    // A cold target's share; 0: no limit.
};

struct KeyOwner {
  ClientAccountId account;
  std::vector<RegionId> regions;  // Empty: anywhere.
};

// What a caller may send and how long it may take.
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
};

using RouteConfigPtr = std::shared_ptr<const RouteConfig>;

// The route of the host whose prefix is the longest that begins `path`; null
// when there is none. A query in `path` is not part of the match.
const Route* FindRoute(const RouteConfig& config,
                       std::string_view host,
                       std::string_view path);

// The service for a request on a route whose shares are weighted; `draw` is
// uniform in [0, 1).
const ServiceId& ChooseService(const Route& route, double draw);

}  // namespace burdockhatch

#endif  // SRC_ROUTES_H_
