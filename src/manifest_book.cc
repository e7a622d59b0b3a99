/// @file manifest_book.cc Manifests of the versions of a model.
#include "manifest_book_base.h"

#include <algorithm>

#include "hash_func.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

namespace {

/// Equal reads that confirm a manifest.
constexpr uint32_t kConfirmingReads = 2;
/// Mismatches of one piece after which a confirmed manifest is in doubt again,
/// since two reads may have been corrupted in the same way.
constexpr uint32_t kMaxMismatches = 4;

outcome<transfer_manifest> MakeManifest(const weights_manifest& from) {
  transfer_manifest converted;
  proto::manifest manifest;
  manifest.set_chunk_bytes(from.chunk_bytes);
  manifest.set_total_bytes(static_cast<uint64_t>(from.chunk_bytes) *
                           from.digests.size());
  std::string all;
  for (const std::string& hex : from.digests) {
    auto piece = DigestFromHex(hex);
    if (!piece)
      return failure{piece.LastReason()};
    manifest.add_chunk_digests(piece->value);
    all += piece->value;
    converted.pieces.push_back(*piece);
  }
  if (converted.pieces.empty())
    return failure{"manifest has no pieces"};
  manifest.set_whole_digest(DigestOf(all).value);
  converted.bytes = std::make_shared<std::string>(manifest.SerializeAsString());
  converted.name = DigestOf(*converted.bytes);
  return converted;
}

}  // namespace

digest ManifestName(const std::string& model, uint64_t version) {
  return DigestOf("manifest " + model + " " + std::to_string(version));
}

bool manifest_cache::IsReading(uint64_t version) const {
  auto it = records_.find(version);
  return it != records_.end() && it->second.is_reading;
}

bool manifest_cache::IsConfirmed(uint64_t version) const {
  auto it = records_.find(version);
  if (it == records_.end() || it->second.candidates.empty())
    return false;
  const manifest_record& record = it->second;
  return record.candidates[record.selected].read_count >= kConfirmingReads;
}

uint32_t manifest_cache::Reads(uint64_t version) const {
  auto it = records_.find(version);
  return it == records_.end() ? 0 : it->second.reads;
}

bool manifest_cache::Adopt(uint64_t version,
                           const shared_bytes& bytes,
                           uint32_t reads) {
  proto::manifest decoded;
  if (!decoded.ParseFromString(*bytes) || decoded.chunk_digests().empty())
    return false;
  transfer_manifest manifest{.name = DigestOf(*bytes), .bytes = bytes};
  for (const std::string& piece : decoded.chunk_digests())
    manifest.pieces.emplace_back(piece);
  IndexPieces(version, manifest);
  manifest_record& record = records_[version];
  for (candidate& other : record.candidates)
    other.read_count = 0;
  record.selected = AddCandidate(&record, std::move(manifest));
  record.candidates[record.selected].read_count = kConfirmingReads;
  record.reads = std::max(record.reads, reads);
  record.is_in_doubt = false;
  record.mismatches.clear();
  return true;
}

size_t manifest_cache::AddCandidate(manifest_record* record,
                                    transfer_manifest manifest) {
  auto known =
      std::find_if(record->candidates.begin(), record->candidates.end(),
                   [&](const candidate& other) {
                     return other.manifest.name == manifest.name;
                   });
  const auto index = static_cast<size_t>(known - record->candidates.begin());
  if (known == record->candidates.end())
    record->candidates.push_back({.manifest = std::move(manifest)});
  return index;
}

bool manifest_cache::NeedsRead(time_point now, uint64_t version) const {
  auto it = records_.find(version);
  if (it == records_.end())
    return true;
  const manifest_record& record = it->second;
  if (record.is_reading || now < record.next_at)
    return false;
  return record.candidates.empty() || record.is_in_doubt;
}

outcome<bool> manifest_cache::OnReadResult(
    time_point now,
    uint64_t version,
    const outcome<weights_manifest>& answer) {
  manifest_record& record = records_[version];
  record.is_reading = false;
  auto converted =
      answer ? MakeManifest(*answer) : failure{answer.LastReason()};
  if (converted && answer->version != version)
    converted = failure{"manifest is for another version"};
  if (!converted) {
    record.next_at = now + options_.retry_delay;
    return failure{converted.LastReason()};
  }
  record.next_at = now + options_.recheck_interval;
  ++record.reads;
  IndexPieces(version, *converted);
  const size_t index = AddCandidate(&record, std::move(*converted));
  candidate& known = record.candidates[index];
  if (++known.read_count >= kConfirmingReads)
    record.is_in_doubt = false;
  const bool is_first = record.candidates.size() == 1 && known.read_count == 1;
  const bool is_better =
      known.read_count > record.candidates[record.selected].read_count;
  if (is_better)
    record.selected = index;
  return is_first || is_better;
}

void manifest_cache::OnPieceMismatch(const digest& piece) {
  auto location = locations_.find(piece);
  if (location == locations_.end())
    return;
  manifest_record& record = records_[location->second.version];
  if (++record.mismatches[piece] >= kMaxMismatches) {
    record.mismatches.clear();
    for (candidate& other : record.candidates)
      other.read_count = 0;
  }
  const bool is_confirmed =
      std::any_of(record.candidates.begin(), record.candidates.end(),
                  [](const candidate& other) {
                    return other.read_count >= kConfirmingReads;
                  });
  record.is_in_doubt = !is_confirmed;
}

const transfer_manifest* manifest_cache::Find(uint64_t version) const {
  auto it = records_.find(version);
  if (it == records_.end() || it->second.candidates.empty())
    return nullptr;
  return &it->second.candidates[it->second.selected].manifest;
}

std::optional<piece_location> manifest_cache::LocatePiece(
    const digest& piece) const {
  auto it = locations_.find(piece);
  if (it == locations_.end())
    return std::nullopt;
  return it->second;
}

void manifest_cache::IndexPieces(uint64_t version,
                                 const transfer_manifest& manifest) {
  for (uint32_t i = 0; i < manifest.pieces.size(); ++i) {
    // The origin keeps newer versions for longer.
    piece_location& location = locations_[manifest.pieces[i]];
    if (version >= location.version)
      location = {version, i};
  }
}

}  // namespace fuchsiafall
