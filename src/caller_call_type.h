/// @file caller_call_type.h Calls of callers at a hosted entry, and what
/// servers answer.
#ifndef CALLER_CALL_TYPE_H_
#define CALLER_CALL_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "ids_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// What a caller's request says of itself.
struct caller_call {
  std::string id;                         ///< Of this attempt of the caller.
  std::string host;                       ///< Without a port.
  std::string key;                        ///< Empty when it has none.
  std::optional<milliseconds> time_left;  ///< For which the caller waits.
  std::string model;
  uint32_t prompt_tokens = 0;
  uint32_t answer_tokens = 0;  ///< The most that may be generated.
  uint32_t hinted_tokens = 0;  ///< The caller's estimate; 0 where it has none.
  std::optional<uint64_t> last_event;  ///< Event after which a stream goes on.
  /// Same for each request of a caller with the same path and body.
  fingerprint print;
};

/// What an attempt adds to the caller's request.
struct attempt_terms {
  std::string instance;  ///< The only server that may run it.
  std::string tenant;    ///< Empty on anonymous routes.
  milliseconds time_left{0};
  std::optional<uint64_t> last_event;
  std::optional<uint64_t> weights;  ///< The only version that may serve it.
  std::optional<int> urgency;       ///< 0 is first, 9 last.
};

/// What a server's answer says beside its body.
struct server_answer {
  int status = 0;
  std::string call_id;       ///< Of the request that it answers.
  bool did_not_run = false;  ///< Whether the server says that it did not run.
  bool is_sealed = false;    ///< Whether it bears the server's proof.
  bool has_load = false;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  std::string instance;
  std::optional<uint64_t> weights;  ///< Version that a stream begins with.
};

}  // namespace fuchsiafall

#endif  // CALLER_CALL_TYPE_H_
