/// @file quickstart.cc Small fleet from its start: inventory, rollout,
/// requests, and a failure domain that is taken out of service and returned.
#include <csignal>

#include <algorithm>
#include <thread>

#include "bench/bench.h"
#include "harness/fleet.h"
#include "harness/load.h"

namespace fuchsiafall::bench {

namespace {

using harness::fleet;
using harness::load_summary;

constexpr uint64_t kWeightBytes = 8 << 20;
constexpr seconds kReadyTimeout{60};
constexpr seconds kPhaseTime{5};
constexpr double kRate = 40;  // Requests per second.

harness::fleet_options Options() {
  harness::fleet_options options;
  options.directory = harness::NewDirectory("quickstart");
  options.services = {{.id = "assistant", .servers = 3},
                      {.id = "booking", .is_plain = true, .servers = 1}};
  options.weights = {"v1:8388608:131072:1", "v2:8388608:131072:2"};
  return options;
}

/// Returns the number of model servers that serve a version.
size_t CountServing(fleet* system, const std::string& version) {
  size_t count = 0;
  for (harness::fleet_vm* vm : system->VmsOf(proto::vm::AGENT)) {
    const std::string stats = system->FetchPage(vm->engine, "/control/stats");
    if (harness::ReadJsonText(stats, "version") == version)
      ++count;
  }
  return count;
}

/// Applies the inventory with a version and waits until all servers serve it.
/// @return Duration in seconds.
double RollOut(fleet* system, const std::string& version, size_t servers) {
  system->SetVersion("assistant", version);
  const time_point begun = std::chrono::steady_clock::now();
  outcome<done> applied = system->Apply();
  if (!applied)
    PrintProgress(applied.LastReason());
  harness::WaitUntil([&] { return CountServing(system, version) == servers; },
                     kReadyTimeout);
  return ToSeconds(std::chrono::steady_clock::now() - begun);
}

/// Returns the bytes drawn from the origin, as copies of the weights.
double OriginCopies(fleet* system) {
  auto sent = harness::ReadJsonNumber(system->ControlOrigin("/control/stats"),
                                      "sent_bytes");
  return static_cast<double>(sent.value_or(0)) / kWeightBytes;
}

std::vector<std::string> EntryAddresses(fleet* system) {
  std::vector<std::string> addresses;
  for (harness::fleet_vm* vm : system->VmsOf(proto::vm::ENTRY))
    addresses.push_back(vm->http);
  return addresses;
}

/// Books seats through all entries, each key twice, through different entries.
void BookSeats(fleet* system, report* result) {
  const std::vector<std::string> entries = EntryAddresses(system);
  size_t answered = 0;
  constexpr size_t kSeats = 40;
  for (size_t i = 0; i < 2 * kSeats; ++i) {
    harness::planned_request plan{
        .entry = entries[i % entries.size()],
        .organisation = "regatta",
        .service = "booking",
        .is_plain = true,
        .prompt = "seat " + std::to_string(i % kSeats),
        .key = "seat-" + std::to_string(i % kSeats)};
    harness::call_record record =
        harness::MakeCall(plan, std::chrono::steady_clock::now());
    if (record.end == harness::call_record::end_type::kAnswered)
      ++answered;
  }
  for (harness::fleet_vm* vm : system->VmsOf(proto::vm::AGENT)) {
    if (vm->vm.service() != "booking")
      continue;
    const std::string stats = system->FetchPage(vm->engine, "/control/stats");
    result->AddWithMax(
        "bookings run twice",
        static_cast<double>(
            harness::ReadJsonNumber(stats, "duplicates").value_or(-1)),
        "keys", 0);
    break;
  }
  result->AddWithMin("bookings answered, each key sent twice",
                     static_cast<double>(answered), "answers", 2 * kSeats);
}

}  // namespace

void RunQuickstart(const bench_arguments&, report* result) {
  fleet system(Options());
  const size_t servers = 9;
  PrintProgress(
      "starting 3 failure domains with 2 entries and 4 backend servers each");
  outcome<done> started = system.Start();
  if (!started) {
    PrintProgress(started.LastReason());
    result->AddWithMax("fleet not started", 1, "", 0);
    return;
  }
  PrintProgress("applying the inventory; all servers get v1");
  result->Add("v1 on all servers", RollOut(&system, "v1", servers), "s");
  result->AddWithMin("servers that serve v1",
                     static_cast<double>(CountServing(&system, "v1")),
                     "servers", static_cast<double>(servers));
  result->AddWithMax("v1 drawn from the origin", OriginCopies(&system),
                     "copies", 1.2);

  PrintProgress("sending requests; rolling out v2 while they flow");
  harness::load_generator load(
      {.entries = EntryAddresses(&system), .rate = kRate});
  load.Start();
  system.ControlOrigin("/control/stats?reset=1");
  result->Add("v2 on all servers under load", RollOut(&system, "v2", servers),
              "s");
  result->AddWithMin("servers that serve v2",
                     static_cast<double>(CountServing(&system, "v2")),
                     "servers", static_cast<double>(servers));
  result->AddWithMax("v2 drawn from the origin", OriginCopies(&system),
                     "copies", 1.2);

  PrintProgress("taking southern out of service and returning it");
  const time_point before = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kPhaseTime);
  const time_point out_at = std::chrono::steady_clock::now();
  system.RunCommand({"take-out", "southern", "--store", system.StoreAddress()});
  std::this_thread::sleep_for(kPhaseTime);
  const time_point back_at = std::chrono::steady_clock::now();
  system.RunCommand({"return", "southern", "--store", system.StoreAddress()});
  std::this_thread::sleep_for(kPhaseTime);
  const time_point ended = std::chrono::steady_clock::now();
  load.Stop();

  PrintProgress("booking seats, each key twice through different entries");
  BookSeats(&system, result);

  const auto records = load.Records();
  const load_summary all = harness::Summarise(records, time_point{}, ended);
  const load_summary usual = harness::Summarise(records, before, out_at);
  const load_summary out = harness::Summarise(records, out_at, back_at);
  result->Add("requests", static_cast<double>(all.all), "requests");
  result->Add("answered", static_cast<double>(all.answered), "requests");
  for (const auto& [reason, count] : all.refused) {
    result->Add("refused, " + reason, static_cast<double>(count), "requests");
  }
  result->AddWithMax("lost", static_cast<double>(all.lost), "requests", 0);
  result->AddWithMax("wrong, partial or mixed answers",
                     static_cast<double>(all.wrong), "requests", 0);
  result->Add("first token p50, before", usual.first_p50_ms, "ms");
  result->Add("first token p95, before", usual.first_p95_ms, "ms");
  result->Add("first token p95, domain out", out.first_p95_ms, "ms");
  result->AddWithMax(
      "cold limit exceeded",
      static_cast<double>(system.SumEngines("cold_limit_exceeded")), "times",
      0);
  result->AddWithMax("unverified weights loaded",
                     static_cast<double>(system.SumEngines("bad_loads")),
                     "times", 0);
  PrintProgress("shutting down");
  result->AddWithMax("processes that did not end gracefully",
                     static_cast<double>(system.Stop()), "processes", 0);
}

}  // namespace fuchsiafall::bench
