/// @file http_exchange.h HTTP client on an event loop: kept connections, one
/// exchange at a time on each.
#ifndef NETWORK_HTTP_EXCHANGE_H_
#define NETWORK_HTTP_EXCHANGE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "network/http_message.h"
#include "network/tcp_connection.h"

namespace fuchsiafall {

/// How an exchange ended.
enum class exchange_end {
  kComplete,      ///< The answer arrived whole.
  kNotConnected,  ///< No connection was made, so that nothing was sent.
  kBroken,        ///< The connection ended before the answer did.
  kMalformed,     ///< What arrived is no answer in the protocol.
};

struct exchange_hooks {
  /// Takes the head of an answer.
  /// @return Whether it is the answer to this request; others are skipped.
  std::function<bool(time_point, const Poco::Net::HTTPResponse&)> on_head;
  std::function<void(time_point, std::string_view)> on_body;
  std::function<void(time_point, exchange_end)> on_end;
};

/// Connection to a server that carries one exchange at a time.
class http_client_connection
    : public std::enable_shared_from_this<http_client_connection> {
 public:
  /// @param idle Time that it is kept idle where the server names none.
  http_client_connection(std::shared_ptr<tcp_connection> connection,
                         milliseconds idle,
                         std::function<void(http_client_connection*)> on_idle,
                         std::function<void(http_client_connection*)> on_gone);
  void Bind();
  /// Sends a request, written out in full.
  void Start(std::string_view request, bool is_head, exchange_hooks hooks);
  /// Ends the exchange without its answer, and with it the connection.
  void Abort();
  bool IsOpen() const { return connection_->IsOpen(); }
  time_point KeptUntil() const { return kept_until_; }

 private:
  void OnBytes(time_point now, std::string* input);
  void OnClosed(time_point now, close_cause cause);
  bool ReadHead(time_point now, std::string* input);
  void Finish(time_point now, exchange_end end);
  void Drop();

  std::shared_ptr<tcp_connection> connection_;
  milliseconds idle_;
  std::function<void(http_client_connection*)> on_idle_;
  std::function<void(http_client_connection*)> on_gone_;
  exchange_hooks hooks_;
  body_reader body_;
  bool is_busy_ = false;
  bool is_head_ = false;     ///< Whether the request was a HEAD.
  bool has_head_ = false;    ///< Whether the answer's head has been read.
  bool is_skipped_ = false;  ///< Whether the present answer is another's.
  bool must_close_ = false;
  time_point kept_until_{};
  milliseconds keep_{};
};

struct http_client_pool_options {
  tcp_connection_options connection;
  /// Longest time that an idle connection is kept where the server names none.
  milliseconds idle{4000};
  /// Subtracted from what the server names, for the way there.
  milliseconds idle_margin{500};
};

/// Keeps idle connections by address.
class http_client_pool {
 public:
  http_client_pool(event_loop* loop, http_client_pool_options options)
      : loop_(loop), options_(options) {}
  ~http_client_pool();
  http_client_pool(const http_client_pool&) = delete;
  http_client_pool& operator=(const http_client_pool&) = delete;

  /// Takes an idle connection, or begins a new one.
  outcome<std::shared_ptr<http_client_connection>> Take(
      time_point now,
      const std::string& address);
  /// Closes idle connections that are too old.
  void CloseIdle(time_point now);
  uint64_t Opened() const { return opened_; }

 private:
  event_loop* loop_;
  http_client_pool_options options_;
  std::map<std::string, std::deque<std::shared_ptr<http_client_connection>>>
      idle_;
  std::map<http_client_connection*, std::shared_ptr<http_client_connection>>
      busy_;
  uint64_t opened_ = 0;
};

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_EXCHANGE_H_
