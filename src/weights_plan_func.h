/// @file weights_plan_func.h Which versions a server fetches and which it
/// loads, while new ones may come before the older are everywhere.
#ifndef WEIGHTS_PLAN_FUNC_H_
#define WEIGHTS_PLAN_FUNC_H_

#include <optional>
#include <vector>

#include "site_type.h"

namespace fuchsiafall {

struct weights_plan_options {
  milliseconds bound{8000};  ///< In which new weights replace old ones.
  /// Parts of the bound in which servers take turns to load the newest version.
  /// Before it the weights are still spreading. What runs when an engine is
  /// ordered may end on the old version; only what begins later breaks the
  /// bound.
  double turns_begin = 0.48;
  double turns_end = 0.92;
  /// Part from which a version that is not the newest is loaded, because the
  /// newest has not arrived.
  double makeshift_begin = 0.68;
  /// Progress at which a transfer is finished although a newer one is wanted.
  double finish_share = 0.7;
  /// Progress from which a transfer is expected to be complete at its turn.
  double likely_share = 0.5;
};

/// Version of the weights as this server knows it.
struct known_version {
  uint64_t version = 0;
  time_point named_at{};
  double progress = 0;  ///< Of its transfer, 1 when it is complete.
};

struct weights_plan {
  std::vector<uint64_t> fetch;   ///< Versions to transfer, most urgent first.
  std::optional<uint64_t> load;  ///< Version to load now.
  /// When the version that is staged is to be loaded, once it is known; what is
  /// begun before should be over by then.
  std::optional<time_point> load_at;
  uint64_t stage = 0;  ///< Version to stage at the engine.
};

/// Plans for versions named in quick succession: a nearly complete older one is
/// finished first, and loaded when the newest would come too late for the bound
/// of the one that is served.
/// @param served Version that the engine serves; 0 for none.
/// @param wanted Versions newer than that, oldest first.
/// @param turn Share of the servers that go before this one, in [0, 1).
weights_plan PlanWeights(time_point now,
                         const weights_plan_options& options,
                         uint64_t served,
                         const std::vector<known_version>& wanted,
                         double turn);

/// Time before the bound of what is served from which nothing may be granted on
/// it. A granted request still travels to the engine, and waits there.
/// @param last_piece When a piece of weights last arrived.
/// @param waiting Requests that wait in the engine's queue already.
milliseconds GrantMargin(time_point now,
                         std::optional<time_point> last_piece,
                         uint32_t waiting);

}  // namespace fuchsiafall

#endif  // WEIGHTS_PLAN_FUNC_H_
