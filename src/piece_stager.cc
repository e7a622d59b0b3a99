/// @file piece_stager.cc Staging and verification of weights at an engine.
#include "piece_stager_base.h"

#include <algorithm>

namespace fuchsiafall {

void piece_stager::SetTarget(std::vector<digest> pieces) {
  pieces_.clear();
  for (digest& wanted : pieces)
    pieces_.push_back({.wanted = std::move(wanted)});
}

void piece_stager::Recheck() {
  for (piece_note& piece : pieces_)
    piece.state = piece_state::kUnknown;
}

std::optional<piece_stager::operation> piece_stager::Next(
    time_point now,
    bool is_wanted) const {
  if (now < pause_until_)
    return std::nullopt;
  for (uint32_t i = 0; i < pieces_.size(); ++i) {
    if (pieces_[i].state == piece_state::kUnknown)
      return operation{operation_type::kRead, i};
  }
  for (uint32_t i = 0; i < pieces_.size(); ++i) {
    if (pieces_[i].state == piece_state::kMissing && pieces_[i].is_at_hand)
      return operation{operation_type::kWrite, i};
  }
  if (!is_wanted)
    return std::nullopt;
  const bool is_whole =
      std::all_of(pieces_.begin(), pieces_.end(), [](const piece_note& piece) {
        return piece.state != piece_state::kMissing;
      });
  if (!is_whole)
    return std::nullopt;
  for (uint32_t i = 0; i < pieces_.size(); ++i) {
    const piece_note& piece = pieces_[i];
    const bool is_old = now - piece.right_at > options_.fresh;
    if (piece.state == piece_state::kWritten || is_old)
      return operation{operation_type::kRead, i};
  }
  return std::nullopt;
}

bool piece_stager::OnRead(time_point now,
                          uint32_t piece,
                          std::optional<digest> actual) {
  if (piece >= pieces_.size())
    return false;
  piece_note& note = pieces_[piece];
  const bool is_right = actual && *actual == note.wanted;
  note.state = is_right ? piece_state::kRight : piece_state::kMissing;
  note.right_at = is_right ? now : time_point{};
  return is_right;
}

void piece_stager::OnWritten(uint32_t piece) {
  if (piece < pieces_.size())
    pieces_[piece].state = piece_state::kWritten;
}

bool piece_stager::IsFresh(time_point now) const {
  return !pieces_.empty() &&
         std::all_of(pieces_.begin(), pieces_.end(),
                     [&](const piece_note& piece) {
                       return piece.state == piece_state::kRight &&
                              now - piece.right_at <= options_.fresh;
                     });
}

bool piece_stager::IsSurveyed() const {
  return std::none_of(pieces_.begin(), pieces_.end(),
                      [](const piece_note& piece) {
                        return piece.state == piece_state::kUnknown;
                      });
}

}  // namespace fuchsiafall
