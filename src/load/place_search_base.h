/// @file place_search_base.h How many servers are asked for a place for one
/// call, when there are fewer places than calls.
#ifndef LOAD_PLACE_SEARCH_BASE_H_
#define LOAD_PLACE_SEARCH_BASE_H_

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
class place_search {
 public:
  explicit place_search(place_search_options options) : options_(options) {}

  /// Records a reply of a server that accepts requests.
  void OnReply(time_point now, bool is_granted);
  /// Records a new call.
  /// @return Share of the recent calls of its route that yield less.
  double Rank(const std::string& route, const call_cost& cost);
  /// Returns how many servers a call may ask.
  /// @param rank As returned by Rank().
  uint32_t MaxRequests(time_point now, double rank) const;

 private:
  struct route_history {
    double mean_size = 0;
    std::deque<double> yields;
  };

  place_search_options options_;
  double granted_share_ = 1;  ///< Of recent replies.
  time_point last_reply_at_{};
  std::map<std::string, route_history> routes_;
};

}  // namespace fuchsiafall

#endif  // LOAD_PLACE_SEARCH_BASE_H_
