/// @file soak_callers.h Callers of the soak test: an open-loop load whose
/// answers are checked.
#ifndef TESTS_SOAK_SOAK_CALLERS_H_
#define TESTS_SOAK_SOAK_CALLERS_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/caller_connections.h"
#include "tests/soak/site_standin.h"

namespace fuchsiafall::soak {

/// Entry process as callers know it.
struct entry_endpoint {
  std::string address;       ///< ip:port
  uint32_t start_count = 0;  ///< Number of starts of its process.
  /// Newest probe route that its process has answered with 200.
  uint64_t newest_probe_route = 0;
  time_point stopping_since{};  ///< SIGTERM of its process; else zero.
};

/// Calls sent in a span of time.
struct call_window {
  uint64_t sent = 0;
  uint64_t open = 0;
  uint64_t answered = 0;  ///< With status 200.
};

struct caller_options {
  double rate = 40;  ///< Requests per second.
  uint64_t seed = 1;
};

/// Sends a mix of requests to random entries and checks each answer.
class soak_callers {
 public:
  soak_callers(event_loop* loop,
               run_record* record,
               std::vector<entry_endpoint>* entries,
               caller_options options);
  void Begin(time_point now);
  void Stop() { is_stopping_ = true; }
  size_t Open() const { return open_; }
  /// Returns how late the soak's own loop was at most.
  duration LongestLag() const { return longest_lag_; }
  /// Records the idle time of a configuration that the store has acknowledged.
  void AddIdleTimeout(time_point now, milliseconds idle_timeout);
  /// API keys in use, including ones revoked meanwhile.
  std::vector<std::string> keys;
  /// Number of probe routes in the newest configuration. Each configuration
  /// adds one, so that a 404 shows that an entry went back to an older one.
  uint64_t probe_routes = 0;
  double rate_factor = 1;  ///< Of the rate in the options.
  call_window window;
  bool is_window_open = false;  ///< Whether calls are sent in the window.

 private:
  enum class kind { kStream, kNonIdempotent, kIdempotent, kProbe };
  struct call {
    std::string id;
    kind type = kind::kStream;
    std::string target;
    uint64_t probe = 0;
    size_t entry = 0;
    uint32_t start_count = 0;
    time_point sent_at{};
    milliseconds deadline{0};
    milliseconds idle{0};   ///< Of its connection before.
    bool is_first = false;  ///< On its connection.
    bool is_in_window = false;
    std::string key;
    uint32_t last_event = 0;  ///< Event after which it resumes a stream.
    Poco::Net::HTTPResponse head;
    std::string body;
  };

  void Send(time_point now);
  /// Sends a call to its entry.
  void Start(time_point now, const std::shared_ptr<call>& item);
  /// Resumes a stream that has broken off, at any entry.
  void Resume(time_point now, const call& broken);
  void EndCall(const call& item);
  void CheckAnswer(const call& item, exchange_end end);
  void CheckStream(const call& item);
  /// Records a call that ended without a complete answer, unless its end is
  /// excused.
  void CheckCut(time_point now, const call& item);
  /// Returns the longest idle time after which a connection may be used again
  /// by all configurations that may be in force.
  milliseconds MaxIdle(time_point now);
  /// Measures how late the soak's own loop is.
  void MeasureLag(time_point now, time_point due);

  event_loop* loop_;
  run_record* record_;
  std::vector<entry_endpoint>* entries_;
  caller_options options_;
  std::mt19937_64 random_;
  std::mt19937_64 resume_random_;  ///< Of the streams that are resumed.
  caller_connections connections_;
  /// Idle times of the configurations that may be in force, by the time of
  /// their acknowledgement.
  std::vector<std::pair<time_point, milliseconds>> idle_timeouts_;
  duration current_lag_{0};   ///< The longest since lag_since_.
  duration previous_lag_{0};  ///< The longest in the second before.
  duration longest_lag_{0};
  time_point lag_since_{};
  uint64_t next_ = 1;
  size_t open_ = 0;
  bool is_stopping_ = false;
};

}  // namespace fuchsiafall::soak

#endif  // TESTS_SOAK_SOAK_CALLERS_H_
