/// @file weights_plan_func.h Planning of the versions that a server fetches and
/// loads, when new versions may be published before older ones are deployed.
#ifndef WEIGHTS_PLAN_FUNC_H_
#define WEIGHTS_PLAN_FUNC_H_

#include <optional>
#include <vector>

#include "site_type.h"

namespace fuchsiafall {

struct weights_plan_options {
  milliseconds bound{
      8000};  ///< Time in which new weights must replace old ones.
  /// Fractions of the bound between which the servers' staggered load slots
  /// lie. Before load_slots_begin the weights are still being distributed.
  /// Requests that run when the load is ordered may end on the old version;
  /// only requests that begin after the bound violate it.
  double load_slots_begin = 0.48;
  double load_slots_end = 0.92;
  /// Fraction of the bound at which the slots for a fallback version begin, if
  /// the newest has not arrived.
  double fallback_slots_begin = 0.68;
  /// Progress from which a transfer is completed although a newer version is
  /// wanted.
  double min_finish_progress = 0.7;
  /// Progress from which a transfer is expected to complete before its load
  /// slot.
  double min_likely_progress = 0.5;
  /// An older version is not loaded with less time than this left in its bound.
  milliseconds min_use{1500};
};

/// Version of the weights with the local progress of its transfer.
struct wanted_version {
  uint64_t version = 0;
  time_point target_since{};  ///< When operators set it as the target.
  double progress = 0;        ///< Fraction of the transfer, 1 when complete.
};

struct weights_plan {
  std::vector<uint64_t> fetch;   ///< Versions to transfer, most urgent first.
  std::optional<uint64_t> load;  ///< Version to load now.
  /// When the staged version is to be loaded; empty until it can be foreseen.
  /// Requests that begin before should have ended by then.
  std::optional<time_point> load_at;
  uint64_t stage = 0;  ///< Version to stage at the engine.
};

/// Plans the transfers and the load when versions are set in quick succession.
/// A nearly complete older version is finished first; it is loaded as a
/// fallback if the newest would arrive too late to replace the served one in
/// time.
/// @param served Version that the engine serves; 0 for none.
/// @param wanted Versions newer than `served`, oldest first.
/// @param load_slot Share of the servers that load before this one, in
/// [0, 1).
weights_plan PlanWeights(time_point now,
                         const weights_plan_options& options,
                         uint64_t served,
                         const std::vector<wanted_version>& wanted,
                         double load_slot);

/// Computes how long before the end of the bound grants on the served version
/// must stop, because a granted request still travels to the engine and waits
/// in its queue.
/// @param last_piece When a piece of weights last arrived.
/// @param waiting Requests already waiting in the engine's queue.
milliseconds GrantMargin(time_point now,
                         std::optional<time_point> last_piece,
                         uint32_t waiting);

/// Computes the same for requests that find a free slot and an empty queue,
/// which begin within a pass of the engine. Load pattern: most calls of the
/// last second before the bound, when no newer weights have arrived. A request
/// that comes too late all the same is rejected by the unloaded engine as not
/// run.
milliseconds FreeSlotGrantMargin(time_point now,
                                 std::optional<time_point> last_piece);

/// Estimates when an agent without usable weights serves again, from the
/// transfer's progress so far. Load pattern: callers refused while no server
/// has usable weights, who would otherwise return before there are any.
/// @param plan Made from `wanted`.
/// @param is_loading Whether the engine loads weights now.
/// @return 0 if unknown.
milliseconds ServesAgainIn(time_point now,
                           const weights_plan& plan,
                           const std::vector<wanted_version>& wanted,
                           bool is_loading);

/// Whether the served version must be unloaded now, so that the engine itself
/// begins no request on it when it is outdated.
bool IsUnloadDue(time_point now, time_point outdated_at);

}  // namespace fuchsiafall

#endif  // WEIGHTS_PLAN_FUNC_H_
