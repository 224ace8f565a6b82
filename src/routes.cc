#include "src/routes.h"

namespace burdockhatch {

const Route* FindRoute(const RouteConfig& config,
                       std::string_view host,
                       std::string_view path) {
  path = path.substr(0, path.find('?'));
  const Route* best = nullptr;
  for (const Route& it : config.routes) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

const ServiceId& ChooseService(const Route& route, double draw) {
  uint64_t total = 0;
  for (const WeightedService& it : route.shares) {
    total += it.weight;
  }
  double rest = draw * static_cast<double>(total);
  for (const WeightedService& it : route.shares) {
    rest -= it.weight;
    if (rest < 0 && it.weight > 0) {
      return it.service;
    }
  }
  return route.shares.back().service;
}

}  // namespace burdockhatch
