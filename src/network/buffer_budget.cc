/// @file buffer_budget.cc Limit on the bytes that a process buffers.
#include "network/buffer_budget.h"

#include <algorithm>

namespace fuchsiafall {

std::vector<std::function<void()>> buffer_budget::TakeOverLimit() {
  std::vector<std::function<void()>> hooks;
  while (held_ > limit_ && !shares_.empty()) {
    auto largest = std::max_element(
        shares_.begin(), shares_.end(),
        [](const auto* a, const auto* b) { return a->bytes_ < b->bytes_; });
    buffer_share* share = *largest;
    // Its owner frees the memory soon, so that it counts as freed.
    share->is_given_up_ = true;
    held_ -= share->bytes_;
    share->bytes_ = 0;
    hooks.push_back(share->on_given_up_);
    shares_.erase(largest);
  }
  return hooks;
}

void buffer_share::Set(size_t bytes) {
  if (budget_ == nullptr)
    return;
  std::vector<std::function<void()>> hooks;
  {
    std::lock_guard lock(budget_->mutex_);
    if (is_given_up_ || bytes == bytes_)
      return;
    budget_->held_ += bytes - bytes_;
    if (bytes == 0)
      budget_->shares_.erase(this);
    else if (bytes_ == 0)
      budget_->shares_.insert(this);
    const bool is_growing = bytes > bytes_;
    bytes_ = bytes;
    if (is_growing)
      hooks = budget_->TakeOverLimit();
  }
  for (const auto& hook : hooks)
    hook();
}

}  // namespace fuchsiafall
