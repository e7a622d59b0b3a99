/// @file tcp_connection.h Non-blocking TCP connection on an event loop.
#ifndef NETWORK_TCP_CONNECTION_H_
#define NETWORK_TCP_CONNECTION_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "network/buffer_budget.h"
#include "network/event_loop.h"
#include "outcome_type.h"

namespace fuchsiafall {

/// How a connection ended.
enum class close_cause {
  kPeerClosed,
  kReset,    ///< Reset by the peer.
  kRefused,  ///< Not made, since nothing listens at the address.
  kBroken,   ///< Another error, which may be of the path to the peer.
};

struct tcp_connection_hooks {
  /// Receives the input buffer; bytes left in it stay for the next call.
  std::function<void(time_point, std::string* input)> on_bytes;
  std::function<void(time_point, close_cause)> on_closed;
};

struct tcp_connection_options {
  /// Time after which unacknowledged bytes close the connection. If the link is
  /// cut, or the connection has been dropped on the way without a reset, no
  /// packet comes back, and only this timeout detects it.
  milliseconds user_timeout{2000};
  /// The same while the peer has no room for more bytes. One that reads slowly
  /// acknowledges all that it is sent.
  milliseconds closed_window_timeout{30000};
  /// Bytes that may wait for a slow peer when more are sent.
  size_t max_unsent_bytes = 1U << 20;
  /// Limit on the buffers of all connections. A connection is closed when its
  /// buffers are to be given up.
  std::shared_ptr<buffer_budget> budget;
};

/// Buffered connection. Hooks run in the loop's thread, and none runs after
/// Close().
class tcp_connection : public std::enable_shared_from_this<tcp_connection> {
 public:
  /// Takes over an accepted socket.
  static std::shared_ptr<tcp_connection> Adopt(
      event_loop* loop,
      const Poco::Net::StreamSocket& socket,
      tcp_connection_options options);
  /// Starts to connect; on_closed reports a failure, also one found at once.
  /// @param address ip:port
  static outcome<std::shared_ptr<tcp_connection>> Connect(
      event_loop* loop,
      const std::string& address,
      tcp_connection_options options);
  ~tcp_connection();
  tcp_connection(const tcp_connection&) = delete;
  tcp_connection& operator=(const tcp_connection&) = delete;

  void SetHooks(tcp_connection_hooks hooks) { hooks_ = std::move(hooks); }
  void Send(std::string_view bytes);
  /// Reads bytes that the loop has not reported yet, and runs the hooks.
  /// @return Whether there were any.
  bool ReadArrived(time_point now) {
    return is_open_ && reads_ == read_interest::kBytes && Read(now);
  }
  /// Stops or resumes reading, so that a peer that sends too much has to wait.
  /// A peer that closes the connection is noticed in any case.
  void SetReading(bool reads);
  /// Closes once all bytes have been sent: first the sending side, and the
  /// whole connection when the peer has closed its side or after a short time.
  /// What arrives meanwhile is discarded; unread bytes would reset the
  /// connection, and a reset can destroy bytes that the peer has not read.
  void CloseWhenSent(time_point now);
  void Close();
  bool IsOpen() const { return is_open_; }
  /// Whether all has been sent, and the peer has not closed its side yet.
  bool IsLingering() const { return is_lingering_; }
  bool IsConnected() const { return is_connected_; }
  std::string* Input() { return &input_; }
  bool HasUnsent() const { return !Unsent().empty(); }
  event_loop* Loop() const { return loop_; }
  const std::shared_ptr<buffer_budget>& Budget() const {
    return options_.budget;
  }
  /// Whether there are bytes, or the end of the stream, to be read.
  bool HasInput() const;

 private:
  tcp_connection(event_loop* loop,
                 const Poco::Net::StreamSocket& socket,
                 tcp_connection_options options,
                 bool is_connected);
  /// Registers the socket with the event loop.
  void RegisterWithLoop();
  void OnEvents(time_point now, socket_events events);
  /// @return Whether bytes arrived.
  bool Read(time_point now);
  void Flush(time_point now);
  std::string_view Unsent() const {
    return std::string_view(unsent_).substr(unsent_at_);
  }
  void RemoveSent(size_t count);
  /// Frees empty buffers, and tells the budget of the others.
  void UpdateShare();
  void Discard();
  void UpdateInterest();
  void Linger(time_point now);
  /// Schedules CheckWindow().
  void WatchWindow(time_point now);
  /// Sets the timeout of the socket by whether the peer has room for more
  /// bytes, and checks again while bytes are queued.
  void CheckWindow(time_point now);
  /// Closes the connection and calls on_closed.
  void CloseAndNotify(time_point now, close_cause cause);

  event_loop* loop_;
  Poco::Net::StreamSocket socket_;
  tcp_connection_options options_;
  tcp_connection_hooks hooks_;
  std::string input_;
  std::string unsent_;
  size_t unsent_at_ = 0;  ///< Bytes of unsent_ that have been sent.
  std::unique_ptr<buffer_share> share_;
  size_t share_bytes_ = 0;
  bool is_open_ = true;
  bool is_connected_;
  bool wants_write_;
  read_interest reads_ = read_interest::kBytes;
  bool closes_when_sent_ = false;
  bool is_lingering_ = false;
  timer_id linger_timer_ = 0;
  bool is_window_watched_ = false;  ///< Whether the timeout is checked again.
  bool is_window_closed_ = false;   ///< As of the last check.
  size_t discarded_bytes_ = 0;
  bool is_overflowing_ = false;  ///< Whether bytes to be sent were dropped.
};

/// Accepts connections on an address.
class tcp_listener {
 public:
  using accept_hook =
      std::function<void(time_point, const Poco::Net::StreamSocket&)>;
  tcp_listener(event_loop* loop, accept_hook on_accept);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  outcome<done> Listen(const std::string& address);
  /// Accepts the connections that are pending.
  void Accept(time_point now);
  void Close();
  bool IsOpen() const { return is_open_; }

 private:
  event_loop* loop_;
  accept_hook on_accept_;
  Poco::Net::ServerSocket socket_;
  bool is_open_ = false;
};

}  // namespace fuchsiafall

#endif  // NETWORK_TCP_CONNECTION_H_
