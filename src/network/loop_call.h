/// @file loop_call.h One HTTP call on an event loop, answered as a whole.
#ifndef NETWORK_LOOP_CALL_H_
#define NETWORK_LOOP_CALL_H_

#include <functional>
#include <string>

#include "network/http_exchange.h"

namespace fuchsiafall {

struct loop_call {
  std::string address;  ///< ip:port
  std::string request;  ///< Written out in full.
  milliseconds timeout{0};
  /// Takes the answer; the status is 0 when none came whole.
  std::function<void(time_point, int status, std::string body)> on_done;
  std::function<void()> on_timeout;  ///< Before on_done; may be empty.
};

/// Starts a call over a kept or a new connection of the pool.
void StartLoopCall(time_point now,
                   event_loop* loop,
                   http_client_pool* pool,
                   const loop_call& call);

}  // namespace fuchsiafall

#endif  // NETWORK_LOOP_CALL_H_
