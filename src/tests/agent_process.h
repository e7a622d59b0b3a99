/// @file agent_process.h Hosted agent as a real process, with a store, an
/// origin of weights and an engine in the test's own process, on loopback.
#ifndef TESTS_AGENT_PROCESS_H_
#define TESTS_AGENT_PROCESS_H_

#include <deque>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "network/datagram_link.h"
#include "tests/entry_process.h"
#include "tests/soak/site_standin.h"

namespace fuchsiafall::tests {

/// Layers that an engine has loaded from its staged pieces.
struct loaded_layers {
  uint64_t version = 0;  ///< Named by the order.
  /// Version that each piece belonged to when the order was accepted; 0 for
  /// bytes of no version.
  std::vector<uint64_t> pieces;

  bool IsIntact() const;
  std::string ToText() const;
};
using layers_ptr = std::shared_ptr<const loaded_layers>;

/// Calls that an engine holds back.
enum class held_calls {
  kOneOrder,  ///< Not those that come after it.
  kOrders,
  kAll,  ///< The server stands still.
};

/// Engine that loads staged pieces without a check of them. All of it runs in
/// the loop's thread.
class scripted_engine {
 public:
  /// @param version Staged and loaded at first.
  scripted_engine(event_loop* loop, uint64_t version);
  outcome<done> Listen(const std::string& address);

  /// Holds calls back from the next order on. They are then executed in the
  /// order of their arrival, also those whose caller has closed the connection.
  /// @param on_held Called when that order has arrived.
  void HoldFromNextOrder(held_calls calls,
                         milliseconds span,
                         std::function<void(time_point)> on_held);
  /// Whether it neither holds calls back nor loads layers.
  bool IsSettled() const { return !holding_ && loading_ == nullptr; }
  /// Spoils the bytes of a staged piece.
  void RotPiece(uint32_t piece);
  /// Restarts under the same id: staged pieces stay, the rest is lost.
  void Restart();

  /// Returns what is loaded; null for nothing.
  const layers_ptr& Layers() const { return layers_; }
  /// All loads, in the order in which they were accepted.
  const std::vector<layers_ptr>& Loads() const { return loads_; }
  /// Returns the JSON fields of its report and of its item in the store.
  std::string LayerFields() const;

 private:
  struct engine_call {
    std::shared_ptr<http_server_connection> from;
    http_request request;
  };
  struct planned_hold {
    held_calls calls;
    milliseconds span;
    std::function<void(time_point)> on_held;
  };

  void OnRequest(time_point now, engine_call call);
  void ExecuteHeld(time_point now);
  void Execute(time_point now, const engine_call& call);
  /// Executes an order.
  /// @return Status of the answer.
  int ExecuteOrder(time_point now, const std::string& body);
  void BeginLoad(time_point now, uint64_t version);
  void ExecuteStageCall(time_point now, const engine_call& call);

  event_loop* loop_;
  http_listener listener_;
  std::map<uint32_t, std::string> staged_;
  layers_ptr layers_;
  layers_ptr loading_;
  std::vector<layers_ptr> loads_;
  uint64_t sequence_ = 0;
  int64_t born_ = 1;
  std::optional<planned_hold> planned_hold_;
  std::optional<held_calls> holding_;  ///< What is held back now.
  std::deque<engine_call> held_;
};

/// Place that the agent granted, and what its engine had loaded.
struct granted_place {
  layers_ptr layers;
  layers_ptr later_layers;  ///< When the granted request may have arrived.

  /// Whether the engine had layers that were taken with a wrong piece.
  bool IsOnWrongLayers() const;
};

/// Agent of one engine that serves version 1, asked for places all the time.
class agent_process : public process_with_store {
 public:
  explicit agent_process(const std::string& network);
  ~agent_process() { Stop(); }
  agent_process(const agent_process&) = delete;
  agent_process& operator=(const agent_process&) = delete;

  /// Starts the agent and waits until it grants places.
  void Start();
  /// Kills the agent and starts it again.
  void Restart();
  void NameVersion(uint64_t version);

  /// Runs a function in the loop's thread, with the engine.
  template <typename function>
  auto InLoop(function run) {
    std::packaged_task<decltype(run(&engine_))()> task(
        [&] { return run(&engine_); });
    Loop().Post([&task] { task(); });
    return task.get_future().get();
  }
  /// Waits until the engine has settled and a place is granted on intact layers
  /// of a version.
  bool WaitForPlaceOn(uint64_t version, milliseconds timeout);
  size_t CountPlacesOnWrongLayers();
  /// Lists the loads, and the places on intact and on wrong layers.
  std::string Summary();

 private:
  void Ask(time_point now);
  void OnMessage(time_point now, const proto::envelope& message);

  soak::site_faults faults_;  ///< Of the origin; none.
  soak::origin_standin origin_;
  scripted_engine engine_;
  datagram_link entry_;
  std::string agent_address_;
  uint64_t last_call_ = 0;
  std::vector<granted_place> places_;
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_AGENT_PROCESS_H_
