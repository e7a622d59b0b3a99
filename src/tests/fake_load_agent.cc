/// @file fake_load_agent.cc Agent that loads weights, in virtual time.
#include "tests/fake_load_agent.h"

#include <algorithm>
#include <cmath>

namespace fuchsiafall::tests {

namespace {

/// Load, and the comparison of all pieces after it.
constexpr milliseconds kLoadTime{500};
/// Writes and reads of pieces at the engine within one interval.
constexpr size_t kStagingSteps = 10;

}  // namespace

std::vector<uint64_t> fake_load_agent::Run(
    time_point now,
    const std::map<uint64_t, time_point>& named,
    const std::function<double(uint64_t)>& progress) {
  if (loading_ && now >= loaded_at_) {
    served_ = *loading_;
    served_since_.emplace(served_, now);
    loading_.reset();
  }
  grants_end_.reset();
  if (const auto next = named.upper_bound(served_);
      served_ != 0 && next != named.end()) {
    const time_point outdated_at = next->second + options_.plan.bound;
    grants_end_ = outdated_at - (options_.has_free_slots
                                     ? FreeSlotGrantMargin(now, std::nullopt)
                                     : GrantMargin(now, std::nullopt, 1));
    if (!loading_ && IsUnloadDue(now, outdated_at))
      served_ = 0;
  }
  std::vector<wanted_version> wanted;
  for (const auto& [version, at] : named) {
    if (version > served_)
      wanted.push_back({version, at, progress(version)});
  }
  const weights_plan plan =
      PlanWeights(now, options_.plan, served_, wanted, options_.load_slot);
  for (const wanted_version& each : wanted) {
    if (each.version == plan.stage)
      Stage(plan, each.progress);
  }
  const bool is_staged = staged_ >= 2 * options_.chunks;
  if (!loading_ && is_staged && plan.load && *plan.load == staged_version_) {
    loading_ = staged_version_;
    loaded_at_ = now + kLoadTime;
  }
  std::vector<uint64_t> fetch = plan.fetch;
  if (fetch.empty())
    fetch.push_back(served_);
  return fetch;
}

void fake_load_agent::Stage(const weights_plan& plan, double progress) {
  if (plan.stage != staged_version_)
    staged_ = 0;
  staged_version_ = plan.stage;
  const auto available = static_cast<size_t>(
      std::lround(progress * static_cast<double>(2 * options_.chunks)));
  staged_ = std::max(staged_, std::min(staged_ + kStagingSteps, available));
}

bool fake_load_agent::IsUsable(time_point now) const {
  return served_ != 0 && !loading_ && !(grants_end_ && now > *grants_end_);
}

}  // namespace fuchsiafall::tests
