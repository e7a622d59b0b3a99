/// @file place_table_ranked.cc Places of a ranked service, which are granted in
/// order of precedence.
#include <algorithm>
#include <cmath>
#include <utility>

#include "engine_model_func.h"
#include "place_table_base.h"

namespace fuchsiafall {

namespace {

/// Interval of decisions without an event. With time alone prompts count as
/// prefilled, cold engines accept more, refusals age and requests become late.
constexpr milliseconds kDecisionInterval{20};
/// Lowest share of the slots that is expected to be left to a rank by higher
/// ranks: those below their floor still get some.
constexpr double kMinRankShare = 0.1;

/// Requests in the engine's queue that start in one pass of a full batch. With
/// fewer, slots stay empty until a grant arrives.
uint32_t StartsPerPass(const engine_profile& profile) {
  const double starts = profile.slots * profile.stride /
                        std::max(1.0, profile.mean_answer_tokens);
  return static_cast<uint32_t>(std::max(1.0, std::ceil(starts)));
}

waiting_place MakeWaiting(time_point now, const place_request& request) {
  return {.entry = request.entry,
          .call = request.call,
          .rank = std::min(request.rank, kMaxRank),
          .organisation = request.organisation,
          .prompt_tokens = request.prompt_tokens,
          .answer_tokens = request.answer_tokens,
          .is_resumed = request.is_resumed,
          .traits = request.traits,
          .asked_at = now,
          .late_at = now + request.first_token_budget,
          .ends_at = now + request.time_left,
          .is_late = request.first_token_budget <= milliseconds(0)};
}

/// Whether a denial shows that there are more calls than places.
bool IsShortage(place_cause cause) {
  return cause == place_cause::kNoPlace || cause == place_cause::kLate ||
         cause == place_cause::kOvertaken || cause == place_cause::kQueueFull;
}

}  // namespace

uint32_t place_table::LoadLimit(time_point now,
                                const engine_profile& profile,
                                const waiting_place& item) const {
  if (item.is_resumed)
    return profile.slots + options_.max_ahead;
  if (item.is_late)
    return profile.slots;
  // A request in the engine's queue delays all that come after it.
  if (shares_.AreHigherRefused(now, item.rank) &&
      !shares_.IsRankBelowFloor(item.rank)) {
    return profile.slots;
  }
  return profile.slots +
         std::min(options_.max_ahead,
                  options_.ranked_max_ahead.value_or(StartsPerPass(profile)));
}

place_table::ruling place_table::Judge(time_point now,
                                       const engine_profile& profile,
                                       const waiting_place& item) {
  if (now >= item.ends_at)
    return {.cause = place_cause::kLate};
  const uint32_t load = Load();
  const uint32_t limit = LoadLimit(now, profile, item);
  // Until there is room, the time after a grant at the limit counts.
  const uint32_t load_at_grant = std::min(load, std::max(1U, limit) - 1);
  const uint32_t running = std::min(load_at_grant, profile.slots);
  const duration first_token = FirstTokenTime(
      profile, running, load_at_grant - running,
      load < limit ? PendingPromptTokens(now) : 0, item.prompt_tokens);
  if (!item.is_resumed && !item.is_late && now + first_token > item.late_at)
    return {.cause = place_cause::kLate};
  if (!EndsBeforeLoad(now, profile, first_token, item.answer_tokens,
                      item.is_resumed)) {
    return {.cause = place_cause::kLoad};
  }
  if (load >= limit || !IsWithinColdRate(now))
    return {};
  if (shares_.IsRankBelowFloor(item.rank))
    return {.is_granted = true, .cause = place_cause::kFloor};
  return {.is_granted = true,
          .cause = queue_.size() > 1 ? place_cause::kPrecedence
                                     : place_cause::kFree};
}

duration place_table::ExpectedWait(time_point now,
                                   const engine_profile& profile,
                                   size_t index) const {
  const uint32_t limit = LoadLimit(now, profile, queue_.Items()[index]);
  const uint32_t over = Load() >= limit ? Load() - limit : 0;
  return SlotInterval(profile) * static_cast<int>(over + index + 1);
}

bool place_table::IsExpectedLate(time_point now,
                                 const engine_profile& profile,
                                 size_t index) const {
  const waiting_place& item = queue_.Items()[index];
  const uint32_t limit = std::max(1U, LoadLimit(now, profile, item));
  const uint32_t running = std::min(limit - 1, profile.slots);
  const duration first_token = FirstTokenTime(
      profile, running, limit - 1 - running, 0, item.prompt_tokens);
  return now + ExpectedWait(now, profile, index) + first_token > item.late_at;
}

void place_table::DecideInOrder(time_point now, const engine_profile& profile) {
  decided_at_ = now;
  queue_.Sort(now, &shares_);
  for (size_t i = 0; i < queue_.size();) {
    const ruling decided = Judge(now, profile, queue_.Items()[i]);
    if (decided.cause == place_cause::kNone) {
      ++i;
    } else if (!decided.is_granted) {
      Deny(now, profile, i, decided.cause);
    } else {
      waiting_place item = queue_.RemoveAt(i);
      AddPlace(now, item);
      shares_.OnGrant(now, item.rank, item.organisation);
      decisions_.push_back({.request = std::move(item),
                            .reply = {.is_granted = true,
                                      .load = Load(),
                                      .slots = profile.slots,
                                      .cause = decided.cause}});
      // The grant has changed the shares.
      queue_.Sort(now, &shares_);
      i = 0;
    }
  }
}

void place_table::Deny(time_point now,
                       const engine_profile& profile,
                       size_t index,
                       place_cause cause) {
  const duration interval = SlotInterval(profile);
  const uint32_t load = Load();
  const uint32_t running = std::min(load, profile.slots);
  place_reply reply{.load = load, .slots = profile.slots, .cause = cause};
  reply.expected_free_in = std::chrono::duration_cast<milliseconds>(
      interval * static_cast<int>(load - running + index + 1));
  if (drain_deadline_) {
    reply.max_answer_tokens =
        AnswerTokensWithin(profile, running + 1, *drain_deadline_ - now);
  }
  const duration wait = ExpectedWait(now, profile, index);
  waiting_place item = queue_.RemoveAt(index);
  const double share =
      1 - shares_.HigherDemandRate(item.rank) * ToSeconds(interval);
  reply.rank_free_in = std::chrono::duration_cast<milliseconds>(
      wait / std::max(share, kMinRankShare));
  if (IsShortage(cause) && !item.is_late && !item.is_resumed)
    shares_.OnRefusal(now, item.rank);
  decisions_.push_back({.request = std::move(item), .reply = reply});
}

void place_table::DenyAll(time_point now, place_cause cause) {
  const engine_profile profile = PredictionProfile(now);
  while (!queue_.empty()) {
    Deny(now, profile, queue_.size() - 1, cause);
    place_reply& reply = decisions_.back().reply;
    reply.slots = 0;
    reply.expected_free_in = ServesAgainIn(now);
    reply.rank_free_in = milliseconds(0);
  }
}

void place_table::DenyOvertaken(time_point now,
                                const engine_profile& profile,
                                size_t index) {
  for (size_t i = queue_.size(); i-- > index + 1;) {
    if (IsExpectedLate(now, profile, i))
      Deny(now, profile, i, place_cause::kOvertaken);
  }
}

std::optional<place_reply> place_table::TakeDecision(
    const place_request& request) {
  auto it = std::find_if(decisions_.begin(), decisions_.end(),
                         [&](const place_decision& item) {
                           return item.request.call == request.call &&
                                  item.request.entry == request.entry;
                         });
  if (it == decisions_.end())
    return std::nullopt;
  place_reply reply = it->reply;
  decisions_.erase(it);
  return reply;
}

place_reply place_table::RequestRankedPlace(time_point now,
                                            const place_request& request) {
  const engine_profile profile = PredictionProfile(now);
  const auto find_index = [&] {
    const waiting_place* item = queue_.Find(request.entry, request.call);
    return static_cast<size_t>(item - queue_.Items().data());
  };
  const auto make_queued_reply = [&](size_t index) {
    return place_reply{
        .is_queued = true,
        .expected_free_in = std::chrono::duration_cast<milliseconds>(
            ExpectedWait(now, profile, index)),
        .load = Load(),
        .slots = profile.slots};
  };
  if (queue_.Find(request.entry, request.call) != nullptr) {
    // The first reply was lost. A decision follows as a second reply.
    queue_.Sort(now, &shares_);
    return make_queued_reply(find_index());
  }
  if (request.is_first) {
    shares_.OnFirstRequest(now, std::min(request.rank, kMaxRank),
                           request.organisation);
  }
  if (!MayGrant(now))
    return {.expected_free_in = ServesAgainIn(now),
            .load = Load(),
            .cause = place_cause::kNotAccepting};
  queue_.Add(MakeWaiting(now, request));
  DecideInOrder(now, profile);
  if (auto reply = TakeDecision(request))
    return *reply;
  const size_t index = find_index();
  if (!request.may_wait || request.is_resumed ||
      queue_.Items()[index].is_late) {
    Deny(now, profile, index, place_cause::kNoPlace);
  } else if (IsExpectedLate(now, profile, index)) {
    Deny(now, profile, index, place_cause::kLate);
  } else {
    DenyOvertaken(now, profile, index);
    if (queue_.size() > options_.max_waiting)
      Deny(now, profile, queue_.size() - 1, place_cause::kQueueFull);
  }
  if (auto reply = TakeDecision(request))
    return *reply;
  return make_queued_reply(index);
}

std::vector<place_decision> place_table::DecideWaiting(time_point now) {
  if (!queue_.empty()) {
    // Places of services without ranks are not granted by precedence.
    if (!MayGrant(now) || !is_ranked_) {
      DenyAll(now, place_cause::kNotAccepting);
    } else {
      DecideInOrder(now, PredictionProfile(now));
    }
  }
  for (place_decision& decision : decisions_)
    decision.reply.slowdown = ReportedSlowdown(now);
  return std::exchange(decisions_, {});
}

std::optional<time_point> place_table::NextDue() const {
  if (!decisions_.empty())
    return decided_at_;
  if (queue_.empty())
    return std::nullopt;
  return decided_at_ + kDecisionInterval;
}

}  // namespace fuchsiafall
