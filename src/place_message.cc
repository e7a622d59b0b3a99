/// @file place_message.cc Messages by which entries request and release places
/// at agents.
#include "place_message_func.h"

namespace fuchsiafall {

void WritePlaceRequest(const place_request& request,
                       proto::place_question* message) {
  message->set_call(request.call);
  message->set_prompt_tokens(request.prompt_tokens);
  message->set_answer_tokens(request.answer_tokens);
  message->set_patience_ms(
      static_cast<uint32_t>(request.first_token_budget.count()));
  message->set_time_left_ms(static_cast<uint32_t>(request.time_left.count()));
  message->set_is_resumed(request.is_resumed);
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
}

place_reply ReadPlaceReply(const proto::place_answer& message) {
  return {.is_granted = message.is_granted(),
          .expected_free_in = milliseconds(message.free_after_ms()),
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
