/// @file engine_steward_base.h Decides when an engine is ordered to load what
/// is staged, and when it takes requests.
#ifndef ENGINE_STEWARD_BASE_H_
#define ENGINE_STEWARD_BASE_H_

#include <optional>

#include "engine_control_type.h"

namespace fuchsiafall {

struct engine_steward_options {
  /// For an order to show in the report.
  milliseconds order_effect{600};
};

/// Joins the engine's reports with the orders that it was given.
class engine_steward {
 public:
  explicit engine_steward(engine_steward_options options) : options_(options) {}

  /// Sets what the engine is to serve.
  void SetModel(const std::string& model, uint32_t layers) {
    model_ = model;
    layers_ = layers;
  }
  /// Takes a report.
  /// @return Whether the engine was started anew.
  bool OnReport(const staged_engine_report& report);
  void OnUnreachable() { is_reachable_ = false; }

  /// Whether the staged weights should be compared for an order now.
  bool WantsOrder(time_point now, uint64_t version) const;
  /// Makes the order that is due.
  std::optional<start_order> Order(time_point now,
                                   uint64_t version,
                                   bool is_staged_fresh);
  /// Whether the engine takes requests.
  bool IsServing(time_point now) const;
  uint64_t ServedVersion() const;
  const staged_engine_report& Report() const { return report_; }
  bool IsReachable() const { return is_reachable_; }

 private:
  engine_steward_options options_;
  std::string model_;
  uint32_t layers_ = 1;
  staged_engine_report report_;
  bool is_reachable_ = false;
  bool was_reported_ = false;
  time_point ordered_at_{};
  uint64_t ordered_version_ = 0;
};

}  // namespace fuchsiafall

#endif  // ENGINE_STEWARD_BASE_H_
