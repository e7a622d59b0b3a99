/// @file call_dispatch_test.cc Dispatch at a hosted entry: at-most-once
/// execution, correct refusals, stream resumption and places.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "crash_monitor_base.h"
#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

/// Starts request 1 at a server of the given version and delivers one event.
started_attempt BeginStreamOfVersion(fake_entry* entry, uint64_t version) {
  entry->SendRequest(1, "models");
  entry->GrantPlace();
  started_attempt first = entry->attempts.back();
  entry->dispatch.OnAnswerHead(
      entry->now, first.call, first.number,
      {.status = 200, .call_id = "r1", .is_sealed = true, .weights = version},
      true);
  entry->DeliverBody("id:1\ndata\n\n");
  return first;
}

/// Has the agents of both model servers deny a place, and vouch for weights.
void VouchForBothServers(fake_entry* entry, const intact_weights& weights) {
  entry->SendRequest(1, "models");
  for (int i = 0; i < 2; ++i) {
    entry->dispatch.OnPlaceReply(entry->now, entry->place_requests.back().call,
                                 {.expected_free_in = milliseconds(100),
                                  .slots = 16,
                                  .weights = weights});
  }
  entry->Advance(milliseconds(200));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(call_dispatch_suite)

BOOST_AUTO_TEST_CASE(a_plain_call_gets_its_whole_answer) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  BOOST_REQUIRE(entry.attempts.size() == 1u);
  BOOST_TEST(entry.attempts[0].headers.tenant == "acme");
  BOOST_TEST(entry.attempts[0].headers.instance == entry.attempts[0].server);
  BOOST_TEST(entry.attempts[0].headers.time_left.count() == 900);
  entry.DeliverHead(200, false);
  entry.DeliverBody("whole");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "[whole]");
  BOOST_TEST(entry.dispatch.OpenCallCount() == 0u);
}

// Guards against an answer that is lost because its load report is malformed.
BOOST_AUTO_TEST_CASE(a_malformed_load_report_is_counted) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  const started_attempt& attempt = entry.attempts.back();
  entry.dispatch.OnAnswerHead(entry.now, attempt.call, attempt.number,
                              {.status = 200,
                               .call_id = "r1",
                               .is_sealed = true,
                               .has_malformed_load = true},
                              false);
  entry.DeliverBody("whole");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "[whole]");
  BOOST_TEST(entry.counts["load_reports_malformed"] == 1);
}

BOOST_AUTO_TEST_CASE(a_call_that_may_have_run_is_not_retried) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  entry.EndExchange(exchange_end::kBroken);
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 502);
  BOOST_TEST(!entry.refusals[0].retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(a_call_that_did_not_run_is_retried_elsewhere) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  entry.DeliverHead(503, false, true);
  entry.EndExchange(exchange_end::kComplete);
  BOOST_REQUIRE(entry.attempts.size() == 2u);
  entry.EndExchange(exchange_end::kNotConnected);
  BOOST_REQUIRE(entry.attempts.size() == 3u);
  entry.DeliverHead(200, false);
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.refusals.empty());
}

BOOST_AUTO_TEST_CASE(
    a_timed_out_non_idempotent_call_is_not_reported_as_not_run) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  entry.Advance(milliseconds(1000));
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 504);
  BOOST_TEST(entry.aborted_calls.size() == 1u);
}

// A call that its server was working on ended when the memory of its body was
// needed, which only a repeat would have used.
BOOST_AUTO_TEST_CASE(a_running_call_ends_with_the_memory_of_its_body) {
  fake_entry entry;
  entry.SendRequest(1, "plain", "/read/x");
  BOOST_TEST(entry.dispatch.OnRequestOverBudget(entry.now, 1));
  entry.Advance(milliseconds(400));
  BOOST_TEST(entry.attempts.size() == 1u);
  entry.DeliverHead(200, false);
  entry.DeliverBody("whole");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "[whole]");
}

BOOST_AUTO_TEST_CASE(a_call_is_repeated_without_its_body) {
  fake_entry entry;
  entry.SendRequest(1, "plain", "/read/x");
  BOOST_TEST(entry.dispatch.OnRequestOverBudget(entry.now, 1));
  entry.EndExchange(exchange_end::kBroken);
  entry.SendRequest(2, "plain");
  BOOST_TEST(entry.dispatch.OnRequestOverBudget(entry.now, 2));
  entry.DeliverHead(503, false, true);
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.attempts.size() == 2u);
  BOOST_REQUIRE(entry.refusals.size() == 2u);
  BOOST_TEST(entry.refusals[0].status == 502);
  BOOST_TEST(entry.refusals[1].status == 503);
  // One that waits for a place has not run.
  entry.SendRequest(3, "models");
  BOOST_TEST(!entry.dispatch.OnRequestOverBudget(entry.now, 3));
  BOOST_REQUIRE(entry.refusals.size() == 3u);
  BOOST_TEST(entry.refusals[2].status == 503);
}

BOOST_AUTO_TEST_CASE(a_timed_out_idempotent_call_is_retried_elsewhere) {
  fake_entry entry;
  entry.SendRequest(1, "plain", "/read/x");
  entry.Advance(milliseconds(400));
  BOOST_REQUIRE(entry.attempts.size() == 2u);
  BOOST_TEST(entry.attempts[0].server != entry.attempts[1].server);
  BOOST_TEST(entry.attempts[1].headers.time_left.count() < 700);
}

// Regression: an entry accepted a stream on an open connection 5.7 s after
// SIGTERM and exited before the stream was complete.
BOOST_AUTO_TEST_CASE(a_stream_that_cannot_finish_before_exit_is_refused) {
  fake_entry entry;
  entry.dispatch.SetExitTime(entry.now + milliseconds(3000),
                             entry.now + milliseconds(2500));
  entry.SendRequest(1, "models");
  BOOST_TEST(entry.place_requests.empty());
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 503);
  BOOST_TEST(entry.refusals[0].retry_after.has_value());
  // A plain call takes at most one second.
  entry.SendRequest(2, "plain");
  BOOST_TEST(entry.attempts.size() == 1u);
  entry.dispatch.SetExitTime(entry.now + milliseconds(7000), entry.now);
  entry.SendRequest(3, "models");
  BOOST_TEST(entry.place_requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_restarted_entry_gets_no_place_of_its_predecessor) {
  fake_entry before{{.seed = 1}};
  fake_entry restarted{{.seed = 2}};
  before.SendRequest(1, "models");
  restarted.SendRequest(1, "models");
  place_table agent{{}};
  agent.SetProfile(MakeEngineProfile(), 0);
  agent.SetAccepting(true);
  place_request request = before.place_requests.back();
  request.entry = "e:1";
  BOOST_TEST(agent.RequestPlace(before.now, request).is_granted);
  agent.SetGrantsEnd(before.now, before.now);
  request = restarted.place_requests.back();
  request.entry = "e:1";
  const time_point later = before.now + milliseconds(500);
  BOOST_TEST(!agent.RequestPlace(later, request).is_granted);
}

BOOST_AUTO_TEST_CASE(a_call_that_may_outlast_the_grace_is_not_taken_late) {
  fake_entry entry;
  entry.dispatch.SetExitTime(entry.now + milliseconds(5000), entry.now);
  entry.SendRequest(1, "models");
  BOOST_TEST(entry.place_requests.empty());
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 503);
  // The caller's own time counts, too.
  entry.SendRequest(2, "plain", "/x", milliseconds(900));
  BOOST_TEST(entry.attempts.size() == 1u);
  entry.dispatch.SetExitTime(entry.now + milliseconds(800), entry.now);
  entry.SendRequest(3, "plain", "/x", milliseconds(700));
  BOOST_TEST(entry.attempts.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_usual_call_is_taken_while_new_callers_come) {
  fake_entry entry;
  entry.dispatch.SetExitTime(entry.now + milliseconds(5000),
                             entry.now + milliseconds(1));
  entry.SendRequest(1, "models");
  BOOST_TEST(entry.place_requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(open_calls_are_answered_before_the_exit) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  entry.SendRequest(2, "models");
  entry.GrantPlace();
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:1\ndata\n\n");
  entry.SendRequest(3, "models");
  entry.dispatch.SetExitTime(entry.now, entry.now);
  entry.dispatch.EndCalls(entry.now);
  BOOST_TEST(entry.dispatch.OpenCallCount() == 0u);
  // The sent call may have run; the one that waits for a place has not.
  BOOST_REQUIRE(entry.refusals.size() == 2u);
  BOOST_TEST(entry.refusals[0].status == 502);
  BOOST_TEST(entry.refusals[1].status == 503);
  BOOST_TEST(entry.refusals[1].retry_after.has_value());
  // A begun stream doesn't look complete.
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
  BOOST_TEST(entry.aborted_calls.size() == 2u);
  BOOST_TEST(entry.released_requests.size() == 2u);
  entry.SendRequest(4, "plain");
  BOOST_REQUIRE(entry.refusals.size() == 3u);
  BOOST_TEST(entry.refusals[2].status == 503);
  BOOST_TEST(entry.attempts.size() == 2u);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  const started_attempt& last = entry.attempts.back();
  BOOST_TEST(!entry.dispatch.OnAnswerHead(
      entry.now, last.call, last.number,
      {.status = 200, .call_id = "other", .is_sealed = true}, false));
  BOOST_TEST(entry.DeliverHead(200, false));
}

BOOST_AUTO_TEST_CASE(an_unsealed_success_is_not_forwarded) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  const started_attempt last = entry.attempts.back();
  entry.dispatch.OnAnswerHead(entry.now, last.call, last.number,
                              {.status = 200, .call_id = "r1"}, false);
  entry.DeliverBody("forged");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text.empty());
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 502);
}

BOOST_AUTO_TEST_CASE(a_refusal_without_an_id_may_be_one_of_an_earlier_request) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  const started_attempt last = entry.attempts.back();
  BOOST_TEST(!entry.dispatch.OnAnswerHead(
      entry.now, last.call, last.number,
      {.status = 503, .may_be_repeated = true, .did_not_run = true}, false));
  entry.DeliverHead(200, false);
  entry.DeliverBody("whole");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_TEST(entry.received_text == "[whole]");
}

BOOST_AUTO_TEST_CASE(a_refusal_without_an_id_counts_on_a_new_connection) {
  fake_entry entry;
  entry.SendRequest(1, "plain");
  const started_attempt last = entry.attempts.back();
  BOOST_TEST(entry.dispatch.OnAnswerHead(entry.now, last.call, last.number,
                                         {.status = 503, .did_not_run = true},
                                         false));
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.attempts.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_failure_that_reads_as_not_run_is_not_passed_on) {
  for (int status : {408, 429, 503}) {
    fake_entry entry;
    entry.SendRequest(1, "plain");
    entry.DeliverHead(status, false);
    entry.EndExchange(exchange_end::kComplete);
    BOOST_TEST(entry.attempts.size() == 1u);
    BOOST_TEST(entry.received_text.empty());
    BOOST_REQUIRE(entry.refusals.size() == 1u);
    BOOST_TEST(entry.refusals[0].status == 502);
  }
}

BOOST_AUTO_TEST_CASE(a_stream_resumes_elsewhere_after_the_last_complete_event) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  entry.GrantPlace();
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:1\ndata\n\nid:2\ndata\n\nid:");
  entry.EndExchange(exchange_end::kBroken);
  BOOST_REQUIRE(entry.place_requests.size() == 2u);
  BOOST_TEST(entry.place_requests[1].is_resumed);
  entry.GrantPlace();
  BOOST_REQUIRE(entry.attempts.size() == 2u);
  BOOST_TEST((entry.attempts[1].headers.last_event == 2u));
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:2\ndata\n\nid:3\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text ==
             "<id:1\ndata\n\nid:2\ndata\n\nid:3\ndata\n\n>");
}

// During a rollout, servers of both versions are in service.
BOOST_AUTO_TEST_CASE(a_resumed_stream_never_mixes_two_versions) {
  fake_entry entry;
  const started_attempt first = BeginStreamOfVersion(&entry, 1);
  site_view view = entry.site.index->View();
  const std::string other = first.server == "m1" ? "m2" : "m1";
  view.servers[other].models = {{"model", 2, 0, 16}};
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  entry.EndExchange(exchange_end::kBroken);
  // The only other server already has the next version.
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_names_the_version_that_began_it) {
  fake_entry entry;
  const started_attempt first = BeginStreamOfVersion(&entry, 1);
  BOOST_TEST(!first.headers.weights.has_value());
  entry.EndExchange(exchange_end::kBroken);
  entry.GrantPlace();
  BOOST_REQUIRE(entry.attempts.size() == 2u);
  BOOST_TEST(entry.attempts.back().headers.weights.value_or(0) == 1u);
  // The server has loaded another version; it stays eligible for other
  // requests.
  const std::string loaded = entry.attempts.back().server;
  entry.DeliverHead(421, false, true);
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text.ends_with("|"));
  entry.SendRequest(2, "models");
  entry.requested_servers.clear();
  entry.dispatch.OnPlaceReply(entry.now, entry.place_requests.back().call,
                              {.slots = 0});
  entry.SendRequest(3, "models");
  entry.dispatch.OnPlaceReply(entry.now, entry.place_requests.back().call,
                              {.slots = 0});
  BOOST_TEST(std::count(entry.requested_servers.begin(),
                        entry.requested_servers.end(), loaded) > 0);
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_resume_does_not_look_complete) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  for (int i = 0; i < 2; ++i) {
    entry.GrantPlace();
    entry.DeliverHead(200, true);
    entry.DeliverBody("id:" + std::to_string(i + 1) + "\ndata\n\n");
    entry.EndExchange(exchange_end::kBroken);
  }
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n|");
}

BOOST_AUTO_TEST_CASE(every_place_is_released) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  entry.GrantPlace();
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:1\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST((entry.released_requests ==
              std::vector<uint64_t>{entry.place_requests[0].call}));
  entry.SendRequest(2, "models");
  entry.dispatch.OnCallerDisconnected(entry.now, 2);
  BOOST_TEST(entry.released_requests.size() == 2u);
  entry.SendRequest(3, "models");
  entry.Advance(milliseconds(100));  // The agent does not answer.
  BOOST_TEST(entry.released_requests.size() >= 3u);
}

BOOST_AUTO_TEST_CASE(a_late_grant_of_a_cancelled_request_starts_nothing) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  const uint64_t place_request_id = entry.place_requests[0].call;
  entry.Advance(milliseconds(80));
  BOOST_REQUIRE(entry.place_requests.size() == 2u);
  entry.dispatch.OnPlaceReply(entry.now, place_request_id,
                              {.is_granted = true, .slots = 16});
  BOOST_TEST(entry.attempts.empty());
}

BOOST_AUTO_TEST_CASE(a_grant_of_a_server_that_drains_meanwhile_is_not_used) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  site_view view = entry.site.index->View();
  view.servers[entry.requested_servers.back()].is_draining = true;
  const std::unique_ptr<site_index> before = std::move(entry.site.index);
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.empty());
  BOOST_TEST(entry.released_requests.size() == 1u);
  BOOST_REQUIRE(entry.place_requests.size() == 2u);
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.size() == 1u);
}

// After a pause, sockets may be read before due timers run.
BOOST_AUTO_TEST_CASE(a_grant_from_before_a_pause_of_the_process_is_not_used) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  const uint64_t place_request_id = entry.place_requests.back().call;
  entry.now += milliseconds(4900);
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.empty());
  BOOST_TEST(
      (entry.released_requests == std::vector<uint64_t>{place_request_id}));
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 503);
  entry.dispatch.SetConfirmedAt(entry.now);
  entry.SendRequest(2, "models");
  entry.now += milliseconds(600);
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.empty());
  BOOST_TEST(entry.place_requests.size() == 3u);
}

// Replies after the timeout did not count as answers, so that the agents were
// not asked again for a second and calls were refused meanwhile.
BOOST_AUTO_TEST_CASE(agents_that_reply_late_are_asked_again) {
  fake_entry entry;
  for (uint64_t id : {1, 2}) {
    entry.SendRequest(id, "models");
    entry.Advance(milliseconds(200));
  }
  BOOST_REQUIRE(entry.place_requests.size() == 4u);
  BOOST_REQUIRE(entry.refusals.size() == 2u);
  const size_t released = entry.released_requests.size();
  for (const place_request& request : entry.place_requests) {
    entry.dispatch.OnPlaceReply(entry.now, request.call,
                                {.is_granted = true, .slots = 16});
  }
  BOOST_TEST(entry.attempts.empty());
  BOOST_TEST(released == 4u);
  entry.SendRequest(3, "models");
  BOOST_REQUIRE(entry.place_requests.size() == 5u);
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_TEST(entry.refusals.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_reply_from_long_ago_does_not_show_that_an_agent_runs) {
  fake_entry entry;
  VouchForBothServers(&entry, {.version = 1});
  entry.place_requests.clear();
  for (uint64_t id : {2, 3}) {
    entry.SendRequest(id, "models");
    entry.Advance(milliseconds(200));
  }
  BOOST_REQUIRE(entry.place_requests.size() == 4u);
  entry.Advance(milliseconds(1100));
  for (const place_request& request : entry.place_requests)
    entry.dispatch.OnPlaceReply(entry.now, request.call, {.slots = 16});
  entry.SendRequest(4, "models");
  // As agents that are down, they are not asked.
  BOOST_TEST(entry.place_requests.size() == 4u);
  BOOST_TEST(entry.attempts.size() == 1u);
}

BOOST_AUTO_TEST_CASE(servers_whose_agents_are_always_late_still_get_calls) {
  fake_entry entry;
  std::vector<time_point> requested_at;
  size_t replied = 0;
  for (uint64_t id = 1; id <= 60; ++id) {
    entry.dispatch.SetConfirmedAt(entry.now);
    entry.SendRequest(id, "models");
    for (int step = 0; step < 5; ++step) {
      entry.Advance(milliseconds(10));
      requested_at.resize(entry.place_requests.size(), entry.now);
      for (; replied < requested_at.size() &&
             entry.now - requested_at[replied] >= milliseconds(200);
           ++replied) {
        entry.dispatch.OnPlaceReply(
            entry.now, entry.place_requests[replied].call,
            {.is_granted = true, .slots = 16, .weights = {.version = 1}});
      }
    }
  }
  BOOST_TEST(!entry.attempts.empty());
}

BOOST_AUTO_TEST_CASE(
    without_a_place_the_refusal_is_immediate_with_retry_after) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  while (entry.refusals.empty()) {
    entry.now += milliseconds(2);
    entry.dispatch.OnPlaceReply(
        entry.now, entry.place_requests.back().call,
        {.expected_free_in = milliseconds(500), .slots = 16});
  }
  BOOST_TEST(entry.refusals[0].status == 503);
  BOOST_REQUIRE(entry.refusals[0].retry_after.has_value());
  BOOST_TEST(entry.refusals[0].retry_after->count() >= 500);
  BOOST_TEST(entry.attempts.empty());
}

// Two agents without usable weights. The soonest counts, up to a third of the
// time that the caller has left.
BOOST_AUTO_TEST_CASE(without_weights_retry_after_is_when_agents_serve_again) {
  struct denial {
    milliseconds first;
    milliseconds second;
    milliseconds retry_after;
  };
  const denial table[] = {
      {seconds(0), seconds(0), milliseconds(300)},
      {milliseconds(900), seconds(0), milliseconds(900)},
      {milliseconds(900), milliseconds(700), milliseconds(700)},
      {seconds(9), seconds(0), milliseconds(2000)}};
  for (const denial& each : table) {
    fake_entry entry({.retry_after_spread = milliseconds(0)});
    entry.SendRequest(1, "models");
    for (const milliseconds span : {each.first, each.second}) {
      if (!entry.refusals.empty())
        break;
      entry.dispatch.OnPlaceReply(entry.now, entry.place_requests.back().call,
                                  {.expected_free_in = span});
    }
    BOOST_REQUIRE(entry.refusals.size() == 1u);
    BOOST_TEST(entry.refusals[0].retry_after->count() ==
               each.retry_after.count());
  }
}

BOOST_AUTO_TEST_CASE(keys_are_refused_when_the_known_state_is_stale) {
  fake_entry entry;
  entry.now += milliseconds(4800);
  entry.SendRequest(1, "plain");
  BOOST_TEST(entry.attempts.empty());
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 503);
}

BOOST_AUTO_TEST_CASE(an_unknown_key_gets_401_only_from_fresh_state) {
  fake_entry entry;
  caller_call call{.id = "r", .host = "plain", .key = "new"};
  entry.dispatch.OnRequest(entry.now, 1, call, "/x", entry.now);
  entry.now += seconds(5);
  entry.dispatch.OnRequest(entry.now, 2, call, "/x", entry.now);
  BOOST_REQUIRE(entry.refusals.size() == 2u);
  BOOST_TEST(entry.refusals[0].status == 401);
  BOOST_TEST(entry.refusals[1].status == 503);
}

// Regression: an entry refused a key with 401 that had been added 2.5 s before.
BOOST_AUTO_TEST_CASE(a_key_is_not_unknown_to_a_view_past_the_config_bound) {
  fake_entry entry;
  caller_call call{.id = "r", .host = "plain", .key = "new"};
  entry.now += milliseconds(1900);
  entry.dispatch.OnRequest(entry.now, 1, call, "/x", entry.now);
  entry.now += milliseconds(100);
  entry.dispatch.OnRequest(entry.now, 2, call, "/x", entry.now);
  BOOST_REQUIRE(entry.refusals.size() == 2u);
  BOOST_TEST(entry.refusals[0].status == 401);
  BOOST_TEST(entry.refusals[1].status == 503);
  BOOST_TEST(entry.refusals[1].retry_after.has_value());
  // Known keys are served until the bound of revoked ones.
  entry.SendRequest(3, "plain");
  BOOST_TEST(entry.attempts.size() == 1u);
}

// Regression: an entry that could not read the store refused new routes with
// 404 for 8 s.
BOOST_AUTO_TEST_CASE(a_route_is_not_missing_from_a_view_past_the_config_bound) {
  fake_entry entry;
  entry.now += milliseconds(1900);
  entry.SendRequest(1, "elsewhere");
  entry.now += milliseconds(100);
  entry.SendRequest(2, "elsewhere");
  BOOST_REQUIRE(entry.refusals.size() == 2u);
  BOOST_TEST(entry.refusals[0].status == 404);
  BOOST_TEST(entry.refusals[1].status == 503);
  BOOST_TEST(entry.refusals[1].retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(nothing_begins_on_a_version_past_its_bound) {
  fake_entry entry;
  site_view view = entry.site.index->View();
  view.weights["model"] = {
      .version = 2,
      .announcements = {
          {2, {.announced_after = entry.now, .was_watched = true}}}};
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  entry.SendRequest(1, "models");
  BOOST_TEST(entry.place_requests.size() == 1u);
  entry.now += milliseconds(7600);
  entry.dispatch.SetConfirmedAt(entry.now);
  entry.SendRequest(2, "models");
  BOOST_TEST(entry.place_requests.size() == 1u);
}

// An agent that is paused or gone unloads nothing, and its engine may begin a
// request whenever its queue gets to it.
BOOST_AUTO_TEST_CASE(a_request_that_waits_at_replaced_weights_is_recalled) {
  fake_entry entry;
  site_view view = entry.site.index->View();
  view.weights["model"] = {
      .version = 2,
      .announcements = {
          {2, {.announced_after = entry.now, .was_watched = true}}}};
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  const time_point outdated_at = entry.now + seconds(8);
  entry.now += milliseconds(7100);
  entry.dispatch.SetConfirmedAt(entry.now);
  entry.SendRequest(1, "models");
  entry.GrantPlace();
  entry.SendRequest(2, "models");
  entry.GrantPlace();
  BOOST_REQUIRE(entry.attempts.size() == 2u);
  // The second one begins in time, and may run on.
  entry.dispatch.OnAnswerHead(
      entry.now, 2, entry.attempts.back().number,
      {.status = 200, .call_id = "r2", .is_sealed = true, .weights = 1}, true);
  entry.DeliverBody("id:1\ndata\n\n");
  while (entry.now + milliseconds(20) < outdated_at)
    entry.Advance(milliseconds(10));
  BOOST_TEST(entry.aborted_calls == std::vector<uint64_t>{1},
             boost::test_tools::per_element());
}

// Only an agent that answers can keep the bound of replaced weights at its
// engine.
BOOST_AUTO_TEST_CASE(nothing_is_sent_without_a_place_to_replaced_weights) {
  for (const bool is_replaced : {false, true}) {
    fake_entry entry;
    VouchForBothServers(&entry, {.version = 1});
    site_view view = entry.site.index->View();
    if (is_replaced) {
      view.weights["model"] = {
          .version = 2,
          .announcements = {
              {2, {.announced_after = entry.now, .was_watched = true}}}};
    }
    entry.site.Set(view);
    entry.dispatch.SetIndex(entry.site.index.get());
    // No agent answers.
    for (uint64_t id = 2; id <= 21; ++id) {
      entry.SendRequest(id, "models");
      entry.Advance(milliseconds(150));
    }
    BOOST_TEST(entry.attempts.empty() == is_replaced);
  }
}

// An agent that is silent may not have seen what its engine has loaded.
BOOST_AUTO_TEST_CASE(nothing_is_sent_without_a_place_to_unverified_weights) {
  struct vouched_case {
    intact_weights vouched;
    std::vector<held_layers> then_held;
    bool is_sent;
  };
  const std::vector<held_layers> same{{"model", 1, 0, 16}};
  for (const vouched_case& item : std::vector<vouched_case>{
           {{.version = 1}, same, true},
           {{}, same, false},
           {{.version = 1}, {{"model", 2, 0, 16}}, false},
           {{.version = 1}, {}, false},
           {{.version = 1, .started_at_ms = 77}, same, false}}) {
    fake_entry entry;
    VouchForBothServers(&entry, item.vouched);
    site_view view = entry.site.index->View();
    for (const char* id : {"m1", "m2"})
      view.servers[id].models = item.then_held;
    entry.site.Set(view);
    entry.dispatch.SetIndex(entry.site.index.get());
    for (uint64_t id = 11; id <= 30; ++id) {
      entry.SendRequest(id, "models");
      entry.Advance(milliseconds(150));
    }
    BOOST_TEST(entry.attempts.empty() == !item.is_sent);
    if (item.is_sent)
      BOOST_TEST((entry.attempts.front().headers.weights == 1u));
  }
}

// The server may hold the same version again, but not from the same load.
BOOST_AUTO_TEST_CASE(a_version_that_was_unloaded_is_not_vouched_for_any_more) {
  fake_entry entry;
  VouchForBothServers(&entry, {.version = 1});
  const site_view before = entry.site.index->View();
  site_view unloaded = before;
  for (const char* id : {"m1", "m2"})
    unloaded.servers[id].models.clear();
  for (const site_view& view : {unloaded, before}) {
    entry.site.Set(view);
    entry.dispatch.SetIndex(entry.site.index.get());
  }
  for (uint64_t id = 11; id <= 30; ++id) {
    entry.SendRequest(id, "models");
    entry.Advance(milliseconds(150));
  }
  BOOST_TEST(entry.attempts.empty());
}

// A request may arrive after its server has loaded other weights.
BOOST_AUTO_TEST_CASE(a_request_names_the_version_that_its_place_is_for) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  entry.dispatch.OnPlaceReply(
      entry.now, entry.place_requests.back().call,
      {.is_granted = true, .slots = 16, .weights = {.version = 1}});
  BOOST_REQUIRE(entry.attempts.size() == 1u);
  BOOST_TEST((entry.attempts.front().headers.weights == 1u));
}

// A server that has loaded another version answers 421, too.
BOOST_AUTO_TEST_CASE(a_server_with_another_version_is_not_taken_for_replaced) {
  fake_entry entry;
  site_view view = entry.site.index->View();
  view.servers.erase("m2");
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  for (uint64_t id = 1; id <= 2; ++id) {
    entry.SendRequest(id, "models");
    BOOST_REQUIRE(entry.place_requests.size() == id);
    entry.dispatch.OnPlaceReply(
        entry.now, entry.place_requests.back().call,
        {.is_granted = true, .slots = 16, .weights = {.version = 1}});
    BOOST_REQUIRE(entry.attempts.size() == id);
    entry.DeliverHead(421, false, true);
    entry.EndExchange(exchange_end::kComplete);
  }
}

BOOST_AUTO_TEST_CASE(a_stream_does_not_go_on_with_a_place_for_another_version) {
  fake_entry entry;
  BeginStreamOfVersion(&entry, 1);
  entry.EndExchange(exchange_end::kBroken);
  BOOST_REQUIRE(entry.place_requests.size() == 2u);
  entry.dispatch.OnPlaceReply(
      entry.now, entry.place_requests.back().call,
      {.is_granted = true, .slots = 16, .weights = {.version = 2}});
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_TEST(entry.released_requests.back() == entry.place_requests[1].call);
}

// An instance at a reused address answers 421 to requests for the previous
// instance. A restarted instance registers with a newer revision.
BOOST_AUTO_TEST_CASE(a_replaced_server_is_used_again_once_it_registers) {
  fake_entry entry;
  auto send_misdirected = [&] {
    entry.SendRequest(entry.attempts.size() + 1, "plain");
    std::string first = entry.attempts.back().server;
    entry.DeliverHead(421, false, true);
    entry.EndExchange(exchange_end::kComplete);
    entry.DeliverHead(200, false);
    entry.EndExchange(exchange_end::kComplete);
    return first;
  };
  send_misdirected();
  const std::string remaining = entry.attempts.back().server;
  const std::string replaced = remaining == "d1" ? "d2" : "d1";
  for (int i = 0; i < 20; ++i) {
    entry.SendRequest(100 + static_cast<uint64_t>(i), "plain");
    BOOST_TEST(entry.attempts.back().server == remaining);
    entry.DeliverHead(200, false);
    entry.EndExchange(exchange_end::kComplete);
  }
  site_view view = entry.site.index->View();
  view.servers[replaced].revision = 11;
  view.servers[remaining].is_draining = true;
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  entry.SendRequest(200, "plain");
  BOOST_TEST(entry.attempts.back().server == replaced);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_servers_is_quarantined) {
  crash_monitor monitor(
      {.self = vm_id("a")},
      {.send = [](const std::string&, const proto::envelope&) {},
       .log = [](log_event, const std::string&) {},
       .count = [](const std::string&) {}});
  time_point now{std::chrono::hours(1)};
  auto is_quarantined = [&](uint64_t request) {
    return monitor.Judge(now, "e", {.request = fingerprint(request)})
        .quarantined.has_value();
  };
  auto abort = [&](uint64_t request) {
    monitor.OnPlaceReleased(
        now, {.granted_at = now, .traits = {.request = fingerprint(request)}},
        attempt_result::kBroken);
  };
  const uint64_t culprit = 1;
  for (uint64_t crash = 0; crash < 2; ++crash) {
    BOOST_TEST(!is_quarantined(culprit));
    abort(culprit);
    abort(100 + crash);
    now += seconds(4);
    monitor.OnEngineReport(now, true, true);
  }
  BOOST_TEST(is_quarantined(culprit));
  BOOST_TEST(!is_quarantined(100));
  // Each aborted request counts for one crash only.
  now += seconds(4);
  monitor.OnEngineReport(now, true, true);
  BOOST_TEST(!is_quarantined(100));
}

// Regression: each retry of a stream that crashes its servers crashed another
// one.
BOOST_AUTO_TEST_CASE(a_suspect_that_breaks_a_server_is_not_retried) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  entry.dispatch.OnPlaceReply(
      entry.now, entry.place_requests.back().call,
      {.is_granted = true, .slots = 16, .is_suspect = true});
  entry.EndExchange(exchange_end::kBroken);
  BOOST_TEST(entry.place_requests.size() == 1u);
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 502);
  BOOST_TEST((entry.attempt_results.back() == attempt_result::kBroken));
}

BOOST_AUTO_TEST_CASE(a_quarantined_part_is_refused_without_asking_an_agent) {
  fake_entry entry;
  caller_call call{.id = "r1",
                   .host = "models",
                   .key = "key",
                   .time_left = milliseconds(6000),
                   .model = "model"};
  call.traits = {.request = fingerprint(1), .parts = {fingerprint(7)}};
  entry.dispatch.OnRequest(entry.now, 1, call, "/x", entry.now);
  BOOST_REQUIRE(entry.place_requests.size() == 1u);
  BOOST_TEST(entry.place_requests[0].traits.parts == call.traits.parts);
  entry.dispatch.OnPlaceReply(
      entry.now, entry.place_requests.back().call,
      {.is_quarantined = true, .quarantined_trait = fingerprint(7)});
  call.traits.request = fingerprint(2);
  entry.dispatch.OnRequest(entry.now, 2, call, "/x", entry.now);
  BOOST_TEST(entry.place_requests.size() == 1u);
  BOOST_TEST(entry.refusals.size() == 2u);
  call.traits.parts = {fingerprint(8)};
  entry.dispatch.OnRequest(entry.now, 3, call, "/x", entry.now);
  BOOST_TEST(entry.place_requests.size() == 2u);
}

BOOST_AUTO_TEST_CASE(only_a_full_answer_counts_as_answered) {
  fake_entry entry;
  auto begin = [&](uint64_t id) {
    entry.SendRequest(id, "models");
    entry.GrantPlace();
    entry.DeliverHead(200, true);
  };
  begin(1);
  entry.DeliverBody("id:1\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST((entry.attempt_results.back() == attempt_result::kAnswered));
  begin(2);
  entry.DeliverBody("id:1\ndata\n\nid:");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST((entry.attempt_results.back() == attempt_result::kOther));
  begin(3);
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST((entry.attempt_results.back() == attempt_result::kOther));
  begin(4);
  const started_attempt last = entry.attempts.back();
  entry.dispatch.OnAnswerHead(entry.now, last.call, last.number,
                              {.status = 200,
                               .call_id = "r4",
                               .is_sealed = true,
                               .ends_by_close = true},
                              true);
  entry.DeliverBody("id:1\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST((entry.attempt_results.back() == attempt_result::kClosed));
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_is_refused_as_not_run) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  entry.dispatch.OnPlaceReply(entry.now, entry.place_requests.back().call,
                              {.is_quarantined = true});
  BOOST_TEST(entry.attempts.empty());
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 503);
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_chooses_the_route) {
  fake_site site;
  BOOST_TEST(site.index->FindRoute("plain", "/read/1")->name == "reading");
  BOOST_TEST(site.index->FindRoute("plain", "/readers")->name == "booking");
  BOOST_TEST((site.index->FindRoute("other", "/") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
