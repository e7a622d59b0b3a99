/// @file datagram_link.cc Small messages between processes as UDP datagrams.
#include "network/datagram_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace fuchsiafall {

namespace {

constexpr size_t kMaxDatagramBytes = 65536;
constexpr int kMaxReceives = 128;  // Per event, to serve other sockets too.

}  // namespace

datagram_link::datagram_link(event_loop* loop, message_hook on_message)
    : loop_(loop), on_message_(std::move(on_message)) {}

datagram_link::~datagram_link() {
  if (is_bound_) {
    loop_->Remove(socket_.impl()->sockfd());
    socket_.close();
  }
}

outcome<done> datagram_link::Bind(const std::string& address) {
  try {
    socket_.bind(Poco::Net::SocketAddress(address), true);
    socket_.setBlocking(false);
  } catch (const Poco::Exception& e) {
    return failure{"cannot bind " + address + ": " + e.displayText()};
  }
  is_bound_ = true;
  loop_->Add(socket_.impl()->sockfd(), false,
             [this](time_point, socket_events) { Receive(); });
  return done{};
}

void datagram_link::Send(const std::string& address,
                         const proto::envelope& message) {
  std::string bytes = message.SerializeAsString();
  try {
    socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                   Poco::Net::SocketAddress(address));
  } catch (const Poco::Exception&) {
    ++unsent_;  // Same as lost in transit, which senders expect.
  }
}

void datagram_link::Receive() {
  static thread_local std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxReceives; ++i) {
    Poco::Net::SocketAddress from;
    int count = 0;
    try {
      count = socket_.receiveFrom(buffer.data(), kMaxDatagramBytes, from);
    } catch (const Poco::Exception&) {
      return;
    }
    if (count <= 0)
      return;
    proto::envelope message;
    if (!message.ParseFromArray(buffer.data(), count)) {
      ++malformed_;
      continue;
    }
    // Not the time of the poll: the process may have stood still since, and
    // what arrived meanwhile would count as older than it is.
    on_message_(BootNow(), from.toString(), message);
  }
}

}  // namespace fuchsiafall
