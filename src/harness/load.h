/// @file load.h Open-loop load generator that checks the answers.
#ifndef HARNESS_LOAD_H_
#define HARNESS_LOAD_H_

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "time_type.h"

namespace fuchsiafall::harness {

/// How one request ended for its caller.
struct call_record {
  enum class end_type {
    kAnswered,  ///< With the complete answer to this request.
    kRefused,   ///< With a refusal that has a reason.
    kLost,      ///< Without an answer or a refusal.
    kWrong,  ///< With a partial, mixed or foreign answer that looks complete.
  };
  end_type end = end_type::kLost;
  std::string reason;
  bool not_run = false;  ///< Whether the refusal states that it did not run.
  time_point due{};      ///< Scheduled time of sending.
  duration first{};      ///< From due until the first byte of the answer.
  duration total{};      ///< From due until the end of the answer.
  std::string organisation;
  std::string key;
  std::string entry;
  std::string version;
};

/// Request that a caller sends.
struct planned_request {
  std::string entry;  ///< ip:port
  std::string organisation;
  std::string service;
  bool is_plain = false;
  bool stream = true;
  int tokens = 16;
  std::string prompt;
  /// Idempotency key of non-idempotent plain calls; empty for none.
  std::string key;
  milliseconds deadline{10000};
};

/// Sends one request and checks its answer.
/// @param due Start of the measured times.
call_record MakeCall(const planned_request& plan, time_point due);

struct load_options {
  /// Addresses of the entries; one is chosen at random for each request.
  std::vector<std::string> entries;
  std::vector<std::string> organisations{"regatta", "harbour", "chapel",
                                         "florist"};
  /// Shares of the organisations in the requests; empty for equal ones.
  std::vector<double> shares;
  std::string service = "assistant";
  double rate = 50;  ///< Requests per second, as a Poisson process.
  int tokens = 16;
  bool stream = true;
  milliseconds deadline{10000};
  uint64_t seed = 1;
  size_t threads = 128;
};

/// Sends requests at a rate that is independent of the answers.
class load_generator {
 public:
  explicit load_generator(load_options options);
  ~load_generator();
  load_generator(const load_generator&) = delete;
  load_generator& operator=(const load_generator&) = delete;

  void Start();
  /// Stops sending and waits for the outstanding answers.
  void Stop();
  std::vector<call_record> Records() const;

 private:
  /// Sends requests one after the other, in a thread of its own.
  void RunCaller(size_t number);
  /// Draws the next request.
  /// @return False if no more are to be sent.
  bool NextRequest(planned_request* plan, time_point* due);

  load_options options_;
  std::atomic<bool> is_stopping_{false};
  mutable std::mutex mutex_;
  time_point next_due_{};
  uint64_t draw_number_ = 0;
  uint64_t sent_ = 0;
  std::vector<call_record> records_;
  std::vector<std::thread> threads_;
};

/// Returns a quantile of a list of times, in ms; 0 for an empty list.
double QuantileMs(std::vector<duration> times, double share);

/// Summary of call records. Times are those of answered requests.
struct load_summary {
  size_t all = 0;
  size_t answered = 0;
  size_t lost = 0;
  size_t wrong = 0;
  std::map<std::string, size_t> refused;  ///< By reason.
  double first_p50_ms = 0;
  double first_p95_ms = 0;
};

/// Summarises the records that were due from `from` until before `to`.
load_summary Summarise(const std::vector<call_record>& records,
                       time_point from,
                       time_point to);

}  // namespace fuchsiafall::harness

#endif  // HARNESS_LOAD_H_
