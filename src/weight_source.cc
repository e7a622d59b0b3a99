/// @file weight_source.cc Source selection and requests for manifests and
/// chunks.
#include <algorithm>

#include "envelope_func.h"
#include "hash_func.h"
#include "weight_transfer_base.h"

namespace fuchsiafall {

namespace {

constexpr size_t kMaxPeerRequests = 16;  // Outstanding requests to peers.
// Outstanding requests to one server.
constexpr size_t kMaxRequestsPerHolder = 2;
// Importers of another domain that are asked for a blob.
constexpr size_t kOutsideImporters = 2;
// Outstanding imports, including those from the origin.
constexpr size_t kMaxImportRequests = 6;
// Chunks up to which the download link is reserved ahead.
constexpr size_t kReservedChunks = 3;
// Time up to which it is reserved ahead even if chunks are small.
constexpr milliseconds kMinReservation{60};
// Between probes of importers with a better rank.
constexpr milliseconds kImporterProbeInterval{1000};
constexpr seconds kOriginDeadline{120};
constexpr int kTakeoverTimeoutFactor = 3;
// Doublings of the back-off for a holder that does not answer.
constexpr uint32_t kMaxDoublings = 4;
// Reserved for a manifest, whose size is not known.
constexpr uint64_t kManifestBytes = 4096;

}  // namespace

void weight_transfer::RunDue(time_point now, output_list* out) {
  Expire(now, out);
  for (size_t i = 0; i < artifacts_.size(); ++i) {
    artifact& item = artifacts_[i];
    switch (item.stage) {
      case transfer_stage::kManifest:
        RequestManifest(now, i, out);
        break;
      case transfer_stage::kChunks:
        if (may_request_chunks_) {
          RequestImports(now, i, out);
          RequestFromNeighbours(now, i, out);
        }
        UpdateIdleSince(now, i);
        break;
      default:
        break;
    }
    RequestBetterManifest(now, i, out);
    SendMaps(now, &item, out);
  }
}

void weight_transfer::UpdateIdleSince(time_point now, size_t index) {
  auto is_of_artifact = [index](const auto& id_and_request) {
    return id_and_request.second.artifact_index == index;
  };
  if (std::any_of(pending_.begin(), pending_.end(), is_of_artifact) ||
      std::any_of(origin_pending_.begin(), origin_pending_.end(),
                  is_of_artifact)) {
    artifacts_[index].idle_since = now;
  }
}

bool weight_transfer::IsUnresponsive(time_point now, const holder& peer) const {
  return peer.awaits_reply &&
         now - peer.awaiting_since > options_.chunk_timeout;
}

bool weight_transfer::IsAvoided(time_point now, const holder& peer) const {
  return now < peer.avoided_until || IsUnresponsive(now, peer);
}

bool weight_transfer::HasAvailableNeighbour(time_point now,
                                            const artifact& item,
                                            size_t chunk) const {
  if (item.availability[chunk] == 0)
    return false;
  return std::any_of(
      item.holders.begin(), item.holders.end(), [&](const auto& id_and_peer) {
        const holder& peer = id_and_peer.second;
        return peer.is_neighbour && peer.Has(chunk) && !IsAvoided(now, peer);
      });
}

void weight_transfer::BackOff(time_point now, holder* peer) const {
  const milliseconds pause = 2 * options_.chunk_timeout *
                             (1 << std::min(peer->failures, kMaxDoublings));
  ++peer->failures;
  peer->avoided_until = now + pause;
}

bool weight_transfer::CanRequestFrom(time_point now, const holder& peer) const {
  return now >= peer.busy_until && peer.outstanding < kMaxRequestsPerHolder &&
         !IsAvoided(now, peer);
}

milliseconds weight_transfer::TakeoverTimeout(const artifact& item) const {
  auto transfer = std::chrono::duration_cast<milliseconds>(
      download_.TimeFor(item.manifest.total_bytes()));
  return kTakeoverTimeoutFactor * options_.chunk_timeout + 2 * transfer;
}

bool weight_transfer::ActsAsImporter(time_point now,
                                     artifact* item,
                                     const std::vector<vm_id>& order,
                                     size_t rank) {
  if (!may_import_)
    return false;
  if (rank == 0) {
    // A replaced server first learns which chunks its domain already has.
    return !item->may_have_joined_late ||
           std::all_of(item->holders.begin(), item->holders.end(),
                       [&](const auto& id_and_peer) {
                         const holder& peer = id_and_peer.second;
                         return !peer.is_neighbour || peer.has_sent_map ||
                                IsUnresponsive(now, peer);
                       });
  }
  if (now - item->takeover_since >
      static_cast<int>(rank) * TakeoverTimeout(*item))
    return true;
  const bool is_near_end =
      !item->chunks.empty() && item->have_count * 2 >= item->chunks.size();
  if (is_near_end &&
      now - item->idle_since >
          static_cast<int>(rank) * options_.idle_takeover_delay) {
    return true;
  }
  return std::all_of(
      order.begin(), order.begin() + static_cast<ptrdiff_t>(rank),
      [&](const vm_id& id) { return IsAvoided(now, item->holders[id]); });
}

std::optional<weight_transfer::outside_source>
weight_transfer::ChooseOutsideSource(time_point now,
                                     artifact* item,
                                     std::optional<size_t> chunk) {
  const bool is_before_takeover =
      now - item->takeover_since <= TakeoverTimeout(*item);
  for (const auto& [domain, importers] : ImportPlanOf(item, chunk).domains) {
    if (domain == options_.domain.value) {
      const bool may_ask_origin =
          now >= origin_retry_at_ && (chunk || now >= item->next_manifest_try);
      if (may_ask_origin)
        return outside_source{};
      continue;
    }
    for (size_t i = 0; i < std::min(kOutsideImporters, importers.size()); ++i) {
      holder& peer = item->holders[importers[i]];
      if (IsAvoided(now, peer))
        continue;
      bool has_it = chunk ? peer.Has(*chunk) : peer.has_manifest;
      if (has_it && CanRequestFrom(now, peer))
        return outside_source{importers[i]};
      // This importer responds and will obtain the chunk, so a second copy need
      // not be imported from elsewhere.
      if (has_it || is_before_takeover)
        return std::nullopt;
    }
  }
  return std::nullopt;
}

void weight_transfer::ProbeImporters(time_point now,
                                     artifact* item,
                                     bool asks_outside,
                                     output_list* out) {
  for (const auto& [domain, importers] : item->importers_by_domain) {
    const bool is_own = domain == options_.domain.value;
    if (!is_own && !asks_outside)
      continue;
    const milliseconds interval =
        is_own ? kImporterProbeInterval : options_.outside_probe_interval;
    for (const vm_id& importer : importers)
      Probe(now, item, importer, interval, out);
  }
}

bool weight_transfer::IsManifestRequested(size_t index) const {
  return origin_pending_.contains(artifacts_[index].part.manifest) ||
         std::any_of(pending_.begin(), pending_.end(),
                     [index](const auto& id_and_request) {
                       const pending_request& request = id_and_request.second;
                       return request.artifact_index == index && !request.chunk;
                     });
}

void weight_transfer::RequestBetterManifest(time_point now,
                                            size_t index,
                                            output_list* out) {
  artifact& item = artifacts_[index];
  if (!options_.has_named_manifests || item.chunks.empty() ||
      IsManifestRequested(index))
    return;
  for (auto& [id, peer] : item.holders) {
    if (peer.has_manifest && peer.manifest_reads > item.manifest_reads &&
        peer.manifest_hash != item.manifest_hash && CanRequestFrom(now, peer)) {
      Request(now, index, std::nullopt, id, out);
      return;
    }
  }
}

void weight_transfer::RequestManifest(time_point now,
                                      size_t index,
                                      output_list* out) {
  artifact& item = artifacts_[index];
  if (IsManifestRequested(index))
    return;
  for (auto& [id, peer] : item.holders) {
    if (peer.is_neighbour && peer.has_manifest && CanRequestFrom(now, peer)) {
      Request(now, index, std::nullopt, id, out);
      return;
    }
  }
  const import_plan& plan = ImportPlanOf(&item, std::nullopt);
  const std::vector<vm_id>* order = plan.Find(options_.domain.value);
  if (order == nullptr)
    return;
  auto own = std::find(order->begin(), order->end(), options_.self);
  if (own == order->end())
    return;
  const auto rank = static_cast<size_t>(own - order->begin());
  const bool acts_as_importer = ActsAsImporter(now, &item, *order, rank);
  ProbeImporters(now, &item, acts_as_importer, out);
  if (!acts_as_importer)
    return;
  std::optional<outside_source> source =
      ChooseOutsideSource(now, &item, std::nullopt);
  if (source)
    Request(now, index, std::nullopt, source->source_vm, out);
}

void weight_transfer::RequestImports(time_point now,
                                     size_t index,
                                     output_list* out) {
  artifact& item = artifacts_[index];
  size_t import_requests = origin_pending_.size();
  for (const auto& [id, request] : pending_) {
    import_requests += item.holders[*request.source_vm].is_neighbour ? 0 : 1;
  }
  bool is_importing = false;
  bool asks_outside = false;
  for (const auto& [chunk, rank] : item.import_rank) {
    if (item.have[chunk] || item.in_flight[chunk] ||
        HasAvailableNeighbour(now, item, chunk))
      continue;
    const import_plan& plan = ImportPlanOf(&item, chunk);
    const std::vector<vm_id>& order = *plan.Find(options_.domain.value);
    is_importing = true;
    if (!ActsAsImporter(now, &item, order, rank))
      continue;
    asks_outside = true;
    if (import_requests >= kMaxImportRequests || !HasDownloadCapacity(now))
      continue;
    std::optional<outside_source> source =
        ChooseOutsideSource(now, &item, chunk);
    if (!source)
      continue;
    if (!source->source_vm &&
        origin_pending_.size() >= options_.max_origin_requests)
      continue;
    if (rank > 0) {
      out->Count("imports_taken_over");
      out->Log(log_event::kImportTakenOver,
               "part=" + item.part.name + " chunk=" + std::to_string(chunk));
    }
    Request(now, index, chunk, source->source_vm, out);
    ++import_requests;
  }
  if (is_importing)
    ProbeImporters(now, &item, asks_outside, out);
}

void weight_transfer::RequestFromNeighbours(time_point now,
                                            size_t index,
                                            output_list* out) {
  artifact& item = artifacts_[index];
  while (HasDownloadCapacity(now) && pending_.size() < kMaxPeerRequests) {
    std::optional<size_t> chunk = RarestChunk(now, item);
    if (!chunk)
      return;
    vm_id neighbour;
    if (LeastLoadedNeighbour(now, &item, *chunk, &neighbour) == nullptr)
      return;
    Request(now, index, chunk, neighbour, out);
  }
}

std::optional<size_t> weight_transfer::RarestChunk(time_point now,
                                                   const artifact& item) {
  std::vector<const holder*> usable;
  for (const auto& [id, peer] : item.holders) {
    if (peer.is_neighbour && CanRequestFrom(now, peer))
      usable.push_back(&peer);
  }
  std::optional<size_t> rarest;
  uint64_t ties = 0;
  for (size_t i = 0; i < item.chunks.size(); ++i) {
    if (item.have[i] || item.in_flight[i] || item.availability[i] == 0)
      continue;
    if (rarest && item.availability[i] > item.availability[*rarest])
      continue;
    bool is_obtainable =
        std::any_of(usable.begin(), usable.end(),
                    [&](const holder* peer) { return peer->Has(i); });
    if (!is_obtainable)
      continue;
    ties = rarest && item.availability[i] == item.availability[*rarest]
               ? ties + 1
               : 1;
    // Reservoir sampling: all equally rare chunks have the same probability.
    if (ties == 1 || random_() % ties == 0)
      rarest = i;
  }
  return rarest;
}

holder* weight_transfer::LeastLoadedNeighbour(time_point now,
                                              artifact* item,
                                              size_t chunk,
                                              vm_id* id) {
  holder* best = nullptr;
  uint64_t ties = 0;
  for (auto& [other, peer] : item->holders) {
    if (!peer.is_neighbour || !peer.Has(chunk) || !CanRequestFrom(now, peer))
      continue;
    if (best != nullptr && peer.outstanding > best->outstanding)
      continue;
    ties =
        best != nullptr && peer.outstanding == best->outstanding ? ties + 1 : 1;
    if (ties > 1 && random_() % ties != 0)
      continue;
    best = &peer;
    *id = other;
  }
  return best;
}

bool weight_transfer::HasDownloadCapacity(time_point now) const {
  uint64_t chunk_bytes = 0;
  for (const artifact& item : artifacts_) {
    chunk_bytes = std::max<uint64_t>(chunk_bytes, item.manifest.chunk_bytes());
  }
  if (static_cast<double>(pending_.size() + origin_pending_.size()) >= window_)
    return false;
  duration ahead = kReservedChunks * download_.TimeFor(chunk_bytes);
  return download_.Backlog(now) < std::max<duration>(ahead, kMinReservation);
}

void weight_transfer::Request(time_point now,
                              size_t index,
                              std::optional<size_t> chunk,
                              const std::optional<vm_id>& source_vm,
                              output_list* out) {
  artifact& item = artifacts_[index];
  pending_request request{
      .artifact_index = index, .chunk = chunk, .source_vm = source_vm};
  request.bytes = chunk ? item.manifest.chunk_bytes() : kManifestBytes;
  download_.Reserve(now, request.bytes);
  const digest& wanted = chunk ? item.chunks[*chunk] : item.part.manifest;
  if (chunk)
    item.in_flight[*chunk] = true;
  if (!source_vm) {
    request.deadline = now + kOriginDeadline;
    origin_pending_[wanted] = request;
    out->Add(fetch_from_origin{wanted});
    return;
  }
  holder& peer = item.holders[*source_vm];
  ++peer.outstanding;
  MarkAwaitingReply(now, &peer);
  duration queued = static_cast<int>(options_.upload_queue + 1) *
                    upload_.TimeFor(request.bytes);
  request.deadline = now + options_.chunk_timeout + queued;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  message.mutable_blob_request()->set_digest(wanted.value);
  message.mutable_blob_request()->set_request_id(next_request_id_);
  pending_[next_request_id_++] = request;
  out->Send(plane::kBulk, AddressOf(*source_vm, plane::kBulk),
            std::move(message));
}

void weight_transfer::Expire(time_point now, output_list* out) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    out->Count("blobs_timed_out");
    if (now - window_halved_at_ >= options_.chunk_timeout) {
      window_ = std::max(window_ / 2, 1.0);
      slow_start_threshold_ = window_;
      window_halved_at_ = now;
    }
    holder& peer =
        artifacts_[it->second.artifact_index].holders[*it->second.source_vm];
    BackOff(now, &peer);
    out->Add(reset_link{plane::kBulk,
                        AddressOf(*it->second.source_vm, plane::kBulk)});
    Release(it->second, true);
    it = pending_.erase(it);
  }
  for (auto it = origin_pending_.begin(); it != origin_pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    out->Count("origin_timed_out");
    BackOffOrigin(now);
    Release(it->second, true);
    it = origin_pending_.erase(it);
  }
}

}  // namespace fuchsiafall
