/// @file grant_shares.cc Shares of ranks and organisations in what an agent
/// granted in the last seconds.
#include <algorithm>
#include <cmath>

#include "load/grant_shares_base.h"

namespace fuchsiafall {

namespace {

/// Decayed count below which an organisation is forgotten: one request after
/// about five time constants.
constexpr double kMinCount = 0.01;

}  // namespace

void grant_shares::Advance(time_point now) {
  if (now - decayed_at_ < options_.decay_interval)
    return;
  const double factor =
      std::exp(-ToSeconds(now - decayed_at_) / ToSeconds(options_.memory));
  decayed_at_ = now;
  const auto decay = [factor](counts* item) {
    item->first_requests *= factor;
    item->grants *= factor;
  };
  decay(&all_);
  decay(&other_organisations_);
  for (counts& item : ranks_)
    decay(&item);
  for (auto& [name, item] : organisations_)
    decay(&item);
  std::erase_if(organisations_, [](const auto& item) {
    return item.second.first_requests + item.second.grants < kMinCount;
  });
}

grant_shares::counts* grant_shares::CountsOf(const std::string& organisation) {
  auto it = organisations_.find(organisation);
  if (it != organisations_.end())
    return &it->second;
  if (organisations_.size() >= options_.max_organisations) {
    auto fewest =
        std::min_element(organisations_.begin(), organisations_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.first_requests + a.second.grants <
                                  b.second.first_requests + b.second.grants;
                         });
    other_organisations_.first_requests += fewest->second.first_requests;
    other_organisations_.grants += fewest->second.grants;
    organisations_.erase(fewest);
  }
  return &organisations_[organisation];
}

const grant_shares::counts& grant_shares::FindCounts(
    const std::string& organisation) const {
  auto it = organisations_.find(organisation);
  return it == organisations_.end() ? other_organisations_ : it->second;
}

void grant_shares::OnFirstRequest(time_point now,
                                  uint32_t rank,
                                  const std::string& organisation) {
  Advance(now);
  ++all_.first_requests;
  ++ranks_[rank].first_requests;
  ++CountsOf(organisation)->first_requests;
}

void grant_shares::OnGrant(time_point now,
                           uint32_t rank,
                           const std::string& organisation) {
  Advance(now);
  ++all_.grants;
  ++ranks_[rank].grants;
  ++CountsOf(organisation)->grants;
}

bool grant_shares::IsBelowFloor(const counts& item) const {
  return item.grants * all_.first_requests <
         options_.floor * all_.grants * item.first_requests;
}

bool grant_shares::IsRankBelowFloor(uint32_t rank) const {
  return IsBelowFloor(ranks_[rank]);
}

bool grant_shares::IsOrganisationBelowFloor(
    const std::string& organisation) const {
  return IsBelowFloor(FindCounts(organisation));
}

double grant_shares::GrantsOf(const std::string& organisation) const {
  auto it = organisations_.find(organisation);
  return it == organisations_.end() ? 0 : it->second.grants;
}

bool grant_shares::AreHigherRefused(time_point now, uint32_t rank) const {
  return std::any_of(refused_at_.begin(), refused_at_.begin() + rank,
                     [&](const std::optional<time_point>& at) {
                       return at && now - *at < options_.refusal_memory;
                     });
}

double grant_shares::HigherDemandRate(uint32_t rank) const {
  double requests = 0;
  for (uint32_t i = 0; i < rank; ++i)
    requests += ranks_[i].first_requests;
  return requests / ToSeconds(options_.memory);
}

}  // namespace fuchsiafall
