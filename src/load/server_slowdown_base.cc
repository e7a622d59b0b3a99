/// @file server_slowdown_base.cc How slowly one server works, with the age of
/// its last report.
#include "load/server_slowdown_base.h"

#include <algorithm>
#include <cmath>

namespace fuchsiafall {

namespace {

/// Excess over 1 below which a server counts as working at its usual speed.
constexpr double kMinExcess = 0.005;

}  // namespace

void server_slowdown::Set(time_point now, double slowdown) {
  if (!std::isfinite(slowdown) || slowdown <= 0)
    return;
  reported_ = std::clamp(slowdown, kMinSlowdown, kMaxSlowdown);
  reported_at_ = now;
}

double server_slowdown::At(time_point now) const {
  if (!reported_at_)
    return 1;
  const double age = std::max(0.0, ToSeconds(now - *reported_at_));
  const double excess =
      (reported_ - 1) * std::exp2(-age / ToSeconds(options_.half_life));
  if (std::abs(excess) < kMinExcess)
    return 1;
  return std::clamp(1 + excess, kMinSlowdown, kMaxSlowdown);
}

}  // namespace fuchsiafall
