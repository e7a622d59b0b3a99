/// @file crash_ledger_base.h Detection of requests that crash engines, by
/// request fingerprint.
#ifndef CRASH_LEDGER_BASE_H_
#define CRASH_LEDGER_BASE_H_

#include <map>
#include <vector>

#include "ids_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct crash_history_options {
  uint32_t quarantine_crashes = 2;  ///< Crashes that quarantine a request.
  seconds retention{600};           ///< Time that a crash is remembered.
  /// Requests aborted within this time before an engine restart is observed
  /// count as running at the crash.
  seconds suspect_window{10};
  size_t capacity = 4096;  ///< In fingerprints.
};

/// Counts the engine crashes during which each request was running. The request
/// that causes the crashes takes part in each of them, the requests batched
/// with it usually in one only.
class crash_history {
 public:
  explicit crash_history(crash_history_options options) : options_(options) {}

  /// Records a request that was aborted by its server.
  void OnRequestAborted(time_point now, fingerprint request);
  /// Removes and returns the requests that were running at the crash. A restart
  /// of the engine indicates that it crashed.
  std::vector<fingerprint> OnEngineRestart(time_point now);
  /// Counts one crash during which a request was running.
  void RecordCrash(time_point now, fingerprint request);
  /// Whether a request must not run again.
  bool IsQuarantined(time_point now, fingerprint request) const;

 private:
  struct crash_count {
    uint32_t crashes = 0;
    time_point last{};
  };

  crash_history_options options_;
  std::map<fingerprint, time_point> aborted_;
  std::map<fingerprint, crash_count> crash_counts_;
};

}  // namespace fuchsiafall

#endif  // CRASH_LEDGER_BASE_H_
