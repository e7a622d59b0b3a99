/// @file grant_shares_base.h Shares of ranks and organisations in what an agent
/// granted in the last seconds.
#ifndef LOAD_GRANT_SHARES_BASE_H_
#define LOAD_GRANT_SHARES_BASE_H_

#include <array>
#include <map>
#include <optional>
#include <string>

#include "site_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct grant_shares_options {
  /// Time constant with which counts decay.
  milliseconds memory{4000};
  /// Interval at which the decay is applied.
  milliseconds decay_interval{100};
  /// Served share of a rank or an organisation, relative to that of all
  /// requests, below which it takes precedence. Callers measure a quarter; the
  /// rest is margin for the different samples of the agents.
  double floor = 0.4;
  /// Organisations counted one by one. The rest, those with the fewest
  /// requests, are counted together.
  size_t max_organisations = 64;
  /// Time after a refusal for which lower ranks get free slots only.
  milliseconds refusal_memory{500};
};

/// Load pattern: more calls than places, of several ranks and organisations.
/// Demand is counted in first place requests of calls, so that a call that asks
/// several agents or asks again counts once.
class grant_shares {
 public:
  explicit grant_shares(grant_shares_options options) : options_(options) {}

  /// Records the first place request of a call.
  void OnFirstRequest(time_point now,
                      uint32_t rank,
                      const std::string& organisation);
  void OnGrant(time_point now, uint32_t rank, const std::string& organisation);
  /// Records that a request found no place.
  void OnRefusal(time_point now, uint32_t rank) { refused_at_[rank] = now; }

  /// Applies the decay. Precedes the queries below.
  void Advance(time_point now);
  /// Whether a rank is served so much less than all requests that it takes
  /// precedence over higher ranks.
  bool IsRankBelowFloor(uint32_t rank) const;
  bool IsOrganisationBelowFloor(const std::string& organisation) const;
  /// Recent grants of an organisation; 0 if it is not counted by itself.
  double GrantsOf(const std::string& organisation) const;
  /// Whether a rank above the given one has been refused recently.
  bool AreHigherRefused(time_point now, uint32_t rank) const;
  /// First place requests per second of the ranks above the given one.
  double HigherDemandRate(uint32_t rank) const;
  /// Organisations that are counted one by one.
  size_t OrganisationCount() const { return organisations_.size(); }

 private:
  struct counts {
    double first_requests = 0;
    double grants = 0;
  };
  bool IsBelowFloor(const counts& item) const;
  /// Returns the counts of an organisation, in place of those of the one with
  /// the fewest requests if there are too many.
  counts* CountsOf(const std::string& organisation);
  const counts& FindCounts(const std::string& organisation) const;

  grant_shares_options options_;
  time_point decayed_at_{};
  counts all_;
  std::array<counts, kMaxRank + 1> ranks_;
  std::map<std::string, counts> organisations_;
  counts other_organisations_;
  std::array<std::optional<time_point>, kMaxRank + 1> refused_at_;
};

}  // namespace fuchsiafall

#endif  // LOAD_GRANT_SHARES_BASE_H_
