/// @file fake_weight_rollout.cc Agents that follow the plans of versions that
/// operators name, in virtual time.
#include <algorithm>

#include "hash_func.h"
#include "tests/fake_weight_fleet.h"

namespace fuchsiafall::tests {

void fake_weight_fleet::Name(uint64_t version) {
  if (named_.empty()) {
    named_[1] = now - seconds(3600);
    const std::vector<std::string> ids = Vms();
    const auto order = RendezvousRank("turn", ids, ids.size());
    for (size_t i = 0; i < order.size(); ++i) {
      nodes_.at(ids[order[i]])
          .loader.emplace(fake_load_agent_options{
              .plan = *options_.plan,
              .chunks = options_.chunks,
              .has_free_slots = options_.has_free_slots,
              .load_slot =
                  static_cast<double>(i) / static_cast<double>(order.size())});
    }
  }
  named_[version] = now;
}

double fake_weight_fleet::ProgressOf(const node& item, uint64_t version) {
  if (item.manifests.Find(version) == nullptr)
    return 0;
  const std::vector<digest>& chunks = Chunks(version);
  const auto held = std::count_if(
      chunks.begin(), chunks.end(),
      [&](const digest& chunk) { return item.blobs->Find(chunk) != nullptr; });
  return static_cast<double>(held) / static_cast<double>(chunks.size());
}

void fake_weight_fleet::RunLoader(node* item) {
  if (!item->loader)
    return;
  const std::vector<uint64_t> fetch =
      item->loader->Run(now, named_, [&](uint64_t version) {
        const double progress = ProgressOf(*item, version);
        if (progress >= 1)
          item->complete_at.emplace(version, now);
        return progress;
      });
  if (!item->loader->IsUsable(now))
    unusable += ToSeconds(fake_load_agent::kRunInterval);
  if (fetch == item->versions)
    return;
  item->versions = fetch;
  SetTarget(item);
}

fake_rollout fake_weight_fleet::Rollout(uint64_t version) const {
  fake_rollout rollout;
  const time_point start = std::next(named_.begin())->second;
  for (const auto& [id, item] : nodes_) {
    if (const auto at = item.complete_at.find(version);
        at != item.complete_at.end())
      rollout.complete_at.push_back(ToSeconds(at->second - start));
    const auto& served = item.loader->ServedSince();
    if (const auto at = served.find(version); at != served.end())
      rollout.served_at.push_back(ToSeconds(at->second - start));
  }
  std::sort(rollout.complete_at.begin(), rollout.complete_at.end());
  std::sort(rollout.served_at.begin(), rollout.served_at.end());
  return rollout;
}

}  // namespace fuchsiafall::tests
