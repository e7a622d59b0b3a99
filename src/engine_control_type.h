/// @file engine_control_type.h Engines that load weights staged on their VM:
/// reports, manifests and orders.
#ifndef ENGINE_CONTROL_TYPE_H_
#define ENGINE_CONTROL_TYPE_H_

#include <string>
#include <vector>

#include "site_type.h"

namespace fuchsiafall {

/// What an engine says of itself.
struct staged_engine_report {
  std::vector<held_layers> held;
  bool is_loading = false;   ///< Whether an order is in progress.
  uint64_t orders = 0;       ///< Orders begun since its start.
  uint32_t waiting = 0;      ///< Requests in its queue.
  uint32_t running = 0;      ///< Requests in its batch.
  uint64_t memory_used = 0;  ///< In tokens.
  uint64_t memory = 0;       ///< In tokens.
  double pace = 1;           ///< Over 1 when it is slower than usual.
  milliseconds cold_left{0};
  int64_t born_ms = 0;  ///< Start, since the epoch.
};

/// Digests of the pieces of one version.
struct weights_manifest {
  std::string model;
  uint64_t version = 0;
  uint32_t chunk_bytes = 0;
  uint32_t layers = 0;
  std::vector<std::string> digests;  ///< SHA-256 in hex digits.
};

/// Order to load what is staged.
struct start_order {
  std::string model;
  uint64_t version = 0;
  bool cuts_running = false;   ///< Ends what runs in place of waiting for it.
  uint64_t orders_before = 0;  ///< Orders that the engine is known to have had.
};

}  // namespace fuchsiafall

#endif  // ENGINE_CONTROL_TYPE_H_
