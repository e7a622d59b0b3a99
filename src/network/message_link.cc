/// @file message_link.cc Messages between processes over ZeroMQ.
#include "network/message_link.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <zmq.hpp>

#include "outcome_type.h"

namespace fuchsiafall {

namespace {

constexpr int kHighWaterMark = 64;    // Messages buffered for one peer.
constexpr int kPingMs = 5000;         // Between pings of a connection.
constexpr int kPingTimeoutMs = 5000;  // Without an answer to a ping.
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 2000;
constexpr int kMaxFrameBytes = 80 * 1024 * 1024;
constexpr milliseconds kRetryInterval{5};  // While a connection is being made.
/// An idle connection is closed, as it may have failed unnoticed.
constexpr seconds kIdleTimeout{10};
constexpr int kMaxPollMs = 200;

void SetCommonOptions(zmq::socket_t* socket) {
  socket->set(zmq::sockopt::linger, 0);
  socket->set(zmq::sockopt::heartbeat_ivl, kPingMs);
  socket->set(zmq::sockopt::heartbeat_timeout, kPingTimeoutMs);
  socket->set(zmq::sockopt::heartbeat_ttl, kPingMs + kPingTimeoutMs);
  socket->set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(kMaxFrameBytes));
}

}  // namespace

/// Sockets and queues, used only by the link's thread.
struct message_link::state {
  struct connection {
    zmq::socket_t socket;
    time_point last_used{};
  };
  struct pending_message {
    send_message message;
    time_point expires{};
  };

  explicit state(zmq::context_t* c)
      : context(c), receiver(*c, zmq::socket_type::pull) {}

  zmq::context_t* context;
  zmq::socket_t receiver;
  int wake_fd = -1;
  std::map<std::string, connection> connections;
  std::multimap<time_point, pending_message>
      scheduled;  ///< By the time to send them.
  std::map<std::string, std::deque<pending_message>>
      ready;  ///< In order, by address.
  time_point last_idle_check{};
};

message_link::message_link(message_link_options options,
                           zmq::context_t* context,
                           metrics* counters,
                           message_hook on_message)
    : options_(std::move(options)),
      counters_(counters),
      on_message_(std::move(on_message)),
      state_(std::make_unique<state>(context)) {}

message_link::~message_link() {
  Stop();
  if (state_->wake_fd >= 0)
    close(state_->wake_fd);
}

outcome<done> message_link::Start() {
  state_->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  try {
    SetCommonOptions(&state_->receiver);
    state_->receiver.set(zmq::sockopt::rcvhwm, kHighWaterMark * 16);
    if (!options_.keys.secret_key.empty()) {
      state_->receiver.set(zmq::sockopt::curve_server, true);
      state_->receiver.set(zmq::sockopt::curve_secretkey,
                           options_.keys.secret_key);
    }
    state_->receiver.bind("tcp://" + options_.listen_address);
  } catch (const zmq::error_t& e) {
    return failure{options_.name + " link: cannot listen on " +
                   options_.listen_address + ": " + e.what()};
  }
  thread_ = std::thread([this] { Loop(); });
  return done{};
}

void message_link::Stop() {
  if (!thread_.joinable())
    return;
  is_stopping_ = true;
  eventfd_write(state_->wake_fd, 1);
  thread_.join();
}

void message_link::Send(send_message message) {
  {
    std::lock_guard lock(mutex_);
    queued_.push_back(std::move(message));
  }
  eventfd_write(state_->wake_fd, 1);
}

void message_link::Reset(const std::string& address) {
  {
    std::lock_guard lock(mutex_);
    resets_.push_back(address);
  }
  eventfd_write(state_->wake_fd, 1);
}

void message_link::Loop() {
  while (!is_stopping_) {
    zmq::pollitem_t items[] = {{state_->receiver.handle(), 0, ZMQ_POLLIN, 0},
                               {nullptr, state_->wake_fd, ZMQ_POLLIN, 0}};
    int timeout = PollTimeoutMs(std::chrono::steady_clock::now());
    try {
      zmq::poll(items, 2, std::chrono::milliseconds(timeout));
    } catch (const zmq::error_t&) {
      continue;  // Interrupted by a signal.
    }
    if ((items[1].revents & ZMQ_POLLIN) != 0)
      DrainQueue();
    if ((items[0].revents & ZMQ_POLLIN) != 0)
      Receive();
    time_point now = std::chrono::steady_clock::now();
    SendDue(now);
    CloseIdle(now);
  }
  state_->connections.clear();
  state_->receiver.close();
}

void message_link::DrainQueue() {
  eventfd_t count = 0;
  eventfd_read(state_->wake_fd, &count);
  std::vector<send_message> messages;
  {
    std::lock_guard lock(mutex_);
    messages.swap(queued_);
    for (const std::string& address : resets_)
      state_->connections.erase(address);
    resets_.clear();
  }
  const time_point now = std::chrono::steady_clock::now();
  for (send_message& message : messages) {
    const time_point at = std::max(message.send_at, now);
    state_->scheduled.emplace(
        at,
        state::pending_message{std::move(message), at + options_.send_expiry});
  }
}

void message_link::SendDue(time_point now) {
  while (!state_->scheduled.empty() &&
         state_->scheduled.begin()->first <= now) {
    state::pending_message item = std::move(state_->scheduled.begin()->second);
    state_->scheduled.erase(state_->scheduled.begin());
    state_->ready[item.message.address].push_back(std::move(item));
  }
  for (auto& [address, queue] : state_->ready) {
    // A message that cannot be sent yet blocks those behind it, to keep the
    // order.
    while (!queue.empty()) {
      const bool is_sent = TrySend(now, queue.front().message);
      if (!is_sent && now < queue.front().expires)
        break;
      if (!is_sent)
        counters_->Count(options_.name + "_messages_unsent");
      queue.pop_front();
    }
  }
  std::erase_if(state_->ready,
                [](const auto& item) { return item.second.empty(); });
}

bool message_link::TrySend(time_point now, const send_message& message) {
  try {
    auto it = state_->connections.find(message.address);
    if (it == state_->connections.end()) {
      zmq::socket_t socket(*state_->context, zmq::socket_type::push);
      SetCommonOptions(&socket);
      socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
      socket.set(zmq::sockopt::immediate, true);
      socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
      socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
      if (!options_.keys.secret_key.empty()) {
        socket.set(zmq::sockopt::curve_serverkey, options_.keys.fleet_key);
        socket.set(zmq::sockopt::curve_publickey, options_.keys.public_key);
        socket.set(zmq::sockopt::curve_secretkey, options_.keys.secret_key);
      }
      socket.connect("tcp://" + MapAddress(message.address));
      it = state_->connections
               .emplace(message.address, state::connection{std::move(socket)})
               .first;
    }
    it->second.last_used = now;
    if ((it->second.socket.get(zmq::sockopt::events) & ZMQ_POLLOUT) == 0)
      return false;
    std::string frame;
    if (message.attachment != nullptr) {
      proto::envelope with_data = message.message;
      with_data.mutable_blob_answer()->set_data(*message.attachment);
      with_data.SerializeToString(&frame);
    } else {
      message.message.SerializeToString(&frame);
    }
    if (!it->second.socket.send(zmq::buffer(frame), zmq::send_flags::dontwait))
      return false;
    counters_->Count(options_.name + "_messages_sent");
    counters_->Count(options_.name + "_bytes_sent", frame.size());
    return true;
  } catch (const zmq::error_t&) {
    counters_->Count(options_.name + "_send_errors");
    state_->connections.erase(message.address);
    return false;
  }
}

void message_link::Receive() {
  constexpr int kMaxReceives = 256;
  for (int i = 0; i < kMaxReceives; ++i) {
    zmq::message_t frame;
    try {
      if (!state_->receiver.recv(frame, zmq::recv_flags::dontwait))
        return;
    } catch (const zmq::error_t&) {
      return;
    }
    counters_->Count(options_.name + "_messages_received");
    counters_->Count(options_.name + "_bytes_received", frame.size());
    proto::envelope message;
    bool is_valid =
        message.ParseFromArray(frame.data(), static_cast<int>(frame.size())) &&
        message.body_case() != proto::envelope::BODY_NOT_SET &&
        !message.vm().empty();
    if (!is_valid) {
      counters_->Count("messages_malformed");
      LogEvent(log_event::kMessageDropped, "plane=" + options_.name);
      continue;
    }
    on_message_(std::move(message));
  }
}

void message_link::CloseIdle(time_point now) {
  if (now - state_->last_idle_check < seconds(1))
    return;
  state_->last_idle_check = now;
  std::erase_if(state_->connections, [&](const auto& item) {
    return now - item.second.last_used > kIdleTimeout;
  });
}

int message_link::PollTimeoutMs(time_point now) const {
  if (!state_->ready.empty())
    return static_cast<int>(kRetryInterval.count());
  if (state_->scheduled.empty())
    return kMaxPollMs;
  auto wait =
      std::chrono::ceil<milliseconds>(state_->scheduled.begin()->first - now);
  return static_cast<int>(std::clamp<int64_t>(wait.count(), 0, kMaxPollMs));
}

std::string message_link::MapAddress(const std::string& address) const {
  for (const auto& [prefix, replacement] : options_.address_map) {
    if (address.starts_with(prefix))
      return replacement + address.substr(prefix.size());
  }
  return address;
}

}  // namespace fuchsiafall
