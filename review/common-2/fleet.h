/// @file fleet.h Small stand-ins for the scripts of the second review: a
/// platform store, an HTTP server and client, and started processes. Only the
/// C++ library and POSIX are used.
#ifndef REVIEW_COMMON_2_FLEET_H_
#define REVIEW_COMMON_2_FLEET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCouldNotRun = 2;

/// Milliseconds since the first call.
inline int64_t NowMs() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const int64_t ms = now.tv_sec * 1000LL + now.tv_nsec / 1000000;
  static const int64_t first = ms;
  return ms - first;
}

inline void SleepMs(int64_t ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline void SleepUntil(int64_t at_ms) {
  SleepMs(at_ms - NowMs());
}

/// What was sent, answered and run, one event a line.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}
  void Write(const std::string& line) {
    std::lock_guard lock(mutex_);
    file_ << NowMs() << " ms " << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// Whether the disruption is left out.
inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- HTTP ----

struct http_message {
  std::string first;                               ///< Request or status line.
  std::multimap<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;

  std::string Get(const std::string& name) const {
    auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  std::string Target() const {
    const size_t from = first.find(' ');
    return first.substr(from + 1, first.rfind(' ') - from - 1);
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  int Status() const {
    return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9);
  }
};

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

/// Reads messages from a socket.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}
  /// Why the last read ended.
  enum class end { kMore, kClosed, kReset, kTimeout };
  end last = end::kMore;

  bool Fill(int64_t until_ms) {
    const int64_t left = until_ms - NowMs();
    if (left <= 0) {
      last = end::kTimeout;
      return false;
    }
    pollfd item{.fd = fd_, .events = POLLIN, .revents = 0};
    if (poll(&item, 1, static_cast<int>(left)) <= 0) {
      last = end::kTimeout;
      return false;
    }
    char buffer[65536];
    const ssize_t count = recv(fd_, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      last = count == 0 ? end::kClosed : end::kReset;
      return false;
    }
    input.append(buffer, static_cast<size_t>(count));
    return true;
  }
  bool ReadHead(int64_t until_ms, http_message* to) {
    size_t at = 0;
    while ((at = input.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms))
        return false;
    }
    std::istringstream lines(input.substr(0, at));
    input.erase(0, at + 4);
    std::string line;
    *to = {};
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (to->first.empty()) {
        to->first = line;
        continue;
      }
      const size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      to->fields.emplace(name, value);
    }
    return true;
  }
  bool ReadBytes(int64_t until_ms, size_t count, std::string* to) {
    while (input.size() < count) {
      if (!Fill(until_ms)) {
        to->append(input);
        input.clear();
        return false;
      }
    }
    to->append(input, 0, count);
    input.erase(0, count);
    return true;
  }
  bool ReadLine(int64_t until_ms, std::string* to) {
    size_t at = 0;
    while ((at = input.find("\r\n")) == std::string::npos) {
      if (!Fill(until_ms))
        return false;
    }
    *to = input.substr(0, at);
    input.erase(0, at + 2);
    return true;
  }
  /// Reads a body as its head frames it.
  /// @return Whether it is whole.
  bool ReadBody(int64_t until_ms, http_message* to, bool is_request) {
    if (to->Get("transfer-encoding") == "chunked") {
      std::string line;
      while (ReadLine(until_ms, &line)) {
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0)
          return ReadLine(until_ms, &line);
        if (!ReadBytes(until_ms, size, &to->body) || !ReadLine(until_ms, &line))
          return false;
      }
      return false;
    }
    if (to->fields.contains("content-length"))
      return ReadBytes(until_ms, std::stoul(to->Get("content-length")),
                       &to->body);
    if (is_request)
      return true;
    while (Fill(until_ms)) {
    }
    to->body += input;
    input.clear();
    return last == end::kClosed;
  }

  std::string input;

 private:
  int fd_;
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// @return -1 if it cannot connect.
inline int Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

/// Closes a socket with a reset.
inline void Reset(int fd) {
  linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd);
}

struct answer {
  http_message head;
  bool is_whole = false;
  reader::end end = reader::end::kMore;
  bool is_connected = true;
};

/// Sends one request on a new connection and reads its answer.
inline answer Call(const std::string& ip,
                   int port,
                   const std::string& request,
                   int64_t timeout_ms) {
  answer result;
  const int fd = Connect(ip, port);
  if (fd < 0) {
    result.is_connected = false;
    return result;
  }
  const int64_t until = NowMs() + timeout_ms;
  reader input(fd);
  if (SendAll(fd, request) && input.ReadHead(until, &result.head))
    result.is_whole = input.ReadBody(until, &result.head, false);
  result.end = input.last;
  close(fd);
  return result;
}

/// Server with a thread for each connection.
class http_server {
 public:
  /// @return Whether the connection goes on.
  using handler = std::function<bool(int fd, const http_message&)>;

  bool Listen(const std::string& ip, int port, handler on_request) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = AddressOf(ip, port);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(fd_, 256) != 0) {
      return false;
    }
    std::thread([this, on_request] {
      while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          return;
        std::thread([on_request, fd] {
          int yes = 1;
          setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
          reader input(fd);
          http_message request;
          constexpr int64_t kIdleMs = 600000;
          while (input.ReadHead(NowMs() + kIdleMs, &request) &&
                 input.ReadBody(NowMs() + kIdleMs, &request, true)) {
            if (!on_request(fd, request))
              return;
          }
          close(fd);
        }).detach();
      }
    }).detach();
    return true;
  }

 private:
  int fd_ = -1;
};

inline std::string Answer(int status,
                          const std::string& body,
                          const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The platform's store ----

inline std::string Base64(const std::string& text) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (i + k < text.size() ? static_cast<uint8_t>(text[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k)
      out += i + k > text.size() ? '=' : kDigits[group >> (18 - 6 * k) & 63];
  }
  return out;
}

inline std::string FromBase64(const std::string& text) {
  std::string out;
  uint32_t group = 0;
  int bits = 0;
  for (char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z')
      digit = c - 'A';
    else if (c >= 'a' && c <= 'z')
      digit = c - 'a' + 26;
    else if (c >= '0' && c <= '9')
      digit = c - '0' + 52;
    else if (c == '+' || c == '/')
      digit = c == '+' ? 62 : 63;
    if (digit < 0)
      continue;
    group = group << 6 | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(group >> bits & 255);
    }
  }
  return out;
}

/// How the store treats the calls of one machine.
struct store_link {
  std::string name;
  std::atomic<int64_t> answer_ms{4};  ///< Time of an answer.
  /// One way, and the rate of the link to the machine's region.
  std::atomic<int64_t> latency_us{1800};
  double bytes_per_ms = 20e6 / 8 / 1000;
  std::atomic<int> watches{0};         ///< Watch calls so far.
  std::atomic<int> lists{0};           ///< Pages of the whole store so far.
  std::atomic<int64_t> watch_at{0};    ///< When the last watch came.
  std::atomic<bool> is_silent{false};  ///< Whether calls get no answer.
  /// When it was first told that an item was removed; 0 if it was not.
  std::atomic<int64_t> told_removal_at{0};
};

/// Store as in PROTOCOL.md: revisions, pages, watches, conditional writes.
class store {
 public:
  explicit store(record* events) : events_(events) {}
  size_t page_items = 50;

  /// Writes as the operator or a server does.
  /// @return When it was confirmed.
  int64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard lock(mutex_);
    Apply(key, value, false);
    changed_.notify_all();
    return NowMs();
  }
  void Remove(const std::string& key) {
    std::lock_guard lock(mutex_);
    Apply(key, "", true);
    changed_.notify_all();
  }
  /// Makes the copy that Restore() comes back from.
  void Copy() {
    std::lock_guard lock(mutex_);
    copy_ = items_;
    copy_revision_ = revision_;
  }
  /// The store is away: it resets the channels of all calls.
  void GoAway() {
    std::lock_guard lock(mutex_);
    is_away_ = true;
    changed_.notify_all();
  }
  /// Comes back from the copy, with the next era and without a history.
  void Restore() {
    std::lock_guard lock(mutex_);
    items_ = copy_;
    revision_ = history_start_ = copy_revision_;
    history_.clear();
    ++era_;
    is_away_ = false;
  }
  size_t Size() {
    std::lock_guard lock(mutex_);
    return items_.size();
  }
  /// Opens an address of the store for one machine.
  bool Listen(const std::string& ip, int port, store_link* link) {
    servers_.push_back(std::make_unique<http_server>());
    return servers_.back()->Listen(
        ip, port, [this, link](int fd, const http_message& request) {
          return OnRequest(fd, request, link);
        });
  }

 private:
  struct item {
    std::string value;
    uint64_t revision = 0;
  };
  struct change {
    std::string key;
    std::string value;
    bool is_deleted = false;
  };

  void Apply(const std::string& key, const std::string& value, bool removes) {
    ++revision_;
    history_[revision_] = {key, value, removes};
    if (removes)
      items_.erase(key);
    else
      items_[key] = {value, revision_};
  }

  static std::string Query(const std::string& target, const std::string& name) {
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t end = target.find('&', at + 1);
      const std::string pair = target.substr(at + 1, end - at - 1);
      if (pair.starts_with(name + "="))
        return Decode(pair.substr(name.size() + 1));
      at = end;
    }
    return "";
  }
  static std::string Decode(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  static std::string Row(const std::string& key,
                         const std::string& value,
                         uint64_t revision) {
    return R"({"Key":")" + key + R"(","Value":")" + Base64(value) +
           R"(","Revision":)" + std::to_string(revision) + R"(,"Created":)" +
           std::to_string(revision) + R"(,"LeaseId":0})";
  }

  std::string Range(const std::string& prefix, const std::string& after) {
    std::string rows;
    bool has_more = false;
    size_t count = 0;
    for (auto it = items_.upper_bound(after); it != items_.end(); ++it) {
      if (!it->first.starts_with(prefix))
        continue;
      if (count == page_items) {
        has_more = true;
        break;
      }
      rows += (count++ > 0 ? "," : "") +
              Row(it->first, it->second.value, it->second.revision);
    }
    return R"({"Items":[)" + rows + R"(],"HasMore":)" +
           (has_more ? "true" : "false") + R"(,"At":)" +
           std::to_string(revision_) + "}";
  }

  /// Values of a string field in a JSON text that has no escapes.
  static std::vector<std::string> Fields(const std::string& json,
                                         const std::string& name) {
    std::vector<std::string> values;
    const std::string mark = "\"" + name + "\":";
    for (size_t at = json.find(mark); at != std::string::npos;
         at = json.find(mark, at + 1)) {
      size_t from = at + mark.size();
      const bool is_text = json[from] == '"';
      from += is_text ? 1 : 0;
      const size_t end =
          is_text ? json.find('"', from) : json.find_first_of(",}", from);
      values.push_back(json.substr(from, end - from));
    }
    return values;
  }

  std::string Transact(std::string body, int* status) {
    std::string plain;  // POCO escapes slashes.
    for (size_t i = 0; i < body.size(); ++i) {
      if (body[i] == '\\' && i + 1 < body.size() && body[i + 1] == '/')
        continue;
      plain += body[i];
    }
    const size_t puts = plain.find("\"Puts\"");
    const size_t condition = plain.find("\"Precondition\"");
    const std::string conditions = plain.substr(
        condition, puts > condition ? puts - condition : std::string::npos);
    const auto keys = Fields(conditions, "Key");
    const auto revisions = Fields(conditions, "Revision");
    for (size_t i = 0; i < keys.size() && i < revisions.size(); ++i) {
      auto known = items_.find(keys[i]);
      const uint64_t revision =
          known == items_.end() ? 0 : known->second.revision;
      if (std::to_string(revision) != revisions[i]) {
        *status = 412;
        return R"({"Items":[]})";
      }
    }
    const size_t puts_end = plain.find(']', puts);
    const std::string written = plain.substr(puts, puts_end - puts);
    const auto put_keys = Fields(written, "Key");
    const auto put_values = Fields(written, "Value");
    for (size_t i = 0; i < put_keys.size() && i < put_values.size(); ++i) {
      Apply(put_keys[i], FromBase64(put_values[i]), false);
      events_->Write("store: written " + put_keys[i]);
    }
    const size_t remove = plain.find("\"Remove\"");
    const std::string removed =
        plain.substr(remove, plain.find(']', remove) - remove);
    for (size_t at = removed.find('"', 9); at != std::string::npos;) {
      const size_t end = removed.find('"', at + 1);
      const std::string key = removed.substr(at + 1, end - at - 1);
      Apply(key, "", true);
      at = removed.find('"', end + 1);
    }
    changed_.notify_all();
    *status = 200;
    return R"({"Revision":)" + std::to_string(revision_) + "}";
  }

  bool OnRequest(int fd, const http_message& request, store_link* link) {
    SleepUs(link->latency_us);
    if (link->is_silent)
      return true;
    const std::string target = request.Target();
    std::string body;
    int status = 200;
    bool tells_removal = false;
    if (target.starts_with("/kv-range")) {
      std::lock_guard lock(mutex_);
      const std::string prefix = Query(target, "Prefix");
      const std::string after = Query(target, "After");
      body = Range(prefix, after);
      if (prefix.empty())
        ++link->lists;
      events_->Write("store: " + link->name + " reads the page after '" +
                     after + "' of '" + prefix + "' at revision " +
                     std::to_string(revision_));
    } else if (target.starts_with("/kv-watch")) {
      const uint64_t after = std::stoull(Query(target, "After"));
      const int64_t until = NowMs() + std::stoll(Query(target, "WaitMs"));
      ++link->watches;
      link->watch_at = NowMs();
      std::unique_lock lock(mutex_);
      while (revision_ == after && !is_away_ && NowMs() < until) {
        changed_.wait_for(lock, std::chrono::milliseconds(
                                    std::max<int64_t>(1, until - NowMs())));
      }
      if (after < history_start_ || after > revision_)
        status = 410;
      std::string rows;
      for (auto it = history_.upper_bound(after); it != history_.end(); ++it) {
        rows += rows.empty() ? "" : ",";
        tells_removal = tells_removal || it->second.is_deleted;
        rows += it->second.is_deleted
                    ? R"({"Key":")" + it->second.key + R"(","Revision":)" +
                          std::to_string(it->first) + R"(,"Deleted":true})"
                    : Row(it->second.key, it->second.value, it->first);
      }
      body = R"({"events":[)" + rows + R"(],"At":)" +
             std::to_string(revision_) + "}";
      if (!rows.empty()) {
        events_->Write("store: " + link->name + " is told the changes after " +
                       std::to_string(after) + ", up to " +
                       std::to_string(revision_));
      }
    } else if (target.starts_with("/kv-txn")) {
      std::lock_guard lock(mutex_);
      body = Transact(request.body, &status);
    } else {
      status = 404;
      body = "{}";
    }
    SleepMs(link->answer_ms);
    if (link->is_silent)
      return true;  // The channel on which an answer is lost stays silent.
    SleepUs(link->latency_us +
            static_cast<int64_t>(static_cast<double>(body.size()) /
                                 link->bytes_per_ms * 1000));
    uint64_t era = 0;
    {
      std::lock_guard lock(mutex_);
      if (is_away_) {
        Reset(fd);
        return false;
      }
      era = era_;
    }
    const bool is_sent =
        SendAll(fd, Answer(status, body,
                           "Content-Type: application/json\r\nStore-Era: " +
                               std::to_string(era) + "\r\n"));
    if (is_sent && tells_removal && link->told_removal_at == 0)
      link->told_removal_at = NowMs();
    return is_sent;
  }
  static void SleepUs(int64_t us) {
    std::this_thread::sleep_for(std::chrono::microseconds(us));
  }

  record* events_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::map<uint64_t, change> history_;
  uint64_t revision_ = 1;
  uint64_t history_start_ = 0;
  uint64_t era_ = 1;
  bool is_away_ = false;
  std::map<std::string, item> copy_;
  uint64_t copy_revision_ = 0;
  std::vector<std::unique_ptr<http_server>> servers_;
};

// ---- Processes of the project ----

/// Settings of a process, as DEPLOY.md tells them. `more` may replace lines.
inline std::string SettingsOf(const std::map<std::string, std::string>& more) {
  std::map<std::string, std::string> lines = {
      {"MachineClass", "front"},
      {"Zone", "zone-a"},
      {"Region", "region-a"},
      {"Zones.zone-a", "region-a"},
      {"InternalPorts", "7700,7715"},
      {"Bootstrap", "false"},
      {"Limits.CpuShare", "0.17"},
      {"Limits.Cores", "1"},
      {"Limits.MemoryMb", "182"},
      {"Limits.FileDescriptors", "2870"},
      {"Limits.LinkMbps", "700.0"},
      {"Limits.DiskMb", "0"},
      {"Discovery", "platform"},
      {"Entry", "vip"},
      {"HeartbeatMs", "1200"},
      {"Bounds.ContactMs", "3000"},
      {"Bounds.AckMs", "4000"},
      {"Bounds.CatchUpS", "4"},
      {"Bounds.DrainMs", "2000"},
      {"Bounds.GraceS", "8"},
      {"Bounds.LossSlackMs", "200"},
      {"Bounds.ConfigApplyMs", "2000"},
      {"Bounds.RollbackSlackMs", "250"},
      {"Bounds.OuterMs", "5000"},
      {"Bounds.FailClosed", "true"},
      {"Bounds.RevokeMs", "5000"},
      {"Bounds.RetryBudgetRatio", "0.2"},
      {"Bounds.BudgetWindowS", "10"},
      {"Bounds.RetryBudgetExtra", "234"},
      {"Bounds.ColdOverage", "1.5"},
      {"Bounds.ColdSlack", "5"},
      {"Bounds.EvacuationMs", "5000"},
      {"Bounds.RecoverS", "12"},
      {"Bounds.PassMs", "120"},
      {"Bounds.version_ms", "8000"},
      {"Platform.form", "kv"},
      {"Platform.WritesPerS", "400"},
      {"Platform.ReadsPerS", "2000"},
      {"Platform.HistoryS", "20"},
      {"Platform.ValueBytes", "1048576"},
      {"Platform.TtlMinMs", "1000"},
  };
  for (const auto& [name, value] : more)
    lines[name] = value;
  std::string text;
  for (const auto& [name, value] : lines)
    text += name + "=" + value + "\n";
  return text;
}

/// Process that is ended with this one.
class process {
 public:
  process(std::string name, std::string role, std::string directory)
      : name_(std::move(name)),
        role_(std::move(role)),
        directory_(std::move(directory)) {}
  ~process() { Kill(); }
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Start(const std::string& settings) {
    const std::string path = directory_ + "/" + name_ + ".conf";
    std::ofstream(path) << settings;
    pid_ = fork();
    if (pid_ != 0)
      return;
    const int log = open((directory_ + "/" + name_ + ".log").c_str(),
                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("FUCHSIAFALL_CONFIG", path.c_str(), 1);
    execl("target/fuchsiafall", "target/fuchsiafall", role_.c_str(), nullptr);
    _exit(127);
  }
  void Signal(int signal) {
    if (pid_ > 0)
      kill(pid_, signal);
  }
  /// @return Whether it has ended; its status is kept.
  bool HasEnded() {
    if (pid_ <= 0)
      return true;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return false;
    pid_ = -1;
    return true;
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status, 0);
    pid_ = -1;
  }
  pid_t Id() const { return pid_; }
  const std::string& Name() const { return name_; }
  int status = 0;

 private:
  std::string name_;
  std::string role_;
  std::string directory_;
  pid_t pid_ = -1;
};

/// Folder for settings and logs, which is removed at the end.
class scratch {
 public:
  scratch() {
    char path[] = "/tmp/review-2-XXXXXX";
    path_ = mkdtemp(path);
  }
  ~scratch() { Remove(); }
  void Remove() {
    if (std::getenv("KEEP") == nullptr)
      (void)!system(("rm -rf " + path_).c_str());
  }
  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

/// Ends the started processes and this one. The threads of the stand-ins still
/// run, so that nothing that they use is destroyed.
[[noreturn]] inline void Finish(
    int status,
    const std::vector<std::unique_ptr<process>>& processes,
    scratch* folder) {
  for (const auto& each : processes)
    each->Kill();
  folder->Remove();
  std::cout.flush();
  _exit(status);
}

/// A network of loopback addresses, apart from those of other runs.
inline std::string Network() {
  const int id = static_cast<int>(getpid());
  return "127." + std::to_string(60 + id % 180) + "." +
         std::to_string(1 + id / 180 % 250) + ".";
}

/// Waits until an entry reports that it is ready.
inline bool WaitReady(const std::string& ip, int port, int64_t timeout_ms) {
  const int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    if (Call(ip, port, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1000)
            .head.Status() == 200)
      return true;
    SleepMs(20);
  }
  return false;
}

}  // namespace review

#endif  // REVIEW_COMMON_2_FLEET_H_
