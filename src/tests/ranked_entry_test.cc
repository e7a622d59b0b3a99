/// @file ranked_entry_test.cc Calls of several ranks at an entry: what their
/// place requests carry, their waits at agents, and their refusals.
#include <boost/test/unit_test.hpp>

#include "load/rank_counts_base.h"
#include "tests/ranked_entry.h"

namespace fuchsiafall::tests {

BOOST_AUTO_TEST_SUITE(ranked_entry_suite)

// Two free places elsewhere are better than a queue. Without the permission on
// the third request, a call would find free slots only.
BOOST_AUTO_TEST_CASE(the_third_place_request_may_wait) {
  ranked_entry entry;
  entry.SendOfRank(1, 2);
  entry.DenyPlace();
  entry.DenyPlace();
  BOOST_REQUIRE(entry.place_requests.size() == 3u);
  for (size_t i = 0; i < 3; ++i) {
    const place_request& request = entry.place_requests[i];
    BOOST_TEST(request.rank == 2u);
    BOOST_TEST(request.organisation == "acme");
    BOOST_TEST(request.is_first == (i == 0));
    BOOST_TEST(request.may_wait == (i == 2));
  }
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.back().headers.urgency.value_or(-1) == 2);
}

// A service of one server would never have a queue.
BOOST_AUTO_TEST_CASE(the_request_to_the_last_server_may_wait) {
  ranked_entry entry({}, 2);
  entry.SendOfRank(1, 0);
  BOOST_TEST(!entry.place_requests.back().may_wait);
  entry.DenyPlace();
  BOOST_TEST(entry.place_requests.back().may_wait);
}

// A caller that repeats refused requests would count as larger demand, and its
// organisation as served too little.
BOOST_AUTO_TEST_CASE(the_repeat_of_a_caller_is_no_further_demand) {
  ranked_entry entry;
  entry.SendOfRank(1, 0, milliseconds(4000));
  BOOST_TEST(!entry.place_requests.back().is_first);
}

BOOST_AUTO_TEST_CASE(services_without_ranks_are_served_as_before) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  entry.DenyPlace();
  for (const place_request& request : entry.place_requests) {
    BOOST_TEST(request.rank == 0u);
    BOOST_TEST(request.organisation.empty());
    BOOST_TEST(!request.is_first);
    BOOST_TEST(!request.may_wait);
  }
  entry.GrantPlace();
  BOOST_TEST(!entry.attempts.back().headers.urgency.has_value());
  entry.SendRequest(2, "plain");
  BOOST_TEST(!entry.attempts.back().headers.urgency.has_value());
}

BOOST_AUTO_TEST_CASE(attempts_at_plain_ranked_services_carry_the_urgency) {
  fake_entry entry;
  site_view view = entry.site.index->View();
  for (site_route& route : view.configuration.routes)
    route.priority = route.name == "reading" ? 3 : 0;
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  entry.SendRequest(1, "plain", "/read/x");
  // Its rank is the position among the priorities that occur.
  BOOST_TEST(entry.attempts.back().headers.urgency.value_or(-1) == 1);
  entry.SendRequest(2, "plain");
  BOOST_TEST(entry.attempts.back().headers.urgency.value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(a_call_waits_for_its_grant) {
  ranked_entry entry;
  const uint64_t waiting = entry.BeginWait(1);
  BOOST_TEST(entry.gauges["waiting rank_1"] == 1);
  entry.Advance(milliseconds(90));
  BOOST_TEST(entry.place_requests.size() == 3u);
  entry.Reply(waiting, {.is_granted = true, .slots = 16});
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_TEST(entry.released_requests.empty());
  BOOST_TEST(entry.gauges["waiting rank_1"] == 0);
  BOOST_TEST(entry.gauges["waiting organisation_acme"] == 0);
  BOOST_TEST(entry.counts["waits_ended rank_1 granted"] == 1);
  const std::string detail = entry.LastDetail(log_event::kWaitEnded);
  BOOST_TEST(detail.find("id=r1 ") != std::string::npos);
  BOOST_TEST(detail.find(" rank=1 organisation=acme waited_ms=90") !=
             std::string::npos);
}

// Longer than announced, the agent has restarted or serves others first.
BOOST_AUTO_TEST_CASE(a_wait_that_is_over_is_continued_elsewhere) {
  ranked_entry entry;
  const uint64_t waiting = entry.BeginWait(0);
  entry.Advance(milliseconds(160));
  BOOST_TEST(entry.place_requests.size() == 3u);
  entry.Advance(milliseconds(10));
  BOOST_TEST(entry.ReleaseCount(waiting) == 1);
  BOOST_TEST(entry.place_requests.size() == 4u);
  BOOST_TEST(entry.counts["asks_silent"] == 0);
  // The grant crosses the cancellation.
  entry.Reply(waiting, {.is_granted = true, .slots = 16});
  BOOST_TEST(entry.attempts.empty());
  BOOST_TEST(entry.ReleaseCount(waiting) == 1);
}

BOOST_AUTO_TEST_CASE(no_wait_lasts_until_the_first_token_is_late) {
  ranked_entry entry;
  entry.BeginWait(0, milliseconds(300));
  const time_point begun = entry.now;
  while (entry.place_requests.size() == 3u)
    entry.Advance(milliseconds(10));
  // The target latency is 400 ms, and the first token takes 103 ms or more.
  BOOST_TEST(ToMs(entry.now - begun) >= 200);
  BOOST_TEST(ToMs(entry.now - begun) <= 310);
}

// Held until its first token is late, the caller would lose most of the worth
// of a refusal that is known at once.
BOOST_AUTO_TEST_CASE(a_call_does_not_wait_in_vain) {
  ranked_entry entry;
  const uint64_t waiting = entry.BeginWait(0, milliseconds(900));
  BOOST_TEST(entry.place_requests.size() == 4u);
  BOOST_TEST(entry.ReleaseCount(waiting) == 1);
  BOOST_TEST(entry.gauges["waiting rank_0"] == 0);
}

BOOST_AUTO_TEST_CASE(repeated_and_late_replies_do_not_extend_a_wait) {
  ranked_entry entry;
  const uint64_t waiting = entry.BeginWait(0);
  entry.Advance(milliseconds(100));
  entry.Reply(
      waiting,
      {.is_queued = true, .expected_free_in = milliseconds(100), .slots = 16});
  BOOST_TEST(entry.gauges["waiting rank_0"] == 1);
  entry.Advance(milliseconds(70));
  BOOST_TEST(entry.ReleaseCount(waiting) == 1);
  entry.Reply(waiting, {.is_queued = true, .slots = 16});
  BOOST_TEST(entry.gauges["waiting rank_0"] == 0);
  BOOST_TEST(entry.ReleaseCount(waiting) == 1);
}

// The agent has restarted and takes a repeated datagram for a new request.
BOOST_AUTO_TEST_CASE(a_call_that_waits_is_denied_by_a_restarted_agent) {
  ranked_entry entry;
  const uint64_t waiting = entry.BeginWait(0);
  entry.Advance(milliseconds(50));
  entry.Reply(waiting, {.slots = 0});
  BOOST_TEST(entry.place_requests.size() == 4u);
  BOOST_TEST(entry.ReleaseCount(waiting) == 0);
  BOOST_TEST(entry.gauges["waiting rank_0"] == 0);
}

// Each must take the request out of the agent's queue.
BOOST_AUTO_TEST_CASE(a_call_that_ends_while_it_waits_gives_its_request_up) {
  const std::function<void(ranked_entry*)> ends[] = {
      [](ranked_entry* entry) {
        entry->dispatch.OnCallerDisconnected(entry->now, 1);
      },
      [](ranked_entry* entry) { entry->dispatch.EndCalls(entry->now); },
      [](ranked_entry* entry) {
        BOOST_TEST(!entry->dispatch.OnRequestOverBudget(entry->now, 1));
      }};
  size_t refusals = 0;
  for (const auto& end : ends) {
    ranked_entry entry;
    const uint64_t waiting = entry.BeginWait(0);
    end(&entry);
    BOOST_TEST(entry.ReleaseCount(waiting) == 1);
    BOOST_TEST(entry.gauges["waiting rank_0"] == 0);
    BOOST_TEST(entry.counts["waits_ended rank_0 cancelled"] == 1);
    BOOST_TEST(entry.dispatch.OpenCallCount() == 0u);
    BOOST_TEST(!entry.dispatch.NextDue().has_value());
    for (const refusal_answer& refusal : entry.refusals)
      BOOST_TEST(refusal.status == 503);
    refusals += entry.refusals.size();
  }
  BOOST_TEST(refusals == 2u);
}

BOOST_AUTO_TEST_CASE(a_silent_server_that_goes_on_ends_the_wait_elsewhere) {
  ranked_entry entry;
  entry.SendOfRank(1, 0);
  entry.GrantPlace();
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:1\ndata\n\n");
  entry.Advance(milliseconds(1200));
  entry.DenyPlace();
  entry.DenyPlace();
  const uint64_t waiting = entry.QueueLast();
  entry.Advance(milliseconds(20));
  entry.DeliverBody("id:2\ndata\n\n");
  BOOST_TEST(entry.ReleaseCount(waiting) == 1);
  BOOST_TEST(entry.gauges["waiting rank_0"] == 0);
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n>");
  BOOST_TEST(entry.attempts.size() == 1u);
}

// A call may wait for longer than the age of a grant that is still used, but a
// grant that this process could not read for that time is not used.
BOOST_AUTO_TEST_CASE(a_grant_read_after_a_pause_is_not_used) {
  for (const bool has_pause : {false, true}) {
    ranked_entry entry;
    const uint64_t waiting = entry.BeginWait(2, milliseconds(600));
    if (has_pause) {
      entry.Advance(milliseconds(100));
      entry.now += milliseconds(450);
    } else {
      entry.Advance(milliseconds(550));
    }
    entry.Reply(waiting, {.is_granted = true, .slots = 16});
    BOOST_TEST(entry.attempts.size() == (has_pause ? 0u : 1u));
    BOOST_TEST(entry.counts["grants_expired"] == (has_pause ? 1 : 0));
    BOOST_TEST(entry.ReleaseCount(waiting) == (has_pause ? 1 : 0));
  }
}

// After a pause, the reply that a call waits and the grant are read at once.
BOOST_AUTO_TEST_CASE(both_replies_read_after_a_pause_grant_nothing) {
  ranked_entry entry;
  entry.SendOfRank(1, 2);
  entry.DenyPlace();
  entry.DenyPlace();
  entry.now += milliseconds(500);
  const uint64_t waiting = entry.QueueLast();
  // A check that runs late shows nothing: replies may be unread still.
  entry.now += milliseconds(10);
  entry.dispatch.RunDue(entry.now);
  entry.Reply(waiting, {.is_granted = true, .slots = 16});
  BOOST_TEST(entry.attempts.empty());
  BOOST_TEST(entry.ReleaseCount(waiting) == 1);
}

BOOST_AUTO_TEST_CASE(a_call_keeps_its_rank_when_the_configuration_changes) {
  ranked_entry entry;
  const uint64_t waiting = entry.BeginWait(2);
  site_view view = MakeRankedView(8);
  for (site_route& route : view.configuration.routes)
    route.priority = 0;
  entry.SetView(view);
  entry.Reply(waiting, {.is_granted = true, .slots = 16});
  BOOST_REQUIRE(entry.attempts.size() == 1u);
  BOOST_TEST(entry.attempts.back().headers.urgency.value_or(-1) == 2);
  BOOST_TEST(entry.gauges["waiting rank_2"] == 0);
}

BOOST_AUTO_TEST_CASE(refused_callers_return_when_their_rank_finds_a_place) {
  call_dispatch_options options;
  options.retry_after_spread = milliseconds(0);
  for (const int told_ms : {200, 1500, 0}) {
    ranked_entry entry(options, 2);
    entry.SendOfRank(1, 2);
    for (const int rank_free_ms : {told_ms, told_ms * 2}) {
      entry.Reply(entry.place_requests.back().call,
                  {.expected_free_in = milliseconds(700),
                   .rank_free_in = milliseconds(rank_free_ms),
                   .slots = 16});
    }
    BOOST_REQUIRE(entry.refusals.size() == 1u);
    BOOST_TEST(entry.refusals[0].status == 503);
    // Agents of an older version tell when any place is free.
    const int expected = told_ms == 0 ? 700 : std::max(300, told_ms);
    BOOST_TEST(entry.refusals[0].retry_after->count() == expected);
    const std::string detail = entry.LastDetail(log_event::kCallRefused);
    BOOST_TEST(detail.find(" rank=2 organisation=acme waited_ms=0") !=
               std::string::npos);
    BOOST_TEST(entry.counts["refused rank_2 no place in time"] == 1);
    BOOST_TEST(entry.counts["refused organisation_acme no place in time"] == 1);
  }
}

// Names of organisations come from a configuration of any size.
BOOST_AUTO_TEST_CASE(the_number_of_counted_organisations_is_bounded) {
  std::map<std::string, int> counts;
  rank_counts counters(
      {.count = [&](const std::string& name) { ++counts[name]; },
       .set_gauge = [](const std::string&, int64_t) {}});
  for (int i = 0; i < 100; ++i)
    counters.Count("answered", 0, "org\n" + std::to_string(i));
  BOOST_TEST(counts.size() == 34u);
  BOOST_TEST(counts["answered rank_0"] == 100);
  BOOST_TEST(counts["answered organisation_org_0"] == 1);
  BOOST_TEST(counts["answered organisation_other"] == 68);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
