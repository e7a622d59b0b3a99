/// @file http_call.h Blocking HTTP call of an external system.
#ifndef NETWORK_HTTP_CALL_H_
#define NETWORK_HTTP_CALL_H_

#include <functional>
#include <map>
#include <string>

#include "time_type.h"

namespace fuchsiafall {

/// Request of an HTTP call.
struct http_call {
  std::string address;  ///< ip:port
  std::string method = "GET";
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  milliseconds timeout{2000};  ///< Longest wait for data.
  /// Longest time to the whole answer, in addition to the time that its size
  /// takes at a minimum rate. None if zero.
  milliseconds max_duration{0};
  uint64_t max_body_bytes = 64U << 20;  ///< Of the answer.
  /// Whether to cancel the call; asked while it waits for data. May be empty.
  std::function<bool()> is_cancelled;
};

/// How a call ended.
struct http_result {
  enum class status_type {
    kAnswered,
    kNotSent,  ///< No connection could be made.
    /// The connection closed before the answer was complete, or the answer
    /// exceeded its bound.
    kIncomplete,
    kTimedOut,   ///< No data arrived within the timeout, or no whole head
                 ///< within the time of the call.
    kCancelled,  ///< By the caller's hooks.
  };
  status_type status = status_type::kNotSent;
  int http_status = 0;
  std::string content_type;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Receives a part of the body as it arrives.
/// @return Whether to continue the call.
using body_hook =
    std::function<bool(const http_result& head, const std::string& data)>;

/// Makes the call on a new connection and blocks until the answer is complete.
/// @param on_data Receives the body in parts; without it, the body is collected
/// in the result.
http_result CallHttp(const http_call& call, const body_hook& on_data = nullptr);

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_CALL_H_
