/// @file engine_monitor.cc Load orders and serving state of one engine.
#include "engine_monitor_base.h"

namespace fuchsiafall {

bool engine_monitor::OnReport(const staged_engine_report& report) {
  const bool is_restarted =
      has_report_ && (report.started_at_ms != report_.started_at_ms ||
                      report.orders < report_.orders);
  report_ = report;
  has_report_ = true;
  is_reachable_ = true;
  if (is_restarted)
    ordered_version_ = 0;
  if (is_restarted || report.is_loading || HeldVersion() == 0)
    unloading_version_ = 0;
  return is_restarted;
}

uint64_t engine_monitor::ServedVersion() const {
  return fuchsiafall::ServedVersion(report_.held, model_, layers_);
}

uint64_t engine_monitor::HeldVersion() const {
  for (const held_layers& held : report_.held) {
    if (held.model == model_ && held.to > held.from)
      return held.version;
  }
  return 0;
}

bool engine_monitor::IsOrderPending(time_point now,
                                    milliseconds timeout) const {
  const bool is_ordered =
      unloading_version_ > 0 || ordered_version_ > ServedVersion();
  return is_ordered && now - ordered_at_ < timeout;
}

bool engine_monitor::IsOrderDue(time_point now, uint64_t version) const {
  if (!is_reachable_ || report_.is_loading || ServedVersion() >= version)
    return false;
  if (unloading_version_ > 0)
    return !IsOrderPending(now, options_.order_timeout);
  return ordered_version_ != version ||
         now - ordered_at_ >= options_.order_timeout;
}

std::optional<engine_order> engine_monitor::MakeOrder(time_point now,
                                                      uint64_t version,
                                                      bool is_verified) {
  if (!IsOrderDue(now, version) || !is_verified)
    return std::nullopt;
  ordered_at_ = now;
  ordered_version_ = version;
  unloading_version_ = 0;
  return engine_order{
      .model = model_, .version = version, .reported_orders = report_.orders};
}

std::optional<engine_order> engine_monitor::MakeUnloadOrder(time_point now) {
  const uint64_t held = HeldVersion();
  const milliseconds timeout =
      is_reachable_ ? options_.unload_timeout : options_.order_timeout;
  if (report_.is_loading || held == 0 || IsOrderPending(now, timeout))
    return std::nullopt;
  ordered_at_ = now;
  ordered_version_ = 0;
  unloading_version_ = held;
  return engine_order{.model = model_,
                      .version = held,
                      .is_unload = true,
                      .reported_orders = report_.orders};
}

bool engine_monitor::IsServing(time_point now) const {
  const uint64_t served = ServedVersion();
  if (!is_reachable_ || served == 0 || report_.is_loading)
    return false;
  // After an order the engine drains its batch before its report shows the
  // load.
  return !IsOrderPending(now, options_.order_timeout);
}

}  // namespace fuchsiafall
