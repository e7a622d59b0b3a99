/// @file config_bench.cc Time until edits are in force on 200 processes, racing
/// edits, and the cost of the control plane.
#include <algorithm>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <random>
#include <sstream>
#include <thread>

#include "bench/bench.h"
#include "configuration_store.h"
#include "harness/fleet.h"
#include "harness/load.h"

namespace fuchsiafall::bench {

namespace {

using harness::fleet;
using harness::fleet_vm;
using system_time = std::chrono::system_clock::time_point;

constexpr size_t kProcesses = 200;
constexpr size_t kDomains = 3;
constexpr double kMaxInForceS = 4;
constexpr double kMaxInForceCutOffS = 10;
constexpr double kMaxCorePercent = 3.4;
constexpr double kMaxMemoryMb = 256;
constexpr double kMaxControlBytesPerS = 2048;
/// Maximum growth of control traffic from the smallest fleet to the largest.
constexpr double kMaxGrowth = 1.3;
/// Bytes of IP, TCP, ZMTP and the acknowledgement per message.
constexpr double kMessageOverhead = 130;
constexpr milliseconds kStoreTimeout{2000};

/// Returns options of a fleet of a plain service, which needs no weights.
harness::fleet_options OptionsOf(const std::string& name, size_t processes) {
  harness::fleet_options options;
  options.directory = harness::NewDirectory(name);
  options.entries = 3;
  const size_t agents = processes / kDomains - options.entries;
  options.services = {
      {.id = "scheduling", .is_plain = true, .servers = agents}};
  options.entry_threads = 8;
  return options;
}

int64_t RevisionOf(fleet* system, const fleet_vm& vm) {
  const std::string text = system->FetchPage(vm.http, "/metrics");
  return static_cast<int64_t>(
      harness::ReadMetric(text, "configuration_revision").value_or(0));
}

bool WaitForRevision(fleet* system, int64_t wanted, seconds timeout) {
  size_t reached = 0;  // All VMs before this one have the revision.
  return harness::WaitUntil(
      [&] {
        while (reached < system->Vms().size() &&
               RevisionOf(system, system->Vms()[reached]) >= wanted) {
          ++reached;
        }
        return reached == system->Vms().size();
      },
      timeout, milliseconds(100));
}

bool StartFleet(fleet* system) {
  outcome<done> started = system->Start();
  if (started)
    started = system->Apply();
  if (!started)
    PrintProgress(started.LastReason());
  return started && WaitForRevision(system, 1, seconds(60));
}

/// Reads the time of a log line, which is local time with milliseconds.
std::optional<system_time> LineTime(const std::string& line) {
  std::tm parts{};
  std::istringstream text(line);
  text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  char dot = 0;
  int ms = 0;
  if (!(text >> dot >> ms))
    return std::nullopt;
  parts.tm_isdst = -1;
  return std::chrono::system_clock::from_time_t(std::mktime(&parts)) +
         milliseconds(ms);
}

/// Reads from a VM's log when each revision was adopted.
/// @param reverts Incremented for each revision lower than the one before.
std::map<uint64_t, system_time> ReadAdoptions(const fleet_vm& vm,
                                              size_t* reverts) {
  std::map<uint64_t, system_time> adoptions;
  std::ifstream file(vm.process->Log());
  std::string line;
  uint64_t last = 0;
  const std::string mark = "E200 configuration adopted: revision=";
  while (std::getline(file, line)) {
    const size_t position = line.find(mark);
    if (position == std::string::npos)
      continue;
    const uint64_t revision_number =
        std::stoull(line.substr(position + mark.size()));
    std::optional<system_time> at = LineTime(line);
    if (revision_number < last)
      ++*reverts;
    last = revision_number;
    if (at)
      adoptions[revision_number] = *at;
  }
  return adoptions;
}

/// Takes a domain out of service, or returns it if it is out.
publish_result ToggleDomain(const store_client& store,
                            const std::string& domain,
                            const std::string& edit_id) {
  publish_options options{.edit_id = edit_id,
                          .author = "bench",
                          .may_rebase = true,
                          .max_attempts = 100,
                          .pause = [](milliseconds span) {
                            std::this_thread::sleep_for(span / 10);
                          }};
  return PublishEdit(
      store, options,
      [&](const proto::configuration& current) -> outcome<proto::edit> {
        proto::edit edit;
        const auto& out = current.domains_out();
        if (std::find(out.begin(), out.end(), domain) != out.end()) {
          edit.set_return_domain(domain);
        } else {
          edit.set_take_out(domain);
        }
        return edit;
      });
}

/// Makes edits one after the other.
/// @return Time of acceptance, by revision.
std::map<uint64_t, system_time> MakeEdits(fleet* system,
                                          const std::string& name,
                                          int count) {
  store_client store = MakeStoreClient(system->StoreAddress(), kStoreTimeout);
  std::map<uint64_t, system_time> accepted;
  for (int i = 0; i < count; ++i) {
    publish_result made =
        ToggleDomain(store, "southern", name + std::to_string(i));
    if (made.status == publish_result::status_type::kAccepted) {
      accepted[made.revision] = std::chrono::system_clock::now();
    }
    std::this_thread::sleep_for(milliseconds(700));
  }
  WaitForRevision(system, static_cast<int64_t>(accepted.rbegin()->first),
                  seconds(30));
  return accepted;
}

/// Returns the times from the acceptance of an edit until it is in force, over
/// all edits and processes.
/// @param missing Incremented for each edit that a process did not adopt.
std::vector<duration> InForceTimes(
    fleet* system,
    const std::map<uint64_t, system_time>& accepted,
    size_t* reverts,
    size_t* missing) {
  std::vector<duration> times;
  for (const fleet_vm& vm : system->Vms()) {
    std::map<uint64_t, system_time> adoptions = ReadAdoptions(vm, reverts);
    for (const auto& [revision_number, at] : accepted) {
      // Adopting a later revision puts the earlier ones into force too.
      auto adopted = adoptions.lower_bound(revision_number);
      if (adopted == adoptions.end()) {
        ++*missing;
        continue;
      }
      times.push_back(
          std::max<duration>(adopted->second - at, duration::zero()));
    }
  }
  return times;
}

void ReportInForce(fleet* system,
                   const std::string& name,
                   int edits,
                   double bound,
                   report* result) {
  std::map<uint64_t, system_time> accepted = MakeEdits(system, name, edits);
  size_t reverts = 0;
  size_t missing = 0;
  std::vector<duration> times =
      InForceTimes(system, accepted, &reverts, &missing);
  result->Add(name + ": in force p50", harness::QuantileMs(times, 0.5) / 1000,
              "s");
  result->AddWithMax(name + ": in force p99",
                     harness::QuantileMs(times, 0.99) / 1000, "s", bound);
  result->AddWithMax(name + ": edits not in force on a process",
                     static_cast<double>(missing), "edits", 0);
  result->AddWithMax(name + ": reverts", static_cast<double>(reverts), "times",
                     0);
}

int64_t StoreCalls(fleet* system) {
  const std::string stats = system->ControlPlatform("/control/stats");
  int64_t calls = 0;
  for (const char* name : {"reads", "writes", "watches", "vm_lists"}) {
    calls += harness::ReadJsonNumber(stats, name).value_or(0);
  }
  return calls;
}

/// Lets four operators make a thousand edits at the same time while the store
/// loses answers to writes.
void ReportRaces(fleet* system, report* result) {
  constexpr int kEdits = 1000;
  constexpr int kOperators = 4;
  system->ControlPlatform("/control/faults?lose=0.1");
  std::mutex mutex;
  std::map<std::string, uint64_t> accepted;
  size_t unknown = 0;
  store_client store = MakeStoreClient(system->StoreAddress(), kStoreTimeout);
  const uint64_t before = ReadHead(store)->head.revision();
  std::vector<std::thread> operators;
  for (int i = 0; i < kOperators; ++i) {
    operators.emplace_back([&, i] {
      for (int j = 0; j < kEdits / kOperators; ++j) {
        const std::string id =
            "race-" + std::to_string(i) + "-" + std::to_string(j);
        const std::string domain =
            system->Options().domains[static_cast<size_t>(i) % kDomains];
        publish_result made = ToggleDomain(store, domain, id);
        std::lock_guard lock(mutex);
        if (made.status == publish_result::status_type::kAccepted) {
          accepted[id] = made.revision;
        } else {
          ++unknown;
        }
      }
    });
  }
  for (std::thread& thread : operators)
    thread.join();
  system->ControlPlatform("/control/faults?lose=0");
  outcome<stored_head> head = ReadHead(store);
  std::map<std::string, int> times_settled;
  for (const std::string& id : head->head.settled_edit_ids())
    ++times_settled[id];
  double lost = 0;
  double applied_twice = 0;
  std::set<uint64_t> revisions;
  for (const auto& [id, revision_number] : accepted) {
    lost += times_settled[id] == 0 ? 1 : 0;
    applied_twice += times_settled[id] > 1 ? 1 : 0;
    revisions.insert(revision_number);
  }
  result->Add("races: edits accepted", static_cast<double>(accepted.size()),
              "edits");
  result->Add("races: edits refused or unknown", static_cast<double>(unknown),
              "edits");
  result->AddWithMax("races: accepted edits lost", lost, "edits", 0);
  result->AddWithMax("races: edits applied twice", applied_twice, "edits", 0);
  result->AddWithMax("races: accepted edits that share a revision",
                     static_cast<double>(accepted.size() - revisions.size()),
                     "edits", 0);
  result->AddWithMax(
      "races: revisions without an accepted edit",
      static_cast<double>(head->head.revision() - before - accepted.size()),
      "revisions", static_cast<double>(unknown));
  WaitForRevision(system, static_cast<int64_t>(head->head.revision()),
                  seconds(20));
  size_t reverts = 0;
  for (const fleet_vm& vm : system->Vms())
    ReadAdoptions(vm, &reverts);
  result->AddWithMax("races: reverts", static_cast<double>(reverts), "times",
                     0);
}

/// Resource use of the processes of one role.
struct role_use {
  double core_percent = 0;   ///< Mean.
  double max_memory_mb = 0;  ///< Of the largest process.
  /// Mean per second, both directions, with packet overhead.
  double control_bytes = 0;
};

/// Measures the processes of a role for a time, with a number of edits in it.
role_use MeasureRole(fleet* system,
                     proto::vm::role_type role,
                     seconds span,
                     int changes) {
  std::vector<fleet_vm*> vms = system->VmsOf(role);
  auto bytes = [&] {
    double sum = 0;
    for (const char* direction : {"sent", "received"}) {
      sum += static_cast<double>(
          system->SumMetrics(vms, std::string("control_bytes_") + direction));
      sum += kMessageOverhead *
             static_cast<double>(system->SumMetrics(
                 vms, std::string("control_messages_") + direction));
    }
    return sum;
  };
  auto cpu = [&] {
    duration sum{};
    for (const fleet_vm* vm : vms)
      sum += vm->process->CpuTime();
    return sum;
  };
  const double bytes_before = bytes();
  const duration cpu_before = cpu();
  const time_point begun = std::chrono::steady_clock::now();
  store_client store = MakeStoreClient(system->StoreAddress(), kStoreTimeout);
  for (int i = 0; i < changes; ++i) {
    ToggleDomain(store, "southern",
                 "control-" + std::to_string(std::rand()) + std::to_string(i));
    std::this_thread::sleep_for(span / changes);
  }
  std::this_thread::sleep_until(begun + span);
  const double passed = ToSeconds(std::chrono::steady_clock::now() - begun);
  const auto count = static_cast<double>(vms.size());
  role_use use;
  use.core_percent = 100 * ToSeconds(cpu() - cpu_before) / passed / count;
  use.control_bytes = (bytes() - bytes_before) / passed / count;
  for (const fleet_vm* vm : vms) {
    use.max_memory_mb =
        std::max(use.max_memory_mb,
                 static_cast<double>(vm->process->ResidentKb()) / 1024);
  }
  return use;
}

void ReportUse(const std::string& name, const role_use& use, report* result) {
  result->AddWithMax(name + "processor", use.core_percent, "% core",
                     kMaxCorePercent);
  result->AddWithMax(name + "memory", use.max_memory_mb, "MB", kMaxMemoryMb);
  result->AddWithMax(name + "control traffic", use.control_bytes, "B/s",
                     kMaxControlBytesPerS);
}

}  // namespace

void RunConfigBench(const bench_arguments& arguments, report* result) {
  const size_t processes = CountOf(arguments, kProcesses);
  harness::fleet_options options = OptionsOf("config", processes);
  options.has_proxy = true;
  fleet system(options);
  PrintProgress("starting " + std::to_string(system.Vms().size()) +
                " processes");
  if (!StartFleet(&system)) {
    result->AddWithMax("processes without the first revision", 1, "", 0);
    return;
  }
  std::this_thread::sleep_for(seconds(5));
  const int64_t calls_before = StoreCalls(&system);
  std::this_thread::sleep_for(seconds(10));
  result->Add("store calls, idle",
              static_cast<double>(StoreCalls(&system) - calls_before) / 10,
              "1/s");
  PrintProgress("edits");
  ReportInForce(&system, "edits", 20, kMaxInForceS, result);
  PrintProgress("edits with two domains cut off from the store");
  system.ControlProxy("/control/set?group=southern-store&mode=cut");
  system.ControlProxy("/control/set?group=eastern-store&mode=cut");
  ReportInForce(&system, "store cut off", 6, kMaxInForceCutOffS, result);
  system.ControlProxy("/control/set?group=*-store&mode=open");
  PrintProgress("a thousand racing edits");
  ReportRaces(&system, result);
  system.Stop();
}

void RunControlBench(const bench_arguments&, report* result) {
  std::map<size_t, role_use> agents;
  std::map<size_t, role_use> entries;
  constexpr size_t kSizes[] = {50, 100, 200};
  // Covers two heartbeats to each watched server, which are sent every 14 s.
  constexpr seconds kSpan{30};
  for (size_t size : kSizes) {
    PrintProgress(std::to_string(size) + " processes");
    fleet system(OptionsOf("control", size));
    if (!StartFleet(&system)) {
      result->AddWithMax("processes without the first revision", 1, "", 0);
      return;
    }
    std::this_thread::sleep_for(seconds(6));
    const std::string n = std::to_string(size) + " processes, ";
    agents[size] = MeasureRole(&system, proto::vm::AGENT, kSpan, 0);
    ReportUse(n + "idle agent: ", agents[size], result);
    entries[size] = MeasureRole(&system, proto::vm::ENTRY, kSpan, 0);
    ReportUse(n + "idle entry: ", entries[size], result);
    // 12,000 changes a day are one every 7.2 s, about four in kSpan.
    ReportUse(n + "agent under changes: ",
              MeasureRole(&system, proto::vm::AGENT, kSpan, 4), result);
    ReportUse(n + "entry under changes: ",
              MeasureRole(&system, proto::vm::ENTRY, kSpan, 4), result);
    system.Stop();
  }
  result->AddWithMax("agent: control traffic at 200 over that at 50",
                     agents[200].control_bytes / agents[50].control_bytes, "",
                     kMaxGrowth);
  result->AddWithMax("entry: control traffic at 200 over that at 50",
                     entries[200].control_bytes / entries[50].control_bytes, "",
                     kMaxGrowth);
}

}  // namespace fuchsiafall::bench
