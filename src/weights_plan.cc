/// @file weights_plan.cc Planning of the versions that a server fetches and
/// loads.
#include <algorithm>

#include "weights_plan_func.h"

namespace fuchsiafall {

namespace {

duration FractionOf(duration whole, double fraction) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(fraction * ToSeconds(whole)));
}

/// Wait of a request in the engine's queue, including the prefill of the
/// prompts ahead of it; up to 0.57 s occurs.
constexpr milliseconds kEngineWait{800};
/// Additional wait behind pieces of weights on a saturated link, or behind
/// other requests in the queue. Including the engine's wait, up to 1.3 s occurs
/// on a saturated link and 1.06 s in the queue.
constexpr milliseconds kQueueWait{700};
/// Time after a piece arrived in which the link may still be saturated: several
/// pieces over a link at a tenth of its nominal rate.
constexpr milliseconds kLinkSaturation{1500};

/// Whether an incomplete version should be transferred before the newest one,
/// because the server is then without weights for a shorter time. The rate is
/// estimated from the progress of this version.
/// @param outdated_at When the served version was replaced.
bool ShouldFinishFirst(time_point now,
                       const weights_plan_options& options,
                       const wanted_version& older,
                       const wanted_version& newest,
                       time_point outdated_at) {
  if (older.progress <= 0)
    return false;
  const auto transfer_time = std::chrono::duration_cast<duration>(
      (now - older.target_since) / older.progress);
  // Time without weights if the next version arrives after the last load slot
  // for the one replaced at `replaced_at`.
  auto gap = [&](time_point arrival, time_point replaced_at) {
    const time_point last_slot =
        replaced_at + FractionOf(options.bound, options.load_slots_end);
    return std::max<duration>(arrival - last_slot, duration::zero());
  };
  const duration newest_time = FractionOf(transfer_time, 1 - newest.progress);
  const time_point older_at =
      now + FractionOf(transfer_time, 1 - older.progress);
  const duration gap_with_it = gap(older_at, outdated_at) +
                               gap(older_at + newest_time, newest.target_since);
  return gap_with_it < gap(now + newest_time, outdated_at);
}

/// Time before the end of the bound at which replaced weights are unloaded:
/// several intervals of the check, plus the call to the engine on the same VM.
constexpr milliseconds kUnloadMargin{300};
/// The reply that grants a place, the request, and one pass of the engine.
constexpr milliseconds kTravelAndPass{200};
/// Load of the staged weights and the comparison of all pieces after it.
constexpr milliseconds kLoadTime{500};
/// Progress below which the rate of a transfer is too uncertain.
constexpr double kMinProgressOfEstimate = 0.1;
/// Longest estimate. During an outage of the origin it grows with the outage.
constexpr milliseconds kMaxEstimate{10000};

}  // namespace

weights_plan PlanWeights(time_point now,
                         const weights_plan_options& options,
                         uint64_t served,
                         const std::vector<wanted_version>& wanted,
                         double load_slot) {
  weights_plan plan;
  if (wanted.empty())
    return plan;
  const wanted_version& newest = wanted.back();
  const wanted_version* fallback = nullptr;  // Newest complete older version.
  for (auto it = wanted.begin(); it + 1 < wanted.end(); ++it) {
    if (now + options.min_use > (it + 1)->target_since + options.bound)
      continue;  // Hardly any request may begin on it anymore.
    if (it->progress >= options.min_finish_progress ||
        ShouldFinishFirst(now, options, *it, newest,
                          wanted.front().target_since))
      plan.fetch.push_back(it->version);
    if (it->progress >= 1)
      fallback = &*it;
  }
  plan.fetch.push_back(newest.version);
  plan.stage = newest.version;
  if (served == 0) {
    // An engine without weights serves no requests, so it loads at once.
    if (newest.progress >= 1) {
      plan.load = newest.version;
    } else if (fallback != nullptr) {
      plan.stage = fallback->version;
      plan.load = fallback->version;
    }
    return plan;
  }
  // The bound starts with the first version that replaced the served one.
  const time_point outdated_at = wanted.front().target_since;
  auto slot_time = [&](double begin) {
    const double fraction =
        begin + load_slot * (options.load_slots_end - begin);
    return outdated_at + FractionOf(options.bound, fraction);
  };
  if (newest.progress >= 1) {
    plan.load_at = slot_time(options.load_slots_begin);
    if (now >= *plan.load_at)
      plan.load = newest.version;
    return plan;
  }
  if (newest.progress >= options.min_likely_progress &&
      slot_time(options.load_slots_begin) > now) {
    plan.load_at = slot_time(options.load_slots_begin);
  }
  if (fallback == nullptr)
    return plan;
  // The newest is too late if half of the load slots pass before it arrives.
  const double middle = (options.load_slots_begin + options.load_slots_end) / 2;
  const bool is_newest_too_late =
      newest.target_since +
          FractionOf(options.bound, options.load_slots_begin) >
      outdated_at + FractionOf(options.bound, middle);
  const time_point fallback_at =
      slot_time(is_newest_too_late ? options.load_slots_begin
                                   : options.fallback_slots_begin);
  if (is_newest_too_late || now >= fallback_at) {
    plan.stage = fallback->version;
    plan.load_at = fallback_at;
  }
  if (now >= fallback_at)
    plan.load = fallback->version;
  return plan;
}

milliseconds GrantMargin(time_point now,
                         std::optional<time_point> last_piece,
                         uint32_t waiting) {
  const bool is_link_saturated =
      last_piece && now - *last_piece < kLinkSaturation;
  return is_link_saturated || waiting > 0 ? kEngineWait + kQueueWait
                                          : kEngineWait;
}

milliseconds FreeSlotGrantMargin(time_point now,
                                 std::optional<time_point> last_piece) {
  const bool is_link_saturated =
      last_piece && now - *last_piece < kLinkSaturation;
  return kUnloadMargin + kTravelAndPass +
         (is_link_saturated ? kQueueWait : milliseconds(0));
}

milliseconds ServesAgainIn(time_point now,
                           const weights_plan& plan,
                           const std::vector<wanted_version>& wanted,
                           bool is_loading) {
  if (is_loading || plan.load)
    return kLoadTime;
  if (plan.fetch.empty())
    return milliseconds(0);
  const auto first = std::find_if(wanted.begin(), wanted.end(),
                                  [&](const wanted_version& each) {
                                    return each.version == plan.fetch.front();
                                  });
  if (first == wanted.end())
    return milliseconds(0);
  if (first->progress < kMinProgressOfEstimate)
    return milliseconds(0);
  const duration left = FractionOf(now - first->target_since,
                                   (1 - first->progress) / first->progress);
  return std::min(std::chrono::duration_cast<milliseconds>(left) + kLoadTime,
                  kMaxEstimate);
}

bool IsUnloadDue(time_point now, time_point outdated_at) {
  return now >= outdated_at - kUnloadMargin;
}

}  // namespace fuchsiafall
