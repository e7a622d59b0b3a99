/// @file fake_staged_engine.h Engine that loads staged pieces, and an agent's
/// calls to it, in virtual time.
#ifndef TESTS_FAKE_STAGED_ENGINE_H_
#define TESTS_FAKE_STAGED_ENGINE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "weight_loader_base.h"

namespace fuchsiafall::tests {

/// Delays of the next calls, each from its start until it takes effect.
struct engine_delays {
  milliseconds order{2};
  milliseconds write{2};
  milliseconds read{2};
};

/// Engine of one model, with the agent's loader before it.
class fake_staged_engine {
 public:
  static constexpr uint32_t kPieces = 6;
  static constexpr uint32_t kLayers = 4;

  /// @param version Version that the engine holds at its start; 0 for none.
  explicit fake_staged_engine(uint64_t version);

  /// Advances the virtual time.
  void Advance(milliseconds span);
  /// Advances the virtual time until a condition holds.
  /// @return Whether it did within the time.
  bool AdvanceUntil(const std::function<bool()>& condition, milliseconds limit);

  /// Corrupts a staged piece at rest.
  void Rot(uint32_t piece) { staged_[piece] = "rotten"; }
  /// Makes it hold layers up to a number, loaded by an order.
  void HoldLayers(uint64_t version, uint32_t to) {
    report_.held = {{.model = "m", .version = version, .from = 0, .to = to}};
    report_.orders = 1;
  }
  /// Restarts the engine. Its staged pieces stay.
  void Restart();
  /// Replaces the agent by a successor. Its calls stay in the engine's sockets.
  void RestartAgent();

  /// Whether the agent grants places.
  bool IsServing() const { return loader_->IsServing(now); }
  /// Whether the engine took other bytes than those of the version it holds.
  bool HoldsSpoilt() const;
  uint64_t HeldVersion() const {
    return report_.held.empty() ? 0 : report_.held.front().version;
  }
  bool IsOrderOpen() const { return open_orders_ > 0; }
  uint64_t Orders() const { return report_.orders; }
  weight_loader& Loader() { return *loader_; }

  time_point now{std::chrono::hours(1)};
  engine_delays delays;
  /// Version that the agent has all pieces of and loads.
  uint64_t wanted = 1;
  /// Whether the agent, or the engine, stands still.
  bool is_agent_paused = false;
  bool is_engine_paused = false;
  /// Number of the next reads of which the answer is garbled.
  uint32_t garbled_reads = 0;
  bool loses_order_answers = false;
  /// Whether the agent has a manifest that is corrupted and not confirmed.
  bool has_digests_in_doubt = false;
  std::map<std::string, uint32_t> counts;  ///< Of the loader.
  /// Time during which places were granted on spoilt weights.
  duration spoilt_service{};

 private:
  struct event {
    time_point at;
    bool is_of_engine = false;
    std::function<void()> act;
  };
  static std::string Bytes(uint64_t version, uint32_t piece);
  static std::vector<digest> PiecesOf(uint64_t version);
  void After(milliseconds delay, bool is_of_engine, std::function<void()> act);
  void RunEvents();
  void RunAgent();
  void Perform(const engine_step& step);
  void Accept(const engine_order& order, int64_t started_at_ms, int* status);

  std::unique_ptr<weight_loader> loader_;
  uint32_t agent_number_ = 0;  ///< Of the current agent.
  std::vector<event> events_;
  std::vector<std::string> staged_ = std::vector<std::string>(kPieces);
  std::vector<std::string> taken_;  ///< Pieces of the held or loading version.
  staged_engine_report report_;
  time_point load_ends_at_{};
  uint64_t loading_version_ = 0;
  time_point next_report_at_{};
  uint32_t open_orders_ = 0;
  digest known_piece_;  ///< Digest of a piece in the agent's manifest.
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_FAKE_STAGED_ENGINE_H_
