/// @file route_bench.cc Cost of an entry's routing decisions at the target
/// size, and the time that entry and agent add to a request.
#include <thread>

#include "bench/bench.h"
#include "configuration_log_base.h"
#include "entry_base.h"
#include "harness/fleet.h"
#include "harness/load.h"

namespace fuchsiafall::bench {

namespace {

constexpr size_t kDomains = 15;
constexpr size_t kServers = 4900;
constexpr size_t kEntries = 410;
constexpr size_t kDecisions = 200000;
/// Requests per second of one entry at the peak of the target size.
constexpr double kRequestsPerEntry = 11000.0 / kEntries;

proto::configuration TargetConfiguration() {
  proto::configuration configuration;
  configuration.set_revision(1);
  proto::inventory* inventory = configuration.mutable_inventory();
  auto* version = inventory->add_versions();
  version->set_id("v1");
  version->set_model("model");
  version->set_manifest_digest(std::string(64, 'a'));
  auto* service = inventory->add_services();
  service->set_id("assistant");
  service->set_kind(proto::service::MODEL);
  service->set_version("v1");
  service->set_cold_limit(2);
  service->set_most_limit(16);
  for (size_t i = 0; i < kDomains; ++i) {
    auto* domain = inventory->add_domains();
    domain->set_id("domain-" + std::to_string(i));
    domain->set_region("region-" + std::to_string(i / 2));
  }
  for (size_t i = 0; i < kEntries + kServers; ++i) {
    auto* vm = inventory->add_vms();
    const bool is_entry = i < kEntries;
    vm->set_id((is_entry ? "entry-" : "server-") + std::to_string(i));
    vm->set_domain("domain-" + std::to_string(i % kDomains));
    vm->set_role(is_entry ? proto::vm::ENTRY : proto::vm::AGENT);
    vm->set_ip("10." + std::to_string(i / 65536) + "." +
               std::to_string(i / 256 % 256) + "." + std::to_string(i % 256));
    vm->set_port(7000);
    if (!is_entry)
      vm->set_service("assistant");
  }
  return configuration;
}

double SecondsFor(const std::function<void()>& work) {
  const time_point begun = std::chrono::steady_clock::now();
  work();
  return ToSeconds(std::chrono::steady_clock::now() - begun);
}

void ReportDecisions(report* result) {
  proto::configuration configuration = TargetConfiguration();
  result->Add("configuration at the target size",
              static_cast<double>(configuration.ByteSizeLong()) / 1024, "KiB");
  result->AddWithMax("value in the store",
                     static_cast<double>(configuration.ByteSizeLong()) / 1024,
                     "KiB", 1024);
  configuration_log log;
  result->Add("adopting a snapshot of the target size",
              1000 * SecondsFor([&] {
                static_cast<void>(log.AdoptSnapshot(configuration));
              }),
              "ms");
  google::protobuf::RepeatedPtrField<proto::edit> edits;
  proto::edit* edit = edits.Add();
  edit->set_revision(2);
  edit->set_take_out("domain-3");
  result->Add(
      "adopting an edit at the target size",
      1000 * SecondsFor([&] { static_cast<void>(log.AdoptEdits(edits)); }),
      "ms");

  router routes({.self = vm_id("entry-1"), .domain = domain_id("domain-1")});
  const time_point now{std::chrono::hours(1)};
  result->Add(
      "building the routes of an entry",
      1000 * SecondsFor([&] { routes.SetTopology(now, log.Topology()); }),
      "ms");
  result->Add("servers known to an entry",
              static_cast<double>(routes.ServerCount()), "servers");
  proto::server_state state;
  state.set_service("assistant");
  state.set_version("v1");
  state.set_accepting(true);
  state.set_limit(16);
  for (const vm_id& id : routes.WatchedServers())
    routes.OnServerState(now, id, state);
  const auto none = [](const vm_id&) { return false; };
  const double passed = SecondsFor([&] {
    for (size_t i = 0; i < kDecisions; ++i) {
      auto server = routes.Choose(
          now, {.service = "assistant", .affinity = i * 7919 | 1}, none);
      routes.OnAttemptSent(*server);
      routes.OnAttemptEnded(now, *server, false);
    }
  });
  const double rate = static_cast<double>(kDecisions) / passed;
  result->AddWithMin("decisions", rate, "1/s", kRequestsPerEntry);
  result->Add("memory of a known server",
              sizeof(backend_server) + state.SpaceUsedLong(), "B");
}

/// Compares requests sent to a backend server with requests through an entry.
void ReportAddedTime(report* result) {
  harness::fleet_options options;
  options.directory = harness::NewDirectory("route");
  options.domains = {"western"};
  options.entries = 1;
  options.services = {{.id = "assistant", .servers = 2}};
  options.weights = {"v1:1048576:131072:1"};
  options.token_ms = 0;
  options.prefill_ms = 5;
  options.warm_after = 1;
  harness::fleet system(options);
  outcome<done> started = system.Start();
  system.SetVersion("assistant", "v1");
  if (started)
    started = system.Apply();
  harness::fleet_vm* entry = system.VmsOf(proto::vm::ENTRY).front();
  harness::fleet_vm* server = system.VmsOf(proto::vm::AGENT).front();
  auto make_call = [&](const std::string& address, int i) {
    return harness::MakeCall({.entry = address,
                              .organisation = "regatta",
                              .service = "assistant",
                              .stream = false,
                              .prompt = "call " + std::to_string(i)},
                             std::chrono::steady_clock::now());
  };
  if (!started || !harness::WaitUntil(
                      [&] {
                        return make_call(entry->http, 0).end ==
                               harness::call_record::end_type::kAnswered;
                      },
                      seconds(30))) {
    result->AddWithMax("fleet that did not serve", 1, "", 0);
    return;
  }
  std::this_thread::sleep_for(seconds(3));
  constexpr int kCalls = 400;
  std::vector<duration> direct;
  std::vector<duration> through_entry;
  for (int i = 0; i < kCalls; ++i)
    direct.push_back(make_call(server->engine, i).total);
  const duration entry_before = entry->process->CpuTime();
  duration agents_before{};
  for (auto* vm : system.VmsOf(proto::vm::AGENT))
    agents_before += vm->process->CpuTime();
  const time_point begun = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i)
    through_entry.push_back(make_call(entry->http, i).total);
  const duration passed = std::chrono::steady_clock::now() - begun;
  duration agents_after{};
  for (auto* vm : system.VmsOf(proto::vm::AGENT))
    agents_after += vm->process->CpuTime();
  for (double quantile : {0.5, 0.95}) {
    const std::string name = quantile < 0.9 ? "p50" : "p95";
    result->Add("time added, " + name,
                harness::QuantileMs(through_entry, quantile) -
                    harness::QuantileMs(direct, quantile),
                "ms");
  }
  result->Add(
      "entry: processor time of a request",
      1000 * ToSeconds(entry->process->CpuTime() - entry_before) / kCalls,
      "ms");
  result->Add("agents: processor time of a request",
              1000 * ToSeconds(agents_after - agents_before) / kCalls, "ms");
  result->Add("requests", kCalls / ToSeconds(passed), "1/s");
  system.Stop();
}

}  // namespace

void RunRouteBench(const bench_arguments&, report* result) {
  ReportDecisions(result);
  ReportAddedTime(result);
}

}  // namespace fuchsiafall::bench
