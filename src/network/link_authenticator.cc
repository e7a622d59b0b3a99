/// @file link_authenticator.cc Authentication of peers by ZeroMQ's ZAP (RFC
/// 27).
#include <vector>
#include <zmq.hpp>

#include "network/message_link.h"

namespace fuchsiafall {

namespace {

constexpr char kZapAddress[] = "inproc://zeromq.zap.01";
constexpr int kPollMs = 100;
constexpr size_t kKeyFrame = 6;  // Frame of a request with the client's key.
constexpr size_t kRequestFrames = 7;
constexpr size_t kZ85KeyBytes = 41;  // With the terminating null.

std::string ToZ85(const zmq::message_t& frame) {
  char text[kZ85KeyBytes] = {};
  if (frame.size() != 32)
    return "";
  zmq_z85_encode(text, frame.data<uint8_t>(), frame.size());
  return text;
}

void Answer(zmq::socket_t* socket,
            const std::vector<zmq::message_t>& request,
            bool allowed) {
  const std::string version = "1.0";
  const std::string id = request.size() > 1 ? request[1].to_string() : "";
  const std::string status = allowed ? "200" : "400";
  for (const std::string& part :
       {version, id, status, std::string(), std::string()}) {
    socket->send(zmq::buffer(part), zmq::send_flags::sndmore);
  }
  socket->send(zmq::message_t(), zmq::send_flags::none);
}

}  // namespace

link_authenticator::link_authenticator(zmq::context_t* context,
                                       std::string fleet_key,
                                       metrics* counters)
    : context_(context), fleet_key_(std::move(fleet_key)), counters_(counters) {
  thread_ = std::thread([this] { Loop(); });
  while (!is_bound_)
    std::this_thread::yield();
}

link_authenticator::~link_authenticator() {
  is_stopping_ = true;
  thread_.join();
}

void link_authenticator::Loop() {
  zmq::socket_t socket(*context_, zmq::socket_type::rep);
  socket.set(zmq::sockopt::linger, 0);
  socket.bind(kZapAddress);
  is_bound_ = true;
  while (!is_stopping_) {
    zmq::pollitem_t item{socket.handle(), 0, ZMQ_POLLIN, 0};
    if (zmq::poll(&item, 1, milliseconds(kPollMs)) == 0)
      continue;
    std::vector<zmq::message_t> request;
    do {
      request.emplace_back();
      if (!socket.recv(request.back()))
        break;
    } while (request.back().more());
    bool allowed = request.size() >= kRequestFrames &&
                   ToZ85(request[kKeyFrame]) == fleet_key_;
    if (!allowed)
      counters_->Count("peers_refused");
    Answer(&socket, request, allowed);
  }
}

}  // namespace fuchsiafall
