/// @file call_table.cc Calls in progress at one agent.
#include "call_table_base.h"

#include <algorithm>

#include "envelope_func.h"
#include "hash_func.h"

namespace fuchsiafall {

namespace {

/// Delay before a retry that refusals suggest.
constexpr milliseconds kRetryAfter{200};
/// Longer answers are not saved.
constexpr size_t kMaxSavedBytes = 256 * 1024;

}  // namespace

call_table::call_table(call_table_options options)
    : options_(std::move(options)), admission_(options_.admission) {}

void call_table::SetLimits(uint32_t cold_limit, uint32_t max_limit) {
  admission_.SetLimits(cold_limit, max_limit);
}

void call_table::OnCall(time_point now,
                        const vm_id& entry,
                        const std::string& reply_address,
                        const proto::call_request& request,
                        const call_context& context,
                        output_list* out) {
  const call_id id{entry, attempt_id(request.attempt_id())};
  if (calls_.contains(id)) {
    out->Count("calls_repeated");
    return;
  }
  std::optional<reason> refused = FindRefusal(now, request, context);
  if (refused) {
    Refuse(reply_address, id, *refused, 0, !InfoOf(*refused).proves_not_run,
           out);
    return;
  }
  call item;
  item.request = request;
  item.reply_address = reply_address;
  item.deadline = now + milliseconds(request.deadline_ms());
  item.last_sent = now;
  item.is_idempotent = context.is_idempotent;
  if (!item.is_idempotent && AnswerFromSaved(id, item, out))
    return;

  admission_result result =
      admission_.Admit({.id = id,
                        .organisation = request.organisation(),
                        .weight = context.weight,
                        .priority = request.priority(),
                        .deadline = item.deadline,
                        .may_queue = request.may_queue()});
  if (result.evicted)
    RefuseAndErase(*result.evicted, reason::kServerFull, out);
  if (result.kind == admission_result::kind_type::kRefused) {
    Refuse(reply_address, id, reason::kServerFull, 0, false, out);
    return;
  }
  calls_.emplace(id, std::move(item));
  if (result.kind == admission_result::kind_type::kStarted)
    Begin(now, id, out);
}

void call_table::OnRecord(time_point now,
                          const record_result& result,
                          output_list* out) {
  auto it = calls_.find(result.id);
  bool is_expected =
      it != calls_.end() && it->second.stage == call_stage::kRecording;
  if (!is_expected)
    return;
  if (result.status == record_result::status_type::kCreated) {
    if (now < it->second.deadline) {
      Run(now, result.id, out);
      return;
    }
    // The call did not run, so the key may be used again.
    out->Add(
        release_record{RecordKey(it->second.request), RecordValue(result.id)});
  }
  reason reason = result.status == record_result::status_type::kExists
                      ? reason::kKeyUsed
                  : result.status == record_result::status_type::kCreated
                      ? reason::kQueueDeadline
                      : reason::kStoreUnavailable;
  admission_.OnFinished(now, std::nullopt);
  RefuseAndErase(result.id, reason, out);
  StartReady(now, out);
}

void call_table::OnPart(time_point now,
                        const engine_part& part,
                        output_list* out) {
  auto it = calls_.find(part.id);
  if (it == calls_.end() || it->second.stage != call_stage::kRunning) {
    out->Count("parts_late");
    return;
  }
  call& item = it->second;
  if (part.last && part.why != reason::kNone) {
    bool did_not_run = InfoOf(part.why).proves_not_run && !item.had_part;
    if (did_not_run && !item.is_idempotent) {
      out->Add(release_record{RecordKey(item.request), RecordValue(part.id)});
    }
    admission_.OnFinished(now, std::nullopt);
    Refuse(item.reply_address, part.id, part.why, item.next_sequence,
           !did_not_run, out);
    calls_.erase(it);
    StartReady(now, out);
    return;
  }
  if (!item.had_part)
    out->Count("calls_answered");
  duration answer_latency = now - item.started_at;
  item.had_part = true;
  SendPart(now, part.id, &item, part, out);
  if (!part.last)
    return;
  if (!item.is_idempotent)
    Save(item);
  if (admission_.OnFinished(now, answer_latency)) {
    out->Count("limit_falls");
    out->Log(log_event::kLimitLowered, "cause=latency");
  }
  calls_.erase(it);
  StartReady(now, out);
}

void call_table::OnCancel(time_point now,
                          const call_id& id,
                          bool has_timed_out,
                          output_list* out) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  // The entry received nothing, so the connection to it must be replaced.
  if (has_timed_out)
    out->Add(reset_link{plane::kTraffic, it->second.reply_address});
  out->Count("calls_cancelled");
  if (it->second.stage == call_stage::kQueued) {
    admission_.Remove(id);
    calls_.erase(it);
    return;
  }
  if (it->second.stage == call_stage::kRecording) {
    // The record, once created, would state that the call ran. OnRecord()
    // releases it instead, because the deadline has passed.
    it->second.deadline = now;
    return;
  }
  // A non-idempotent call runs to its end, so that its answer is saved for a
  // repeated idempotency key.
  if (it->second.is_idempotent)
    out->Add(cancel_call{id.attempt, id.entry});
}

void call_table::ResetToColdLimit(output_list* out) {
  admission_.ResetToColdLimit();
  out->Count("limit_falls");
  out->Log(log_event::kLimitLowered, "cause=cold");
}

void call_table::RefuseQueued(time_point, reason reason, output_list* out) {
  for (const call_id& id : admission_.RemoveAll())
    RefuseAndErase(id, reason, out);
}

void call_table::ShutDown(time_point now, output_list* out) {
  is_shutting_down_ = true;
  RefuseQueued(now, reason::kShuttingDown, out);
}

void call_table::RunDue(time_point now, output_list* out) {
  StartReady(now, out);
  for (auto& [id, item] : calls_) {
    bool is_overdue =
        item.stage == call_stage::kRunning && now >= item.deadline;
    // The caller's deadline has passed; the slot is freed for another call.
    if (is_overdue && item.is_idempotent)
      out->Add(cancel_call{id.attempt, id.entry});
    if (now - item.last_sent < options_.keepalive)
      continue;
    item.last_sent = now;
    proto::envelope message =
        MakeEnvelope(options_.self, options_.own_incarnation);
    message.mutable_part()->set_attempt_id(id.attempt.value);
    message.mutable_part()->set_sequence(item.next_sequence);
    out->Send(plane::kTraffic, item.reply_address, std::move(message));
  }
}

std::optional<reason> call_table::FindRefusal(
    time_point,
    const proto::call_request& request,
    const call_context& context) const {
  if (is_shutting_down_)
    return reason::kShuttingDown;
  if (context.service == nullptr ||
      request.service() != context.service->id()) {
    return reason::kUnknownService;
  }
  if (!context.domain_in_service)
    return reason::kDomainOut;
  if (context.is_leaving)
    return reason::kServerLeaving;
  if (!context.accepts)
    return reason::kServerLoading;
  if (request.version() != context.served_version)
    return reason::kWrongVersion;
  const auto& adapters = context.adapters;
  if (!request.adapter().empty() &&
      std::find(adapters.begin(), adapters.end(), request.adapter()) ==
          adapters.end()) {
    return reason::kWrongVersion;
  }
  if (!context.is_idempotent && request.idempotency_key().empty())
    return reason::kKeyMissing;
  if (request.deadline_ms() == 0)
    return reason::kQueueDeadline;
  return std::nullopt;
}

bool call_table::AnswerFromSaved(const call_id& id,
                                 const call& item,
                                 output_list* out) {
  auto saved = saved_.find(RecordKey(item.request));
  if (saved == saved_.end())
    return false;
  if (saved->second.fingerprint != item.request.fingerprint()) {
    Refuse(item.reply_address, id, reason::kKeyUsed, 0, true, out);
    return true;
  }
  out->Count("answers_from_saved");
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  proto::call_part* part = message.mutable_part();
  part->set_attempt_id(id.attempt.value);
  part->set_http_status(static_cast<uint32_t>(saved->second.http_status));
  part->set_content_type(saved->second.content_type);
  part->set_data(saved->second.data);
  part->set_last(true);
  part->set_total_bytes(saved->second.data.size());
  *part->mutable_state() = state_;
  out->Send(plane::kTraffic, item.reply_address, std::move(message));
  return true;
}

void call_table::Save(const call& item) {
  if (item.answer.size() > kMaxSavedBytes || options_.saved_answers == 0)
    return;
  std::string key = RecordKey(item.request);
  if (saved_.contains(key))
    return;
  if (saved_.size() >= options_.saved_answers) {
    saved_.erase(saved_order_.front());
    saved_order_.pop_front();
  }
  saved_[key] = {item.request.fingerprint(), item.http_status,
                 item.content_type, item.answer};
  saved_order_.push_back(key);
}

void call_table::Begin(time_point now, const call_id& id, output_list* out) {
  call& item = calls_.at(id);
  item.started_at = now;
  if (item.is_idempotent) {
    Run(now, id, out);
    return;
  }
  item.stage = call_stage::kRecording;
  out->Add(create_record{id.attempt, id.entry, RecordKey(item.request),
                         RecordValue(id)});
}

void call_table::Run(time_point now, const call_id& id, output_list* out) {
  call& item = calls_.at(id);
  item.stage = call_stage::kRunning;
  item.started_at = now;
  item.request.set_deadline_ms(
      static_cast<uint32_t>(std::max<int64_t>(1, ToMs(item.deadline - now))));
  out->Count("calls_started");
  out->Add(start_call{id.attempt, id.entry, item.request});
}

void call_table::StartReady(time_point now, output_list* out) {
  for (const call_id& id : admission_.RemoveExpired(now))
    RefuseAndErase(id, reason::kQueueDeadline, out);
  for (const call_id& id : admission_.DequeueReady())
    Begin(now, id, out);
}

void call_table::Refuse(const std::string& address,
                        const call_id& id,
                        reason reason,
                        uint32_t sequence,
                        bool may_have_run,
                        output_list* out) {
  out->CountRefusal(reason);
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  proto::call_part* part = message.mutable_part();
  part->set_attempt_id(id.attempt.value);
  part->set_sequence(sequence);
  part->set_last(true);
  part->set_reason(static_cast<uint32_t>(reason));
  part->set_may_have_run(may_have_run);
  part->set_retry_after_ms(static_cast<uint32_t>(kRetryAfter.count()));
  *part->mutable_state() = state_;
  out->Send(plane::kTraffic, address, std::move(message));
}

void call_table::RefuseAndErase(const call_id& id,
                                reason reason,
                                output_list* out) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  Refuse(it->second.reply_address, id, reason, 0,
         !InfoOf(reason).proves_not_run, out);
  calls_.erase(it);
}

void call_table::SendPart(time_point now,
                          const call_id& id,
                          call* item,
                          const engine_part& part,
                          output_list* out) {
  item->last_sent = now;
  item->bytes += part.data.size();
  if (item->next_sequence == 0) {
    item->http_status = part.http_status;
    item->content_type = part.content_type;
  }
  if (!item->is_idempotent && item->answer.size() <= kMaxSavedBytes)
    item->answer += part.data;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  proto::call_part* body = message.mutable_part();
  body->set_attempt_id(id.attempt.value);
  body->set_sequence(item->next_sequence++);
  body->set_data(part.data);
  body->set_http_status(static_cast<uint32_t>(part.http_status));
  body->set_content_type(part.content_type);
  if (part.last) {
    body->set_last(true);
    body->set_total_bytes(item->bytes);
    *body->mutable_state() = state_;
  }
  out->Send(plane::kTraffic, item->reply_address, std::move(message));
}

std::string call_table::RecordKey(const proto::call_request& request) const {
  std::string name = request.organisation() + '\n' + request.idempotency_key();
  return "fuchsiafall/once/" + request.service() + "/" +
         ToHex(DigestOf(name).value);
}

std::string call_table::RecordValue(const call_id& id) const {
  return options_.self.value + "/" +
         std::to_string(options_.own_incarnation.value) + "/" + id.entry.value +
         "/" + std::to_string(id.attempt.value);
}

}  // namespace fuchsiafall
