/// @file call_dispatch_test.cc Requests at a hosted entry: at most once, true
/// refusals, resumed streams, places.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

/// Has a server of some version answer the first event of request 1.
started_attempt BeginStreamOfVersion(fake_entry* it, uint64_t version) {
  it->SendRequest(1, "models");
  it->GrantPlace();
  started_attempt first = it->attempts.back();
  it->dispatch.OnHead(
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

BOOST_AUTO_TEST_CASE(what_may_have_run_once_is_not_sent_again) {
  fake_entry it;
  it.SendRequest(1, "plain");
  it.EndExchange(exchange_end::kBroken);
  BOOST_TEST(it.attempts.size() == 1u);
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 502);
  BOOST_TEST(!it.own_answers[0].retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(what_proved_not_to_run_is_sent_elsewhere) {
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

BOOST_AUTO_TEST_CASE(a_silent_booking_is_waited_for_and_never_called_not_run) {
  fake_entry it;
  it.SendRequest(1, "plain");
  it.Advance(milliseconds(1000));
  BOOST_TEST(it.attempts.size() == 1u);
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 504);
  BOOST_TEST(it.aborted_calls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_silent_reading_is_repeated_at_another_server) {
  fake_entry it;
  it.SendRequest(1, "plain", "/read/x");
  it.Advance(milliseconds(400));
  BOOST_REQUIRE(it.attempts.size() == 2u);
  BOOST_TEST(it.attempts[0].server != it.attempts[1].server);
  BOOST_TEST(it.attempts[1].terms.time_left.count() < 700);
}

// An entry took a stream on an open connection 5.7 s after SIGTERM, and ended
// in the middle of it.
BOOST_AUTO_TEST_CASE(what_would_not_be_whole_before_the_end_is_not_begun) {
  fake_entry it;
  it.dispatch.SetEnd(it.now + milliseconds(3000));
  it.SendRequest(1, "models");
  BOOST_TEST(it.place_requests.empty());
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 503);
  BOOST_TEST(it.own_answers[0].retry_after.has_value());
  // A plain call takes a second at most.
  it.SendRequest(2, "plain");
  BOOST_TEST(it.attempts.size() == 1u);
  it.dispatch.SetEnd(it.now + milliseconds(7000));
  it.SendRequest(3, "models");
  BOOST_TEST(it.place_requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped) {
  fake_entry it;
  it.SendRequest(1, "plain");
  const started_attempt& last = it.attempts.back();
  BOOST_TEST(!it.dispatch.OnHead(
      it.now, last.call, last.number,
      {.status = 200, .call_id = "other", .is_sealed = true}, false));
  BOOST_TEST(it.DeliverHead(200, false));
}

BOOST_AUTO_TEST_CASE(a_success_without_proof_is_not_passed_on) {
  fake_entry it;
  it.SendRequest(1, "plain");
  const started_attempt last = it.attempts.back();
  it.dispatch.OnHead(it.now, last.call, last.number,
                     {.status = 200, .call_id = "r1"}, false);
  it.DeliverBody("forged");
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST(it.received_text.empty());
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 502);
}

BOOST_AUTO_TEST_CASE(a_stream_goes_on_elsewhere_after_the_last_whole_event) {
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

// While a version is rolled out, servers of both serve side by side.
BOOST_AUTO_TEST_CASE(a_resumed_stream_never_mixes_two_versions) {
  fake_entry it;
  const started_attempt first = BeginStreamOfVersion(&it, 1);
  site_view view = it.site.index->View();
  const std::string other = first.server == "m1" ? "m2" : "m1";
  view.servers[other].models = {{"model", 2, 0, 16}};
  it.site.Set(view);
  it.dispatch.SetIndex(it.site.index.get());
  it.EndExchange(exchange_end::kBroken);
  // The only other server has the next version.
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
  // It has loaded meanwhile: nothing is wrong with the server for others.
  const std::string loaded = it.attempts.back().server;
  it.DeliverHead(421, false, true);
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST(it.received_text.ends_with("|"));
  it.SendRequest(2, "models");
  it.requested_servers.clear();
  it.dispatch.OnPlace(it.now, it.place_requests.back().call, {.slots = 0});
  it.SendRequest(3, "models");
  it.dispatch.OnPlace(it.now, it.place_requests.back().call, {.slots = 0});
  BOOST_TEST(std::count(it.requested_servers.begin(),
                        it.requested_servers.end(), loaded) > 0);
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_go_on_does_not_look_complete) {
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

BOOST_AUTO_TEST_CASE(every_place_is_given_back) {
  fake_entry it;
  it.SendRequest(1, "models");
  it.GrantPlace();
  it.DeliverHead(200, true);
  it.DeliverBody("id:1\n\n");
  it.EndExchange(exchange_end::kComplete);
  BOOST_TEST((it.released_requests ==
              std::vector<uint64_t>{it.place_requests[0].call}));
  it.SendRequest(2, "models");
  it.dispatch.OnGone(it.now, 2);
  BOOST_TEST(it.released_requests.size() == 2u);
  it.SendRequest(3, "models");
  it.Advance(milliseconds(100));  // The agent does not answer.
  BOOST_TEST(it.released_requests.size() >= 3u);
}

BOOST_AUTO_TEST_CASE(a_late_grant_of_a_dropped_question_starts_nothing) {
  fake_entry it;
  it.SendRequest(1, "models");
  const uint64_t question = it.place_requests[0].call;
  it.Advance(milliseconds(80));
  BOOST_REQUIRE(it.place_requests.size() == 2u);
  it.dispatch.OnPlace(it.now, question, {.is_granted = true, .slots = 16});
  BOOST_TEST(it.attempts.empty());
}

BOOST_AUTO_TEST_CASE(without_any_place_the_refusal_is_at_once_and_true) {
  fake_entry it;
  it.SendRequest(1, "models");
  while (it.own_answers.empty()) {
    it.now += milliseconds(2);
    it.dispatch.OnPlace(it.now, it.place_requests.back().call,
                        {.free_after = milliseconds(500), .slots = 16});
  }
  BOOST_TEST(it.own_answers[0].status == 503);
  BOOST_REQUIRE(it.own_answers[0].retry_after.has_value());
  BOOST_TEST(it.own_answers[0].retry_after->count() >= 500);
  BOOST_TEST(it.attempts.empty());
}

BOOST_AUTO_TEST_CASE(keys_fail_closed_when_the_belief_is_old) {
  fake_entry it;
  it.now += milliseconds(4800);
  it.SendRequest(1, "plain");
  BOOST_TEST(it.attempts.empty());
  BOOST_REQUIRE(it.own_answers.size() == 1u);
  BOOST_TEST(it.own_answers[0].status == 503);
}

BOOST_AUTO_TEST_CASE(an_unknown_key_is_refused_only_by_a_fresh_belief) {
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
  it.dispatch.SetSound(it.now);
  it.SendRequest(2, "models");
  BOOST_TEST(it.place_requests.size() == 1u);
}

// An address that was used again answers 421 for the instance that had it. An
// instance that starts again writes a new entry.
BOOST_AUTO_TEST_CASE(a_server_whose_address_changed_hands_may_come_back) {
  fake_entry it;
  auto elsewhere = [&] {
    it.SendRequest(it.attempts.size() + 1, "plain");
    std::string first = it.attempts.back().server;
    it.DeliverHead(421, false, true);
    it.EndExchange(exchange_end::kComplete);
    it.DeliverHead(200, false);
    it.EndExchange(exchange_end::kComplete);
    return first;
  };
  elsewhere();
  const std::string stays = it.attempts.back().server;
  const std::string gone = stays == "d1" ? "d2" : "d1";
  for (int i = 0; i < 20; ++i) {
    it.SendRequest(100 + static_cast<uint64_t>(i), "plain");
    BOOST_TEST(it.attempts.back().server == stays);
    it.DeliverHead(200, false);
    it.EndExchange(exchange_end::kComplete);
  }
  site_view view = it.site.index->View();
  view.servers[gone].revision = 11;
  view.servers[stays].is_draining = true;
  it.site.Set(view);
  it.dispatch.SetIndex(it.site.index.get());
  it.SendRequest(200, "plain");
  BOOST_TEST(it.attempts.back().server == gone);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_servers_is_held) {
  crash_ledger ledger{{}};
  time_point now{std::chrono::hours(1)};
  const fingerprint culprit(1);
  for (uint64_t crash = 0; crash < 2; ++crash) {
    BOOST_TEST(!ledger.IsHeld(now, culprit));
    ledger.OnBrokenOff(now, culprit);
    ledger.OnBrokenOff(now, fingerprint(100 + crash));
    now += seconds(4);
    for (const fingerprint& suspect : ledger.OnRestart(now))
      ledger.Count(now, suspect);
  }
  BOOST_TEST(ledger.IsHeld(now, culprit));
  BOOST_TEST(!ledger.IsHeld(now, fingerprint(100)));
  BOOST_TEST(ledger.OnRestart(now).empty());
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_is_refused_as_not_run) {
  fake_entry it;
  it.SendRequest(1, "models");
  it.dispatch.OnPlace(it.now, it.place_requests.back().call,
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
