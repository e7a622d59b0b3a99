/// @file outcome_type.h Result of an operation: a value, or the reason why it
/// failed.
#ifndef OUTCOME_TYPE_H_
#define OUTCOME_TYPE_H_

#include <optional>
#include <string>
#include <utility>

namespace fuchsiafall {

/// Why an operation failed, as one human-readable line.
struct failure {
  std::string reason;
};

/// Holds a value, or the reason why there is none.
template <typename T>
class [[nodiscard]] outcome {
 public:
  outcome(T value) : value_(std::move(value)) {}                 // NOLINT
  outcome(failure why) : last_reason_(std::move(why.reason)) {}  // NOLINT

  explicit operator bool() const { return value_.has_value(); }
  const T& operator*() const { return *value_; }
  T& operator*() { return *value_; }
  const T* operator->() const { return &*value_; }
  T* operator->() { return &*value_; }

  const std::optional<T>& Value() const { return value_; }
  const std::string& LastReason() const { return last_reason_; }

 private:
  std::optional<T> value_;   ///< Set on success.
  std::string last_reason_;  ///< Set on failure.
};

/// Empty value of an operation that only succeeds or fails.
struct done {};

}  // namespace fuchsiafall

#endif  // OUTCOME_TYPE_H_
