/// @file load_verifier_base.h Verification that an engine took intact pieces of
/// the intended version when it accepted a load order.
#ifndef LOAD_VERIFIER_BASE_H_
#define LOAD_VERIFIER_BASE_H_

#include <compare>
#include <map>
#include <optional>

#include "engine_control_type.h"

namespace fuchsiafall {

struct load_verifier_options {
  /// Time after the end of a call without an answer in which it may still take
  /// effect. An engine that stands still reads it when it goes on, even if the
  /// agent has given it up; one that has closed the connection does not.
  milliseconds max_delay_given_up{5000};
  milliseconds max_delay_broken{1000};
  /// Time in which the digests of the held layers' pieces may be unknown.
  milliseconds max_digest_wait{3000};
};

/// Verifies the layers that an engine holds.
///
/// An engine takes the staged pieces as they are when it accepts an order, and
/// that may be long after the pieces were checked. So they are compared again
/// after the order was accepted. Staged pieces may be corrupted at rest but are
/// never restored by that, and only the agent writes them: if all of them match
/// in reads sent after the acceptance was seen, and nothing was written since
/// before the acceptance, the engine took them intact. For the same reason
/// nothing is written before this is known: an agent that is restarted may then
/// verify what its predecessor had loaded.
class load_verifier {
 public:
  explicit load_verifier(load_verifier_options options) : options_(options) {}

  /// Processes a report of the engine. An accepted order, or a restart, counts
  /// when a second report shows it: an answer may be garbled, or a late copy of
  /// an earlier one.
  /// @param requested_at When it was requested; it may show that time.
  /// @param has_layers Whether it shows layers of the model.
  /// @return Whether an order was accepted, or the engine has restarted.
  bool OnReport(time_point now,
                time_point requested_at,
                const staged_engine_report& report,
                bool has_layers);
  /// Whether only one report has shown an accepted order or a restart so far.
  bool IsInDoubt() const { return doubtful_load_.has_value(); }
  /// Records an order.
  /// @return Its number, for OnOrderEnded().
  uint64_t OnOrderSent(time_point now, const engine_order& order);
  void OnOrderEnded(time_point now,
                    uint64_t number,
                    const engine_call_result& result);
  void OnWriteSent();
  void OnWriteEnded(time_point now, const engine_call_result& result);

  /// Whether staged pieces may be written: the engine accepts no order that is
  /// on its way, and what it took is known.
  bool MayWrite(time_point now) const;
  /// Whether a load may be ordered: no write is on its way.
  bool MayOrder(time_point now) const { return now >= WritesEnd(); }

  /// Returns from when on reads of the staged pieces show what the engine took;
  /// nullopt if no load is to be verified.
  std::optional<time_point> VerifiesFrom() const;
  /// Whether the held layers are to be verified, and no load is in progress.
  bool HoldsUnverified() const;
  /// Processes a comparison of all staged pieces of the held version.
  /// @param is_match Whether all of them match in reads sent since
  /// VerifiesFrom().
  void OnCompared(bool is_match);
  /// Gives the held layers up if the digests of their pieces stay unknown.
  void OnDigestsMissing(time_point now);

  /// Whether the engine took intact pieces for all that it holds.
  bool IsIntact() const {
    return state_ == load_state::kIntact && !doubtful_load_;
  }
  /// Whether the held layers must be given up.
  bool IsSpoilt() const {
    return state_ == load_state::kSpoilt && HoldsLayers();
  }

 private:
  enum class load_state { kUnverified, kIntact, kSpoilt };
  /// Lifetime of the engine, and the orders that it has accepted in it.
  struct load_id {
    int64_t started_at_ms = 0;
    uint64_t orders = 0;
    auto operator<=>(const load_id&) const = default;
  };
  /// Order that the engine may still accept.
  struct open_order {
    time_point sent_at{};
    uint64_t reported_orders = 0;  ///< Count of orders that it names.
    bool is_unload = false;
    bool is_accepted = false;  ///< Answered so.
    /// Until when it may be accepted; max() while its call is open.
    time_point open_until = time_point::max();
  };

  void OnOrderAccepted(const load_id& reported);
  /// Whether an order is an unload, and the last one that the engine accepted.
  static bool IsAcceptedUnload(const open_order& order, const load_id& load);
  bool HoldsLayers() const { return is_loading_ || has_layers_; }
  /// Returns until when a write may take effect; max() while one is open.
  time_point WritesEnd() const {
    return is_write_open_ ? time_point::max() : writes_end_;
  }
  /// Whether the engine may accept a further order that is on its way.
  bool IsOrderOpen(time_point now) const;
  /// Returns until when a call that has ended may take effect.
  time_point EffectEnd(time_point now, const engine_call_result& result) const;

  load_verifier_options options_;
  bool has_report_ = false;
  load_id load_;
  /// Load that a single report has shown, and when.
  std::optional<load_id> doubtful_load_;
  time_point doubtful_at_{};
  load_state state_ = load_state::kUnverified;
  bool is_loading_ = false;
  bool has_layers_ = false;
  bool is_unloading_ = false;  ///< Whether the last accepted order unloads.
  time_point shown_at_{};      ///< Request of the last report of `load_`.
  /// The last order was accepted between these: it was not yet at the request
  /// of the last report without it, and it was at the first report with it.
  time_point accepted_after_ = time_point::min();
  time_point accepted_before_{};
  std::optional<time_point> digests_missing_since_;
  std::map<uint64_t, open_order> open_orders_;  ///< By number.
  uint64_t next_order_ = 1;
  bool is_write_open_ = false;
  /// Until when the ended writes may take effect.
  time_point writes_end_ = time_point::min();
};

}  // namespace fuchsiafall

#endif  // LOAD_VERIFIER_BASE_H_
