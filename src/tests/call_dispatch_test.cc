/// @file call_dispatch_test.cc Dispatch at a hosted entry: at-most-once
/// execution, correct refusals, stream resumption and places.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

/// Starts request 1 at a server of the given version and delivers one event.
started_attempt BeginStreamOfVersion(fake_entry* it, uint64_t version) {
  it->SendRequest(1, "models");
  it->GrantPlace();
  started_attempt first = it->attempts.back();
  it->dispatch.OnAnswerHead(
      it->now, first.call, first.number,
      {.status = 200, .call_id = "r1", .is_sealed = true, .weights = version},
      true);
  it->DeliverBody("id:1\n\n");
  return first;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(call_dispatch_suite)

BOOST_AUTO_TEST_CASE(a_plain_call_gets_its_whole_answer) {
  fake_entry it;
  it.SendRequest(1, "plain");
  BOOST_REQUIRE(it.attempts.size() == 1u);
  BOOST_TEST(it.attempts[0].terms.tenant == "acme");
  BOOST_TEST(it.attempts[0].terms.instance == it.attempts[0].server);
  BOOST_TEST(it.attempts[0].terms.time_left.count() == 900);
  it.DeliverHead(200, false);
  it.DeliverBody("whole");
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST(it.received_text == "[whole]");
  BOOST_TEST(it.dispatch.Open() == 0u);
}

BOOST_AUTO_TEST_CASE(a_call_that_may_have_run_is_not_retried) {
  fake_entry it;
  it.SendRequest(1, "plain");
  it.EndExchange(exchange_end::kBroken);
  BOOST_TEST(it.attempts.size() == 1u);
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 502);
  BOOST_TEST(!it.own_answers[0].retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(a_call_that_did_not_run_is_retried_elsewhere) {
  fake_entry it;
  it.SendRequest(1, "plain");
  it.DeliverHead(503, false, true);
  it.EndExchange(exchange_end::kComplete);
  BOOST_REQUIRE(it.attempts.size() == 2u);
  it.EndExchange(exchange_end::kNotConnected);
  BOOST_REQUIRE(it.attempts.size() == 3u);
  it.DeliverHead(200, false);
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST(it.own_answers.empty());
}

BOOST_AUTO_TEST_CASE(
    a_timed_out_non_idempotent_call_is_not_reported_as_not_run) {
  fake_entry it;
  it.SendRequest(1, "plain");
  it.Advance(milliseconds(1000));
  BOOST_TEST(it.attempts.size() == 1u);
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 504);
  BOOST_TEST(it.aborted_calls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_timed_out_idempotent_call_is_retried_elsewhere) {
  fake_entry it;
  it.SendRequest(1, "plain", "/read/x");
  it.Advance(milliseconds(400));
  BOOST_REQUIRE(it.attempts.size() == 2u);
  BOOST_TEST(it.attempts[0].server != it.attempts[1].server);
  BOOST_TEST(it.attempts[1].terms.time_left.count() < 700);
}

// Regression: an entry accepted a stream on an open connection 5.7 s after
// SIGTERM and exited before the stream was complete.
BOOST_AUTO_TEST_CASE(a_stream_that_cannot_finish_before_exit_is_refused) {
  fake_entry it;
  it.dispatch.SetExitTime(it.now + milliseconds(3000));
  it.SendRequest(1, "models");
  BOOST_TEST(it.place_requests.empty());
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 503);
  BOOST_TEST(it.own_answers[0].retry_after.has_value());
  // A plain call takes at most one second.
  it.SendRequest(2, "plain");
  BOOST_TEST(it.attempts.size() == 1u);
  it.dispatch.SetExitTime(it.now + milliseconds(7000));
  it.SendRequest(3, "models");
  BOOST_TEST(it.place_requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped) {
  fake_entry it;
  it.SendRequest(1, "plain");
  const started_attempt& last = it.attempts.back();
  BOOST_TEST(!it.dispatch.OnAnswerHead(
      it.now, last.call, last.number,
      {.status = 200, .call_id = "other", .is_sealed = true}, false));
  BOOST_TEST(it.DeliverHead(200, false));
}

BOOST_AUTO_TEST_CASE(an_unsealed_success_is_not_forwarded) {
  fake_entry it;
  it.SendRequest(1, "plain");
  const started_attempt last = it.attempts.back();
  it.dispatch.OnAnswerHead(it.now, last.call, last.number,
                           {.status = 200, .call_id = "r1"}, false);
  it.DeliverBody("forged");
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST(it.received_text.empty());
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 502);
}

BOOST_AUTO_TEST_CASE(a_stream_resumes_elsewhere_after_the_last_complete_event) {
  fake_entry it;
  it.SendRequest(1, "models");
  it.GrantPlace();
  it.DeliverHead(200, true);
  it.DeliverBody("id:1\n\nid:2\n\nid:");
  it.EndExchange(exchange_end::kBroken);
  BOOST_REQUIRE(it.place_requests.size() == 2u);
  BOOST_TEST(it.place_requests[1].is_resumed);
  it.GrantPlace();
  BOOST_REQUIRE(it.attempts.size() == 2u);
  BOOST_TEST((it.attempts[1].terms.last_event == 2u));
  it.DeliverHead(200, true);
  it.DeliverBody("id:2\n\nid:3\n\n");
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST(it.received_text == "<id:1\n\nid:2\n\nid:3\n\n>");
}

// During a rollout, servers of both versions are in service.
BOOST_AUTO_TEST_CASE(a_resumed_stream_never_mixes_two_versions) {
  fake_entry it;
  const started_attempt first = BeginStreamOfVersion(&it, 1);
  site_view view = it.site.index->View();
  const std::string other = first.server == "m1" ? "m2" : "m1";
  view.servers[other].models = {{"model", 2, 0, 16}};
  it.site.Set(view);
  it.dispatch.SetIndex(it.site.index.get());
  it.EndExchange(exchange_end::kBroken);
  // The only other server already has the next version.
  BOOST_TEST(it.attempts.size() == 1u);
  BOOST_TEST(it.received_text == "<id:1\n\n|");
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_names_the_version_that_began_it) {
  fake_entry it;
  const started_attempt first = BeginStreamOfVersion(&it, 1);
  BOOST_TEST(!first.terms.weights.has_value());
  it.EndExchange(exchange_end::kBroken);
  it.GrantPlace();
  BOOST_REQUIRE(it.attempts.size() == 2u);
  BOOST_TEST(it.attempts.back().terms.weights.value_or(0) == 1u);
  // The server has loaded another version; it stays eligible for other
  // requests.
  const std::string loaded = it.attempts.back().server;
  it.DeliverHead(421, false, true);
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST(it.received_text.ends_with("|"));
  it.SendRequest(2, "models");
  it.requested_servers.clear();
  it.dispatch.OnPlaceReply(it.now, it.place_requests.back().call, {.slots = 0});
  it.SendRequest(3, "models");
  it.dispatch.OnPlaceReply(it.now, it.place_requests.back().call, {.slots = 0});
  BOOST_TEST(std::count(it.requested_servers.begin(),
                        it.requested_servers.end(), loaded) > 0);
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_resume_does_not_look_complete) {
  fake_entry it;
  it.SendRequest(1, "models");
  for (int i = 0; i < 2; ++i) {
    it.GrantPlace();
    it.DeliverHead(200, true);
    it.DeliverBody("id:" + std::to_string(i + 1) + "\n\n");
    it.EndExchange(exchange_end::kBroken);
  }
  BOOST_TEST(it.received_text == "<id:1\n\nid:2\n\n|");
}

BOOST_AUTO_TEST_CASE(every_place_is_released) {
  fake_entry it;
  it.SendRequest(1, "models");
  it.GrantPlace();
  it.DeliverHead(200, true);
  it.DeliverBody("id:1\n\n");
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST((it.released_requests ==
              std::vector<uint64_t>{it.place_requests[0].call}));
  it.SendRequest(2, "models");
  it.dispatch.OnCallerDisconnected(it.now, 2);
  BOOST_TEST(it.released_requests.size() == 2u);
  it.SendRequest(3, "models");
  it.Advance(milliseconds(100));  // The agent does not answer.
  BOOST_TEST(it.released_requests.size() >= 3u);
}

BOOST_AUTO_TEST_CASE(a_late_grant_of_a_cancelled_request_starts_nothing) {
  fake_entry it;
  it.SendRequest(1, "models");
  const uint64_t question = it.place_requests[0].call;
  it.Advance(milliseconds(80));
  BOOST_REQUIRE(it.place_requests.size() == 2u);
  it.dispatch.OnPlaceReply(it.now, question, {.is_granted = true, .slots = 16});
  BOOST_TEST(it.attempts.empty());
}

BOOST_AUTO_TEST_CASE(
    without_a_place_the_refusal_is_immediate_with_retry_after) {
  fake_entry it;
  it.SendRequest(1, "models");
  while (it.own_answers.empty()) {
    it.now += milliseconds(2);
    it.dispatch.OnPlaceReply(
        it.now, it.place_requests.back().call,
        {.expected_free_in = milliseconds(500), .slots = 16});
  }
  BOOST_TEST(it.own_answers[0].status == 503);
  BOOST_REQUIRE(it.own_answers[0].retry_after.has_value());
  BOOST_TEST(it.own_answers[0].retry_after->count() >= 500);
  BOOST_TEST(it.attempts.empty());
}

BOOST_AUTO_TEST_CASE(keys_are_refused_when_the_known_state_is_stale) {
  fake_entry it;
  it.now += milliseconds(4800);
  it.SendRequest(1, "plain");
  BOOST_TEST(it.attempts.empty());
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 503);
}

BOOST_AUTO_TEST_CASE(an_unknown_key_gets_401_only_from_fresh_state) {
  fake_entry it;
  caller_call call{.id = "r", .host = "plain", .key = "new"};
  it.dispatch.OnRequest(it.now, 1, call, "/x", it.now);
  it.now += seconds(5);
  it.dispatch.OnRequest(it.now, 2, call, "/x", it.now);
  BOOST_REQUIRE(it.own_answers.size() == 2u);
  BOOST_TEST(it.own_answers[0].status == 401);
  BOOST_TEST(it.own_answers[1].status == 503);
}

BOOST_AUTO_TEST_CASE(nothing_begins_on_a_version_past_its_bound) {
  fake_entry it;
  site_view view = it.site.index->View();
  view.weights["model"] = {
      .version = 2,
      .announcements = {{2, {.announced_after = it.now, .was_watched = true}}}};
  it.site.Set(view);
  it.dispatch.SetIndex(it.site.index.get());
  it.SendRequest(1, "models");
  BOOST_TEST(it.place_requests.size() == 1u);
  it.now += milliseconds(7600);
  it.dispatch.SetConfirmedAt(it.now);
  it.SendRequest(2, "models");
  BOOST_TEST(it.place_requests.size() == 1u);
}

// An instance at a reused address answers 421 to requests for the previous
// instance. A restarted instance registers with a newer revision.
BOOST_AUTO_TEST_CASE(a_replaced_server_is_used_again_once_it_registers) {
  fake_entry it;
  auto send_misdirected = [&] {
    it.SendRequest(it.attempts.size() + 1, "plain");
    std::string first = it.attempts.back().server;
    it.DeliverHead(421, false, true);
    it.EndExchange(exchange_end::kComplete);
    it.DeliverHead(200, false);
    it.EndExchange(exchange_end::kComplete);
    return first;
  };
  send_misdirected();
  const std::string remaining = it.attempts.back().server;
  const std::string replaced = remaining == "d1" ? "d2" : "d1";
  for (int i = 0; i < 20; ++i) {
    it.SendRequest(100 + static_cast<uint64_t>(i), "plain");
    BOOST_TEST(it.attempts.back().server == remaining);
    it.DeliverHead(200, false);
    it.EndExchange(exchange_end::kComplete);
  }
  site_view view = it.site.index->View();
  view.servers[replaced].revision = 11;
  view.servers[remaining].is_draining = true;
  it.site.Set(view);
  it.dispatch.SetIndex(it.site.index.get());
  it.SendRequest(200, "plain");
  BOOST_TEST(it.attempts.back().server == replaced);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_servers_is_quarantined) {
  crash_history history{{}};
  time_point now{std::chrono::hours(1)};
  const fingerprint culprit(1);
  for (uint64_t crash = 0; crash < 2; ++crash) {
    BOOST_TEST(!history.IsQuarantined(now, culprit));
    history.OnRequestAborted(now, culprit);
    history.OnRequestAborted(now, fingerprint(100 + crash));
    now += seconds(4);
    for (const fingerprint& suspect : history.OnEngineRestart(now))
      history.RecordCrash(now, suspect);
  }
  BOOST_TEST(history.IsQuarantined(now, culprit));
  BOOST_TEST(!history.IsQuarantined(now, fingerprint(100)));
  BOOST_TEST(history.OnEngineRestart(now).empty());
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_is_refused_as_not_run) {
  fake_entry it;
  it.SendRequest(1, "models");
  it.dispatch.OnPlaceReply(it.now, it.place_requests.back().call,
                           {.is_quarantined = true});
  BOOST_TEST(it.attempts.empty());
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 503);
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_chooses_the_route) {
  fake_site site;
  BOOST_TEST(site.index->FindRoute("plain", "/read/1")->name == "reading");
  BOOST_TEST(site.index->FindRoute("plain", "/readers")->name == "booking");
  BOOST_TEST((site.index->FindRoute("other", "/") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
