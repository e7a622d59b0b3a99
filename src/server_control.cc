/// @file server_control.cc Lifecycle control of one backend server.
#include "server_control_base.h"

#include <algorithm>

#include "hash_func.h"

namespace fuchsiafall {

server_control::server_control(server_control_options options)
    : options_(std::move(options)) {}

void server_control::SetTarget(time_point now,
                               const topology_ptr& config,
                               const proto::service& service,
                               const std::vector<artifact_ref>& parts) {
  std::string before = TargetKey();
  service_ = service;
  parts_ = parts;
  topology_ = config;
  std::vector<std::string> members;
  const failure_domain* own = config->FindDomain(options_.domain.value);
  if (own != nullptr && own->servers.contains(service.id())) {
    members = own->servers.at(service.id());
  }
  loading_order_.clear();
  for (size_t i : RendezvousRank(TargetKey(), members, members.size())) {
    loading_order_.push_back(members[i]);
  }
  if (TargetKey() == before)
    return;
  loaded_.clear();
  was_ordered_ = false;
  had_weights_ = false;
  last_reason_.clear();
  weights_ready_at_ = now;
  if (stage_ == server_stage::kDraining)
    stage_ = server_stage::kServing;
}

void server_control::OnReport(time_point now,
                              const engine_report& report,
                              output_list* out) {
  bool restarted = !engine_.start_id.empty() && !report.start_id.empty() &&
                   report.start_id != engine_.start_id;
  if (restarted) {
    out->Count("engine_restarts");
    out->Log(log_event::kEngineRestarted, "start=" + report.start_id);
    was_ordered_ = false;
  }
  // A report may still describe the engine from before its start or load as
  // warm; IsWarm() ignores reports for max_report_age after cold_since_.
  if (restarted || !engine_.reachable || engine_.stage != report.stage)
    cold_since_ = now;
  std::string known_start = engine_.start_id;
  engine_ = report;
  if (engine_.start_id.empty())
    engine_.start_id = known_start;
  if (!report.reachable) {
    stage_ = server_stage::kUnknown;
    return;
  }
  if (IsPlain()) {
    stage_ = server_stage::kServing;
    return;
  }
  switch (report.stage) {
    case engine_report::load_stage::kEmpty:
      stage_ = server_stage::kEmpty;
      break;
    case engine_report::load_stage::kLoading:
      stage_ = server_stage::kLoading;
      break;
    case engine_report::load_stage::kReady:
      if (was_ordered_ && ServesTarget()) {
        was_ordered_ = false;
        loaded_.insert(options_.self.value);
        out->Count("versions_loaded");
        out->Log(log_event::kServing,
                 "version=" + report.version +
                     " after_ms=" + std::to_string(ToMs(now - ordered_at_)));
      }
      if (ServesTarget())
        loaded_.insert(options_.self.value);
      if (stage_ != server_stage::kDraining || ServesTarget())
        stage_ = server_stage::kServing;
      break;
  }
}

void server_control::OnLoadAnswer(time_point now,
                                  const load_answer& answer,
                                  output_list* out) {
  if (answer.version != service_.version())
    return;
  switch (answer.status) {
    case load_answer::status_type::kAccepted:
      return;
    case load_answer::status_type::kStale:
      was_ordered_ = false;
      return;
    case load_answer::status_type::kRefused:
    case load_answer::status_type::kUnreachable:
      last_reason_ = "engine: " + answer.reason;
      // Retried after order_retry, since the failure may be transient.
      ordered_at_ = now;
      if (stage_ == server_stage::kDraining)
        stage_ = server_stage::kServing;
      out->Count("load_orders_refused");
      out->Log(log_event::kRolloutFailed,
               "version=" + answer.version + " " + last_reason_);
      return;
  }
}

bool server_control::OnLoadedMap(const proto::loaded_map& map) {
  if (map.target() != TargetKey())
    return false;
  bool changed = false;
  for (const std::string& vm : map.vms()) {
    bool is_member = std::find(loading_order_.begin(), loading_order_.end(),
                               vm) != loading_order_.end();
    if (is_member && loaded_.insert(vm).second)
      changed = true;
  }
  return changed;
}

void server_control::OnPause(time_point now) {
  was_paused_ = true;
  paused_at_ = now;
}

void server_control::RunDue(time_point now,
                            const server_context& context,
                            output_list* out) {
  if (IsPlain() || topology_ == nullptr || !engine_.reachable || ServesTarget())
    return;
  if (!context.weights_complete) {
    had_weights_ = false;
    return;
  }
  if (!had_weights_) {
    had_weights_ = true;
    weights_ready_at_ = now;
  }
  if (was_ordered_ && now - ordered_at_ < options_.order_retry)
    return;
  if (!IsConfirmed(now, context))
    return;
  was_paused_ = false;
  switch (stage_) {
    case server_stage::kEmpty:
      OrderLoad(now, out);
      return;
    case server_stage::kServing:
      if (HasLoadSlot(now))
        stage_ = server_stage::kDraining;
      return;
    case server_stage::kDraining:
      if (context.running_calls == 0)
        OrderLoad(now, out);
      return;
    default:
      return;
  }
}

bool server_control::Accepts() const {
  if (stage_ != server_stage::kServing)
    return false;
  return IsPlain() || !engine_.version.empty();
}

bool server_control::IsWarm(time_point now) const {
  return engine_.is_warm && now - cold_since_ > options_.max_report_age;
}

std::string server_control::ServedVersion() const {
  return Accepts() && !IsPlain() ? engine_.version : "";
}

proto::loaded_map server_control::LoadedMap() const {
  proto::loaded_map map;
  map.set_target(TargetKey());
  for (const std::string& vm : loaded_)
    map.add_vms(vm);
  return map;
}

bool server_control::ServesTarget() const {
  if (engine_.stage != engine_report::load_stage::kReady)
    return false;
  if (engine_.version != service_.version())
    return false;
  return std::all_of(
      parts_.begin(), parts_.end(), [&](const artifact_ref& part) {
        return std::find(engine_.digests.begin(), engine_.digests.end(),
                         ToHex(part.manifest.value)) != engine_.digests.end();
      });
}

bool server_control::IsConfirmed(time_point now,
                                 const server_context& context) const {
  if (!was_paused_ || context.last_confirmed > paused_at_)
    return true;
  // A server isolated from all peers and the store proceeds with the last known
  // target.
  return now - paused_at_ > options_.max_confirmation_wait;
}

bool server_control::HasLoadSlot(time_point now) const {
  const uint64_t share =
      topology_->Configuration().rules().loading_share_percent();
  const size_t slots = std::max<size_t>(1, loading_order_.size() * share / 100);
  size_t ahead = 0;
  for (const std::string& vm : loading_order_) {
    if (vm == options_.self.value)
      break;
    if (!loaded_.contains(vm))
      ++ahead;
  }
  if (ahead < slots)
    return true;
  // Servers ahead that never report as loaded are skipped after a timeout, one
  // group of slots at a time.
  return now - weights_ready_at_ >
         static_cast<int>(ahead / slots) * options_.load_slot_timeout;
}

void server_control::OrderLoad(time_point now, output_list* out) {
  was_ordered_ = true;
  ordered_at_ = now;
  out->Count("load_orders");
  out->Log(log_event::kLoadOrdered,
           "version=" + service_.version() +
               " fence=" + std::to_string(topology_->Revision().value) + "/" +
               std::to_string(options_.own_incarnation.value));
  out->Add(order_load{service_.version(), parts_, topology_->Revision(),
                      options_.own_incarnation});
}

std::string server_control::TargetKey() const {
  std::string key = service_.id() + " " + service_.version();
  for (const artifact_ref& part : parts_)
    key += " " + ToHex(part.manifest.value);
  return key;
}

}  // namespace fuchsiafall
