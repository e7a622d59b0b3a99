/// @file site_index_base.h Routes and tenants of a site, indexed for each
/// request.
#ifndef SITE_INDEX_BASE_H_
#define SITE_INDEX_BASE_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "site_type.h"

namespace fuchsiafall {

/// Looks up routes and tenants in one view of the site.
class site_index {
 public:
  explicit site_index(std::shared_ptr<const site_view> view);

  /// Finds the route of the host with the longest prefix that begins the path.
  /// @param target Path of the request, with its query.
  const site_route* FindRoute(const std::string& host,
                              const std::string& target) const;
  const site_tenant* FindTenant(const std::string& key) const;
  const site_service* FindService(const std::string& name) const;
  /// Servers of a service, draining ones among them.
  const std::vector<const site_server*>& Servers(
      const std::string& service) const;
  const site_view& View() const { return *view_; }
  const std::shared_ptr<const site_view>& Shared() const { return view_; }

 private:
  std::shared_ptr<const site_view> view_;
  std::unordered_map<std::string, std::vector<const site_route*>> hosts_;
  std::unordered_map<std::string, const site_tenant*> keys_;
  std::unordered_map<std::string, std::vector<const site_server*>> servers_;
};

/// Chooses the service of a route by the weights of its split.
/// @param random In [0, 1).
const std::string& ChooseTarget(const site_route& route, double random);

/// Whether a region is in a list of allowed ones; an empty list allows all.
bool IsAllowed(const std::vector<std::string>& regions,
               const std::string& region);

}  // namespace fuchsiafall

#endif  // SITE_INDEX_BASE_H_
