/// @file call_dispatch_place.cc Choice of the server of a hosted call, and its
/// requests for places.
#include <algorithm>

#include "call_dispatch_base.h"

namespace fuchsiafall {

namespace {

/// An attempt with less time left than this cannot be answered in time.
constexpr milliseconds kMinTimeLeft{20};

}  // namespace

bool call_dispatch::MayRequestPlace(time_point now,
                                    const call_state& call) const {
  const search_limits limits =
      call.is_ranked
          ? place_search_.RankedLimits(now, call.route_rank, call.yield_rank,
                                       call.route.target_latency)
          : place_search_.Limits(now, call.yield_rank,
                                 call.route.target_latency);
  // The caller already has part of the answer of a resumed stream.
  const uint32_t usual = options_.place_search.usual_requests;
  const uint32_t limit = call.is_streaming ? usual : limits.requests;
  const uint32_t untimed = call.is_streaming ? usual : limits.untimed_requests;
  if (call.place_request_count >= limit)
    return false;
  return call.place_request_count < untimed ||
         now - call.arrived_at < limits.search_time;
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
    const bool is_last_server = call->place_request_count + 1 >= ranked.size();
    const bool may_wait =
        call->is_ranked &&
        (is_last_server ||
         call->place_request_count >= options_.requests_without_wait);
    return RequestPlace(now, call, *server, may_wait);
  }
  OnNoServer(now, call, call_refusal::kNoPlace);
}

void call_dispatch::RequestPlace(time_point now,
                                 call_state* call,
                                 const site_server& server,
                                 bool may_wait) {
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
                         .timeout_at = now + options_.place_timeout,
                         .may_wait = may_wait};
  open_place_requests_[id] = call->id;
  place_request request{.call = id,
                        .prompt_tokens = call->request.prompt_tokens,
                        .answer_tokens = call->expected_tokens,
                        .is_resumed = call->is_streaming,
                        .traits = call->request.traits};
  if (call->is_ranked) {
    request.rank = call->rank;
    request.organisation = call->tenant;
    // Repeats are no further demand: a caller that asks again gains nothing.
    request.is_first = !call->has_asked && !call->is_retry;
    request.may_wait = may_wait;
  }
  call->has_asked = true;
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

}  // namespace fuchsiafall
