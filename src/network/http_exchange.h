/// @file http_exchange.h HTTP client on an event loop: persistent connections
/// with one exchange at a time.
#ifndef NETWORK_HTTP_EXCHANGE_H_
#define NETWORK_HTTP_EXCHANGE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "network/http_message.h"
#include "network/tcp_connection.h"

namespace fuchsiafall {

/// How an exchange ended.
enum class exchange_end {
  kComplete,      ///< The whole answer arrived.
  kNotConnected,  ///< No connection was made, so that nothing was sent.
  kRefused,       ///< The same, since nothing listens at the address.
  kBroken,  ///< The server ended the connection before the answer was complete.
  kCutOff,  ///< The connection was lost in another way, perhaps on its path.
  kMalformed,  ///< The bytes received are no valid answer.
};

struct exchange_hooks {
  /// An interim answer (1xx) arrived: the server is at work on the request.
  std::function<void(time_point)> on_interim;
  /// Receives the head of an answer.
  /// @return Whether it answers this request; if not, the answer is skipped.
  std::function<bool(time_point, const Poco::Net::HTTPResponse&)> on_head;
  std::function<void(time_point, std::string_view)> on_body;
  std::function<void(time_point, exchange_end)> on_end;
};

/// Bounds on the bytes that a server may send for one request. Beyond them the
/// answer counts as malformed.
struct http_answer_limits {
  size_t head_bytes = 65536;
  /// Heads, including those of interim and of skipped answers.
  uint32_t heads = 16;
  /// Heads and bodies with their framing, including skipped answers.
  uint64_t answer_bytes = 64U << 20;
};

/// Connection to a server that carries one exchange at a time.
class http_client_connection
    : public std::enable_shared_from_this<http_client_connection> {
 public:
  /// @param id Number of the connection, unique in its pool.
  /// @param max_idle Longest time to stay idle; a shorter Keep-Alive timeout of
  /// the server takes precedence.
  http_client_connection(
      uint64_t id,
      std::shared_ptr<tcp_connection> connection,
      milliseconds max_idle,
      http_answer_limits limits,
      std::function<void(http_client_connection*)> on_idle,
      std::function<void(http_client_connection*)> on_closed,
      std::function<void(time_point)> on_idle_lost = nullptr);
  /// Registers the hooks of the TCP connection.
  void RegisterHooks();
  /// Sends a serialized request.
  void Start(std::string_view request,
             bool is_head_request,
             exchange_hooks hooks);
  /// Cancels the exchange and closes the connection.
  void Abort();
  bool IsOpen() const { return connection_->IsOpen(); }
  /// Whether the connection is open and has been established.
  bool IsConnected() const { return IsOpen() && connection_->IsConnected(); }
  /// Whether the connection is open and no bytes have arrived outside an
  /// exchange.
  bool IsQuiet() const { return IsOpen() && !connection_->HasInput(); }
  time_point ReusableUntil() const { return reusable_until_; }
  uint64_t Id() const { return id_; }
  /// Whether an exchange has been started before the current one, whose answer
  /// the server may repeat.
  bool HasCarriedExchange() const {
    return exchange_count_ > (is_busy_ ? 1U : 0U);
  }

 private:
  void OnBytes(time_point now, std::string* input);
  void OnClosed(time_point now, close_cause cause);
  bool ReadHead(time_point now, std::string* input);
  void Finish(time_point now, exchange_end end);
  /// Closes the connection and calls on_closed.
  void CloseAndNotify();

  uint64_t id_;
  std::shared_ptr<tcp_connection> connection_;
  milliseconds max_idle_;
  http_answer_limits limits_;
  std::function<void(http_client_connection*)> on_idle_;
  std::function<void(http_client_connection*)> on_closed_;
  std::function<void(time_point)> on_idle_lost_;
  std::shared_ptr<exchange_hooks> hooks_;
  head_search head_search_;
  body_reader body_;
  uint64_t exchange_count_ = 0;
  uint64_t received_bytes_ = 0;  ///< Of the current exchange.
  uint32_t head_count_ = 0;      ///< Of the current exchange.
  bool is_busy_ = false;
  bool is_head_request_ = false;  ///< Whether the request was a HEAD.
  bool has_head_ = false;         ///< Whether the answer's head has been read.
  bool is_skipped_ = false;       ///< Whether the current answer is skipped.
  bool has_skipped_ = false;  ///< Whether the exchange had a skipped answer.
  bool close_after_answer_ = false;  ///< Whether to close after the answer.
  time_point reusable_until_{};
  milliseconds idle_timeout_{};
};

/// Whether the connection of an exchange ended before its answer.
inline bool IsBroken(exchange_end end) {
  return end == exchange_end::kBroken || end == exchange_end::kCutOff;
}

struct http_client_pool_options {
  tcp_connection_options connection;
  http_answer_limits limits;
  /// Longest time that an idle connection is kept; a shorter Keep-Alive timeout
  /// of the server takes precedence.
  milliseconds max_idle{4000};
  /// Subtracted from the idle timeout, so that a request arrives before the
  /// server closes the connection.
  milliseconds idle_margin{500};
  /// Called when a server closes or resets an idle connection.
  std::function<void(time_point, const std::string& address)> on_idle_lost;
};

/// Connection pool, with idle connections by address.
class http_client_pool {
 public:
  http_client_pool(event_loop* loop, http_client_pool_options options)
      : loop_(loop), options_(std::move(options)) {}
  ~http_client_pool();
  http_client_pool(const http_client_pool&) = delete;
  http_client_pool& operator=(const http_client_pool&) = delete;

  /// Takes an idle connection, or opens a new one.
  /// @param excluded Ids of connections not to be taken.
  outcome<std::shared_ptr<http_client_connection>> Acquire(
      time_point now,
      const std::string& address,
      const std::set<uint64_t>& excluded = {});
  /// Opens a new connection.
  outcome<std::shared_ptr<http_client_connection>> Open(
      const std::string& address);
  /// Whether an established connection to an address is open.
  bool IsConnected(const std::string& address) const;
  /// Closes connections that were idle for too long.
  void CloseIdle(time_point now);
  uint64_t OpenedCount() const { return opened_; }
  /// Budget of the connections' buffers; null if there is none.
  const std::shared_ptr<buffer_budget>& Budget() const {
    return options_.connection.budget;
  }

 private:
  event_loop* loop_;
  http_client_pool_options options_;
  std::map<std::string, std::deque<std::shared_ptr<http_client_connection>>>
      idle_;
  struct busy_connection {
    std::shared_ptr<http_client_connection> connection;
    std::string address;
  };
  std::map<http_client_connection*, busy_connection> busy_;
  uint64_t opened_ = 0;
};

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_EXCHANGE_H_
