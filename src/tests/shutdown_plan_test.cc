/// @file shutdown_plan_test.cc Tests of the shutdown of an entry.
#include <boost/test/unit_test.hpp>

#include "shutdown_plan_base.h"

namespace fuchsiafall::tests {

namespace {

const time_point kStart{std::chrono::hours(1)};
const shutdown_state kNothingOpen{.is_listening = false};

}  // namespace

BOOST_AUTO_TEST_SUITE(shutdown_plan_suite)

BOOST_AUTO_TEST_CASE(an_entry_listens_while_the_balancer_sends_callers) {
  const shutdown_plan plan({.started_at = kStart});
  BOOST_CHECK(plan.Next(kStart + milliseconds(2500), {}) ==
              shutdown_step::kContinue);
  BOOST_CHECK(plan.Next(kStart + milliseconds(2501), {}) ==
              shutdown_step::kStopListening);
}

BOOST_AUTO_TEST_CASE(an_entry_that_still_serves_does_not_reset_new_callers) {
  const shutdown_plan plan({.started_at = kStart});
  for (const shutdown_state& state :
       {shutdown_state{.open_calls = 1}, shutdown_state{.open_connections = 1},
        shutdown_state{.is_busy = true}}) {
    BOOST_CHECK(plan.Next(kStart + milliseconds(7500), state) ==
                shutdown_step::kContinue);
    BOOST_CHECK(plan.Next(kStart + milliseconds(7600), state) ==
                shutdown_step::kStopListening);
  }
}

BOOST_AUTO_TEST_CASE(an_entry_does_not_exit_before_what_it_has_open) {
  const shutdown_plan plan({.started_at = kStart});
  const time_point now = kStart + milliseconds(3000);
  BOOST_CHECK(plan.Next(now, kNothingOpen) == shutdown_step::kExit);
  for (const shutdown_state& state :
       {shutdown_state{.open_calls = 1, .is_listening = false},
        shutdown_state{.open_connections = 1, .is_listening = false},
        shutdown_state{.is_busy = true, .is_listening = false}}) {
    BOOST_CHECK(plan.Next(now, state) == shutdown_step::kContinue);
    BOOST_CHECK(plan.Next(kStart + milliseconds(7900), state) ==
                shutdown_step::kExit);
  }
}

BOOST_AUTO_TEST_CASE(calls_may_go_on_until_the_last_sixth_of_any_grace_period) {
  for (const milliseconds grace : {milliseconds(1000), milliseconds(3000),
                                   milliseconds(8000), milliseconds(30000)}) {
    const shutdown_plan plan({.started_at = kStart, .grace = grace});
    BOOST_CHECK(plan.CallsEndAt() > kStart + grace * 5 / 6);
    BOOST_CHECK(plan.CallsEndAt() < kStart + grace);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
