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
  milliseconds timeout{0};
  /// Receives the answer; status 0 means that no complete answer arrived.
  std::function<void(time_point, int status, std::string body)> on_done;
  std::function<void()> on_timeout;  ///< Called before on_done; may be empty.
  /// Receives the head of the answer before on_done; may be empty.
  std::function<void(const Poco::Net::HTTPResponse& head)> on_head;
};

/// Starts a call on an idle or a new connection of the pool.
void StartAsyncHttpCall(time_point now,
                        event_loop* loop,
                        http_client_pool* pool,
                        const async_http_call& call);

}  // namespace fuchsiafall

#endif  // NETWORK_ASYNC_HTTP_CALL_H_
