/// @file router.cc Routing of attempts to backend servers.
#include "router_base.h"

#include <algorithm>

#include "hash_func.h"

namespace fuchsiafall {

namespace {

constexpr uint32_t kFailuresToEject = 3;
constexpr milliseconds kFirstEjection{2000};
constexpr uint32_t kMaxEjectionDoublings = 4;
/// Load from which requests spill over to a farther domain.
constexpr double kSpilloverLoad = 1.0;
/// Maximum load of a server chosen by affinity, relative to the average.
constexpr double kMaxAffinityLoadRatio = 1.25;
/// Age by which the weight of a load report falls by 1.
constexpr milliseconds kLoadReportFade{1000};
/// Weight of old load reports.
constexpr double kMinReportWeight = 0.5;
/// Initial traffic share of a domain that returns to service.
constexpr double kInitialRampShare = 0.1;

}  // namespace

double backend_server::Load(time_point now) const {
  const double limit = std::max(1U, state.limit());
  // Calls take some tenths of a second, so a server that reported a full load
  // may have free slots again. Reports up to 250 ms old count in full.
  const double age = ToSeconds(now - state_at) / ToSeconds(kLoadReportFade);
  const double report_weight = std::clamp(1.25 - age, kMinReportWeight, 1.0);
  const double reported = report_weight * state.in_flight();
  return std::max(reported, static_cast<double>(outstanding)) / limit;
}

router::router(router_options options)
    : options_(std::move(options)), random_(options_.seed) {}

void router::SetTopology(time_point now, const topology_ptr& view) {
  if (topology_ != nullptr) {
    for (const auto& [id, domain] : view->Domains()) {
      const failure_domain* before = topology_->FindDomain(id);
      if (before != nullptr && !before->in_service && domain.in_service)
        returned_at_[id] = now;
    }
  }
  topology_ = view;
  std::map<vm_id, backend_server> previous = std::move(servers_);
  servers_.clear();
  by_service_.clear();
  for (const auto& service : view->Configuration().inventory().services()) {
    AddServers(service.id());
  }
  for (auto& [id, server] : servers_) {
    auto it = previous.find(id);
    if (it == previous.end())
      continue;
    size_t distance = server.distance;
    server = it->second;
    server.distance = distance;
  }
}

std::set<vm_id> router::WatchedServers() const {
  std::set<vm_id> watched;
  for (const auto& [id, server] : servers_)
    watched.insert(id);
  return watched;
}

void router::OnServerState(time_point now,
                           const vm_id& id,
                           const proto::server_state& state) {
  auto it = servers_.find(id);
  if (it == servers_.end())
    return;
  it->second.state = state;
  it->second.state_at = now;
  it->second.has_state = true;
}

void router::OnAttemptSent(const vm_id& id) {
  auto it = servers_.find(id);
  if (it != servers_.end())
    ++it->second.outstanding;
}

bool router::OnAttemptEnded(time_point now,
                            const vm_id& id,
                            bool failed,
                            bool has_timed_out) {
  auto it = servers_.find(id);
  if (it == servers_.end())
    return false;
  backend_server& server = it->second;
  if (server.outstanding > 0)
    --server.outstanding;
  if (!failed) {
    server.failures = 0;
    server.ejections = 0;
    return false;
  }
  if (++server.failures < kFailuresToEject && !has_timed_out)
    return false;
  const std::vector<vm_id>& peers = by_service_[server.state.service()];
  auto ejected =
      std::count_if(peers.begin(), peers.end(), [&](const vm_id& other) {
        return servers_.at(other).ejected_until > now;
      });
  if (static_cast<size_t>(ejected + 1) * 2 > peers.size())
    return false;
  server.failures = 0;
  server.ejected_until =
      now +
      kFirstEjection * (1 << std::min(server.ejections, kMaxEjectionDoublings));
  ++server.ejections;
  return true;
}

std::optional<vm_id> router::Choose(time_point now,
                                    const route_query& query,
                                    const avoid_hook& avoid) {
  candidate_list candidates = Candidates(now, query, avoid);
  if (candidates.empty())
    return std::nullopt;
  if (options_.is_random)
    return candidates[random_() % candidates.size()]->id;
  const backend_server* chosen = nullptr;
  if (query.affinity != 0 && query.is_sticky)
    chosen = ChooseByAffinity(now, candidates, query);
  for (size_t distance = 0; chosen == nullptr && distance <= 2; ++distance) {
    candidate_list near;
    for (const backend_server* server : candidates) {
      if ((!query.ignores_distance && server->distance != distance) ||
          server->Load(now) >= kSpilloverLoad)
        continue;
      if (!IsSkippedWhileRamping(now, *server))
        near.push_back(server);
    }
    if (near.empty())
      continue;
    if (query.affinity != 0)
      chosen = ChooseByAffinity(now, near, query);
    if (chosen == nullptr)
      chosen = ChooseOfTwo(now, near);
  }
  if (chosen == nullptr)
    chosen = ChooseOfTwo(now, candidates);
  return chosen->id;
}

const backend_server* router::Find(const vm_id& id) const {
  auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

void router::AddServers(const std::string& service) {
  const failure_domain* own = topology_->FindDomain(options_.domain.value);
  const std::string region = own == nullptr ? "" : own->region;
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [id, domain] : topology_->Domains()) {
    auto it = domain.servers.find(service);
    if (it == domain.servers.end())
      continue;
    std::vector<std::string>& list = id == options_.domain.value ? near : far;
    list.insert(list.end(), it->second.begin(), it->second.end());
  }
  auto add = [&](const std::vector<std::string>& from, size_t count) {
    for (size_t i :
         RendezvousRank("subset " + options_.self.value, from, count)) {
      const proto::vm* vm = topology_->FindVm(vm_id(from[i]));
      backend_server server{.id = vm_id(vm->id()),
                            .domain = domain_id(vm->domain())};
      const failure_domain* domain = topology_->FindDomain(vm->domain());
      if (vm->domain() != options_.domain.value) {
        server.distance = domain->region == region ? 1 : 2;
      }
      by_service_[service].push_back(server.id);
      servers_.emplace(server.id, std::move(server));
    }
  };
  // Half of the subset is in other domains, so that enough servers remain if
  // the own domain fails.
  size_t far_count = std::min(far.size(), options_.subset / 2);
  add(near, options_.subset - far_count);
  add(far,
      options_.subset - std::min(near.size(), options_.subset - far_count));
}

bool router::IsCandidate(time_point now,
                         const backend_server& server,
                         const route_query& query,
                         const avoid_hook& avoid) const {
  if (!server.has_state || !server.state.accepting())
    return false;
  if (now - server.state_at > options_.max_state_age ||
      now < server.ejected_until)
    return false;
  const failure_domain* domain = topology_->FindDomain(server.domain.value);
  if (domain == nullptr || !domain->in_service)
    return false;
  if (query.excluded != nullptr && query.excluded->contains(server.id))
    return false;
  const auto& adapters = server.state.adapters();
  if (!query.adapter.empty() && std::find(adapters.begin(), adapters.end(),
                                          query.adapter) == adapters.end()) {
    return false;
  }
  return !avoid(server.id);
}

router::candidate_list router::Candidates(time_point now,
                                          const route_query& query,
                                          const avoid_hook& avoid) {
  candidate_list candidates;
  auto it = by_service_.find(query.service);
  if (it == by_service_.end())
    return candidates;
  for (const vm_id& id : it->second) {
    const backend_server& server = servers_.at(id);
    if (IsCandidate(now, server, query, avoid))
      candidates.push_back(&server);
  }
  return candidates;
}

bool router::IsSkippedWhileRamping(time_point now,
                                   const backend_server& server) {
  auto it = returned_at_.find(server.domain.value);
  if (it == returned_at_.end() || now - it->second >= options_.ramp)
    return false;
  const double elapsed_share =
      ToSeconds(now - it->second) / ToSeconds(options_.ramp);
  const double share =
      kInitialRampShare + (1 - kInitialRampShare) * elapsed_share;
  return std::uniform_real_distribution<double>(0, 1)(random_) > share;
}

const backend_server* router::ChooseByAffinity(time_point now,
                                               const candidate_list& among,
                                               const route_query& query) {
  double total = 0;
  for (const backend_server* server : among)
    total += server->Load(now);
  const double allowed =
      kMaxAffinityLoadRatio * total / static_cast<double>(among.size()) +
      1.0 / std::max(1U, among.front()->state.limit());
  const backend_server* best = nullptr;
  uint64_t best_score = 0;
  for (const backend_server* server : among) {
    if (!query.is_sticky && server->Load(now) > allowed)
      continue;
    uint64_t score = Hash64(server->id.value, query.affinity);
    if (best != nullptr && score <= best_score)
      continue;
    best = server;
    best_score = score;
  }
  return best;
}

const backend_server* router::ChooseOfTwo(time_point now,
                                          const candidate_list& among) {
  const backend_server* first = among[random_() % among.size()];
  const backend_server* second = among[random_() % among.size()];
  return first->Load(now) <= second->Load(now) ? first : second;
}

}  // namespace fuchsiafall
