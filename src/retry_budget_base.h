/// @file retry_budget_base.h Budget of second attempts at one entry.
#ifndef RETRY_BUDGET_BASE_H_
#define RETRY_BUDGET_BASE_H_

#include <algorithm>

#include "time_type.h"

namespace fuchsiafall {

struct retry_budget_options {
  double share = 0.1;  ///< Retries earned by each request.
  double extra = 0;    ///< Retries beside that in each window, of all entries.
  /// Entries that share it, until their number is known.
  size_t entries = 40;
  milliseconds window{10000};
};

/// Bounds what all entries together add to a failing service. Each spends its
/// own part, so that no word between them is needed.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options)
      : options_(options), tokens_(OwnExtra()) {}

  void SetEntries(size_t entries) {
    if (entries > 0)
      options_.entries = entries;
  }

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
      tokens_ +=
          OwnExtra() * ToSeconds(now - filled_at_) / ToSeconds(options_.window);
    }
    filled_at_ = now;
    // Two windows that touch may together see twice what is saved up.
    tokens_ = std::min(tokens_ + earned, std::max(2.0, OwnExtra()));
  }
  double OwnExtra() const {
    return options_.extra / static_cast<double>(options_.entries);
  }

  retry_budget_options options_;
  double tokens_;
  time_point filled_at_{};
};

}  // namespace fuchsiafall

#endif  // RETRY_BUDGET_BASE_H_
