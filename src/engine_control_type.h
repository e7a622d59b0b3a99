/// @file engine_control_type.h Types of the engine control API: reports,
/// manifests and load orders of engines that load weights staged on their VM.
#ifndef ENGINE_CONTROL_TYPE_H_
#define ENGINE_CONTROL_TYPE_H_

#include <string>
#include <vector>

#include "site_type.h"

namespace fuchsiafall {

/// Status report of an engine that loads staged weights.
struct staged_engine_report {
  std::vector<held_layers> held;
  bool is_loading = false;      ///< Whether a load order is in progress.
  uint64_t orders = 0;          ///< Load orders begun since the engine started.
  uint32_t waiting = 0;         ///< Requests in the engine's queue.
  uint32_t running = 0;         ///< Requests in the running batch.
  uint64_t kv_tokens_used = 0;  ///< KV cache in use, in tokens.
  uint64_t kv_tokens = 0;       ///< KV cache capacity, in tokens.
  double slowdown = 1;  ///< Slowdown factor; above 1 when slower than usual.
  milliseconds cold_remaining{0};  ///< Remaining warm-up time.
  int64_t started_at_ms = 0;       ///< Start time in Unix milliseconds.
};

/// Piece digests of one version, as the origin sends them.
struct weights_manifest {
  std::string model;
  uint64_t version = 0;
  uint32_t chunk_bytes = 0;
  uint32_t layers = 0;
  std::vector<std::string> digests;  ///< SHA-256 in hex, one per piece.
};

/// Order to load the staged weights, or to unload the served ones.
struct engine_order {
  std::string model;
  uint64_t version = 0;
  bool aborts_running =
      false;               ///< Aborts running requests instead of draining.
  bool is_unload = false;  ///< Unloads the version instead of loading it.
  /// Order count in the engine's last report. The engine refuses the order if
  /// it has accepted another one since.
  uint64_t reported_orders = 0;
};

/// How a call to the engine ended.
struct engine_call_result {
  int status = 0;            ///< HTTP status of the answer; 0 for none.
  bool is_given_up = false;  ///< The agent closed the connection.
};

}  // namespace fuchsiafall

#endif  // ENGINE_CONTROL_TYPE_H_
