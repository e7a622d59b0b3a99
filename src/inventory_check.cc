/// @file inventory_check.cc Validation of inventories, which are generated from
/// the asset register.
#include <Poco/Net/IPAddress.h>

#include <set>

#include "configuration_func.h"
#include "hash_func.h"

namespace fuchsiafall {

namespace {

// The bulk and traffic ports follow the control port.
constexpr uint32_t kMaxPort = 65533;
constexpr uint32_t kMaxAdmissionLimit = 100000;

using id_set = std::set<std::string>;

std::string JoinIds(const id_set& ids) {
  constexpr size_t kShown = 10;
  std::string text;
  size_t shown = 0;
  for (const std::string& id : ids) {
    if (shown++ == kShown)
      return text + ", ...";
    text += (text.empty() ? "" : ", ") + id;
  }
  return text.empty() ? "(none)" : text;
}

failure InvalidField(const std::string& field_path,
                     const std::string& found,
                     const std::string& allowed) {
  return failure{field_path + ": found '" + found + "', allowed is " + allowed};
}

/// Collects the ids of one list and rejects empty and duplicate ones.
template <typename Items>
outcome<id_set> CollectIds(const char* list, const Items& items) {
  id_set ids;
  for (int i = 0; i < items.size(); ++i) {
    std::string field_path =
        std::string(list) + "[" + std::to_string(i) + "].id";
    if (items[i].id().empty())
      return InvalidField(field_path, "", "a non-empty id");
    if (!ids.insert(items[i].id()).second) {
      return InvalidField(field_path, items[i].id(), "an id that appears once");
    }
  }
  return ids;
}

outcome<done> CheckReference(const std::string& field_path,
                             const std::string& found,
                             const id_set& ids) {
  if (ids.contains(found))
    return done{};
  return InvalidField(field_path, found, "one of " + JoinIds(ids));
}

outcome<done> CheckDigest(const std::string& field_path,
                          const std::string& hex) {
  outcome<digest> read = DigestFromHex(hex);
  if (!read)
    return failure{field_path + ": " + read.LastReason()};
  return done{};
}

/// Checks that each adapter of a model service exists and was made for the
/// service's version.
outcome<done> CheckAdapters(const std::string& field_path,
                            const proto::service& service,
                            const proto::inventory& inventory,
                            const id_set& adapters) {
  for (const std::string& id : service.adapters()) {
    outcome<done> known =
        CheckReference(field_path + ".adapters", id, adapters);
    if (!known)
      return known;
    for (const proto::adapter& adapter : inventory.adapters()) {
      if (adapter.id() == id && adapter.base_version() != service.version()) {
        return InvalidField(
            field_path + ".adapters", id,
            "an adapter whose baseVersion is '" + service.version() + "'");
      }
    }
  }
  return done{};
}

outcome<done> CheckService(const std::string& field_path,
                           const proto::service& service,
                           const proto::inventory& inventory,
                           const id_set& versions,
                           const id_set& adapters) {
  if (service.cold_limit() < 1 || service.cold_limit() > kMaxAdmissionLimit) {
    return InvalidField(
        field_path + ".coldLimit", std::to_string(service.cold_limit()),
        "a number from 1 to " + std::to_string(kMaxAdmissionLimit));
  }
  if (service.most_limit() < service.cold_limit() ||
      service.most_limit() > kMaxAdmissionLimit) {
    return InvalidField(
        field_path + ".mostLimit", std::to_string(service.most_limit()),
        "a number from coldLimit to " + std::to_string(kMaxAdmissionLimit));
  }
  switch (service.kind()) {
    case proto::service::MODEL: {
      outcome<done> known =
          CheckReference(field_path + ".version", service.version(), versions);
      if (!known)
        return known;
      return CheckAdapters(field_path, service, inventory, adapters);
    }
    case proto::service::PLAIN:
      if (!service.version().empty() || service.adapters_size() > 0) {
        return InvalidField(field_path + ".version", service.version(),
                            "no version and no adapters for a PLAIN service");
      }
      return done{};
    default:
      return InvalidField(field_path + ".kind", "UNSET", "MODEL or PLAIN");
  }
}

outcome<done> CheckVm(const std::string& field_path,
                      const proto::vm& vm,
                      const id_set& domains,
                      const id_set& services) {
  outcome<done> known =
      CheckReference(field_path + ".domain", vm.domain(), domains);
  if (!known)
    return known;
  Poco::Net::IPAddress address;
  if (!Poco::Net::IPAddress::tryParse(vm.ip(), address)) {
    return InvalidField(field_path + ".ip", vm.ip(), "an IP address");
  }
  if (vm.port() < 1 || vm.port() > kMaxPort) {
    return InvalidField(field_path + ".port", std::to_string(vm.port()),
                        "a number from 1 to " + std::to_string(kMaxPort));
  }
  switch (vm.role()) {
    case proto::vm::ENTRY:
      if (vm.service().empty())
        return done{};
      return InvalidField(field_path + ".service", vm.service(),
                          "nothing for an ENTRY");
    case proto::vm::AGENT:
      return CheckReference(field_path + ".service", vm.service(), services);
    default:
      return InvalidField(field_path + ".role", "UNSET", "ENTRY or AGENT");
  }
}

outcome<done> CheckOrganisations(const proto::inventory& inventory) {
  outcome<id_set> ids = CollectIds("organisations", inventory.organisations());
  if (!ids)
    return failure{ids.LastReason()};
  id_set tokens;
  for (int i = 0; i < inventory.organisations_size(); ++i) {
    std::string field_path = "organisations[" + std::to_string(i) + "].token";
    const std::string& token = inventory.organisations(i).token();
    if (token.empty())
      return InvalidField(field_path, "", "a non-empty token");
    if (!tokens.insert(token).second)
      return InvalidField(field_path, "***", "a token that appears once");
  }
  return done{};
}

}  // namespace

outcome<done> CheckInventory(const proto::inventory& inventory) {
  outcome<id_set> domains = CollectIds("domains", inventory.domains());
  if (!domains)
    return failure{domains.LastReason()};
  outcome<id_set> versions = CollectIds("versions", inventory.versions());
  if (!versions)
    return failure{versions.LastReason()};
  outcome<id_set> adapters = CollectIds("adapters", inventory.adapters());
  if (!adapters)
    return failure{adapters.LastReason()};
  outcome<id_set> services = CollectIds("services", inventory.services());
  if (!services)
    return failure{services.LastReason()};
  outcome<id_set> vms = CollectIds("vms", inventory.vms());
  if (!vms)
    return failure{vms.LastReason()};

  for (int i = 0; i < inventory.versions_size(); ++i) {
    std::string field_path =
        "versions[" + std::to_string(i) + "].manifestDigest";
    outcome<done> checked =
        CheckDigest(field_path, inventory.versions(i).manifest_digest());
    if (!checked)
      return checked;
  }
  for (int i = 0; i < inventory.adapters_size(); ++i) {
    std::string field_path = "adapters[" + std::to_string(i) + "]";
    const proto::adapter& adapter = inventory.adapters(i);
    outcome<done> base = CheckReference(field_path + ".baseVersion",
                                        adapter.base_version(), *versions);
    if (!base)
      return base;
    outcome<done> checked =
        CheckDigest(field_path + ".manifestDigest", adapter.manifest_digest());
    if (!checked)
      return checked;
  }
  for (int i = 0; i < inventory.services_size(); ++i) {
    std::string field_path = "services[" + std::to_string(i) + "]";
    outcome<done> checked = CheckService(field_path, inventory.services(i),
                                         inventory, *versions, *adapters);
    if (!checked)
      return checked;
  }
  for (int i = 0; i < inventory.vms_size(); ++i) {
    std::string field_path = "vms[" + std::to_string(i) + "]";
    outcome<done> checked =
        CheckVm(field_path, inventory.vms(i), *domains, *services);
    if (!checked)
      return checked;
  }
  return CheckOrganisations(inventory);
}

}  // namespace fuchsiafall
