/// @file place_wait.cc Waits of calls in the queues of agents.
#include "load/place_wait_base.h"

namespace fuchsiafall {

namespace {

/// Together with the time of a reply this is well below the age of a grant that
/// is still used.
constexpr milliseconds kCheckInterval{100};
/// Lateness of a check from which the process counts as paused.
constexpr milliseconds kMaxLateness{50};

}  // namespace

std::optional<time_point> FindWaitEnd(time_point now,
                                      milliseconds expected_wait,
                                      milliseconds reply_time,
                                      time_point latest_start) {
  // The agent expects the request to be on time, with a margin for its
  // estimate. An announced wait that exceeds the time left by more than a reply
  // takes was computed for an earlier state.
  const time_point usual_end = now + expected_wait + reply_time;
  if (now >= latest_start || now + expected_wait > latest_start + reply_time)
    return std::nullopt;
  return std::min(usual_end, latest_start);
}

void pause_watch::Start(time_point now) {
  if (!check_at_)
    check_at_ = now + kCheckInterval;
}

void pause_watch::RunDue(time_point now) {
  if (!check_at_ || now < *check_at_)
    return;
  if (now - *check_at_ <= kMaxLateness)
    checked_at_ = now;
  check_at_ = now + kCheckInterval;
}

}  // namespace fuchsiafall
