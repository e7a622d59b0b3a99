/// @file buffer_budget.h Limit on the bytes that a process buffers for others,
/// over all connections.
#ifndef NETWORK_BUFFER_BUDGET_H_
#define NETWORK_BUFFER_BUDGET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace fuchsiafall {

class buffer_share;

/// Bytes in all buffers together. When they exceed the limit, the largest
/// buffer is given up, so that small ones of other calls are not affected. Its
/// shares may be used by several threads.
class buffer_budget {
 public:
  explicit buffer_budget(size_t limit) : limit_(limit) {}
  size_t HeldBytes() const {
    std::lock_guard lock(mutex_);
    return held_;
  }

 private:
  friend class buffer_share;
  /// Chooses the buffers to give up until the others are within the limit.
  /// @return Their hooks.
  std::vector<std::function<void()>> TakeOverLimit();

  mutable std::mutex mutex_;
  size_t limit_;
  size_t held_ = 0;
  std::set<buffer_share*> shares_;  ///< That hold bytes.
};

/// Share of one buffer in the budget, which ends with the object.
class buffer_share {
 public:
  /// @param on_given_up Called once, by any thread that exceeds the limit, when
  /// the buffer has to be dropped. Must not use a share before it returns.
  buffer_share(std::shared_ptr<buffer_budget> budget,
               std::function<void()> on_given_up)
      : budget_(std::move(budget)), on_given_up_(std::move(on_given_up)) {}
  ~buffer_share() { Set(0); }
  buffer_share(const buffer_share&) = delete;
  buffer_share& operator=(const buffer_share&) = delete;

  /// Sets the bytes that the buffer holds.
  void Set(size_t bytes);

 private:
  friend class buffer_budget;

  std::shared_ptr<buffer_budget> budget_;  ///< Null for no limit.
  std::function<void()> on_given_up_;
  size_t bytes_ = 0;
  bool is_given_up_ = false;
};

}  // namespace fuchsiafall

#endif  // NETWORK_BUFFER_BUDGET_H_
