/// @file transfer_topology.cc Model servers of one service as the weight
/// transfer of a hosted agent sees them.
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "hash_func.h"
#include "transfer_topology_func.h"

namespace fuchsiafall {

topology_ptr MakeTransferTopology(
    const site_settings& settings,
    const std::map<std::string, std::string>& members) {
  proto::configuration configuration;
  proto::inventory* inventory = configuration.mutable_inventory();
  std::set<std::string> domains;
  for (const auto& [ip, domain] : members) {
    if (domains.insert(domain).second) {
      proto::failure_domain* added = inventory->add_domains();
      added->set_id(domain);
      auto region = settings.regions.find(domain);
      if (region != settings.regions.end())
        added->set_region(region->second);
    }
    proto::vm* vm = inventory->add_vms();
    vm->set_id(ip);
    vm->set_ip(ip);
    vm->set_domain(domain);
    vm->set_role(proto::vm::AGENT);
    vm->set_port(settings.first_port);
    vm->set_service(settings.service);
  }
  return std::make_shared<topology>(std::move(configuration));
}

double ComputeLoadSlot(const std::map<std::string, std::string>& members,
                       const std::string& self) {
  if (members.empty())
    return 0;
  std::vector<std::string> ids;
  for (const auto& [id, domain] : members)
    ids.push_back(id);
  const auto order = RendezvousRank("turn", ids, ids.size());
  for (size_t i = 0; i < order.size(); ++i) {
    if (ids[order[i]] == self)
      return static_cast<double>(i) / static_cast<double>(order.size());
  }
  return 0;
}

}  // namespace fuchsiafall
