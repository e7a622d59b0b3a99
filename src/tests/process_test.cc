/// @file process_test.cc Tests of real processes, most of them behind the
/// fault-injecting proxy.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>

#include "harness/fleet.h"
#include "harness/load.h"
#include "network/node_runtime.h"

namespace fuchsiafall::tests {

namespace {

using harness::call_record;
using harness::fleet;
using harness::fleet_vm;

harness::fleet_options SmallOptions(const std::string& name) {
  harness::fleet_options options;
  options.directory = harness::NewDirectory(name);
  options.entries = 1;
  options.services = {{.id = "assistant", .servers = 2},
                      {.id = "booking", .is_plain = true, .servers = 1}};
  options.weights = {"v1:1048576:65536:1", "v2:1048576:65536:2"};
  options.has_proxy = true;
  options.settings = {{"control.heartbeat", "500"},
                      {"control.watch", "1000"},
                      {"control.suspect", "2000"}};
  return options;
}

bool AllServe(fleet* system, const std::string& version) {
  for (fleet_vm* vm : system->VmsOf(proto::vm::AGENT)) {
    if (vm->vm.service() != "assistant")
      continue;
    const std::string status = system->FetchPage(vm->http, "/status");
    if (harness::ReadJsonText(status, "version") != version)
      return false;
  }
  return true;
}

void StartServing(fleet* system) {
  outcome<done> started = system->Start();
  BOOST_TEST_REQUIRE(static_cast<bool>(started), started.LastReason());
  system->SetVersion("assistant", "v1");
  outcome<done> applied = system->Apply();
  BOOST_TEST_REQUIRE(static_cast<bool>(applied), applied.LastReason());
  BOOST_TEST_REQUIRE(
      harness::WaitUntil([&] { return AllServe(system, "v1"); }, seconds(40)));
}

call_record Complete(const fleet_vm* entry, const std::string& prompt) {
  return harness::MakeCall({.entry = entry->http,
                            .organisation = "regatta",
                            .service = "assistant",
                            .prompt = prompt},
                           std::chrono::steady_clock::now());
}

call_record Book(const fleet_vm* entry, const std::string& key) {
  return harness::MakeCall({.entry = entry->http,
                            .organisation = "regatta",
                            .service = "booking",
                            .is_plain = true,
                            .prompt = "seat " + key,
                            .key = key},
                           std::chrono::steady_clock::now());
}

fleet_vm* BookingServer(fleet* system) {
  for (fleet_vm* vm : system->VmsOf(proto::vm::AGENT)) {
    if (vm->vm.service() == "booking")
      return vm;
  }
  return nullptr;
}

bool IsAnswered(const call_record& record) {
  return record.end == call_record::end_type::kAnswered;
}

int64_t Revision(fleet* system, const fleet_vm* vm) {
  return static_cast<int64_t>(
      harness::ReadMetric(system->FetchPage(vm->http, "/metrics"),
                          "configuration_revision")
          .value_or(-1));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(process_suite)

BOOST_AUTO_TEST_CASE(faults_behind_the_proxy_break_no_promise) {
  fleet system(SmallOptions("process-test"));
  StartServing(&system);
  std::vector<fleet_vm*> entries = system.VmsOf(proto::vm::ENTRY);

  // Requests, and bookings that are repeated with the same key through another
  // entry.
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(harness::WaitUntil(
        [&] {
          return IsAnswered(
              Complete(entries[i % 3], "prompt " + std::to_string(i)));
        },
        seconds(10)));
  }
  for (int i = 0; i < 5; ++i) {
    const std::string key = "seat-" + std::to_string(i);
    BOOST_TEST(IsAnswered(Book(entries[0], key)));
    BOOST_TEST(IsAnswered(Book(entries[1], key)));
  }

  // Open connections stop carrying data and stay open; new ones work.
  system.ControlProxy("/control/set?group=*&silence=1");
  BOOST_TEST(harness::WaitUntil(
      [&] { return IsAnswered(Complete(entries[0], "after silence")); },
      seconds(20)));

  // A stalled link is only detected when it is next used. Bookings with new
  // keys are spread over all servers, and so use all links.
  int new_keys = 0;
  int consecutive_answers = 0;
  auto all_links_work = [&] {
    consecutive_answers =
        IsAnswered(Book(entries[0], "fresh-" + std::to_string(new_keys++)))
            ? consecutive_answers + 1
            : 0;
    return consecutive_answers == 12;
  };
  BOOST_TEST(harness::WaitUntil(all_links_work, seconds(60), milliseconds(1)));

  // A domain that is cut off from the store gets an edit from its peers.
  system.ControlProxy("/control/set?group=eastern-store&mode=cut");
  std::string output;
  BOOST_TEST(system.RunCommand(
                 {"take-out", "southern", "--store", system.StoreAddress()},
                 &output) == 0,
             output);
  auto all_at_two = [&] {
    return std::all_of(
        system.Vms().begin(), system.Vms().end(),
        [&](const fleet_vm& vm) { return Revision(&system, &vm) == 2; });
  };
  BOOST_TEST(harness::WaitUntil(all_at_two, seconds(20)));
  system.ControlProxy("/control/set?group=eastern-store&mode=open");

  // While the store is down, the configuration stays in force, model requests
  // are served, and bookings are refused as not run.
  system.ControlPlatform("/control/faults?down=1");
  BOOST_TEST(IsAnswered(Complete(entries[0], "store down")));
  int tries = 0;
  auto is_refused_as_not_run = [&] {
    call_record booking = Book(entries[0], "down-" + std::to_string(tries++));
    return booking.end == call_record::end_type::kRefused && booking.not_run;
  };
  // The first answer on a stalled link may be lost; the caller is then told
  // that the booking may have run.
  BOOST_TEST(harness::WaitUntil(is_refused_as_not_run, seconds(30)));
  const std::string runs =
      system.FetchPage(BookingServer(&system)->engine, "/control/runs");
  BOOST_TEST(runs.find("down-") == std::string::npos, runs);
  // A restarted agent gets the configuration from its peers.
  fleet_vm* replaced = system.VmsOf(proto::vm::AGENT, "western").front();
  system.Restart(replaced);
  BOOST_TEST(harness::WaitUntil(
      [&] { return Revision(&system, replaced) == 2; }, seconds(15)));
  system.ControlPlatform("/control/faults?down=0");
  BOOST_TEST(system.RunCommand({"return", "southern", "--store",
                                system.StoreAddress()}) == 0);

  // The store loses the answers to writes that took effect.
  system.ControlPlatform("/control/faults?lose=0.5");
  for (int i = 10; i < 16; ++i) {
    const std::string key = "seat-" + std::to_string(i);
    Book(entries[0], key);
    Book(entries[2], key);
  }
  system.ControlPlatform("/control/faults?lose=0");

  // Rollout of a new version while a server is killed and chunks are corrupted.
  system.ControlOrigin("/control/faults?corrupt=0.05");
  system.SetVersion("assistant", "v2");
  BOOST_TEST(static_cast<bool>(system.Apply()));
  system.Restart(system.VmsOf(proto::vm::AGENT, "southern").front());
  BOOST_TEST(
      harness::WaitUntil([&] { return AllServe(&system, "v2"); }, seconds(60)));

  for (fleet_vm* vm : system.VmsOf(proto::vm::AGENT)) {
    const std::string stats = system.FetchPage(vm->engine, "/control/stats");
    BOOST_TEST(harness::ReadJsonNumber(stats, "bad_loads").value_or(0) == 0);
    BOOST_TEST(
        harness::ReadJsonNumber(stats, "cold_limit_exceeded").value_or(0) == 0);
    BOOST_TEST(harness::ReadJsonNumber(stats, "duplicates").value_or(0) == 0);
  }
  // A graceful shutdown completes the requests in progress.
  call_record last;
  std::thread caller([&] {
    harness::planned_request plan{.entry = entries[0]->http,
                                  .organisation = "regatta",
                                  .service = "assistant",
                                  .tokens = 200,
                                  .prompt = "long"};
    last = harness::MakeCall(plan, std::chrono::steady_clock::now());
  });
  BOOST_TEST(
      harness::WaitUntil([&] { return system.SumEngines("running") > 0; },
                         seconds(10), milliseconds(10)));
  BOOST_TEST(system.Stop() == 0u);
  caller.join();
  BOOST_TEST(IsAnswered(last), last.reason);
}

BOOST_AUTO_TEST_CASE(keys_let_only_configured_peers_in) {
  harness::fleet_options options = SmallOptions("keys-test");
  options.has_proxy = false;
  options.has_keys = true;
  options.domains = {"western"};
  fleet system(options);
  StartServing(&system);
  // Processes answer a status command only if it uses the keys.
  std::string output;
  system.RunCommand({"status", "--json", "--store", system.StoreAddress()},
                    &output);
  BOOST_TEST(output.find("\"answered\": true") == std::string::npos);
  const std::string ini =
      options.directory + "/" + system.Vms().front().vm.id() + ".ini";
  system.RunCommand(
      {"status", "--json", "--config", ini, "--store", system.StoreAddress()},
      &output);
  BOOST_TEST(output.find("\"answered\": true") != std::string::npos, output);
  system.Stop();
}

BOOST_AUTO_TEST_CASE(a_hangup_signal_ends_no_process) {
  harness::fleet_options options = SmallOptions("hangup-test");
  options.has_proxy = false;
  options.domains = {"western"};
  fleet system(options);
  StartServing(&system);
  for (fleet_vm& vm : system.Vms())
    vm.process->Signal(SIGHUP);
  std::this_thread::sleep_for(milliseconds(500));
  for (fleet_vm& vm : system.Vms())
    BOOST_TEST(vm.process->IsRunning(), vm.vm.id());
  system.Stop();
}

BOOST_AUTO_TEST_CASE(commands_refuse_bad_input_with_one_error) {
  harness::fleet_options options = SmallOptions("command-test");
  fleet system(options);
  std::string output;
  BOOST_TEST(system.RunCommand({"check", "/nonexistent.json"}, &output) == 3);
  BOOST_TEST(output.find("/nonexistent.json: cannot be opened") !=
             std::string::npos);
  BOOST_TEST(system.RunCommand({"fly"}, &output) == 2);
  BOOST_TEST(system.RunCommand({"take-out", "western"}, &output) == 2);
  BOOST_TEST(system.RunCommand(
                 {"take-out", "western", "--store", "127.0.0.1:9"}, &output) ==
             5);
  BOOST_TEST(system.RunCommand({"--version"}, &output) == 0);
  BOOST_TEST(output.starts_with("fuchsiafall 0."));
  const std::string path = options.directory + "/weights.bin";
  std::ofstream(path) << std::string(100000, 'x');
  BOOST_TEST(system.RunCommand({"manifest", path, "--chunk-bytes", "1000"},
                               &output) == 0);
  BOOST_TEST(output.size() == 65u);
}

BOOST_AUTO_TEST_CASE(a_reload_does_not_end_a_process_that_is_starting) {
  sigset_t before;
  sigset_t blocked;
  pthread_sigmask(SIG_BLOCK, nullptr, &before);
  BlockSignals();
  pthread_sigmask(SIG_SETMASK, &before, &blocked);
  BOOST_TEST(sigismember(&blocked, SIGHUP) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
