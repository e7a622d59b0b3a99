/// @file call_dispatch_reply.cc Replies of agents to the place requests of a
/// hosted call, and its waits in their queues.
#include <algorithm>

#include "call_dispatch_base.h"

namespace fuchsiafall {

namespace {

/// A wait ends at the latest this long before the caller's timeout.
constexpr milliseconds kMinTimeLeft{20};

/// Callers honour a Retry-After of at most this fraction of their time left.
constexpr int kTimeLeftToRetryRatio = 3;

}  // namespace

void call_dispatch::RecordPlaceReply(time_point now,
                                     const pending_inquiry& asked,
                                     const place_reply& reply) {
  const std::string& server = asked.server.id;
  selector_.OnPlaceAnswered(server);
  selector_.OnLoad(now, server, reply.load, reply.slots);
  if (reply.slowdown)
    selector_.OnSlowdown(now, server, *reply.slowdown);
  selector_.SetAnswerLimit(server, reply.max_answer_tokens);
  // Agents vouch for weights anew in the last reply to one that waited.
  selector_.SetIntactWeights(
      pause_watch_.EarliestSent(asked, options_.place_timeout), server,
      reply.weights);
}

void call_dispatch::OnPlaceReply(time_point now,
                                 uint64_t place_request_id,
                                 const place_reply& reply) {
  auto open = open_place_requests_.find(place_request_id);
  if (open == open_place_requests_.end()) {
    // CancelPlaceRequest() has released the place.
    OnCancelledPlaceReply(now, place_request_id, reply);
    return;
  }
  call_state& call = calls_.at(open->second);
  RecordPlaceReply(now, *call.place_inquiry, reply);
  if (reply.is_queued)
    return OnPlaceQueued(now, &call, reply);
  open_place_requests_.erase(open);
  const pending_inquiry asked =
      *std::exchange(call.place_inquiry, std::nullopt);
  EndWait(now, &call, asked, reply.is_granted ? "granted" : "denied");
  const std::string& server = asked.server.id;
  const time_point sent_after =
      pause_watch_.EarliestSent(asked, options_.place_timeout);
  if (reply.is_granted && now - sent_after > options_.max_grant_age) {
    hooks_.release_place(asked.server, asked.id, attempt_result::kOther);
    hooks_.count("grants_expired");
    return Dispatch(now, &call);
  }
  const bool is_for_other_version = call.weights &&
                                    reply.weights.version != 0 &&
                                    reply.weights.version != *call.weights;
  if (reply.is_granted &&
      (is_for_other_version || !IsStillEligible(now, call, server))) {
    hooks_.release_place(asked.server, asked.id, attempt_result::kOther);
    hooks_.count("grants_outdated");
    return Dispatch(now, &call);
  }
  if (!reply.is_granted)
    return OnPlaceDenied(now, &call, server, reply);
  RecordSearch(now, call, true);
  Send(now, &call, asked.server,
       granted_place{.id = asked.id, .is_suspect = reply.is_suspect});
}

void call_dispatch::RecordSearch(time_point now,
                                 const call_state& call,
                                 bool is_granted) {
  // Repeated searches beside silent attempts would outweigh the calls whose
  // number of requests they limit.
  if (call.has_attempt)
    return;
  if (call.is_ranked) {
    place_search_.OnRankedReply(now, call.route_rank, is_granted);
  } else {
    place_search_.OnReply(now, is_granted);
  }
}

void call_dispatch::OnPlaceDenied(time_point now,
                                  call_state* call,
                                  const std::string& server,
                                  const place_reply& reply) {
  if (reply.is_quarantined) {
    OnQuarantined(now, reply.quarantined_trait);
    return OnNoServer(now, call, call_refusal::kQuarantined);
  }
  const bool is_serving = reply.slots > 0;
  if (is_serving)
    RecordSearch(now, *call, false);
  selector_.OnFull(now, server,
                   is_serving ? reply.expected_free_in : milliseconds(0));
  // A server without usable weights tells when it expects to serve.
  const milliseconds free_in =
      is_serving
          ? reply.expected_free_in
          : std::min(
                reply.expected_free_in,
                std::chrono::duration_cast<milliseconds>(call->deadline - now) /
                    kTimeLeftToRetryRatio);
  if ((is_serving || free_in > milliseconds(0)) &&
      (!call->expected_free_in || free_in < *call->expected_free_in)) {
    call->expected_free_in = free_in;
  }
  if (call->is_ranked && reply.rank_free_in > milliseconds(0) &&
      (!call->rank_free_in || reply.rank_free_in < *call->rank_free_in)) {
    call->rank_free_in = reply.rank_free_in;
  }
  hooks_.count("place_denied");
  Dispatch(now, call);
}

void call_dispatch::OnPlaceQueued(time_point now,
                                  call_state* call,
                                  const place_reply& reply) {
  pending_inquiry& asked = *call->place_inquiry;
  // A repeated reply must not extend the wait.
  if (asked.is_queued)
    return;
  selector_.OnFull(now, asked.server.id, reply.expected_free_in);
  const duration first_token = std::chrono::duration_cast<duration>(
      call->first_token_time * std::max(1.0, reply.slowdown.value_or(1)));
  // The caller of a resumed stream already has its first token.
  const time_point latest_start = call->is_streaming
                                      ? call->deadline - kMinTimeLeft
                                      : call->target_deadline - first_token;
  const auto wait_end = FindWaitEnd(now, reply.expected_free_in,
                                    options_.place_timeout, latest_start);
  if (!asked.may_wait || !wait_end) {
    hooks_.count("waits_in_vain");
    RecordSearch(now, *call, false);
    CancelPlaceRequest(now, call);
    return Dispatch(now, call);
  }
  asked.is_queued = true;
  asked.queued_at = now;
  asked.timeout_at = *wait_end;
  ++waiting_calls_;
  pause_watch_.Start(now);
  rank_counts_.AddWaiting(call->rank, call->tenant, 1);
  hooks_.count("waits");
  hooks_.log(
      log_event::kCallWaits,
      Describe(now, *call) + " agent=" + asked.server.id +
          " expected_ms=" + std::to_string(reply.expected_free_in.count()) +
          " max_ms=" + std::to_string(ToMs(asked.timeout_at - now)) +
          " load=" + std::to_string(reply.load));
}

void call_dispatch::EndWait(time_point now,
                            call_state* call,
                            const pending_inquiry& asked,
                            std::string_view outcome) {
  if (!asked.is_queued)
    return;
  call->waited += now - asked.queued_at;
  if (--waiting_calls_ == 0)
    pause_watch_.Stop();
  rank_counts_.AddWaiting(call->rank, call->tenant, -1);
  const std::string text(outcome);
  CountByRank(*call, "waits_ended", text);
  hooks_.record_duration("wait", now - asked.queued_at);
  hooks_.log(log_event::kWaitEnded,
             Describe(now, *call) + " agent=" + asked.server.id +
                 " wait_ms=" + std::to_string(ToMs(now - asked.queued_at)) +
                 " outcome=" + text);
}

void call_dispatch::OnPlaceTimeout(time_point now, call_state* call) {
  const bool has_waited = call->place_inquiry->is_queued;
  if (has_waited) {
    // Requests of higher precedence may have come before it, so the agent is
    // not known to be silent.
    RecordSearch(now, *call, false);
  } else {
    selector_.OnPlaceTimeout(now, call->place_inquiry->server.id);
    hooks_.count("asks_silent");
  }
  CancelPlaceRequest(now, call, "over");
  Dispatch(now, call);
}

void call_dispatch::OnCancelledPlaceReply(time_point now,
                                          uint64_t place_request_id,
                                          const place_reply& reply) {
  auto it = cancelled_place_requests_.find(place_request_id);
  if (it == cancelled_place_requests_.end())
    return;
  const cancelled_inquiry asked = std::move(it->second);
  cancelled_place_requests_.erase(it);
  if (now - asked.requested_at > options_.agent_timeout)
    return;
  selector_.OnLatePlaceReply(asked.server);
  if (reply.slowdown)
    selector_.OnSlowdown(now, asked.server, *reply.slowdown);
  selector_.SetIntactWeights(asked.requested_at, asked.server, reply.weights);
  hooks_.count("asks_answered_late");
}

void call_dispatch::CancelPlaceRequest(time_point now,
                                       call_state* call,
                                       std::string_view outcome) {
  if (!call->place_inquiry)
    return;
  const pending_inquiry asked =
      *std::exchange(call->place_inquiry, std::nullopt);
  EndWait(now, call, asked, outcome);
  open_place_requests_.erase(asked.id);
  cancelled_place_requests_[asked.id] = {.server = asked.server.id,
                                         .requested_at = asked.requested_at};
  // The place may have been granted and the reply not received yet.
  hooks_.release_place(asked.server, asked.id, attempt_result::kOther);
}

void call_dispatch::CountByRank(const call_state& call,
                                const std::string& event,
                                std::string_view detail) {
  if (call.is_ranked)
    rank_counts_.Count(event, call.rank, call.tenant, std::string(detail));
}

std::string call_dispatch::DescribeRank(time_point now,
                                        const call_state& call) {
  duration waited = call.waited;
  if (call.place_inquiry && call.place_inquiry->is_queued)
    waited += now - call.place_inquiry->queued_at;
  return " rank=" + std::to_string(call.rank) +
         " organisation=" + PrintableName(call.tenant) +
         " waited_ms=" + std::to_string(ToMs(waited));
}

}  // namespace fuchsiafall
