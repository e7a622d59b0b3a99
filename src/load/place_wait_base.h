/// @file place_wait_base.h Place requests of an entry that have no final reply
/// yet, and the age of grants to those that wait at an agent.
#ifndef LOAD_PLACE_WAIT_BASE_H_
#define LOAD_PLACE_WAIT_BASE_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "site_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Place request that has not been granted or denied.
struct pending_inquiry {
  uint64_t id = 0;
  site_server server;
  time_point requested_at{};
  time_point timeout_at{};
  bool may_wait = false;   ///< Whether its agent may queue it.
  bool is_queued = false;  ///< Whether it waits at its agent.
  time_point queued_at{};  ///< When the reply that it waits was read.
};

/// Decides how long a call waits in the queue of an agent.
/// @param expected_wait As its agent announced.
/// @param reply_time Time that a reply may take on the way.
/// @param latest_start Time after which the first token would be late.
/// @return End of the wait; nullopt if it would be in vain.
std::optional<time_point> FindWaitEnd(time_point now,
                                      milliseconds expected_wait,
                                      milliseconds reply_time,
                                      time_point latest_start);

/// Knows since when this process has read all replies without a pause, while
/// calls wait. Load pattern: waits that are longer than the age of a grant that
/// may still be used. Such a grant is old only if the process was paused after
/// it arrived, and a pause shows as a check that runs late.
class pause_watch {
 public:
  /// Starts the checks if none are due.
  void Start(time_point now);
  void Stop() { check_at_.reset(); }
  /// Runs the check if it is due. All replies that have arrived must be read
  /// before a check that is on time. After one that is late, further replies
  /// may still be unread, so that it shows nothing.
  void RunDue(time_point now);
  std::optional<time_point> NextDue() const { return check_at_; }
  /// Returns a time before which the final reply to a place request was not
  /// sent.
  /// @param reply_time Time that a reply may take on the way.
  time_point EarliestSent(const pending_inquiry& inquiry,
                          milliseconds reply_time) const {
    return inquiry.is_queued
               ? std::max(inquiry.requested_at, checked_at_ - reply_time)
               : inquiry.requested_at;
  }

 private:
  std::optional<time_point> check_at_;  ///< Next check.
  time_point checked_at_{};             ///< Last one that was on time.
};

}  // namespace fuchsiafall

#endif  // LOAD_PLACE_WAIT_BASE_H_
