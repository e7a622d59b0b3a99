/// @file datagram_link.h Small messages between processes as UDP datagrams.
#ifndef NETWORK_DATAGRAM_LINK_H_
#define NETWORK_DATAGRAM_LINK_H_

#include <Poco/Net/DatagramSocket.h>

#include <functional>
#include <string>

#include "network/event_loop.h"
#include "outcome_type.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

/// Sends and receives envelopes over UDP. Any may be lost, but there is no
/// connection that could hang.
class datagram_link {
 public:
  using message_hook = std::function<
      void(time_point, const std::string& from, const proto::envelope&)>;

  datagram_link(event_loop* loop, message_hook on_message);
  ~datagram_link();
  datagram_link(const datagram_link&) = delete;
  datagram_link& operator=(const datagram_link&) = delete;

  /// @param address ip:port
  outcome<done> Bind(const std::string& address);
  void Send(const std::string& address, const proto::envelope& message);
  uint64_t MalformedCount() const { return malformed_; }

 private:
  void Receive();

  event_loop* loop_;
  message_hook on_message_;
  Poco::Net::DatagramSocket socket_;
  bool is_bound_ = false;
  uint64_t malformed_ = 0;
  uint64_t unsent_ = 0;
};

}  // namespace fuchsiafall

#endif  // NETWORK_DATAGRAM_LINK_H_
