/// @file topology.cc Index of a configuration.
#include "topology_base.h"

#include <algorithm>

namespace fuchsiafall {

namespace {

template <typename Map>
auto FindIn(const Map& map, const std::string& id) ->
    typename Map::mapped_type {
  auto it = map.find(id);
  return it == map.end() ? nullptr : it->second;
}

}  // namespace

topology::topology(proto::configuration configuration)
    : configuration_(std::move(configuration)) {
  const proto::inventory& inventory = configuration_.inventory();
  for (const auto& domain : inventory.domains()) {
    domains_[domain.id()] = {.id = domain_id(domain.id()),
                             .region = domain.region()};
  }
  for (const std::string& id : configuration_.domains_out()) {
    auto it = domains_.find(id);
    if (it != domains_.end())
      it->second.in_service = false;
  }
  for (const auto& vm : inventory.vms()) {
    vms_[vm.id()] = &vm;
    failure_domain& domain = domains_[vm.domain()];
    domain.vms.push_back(vm.id());
    if (vm.role() == proto::vm::ENTRY)
      domain.entries.push_back(vm.id());
    if (vm.role() == proto::vm::AGENT)
      domain.servers[vm.service()].push_back(vm.id());
  }
  for (const auto& service : inventory.services())
    services_[service.id()] = &service;
  for (const auto& version : inventory.versions())
    versions_[version.id()] = &version;
  for (const auto& adapter : inventory.adapters())
    adapters_[adapter.id()] = &adapter;
  for (const auto& item : inventory.organisations()) {
    organisations_[item.id()] = &item;
    tokens_[item.token()] = &item;
  }
}

const proto::vm* topology::FindVm(const vm_id& id) const {
  return FindIn(vms_, id.value);
}

const proto::organisation* topology::FindOrganisation(
    const std::string& id) const {
  return FindIn(organisations_, id);
}

const proto::service* topology::FindService(const std::string& id) const {
  return FindIn(services_, id);
}

const proto::version* topology::FindVersion(const std::string& id) const {
  return FindIn(versions_, id);
}

const proto::adapter* topology::FindAdapter(const std::string& id) const {
  return FindIn(adapters_, id);
}

const proto::organisation* topology::FindOrganisationByToken(
    const std::string& token) const {
  return FindIn(tokens_, token);
}

const failure_domain* topology::FindDomain(const std::string& id) const {
  auto it = domains_.find(id);
  return it == domains_.end() ? nullptr : &it->second;
}

bool topology::IsInService(const proto::vm& vm) const {
  const failure_domain* domain = FindDomain(vm.domain());
  return domain != nullptr && domain->in_service;
}

bool topology::IsIdempotent(const proto::service& service,
                            const std::string& method,
                            const std::string& path) const {
  if (service.kind() == proto::service::MODEL)
    return true;
  if (method == "GET" || method == "HEAD")
    return true;
  const auto& paths = service.idempotent_paths();
  return std::find(paths.begin(), paths.end(), path) != paths.end();
}

std::string topology::AddressOf(const proto::vm& vm, plane where) {
  uint32_t offset = where == plane::kControl ? 0
                    : where == plane::kBulk  ? 1
                                             : 2;
  return vm.ip() + ":" + std::to_string(vm.port() + offset);
}

}  // namespace fuchsiafall
