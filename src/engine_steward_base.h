/// @file engine_steward_base.h Decides when an engine is ordered to load what
/// is staged, and when it takes requests.
#ifndef ENGINE_STEWARD_BASE_H_
#define ENGINE_STEWARD_BASE_H_

#include <optional>

#include "engine_control_type.h"

namespace fuchsiafall {

struct engine_steward_options {
  milliseconds bound{8000};  ///< In which new weights replace old ones.
  /// Part of the bound in which servers take turns. Before it the weights are
  /// still spreading; after it running requests have to end.
  double turns_begin = 0.4;
  double turns_end = 0.6;
  /// Part of the bound after which what still runs is cut, to be resumed
  /// elsewhere.
  double cut = 0.85;
  /// For an order to show in the report.
  milliseconds order_effect{600};
};

/// Joins the engine's reports, the wanted version and the turn of this server.
class engine_steward {
 public:
  explicit engine_steward(engine_steward_options options)
      : options_(options) {}

  /// Sets what should be served.
  /// @param turn Share of the servers that go before this one, in [0, 1).
  void SetWanted(const std::string& model,
                 uint64_t version,
                 uint32_t layers,
                 time_point wanted_at,
                 double turn);
  /// Takes a report.
  /// @return Whether the engine was started anew.
  bool OnReport(time_point now, const staged_engine_report& report);
  void OnUnreachable() { is_reachable_ = false; }

  /// Whether the staged weights should be compared for an order now.
  bool WantsOrder(time_point now) const;
  /// Makes the order that is due.
  std::optional<start_order> Order(time_point now, bool is_staged_fresh);
  /// Whether the engine takes requests.
  bool IsServing(time_point now) const;
  uint64_t ServedVersion() const;
  uint64_t WantedVersion() const { return version_; }
  const staged_engine_report& Report() const { return report_; }
  bool IsReachable() const { return is_reachable_; }

 private:
  time_point TurnAt() const;

  engine_steward_options options_;
  std::string model_;
  uint64_t version_ = 0;
  uint32_t layers_ = 1;
  time_point wanted_at_{};
  double turn_ = 0;
  staged_engine_report report_;
  bool is_reachable_ = false;
  bool was_reported_ = false;
  time_point ordered_at_{};
  uint64_t ordered_version_ = 0;
  bool has_cut_ = false;
};

}  // namespace fuchsiafall

#endif  // ENGINE_STEWARD_BASE_H_
