/// @file async_http_call.h Single HTTP call on an event loop, with the answer
/// collected as a whole.
#ifndef NETWORK_ASYNC_HTTP_CALL_H_
#define NETWORK_ASYNC_HTTP_CALL_H_

#include <functional>
#include <string>

#include "network/http_exchange.h"

namespace fuchsiafall {

struct async_http_call {
  std::string address;  ///< ip:port
  std::string request;  ///< Serialized, with its head and body.
  /// Time to the whole answer; with `max_pause`, to its begin.
  milliseconds timeout{0};
  /// Longest pause in an answer that has begun, interim answers included. Its
  /// size then decides how long it may take. None if zero.
  milliseconds max_pause{0};
  /// Whether to open a connection. On one in use again a server may send a late
  /// copy of an earlier answer, which an answer without an id cannot be told
  /// from.
  bool needs_new_connection = false;
  /// Receives the answer; status 0 means that no complete answer arrived.
  std::function<void(time_point, int status, std::string body)> on_done;
  /// Receives the head of the answer before on_done; may be empty.
  std::function<void(const Poco::Net::HTTPResponse& head)> on_head;
  /// Called at each part of the answer; may be empty.
  std::function<void(time_point)> on_progress;
  /// Called before on_done, with the size of what has arrived of the body; may
  /// be empty.
  std::function<void(time_point, size_t received)> on_timeout;
};

/// Starts a call on an idle or a new connection of the pool. The connection is
/// then kept for other calls.
void StartAsyncHttpCall(time_point now,
                        event_loop* loop,
                        http_client_pool* pool,
                        const async_http_call& call);

}  // namespace fuchsiafall

#endif  // NETWORK_ASYNC_HTTP_CALL_H_
