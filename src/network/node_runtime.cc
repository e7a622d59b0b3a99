/// @file node_runtime.cc Links, store watch, signals and common outputs.
#include "network/node_runtime.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sys/resource.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <sstream>
#include <zmq.hpp>

#include "configuration_store.h"
#include "hash_func.h"
#include "network/http_call.h"

namespace fuchsiafall {

namespace {

constexpr milliseconds kWatchCheckInterval{
    200};  // While the store is empty or not to be watched.
constexpr milliseconds kFirstStoreReadDelay{
    1000};  // Delay in which peers may supply a configuration.
constexpr milliseconds kStoreBackoff{500};
constexpr seconds kVmListInterval{3};
constexpr long kSignalPollNs = 100000000;

/// Reads the resident memory of the process, in KiB.
int64_t ResidentKb() {
  std::ifstream file("/proc/self/statm");
  int64_t size = 0;
  int64_t resident = 0;
  file >> size >> resident;
  return resident * 4;
}

proto::vm_list ParseVmList(const std::string& body) {
  proto::vm_list list;
  auto object =
      Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
  list.set_index(object->getValue<Poco::UInt64>("index"));
  auto leaving = object->getArray("leaving");
  for (size_t i = 0; i < leaving->size(); ++i) {
    list.add_leaving(
        leaving->getElement<std::string>(static_cast<unsigned>(i)));
  }
  return list;
}

}  // namespace

incarnation NewIncarnation() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count()));
}

void BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

gossip_options GossipOptionsOf(const settings& from, incarnation own) {
  return {.self = vm_id(from.vm),
          .domain = domain_id(from.domain),
          .own_incarnation = own,
          .own_address = from.ip + ":" + std::to_string(from.port),
          .seed_peers = SplitList(from.peers),
          .watch = milliseconds(from.watch_interval_ms),
          .heartbeat = milliseconds(from.heartbeat_interval_ms),
          .suspect = milliseconds(from.suspect_timeout_ms),
          .neighbours = static_cast<size_t>(from.neighbours)};
}

node_runtime::node_runtime(const settings& from, node_hooks hooks)
    : settings_(from),
      hooks_(std::move(hooks)),
      incarnation_(NewIncarnation()),
      store_(MakeStoreClient(from.store, milliseconds(from.store_timeout_ms))),
      context_(std::make_unique<zmq::context_t>(1)) {}

node_runtime::~node_runtime() {
  Stop();
}

outcome<done> node_runtime::Start() {
  const link_keys keys{settings_.public_key, settings_.secret_key,
                       settings_.fleet_key};
  if (keys.secret_key.empty()) {
    LogEvent(log_event::kKeysMissing,
             "set keys.public, keys.secret and keys.fleet");
  } else {
    authenticator_ = std::make_unique<link_authenticator>(
        context_.get(), keys.fleet_key, &metrics_);
  }
  auto make_link = [&](const char* name, plane where, int64_t offset,
                       seconds expiry) {
    message_link_options options{
        .name = name,
        .listen_address =
            settings_.ip + ":" + std::to_string(settings_.port + offset),
        .keys = keys,
        .address_map = settings_.address_map,
        .send_expiry = expiry};
    return std::make_unique<message_link>(
        options, context_.get(), &metrics_,
        [this, where](proto::envelope&& message) {
          OnEnvelope(where, std::move(message));
        });
  };
  control_ = make_link("control", plane::kControl, 0, seconds(1));
  bulk_ = make_link("bulk", plane::kBulk, 1, seconds(5));
  traffic_ = make_link("traffic", plane::kTraffic, 2, seconds(2));
  for (message_link* link : {control_.get(), bulk_.get(), traffic_.get()}) {
    outcome<done> started = link->Start();
    if (!started)
      return started;
  }
  store_thread_ = std::thread([this] { WatchStore(); });
  signal_thread_ = std::thread([this] { WaitForSignal(); });
  return done{};
}

void node_runtime::Stop() {
  if (is_stopping_.exchange(true))
    return;
  if (store_thread_.joinable())
    store_thread_.join();
  if (signal_thread_.joinable())
    signal_thread_.join();
  for (message_link* link : {traffic_.get(), bulk_.get(), control_.get()}) {
    if (link != nullptr)
      link->Stop();
  }
}

message_link* node_runtime::LinkOf(plane where) {
  switch (where) {
    case plane::kControl:
      return control_.get();
    case plane::kBulk:
      return bulk_.get();
    default:
      return traffic_.get();
  }
}

bool node_runtime::Perform(output* item) {
  if (auto* send = std::get_if<send_message>(item)) {
    LinkOf(send->where)->Send(std::move(*send));
    return true;
  }
  if (auto* reset = std::get_if<reset_link>(item)) {
    LinkOf(reset->where)->Reset(reset->address);
    metrics_.Count("links_reset");
    return true;
  }
  if (auto* line = std::get_if<log_line>(item)) {
    LogEvent(line->event, line->detail);
    return true;
  }
  if (auto* count = std::get_if<count_event>(item)) {
    metrics_.Count(count->name, count->amount);
    return true;
  }
  if (auto* why = std::get_if<count_reason>(item)) {
    if (why->is_retry) {
      metrics_.CountRetry(why->why);
    } else {
      metrics_.CountRefusal(why->why);
    }
    return true;
  }
  return false;
}

std::string node_runtime::DescribeMetrics() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto to_ms = [](const timeval& t) {
    return t.tv_sec * 1000 + t.tv_usec / 1000;
  };
  metrics_.SetGauge("process_cpu_ms",
                    to_ms(usage.ru_utime) + to_ms(usage.ru_stime));
  metrics_.SetGauge("process_resident_kb", ResidentKb());
  metrics_.SetGauge("configuration_revision",
                    static_cast<int64_t>(own_revision_.load()));
  return metrics_.Describe();
}

void node_runtime::OnEnvelope(plane where, proto::envelope&& message) {
  if (message.body_case() != proto::envelope::kBlobAnswer) {
    hooks_.on_message({where, std::move(message)});
    return;
  }
  if (!hooks_.on_blob)
    return;
  proto::blob_answer* answer = message.mutable_blob_answer();
  blob_arrival blob{.source_vm = vm_id(message.vm()),
                    .request_id = answer->request_id(),
                    .wanted = digest(answer->digest())};
  switch (answer->status()) {
    case proto::blob_answer::OK: {
      auto bytes = std::make_shared<std::string>();
      bytes->swap(*answer->mutable_data());
      blob.actual = DigestOf(*bytes);
      blob.bytes = std::move(bytes);
      break;
    }
    case proto::blob_answer::BUSY:
      blob.status = blob_arrival::status_type::kBusy;
      break;
    default:
      blob.status = blob_arrival::status_type::kNotHere;
      break;
  }
  hooks_.on_blob(std::move(blob));
}

void node_runtime::WatchStore() {
  if (settings_.store.empty())
    return;
  Sleep(settings_.peers.empty() ? milliseconds(0) : kFirstStoreReadDelay);
  uint64_t watch_index = 0;
  bool was_reachable = true;
  auto last_vm_list = std::chrono::steady_clock::now() - kVmListInterval;
  while (!is_stopping_) {
    if (!watches_store_ && own_revision_ != 0) {
      watch_index = 0;
      Sleep(kWatchCheckInterval);
      continue;
    }
    metrics_.Count("store_watches");
    outcome<stored_head> read =
        WatchHead(store_, watch_index, seconds(settings_.store_wait_s));
    if (static_cast<bool>(read) != was_reachable) {
      was_reachable = static_cast<bool>(read);
      LogEvent(read ? log_event::kStoreReachable : log_event::kStoreUnreachable,
               settings_.store);
      if (!read && own_revision_ == 0)
        LogEvent(log_event::kWaitingForConfiguration, settings_.peers);
    }
    if (!read) {
      metrics_.Count("store_unreachable");
      watch_index = 0;
      Sleep(kStoreBackoff);
      continue;
    }
    watch_index = read->watch_index;
    outcome<store_changes> changes =
        ChangesSince(store_, read->head, revision(own_revision_));
    if (changes) {
      hooks_.on_store(std::move(*changes));
    } else {
      watch_index = 0;
    }
    if (read->head.revision() == 0)
      Sleep(kWatchCheckInterval);
    if (std::chrono::steady_clock::now() - last_vm_list >= kVmListInterval) {
      last_vm_list = std::chrono::steady_clock::now();
      ReadVmList();
    }
  }
}

void node_runtime::ReadVmList() {
  if (settings_.vm_list.empty())
    return;
  const milliseconds timeout(settings_.store_timeout_ms);
  http_result result = CallHttp({.address = settings_.vm_list,
                                 .path = "/vms",
                                 .timeout = timeout,
                                 .max_duration = 2 * timeout});
  if (result.status != http_result::status_type::kAnswered)
    return;
  try {
    hooks_.on_vm_list(ParseVmList(result.body));
  } catch (const Poco::Exception&) {
    metrics_.Count("vm_list_malformed");
  }
}

void node_runtime::WaitForSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  const timespec poll_interval{0, kSignalPollNs};
  while (!is_stopping_) {
    const int signal = sigtimedwait(&signals, nullptr, &poll_interval);
    if (signal == SIGHUP) {
      LogEvent(log_event::kSettingsChanged, "vm=" + settings_.vm);
    } else if (signal > 0) {
      hooks_.on_shutdown();
    }
  }
}

void node_runtime::Sleep(milliseconds span) {
  constexpr milliseconds kStep{50};
  for (milliseconds passed{0}; passed < span && !is_stopping_;
       passed += kStep) {
    std::this_thread::sleep_for(kStep);
  }
}

}  // namespace fuchsiafall
