/// @file call_dispatch.cc Dispatch of callers' requests at a hosted entry.
#include "call_dispatch_base.h"

#include <algorithm>

#include "engine_model_func.h"
#include "network/http_status.h"

namespace fuchsiafall {

namespace {

/// Time limit of callers that set none.
constexpr milliseconds kDefaultTimeLimit{30000};
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
    "no retry left",
    "no memory",
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
      rank_counts_({.count = hooks_.count, .set_gauge = hooks_.set_gauge}),
      budget_(options_.budget),
      server_crashes_(options_.crashes,
                      {.exchange = {.send = hooks_.send_crash_note,
                                    .log = hooks_.log,
                                    .count = hooks_.count},
                       .is_connected = hooks_.is_connected}) {}

void call_dispatch::SetIndex(const site_index* index) {
  index_ = index;
  selector_.SetIndex(index);
  budget_.SetEntryCount(index->View().entry_relays.size());
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
          .answer_tokens = call.expected_tokens,
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
         " sound_ms=" + std::to_string(ToMs(now - confirmed_at_)) +
         (call.is_ranked ? DescribeRank(now, call) : "");
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
  call.events = event_sequence({.last_event = request.last_event,
                                .max_event_bytes = options_.max_event_bytes});
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
  const site_tenant* tenant = nullptr;
  if (route->timeout > milliseconds(0))
    call.deadline = std::min(call.deadline, arrived_at + route->timeout);
  if (!EndsBeforeExit(now, call))
    return Refuse(now, &call, call_refusal::kLeaving);
  if (!route->is_anonymous && !index_->View().configuration.tenants.empty()) {
    tenant = index_->FindTenant(request.key);
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
  call.is_retry = request.time_left &&
                  *request.time_left < kFirstRequestTimeShare * route->timeout;
  call.target_deadline =
      call.is_retry ? arrived_at : arrived_at + route->target_latency;
  call.service = ChooseService(*route, Random());
  // A later configuration changes neither for a call in progress.
  call.is_ranked = index_->IsRanked(call.service);
  const request_rank rank = index_->RankOf(call.service, *route, tenant);
  call.rank = rank.rank;
  call.route_rank = rank.route_rank;
  CountByRank(call, "requests");
  const site_service* service = index_->FindService(call.service);
  call.is_model = service != nullptr && service->engine.has_value() &&
                  !request.model.empty();
  call.expected_tokens = request.hinted_tokens;
  if (call.is_model) {
    call.expected_tokens = answer_lengths_.Expect(
        route->name, call.tenant, request.hinted_tokens, request.answer_tokens);
    call.first_token_time =
        FreeSlotFirstTokenTime(*service->engine, request.prompt_tokens);
    call.yield_rank = place_search_.Rank(
        route->name, EstimateCost(*service->engine, request.prompt_tokens,
                                  call.expected_tokens));
  }
  budget_.OnRequest(now);
  Dispatch(now, &call);
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
    if (it->second.has_attempt)
      AbortAttempt(now, &it->second);
    Refuse(now, &it->second, call_refusal::kLeaving);
  }
}

void call_dispatch::Send(time_point now,
                         call_state* call,
                         const site_server& server,
                         std::optional<granted_place> place) {
  const bool is_repeat = call->attempt > 0;
  auto obstacle = FindObstacle(now, *call);
  if (!obstacle && is_repeat && !budget_.TryConsume(now)) {
    hooks_.count("retries_over_budget");
    obstacle = call_refusal::kNoRetry;
  }
  if (obstacle) {
    if (place)
      hooks_.release_place(server, place->id, attempt_result::kOther);
    return OnNoServer(now, call, *obstacle);
  }
  if (is_repeat) {
    hooks_.count("retries");
    hooks_.log(log_event::kAttemptRepeated,
               Describe(now, *call) + " may_have_run=" +
                   (call->possible_runs > 0 ? "1" : "0") + " last_event=" +
                   std::to_string(call->events.ResumePoint().value_or(0)));
  }
  if (call->has_attempt) {
    AbortAttempt(now, call);
    hooks_.count("attempts_replaced");
  }
  StartAttempt(now, call, server, place);
}

void call_dispatch::StartAttempt(time_point now,
                                 call_state* call,
                                 const site_server& server,
                                 std::optional<granted_place> place) {
  ++call->attempt;
  call->attempt_at = now;
  call->server = server;
  call->has_attempt = true;
  call->place = place;
  call->has_head = false;
  call->forwards_events = false;
  call->is_silent = false;
  std::string().swap(call->body);
  call->events.BeginAttempt();
  call->tried.insert(server.id);
  selector_.OnAttemptSent(server.id);
  ++call->possible_runs;
  OnProgress(now, call);
  call->recall_at.reset();
  // Only a stream shows when its request begins to run.
  if (call->is_model && call->kind == call_kind::kStream) {
    if (const auto outdated_at =
            selector_.OutdatedAt(server, call->request.model))
      call->recall_at = *outdated_at - options_.recall_margin;
  }
  attempt_headers headers{.instance = server.id,
                          .tenant = call->tenant,
                          .last_event = call->events.ResumePoint(),
                          .weights = call->weights};
  // The server refuses the request if it has loaded another version meanwhile,
  // which is not known to be intact.
  const uint64_t intact = selector_.Health(server.id).weights.version;
  if (call->is_model && !headers.weights && intact > 0)
    headers.weights = intact;
  call->names_version = headers.weights.has_value();
  if (call->is_ranked)
    headers.urgency = static_cast<int>(call->rank);
  headers.time_left =
      std::chrono::duration_cast<milliseconds>(call->deadline - now);
  hooks_.log(log_event::kAttemptSent,
             Describe(now, *call) +
                 " load=" + std::to_string(selector_.Health(server.id).load) +
                 " place=" + (place ? "1" : "0"));
  hooks_.start_attempt(call->id, call->attempt, call->server, headers);
}

void call_dispatch::OnQuarantined(time_point now, fingerprint trait) {
  if (trait.value != 0)
    agent_quarantines_.Adopt(now, {.trait = trait},
                             now + options_.quarantine_time);
}

call_dispatch::call_state* call_dispatch::Find(uint64_t id, uint32_t attempt) {
  auto it = calls_.find(id);
  if (it == calls_.end() || it->second.attempt != attempt ||
      !it->second.has_attempt) {
    return nullptr;
  }
  return &it->second;
}

void call_dispatch::EndAttempt(time_point now,
                               call_state* call,
                               attempt_result result) {
  CancelPlaceRequest(now, call);
  call->search_at.reset();
  call->has_attempt = false;
  selector_.OnAttemptEnded(call->server.id);
  if (call->place)
    hooks_.release_place(call->server, call->place->id, result);
  call->place.reset();
}

void call_dispatch::AbortAttempt(time_point now, call_state* call) {
  EndAttempt(now, call);
  hooks_.abort_attempt(call->id);
}

void call_dispatch::Erase(time_point now, call_state* call) {
  CancelPlaceRequest(now, call);
  calls_.erase(call->id);
}

milliseconds call_dispatch::RetryAfter(const call_state& call) {
  // Random spread, so that refused callers do not retry all at once. Lower
  // ranks find a place later, so that they return later.
  const auto free_in =
      call.rank_free_in ? call.rank_free_in : call.expected_free_in;
  const milliseconds minimum =
      std::max(options_.min_retry_after, free_in.value_or(milliseconds(0)));
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
  CountByRank(*call, "refused", TextOf(reason));
  const uint64_t id = call->id;
  Erase(now, call);
  hooks_.send_refusal(id, answer);
}

void call_dispatch::CutStream(time_point now,
                              call_state* call,
                              call_refusal reason) {
  const std::string text(TextOf(reason));
  hooks_.log(log_event::kStreamCut,
             Describe(now, *call) + " events=" +
                 std::to_string(call->events.LastEvent().value_or(0)) +
                 " silent_ms=" + std::to_string(ToMs(now - call->progress_at)) +
                 " why=\"" + text + "\"");
  hooks_.count("streams_aborted " + text);
  CountByRank(*call, "streams_aborted", text);
  const uint64_t id = call->id;
  Erase(now, call);
  hooks_.abort_stream(id);
}

void call_dispatch::OnCallerDisconnected(time_point now, uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  call_state& call = it->second;
  hooks_.log(log_event::kCallerGone, Describe(now, call));
  hooks_.count("callers_gone");
  if (call.has_attempt)
    AbortAttempt(now, &call);
  Erase(now, &call);
}

size_t call_dispatch::HeldAnswerBytes(uint64_t id) const {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return 0;
  return it->second.body.capacity() + it->second.events.Incomplete().size();
}

void call_dispatch::OnAnswerOverBudget(time_point now,
                                       uint64_t id,
                                       uint32_t attempt) {
  call_state* call = Find(id, attempt);
  if (call == nullptr)
    return;
  hooks_.count("answers_over_budget");
  std::string().swap(call->body);
  call->events.DropIncomplete();
  OnMalformedAnswer(now, call, "no memory");
}

bool call_dispatch::OnRequestOverBudget(time_point now, uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return false;
  call_state& call = it->second;
  hooks_.count("requests_over_budget");
  if (!call.has_attempt) {
    Refuse(now, &call, call_refusal::kNoMemory);
    return false;
  }
  call.has_body = false;
  CancelPlaceRequest(now, &call);
  call.search_at.reset();
  return true;
}

void call_dispatch::RunDue(time_point now) {
  pause_watch_.RunDue(now);
  std::vector<uint64_t> due;
  for (const auto& [id, call] : calls_) {
    if (now >= DueAt(call))
      due.push_back(id);
  }
  for (uint64_t id : due) {
    auto it = calls_.find(id);
    if (it != calls_.end())
      RunDueCall(now, &it->second);
  }
}

void call_dispatch::RunDueCall(time_point now, call_state* call) {
  const bool is_recalled = IsRecalled(now, *call);
  if (now >= call->deadline) {
    if (call->has_attempt) {
      if (!is_recalled && !call->is_silent)
        selector_.OnFailure(now, call->server.id);
      AbortAttempt(now, call);
    }
    return Refuse(now, call, call_refusal::kTimedOut);
  }
  if (is_recalled) {
    AbortAttempt(now, call);
    hooks_.count("attempts_recalled");
    return Retry(now, call, true);
  }
  if (call->place_inquiry) {
    if (now >= call->place_inquiry->timeout_at)
      OnPlaceTimeout(now, call);
    return;
  }
  if (call->search_at && now >= *call->search_at)
    Search(now, call);
}

time_point call_dispatch::DueAt(const call_state& call) {
  time_point at = call.deadline;
  if (call.has_attempt && call.recall_at && !call.events.HasAnswerEvent())
    at = std::min(at, *call.recall_at);
  if (call.place_inquiry)
    return std::min(at, call.place_inquiry->timeout_at);
  return call.search_at ? std::min(at, *call.search_at) : at;
}

std::optional<time_point> call_dispatch::NextDue() const {
  std::optional<time_point> next = pause_watch_.NextDue();
  for (const auto& [id, call] : calls_) {
    const time_point at = DueAt(call);
    if (!next || at < *next)
      next = at;
  }
  return next;
}

}  // namespace fuchsiafall
