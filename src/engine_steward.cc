/// @file engine_steward.cc Load orders and serving state of one engine.
#include "engine_steward_base.h"

namespace fuchsiafall {

bool engine_steward::OnReport(const staged_engine_report& report) {
  const bool is_restarted =
      was_reported_ &&
      (report.born_ms != report_.born_ms || report.orders < report_.orders);
  report_ = report;
  was_reported_ = true;
  is_reachable_ = true;
  if (is_restarted)
    ordered_version_ = 0;
  return is_restarted;
}

uint64_t engine_steward::ServedVersion() const {
  return fuchsiafall::ServedVersion(report_.held, model_, layers_);
}

bool engine_steward::WantsOrder(time_point now, uint64_t version) const {
  if (!is_reachable_ || report_.is_loading || ServedVersion() >= version)
    return false;
  return ordered_version_ != version ||
         now - ordered_at_ >= options_.order_effect;
}

std::optional<start_order> engine_steward::Order(time_point now,
                                                 uint64_t version,
                                                 bool is_staged_fresh) {
  if (!WantsOrder(now, version) || !is_staged_fresh)
    return std::nullopt;
  ordered_at_ = now;
  ordered_version_ = version;
  return start_order{
      .model = model_, .version = version, .orders_before = report_.orders};
}

bool engine_steward::IsServing(time_point now) const {
  const uint64_t served = ServedVersion();
  if (!is_reachable_ || served == 0 || report_.is_loading)
    return false;
  // After an order the engine drains its batch before its report shows the
  // load.
  const bool is_switching =
      served < ordered_version_ && now - ordered_at_ < options_.order_effect;
  return !is_switching;
}

}  // namespace fuchsiafall
