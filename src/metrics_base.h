/// @file metrics_base.h Counters and latency histograms of a process.
#ifndef METRICS_BASE_H_
#define METRICS_BASE_H_

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "reason_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Counts events and times; safe to use from all threads.
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Adds to a counter that is made at its first use.
  void Count(const std::string& name, uint64_t amount = 1);
  /// Sets a gauge to its present value.
  void Set(const std::string& name, int64_t value);
  void CountRefusal(reason why);
  void CountRetry(reason why);
  /// Records the time that something took in a histogram on a logarithmic axis.
  void Time(const std::string& name, duration span);

  uint64_t Counter(const std::string& name) const;
  /// Writes all values as lines of "name value", histograms by their quantiles
  /// in ms.
  std::string Describe() const;

 private:
  struct histograms;
  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> counters_;
  std::map<std::string, int64_t> gauges_;
  std::array<uint64_t, kReasonCount> refusals_{};
  std::array<uint64_t, kReasonCount> retries_{};
  std::unique_ptr<histograms> histograms_;
};

}  // namespace fuchsiafall

#endif  // METRICS_BASE_H_
