/// @file piece_stager_base.h Staging of weights at an engine that does not
/// verify them: pieces are written, read back and compared with their digests.
#ifndef PIECE_STAGER_BASE_H_
#define PIECE_STAGER_BASE_H_

#include <optional>
#include <string>
#include <vector>

#include "ids_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct piece_stager_options {
  /// Age after which a piece must be verified again, since staged bytes may be
  /// corrupted at rest.
  milliseconds max_verified_age{2000};
};

/// Chooses which piece to write or read back next. A piece is a chunk of the
/// weights; the origin's API uses this word.
class piece_stager {
 public:
  enum class operation_type { kRead, kWrite };
  struct operation {
    operation_type type;
    uint32_t piece;
  };

  explicit piece_stager(piece_stager_options options) : options_(options) {}

  /// Sets the pieces to be staged. Positions of which it is not known that they
  /// hold another piece are read first, so that pieces already staged are not
  /// written again.
  void SetTarget(std::vector<digest> pieces);
  bool HasTarget() const { return !pieces_.empty(); }
  /// Discards all verification results, after a restart of the engine.
  void Invalidate();
  /// Sets whether a piece is held locally and can be written.
  void SetAvailable(uint32_t piece, bool is_available) {
    pieces_[piece].is_available = is_available;
  }

  /// Chooses the next operation.
  /// @param is_order_due Whether a load order is due, for which all pieces must
  /// have been verified recently.
  std::optional<operation> Next(time_point now, bool is_order_due) const;
  /// Chooses a piece that has not been read back since a time.
  std::optional<operation> NextUnread(time_point now, time_point since) const;
  /// Processes a read-back.
  /// @param sent_at When the read was sent. The bytes may be as old as that.
  /// @param actual Digest of the bytes; empty when nothing is staged there.
  /// @return Whether it matches the expected digest.
  bool OnReadBack(time_point sent_at,
                  uint32_t piece,
                  std::optional<digest> actual);
  void OnWritten(uint32_t piece);
  /// Discards the last verification of a piece.
  void Forget(uint32_t piece);
  void OnFailed(time_point now) { retry_at_ = now + kRetryDelay; }

  /// Whether every piece was recently verified as correct.
  bool IsVerified(time_point now) const;
  /// Whether every piece was verified as correct since a time.
  bool IsVerifiedSince(time_point since) const;
  /// Finds a piece that was read back since a time and did not match.
  std::optional<uint32_t> MismatchSince(time_point since) const;
  /// Returns how long ago the first of the last verifications was.
  duration OldestVerificationAge(time_point now) const;
  /// Whether every piece has been read at least once.
  bool HasReadAll() const;
  const digest& ExpectedDigest(uint32_t piece) const {
    return pieces_[piece].expected;
  }
  uint32_t Pieces() const { return static_cast<uint32_t>(pieces_.size()); }

 private:
  static constexpr milliseconds kRetryDelay{100};  // After a failed call.
  enum class piece_state { kUnknown, kMissing, kWritten, kVerified };
  struct staged_piece {
    digest expected;
    piece_state state = piece_state::kUnknown;
    bool is_available = false;
    time_point read_at{};  ///< When its last read was sent.
  };

  piece_stager_options options_;
  std::vector<staged_piece> pieces_;
  time_point retry_at_{};
};

}  // namespace fuchsiafall

#endif  // PIECE_STAGER_BASE_H_
