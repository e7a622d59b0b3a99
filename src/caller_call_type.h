/// @file caller_call_type.h Decoded headers of callers' requests, attempts and
/// servers' answers at a hosted entry.
#ifndef CALLER_CALL_TYPE_H_
#define CALLER_CALL_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "request_traits_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Decoded headers of a caller's request.
struct caller_call {
  std::string id;    ///< Request id; new for each retry of the caller.
  std::string host;  ///< Without a port.
  std::string key;   ///< API key; empty if none.
  std::optional<milliseconds> time_left;  ///< Until the caller's timeout.
  std::string model;
  uint32_t prompt_tokens = 0;
  uint32_t answer_tokens = 0;  ///< Maximum number of generated tokens.
  uint32_t hinted_tokens = 0;  ///< Caller's estimate of the answer; 0 if none.
  std::optional<uint64_t> last_event;  ///< Last event that the caller received.
  request_traits traits;
};

/// Headers that an attempt adds to the caller's request.
struct attempt_headers {
  std::string instance;  ///< Expected server instance.
  std::string tenant;    ///< Empty on anonymous routes.
  milliseconds time_left{0};
  std::optional<uint64_t> last_event;
  std::optional<uint64_t> weights;  ///< Expected version of the weights.
  std::optional<int> urgency;       ///< 0 is most urgent, 9 least.
};

/// Decoded status and headers of a server's answer.
struct server_answer {
  int status = 0;
  std::string call_id;  ///< Id of the answered request.
  /// Whether its connection has carried other requests, whose answers a faulty
  /// server may repeat.
  bool may_be_repeated = false;
  bool did_not_run = false;  ///< Whether the server states "not run".
  /// Whether it has the server's response seal. A success without it is not
  /// trusted: it is not forwarded, and the attempt counts as failed.
  bool is_sealed = false;
  /// Whether its end is that of the connection, which does not tell a complete
  /// answer from one that a crash has cut off.
  bool ends_by_close = false;
  bool has_load = false;
  bool has_malformed_load = false;  ///< Whether its load report is unreadable.
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  /// Time of work as a multiple of the usual; nullopt if not reported.
  std::optional<double> slowdown;
  std::string instance;
  std::optional<uint64_t> weights;  ///< Version that serves a stream.
  bool is_leaving = false;          ///< Whether the server leaves.
  /// In refusals: time for which the server wants no requests.
  std::optional<milliseconds> pause;
  bool has_unreadable_pause = false;
};

}  // namespace fuchsiafall

#endif  // CALLER_CALL_TYPE_H_
