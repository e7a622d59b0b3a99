/// @file soak_site.cc Processes of the soak test, and the simulated site around
/// them.
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
constexpr uint32_t kEntryNet = 30;
constexpr uint32_t kServerNet = 31;
constexpr uint32_t kPlatformNet = 33;
constexpr char kStoreAddress[] = ".0.1:8107";
constexpr char kOriginAddress[] = ".0.2:8106";
constexpr char kOriginProxyAddress[] = ".0.2:8006";
constexpr char kProxyControlAddress[] = ".0.3:8100";
constexpr uint64_t kMaxProbeRoutes = 300;   // Reached in a long run.
constexpr milliseconds kRestartDelay{300};  // From an end to the next start.
constexpr seconds kStopTimeout{8};  // From SIGTERM to the end of a process.
constexpr seconds kStopTimeoutMargin{2};
constexpr seconds kWarmUp{4};              // From the start to the first fault.
constexpr double kMinAnsweredShare = 0.9;  // In the final window.
constexpr milliseconds kSuperviseInterval{100};
constexpr milliseconds kCallsWhileEnding{2000};

std::string DomainOf(size_t i) {
  return "zone-" + std::to_string(i % kDomains);
}

}  // namespace

std::string soak_site::ProxyControl() const {
  return options_.Address(kPlatformNet, kProxyControlAddress);
}

std::string soak_site::StoreProxyAddress(size_t domain) const {
  return options_.Address(kPlatformNet,
                          ".1." + std::to_string(10 + domain) + ":8007");
}

std::string soak_site::EntryIp(size_t i) const {
  return options_.Address(kEntryNet, "." + std::to_string(i % kDomains) + "." +
                                         std::to_string(10 + i));
}

std::string soak_site::ServerIp(size_t i) const {
  return options_.Address(kServerNet, "." + std::to_string(i % kDomains) + "." +
                                          std::to_string(10 + i));
}

soak_site::soak_site(event_loop* loop, soak_options options)
    : loop_(loop),
      options_(std::move(options)),
      random_(options_.seed),
      planned_random_(options_.seed + 1),
      held_random_(options_.seed + 2),
      store_(loop, options_.seed),
      origin_(loop, &faults_),
      control_pool_(loop, {}) {}

outcome<done> soak_site::Start() {
  std::filesystem::remove_all(options_.directory);
  std::filesystem::create_directories(options_.directory);
  for (int i = 0; i < 6; ++i)
    keys_.push_back("key" + std::to_string(i));
  const size_t agents = options_.processes / 2;
  const size_t entries = options_.processes - agents;
  for (const auto& [listener, address] :
       {std::pair<std::function<outcome<done>(const std::string&)>,
                  std::string>(
            [this](const std::string& at) { return store_.Listen(at); },
            options_.Address(kPlatformNet, kStoreAddress)),
        {[this](const std::string& at) { return origin_.Listen(at); },
         options_.Address(kPlatformNet, kOriginAddress)}}) {
    auto listening = listener(address);
    if (!listening)
      return listening;
  }
  for (size_t d = 0; d < kDomains; ++d) {
    links_.push_back("store-" + std::to_string(d) + "=" + StoreProxyAddress(d) +
                     ">" + options_.Address(kPlatformNet, kStoreAddress));
  }
  links_.push_back(std::string("origin=") +
                   options_.Address(kPlatformNet, kOriginProxyAddress) + ">" +
                   options_.Address(kPlatformNet, kOriginAddress));
  WriteConfiguration();
  store_.Put(std::string("op/version/") + kModel,
             R"({"Model":"m0","Version":1})");
  for (size_t i = 0; i < agents + kPlainServers; ++i) {
    const bool is_model = i < agents;
    servers_.push_back(std::make_unique<server_standin>(
        loop_, &store_, &record_, &faults_, DomainOf(i), is_model));
    server_standin* server = servers_.back().get();
    server->on_order_held = [this, server] { RotInSeries(server); };
    const std::string proxy_address = ServerIp(i) + ":8001";
    auto listening = server->Listen(ServerIp(i) + ":8101", proxy_address);
    if (!listening)
      return listening;
    links_.push_back("server-" + std::to_string(i) + "=" + proxy_address + ">" +
                     ServerIp(i) + ":8101");
  }
  auto proxied = StartProxy();
  if (!proxied)
    return proxied;
  for (size_t i = 0; i < entries; ++i) {
    entries_.push_back({.address = EntryIp(i) + ":8005"});
    processes_.push_back(
        {.name = "entry-" + std::to_string(i), .is_entry = true, .index = i});
  }
  for (size_t i = 0; i < agents; ++i)
    processes_.push_back({.name = "agent-" + std::to_string(i), .index = i});
  for (soak_process& item : processes_)
    StartProcess(&item);
  callers_ = std::make_unique<soak_callers>(
      loop_, &record_, &entries_,
      caller_options{.rate = options_.rate, .seed = options_.seed});
  callers_->keys = keys_;
  callers_->probe_routes = probe_routes_;
  callers_->AddIdleTimeout(BootNow(), idle_timeout_);
  return done{};
}

outcome<done> soak_site::StartProxy() {
  std::vector<std::string> arguments{
      harness::ProgramDirectory() + "/fuchsiafall-standins", "proxy",
      "--control", ProxyControl()};
  for (const std::string& link : links_)
    arguments.insert(arguments.end(), {"--link", link});
  proxy_ = std::make_unique<harness::child_process>(
      arguments, options_.directory + "/proxy.log");
  proxy_->Start();
  const bool is_ready = harness::WaitUntil(
      [this] {
        std::ifstream log(options_.directory + "/proxy.log");
        std::string word;
        return static_cast<bool>(log >> word) && word == "ready";
      },
      seconds(10));
  if (!is_ready)
    return failure{"the proxy did not print 'ready' within 10 s"};
  return done{};
}

std::string soak_site::WriteSettings(const soak_process& item) const {
  std::string path = options_.directory + "/" + item.name + ".conf";
  const std::string ip =
      item.is_entry ? EntryIp(item.index) : ServerIp(item.index);
  // A process may read its settings at any moment.
  std::ofstream file(path + ".new");
  file << "Node=" << item.name << "\nIp=" << ip
       << "\nZone=" << DomainOf(item.index) << "\nRegion=region-"
       << item.index % kDomains
       << "\nInternalPorts=7700,7715\nLimits.LinkMbps=100\n"
       << "Platform.Address=" << StoreProxyAddress(item.index % kDomains)
       << "\n"
       << "Bounds.RetryBudgetExtra=" << retry_extra_ << "\n";
  for (size_t d = 0; d < kDomains; ++d)
    file << "Zones." << DomainOf(d) << "=region-" << d << "\n";
  if (item.is_entry) {
    file << "Listen.Front=" << ip << ":8005\nListen.Ready=" << ip << ":8002\n";
  } else {
    file << "app=" << ip << ":8001\nService=" << kModelService << "\n";
  }
  file.close();
  std::filesystem::rename(path + ".new", path);
  return path;
}

void soak_site::StartProcess(soak_process* item) {
  const std::string settings = WriteSettings(*item);
  item->process = std::make_unique<harness::child_process>(
      std::vector<std::string>{harness::ProgramDirectory() + "/fuchsiafall",
                               item->is_entry ? "entry" : "agent"},
      options_.directory + "/" + item->name + ".log",
      std::vector<std::string>{"FUCHSIAFALL_CONFIG=" + settings});
  item->process->Start();
  item->started_at = BootNow();
  item->was_killed = item->is_stopping = item->is_frozen = false;
  item->restart_at = {};
  if (item->is_entry) {
    ++entries_[item->index].start_count;
    entries_[item->index].newest_probe_route = 0;
    entries_[item->index].stopping_since = {};
  }
  ++record_.counts["starts"];
}

void soak_site::StopProcess(time_point now, soak_process* item) {
  item->is_stopping = true;
  item->stopping_since = now;
  if (item->is_entry)
    entries_[item->index].stopping_since = now;
  item->process->Signal(SIGTERM);
}

void soak_site::WriteConfiguration() {
  probe_routes_ = std::min(probe_routes_ + 1, kMaxProbeRoutes);
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
  const int plain_ms = static_cast<int>(plain_timeout_.count());
  route("stream", "models.example", "/", "streaming", kModelService,
        static_cast<int>(stream_timeout_.count()), attempts_);
  text << ",";
  route("book", "desk.example", "/book/", "non_idempotent", kPlainService,
        plain_ms, attempts_);
  text << ",";
  route("read", "desk.example", "/read/", "idempotent", kPlainService, plain_ms,
        attempts_);
  for (uint64_t i = 1; i <= probe_routes_; ++i) {
    text << ",";
    route("probe" + std::to_string(i), "probe.example",
          "/v" + std::to_string(i) + "/", "idempotent", kPlainService, plain_ms,
          attempts_);
  }
  text << R"(],"Services":)"
       << ServicesOf(options_.Address(kPlatformNet, kOriginProxyAddress))
       << R"(,"Limits":{"MaxHeaderBytes":)" << header_bytes_
       << R"(,"MaxBodyBytes":)" << body_bytes_
       << R"(,"HeaderTimeoutMs":3000,"IdleTimeoutMs":)" << idle_timeout_.count()
       << R"(},"Tenants":[)";
  for (size_t i = 0; i < keys_.size(); ++i) {
    text << (i > 0 ? "," : "") << R"({"Name":"tenant)" << i
         << R"(","ApiKeys":[")" << keys_[i] << R"("]})";
  }
  text << "]}";
  store_.Put("op/config", text.str());
  if (callers_ == nullptr)
    return;
  callers_->probe_routes = probe_routes_;
  callers_->AddIdleTimeout(BootNow(), idle_timeout_);
}

void soak_site::SuperviseProcesses(time_point now) {
  for (soak_process& item : processes_) {
    if (item.process->IsRunning()) {
      if (item.is_stopping && !item.is_frozen &&
          now - item.stopping_since > kStopTimeout + kStopTimeoutMargin) {
        record_.AddViolation("did not stop", item.name);
        item.process->Kill();
      }
      continue;
    }
    if (item.restart_at == time_point{}) {
      const auto code = item.process->Wait(milliseconds(0));
      const bool is_unexpected =
          !item.was_killed && !(item.is_stopping && code == 0);
      if (is_unexpected) {
        record_.AddViolation(
            "ended by itself",
            item.name + " code " + std::to_string(code.value_or(-1)));
      }
      item.restart_at = now + kRestartDelay;
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
  loop_->StartTimer(now + kSuperviseInterval,
                    [this](time_point at) { SuperviseProcesses(at); });
}

void soak_site::RunScenario(time_point now, std::function<void()> on_done) {
  on_done_ = std::move(on_done);
  faults_end_at_ = now + kWarmUp + options_.span;
  SuperviseProcesses(now);
  loop_->StartTimer(now + kWarmUp / 2,
                    [this](time_point at) { callers_->Begin(at); });
  faults_.silent_share = options_.silent_share;
  loop_->StartTimer(now + kWarmUp,
                    [this](time_point at) { BeginPlannedSeries(at); });
  if (options_.is_planned) {
    record_.calm_since = now;
    loop_->StartTimer(faults_end_at_, [this](time_point at) { EndFaults(at); });
    return;
  }
  loop_->StartTimer(now + kWarmUp, [this](time_point at) {
    faults_.held_share = options_.held_share;
    faults_.spoilt_stream_share = options_.spoilt_share;
    InjectFault(at);
  });
  loop_->StartTimer(now + kWarmUp + kRestoreInterval,
                    [this](time_point at) { RestoreStore(at); });
}

void soak_site::CheckAndStop(time_point now) {
  const call_window& window = callers_->window;
  if (window.open > 0) {
    loop_->StartTimer(now + kSuperviseInterval,
                      [this](time_point at) { CheckAndStop(at); });
    return;
  }
  if (static_cast<double>(window.answered) <
      kMinAnsweredShare * static_cast<double>(window.sent)) {
    record_.AddViolation("calm service", std::to_string(window.answered) +
                                             " of " +
                                             std::to_string(window.sent) +
                                             " answered at the end");
  }
  for (const auto& server : servers_) {
    if (server->LoadedVersion() != weights_version_ &&
        server->LoadedVersion() != 0)
      record_.AddViolation("old weights", server->Id());
  }
  RunAfter(kCallsWhileEnding, [this] { callers_->Stop(); });
  is_ending_ = true;
  for (soak_process& item : processes_)
    StopProcess(now, &item);
}

bool soak_site::Report() const {
  for (const auto& [name, count] : record_.counts)
    std::cout << "  " << name << ": " << count << "\n";
  std::cout << "  store calls: " << store_.calls
            << "\n  origin bytes: " << origin_.sent_bytes
            << "\n  longest lag in ms: " << ToMs(callers_->LongestLag())
            << "\n";
  for (const std::string& line : record_.violations)
    std::cout << "BROKEN " << line << "\n";
  std::cout << "seed " << options_.seed << ": "
            << (record_.violations.empty() ? "kept" : "BROKEN") << std::endl;
  return record_.violations.empty();
}

}  // namespace fuchsiafall::soak
