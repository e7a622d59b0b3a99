/// @file ranked_load.h Replay in virtual time of three kinds of calls that
/// share the model servers of one ranked service.
#ifndef TESTS_RANKED_LOAD_H_
#define TESTS_RANKED_LOAD_H_

#include <array>
#include <string>
#include <vector>

#include "place_table_base.h"

namespace fuchsiafall::tests {

struct ranked_load_options {
  double load = 1;  ///< Multiple of the usual rates.
  bool is_ranked = true;
  bool may_wait = true;     ///< Whether calls wait at agents.
  size_t asks_at_once = 2;  ///< Place requests without permission to wait.
  place_table_options table;
  size_t organisations = 24;
  double repeats = 1;  ///< Calls of organisation 5 per usual call.
  seconds length{20};
};

/// Calls of one rank or organisation.
struct served_calls {
  size_t all = 0;
  size_t in_time = 0;
  size_t late = 0;
  size_t largest = 0;  ///< Of the largest tenth of its kind.
  size_t largest_served = 0;
  duration held{0};  ///< Time for which refused calls were held.
  double LargestShare() const {
    return largest == 0 ? 1
                        : static_cast<double>(largest_served) /
                              static_cast<double>(largest);
  }
  double Share() const {
    return all == 0 ? 0 : static_cast<double>(in_time + late) / all;
  }
};

struct ranked_load_result {
  std::array<served_calls, 3> ranks;
  std::vector<served_calls> organisations;
  double worth_share = 0;              ///< Of the worth of all calls in time.
  std::array<double, 3> rank_worth{};  ///< The same of each rank.
  double busy_share = 0;               ///< Slots in use.
  size_t max_waiting = 0;              ///< At one agent.
};

/// Replays the load against 52 servers, of which calls ask random ones.
ranked_load_result ReplayRankedLoad(const ranked_load_options& options);

/// Profile of the servers.
engine_profile MakeRankedProfile();

}  // namespace fuchsiafall::tests

#endif  // TESTS_RANKED_LOAD_H_
