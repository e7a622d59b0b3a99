/// @file server_slowdown_base.h How slowly one server works, with the age of
/// its last report.
#ifndef LOAD_SERVER_SLOWDOWN_BASE_H_
#define LOAD_SERVER_SLOWDOWN_BASE_H_

#include <optional>

#include "time_type.h"

namespace fuchsiafall {

/// Range of a slowdown. It is also that of the percentages in messages and
/// headers.
constexpr double kMinSlowdown = 0.1;
constexpr double kMaxSlowdown = 100;

struct server_slowdown_options {
  /// Age at which the excess of a slowdown over 1 counts half. Other servers
  /// become slow every 0.6 s, so that an older report says little.
  milliseconds half_life{300};
};

/// Time of work at one server as a multiple of the usual.
/// Load pattern: at any moment some servers work several times as slowly as
/// the others, and after some tenths of a second it is other servers. A report
/// is believed less the older it is, so that a server that is avoided or silent
/// counts as usual again.
class server_slowdown {
 public:
  explicit server_slowdown(server_slowdown_options options = {})
      : options_(options) {}

  /// Records a report, clamped to the range. One that is not a positive number
  /// is ignored.
  void Set(time_point now, double slowdown);
  /// Forgets the report, because the server has restarted.
  void Reset() { reported_at_.reset(); }
  /// Returns the expected slowdown. It is exactly 1 without a report, and once
  /// less than half a percent is left of the excess: reports have whole
  /// percents.
  double At(time_point now) const;

 private:
  server_slowdown_options options_;
  double reported_ = 1;
  std::optional<time_point> reported_at_;
};

}  // namespace fuchsiafall

#endif  // LOAD_SERVER_SLOWDOWN_BASE_H_
