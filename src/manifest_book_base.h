/// @file manifest_book_base.h Manifests of the versions of a model, as an
/// origin told them that may spoil what it sends.
#ifndef MANIFEST_BOOK_BASE_H_
#define MANIFEST_BOOK_BASE_H_

#include <map>
#include <optional>
#include <vector>

#include "blob_store_base.h"
#include "engine_control_type.h"
#include "outcome_type.h"

namespace fuchsiafall {

/// Manifest of one version in the project's own form.
struct version_manifest {
  digest name;
  shared_bytes bytes;
  std::vector<digest> pieces;
};

/// Where a piece stands in the weights.
struct piece_place {
  uint64_t version = 0;
  uint32_t index = 0;
};

struct manifest_book_options {
  milliseconds retry{300};  ///< After an answer that cannot be used.
  /// Between two readings of a manifest that is in doubt: pieces are spoilt
  /// far more often than their manifest.
  milliseconds recheck{1000};
};

/// Keeps one manifest for each version. Nothing seals a manifest, and a digit
/// of it that was spoilt makes a piece that never matches. So a piece of the
/// origin that doesn't match has the manifest read again, until two readings
/// agree.
class manifest_book {
 public:
  explicit manifest_book(manifest_book_options options) : options_(options) {}

  /// Whether the manifest of a version is to be read now.
  bool WantsReading(time_point now, uint64_t version) const;
  void OnSent(uint64_t version) { notes_[version].is_reading = true; }
  /// Takes an answer of the origin.
  /// @return Whether the manifest in use has changed, or why it is not usable.
  outcome<bool> OnAnswer(time_point now,
                         uint64_t version,
                         const outcome<weights_manifest>& answer);
  /// Tells that the origin gave other bytes for a piece than its digest says.
  void OnWrongPiece(const digest& piece);

  /// Finds the manifest in use; null while none is known.
  const version_manifest* Find(uint64_t version) const;
  std::optional<piece_place> PlaceOf(const digest& piece) const;

 private:
  struct reading {
    version_manifest manifest;
    uint32_t times = 0;  ///< Read with the same content.
  };
  struct note {
    std::vector<reading> readings;
    size_t used = 0;  ///< Among the readings.
    bool is_reading = false;
    bool is_doubted = false;
    time_point next_at{};              ///< Not read again before.
    std::map<digest, uint32_t> wrong;  ///< Wrong answers, by piece.
  };
  void Index(uint64_t version, const version_manifest& manifest);

  manifest_book_options options_;
  std::map<uint64_t, note> notes_;  ///< By version.
  std::map<digest, piece_place> places_;
};

}  // namespace fuchsiafall

#endif  // MANIFEST_BOOK_BASE_H_
