/// @file place_search_base.h How many servers are asked for a place for one
/// call, when there are fewer places than calls.
#ifndef LOAD_PLACE_SEARCH_BASE_H_
#define LOAD_PLACE_SEARCH_BASE_H_

#include <array>
#include <deque>
#include <map>
#include <string>

#include "site_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct place_search_options {
  uint32_t usual_requests = 6;  ///< Place requests of a call in calm, at least.
  /// Place requests of the calls with the lowest yield while servers are
  /// overloaded.
  uint32_t min_requests = 2;
  uint32_t max_requests = 10;  ///< Of the calls with the highest yield.
  /// Share of place requests that are granted, up to which the servers count as
  /// overloaded, and from which they do not.
  double overload_share = 0.4;
  double calm_share = 0.7;
  /// Time without replies after which the servers count as not overloaded.
  milliseconds memory{2000};
  size_t samples = 128;     ///< Recent calls of a route that are compared.
  size_t min_samples = 32;  ///< Below this number, all calls rank alike.
  /// Place requests of each call of a ranked service, at least. Only the third
  /// may wait at an agent, and the floor of a low rank is held there.
  uint32_t min_ranked_requests = 3;
};

/// Limits on the place requests of one call.
struct search_limits {
  uint32_t requests = 0;
  uint32_t untimed_requests = 0;  ///< Those that may be made at any time.
  duration search_time{};         ///< Time within which the others are made.
};

/// Engine time and size of one call.
struct call_cost {
  duration engine_time{};
  double size = 0;  ///< Prompt tokens and weighted answer tokens.
};

/// Estimates what a call takes of an engine with a full batch.
/// @param answer_tokens Expected answer length; 0 if unknown.
call_cost EstimateCost(const engine_profile& engine,
                       uint32_t prompt_tokens,
                       uint32_t answer_tokens);

/// Load pattern: a steady overload, in which every server is full and a call
/// gets a place if it asks often enough. Calls that yield more for their engine
/// time ask more servers, so that the same engines answer more callers. No call
/// is left without a try, and calls are compared only within their route.
/// On ranked services, where the load is made up of several ranks, a higher
/// rank asks more servers and for longer, and the yield decides within a rank.
/// A lower rank that is denied on most servers would hold its callers for
/// nothing.
class place_search {
 public:
  explicit place_search(place_search_options options) : options_(options) {}

  /// Records a reply of a server that accepts requests.
  void OnReply(time_point now, bool is_granted);
  /// The same on a ranked service, for a request of the given rank.
  void OnRankedReply(time_point now, uint32_t rank, bool is_granted);
  /// Records a new call.
  /// @return Share of the recent calls of its route that yield less.
  double Rank(const std::string& route, const call_cost& cost);
  /// Returns how many servers a call may ask.
  /// @param rank As returned by Rank().
  uint32_t MaxRequests(time_point now, double rank) const;
  /// Returns the limits of a call of a service without ranks.
  /// @param target_latency Of its route.
  search_limits Limits(time_point now,
                       double yield_rank,
                       milliseconds target_latency) const;
  /// Returns the limits of a call of a ranked service. They depend on the
  /// replies to its own and to higher ranks only.
  /// @param yield_rank As returned by Rank().
  search_limits RankedLimits(time_point now,
                             uint32_t rank,
                             double yield_rank,
                             milliseconds target_latency) const;

 private:
  /// Recent replies to requests of one rank, or of all services without ranks.
  struct reply_history {
    double granted_share = 1;
    time_point last_reply_at{};
  };
  struct route_history {
    double mean_size = 0;
    std::deque<double> yields;
  };

  /// Whether a history has replies that still count.
  bool IsRecent(time_point now, const reply_history& history) const {
    return now - history.last_reply_at <= options_.memory;
  }
  void Record(time_point now, bool is_granted, reply_history* history) const;
  /// Returns 0 if servers are overloaded, 1 if they are not, or a value in
  /// between.
  double CalmAt(double granted_share) const;

  place_search_options options_;
  reply_history unranked_;
  std::array<reply_history, kMaxRank + 1> ranks_{};
  std::map<std::string, route_history> routes_;
};

}  // namespace fuchsiafall

#endif  // LOAD_PLACE_SEARCH_BASE_H_
