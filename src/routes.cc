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

std::set<ServiceId> NamedServices(const RouteConfig& config) {
  std::set<ServiceId> named;
  for (const auto& [service, pool] : config.services) {
    named.insert(service);
  }
  for (const Route& route : config.routes) {
    for (const WeightedService& it : route.shares) {
      named.insert(it.service);
    }
  }
  return named;
}

std::set<ServiceId> FindPrioritizedServices(const RouteConfig& config) {
  std::set<Priority> of_accounts;
  bool any_account_without = false;
  for (const auto& [key, owner] : config.keys) {
    if (owner.priority) {
      of_accounts.insert(*owner.priority);
    } else {
      any_account_without = true;
    }
  }
  std::map<ServiceId, std::set<Priority>> found;
  for (const Route& route : config.routes) {
    const bool is_open = !config.keys_required || route.allows_anonymous;
    for (const WeightedService& it : route.shares) {
      std::set<Priority>& priorities = found[it.service];
      if (is_open || any_account_without) {
        priorities.insert(route.priority);
      }
      if (!is_open) {
        priorities.insert(of_accounts.begin(), of_accounts.end());
      }
    }
  }
  std::set<ServiceId> services;
  for (const auto& [service, priorities] : found) {
    if (priorities.size() > 1) {
      services.insert(service);
    }
  }
  return services;
}

}  // namespace burdockhatch
