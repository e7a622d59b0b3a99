/// @file retry_budget_base.h Budget of second attempts at one entry.
#ifndef RETRY_BUDGET_BASE_H_
#define RETRY_BUDGET_BASE_H_

#include <algorithm>

#include "time_type.h"

namespace fuchsiafall {

struct retry_budget_options {
  double share = 0.1;  ///< Retries earned by each request.
  double extra = 4;    ///< Retries beside that in each window.
  milliseconds window{10000};
};

/// Bounds what all entries together add to a failing service. Each spends its
/// own part, so that no word between them is needed.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options)
      : options_(options), tokens_(options.extra) {}

  void OnRequest(time_point now) { Fill(now, options_.share); }
  /// Takes one retry, if there is one.
  bool Take(time_point now) {
    Fill(now, 0);
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  void Fill(time_point now, double earned) {
    if (filled_at_ != time_point{}) {
      tokens_ += options_.extra * ToSeconds(now - filled_at_) /
                 ToSeconds(options_.window);
    }
    filled_at_ = now;
    // No more than one window's worth is saved up.
    tokens_ = std::min(tokens_ + earned, 2 * options_.extra);
  }

  retry_budget_options options_;
  double tokens_;
  time_point filled_at_{};
};

}  // namespace fuchsiafall

#endif  // RETRY_BUDGET_BASE_H_
