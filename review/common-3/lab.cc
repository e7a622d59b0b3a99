#include "lab.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

#include "standins/standin_func.h"

namespace lab {

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

record_file::record_file(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")), start_(BootNow()) {}

void record_file::Write(const std::string& line) {
  std::lock_guard lock(mutex_);
  const double at =
      std::chrono::duration<double>(BootNow() - start_).count();
  if (file_ != nullptr) {
    std::fprintf(file_, "%8.3f %s\n", at, line.c_str());
    std::fflush(file_);
  }
}

std::string Show(const std::string& bytes, size_t most) {
  std::string text;
  for (char c : bytes.substr(0, most)) {
    if (c == '\n')
      text += "\\n";
    else if (c == '\r')
      text += "\\r";
    else if (static_cast<unsigned char>(c) < 32 ||
             static_cast<unsigned char>(c) > 126)
      text += '.';
    else
      text += c;
  }
  if (bytes.size() > most)
    text += "... (" + std::to_string(bytes.size()) + " bytes)";
  return text;
}

// ---- Servers ----

void server_connection::Reset() {
  if (!tcp->IsOpen())
    return;
  socket.setLinger(true, 0);
  tcp->Close();
}

void server_connection::Answer(int status,
                               const std::string& headers,
                               const std::string& body) {
  Send("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

server::server(site* owner, int number, std::string service, bool is_model)
    : owner_(owner),
      id_("i-" + std::to_string(number)),
      address_(owner->ServerIp(number) + ":8001"),
      service_(std::move(service)),
      is_model_(is_model) {
  zone = "zone-" + std::to_string(number % 3);
  if (is_model_) {
    for (uint32_t i = 0; i < soak::kChunks; ++i)
      staged_[i] = soak::ChunkOf(1, i);
  }
  Listen();
}

void server::Listen() {
  listener_ = std::make_unique<tcp_listener>(
      &owner_->loop_, [this](time_point, const Poco::Net::StreamSocket& from) {
        Accept(from);
      });
  if (!listener_->Listen(address_))
    throw std::runtime_error("cannot listen on " + address_);
}

void server::Crash(milliseconds down) {
  if (is_down_)
    return;
  owner_->record_.Write("server " + id_ + " crashes");
  is_down_ = true;
  ++lifetime_;
  is_busy_ = false;
  active = 0;
  orders = 0;
  if (is_model_)
    version = 0;
  ResetAll();
  // Not within the hook of one of its connections.
  owner_->loop_.Post([this] { listener_.reset(); });
  owner_->RunAfter(down, [this] {
    is_down_ = false;
    ++born;
    Listen();
    Register();
    owner_->record_.Write("server " + id_ + " is back");
  });
}

std::string server::Layers() const {
  if (!is_model_)
    return "";
  const std::string named = "\"Version\":" + std::to_string(version) + "}";
  return std::string(",\"Stage\":\"combined\",\"Models\":[") +
         (version > 0 ? "{\"Name\":\"m0\"," + named : "") + "]" +
         (version > 0 ? ",\"layers\":{\"From\":0,\"To\":" +
                            std::to_string(soak::kLayers) + "," + named
                      : "");
}

void server::Register() {
  owner_->store_.Put(
      "servers/" + id_,
      "{\"Service\":\"" + service_ + "\",\"Address\":\"" + address_ +
          "\",\"Zone\":\"" + zone +
          "\",\"Version\":\"v1\",\"Slots\":16,\"State\":\"" + state +
          "\",\"ColdRemainingMs\":0,\"born\":" + std::to_string(born) +
          Layers() + extra_fields + "}");
}

void server::Remove() {
  owner_->store_.Remove("servers/" + id_);
}

void server::ResetAll() {
  for (const auto& one : std::exchange(connections_, {}))
    one->Reset();
}

void server::Accept(const Poco::Net::StreamSocket& from) {
  auto made = std::make_shared<server_connection>();
  made->socket = from;
  made->tcp = tcp_connection::Adopt(
      &owner_->loop_, from,
      {.user_timeout = milliseconds(60000), .max_unsent_bytes = 64U << 20});
  if (is_down_)
    return made->Reset();
  std::weak_ptr<server_connection> weak = made;
  made->tcp->SetHooks(
      {.on_bytes =
           [this, weak](time_point, std::string* input) {
             if (auto one = weak.lock()) {
               one->input += *input;
               input->clear();
               OnBytes(one);
             }
           },
       .on_closed =
           [this, weak](time_point, close_cause) {
             auto one = weak.lock();
             std::erase(connections_, one);
           }});
  connections_.push_back(made);
}

void server::OnBytes(const connection_ptr& from) {
  while (from->IsOpen()) {
    const size_t end = FindHeadEnd(from->input);
    if (end == std::string::npos)
      return;
    auto head = ParseRequestHead(std::string_view(from->input).substr(0, end));
    if (!head)
      return from->Reset();
    const size_t length = std::strtoul(
        head->get("Content-Length", "0").c_str(), nullptr, 10);
    if (from->input.size() < end + length)
      return;
    server_request request{.head = *head,
                           .body = from->input.substr(end, length)};
    from->input.erase(0, end + length);
    ++from->requests;
    OnRequest(from, request);
  }
}

void server::OnRequest(const connection_ptr& from,
                       const server_request& request) {
  const std::string target = request.head.getURI();
  if (is_model_ && target == "/report") {
    return from->Answer(
        200, "Content-Type: application/json\r\n",
        "{\"born\":" + std::to_string(born) + Layers() +
            ",\"Busy\":" + (is_busy_ ? "true" : "false") +
            ",\"Sequence\":" + std::to_string(orders) +
            ",\"QueuedRequests\":0,\"ActiveRequests\":" +
            std::to_string(active) +
            ",\"KvUsed\":0,\"KvTotal\":685000,\"Handles\":0,\"pace\":1.0}");
  }
  if (is_model_ && target.starts_with("/stage-")) {
    standins::query_map query;
    const std::string path = standins::SplitQuery(target, &query);
    const auto piece =
        static_cast<uint32_t>(standins::IntOf(query, "SampleCount", 0));
    if (path.starts_with("/stage-put/")) {
      staged_[piece] = request.body;
      return from->Answer(200, "", "");
    }
    return from->Answer(200, "", staged_[piece]);
  }
  if (is_model_ && target == "/order") {
    auto order = Poco::JSON::Parser()
                     .parse(request.body)
                     .extract<Poco::JSON::Object::Ptr>();
    if (is_busy_ || order->optValue("Precondition", orders) != orders)
      return from->Answer(409, "", "");
    ++orders;
    const bool is_unload = order->optValue("To", soak::kLayers) == 0;
    const uint64_t wanted =
        is_unload ? 0 : order->getValue<uint64_t>("Version");
    is_busy_ = true;
    owner_->RunAfter(milliseconds(300), [this, wanted, life = lifetime_] {
      if (life != lifetime_)
        return;
      version = wanted;
      is_busy_ = false;
      Register();
    });
    return from->Answer(202, "", "");
  }
  const std::string expected = request.Header("Expect-Instance");
  const std::string version_expected = request.Header("Expect-Version");
  const std::string id = request.Header("Request-Id");
  const bool is_other =
      (!expected.empty() && expected != id_) ||
      (is_model_ && !version_expected.empty() &&
       version_expected != std::to_string(version));
  if (is_other) {
    return from->Answer(421,
                        "Request-Id: " + id + "\r\nInstance-Id: " + id_ +
                            "\r\nNot-Executed: 1\r\n",
                        "");
  }
  if (is_model_ && (is_busy_ || version == 0)) {
    return from->Answer(
        503, "Request-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
  }
  owner_->record_.Write("server " + id_ + " gets " +
                        request.head.getMethod() + " " + target +
                        " id=" + id + " last=" +
                        request.Header("Last-Event-Id"));
  if (on_call)
    on_call(from, request);
}

// ---- Site ----

site::site(site_options options, const std::string& case_folder)
    : options_(std::move(options)),
      record_(case_folder + "/record.txt"),
      store_(&loop_),
      origin_(&loop_, &faults_) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  directory_ = pattern;
}

site::~site() {
  entries_.clear();
  agents_.clear();
  if (thread_.joinable()) {
    loop_.Stop();
    thread_.join();
  }
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(directory_);
  else
    std::fprintf(stderr, "logs in %s\n", directory_.c_str());
}

std::string site::EntryAddress(int i) const {
  return Ip("10." + std::to_string(10 + i)) + ":8005";
}

std::string site::EntryZone(int i) const {
  return "zone-" + std::to_string(options_.entry_zones.empty()
                                      ? i % 3
                                      : options_.entry_zones.at(i));
}

std::string site::ServerIp(int number) const {
  return Ip("20." + std::to_string(10 + number));
}

std::string site::WriteSettings(const std::string& name,
                                const std::string& ip,
                                const std::string& zone,
                                const std::string& lines) const {
  const std::string path = directory_ + "/" + name + ".conf";
  std::ofstream(path)
      << "Node=" << name << "\nIp=" << ip << "\nZone=" << zone
      << "\nRegion=region-" << zone.substr(5)
      << "\nZones.zone-0=region-0\nZones.zone-1=region-1\n"
         "Zones.zone-2=region-2\nInternalPorts=7700,7715\nBootstrap=true\n"
         "Limits.Cores=1\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\n"
         "Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.DrainMs=2000\n"
         "Bounds.GraceS=8\nBounds.LossSlackMs=200\n"
         "Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\n"
         "Bounds.OuterMs=5000\nBounds.FailClosed=true\n"
         "Bounds.RevokeMs=5000\nBounds.RetryBudgetRatio=0.2\n"
         "Bounds.BudgetWindowS=10\nBounds.RetryBudgetExtra=234\n"
         "Bounds.ColdOverage=1.5\nBounds.ColdSlack=5\n"
         "Bounds.EvacuationMs=5000\nBounds.RecoverS=12\nBounds.PassMs=120\n"
         "Bounds.version_ms=8000\nPlatform.form=kv\n"
         "Platform.WritesPerS=400\nPlatform.ReadsPerS=2000\n"
         "Platform.HistoryS=20\nPlatform.ValueBytes=1048576\n"
         "Platform.TtlMinMs=1000\n"
      << "Platform.Address=" << Ip("1.1") << ":8007\n"
      << lines;
  return path;
}

void site::WriteConfiguration() {
  std::ostringstream text;
  auto route = [&](const std::string& name, const std::string& host,
                   const std::string& prefix, const std::string& kind,
                   const std::string& service, int timeout, int target,
                   int attempts) {
    text << "{\"Name\":\"" << name << "\",\"Host\":\"" << host
         << "\",\"Prefix\":\"" << prefix << "\",\"Kind\":\"" << kind
         << "\",\"TimeoutMs\":" << timeout
         << ",\"TargetLatencyMs\":" << target
         << ",\"Priority\":1,\"Service\":\"" << service
         << "\",\"Attempts\":" << attempts
         << ",\"Anonymous\":false,\"Resumable\":"
         << (kind == "streaming" ? "true" : "false")
         << ",\"TargetGapMs\":300,\"AllowedRegions\":[]}";
  };
  text << "{\"Version\":" << ++version_ << ",\"Routes\":[";
  route("stream", "models.example", "/", "streaming", soak::kModelService,
        6000, 400, 2);
  text << ",";
  route("book", "desk.example", "/book/", "non_idempotent",
        soak::kPlainService, 1000, 150, 1);
  text << ",";
  route("read", "desk.example", "/read/", "idempotent", soak::kPlainService,
        1000, 150, 2);
  text << options_.routes << "],\"Services\":"
       << soak::ServicesOf(Ip("1.2") + ":8006")
       << ",\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
          "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[";
  for (size_t i = 0; i < keys.size(); ++i) {
    text << (i > 0 ? "," : "") << "{\"Name\":\"tenant-" << i
         << "\",\"ApiKeys\":[\"" << keys[i]
         << "\"],\"Priority\":1,\"AllowedRegions\":[]}";
  }
  text << "]}";
  store_.Put("op/config", text.str());
}

bool site::Start() {
  if (!store_.Listen(Ip("1.1") + ":8007") ||
      !origin_.Listen(Ip("1.2") + ":8006"))
    return false;
  WriteConfiguration();
  store_.Put("op/version/m0", "{\"Model\":\"m0\",\"Version\":1}");
  for (int i = 0; i < options_.model_servers; ++i) {
    models_.push_back(
        std::make_unique<server>(this, i, soak::kModelService, true));
    models_.back()->Register();
  }
  for (int i = 0; i < options_.plain_servers; ++i) {
    plains_.push_back(std::make_unique<server>(
        this, options_.model_servers + i, soak::kPlainService, false));
    plains_.back()->Register();
  }
  thread_ = std::thread([this] { loop_.Run(); });
  const std::string program =
      std::filesystem::current_path().string() + "/target/fuchsiafall";
  for (int i = 0; i < options_.entries; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    const std::string ip = Ip("10." + std::to_string(10 + i));
    const std::string path = WriteSettings(
        name, ip, EntryZone(i),
        "Limits.CpuShare=0.17\nLimits.MemoryMb=182\n"
        "Limits.FileDescriptors=2870\nLimits.LinkMbps=700.0\n"
        "Listen.Front=" +
            ip + ":8005\nListen.Ready=" + ip + ":8002\n");
    entries_.push_back(std::make_unique<harness::child_process>(
        std::vector<std::string>{program, "entry"},
        directory_ + "/" + name + ".log",
        std::vector<std::string>{"FUCHSIAFALL_CONFIG=" + path}));
    StartProcess(entries_.back().get());
  }
  for (int i = 0; i < options_.model_servers; ++i) {
    const std::string name = "agent-" + std::to_string(i);
    const std::string path = WriteSettings(
        name, ServerIp(i), models_[i]->zone,
        "Limits.CpuShare=0.3\nLimits.MemoryMb=128\n"
        "Limits.FileDescriptors=2048\nLimits.LinkMbps=7.3\napp=" +
            models_[i]->Address() + "\nService=" + soak::kModelService +
            "\n");
    agents_.push_back(std::make_unique<harness::child_process>(
        std::vector<std::string>{program, "agent"},
        directory_ + "/" + name + ".log",
        std::vector<std::string>{"FUCHSIAFALL_CONFIG=" + path}));
    StartProcess(agents_.back().get());
  }
  return harness::WaitUntil(
      [this] {
        for (int i = 0; i < options_.entries; ++i) {
          channel ready(Ip("10." + std::to_string(10 + i)) + ":8002");
          if (!ready.IsOpen() ||
              ready.Call("GET /readiness HTTP/1.1\r\nHost: e\r\n\r\n",
                         milliseconds(500))
                      .status != 200)
            return false;
        }
        return true;
      },
      seconds(15));
}

void site::StartProcess(harness::child_process* process) {
  for (int fd = 3; fd < 1024; ++fd) {
    const int flags = fcntl(fd, F_GETFD);
    if (flags >= 0)
      fcntl(fd, F_SETFD, flags | FD_CLOEXEC);
  }
  process->Start();
}

bool site::AllRunning() {
  for (const auto* group : {&entries_, &agents_}) {
    for (const auto& one : *group) {
      if (!one->IsRunning())
        return false;
    }
  }
  return true;
}

void site::InLoop(const std::function<void()>& act) {
  std::promise<void> done;
  loop_.Post([&] {
    act();
    done.set_value();
  });
  done.get_future().wait();
}

void site::RunAfter(milliseconds span, const std::function<void()>& act) {
  loop_.StartTimer(BootNow() + span, [act](time_point) { act(); });
}

// ---- Consumers ----

std::string answer::Header(const std::string& name) const {
  auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

channel::channel(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
      static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    Close();
}

channel::~channel() {
  Close();
}

void channel::Close() {
  if (fd_ >= 0)
    close(fd_);
  fd_ = -1;
}

answer channel::Call(const std::string& request, milliseconds timeout) {
  answer result;
  const auto start = std::chrono::steady_clock::now();
  const auto until = start + timeout;
  size_t sent = 0;
  body_reader body;
  body_framing framing = body_framing::kNone;
  while (fd_ >= 0) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        until - std::chrono::steady_clock::now());
    if (left.count() <= 0)
      break;
    pollfd wait{.fd = fd_, .events = POLLIN, .revents = 0};
    if (sent < request.size())
      wait.events |= POLLOUT;
    poll(&wait, 1, static_cast<int>(left.count()));
    if (sent < request.size() && (wait.revents & POLLOUT) != 0) {
      const ssize_t count = send(fd_, request.data() + sent,
                                 request.size() - sent,
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0)
        sent += static_cast<size_t>(count);
    }
    if ((wait.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      char buffer[65536];
      const ssize_t count = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
      if (count > 0)
        input_.append(buffer, static_cast<size_t>(count));
      else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
        result.was_closed = true;
        Close();
      }
    }
    if (!result.has_head) {
      const size_t end = FindHeadEnd(input_);
      if (end == std::string::npos)
        continue;
      auto head =
          ParseResponseHead(std::string_view(input_).substr(0, end));
      input_.erase(0, end);
      if (!head) {
        Close();
        break;
      }
      if (head->getStatus() / 100 == 1)
        continue;
      result.has_head = true;
      result.status = head->getStatus();
      for (const auto& [name, value] : *head) {
        std::string lower = name;
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        result.headers[lower] = value;
      }
      auto framed = FramingOf(*head, false);
      if (!framed) {
        Close();
        break;
      }
      framing = framed->first;
      body.Start(framed->first, framed->second);
    }
    const read_progress progress = body.Read(&input_, &result.body);
    if (progress == read_progress::kDone) {
      result.is_complete = true;
      break;
    }
    if (progress == read_progress::kMalformed) {
      Close();
      break;
    }
  }
  if (result.has_head && result.was_closed &&
      framing == body_framing::kUntilClose)
    result.is_complete = true;
  result.seconds = std::chrono::duration<double>(
                       std::chrono::steady_clock::now() - start)
                       .count();
  return result;
}

std::string StreamRequest(const std::string& id,
                          const std::string& target,
                          const std::string& key,
                          int deadline_ms,
                          const std::string& more) {
  const std::string body = "{\"prompt\":\"" + id + "\"}";
  return "POST " + target +
         " HTTP/1.1\r\nHost: models.example\r\nRequest-Id: " + id +
         "\r\nModel: m0\r\nToken-Counts: 147,80\r\n"
         "Prompt-Prefix: 5c1e07a2:40," +
         id + ":107\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer " + key +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more +
         "\r\n" + body;
}

std::string PlainRequest(const std::string& method,
                         const std::string& id,
                         const std::string& target,
                         const std::string& key,
                         int deadline_ms,
                         const std::string& body,
                         const std::string& more) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer " + key + "\r\n" +
         (method == "POST"
              ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
              : "") +
         more + "\r\n" + body;
}

}  // namespace lab
