/// @file fleet.cc Fleet of real processes and stand-ins on loopback.
#include "harness/fleet.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <google/protobuf/util/json_util.h>
#include <zmq.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "network/http_call.h"

namespace fuchsiafall::harness {

namespace {

constexpr int kControlPort = 7000;
constexpr int kHttpPort = 7100;
constexpr int kEnginePort = 7200;
/// Second octet of the first domain's addresses: 127.10.x.y.
constexpr int kDomainOctet = 10;
/// Second octet of the first address that the proxy forwards.
constexpr int kProxyOctet = 100;
constexpr int kMaxDomains = 8;
constexpr char kStoreAddress[] = "127.0.0.1:7300";
constexpr char kOriginAddress[] = "127.0.0.1:7301";
constexpr char kProxyAddress[] = "127.0.0.1:7302";
constexpr seconds kStartTimeout{30};
constexpr seconds kStopTimeout{20};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {(std::istreambuf_iterator<char>(file)),
          std::istreambuf_iterator<char>()};
}

std::string PrefixOf(size_t domain) {
  return "127." + std::to_string(kDomainOctet + domain) + ".";
}

std::string ProxyPrefix(size_t from, size_t to) {
  return "127." + std::to_string(kProxyOctet + from * kMaxDomains + to) + ".";
}

std::string ProxyStore(size_t domain) {
  return "127.0.0.1:" + std::to_string(7400 + domain);
}

std::string ProxyOrigin(size_t domain) {
  return "127.0.0.1:" + std::to_string(7450 + domain);
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition,
               milliseconds timeout,
               milliseconds interval) {
  const time_point until = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until)
      return false;
    std::this_thread::sleep_for(interval);
  }
  return true;
}

std::optional<double> ReadMetric(const std::string& text,
                                 const std::string& name) {
  std::istringstream lines(text);
  std::string found;
  double value = 0;
  while (lines >> found >> value) {
    if (found == name)
      return value;
  }
  return std::nullopt;
}

std::optional<int64_t> ReadJsonNumber(const std::string& text,
                                      const std::string& name) {
  try {
    auto object =
        Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    if (!object->has(name))
      return std::nullopt;
    return object->getValue<Poco::Int64>(name);
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

std::string ReadJsonText(const std::string& text, const std::string& name) {
  try {
    auto object =
        Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    return object->optValue<std::string>(name, "");
  } catch (const Poco::Exception&) {
    return "";
  }
}

std::string ProgramDirectory() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

std::string NewDirectory(const std::string& name) {
  std::string directory =
      (std::filesystem::temp_directory_path() / ("fuchsiafall-" + name))
          .string();
  std::filesystem::remove_all(directory);
  std::filesystem::create_directories(directory);
  return directory;
}

fleet::fleet(fleet_options options)
    : options_(std::move(options)),
      directory_(options_.directory),
      store_(kStoreAddress),
      origin_(kOriginAddress),
      proxy_(kProxyAddress) {
  if (options_.has_keys) {
    // CURVE keys in Z85 have 40 characters and a terminator.
    char public_key[41];
    char secret_key[41];
    zmq_curve_keypair(public_key, secret_key);
    public_key_ = public_key;
    secret_key_ = secret_key;
  }
  BuildInventory();
}

fleet::~fleet() {
  for (fleet_vm& vm : vms_)
    vm.process.reset();
  standins_.clear();
}

void fleet::BuildInventory() {
  for (const std::string& id : options_.domains) {
    auto* domain = inventory_.add_domains();
    domain->set_id(id);
    domain->set_region(id + "-region");
  }
  for (const fleet_service& item : options_.services) {
    auto* service = inventory_.add_services();
    service->set_id(item.id);
    service->set_kind(item.is_plain ? proto::service::PLAIN
                                    : proto::service::MODEL);
    service->set_cold_limit(item.cold_limit);
    service->set_most_limit(item.max_limit);
    service->set_checks_fencing(options_.checks_fencing);
  }
  for (size_t d = 0; d < options_.domains.size(); ++d) {
    size_t number = 0;
    for (size_t i = 0; i < options_.entries; ++i)
      AddVm(d, number++, proto::vm::ENTRY, "");
    for (const fleet_service& item : options_.services) {
      const size_t domains = options_.domains.size();
      const size_t servers = item.total == 0
                                 ? item.servers
                                 : (item.total + domains - 1 - d) / domains;
      for (size_t i = 0; i < servers; ++i)
        AddVm(d, number++, proto::vm::AGENT, item.id);
    }
  }
  const std::pair<const char*, uint32_t> organisations[] = {
      {"regatta", 1}, {"harbour", 1}, {"chapel", 1}, {"florist", 1}};
  for (const auto& [id, weight] : organisations) {
    auto* organisation = inventory_.add_organisations();
    organisation->set_id(id);
    organisation->set_token(std::string("token-") + id);
    organisation->set_weight(weight);
  }
}

void fleet::AddVm(size_t domain,
                  size_t number,
                  proto::vm::role_type role,
                  const std::string& service) {
  fleet_vm item;
  const bool is_entry = role == proto::vm::ENTRY;
  item.vm.set_id(options_.domains[domain] +
                 (is_entry ? "-entry-" : "-server-") + std::to_string(number));
  item.vm.set_domain(options_.domains[domain]);
  item.vm.set_role(role);
  item.vm.set_ip(PrefixOf(domain) + std::to_string(number / 200) + "." +
                 std::to_string(number % 200 + 1));
  item.vm.set_port(kControlPort);
  item.vm.set_service(service);
  item.http = item.vm.ip() + ":" + std::to_string(kHttpPort);
  if (!is_entry)
    item.engine = item.vm.ip() + ":" + std::to_string(kEnginePort);
  *inventory_.add_vms() = item.vm;
  vms_.push_back(std::move(item));
}

outcome<done> fleet::Start() {
  outcome<done> started = StartStandins();
  if (!started)
    return started;
  for (fleet_vm& vm : vms_) {
    const std::string settings = WriteSettings(vm);
    const char* role = vm.vm.role() == proto::vm::ENTRY ? "entry" : "agent";
    vm.process = std::make_unique<child_process>(
        std::vector<std::string>{ProgramDirectory() + "/fuchsiafall", role,
                                 "--config", settings},
        directory_ + "/" + vm.vm.id() + ".log");
    vm.process->Start();
  }
  return done{};
}

size_t fleet::Stop() {
  size_t failed = 0;
  for (fleet_vm& vm : vms_) {
    if (vm.process != nullptr)
      vm.process->Signal(SIGTERM);
  }
  for (fleet_vm& vm : vms_) {
    if (vm.process == nullptr)
      continue;
    std::optional<int> code = vm.process->Wait(kStopTimeout);
    if (code == 0)
      continue;
    ++failed;
    std::cerr
        << "!! " << vm.vm.id()
        << " did not exit with code 0 in time; exit code, or -1 after the "
           "timeout: "
        << code.value_or(-1) << std::endl;
  }
  for (auto& [name, process] : standins_)
    process->Signal(SIGTERM);
  for (auto& [name, process] : standins_)
    process->Wait(seconds(5));
  return failed;
}

outcome<done> fleet::Apply() {
  std::string text;
  auto written = google::protobuf::util::MessageToJsonString(inventory_, &text);
  const std::string path = directory_ + "/inventory.json";
  std::ofstream(path) << text;
  std::string output;
  int code = RunCommand({"apply", path, "--store", store_}, &output);
  if (!written.ok() || code != 0)
    return failure{"apply: " + output};
  return done{};
}

int fleet::RunCommand(const std::vector<std::string>& arguments,
                      std::string* output) const {
  std::vector<std::string> all{ProgramDirectory() + "/fuchsiafall"};
  all.insert(all.end(), arguments.begin(), arguments.end());
  const std::string log = directory_ + "/command.log";
  std::filesystem::remove(log);
  child_process command(all, log);
  command.Start();
  std::optional<int> code = command.Wait(seconds(60));
  if (output != nullptr)
    *output = ReadFile(log);
  return code.value_or(-1);
}

void fleet::SetVersion(const std::string& service, const std::string& version) {
  bool is_known = false;
  for (const auto& item : inventory_.versions())
    is_known = is_known || item.id() == version;
  if (!is_known) {
    auto* item = inventory_.add_versions();
    item->set_id(version);
    item->set_model(service + "-model");
    item->set_manifest_digest(digests_[version]);
  }
  for (auto& item : *inventory_.mutable_services()) {
    if (item.id() == service)
      item.set_version(version);
  }
}

std::vector<fleet_vm*> fleet::VmsOf(proto::vm::role_type role,
                                    const std::string& domain) {
  std::vector<fleet_vm*> found;
  for (fleet_vm& vm : vms_) {
    if (vm.vm.role() == role && (domain.empty() || vm.vm.domain() == domain)) {
      found.push_back(&vm);
    }
  }
  return found;
}

std::string fleet::FetchPage(const std::string& address,
                             const std::string& path) const {
  return CallHttp({.address = address, .path = path, .timeout = seconds(5)})
      .body;
}

int64_t fleet::SumEngines(const std::string& name) {
  int64_t sum = 0;
  for (fleet_vm& vm : vms_) {
    if (vm.engine.empty())
      continue;
    sum += ReadJsonNumber(FetchPage(vm.engine, "/control/stats"), name)
               .value_or(0);
  }
  return sum;
}

int64_t fleet::SumMetrics(const std::vector<fleet_vm*>& vms,
                          const std::string& name) {
  int64_t sum = 0;
  for (const fleet_vm* vm : vms) {
    sum += static_cast<int64_t>(
        ReadMetric(FetchPage(vm->http, "/metrics"), name).value_or(0));
  }
  return sum;
}

void fleet::Restart(fleet_vm* vm) {
  vm->process->Kill();
  vm->process->Start();
}

outcome<done> fleet::StartStandin(const std::string& name,
                                  std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(),
                   ProgramDirectory() + "/fuchsiafall-standins");
  const std::string log = directory_ + "/standin-" + name + ".log";
  auto process = std::make_unique<child_process>(std::move(arguments), log);
  process->Start();
  standins_[name] = std::move(process);
  bool is_ready = WaitUntil(
      [&] { return ReadFile(log).find("ready") != std::string::npos; },
      kStartTimeout);
  if (is_ready)
    return done{};
  return failure{"stand-in " + name + " did not get ready: " + ReadFile(log)};
}

outcome<done> fleet::StartStandins() {
  std::vector<std::string> engines{"engines"};
  std::vector<std::string> plain{"plain"};
  for (const fleet_vm& vm : vms_) {
    if (vm.engine.empty())
      continue;
    bool is_plain = false;
    for (const fleet_service& item : options_.services) {
      if (item.id == vm.vm.service())
        is_plain = item.is_plain;
    }
    std::vector<std::string>& list = is_plain ? plain : engines;
    list.insert(list.end(), {"--listen", vm.engine});
  }
  auto set = [](std::vector<std::string>* list, const char* name, auto value) {
    list->insert(list->end(), {name, std::to_string(value)});
  };
  set(&engines, "--warm-after", options_.warm_after);
  set(&engines, "--load-ms", options_.load_ms);
  set(&engines, "--prefill-ms", options_.prefill_ms);
  set(&engines, "--token-ms", options_.token_ms);
  set(&plain, "--service-ms", options_.service_ms);
  if (!options_.services.empty()) {
    set(&engines, "--cold-limit", options_.services.front().cold_limit);
    set(&engines, "--most-limit", options_.services.front().max_limit);
  }
  if (options_.checks_fencing)
    engines.emplace_back("--checks-fencing");
  std::vector<std::string> origin{"origin", "--listen", origin_};
  set(&origin, "--rate", options_.origin_rate);
  for (const std::string& spec : options_.weights) {
    origin.insert(origin.end(), {"--weights", spec});
  }
  std::vector<std::pair<std::string, std::vector<std::string>>> all{
      {"platform", {"platform", "--listen", store_}},
      {"origin", origin},
      {"engines", engines},
      {"plain", plain}};
  if (options_.has_proxy) {
    std::vector<std::string> proxy{"proxy", "--control", proxy_};
    set(&proxy, "--rate", options_.region_rate);
    set(&proxy, "--delay-ms", options_.region_delay_ms);
    for (const std::string& link : ProxyLinks())
      proxy.insert(proxy.end(), {"--link", link});
    all.emplace_back("proxy", proxy);
  }
  for (auto& [name, arguments] : all) {
    outcome<done> started = StartStandin(name, arguments);
    if (!started)
      return started;
  }
  // The rate and the delay are those of links between regions; links to the
  // platform and the origin are not limited.
  if (options_.has_proxy) {
    ControlProxy("/control/set?group=*-store&rate=1e9&delay_ms=1");
    ControlProxy("/control/set?group=*-origin&rate=1e9&delay_ms=1");
  }
  return ReadDigests();
}

std::vector<std::string> fleet::ProxyLinks() {
  std::vector<std::string> links;
  for (size_t from = 0; from < options_.domains.size(); ++from) {
    const std::string& name = options_.domains[from];
    links.push_back(name + "-store=" + ProxyStore(from) + ">" + store_);
    links.push_back(name + "-origin=" + ProxyOrigin(from) + ">" + origin_);
    for (const fleet_vm& vm : vms_) {
      size_t to = 0;
      while (options_.domains[to] != vm.vm.domain())
        ++to;
      if (to == from)
        continue;
      const std::string rest = vm.vm.ip().substr(PrefixOf(to).size());
      for (int port = kControlPort; port < kControlPort + 3; ++port) {
        links.push_back(name + "-" + vm.vm.domain() + "=" +
                        ProxyPrefix(from, to) + rest + ":" +
                        std::to_string(port) + ">" + vm.vm.ip() + ":" +
                        std::to_string(port));
      }
    }
  }
  return links;
}

std::string fleet::WriteSettings(const fleet_vm& vm) {
  size_t domain = 0;
  while (options_.domains[domain] != vm.vm.domain())
    ++domain;
  std::map<std::string, std::string> values{
      {"node.vm", vm.vm.id()},
      {"node.domain", vm.vm.domain()},
      {"node.ip", vm.vm.ip()},
      {"node.port", std::to_string(vm.vm.port())},
      {"http.ip", vm.vm.ip()},
      {"http.port", std::to_string(kHttpPort)},
      {"http.threads",
       std::to_string(vm.engine.empty() ? options_.entry_threads : 4)},
      {"platform.store", options_.has_proxy ? ProxyStore(domain) : store_},
      {"platform.vm_list", options_.has_proxy ? ProxyStore(domain) : store_},
      {"platform.origin", options_.has_proxy ? ProxyOrigin(domain) : origin_},
      {"weights.rate", std::to_string(static_cast<int64_t>(options_.vm_rate))}};
  if (!vm.engine.empty())
    values["engine.address"] = vm.engine;
  if (options_.has_keys) {
    values["keys.public"] = public_key_;
    values["keys.secret"] = secret_key_;
    values["keys.fleet"] = public_key_;
  }
  // At start, a process asks up to three VMs of its domain for the
  // configuration.
  std::string peers;
  size_t peer_count = 0;
  for (const fleet_vm& other : vms_) {
    if (other.vm.domain() != vm.vm.domain() || other.vm.id() == vm.vm.id())
      continue;
    if (peer_count++ == 3)
      break;
    peers += (peer_count > 1 ? "," : "") + other.vm.ip();
    peers += ":" + std::to_string(other.vm.port());
  }
  values["peers.first"] = peers;
  for (const auto& [name, value] : options_.settings)
    values[name] = value;

  std::string path = directory_ + "/" + vm.vm.id() + ".ini";
  std::ofstream file(path);
  std::string section;
  for (const auto& [name, value] : values) {
    const size_t dot = name.find('.');
    if (name.substr(0, dot) != section) {
      section = name.substr(0, dot);
      file << "[" << section << "]\n";
    }
    file << name.substr(dot + 1) << " = " << value << '\n';
  }
  if (options_.has_proxy) {
    file << "[address_map]\n";
    for (size_t to = 0; to < options_.domains.size(); ++to) {
      if (to != domain)
        file << PrefixOf(to) << " = " << ProxyPrefix(domain, to) << '\n';
    }
  }
  return path;
}

outcome<done> fleet::ReadDigests() {
  std::istringstream lines(ReadFile(directory_ + "/standin-origin.log"));
  std::string word;
  while (lines >> word) {
    if (word != "weights")
      continue;
    std::string name;
    lines >> name >> digests_[name];
  }
  if (digests_.size() == options_.weights.size())
    return done{};
  return failure{"the origin did not print the digests of all weights"};
}

}  // namespace fuchsiafall::harness
