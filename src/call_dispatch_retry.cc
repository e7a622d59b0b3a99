/// @file call_dispatch_retry.cc Repeats at a hosted entry: after an attempt
/// that failed, and in place of one whose server is silent.
#include "call_dispatch_base.h"

namespace fuchsiafall {

bool call_dispatch::MayRepeat(const call_state& call, bool may_have_run) {
  if (!call.has_body)
    return false;
  const bool is_repeatable =
      !may_have_run || call.kind == call_kind::kIdempotent ||
      (call.kind == call_kind::kStream && call.route.is_resumable);
  return is_repeatable &&
         call.possible_runs < std::max(1U, call.route.attempts);
}

void call_dispatch::Retry(time_point now, call_state* call, bool may_have_run) {
  if (!MayRepeat(*call, may_have_run))
    return Refuse(now, call, call_refusal::kServerFailed);
  call->place_request_count = 0;
  call->asked_servers.clear();
  Dispatch(now, call);
}

void call_dispatch::RecordSilence(time_point now, call_state* call) {
  if (call->is_silent)
    return;
  call->is_silent = true;
  selector_.OnFailure(now, call->server.id);
  hooks_.count("attempts_silent");
}

void call_dispatch::OnProgress(time_point now, call_state* call) {
  CancelPlaceRequest(now, call);
  call->progress_at = now;
  call->search_at.reset();
  if (call->kind == call_kind::kStream) {
    call->search_at = now + options_.event_timeout;
  } else if (MayRepeat(*call, true)) {
    call->search_at =
        now + std::max<duration>(
                  options_.attempt_timeout_targets * call->route.target_latency,
                  options_.min_attempt_timeout);
  }
}

void call_dispatch::Search(time_point now, call_state* call) {
  call->search_at.reset();
  if (call->has_attempt) {
    RecordSilence(now, call);
    if (!MayRepeat(*call, true))
      return;
  }
  Retry(now, call, true);
}

bool call_dispatch::MayPass(time_point now,
                            const call_state& call,
                            call_refusal reason) const {
  switch (reason) {
    case call_refusal::kStateTooOld:
    case call_refusal::kNoPlace:
    case call_refusal::kNoRetry:
      return true;
    case call_refusal::kNoServer:
      return selector_.FirstPauseEnd(now, QueryOf(call)).has_value();
    default:
      return false;
  }
}

void call_dispatch::OnNoServer(time_point now,
                               call_state* call,
                               call_refusal reason) {
  // The server of the attempt may still go on. A caller that has part of a
  // stream can only lose it by a refusal.
  const bool may_wait =
      call->has_attempt || (call->is_streaming && MayPass(now, *call, reason));
  if (!may_wait)
    return Refuse(now, call, reason);
  call->search_at = now + options_.search_interval;
}

bool call_dispatch::IsRecalled(time_point now, const call_state& call) {
  return call.has_attempt && call.recall_at && now >= *call.recall_at &&
         !call.events.HasAnswerEvent();
}

}  // namespace fuchsiafall
