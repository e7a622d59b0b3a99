/// @file crash_ledger_base.h Requests that crash the servers that run them,
/// known by their fingerprints.
#ifndef CRASH_LEDGER_BASE_H_
#define CRASH_LEDGER_BASE_H_

#include <map>
#include <vector>

#include "ids_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct crash_ledger_options {
  uint32_t crashes = 2;  ///< After which a request is held.
  seconds memory{600};   ///< Of a crash.
  /// Before the restart of an engine is seen, within which the requests that it
  /// broke off count as those that ran when it crashed.
  seconds suspicion{10};
  size_t most = 4096;  ///< Fingerprints kept.
};

/// Counts in how many crashes each request ran. One of the many that ran beside
/// the culprit is in a single crash, the culprit in each.
class crash_ledger {
 public:
  explicit crash_ledger(crash_ledger_options options) : options_(options) {}

  /// Notes a request that a server broke off.
  void OnBrokenOff(time_point now, fingerprint request);
  /// Takes the requests that ran when the engine crashed, which is seen by its
  /// restart.
  std::vector<fingerprint> OnRestart(time_point now);
  /// Counts a crash in which a request ran.
  void Count(time_point now, fingerprint request);
  /// Whether a request is not to be run again.
  bool IsHeld(time_point now, fingerprint request) const;

 private:
  struct record {
    uint32_t crashes = 0;
    time_point last{};
  };

  crash_ledger_options options_;
  std::map<fingerprint, time_point> broken_off_;
  std::map<fingerprint, record> records_;
};

}  // namespace fuchsiafall

#endif  // CRASH_LEDGER_BASE_H_
