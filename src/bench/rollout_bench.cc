/// @file rollout_bench.cc Time until N replicas hold the weights, and the bytes
/// sent for it by the origin and between regions.
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

#include "bench/bench.h"
#include "harness/fleet.h"
#include "harness/load.h"

namespace fuchsiafall::bench {

namespace {

using harness::fleet;
using harness::fleet_vm;

constexpr double kMiB = 1024 * 1024;
constexpr double kWeightBytes = 16 * kMiB;
constexpr double kVmRate = 2 * kMiB;      // Bytes per second.
constexpr double kOriginRate = 4 * kMiB;  // Twice that of a VM.
constexpr double kRegionRate = 2.5e6;     // 20 Mbit/s each way.
constexpr size_t kDomains = 3;
constexpr double kMaxTimeOverLowerBound = 1.5;  // Of LowerBound().
constexpr double kMaxGrowth = 1.3;              // Of T(96) over T(12).
constexpr double kMaxOriginCopies = 1.2;
constexpr double kMaxOriginCopiesWhenCut = 1.1;  // In each domain.
constexpr double kMaxLinkCopies = 1.1;
constexpr double kMaxTimeWithFaults = 2.0;  // Of the undisturbed time.
constexpr double kMaxLiveP95Factor = 1.2;
constexpr milliseconds kPoll{100};
constexpr char kService[] = "assistant";

/// Conditions under which the fleet gets the weights.
struct run_plan {
  size_t servers = 12;
  bool is_direct = false;   ///< Baseline: all servers fetch from the origin.
  bool is_cut = false;      ///< Domains are cut off from each other.
  bool has_faults = false;  ///< Killed servers, corrupt chunks, a stalled link.
  bool has_live_load = false;  ///< Requests are served at the same time.
  seconds timeout{120};
};

struct run_result {
  bool is_complete = false;
  double seconds_to_hold = 0;
  double origin_copies = 0;
  double max_link_copies = 0;
  double cpu_ms_per_mib = 0;  ///< Of an agent, for each MiB of the weights.
  double resident_mb = 0;     ///< Mean of the agents, including the weights.
  double bad_loads = 0;
  double wrong_answers = 0;
  double corrupt_chunks = 0;
  double live_p95_before_ms = 0;
  double live_p95_during_ms = 0;
};

/// Returns the lowest possible time in seconds: that of the weights over the
/// slowest of the origin, a VM and a link between regions, or that of all
/// copies over the rates of the origin and of all VMs together.
double LowerBound(size_t servers) {
  const auto n = static_cast<double>(servers);
  return std::max({kWeightBytes / kOriginRate, kWeightBytes / kVmRate,
                   kWeightBytes / kRegionRate,
                   n * kWeightBytes / (kOriginRate + n * kVmRate)});
}

harness::fleet_options OptionsOf(const run_plan& plan) {
  harness::fleet_options options;
  options.directory = harness::NewDirectory("rollout");
  options.entries = 1;
  options.services = {{.id = kService, .servers = plan.servers / kDomains}};
  options.weights = {"v1:1048576:131072:1", "v2:16777216:131072:2"};
  options.origin_rate = kOriginRate;
  options.vm_rate = kVmRate;
  options.region_rate = kRegionRate;
  options.has_proxy = true;
  options.load_ms = 50;
  if (plan.is_direct)
    options.settings["weights.direct"] = "1";
  return options;
}

/// Waits until all servers hold a version.
bool WaitForWeights(fleet* system,
                    const std::string& version,
                    seconds timeout) {
  std::set<fleet_vm*> missing;
  for (fleet_vm* vm : system->VmsOf(proto::vm::AGENT))
    missing.insert(vm);
  return harness::WaitUntil(
      [&] {
        std::erase_if(missing, [&](fleet_vm* vm) {
          const std::string status = system->FetchPage(vm->http, "/status");
          return harness::ReadJsonText(status, "loadingVersion") == version &&
                 harness::ReadJsonNumber(status, "progressPercent") == 100;
        });
        return missing.empty();
      },
      timeout, kPoll);
}

bool WaitForServing(fleet* system,
                    const std::string& version,
                    seconds timeout) {
  return harness::WaitUntil(
      [&] {
        std::vector<fleet_vm*> servers = system->VmsOf(proto::vm::AGENT);
        return std::all_of(servers.begin(), servers.end(), [&](fleet_vm* vm) {
          const std::string stats =
              system->FetchPage(vm->engine, "/control/stats");
          return harness::ReadJsonText(stats, "version") == version;
        });
      },
      timeout, milliseconds(300));
}

/// Returns the bytes over the most used link between domains, as copies of the
/// weights.
double MaxLinkCopies(fleet* system) {
  double max_copies = 0;
  auto groups = Poco::JSON::Parser()
                    .parse(system->ControlProxy("/control/stats"))
                    .extract<Poco::JSON::Object::Ptr>();
  for (const std::string& name : groups->getNames()) {
    if (name.ends_with("-store") || name.ends_with("-origin"))
      continue;
    auto bytes = groups->getObject(name)->getValue<double>("bytes");
    max_copies = std::max(max_copies, bytes / kWeightBytes);
  }
  return max_copies;
}

/// Kills a tenth of the servers and stalls a link after a third of the time
/// that a rollout without faults takes.
void InjectFaults(fleet* system, double undisturbed_s) {
  std::this_thread::sleep_for(std::chrono::duration<double>(undisturbed_s / 3));
  system->ControlProxy("/control/set?group=western-southern&mode=hold");
  std::vector<fleet_vm*> servers = system->VmsOf(proto::vm::AGENT);
  for (size_t i = 0; i < servers.size(); i += 10)
    system->Restart(servers[i]);
}

bool StartFleet(fleet* system) {
  outcome<done> started = system->Start();
  if (!started) {
    PrintProgress(started.LastReason());
    return false;
  }
  system->SetVersion(kService, "v1");
  outcome<done> applied = system->Apply();
  if (!applied)
    PrintProgress(applied.LastReason());
  if (WaitForServing(system, "v1", seconds(45)))
    return true;
  PrintProgress("not all servers got v1");
  return false;
}

duration AgentCpu(fleet* system) {
  duration sum{};
  for (fleet_vm* vm : system->VmsOf(proto::vm::AGENT))
    sum += vm->process->CpuTime();
  return sum;
}

run_result Measure(const run_plan& plan, double undisturbed_s) {
  run_result result;
  fleet system(OptionsOf(plan));
  if (!StartFleet(&system))
    return result;
  std::vector<std::string> entries;
  for (fleet_vm* vm : system.VmsOf(proto::vm::ENTRY))
    entries.push_back(vm->http);
  harness::load_generator load({.entries = entries, .rate = 30, .threads = 64});
  const time_point load_begun = std::chrono::steady_clock::now();
  if (plan.has_live_load) {
    load.Start();
    std::this_thread::sleep_for(seconds(8));
  }
  system.ControlOrigin("/control/stats?reset=1");
  system.ControlProxy("/control/set?group=*&reset=1");
  if (plan.is_cut) {
    for (const std::string& a : system.Options().domains) {
      for (const std::string& b : system.Options().domains) {
        if (a != b)
          system.ControlProxy("/control/set?group=" + a + "-" + b +
                              "&mode=cut");
      }
    }
  }
  if (plan.has_faults) {
    system.ControlOrigin("/control/faults?corrupt=0.01");
    for (const std::string& a : system.Options().domains) {
      for (const std::string& b : system.Options().domains) {
        if (a != b)
          system.ControlProxy("/control/set?group=" + a + "-" + b +
                              "&corrupt=0.0025");
      }
    }
  }
  const duration cpu_before = AgentCpu(&system);
  system.SetVersion(kService, "v2");
  const time_point begun = std::chrono::steady_clock::now();
  outcome<done> applied = system.Apply();
  if (!applied)
    PrintProgress(applied.LastReason());
  if (plan.has_faults)
    InjectFaults(&system, undisturbed_s);
  result.is_complete = WaitForWeights(&system, "v2", plan.timeout);
  const time_point held = std::chrono::steady_clock::now();
  result.seconds_to_hold = ToSeconds(held - begun);
  const auto agents = static_cast<double>(plan.servers);
  if (!plan.has_faults) {
    result.cpu_ms_per_mib = ToSeconds(AgentCpu(&system) - cpu_before) * 1000 /
                            agents / (kWeightBytes / kMiB);
  }
  for (fleet_vm* vm : system.VmsOf(proto::vm::AGENT)) {
    result.resident_mb +=
        static_cast<double>(vm->process->ResidentKb()) / 1024 / agents;
  }
  auto sent = harness::ReadJsonNumber(system.ControlOrigin("/control/stats"),
                                      "sent_bytes");
  result.origin_copies = static_cast<double>(sent.value_or(0)) / kWeightBytes;
  result.max_link_copies = MaxLinkCopies(&system);
  result.corrupt_chunks = static_cast<double>(
      system.SumMetrics(system.VmsOf(proto::vm::AGENT), "blobs_corrupt"));
  WaitForServing(&system, "v2", seconds(60));
  if (plan.has_live_load) {
    load.Stop();
    auto records = load.Records();
    result.live_p95_before_ms =
        Summarise(records, load_begun + seconds(2), begun).first_p95_ms;
    auto during = Summarise(records, begun, held);
    result.live_p95_during_ms = during.first_p95_ms;
    result.wrong_answers = static_cast<double>(during.wrong + during.lost);
  }
  result.bad_loads = static_cast<double>(system.SumEngines("bad_loads"));
  system.Stop();
  return result;
}

void ReportUndisturbed(size_t servers, const run_result& run, report* result) {
  const std::string n = "N=" + std::to_string(servers) + ": ";
  const double bound = LowerBound(servers);
  result->AddWithMin(n + "complete on all", run.is_complete ? 1 : 0, "", 1);
  result->AddWithMax(n + "time until all hold the weights", run.seconds_to_hold,
                     "s", kMaxTimeOverLowerBound * bound);
  result->Add(n + "lower bound", bound, "s");
  result->AddWithMax(n + "drawn from the origin", run.origin_copies, "copies",
                     kMaxOriginCopies);
  result->AddWithMax(n + "most over one link between regions",
                     run.max_link_copies, "copies", kMaxLinkCopies);
  result->AddWithMax(n + "unverified weights loaded", run.bad_loads, "loads",
                     0);
  result->Add(n + "agent processor time", run.cpu_ms_per_mib, "ms/MiB");
  result->Add(n + "agent memory with 16 MiB of weights", run.resident_mb, "MB");
}

}  // namespace

void RunRolloutBench(const bench_arguments& arguments, report* result) {
  std::vector<size_t> sizes{12, 48, 96};
  if (!arguments.empty())
    sizes = {CountOf(arguments, 0)};
  std::map<size_t, run_result> runs;
  for (size_t servers : sizes) {
    PrintProgress("N=" + std::to_string(servers));
    runs[servers] = Measure({.servers = servers}, 0);
    ReportUndisturbed(servers, runs[servers], result);
  }
  if (!arguments.empty())
    return;
  result->AddWithMax("T(96) / T(12)",
                     runs[96].seconds_to_hold / runs[12].seconds_to_hold, "",
                     kMaxGrowth);

  PrintProgress(
      "N=48 with servers killed, chunks corrupted and a link stalled");
  const double undisturbed = runs[48].seconds_to_hold;
  run_result faults = Measure({.servers = 48, .has_faults = true}, undisturbed);
  result->AddWithMin("faults, N=48: complete on all",
                     faults.is_complete ? 1 : 0, "", 1);
  result->AddWithMax("faults, N=48: time until all hold the weights",
                     faults.seconds_to_hold, "s",
                     kMaxTimeWithFaults * undisturbed);
  result->Add("faults, N=48: corrupt chunks refused", faults.corrupt_chunks,
              "chunks");
  result->Add("faults, N=48: drawn from the origin", faults.origin_copies,
              "copies");
  result->AddWithMax("faults, N=48: unverified weights loaded",
                     faults.bad_loads, "loads", 0);

  PrintProgress("N=48 with domains cut from each other");
  run_result cut = Measure({.servers = 48, .is_cut = true}, 0);
  result->AddWithMin("cut, N=48: complete on all", cut.is_complete ? 1 : 0, "",
                     1);
  result->AddWithMax("cut, N=48: drawn from the origin", cut.origin_copies,
                     "copies", kMaxOriginCopiesWhenCut * kDomains);
  result->Add("cut, N=48: time until all hold the weights", cut.seconds_to_hold,
              "s");

  PrintProgress("N=12 under live requests");
  run_result live = Measure({.servers = 12, .has_live_load = true}, 0);
  result->Add("live, N=12: first token p95 before", live.live_p95_before_ms,
              "ms");
  result->AddWithMax("live, N=12: first token p95 during",
                     live.live_p95_during_ms, "ms",
                     kMaxLiveP95Factor * live.live_p95_before_ms);
  result->AddWithMax("live, N=12: lost or wrong answers", live.wrong_answers,
                     "requests", 0);

  PrintProgress("N=12, every server from the origin, as a baseline");
  run_result direct = Measure({.servers = 12, .is_direct = true}, 0);
  result->Add("baseline, N=12: time until all hold the weights",
              direct.seconds_to_hold, "s");
  result->Add("baseline, N=12: drawn from the origin", direct.origin_copies,
              "copies");
}

}  // namespace fuchsiafall::bench
