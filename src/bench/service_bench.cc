/// @file service_bench.cc Service to callers while a domain leaves and returns,
/// and under overload.
#include <algorithm>
#include <set>
#include <thread>

#include "bench/bench.h"
#include "harness/fleet.h"
#include "harness/load.h"
#include "reason_type.h"

namespace fuchsiafall::bench {

namespace {

using harness::call_record;
using harness::fleet;
using harness::fleet_vm;
using harness::load_summary;

constexpr int kPrefillMs = 50;
constexpr int kTokenMs = 10;
constexpr int kTokens = 16;
constexpr uint32_t kWarmLimit = 4;
constexpr double kLoadShare = 0.7;  // Of the capacity without the domain.
constexpr double kOverload = 3;     // Multiple of the capacity.
constexpr double kMaxP95Factor = 1.5;
constexpr double kMaxNewWorkS = 3;
constexpr double kMinGoodput = 0.9;
constexpr double kMinFairShare = 0.9;
constexpr seconds kWarmUp{12};
constexpr seconds kPhaseTime{10};
constexpr char kService[] = "assistant";

/// Size of the present deployment of one user.
struct user_size {
  std::string name;
  size_t model_servers = 0;
  size_t plain_servers = 0;
  int region_delay_ms = 0;
  std::vector<std::string> domains;
};

const user_size kKelani{"Kelani", 11, 4, 2, {"western", "southern", "eastern"}};
const user_size kPalomas{"Palomas", 16, 4, 1, {"lima", "arequipa", "cusco"}};

harness::fleet_options OptionsOf(const user_size& size, bool is_baseline) {
  harness::fleet_options options;
  options.directory = harness::NewDirectory("service");
  options.domains = size.domains;
  options.entries = 6;
  options.services = {
      {.id = kService, .total = size.model_servers, .max_limit = kWarmLimit},
      {.id = "booking", .is_plain = true, .total = size.plain_servers}};
  options.weights = {"v1:1048576:131072:1"};
  options.has_proxy = true;
  options.region_delay_ms = size.region_delay_ms;
  options.prefill_ms = kPrefillMs;
  options.token_ms = kTokenMs;
  options.entry_threads = 200;
  if (is_baseline)
    options.settings["baseline.policy"] = "1";
  return options;
}

/// Returns the requests per second that some model servers can answer.
double CapacityOf(size_t servers) {
  const double call_s = (kPrefillMs + (kTokens - 1) * kTokenMs) / 1000.0;
  return static_cast<double>(servers) * kWarmLimit / call_s;
}

size_t CountModelServers(fleet* system, const std::string& domain) {
  std::vector<fleet_vm*> vms = system->VmsOf(proto::vm::AGENT, domain);
  return static_cast<size_t>(std::count_if(
      vms.begin(), vms.end(),
      [](const fleet_vm* vm) { return vm->vm.service() == kService; }));
}

bool StartServing(fleet* system) {
  outcome<done> started = system->Start();
  if (started) {
    system->SetVersion(kService, "v1");
    started = system->Apply();
  }
  if (!started)
    PrintProgress(started.LastReason());
  const size_t all = CountModelServers(system, "");
  return harness::WaitUntil(
      [&] {
        size_t serving = 0;
        for (fleet_vm* vm : system->VmsOf(proto::vm::AGENT)) {
          if (vm->vm.service() != kService)
            continue;
          const std::string status = system->FetchPage(vm->http, "/status");
          serving += harness::ReadJsonText(status, "version") == "v1" ? 1 : 0;
        }
        return serving == all;
      },
      seconds(45), milliseconds(200));
}

harness::load_options LoadOf(fleet* system, double rate, size_t threads) {
  harness::load_options options;
  for (fleet_vm* vm : system->VmsOf(proto::vm::ENTRY))
    options.entries.push_back(vm->http);
  options.rate = rate;
  options.tokens = kTokens;
  options.threads = threads;
  return options;
}

/// Returns how many seconds after the acceptance of an edit the engines of a
/// domain last started a call.
double LastNewWork(fleet* system,
                   const std::string& domain,
                   time_point accepted) {
  double last = 0;
  for (fleet_vm* vm : system->VmsOf(proto::vm::AGENT, domain)) {
    if (vm->vm.service() != kService)
      continue;
    const std::string stats = system->FetchPage(vm->engine, "/control/stats");
    const auto ago =
        harness::ReadJsonNumber(stats, "ms_since_call").value_or(-1);
    if (ago < 0)
      continue;
    const double since = ToSeconds(std::chrono::steady_clock::now() - accepted);
    last = std::max(last, since - static_cast<double>(ago) / 1000);
  }
  return last;
}

size_t RefusedIn(const load_summary& summary) {
  size_t sum = 0;
  for (const auto& [reason, count] : summary.refused)
    sum += count;
  return sum;
}

/// Times of one leave and return.
struct leave_times {
  time_point before{};
  time_point out{};
  time_point back{};
  time_point ended{};
  double last_new_work_s = 0;  ///< Last call of its engines, after `out`.
};

/// Takes a domain out of service and returns it.
/// @param is_cut_from_store Whether the domain has no link to the store then.
leave_times LeaveAndReturn(fleet* system,
                           const std::string& domain,
                           bool is_cut_from_store) {
  leave_times times;
  times.before = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kPhaseTime);
  if (is_cut_from_store)
    system->ControlProxy("/control/set?group=" + domain + "-store&mode=cut");
  system->RunCommand({"take-out", domain, "--store", system->StoreAddress()});
  times.out = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kPhaseTime);
  times.last_new_work_s = LastNewWork(system, domain, times.out);
  system->RunCommand({"return", domain, "--store", system->StoreAddress()});
  if (is_cut_from_store)
    system->ControlProxy("/control/set?group=" + domain + "-store&mode=open");
  times.back = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kPhaseTime);
  times.ended = std::chrono::steady_clock::now();
  return times;
}

void ReportLeave(const std::string& name,
                 const std::vector<call_record>& records,
                 const leave_times& times,
                 bool is_baseline,
                 report* result) {
  load_summary before = Summarise(records, times.before, times.out);
  load_summary out = Summarise(records, times.out, times.back);
  load_summary back = Summarise(records, times.back, times.ended);
  load_summary all = Summarise(records, times.before, times.ended);
  result->Add(name + "requests while it leaves and returns",
              static_cast<double>(all.all), "requests");
  const auto lost = static_cast<double>(all.lost + all.wrong + RefusedIn(all));
  result->Add(name + "first token p95 before", before.first_p95_ms, "ms");
  if (is_baseline) {
    result->Add(name + "idempotent requests lost or refused", lost, "requests");
    result->Add(name + "first token p95, domain out", out.first_p95_ms, "ms");
    result->Add(name + "last new work after acceptance", times.last_new_work_s,
                "s");
    return;
  }
  result->AddWithMax(name + "idempotent requests lost or refused", lost,
                     "requests", 0);
  result->AddWithMax(name + "first token p95, domain out", out.first_p95_ms,
                     "ms", kMaxP95Factor * before.first_p95_ms);
  result->AddWithMax(name + "first token p95, domain back", back.first_p95_ms,
                     "ms", kMaxP95Factor * before.first_p95_ms);
  result->AddWithMax(name + "last new work after acceptance",
                     times.last_new_work_s, "s", kMaxNewWorkS);
}

void ReportOverload(const std::string& name,
                    const std::vector<call_record>& records,
                    time_point from,
                    time_point to,
                    double capacity,
                    report* result) {
  const double span = ToSeconds(to - from);
  size_t answered = 0;
  size_t wrong_answers = 0;
  std::map<std::string, size_t> by_organisation;
  for (const call_record& record : records) {
    const time_point at =
        record.due + std::chrono::duration_cast<duration>(record.total);
    if (record.due >= from && record.due < to) {
      wrong_answers += record.end == call_record::end_type::kWrong ? 1 : 0;
    }
    if (at < from || at >= to || record.end != call_record::end_type::kAnswered)
      continue;
    ++answered;
    ++by_organisation[record.organisation];
  }
  const double goodput = static_cast<double>(answered) / span;
  result->Add(name + "capacity", capacity, "1/s");
  result->AddWithMin(name + "goodput", goodput, "1/s", kMinGoodput * capacity);
  const double fair = capacity / 4;
  for (const auto& [organisation, count] : by_organisation) {
    result->AddWithMin(name + "answered to " + organisation,
                       static_cast<double>(count) / span, "1/s",
                       kMinFairShare * fair);
  }
  result->AddWithMax(name + "wrong answers", static_cast<double>(wrong_answers),
                     "requests", 0);
}

/// Compares the runs at the engines with the answers to callers.
void ReportFalseNotRun(const std::string& name,
                       fleet* system,
                       const std::vector<call_record>& records,
                       report* result) {
  int64_t may_have_run = 0;
  for (const call_record& record : records) {
    bool is_not_run =
        record.end == call_record::end_type::kRefused && record.not_run;
    may_have_run += is_not_run ? 0 : 1;
  }
  int64_t retried = 0;
  for (const reason_info& info : kReasonTable) {
    if (info.proves_not_run)
      continue;
    retried += system->SumMetrics(system->VmsOf(proto::vm::ENTRY),
                                  "retried_" + std::string(info.code));
  }
  const int64_t runs = system->SumEngines("calls");
  result->Add(name + "runs", static_cast<double>(runs), "runs");
  result->AddWithMax(
      name + "runs of requests told \"not run\"",
      static_cast<double>(std::max<int64_t>(0, runs - may_have_run - retried)),
      "runs", 0);
}

void MeasureUser(const user_size& size,
                 bool is_cut_from_store,
                 bool is_baseline,
                 report* result) {
  const std::string name = size.name + (is_baseline ? ", baseline: " : ": ");
  PrintProgress(name + "starting");
  fleet system(OptionsOf(size, is_baseline));
  if (!StartServing(&system)) {
    result->AddWithMax(name + "fleet that did not serve", 1, "", 0);
    return;
  }
  const std::string domain = size.domains[1];
  const size_t staying =
      size.model_servers - CountModelServers(&system, domain);
  harness::load_generator load(
      LoadOf(&system, kLoadShare * CapacityOf(staying), 160));
  load.Start();
  std::this_thread::sleep_for(kWarmUp);
  PrintProgress(name + domain + " leaves and returns");
  leave_times times = LeaveAndReturn(&system, domain, is_cut_from_store);
  load.Stop();
  ReportLeave(name, load.Records(), times, is_baseline, result);
  const auto exceeded =
      static_cast<double>(system.SumEngines("cold_limit_exceeded"));
  if (is_baseline) {
    result->Add(name + "cold limit exceeded", exceeded, "times");
    system.Stop();
    return;
  }
  result->AddWithMax(name + "cold limit exceeded", exceeded, "times", 0);

  PrintProgress(name + "three times its capacity");
  const double capacity = CapacityOf(size.model_servers);
  harness::load_options overload_options =
      LoadOf(&system, kOverload * capacity, 700);
  overload_options.shares = {0.55, 0.15, 0.15, 0.15};
  overload_options.seed = 2;
  overload_options.deadline = milliseconds(3000);
  harness::load_generator overload(overload_options);
  overload.Start();
  std::this_thread::sleep_for(seconds(4));
  const time_point from = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kPhaseTime);
  const time_point to = std::chrono::steady_clock::now();
  overload.Stop();
  std::vector<call_record> records = overload.Records();
  ReportOverload(name + "overload: ", records, from, to, capacity, result);
  std::vector<call_record> all = load.Records();
  all.insert(all.end(), records.begin(), records.end());
  ReportFalseNotRun(name, &system, all, result);
  system.Stop();
}

}  // namespace

void RunServiceBench(const bench_arguments& arguments, report* result) {
  auto is_wanted = [&](const std::string& name) {
    return arguments.empty() || arguments.front() == name;
  };
  if (is_wanted("kelani"))
    MeasureUser(kKelani, false, false, result);
  if (is_wanted("palomas"))
    MeasureUser(kPalomas, true, false, result);
  if (is_wanted("baseline"))
    MeasureUser(kKelani, false, true, result);
}

}  // namespace fuchsiafall::bench
