/// @file site_index.cc Lookup of a site's routes, tenants and servers.
#include "site_index_base.h"

#include <algorithm>
#include <map>

namespace fuchsiafall {

namespace {

std::map<std::string, std::set<uint32_t>> RanksByService(
    const site_configuration& configuration) {
  std::map<std::string, std::set<uint32_t>> ranks;
  for (const site_route& route : configuration.routes) {
    std::set<uint32_t> of_route;
    if (route.is_anonymous || configuration.tenants.empty()) {
      of_route.insert(RankOf(route, nullptr));
    } else {
      for (const site_tenant& tenant : configuration.tenants)
        of_route.insert(RankOf(route, &tenant));
    }
    for (const route_target& target : route.targets)
      ranks[target.service].insert(of_route.begin(), of_route.end());
  }
  return ranks;
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
  for (const auto& [service, ranks] : RanksByService(view_->configuration)) {
    if (ranks.size() > 1)
      ranked_services_.insert(service);
  }
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

uint32_t RankOf(const site_route& route, const site_tenant* tenant) {
  const bool has_own = tenant != nullptr && tenant->priority;
  const int priority = has_own ? *tenant->priority : route.priority;
  return static_cast<uint32_t>(
      std::clamp(priority, 0, static_cast<int>(kMaxRank)));
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
