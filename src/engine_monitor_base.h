/// @file engine_monitor_base.h Monitor of one engine: decides when it is
/// ordered to load the staged weights, and whether it serves requests.
#ifndef ENGINE_MONITOR_BASE_H_
#define ENGINE_MONITOR_BASE_H_

#include <optional>

#include "engine_control_type.h"

namespace fuchsiafall {

struct engine_monitor_options {
  /// Time within which a report must show the effect of an order; otherwise the
  /// order is repeated.
  milliseconds order_timeout{600};
  /// Time after which an order without effect no longer delays an unload order,
  /// which is due by a bound: the answer of an engine on the same VM and the
  /// next report.
  milliseconds unload_timeout{150};
};

/// Tracks one engine by its reports and by the load orders sent to it.
class engine_monitor {
 public:
  explicit engine_monitor(engine_monitor_options options) : options_(options) {}

  /// Sets the model that the engine is to serve.
  /// @param layers Number of layers; an engine that holds fewer does not serve.
  void SetModel(const std::string& model, uint32_t layers) {
    model_ = model;
    layers_ = layers;
  }
  /// Processes a report.
  /// @return Whether the engine has restarted.
  bool OnReport(const staged_engine_report& report);
  void OnUnreachable() { is_reachable_ = false; }

  /// Whether an order to load `version` is due, so that the staged weights
  /// should be verified for it.
  bool IsOrderDue(time_point now, uint64_t version) const;
  /// Creates the order if it is due.
  /// @param is_verified Whether all staged pieces were verified recently.
  std::optional<engine_order> MakeOrder(time_point now,
                                        uint64_t version,
                                        bool is_verified);
  /// Creates the order to unload the held version, unless an order is in
  /// progress. The engine then rejects the requests in its queue as not run,
  /// and finishes the running ones. An engine without reports may still run
  /// requests, so it gets the order too.
  std::optional<engine_order> MakeUnloadOrder(time_point now);
  /// Whether the engine accepts requests.
  bool IsServing(time_point now) const;
  uint64_t ServedVersion() const;
  /// Returns the version of the layers that are held, be they all or not; 0 for
  /// none.
  uint64_t HeldVersion() const;
  const staged_engine_report& Report() const { return report_; }
  bool IsReachable() const { return is_reachable_; }

 private:
  /// Whether an order was sent whose effect no report has shown yet.
  bool IsOrderPending(time_point now, milliseconds timeout) const;

  engine_monitor_options options_;
  std::string model_;
  uint32_t layers_ = 1;
  staged_engine_report report_;
  bool is_reachable_ = false;
  bool has_report_ = false;
  time_point ordered_at_{};
  uint64_t ordered_version_ = 0;    ///< Of the last load order; 0 for none.
  uint64_t unloading_version_ = 0;  ///< Ordered to be unloaded; 0 for none.
};

}  // namespace fuchsiafall

#endif  // ENGINE_MONITOR_BASE_H_
