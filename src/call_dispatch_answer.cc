/// @file call_dispatch_answer.cc How a hosted entry handles the answers of
/// servers.
#include <algorithm>

#include "call_dispatch_base.h"
#include "network/http_status.h"

namespace fuchsiafall {

namespace {

/// Whether callers take a status for the statement that the call did not run.
bool StatesNotRun(int status) {
  return status == kHttpRequestTimeout || status == kHttpTooManyRequests ||
         status == kHttpUnavailable;
}

bool IsSuccess(int status) {
  return status / 100 == 2;
}

}  // namespace

void call_dispatch::RecordServerEnd(time_point now,
                                    const call_state& call,
                                    exchange_end end) {
  if (call.is_model)
    return;  // Agents observe the crashes of engines.
  const request_traits& traits = call.request.traits;
  if (end == exchange_end::kBroken) {
    server_crashes_.OnBroken(now, call.server, traits);
  } else if (end == exchange_end::kRefused) {
    server_crashes_.OnConnectionRefused(now, call.server);
  } else if (end == exchange_end::kComplete && call.has_head &&
             !call.head.did_not_run &&
             (call.head.instance.empty() ||
              call.head.instance == call.server.id)) {
    server_crashes_.OnAnswered(now, call.server, call.attempt_at, traits);
  }
}

void call_dispatch::RecordNotices(time_point now, const call_state& call) {
  const server_answer& head = call.head;
  if (!head.instance.empty() && head.instance != call.server.id)
    return;
  if (head.is_leaving && selector_.Notices().OnLeaving(now, call.server)) {
    hooks_.count("servers_leaving");
    hooks_.log(log_event::kServerLeaves, "server=" + call.server.id);
  }
  if (head.has_unreadable_pause)
    hooks_.count("server_pauses_unreadable");
  if (!head.pause)
    return;
  const milliseconds pause =
      selector_.Notices().OnPause(now, call.server, *head.pause);
  hooks_.count("server_pauses");
  hooks_.log(log_event::kServerPaused,
             "server=" + call.server.id +
                 " pause_ms=" + std::to_string(pause.count()) +
                 " asked_ms=" + std::to_string(head.pause->count()));
}

bool call_dispatch::OnAnswerHead(time_point now,
                                 uint64_t id,
                                 uint32_t attempt,
                                 const server_answer& head,
                                 bool is_event_stream) {
  call_state* call = Find(id, attempt);
  if (call == nullptr)
    return false;
  // A server sets the id of the answered request, unless it has not read it.
  const bool is_unidentified = head.call_id.empty() && !head.may_be_repeated;
  if (head.call_id != call->request.id && !is_unidentified) {
    hooks_.count("answers_crossed");
    return false;
  }
  call->has_head = true;
  call->progress_at = now;
  call->head = head;
  if (head.has_load)
    selector_.OnLoad(now, call->server.id, head.running + head.waiting,
                     head.slots);
  if (head.slowdown)
    selector_.OnSlowdown(now, call->server.id, *head.slowdown);
  if (head.has_malformed_load)
    hooks_.count("load_reports_malformed");
  RecordNotices(now, *call);
  const bool is_same_version =
      !call->weights || !head.weights || *call->weights == *head.weights;
  call->forwards_events = head.status == kHttpOk && head.is_sealed &&
                          is_event_stream && is_same_version &&
                          call->kind == call_kind::kStream;
  if (call->forwards_events || !call->is_streaming)
    OnProgress(now, call);
  if (call->forwards_events) {
    call->events.BeginAnswer();
    if (!call->is_streaming) {
      call->is_streaming = true;
      call->weights = head.weights;
      hooks_.begin_stream(id);
    }
  }
  return true;
}

void call_dispatch::OnAnswerBody(time_point now,
                                 uint64_t id,
                                 uint32_t attempt,
                                 std::string_view bytes) {
  call_state* call = Find(id, attempt);
  if (call == nullptr)
    return;
  call->progress_at = now;
  if (!call->forwards_events) {
    if (!call->is_streaming) {
      call->body += bytes;
      OnProgress(now, call);
    }
    return;
  }
  const uint32_t count_before = call->events.ForwardedCount();
  const bool had_event = call->events.LastEvent().has_value();
  std::string forwarded;
  const answer_verdict verdict = call->events.OnBytes(bytes, &forwarded);
  if (!had_event && call->events.LastEvent())
    hooks_.record_duration("first_event", now - call->arrived_at);
  if (call->events.ForwardedCount() > count_before)
    OnProgress(now, call);
  if (!forwarded.empty())
    hooks_.send_events(id, forwarded);
  if (verdict == answer_verdict::kMalformed)
    return OnMalformedAnswer(now, call, call->events.Fault());
  if (verdict == answer_verdict::kUnresumable) {
    AbortMalformed(now, call, call->events.Fault());
    Refuse(now, call, call_refusal::kServerFailed);
  }
}

void call_dispatch::AbortMalformed(time_point now,
                                   call_state* call,
                                   std::string_view why) {
  AbortAttempt(now, call);
  selector_.OnFailure(now, call->server.id);
  hooks_.count("attempts_malformed");
  hooks_.log(log_event::kAnswerMalformed,
             Describe(now, *call) + " events=" +
                 std::to_string(call->events.LastEvent().value_or(0)) +
                 " why=\"" + std::string(why) + "\"");
}

void call_dispatch::OnMalformedAnswer(time_point now,
                                      call_state* call,
                                      std::string_view why) {
  AbortMalformed(now, call, why);
  Retry(now, call, true);
}

void call_dispatch::OnExchangeEnd(time_point now,
                                  uint64_t id,
                                  uint32_t attempt,
                                  exchange_end end) {
  call_state* call = Find(id, attempt);
  if (call == nullptr)
    return;
  const bool is_suspect =
      call->is_model ? call->place && call->place->is_suspect
                     : server_crashes_.IsSuspect(now, call->request.traits);
  EndAttempt(now, call, ResultOf(*call, end));
  RecordServerEnd(now, *call, end);
  if (end == exchange_end::kNotConnected || end == exchange_end::kRefused) {
    selector_.OnFailure(now, call->server.id);
    --call->possible_runs;
    hooks_.count("attempts_not_connected");
    return Retry(now, call, false);
  }
  if (end != exchange_end::kComplete || !call->has_head) {
    selector_.OnFailure(now, call->server.id);
    hooks_.count("attempts_broken");
    if (is_suspect) {
      hooks_.count("retries_suspect");
      return Refuse(now, call, call_refusal::kServerFailed);
    }
    return Retry(now, call, true);
  }
  if (call->head.did_not_run) {
    --call->possible_runs;
    if (call->head.status == kHttpMisdirected) {
      // It may also be the expected instance with another version.
      const bool is_replaced = call->head.instance.empty()
                                   ? !call->names_version
                                   : call->head.instance != call->server.id;
      if (is_replaced)
        selector_.OnReplaced(call->server);
    } else {
      selector_.OnFull(now, call->server.id, options_.min_attempt_timeout);
      // A full server has not failed, so it may be tried again.
      call->tried.erase(call->server.id);
    }
    hooks_.count("attempts_not_run");
    return Retry(now, call, false);
  }
  if (!IsSuccess(call->head.status)) {
    if (call->head.status >= 500)
      selector_.OnFailure(now, call->server.id);
    const bool may_repeat = call->kind == call_kind::kIdempotent &&
                            call->possible_runs < call->route.attempts;
    // The caller has the head of the first answer, so that no other may follow.
    if (call->is_streaming || (call->head.status >= 500 && may_repeat) ||
        StatesNotRun(call->head.status)) {
      hooks_.count("attempts_failed");
      return Retry(now, call, true);
    }
    return FinishBuffered(now, call);
  }
  if (!call->head.is_sealed) {
    selector_.OnFailure(now, call->server.id);
    hooks_.count("attempts_unsealed");
    return Retry(now, call, true);
  }
  if (call->is_streaming && !call->forwards_events) {
    selector_.OnFailure(now, call->server.id);
    hooks_.count("attempts_failed");
    return Retry(now, call, true);
  }
  selector_.OnSuccess(call->server.id);
  if (call->is_streaming)
    return FinishStream(now, call);
  FinishBuffered(now, call);
}

void call_dispatch::FinishStream(time_point now, call_state* call) {
  if (!call->events.OnAnswerEnd(call->head.ends_by_close)) {
    hooks_.count("streams_cut");
    return Retry(now, call, true);
  }
  hooks_.log(log_event::kCallAnswered,
             Describe(now, *call) + " status=200 events=" +
                 std::to_string(call->events.LastEvent().value_or(0)));
  hooks_.record_duration("call", now - call->arrived_at);
  CountByRank(*call, "answered");
  RecordLength(*call);
  const uint64_t id = call->id;
  Erase(now, call);
  hooks_.end_stream(id);
}

void call_dispatch::RecordLength(const call_state& call) {
  const site_service* service = index_->FindService(call.service);
  // The caller of a stream that it resumed has events that this entry has not
  // counted.
  if (!call.is_model || call.request.last_event || service == nullptr ||
      !service->engine) {
    return;
  }
  answer_lengths_.Record(
      call.route.name, call.tenant, call.request.hinted_tokens,
      call.events.ForwardedCount() * std::max(1U, service->engine->stride));
}

void call_dispatch::FinishBuffered(time_point now, call_state* call) {
  hooks_.log(log_event::kCallAnswered, Describe(now, *call) + " status=" +
                                           std::to_string(call->head.status));
  hooks_.record_duration("call", now - call->arrived_at);
  CountByRank(*call, "answered");
  const uint64_t id = call->id;
  const std::string body = std::move(call->body);
  Erase(now, call);
  hooks_.answer(id, body);
}

attempt_result call_dispatch::ResultOf(const call_state& call,
                                       exchange_end end) {
  if (IsBroken(end))
    return attempt_result::kBroken;
  if (end != exchange_end::kComplete || !call.has_head ||
      !IsSuccess(call.head.status)) {
    return attempt_result::kOther;
  }
  if (call.head.ends_by_close)
    return attempt_result::kClosed;
  const bool is_whole =
      !call.is_streaming ||
      (call.events.HasAnswerEvent() && call.events.Incomplete().empty());
  return call.head.is_sealed && is_whole ? attempt_result::kAnswered
                                         : attempt_result::kOther;
}

}  // namespace fuchsiafall
