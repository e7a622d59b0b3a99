/// @file weight_import.cc Which servers import which blobs from outside their
/// domain.
#include <algorithm>

#include "hash_func.h"
#include "weight_transfer_base.h"

namespace fuchsiafall {

namespace {

// Servers of a domain that share the imports from outside.
constexpr size_t kMaxImporters = 4;
// Importers of all domains together. The origin accepts a bounded number of
// connections and resets others.
constexpr size_t kMaxImportersOfAll = 24;
// Servers that take over when all importers are unresponsive.
constexpr size_t kStandbys = 2;

}  // namespace

size_t weight_transfer::ImporterCount() const {
  const size_t domains = std::max<size_t>(1, topology_->Domains().size());
  return std::clamp<size_t>(kMaxImportersOfAll / domains, 1, kMaxImporters);
}

void weight_transfer::BuildImporters(artifact* item) {
  item->importers_by_domain.clear();
  item->manifest_plan.reset();
  item->chunk_plans.assign(item->chunks.size(), std::nullopt);
  if (options_.is_direct) {
    item->importers_by_domain[options_.domain.value] = {options_.self};
    return;
  }
  for (const auto& [id, domain] : topology_->Domains()) {
    auto servers = domain.servers.find(service_);
    if (servers == domain.servers.end())
      continue;
    std::string key = "import " + item->part.manifest.value;
    for (size_t i :
         RendezvousRank(key, servers->second, ImporterCount() + kStandbys)) {
      item->importers_by_domain[id].emplace_back(servers->second[i]);
    }
  }
}

const std::vector<vm_id>* import_plan::Find(const std::string& domain) const {
  auto it = std::find_if(
      domains.begin(), domains.end(),
      [&](const domain_order& order) { return order.domain == domain; });
  return it == domains.end() ? nullptr : &it->importers;
}

const import_plan& weight_transfer::ImportPlanOf(
    artifact* item,
    std::optional<size_t> chunk) const {
  std::optional<import_plan>& plan =
      chunk ? item->chunk_plans[*chunk] : item->manifest_plan;
  if (plan)
    return *plan;
  plan.emplace();
  const digest& blob = chunk ? item->chunks[*chunk] : item->part.manifest;
  std::vector<std::string> domains;
  for (const auto& [id, ranked] : item->importers_by_domain)
    domains.push_back(id);
  for (size_t d : RendezvousRank(blob.value, domains, domains.size())) {
    import_plan::domain_order order{.domain = domains[d]};
    const std::vector<vm_id>& ranked = item->importers_by_domain[domains[d]];
    std::vector<std::string> importers;
    for (size_t i = 0; i < std::min(ImporterCount(), ranked.size()); ++i)
      importers.push_back(ranked[i].value);
    for (size_t i : RendezvousRank(blob.value, importers, importers.size()))
      order.importers.emplace_back(importers[i]);
    for (size_t i = ImporterCount(); i < ranked.size(); ++i)
      order.importers.push_back(ranked[i]);
    plan->domains.push_back(std::move(order));
  }
  return *plan;
}

void weight_transfer::BuildImportRanks(artifact* item) {
  item->import_rank.clear();
  auto ranked = item->importers_by_domain.find(options_.domain.value);
  if (ranked == item->importers_by_domain.end())
    return;
  const std::vector<vm_id>& own = ranked->second;
  if (std::find(own.begin(), own.end(), options_.self) == own.end())
    return;
  for (size_t i = 0; i < item->chunks.size(); ++i) {
    const std::vector<vm_id>& order =
        *ImportPlanOf(item, i).Find(options_.domain.value);
    auto rank = std::find(order.begin(), order.end(), options_.self);
    if (rank != order.end())
      item->import_rank[i] = static_cast<size_t>(rank - order.begin());
  }
}

}  // namespace fuchsiafall
