/// @file weight_manifest.cc Checks and adoption of the manifests of a transfer.
#include <algorithm>

#include "hash_func.h"
#include "weight_transfer_base.h"

namespace fuchsiafall {

namespace {

constexpr uint64_t kMaxChunks = 1U << 20;
constexpr uint32_t kMaxChunkBytes = 64U << 20;

/// Validates the sizes in a manifest before memory is allocated for it.
outcome<done> CheckManifest(const proto::manifest& manifest) {
  if (manifest.chunk_bytes() == 0 || manifest.chunk_bytes() > kMaxChunkBytes) {
    return failure{"manifest: chunk size " +
                   std::to_string(manifest.chunk_bytes()) + " is out of range"};
  }
  if (manifest.total_bytes() == 0)
    return failure{"manifest: total size is zero"};
  uint64_t chunks = (manifest.total_bytes() + manifest.chunk_bytes() - 1) /
                    manifest.chunk_bytes();
  if (chunks > kMaxChunks ||
      chunks != static_cast<uint64_t>(manifest.chunk_digests_size())) {
    return failure{
        "manifest: " + std::to_string(manifest.chunk_digests_size()) +
        " chunk digests do not match a size of " +
        std::to_string(manifest.total_bytes()) + " bytes"};
  }
  return done{};
}

}  // namespace

void weight_transfer::AdoptNamedManifest(time_point now,
                                         const pending_request& request,
                                         const blob_arrival& blob,
                                         output_list* out) {
  artifact& item = artifacts_[request.artifact_index];
  const holder& peer = item.holders[*request.source_vm];
  // The peer may have replaced its manifest since it sent its have-map.
  const bool is_as_announced = peer.manifest_hash == Hash64(*blob.bytes);
  const named_manifest manifest{
      .bytes = blob.bytes, .reads = is_as_announced ? peer.manifest_reads : 1};
  if (!item.chunks.empty() && manifest.reads <= item.manifest_reads)
    return;
  ReplaceManifest(now, item.part.manifest, manifest, out);
  if (options_.on_manifest)
    options_.on_manifest(item.part, manifest);
}

void weight_transfer::ReplaceManifest(time_point now,
                                      const digest& name,
                                      const named_manifest& manifest,
                                      output_list* out) {
  for (size_t i = 0; i < artifacts_.size(); ++i) {
    artifact& item = artifacts_[i];
    if (item.part.manifest != name)
      continue;
    const uint64_t check = Hash64(*manifest.bytes);
    const bool is_known = !item.chunks.empty() && check == item.manifest_hash;
    DropRequestsUnless([&](const pending_request& request) {
      return request.artifact_index != i || (is_known && request.chunk);
    });
    item.manifest_reads = manifest.reads;
    if (!is_known) {
      item.manifest_hash = check;
      AdoptManifest(now, &item, manifest.bytes, out);
    }
    return;
  }
}

void weight_transfer::AdoptManifest(time_point now,
                                    artifact* item,
                                    const shared_bytes& bytes,
                                    output_list* out) {
  proto::manifest manifest;
  outcome<done> checked =
      manifest.ParseFromString(*bytes)
          ? CheckManifest(manifest)
          : outcome<done>(failure{"manifest: cannot be parsed"});
  if (!checked) {
    item->stage = transfer_stage::kFailed;
    item->last_reason = checked.LastReason();
    out->Count("rollouts_failed");
    out->Log(log_event::kRolloutFailed,
             item->part.name + " " + item->last_reason);
    return;
  }
  blobs_->Put(item->part.manifest, bytes);
  item->manifest = std::move(manifest);
  item->stage = transfer_stage::kChunks;
  item->last_reason.clear();
  const size_t count = static_cast<size_t>(item->manifest.chunk_digests_size());
  item->chunks.clear();
  item->have_count = 0;
  item->have.assign(count, false);
  item->in_flight.assign(count, false);
  item->availability.assign(count, 0);
  for (auto& [id, peer] : item->holders)
    peer.chunks.resize(count, false);
  CountAvailability(item);
  for (const std::string& chunk : item->manifest.chunk_digests())
    item->chunks.emplace_back(chunk);
  item->chunk_plans.assign(count, std::nullopt);
  item->map_changed = true;
  item->takeover_since = now;
  item->idle_since = now;
  out->Log(log_event::kManifestVerified, "part=" + item->part.name);
  CheckMemory(item, out);
  if (item->stage != transfer_stage::kChunks)
    return;
  AddHeldChunks(item);  // Those shared with an artifact already held.
  BuildImportRanks(item);
  DropUnneeded();
}

void weight_transfer::CheckMemory(artifact* item, output_list* out) {
  uint64_t needed = 0;
  for (const artifact& each : artifacts_)
    needed += each.manifest.total_bytes();
  if (needed <= options_.staging_bytes)
    return;
  item->stage = transfer_stage::kFailed;
  item->last_reason =
      "memory: " + std::to_string(needed) + " bytes do not fit the " +
      std::to_string(options_.staging_bytes) + " of weights.staging";
  out->Count("rollouts_failed");
  out->Log(log_event::kRolloutFailed,
           item->part.name + " " + item->last_reason);
}

}  // namespace fuchsiafall
