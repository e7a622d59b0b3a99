/// @file proxy_standin.cc Fault-injecting TCP proxy: delay, rate limit, cut and
/// stalled connections, corruption.
#include <Poco/JSON/Object.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <csignal>
#include <deque>
#include <iostream>
#include <list>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include "rate_pacer_base.h"
#include "standins/standin_func.h"

namespace fuchsiafall::standins {

namespace {

using Poco::Net::PollSet;
using Poco::Net::ServerSocket;
using Poco::Net::StreamSocket;

constexpr size_t kMaxQueuedBytes =
    256 * 1024;  // Read ahead of the rate, in each direction.
constexpr int kReadBytes = 32 * 1024;
constexpr int kBusyPollUs = 1000;
constexpr int kIdlePollUs = 20000;

/// Links that share a rate and faults.
struct link_group {
  enum class mode_type {
    kOpen,  ///< Forwards data.
    kCut,   ///< Closes connections.
    kHold   ///< Keeps connections open without forwarding data.
  };
  mode_type mode = mode_type::kOpen;
  int delay_ms = 0;
  double corrupt_share = 0;  ///< Of the reads; one bit is flipped.
  rate_pacer pacer{1e9};
  rate_pacer back_pacer{1e9};
  uint64_t bytes = 0;  ///< From the side that connected.
  uint64_t back_bytes = 0;
  uint64_t epoch = 0;  ///< Connections of older epochs are stalled for good.
};

/// Bytes that are queued in a direction until they are due.
struct queued_part {
  time_point due{};
  std::string bytes;
};

/// One direction of a connection.
struct direction {
  StreamSocket from;
  StreamSocket to;
  std::deque<queued_part> parts;
  size_t queued_bytes = 0;
  bool is_forward = true;
  bool has_ended = false;  ///< The sender closed it.
  bool is_shut = false;    ///< The end was forwarded.
};

/// Proxied connection.
struct proxied_connection {
  link_group* group = nullptr;
  uint64_t epoch = 0;
  direction directions[2];
  bool is_closed = false;
};

struct listener {
  ServerSocket socket;
  std::string target;
  link_group* group = nullptr;
};

/// Proxy whose sockets are run by one thread; the control page locks the state.
class proxy_standin {
 public:
  explicit proxy_standin(const standin_options& options) : options_(options) {
    for (const std::string& link : options.links)
      AddLink(link);
  }

  void Run(const std::atomic<bool>& is_stopping) {
    while (!is_stopping) {
      bool is_busy = false;
      {
        std::lock_guard lock(mutex_);
        is_busy = WriteAll();
      }
      polled_ = poll_.poll(Poco::Timespan(is_busy ? kBusyPollUs : kIdlePollUs));
      std::lock_guard lock(mutex_);
      AcceptAll();
      ReadAll();
    }
  }

  void Answer(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) {
    query_map query;
    const std::string path = SplitQuery(request.getURI(), &query);
    std::lock_guard lock(mutex_);
    for (auto& [name, group] : groups_) {
      bool is_selected =
          query.contains("group") && Matches(name, query.at("group"));
      if (path == "/control/set" && is_selected)
        Set(query, &group);
    }
    Poco::JSON::Object body;
    for (const auto& [name, group] : groups_) {
      Poco::JSON::Object item;
      item.set("bytes", group.bytes);
      item.set("back_bytes", group.back_bytes);
      body.set(name, item);
    }
    std::ostringstream text;
    body.stringify(text);
    AnswerHttp(&response, 200, "application/json", text.str());
  }

 private:
  /// Returns whether a group's name matches a pattern: a name, PREFIX* or
  /// *SUFFIX.
  static bool Matches(const std::string& name, const std::string& pattern) {
    if (pattern.ends_with("*"))
      return name.starts_with(pattern.substr(0, pattern.size() - 1));
    if (pattern.starts_with("*"))
      return name.ends_with(pattern.substr(1));
    return name == pattern;
  }

  void AddLink(const std::string& link) {
    const size_t equals = link.find('=');
    const size_t arrow = link.find('>', equals);
    const std::string name = link.substr(0, equals);
    if (!groups_.contains(name)) {
      link_group& group = groups_[name];
      group.delay_ms = options_.delay_ms;
      group.pacer = rate_pacer(options_.rate);
      group.back_pacer = rate_pacer(options_.rate);
    }
    listener item;
    item.target = link.substr(arrow + 1);
    item.group = &groups_[name];
    item.socket.bind(
        Poco::Net::SocketAddress(link.substr(equals + 1, arrow - equals - 1)),
        true);
    item.socket.listen(128);
    item.socket.setBlocking(false);
    poll_.add(item.socket, PollSet::POLL_READ);
    listeners_.push_back(std::move(item));
  }

  void Set(const query_map& query, link_group* group) {
    if (query.contains("mode")) {
      const std::string& mode = query.at("mode");
      group->mode = mode == "cut"    ? link_group::mode_type::kCut
                    : mode == "hold" ? link_group::mode_type::kHold
                                     : link_group::mode_type::kOpen;
    }
    // Stalls the open connections for good, while new ones work.
    if (query.contains("silence"))
      ++group->epoch;
    group->delay_ms = IntOf(query, "delay_ms", group->delay_ms);
    group->corrupt_share = DoubleOf(query, "corrupt", group->corrupt_share);
    if (query.contains("rate")) {
      group->pacer = rate_pacer(DoubleOf(query, "rate", options_.rate));
      group->back_pacer = rate_pacer(DoubleOf(query, "rate", options_.rate));
    }
    if (query.contains("reset"))
      group->bytes = group->back_bytes = 0;
  }

  void AcceptAll() {
    for (listener& item : listeners_) {
      if (!polled_.contains(item.socket))
        continue;
      try {
        StreamSocket client = item.socket.acceptConnection();
        if (item.group->mode == link_group::mode_type::kCut) {
          client.close();
          continue;
        }
        StreamSocket server;
        server.connectNB(Poco::Net::SocketAddress(item.target));
        client.setBlocking(false);
        client.setNoDelay(true);
        server.setNoDelay(true);
        connections_.emplace_back();
        proxied_connection& connection = connections_.back();
        connection.group = item.group;
        connection.epoch = item.group->epoch;
        connection.directions[0] = {client, server, {}, 0, true};
        connection.directions[1] = {server, client, {}, 0, false};
        poll_.add(client, PollSet::POLL_READ);
        poll_.add(server, PollSet::POLL_READ);
      } catch (const Poco::Exception&) {
        continue;  // The client disconnected before it was accepted.
      }
    }
  }

  static bool IsStalled(const proxied_connection& connection) {
    return connection.group->mode == link_group::mode_type::kHold ||
           connection.epoch != connection.group->epoch;
  }

  void ReadAll() {
    for (proxied_connection& connection : connections_) {
      if (connection.is_closed || IsStalled(connection))
        continue;
      for (direction& dir : connection.directions) {
        if (dir.has_ended || dir.queued_bytes >= kMaxQueuedBytes)
          continue;
        if (polled_.contains(dir.from))
          Read(&connection, &dir);
      }
    }
  }

  void Read(proxied_connection* connection, direction* dir) {
    std::string bytes(kReadBytes, '\0');
    int length = 0;
    try {
      length = dir->from.receiveBytes(bytes.data(), kReadBytes);
    } catch (const Poco::Exception&) {
      connection->is_closed = true;
      return;
    }
    if (length == 0) {
      dir->has_ended = true;
      poll_.remove(dir->from);
    }
    if (length <= 0)
      return;
    bytes.resize(static_cast<size_t>(length));
    link_group& group = *connection->group;
    if (std::uniform_real_distribution<double>(0, 1)(random_) <
        group.corrupt_share) {
      bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    }
    rate_pacer& pacer = dir->is_forward ? group.pacer : group.back_pacer;
    (dir->is_forward ? group.bytes : group.back_bytes) += bytes.size();
    const time_point due =
        pacer.Reserve(std::chrono::steady_clock::now(), bytes.size()) +
        milliseconds(group.delay_ms);
    dir->queued_bytes += bytes.size();
    dir->parts.push_back({due, std::move(bytes)});
  }

  /// Writes all due data and closes the connections that have ended.
  /// @return Whether data is still queued.
  bool WriteAll() {
    bool is_busy = false;
    for (auto it = connections_.begin(); it != connections_.end();) {
      if (it->group->mode == link_group::mode_type::kCut)
        it->is_closed = true;
      if (!it->is_closed && !IsStalled(*it)) {
        for (direction& dir : it->directions)
          Write(&*it, &dir);
      }
      if (it->directions[0].is_shut && it->directions[1].is_shut)
        it->is_closed = true;
      is_busy = is_busy || it->directions[0].queued_bytes > 0 ||
                it->directions[1].queued_bytes > 0;
      if (!it->is_closed) {
        ++it;
        continue;
      }
      for (direction& dir : it->directions) {
        if (!dir.has_ended)
          poll_.remove(dir.from);
        dir.from.close();
      }
      it = connections_.erase(it);
    }
    return is_busy;
  }

  static void Write(proxied_connection* connection, direction* dir) {
    const time_point now = std::chrono::steady_clock::now();
    while (!dir->parts.empty() && dir->parts.front().due <= now) {
      queued_part& next = dir->parts.front();
      try {
        int sent = dir->to.sendBytes(next.bytes.data(),
                                     static_cast<int>(next.bytes.size()));
        if (sent <= 0)
          return;
        dir->queued_bytes -= static_cast<size_t>(sent);
        next.bytes.erase(0, static_cast<size_t>(sent));
        if (!next.bytes.empty())
          return;
        dir->parts.pop_front();
      } catch (const Poco::TimeoutException&) {
        return;
      } catch (const Poco::Net::NetException& e) {
        if (e.code() == EAGAIN || e.code() == ENOTCONN)
          return;
        connection->is_closed = true;
        return;
      } catch (const Poco::Exception&) {
        connection->is_closed = true;
        return;
      }
    }
    if (!dir->has_ended || dir->is_shut || !dir->parts.empty())
      return;
    dir->is_shut = true;
    try {
      dir->to.shutdownSend();
    } catch (const Poco::Exception&) {
      connection->is_closed = true;
    }
  }

  standin_options options_;
  std::mutex mutex_;
  std::map<std::string, link_group> groups_;
  std::list<listener> listeners_;
  std::list<proxied_connection> connections_;
  PollSet poll_;
  PollSet::SocketModeMap polled_;
  std::mt19937_64 random_{3};
};

}  // namespace

int RunProxy(const standin_options& options) {
  proxy_standin proxy(options);
  auto server =
      Serve(options.control, 4, [&proxy](auto& request, auto& response) {
        proxy.Answer(request, response);
      });
  std::cout << "ready" << std::endl;
  std::atomic<bool> is_stopping{false};
  std::thread loop([&] { proxy.Run(is_stopping); });
  WaitForStopSignal();
  is_stopping = true;
  loop.join();
  return 0;
}

}  // namespace fuchsiafall::standins
