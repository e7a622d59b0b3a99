/// @file manifest_book_base.h Manifests of the versions of a model, read from
/// an origin that may corrupt its responses.
#ifndef MANIFEST_BOOK_BASE_H_
#define MANIFEST_BOOK_BASE_H_

#include <map>
#include <optional>
#include <vector>

#include "blob_store_base.h"
#include "engine_control_type.h"
#include "outcome_type.h"

namespace fuchsiafall {

/// Manifest of one version, converted to the format of weight_transfer.
struct transfer_manifest {
  digest name;         ///< Digest of `bytes`.
  shared_bytes bytes;  ///< Encoded manifest.
  std::vector<digest> pieces;
};

/// Computes the name by which the manifest of a version is known among agents.
digest ManifestName(const std::string& model, uint64_t version);

/// Position of a piece within the weights.
struct piece_location {
  uint64_t version = 0;
  uint32_t index = 0;
};

struct manifest_cache_options {
  milliseconds retry_delay{300};  ///< Delay after an unusable response.
  /// Minimum interval between reads of a manifest in doubt. Long, since pieces
  /// are corrupted far more often than their manifest.
  milliseconds recheck_interval{1000};
};

/// Keeps one manifest for each version. Manifests carry no checksum, and a
/// corrupted digit in a digest means that the piece never matches. A
/// mismatching piece from the origin therefore puts the manifest in doubt, and
/// it is read again until two reads agree.
class manifest_cache {
 public:
  explicit manifest_cache(manifest_cache_options options) : options_(options) {}

  /// Whether the manifest of a version should be read now.
  bool NeedsRead(time_point now, uint64_t version) const;
  bool IsReading(uint64_t version) const;
  void OnReadStarted(uint64_t version) { records_[version].is_reading = true; }
  /// Processes the origin's response.
  /// @return Whether the manifest in use has changed, or why the response is
  /// unusable.
  outcome<bool> OnReadResult(time_point now,
                             uint64_t version,
                             const outcome<weights_manifest>& answer);
  /// Uses a manifest that a peer decided on.
  /// @param reads Reads of the origin by which it did.
  /// @return Whether the bytes are a manifest.
  bool Adopt(uint64_t version, const shared_bytes& bytes, uint32_t reads);
  /// Whether enough reads have agreed on the manifest in use.
  bool IsConfirmed(uint64_t version) const;
  /// Number of reads of the origin that decided on the manifest in use.
  uint32_t Reads(uint64_t version) const;
  /// Records that the origin sent bytes that do not match a piece's digest.
  void OnPieceMismatch(const digest& piece);

  /// Finds the manifest in use.
  /// @return Null while none is known.
  const transfer_manifest* Find(uint64_t version) const;
  std::optional<piece_location> LocatePiece(const digest& piece) const;

 private:
  struct candidate {
    transfer_manifest manifest;
    uint32_t read_count = 0;  ///< Number of reads with this content.
  };
  struct manifest_record {
    std::vector<candidate> candidates;
    size_t selected = 0;  ///< Index of the candidate in use.
    uint32_t reads = 0;   ///< Usable reads of the origin, here or at a peer.
    bool is_reading = false;
    bool is_in_doubt = false;
    time_point next_at{};                   ///< Earliest time of the next read.
    std::map<digest, uint32_t> mismatches;  ///< Count by piece.
  };
  static size_t AddCandidate(manifest_record* record,
                             transfer_manifest manifest);
  void IndexPieces(uint64_t version, const transfer_manifest& manifest);

  manifest_cache_options options_;
  std::map<uint64_t, manifest_record> records_;  ///< By version.
  std::map<digest, piece_location> locations_;
};

}  // namespace fuchsiafall

#endif  // MANIFEST_BOOK_BASE_H_
