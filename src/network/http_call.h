/// @file http_call.h One HTTP call of an outside system, with its outcome as a
/// value.
#ifndef NETWORK_HTTP_CALL_H_
#define NETWORK_HTTP_CALL_H_

#include <functional>
#include <map>
#include <string>

#include "time_type.h"

namespace fuchsiafall {

/// Call to be made.
struct http_call {
  std::string address;  ///< ip:port
  std::string method = "GET";
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  milliseconds timeout{2000};  ///< Longest silence of the connection.
};

/// How a call ended.
struct http_result {
  enum class status_type {
    kAnswered,
    kNotSent,    ///< No connection could be made.
    kBrokenOff,  ///< The connection ended, or the answer was cut short.
    kTimedOut,   ///< The connection went silent.
    kStopped,    ///< The hook wanted no more.
  };
  status_type status = status_type::kNotSent;
  int http_status = 0;
  std::string content_type;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Takes a piece of the body as it arrives.
/// @return Whether more is wanted.
using body_hook =
    std::function<bool(const http_result& head, const std::string& piece)>;

/// Makes the call on a connection of its own, and waits for the whole answer.
/// @param on_piece Takes the body in pieces; without it, the body is collected.
http_result CallHttp(const http_call& call,
                     const body_hook& on_piece = nullptr);

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_CALL_H_
