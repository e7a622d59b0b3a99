/// @file place_bench.cc Cost of an agent's decision on one place request while
/// others wait.
#include "bench/bench.h"
#include "place_table_base.h"

namespace fuchsiafall::bench {

namespace {

constexpr size_t kDecisions = 2000;
/// Decisions of an agent under the largest known load: 1,150 calls/s that ask
/// up to 10 of 52 servers each. A tenth of a processor may go into them.
constexpr double kMaxDecisionUs = 0.1 * 1e6 / (1150.0 * 10 / 52);
/// Requests that wait at most in operation.
constexpr size_t kUsualWaiting = 16;

place_request MakeRequest(uint64_t call, size_t organisations) {
  return {
      .entry = "10.0.0.1:7000",
      .call = call,
      .prompt_tokens = 900,
      .answer_tokens = 112,
      .first_token_budget = std::chrono::hours(24),
      .time_left = std::chrono::hours(24),
      .rank = static_cast<uint32_t>(call % 3),
      .organisation = "organisation-" + std::to_string(call % organisations),
      .is_first = true,
      .may_wait = true};
}

/// Measures the time of a decision on a request that finds no place.
double MicrosecondsPerDecision(size_t waiting, size_t organisations) {
  place_table table({.max_waiting = waiting});
  engine_profile profile{.slots = 12, .stride = 7, .step_ms = 7.4};
  profile.mean_answer_tokens = 112;
  table.SetProfile(profile, 0);
  table.SetAccepting(true);
  table.SetRanked(true);
  time_point now{std::chrono::hours(1)};
  uint64_t call = 1;
  while (table.Waiting().size() < waiting)
    table.RequestPlace(now, MakeRequest(call++, organisations));
  const time_point begun = std::chrono::steady_clock::now();
  for (size_t i = 0; i < kDecisions; ++i) {
    now += milliseconds(1);
    place_request request = MakeRequest(call++, organisations);
    request.may_wait = false;
    table.RequestPlace(now, request);
    table.DecideWaiting(now);
  }
  return 1e6 * ToSeconds(std::chrono::steady_clock::now() - begun) / kDecisions;
}

}  // namespace

void RunPlaceBench(const bench_arguments&, report* result) {
  for (const size_t organisations : {24, 400}) {
    for (const size_t waiting : {10, 16, 100, 1000}) {
      const std::string name = "decision, " + std::to_string(waiting) +
                               " waiting, " + std::to_string(organisations) +
                               " organisations";
      const double cost = MicrosecondsPerDecision(waiting, organisations);
      if (waiting <= kUsualWaiting) {
        result->AddWithMax(name, cost, "us", kMaxDecisionUs);
      } else {
        result->Add(name, cost, "us");
      }
    }
  }
}

}  // namespace fuchsiafall::bench
