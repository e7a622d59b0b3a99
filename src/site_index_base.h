/// @file site_index_base.h Lookup of a site's routes, tenants and servers.
#ifndef SITE_INDEX_BASE_H_
#define SITE_INDEX_BASE_H_

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "site_type.h"

namespace fuchsiafall {

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
  /// Whether the configuration allows requests of different ranks for a
  /// service.
  bool IsRanked(const std::string& service) const {
    return ranked_services_.contains(service);
  }
  const site_view& View() const { return *view_; }
  const std::shared_ptr<const site_view>& Shared() const { return view_; }

 private:
  std::shared_ptr<const site_view> view_;
  std::unordered_map<std::string, std::vector<const site_route*>> hosts_;
  std::unordered_map<std::string, const site_tenant*> keys_;
  std::unordered_map<std::string, std::vector<const site_server*>> servers_;
  std::set<std::string> ranked_services_;
};

/// Returns the rank of a request: the priority of its organisation if that has
/// one, else that of its route, limited to [0, kMaxRank].
/// @param tenant Null on anonymous routes.
uint32_t RankOf(const site_route& route, const site_tenant* tenant);

/// Chooses a service of a route according to the weights of its traffic split.
/// @param random Uniform in [0, 1).
const std::string& ChooseService(const site_route& route, double random);

/// Whether a list of allowed regions permits a region; an empty list permits
/// all.
bool IsAllowed(const std::vector<std::string>& regions,
               const std::string& region);

}  // namespace fuchsiafall

#endif  // SITE_INDEX_BASE_H_
