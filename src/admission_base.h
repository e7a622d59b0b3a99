/// @file admission_base.h Admission of calls in front of one backend server.
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
  size_t queue_length = 16;  ///< Calls queued in all.
  bool is_open = false;      ///< Admits everything; for comparison.
  uint32_t cold_limit = 1;   ///< Concurrent calls that a cold server bears.
  uint32_t most_limit = 1;   ///< Concurrent calls that a warm server bears.
};

/// Identifies a call at an agent: the entry that sent it and its attempt.
struct call_id {
  vm_id entry;
  attempt_id attempt;
  auto operator<=>(const call_id&) const = default;
};

/// Call that asks for admission.
struct admission_request {
  call_id id;
  std::string organisation;
  uint32_t weight = 1;    ///< Share of its organisation.
  uint32_t priority = 0;  ///< Lower ones go first.
  time_point deadline{};
  bool may_queue = true;  ///< Whether to wait at a full server.
};

/// Result of asking for admission.
struct admission_result {
  enum class kind_type { kStarted, kQueued, kRefused };
  kind_type kind = kind_type::kRefused;
  std::optional<call_id>
      displaced;  ///< Queued call that lost its place to this one.
};

/// Limits the concurrent calls of a server: from its cold limit upwards with
/// observed success, and back at once when it turns cold. Queues fairly between
/// organisations.
class admission {
 public:
  explicit admission(admission_options options) : options_(options) {
    OnCold();
  }

  /// Changes the limits; a lower most_limit holds at once.
  void SetLimits(uint32_t cold_limit, uint32_t most_limit);
  admission_result Admit(const admission_request& request);
  /// Takes a started call out of the count.
  /// @param first_part Time until its first part, or nothing when it failed.
  /// @return Whether the limit fell because the latency jumped.
  bool OnFinished(time_point now, std::optional<duration> first_part);
  /// Falls back to the cold limit.
  void OnCold();
  /// Lets the limit grow only while the server is not known to be cold.
  void SetWarm(bool is_warm) { may_grow_ = is_warm; }
  /// Takes the queued calls that may start now.
  std::vector<call_id> TakeReady();
  /// Takes the queued calls whose deadline has passed.
  std::vector<call_id> TakeExpired(time_point now);
  /// Takes one call out of the queue.
  /// @return Whether it was queued.
  bool Remove(const call_id& id);
  /// Takes all queued calls.
  std::vector<call_id> TakeAll();

  uint32_t Limit() const { return static_cast<uint32_t>(limit_); }
  size_t InFlight() const { return in_flight_; }
  size_t Queued() const { return queued_; }
  bool IsWarm() const { return limit_ >= options_.most_limit; }

 private:
  struct organisation_queue {
    std::deque<admission_request> calls;
    double served = 0;  ///< Calls started, divided by the weight.
  };
  void Start(const std::string& organisation, uint32_t weight);
  std::optional<call_id> Displace(const std::string& newcomer);
  organisation_queue* NextQueue();
  double LeastServed() const;

  admission_options options_;
  double limit_ = 1;
  bool may_grow_ = true;
  size_t in_flight_ = 0;
  size_t queued_ = 0;
  std::map<std::string, organisation_queue> queues_;
  double usual_latency_ =
      0;  ///< Slow average of the time to the first part, in seconds.
  double recent_latency_ = 0;  ///< Fast average of the same.
  uint32_t samples_ = 0;
  time_point last_fall_{};
};

}  // namespace fuchsiafall

#endif  // ADMISSION_BASE_H_
