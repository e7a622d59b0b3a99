/// @file shutdown_plan.cc When an entry that has been told to stop may exit.
#include "shutdown_plan_base.h"

#include <algorithm>

namespace fuchsiafall {

namespace {

// Margins before the end of the grace period, and the parts of a short one that
// they may take at most.
constexpr milliseconds kCallsMargin{700};
constexpr int kCallsMinParts = 10;
constexpr milliseconds kExitMargin{400};
constexpr int kExitMinParts = 20;
constexpr milliseconds kLastMargin{200};
constexpr int kLastMinParts = 40;

}  // namespace

time_point shutdown_plan::BeforeEnd(milliseconds margin, int min_parts) const {
  return options_.started_at + options_.grace -
         std::min(margin, options_.grace / min_parts);
}

time_point shutdown_plan::CallsEndAt() const {
  return BeforeEnd(kCallsMargin, kCallsMinParts);
}

shutdown_step shutdown_plan::Next(time_point now,
                                  const shutdown_state& state) const {
  if (now >= BeforeEnd(kLastMargin, kLastMinParts))
    return shutdown_step::kExit;
  const bool is_exit_due = now >= BeforeEnd(kExitMargin, kExitMinParts);
  // The request of a new connection may still be on its way.
  const bool is_done = state.open_calls == 0 && !state.is_busy &&
                       (is_exit_due || state.open_connections == 0);
  if (!state.is_listening)
    return is_done ? shutdown_step::kExit : shutdown_step::kContinue;
  // A closed port resets callers that the balancer still sends here, as it does
  // where fewer than half of a domain's entries are ready.
  return is_exit_due || (is_done && now > RemovedAt())
             ? shutdown_step::kStopListening
             : shutdown_step::kContinue;
}

}  // namespace fuchsiafall
