// Stand-ins for the review's scripts: the platform's store, servers, clients, and the start of the project's own
// processes. Loopback addresses only; POSIX and the standard library only.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

// Time of the case: from the start of the program, and again from 3 s on once the entries are ready.
inline std::atomic<int64_t> time_offset = 0;
inline int64_t NowMs() {
  static const steady::time_point start = steady::now();
  return std::chrono::duration_cast<ms>(steady::now() - start).count() - time_offset;
}
inline void RestartTime() {
  time_offset += NowMs() - 3000;
}
inline void Sleep(int64_t span) {
  std::this_thread::sleep_for(ms(std::max<int64_t>(0, span)));
}
inline void SleepUntil(int64_t at) {
  Sleep(at - NowMs());
}

// ---- record.txt ----

class record {
 public:
  explicit record(const std::string& path) : out_(path) {}
  void Line(const std::string& text) {
    std::lock_guard lock(mutex_);
    char at[32];
    snprintf(at, sizeof(at), "%9.3f ", static_cast<double>(NowMs()) / 1000);
    out_ << at << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// ---- sockets ----

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 128) != 0) {
    perror("listen");
    exit(2);
  }
  return fd;
}

inline int Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    at += static_cast<size_t>(count);
  }
  return true;
}

// Reads more bytes into the buffer. Returns 1 if there are some, 0 at the end, -1 on an error, -2 when the time is over.
inline int ReadMore(int fd, std::string* buffer, int64_t until) {
  pollfd item{fd, POLLIN, 0};
  const int64_t left = std::max<int64_t>(0, until - NowMs());
  if (poll(&item, 1, static_cast<int>(left)) <= 0)
    return -2;
  char bytes[65536];
  const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
  if (count < 0)
    return -1;
  buffer->append(bytes, static_cast<size_t>(count));
  return count > 0 ? 1 : 0;
}

// ---- HTTP ----

inline std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
  return text;
}

struct message {
  std::string first;  // Request or status line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool is_whole = false;
  int end = 0;  // What ReadMore said last, if it is not whole.

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (Lower(key) == Lower(name))
        return value;
    }
    return "";
  }
  std::vector<std::string> All(const std::string& name) const {
    std::vector<std::string> values;
    for (const auto& [key, value] : fields) {
      if (Lower(key) == Lower(name))
        values.push_back(value);
    }
    return values;
  }
  bool Has(const std::string& name) const { return !All(name).empty(); }
  std::string Word(int index) const {
    std::istringstream words(first);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
  int Status() const { return atoi(Word(1).c_str()); }
};

// Reads one message; bytes after it stay in the buffer. Interim answers are skipped.
inline message ReadMessage(int fd, std::string* buffer, int64_t until, bool is_answer) {
  message read;
  auto more = [&] { return (read.end = ReadMore(fd, buffer, until)) == 1; };
  while (true) {
    size_t end = 0;
    while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
      if (!more())
        return read;
    }
    std::istringstream lines(buffer->substr(0, end));
    buffer->erase(0, end + 4);
    std::string line;
    read.fields.clear();
    for (bool is_first = true; std::getline(lines, line); is_first = false) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (is_first) {
        read.first = line;
        continue;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      size_t begin = colon + 1;
      while (begin < line.size() && line[begin] == ' ')
        ++begin;
      read.fields.push_back({line.substr(0, colon), line.substr(begin)});
    }
    if (!is_answer || read.Status() / 100 != 1)
      break;
  }
  if (Lower(read.Get("Transfer-Encoding")) == "chunked") {
    while (true) {
      size_t end = 0;
      while ((end = buffer->find("\r\n")) == std::string::npos) {
        if (!more())
          return read;
      }
      const size_t size = strtoul(buffer->c_str(), nullptr, 16);
      while (buffer->size() < end + 2 + size + 2) {
        if (!more())
          return read;
      }
      read.body += buffer->substr(end + 2, size);
      buffer->erase(0, end + 2 + size + 2);
      if (size == 0)
        break;
    }
  } else if (read.Has("Content-Length")) {
    const size_t size = strtoul(read.Get("Content-Length").c_str(), nullptr, 10);
    while (buffer->size() < size) {
      if (!more())
        return read;
    }
    read.body = buffer->substr(0, size);
    buffer->erase(0, size);
  } else if (is_answer) {
    while (more()) {
    }
    read.body = std::exchange(*buffer, "");
    read.is_whole = read.end == 0;
    return read;
  }
  read.is_whole = true;
  return read;
}

// Closes a connection with a reset.
inline void Reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

// Server with a thread for each connection.
class http_server {
 public:
  using hook = std::function<void(int fd, std::string* buffer)>;
  http_server(const std::string& ip, int port, hook on_connection)
      : ip_(ip), port_(port), on_connection_(std::move(on_connection)), fd_(Listen(ip, port)) {
    std::thread([this] {
      while (!is_stopped_) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
          std::lock_guard lock(mutex_);
          if (is_stopped_) {
            close(fd);
            continue;
          }
          open_.insert(fd);
        }
        std::thread([this, fd] {
          std::string buffer;
          on_connection_(fd, &buffer);
          std::lock_guard lock(mutex_);
          open_.erase(fd);
          close(fd);
        }).detach();
      }
      close(fd_);
    }).detach();
  }
  // Ends as a process does that is killed: no listener, all channels reset.
  void Stop() {
    std::lock_guard lock(mutex_);
    is_stopped_ = true;
    shutdown(fd_, SHUT_RDWR);
    for (int fd : open_) {
      Reset(fd);
      shutdown(fd, SHUT_RD);
    }
  }
  bool IsStopped() const { return is_stopped_; }
  std::string Address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  std::string ip_;
  int port_;
  hook on_connection_;
  int fd_;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<bool> is_stopped_ = false;
};

inline std::string Answer(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The platform's store ----

inline std::string Base64(const std::string& text) {
  static const char* kChars = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t word = 0;
    for (size_t j = 0; j < 3; ++j)
      word = word << 8 | (i + j < text.size() ? static_cast<uint8_t>(text[i + j]) : 0);
    for (size_t j = 0; j < 4; ++j)
      out += i + j > text.size() ? '=' : kChars[word >> (18 - 6 * j) & 63];
  }
  return out;
}

inline std::string Unbase64(const std::string& text) {
  static const std::string kChars = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  uint32_t word = 0;
  int bits = 0;
  for (char c : text) {
    const size_t at = kChars.find(c);
    if (at == std::string::npos)
      break;
    word = word << 6 | static_cast<uint32_t>(at);
    if ((bits += 6) >= 8)
      out += static_cast<char>(word >> (bits -= 8) & 255);
  }
  return out;
}

inline std::string Unpercent(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline std::string Query(const std::string& target, const std::string& name) {
  std::istringstream items(target.substr(std::min(target.size(), target.find('?') + 1)));
  std::string item;
  while (std::getline(items, item, '&')) {
    if (item.starts_with(name + "="))
      return Unpercent(item.substr(name.size() + 1));
  }
  return "";
}

// Text of a field of a JSON object that this rig or the project wrote; enough for /kv-txn.
inline std::string JsonField(const std::string& text, const std::string& name, size_t from = 0) {
  size_t at = text.find("\"" + name + "\"", from);
  if (at == std::string::npos)
    return "";
  at = text.find(':', at) + 1;
  while (at < text.size() && isspace(static_cast<unsigned char>(text[at])))
    ++at;
  if (text[at] == '"')
    return text.substr(at + 1, text.find('"', at + 1) - at - 1);
  return text.substr(at, text.find_first_of(",}] \n", at) - at);
}

class store {
 public:
  store(const std::string& ip, int port)
      : server_(ip, port, [this](int fd, std::string* buffer) { Serve(fd, buffer); }) {}
  std::string Address() const { return server_.Address(); }
  // Writes as the operator or a server; the return is the confirmation.
  uint64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard lock(mutex_);
    return Change(key, value, false);
  }
  void Remove(const std::string& key) {
    std::lock_guard lock(mutex_);
    Change(key, "", true);
  }
  size_t Count(const std::string& prefix) {
    std::lock_guard lock(mutex_);
    size_t count = 0;
    for (const auto& [key, item] : items_)
      count += key.starts_with(prefix) ? 1 : 0;
    return count;
  }

 private:
  struct item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct event {
    std::string key, value;
    uint64_t revision = 0, created = 0;
    bool is_deleted = false;
  };

  uint64_t Change(const std::string& key, const std::string& value, bool is_deleted) {
    ++revision_;
    event changed{key, value, revision_, revision_, is_deleted};
    if (is_deleted) {
      items_.erase(key);
    } else {
      item& to = items_[key];
      to.created = to.created == 0 ? revision_ : to.created;
      to.value = value;
      to.revision = revision_;
      changed.created = to.created;
    }
    events_.push_back(changed);
    changed_.notify_all();
    return revision_;
  }
  static std::string Format(const std::string& key, const std::string& value, uint64_t revision, uint64_t created) {
    return "{\"Key\":\"" + key + "\",\"Value\":\"" + Base64(value) + "\",\"Revision\":" + std::to_string(revision) +
           ",\"Created\":" + std::to_string(created) + ",\"LeaseId\":0}";
  }
  void Serve(int fd, std::string* buffer) {
    while (true) {
      const message call = ReadMessage(fd, buffer, NowMs() + 600000, false);
      if (!call.is_whole)
        return;
      const std::string target = call.Word(1);
      int status = 200;
      const std::string body = Reply(target, call.body, &status);
      if (!SendAll(fd, Answer(status, "Content-Type: application/json\r\n", body)))
        return;
    }
  }
  std::string Reply(const std::string& target, const std::string& body, int* status) {
    std::unique_lock lock(mutex_);
    if (target.starts_with("/kv-range")) {
      const std::string prefix = Query(target, "Prefix"), after = Query(target, "After");
      std::string items;
      bool has_more = false;
      int count = 0;
      for (const auto& [key, found] : items_) {
        if (!key.starts_with(prefix) || key <= after)
          continue;
        if (++count > 500) {
          has_more = true;
          break;
        }
        items += (items.empty() ? "" : ",") + Format(key, found.value, found.revision, found.created);
      }
      return "{\"Items\":[" + items + "],\"HasMore\":" + (has_more ? "true" : "false") +
             ",\"At\":" + std::to_string(revision_) + "}";
    }
    if (target.starts_with("/kv-watch")) {
      const std::string prefix = Query(target, "Prefix");
      const uint64_t after = strtoull(Query(target, "After").c_str(), nullptr, 10);
      const auto until = steady::now() + ms(atoi(Query(target, "WaitMs").c_str()));
      std::string events;
      while (true) {
        for (const event& item : events_) {
          if (item.revision <= after || !item.key.starts_with(prefix))
            continue;
          events += events.empty() ? "" : ",";
          events += item.is_deleted ? "{\"Key\":\"" + item.key + "\",\"Revision\":" + std::to_string(item.revision) +
                                          ",\"Deleted\":true}"
                                    : Format(item.key, item.value, item.revision, item.created);
        }
        if (!events.empty() || steady::now() >= until)
          break;
        changed_.wait_until(lock, until);
      }
      return "{\"events\":[" + events + "],\"At\":" + std::to_string(revision_) + "}";
    }
    if (target.starts_with("/kv-key")) {
      auto found = items_.find(Query(target, "Key"));
      if (found == items_.end()) {
        *status = 404;
        return "{\"At\":" + std::to_string(revision_) + "}";
      }
      std::string text = Format(found->first, found->second.value, found->second.revision, found->second.created);
      text.back() = ',';
      return text + "\"At\":" + std::to_string(revision_) + "}";
    }
    if (target.starts_with("/kv-txn")) {
      // The project changes one item under the condition on that item.
      const size_t condition = body.find("Precondition"), puts = body.find("\"Puts\"");
      const std::string key = JsonField(body, "Key", condition);
      const uint64_t expected = strtoull(JsonField(body, "Revision", condition).c_str(), nullptr, 10);
      auto found = items_.find(key);
      if ((found == items_.end() ? 0 : found->second.revision) != expected) {
        *status = 412;
        return "{\"Items\":[]}";
      }
      const std::string value = JsonField(body, "Value", puts);
      const bool is_put = body.find("\"Value\"", puts) != std::string::npos;
      return "{\"Revision\":" + std::to_string(Change(key, Unbase64(value), !is_put)) + "}";
    }
    *status = 404;
    return "{}";
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<event> events_;
  uint64_t revision_ = 100;
  http_server server_;
};

// ---- The project's processes ----

// Loopback address that differs between runs at the same time.
inline std::string Ip(int number) {
  const int pid = getpid();
  return "127." + std::to_string(64 + pid / 250 % 128) + "." + std::to_string(1 + pid % 250) + "." +
         std::to_string(number);
}

inline std::string TempFolder() {
  static const std::string made = [] {
    char name[] = "/tmp/review-XXXXXX";
    return std::string(mkdtemp(name));
  }();
  return made;
}

struct process {
  pid_t pid = 0;
  std::string name, ip, log;
  void Signal(int number) const { kill(pid, number); }
  // Ends the process if it still runs. Returns whether it had ended before.
  bool End() {
    if (pid == 0)
      return true;
    int status = 0;
    const bool has_ended = waitpid(pid, &status, WNOHANG) == pid;
    if (!has_ended) {
      kill(pid, SIGKILL);
      waitpid(pid, &status, 0);
    }
    pid = 0;
    return has_ended;
  }
  std::optional<int> Ended() {
    int status = 0;
    if (pid != 0 && waitpid(pid, &status, WNOHANG) == pid) {
      pid = 0;
      return status;
    }
    return std::nullopt;
  }
};

inline process StartProcess(const std::string& role, const std::string& name, const std::string& ip,
                            const std::string& settings) {
  process made{.name = name, .ip = ip, .log = TempFolder() + "/" + name + ".log"};
  const std::string path = TempFolder() + "/" + name + ".conf";
  std::ofstream(path) << settings;
  made.pid = fork();
  if (made.pid == 0) {
    const int out = open(made.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    const std::string variable = "FUCHSIAFALL_CONFIG=" + path;
    const char* arguments[] = {"target/fuchsiafall", role.c_str(), nullptr};
    const char* environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8", nullptr};
    execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
    _exit(127);
  }
  return made;
}

constexpr int kFrontPort = 8005, kReadyPort = 8002, kInternalPort = 7700;

// Settings as on the installation's machines, with its bounds.
inline std::string CommonSettings(const std::string& node, const std::string& ip, const std::string& zone,
                                  const std::string& store_address) {
  return "Node=" + node + "\nIp=" + ip + "\nZone=" + zone +
         "\nRegion=western\nZones.colombo-a=western\nZones.galle-a=southern\nZones.trinco-a=eastern\n"
         "InternalPorts=7700,7715\nBootstrap=true\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\n"
         "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,chunks\n"
         "Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\n"
         "Bounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\n"
         "Bounds.RollbackSlackMs=250\nBounds.OuterMs=5000\nBounds.FailClosed=true\nBounds.RevokeMs=5000\n"
         "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.RetryBudgetExtra=234\n"
         "Bounds.ColdOverage=1.5\nBounds.ColdSlack=5\nBounds.EvacuationMs=5000\nBounds.RecoverS=12\n"
         "Bounds.PassMs=120\nBounds.AgainS=0\nBounds.version_ms=8000\nBounds.version_all_ms=0\n"
         "Platform.Address=" + store_address +
         "\nPlatform.form=kv\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\n"
         "Platform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n";
}

inline process StartEntry(int number, const std::string& zone, const std::string& store_address) {
  const std::string ip = Ip(number), name = "front-" + zone + "-" + std::to_string(number);
  return StartProcess("entry", name, ip,
                      CommonSettings(name, ip, zone, store_address) + "Role=entry\nMachineClass=front\nServes=front\n" +
                          "Listen.Front=" + ip + ":8005\nListen.Ready=" + ip +
                          ":8002\nLimits.CpuShare=0.17\nLimits.Cores=1\nLimits.MemoryMb=182\n"
                          "Limits.FileDescriptors=2870\nLimits.LinkMbps=700.0\nLimits.DiskMb=0\n");
}

// Waits until an entry says that it is ready.
inline bool WaitReady(const process& entry, int64_t span) {
  const int64_t until = NowMs() + span;
  while (NowMs() < until) {
    const int fd = Connect(entry.ip, kReadyPort);
    if (fd >= 0) {
      std::string buffer;
      SendAll(fd, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      const message answer = ReadMessage(fd, &buffer, NowMs() + 1000, true);
      close(fd);
      if (answer.Status() == 200)
        return true;
    }
    Sleep(50);
  }
  return false;
}

// Server of a plain service; registers itself in the store and renews its entry as servers do.
class plain_server {
 public:
  // Answers a request that it runs; false: the channel is reset instead.
  using work = std::function<bool(int fd, const message& request)>;
  plain_server(store* platform, std::string id, std::string service, std::string zone, const std::string& ip,
               int slots, work on_run, int64_t cold_for = 0)
      : platform_(platform), id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)), slots_(slots),
        cold_until_(NowMs() + cold_for), on_run_(std::move(on_run)),
        server_(ip, 8080, [this](int fd, std::string* buffer) { Serve(fd, buffer); }) {
    std::thread([this] {
      for (int sequence = 1; !server_.IsStopped(); ++sequence) {
        platform_->Put("servers/" + id_, "{\"Service\":\"" + service_ + "\",\"Address\":\"" + server_.Address() +
                                             "\",\"Zone\":\"" + zone_ + "\",\"Version\":\"v1\",\"Slots\":" +
                                             std::to_string(slots_) + ",\"State\":\"ready\",\"ColdRemainingMs\":" +
                                             std::to_string(ColdRemaining()) + ",\"Sequence\":" +
                                             std::to_string(sequence) + "}");
        Sleep(1200);
      }
      Sleep(2 * 1200);  // The entry goes after three intervals of silence.
      platform_->Remove("servers/" + id_);
    }).detach();
  }
  int64_t ColdRemaining() const { return std::max<int64_t>(0, cold_until_ - NowMs()); }
  void Crash() { server_.Stop(); }
  bool IsStopped() const { return server_.IsStopped(); }
  const std::string& Id() const { return id_; }

 private:
  void Serve(int fd, std::string* buffer) {
    while (true) {
      const message request = ReadMessage(fd, buffer, NowMs() + 15000, false);
      if (!request.is_whole || server_.IsStopped())
        return;
      const std::string id = request.Get("Request-Id"), expected = request.Get("Expect-Instance");
      if (id.empty()) {
        SendAll(fd, Answer(400, "Not-Executed: 1\r\n", ""));
      } else if (!expected.empty() && expected != id_) {
        SendAll(fd, Answer(421, "Request-Id: " + id + "\r\nInstance-Id: " + id_ + "\r\n", ""));
      } else if (!on_run_(fd, request)) {
        return Reset(fd);
      }
    }
  }

  store* platform_;
  std::string id_, service_, zone_;
  int slots_;
  int64_t cold_until_;
  work on_run_;
  http_server server_;
};

inline bool HasTrouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string RequestId() {
  static std::atomic<uint64_t> next{1};
  char text[32];
  snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(getpid()), static_cast<unsigned>(next++));
  return text;
}

}  // namespace rig
