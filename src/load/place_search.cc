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
/// Place requests beyond the usual number may take the target latency divided
/// by this. The rest is needed to wait for and to compute the first token.
constexpr int kTargetToSearchRatio = 4;
/// The same for the lowest of many ranks under overload, as a share of that
/// time. A refusal within an eighth of the target latency costs its caller
/// nothing.
constexpr double kLowRankTimeShare = 0.5;

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

void place_search::Record(time_point now,
                          bool is_granted,
                          reply_history* history) const {
  if (!IsRecent(now, *history))
    history->granted_share = 1;
  history->last_reply_at = now;
  history->granted_share +=
      ((is_granted ? 1 : 0) - history->granted_share) * kSampleWeight;
}

void place_search::OnReply(time_point now, bool is_granted) {
  Record(now, is_granted, &unranked_);
}

void place_search::OnRankedReply(time_point now,
                                 uint32_t rank,
                                 bool is_granted) {
  Record(now, is_granted, &ranks_.at(std::min(rank, kMaxRank)));
}

double place_search::CalmAt(double granted_share) const {
  return std::clamp((granted_share - options_.overload_share) /
                        (options_.calm_share - options_.overload_share),
                    0.0, 1.0);
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
  if (!IsRecent(now, unranked_))
    return options_.usual_requests;
  const double calm = CalmAt(unranked_.granted_share);
  // The limit of the lowest rank changes with the load without steps, since a
  // lower limit itself makes places easier to get.
  const double usual = options_.usual_requests;
  const double lowest =
      options_.min_requests + calm * (usual - options_.min_requests);
  return static_cast<uint32_t>(
      std::lround(lowest + rank * (options_.max_requests - lowest)));
}

search_limits place_search::Limits(time_point now,
                                   double yield_rank,
                                   milliseconds target_latency) const {
  return {.requests = MaxRequests(now, yield_rank),
          .untimed_requests = options_.usual_requests,
          .search_time = target_latency / kTargetToSearchRatio};
}

search_limits place_search::RankedLimits(time_point now,
                                         uint32_t rank,
                                         double yield_rank,
                                         milliseconds target_latency) const {
  const reply_history& own = ranks_.at(std::min(rank, kMaxRank));
  double granted_share = IsRecent(now, own) ? own.granted_share : 1;
  int higher_ranks = 0;
  for (const reply_history* other = ranks_.data(); other != &own; ++other) {
    if (!IsRecent(now, *other))
      continue;
    ++higher_ranks;
    granted_share = std::min(granted_share, other->granted_share);
  }
  const double calm = CalmAt(granted_share);
  // Under overload each rank has its own range of the number of requests. The
  // ranges of lower ranks halve, so that they do not depend on how many there
  // are.
  const double part = std::ldexp(1.0, -higher_ranks);
  const double usual = options_.usual_requests;
  const double least = options_.min_ranked_requests;
  const double most = options_.max_requests;
  const auto blend = [calm](double overloaded, double calm_value) {
    return overloaded + calm * (calm_value - overloaded);
  };
  const double highest = blend(least + (most - least) * part, most);
  const double lowest = blend(least + (most - least) * part / 2, usual);
  const double time_share =
      blend(kLowRankTimeShare + (1 - kLowRankTimeShare) * part, 1);
  return {.requests = static_cast<uint32_t>(
              std::lround(lowest + yield_rank * (highest - lowest))),
          .untimed_requests =
              static_cast<uint32_t>(std::lround(std::min(usual, lowest))),
          .search_time = std::chrono::duration_cast<duration>(
              target_latency / kTargetToSearchRatio * time_share)};
}

}  // namespace fuchsiafall
