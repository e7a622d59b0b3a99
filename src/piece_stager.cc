/// @file piece_stager.cc Staging and verification of weights at an engine.
#include "piece_stager_base.h"

#include <algorithm>

namespace fuchsiafall {

void piece_stager::SetTarget(std::vector<digest> pieces) {
  const std::vector<staged_piece> before = std::move(pieces_);
  pieces_.clear();
  for (digest& expected : pieces) {
    staged_piece piece{.expected = std::move(expected)};
    // What the engine holds of the previous target need not be read to know
    // that it is another piece.
    if (pieces_.size() < before.size()) {
      const staged_piece& previous = before[pieces_.size()];
      const bool is_known = previous.state == piece_state::kWritten ||
                            previous.state == piece_state::kVerified;
      if (is_known && previous.expected != piece.expected)
        piece.state = piece_state::kMissing;
    }
    pieces_.push_back(std::move(piece));
  }
}

void piece_stager::Invalidate() {
  for (staged_piece& piece : pieces_)
    piece.state = piece_state::kUnknown;
}

std::optional<piece_stager::operation> piece_stager::Next(
    time_point now,
    bool is_order_due) const {
  if (now < retry_at_)
    return std::nullopt;
  for (uint32_t i = 0; i < pieces_.size(); ++i) {
    if (pieces_[i].state == piece_state::kUnknown)
      return operation{operation_type::kRead, i};
  }
  for (uint32_t i = 0; i < pieces_.size(); ++i) {
    if (pieces_[i].state == piece_state::kMissing && pieces_[i].is_available)
      return operation{operation_type::kWrite, i};
  }
  if (!is_order_due)
    return std::nullopt;
  const bool has_all_pieces = std::all_of(
      pieces_.begin(), pieces_.end(), [](const staged_piece& piece) {
        return piece.state != piece_state::kMissing;
      });
  if (!has_all_pieces)
    return std::nullopt;
  for (uint32_t i = 0; i < pieces_.size(); ++i) {
    const staged_piece& piece = pieces_[i];
    const bool is_expired = now - piece.read_at > options_.max_verified_age;
    if (piece.state == piece_state::kWritten || is_expired)
      return operation{operation_type::kRead, i};
  }
  return std::nullopt;
}

std::optional<piece_stager::operation> piece_stager::NextUnread(
    time_point now,
    time_point since) const {
  if (now < retry_at_)
    return std::nullopt;
  for (uint32_t i = 0; i < pieces_.size(); ++i) {
    if (pieces_[i].read_at < since)
      return operation{operation_type::kRead, i};
  }
  return std::nullopt;
}

bool piece_stager::OnReadBack(time_point sent_at,
                              uint32_t piece,
                              std::optional<digest> actual) {
  if (piece >= pieces_.size())
    return false;
  staged_piece& staged = pieces_[piece];
  const bool is_match = actual && *actual == staged.expected;
  staged.state = is_match ? piece_state::kVerified : piece_state::kMissing;
  staged.read_at = sent_at;
  return is_match;
}

void piece_stager::OnWritten(uint32_t piece) {
  if (piece < pieces_.size())
    pieces_[piece].state = piece_state::kWritten;
}

void piece_stager::Forget(uint32_t piece) {
  pieces_[piece].state = piece_state::kUnknown;
  pieces_[piece].read_at = {};
}

bool piece_stager::IsVerified(time_point now) const {
  return IsVerifiedSince(now - options_.max_verified_age);
}

bool piece_stager::IsVerifiedSince(time_point since) const {
  return !pieces_.empty() &&
         std::all_of(pieces_.begin(), pieces_.end(),
                     [&](const staged_piece& piece) {
                       return piece.state == piece_state::kVerified &&
                              piece.read_at >= since;
                     });
}

std::optional<uint32_t> piece_stager::MismatchSince(time_point since) const {
  for (uint32_t i = 0; i < pieces_.size(); ++i) {
    if (pieces_[i].state == piece_state::kMissing &&
        pieces_[i].read_at >= since)
      return i;
  }
  return std::nullopt;
}

duration piece_stager::OldestVerificationAge(time_point now) const {
  duration oldest{};
  for (const staged_piece& piece : pieces_)
    oldest = std::max<duration>(oldest, now - piece.read_at);
  return oldest;
}

bool piece_stager::HasReadAll() const {
  return std::none_of(pieces_.begin(), pieces_.end(),
                      [](const staged_piece& piece) {
                        return piece.state == piece_state::kUnknown;
                      });
}

}  // namespace fuchsiafall
