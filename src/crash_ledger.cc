/// @file crash_ledger.cc Detection of requests that crash engines.
#include "crash_ledger_base.h"

#include <algorithm>

namespace fuchsiafall {

void crash_history::OnRequestAborted(time_point now, fingerprint request) {
  if (request.value == 0)
    return;
  if (aborted_.size() < options_.capacity)
    aborted_[request] = now;
}

std::vector<fingerprint> crash_history::OnEngineRestart(time_point now) {
  std::vector<fingerprint> suspects;
  for (const auto& [request, at] : aborted_) {
    if (now - at <= options_.suspect_window)
      suspects.push_back(request);
  }
  aborted_.clear();
  return suspects;
}

void crash_history::RecordCrash(time_point now, fingerprint request) {
  if (crash_counts_.size() >= options_.capacity) {
    std::erase_if(crash_counts_, [&](const auto& item) {
      return now - item.second.last > options_.retention ||
             item.second.crashes < options_.quarantine_crashes;
    });
  }
  crash_count& count = crash_counts_[request];
  if (now - count.last > options_.retention)
    count.crashes = 0;
  ++count.crashes;
  count.last = now;
}

bool crash_history::IsQuarantined(time_point now, fingerprint request) const {
  auto it = crash_counts_.find(request);
  return it != crash_counts_.end() &&
         it->second.crashes >= options_.quarantine_crashes &&
         now - it->second.last <= options_.retention;
}

}  // namespace fuchsiafall
