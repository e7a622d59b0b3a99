/// @file message_link.h Messages between processes over ZeroMQ, with one socket
/// for each plane.
#ifndef NETWORK_MESSAGE_LINK_H_
#define NETWORK_MESSAGE_LINK_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "metrics_base.h"
#include "outcome_type.h"
#include "output_type.h"

namespace zmq {
class context_t;
}

namespace fuchsiafall {

/// Keys of the links between processes, in Z85 encoding; all empty for links
/// without keys.
struct link_keys {
  std::string public_key;
  std::string secret_key;
  std::string fleet_key;  ///< Public key that all peers present.
};

struct message_link_options {
  std::string name;            ///< Plane, for metrics and logs.
  std::string listen_address;  ///< ip:port
  link_keys keys;
  std::map<std::string, std::string>
      address_map;  ///< Address prefixes to replace before connecting.
  milliseconds send_expiry{
      1000};  ///< Unsent messages are dropped after this time.
};

/// Sends and receives messages in a thread of its own. Delivery is not
/// guaranteed; a connection whose peer does not answer pings is opened anew.
class message_link {
 public:
  /// Receives one message, in the link's thread.
  using message_hook = std::function<void(proto::envelope&&)>;

  message_link(message_link_options options,
               zmq::context_t* context,
               metrics* counters,
               message_hook on_message);
  ~message_link();
  message_link(const message_link&) = delete;
  message_link& operator=(const message_link&) = delete;

  /// Binds the address and starts the thread.
  outcome<done> Start();
  void Stop();
  /// Closes the connection to an address. Thread-safe.
  void Reset(const std::string& address);
  /// Queues a message. Thread-safe.
  void Send(send_message message);

 private:
  struct state;
  void Loop();
  void DrainQueue();
  void SendDue(time_point now);
  bool TrySend(time_point now, const send_message& message);
  void Receive();
  void CloseIdle(time_point now);
  int PollTimeoutMs(time_point now) const;
  std::string MapAddress(const std::string& address) const;

  message_link_options options_;
  metrics* counters_;
  message_hook on_message_;
  std::unique_ptr<state> state_;
  std::mutex mutex_;
  std::vector<send_message> queued_;
  std::vector<std::string>
      resets_;  ///< Addresses whose connections will be closed.
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

/// ZAP handler that accepts only peers that present the fleet key. There is one
/// for each ZeroMQ context.
class link_authenticator {
 public:
  link_authenticator(zmq::context_t* context,
                     std::string fleet_key,
                     metrics* counters);
  ~link_authenticator();
  link_authenticator(const link_authenticator&) = delete;
  link_authenticator& operator=(const link_authenticator&) = delete;

 private:
  void Loop();

  zmq::context_t* context_;
  std::string fleet_key_;
  metrics* counters_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> is_bound_{false};
  std::thread thread_;
};

}  // namespace fuchsiafall

#endif  // NETWORK_MESSAGE_LINK_H_
