/// @file piece_stager_base.h Staging of weights at an engine that checks
/// nothing: pieces are written, read back and compared.
#ifndef PIECE_STAGER_BASE_H_
#define PIECE_STAGER_BASE_H_

#include <optional>
#include <string>
#include <vector>

#include "ids_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct piece_stager_options {
  /// Age at which a comparison no longer counts, since staged bytes may rot.
  milliseconds fresh{2000};
};

/// Chooses which piece to write or to read back next.
class piece_stager {
 public:
  enum class operation_type { kRead, kWrite };
  struct operation {
    operation_type type;
    uint32_t piece;
  };

  explicit piece_stager(piece_stager_options options) : options_(options) {}

  /// Sets what is to be staged; all is read first.
  void SetTarget(std::vector<digest> pieces);
  bool HasTarget() const { return !pieces_.empty(); }
  /// Forgets what was compared, for an engine that may have lost it.
  void Recheck();
  /// Tells that a piece is at hand for writing.
  void OnAtHand(uint32_t piece) { pieces_[piece].is_at_hand = true; }

  /// Chooses the next operation.
  /// @param is_wanted Whether the whole is to be fresh for an order.
  std::optional<operation> Next(time_point now, bool is_wanted) const;
  /// Takes what was read.
  /// @param actual Digest of the bytes; none where nothing lies there.
  /// @return Whether they are right.
  bool OnRead(time_point now, uint32_t piece, std::optional<digest> actual);
  void OnWritten(uint32_t piece);
  void OnFailed(time_point now) { pause_until_ = now + kPause; }

  /// Whether every piece has been compared lately and was right.
  bool IsFresh(time_point now) const;
  /// Whether each piece has been looked at once.
  bool IsSurveyed() const;
  const digest& Wanted(uint32_t piece) const { return pieces_[piece].wanted; }
  uint32_t Pieces() const { return static_cast<uint32_t>(pieces_.size()); }

 private:
  static constexpr milliseconds kPause{100};  // After a call that failed.
  enum class piece_state { kUnknown, kMissing, kWritten, kRight };
  struct piece_note {
    digest wanted;
    piece_state state = piece_state::kUnknown;
    bool is_at_hand = false;
    time_point right_at{};
  };

  piece_stager_options options_;
  std::vector<piece_note> pieces_;
  time_point pause_until_{};
};

}  // namespace fuchsiafall

#endif  // PIECE_STAGER_BASE_H_
