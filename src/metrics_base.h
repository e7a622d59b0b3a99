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

/// Named counters, gauges and latency histograms. Thread-safe.
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Adds to a counter, which is created at its first use.
  void Count(const std::string& name, uint64_t amount = 1);
  /// Sets a gauge.
  void SetGauge(const std::string& name, int64_t value);
  void CountRefusal(reason why);
  void CountRetry(reason why);
  /// Records a duration in a histogram with a logarithmic axis.
  void RecordDuration(const std::string& name, duration span);

  uint64_t Counter(const std::string& name) const;
  /// Formats all values as lines of "name value", histograms as quantiles in
  /// ms.
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
