/// @file recovery_bench.cc Replacement of a third of all processes at once.
#include <algorithm>
#include <csignal>
#include <thread>

#include "bench/bench.h"
#include "harness/fleet.h"
#include "harness/load.h"

namespace fuchsiafall::bench {

namespace {

using harness::fleet;
using harness::fleet_vm;

constexpr double kRate = 40;  // Requests per second.
constexpr seconds kLoadTimeBefore{6};
constexpr seconds kRecoveryTimeout{60};

harness::fleet_options MakeOptions() {
  harness::fleet_options options;
  options.directory = harness::NewDirectory("recovery");
  options.entries = 3;
  options.services = {{.id = "assistant", .servers = 6, .max_limit = 8}};
  options.weights = {"v1:4194304:131072:1"};
  options.has_proxy = true;
  return options;
}

/// Returns whether a process reports itself as ready.
bool IsReady(fleet* system, const fleet_vm* vm) {
  return system->FetchPage(vm->http, "/readyz") == "ready\n";
}

bool StartServing(fleet* system) {
  outcome<done> started = system->Start();
  system->SetVersion("assistant", "v1");
  if (started)
    started = system->Apply();
  if (!started)
    PrintProgress(started.LastReason());
  return started &&
         harness::WaitUntil(
             [&] {
               return std::all_of(
                   system->Vms().begin(), system->Vms().end(),
                   [&](const fleet_vm& vm) { return IsReady(system, &vm); });
             },
             kRecoveryTimeout);
}

/// Kills processes, crashes their engines, and restarts the processes.
void Replace(fleet* system, const std::vector<fleet_vm*>& replaced) {
  for (fleet_vm* vm : replaced) {
    vm->process->Signal(SIGKILL);
    if (!vm->engine.empty())
      system->FetchPage(vm->engine, "/control/crash");
  }
  for (fleet_vm* vm : replaced)
    system->Restart(vm);
}

/// Waits until replaced processes are ready again.
/// @return Times until then, for those that got ready before the timeout.
std::vector<duration> WaitUntilReady(fleet* system,
                                     std::vector<fleet_vm*> replaced,
                                     time_point begun) {
  std::vector<duration> times;
  harness::WaitUntil(
      [&] {
        std::erase_if(replaced, [&](fleet_vm* vm) {
          if (!IsReady(system, vm))
            return false;
          times.push_back(std::chrono::steady_clock::now() - begun);
          return true;
        });
        return replaced.empty();
      },
      kRecoveryTimeout);
  return times;
}

void MeasureRecovery(bool is_store_down, report* result) {
  const std::string name = is_store_down ? "store down: " : "store up: ";
  PrintProgress(name + "a third of the processes replaced at once");
  fleet system(MakeOptions());
  if (!StartServing(&system)) {
    result->AddWithMax(name + "fleet that did not serve", 1, "", 0);
    return;
  }
  std::vector<fleet_vm*> replaced;
  std::vector<std::string> kept_entries;
  for (size_t i = 0; i < system.Vms().size(); ++i) {
    fleet_vm* vm = &system.Vms()[i];
    if (i % 3 == 0) {
      replaced.push_back(vm);
    } else if (vm->engine.empty()) {
      kept_entries.push_back(vm->http);
    }
  }
  harness::load_generator load(
      {.entries = kept_entries, .rate = kRate, .threads = 96});
  load.Start();
  std::this_thread::sleep_for(kLoadTimeBefore);
  if (is_store_down)
    system.ControlPlatform("/control/faults?down=1");
  const time_point begun = std::chrono::steady_clock::now();
  Replace(&system, replaced);
  std::vector<duration> times = WaitUntilReady(&system, replaced, begun);
  load.Stop();
  harness::load_summary all =
      Summarise(load.Records(), begun, time_point::max());
  size_t refused = 0;
  for (const auto& [reason, count] : all.refused)
    refused += count;
  result->AddWithMax(name + "processes not useful again",
                     static_cast<double>(replaced.size() - times.size()),
                     "processes", 0);
  result->Add(name + "useful again p50", harness::QuantileMs(times, 0.5) / 1000,
              "s");
  result->Add(name + "useful again, last", harness::QuantileMs(times, 1) / 1000,
              "s");
  result->Add(name + "requests meanwhile", static_cast<double>(all.all),
              "requests");
  result->Add(name + "refused", static_cast<double>(refused), "requests");
  result->AddWithMax(name + "lost without an answer, or wrong",
                     static_cast<double>(all.lost + all.wrong), "requests", 0);
  system.Stop();
}

}  // namespace

void RunRecoveryBench(const bench_arguments&, report* result) {
  for (bool is_store_down : {false, true})
    MeasureRecovery(is_store_down, result);
}

}  // namespace fuchsiafall::bench
