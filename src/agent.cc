/// @file agent.cc State machine of the agent.
#include "agent_base.h"

#include <algorithm>

#include "envelope_func.h"
#include "hash_func.h"

namespace fuchsiafall {

namespace {

/// Minimum interval between published states without an urgent change.
constexpr milliseconds kStateInterval{500};

/// Lists the artifacts that a model service requires, the version first.
std::vector<artifact_ref> RequiredArtifacts(const topology& config,
                                            const proto::service& service) {
  std::vector<artifact_ref> parts;
  const proto::version* version = config.FindVersion(service.version());
  if (version == nullptr)
    return parts;
  parts.push_back({version->id(), *DigestFromHex(version->manifest_digest())});
  for (const std::string& id : service.adapters()) {
    const proto::adapter* adapter = config.FindAdapter(id);
    if (adapter == nullptr || adapter->base_version() != version->id())
      continue;
    parts.push_back(
        {adapter->id(), *DigestFromHex(adapter->manifest_digest())});
  }
  return parts;
}

/// Whether a change of state is published at once instead of with the next
/// heartbeats.
bool IsUrgent(const proto::server_state& before,
              const proto::server_state& after) {
  return before.version() != after.version() ||
         before.accepting() != after.accepting() ||
         before.warm() != after.warm();
}

}  // namespace

agent::agent(agent_options options, std::shared_ptr<blob_store> blobs)
    : options_(std::move(options)),
      gossip_(options_.gossip),
      weights_(options_.weights, std::move(blobs)),
      server_(options_.server),
      calls_(options_.calls) {}

output_list agent::Step(time_point now, const agent_input& input) {
  output_list out;
  if (std::holds_alternative<tick>(input)) {
    RunDue(now, &out);
  } else if (std::holds_alternative<pause_detected>(input)) {
    out.Count("pauses");
    out.Log(log_event::kPauseNoticed, "");
    server_.OnPause(now);
  } else if (std::holds_alternative<shutdown_order>(input)) {
    is_shutting_down_ = true;
    calls_.ShutDown(now, &out);
  } else if (const auto* changes = std::get_if<store_changes>(&input)) {
    const proto::configuration* snapshot =
        changes->snapshot ? &*changes->snapshot : nullptr;
    if (gossip_.OnStoreChanges(now, snapshot, changes->edits, &out))
      OnNewRevision(now, &out);
  } else if (const auto* list = std::get_if<proto::vm_list>(&input)) {
    gossip_.OnVmList(now, *list, &out);
  } else if (const auto* arrival = std::get_if<message_arrival>(&input)) {
    OnMessage(now, *arrival, &out);
  } else if (const auto* blob = std::get_if<blob_arrival>(&input)) {
    weights_.OnBlob(now, *blob, &out);
    weights_.RunDue(now, &out);
  } else if (const auto* report = std::get_if<engine_report>(&input)) {
    OnEngineReport(now, *report, &out);
  } else if (const auto* answer = std::get_if<load_answer>(&input)) {
    server_.OnLoadAnswer(now, *answer, &out);
  } else if (const auto* part = std::get_if<engine_part>(&input)) {
    calls_.OnPart(now, *part, &out);
  } else if (const auto* record = std::get_if<record_result>(&input)) {
    calls_.OnRecord(now, *record, &out);
  }
  PublishState(now, &out);
  return out;
}

proto::server_state agent::State() const {
  proto::server_state state;
  state.set_service(service_);
  state.set_version(server_.ServedVersion());
  state.set_limit(calls_.Admission().Limit());
  state.set_in_flight(
      static_cast<uint32_t>(calls_.Running() + calls_.Queued()));
  const proto::vm* own = gossip_.Topology()->FindVm(options_.self);
  bool may_serve = own != nullptr && gossip_.Topology()->IsInService(*own) &&
                   !gossip_.IsLeaving(options_.self) && !is_shutting_down_;
  state.set_accepting(may_serve && server_.Accepts());
  state.set_warm(calls_.Admission().IsWarm());
  for (const std::string& adapter : server_.Engine().adapters)
    state.add_adapters(adapter);
  state.set_progress_percent(weights_.ProgressPercent());
  state.set_bytes_from_origin(weights_.Sources().origin);
  state.set_bytes_from_own_domain(weights_.Sources().own_domain);
  state.set_bytes_from_other_domains(weights_.Sources().other_domains);
  state.set_target_bytes(weights_.TargetBytes());
  if (!weights_.Target().empty())
    state.set_loading_version(weights_.Target().front().name);
  std::string last_reason = weights_.LastReason();
  state.set_last_reason(last_reason.empty() ? server_.LastReason()
                                            : last_reason);
  return state;
}

void agent::OnMessage(time_point now,
                      const message_arrival& arrival,
                      output_list* out) {
  const proto::envelope& message = arrival.message;
  const vm_id from(message.vm());
  switch (message.body_case()) {
    case proto::envelope::kHave:
      weights_.OnHaveMap(now, from, message.have(), out);
      return;
    case proto::envelope::kBlobRequest:
      weights_.OnBlobRequest(now, from, message.blob_request(), out);
      return;
    case proto::envelope::kLoaded:
      if (server_.OnLoadedMap(message.loaded()))
        SendLoadedMap(out);
      return;
    case proto::envelope::kCall:
      OnCall(now, message, out);
      return;
    case proto::envelope::kCancel:
      calls_.OnCancel(now, {from, attempt_id(message.cancel().attempt_id())},
                      message.cancel().was_silent(), out);
      return;
    default:
      if (gossip_.OnMessage(now, message, out))
        OnNewRevision(now, out);
      return;
  }
}

void agent::OnCall(time_point now,
                   const proto::envelope& message,
                   output_list* out) {
  const topology& config = *gossip_.Topology();
  const proto::call_request& request = message.call();
  const proto::vm* entry = config.FindVm(vm_id(message.vm()));
  std::string address = entry != nullptr
                            ? topology::AddressOf(*entry, plane::kTraffic)
                            : message.reply_address();
  if (address.empty()) {
    out->Count("calls_without_address");
    return;
  }
  gossip_.AddStateWatcher(now, vm_id(message.vm()));
  const proto::vm* own = config.FindVm(options_.self);
  call_context context;
  context.service =
      own == nullptr ? nullptr : config.FindService(own->service());
  context.accepts = server_.Accepts();
  // Empty while the server drains, since it is about to unload its version.
  context.served_version = server_.ServedVersion();
  context.adapters = server_.Engine().adapters;
  context.domain_in_service = own != nullptr && config.IsInService(*own);
  context.is_leaving = gossip_.IsLeaving(options_.self);
  const proto::organisation* organisation =
      config.FindOrganisation(request.organisation());
  if (organisation != nullptr)
    context.weight = std::max(1U, organisation->weight());
  // Entry and agent must both classify the call as idempotent, since either may
  // have an outdated configuration.
  context.is_idempotent =
      request.idempotent() && context.service != nullptr &&
      config.IsIdempotent(*context.service, request.method(), request.path());
  calls_.OnCall(now, vm_id(message.vm()), address, request, context, out);
}

void agent::OnEngineReport(time_point now,
                           const engine_report& report,
                           output_list* out) {
  bool restarted = !report.start_id.empty() &&
                   !server_.Engine().start_id.empty() &&
                   report.start_id != server_.Engine().start_id;
  bool turned_cold =
      report.reachable && server_.Engine().is_warm && !report.is_warm;
  bool version_changed = report.version != server_.Engine().version;
  server_.OnReport(now, report, out);
  if (restarted || turned_cold || version_changed)
    calls_.ResetToColdLimit(out);
  calls_.SetWarm(server_.IsWarm(now));
  SendLoadedMap(out);
}

void agent::OnNewRevision(time_point now, output_list* out) {
  const topology_ptr& config = gossip_.Topology();
  const proto::vm* own = config->FindVm(options_.self);
  const proto::service* service =
      own == nullptr ? nullptr : config->FindService(own->service());
  if (service == nullptr)
    return;
  bool is_first = service_.empty();
  service_ = service->id();
  calls_.SetLimits(service->cold_limit(), service->most_limit());
  std::vector<artifact_ref> parts = RequiredArtifacts(*config, *service);
  server_.SetTarget(now, config, *service, parts);
  weights_.SetTarget(now, config, service_, parts, is_first, out);
  if (is_first || parts.empty())
    return;
  out->Log(log_event::kTargetChanged, "version=" + service->version());
}

void agent::RunDue(time_point now, output_list* out) {
  gossip_.RunDue(now, out);
  weights_.RunDue(now, out);
  server_.RunDue(now,
                 {.weights_complete = weights_.IsComplete(),
                  .running_calls = calls_.Running(),
                  .last_confirmed = gossip_.LastConfirmed()},
                 out);
  const proto::vm* own = gossip_.Topology()->FindVm(options_.self);
  if (own != nullptr && !gossip_.Topology()->IsInService(*own)) {
    calls_.RefuseQueued(now, reason::kDomainOut, out);
  } else if (gossip_.IsLeaving(options_.self)) {
    calls_.RefuseQueued(now, reason::kServerLeaving, out);
  } else if (!server_.Accepts()) {
    calls_.RefuseQueued(now, reason::kServerLoading, out);
  }
  calls_.RunDue(now, out);
}

void agent::SendLoadedMap(output_list* out) {
  proto::loaded_map map = server_.LoadedMap();
  std::string text = map.SerializeAsString();
  if (map.vms().empty() || text == sent_loaded_map_)
    return;
  sent_loaded_map_ = text;
  const failure_domain* own =
      gossip_.Topology()->FindDomain(options_.domain.value);
  if (own == nullptr || !own->servers.contains(service_))
    return;
  for (const std::string& id :
       RingNeighbours(own->servers.at(service_), options_.self.value,
                      options_.weights.neighbours)) {
    proto::envelope message =
        MakeEnvelope(options_.self, options_.gossip.own_incarnation);
    *message.mutable_loaded() = map;
    const proto::vm* vm = gossip_.Topology()->FindVm(vm_id(id));
    out->Send(plane::kControl, topology::AddressOf(*vm, plane::kControl),
              std::move(message));
  }
}

void agent::PublishState(time_point now, output_list* out) {
  proto::server_state state = State();
  calls_.SetState(state);
  bool urgent = IsUrgent(published_, state);
  if (!urgent && now - published_at_ < kStateInterval)
    return;
  published_at_ = now;
  published_ = state;
  gossip_.SetOwnState(now, state, urgent, out);
}

}  // namespace fuchsiafall
