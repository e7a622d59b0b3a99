/// @file soak_site.cc Processes of the soak with the site around them.
#include "tests/soak/soak_site.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace fuchsiafall::soak {

namespace {

constexpr size_t kDomains = 3;
constexpr size_t kPlainServers = 3;
constexpr char kStoreReal[] = "127.33.0.1:8107";
constexpr char kOriginReal[] = "127.33.0.2:8106";
constexpr char kOriginShown[] = "127.33.0.2:8006";
constexpr uint64_t kMostRoutes = 30;   // Probe routes of a long run.
constexpr milliseconds kRestart{300};  // Between an end and the next start.
constexpr seconds kGrace{8};
constexpr seconds kGraceSlack{2};
constexpr seconds kWarmUp{4};  // From the start to the first fault.
constexpr double kLeastServed = 0.9;
constexpr milliseconds kKeepStep{100};

std::string DomainOf(size_t i) {
  return "zone-" + std::to_string(i % kDomains);
}

std::string StoreShown(size_t domain) {
  return "127.33.1." + std::to_string(10 + domain) + ":8007";
}

std::string EntryIp(size_t i) {
  return "127.30." + std::to_string(i % kDomains) + "." +
         std::to_string(10 + i);
}

std::string ServerIp(size_t i) {
  return "127.31." + std::to_string(i % kDomains) + "." +
         std::to_string(10 + i);
}

}  // namespace

soak_site::soak_site(event_loop* loop, soak_options options)
    : loop_(loop),
      options_(std::move(options)),
      random_(options_.seed),
      store_(loop, options_.seed),
      origin_(loop, &faults_),
      control_pool_(loop, {}) {}

outcome<done> soak_site::Start() {
  std::filesystem::remove_all(options_.folder);
  std::filesystem::create_directories(options_.folder);
  for (int i = 0; i < 6; ++i)
    keys_.push_back("key" + std::to_string(i));
  const size_t agents = options_.processes / 2;
  const size_t entries = options_.processes - agents;
  for (const auto& [listener, address] :
       {std::pair<std::function<outcome<done>(const std::string&)>,
                  std::string>(
            [this](const std::string& at) { return store_.Listen(at); },
            kStoreReal),
        {[this](const std::string& at) { return origin_.Listen(at); },
         kOriginReal}}) {
    auto listening = listener(address);
    if (!listening)
      return listening;
  }
  for (size_t d = 0; d < kDomains; ++d) {
    links_.push_back("store-" + std::to_string(d) + "=" + StoreShown(d) + ">" +
                     kStoreReal);
  }
  links_.push_back(std::string("origin=") + kOriginShown + ">" + kOriginReal);
  WriteConfiguration();
  store_.Put(std::string("op/version/") + kModel,
             R"({"Model":"m0","Version":1})");
  for (size_t i = 0; i < agents + kPlainServers; ++i) {
    const bool is_model = i < agents;
    servers_.push_back(std::make_unique<server_standin>(
        loop_, &store_, &book_, &faults_, DomainOf(i), is_model));
    const std::string shown = ServerIp(i) + ":8001";
    auto listening = servers_.back()->Listen(ServerIp(i) + ":8101", shown);
    if (!listening)
      return listening;
    links_.push_back("server-" + std::to_string(i) + "=" + shown + ">" +
                     ServerIp(i) + ":8101");
  }
  auto proxied = StartProxy();
  if (!proxied)
    return proxied;
  for (size_t i = 0; i < entries; ++i) {
    entries_.push_back({.address = EntryIp(i) + ":8005"});
    processes_.push_back(
        {.name = "entry-" + std::to_string(i), .is_entry = true, .place = i});
  }
  for (size_t i = 0; i < agents; ++i)
    processes_.push_back({.name = "agent-" + std::to_string(i), .place = i});
  for (soak_process& item : processes_)
    StartProcess(&item);
  callers_ = std::make_unique<soak_callers>(
      loop_, &book_, &entries_,
      caller_options{.rate = options_.rate, .seed = options_.seed});
  callers_->keys = keys_;
  callers_->probe_routes = configuration_;
  return done{};
}

outcome<done> soak_site::StartProxy() {
  std::vector<std::string> arguments{
      harness::ProgramFolder() + "/fuchsiafall-standins", "proxy", "--control",
      kProxyControl};
  for (const std::string& link : links_)
    arguments.insert(arguments.end(), {"--link", link});
  proxy_ = std::make_unique<harness::child_process>(
      arguments, options_.folder + "/proxy.log");
  proxy_->Start();
  const bool is_ready = harness::WaitUntil(
      [this] {
        std::ifstream log(options_.folder + "/proxy.log");
        std::string word;
        return static_cast<bool>(log >> word) && word == "ready";
      },
      seconds(10));
  if (!is_ready)
    return failure{"the proxy did not start"};
  return done{};
}

std::string soak_site::WriteSettings(const soak_process& item) const {
  std::string path = options_.folder + "/" + item.name + ".conf";
  const std::string ip =
      item.is_entry ? EntryIp(item.place) : ServerIp(item.place);
  std::ofstream file(path);
  file << "Node=" << item.name << "\nIp=" << ip
       << "\nZone=" << DomainOf(item.place) << "\nRegion=region-"
       << item.place % kDomains
       << "\nInternalPorts=7700,7715\nLimits.LinkMbps=100\n"
       << "Platform.Address=" << StoreShown(item.place % kDomains) << "\n"
       << "Bounds.RetryBudgetExtra=200\n";
  for (size_t d = 0; d < kDomains; ++d)
    file << "Zones." << DomainOf(d) << "=region-" << d << "\n";
  if (item.is_entry) {
    file << "Listen.Front=" << ip << ":8005\nListen.Ready=" << ip << ":8002\n";
  } else {
    file << "app=" << ip << ":8001\nService=" << kModelService << "\n";
  }
  return path;
}

void soak_site::StartProcess(soak_process* item) {
  const std::string settings = WriteSettings(*item);
  item->process = std::make_unique<harness::child_process>(
      std::vector<std::string>{harness::ProgramFolder() + "/fuchsiafall",
                               item->is_entry ? "entry" : "agent"},
      options_.folder + "/" + item->name + ".log",
      std::vector<std::string>{"FUCHSIAFALL_CONFIG=" + settings});
  item->process->Start();
  item->was_killed = item->is_stopping = item->is_frozen = false;
  item->restart_at = {};
  if (item->is_entry) {
    ++entries_[item->place].life;
    entries_[item->place].newest_route = 0;
  }
  ++book_.counts["starts"];
}

void soak_site::WriteConfiguration() {
  configuration_ = std::min(configuration_ + 1, kMostRoutes);
  std::ostringstream text;
  auto route = [&](const std::string& name, const std::string& host,
                   const std::string& prefix, const std::string& kind,
                   const std::string& service, int timeout, int attempts) {
    text << R"({"Name":")" << name << R"(","Host":")" << host
         << R"(","Prefix":")" << prefix << R"(","Kind":")" << kind
         << R"(","TimeoutMs":)" << timeout
         << R"(,"TargetLatencyMs":400,"Priority":1,"Service":")" << service
         << R"(","Attempts":)" << attempts
         << R"(,"Anonymous":false,"Resumable":)"
         << (kind == "streaming" ? "true" : "false")
         << R"(,"TargetGapMs":300,"AllowedRegions":[]})";
  };
  text << R"({"Version":)" << ++configuration_version_ << R"(,"Routes":[)";
  route("stream", "models.example", "/", "streaming", kModelService, 6000, 2);
  text << ",";
  route("book", "desk.example", "/book/", "non_idempotent", kPlainService, 1000,
        2);
  text << ",";
  route("read", "desk.example", "/read/", "idempotent", kPlainService, 1000, 2);
  for (uint64_t i = 1; i <= configuration_; ++i) {
    text << ",";
    route("probe" + std::to_string(i), "probe.example",
          "/v" + std::to_string(i) + "/", "idempotent", kPlainService, 1000, 2);
  }
  text << R"(],"Services":[{"Name":")" << kModelService
       << R"(","ColdStartS":0,"ColdPerS":0,"Engine":{"Slots":8,"Stride":1,)"
       << R"("Models":[{"Name":"m0","WarmS":0.1}],"step_ms":18,)"
       << R"("per_seq_ms":0.1,"context_per_k":0,"read_per_s":100000,)"
       << R"("pairs_per_m":0,"usual":{"prompt":900,"answer":15},"layers":4,)"
       << R"("Chunks":)" << kPieces << R"(,"ChunkBytes":)" << kPieceBytes
       << R"(}},{"Name":")" << kPlainService << R"("},{"Name":")"
       << kOriginService << R"(","Origin":")" << kOriginShown
       << R"("}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,)"
       << R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[)";
  for (size_t i = 0; i < keys_.size(); ++i) {
    text << (i > 0 ? "," : "") << R"({"Name":"tenant)" << i
         << R"(","ApiKeys":[")" << keys_[i] << R"("]})";
  }
  text << "]}";
  store_.Put("op/config", text.str());
  if (callers_ != nullptr)
    callers_->probe_routes = configuration_;
}

void soak_site::KeepRunning(time_point now) {
  for (soak_process& item : processes_) {
    if (item.process->IsRunning()) {
      if (item.is_stopping && !item.is_frozen &&
          now - item.stopping_since > kGrace + kGraceSlack) {
        book_.Break("did not stop", item.name);
        item.process->Kill();
      }
      continue;
    }
    if (item.restart_at == time_point{}) {
      const auto code = item.process->Wait(milliseconds(0));
      const bool is_wonder =
          !item.was_killed && !(item.is_stopping && code == 0);
      if (is_wonder) {
        book_.Break("ended by itself",
                    item.name + " code " + std::to_string(code.value_or(-1)));
      }
      item.restart_at = now + kRestart;
    }
    if (!is_ending_ && now >= item.restart_at)
      StartProcess(&item);
  }
  if (is_ending_) {
    const bool all_ended = std::all_of(
        processes_.begin(), processes_.end(),
        [](const soak_process& item) { return !item.process->IsRunning(); });
    if (all_ended) {
      proxy_->Signal(SIGTERM);
      on_done_();
      return;
    }
  }
  loop_->StartTimer(now + kKeepStep,
                    [this](time_point at) { KeepRunning(at); });
}

void soak_site::Play(time_point now, std::function<void()> on_done) {
  on_done_ = std::move(on_done);
  ends_at_ = now + kWarmUp + options_.span;
  KeepRunning(now);
  loop_->StartTimer(now + kWarmUp / 2,
                    [this](time_point at) { callers_->Start(at); });
  loop_->StartTimer(now + kWarmUp, [this](time_point at) { Inject(at); });
}

void soak_site::Finish(time_point now) {
  const uint64_t sent = book_.counts["sent"] - sent_before_;
  const uint64_t answered = book_.counts["status 200"] - answered_before_;
  if (static_cast<double>(answered) <
      kLeastServed * static_cast<double>(sent)) {
    book_.Break("calm service", std::to_string(answered) + " of " +
                                    std::to_string(sent) +
                                    " answered at the end");
  }
  for (const auto& server : servers_) {
    if (server->Held() != weights_ && server->Held() != 0)
      book_.Break("old weights", server->Id());
  }
  callers_->Stop();
  is_ending_ = true;
  for (soak_process& item : processes_) {
    item.is_stopping = true;
    item.stopping_since = now;
    item.process->Signal(SIGTERM);
  }
}

bool soak_site::Report() const {
  for (const auto& [name, count] : book_.counts)
    std::cout << "  " << name << ": " << count << "\n";
  std::cout << "  store calls: " << store_.calls
            << "\n  origin bytes: " << origin_.sent_bytes << "\n";
  for (const std::string& line : book_.broken)
    std::cout << "BROKEN " << line << "\n";
  std::cout << "seed " << options_.seed << ": "
            << (book_.broken.empty() ? "kept" : "BROKEN") << std::endl;
  return book_.broken.empty();
}

}  // namespace fuchsiafall::soak
