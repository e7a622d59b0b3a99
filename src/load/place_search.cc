/// @file place_search.cc Number of place requests for one call.
#include "load/place_search_base.h"

#include <algorithm>
#include <cmath>

#include "engine_model_func.h"

namespace fuchsiafall {

namespace {

/// Weight of an answer token in the size of a call, as callers value it.
constexpr double kAnswerTokenWeight = 10;
/// Worth of a call to its caller regardless of its size, as a share of that of
/// a call of mean size, and the largest multiple of the latter.
constexpr double kFixedWorth = 0.3;
constexpr double kMaxWorth = 4;
/// Weight of one sample in the running means.
constexpr double kSampleWeight = 1.0 / 64;

}  // namespace

call_cost EstimateCost(const engine_profile& engine,
                       uint32_t prompt_tokens,
                       uint32_t answer_tokens) {
  const double answer =
      answer_tokens > 0 ? answer_tokens : engine.mean_answer_tokens;
  const uint32_t slots = std::max(1U, engine.slots);
  const double passes = answer / std::max(1U, engine.stride) + 1;
  const auto decoding = std::chrono::duration_cast<duration>(
      PassTime(engine, slots) * (passes / slots));
  return {.engine_time = decoding + PrefillTime(engine, prompt_tokens),
          .size = prompt_tokens + kAnswerTokenWeight * answer};
}

void place_search::OnReply(time_point now, bool is_granted) {
  if (now - last_reply_at_ > options_.memory)
    granted_share_ = 1;
  last_reply_at_ = now;
  granted_share_ += ((is_granted ? 1 : 0) - granted_share_) * kSampleWeight;
}

double place_search::Rank(const std::string& route, const call_cost& cost) {
  route_history& history = routes_[route];
  history.mean_size =
      history.mean_size == 0
          ? cost.size
          : history.mean_size + (cost.size - history.mean_size) * kSampleWeight;
  const double worth =
      std::min(kMaxWorth, kFixedWorth + (1 - kFixedWorth) * cost.size /
                                            std::max(1.0, history.mean_size));
  const double yield = worth / std::max(ToSeconds(cost.engine_time), 1e-6);
  const auto lower =
      std::count_if(history.yields.begin(), history.yields.end(),
                    [yield](double other) { return other < yield; });
  const double rank =
      static_cast<double>(lower) /
      static_cast<double>(std::max<size_t>(1, history.yields.size()));
  const bool has_samples = history.yields.size() >= options_.min_samples;
  history.yields.push_back(yield);
  if (history.yields.size() > options_.samples)
    history.yields.pop_front();
  return has_samples ? rank : 0.5;
}

uint32_t place_search::MaxRequests(time_point now, double rank) const {
  if (now - last_reply_at_ > options_.memory)
    return options_.usual_requests;
  const double calm =
      std::clamp((granted_share_ - options_.overload_share) /
                     (options_.calm_share - options_.overload_share),
                 0.0, 1.0);
  // The limit of the lowest rank changes with the load without steps, since a
  // lower limit itself makes places easier to get.
  const double usual = options_.usual_requests;
  const double lowest =
      options_.min_requests + calm * (usual - options_.min_requests);
  return static_cast<uint32_t>(
      std::lround(lowest + rank * (options_.max_requests - lowest)));
}

}  // namespace fuchsiafall
