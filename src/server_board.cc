/// @file server_board.cc Selection among the servers of a service.
#include <algorithm>
#include <cmath>

#include "server_board_base.h"

namespace fuchsiafall {

namespace {

/// Age after which a reported answer limit is ignored, because the announced
/// load has finished.
constexpr milliseconds kAnswerLimitAge{1500};

}  // namespace

void server_board::SetIndex(const site_index* index) {
  index_ = index;
  const auto& servers = index_->View().servers;
  std::erase_if(notes_, [&](const auto& item) {
    return !servers.contains(item.first) && item.second.in_flight == 0;
  });
}

const std::string& server_board::RegionOf(const std::string& domain) const {
  static const std::string unknown;
  auto it = options_.regions.find(domain);
  return it == options_.regions.end() ? unknown : it->second;
}

bool server_board::IsEligible(time_point now,
                              const site_server& server,
                              const server_query& query) const {
  if (server.is_draining || index_->View().evacuated.contains(server.domain))
    return false;
  const std::string& region = RegionOf(server.domain);
  if ((query.route_regions && !IsAllowed(*query.route_regions, region)) ||
      (query.tenant_regions && !IsAllowed(*query.tenant_regions, region))) {
    return false;
  }
  if (query.tried != nullptr && query.tried->contains(server.id))
    return false;
  auto note = notes_.find(server.id);
  // An instance that restarts at this address registers with a newer revision.
  if (note != notes_.end() && note->second.gone_revision &&
      *note->second.gone_revision >= server.revision)
    return false;
  if (query.model.empty() || !server.tells_models)
    return true;
  const site_service* service = index_->FindService(query.service);
  const uint32_t layers =
      service != nullptr && service->engine ? service->engine->layers : 1;
  const uint64_t served = ServedVersion(server.models, query.model, layers);
  if (query.weights && served != *query.weights)
    return false;
  return served > 0 && !IsOutdated(now, query.model, served, query.is_unasked);
}

bool server_board::IsOutdated(time_point now,
                              const std::string& model,
                              uint64_t served,
                              bool is_unasked) const {
  auto wanted = index_->View().weights.find(model);
  if (wanted == index_->View().weights.end())
    return false;
  const version_naming* naming = wanted->second.ReplacedBy(served);
  if (naming == nullptr)
    return false;
  // If the time of the replacement is unknown, the agent decides when it grants
  // a place; without a place, the version counts as outdated.
  if (!naming->was_watched)
    return is_unasked;
  return now - naming->named_after >
         options_.weights_bound - options_.weights_margin;
}

double server_board::Score(time_point now,
                           const site_server& server,
                           const server_query& query) {
  server_note& note = notes_[server.id];
  const double slots = std::max(1U, server.slots);
  const double age = ToSeconds(now - note.load_at);
  const double half_life = ToSeconds(options_.load_half_life);
  const double decayed_load = note.load * std::exp2(-age / half_life);
  double score = std::max<double>(decayed_load, note.in_flight) / slots;
  if (server.domain != options_.domain)
    score += options_.own_domain_bonus;
  if (now < note.full_until)
    score += 1;
  // The server is about to load weights and only accepts shorter answers.
  const bool is_too_long = note.most_answer_tokens > 0 &&
                           query.answer_tokens > note.most_answer_tokens;
  if (is_too_long && now - note.load_at < kAnswerLimitAge)
    score += 2;
  // Random tie-breaking keeps the entries from all choosing the same server.
  return score + std::uniform_real_distribution<>(0, 0.05)(random_);
}

std::vector<const site_server*> server_board::Rank(time_point now,
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
                          now < notes_[server->id].ejected_until});
  }
  const auto in_use =
      std::count_if(candidates.begin(), candidates.end(),
                    [](const candidate& item) { return !item.is_ejected; });
  // If most servers appear to fail, the fault is probably local to this entry.
  const bool uses_ejected = static_cast<double>(in_use) <
                            options_.floor * static_cast<double>(eligible);
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

void server_board::OnEnded(const std::string& id) {
  server_note& note = notes_[id];
  if (note.in_flight > 0)
    --note.in_flight;
}

void server_board::OnLoad(time_point now,
                          const std::string& id,
                          uint32_t load,
                          uint32_t slots) {
  server_note& note = notes_[id];
  note.load = load;
  note.slots = slots;
  note.load_at = now;
}

void server_board::OnFull(time_point now,
                          const std::string& id,
                          milliseconds span) {
  notes_[id].full_until = now + span;
}

void server_board::OnSuccess(const std::string& id) {
  server_note& note = notes_[id];
  note.failures = 0;
  note.ejections = 0;
}

void server_board::OnFailure(time_point now, const std::string& id) {
  server_note& note = notes_[id];
  if (++note.failures < options_.failures_to_eject)
    return;
  const auto span = options_.eject * (1 << std::min(note.ejections, 5U));
  note.ejected_until = now + std::min<duration>(span, options_.most_eject);
  ++note.ejections;
  // After the ejection, one more failure ejects the server again.
  note.failures = options_.failures_to_eject - 1;
}

void server_board::OnAskSilent(time_point now, const std::string& id) {
  server_note& note = notes_[id];
  if (note.silent_asks++ == 0)
    note.silent_since = now;
}

}  // namespace fuchsiafall
