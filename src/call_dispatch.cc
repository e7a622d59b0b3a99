/// @file call_dispatch.cc Dispatch of callers' requests at a hosted entry.
#include "call_dispatch_base.h"

#include <algorithm>

namespace fuchsiafall {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// Time limit of callers that set none.
constexpr milliseconds kDefaultTimeLimit{30000};
/// An attempt with less time left than this cannot be answered in time.
constexpr milliseconds kMinTimeLeft{20};

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

bool IsSuccess(int status) {
  return status / 100 == 2;
}

}  // namespace

std::string_view TextOf(call_refusal why) {
  return kRefusalTexts[static_cast<size_t>(why)];
}

call_dispatch::call_dispatch(call_dispatch_options options,
                             call_dispatch_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(options_.seed),
      selector_(options_.selector),
      budget_(options_.budget) {}

void call_dispatch::SetIndex(const site_index* index) {
  index_ = index;
  selector_.SetIndex(index);
  budget_.SetEntryCount(index->View().entry_count);
}

bool call_dispatch::IsFresh(time_point now) const {
  return index_ != nullptr &&
         now - confirmed_at_ < options_.revoke - options_.revoke_margin;
}

server_query call_dispatch::QueryOf(const call& item) const {
  return {.service = item.service,
          .route_regions = &item.route.regions,
          .tenant_regions = &item.tenant_regions,
          .model = item.is_model ? item.request.model : std::string(),
          .tried = &item.tried,
          .answer_tokens = item.request.hinted_tokens,
          .weights = item.weights};
}

std::string call_dispatch::Describe(time_point now, const call& item) const {
  return "id=" + item.request.id + " route=" + item.route.name +
         " service=" + item.service + " server=" + item.server.id +
         " tokens=" + std::to_string(item.request.prompt_tokens) + "," +
         std::to_string(item.request.answer_tokens) + "," +
         std::to_string(item.request.hinted_tokens) +
         " attempt=" + std::to_string(item.attempt) +
         " asks=" + std::to_string(item.place_request_count) +
         " after_ms=" + std::to_string(ToMs(now - item.arrived_at)) +
         " left_ms=" + std::to_string(ToMs(item.deadline - now)) + " config=" +
         std::to_string(
             index_ == nullptr ? 0 : index_->View().configuration.version) +
         " sound_ms=" + std::to_string(ToMs(now - confirmed_at_));
}

void call_dispatch::OnRequest(time_point now,
                              uint64_t id,
                              const caller_call& request,
                              const std::string& target,
                              time_point arrived_at) {
  call& item = calls_[id];
  item.id = id;
  item.request = request;
  item.arrived_at = arrived_at;
  item.deadline = arrived_at + request.time_left.value_or(kDefaultTimeLimit);
  item.last_event = request.last_event;
  hooks_.count("requests");
  if (index_ == nullptr || index_->View().configuration.version == 0)
    return Refuse(now, &item, call_refusal::kNoConfiguration);
  const site_route* route = index_->FindRoute(request.host, target);
  if (route == nullptr)
    return Refuse(now, &item, call_refusal::kNoRoute);
  item.route = *route;
  item.kind = route->kind;
  const milliseconds expected_time =
      route->timeout > milliseconds(0)
          ? std::min(route->timeout, options_.usual_stream_time)
          : options_.usual_stream_time;
  if (exit_at_ && now + expected_time > *exit_at_)
    return Refuse(now, &item, call_refusal::kLeaving);
  if (!route->is_anonymous && !index_->View().configuration.tenants.empty()) {
    const site_tenant* tenant = index_->FindTenant(request.key);
    if (tenant == nullptr) {
      return Refuse(now, &item,
                    IsFresh(now) ? call_refusal::kUnknownKey
                                 : call_refusal::kStateTooOld);
    }
    if (!IsFresh(now))
      return Refuse(now, &item, call_refusal::kStateTooOld);
    item.tenant = tenant->name;
    item.tenant_regions = tenant->regions;
    item.has_key = true;
  }
  if (route->timeout > milliseconds(0))
    item.deadline = std::min(item.deadline, arrived_at + route->timeout);
  // A caller that retries after a refusal has less time than the route's
  // timeout, and the target latency is already exceeded.
  const bool is_retry =
      request.time_left &&
      *request.time_left < kFirstRequestTimeShare * route->timeout;
  item.target_deadline =
      is_retry ? arrived_at : arrived_at + route->target_latency;
  item.service = ChooseService(*route, Random());
  const site_service* service = index_->FindService(item.service);
  item.is_model = service != nullptr && service->engine.has_value() &&
                  !request.model.empty();
  budget_.OnRequest(now);
  if (crashes_.IsQuarantined(now, request.request_fingerprint))
    return Refuse(now, &item, call_refusal::kQuarantined);
  Dispatch(now, &item);
}

void call_dispatch::Dispatch(time_point now, call* item) {
  if (item->deadline - now < kMinTimeLeft)
    return Refuse(now, item, call_refusal::kTimedOut);
  if (item->has_key && !IsFresh(now))
    return Refuse(now, item, call_refusal::kStateTooOld);
  item->current_stage = stage::kRequestingPlace;
  item->has_place = false;
  if (item->is_model) {
    DispatchModelCall(now, item);
  } else {
    DispatchPlainCall(now, item);
  }
}

void call_dispatch::DispatchModelCall(time_point now, call* item) {
  const auto ranked = selector_.Rank(now, QueryOf(*item));
  if (ranked.empty())
    return Refuse(now, item, call_refusal::kNoServer);
  if (item->place_request_count >= options_.max_place_requests)
    return Refuse(now, item, call_refusal::kNoPlace);
  server_query query_without_place = QueryOf(*item);
  query_without_place.is_without_place = true;
  for (const site_server* server : ranked) {
    if (item->asked_servers.contains(server->id))
      continue;
    const server_health& health = selector_.Health(server->id);
    const bool is_unresponsive = health.unanswered_place_requests > 1;
    const bool is_agent_down =
        is_unresponsive &&
        now - health.unanswered_since > options_.agent_timeout;
    if (is_agent_down && health.in_flight < options_.max_without_place &&
        server->cold_left == milliseconds(0) &&
        selector_.IsEligible(now, *server, query_without_place)) {
      // The agent does not answer, but the server itself may be healthy.
      item->server = *server;
      return Send(now, item);
    }
    if (is_unresponsive && !is_agent_down)
      continue;
    item->server = *server;
    item->asked_servers.insert(server->id);
    ++item->place_request_count;
    item->timeout_at = now + options_.place_timeout;
    item->place_request_id = next_place_request_id_++;
    open_place_requests_[item->place_request_id] = item->id;
    place_request request{
        .call = item->place_request_id,
        .prompt_tokens = item->request.prompt_tokens,
        .answer_tokens = item->request.hinted_tokens,
        .is_resumed = item->is_streaming,
        .request_fingerprint = item->request.request_fingerprint};
    request.first_token_budget = std::chrono::duration_cast<milliseconds>(
        std::max<duration>(duration(0), item->target_deadline - now));
    request.time_left =
        std::chrono::duration_cast<milliseconds>(item->deadline - now);
    hooks_.request_place(item->server, request);
    return;
  }
  Refuse(now, item, call_refusal::kNoPlace);
}

void call_dispatch::DispatchPlainCall(time_point now, call* item) {
  const auto ranked = selector_.Rank(now, QueryOf(*item));
  if (ranked.empty())
    return Refuse(now, item, call_refusal::kNoServer);
  item->server = *ranked.front();
  Send(now, item);
}

void call_dispatch::OnPlaceReply(time_point now,
                                 uint64_t place_request_id,
                                 const place_reply& reply) {
  auto open = open_place_requests_.find(place_request_id);
  if (open == open_place_requests_.end())
    return;  // CancelPlaceRequest() has released the place.
  call& item = calls_.at(open->second);
  open_place_requests_.erase(open);
  selector_.OnPlaceAnswered(item.server.id);
  selector_.OnLoad(now, item.server.id, reply.load, reply.slots);
  selector_.SetAnswerLimit(item.server.id, reply.max_answer_tokens);
  if (reply.is_granted) {
    item.has_place = true;
    Send(now, &item);
    return;
  }
  if (reply.is_quarantined)
    return Refuse(now, &item, call_refusal::kQuarantined);
  selector_.OnFull(now, item.server.id, reply.expected_free_in);
  if (reply.slots > 0 && (!item.expected_free_in ||
                          reply.expected_free_in < *item.expected_free_in)) {
    item.expected_free_in = reply.expected_free_in;
  }
  hooks_.count("place_denied");
  Dispatch(now, &item);
}

void call_dispatch::Send(time_point now, call* item) {
  ++item->attempt;
  item->current_stage = stage::kSent;
  item->has_head = false;
  item->body.clear();
  item->events.Clear();
  item->tried.insert(item->server.id);
  selector_.OnAttemptSent(item->server.id);
  ++item->possible_runs;
  duration limit = item->deadline - now;
  if (item->kind == call_kind::kStream) {
    limit = std::min<duration>(limit, options_.event_timeout);
  } else if (item->kind == call_kind::kIdempotent &&
             item->possible_runs < item->route.attempts) {
    limit = std::min<duration>(
        limit, std::max<duration>(options_.attempt_timeout_targets *
                                      item->route.target_latency,
                                  options_.min_attempt_timeout));
  }
  item->timeout_at = now + limit;
  attempt_headers headers{.instance = item->server.id,
                          .tenant = item->tenant,
                          .last_event = item->last_event,
                          .weights = item->weights};
  headers.time_left =
      std::chrono::duration_cast<milliseconds>(item->deadline - now);
  hooks_.log(log_event::kAttemptSent,
             Describe(now, *item) + " load=" +
                 std::to_string(selector_.Health(item->server.id).load) +
                 " place=" + (item->has_place ? "1" : "0"));
  hooks_.start_attempt(item->id, item->attempt, item->server, headers);
}

call_dispatch::call* call_dispatch::Find(uint64_t id, uint32_t attempt) {
  auto it = calls_.find(id);
  if (it == calls_.end() || it->second.attempt != attempt ||
      it->second.current_stage != stage::kSent) {
    return nullptr;
  }
  return &it->second;
}

bool call_dispatch::OnAnswerHead(time_point now,
                                 uint64_t id,
                                 uint32_t attempt,
                                 const server_answer& head,
                                 bool is_event_stream) {
  call* item = Find(id, attempt);
  if (item == nullptr)
    return false;
  // A server sets the id of the answered request, unless it has not read it.
  if (!head.call_id.empty() && head.call_id != item->request.id) {
    hooks_.count("answers_crossed");
    return false;
  }
  item->has_head = true;
  item->head = head;
  if (head.has_load)
    selector_.OnLoad(now, item->server.id, head.running + head.waiting,
                     head.slots);
  if (IsSuccess(head.status) && head.is_sealed && is_event_stream &&
      item->kind == call_kind::kStream) {
    item->timeout_at = std::min(item->deadline, now + options_.event_timeout);
    if (!item->is_streaming) {
      item->is_streaming = true;
      item->weights = head.weights;
      hooks_.begin_stream(id);
    }
  }
  return true;
}

void call_dispatch::OnAnswerBody(time_point now,
                                 uint64_t id,
                                 uint32_t attempt,
                                 std::string_view bytes) {
  call* item = Find(id, attempt);
  if (item == nullptr)
    return;
  if (!item->is_streaming || !IsSuccess(item->head.status)) {
    item->body += bytes;
    return;
  }
  item->timeout_at = std::min(item->deadline, now + options_.event_timeout);
  item->events.Add(bytes);
  std::string out;
  std::string event;
  while (item->events.Next(&event)) {
    const auto event_id = hooks_.event_id(event);
    if (event_id) {
      if (item->last_event && *event_id <= *item->last_event)
        continue;  // The caller already has it.
      if (!item->last_event)
        hooks_.record_duration("first_event", now - item->arrived_at);
      item->last_event = event_id;
    }
    out += event;
  }
  if (!out.empty())
    hooks_.send_events(id, out);
}

void call_dispatch::OnExchangeEnd(time_point now,
                                  uint64_t id,
                                  uint32_t attempt,
                                  exchange_end end) {
  call* item = Find(id, attempt);
  if (item == nullptr)
    return;
  const bool was_broken = end == exchange_end::kBroken;
  EndAttempt(item, was_broken);
  if (was_broken && !item->is_model)
    crashes_.RecordCrash(now, item->request.request_fingerprint);
  if (end == exchange_end::kNotConnected) {
    selector_.OnFailure(now, item->server.id);
    --item->possible_runs;
    hooks_.count("attempts_not_connected");
    return Retry(now, item, false);
  }
  if (end != exchange_end::kComplete || !item->has_head) {
    selector_.OnFailure(now, item->server.id);
    hooks_.count("attempts_broken");
    return Retry(now, item, true);
  }
  if (item->head.did_not_run) {
    --item->possible_runs;
    if (item->head.status == kMisdirected) {
      // It may also be the expected instance with another version.
      const bool is_replaced = item->head.instance.empty()
                                   ? !item->weights.has_value()
                                   : item->head.instance != item->server.id;
      if (is_replaced)
        selector_.OnReplaced(item->server);
    } else {
      selector_.OnFull(now, item->server.id, options_.min_attempt_timeout);
      // A full server has not failed, so it may be tried again.
      item->tried.erase(item->server.id);
    }
    hooks_.count("attempts_not_run");
    return Retry(now, item, false);
  }
  if (!IsSuccess(item->head.status)) {
    if (item->head.status >= 500)
      selector_.OnFailure(now, item->server.id);
    const bool may_repeat = item->kind == call_kind::kIdempotent;
    if (item->head.status >= 500 &&
        (item->is_streaming ||
         (may_repeat && item->possible_runs < item->route.attempts))) {
      hooks_.count("attempts_failed");
      return Retry(now, item, true);
    }
    return FinishBuffered(now, item);
  }
  if (!item->head.is_sealed) {
    selector_.OnFailure(now, item->server.id);
    hooks_.count("attempts_unsealed");
    return Retry(now, item, true);
  }
  selector_.OnSuccess(item->server.id);
  if (item->is_streaming)
    return FinishStream(now, item);
  FinishBuffered(now, item);
}

void call_dispatch::FinishStream(time_point now, call* item) {
  if (!item->events.Incomplete().empty()) {
    // The answer ended in the middle of an event.
    hooks_.count("streams_cut");
    return Retry(now, item, true);
  }
  hooks_.log(log_event::kCallAnswered,
             Describe(now, *item) + " status=200 events=" +
                 std::to_string(item->last_event.value_or(0)));
  hooks_.record_duration("call", now - item->arrived_at);
  const uint64_t id = item->id;
  Erase(id);
  hooks_.end_stream(id);
}

void call_dispatch::FinishBuffered(time_point now, call* item) {
  hooks_.log(log_event::kCallAnswered, Describe(now, *item) + " status=" +
                                           std::to_string(item->head.status));
  hooks_.record_duration("call", now - item->arrived_at);
  const uint64_t id = item->id;
  const std::string body = std::move(item->body);
  Erase(id);
  hooks_.answer(id, body);
}

void call_dispatch::EndAttempt(call* item, bool was_broken) {
  selector_.OnAttemptEnded(item->server.id);
  if (item->has_place) {
    item->has_place = false;
    hooks_.release_place(item->server, item->place_request_id, was_broken);
  }
  item->current_stage = stage::kRequestingPlace;
}

void call_dispatch::CancelPlaceRequest(call* item) {
  if (open_place_requests_.erase(item->place_request_id) > 0) {
    // The place may have been granted and the reply not received yet.
    hooks_.release_place(item->server, item->place_request_id, false);
  }
}

void call_dispatch::Retry(time_point now, call* item, bool may_have_run) {
  const bool may_repeat =
      !may_have_run || item->kind == call_kind::kIdempotent ||
      (item->kind == call_kind::kStream && item->route.is_resumable);
  const bool has_attempts =
      item->possible_runs < std::max(1U, item->route.attempts);
  if (!may_repeat || !has_attempts || item->deadline - now < kMinTimeLeft)
    return Refuse(now, item, call_refusal::kServerFailed);
  if (!budget_.TryConsume(now)) {
    hooks_.count("retries_over_budget");
    return may_have_run ? Refuse(now, item, call_refusal::kServerFailed)
                        : Refuse(now, item, call_refusal::kNoPlace);
  }
  hooks_.count("retries");
  hooks_.log(log_event::kAttemptRepeated,
             Describe(now, *item) +
                 " may_have_run=" + (may_have_run ? "1" : "0") +
                 " last_event=" + std::to_string(item->last_event.value_or(0)));
  item->place_request_count = 0;
  item->asked_servers.clear();
  Dispatch(now, item);
}

milliseconds call_dispatch::RetryAfter(const call& item) {
  // Random spread, so that refused callers do not retry all at once.
  const milliseconds minimum =
      std::max(options_.min_retry_after,
               item.expected_free_in.value_or(milliseconds(0)));
  const auto spread = static_cast<int64_t>(
      Random() * static_cast<double>(options_.retry_after_spread.count()));
  return minimum + milliseconds(spread);
}

void call_dispatch::Refuse(time_point now, call* item, call_refusal why) {
  const bool may_have_run = item->possible_runs > 0;
  refusal_answer answer{.why = why};
  switch (why) {
    case call_refusal::kNoRoute:
      answer.status = kNotFound;
      break;
    case call_refusal::kUnknownKey:
      answer.status = kUnauthorized;
      break;
    case call_refusal::kServerFailed:
      answer.status = kBadGateway;
      break;
    case call_refusal::kTimedOut:
      answer.status = kGatewayTimeout;
      break;
    default:
      answer.status = may_have_run ? kBadGateway : kUnavailable;
      if (!may_have_run)
        answer.retry_after = RetryAfter(*item);
      break;
  }
  // No attempt may have run, so the caller may safely retry.
  if (!may_have_run && answer.status >= kBadGateway) {
    answer.status = kUnavailable;
    answer.retry_after = RetryAfter(*item);
  }
  hooks_.log(log_event::kCallRefused,
             Describe(now, *item) + " status=" + std::to_string(answer.status) +
                 " why=\"" + std::string(TextOf(why)) + "\"");
  hooks_.count("refused " + std::string(TextOf(why)));
  const uint64_t id = item->id;
  const bool is_streaming = item->is_streaming;
  Erase(id);
  if (is_streaming) {
    hooks_.abort_stream(id);
  } else {
    hooks_.send_refusal(id, answer);
  }
}

void call_dispatch::OnCallerDisconnected(time_point now, uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  call& item = it->second;
  hooks_.log(log_event::kCallerGone, Describe(now, item));
  hooks_.count("callers_gone");
  if (item.current_stage == stage::kSent) {
    EndAttempt(&item);
    hooks_.abort_attempt(id);
  } else {
    CancelPlaceRequest(&item);
  }
  Erase(id);
}

void call_dispatch::RunDue(time_point now) {
  std::vector<uint64_t> due;
  for (const auto& [id, item] : calls_) {
    if (now >= item.timeout_at || now >= item.deadline)
      due.push_back(id);
  }
  for (uint64_t id : due) {
    auto it = calls_.find(id);
    if (it == calls_.end())
      continue;
    call& item = it->second;
    if (item.current_stage == stage::kRequestingPlace) {
      selector_.OnPlaceTimeout(now, item.server.id);
      CancelPlaceRequest(&item);
      hooks_.count("asks_silent");
      Dispatch(now, &item);
      continue;
    }
    EndAttempt(&item);
    hooks_.abort_attempt(id);
    selector_.OnFailure(now, item.server.id);
    if (now >= item.deadline) {
      Refuse(now, &item, call_refusal::kTimedOut);
      continue;
    }
    hooks_.count("attempts_silent");
    Retry(now, &item, true);
  }
}

std::optional<time_point> call_dispatch::NextDue() const {
  std::optional<time_point> next;
  for (const auto& [id, item] : calls_) {
    const time_point at = std::min(item.timeout_at, item.deadline);
    if (!next || at < *next)
      next = at;
  }
  return next;
}

}  // namespace fuchsiafall
