/// @file manifest_book.cc Manifests of the versions of a model.
#include "manifest_book_base.h"

#include <algorithm>

#include "hash_func.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

namespace {

constexpr uint32_t kAgreeing = 2;  // Equal reads that confirm a manifest.
/// Mismatches of one piece after which a confirmed manifest is in doubt again,
/// since two reads may have been corrupted in the same way.
constexpr uint32_t kPersistent = 4;

outcome<version_manifest> MakeManifest(const weights_manifest& from) {
  version_manifest made;
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
    made.pieces.push_back(*piece);
  }
  manifest.set_whole_digest(DigestOf(all).value);
  made.bytes = std::make_shared<std::string>(manifest.SerializeAsString());
  made.name = DigestOf(*made.bytes);
  return made;
}

}  // namespace

bool manifest_book::WantsReading(time_point now, uint64_t version) const {
  auto it = notes_.find(version);
  if (it == notes_.end())
    return true;
  const note& item = it->second;
  if (item.is_reading || now < item.next_at)
    return false;
  return item.readings.empty() || item.is_doubted;
}

outcome<bool> manifest_book::OnAnswer(time_point now,
                                      uint64_t version,
                                      const outcome<weights_manifest>& answer) {
  note& item = notes_[version];
  item.is_reading = false;
  auto made = answer ? MakeManifest(*answer) : failure{answer.LastReason()};
  if (made && answer->version != version)
    made = failure{"response is for another version"};
  if (!made) {
    item.next_at = now + options_.retry;
    return failure{made.LastReason()};
  }
  item.next_at = now + options_.recheck;
  const digest name = made->name;
  auto known = std::find_if(
      item.readings.begin(), item.readings.end(),
      [&](const reading& read) { return read.manifest.name == name; });
  if (known == item.readings.end()) {
    Index(version, *made);
    item.readings.push_back({.manifest = std::move(*made)});
    known = item.readings.end() - 1;
  }
  if (++known->times >= kAgreeing)
    item.is_doubted = false;
  const bool is_first = item.readings.size() == 1 && known->times == 1;
  const auto used = static_cast<size_t>(known - item.readings.begin());
  const bool is_better = known->times > item.readings[item.used].times;
  if (is_better)
    item.used = used;
  return is_first || is_better;
}

void manifest_book::OnWrongPiece(const digest& piece) {
  auto place = places_.find(piece);
  if (place == places_.end())
    return;
  note& item = notes_[place->second.version];
  if (++item.wrong[piece] >= kPersistent) {
    item.wrong.clear();
    for (reading& read : item.readings)
      read.times = 0;
  }
  const bool is_settled =
      std::any_of(item.readings.begin(), item.readings.end(),
                  [](const reading& read) { return read.times >= kAgreeing; });
  item.is_doubted = !is_settled;
}

const version_manifest* manifest_book::Find(uint64_t version) const {
  auto it = notes_.find(version);
  if (it == notes_.end() || it->second.readings.empty())
    return nullptr;
  return &it->second.readings[it->second.used].manifest;
}

std::optional<piece_place> manifest_book::PlaceOf(const digest& piece) const {
  auto it = places_.find(piece);
  if (it == places_.end())
    return std::nullopt;
  return it->second;
}

void manifest_book::Index(uint64_t version, const version_manifest& manifest) {
  for (uint32_t i = 0; i < manifest.pieces.size(); ++i)
    places_[manifest.pieces[i]] = {version, i};
}

}  // namespace fuchsiafall
