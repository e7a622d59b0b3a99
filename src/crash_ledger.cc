/// @file crash_ledger.cc Detection of requests that crash engines.
#include "crash_ledger_base.h"

#include <algorithm>

namespace fuchsiafall {

void crash_ledger::OnBrokenOff(time_point now, fingerprint request) {
  if (request.value == 0)
    return;
  if (broken_off_.size() < options_.most)
    broken_off_[request] = now;
}

std::vector<fingerprint> crash_ledger::OnRestart(time_point now) {
  std::vector<fingerprint> suspects;
  for (const auto& [request, at] : broken_off_) {
    if (now - at <= options_.suspicion)
      suspects.push_back(request);
  }
  broken_off_.clear();
  return suspects;
}

void crash_ledger::Count(time_point now, fingerprint request) {
  if (records_.size() >= options_.most) {
    std::erase_if(records_, [&](const auto& item) {
      return now - item.second.last > options_.memory ||
             item.second.crashes < options_.crashes;
    });
  }
  record& entry = records_[request];
  if (now - entry.last > options_.memory)
    entry.crashes = 0;
  ++entry.crashes;
  entry.last = now;
}

bool crash_ledger::IsHeld(time_point now, fingerprint request) const {
  auto it = records_.find(request);
  return it != records_.end() && it->second.crashes >= options_.crashes &&
         now - it->second.last <= options_.memory;
}

}  // namespace fuchsiafall
