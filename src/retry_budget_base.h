/// @file retry_budget_base.h Retry budget of one entry.
#ifndef RETRY_BUDGET_BASE_H_
#define RETRY_BUDGET_BASE_H_

#include <algorithm>

#include "time_type.h"

namespace fuchsiafall {

struct retry_budget_options {
  double ratio = 0.1;  ///< Retries earned per request.
  double extra = 0;    ///< Additional retries per window, over all entries.
  /// Number of entries that share it; a default until SetEntryCount() is
  /// called.
  size_t entry_count = 40;
  milliseconds window{10000};
};

/// Token bucket that limits the retries of all entries together. Each entry has
/// its own share of the extra retries, so that no coordination is needed.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options)
      : options_(options), tokens_(ExtraPerEntry()) {}

  void SetEntryCount(size_t entry_count) {
    if (entry_count > 0)
      options_.entry_count = entry_count;
  }

  void OnRequest(time_point now) { Refill(now, options_.ratio); }
  /// Whether a retry is left.
  bool HasRetry(time_point now) {
    Refill(now, 0);
    return tokens_ >= 1;
  }
  /// Consumes one retry.
  /// @return Whether one was left.
  bool TryConsume(time_point now) {
    if (!HasRetry(now))
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  void Refill(time_point now, double earned) {
    if (refilled_at_ != time_point{}) {
      tokens_ += ExtraPerEntry() * ToSeconds(now - refilled_at_) /
                 ToSeconds(options_.window);
    }
    refilled_at_ = now;
    // Two adjacent windows may together spend twice the accumulated tokens; the
    // cap bounds that.
    tokens_ = std::min(tokens_ + earned, std::max(2.0, ExtraPerEntry()));
  }
  double ExtraPerEntry() const {
    return options_.extra / static_cast<double>(options_.entry_count);
  }

  retry_budget_options options_;
  double tokens_;
  time_point refilled_at_{};
};

}  // namespace fuchsiafall

#endif  // RETRY_BUDGET_BASE_H_
