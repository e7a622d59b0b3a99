/// @file admission_base.h Admission control of the calls to one backend
/// server.
#ifndef ADMISSION_BASE_H_
#define ADMISSION_BASE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ids_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct admission_options {
  size_t queue_length = 16;  ///< Maximum number of calls in all queues.
  bool admits_all = false;   ///< Admits every call; benchmark baseline.
  uint32_t cold_limit = 1;   ///< Concurrent calls while the server is cold.
  uint32_t max_limit = 1;    ///< Upper bound of the concurrent calls.
};

/// Identifies a call at an agent by its entry and attempt.
struct call_id {
  vm_id entry;
  attempt_id attempt;
  auto operator<=>(const call_id&) const = default;
};

/// Call to be admitted.
struct admission_request {
  call_id id;
  std::string organisation;
  uint32_t weight = 1;    ///< Fair-share weight of the organisation.
  uint32_t priority = 0;  ///< Lower values are served first.
  time_point deadline{};
  bool may_queue = true;  ///< Whether it may wait while the server is full.
};

/// Outcome of admission::Admit().
struct admission_result {
  enum class kind_type { kStarted, kQueued, kRefused };
  kind_type kind = kind_type::kRefused;
  std::optional<call_id> evicted;  ///< Queued call evicted for this one.
};

/// Limits the concurrent calls of a server. The limit starts at the cold limit,
/// grows by additive increase with successful calls, and falls back at once
/// when the server turns cold or its latency jumps. Calls over the limit wait
/// in weighted fair queues, one for each organisation.
class admission {
 public:
  explicit admission(admission_options options) : options_(options) {
    ResetToColdLimit();
  }

  /// Changes the limits; a lower max_limit takes effect at once.
  void SetLimits(uint32_t cold_limit, uint32_t max_limit);
  /// Starts, queues or refuses a call.
  admission_result Admit(const admission_request& request);
  /// Removes a started call from the calls in flight and adapts the limit.
  /// @param answer_latency Time from the start of the call to the last part of
  ///     its answer; nullopt if the call failed.
  /// @return Whether a latency jump lowered the limit.
  bool OnFinished(time_point now, std::optional<duration> answer_latency);
  /// Lowers the limit to the cold limit.
  void ResetToColdLimit();
  /// Sets whether the server is warm; the limit grows only while it is.
  void SetWarm(bool is_warm) { may_grow_ = is_warm; }
  /// Starts queued calls up to the limit and returns them.
  std::vector<call_id> DequeueReady();
  /// Removes and returns the queued calls whose deadline has passed.
  std::vector<call_id> RemoveExpired(time_point now);
  /// Removes one call from its queue.
  /// @return Whether the call was queued.
  bool Remove(const call_id& id);
  /// Removes and returns all queued calls.
  std::vector<call_id> RemoveAll();

  uint32_t Limit() const { return static_cast<uint32_t>(limit_); }
  size_t InFlight() const { return in_flight_; }
  size_t Queued() const { return queued_; }
  /// Whether the limit has grown to its maximum.
  bool IsWarm() const { return limit_ >= options_.max_limit; }

 private:
  struct organisation_queue {
    std::deque<admission_request> calls;
    double virtual_time = 0;  ///< Sum of 1/weight over the started calls.
  };
  void Start(const std::string& organisation, uint32_t weight);
  /// Removes the last call of the longest queue, if that queue stays at least
  /// as long as the one of the given organisation becomes.
  std::optional<call_id> EvictFor(const std::string& organisation);
  organisation_queue* NextQueue();
  double MinVirtualTime() const;

  admission_options options_;
  double limit_ = 1;
  bool may_grow_ = true;
  size_t in_flight_ = 0;
  size_t queued_ = 0;
  std::map<std::string, organisation_queue> queues_;
  /// Slow and fast moving average of the answer latency, in seconds.
  double baseline_latency_s_ = 0;
  double recent_latency_s_ = 0;
  uint32_t samples_ = 0;
  time_point limit_dropped_at_{};
};

}  // namespace fuchsiafall

#endif  // ADMISSION_BASE_H_
