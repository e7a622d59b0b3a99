/// @file silent_server_test.cc Calls whose server falls silent or breaks off: a
/// substitute is looked for, while a silent attempt runs on.
#include <boost/test/unit_test.hpp>

#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

/// Entry whose call 1 has received event 1 from a server that falls silent.
struct silent_stream : fake_entry {
  silent_stream() {
    SendRequest(1, "models");
    GrantPlace();
    DeliverHead(200, true);
    DeliverBody("id:1\ndata\n\n");
    first = attempts.back();
    Advance(milliseconds(1200));
    BOOST_REQUIRE(place_requests.size() == 2u);
  }

  void DeliverBodyOfFirst(std::string_view bytes) {
    dispatch.OnAnswerBody(now, first.call, first.number, bytes);
  }

  started_attempt first;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(silent_server_suite)

BOOST_AUTO_TEST_CASE(a_silent_stream_without_a_place_elsewhere_is_not_cut) {
  silent_stream entry;
  entry.DenyPlace();
  entry.DeliverBodyOfFirst("id:2\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n>");
  BOOST_TEST(entry.aborted_calls.empty());
}

BOOST_AUTO_TEST_CASE(a_silent_attempt_is_aborted_only_for_a_granted_place) {
  silent_stream entry;
  BOOST_TEST(entry.aborted_calls.empty());
  entry.GrantPlace();
  BOOST_TEST(entry.aborted_calls.size() == 1u);
  BOOST_REQUIRE(entry.attempts.size() == 2u);
  entry.DeliverBodyOfFirst("id:2\ndata\n\n");
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:2\ndata\n\nid:3\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text ==
             "<id:1\ndata\n\nid:2\ndata\n\nid:3\ndata\n\n>");
  BOOST_TEST(entry.released_requests.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_stream_that_goes_on_releases_the_place_elsewhere) {
  silent_stream entry;
  entry.DeliverBodyOfFirst("id:2\ndata\n\n");
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_TEST(entry.aborted_calls.empty());
  BOOST_TEST(entry.released_requests ==
                 std::vector<uint64_t>{entry.place_requests.back().call},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_silent_stream_moves_once_a_place_gets_free) {
  silent_stream entry;
  entry.DenyPlace();
  entry.Advance(milliseconds(400));
  BOOST_REQUIRE(entry.place_requests.size() == 3u);
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_call_that_ends_in_its_search_releases_both_places) {
  for (const bool is_planned : {true, false}) {
    silent_stream entry;
    if (is_planned) {
      entry.dispatch.EndCalls(entry.now);
    } else {
      entry.dispatch.OnCallerDisconnected(entry.now, 1);
    }
    BOOST_TEST(entry.released_requests.size() == 2u);
    BOOST_TEST(entry.aborted_calls.size() == 1u);
    entry.GrantPlace();
    BOOST_TEST(entry.attempts.size() == 1u);
  }
}

BOOST_AUTO_TEST_CASE(a_silent_call_that_may_not_be_repeated_gets_its_answer) {
  fake_entry entry;
  site_view view = entry.site.index->View();
  view.configuration.routes[0].is_resumable = false;
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  entry.SendRequest(1, "models");
  entry.GrantPlace();
  entry.Advance(milliseconds(1500));
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:1\ndata\n\n");
  entry.Advance(milliseconds(1500));
  entry.DeliverBody("id:2\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n>");
  BOOST_TEST(entry.place_requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_answer_that_arrives_in_parts_is_not_replaced) {
  fake_entry entry;
  entry.SendRequest(1, "plain", "/read/x");
  entry.Advance(milliseconds(200));
  entry.DeliverHead(200, false);
  for (int i = 0; i < 4; ++i) {
    entry.DeliverBody("x");
    entry.Advance(milliseconds(100));
  }
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.attempts.size() == 1u);
  BOOST_TEST(entry.received_text == "[xxxx]");
}

BOOST_AUTO_TEST_CASE(searches_of_silent_calls_do_not_limit_those_of_others) {
  fake_entry entry;
  site_view view = entry.site.index->View();
  for (int i = 3; i < 20; ++i) {
    site_server server = view.servers["m2"];
    server.id = "m" + std::to_string(i);
    view.servers[server.id] = server;
  }
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  for (uint64_t id = 1; id <= 100; ++id) {
    entry.SendRequest(id, "models");
    entry.GrantPlace();
  }
  size_t replied = entry.place_requests.size();
  const auto deny_all = [&] {
    for (; replied < entry.place_requests.size(); ++replied)
      entry.dispatch.OnPlaceReply(entry.now, entry.place_requests[replied].call,
                                  {.slots = 16});
  };
  for (int i = 0; i < 320; ++i) {
    entry.Advance(milliseconds(10));
    deny_all();
  }
  const size_t before = entry.place_requests.size();
  entry.SendRequest(1000, "models");
  deny_all();
  BOOST_TEST(entry.place_requests.size() - before ==
             place_search_options{}.usual_requests);
}

BOOST_AUTO_TEST_CASE(silent_calls_over_the_retry_budget_are_not_refused) {
  fake_entry entry;
  site_view view = entry.site.index->View();
  view.entry_relays.resize(1000);  // Leaves a budget of two retries.
  entry.site.Set(view);
  entry.dispatch.SetIndex(entry.site.index.get());
  for (uint64_t id : {1, 2, 3})
    entry.SendRequest(id, "plain", "/read/x");
  entry.Advance(milliseconds(500));
  BOOST_TEST(entry.attempts.size() == 5u);
  BOOST_TEST(entry.aborted_calls.size() == 2u);
  BOOST_TEST(entry.refusals.empty());
}

BOOST_AUTO_TEST_CASE(a_broken_stream_waits_for_a_place_until_its_deadline) {
  for (const bool gets_place : {true, false}) {
    fake_entry entry;
    entry.SendRequest(1, "models");
    entry.GrantPlace();
    entry.DeliverHead(200, true);
    entry.DeliverBody("id:1\ndata\n\n");
    entry.EndExchange(exchange_end::kBroken);
    for (int i = 0; i < 10; ++i) {
      BOOST_REQUIRE(entry.place_requests.size() >= 2u);
      entry.DenyPlace();
      entry.Advance(milliseconds(100));
    }
    BOOST_TEST(entry.received_text == "<id:1\ndata\n\n");
    BOOST_TEST(entry.place_requests.size() <= 6u);
    if (gets_place) {
      const size_t asked = entry.place_requests.size();
      while (entry.place_requests.size() == asked)
        entry.Advance(milliseconds(10));
      entry.GrantPlace();
      entry.DeliverHead(200, true);
      entry.DeliverBody("id:2\ndata\n\n");
      entry.EndExchange(exchange_end::kComplete);
      BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n>");
    } else {
      entry.Advance(milliseconds(5100));
      BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
