/// @file call_dispatch.cc Dispatch of callers' requests at a hosted entry.
#include "call_dispatch_base.h"

#include <algorithm>

#include "network/http_status.h"

namespace fuchsiafall {

namespace {

/// Time limit of callers that set none.
constexpr milliseconds kDefaultTimeLimit{30000};
/// An attempt with less time left than this cannot be answered in time.
constexpr milliseconds kMinTimeLeft{20};

/// Place requests beyond the usual number may take the target latency divided
/// by this. The rest is needed to wait for and to compute the first token.
constexpr int kTargetToSearchRatio = 4;

/// The first request of a caller allows somewhat less time than the timeout of
/// the route. One with less than this share of it is a retry.
constexpr double kFirstRequestTimeShare = 0.84;

constexpr std::string_view kRefusalTexts[] = {
    "no configuration yet",
    "belief too old",
    "no route",
    "unknown key",
    "no server",
    "no place in time",
    "timed out",
    "server failed",
    "quarantined",
    "leaving",
};

}  // namespace

std::string_view TextOf(call_refusal reason) {
  return kRefusalTexts[static_cast<size_t>(reason)];
}

call_dispatch::call_dispatch(call_dispatch_options options,
                             call_dispatch_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(options_.seed),
      selector_(options_.selector),
      place_search_(options_.place_search),
      budget_(options_.budget) {}

void call_dispatch::SetIndex(const site_index* index) {
  index_ = index;
  selector_.SetIndex(index);
  budget_.SetEntryCount(index->View().entry_count);
}

bool call_dispatch::IsFresh(time_point now) const {
  return index_ != nullptr &&
         now - confirmed_at_ < options_.revoke_bound - options_.revoke_margin;
}

bool call_dispatch::IsCurrent(time_point now) const {
  return index_ != nullptr && now - confirmed_at_ < options_.config_bound;
}

server_query call_dispatch::QueryOf(const call_state& call) const {
  return {.service = call.service,
          .route_regions = &call.route.regions,
          .tenant_regions = &call.tenant_regions,
          .model = call.is_model ? call.request.model : std::string(),
          .tried = &call.tried,
          .answer_tokens = call.request.hinted_tokens,
          .weights = call.weights};
}

std::string call_dispatch::Describe(time_point now,
                                    const call_state& call) const {
  return "id=" + call.request.id + " route=" + call.route.name +
         " service=" + call.service + " server=" + call.server.id +
         " tokens=" + std::to_string(call.request.prompt_tokens) + "," +
         std::to_string(call.request.answer_tokens) + "," +
         std::to_string(call.request.hinted_tokens) +
         " attempt=" + std::to_string(call.attempt) +
         " asks=" + std::to_string(call.place_request_count) +
         " after_ms=" + std::to_string(ToMs(now - call.arrived_at)) +
         " left_ms=" + std::to_string(ToMs(call.deadline - now)) + " config=" +
         std::to_string(
             index_ == nullptr ? 0 : index_->View().configuration.version) +
         " sound_ms=" + std::to_string(ToMs(now - confirmed_at_));
}

void call_dispatch::OnRequest(time_point now,
                              uint64_t id,
                              const caller_call& request,
                              const std::string& target,
                              time_point arrived_at) {
  call_state& call = calls_[id];
  call.id = id;
  call.request = request;
  call.arrived_at = arrived_at;
  call.deadline = arrived_at + request.time_left.value_or(kDefaultTimeLimit);
  call.last_event = request.last_event;
  hooks_.count("requests");
  if (index_ == nullptr || index_->View().configuration.version == 0)
    return Refuse(now, &call, call_refusal::kNoConfiguration);
  const site_route* route = index_->FindRoute(request.host, target);
  if (route == nullptr) {
    return Refuse(
        now, &call,
        IsCurrent(now) ? call_refusal::kNoRoute : call_refusal::kStateTooOld);
  }
  call.route = *route;
  call.kind = route->kind;
  if (route->timeout > milliseconds(0))
    call.deadline = std::min(call.deadline, arrived_at + route->timeout);
  if (!EndsBeforeExit(now, call))
    return Refuse(now, &call, call_refusal::kLeaving);
  if (!route->is_anonymous && !index_->View().configuration.tenants.empty()) {
    const site_tenant* tenant = index_->FindTenant(request.key);
    if (tenant == nullptr) {
      return Refuse(now, &call,
                    IsCurrent(now) ? call_refusal::kUnknownKey
                                   : call_refusal::kStateTooOld);
    }
    if (!IsFresh(now))
      return Refuse(now, &call, call_refusal::kStateTooOld);
    call.tenant = tenant->name;
    call.tenant_regions = tenant->regions;
    call.has_key = true;
  }
  // A caller that retries after a refusal has less time than the route's
  // timeout, and the target latency is already exceeded.
  const bool is_retry =
      request.time_left &&
      *request.time_left < kFirstRequestTimeShare * route->timeout;
  call.target_deadline =
      is_retry ? arrived_at : arrived_at + route->target_latency;
  call.service = ChooseService(*route, Random());
  const site_service* service = index_->FindService(call.service);
  call.is_model = service != nullptr && service->engine.has_value() &&
                  !request.model.empty();
  if (call.is_model) {
    call.yield_rank = place_search_.Rank(
        route->name, EstimateCost(*service->engine, request.prompt_tokens,
                                  request.hinted_tokens));
  }
  budget_.OnRequest(now);
  Dispatch(now, &call);
}

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

bool call_dispatch::EndsBeforeExit(time_point now,
                                   const call_state& call) const {
  if (!exit_at_)
    return true;
  if (now < removed_at_ && now + options_.usual_stream_time <= *exit_at_)
    return true;
  return now < *exit_at_ && call.deadline <= *exit_at_;
}

void call_dispatch::EndCalls(time_point now) {
  std::vector<uint64_t> open;
  for (const auto& [id, call] : calls_)
    open.push_back(id);
  for (uint64_t id : open) {
    auto it = calls_.find(id);
    if (it == calls_.end())
      continue;
    call_state& call = it->second;
    if (call.current_stage == stage::kSent) {
      EndAttempt(&call);
      hooks_.abort_attempt(id);
    } else {
      CancelPlaceRequest(&call);
    }
    Refuse(now, &call, call_refusal::kLeaving);
  }
}

void call_dispatch::Dispatch(time_point now, call_state* call) {
  if (call->deadline - now < kMinTimeLeft)
    return Refuse(now, call, call_refusal::kTimedOut);
  if (call->has_key && !IsFresh(now))
    return Refuse(now, call, call_refusal::kStateTooOld);
  if (crashes_.FindQuarantined(now, call->request.traits))
    return Refuse(now, call, call_refusal::kQuarantined);
  call->current_stage = stage::kRequestingPlace;
  call->has_place = false;
  call->is_suspect = false;
  if (call->is_model) {
    DispatchModelCall(now, call);
  } else {
    DispatchPlainCall(now, call);
  }
}

void call_dispatch::RefuseWithoutServer(time_point now, call_state* call) {
  if (const auto until = selector_.FirstPauseEnd(now, QueryOf(*call))) {
    call->expected_free_in =
        std::chrono::duration_cast<milliseconds>(*until - now);
  }
  Refuse(now, call, call_refusal::kNoServer);
}

void call_dispatch::DispatchModelCall(time_point now, call_state* call) {
  const auto ranked = selector_.Rank(now, QueryOf(*call));
  if (ranked.empty())
    return RefuseWithoutServer(now, call);
  if (!MayRequestPlace(now, *call))
    return Refuse(now, call, call_refusal::kNoPlace);
  server_query query_without_place = QueryOf(*call);
  query_without_place.is_without_place = true;
  for (const site_server* server : ranked) {
    if (call->asked_servers.contains(server->id))
      continue;
    const server_health& health = selector_.Health(server->id);
    const bool is_unresponsive = health.unanswered_place_requests > 1;
    const bool is_agent_down =
        is_unresponsive &&
        now - health.unanswered_since > options_.agent_timeout;
    if (is_agent_down && health.in_flight < options_.max_without_place &&
        server->cold_remaining == milliseconds(0) &&
        selector_.IsEligible(now, *server, query_without_place)) {
      // The agent does not answer, but the server itself may be healthy.
      call->server = *server;
      return Send(now, call);
    }
    if (is_unresponsive && !is_agent_down)
      continue;
    call->server = *server;
    call->asked_servers.insert(server->id);
    ++call->place_request_count;
    call->place_requested_at = now;
    call->timeout_at = now + options_.place_timeout;
    call->place_request_id = next_place_request_id_++;
    open_place_requests_[call->place_request_id] = call->id;
    place_request request{.call = call->place_request_id,
                          .prompt_tokens = call->request.prompt_tokens,
                          .answer_tokens = call->request.hinted_tokens,
                          .is_resumed = call->is_streaming,
                          .traits = call->request.traits};
    request.first_token_budget = std::chrono::duration_cast<milliseconds>(
        std::max<duration>(duration(0), call->target_deadline - now));
    request.time_left =
        std::chrono::duration_cast<milliseconds>(call->deadline - now);
    hooks_.request_place(call->server, request);
    return;
  }
  Refuse(now, call, call_refusal::kNoPlace);
}

void call_dispatch::DispatchPlainCall(time_point now, call_state* call) {
  const auto ranked = selector_.Rank(now, QueryOf(*call));
  if (ranked.empty())
    return RefuseWithoutServer(now, call);
  call->server = *ranked.front();
  Send(now, call);
}

void call_dispatch::OnPlaceReply(time_point now,
                                 uint64_t place_request_id,
                                 const place_reply& reply) {
  auto open = open_place_requests_.find(place_request_id);
  if (open == open_place_requests_.end())
    return;  // CancelPlaceRequest() has released the place.
  call_state& call = calls_.at(open->second);
  open_place_requests_.erase(open);
  selector_.OnPlaceAnswered(call.server.id);
  selector_.OnLoad(now, call.server.id, reply.load, reply.slots);
  selector_.SetAnswerLimit(call.server.id, reply.max_answer_tokens);
  if (reply.is_granted &&
      now - call.place_requested_at > options_.max_grant_age) {
    hooks_.release_place(call.server, place_request_id, attempt_result::kOther);
    hooks_.count("grants_expired");
    return Dispatch(now, &call);
  }
  if (reply.is_granted) {
    place_search_.OnReply(now, true);
    call.has_place = true;
    call.is_suspect = reply.is_suspect;
    Send(now, &call);
    return;
  }
  if (reply.is_quarantined) {
    OnQuarantined(now, reply.quarantined_trait);
    return Refuse(now, &call, call_refusal::kQuarantined);
  }
  if (reply.slots > 0)
    place_search_.OnReply(now, false);
  selector_.OnFull(now, call.server.id, reply.expected_free_in);
  if (reply.slots > 0 && (!call.expected_free_in ||
                          reply.expected_free_in < *call.expected_free_in)) {
    call.expected_free_in = reply.expected_free_in;
  }
  hooks_.count("place_denied");
  Dispatch(now, &call);
}

void call_dispatch::Send(time_point now, call_state* call) {
  ++call->attempt;
  call->current_stage = stage::kSent;
  call->has_head = false;
  call->has_event = false;
  call->forwards_events = false;
  call->has_new_event = false;
  call->body.clear();
  call->progress_at = now;
  call->events.Clear();
  call->tried.insert(call->server.id);
  selector_.OnAttemptSent(call->server.id);
  ++call->possible_runs;
  duration limit = call->deadline - now;
  if (call->kind == call_kind::kStream) {
    limit = std::min<duration>(limit, options_.event_timeout);
  } else if (call->kind == call_kind::kIdempotent &&
             call->possible_runs < call->route.attempts) {
    limit = std::min<duration>(
        limit, std::max<duration>(options_.attempt_timeout_targets *
                                      call->route.target_latency,
                                  options_.min_attempt_timeout));
  }
  call->recall_at.reset();
  // Only a stream shows when its request begins to run.
  if (call->is_model && call->kind == call_kind::kStream) {
    if (const auto outdated_at =
            selector_.OutdatedAt(call->server, call->request.model))
      call->recall_at = *outdated_at - options_.recall_margin;
  }
  SetTimeout(call, now + limit);
  attempt_headers headers{.instance = call->server.id,
                          .tenant = call->tenant,
                          .last_event = call->last_event,
                          .weights = call->weights};
  headers.time_left =
      std::chrono::duration_cast<milliseconds>(call->deadline - now);
  hooks_.log(log_event::kAttemptSent,
             Describe(now, *call) + " load=" +
                 std::to_string(selector_.Health(call->server.id).load) +
                 " place=" + (call->has_place ? "1" : "0"));
  hooks_.start_attempt(call->id, call->attempt, call->server, headers);
}

void call_dispatch::SetTimeout(call_state* call, time_point at) {
  call->timeout_at = std::min(call->deadline, at);
  if (call->recall_at && !call->has_event)
    call->timeout_at = std::min(call->timeout_at, *call->recall_at);
}

void call_dispatch::OnQuarantined(time_point now, fingerprint trait) {
  if (trait.value != 0)
    crashes_.Adopt(now, {.trait = trait}, now + options_.quarantine_time);
}

call_dispatch::call_state* call_dispatch::Find(uint64_t id, uint32_t attempt) {
  auto it = calls_.find(id);
  if (it == calls_.end() || it->second.attempt != attempt ||
      it->second.current_stage != stage::kSent) {
    return nullptr;
  }
  return &it->second;
}

void call_dispatch::EndAttempt(call_state* call, attempt_result result) {
  selector_.OnAttemptEnded(call->server.id);
  if (call->has_place) {
    call->has_place = false;
    hooks_.release_place(call->server, call->place_request_id, result);
  }
  call->current_stage = stage::kRequestingPlace;
}

void call_dispatch::CancelPlaceRequest(call_state* call) {
  if (open_place_requests_.erase(call->place_request_id) > 0) {
    // The place may have been granted and the reply not received yet.
    hooks_.release_place(call->server, call->place_request_id,
                         attempt_result::kOther);
  }
}

void call_dispatch::Retry(time_point now, call_state* call, bool may_have_run) {
  const bool may_repeat =
      !may_have_run || call->kind == call_kind::kIdempotent ||
      (call->kind == call_kind::kStream && call->route.is_resumable);
  const bool has_attempts =
      call->possible_runs < std::max(1U, call->route.attempts);
  if (!may_repeat || !has_attempts || call->deadline - now < kMinTimeLeft)
    return Refuse(now, call, call_refusal::kServerFailed);
  if (!budget_.TryConsume(now)) {
    hooks_.count("retries_over_budget");
    return may_have_run ? Refuse(now, call, call_refusal::kServerFailed)
                        : Refuse(now, call, call_refusal::kNoPlace);
  }
  hooks_.count("retries");
  hooks_.log(log_event::kAttemptRepeated,
             Describe(now, *call) +
                 " may_have_run=" + (may_have_run ? "1" : "0") +
                 " last_event=" + std::to_string(call->last_event.value_or(0)));
  call->place_request_count = 0;
  call->asked_servers.clear();
  Dispatch(now, call);
}

milliseconds call_dispatch::RetryAfter(const call_state& call) {
  // Random spread, so that refused callers do not retry all at once.
  const milliseconds minimum =
      std::max(options_.min_retry_after,
               call.expected_free_in.value_or(milliseconds(0)));
  const auto spread = static_cast<int64_t>(
      Random() * static_cast<double>(options_.retry_after_spread.count()));
  return minimum + milliseconds(spread);
}

void call_dispatch::Refuse(time_point now,
                           call_state* call,
                           call_refusal reason) {
  const bool may_have_run = call->possible_runs > 0;
  refusal_answer answer{.reason = reason};
  switch (reason) {
    case call_refusal::kNoRoute:
      answer.status = kHttpNotFound;
      break;
    case call_refusal::kUnknownKey:
      answer.status = kHttpUnauthorized;
      break;
    case call_refusal::kServerFailed:
      answer.status = kHttpBadGateway;
      break;
    case call_refusal::kTimedOut:
      answer.status = kHttpGatewayTimeout;
      break;
    default:
      answer.status = may_have_run ? kHttpBadGateway : kHttpUnavailable;
      if (!may_have_run)
        answer.retry_after = RetryAfter(*call);
      break;
  }
  // No attempt may have run, so the caller may safely retry.
  if (!may_have_run && answer.status >= kHttpBadGateway) {
    answer.status = kHttpUnavailable;
    answer.retry_after = RetryAfter(*call);
  }
  if (call->is_streaming)
    return CutStream(now, call, reason);
  hooks_.log(log_event::kCallRefused,
             Describe(now, *call) + " status=" + std::to_string(answer.status) +
                 " why=\"" + std::string(TextOf(reason)) + "\"");
  hooks_.count("refused " + std::string(TextOf(reason)));
  const uint64_t id = call->id;
  Erase(id);
  hooks_.send_refusal(id, answer);
}

void call_dispatch::CutStream(time_point now,
                              call_state* call,
                              call_refusal reason) {
  const std::string text(TextOf(reason));
  hooks_.log(log_event::kStreamCut,
             Describe(now, *call) +
                 " events=" + std::to_string(call->last_event.value_or(0)) +
                 " silent_ms=" + std::to_string(ToMs(now - call->progress_at)) +
                 " why=\"" + text + "\"");
  hooks_.count("streams_aborted " + text);
  const uint64_t id = call->id;
  Erase(id);
  hooks_.abort_stream(id);
}

void call_dispatch::OnCallerDisconnected(time_point now, uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  call_state& call = it->second;
  hooks_.log(log_event::kCallerGone, Describe(now, call));
  hooks_.count("callers_gone");
  if (call.current_stage == stage::kSent) {
    EndAttempt(&call);
    hooks_.abort_attempt(id);
  } else {
    CancelPlaceRequest(&call);
  }
  Erase(id);
}

void call_dispatch::RunDue(time_point now) {
  std::vector<uint64_t> due;
  for (const auto& [id, call] : calls_) {
    if (now >= call.timeout_at || now >= call.deadline)
      due.push_back(id);
  }
  for (uint64_t id : due) {
    auto it = calls_.find(id);
    if (it == calls_.end())
      continue;
    call_state& call = it->second;
    if (call.current_stage == stage::kRequestingPlace) {
      selector_.OnPlaceTimeout(now, call.server.id);
      CancelPlaceRequest(&call);
      hooks_.count("asks_silent");
      Dispatch(now, &call);
      continue;
    }
    EndAttempt(&call);
    hooks_.abort_attempt(id);
    const bool is_recalled =
        call.recall_at && now >= *call.recall_at && !call.has_event;
    if (!is_recalled)
      selector_.OnFailure(now, call.server.id);
    if (now >= call.deadline) {
      Refuse(now, &call, call_refusal::kTimedOut);
      continue;
    }
    hooks_.count(is_recalled ? "attempts_recalled" : "attempts_silent");
    Retry(now, &call, true);
  }
}

std::optional<time_point> call_dispatch::NextDue() const {
  std::optional<time_point> next;
  for (const auto& [id, call] : calls_) {
    const time_point at = std::min(call.timeout_at, call.deadline);
    if (!next || at < *next)
      next = at;
  }
  return next;
}

}  // namespace fuchsiafall
