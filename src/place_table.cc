/// @file place_table.cc Admission slots of one model server, granted by its
/// agent.
#include <algorithm>

#include "engine_model_func.h"
#include "place_table_base.h"

namespace fuchsiafall {

namespace {

/// Prompts granted within this time count as not prefilled yet. It is about the
/// time of one pass including prefill, at the usual speed of the engine.
constexpr milliseconds kPrefillPendingTime{100};
/// Time for the release message after the caller's time limit. A place expires
/// after both.
constexpr milliseconds kExpiryMargin{500};

}  // namespace

void place_table::OnReport(time_point now, const staged_engine_report& report) {
  report_ = report;
  reported_at_ = now;
  slowdown_.Set(now, report.slowdown);
  std::erase_if(
      places_, [&](const auto& item) { return now >= item.second.expires_at; });
  const size_t requests = report.running + report.waiting;
  // Requests of recently granted places may not have reached the engine yet.
  const auto settled_places = static_cast<size_t>(
      std::count_if(places_.begin(), places_.end(), [&](const auto& item) {
        return now - item.second.granted_at > options_.leak_timeout;
      }));
  if (settled_places <= requests) {
    surplus_since_ = now;
    return;
  }
  if (now - surplus_since_ < options_.leak_timeout)
    return;
  // The oldest place most probably belongs to a finished request.
  auto oldest = std::min_element(
      places_.begin(), places_.end(), [](const auto& a, const auto& b) {
        return a.second.granted_at < b.second.granted_at;
      });
  places_.erase(oldest);
}

void place_table::OnEngineRestart(time_point now) {
  places_.clear();
  report_ = {};
  slowdown_.Reset();
  surplus_since_ = now;
}

uint32_t place_table::Load() const {
  return std::max(static_cast<uint32_t>(places_.size()),
                  report_.running + report_.waiting);
}

uint64_t place_table::PendingPromptTokens(time_point now) const {
  const auto pending_time =
      std::chrono::duration_cast<duration>(kPrefillPendingTime * Slowdown(now));
  uint64_t tokens = 0;
  for (const auto& [key, item] : places_) {
    if (now - item.granted_at < pending_time)
      tokens += item.prompt_tokens;
  }
  return tokens;
}

bool place_table::MayGrant(time_point now) const {
  const bool has_free_slot = Load() < profile_.slots && report_.waiting == 0;
  const auto& end = has_free_slot ? free_slot_grants_end_ : grants_end_;
  if (!is_accepting_ || (end && now > *end))
    return false;
  return options_.max_report_age.count() == 0 ||
         (reported_at_ && now - *reported_at_ <= options_.max_report_age);
}

milliseconds place_table::ServesAgainIn(time_point now) const {
  if (!serves_again_at_ || *serves_again_at_ <= now)
    return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(*serves_again_at_ - now);
}

bool place_table::IsWithinColdRate(time_point now) {
  while (!recent_grants_.empty() && now - recent_grants_.front() > seconds(1))
    recent_grants_.pop_front();
  if (now >= cold_until_ || cold_rate_ <= 0)
    return true;
  return static_cast<double>(recent_grants_.size()) + 1 <= cold_rate_;
}

bool place_table::EndsBeforeLoad(time_point now,
                                 const engine_profile& profile,
                                 duration first_token,
                                 uint32_t answer_tokens,
                                 bool is_resumed) const {
  if (!drain_deadline_)
    return true;
  // The remaining length of a resumed answer is unknown, so it may not finish
  // in time; another server resumes it.
  if (is_resumed)
    return false;
  const uint32_t running = std::min(Load(), profile.slots);
  return now + first_token + RunTime(profile, running + 1, answer_tokens) <=
         *drain_deadline_;
}

void place_table::AddPlace(time_point now, const waiting_place& request) {
  recent_grants_.push_back(now);
  places_[{request.entry, request.call}] = {
      .granted_at = now,
      .expires_at = request.ends_at + kExpiryMargin,
      .prompt_tokens = request.prompt_tokens,
      .traits = request.traits};
}

engine_profile place_table::PredictionProfile(time_point now) const {
  return SlowedProfile(profile_, Slowdown(now));
}

std::optional<double> place_table::ReportedSlowdown(time_point now) const {
  if (!reported_at_)
    return std::nullopt;
  return Slowdown(now);
}

place_reply place_table::RequestPlace(time_point now,
                                      const place_request& request) {
  place_reply reply{.slowdown = ReportedSlowdown(now),
                    .load = Load(),
                    .slots = profile_.slots};
  if (places_.contains({request.entry, request.call})) {
    reply.is_granted = true;  // The reply to an earlier request was lost.
    return reply;
  }
  if (is_ranked_) {
    reply = RequestRankedPlace(now, request);
    reply.slowdown = ReportedSlowdown(now);
    return reply;
  }
  if (!MayGrant(now)) {
    reply.slots = 0;
    reply.expected_free_in = ServesAgainIn(now);
    return reply;
  }
  const engine_profile profile = PredictionProfile(now);
  const uint32_t load = Load();
  const uint32_t running = std::min(load, profile.slots);
  const uint32_t ahead = load - running;
  const duration first_token = FirstTokenTime(
      profile, running, ahead, PendingPromptTokens(now), request.prompt_tokens);
  bool is_admitted = false;
  if (request.is_resumed) {
    // Its caller already has part of the answer, which a denial would waste.
    is_admitted = ahead < options_.max_ahead;
  } else if (request.first_token_budget > milliseconds(0)) {
    is_admitted =
        ahead < options_.max_ahead && first_token <= request.first_token_budget;
  } else {
    // Late answers are worth less than timely ones: they only get free slots.
    is_admitted = load < profile.slots;
  }
  if (drain_deadline_) {
    reply.max_answer_tokens = AnswerTokensWithin(
        profile, running + 1, *drain_deadline_ - now - first_token);
  }
  is_admitted =
      is_admitted && EndsBeforeLoad(now, profile, first_token,
                                    request.answer_tokens, request.is_resumed);
  if (!is_admitted || !IsWithinColdRate(now)) {
    reply.expected_free_in = std::chrono::duration_cast<milliseconds>(
        SlotInterval(profile) * static_cast<int>(ahead + 1));
    return reply;
  }
  AddPlace(now, {.entry = request.entry,
                 .call = request.call,
                 .prompt_tokens = request.prompt_tokens,
                 .traits = request.traits,
                 .ends_at = now + request.time_left});
  reply.is_granted = true;
  reply.load = Load();
  return reply;
}

std::optional<released_place> place_table::Release(time_point now,
                                                   const std::string& entry,
                                                   uint64_t call) {
  auto it = places_.find({entry, call});
  if (it == places_.end()) {
    if (auto waiting = queue_.Remove(entry, call)) {
      decisions_.push_back({.request = std::move(*waiting),
                            .reply = {.cause = place_cause::kReleased}});
    }
    return std::nullopt;
  }
  released_place released{.granted_at = it->second.granted_at,
                          .traits = std::move(it->second.traits)};
  places_.erase(it);
  // The last engine report still includes this request.
  if (report_.waiting > 0) {
    --report_.waiting;
  } else if (report_.running > 0) {
    --report_.running;
  }
  if (places_.size() <= report_.running + report_.waiting)
    surplus_since_ = now;
  return released;
}

}  // namespace fuchsiafall
