/// @file engine_steward.cc Decides when an engine is ordered to load.
#include "engine_steward_base.h"

namespace fuchsiafall {

void engine_steward::SetWanted(const std::string& model,
                               uint64_t version,
                               uint32_t layers,
                               time_point wanted_at,
                               double turn) {
  if (version != version_ || model != model_)
    has_cut_ = false;
  model_ = model;
  version_ = version;
  layers_ = layers;
  wanted_at_ = wanted_at;
  turn_ = turn;
}

bool engine_steward::OnReport(time_point now,
                              const staged_engine_report& report) {
  const bool is_restarted =
      was_reported_ && (report.born_ms != report_.born_ms ||
                        report.orders < report_.orders);
  report_ = report;
  was_reported_ = true;
  is_reachable_ = true;
  if (is_restarted)
    ordered_version_ = 0;
  (void)now;
  return is_restarted;
}

uint64_t engine_steward::ServedVersion() const {
  for (const held_layers& held : report_.held) {
    if (held.model == model_ && held.from == 0 && held.to >= layers_)
      return held.version;
  }
  return 0;
}

time_point engine_steward::TurnAt() const {
  // An engine without weights serves nobody, so it loses nothing by loading.
  if (ServedVersion() == 0)
    return time_point{};
  const double part = options_.turns_begin +
                      turn_ * (options_.turns_end - options_.turns_begin);
  return wanted_at_ + std::chrono::duration_cast<duration>(
                          std::chrono::duration<double>(
                              part * ToSeconds(options_.bound)));
}

bool engine_steward::WantsOrder(time_point now) const {
  if (version_ == 0 || !is_reachable_ || ServedVersion() >= version_)
    return false;
  if (report_.is_loading)
    return false;
  if (ordered_version_ == version_ &&
      now - ordered_at_ < options_.order_effect)
    return false;
  return now >= TurnAt();
}

std::optional<start_order> engine_steward::Order(time_point now,
                                                 bool is_staged_fresh) {
  if (!WantsOrder(now) || !is_staged_fresh)
    return std::nullopt;
  ordered_at_ = now;
  ordered_version_ = version_;
  return start_order{.model = model_,
                     .version = version_,
                     .orders_before = report_.orders};
}

bool engine_steward::IsServing(time_point now) const {
  if (!is_reachable_ || ServedVersion() == 0)
    return false;
  // Between an order and its effect the engine lets its batch run out.
  const bool is_switching = ordered_version_ == version_ &&
                            ServedVersion() < version_ &&
                            (report_.is_loading ||
                             now - ordered_at_ < options_.order_effect);
  return !is_switching && !(report_.is_loading && ServedVersion() < version_);
}

}  // namespace fuchsiafall
