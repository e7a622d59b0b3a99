/// @file rate_pacer_base.h Pacing of a link to a rate in bytes per second.
#ifndef RATE_PACER_BASE_H_
#define RATE_PACER_BASE_H_

#include <algorithm>

#include "time_type.h"

namespace fuchsiafall {

/// Hands out the time of a link that carries one transfer after the other.
class rate_pacer {
 public:
  /// @param rate In bytes per second.
  explicit rate_pacer(double rate) : rate_(rate) {}

  /// Computes how long the link takes for some bytes.
  duration TimeFor(uint64_t bytes) const {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / rate_));
  }
  /// Books the link for some bytes.
  /// @return The time at which the last of them has passed.
  time_point Reserve(time_point now, uint64_t bytes) {
    free_at_ = std::max(now, free_at_) + TimeFor(bytes);
    return free_at_;
  }
  /// Gives back a booking that was not used.
  void Refund(uint64_t bytes) { free_at_ -= TimeFor(bytes); }
  /// Computes for how long the link is booked.
  duration Backlog(time_point now) const {
    return std::max<duration>(free_at_ - now, duration::zero());
  }

 private:
  double rate_;           ///< In bytes per second.
  time_point free_at_{};  ///< When all bookings have passed.
};

}  // namespace fuchsiafall

#endif  // RATE_PACER_BASE_H_
