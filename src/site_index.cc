/// @file site_index.cc Lookup of a site's routes, tenants and servers.
#include "site_index_base.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace fuchsiafall {

namespace {

service_ranks::key KeyOf(const site_route& route, const site_tenant* tenant) {
  const bool has_own = tenant != nullptr && tenant->priority;
  return {has_own ? *tenant->priority : route.priority, route.priority};
}

/// Finds the ranks of the services for whose places routes of different
/// priorities compete. Anonymous routes do not count, unless there are no
/// organisations at all.
std::map<std::string, service_ranks> FindRanks(
    const site_configuration& configuration) {
  // Organisations with the same priority give the same ranks.
  std::map<std::optional<int>, const site_tenant*> tenants;
  for (const site_tenant& tenant : configuration.tenants)
    tenants.emplace(tenant.priority, &tenant);
  std::map<std::string, service_ranks> all;
  for (const site_route& route : configuration.routes) {
    if (route.is_anonymous && !tenants.empty())
      continue;
    for (const route_target& target : route.targets) {
      service_ranks& ranks = all[target.service];
      ranks.routes.insert(route.priority);
      if (tenants.empty())
        ranks.keys.insert(KeyOf(route, nullptr));
      for (const auto& [priority, tenant] : tenants)
        ranks.keys.insert(KeyOf(route, tenant));
    }
  }
  std::erase_if(all,
                [](const auto& item) { return item.second.routes.size() < 2; });
  return all;
}

/// Returns the position of a value among ordered ones, at most kMaxRank.
template <typename T>
uint32_t PositionOf(const T& value, const std::set<T>& ordered) {
  const auto position =
      std::distance(ordered.begin(), ordered.lower_bound(value));
  return std::min(static_cast<uint32_t>(position), kMaxRank);
}

}  // namespace

site_index::site_index(std::shared_ptr<const site_view> view)
    : view_(std::move(view)) {
  for (const site_route& route : view_->configuration.routes)
    hosts_[route.host].push_back(&route);
  for (auto& [host, routes] : hosts_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const site_route* a, const site_route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const site_tenant& tenant : view_->configuration.tenants) {
    for (const std::string& key : tenant.keys)
      keys_[key] = &tenant;
  }
  for (const auto& [id, server] : view_->servers)
    servers_[server.service].push_back(&server);
  ranks_ = FindRanks(view_->configuration);
}

const site_route* site_index::FindRoute(const std::string& host,
                                        const std::string& target) const {
  auto routes = hosts_.find(host);
  if (routes == hosts_.end())
    return nullptr;
  const std::string_view path =
      std::string_view(target).substr(0, target.find('?'));
  for (const site_route* route : routes->second) {
    if (path.starts_with(route->prefix))
      return route;
  }
  return nullptr;
}

const site_tenant* site_index::FindTenant(const std::string& key) const {
  auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : it->second;
}

const site_service* site_index::FindService(const std::string& name) const {
  auto it = view_->configuration.services.find(name);
  return it == view_->configuration.services.end() ? nullptr : &it->second;
}

const std::vector<const site_server*>& site_index::Servers(
    const std::string& service) const {
  static const std::vector<const site_server*> none;
  auto it = servers_.find(service);
  return it == servers_.end() ? none : it->second;
}

request_rank site_index::RankOf(const std::string& service,
                                const site_route& route,
                                const site_tenant* tenant) const {
  auto it = ranks_.find(service);
  if (it == ranks_.end())
    return {};
  return {.rank = PositionOf(KeyOf(route, tenant), it->second.keys),
          .route_rank = PositionOf(route.priority, it->second.routes)};
}

const std::string& ChooseService(const site_route& route, double random) {
  static const std::string none;
  double total = 0;
  for (const route_target& target : route.targets)
    total += target.weight;
  double left = random * total;
  for (const route_target& target : route.targets) {
    left -= target.weight;
    if (left < 0)
      return target.service;
  }
  return route.targets.empty() ? none : route.targets.back().service;
}

bool IsAllowed(const std::vector<std::string>& regions,
               const std::string& region) {
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace fuchsiafall
