/// @file call_dispatch_place.cc Choice of the server of a hosted call, and the
/// requests for places.
#include <algorithm>

#include "call_dispatch_base.h"

namespace fuchsiafall {

namespace {

/// An attempt with less time left than this cannot be answered in time.
constexpr milliseconds kMinTimeLeft{20};

/// Place requests beyond the usual number may take the target latency divided
/// by this. The rest is needed to wait for and to compute the first token.
constexpr int kTargetToSearchRatio = 4;

/// Callers honour a Retry-After of at most this fraction of their time left.
constexpr int kTimeLeftToRetryRatio = 3;

}  // namespace

bool call_dispatch::MayRequestPlace(time_point now,
                                    const call_state& call) const {
  const uint32_t usual = options_.place_search.usual_requests;
  // The caller already has part of the answer of a resumed stream.
  const uint32_t limit = call.is_streaming
                             ? usual
                             : place_search_.MaxRequests(now, call.yield_rank);
  if (call.place_request_count >= limit)
    return false;
  return call.place_request_count < usual ||
         now - call.arrived_at <
             call.route.target_latency / kTargetToSearchRatio;
}

std::optional<call_refusal> call_dispatch::FindObstacle(
    time_point now,
    const call_state& call) const {
  if (call.deadline - now < kMinTimeLeft)
    return call_refusal::kTimedOut;
  if (call.has_key && !IsFresh(now))
    return call_refusal::kStateTooOld;
  const request_traits& traits = call.request.traits;
  const bool is_quarantined =
      call.is_model
          ? agent_quarantines_.FindQuarantined(now, traits).has_value()
          : server_crashes_.IsQuarantined(now, traits);
  if (is_quarantined)
    return call_refusal::kQuarantined;
  return std::nullopt;
}

void call_dispatch::Dispatch(time_point now, call_state* call) {
  if (const auto obstacle = FindObstacle(now, *call))
    return OnNoServer(now, call, *obstacle);
  if (call->attempt > 0 && !budget_.HasRetry(now)) {
    hooks_.count("retries_over_budget");
    return OnNoServer(now, call, call_refusal::kNoRetry);
  }
  if (call->is_model) {
    DispatchModelCall(now, call);
  } else {
    DispatchPlainCall(now, call);
  }
}

void call_dispatch::OnNoEligibleServer(time_point now, call_state* call) {
  if (const auto until = selector_.FirstPauseEnd(now, QueryOf(*call))) {
    call->expected_free_in =
        std::chrono::duration_cast<milliseconds>(*until - now);
  }
  OnNoServer(now, call, call_refusal::kNoServer);
}

void call_dispatch::DispatchModelCall(time_point now, call_state* call) {
  const auto ranked = selector_.Rank(now, QueryOf(*call));
  if (ranked.empty())
    return OnNoEligibleServer(now, call);
  if (!MayRequestPlace(now, *call))
    return OnNoServer(now, call, call_refusal::kNoPlace);
  server_query query_without_place = QueryOf(*call);
  query_without_place.is_without_place = true;
  for (const site_server* server : ranked) {
    if (call->asked_servers.contains(server->id))
      continue;
    const server_health& health = selector_.Health(server->id);
    const bool is_unresponsive = health.unanswered_place_requests > 1;
    const bool is_agent_down =
        is_unresponsive && health.unanswered_since &&
        now - *health.unanswered_since > options_.agent_timeout;
    if (is_agent_down && health.in_flight < options_.max_without_place &&
        server->cold_remaining == milliseconds(0) &&
        selector_.IsEligible(now, *server, query_without_place)) {
      // The agent does not answer, but the server itself may be healthy.
      return Send(now, call, *server, std::nullopt);
    }
    if (is_unresponsive && !is_agent_down)
      continue;
    return RequestPlace(now, call, *server);
  }
  OnNoServer(now, call, call_refusal::kNoPlace);
}

void call_dispatch::RequestPlace(time_point now,
                                 call_state* call,
                                 const site_server& server) {
  std::erase_if(cancelled_place_requests_, [&](const auto& item) {
    return now - item.second.requested_at > options_.agent_timeout;
  });
  if (!call->has_attempt)
    call->server = server;
  call->asked_servers.insert(server.id);
  ++call->place_request_count;
  const uint64_t id = next_place_request_id_++;
  call->place_inquiry = {.id = id,
                         .server = server,
                         .requested_at = now,
                         .timeout_at = now + options_.place_timeout};
  open_place_requests_[id] = call->id;
  place_request request{.call = id,
                        .prompt_tokens = call->request.prompt_tokens,
                        .answer_tokens = call->request.hinted_tokens,
                        .is_resumed = call->is_streaming,
                        .traits = call->request.traits};
  request.first_token_budget = std::chrono::duration_cast<milliseconds>(
      std::max<duration>(duration(0), call->target_deadline - now));
  request.time_left =
      std::chrono::duration_cast<milliseconds>(call->deadline - now);
  hooks_.request_place(server, request);
}

void call_dispatch::DispatchPlainCall(time_point now, call_state* call) {
  const auto ranked = selector_.Rank(now, QueryOf(*call));
  if (ranked.empty())
    return OnNoEligibleServer(now, call);
  Send(now, call, *ranked.front(), std::nullopt);
}

bool call_dispatch::IsStillEligible(time_point now,
                                    const call_state& call,
                                    const std::string& id) const {
  const auto& servers = index_->Servers(call.service);
  return std::any_of(servers.begin(), servers.end(),
                     [&](const site_server* server) {
                       return server->id == id &&
                              selector_.IsEligible(now, *server, QueryOf(call));
                     });
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
  open_place_requests_.erase(open);
  const inquiry asked = *std::exchange(call.place_inquiry, std::nullopt);
  const std::string& server = asked.server.id;
  selector_.OnPlaceAnswered(server);
  selector_.OnLoad(now, server, reply.load, reply.slots);
  selector_.SetAnswerLimit(server, reply.max_answer_tokens);
  selector_.SetIntactWeights(asked.requested_at, server, reply.weights);
  if (reply.is_granted && now - asked.requested_at > options_.max_grant_age) {
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
  // Repeated searches beside silent attempts would outweigh the calls whose
  // number of requests they limit.
  const bool is_sample = !call.has_attempt;
  if (reply.is_granted) {
    if (is_sample)
      place_search_.OnReply(now, true);
    return Send(now, &call, asked.server,
                granted_place{.id = asked.id, .is_suspect = reply.is_suspect});
  }
  if (reply.is_quarantined) {
    OnQuarantined(now, reply.quarantined_trait);
    return OnNoServer(now, &call, call_refusal::kQuarantined);
  }
  if (is_sample && reply.slots > 0)
    place_search_.OnReply(now, false);
  const bool is_serving = reply.slots > 0;
  selector_.OnFull(now, server,
                   is_serving ? reply.expected_free_in : milliseconds(0));
  // A server without usable weights tells when it expects to serve.
  const milliseconds free_in =
      is_serving
          ? reply.expected_free_in
          : std::min(
                reply.expected_free_in,
                std::chrono::duration_cast<milliseconds>(call.deadline - now) /
                    kTimeLeftToRetryRatio);
  if ((is_serving || free_in > milliseconds(0)) &&
      (!call.expected_free_in || free_in < *call.expected_free_in)) {
    call.expected_free_in = free_in;
  }
  hooks_.count("place_denied");
  Dispatch(now, &call);
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
  selector_.SetIntactWeights(asked.requested_at, asked.server, reply.weights);
  hooks_.count("asks_answered_late");
}

void call_dispatch::CancelPlaceRequest(call_state* call) {
  if (!call->place_inquiry)
    return;
  const inquiry asked = *std::exchange(call->place_inquiry, std::nullopt);
  open_place_requests_.erase(asked.id);
  cancelled_place_requests_[asked.id] = {.server = asked.server.id,
                                         .requested_at = asked.requested_at};
  // The place may have been granted and the reply not received yet.
  hooks_.release_place(asked.server, asked.id, attempt_result::kOther);
}

}  // namespace fuchsiafall
