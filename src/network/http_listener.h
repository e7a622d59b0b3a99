/// @file http_listener.h HTTP server on an event loop: one request at a time on
/// each connection.
#ifndef NETWORK_HTTP_LISTENER_H_
#define NETWORK_HTTP_LISTENER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "network/http_message.h"
#include "network/tcp_connection.h"

namespace fuchsiafall {

/// Bounds on what a caller may send.
struct caller_limits {
  size_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  milliseconds header_timeout{3000};  ///< From the first byte of a head.
  milliseconds idle_timeout{15000};   ///< Without any request.
};

class http_server_connection;

/// Request with its body, as it arrived.
struct http_request {
  Poco::Net::HTTPRequest head;
  std::string body;
  time_point first_byte_at{};
};

struct http_listener_hooks {
  std::function<void(time_point,
                     const std::shared_ptr<http_server_connection>&,
                     http_request&&)>
      on_request;
  /// The caller of an unanswered request has left.
  std::function<void(time_point, http_server_connection*)> on_gone;
  /// A request was refused by its form, with the status that it got.
  std::function<void(time_point, int status, const std::string& why)>
      on_refused;
};

/// Connection of a caller. The answer is sent as a whole, or as a head and
/// chunks.
class http_server_connection
    : public std::enable_shared_from_this<http_server_connection> {
 public:
  http_server_connection(std::shared_ptr<tcp_connection> connection,
                         const caller_limits* limits,
                         const http_listener_hooks* hooks,
                         time_point now);
  void Bind();

  /// Sends a whole answer.
  void Answer(time_point now,
              Poco::Net::HTTPResponse head,
              std::string_view body);
  /// Begins an answer in chunks.
  void BeginChunks(Poco::Net::HTTPResponse head);
  void SendChunk(std::string_view bytes);
  void EndChunks(time_point now);
  /// Breaks off, so that an answer already begun does not look complete.
  void Break();
  /// Closes after the present answer; without one, once the caller has had time
  /// to send a request that was on its way.
  void CloseWhenIdle(time_point now);
  /// Enforces the time limits.
  void CheckTimes(time_point now);
  bool IsOpen() const { return connection_->IsOpen(); }
  bool IsWaiting() const { return is_waiting_; }
  uint64_t Id() const { return id_; }

 private:
  enum class stage { kHead, kBody, kAnswering };
  void OnBytes(time_point now);
  void OnClosed(time_point now);
  bool ReadHead(time_point now);
  void Refuse(time_point now, int status, const std::string& why);
  void FinishAnswer(time_point now);

  std::shared_ptr<tcp_connection> connection_;
  const caller_limits* limits_;
  const http_listener_hooks* hooks_;
  uint64_t id_;
  stage stage_ = stage::kHead;
  http_request request_;
  body_reader body_;
  bool is_waiting_ = false;  ///< Whether a request has not been answered yet.
  bool closes_ = false;      ///< Whether the connection ends with the answer.
  bool has_begun_ = false;   ///< Whether a head has begun to arrive.
  time_point since_;         ///< Start of the present wait.
};

/// Accepts callers' connections and keeps their limits.
class http_listener {
 public:
  http_listener(event_loop* loop,
                tcp_connection_options options,
                http_listener_hooks hooks);
  outcome<done> Listen(const std::string& address);
  void SetLimits(const caller_limits& limits) { limits_ = limits; }
  /// Enforces the time limits of all connections; call it several times a
  /// second.
  void CheckTimes(time_point now);
  /// Closes each connection once it has nothing to answer.
  void CloseWhenIdle();

 private:
  event_loop* loop_;
  tcp_connection_options options_;
  http_listener_hooks hooks_;
  caller_limits limits_;
  tcp_listener listener_;
  std::map<uint64_t, std::shared_ptr<http_server_connection>> connections_;
  bool is_closing_ = false;
};

/// Makes a short plain-text answer of our own.
Poco::Net::HTTPResponse MakeAnswer(int status);

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_LISTENER_H_
