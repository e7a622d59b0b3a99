/// @file weight_loader.cc Staging, loading and verification of weights at one
/// engine.
#include "weight_loader_base.h"

#include <utility>

#include "network/http_status.h"

namespace fuchsiafall {

namespace {

/// Reads in a row in which a staged piece differs, before what the engine took
/// counts as spoilt. Answers of the engine may be garbled.
constexpr uint32_t kMismatchesToGiveUp = 3;

}  // namespace

weight_loader::weight_loader(weight_loader_options options,
                             weight_loader_hooks hooks)
    : monitor_(options.monitor),
      stager_(options.stager),
      verifier_(options.verifier),
      hooks_(std::move(hooks)) {}

bool weight_loader::OnReport(time_point now,
                             time_point requested_at,
                             const staged_engine_report& report) {
  const bool is_restarted = monitor_.OnReport(report);
  if (verifier_.OnReport(now, requested_at, report, monitor_.HeldVersion() > 0))
    suspect_piece_.reset();
  if (is_restarted)
    stager_.Invalidate();
  return is_restarted;
}

uint64_t weight_loader::ChooseTarget(time_point now, uint64_t wanted) const {
  if (verifier_.MayWrite(now))
    return wanted;
  if (verifier_.HoldsUnverified() && ServedVersion() > 0)
    return ServedVersion();
  return target_version_ != 0 ? target_version_ : wanted;
}

void weight_loader::SetTarget(uint64_t version, std::vector<digest> pieces) {
  has_compared_ = has_compared_ && version == target_version_;
  target_version_ = version;
  stager_.SetTarget(std::move(pieces));
  has_compared_ = has_compared_ || stager_.HasReadAll();
}

void weight_loader::MarkAvailable(
    const std::function<bool(const digest&)>& is_held) {
  for (uint32_t i = 0; i < stager_.Pieces(); ++i)
    stager_.SetAvailable(i, is_held(stager_.ExpectedDigest(i)));
}

std::optional<engine_step> weight_loader::NextStep(
    time_point now,
    std::optional<uint64_t> load) {
  if (is_step_open_)
    return std::nullopt;
  VerifyLoad(now);
  if (verifier_.IsSpoilt()) {
    if (const auto order = MakeUnloadOrder(now))
      return *order;
    return std::nullopt;
  }
  if (!stager_.HasTarget())
    return std::nullopt;
  if (const auto since = verifier_.VerifiesFrom())
    return StartStep(stager_.NextUnread(now, *since));
  // An order loads whatever is staged, so its version must be the staged one.
  const bool may_load =
      load && *load == target_version_ && verifier_.MayOrder(now);
  if (may_load) {
    if (auto order =
            monitor_.MakeOrder(now, target_version_, stager_.IsVerified(now)))
      return send_order{verifier_.OnOrderSent(now, *order), *order};
  }
  const auto next =
      stager_.Next(now, may_load && monitor_.IsOrderDue(now, target_version_));
  if (next && next->type == piece_stager::operation_type::kWrite &&
      !verifier_.MayWrite(now))
    return std::nullopt;
  return StartStep(next);
}

intact_weights weight_loader::IntactWeights() const {
  if (!verifier_.IsIntact() || Report().is_loading)
    return {};
  return {.version = ServedVersion(), .started_at_ms = Report().started_at_ms};
}

void weight_loader::VerifyLoad(time_point now) {
  const auto since = verifier_.VerifiesFrom();
  if (!since || !verifier_.HoldsUnverified())
    return;
  if (ServedVersion() == 0) {
    // Part of the layers; nobody orders that.
    verifier_.OnCompared(false);
    return LogVerified(now - *since, "part of the layers");
  }
  if (ServedVersion() != target_version_)
    return;
  if (stager_.IsVerifiedSince(*since)) {
    verifier_.OnCompared(true);
  } else if (const auto piece = stager_.MismatchSince(*since)) {
    OnMismatch(now, *piece);
  }
  if (verifier_.IsIntact()) {
    LogVerified(now - *since, "");
  } else if (verifier_.IsSpoilt()) {
    LogVerified(now - *since, suspect_piece_
                                  ? "piece " + std::to_string(*suspect_piece_)
                                  : "written since");
  }
}

void weight_loader::OnMismatch(time_point now, uint32_t piece) {
  mismatches_ = suspect_piece_ == piece ? mismatches_ + 1 : 1;
  suspect_piece_ = piece;
  if (is_target_confirmed_ && mismatches_ >= kMismatchesToGiveUp)
    return verifier_.OnCompared(false);
  // A garbled answer looks the same, but then the piece matches later.
  stager_.Forget(piece);
  if (!is_target_confirmed_)
    stager_.OnFailed(now);
}

void weight_loader::OnHeldDigestsMissing(time_point now) {
  const auto since = verifier_.VerifiesFrom();
  if (!since)
    return;
  verifier_.OnDigestsMissing(now);
  if (verifier_.IsSpoilt())
    LogVerified(now - *since, "digests unknown");
}

void weight_loader::LogVerified(duration span, const std::string& why) const {
  const bool is_intact = verifier_.IsIntact();
  hooks_.count(is_intact ? "loads_verified" : "loads_spoilt");
  hooks_.log(is_intact ? log_event::kLoadVerified : log_event::kLoadSpoilt,
             "version=" + std::to_string(ServedVersion()) +
                 " orders=" + std::to_string(Report().orders) +
                 " after_ms=" + std::to_string(ToMs(span)) +
                 (is_intact ? "" : " why=\"" + why + '"'));
}

std::optional<engine_step> weight_loader::StartStep(
    const std::optional<piece_stager::operation>& operation) {
  if (!operation)
    return std::nullopt;
  is_step_open_ = true;
  if (operation->type == piece_stager::operation_type::kRead)
    return read_piece{target_version_, operation->piece};
  verifier_.OnWriteSent();
  return write_piece{target_version_, operation->piece};
}

std::optional<send_order> weight_loader::MakeUnloadOrder(time_point now) {
  const auto order = monitor_.MakeUnloadOrder(now);
  if (!order)
    return std::nullopt;
  return send_order{verifier_.OnOrderSent(now, *order), *order};
}

bool weight_loader::OnReadEnded(time_point now,
                                time_point sent_at,
                                const read_piece& read,
                                const engine_call_result& result,
                                const std::optional<digest>& actual) {
  is_step_open_ = false;
  if (read.version != target_version_)
    return false;
  if (result.status != kHttpOk && result.status != kHttpNotFound) {
    stager_.OnFailed(now);
    return false;
  }
  const bool is_match = stager_.OnReadBack(sent_at, read.piece, actual);
  if (!is_match && actual)
    hooks_.count("staged_pieces_wrong");
  has_compared_ = has_compared_ || stager_.HasReadAll();
  return is_match;
}

void weight_loader::OnWriteEnded(time_point now,
                                 const write_piece& write,
                                 const engine_call_result& result) {
  is_step_open_ = false;
  verifier_.OnWriteEnded(now, result);
  if (write.version != target_version_)
    return;
  if (result.status / 100 == 2) {
    stager_.OnWritten(write.piece);
  } else {
    stager_.OnFailed(now);
  }
}

}  // namespace fuchsiafall
