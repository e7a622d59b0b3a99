/// @file request_table.cc Open requests of callers at one entry.
#include "request_table_base.h"

#include <algorithm>

#include "envelope_func.h"
#include "hash_func.h"
#include "network/http_status.h"

namespace fuchsiafall {

namespace {

constexpr double kMaxRetryTokens = 100;  // Capacity of the retry budget.
constexpr uint32_t kMaxAttempts = 8;
/// Attempts at servers that are at their limit; the last one may queue.
constexpr uint32_t kMaxFullAttempts = 6;
/// Delay before a retry that a refusal suggests if the agent suggested none.
constexpr milliseconds kRetryAfter{1000};
/// Length of the hashed prefix of the prompt.
constexpr size_t kAffinityBytes = 256;

/// Whether a refusal means that the entry's state of a server was outdated.
bool IsOutdatedStateRefusal(reason reason) {
  switch (reason) {
    case reason::kDomainOut:
    case reason::kServerLeaving:
    case reason::kServerLoading:
    case reason::kWrongVersion:
    case reason::kShuttingDown:
      return true;
    default:
      return false;
  }
}

/// Whether a failed attempt counts as a failure of the server.
bool IsServerFailure(reason reason) {
  switch (reason) {
    case reason::kEngineUnreachable:
    case reason::kEngineCrashed:
    case reason::kEngineFailed:
    case reason::kAnswerIncomplete:
    case reason::kAttemptSilent:
      return true;
    default:
      return false;
  }
}

}  // namespace

request_table::request_table(request_table_options options,
                             router* routes,
                             gossip* members)
    : options_(std::move(options)),
      router_(routes),
      gossip_(members),
      retry_tokens_(kMaxRetryTokens) {
  // Attempt ids must differ from those of an earlier process on this VM.
  next_attempt_ =
      Hash64(options_.self.value, options_.own_incarnation.value) | 1;
}

void request_table::OnRequest(time_point now,
                              const caller_request& from,
                              output_list* out) {
  out->Count("requests");
  request item;
  item.id = from.id;
  item.received_at = now;
  item.last_progress = now;
  item.deadline =
      now + (from.deadline.count() > 0 ? from.deadline : options_.deadline);
  item.ready_deadline =
      std::min<time_point>(item.deadline, now + options_.max_ready_wait);
  std::optional<reason> refused = Resolve(from, &item);
  if (refused) {
    Refuse(&item, *refused, out);
    return;
  }
  request& added = requests_.emplace(item.id, std::move(item)).first->second;
  TryNextServer(now, &added, out);
}

void request_table::OnCallerDisconnected(time_point now,
                                         uint64_t id,
                                         output_list* out) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  out->Count("callers_gone");
  CancelAttempt(&it->second, false, out);
  EndAttempt(now, &it->second, false, out);
  requests_.erase(it);
}

void request_table::OnPart(time_point now,
                           const vm_id& from,
                           const proto::call_part& part,
                           output_list* out) {
  if (part.has_state())
    router_->OnServerState(now, from, part.state());
  auto attempt = attempts_.find(attempt_id(part.attempt_id()));
  auto it = attempt == attempts_.end() ? requests_.end()
                                       : requests_.find(attempt->second);
  if (it == requests_.end() || it->second.server != from) {
    out->Count("parts_late");
    return;
  }
  request& item = it->second;
  item.last_progress = now;
  if (part.last() && part.reason() != 0) {
    item.retry_after = milliseconds(part.retry_after_ms());
    OnFailedAttempt(now, &item, ReasonFromNumber(part.reason()),
                    part.may_have_run(), out);
    return;
  }
  if (!part.last() && part.data().empty())
    return;  // Keepalive.
  if (part.sequence() != item.next_sequence) {
    CancelAttempt(&item, false, out);
    OnFailedAttempt(now, &item, reason::kAnswerIncomplete, true, out);
    return;
  }
  AcceptPart(now, &item, part, out);
}

void request_table::OnPause(time_point now) {
  for (auto& [id, item] : requests_)
    item.last_progress = now;
}

void request_table::RunDue(time_point now, output_list* out) {
  std::vector<uint64_t> ids;
  ids.reserve(requests_.size());
  for (const auto& [id, item] : requests_)
    ids.push_back(id);
  for (uint64_t id : ids) {
    auto it = requests_.find(id);
    if (it == requests_.end())
      continue;
    request& item = it->second;
    const bool is_unassigned = item.attempt.value == 0;
    if (now >= item.deadline || (is_unassigned && now >= item.ready_deadline)) {
      if (!is_unassigned)
        item.may_have_run = true;
      CancelAttempt(&item, false, out);
      EndAttempt(now, &item, false, out);
      Refuse(&item, is_unassigned ? item.last_reason : reason::kDeadline, out);
    } else if (is_unassigned) {
      TryNextServer(now, &item, out);
    } else if (now - item.last_progress > options_.progress_timeout) {
      ResetLink(item, out);
      CancelAttempt(&item, true, out);
      OnFailedAttempt(now, &item, reason::kAttemptSilent, true, out);
    }
  }
}

std::optional<reason> request_table::Resolve(const caller_request& from,
                                             request* item) const {
  if (is_shutting_down_)
    return reason::kShuttingDown;
  const topology& view = *gossip_->Topology();
  const proto::organisation* organisation =
      view.FindOrganisationByToken(from.token);
  if (organisation == nullptr)
    return reason::kUnknownOrganisation;
  if (from.is_model_call) {
    if (!ResolveModel(from.model, item))
      return reason::kUnknownService;
  } else {
    item->query.service = from.model;
  }
  const proto::service* service = view.FindService(item->query.service);
  if (service == nullptr)
    return reason::kUnknownService;
  if ((service->kind() == proto::service::MODEL) != from.is_model_call) {
    return reason::kUnknownService;
  }
  proto::call_request& call = item->call;
  call.set_service(service->id());
  call.set_organisation(organisation->id());
  call.set_adapter(item->query.adapter);
  call.set_method(from.method);
  call.set_path(from.path);
  call.set_body(from.body);
  call.set_idempotent(view.IsIdempotent(*service, from.method, from.path));
  call.set_idempotency_key(from.idempotency_key);
  call.set_fingerprint(
      Hash64(from.path + "\n" + from.body, Hash64(service->id())));
  call.set_priority(from.priority);
  call.set_stream(from.stream);
  if (!call.idempotent()) {
    if (from.idempotency_key.empty())
      return reason::kKeyMissing;
    // Requests with the same key go to the same server if possible, because it
    // has the saved answer.
    item->query.affinity =
        Hash64(organisation->id() + "\n" + from.idempotency_key) | 1;
    item->query.is_sticky = true;
  } else if (from.is_model_call && !from.prefix.empty()) {
    item->query.affinity = Hash64(from.prefix.substr(0, kAffinityBytes)) | 1;
  }
  return std::nullopt;
}

bool request_table::ResolveModel(const std::string& name, request* item) const {
  const topology& view = *gossip_->Topology();
  for (const auto& service : view.Configuration().inventory().services()) {
    if (service.kind() != proto::service::MODEL)
      continue;
    const proto::version* version = view.FindVersion(service.version());
    const auto& adapters = service.adapters();
    bool is_adapter =
        std::find(adapters.begin(), adapters.end(), name) != adapters.end();
    if (service.id() != name && version->model() != name && !is_adapter)
      continue;
    item->query.service = service.id();
    if (is_adapter)
      item->query.adapter = name;
    return true;
  }
  return false;
}

void request_table::TryNextServer(time_point now,
                                  request* item,
                                  output_list* out) {
  const uint32_t crashes =
      gossip_->CrashesOf(now, fingerprint(item->call.fingerprint()));
  const uint32_t quarantine_limit =
      gossip_->Topology()->Configuration().rules().quarantine_crashes();
  if (quarantine_limit > 0 && crashes >= quarantine_limit) {
    out->Log(log_event::kRequestQuarantined,
             "fingerprint=" + std::to_string(item->call.fingerprint()));
    Refuse(item, reason::kQuarantined, out);
    return;
  }
  item->query.excluded = &item->tried;
  item->query.ignores_distance = item->last_reason == reason::kServerFull;
  auto avoid = [&](const vm_id& id) {
    return gossip_->IsLeaving(id) || gossip_->IsSuspect(now, id);
  };
  std::optional<vm_id> server = router_->Choose(now, item->query, avoid);
  if (server) {
    SendAttempt(now, item, *server, out);
    return;
  }
  // No other server is available. One that refused an attempt may have capacity
  // a moment later.
  if (!item->tried.empty())
    item->tried.clear();
}

void request_table::SendAttempt(time_point now,
                                request* item,
                                const vm_id& server,
                                output_list* out) {
  const backend_server* chosen = router_->Find(server);
  item->attempt = attempt_id(next_attempt_++);
  item->server = server;
  item->last_progress = now;
  item->next_sequence = 0;
  item->bytes = 0;
  item->buffered.clear();
  item->tried.insert(server);
  ++item->attempts;
  attempts_[item->attempt] = item->id;
  router_->OnAttemptSent(server);
  out->Count("attempts");

  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  proto::call_request* call = message.mutable_call();
  *call = item->call;
  call->set_attempt_id(item->attempt.value);
  // Known loads are outdated, so the first attempts do not queue at a full
  // server.
  call->set_may_queue(item->attempts >= kMaxFullAttempts);
  call->set_version(chosen->state.version());
  call->set_deadline_ms(static_cast<uint32_t>(ToMs(item->deadline - now)));
  call->set_revision(gossip_->Topology()->Revision().value);
  message.set_reply_address(options_.own_traffic_address);
  const proto::vm* vm = gossip_->Topology()->FindVm(server);
  out->Send(plane::kTraffic, topology::AddressOf(*vm, plane::kTraffic),
            std::move(message));
}

void request_table::OnFailedAttempt(time_point now,
                                    request* item,
                                    reason reason,
                                    bool may_have_run,
                                    output_list* out) {
  item->last_reason = reason;
  if (may_have_run)
    item->may_have_run = true;
  if (reason == reason::kEngineCrashed) {
    gossip_->AddCrash(now, fingerprint(item->call.fingerprint()), 1);
  }
  EndAttempt(now, item, IsServerFailure(reason), out);
  if (!MayRetry(*item, reason) || now >= item->deadline) {
    Refuse(item, reason, out);
    return;
  }
  if (!SpendRetryToken(reason)) {
    out->CountRefusal(reason::kRetryBudget);
    Refuse(item, reason, out);
    return;
  }
  out->CountRetry(reason);
  TryNextServer(now, item, out);
}

bool request_table::MayRetry(const request& item, reason reason) const {
  if (item.has_answered || item.attempts >= kMaxAttempts)
    return false;
  if (item.may_have_run && !item.call.idempotent())
    return false;
  switch (reason) {
    case reason::kServerFull:
    case reason::kQueueDeadline:
      return item.attempts < kMaxFullAttempts;
    case reason::kKeyUsed:
    case reason::kKeyMissing:
    case reason::kBadRequest:
    case reason::kUnknownService:
    case reason::kDeadline:
      return false;
    default:
      return true;
  }
}

bool request_table::SpendRetryToken(reason reason) {
  // Such a refusal carries the current state of the server, so these retries
  // cannot go on without end.
  if (IsOutdatedStateRefusal(reason) || reason == reason::kServerFull)
    return true;
  if (retry_tokens_ < 1)
    return false;
  retry_tokens_ -= 1;
  return true;
}

void request_table::AcceptPart(time_point now,
                               request* item,
                               const proto::call_part& part,
                               output_list* out) {
  ++item->next_sequence;
  item->bytes += part.data().size();
  if (part.sequence() == 0) {
    item->http_status = static_cast<int>(part.http_status());
    item->content_type = part.content_type();
  }
  const bool is_status_valid =
      item->http_status >= kHttpOk && item->http_status <= kMaxHttpStatus;
  if (!is_status_valid || (part.last() && part.total_bytes() != item->bytes)) {
    OnFailedAttempt(now, item, reason::kAnswerIncomplete, true, out);
    return;
  }
  if (!item->call.stream()) {
    item->buffered += part.data();
    if (part.last())
      Finish(now, item, out);
    return;
  }
  out->Add(answer_part{.request = item->id,
                       .data = part.data(),
                       .http_status = item->http_status,
                       .content_type = item->content_type,
                       .first = !item->has_answered,
                       .last = part.last()});
  item->has_answered = true;
  if (part.last())
    Finish(now, item, out);
}

void request_table::Finish(time_point now, request* item, output_list* out) {
  if (!item->call.stream()) {
    out->Add(answer_part{.request = item->id,
                         .data = std::move(item->buffered),
                         .http_status = item->http_status,
                         .content_type = item->content_type,
                         .first = true,
                         .last = true});
  }
  out->Count("requests_answered");
  retry_tokens_ =
      std::min(kMaxRetryTokens, retry_tokens_ + options_.retry_share);
  gossip_->ClearCrashes(fingerprint(item->call.fingerprint()));
  EndAttempt(now, item, false, out);
  requests_.erase(item->id);
}

void request_table::Refuse(request* item, reason reason, output_list* out) {
  out->CountRefusal(reason);
  milliseconds retry_after = item->retry_after;
  if (retry_after.count() == 0 && InfoOf(reason).http_status >= 429)
    retry_after = kRetryAfter;
  out->Add(answer_refusal{
      .request = item->id,
      .why = reason,
      .may_have_run = item->may_have_run || !InfoOf(reason).proves_not_run,
      .retry_after = retry_after});
  requests_.erase(item->id);
}

void request_table::ResetLink(const request& item, output_list* out) {
  const proto::vm* vm = gossip_->Topology()->FindVm(item.server);
  if (vm == nullptr)
    return;
  out->Add(
      reset_link{plane::kTraffic, topology::AddressOf(*vm, plane::kTraffic)});
}

void request_table::CancelAttempt(request* item,
                                  bool has_timed_out,
                                  output_list* out) {
  if (item->attempt.value == 0)
    return;
  const proto::vm* vm = gossip_->Topology()->FindVm(item->server);
  if (vm == nullptr)
    return;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  message.mutable_cancel()->set_attempt_id(item->attempt.value);
  message.mutable_cancel()->set_was_silent(has_timed_out);
  out->Send(plane::kTraffic, topology::AddressOf(*vm, plane::kTraffic),
            std::move(message));
}

void request_table::EndAttempt(time_point now,
                               request* item,
                               bool failed,
                               output_list* out) {
  if (item->attempt.value == 0)
    return;
  attempts_.erase(item->attempt);
  item->attempt = attempt_id(0);
  const bool has_timed_out =
      failed && item->last_reason == reason::kAttemptSilent;
  if (!router_->OnAttemptEnded(now, item->server, failed, has_timed_out))
    return;
  out->Count("servers_ejected");
  out->Log(log_event::kServerEjected, "server=" + item->server.value);
}

}  // namespace fuchsiafall
