/// @file load_verifier.cc Verification of the layers that an engine holds.
#include "load_verifier_base.h"

#include <algorithm>

namespace fuchsiafall {

namespace {

constexpr int kStatusAccepted = 202;

}  // namespace

bool load_verifier::OnReport(time_point now,
                             time_point requested_at,
                             const staged_engine_report& report,
                             bool has_layers) {
  const load_id reported{report.started_at_ms, report.orders};
  const bool is_changed = !has_report_ || reported != load_;
  if (is_changed && doubtful_load_ != reported) {
    doubtful_load_ = reported;
    doubtful_at_ = now;
    return false;
  }
  doubtful_load_.reset();
  is_loading_ = report.is_loading;
  has_layers_ = has_layers;
  if (is_changed) {
    OnOrderAccepted(reported);
  } else if (has_layers_ && !is_loading_) {
    is_unloading_ = false;
  }
  has_report_ = true;
  shown_at_ = requested_at;
  return is_changed;
}

void load_verifier::OnOrderAccepted(const load_id& reported) {
  const bool is_restart = reported.started_at_ms != load_.started_at_ms;
  // A load that an agent before this one has ordered may be accepted instead of
  // an unload; only the answer tells.
  is_unloading_ = !is_restart &&
                  std::any_of(open_orders_.begin(), open_orders_.end(),
                              [&](const auto& item) {
                                return IsAcceptedUnload(item.second, reported);
                              });
  // Layers that no order has loaded were there from the start.
  state_ = reported.orders == 0 ? load_state::kIntact : load_state::kUnverified;
  accepted_after_ = has_report_ ? shown_at_ : time_point::min();
  accepted_before_ = doubtful_at_;
  for (const auto& [number, order] : open_orders_) {
    const bool is_shown = order.is_accepted && !is_restart &&
                          order.reported_orders + 1 == reported.orders;
    if (is_shown)
      accepted_after_ = std::max(accepted_after_, order.sent_at);
  }
  // The engine refuses the others, which name a count that is past; after a
  // restart the count may be theirs again. The accepted one may be an unload
  // whose answer is on its way.
  std::erase_if(open_orders_, [&](const auto& item) {
    const bool is_answered = item.second.open_until != time_point::max();
    return item.second.is_accepted ||
           (!is_restart && (is_answered || !item.second.is_unload));
  });
  load_ = reported;
}

bool load_verifier::IsAcceptedUnload(const open_order& order,
                                     const load_id& load) {
  return order.is_unload && order.is_accepted &&
         order.reported_orders + 1 == load.orders;
}

uint64_t load_verifier::OnOrderSent(time_point now, const engine_order& order) {
  const uint64_t number = next_order_++;
  open_orders_[number] = {.sent_at = now,
                          .reported_orders = order.reported_orders,
                          .is_unload = order.is_unload};
  return number;
}

void load_verifier::OnOrderEnded(time_point now,
                                 uint64_t number,
                                 const engine_call_result& result) {
  auto it = open_orders_.find(number);
  if (it == open_orders_.end())
    return;
  if (result.status == kStatusAccepted) {
    it->second.is_accepted = true;
    it->second.open_until = now + options_.max_delay_given_up;
    if (!IsAcceptedUnload(it->second, load_))
      return;
    is_unloading_ = true;
    open_orders_.erase(it);
  } else if (result.status == 0) {
    it->second.open_until = EffectEnd(now, result);
  } else {
    open_orders_.erase(it);
  }
}

void load_verifier::OnWriteSent() {
  is_write_open_ = true;
}

void load_verifier::OnWriteEnded(time_point now,
                                 const engine_call_result& result) {
  is_write_open_ = false;
  writes_end_ = std::max(writes_end_, EffectEnd(now, result));
}

time_point load_verifier::EffectEnd(time_point now,
                                    const engine_call_result& result) const {
  if (result.status != 0)
    return now;
  return now + (result.is_given_up ? options_.max_delay_given_up
                                   : options_.max_delay_broken);
}

bool load_verifier::IsOrderOpen(time_point now) const {
  return std::any_of(
      open_orders_.begin(), open_orders_.end(), [&](const auto& item) {
        return !item.second.is_unload && now < item.second.open_until;
      });
}

bool load_verifier::MayWrite(time_point now) const {
  if (!has_report_ || doubtful_load_ || IsOrderOpen(now))
    return false;
  return !HoldsLayers() || state_ == load_state::kIntact || is_unloading_;
}

std::optional<time_point> load_verifier::VerifiesFrom() const {
  if (!HoldsLayers() || state_ != load_state::kUnverified || is_unloading_)
    return std::nullopt;
  return accepted_before_;
}

bool load_verifier::HoldsUnverified() const {
  return VerifiesFrom() && !is_loading_;
}

void load_verifier::OnCompared(bool is_match) {
  // What was written since may have replaced what the engine took.
  const bool is_written_since = WritesEnd() > accepted_after_;
  state_ =
      is_match && !is_written_since ? load_state::kIntact : load_state::kSpoilt;
}

void load_verifier::OnDigestsMissing(time_point now) {
  if (!HoldsUnverified()) {
    digests_missing_since_.reset();
    return;
  }
  if (!digests_missing_since_)
    digests_missing_since_ = now;
  if (now - *digests_missing_since_ > options_.max_digest_wait)
    state_ = load_state::kSpoilt;
}

}  // namespace fuchsiafall
