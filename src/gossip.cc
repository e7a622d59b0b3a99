/// @file gossip.cc Membership by heartbeats and propagation of revisions.
#include <algorithm>
#include <tuple>

#include "envelope_func.h"
#include "gossip_base.h"
#include "hash_func.h"

namespace fuchsiafall {

namespace {

/// VMs of a failure domain that exchange heartbeats with one other domain.
constexpr size_t kBridges = 2;
/// VMs of a failure domain that watch the store.
constexpr size_t kStoreWatchers = 2;
/// Ranked VMs that take over, in order, from unresponsive store watchers.
constexpr size_t kStoreWatcherCandidates = 5;
/// Watched servers in other domains that a new revision is pushed to.
constexpr size_t kMaxRemotePushes = 2;
/// Upper bound of the jitter before a push, so that some peers already have the
/// revision from elsewhere.
constexpr uint64_t kMaxPushDelayMs = 200;
/// Peers to track that are not in the inventory.
constexpr size_t kMaxUnknownPeers = 256;
constexpr size_t kMaxCrashesSent = 16;    // In one heartbeat.
constexpr size_t kMaxCrashesKept = 4096;  // Requests with known crashes.
constexpr seconds kCrashForwarding{60};  // Age up to which crashes are sent on.
constexpr seconds kCrashRetention{600};  // Age up to which crashes count.
/// Time for which a peer that asked for our state keeps receiving it.
constexpr seconds kStateWatchTimeout{60};

std::vector<std::string> RankedBridges(const failure_domain& from,
                                       const failure_domain& to) {
  std::vector<std::string> bridges;
  std::string key = "bridge " + from.id.value + " " + to.id.value;
  for (size_t i : RendezvousRank(key, from.vms, kBridges))
    bridges.push_back(from.vms[i]);
  return bridges;
}

}  // namespace

gossip::gossip(gossip_options options) : options_(std::move(options)) {}

void gossip::RunDue(time_point now, output_list* out) {
  if (Topology()->Revision().value == 0)
    ContactSeedPeers(now, out);
  if (push_at_ && now >= *push_at_)
    PushUpdates(out);
  auto is_due = [&](const vm_id& id, milliseconds interval) {
    return now - peers_[id].last_sent >= interval;
  };
  for (const vm_id& id : neighbours_) {
    if (is_due(id, options_.heartbeat))
      SendHeartbeat(now, id, out);
  }
  for (const vm_id& id : watched_peers_) {
    const bool is_only_watched = !neighbours_.contains(id);
    if (is_only_watched && is_due(id, options_.watch))
      SendHeartbeat(now, id, out);
  }
}

bool gossip::MayTrack(const vm_id& id) const {
  if (peers_.contains(id) || Topology()->FindVm(id) != nullptr)
    return true;
  return peers_.size() < Topology()->VmCount() + kMaxUnknownPeers;
}

bool gossip::OnMessage(time_point now,
                       const proto::envelope& message,
                       output_list* out) {
  const vm_id from(message.vm());
  if (!MayTrack(from)) {
    out->Count("strangers_dropped");
    return false;
  }
  peer& sender = peers_[from];
  sender.last_heard = now;
  sender.was_heard = true;
  sender.awaits_reply = false;
  sender.known_incarnation = incarnation(message.incarnation());
  switch (message.body_case()) {
    case proto::envelope::kHeartbeat:
      OnHeartbeat(now, message, out);
      return false;
    case proto::envelope::kConfigDelta: {
      const auto& edits = message.config_delta().edits();
      if (!edits.empty())
        sender.known_revision = revision(edits.rbegin()->revision());
      return HandleAdoption(now, log_.AdoptEdits(edits), out);
    }
    case proto::envelope::kSnapshot:
      sender.known_revision = revision(message.snapshot().revision());
      return HandleAdoption(now, log_.AdoptSnapshot(message.snapshot()), out);
    case proto::envelope::kVmList:
      OnVmList(now, message.vm_list(), out);
      return false;
    default:
      return false;
  }
}

bool gossip::OnStoreChanges(
    time_point now,
    const proto::configuration* snapshot,
    const google::protobuf::RepeatedPtrField<proto::edit>& edits,
    output_list* out) {
  last_confirmed_ = now;
  bool changed = false;
  if (snapshot != nullptr)
    changed = HandleAdoption(now, log_.AdoptSnapshot(*snapshot), out);
  return HandleAdoption(now, log_.AdoptEdits(edits), out) || changed;
}

void gossip::OnVmList(time_point now,
                      const proto::vm_list& list,
                      output_list* out) {
  if (list.index() <= vm_list_.index())
    return;
  vm_list_ = list;
  leaving_ = {list.leaving().begin(), list.leaving().end()};
  for (const vm_id& id : neighbours_)
    SendHeartbeat(now, id, out);
}

void gossip::AddCrash(time_point now, fingerprint request, uint32_t crashes) {
  MakeRoomForCrashes(now, request);
  known_crashes& known = crashes_[request];
  known.crashes += crashes;
  known.last = now;
}

void gossip::MakeRoomForCrashes(time_point now, fingerprint request) {
  if (crashes_.size() < kMaxCrashesKept || crashes_.contains(request))
    return;
  std::erase_if(crashes_, [&](const auto& item) {
    return now - item.second.last > kCrashRetention;
  });
  if (crashes_.size() < kMaxCrashesKept)
    return;
  crashes_.erase(std::min_element(
      crashes_.begin(), crashes_.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.crashes, a.second.last) <
               std::tie(b.second.crashes, b.second.last);
      }));
}

void gossip::SetOwnState(time_point now,
                         const proto::server_state& state,
                         bool urgent,
                         output_list* out) {
  own_state_ = state;
  if (!urgent)
    return;
  for (const auto& [id, info] : peers_) {
    if (info.wants_state && now - info.state_wanted_at < kStateWatchTimeout)
      SendHeartbeat(now, id, out);
  }
}

void gossip::SetWatchedPeers(std::set<vm_id> watched) {
  watched_peers_ = std::move(watched);
}

void gossip::AddStateWatcher(time_point now, const vm_id& id) {
  if (Topology()->FindVm(id) == nullptr)
    return;
  peers_[id].wants_state = true;
  peers_[id].state_wanted_at = now;
}

bool gossip::WatchesStore(time_point now) const {
  size_t alive = 0;
  for (const vm_id& id : store_watchers_) {
    if (id == options_.self)
      return alive < kStoreWatchers;
    if (!IsSuspect(now, id))
      ++alive;
  }
  return store_watchers_.empty();
}

bool gossip::IsUnresponsive(time_point now,
                            const vm_id& id,
                            milliseconds max_time) const {
  auto it = peers_.find(id);
  if (it == peers_.end())
    return false;
  return it->second.awaits_reply &&
         now - it->second.awaits_reply_since > max_time;
}

const peer* gossip::FindPeer(const vm_id& id) const {
  auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

uint32_t gossip::CrashesOf(time_point now, fingerprint request) const {
  auto it = crashes_.find(request);
  if (it == crashes_.end() || now - it->second.last > kCrashRetention)
    return 0;
  return it->second.crashes;
}

void gossip::RebuildNeighbours() {
  neighbours_.clear();
  store_watchers_.clear();
  const failure_domain* own = Topology()->FindDomain(options_.domain.value);
  if (own == nullptr)
    return;
  for (const std::string& id :
       RingNeighbours(own->vms, options_.self.value, options_.neighbours)) {
    neighbours_.insert(vm_id(id));
  }
  AddBridges(*own);
  AddStoreWatchers(*own);
  std::erase_if(peers_, [&](const auto& item) {
    return Topology()->FindVm(item.first) == nullptr;
  });
}

void gossip::AddBridges(const failure_domain& own) {
  for (const auto& [id, other] : Topology()->Domains()) {
    if (id == own.id.value)
      continue;
    std::vector<std::string> here = RankedBridges(own, other);
    if (std::find(here.begin(), here.end(), options_.self.value) == here.end())
      continue;
    for (const std::string& there : RankedBridges(other, own))
      neighbours_.insert(vm_id(there));
  }
}

void gossip::AddStoreWatchers(const failure_domain& own) {
  for (size_t i : RendezvousRank("watch " + own.id.value, own.vms,
                                 kStoreWatcherCandidates)) {
    store_watchers_.emplace_back(own.vms[i]);
  }
  if (std::find(store_watchers_.begin(), store_watchers_.end(),
                options_.self) == store_watchers_.end())
    return;
  for (const vm_id& id : store_watchers_) {
    if (id != options_.self)
      neighbours_.insert(id);
  }
}

void gossip::FillHeartbeat(time_point now,
                           bool with_state,
                           proto::heartbeat* heartbeat) const {
  heartbeat->set_revision(Topology()->Revision().value);
  heartbeat->set_vm_list_index(vm_list_.index());
  if (with_state)
    *heartbeat->mutable_state() = own_state_;
  for (const auto& [request, known] : crashes_) {
    if (now - known.last > kCrashForwarding)
      continue;
    if (static_cast<size_t>(heartbeat->crashes_size()) == kMaxCrashesSent)
      break;
    proto::crash_record* record = heartbeat->add_crashes();
    record->set_fingerprint(request.value);
    record->set_crashes(known.crashes);
    record->set_age_ms(static_cast<uint32_t>(ToMs(now - known.last)));
  }
}

void gossip::SendHeartbeat(time_point now, const vm_id& id, output_list* out) {
  std::string address = AddressOf(id);
  if (address.empty())
    return;
  peer& target = peers_[id];
  target.last_sent = now;
  if (!target.awaits_reply) {
    target.awaits_reply = true;
    target.awaits_reply_since = now;
  }
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  proto::heartbeat* heartbeat = message.mutable_heartbeat();
  // Neighbours send heartbeats of their own accord, watched servers only reply.
  bool is_only_watched =
      watched_peers_.contains(id) && !neighbours_.contains(id);
  heartbeat->set_reply_wanted(is_only_watched);
  heartbeat->set_watch(watched_peers_.contains(id));
  FillHeartbeat(
      now,
      target.wants_state && now - target.state_wanted_at < kStateWatchTimeout,
      heartbeat);
  out->Send(plane::kControl, address, std::move(message));
}

void gossip::ContactSeedPeers(time_point now, output_list* out) {
  if (now - last_seed_contact_ <
      std::min<duration>(options_.heartbeat, seconds(1)))
    return;
  last_seed_contact_ = now;
  for (const std::string& address : options_.seed_peers) {
    proto::envelope message =
        MakeEnvelope(options_.self, options_.own_incarnation);
    message.set_reply_address(options_.own_address);
    message.mutable_heartbeat()->set_reply_wanted(true);
    out->Send(plane::kControl, address, std::move(message));
  }
}

void gossip::OnHeartbeat(time_point now,
                         const proto::envelope& message,
                         output_list* out) {
  const vm_id from(message.vm());
  const proto::heartbeat& heartbeat = message.heartbeat();
  peer& sender = peers_[from];
  sender.known_revision = revision(heartbeat.revision());
  if (heartbeat.revision() == Topology()->Revision().value)
    last_confirmed_ = now;
  if (heartbeat.has_state()) {
    sender.state = heartbeat.state();
    sender.state_at = now;
    sender.has_state = true;
  }
  bool is_new_watcher = heartbeat.watch() && !sender.wants_state;
  sender.wants_state = heartbeat.watch();
  if (heartbeat.watch())
    sender.state_wanted_at = now;
  MergeCrashes(now, heartbeat);

  std::string address =
      AddressOf(from).empty() ? message.reply_address() : AddressOf(from);
  if (address.empty())
    return;
  if (heartbeat.revision() < Topology()->Revision().value) {
    SendUpdate(from, sender.known_revision, address, out);
  }
  if (heartbeat.vm_list_index() < vm_list_.index()) {
    proto::envelope list =
        MakeEnvelope(options_.self, options_.own_incarnation);
    *list.mutable_vm_list() = vm_list_;
    out->Send(plane::kControl, address, std::move(list));
  }
  if (!heartbeat.reply_wanted() && !is_new_watcher)
    return;
  proto::envelope reply = MakeEnvelope(options_.self, options_.own_incarnation);
  FillHeartbeat(now, heartbeat.watch(), reply.mutable_heartbeat());
  out->Send(plane::kControl, address, std::move(reply));
}

bool gossip::HandleAdoption(time_point now,
                            outcome<bool> adopted,
                            output_list* out) {
  if (!adopted) {
    out->Count("configuration_refused");
    out->Log(log_event::kConfigurationRefused, adopted.LastReason());
    return false;
  }
  if (!*adopted)
    return false;
  last_confirmed_ = now;
  out->Count("configuration_adopted");
  out->Log(log_event::kConfigurationAdopted,
           "revision=" + std::to_string(log_.Revision().value));
  RebuildNeighbours();
  const uint64_t hash = Hash64(options_.self.value, log_.Revision().value);
  push_at_ = now + milliseconds(hash % kMaxPushDelayMs);
  return true;
}

void gossip::PushUpdates(output_list* out) {
  push_at_.reset();
  for (const vm_id& id : neighbours_)
    PushTo(id, out);
  size_t remote_pushes = 0;
  for (const vm_id& id : watched_peers_) {
    const proto::vm* vm = Topology()->FindVm(id);
    const bool is_remote =
        vm != nullptr && vm->domain() != options_.domain.value;
    if (!is_remote || neighbours_.contains(id))
      continue;
    if (remote_pushes++ == kMaxRemotePushes)
      return;
    PushTo(id, out);
  }
}

void gossip::PushTo(const vm_id& id, output_list* out) {
  auto it = peers_.find(id);
  // A peer that has not been heard from yet states its revision in its first
  // heartbeat.
  if (it == peers_.end() || !it->second.was_heard)
    return;
  if (it->second.known_revision >= log_.Revision())
    return;
  SendUpdate(id, it->second.known_revision, AddressOf(id), out);
}

void gossip::SendUpdate(const vm_id& id,
                        revision from,
                        const std::string& address,
                        output_list* out) {
  if (address.empty())
    return;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  log_.WriteUpdate(from, &message);
  out->Count("configuration_updates_sent");
  out->Send(plane::kControl, address, std::move(message));
  // Assume that the update arrives until the next heartbeat says otherwise, so
  // that it is not sent twice.
  peers_[id].known_revision = log_.Revision();
}

std::string gossip::AddressOf(const vm_id& id) const {
  const proto::vm* vm = Topology()->FindVm(id);
  return vm == nullptr ? "" : topology::AddressOf(*vm, plane::kControl);
}

void gossip::MergeCrashes(time_point now, const proto::heartbeat& heartbeat) {
  for (const proto::crash_record& record : heartbeat.crashes()) {
    const fingerprint request(record.fingerprint());
    auto it = crashes_.find(request);
    time_point last = now - milliseconds(record.age_ms());
    if (it != crashes_.end() && it->second.crashes >= record.crashes())
      continue;
    MakeRoomForCrashes(now, request);
    crashes_[request] = {record.crashes(), last};
  }
}

}  // namespace fuchsiafall
