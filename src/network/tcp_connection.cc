/// @file tcp_connection.cc Non-blocking TCP connection on an event loop.
#include "network/tcp_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace fuchsiafall {

namespace {

constexpr size_t kReadBytes = 16384;
constexpr int kMaxReads = 16;  // Of one socket in one round of the loop.
constexpr int kBacklog = 256;
/// Empty buffers of a connection that are kept for its next use.
constexpr size_t kMaxKeptBytes = 65536;
constexpr milliseconds kLingerTime{1000};
constexpr size_t kMaxDiscardedBytes = 4U << 20;
constexpr int kKeepAliveIdleS = 1;      // Before the first probe.
constexpr int kKeepAliveIntervalS = 1;  // Between probes.
constexpr int kKeepAliveProbes = 3;     // Unanswered probes until it closes.
constexpr milliseconds kWindowCheckInterval{500};

void SetUserTimeout(Poco::Net::StreamSocket* socket, milliseconds timeout) {
  socket->setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                    static_cast<int>(timeout.count()));
}

void SetTcpOptions(Poco::Net::StreamSocket* socket, milliseconds user_timeout) {
  socket->setNoDelay(true);
  socket->setKeepAlive(true);
  socket->setOption(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  socket->setOption(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  socket->setOption(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetUserTimeout(socket, user_timeout);
}

/// Returns the bytes that the peer has not acknowledged, sent or not.
int QueuedBytes(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

/// Whether the peer has acknowledged all that was sent, and answers the probes
/// for room for the rest.
bool HasClosedWindow(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_unacked == 0 && info.tcpi_probes < kKeepAliveProbes;
}

}  // namespace

std::shared_ptr<tcp_connection> tcp_connection::Adopt(
    event_loop* loop,
    const Poco::Net::StreamSocket& socket,
    tcp_connection_options options) {
  std::shared_ptr<tcp_connection> made(
      new tcp_connection(loop, socket, std::move(options), true));
  made->RegisterWithLoop();
  return made;
}

outcome<std::shared_ptr<tcp_connection>> tcp_connection::Connect(
    event_loop* loop,
    const std::string& address,
    tcp_connection_options options) {
  Poco::Net::StreamSocket socket;
  bool is_refused = false;
  try {
    socket.connectNB(Poco::Net::SocketAddress(address));
  } catch (const Poco::Net::ConnectionRefusedException&) {
    is_refused = true;
  } catch (const Poco::Exception& e) {
    return failure{"cannot connect to " + address + ": " + e.displayText()};
  }
  std::shared_ptr<tcp_connection> made(
      new tcp_connection(loop, socket, std::move(options), false));
  if (is_refused) {
    loop->Post(
        [made] { made->CloseAndNotify(BootNow(), close_cause::kRefused); });
  } else {
    made->RegisterWithLoop();
  }
  return made;
}

tcp_connection::tcp_connection(event_loop* loop,
                               const Poco::Net::StreamSocket& socket,
                               tcp_connection_options options,
                               bool is_connected)
    : loop_(loop),
      socket_(socket),
      options_(std::move(options)),
      is_connected_(is_connected),
      wants_write_(!is_connected) {
  try {
    socket_.setBlocking(false);
    SetTcpOptions(&socket_, options_.user_timeout);
  } catch (const Poco::Exception&) {
    is_open_ = true;  // Not fatal: the option keeps the system's default.
  }
}

tcp_connection::~tcp_connection() {
  Close();
}

void tcp_connection::RegisterWithLoop() {
  if (options_.budget) {
    share_ = std::make_unique<buffer_share>(
        options_.budget, [loop = loop_, weak = weak_from_this()] {
          loop->PostBeforeNextSocket([weak] {
            if (auto self = weak.lock())
              self->CloseAndNotify(BootNow(), close_cause::kBroken);
          });
        });
  }
  loop_->Add(socket_.impl()->sockfd(), wants_write_,
             [weak = weak_from_this()](time_point now, socket_events events) {
               if (auto self = weak.lock())
                 self->OnEvents(now, events);
             });
}

void tcp_connection::OnEvents(time_point now, socket_events events) {
  if (events.writable && !is_connected_ && !events.failed)
    is_connected_ = true;
  if (events.failed && !is_connected_) {
    const bool is_refused = socket_.impl()->socketError() == ECONNREFUSED;
    CloseAndNotify(now,
                   is_refused ? close_cause::kRefused : close_cause::kBroken);
    return;
  }
  if (events.readable || events.failed) {
    if (reads_ == read_interest::kPeerClose)
      CloseAndNotify(now, close_cause::kPeerClosed);
    else
      Read(now);
  }
  if (is_open_ && events.writable)
    Flush(now);
}

bool tcp_connection::Read(time_point now) {
  if (closes_when_sent_) {
    Discard();
    return false;
  }
  std::array<char, kReadBytes> buffer{};
  bool has_read = false;
  bool is_at_end = false;
  close_cause cause = close_cause::kPeerClosed;
  // The loop reports the socket again if there is more, after the other
  // sockets.
  for (int reads = 0; reads < kMaxReads; ++reads) {
    int count = 0;
    try {
      count = socket_.receiveBytes(buffer.data(), kReadBytes);
    } catch (const Poco::Net::ConnectionResetException&) {
      is_at_end = true;
      cause = close_cause::kReset;
      break;
    } catch (const Poco::Exception&) {
      is_at_end = true;
      cause = close_cause::kBroken;
      break;
    }
    if (count == 0)
      is_at_end = true;
    if (count <= 0)
      break;
    has_read = true;
    input_.append(buffer.data(), static_cast<size_t>(count));
    if (count < static_cast<int>(kReadBytes))
      break;
  }
  if (!input_.empty() && hooks_.on_bytes)
    hooks_.on_bytes(now, &input_);
  UpdateShare();
  if (is_at_end && is_open_)
    CloseAndNotify(now, cause);
  return has_read;
}

bool tcp_connection::HasInput() const {
  if (!input_.empty())
    return true;
  char byte = 0;
  const ssize_t count =
      recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void tcp_connection::Send(std::string_view bytes) {
  if (!is_open_ || is_overflowing_)
    return;
  if (Unsent().size() > options_.max_unsent_bytes) {
    // The peer reads too slowly; closing the connection bounds the memory used.
    is_overflowing_ = true;
    loop_->Post([weak = weak_from_this()] {
      if (auto self = weak.lock())
        self->CloseAndNotify(BootNow(), close_cause::kBroken);
    });
    return;
  }
  size_t sent = 0;
  if (!HasUnsent() && is_connected_) {
    try {
      const int count =
          socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      sent = count > 0 ? static_cast<size_t>(count) : 0;
    } catch (const Poco::Exception&) {
      sent = 0;  // The event loop will report the broken connection.
    }
  }
  unsent_.append(bytes.substr(sent));
  UpdateShare();
  if (sent > 0 && !is_window_watched_)
    WatchWindow(BootNow());
  if (HasUnsent() && !wants_write_) {
    wants_write_ = true;
    UpdateInterest();
  }
}

void tcp_connection::RemoveSent(size_t count) {
  unsent_at_ += count;
  // Moves the rest to the front seldom, as it may be long.
  if (unsent_at_ < unsent_.size() - unsent_at_)
    return;
  unsent_.erase(0, unsent_at_);
  unsent_at_ = 0;
}

void tcp_connection::UpdateShare() {
  for (std::string* buffer : {&input_, &unsent_}) {
    if (buffer->empty() && buffer->capacity() > kMaxKeptBytes)
      std::string().swap(*buffer);
  }
  const size_t bytes = input_.capacity() + unsent_.capacity();
  if (share_ == nullptr || bytes == share_bytes_)
    return;
  share_bytes_ = bytes;
  share_->Set(bytes);
}

void tcp_connection::Flush(time_point now) {
  while (HasUnsent()) {
    const std::string_view rest = Unsent();
    int count = 0;
    try {
      count = socket_.sendBytes(rest.data(), static_cast<int>(rest.size()));
    } catch (const Poco::Exception&) {
      CloseAndNotify(now, close_cause::kBroken);
      return;
    }
    if (count <= 0)
      return;
    if (!is_window_watched_)
      WatchWindow(now);
    RemoveSent(static_cast<size_t>(count));
  }
  UpdateShare();
  if (closes_when_sent_) {
    Linger(now);
    return;
  }
  if (wants_write_) {
    wants_write_ = false;
    UpdateInterest();
  }
}

void tcp_connection::UpdateInterest() {
  loop_->SetInterest(socket_.impl()->sockfd(), reads_, wants_write_);
}

void tcp_connection::SetReading(bool reads) {
  const auto wanted = reads ? read_interest::kBytes : read_interest::kPeerClose;
  if (!is_open_ || reads_ == wanted)
    return;
  reads_ = wanted;
  UpdateInterest();
}

void tcp_connection::CloseWhenSent(time_point now) {
  if (!is_open_)
    return;
  closes_when_sent_ = true;
  if (!HasUnsent())
    Linger(now);
}

void tcp_connection::Linger(time_point now) {
  is_open_ = false;
  is_lingering_ = true;
  if (wants_write_) {
    wants_write_ = false;
    reads_ = read_interest::kBytes;
    UpdateInterest();
  }
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    Close();
    return;
  }
  linger_timer_ = loop_->StartTimer(now + kLingerTime,
                                    [weak = weak_from_this()](time_point) {
                                      if (auto self = weak.lock())
                                        self->Close();
                                    });
}

void tcp_connection::WatchWindow(time_point now) {
  is_window_watched_ = true;
  loop_->StartTimer(now + kWindowCheckInterval,
                    [weak = weak_from_this()](time_point at) {
                      if (auto self = weak.lock())
                        self->CheckWindow(at);
                    });
}

void tcp_connection::CheckWindow(time_point now) {
  is_window_watched_ = false;
  if (!is_open_ && !is_lingering_)
    return;
  const int fd = socket_.impl()->sockfd();
  const bool has_queued = QueuedBytes(fd) > 0;
  const bool is_closed = has_queued && HasClosedWindow(fd);
  if (is_closed != is_window_closed_) {
    is_window_closed_ = is_closed;
    SetUserTimeout(&socket_, is_closed ? options_.closed_window_timeout
                                       : options_.user_timeout);
  }
  if (has_queued)
    WatchWindow(now);
}

void tcp_connection::Discard() {
  std::array<char, kReadBytes> buffer{};
  for (int reads = 0; reads < kMaxReads; ++reads) {
    int count = 0;
    try {
      count = socket_.receiveBytes(buffer.data(), kReadBytes);
    } catch (const Poco::Exception&) {
      Close();
      return;
    }
    if (count < 0)
      return;
    discarded_bytes_ += static_cast<size_t>(count);
    if (count > 0 && discarded_bytes_ <= kMaxDiscardedBytes)
      continue;
    if (is_lingering_) {
      Close();
    } else {
      // The peer may still read.
      reads_ = read_interest::kNone;
      UpdateInterest();
    }
    return;
  }
}

void tcp_connection::Close() {
  if (!is_open_ && !is_lingering_)
    return;
  is_open_ = false;
  is_lingering_ = false;
  share_.reset();
  loop_->CancelTimer(linger_timer_);
  loop_->Remove(socket_.impl()->sockfd());
  socket_.close();
}

void tcp_connection::CloseAndNotify(time_point now, close_cause cause) {
  if (!is_open_)
    return;
  auto self = shared_from_this();
  Close();
  if (hooks_.on_closed)
    hooks_.on_closed(now, cause);
}

tcp_listener::tcp_listener(event_loop* loop, accept_hook on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)) {}

tcp_listener::~tcp_listener() {
  Close();
}

outcome<done> tcp_listener::Listen(const std::string& address) {
  try {
    socket_.bind(Poco::Net::SocketAddress(address), true);
    socket_.listen(kBacklog);
    socket_.setBlocking(false);
  } catch (const Poco::Exception& e) {
    return failure{"cannot listen on " + address + ": " + e.displayText()};
  }
  is_open_ = true;
  loop_->Add(socket_.impl()->sockfd(), false,
             [this](time_point now, socket_events) { Accept(now); });
  return done{};
}

void tcp_listener::Close() {
  if (!is_open_)
    return;
  is_open_ = false;
  loop_->Remove(socket_.impl()->sockfd());
  socket_.close();
}

void tcp_listener::Accept(time_point now) {
  while (is_open_) {
    try {
      on_accept_(now, socket_.acceptConnection());
    } catch (const Poco::Exception&) {
      return;  // None is pending, or it was closed before accept.
    }
  }
}

}  // namespace fuchsiafall
