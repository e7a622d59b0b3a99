/// @file place_message.cc Messages by which entries request and release places
/// at agents.
#include "place_message_func.h"

#include <algorithm>
#include <cmath>

namespace fuchsiafall {

namespace {

constexpr size_t kMaxOrganisationBytes = 64;
/// Range of a slowdown that is sent, in percent.
constexpr double kMinSlowdownPercent = 1;
constexpr double kMaxSlowdownPercent = 1e6;

}  // namespace

bool IsInRange(const proto::place_question& message) {
  return message.priority() <= kMaxRank &&
         message.organisation().size() <= kMaxOrganisationBytes;
}

void WritePlaceRequest(const place_request& request,
                       proto::place_question* message) {
  message->set_call(request.call);
  message->set_prompt_tokens(request.prompt_tokens);
  message->set_answer_tokens(request.answer_tokens);
  message->set_patience_ms(
      static_cast<uint32_t>(request.first_token_budget.count()));
  message->set_time_left_ms(static_cast<uint32_t>(request.time_left.count()));
  message->set_is_resumed(request.is_resumed);
  message->set_priority(request.rank);
  message->set_organisation(
      request.organisation.substr(0, kMaxOrganisationBytes));
  message->set_is_first(request.is_first);
  message->set_may_wait(request.may_wait);
  message->set_fingerprint(request.traits.request.value);
  for (const fingerprint& part : request.traits.parts)
    message->add_parts(part.value);
}

place_request ReadPlaceRequest(const std::string& entry,
                               const proto::place_question& message) {
  place_request request{
      .entry = entry,
      .call = message.call(),
      .prompt_tokens = message.prompt_tokens(),
      .answer_tokens = message.answer_tokens(),
      .first_token_budget = milliseconds(message.patience_ms()),
      .time_left = milliseconds(message.time_left_ms()),
      .is_resumed = message.is_resumed(),
      .rank = std::min(message.priority(), kMaxRank),
      .organisation = message.organisation().substr(0, kMaxOrganisationBytes),
      .is_first = message.is_first(),
      .may_wait = message.may_wait(),
      .traits = {.request = fingerprint(message.fingerprint()), .parts = {}}};
  for (uint64_t part : message.parts())
    request.traits.parts.emplace_back(part);
  return request;
}

void WritePlaceReply(uint64_t call,
                     const place_reply& reply,
                     proto::place_answer* message) {
  message->set_call(call);
  message->set_is_granted(reply.is_granted);
  message->set_free_after_ms(
      static_cast<uint32_t>(reply.expected_free_in.count()));
  message->set_is_quarantined(reply.is_quarantined);
  message->set_quarantined_trait(reply.quarantined_trait.value);
  message->set_is_suspect(reply.is_suspect);
  message->set_load(reply.load);
  message->set_slots(reply.slots);
  message->set_most_answer_tokens(reply.max_answer_tokens);
  message->set_intact_version(reply.weights.version);
  message->set_server_started_at_ms(reply.weights.started_at_ms);
  message->set_is_queued(reply.is_queued);
  message->set_rank_free_after_ms(
      static_cast<uint32_t>(reply.rank_free_in.count()));
  if (reply.slowdown) {
    message->set_slowdown_percent(static_cast<uint32_t>(std::lround(std::clamp(
        *reply.slowdown * 100, kMinSlowdownPercent, kMaxSlowdownPercent))));
  }
}

place_reply ReadPlaceReply(const proto::place_answer& message) {
  std::optional<double> slowdown;
  if (message.slowdown_percent() > 0)
    slowdown = message.slowdown_percent() / 100.0;
  return {.is_granted = message.is_granted(),
          .is_queued = message.is_queued() && !message.is_granted(),
          .expected_free_in = milliseconds(message.free_after_ms()),
          .rank_free_in = milliseconds(message.rank_free_after_ms()),
          .slowdown = slowdown,
          .load = message.load(),
          .slots = message.slots(),
          .max_answer_tokens = message.most_answer_tokens(),
          .is_quarantined = message.is_quarantined(),
          .quarantined_trait = fingerprint(message.quarantined_trait()),
          .is_suspect = message.is_suspect(),
          .weights = {.version = message.intact_version(),
                      .started_at_ms = message.server_started_at_ms()}};
}

void WritePlaceRelease(uint64_t call,
                       attempt_result result,
                       proto::place_return* message) {
  message->set_call(call);
  message->set_was_broken(result == attempt_result::kBroken);
  message->set_was_answered(result == attempt_result::kAnswered);
  message->set_was_closed(result == attempt_result::kClosed);
}

attempt_result ReadAttemptResult(const proto::place_return& message) {
  if (message.was_broken())
    return attempt_result::kBroken;
  if (message.was_answered())
    return attempt_result::kAnswered;
  return message.was_closed() ? attempt_result::kClosed
                              : attempt_result::kOther;
}

}  // namespace fuchsiafall
