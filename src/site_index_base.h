/// @file site_index_base.h Lookup of a site's routes, tenants and servers.
#ifndef SITE_INDEX_BASE_H_
#define SITE_INDEX_BASE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "site_type.h"

namespace fuchsiafall {

/// Position of a request among those that compete for one service; 0 is the
/// highest.
struct request_rank {
  uint32_t rank = 0;
  uint32_t route_rank = 0;  ///< By the priority of its route alone.
};

/// Ranks of the requests that the configuration allows for one service.
struct service_ranks {
  /// Priority of the organisation, and of the route.
  using key = std::pair<int, int>;
  std::set<key> keys;    ///< Highest first.
  std::set<int> routes;  ///< Priorities of its routes, highest first.
};

/// Indexes one view of the site for the lookups that each request makes.
class site_index {
 public:
  explicit site_index(std::shared_ptr<const site_view> view);

  /// Finds the route of a host with the longest prefix of the path.
  /// @param target Path and query of the request.
  const site_route* FindRoute(const std::string& host,
                              const std::string& target) const;
  const site_tenant* FindTenant(const std::string& key) const;
  const site_service* FindService(const std::string& name) const;
  /// Servers of a service, including draining ones.
  const std::vector<const site_server*>& Servers(
      const std::string& service) const;
  /// Whether routes of different priorities compete for the servers of a
  /// service.
  bool IsRanked(const std::string& service) const {
    return ranks_.contains(service);
  }
  /// Returns the rank of a request at a service: first by the priority of its
  /// organisation (by that of its route if the organisation has none), then by
  /// the priority of its route.
  /// @param tenant Null on anonymous routes.
  request_rank RankOf(const std::string& service,
                      const site_route& route,
                      const site_tenant* tenant) const;
  const site_view& View() const { return *view_; }
  const std::shared_ptr<const site_view>& Shared() const { return view_; }

 private:
  std::shared_ptr<const site_view> view_;
  std::unordered_map<std::string, std::vector<const site_route*>> hosts_;
  std::unordered_map<std::string, const site_tenant*> keys_;
  std::unordered_map<std::string, std::vector<const site_server*>> servers_;
  std::map<std::string, service_ranks> ranks_;  ///< Of ranked services.
};

/// Chooses a service of a route according to the weights of its traffic split.
/// @param random Uniform in [0, 1).
const std::string& ChooseService(const site_route& route, double random);

/// Whether a list of allowed regions permits a region; an empty list permits
/// all.
bool IsAllowed(const std::vector<std::string>& regions,
               const std::string& region);

}  // namespace fuchsiafall

#endif  // SITE_INDEX_BASE_H_
