/// @file topology_base.h Index of the VMs, failure domains and services of one
/// configuration.
#ifndef TOPOLOGY_BASE_H_
#define TOPOLOGY_BASE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "ids_type.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

/// Kinds of traffic between processes. Each has its own sockets, so that bulk
/// transfers never delay control messages and requests.
enum class plane { kControl, kBulk, kTraffic };

/// Failure domain with its VMs.
struct failure_domain {
  domain_id id;
  std::string region;
  bool in_service = true;
  std::vector<std::string> vms;      ///< Ids of all VMs.
  std::vector<std::string> entries;  ///< Ids of the entry VMs.
  /// VM ids of the agents, by service.
  std::map<std::string, std::vector<std::string>> servers;
};

/// Immutable index of a configuration.
class topology {
 public:
  explicit topology(proto::configuration configuration);

  const proto::configuration& Configuration() const { return configuration_; }
  revision Revision() const { return revision(configuration_.revision()); }

  const proto::vm* FindVm(const vm_id& id) const;
  size_t VmCount() const { return vms_.size(); }
  const proto::service* FindService(const std::string& id) const;
  const proto::version* FindVersion(const std::string& id) const;
  const proto::adapter* FindAdapter(const std::string& id) const;
  const proto::organisation* FindOrganisation(const std::string& id) const;
  const proto::organisation* FindOrganisationByToken(
      const std::string& token) const;
  const failure_domain* FindDomain(const std::string& id) const;
  const std::map<std::string, failure_domain>& Domains() const {
    return domains_;
  }

  /// Whether the VM's failure domain is in service, that is, not taken out by
  /// operators.
  bool IsInService(const proto::vm& vm) const;
  /// Whether a call may be safely repeated.
  bool IsIdempotent(const proto::service& service,
                    const std::string& method,
                    const std::string& path) const;
  /// Formats the address of a VM on one plane, as ip:port.
  static std::string AddressOf(const proto::vm& vm, plane where);

 private:
  proto::configuration configuration_;
  std::map<std::string, failure_domain> domains_;
  std::map<std::string, const proto::vm*> vms_;
  std::map<std::string, const proto::service*> services_;
  std::map<std::string, const proto::version*> versions_;
  std::map<std::string, const proto::adapter*> adapters_;
  std::map<std::string, const proto::organisation*> organisations_;
  std::map<std::string, const proto::organisation*> tokens_;
};

using topology_ptr = std::shared_ptr<const topology>;

}  // namespace fuchsiafall

#endif  // TOPOLOGY_BASE_H_
