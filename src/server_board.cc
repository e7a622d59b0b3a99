/// @file server_board.cc Selection among the servers of a service.
#include <algorithm>
#include <cmath>

#include "server_board_base.h"

namespace fuchsiafall {

namespace {

/// Age after which a reported answer limit is ignored, because the announced
/// load has finished.
constexpr milliseconds kAnswerLimitTimeout{1500};

bool HoldsVersion(const site_server& server, uint64_t version) {
  return std::any_of(
      server.models.begin(), server.models.end(),
      [version](const held_layers& held) { return held.version == version; });
}

}  // namespace

void server_selector::SetIndex(const site_index* index) {
  index_ = index;
  const auto& servers = index_->View().servers;
  std::erase_if(health_, [&](const auto& item) {
    return !servers.contains(item.first) && item.second.in_flight == 0;
  });
  // Weights that a server loads again may not be intact.
  for (auto& [id, health] : health_) {
    auto server = servers.find(id);
    if (server == servers.end() ||
        !HoldsVersion(server->second, health.weights.version))
      health.weights = {};
    if (server == servers.end())
      continue;
    if (health.started_at_ms != 0 &&
        health.started_at_ms != server->second.started_at_ms)
      health.slowdown.Reset();
    health.started_at_ms = server->second.started_at_ms;
  }
}

const std::string& server_selector::RegionOf(const std::string& domain) const {
  static const std::string unknown;
  auto it = options_.regions.find(domain);
  return it == options_.regions.end() ? unknown : it->second;
}

bool server_selector::IsEligible(time_point now,
                                 const site_server& server,
                                 const server_query& query) const {
  return !notices_.PausedUntil(now, server) && IsSuitable(now, server, query);
}

std::optional<time_point> server_selector::FirstPauseEnd(
    time_point now,
    const server_query& query) const {
  std::optional<time_point> first;
  for (const site_server* server : index_->Servers(query.service)) {
    const auto until = notices_.PausedUntil(now, *server);
    if (until && (!first || *until < *first) &&
        IsSuitable(now, *server, query)) {
      first = until;
    }
  }
  return first;
}

bool server_selector::IsSuitable(time_point now,
                                 const site_server& server,
                                 const server_query& query) const {
  if (notices_.IsLeaving(now, server))
    return false;
  if (server.is_draining || index_->View().evacuated.contains(server.domain))
    return false;
  const std::string& region = RegionOf(server.domain);
  if ((query.route_regions && !IsAllowed(*query.route_regions, region)) ||
      (query.tenant_regions && !IsAllowed(*query.tenant_regions, region))) {
    return false;
  }
  if (query.tried != nullptr && query.tried->contains(server.id))
    return false;
  auto health = health_.find(server.id);
  // An instance that restarts at this address registers with a newer revision.
  if (health != health_.end() && health->second.replaced_revision &&
      *health->second.replaced_revision >= server.revision)
    return false;
  if (query.model.empty() || !server.is_model_server)
    return true;
  const uint64_t served = VersionOf(server, query.model);
  if (query.weights && served != *query.weights)
    return false;
  if (query.is_without_place && !IsVouchedFor(server, served))
    return false;
  return served > 0 &&
         !IsOutdated(now, query.model, served, query.is_without_place);
}

bool server_selector::IsVouchedFor(const site_server& server,
                                   uint64_t served) const {
  auto health = health_.find(server.id);
  return health != health_.end() &&
         health->second.weights ==
             intact_weights{.version = served,
                            .started_at_ms = server.started_at_ms};
}

uint64_t server_selector::VersionOf(const site_server& server,
                                    const std::string& model) const {
  const site_service* service = index_->FindService(server.service);
  const uint32_t layers =
      service != nullptr && service->engine ? service->engine->layers : 1;
  return ServedVersion(server.models, model, layers);
}

const version_announcement* server_selector::FindReplacement(
    const std::string& model,
    uint64_t served) const {
  auto wanted = index_->View().weights.find(model);
  return wanted == index_->View().weights.end()
             ? nullptr
             : wanted->second.FindReplacement(served);
}

std::optional<time_point> server_selector::OutdatedAt(
    const site_server& server,
    const std::string& model) const {
  const version_announcement* replacement =
      FindReplacement(model, VersionOf(server, model));
  if (replacement == nullptr || !replacement->was_watched)
    return std::nullopt;
  return replacement->announced_after + options_.weights_bound;
}

bool server_selector::IsOutdated(time_point now,
                                 const std::string& model,
                                 uint64_t served,
                                 bool is_without_place) const {
  const version_announcement* replacement = FindReplacement(model, served);
  if (replacement == nullptr)
    return false;
  // Only its agent can make an engine stop at the bound, so without a place
  // granted by it, a replaced version counts as outdated.
  if (is_without_place)
    return true;
  // If the time of the replacement is unknown, the agent decides.
  if (!replacement->was_watched)
    return false;
  return now - replacement->announced_after >
         options_.weights_bound - options_.weights_margin;
}

double server_selector::SlownessPenalty(time_point now,
                                        const server_health& health,
                                        double load_share) {
  const double slowdown = health.slowdown.At(now);
  if (slowdown == 1)
    return 0;
  // Work takes as long as usual and as long again for each filling of the slots
  // that is before it.
  const double excess = (slowdown - 1) * (1 + load_share);
  const double drawn = std::uniform_real_distribution<>(0, 1)(random_);
  if (slowdown < 1)
    return excess * drawn;
  const double equal_share = std::pow(slowdown, -options_.slow_share_exponent);
  return excess * std::max(0.0, drawn - equal_share) / (1 - equal_share);
}

double server_selector::Score(time_point now,
                              const site_server& server,
                              const server_query& query) {
  server_health& health = health_[server.id];
  const double slots = std::max(1U, server.slots);
  const double age = ToSeconds(now - health.load_at);
  const double half_life = ToSeconds(options_.load_half_life);
  const double decayed_load = health.load * std::exp2(-age / half_life);
  const double load_share =
      std::max<double>(decayed_load, health.in_flight) / slots;
  double score = load_share + SlownessPenalty(now, health, load_share);
  if (server.domain != options_.domain)
    score += options_.own_domain_bonus;
  if (now < health.full_until)
    score += 1;
  // The server is about to load weights and only accepts shorter answers.
  const bool is_too_long = health.max_answer_tokens > 0 &&
                           query.answer_tokens > health.max_answer_tokens;
  if (is_too_long && now - health.load_at < kAnswerLimitTimeout)
    score += 2;
  // Random tie-breaking keeps the entries from all choosing the same server.
  return score + std::uniform_real_distribution<>(0, 0.05)(random_);
}

std::vector<const site_server*> server_selector::Rank(
    time_point now,
    const server_query& query) {
  struct candidate {
    const site_server* server;
    double score;
    bool is_ejected;
  };
  std::vector<candidate> candidates;
  size_t eligible = 0;
  for (const site_server* server : index_->Servers(query.service)) {
    if (!IsEligible(now, *server, query))
      continue;
    ++eligible;
    candidates.push_back({server, Score(now, *server, query),
                          now < health_[server->id].ejected_until});
  }
  const auto in_use =
      std::count_if(candidates.begin(), candidates.end(),
                    [](const candidate& item) { return !item.is_ejected; });
  // If most servers appear to fail, the fault is probably local to this entry.
  const bool uses_ejected =
      static_cast<double>(in_use) <
      options_.min_in_use_share * static_cast<double>(eligible);
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) {
              if (a.is_ejected != b.is_ejected)
                return b.is_ejected;
              return a.score < b.score;
            });
  std::vector<const site_server*> ranked;
  for (const candidate& item : candidates) {
    if (!item.is_ejected || uses_ejected)
      ranked.push_back(item.server);
  }
  return ranked;
}

void server_selector::OnAttemptEnded(const std::string& id) {
  server_health& health = health_[id];
  if (health.in_flight > 0)
    --health.in_flight;
}

void server_selector::OnLoad(time_point now,
                             const std::string& id,
                             uint32_t load,
                             uint32_t slots) {
  server_health& health = health_[id];
  health.load = load;
  health.slots = slots;
  health.load_at = now;
}

void server_selector::SetIntactWeights(time_point asked_at,
                                       const std::string& id,
                                       const intact_weights& weights) {
  server_health& health = health_[id];
  if (asked_at < health.weights_asked_at)
    return;
  health.weights_asked_at = asked_at;
  health.weights = weights;
}

void server_selector::OnFull(time_point now,
                             const std::string& id,
                             milliseconds span) {
  health_[id].full_until = now + span;
}

void server_selector::OnSuccess(const std::string& id) {
  server_health& health = health_[id];
  health.failures = 0;
  health.ejections = 0;
}

void server_selector::OnFailure(time_point now, const std::string& id) {
  server_health& health = health_[id];
  if (++health.failures < options_.failures_to_eject)
    return;
  const auto span =
      options_.first_ejection * (1 << std::min(health.ejections, 5U));
  health.ejected_until = now + std::min<duration>(span, options_.max_ejection);
  ++health.ejections;
  // After the ejection, one more failure ejects the server again.
  health.failures = options_.failures_to_eject - 1;
}

void server_selector::OnPlaceTimeout(time_point now, const std::string& id) {
  server_health& health = health_[id];
  ++health.unanswered_place_requests;
  if (!health.unanswered_since)
    health.unanswered_since = now;
}

}  // namespace fuchsiafall
