/// @file rate_pacer_base.h Pacing of a link to a byte rate.
#ifndef RATE_PACER_BASE_H_
#define RATE_PACER_BASE_H_

#include <algorithm>

#include "time_type.h"

namespace fuchsiafall {

/// Schedules transfers one after the other on a link of limited rate.
class rate_pacer {
 public:
  /// @param rate In bytes per second.
  explicit rate_pacer(double rate) : rate_(rate) {}

  /// Computes the transmission time of `bytes`.
  duration TimeFor(uint64_t bytes) const {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / rate_));
  }
  /// Reserves the link for `bytes`.
  /// @return The time at which the transfer ends.
  time_point Reserve(time_point now, uint64_t bytes) {
    free_at_ = std::max(now, free_at_) + TimeFor(bytes);
    return free_at_;
  }
  /// Releases a reservation that was not used.
  void Refund(uint64_t bytes) { free_at_ -= TimeFor(bytes); }
  /// Computes the remaining reserved time.
  duration Backlog(time_point now) const {
    return std::max<duration>(free_at_ - now, duration::zero());
  }

 private:
  double rate_;           ///< In bytes per second.
  time_point free_at_{};  ///< End of the last reservation.
};

}  // namespace fuchsiafall

#endif  // RATE_PACER_BASE_H_
