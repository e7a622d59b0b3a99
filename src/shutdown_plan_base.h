/// @file shutdown_plan_base.h When an entry that has been told to stop may stop
/// listening and exit.
#ifndef SHUTDOWN_PLAN_BASE_H_
#define SHUTDOWN_PLAN_BASE_H_

#include <cstddef>

#include "time_type.h"

namespace fuchsiafall {

struct shutdown_plan_options {
  time_point started_at{};
  /// Time from the start until the process is killed.
  milliseconds grace{8000};
  /// The balancer probes readiness once a second and removes an entry after two
  /// failed probes.
  milliseconds balancer_removal{2500};
};

/// What a stopping entry still has open.
struct shutdown_state {
  size_t open_calls = 0;
  size_t open_connections = 0;
  /// Whether a request is being read, answered or waits to be read.
  bool is_busy = false;
  bool is_listening = true;
};

enum class shutdown_step {
  kContinue,
  kStopListening,  ///< Accept what is pending, then no more connections.
  kExit,
};

/// Plans a graceful shutdown within the grace period.
class shutdown_plan {
 public:
  explicit shutdown_plan(shutdown_plan_options options) : options_(options) {}

  /// Returns when new callers are sent to other entries.
  time_point RemovedAt() const {
    return options_.started_at + options_.balancer_removal;
  }
  /// Returns when the open calls are ended, so that their answers can be sent.
  time_point CallsEndAt() const;
  /// Chooses the next step.
  shutdown_step Next(time_point now, const shutdown_state& state) const;

 private:
  /// Returns the time that is a margin before the end of the grace period.
  time_point BeforeEnd(milliseconds margin, int min_parts) const;

  shutdown_plan_options options_;
};

}  // namespace fuchsiafall

#endif  // SHUTDOWN_PLAN_BASE_H_
