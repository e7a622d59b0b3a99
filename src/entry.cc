/// @file entry.cc State machine of the entry.
#include "entry_base.h"

namespace fuchsiafall {

entry::entry(entry_options options)
    : options_(std::move(options)),
      gossip_(options_.gossip),
      router_(options_.routing),
      requests_(options_.requests, &router_, &gossip_) {}

output_list entry::Step(time_point now, const entry_input& input) {
  output_list out;
  if (std::holds_alternative<tick>(input)) {
    gossip_.RunDue(now, &out);
    requests_.RunDue(now, &out);
  } else if (std::holds_alternative<pause_detected>(input)) {
    out.Count("pauses");
    out.Log(log_event::kPauseNoticed, "");
    requests_.OnPause(now);
  } else if (std::holds_alternative<shutdown_order>(input)) {
    is_shutting_down_ = true;
    requests_.ShutDown();
  } else if (const auto* changes = std::get_if<store_changes>(&input)) {
    const proto::configuration* snapshot =
        changes->snapshot ? &*changes->snapshot : nullptr;
    if (gossip_.OnStoreChanges(now, snapshot, changes->edits, &out))
      OnNewRevision(now);
  } else if (const auto* list = std::get_if<proto::vm_list>(&input)) {
    gossip_.OnVmList(now, *list, &out);
  } else if (const auto* arrival = std::get_if<message_arrival>(&input)) {
    OnMessage(now, *arrival, &out);
  } else if (const auto* request = std::get_if<caller_request>(&input)) {
    requests_.OnRequest(now, *request, &out);
  } else if (const auto* disconnected =
                 std::get_if<caller_disconnected>(&input)) {
    requests_.OnCallerDisconnected(now, disconnected->id, &out);
  }
  return out;
}

bool entry::IsReady() const {
  const proto::vm* own = gossip_.Topology()->FindVm(options_.self);
  return own != nullptr && gossip_.Topology()->IsInService(*own) &&
         !is_shutting_down_ && !gossip_.IsLeaving(options_.self);
}

void entry::OnMessage(time_point now,
                      const message_arrival& arrival,
                      output_list* out) {
  const proto::envelope& message = arrival.message;
  const vm_id from(message.vm());
  if (message.body_case() == proto::envelope::kPart) {
    requests_.OnPart(now, from, message.part(), out);
    return;
  }
  if (gossip_.OnMessage(now, message, out))
    OnNewRevision(now);
  if (message.has_heartbeat() && message.heartbeat().has_state()) {
    router_.OnServerState(now, from, message.heartbeat().state());
  }
}

void entry::OnNewRevision(time_point now) {
  router_.SetTopology(now, gossip_.Topology());
  gossip_.SetWatchedPeers(router_.WatchedServers());
}

}  // namespace fuchsiafall
