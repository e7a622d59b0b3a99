/// @file resumed_stream_test.cc Streams that are resumed at another server:
/// only its events reach the caller, and a stream that cannot go on looks cut
/// off.
#include <boost/test/unit_test.hpp>

#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

/// Entry whose call 1 has received events and is resumed at another server.
struct resumed_stream : fake_entry {
  explicit resumed_stream(const std::string& events = "id:1\ndata\n\n") {
    SendRequest(1, "models");
    GrantPlace();
    Answer({.status = 200, .is_sealed = true, .weights = 1}, true);
    DeliverBody(events);
    EndExchange(exchange_end::kBroken);
    GrantPlace();
    BOOST_REQUIRE(attempts.size() == 2u);
  }

  /// Delivers a head that has the id of the call.
  void Answer(server_answer head, bool is_event_stream) {
    const started_attempt& last = attempts.back();
    head.call_id = "r1";
    dispatch.OnAnswerHead(now, last.call, last.number, head, is_event_stream);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(resumed_stream_suite)

BOOST_AUTO_TEST_CASE(an_error_of_the_next_server_is_not_part_of_the_stream) {
  for (int status : {302, 400, 404, 409, 500}) {
    resumed_stream entry;
    entry.DeliverHead(status, false);
    entry.DeliverBody("no such thing");
    entry.EndExchange(exchange_end::kComplete);
    BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
  }
}

BOOST_AUTO_TEST_CASE(an_unsealed_answer_is_not_part_of_the_stream) {
  resumed_stream entry;
  entry.Answer({.status = 200}, true);
  entry.DeliverBody("id:2\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
}

BOOST_AUTO_TEST_CASE(a_body_that_is_no_event_stream_is_not_part_of_the_stream) {
  for (int status : {200, 204, 206}) {
    resumed_stream entry;
    entry.Answer({.status = status, .is_sealed = true}, false);
    entry.DeliverBody("{}\n\n");
    entry.EndExchange(exchange_end::kComplete);
    BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
  }
}

// The id of the only event may be wrong, so that nothing may follow it.
BOOST_AUTO_TEST_CASE(an_answer_without_a_new_event_does_not_end_the_stream) {
  for (const char* body : {"", "id:1\ndata\n\n", ":\n\n"}) {
    resumed_stream entry;
    entry.Answer({.status = 200, .is_sealed = true}, true);
    entry.DeliverBody(body);
    entry.EndExchange(exchange_end::kComplete);
    BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
  }
}

// The first server broke off after its last event, before the end of its
// answer. A sound one has nothing left to send.
BOOST_AUTO_TEST_CASE(a_stream_broken_after_its_last_event_never_ends) {
  for (bool ends_by_close : {false, true}) {
    for (const char* body : {"", ":\n\n", "id:2\ndata\n\n"}) {
      resumed_stream entry("id:1\ndata\n\nid:2\ndata\n\n");
      entry.Answer(
          {.status = 200, .is_sealed = true, .ends_by_close = ends_by_close},
          true);
      entry.DeliverBody(body);
      entry.EndExchange(exchange_end::kComplete);
      // An event with the id of the last one may be the next with a wrong id.
      const bool is_whole = !ends_by_close && *body != 'i';
      BOOST_TEST(entry.received_text ==
                 (is_whole ? "<id:1\ndata\n\nid:2\ndata\n\n>"
                           : "<id:1\ndata\n\nid:2\ndata\n\n|"));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_broken_answer_without_an_event_looks_whole) {
  for (const char* body : {"", ":\n\n", "id:1\ndata\n\n", "id:2\ndata\n\n"}) {
    resumed_stream entry("id:1\ndata\n\nid:2\ndata\n\n");
    entry.Answer({.status = 200, .is_sealed = true}, true);
    entry.DeliverBody(body);
    entry.EndExchange(exchange_end::kBroken);
    BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n|");
  }
}

BOOST_AUTO_TEST_CASE(a_whole_answer_that_ends_before_the_last_event_ends_it) {
  resumed_stream entry("id:1\ndata\n\nid:2\ndata\n\n");
  entry.Answer({.status = 200, .is_sealed = true}, true);
  entry.DeliverBody("id:1\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n|");
}

// Its place ended with an answer that shows nothing about crashes of servers
// that begin to write.
BOOST_AUTO_TEST_CASE(an_answer_without_an_event_clears_its_prompt) {
  resumed_stream entry("id:1\ndata\n\nid:2\ndata\n\n");
  entry.Answer({.status = 200, .is_sealed = true}, true);
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST((entry.attempt_results.back() == attempt_result::kOther));
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_version_is_not_joined) {
  resumed_stream entry;
  entry.Answer({.status = 200, .is_sealed = true, .weights = 2}, true);
  entry.DeliverBody("id:2\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
}

BOOST_AUTO_TEST_CASE(a_misdirected_resumed_stream_looks_cut_off) {
  resumed_stream entry;
  entry.DeliverHead(421, false, true);
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_looks_cut_off) {
  resumed_stream entry;
  entry.Answer({.status = 200, .is_sealed = true, .weights = 1}, true);
  entry.DeliverBody("id:2\ndata\n\nid:3\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n|");
}

BOOST_AUTO_TEST_CASE(a_resumed_answer_that_leaves_out_events_is_not_joined) {
  for (const char* next : {"id:3\ndata\n\n", "id:4\ndata\n\n"}) {
    fake_entry entry;
    entry.SendRequest(1, "models");
    entry.GrantPlace();
    entry.DeliverHead(200, true);
    entry.DeliverBody("id:1\ndata\n\nid:2\ndata\n\n");
    entry.EndExchange(exchange_end::kBroken);
    entry.GrantPlace();
    entry.DeliverHead(200, true);
    entry.DeliverBody(next);
    entry.EndExchange(exchange_end::kComplete);
    const bool has_gap = std::string(next) == "id:4\ndata\n\n";
    BOOST_TEST(entry.received_text ==
               (has_gap ? "<id:1\ndata\n\nid:2\ndata\n\n|"
                        : "<id:1\ndata\n\nid:2\ndata\n\nid:3\ndata\n\n>"));
  }
}

BOOST_AUTO_TEST_CASE(an_event_without_end_is_given_up) {
  resumed_stream entry;
  entry.Answer({.status = 200, .is_sealed = true}, true);
  for (int i = 0; i < 100 && entry.aborted_calls.empty(); ++i)
    entry.DeliverBody(std::string(10000, 'x'));
  BOOST_TEST(entry.aborted_calls.size() == 1u);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
}

BOOST_AUTO_TEST_CASE(comments_do_not_postpone_the_search) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  entry.GrantPlace();
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:1\ndata\n\n");
  for (int i = 0; i < 12; ++i) {
    entry.Advance(milliseconds(100));
    entry.DeliverBody(":\n\n");
  }
  BOOST_TEST(entry.place_requests.size() == 2u);
}

BOOST_AUTO_TEST_CASE(bytes_without_an_event_do_not_extend_the_timeout) {
  resumed_stream entry;
  entry.Answer({.status = 200, .is_sealed = true}, true);
  for (int i = 0; i < 60; ++i) {
    entry.DeliverBody("x");
    entry.Advance(milliseconds(100));
  }
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\n|");
  BOOST_TEST(entry.aborted_calls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(bytes_without_an_event_do_not_postpone_the_search) {
  fake_entry entry;
  entry.SendRequest(1, "models");
  entry.GrantPlace();
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:1\ndata\n\n");
  for (int i = 0; i < 12; ++i) {
    entry.Advance(milliseconds(100));
    entry.DeliverBody("x");
  }
  BOOST_TEST(entry.place_requests.size() == 2u);
  entry.GrantPlace();
  BOOST_TEST(entry.attempts.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_without_explicit_version_goes_on) {
  resumed_stream entry;
  entry.Answer({.status = 200, .is_sealed = true}, true);
  entry.DeliverBody("id:1\ndata\n\nid:2\ndata\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\nid:2\ndata\n\n>");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
