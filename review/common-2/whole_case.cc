/// @file whole_case.cc A model server takes a load order late, one of its
/// staged pieces has rotted by then, and its agent is killed once and restarted
/// once.
#include "fleet.h"
#include "sha256.h"

using namespace review;

namespace {

constexpr int kServers = 2;
constexpr uint32_t kPieces = 96;
constexpr size_t kPieceBytes = 24576;
constexpr int kLayers = 16;
constexpr int64_t kWarmMs = 300;
constexpr int64_t kLateMs = 4400;      // From an order to its effect.
constexpr int64_t kLateSpanMs = 8000;  // How long orders are taken late.
constexpr uint32_t kRotten = 5;        // One of 96 pieces, at one of 2 servers.
constexpr int64_t kRotAfterMs = 100;   // After the order.
constexpr int64_t kKillAfterMs = 1200;
constexpr int64_t kRestartMs = 300;
constexpr int64_t kSecondRestartAfterMs = 10000;  // After the order.
constexpr int64_t kExcusedMs = 3000;  // Rot that a load need not have noticed.

std::string PieceOf(uint64_t version, uint32_t piece) {
  std::string bytes =
      "v" + std::to_string(version) + " p" + std::to_string(piece) + " ";
  uint64_t state = version * 1000 + piece + 1;
  while (bytes.size() < kPieceBytes) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    bytes += static_cast<char>(state >> 33);
  }
  return bytes;
}

std::string Query(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos)
    return "";
  const size_t from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

int64_t NumberIn(const std::string& json, const std::string& name) {
  const size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos)
    return -1;
  return std::atoll(json.c_str() + at + name.size() + 3);
}

/// Model server as in PROTOCOL.md.
class engine {
 public:
  engine(store* platform, record* events, std::string id, std::string ip)
      : platform_(platform),
        events_(events),
        id_(std::move(id)),
        ip_(std::move(ip)) {
    for (uint32_t i = 0; i < kPieces; ++i)
      staged_[i] = {PieceOf(1, i), 0};
  }

  bool Listen() {
    Register();
    return server_.Listen(ip_, 8001, [this](int fd, const http_message& q) {
      return OnRequest(fd, q);
    });
  }
  void Rot(uint32_t piece) {
    std::lock_guard lock(mutex_);
    staged_[piece].bytes[100] ^= 1;
    staged_[piece].rotten_since = NowMs();
    events_->Write(id_ + ": staged piece " + std::to_string(piece) + " rots");
  }
  uint64_t Version() {
    std::lock_guard lock(mutex_);
    return version_;
  }
  const std::string& Id() const { return id_; }
  /// Called with the time at which a load order for a version arrives.
  std::function<void(engine*, uint64_t version)> on_load_order;
  std::atomic<int64_t> late_until{0};
  std::atomic<int> spoilt_runs{0};
  std::atomic<int> runs{0};

 private:
  struct piece {
    std::string bytes;
    int64_t rotten_since = 0;
  };

  std::string LayerFields() const {
    std::string text = R"("Stage":"combined","Models":[)";
    if (version_ > 0) {
      const std::string v = std::to_string(version_);
      text += R"({"Name":"m0","Version":)" + v +
              R"(,"Adapters":[]}],"layers":{"From":0,"To":16,"Version":)" + v +
              "}";
    } else {
      text += "]";
    }
    return text + R"(,"born":1790000000000)";
  }
  void Register() {
    platform_->Put("servers/" + id_,
                   R"({"Service":"llm","Address":")" + ip_ +
                       R"(:8001","Zone":"zone-a","Version":"v1","Slots":16,)"
                       R"("State":"ready","ColdRemainingMs":0,"Sequence":)" +
                       std::to_string(sequence_) + "," + LayerFields() + "}");
  }

  bool OnRequest(int fd, const http_message& request) {
    const std::string target = request.Target();
    if (target == "/report") {
      std::lock_guard lock(mutex_);
      return SendAll(
          fd, Answer(200, "{" + LayerFields() + R"(,"Busy":)" +
                              (is_busy_ ? "true" : "false") +
                              R"(,"Sequence":)" + std::to_string(sequence_) +
                              R"(,"QueuedRequests":0,"ActiveRequests":0,)"
                              R"("KvUsed":0,"KvTotal":685000,"pace":1.0})"));
    }
    if (target.starts_with("/stage-")) {
      const auto index =
          static_cast<uint32_t>(std::stoul(Query(target, "SampleCount")));
      std::lock_guard lock(mutex_);
      if (target.starts_with("/stage-get/"))
        return SendAll(fd, Answer(200, staged_[index].bytes));
      staged_[index] = {request.body, 0};
      ++writes_;
      if (is_busy_ || writes_ % 32 == 0 || late_until > 0)
        events_->Write(id_ + ": piece " + std::to_string(index) + " is staged" +
                       (is_busy_ ? " while it loads" : ""));
      return SendAll(fd, Answer(200, ""));
    }
    if (target == "/order")
      return SendAll(fd, Answer(OnOrder(request.body), "{}"));
    return OnCall(fd, request);
  }

  int OnOrder(const std::string& body) {
    const auto version = static_cast<uint64_t>(NumberIn(body, "Version"));
    const bool is_unload = NumberIn(body, "To") == 0;
    if (!is_unload && on_load_order)
      on_load_order(this, version);
    const int64_t arrived_at = NowMs();
    if (arrived_at < late_until)
      SleepMs(kLateMs);
    std::lock_guard lock(mutex_);
    const std::string what = id_ + ": order to " +
                             (is_unload ? "unload" : "load") + " version " +
                             std::to_string(version) + " of " +
                             std::to_string(NowMs() - arrived_at) + " ms ago ";
    if (is_busy_ ||
        NumberIn(body, "Precondition") != static_cast<int64_t>(sequence_)) {
      events_->Write(what + "is refused");
      return 409;
    }
    if (!is_unload && version == version_)
      return 200;
    ++sequence_;
    is_busy_ = true;
    std::string fault;
    for (uint32_t i = 0; i < kPieces && !is_unload; ++i) {
      const piece& taken = staged_[i];
      const int64_t rotten =
          taken.rotten_since > 0 ? NowMs() - taken.rotten_since : 0;
      if (taken.rotten_since > 0 ? rotten > kExcusedMs
                                 : taken.bytes != PieceOf(version, i)) {
        fault = "piece " + std::to_string(i) + " spoilt for " +
                std::to_string(rotten) + " ms";
      }
    }
    events_->Write(what + "is accepted" +
                   (fault.empty() ? "" : ", taken with " + fault));
    std::thread([this, version, is_unload, fault] {
      SleepMs(kWarmMs);
      std::lock_guard inner(mutex_);
      version_ = is_unload ? 0 : version;
      fault_ = fault;
      is_busy_ = false;
      events_->Write(id_ + ": holds version " + std::to_string(version_));
      Register();
    }).detach();
    return 202;
  }

  bool OnCall(int fd, const http_message& request) {
    const std::string name = request.Get("request-id");
    const std::string echo = "Request-Id: " + name + "\r\n";
    std::string fault;
    uint64_t version = 0;
    {
      std::lock_guard lock(mutex_);
      const std::string expected = request.Get("expect-version");
      if (request.Get("expect-instance") != id_ ||
          (!expected.empty() && expected != std::to_string(version_)))
        return SendAll(fd, Answer(421, "", echo + "Not-Executed: 1\r\n"));
      if (is_busy_ || version_ == 0)
        return SendAll(fd, Answer(503, "", echo + "Not-Executed: 1\r\n"));
      fault = fault_;
      version = version_;
      ++runs;
      spoilt_runs += fault.empty() ? 0 : 1;
      events_->Write((fault.empty() ? "" : "BROKEN: ") + id_ + " runs " + name +
                     " on version " + std::to_string(version) +
                     (fault.empty() ? "" : ", taken with " + fault));
    }
    std::string stream;
    for (int k = 1; k <= 3; ++k)
      stream += "id: " + std::to_string(k) + "\ndata: x\n\n";
    return SendAll(fd, Answer(200, stream,
                              echo + "Response-Seal: 1.2\r\nWeight-Versions: " +
                                  std::to_string(version) +
                                  "\r\nContent-Type: text/event-stream\r\n"));
  }

  store* platform_;
  record* events_;
  std::string id_;
  std::string ip_;
  http_server server_;
  std::mutex mutex_;
  std::map<uint32_t, piece> staged_;
  uint64_t version_ = 1;
  uint64_t sequence_ = 0;
  uint64_t writes_ = 0;
  bool is_busy_ = false;
  std::string fault_;  ///< Of the layers that it holds.
};

std::string Configuration(const std::string& origin) {
  return R"({"Version":1,"Routes":[{"Name":"summary","Host":"llm.example",)"
         R"("Prefix":"/summary/","Service":"llm","Kind":"streaming",)"
         R"("Attempts":2,"TimeoutMs":6000,"TargetLatencyMs":400,)"
         R"("TargetGapMs":300,"Priority":1,"Anonymous":false,)"
         R"("Resumable":true,"AllowedRegions":[]}],"Services":[)"
         R"({"Name":"llm","ColdStartS":0,"ColdPerS":36,"Engine":{"Slots":16,)"
         R"("Stride":6,"Models":[{"Name":"m0","WarmS":0.3}],"step_ms":7.4,)"
         R"("per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,)"
         R"("pairs_per_m":0.7,"usual":{"prompt":900,"answer":100},)"
         R"("layers":16,"Chunks":96,"ChunkBytes":24576}},)"
         R"({"Name":"weights","Origin":")" +
         origin +
         R"("}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]})";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2)
    return kCouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  record events(std::string(argv[1]) + "/record.txt");
  scratch folder;
  const std::string net = Network();
  const bool has_trouble = HasTrouble();
  store platform(&events);
  store_link links[kServers + 1];

  // The origin of weights.
  http_server origin;
  std::map<uint64_t, std::string> manifests;
  for (uint64_t version = 1; version <= 3; ++version) {
    std::string text = R"({"Model":"m0","Version":)" + std::to_string(version) +
                       R"(,"ChunkBytes":24576,"layers":16,"Digests":[)";
    for (uint32_t i = 0; i < kPieces; ++i)
      text += (i > 0 ? ",\"" : "\"") + Sha256Hex(PieceOf(version, i)) + "\"";
    manifests[version] = text + "]}";
  }
  if (!origin.Listen(net + "5", 8006, [&](int fd, const http_message& q) {
        const std::string target = q.Target();
        const auto version =
            static_cast<uint64_t>(std::atoll(Query(target, "Version").c_str()));
        if (!manifests.contains(version))
          return SendAll(fd, Answer(404, ""));
        if (target.starts_with("/manifest/"))
          return SendAll(fd, Answer(200, manifests[version]));
        return SendAll(
            fd,
            Answer(200, PieceOf(version, static_cast<uint32_t>(std::stoul(
                                             Query(target, "SampleCount"))))));
      }))
    return kCouldNotRun;

  std::vector<std::unique_ptr<engine>> engines;
  std::atomic<int> victim{-1};
  std::atomic<int64_t> ordered_at{0};
  for (int i = 0; i < kServers; ++i) {
    engines.push_back(std::make_unique<engine>(&platform, &events,
                                               "i-" + std::to_string(1000 + i),
                                               net + std::to_string(100 + i)));
    engines.back()->on_load_order = [&, i](engine* at, uint64_t version) {
      int none = -1;
      if (version != 3 || !victim.compare_exchange_strong(none, i))
        return;
      ordered_at = NowMs();
      events.Write(at->Id() + ": the first order to load version 3 arrives");
      if (has_trouble)
        at->late_until = NowMs() + kLateSpanMs;
    };
    if (!engines.back()->Listen())
      return kCouldNotRun;
  }
  platform.Put("op/version/m0", R"({"Model":"m0","Version":1})");
  platform.Put("op/config", Configuration(net + "5:8006"));

  std::vector<std::unique_ptr<process>> processes;
  std::vector<std::string> settings;
  const std::string entry_ip = net + "10";
  for (int i = 0; i <= kServers; ++i) {
    const bool is_entry = i == kServers;
    const std::string ip = is_entry ? entry_ip : net + std::to_string(100 + i);
    links[i].name = is_entry ? "front-1" : "side-" + std::to_string(i + 1);
    const std::string store_ip = net + std::to_string(20 + i);
    if (!platform.Listen(store_ip, 8007, &links[i]))
      return kCouldNotRun;
    std::map<std::string, std::string> lines = {
        {"Node", links[i].name},
        {"Ip", ip},
        {"Platform.Address", store_ip + ":8007"}};
    if (is_entry) {
      lines["Listen.Front"] = ip + ":8005";
      lines["Listen.Ready"] = ip + ":8002";
    } else {
      lines["MachineClass"] = "side";
      lines["Limits.LinkMbps"] = "7.3";
      lines["Limits.MemoryMb"] = "128";
      lines["app"] = ip + ":8001";
      lines["Service"] = "llm";
    }
    settings.push_back(SettingsOf(lines));
    processes.push_back(std::make_unique<process>(
        links[i].name, is_entry ? "entry" : "agent", folder.Path()));
    processes.back()->Start(settings.back());
  }
  if (!WaitReady(entry_ip, 8002, 10000))
    return kCouldNotRun;

  std::atomic<bool> is_over{false};
  std::atomic<int> served{0};
  std::thread client([&] {
    for (int next = 1; !is_over; ++next) {
      const std::string id = "q" + std::to_string(next);
      const answer got = Call(
          entry_ip, 8005,
          "POST /summary/1 HTTP/1.1\r\nHost: llm.example\r\nRequest-Id: " + id +
              "\r\nDeadline-Ms: 6000\r\nModel: m0\r\nToken-Counts: 900,100\r\n"
              "Prompt-Prefix: 5c1e07a2:40,91bd3f06:860\r\n"
              "Content-Length: 4\r\n\r\nbody",
          6500);
      served += got.head.Status() == 200 ? 1 : 0;
      events.Write("client: " + id + " gets " +
                   std::to_string(got.head.Status()));
      SleepMs(50);
    }
  });
  const auto end = [&](int status) {
    is_over = true;
    client.join();
    return status;
  };
  const auto all_hold = [&](uint64_t version, int64_t timeout_ms) {
    const int64_t until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      if (std::all_of(engines.begin(), engines.end(), [&](const auto& each) {
            return each->Version() == version;
          }))
        return true;
      SleepMs(20);
    }
    return false;
  };
  SleepMs(3000);
  events.Write("operator: version 2 of the weights");
  platform.Put("op/version/m0", R"({"Model":"m0","Version":2})");
  if (!all_hold(2, 12000))
    return end(kCouldNotRun);
  SleepMs(3000);
  events.Write("operator: version 3 of the weights");
  platform.Put("op/version/m0", R"({"Model":"m0","Version":3})");
  const int64_t named_at = NowMs();
  while (victim < 0 && NowMs() < named_at + 12000)
    SleepMs(5);
  if (victim < 0)
    return end(kCouldNotRun);
  const auto which = static_cast<size_t>(victim.load());
  const int64_t start = ordered_at;
  if (has_trouble) {
    SleepUntil(start + kRotAfterMs);
    engines[which]->Rot(kRotten);
    SleepUntil(start + kKillAfterMs);
    events.Write(links[which].name + " is killed");
    processes[which]->Kill();
    SleepMs(kRestartMs);
    processes[which]->Start(settings[which]);
    events.Write(links[which].name + " starts again");
  }
  SleepUntil(start + kSecondRestartAfterMs);
  events.Write("operator: SIGTERM to " + links[which].name);
  processes[which]->Signal(SIGTERM);
  const int64_t term_at = NowMs();
  while (!processes[which]->HasEnded() && NowMs() < term_at + 8000)
    SleepMs(10);
  processes[which]->Kill();
  SleepMs(kRestartMs);
  processes[which]->Start(settings[which]);
  events.Write(links[which].name + " starts again");
  SleepMs(12000);
  int spoilt = 0;
  for (const auto& each : engines)
    spoilt += each->spoilt_runs;
  std::ostringstream text;
  text << spoilt << " requests ran on layers with a spoilt piece, " << served
       << " were served";
  events.Write(text.str());
  std::cout << text.str() << "\n";
  Finish(end(spoilt > 0   ? kBroken
             : served > 0 ? kHeld
                          : kCouldNotRun),
         processes, &folder);
}
