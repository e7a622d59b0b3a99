/// @file load.h Open-loop load of callers, whose answers are checked.
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
    kAnswered,  ///< Whole, and the caller's own.
    kRefused,   ///< With a reason.
    kLost,      ///< Without an answer or a refusal.
    kWrong,     ///< Partial, mixed or another's answer taken for whole.
  };
  end_type end = end_type::kLost;
  std::string reason;
  bool not_run = false;  ///< Whether the refusal said so.
  time_point due{};      ///< When it was due to be sent.
  duration first{};      ///< From due until the first byte of the answer.
  duration total{};
  std::string organisation;
  std::string key;
  std::string entry;
  std::string version;
};

/// Request to be made by a caller.
struct caller_plan {
  std::string entry;  ///< ip:port
  std::string organisation;
  std::string service;
  bool is_plain = false;
  bool stream = true;
  int tokens = 16;
  std::string prompt;
  std::string
      key;  ///< Idempotency key of plain calls that may not be repeated.
  milliseconds deadline{10000};
};

/// Makes one request and checks its answer.
call_record MakeCall(const caller_plan& plan, time_point due);

struct load_options {
  std::vector<std::string> entries;  ///< Callers choose among them at random.
  std::vector<std::string> organisations{"regatta", "harbour", "chapel",
                                         "florist"};
  std::vector<double> shares;  ///< Of the organisations; empty for equal ones.
  std::string service = "assistant";
  double rate = 50;  ///< Requests per second, Poisson.
  int tokens = 16;
  bool stream = true;
  milliseconds deadline{10000};
  uint64_t seed = 1;
  size_t threads = 128;
};

/// Sends requests at a rate that does not depend on the answers.
class load {
 public:
  explicit load(load_options options);
  ~load();
  load(const load&) = delete;
  load& operator=(const load&) = delete;

  void Start();
  /// Sends no more, and waits for all answers.
  void Stop();
  std::vector<call_record> Records() const;

 private:
  void Work(size_t number);
  bool NextPlan(caller_plan* plan, time_point* due);

  load_options options_;
  std::atomic<bool> is_stopping_{false};
  mutable std::mutex mutex_;
  time_point next_due_{};
  uint64_t random_state_ = 0;
  uint64_t sent_ = 0;
  std::vector<call_record> records_;
  std::vector<std::thread> threads_;
};

/// Quantile of a list of times, in ms; 0 for an empty one.
double QuantileMs(std::vector<duration> times, double share);

/// Summary of some records.
struct load_summary {
  size_t all = 0;
  size_t answered = 0;
  size_t lost = 0;
  size_t wrong = 0;
  std::map<std::string, size_t> refused;  ///< By reason.
  double first_p50_ms = 0;
  double first_p95_ms = 0;
};

/// Sums up the records that were due in a span of time.
load_summary Summarise(const std::vector<call_record>& records,
                       time_point from,
                       time_point to);

}  // namespace fuchsiafall::harness

#endif  // HARNESS_LOAD_H_
