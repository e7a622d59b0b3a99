/// @file weight_transfer.cc Targets and received blobs.
#include <algorithm>

#include "hash_func.h"
#include "weight_transfer_base.h"

namespace fuchsiafall {

namespace {

constexpr seconds kCorruptBackoff{60};
constexpr milliseconds kBusyBackoff{40};
constexpr milliseconds kMinOriginBackoff{500};
// For a manifest that the origin does not have.
constexpr milliseconds kMinManifestBackoff{2000};
constexpr milliseconds kMaxManifestBackoff{16000};

}  // namespace

weight_transfer::weight_transfer(weight_transfer_options options,
                                 std::shared_ptr<blob_store> blobs)
    : options_(std::move(options)),
      blobs_(std::move(blobs)),
      random_(options_.seed),
      upload_(options_.rate),
      download_(options_.rate) {}

void weight_transfer::SetTarget(time_point now,
                                const topology_ptr& config,
                                const std::string& service,
                                const std::vector<artifact_ref>& parts,
                                bool has_just_started,
                                output_list* out) {
  topology_ = config;
  service_ = service;
  DropRequestsUnless([&](const pending_request& request) {
    const digest& manifest = artifacts_[request.artifact_index].part.manifest;
    const bool is_wanted = std::any_of(
        parts.begin(), parts.end(),
        [&](const artifact_ref& part) { return part.manifest == manifest; });
    return is_wanted && (!request.source_vm ||
                         topology_->FindVm(*request.source_vm) != nullptr);
  });
  std::vector<artifact> kept;
  std::vector<size_t> new_indices(artifacts_.size());
  for (const artifact_ref& part : parts) {
    artifact* known = FindArtifact(part.manifest.value);
    if (known != nullptr) {
      new_indices[static_cast<size_t>(known - artifacts_.data())] = kept.size();
      known->part = part;
      kept.push_back(std::move(*known));
      continue;
    }
    artifact item;
    item.part = part;
    item.takeover_since = now;
    item.may_have_joined_late = has_just_started;
    kept.push_back(std::move(item));
  }
  for (auto& [id, request] : pending_)
    request.artifact_index = new_indices[request.artifact_index];
  for (auto& [wanted, request] : origin_pending_)
    request.artifact_index = new_indices[request.artifact_index];
  const bool is_same =
      std::equal(parts.begin(), parts.end(), target_.begin(), target_.end(),
                 [](const artifact_ref& a, const artifact_ref& b) {
                   return a.manifest == b.manifest;
                 });
  if (!is_same) {
    sources_ = {};
    target_since_ = now;
  }
  target_ = parts;
  artifacts_ = std::move(kept);
  for (artifact& item : artifacts_) {
    BuildImporters(&item);
    BuildNeighbours(&item);
    if (item.stage != transfer_stage::kManifest)
      BuildImportRanks(&item);
    CountAvailability(&item);
    if (options_.has_named_manifests)
      continue;  // ReplaceManifest() also tells how reliable it is.
    shared_bytes manifest = blobs_->Find(item.part.manifest);
    if (item.stage == transfer_stage::kManifest && manifest != nullptr) {
      AdoptManifest(now, &item, manifest, out);
    }
  }
}

void weight_transfer::OnBlob(time_point now,
                             const blob_arrival& blob,
                             output_list* out) {
  std::optional<pending_request> request = RemovePending(blob);
  if (!request) {
    out->Count("blobs_unexpected");
    StoreLateChunk(now, blob, out);
    return;
  }
  artifact& item = artifacts_[request->artifact_index];
  if (request->source_vm)
    item.holders[*request->source_vm].awaits_reply = false;
  Release(*request, blob.status != blob_arrival::status_type::kOk);
  if (blob.status != blob_arrival::status_type::kOk) {
    OnRefusedBlob(now, *request, blob, out);
    return;
  }
  const bool is_named_manifest =
      !request->chunk && options_.has_named_manifests;
  if (!is_named_manifest && blob.actual != blob.wanted) {
    OnCorruptBlob(now, *request, out);
    return;
  }
  if (request->source_vm) {
    item.holders[*request->source_vm].failures = 0;
  } else {
    origin_backoff_ = milliseconds(0);
  }
  window_ =
      std::min(window_ + (window_ < slow_start_threshold_ ? 1 : 1 / window_),
               kMaxWindow);
  if (request->chunk) {
    StoreChunk(now, *request, blob, out);
    return;
  }
  CountSource(*request, blob.bytes->size(), out);
  if (is_named_manifest) {
    AdoptNamedManifest(now, *request, blob, out);
    return;
  }
  blobs_->Put(blob.wanted, blob.bytes);
  AdoptManifest(now, &item, blob.bytes, out);
}

void weight_transfer::DropRequestsUnless(
    const std::function<bool(const pending_request&)>& is_kept) {
  auto drop = [&](const auto& key_and_request) {
    if (is_kept(key_and_request.second))
      return false;
    Release(key_and_request.second, true);
    return true;
  };
  std::erase_if(pending_, drop);
  std::erase_if(origin_pending_, drop);
}

void weight_transfer::SetMayRequestChunks(time_point now, bool may_request) {
  if (may_request && !may_request_chunks_) {
    for (artifact& item : artifacts_) {
      if (item.stage != transfer_stage::kChunks)
        continue;
      AddHeldChunks(&item);
      item.takeover_since = now;
      item.idle_since = now;
    }
  }
  may_request_chunks_ = may_request;
}

void weight_transfer::SetListed(time_point now, bool has_been_listed) {
  if (!unlisted_since_)
    unlisted_since_ = now;
  const bool may_import =
      has_been_listed || now - *unlisted_since_ > options_.max_listing_delay;
  if (may_import && !may_import_) {
    for (artifact& item : artifacts_)
      item.takeover_since = now;
  }
  may_import_ = may_import;
}

void weight_transfer::AddHeldChunks(artifact* item) {
  for (size_t i = 0; i < item->chunks.size(); ++i) {
    if (item->have[i] || blobs_->Find(item->chunks[i]) == nullptr)
      continue;
    item->have[i] = true;
    ++item->have_count;
    item->map_changed = true;
  }
  if (item->have_count == item->chunks.size())
    item->stage = transfer_stage::kComplete;
}

void weight_transfer::StoreLateChunk(time_point now,
                                     const blob_arrival& blob,
                                     output_list* out) {
  if (!blob.source_vm || blob.status != blob_arrival::status_type::kOk ||
      blob.actual != blob.wanted) {
    return;
  }
  for (size_t i = 0; i < artifacts_.size(); ++i) {
    const artifact& item = artifacts_[i];
    const auto found =
        std::find(item.chunks.begin(), item.chunks.end(), blob.wanted);
    if (item.stage != transfer_stage::kChunks || found == item.chunks.end())
      continue;
    out->Count("blobs_late");
    StoreChunk(now,
               {.artifact_index = i,
                .chunk = static_cast<size_t>(found - item.chunks.begin()),
                .source_vm = blob.source_vm},
               blob, out);
    return;
  }
}

void weight_transfer::StoreChunk(time_point now,
                                 const pending_request& request,
                                 const blob_arrival& blob,
                                 output_list* out) {
  artifact& item = artifacts_[request.artifact_index];
  CountSource(request, blob.bytes->size(), out);
  blobs_->Put(blob.wanted, blob.bytes);
  if (item.have[*request.chunk])
    return;
  item.have[*request.chunk] = true;
  item.map_changed = true;
  RecordProgress(now, &item);
  if (++item.have_count < item.chunks.size())
    return;
  item.stage = transfer_stage::kComplete;
  item.last_reason.clear();
  out->Count("weights_completed");
  out->Log(log_event::kWeightsVerified, "part=" + item.part.name);
}

bool weight_transfer::IsComplete() const {
  return !artifacts_.empty() &&
         std::all_of(artifacts_.begin(), artifacts_.end(),
                     [](const artifact& item) {
                       return item.stage == transfer_stage::kComplete;
                     });
}

std::string weight_transfer::LastReason() const {
  for (const artifact& item : artifacts_) {
    if (!item.last_reason.empty())
      return item.part.name + ": " + item.last_reason;
  }
  return "";
}

uint32_t weight_transfer::ProgressPercent() const {
  size_t have = 0;
  size_t all = 0;
  for (const artifact& item : artifacts_) {
    have += item.have_count;
    all += std::max<size_t>(1, item.chunks.size());
    if (item.chunks.empty() && item.stage == transfer_stage::kComplete)
      ++have;
  }
  return all == 0 ? 0 : static_cast<uint32_t>(100 * have / all);
}

uint64_t weight_transfer::TargetBytes() const {
  uint64_t sum = 0;
  for (const artifact& item : artifacts_)
    sum += item.manifest.total_bytes();
  return sum;
}

std::vector<shared_bytes> weight_transfer::Weights(
    const digest& manifest) const {
  std::vector<shared_bytes> weights;
  for (const artifact& item : artifacts_) {
    if (item.part.manifest != manifest ||
        item.stage != transfer_stage::kComplete)
      continue;
    for (const digest& chunk : item.chunks)
      weights.push_back(blobs_->Find(chunk));
  }
  return weights;
}

const proto::manifest* weight_transfer::FindManifest(
    const digest& manifest) const {
  for (const artifact& item : artifacts_) {
    if (item.part.manifest == manifest &&
        item.stage == transfer_stage::kComplete) {
      return &item.manifest;
    }
  }
  return nullptr;
}

void weight_transfer::BuildNeighbours(artifact* item) {
  for (auto& [id, peer] : item->holders)
    peer.is_neighbour = false;
  const failure_domain* own = topology_->FindDomain(options_.domain.value);
  if (own == nullptr)
    return;
  auto servers = own->servers.find(service_);
  if (servers == own->servers.end())
    return;
  for (const std::string& id : RingNeighbours(
           servers->second, options_.self.value, options_.neighbours)) {
    item->holders[vm_id(id)].is_neighbour = true;
  }
  // A server that may have joined late also asks the importers, which hold the
  // most chunks.
  for (const vm_id& id : item->importers_by_domain[options_.domain.value]) {
    if (item->may_have_joined_late && id != options_.self)
      item->holders[id].is_neighbour = true;
  }
  std::erase_if(item->holders, [&](const auto& id_and_peer) {
    return topology_->FindVm(id_and_peer.first) == nullptr;
  });
}

void weight_transfer::CountAvailability(artifact* item) {
  std::fill(item->availability.begin(), item->availability.end(), 0);
  for (const auto& [id, peer] : item->holders) {
    for (size_t i = 0; i < item->availability.size(); ++i) {
      item->availability[i] += peer.is_neighbour && peer.Has(i) ? 1 : 0;
    }
  }
}

void weight_transfer::DropUnneeded() {
  std::set<digest> needed;
  for (const artifact& item : artifacts_) {
    if (item.stage == transfer_stage::kManifest)
      return;  // It may share chunks that are not yet known.
    needed.insert(item.part.manifest);
    needed.insert(item.chunks.begin(), item.chunks.end());
  }
  blobs_->KeepOnly(needed);
}

std::optional<weight_transfer::pending_request> weight_transfer::RemovePending(
    const blob_arrival& blob) {
  std::optional<pending_request> request;
  if (!blob.source_vm) {
    auto it = origin_pending_.find(blob.wanted);
    if (it == origin_pending_.end())
      return request;
    request = it->second;
    origin_pending_.erase(it);
    return request;
  }
  auto it = pending_.find(blob.request_id);
  if (it == pending_.end() || it->second.source_vm != blob.source_vm)
    return request;
  const artifact& item = artifacts_[it->second.artifact_index];
  const digest& asked =
      it->second.chunk ? item.chunks[*it->second.chunk] : item.part.manifest;
  if (asked != blob.wanted)
    return request;
  request = it->second;
  pending_.erase(it);
  return request;
}

void weight_transfer::Release(const pending_request& request, bool refund) {
  artifact& item = artifacts_[request.artifact_index];
  if (request.chunk)
    item.in_flight[*request.chunk] = false;
  if (request.source_vm) {
    holder& peer = item.holders[*request.source_vm];
    if (peer.outstanding > 0)
      --peer.outstanding;
  }
  if (refund)
    download_.Refund(request.bytes);
}

void weight_transfer::OnRefusedBlob(time_point now,
                                    const pending_request& request,
                                    const blob_arrival& blob,
                                    output_list* out) {
  artifact& item = artifacts_[request.artifact_index];
  if (request.source_vm) {
    holder& peer = item.holders[*request.source_vm];
    peer.busy_until = now + kBusyBackoff;
    bool lacks_chunk =
        blob.status == blob_arrival::status_type::kNotHere && request.chunk;
    if (lacks_chunk && peer.Has(*request.chunk)) {
      peer.chunks[*request.chunk] = false;
      if (peer.is_neighbour && item.availability[*request.chunk] > 0)
        --item.availability[*request.chunk];
    }
    out->Count(lacks_chunk ? "blobs_not_here" : "blobs_busy");
    return;
  }
  bool is_missing = blob.status == blob_arrival::status_type::kNotHere;
  if (is_missing && options_.has_named_manifests && !request.chunk) {
    // The origin has dropped this version; it still has newer ones.
    item.manifest_backoff = std::clamp(
        item.manifest_backoff * 2, kMinManifestBackoff, kMaxManifestBackoff);
    item.next_manifest_try = now + item.manifest_backoff;
  } else {
    BackOffOrigin(now);
  }
  out->Count(is_missing ? "origin_not_found" : "origin_unreachable");
  item.last_reason =
      is_missing ? "the origin does not have " + ToHex(blob.wanted.value)
                 : "the origin cannot be reached";
  if (is_missing)
    out->Log(log_event::kRolloutFailed,
             item.part.name + " " + item.last_reason);
}

void weight_transfer::OnCorruptBlob(time_point now,
                                    const pending_request& request,
                                    output_list* out) {
  artifact& item = artifacts_[request.artifact_index];
  std::string source_name =
      request.source_vm ? request.source_vm->value : "origin";
  out->Count("blobs_corrupt");
  out->Count("blobs_corrupt_from_" + source_name);
  out->Log(log_event::kChunkCorrupt,
           "part=" + item.part.name + " giver=" + source_name);
  if (request.source_vm) {
    item.holders[*request.source_vm].avoided_until = now + kCorruptBackoff;
    return;
  }
  BackOffOrigin(now);
  if (!request.chunk)
    item.last_reason = "the origin's manifest does not match its digest";
}

void weight_transfer::RecordProgress(time_point now, artifact* item) const {
  const time_point before = std::max(item->progress_at, item->takeover_since);
  const duration stall = now - before;
  // If no chunk moves at all, the origin is unavailable. That must not count
  // against the importers, since servers that took over would fetch further
  // copies. The total excluded is limited to one timeout, so that a trickle of
  // chunks cannot postpone a takeover indefinitely.
  if (options_.excludes_stalls && stall > options_.chunk_timeout &&
      item->stalled + stall <= TakeoverTimeout(*item)) {
    item->takeover_since += stall;
    item->stalled += stall;
  }
  item->progress_at = now;
}

void weight_transfer::BackOffOrigin(time_point now) {
  origin_backoff_ = std::clamp(origin_backoff_ * 2, kMinOriginBackoff,
                               options_.max_origin_backoff);
  origin_retry_at_ = now + origin_backoff_;
}

void weight_transfer::CountSource(const pending_request& request,
                                  uint64_t bytes,
                                  output_list* out) {
  const proto::vm* source =
      request.source_vm ? topology_->FindVm(*request.source_vm) : nullptr;
  if (!request.source_vm) {
    sources_.origin += bytes;
    out->Count("bytes_from_origin", bytes);
  } else if (source != nullptr && source->domain() == options_.domain.value) {
    sources_.own_domain += bytes;
    out->Count("bytes_from_own_domain", bytes);
  } else {
    sources_.other_domains += bytes;
    out->Count("bytes_from_other_domains", bytes);
  }
}

artifact* weight_transfer::FindArtifact(const std::string& manifest) {
  for (artifact& item : artifacts_) {
    if (item.part.manifest.value == manifest)
      return &item;
  }
  return nullptr;
}

}  // namespace fuchsiafall
