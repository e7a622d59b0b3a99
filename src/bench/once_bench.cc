/// @file once_bench.cc Calls that may not be repeated, under one fault after
/// the other.
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

/// Fault that lasts while some of the calls are made.
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

fleet_vm* AnyOf(const std::vector<fleet_vm*>& vms, std::mt19937_64* random) {
  return vms[(*random)() % vms.size()];
}

void Nothing(fleet*) {}

void KillAgent(fleet* system, std::mt19937_64* random) {
  system->Restart(AnyOf(BookingAgents(system), random));
}

void KillEntry(fleet* system, std::mt19937_64* random) {
  system->Restart(AnyOf(system->VmsOf(proto::vm::ENTRY), random));
}

void PauseAgent(fleet* system, std::mt19937_64* random) {
  AnyOf(BookingAgents(system), random)->process->Signal(SIGSTOP);
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

void StoreGood(fleet* system) {
  system->ControlPlatform("/control/faults?down=0&slow_ms=0&lose=0");
}

void Silence(fleet* system, std::mt19937_64*) {
  system->ControlProxy("/control/set?group=*&silence=1");
}

void CutDomain(fleet* system, std::mt19937_64*) {
  system->ControlProxy("/control/set?group=western-southern&mode=cut");
  system->ControlProxy("/control/set?group=southern-western&mode=cut");
  system->ControlProxy("/control/set?group=southern-eastern&mode=hold");
  system->ControlProxy("/control/set?group=eastern-southern&mode=hold");
}

void LateAnswers(fleet* system, std::mt19937_64*) {
  system->ControlProxy("/control/set?group=*&delay_ms=1500");
}

void LinksGood(fleet* system) {
  system->ControlProxy("/control/set?group=*&mode=open&delay_ms=2");
}

void ChangeServers(fleet* system, std::mt19937_64*) {
  system->RunCommand(
      {"take-out", "western", "--store", system->StoreAddress()});
}

void ChangeBack(fleet* system) {
  system->RunCommand({"return", "western", "--store", system->StoreAddress()});
}

void PauseAndLose(fleet* system, std::mt19937_64* random) {
  PauseAgent(system, random);
  LoseAnswers(system, random);
}

void HealAll(fleet* system) {
  ContinueAll(system);
  StoreGood(system);
  LinksGood(system);
}

constexpr fault_phase kPhases[] = {
    {"no fault", nullptr, Nothing},
    {"agent killed", KillAgent, Nothing},
    {"entry killed", KillEntry, Nothing},
    {"agent paused", PauseAgent, ContinueAll},
    {"answers of the store lost", LoseAnswers, StoreGood},
    {"store down", StoreDown, StoreGood},
    {"store slow", StoreSlow, StoreGood},
    {"connections silent", Silence, Nothing},
    {"domain cut off", CutDomain, LinksGood},
    {"answers late", LateAnswers, LinksGood},
    {"servers taken out", ChangeServers, ChangeBack},
    {"agent paused, answers lost", PauseAndLose, HealAll},
};

/// What became of one key over all its tries.
struct key_history {
  size_t tries = 0;
  size_t not_run = 0;
  size_t answered = 0;
};

/// Ends of calls in one phase.
struct phase_count {
  size_t answered = 0;
  size_t not_run = 0;
  size_t may_have_run = 0;
};

/// Makes the calls of one phase, many at a time, each key through one to three
/// entries.
class caller_crowd {
 public:
  explicit caller_crowd(fleet* system) {
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
  std::istringstream lines(
      system->Control(BookingAgents(system).front()->engine, "/control/runs"));
  std::string key;
  int count = 0;
  while (lines >> key >> count)
    runs[key] = count;
  return runs;
}

void ReportRuns(fleet* system, const caller_crowd& crowd, report* result) {
  std::map<std::string, int> runs = ReadRuns(system);
  double duplicates = 0;
  double denied = 0;
  double unfounded = 0;
  for (const auto& [key, count] : runs) {
    duplicates += count > 1 ? 1 : 0;
    auto it = crowd.Keys().find(key);
    if (it != crowd.Keys().end() && it->second.not_run == it->second.tries)
      ++denied;
  }
  for (const auto& [key, history] : crowd.Keys()) {
    unfounded += history.answered > 0 && !runs.contains(key) ? 1 : 0;
  }
  result->Add("keys that ran", static_cast<double>(runs.size()), "keys");
  result->AddMost("duplicate runs", duplicates, "keys", 0);
  result->AddMost("false \"not run\"", denied, "keys", 0);
  result->AddMost("answers without a run", unfounded, "keys", 0);
}

}  // namespace

void RunOnceBench(const bench_arguments& arguments, report* result) {
  const size_t calls = CountOf(arguments, kCalls);
  harness::fleet_options options;
  options.folder = harness::NewFolder("once");
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
    Progress(started.LastReason());
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
  caller_crowd crowd(&system);
  std::mt19937_64 random(kSeed);
  const size_t share = calls / std::size(kPhases) + 1;
  size_t made = 0;
  for (size_t i = 0; i < std::size(kPhases); ++i) {
    const fault_phase& phase = kPhases[i];
    const std::string name = phase.name;
    Progress(name);
    if (phase.begin != nullptr)
      phase.begin(&system, &random);
    // The fault ends by itself while calls are still being made.
    std::thread healer([&] {
      std::this_thread::sleep_for(seconds(4));
      phase.end(&system);
    });
    phase_count count = crowd.Run(i, share);
    healer.join();
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
  result->AddLeast("calls made", static_cast<double>(made), "calls",
                   static_cast<double>(calls));
  ReportRuns(&system, crowd, result);
  system.Stop();
}

}  // namespace fuchsiafall::bench
