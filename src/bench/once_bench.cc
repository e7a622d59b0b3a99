/// @file once_bench.cc Non-idempotent calls under one fault after the other.
#include <csignal>

#include <random>
#include <sstream>
#include <thread>

#include "bench/bench.h"
#include "harness/fleet.h"
#include "harness/load.h"

namespace fuchsiafall::bench {

namespace {

using harness::call_record;
using harness::fleet;
using harness::fleet_vm;

constexpr size_t kCalls = 10000;
constexpr size_t kThreads = 48;
constexpr uint64_t kSeed = 20261204;

/// Fault that is in force while some of the calls are made.
struct fault_phase {
  const char* name;
  void (*begin)(fleet*, std::mt19937_64*);
  void (*end)(fleet*);
};

std::vector<fleet_vm*> BookingAgents(fleet* system) {
  std::vector<fleet_vm*> agents = system->VmsOf(proto::vm::AGENT);
  std::erase_if(
      agents, [](const fleet_vm* vm) { return vm->vm.service() != "booking"; });
  return agents;
}

fleet_vm* RandomVm(const std::vector<fleet_vm*>& vms, std::mt19937_64* random) {
  return vms[(*random)() % vms.size()];
}

void NoCleanup(fleet*) {}

void KillAgent(fleet* system, std::mt19937_64* random) {
  system->Restart(RandomVm(BookingAgents(system), random));
}

void KillEntry(fleet* system, std::mt19937_64* random) {
  system->Restart(RandomVm(system->VmsOf(proto::vm::ENTRY), random));
}

void PauseAgent(fleet* system, std::mt19937_64* random) {
  RandomVm(BookingAgents(system), random)->process->Signal(SIGSTOP);
}

void ContinueAll(fleet* system) {
  for (fleet_vm& vm : system->Vms())
    vm.process->Signal(SIGCONT);
}

void LoseAnswers(fleet* system, std::mt19937_64*) {
  system->ControlPlatform("/control/faults?lose=0.3");
}

void StoreDown(fleet* system, std::mt19937_64*) {
  system->ControlPlatform("/control/faults?down=1");
}

void StoreSlow(fleet* system, std::mt19937_64*) {
  system->ControlPlatform("/control/faults?slow_ms=400");
}

void ClearStoreFaults(fleet* system) {
  system->ControlPlatform("/control/faults?down=0&slow_ms=0&lose=0");
}

void StallConnections(fleet* system, std::mt19937_64*) {
  system->ControlProxy("/control/set?group=*&silence=1");
}

void CutDomain(fleet* system, std::mt19937_64*) {
  system->ControlProxy("/control/set?group=western-southern&mode=cut");
  system->ControlProxy("/control/set?group=southern-western&mode=cut");
  system->ControlProxy("/control/set?group=southern-eastern&mode=hold");
  system->ControlProxy("/control/set?group=eastern-southern&mode=hold");
}

void DelayLinks(fleet* system, std::mt19937_64*) {
  system->ControlProxy("/control/set?group=*&delay_ms=1500");
}

void ClearLinkFaults(fleet* system) {
  system->ControlProxy("/control/set?group=*&mode=open&delay_ms=2");
}

void TakeOutDomain(fleet* system, std::mt19937_64*) {
  system->RunCommand(
      {"take-out", "western", "--store", system->StoreAddress()});
}

void ReturnDomain(fleet* system) {
  system->RunCommand({"return", "western", "--store", system->StoreAddress()});
}

void PauseAndLose(fleet* system, std::mt19937_64* random) {
  PauseAgent(system, random);
  LoseAnswers(system, random);
}

void ClearAllFaults(fleet* system) {
  ContinueAll(system);
  ClearStoreFaults(system);
  ClearLinkFaults(system);
}

constexpr fault_phase kPhases[] = {
    {"no fault", nullptr, NoCleanup},
    {"agent killed", KillAgent, NoCleanup},
    {"entry killed", KillEntry, NoCleanup},
    {"agent paused", PauseAgent, ContinueAll},
    {"answers of the store lost", LoseAnswers, ClearStoreFaults},
    {"store down", StoreDown, ClearStoreFaults},
    {"store slow", StoreSlow, ClearStoreFaults},
    {"connections silent", StallConnections, NoCleanup},
    {"domain cut off", CutDomain, ClearLinkFaults},
    {"answers late", DelayLinks, ClearLinkFaults},
    {"servers taken out", TakeOutDomain, ReturnDomain},
    {"agent paused, answers lost", PauseAndLose, ClearAllFaults},
};

/// Results of all tries with one idempotency key.
struct key_history {
  size_t tries = 0;
  size_t not_run = 0;
  size_t answered = 0;
};

/// Results of the calls of one phase.
struct phase_count {
  size_t answered = 0;
  size_t not_run = 0;
  size_t may_have_run = 0;
};

/// Makes the calls of a phase in concurrent threads, with one to three tries of
/// each key through random entries.
class concurrent_callers {
 public:
  explicit concurrent_callers(fleet* system) {
    for (fleet_vm* vm : system->VmsOf(proto::vm::ENTRY))
      entries_.push_back(vm->http);
  }

  phase_count Run(size_t phase, size_t calls) {
    count_ = {};
    std::vector<std::thread> threads;
    for (size_t i = 0; i < kThreads; ++i) {
      threads.emplace_back([this, phase, i, calls] {
        std::mt19937_64 random(kSeed + phase * kThreads + i);
        for (size_t made = 0; made < calls / kThreads;)
          made += MakeTries(phase, i, &random);
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    return count_;
  }

  const std::map<std::string, key_history>& Keys() const { return keys_; }

 private:
  size_t MakeTries(size_t phase, size_t thread, std::mt19937_64* random) {
    const std::string key = std::to_string(phase) + "-" +
                            std::to_string(thread) + "-" +
                            std::to_string((*random)());
    const size_t tries = 1 + (*random)() % 3;
    for (size_t i = 0; i < tries; ++i) {
      call_record record =
          harness::MakeCall({.entry = entries_[(*random)() % entries_.size()],
                             .organisation = "chapel",
                             .service = "booking",
                             .is_plain = true,
                             .prompt = "ceremony " + key,
                             .key = key,
                             .deadline = milliseconds(3000)},
                            std::chrono::steady_clock::now());
      Count(key, record);
    }
    return tries;
  }

  void Count(const std::string& key, const call_record& record) {
    std::lock_guard lock(mutex_);
    key_history& history = keys_[key];
    ++history.tries;
    if (record.end == call_record::end_type::kAnswered) {
      ++history.answered;
      ++count_.answered;
    } else if (record.end == call_record::end_type::kRefused &&
               record.not_run) {
      ++history.not_run;
      ++count_.not_run;
    } else {
      ++count_.may_have_run;
    }
  }

  std::vector<std::string> entries_;
  std::mutex mutex_;
  std::map<std::string, key_history> keys_;
  phase_count count_;
};

std::map<std::string, int> ReadRuns(fleet* system) {
  std::map<std::string, int> runs;
  std::istringstream lines(system->FetchPage(
      BookingAgents(system).front()->engine, "/control/runs"));
  std::string key;
  int count = 0;
  while (lines >> key >> count)
    runs[key] = count;
  return runs;
}

/// Compares the runs at the service with the answers to callers.
void ReportRuns(fleet* system,
                const concurrent_callers& callers,
                report* result) {
  std::map<std::string, int> runs = ReadRuns(system);
  double duplicates = 0;
  double false_not_run = 0;
  double answers_without_run = 0;
  for (const auto& [key, count] : runs) {
    duplicates += count > 1 ? 1 : 0;
    auto it = callers.Keys().find(key);
    if (it != callers.Keys().end() && it->second.not_run == it->second.tries)
      ++false_not_run;
  }
  for (const auto& [key, history] : callers.Keys()) {
    answers_without_run += history.answered > 0 && !runs.contains(key) ? 1 : 0;
  }
  result->Add("keys that ran", static_cast<double>(runs.size()), "keys");
  result->AddWithMax("duplicate runs", duplicates, "keys", 0);
  result->AddWithMax("false \"not run\"", false_not_run, "keys", 0);
  result->AddWithMax("answers without a run", answers_without_run, "keys", 0);
}

}  // namespace

void RunOnceBench(const bench_arguments& arguments, report* result) {
  const size_t calls = CountOf(arguments, kCalls);
  harness::fleet_options options;
  options.directory = harness::NewDirectory("once");
  options.entries = 2;
  options.services = {
      {.id = "booking", .is_plain = true, .servers = 2, .cold_limit = 16}};
  options.has_proxy = true;
  options.settings = {{"control.heartbeat", "500"},
                      {"control.watch", "1000"},
                      {"control.suspect", "2000"},
                      {"request.progress", "2500"}};
  fleet system(options);
  outcome<done> started = system.Start();
  if (started)
    started = system.Apply();
  if (!started)
    PrintProgress(started.LastReason());
  harness::WaitUntil(
      [&] {
        return harness::MakeCall({.entry = system.Vms().front().http,
                                  .organisation = "chapel",
                                  .service = "booking",
                                  .is_plain = true,
                                  .prompt = "first",
                                  .key = "first"},
                                 std::chrono::steady_clock::now())
                   .end == call_record::end_type::kAnswered;
      },
      seconds(20));
  concurrent_callers callers(&system);
  std::mt19937_64 random(kSeed);
  const size_t share = calls / std::size(kPhases) + 1;
  size_t made = 0;
  for (size_t i = 0; i < std::size(kPhases); ++i) {
    const fault_phase& phase = kPhases[i];
    const std::string name = phase.name;
    PrintProgress(name);
    if (phase.begin != nullptr)
      phase.begin(&system, &random);
    // Ends the fault while calls are still being made.
    std::thread fault_timer([&] {
      std::this_thread::sleep_for(seconds(4));
      phase.end(&system);
    });
    phase_count count = callers.Run(i, share);
    fault_timer.join();
    made += count.answered + count.not_run + count.may_have_run;
    const auto all = static_cast<double>(count.answered + count.not_run +
                                         count.may_have_run);
    result->Add(name + ": answered",
                100 * static_cast<double>(count.answered) / all, "%");
    result->Add(name + ": refused, not run",
                100 * static_cast<double>(count.not_run) / all, "%");
    result->Add(name + ": may have run",
                100 * static_cast<double>(count.may_have_run) / all, "%");
  }
  result->AddWithMin("calls made", static_cast<double>(made), "calls",
                     static_cast<double>(calls));
  ReportRuns(&system, callers, result);
  system.Stop();
}

}  // namespace fuchsiafall::bench
