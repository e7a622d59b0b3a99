/// @file hosted_places_test.cc Replies of an agent to place requests, first and
/// second ones.
#include <boost/test/unit_test.hpp>

#include <map>

#include "hosted_places_base.h"
#include "place_message_func.h"
#include "tests/ranked_load.h"

namespace fuchsiafall::tests {

namespace {

const time_point kStart{std::chrono::hours(1)};

/// Places of an agent, with recorded replies and timers.
struct fake_agent {
  fake_agent()
      : crashes({.self = vm_id("a")}, CrashHooks()), places({}, Hooks()) {
    places.Table().SetProfile(MakeRankedProfile(), 0);
    places.Table().SetRanked(true);
    places.SetAccepting(kStart, true);
  }

  static crash_monitor_hooks CrashHooks() {
    return {.send = [](const std::string&, const proto::envelope&) {},
            .log = [](log_event, const std::string&) {},
            .count = [](const std::string&) {}};
  }

  hosted_places_hooks Hooks() {
    return {
        .send =
            [this](const std::string&,
                   const std::function<void(proto::place_answer*)>& write) {
              proto::place_answer message;
              write(&message);
              replies.emplace_back(message.call(), ReadPlaceReply(message));
            },
        .weights = [this] { return weights; },
        .crashes = &crashes,
        .start_timer =
            [this](time_point at, const std::function<void(time_point)>&) {
              due = at;
              return timer_id{1};
            },
        .cancel_timer = [this](timer_id) { due.reset(); },
        .log = [this](log_event event, const std::string&) { ++events[event]; },
        .counters = &counters};
  }

  void Ask(time_point now,
           uint64_t call,
           uint32_t rank,
           const std::string& organisation = "o") {
    proto::place_question message;
    WritePlaceRequest({.call = call,
                       .prompt_tokens = 900,
                       .answer_tokens = 112,
                       .first_token_budget = milliseconds(800),
                       .time_left = milliseconds(6000),
                       .rank = rank,
                       .organisation = organisation,
                       .may_wait = true},
                      &message);
    places.OnPlaceQuestion(now, "e:1", message);
  }

  /// Fills the engine, and has one more request wait.
  time_point FillAndWait() {
    time_point now = kStart;
    for (uint64_t call = 1; places.Table().Waiting().empty(); ++call) {
      now += milliseconds(150);
      Ask(now, call, 1);
    }
    return now;
  }

  void Release(time_point now, uint64_t call) {
    proto::place_return message;
    WritePlaceRelease(call, attempt_result::kOther, &message);
    places.OnPlaceReturn(now, "e:1", message);
  }

  metrics counters;
  crash_monitor crashes;
  intact_weights weights{.version = 3, .started_at_ms = 7};
  std::vector<std::pair<uint64_t, place_reply>> replies;
  std::map<log_event, int> events;
  std::optional<time_point> due;
  hosted_places places;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(hosted_places_suite)

BOOST_AUTO_TEST_CASE(a_waiting_request_gets_a_complete_second_reply) {
  fake_agent agent;
  const time_point now = agent.FillAndWait();
  const auto [call, first] = agent.replies.back();
  BOOST_TEST(first.is_queued);
  BOOST_TEST(agent.due.has_value());
  agent.weights.version = 4;
  agent.Release(now, 1);
  BOOST_TEST(agent.replies.back().first == call);
  const place_reply second = agent.replies.back().second;
  BOOST_TEST(second.is_granted);
  BOOST_TEST(second.slots == 12u);
  BOOST_TEST((second.weights == agent.weights));
  BOOST_TEST(!agent.due.has_value());
  BOOST_TEST(agent.counters.Counter("places_queued_rank_1") == 1u);
  BOOST_TEST(agent.events[log_event::kPlaceQueued] == 1);
  BOOST_TEST(agent.events[log_event::kPlaceDecided] == 1);
}

// The engine has unloaded its weights, which its report has not told yet.
BOOST_AUTO_TEST_CASE(no_waiting_request_is_granted_without_weights) {
  fake_agent agent;
  const time_point now = agent.FillAndWait();
  agent.weights = {};
  agent.Release(now, 1);
  BOOST_TEST(!agent.replies.back().second.is_granted);
  BOOST_TEST(!agent.replies.back().second.is_queued);
  BOOST_TEST(agent.places.Table().GrantedCount() == 12u);
}

BOOST_AUTO_TEST_CASE(requests_out_of_range_are_counted_and_logged_rarely) {
  fake_agent agent;
  for (uint64_t call = 1; call <= 5; ++call)
    agent.Ask(kStart, call, 77);
  BOOST_TEST(agent.counters.Counter("place_requests_malformed") == 5u);
  BOOST_TEST(agent.events[log_event::kPlaceRequestLimited] == 1);
  BOOST_TEST(agent.counters.Counter("places_granted_free_rank_9") > 0u);
}

// Names of organisations come from other processes.
BOOST_AUTO_TEST_CASE(counters_of_organisations_are_bounded) {
  fake_agent agent;
  for (uint64_t call = 1; call <= 100; ++call)
    agent.Ask(kStart, call, 0, "o " + std::to_string(call));
  const std::string lines = agent.counters.Describe();
  BOOST_TEST(lines.find("_organisation_o_32 ") != std::string::npos);
  BOOST_TEST(lines.find("_organisation_o_33 ") == std::string::npos);
  BOOST_TEST(lines.find("_organisation_other ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
