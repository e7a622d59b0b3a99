/// @file weight_loader_base.h Staging, loading and verification of weights at
/// one engine, without its sockets.
#ifndef WEIGHT_LOADER_BASE_H_
#define WEIGHT_LOADER_BASE_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "engine_monitor_base.h"
#include "load_verifier_base.h"
#include "log_event_func.h"
#include "piece_stager_base.h"

namespace fuchsiafall {

struct weight_loader_options {
  engine_monitor_options monitor;
  piece_stager_options stager;
  load_verifier_options verifier;
};

struct weight_loader_hooks {
  std::function<void(log_event, const std::string&)> log;
  std::function<void(const std::string&)> count;
};

/// Reads a staged piece back.
struct read_piece {
  uint64_t version = 0;
  uint32_t piece = 0;
};

/// Stages a piece.
struct write_piece {
  uint64_t version = 0;
  uint32_t piece = 0;
};

/// Sends an order.
struct send_order {
  uint64_t number = 0;
  engine_order order;
};

using engine_step = std::variant<read_piece, write_piece, send_order>;

/// Decides what an agent does at its engine: which piece it writes or reads
/// back, when it orders a load, and when it gives up layers that were not
/// loaded intact. One read or write at a time; orders do not block them.
class weight_loader {
 public:
  weight_loader(weight_loader_options options, weight_loader_hooks hooks);

  /// Sets the model that the engine is to serve.
  void SetModel(const std::string& model, uint32_t layers) {
    monitor_.SetModel(model, layers);
  }
  /// Processes a report of the engine.
  /// @param requested_at When it was requested.
  /// @return Whether the engine has restarted.
  bool OnReport(time_point now,
                time_point requested_at,
                const staged_engine_report& report);
  void OnUnreachable() { monitor_.OnUnreachable(); }
  /// Whether another report is needed to know what the engine holds.
  bool NeedsReport() const { return verifier_.IsInDoubt(); }

  /// Chooses the version whose pieces are compared with the staged ones.
  /// @param wanted Version to be staged. Another one takes precedence while
  ///     the staged pieces must not change.
  uint64_t ChooseTarget(time_point now, uint64_t wanted) const;
  /// Whether the digests of the held version are needed to verify it.
  bool NeedsHeldDigests() const { return verifier_.HoldsUnverified(); }
  void SetTarget(uint64_t version, std::vector<digest> pieces);
  /// Sets whether the digests of the target are known to be right.
  void SetTargetConfirmed(bool is_confirmed) {
    is_target_confirmed_ = is_confirmed;
  }
  /// Records that the digests of the held version are not known, although
  /// another one could be staged.
  void OnHeldDigestsMissing(time_point now);
  /// Returns the version of the target; 0 for none.
  uint64_t TargetVersion() const { return target_version_; }
  /// Whether all staged pieces have been compared with the target.
  bool HasCompared() const { return has_compared_; }
  /// Marks the pieces that can be written.
  /// @param is_held Whether a piece is held locally.
  void MarkAvailable(const std::function<bool(const digest&)>& is_held);
  const digest& ExpectedDigest(uint32_t piece) const {
    return stager_.ExpectedDigest(piece);
  }

  /// Chooses the next call to the engine.
  /// @param load Version to load now, if any.
  std::optional<engine_step> NextStep(time_point now,
                                      std::optional<uint64_t> load);
  /// Creates the order to unload the served version, if one is due.
  std::optional<send_order> MakeUnloadOrder(time_point now);
  /// Processes the end of a read.
  /// @param result Of the call.
  /// @param actual Digest of the bytes, if there were any.
  /// @return Whether the bytes are the expected piece.
  bool OnReadEnded(time_point now,
                   time_point sent_at,
                   const read_piece& read,
                   const engine_call_result& result,
                   const std::optional<digest>& actual);
  void OnWriteEnded(time_point now,
                    const write_piece& write,
                    const engine_call_result& result);
  void OnOrderEnded(time_point now,
                    const send_order& order,
                    const engine_call_result& result) {
    verifier_.OnOrderEnded(now, order.number, result);
  }

  /// Whether the engine accepts requests on intact weights.
  bool IsServing(time_point now) const {
    return monitor_.IsServing(now) && verifier_.IsIntact();
  }
  uint64_t ServedVersion() const { return monitor_.ServedVersion(); }
  /// Returns the served weights if they are known to be intact.
  intact_weights IntactWeights() const;
  const staged_engine_report& Report() const { return monitor_.Report(); }
  bool IsReachable() const { return monitor_.IsReachable(); }
  duration OldestVerificationAge(time_point now) const {
    return stager_.OldestVerificationAge(now);
  }

 private:
  /// Compares the staged pieces with what the engine holds, as far as they have
  /// been read.
  void VerifyLoad(time_point now);
  /// Processes a piece that does not match what the engine was to take.
  void OnMismatch(time_point now, uint32_t piece);
  /// Logs the result of a verification.
  void LogVerified(duration span, const std::string& why) const;
  std::optional<engine_step> StartStep(
      const std::optional<piece_stager::operation>& operation);

  engine_monitor monitor_;
  piece_stager stager_;
  load_verifier verifier_;
  weight_loader_hooks hooks_;
  uint64_t target_version_ = 0;
  bool has_compared_ = false;
  bool is_step_open_ = false;  ///< Whether a read or a write is.
  bool is_target_confirmed_ = true;
  /// Piece that did not match when what the engine took was verified, and how
  /// often.
  std::optional<uint32_t> suspect_piece_;
  uint32_t mismatches_ = 0;
};

}  // namespace fuchsiafall

#endif  // WEIGHT_LOADER_BASE_H_
