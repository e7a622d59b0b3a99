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

/// Limits on callers' requests and connections.
struct caller_limits {
  size_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  milliseconds header_timeout{3000};  ///< From the first byte of a request.
  milliseconds idle_timeout{15000};   ///< Between requests.
};

/// Returns the larger of each two limits.
caller_limits LargerOf(const caller_limits& one, const caller_limits& other);

class http_server_connection;

/// Why the listener closes a connection that owes no answer.
enum class listener_close {
  kIdleTimeout,  ///< No request came within the idle timeout.
  kStopping,     ///< The process stops and has no request of it.
};

/// Returns the text of a reason for logs and counters.
std::string_view TextOf(listener_close why);

/// Request with its body.
struct http_request {
  Poco::Net::HTTPRequest head;
  std::string body;
  time_point first_byte_at{};
  std::shared_ptr<buffer_share> share;  ///< Of the body.
};

struct http_listener_hooks {
  std::function<void(time_point,
                     const std::shared_ptr<http_server_connection>&,
                     http_request&&)>
      on_request;
  /// The caller of an unanswered request has disconnected.
  std::function<void(time_point, http_server_connection*)> on_disconnected;
  /// A request was refused before it reached on_request: it is malformed, over
  /// a limit or not complete in time.
  std::function<void(time_point, int status, const std::string& why)>
      on_refused;
  /// The memory of a request that was passed on and not answered yet is to be
  /// freed.
  std::function<void(time_point, http_server_connection*)> on_over_budget;
  /// The listener is about to close a connection.
  /// @param has_input Whether bytes of the caller have not been read yet.
  std::function<void(time_point, listener_close why, bool has_input)> on_close;
};

/// Connection of a caller. An answer is sent as a whole, or as a head followed
/// by chunks.
class http_server_connection
    : public std::enable_shared_from_this<http_server_connection> {
 public:
  /// @param id Unique in its listener.
  /// @param newest_limits Limits for waits that begin later; larger ones apply
  /// to the present wait and request as well.
  http_server_connection(uint64_t id,
                         std::shared_ptr<tcp_connection> connection,
                         const caller_limits* newest_limits,
                         const http_listener_hooks* hooks,
                         time_point now);
  /// Registers the hooks of the TCP connection.
  void RegisterHooks();

  /// Tells the caller by an interim answer that its request is being worked on.
  void SendProcessing();
  /// Sends a whole answer.
  void Answer(time_point now,
              Poco::Net::HTTPResponse head,
              std::string_view body);
  /// Starts an answer with chunked transfer encoding.
  void BeginChunks(Poco::Net::HTTPResponse head);
  void SendChunk(std::string_view bytes);
  void EndChunks(time_point now);
  /// Closes the connection, so that an unfinished answer does not look
  /// complete.
  void Abort();
  /// Closes the connection after the next answer whose head can announce it.
  void CloseAfterAnswer() { close_after_answer_ = true; }
  /// Closes a lingering connection.
  void EndLinger() { connection_->Close(); }
  /// Closes a connection that has been idle for longer than a request may be in
  /// transit; to be called again until then.
  void CloseWhenIdle(time_point now);
  /// Applies the newest limits where they are larger.
  void RaiseLimits() { limits_ = LargerOf(limits_, *newest_limits_); }
  /// Whether no request is being read or answered, and all is sent.
  bool IsIdle() const;
  /// Whether bytes of the caller have not been read yet.
  bool HasInput() const { return IsOpen() && connection_->HasInput(); }
  /// Enforces the timeouts.
  void EnforceTimeouts(time_point now);
  bool IsOpen() const { return connection_->IsOpen(); }
  /// Whether the last answer has been sent, and the caller has not closed the
  /// connection yet.
  bool IsLingering() const { return connection_->IsLingering(); }
  bool IsAnswerPending() const { return is_answer_pending_; }
  uint64_t Id() const { return id_; }

 private:
  enum class stage { kHead, kBody, kAnswering };
  /// Whether the caller has not begun a request.
  bool IsWaiting() const { return stage_ == stage::kHead && !has_head_bytes_; }
  bool HasTimedOut(time_point now) const;
  /// Reads what has arrived, so that a close does not cross a request.
  void ReadArrived(time_point now);
  /// Sets Connection: close if this answer is the last one.
  void AnnounceClose(Poco::Net::HTTPResponse* head);
  void OnBytes(time_point now);
  /// Passes on the requests that have been received, one after the other.
  void ReadRequests(time_point now);
  void OnClosed(time_point now);
  bool ReadHead(time_point now);
  void Refuse(time_point now, int status, const std::string& why);
  void ReportClose(time_point now, listener_close why);
  /// Charges the body that has been read to the budget.
  void UpdateShare();
  /// Gives up a request whose body exceeds the budget.
  void OnOverBudget(time_point now, uint64_t request_number);
  void FinishAnswer(time_point now);

  std::shared_ptr<tcp_connection> connection_;
  const caller_limits* newest_limits_;
  caller_limits limits_;  ///< Of the current wait and of its request.
  const http_listener_hooks* hooks_;
  uint64_t id_;
  stage stage_ = stage::kHead;
  http_request request_;
  uint64_t request_number_ = 0;  ///< Of the request read last.
  head_search head_search_;
  size_t blank_bytes_ = 0;  ///< Of the empty lines before a request.
  body_reader body_;
  bool is_answer_pending_ =
      false;  ///< Whether a request has not been answered yet.
  bool is_head_request_ = false;     ///< Whether an answer has no body.
  bool close_after_answer_ = false;  ///< Whether to close after the answer.
  bool is_close_announced_ = false;  ///< Whether the answer's head said so.
  bool is_reading_ = false;          ///< Whether requests are being read.
  bool has_head_bytes_ = false;      ///< Whether part of a head has arrived.
  time_point timeout_start_;         ///< Start of the current timeout.
};

/// Accepts callers' connections and enforces their limits.
class http_listener {
 public:
  http_listener(event_loop* loop,
                tcp_connection_options options,
                http_listener_hooks hooks);
  outcome<done> Listen(const std::string& address);
  /// Sets the limits of later waits and requests. Those that have begun keep
  /// theirs, or get larger ones.
  void SetLimits(const caller_limits& limits);
  /// Enforces the timeouts of all connections. To be called several times a
  /// second.
  void EnforceTimeouts(time_point now);
  /// Closes each connection after its next answer.
  void CloseAfterAnswers();
  /// Closes each connection once it has no request to answer.
  void CloseWhenIdle();
  /// Whether no connection has a request to read, to answer or to send the
  /// answer of, or waits for its caller to take a last answer.
  bool IsIdle() const;
  /// Returns how many connections have bytes that were not read yet.
  size_t UnreadCount() const;
  /// Returns how many connections are open.
  size_t OpenCount() const;
  bool IsListening() const { return listener_.IsOpen(); }
  /// Accepts the connections that are pending, and then no more.
  void StopListening(time_point now);

 private:
  /// Closes the oldest lingering connections over the limit.
  void LimitLingering();

  event_loop* loop_;
  tcp_connection_options options_;
  http_listener_hooks hooks_;
  caller_limits limits_;
  tcp_listener listener_;
  std::map<uint64_t, std::shared_ptr<http_server_connection>> connections_;
  uint64_t last_connection_id_ = 0;
  bool closes_after_answers_ = false;
  bool is_closing_ = false;
};

/// Creates the head of an answer with a status.
Poco::Net::HTTPResponse MakeAnswerHead(int status);

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_LISTENER_H_
