/// @file weight_exchange.cc Exchange of have-maps with other servers, and
/// upload of chunks to them.
#include <algorithm>

#include "envelope_func.h"
#include "weight_transfer_base.h"

namespace fuchsiafall {

namespace {

// Between unconditional have-maps, as maps may be lost.
constexpr milliseconds kMapRefreshInterval{1500};
// Between questions to neighbours that are silent. They answer nothing while
// they do not know this server yet.
constexpr milliseconds kSilentProbeInterval{300};
// Upload backlog that is always accepted.
constexpr milliseconds kAcceptedBacklog{50};

std::string PackBits(const std::vector<bool>& bits) {
  std::string bytes((bits.size() + 7) / 8, '\0');
  for (size_t i = 0; i < bits.size(); ++i) {
    if (bits[i])
      bytes[i / 8] = static_cast<char>(bytes[i / 8] | (1 << (i % 8)));
  }
  return bytes;
}

}  // namespace

void weight_transfer::OnHaveMap(time_point now,
                                const vm_id& from,
                                const proto::have_map& map,
                                output_list* out) {
  artifact* item = FindArtifact(map.manifest_digest());
  if (item == nullptr) {
    // An empty map shows that this server is alive but has no chunk of it.
    if (map.reply_wanted())
      SendMap(digest(map.manifest_digest()), nullptr, from, false, out);
    return;
  }
  holder& peer = item->holders[from];
  peer.awaits_reply = false;
  peer.has_sent_map = true;
  peer.has_manifest = map.count() > 0;
  peer.manifest_reads = map.manifest_reads();
  peer.manifest_hash = map.manifest_hash();
  const size_t count = item->chunks.size();
  std::vector<bool> before = std::move(peer.chunks);
  before.resize(count, false);
  peer.chunks.assign(
      item->stage == transfer_stage::kManifest ? map.count() : count, false);
  const size_t count_before = peer.count;
  peer.count = 0;
  for (size_t i = 0; i < peer.chunks.size() && i / 8 < map.bits().size(); ++i) {
    bool has =
        (static_cast<unsigned char>(map.bits()[i / 8]) >> (i % 8) & 1) != 0;
    peer.chunks[i] = has;
    peer.count += has ? 1 : 0;
  }
  if (peer.count > count_before)
    RecordProgress(now, item);
  for (size_t i = 0; i < count && peer.is_neighbour; ++i) {
    if (peer.chunks[i] && !before[i])
      ++item->availability[i];
    if (!peer.chunks[i] && before[i] && item->availability[i] > 0)
      --item->availability[i];
  }
  if (map.reply_wanted())
    SendMap(item->part.manifest, item, from, false, out);
  if (item->stage != transfer_stage::kComplete)
    RunDue(now, out);
}

void weight_transfer::OnBlobRequest(time_point now,
                                    const vm_id& from,
                                    const proto::blob_request& request,
                                    output_list* out) {
  std::string address = AddressOf(from, plane::kBulk);
  if (address.empty())
    return;
  send_message answer{
      .where = plane::kBulk,
      .address = address,
      .message = MakeEnvelope(options_.self, options_.own_incarnation)};
  proto::blob_answer* body = answer.message.mutable_blob_answer();
  body->set_digest(request.digest());
  body->set_request_id(request.request_id());
  shared_bytes bytes = blobs_->Find(digest(request.digest()));
  if (bytes == nullptr) {
    body->set_status(proto::blob_answer::NOT_HERE);
    out->Add(std::move(answer));
    return;
  }
  // A manifest is small and needed before any transfer can begin, so it does
  // not queue behind chunks.
  const bool is_manifest = FindArtifact(request.digest()) != nullptr;
  duration max_backlog =
      static_cast<int>(options_.upload_queue) * upload_.TimeFor(bytes->size());
  if (!is_manifest && upload_.Backlog(now) >
                          std::max<duration>(max_backlog, kAcceptedBacklog)) {
    body->set_status(proto::blob_answer::BUSY);
    out->Count("uploads_refused");
    out->Add(std::move(answer));
    return;
  }
  const time_point link_free_at = upload_.Reserve(now, bytes->size());
  answer.send_at = is_manifest ? now : link_free_at;
  out->Count("bytes_sent", bytes->size());
  answer.attachment = std::move(bytes);
  out->Add(std::move(answer));
}

void weight_transfer::SendMaps(time_point now,
                               artifact* item,
                               output_list* out) {
  const bool is_complete = item->stage == transfer_stage::kComplete;
  if (!is_complete)
    ProbeSilentNeighbours(now, item, out);
  const bool is_due =
      item->map_changed && now - item->last_map_sent >= options_.map_interval;
  const bool is_refresh =
      !is_complete && now - item->last_refresh >= kMapRefreshInterval;
  if (!is_due && !is_refresh)
    return;
  item->last_map_sent = now;
  item->map_changed = false;
  if (is_refresh)
    item->last_refresh = now;
  for (auto& [id, peer] : item->holders) {
    if (!peer.is_neighbour)
      continue;
    bool peer_has_all =
        !item->chunks.empty() && peer.count == item->chunks.size();
    if (peer_has_all && !is_complete)
      continue;
    if (is_refresh)
      MarkAwaitingReply(now, &peer);
    SendMap(item->part.manifest, item, id, is_refresh, out);
  }
}

void weight_transfer::ProbeSilentNeighbours(time_point now,
                                            artifact* item,
                                            output_list* out) {
  for (auto& [id, peer] : item->holders) {
    if (peer.is_neighbour && (!peer.has_sent_map || IsUnresponsive(now, peer)))
      Probe(now, item, id, kSilentProbeInterval, out);
  }
}

void weight_transfer::SendMap(const digest& manifest,
                              const artifact* item,
                              const vm_id& to,
                              bool reply_wanted,
                              output_list* out) {
  std::string address = AddressOf(to, plane::kControl);
  if (address.empty())
    return;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  proto::have_map* map = message.mutable_have();
  map->set_manifest_digest(manifest.value);
  if (item != nullptr) {
    map->set_count(static_cast<uint32_t>(item->have.size()));
    map->set_bits(PackBits(item->have));
    map->set_manifest_reads(item->manifest_reads);
    map->set_manifest_hash(item->manifest_hash);
  }
  map->set_reply_wanted(reply_wanted);
  out->Send(plane::kControl, address, std::move(message));
}

void weight_transfer::Probe(time_point now,
                            artifact* item,
                            const vm_id& id,
                            milliseconds interval,
                            output_list* out) {
  if (id == options_.self)
    return;
  holder& peer = item->holders[id];
  if (now - peer.last_probe < interval)
    return;
  peer.last_probe = now;
  MarkAwaitingReply(now, &peer);
  SendMap(item->part.manifest, item, id, true, out);
}

void weight_transfer::MarkAwaitingReply(time_point now, holder* peer) {
  if (peer->awaits_reply)
    return;
  peer->awaits_reply = true;
  peer->awaiting_since = now;
}

std::string weight_transfer::AddressOf(const vm_id& id, plane where) const {
  const proto::vm* vm = topology_ == nullptr ? nullptr : topology_->FindVm(id);
  return vm == nullptr ? "" : topology::AddressOf(*vm, where);
}

}  // namespace fuchsiafall
