/// @file event_order_test.cc Streams whose event ids are out of order: events
/// are neither dropped nor passed on twice, and what is passed on looks
/// complete only if it is.
#include <boost/test/unit_test.hpp>

#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

/// Returns events with these ids.
std::string Events(std::initializer_list<int> ids) {
  std::string text;
  for (int id : ids)
    text += "id:" + std::to_string(id) + "\ndata\n\n";
  return text;
}

/// Entry with a stream of a caller, and an answer to it that has begun.
struct ordered_stream : fake_entry {
  explicit ordered_stream(std::optional<uint64_t> last_event = std::nullopt,
                          bool is_resumable = true) {
    site_view view = site.index->View();
    view.configuration.routes[0].is_resumable = is_resumable;
    view.configuration.routes[0].attempts = 3;
    view.servers["m3"] = view.servers["m2"];
    view.servers["m3"].id = "m3";
    view.servers["m3"].address = "m3:80";
    site.Set(view);
    dispatch.SetIndex(site.index.get());
    caller_call call{.id = "r1", .host = "models", .key = "key"};
    call.time_left = milliseconds(6000);
    call.last_event = last_event;
    call.model = "model";
    call.prompt_tokens = 900;
    dispatch.OnRequest(now, 1, call, "/x", now);
    BeginAnswer();
  }

  void BeginAnswer() {
    GrantPlace();
    BOOST_REQUIRE(DeliverHead(200, true));
  }

  /// Delivers a whole answer, each event by itself.
  void DeliverAnswer(std::initializer_list<int> ids) {
    for (int id : ids)
      DeliverBody(Events({id}));
    EndExchange(exchange_end::kComplete);
  }

  /// Number of the event after which the last attempt goes on.
  uint64_t ResumedAfter() const {
    return attempts.back().headers.last_event.value_or(0);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(event_order_suite)

BOOST_AUTO_TEST_CASE(an_event_whose_id_is_too_low_is_not_dropped) {
  for (int id : {0, 1, 2, 3}) {
    ordered_stream entry;
    entry.DeliverAnswer({1, 2, 3, id, 5});
    BOOST_TEST(entry.aborted_calls.size() == 1u);
    entry.BeginAnswer();
    BOOST_REQUIRE(entry.attempts.size() == 2u);
    BOOST_TEST(entry.ResumedAfter() == 3u);
    entry.DeliverAnswer({4, 5});
    BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4, 5}) + ">");
  }
}

BOOST_AUTO_TEST_CASE(events_before_a_low_id_in_the_same_read_are_passed_on) {
  ordered_stream entry;
  entry.DeliverBody(Events({1, 2, 3, 1, 5}));
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3}));
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 3u);
  entry.DeliverAnswer({4, 5});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4, 5}) + ">");
}

// The event has been passed on when the next one shows that its id is wrong,
// so that its place, and what follows it, is unknown.
BOOST_AUTO_TEST_CASE(a_stream_with_an_id_that_is_too_high_looks_cut_off) {
  for (int id : {5, 7, 9}) {
    for (bool is_one_read : {false, true}) {
      ordered_stream entry;
      if (is_one_read) {
        entry.DeliverBody(Events({1, 2, id, 4, 5, 6, 7, 8, 9, 10}));
      } else {
        entry.DeliverAnswer({1, 2, id, 4, 5, 6, 7, 8, 9, 10});
      }
      BOOST_TEST(entry.received_text == "<" + Events({1, 2, id}) + "|");
      BOOST_TEST(entry.attempts.size() == 1u);
      BOOST_TEST(entry.aborted_calls.size() == 1u);
    }
  }
}

BOOST_AUTO_TEST_CASE(the_first_or_second_id_that_is_too_high_is_noticed) {
  ordered_stream first;
  first.DeliverAnswer({4, 2, 3, 4, 5});
  BOOST_TEST(first.received_text == "<" + Events({4}) + "|");
  ordered_stream second;
  second.DeliverAnswer({1, 4, 3, 4, 5});
  BOOST_TEST(second.received_text == "<" + Events({1, 4}) + "|");
}

BOOST_AUTO_TEST_CASE(two_wrong_ids_in_a_row_join_no_other_answer) {
  ordered_stream entry;
  entry.DeliverAnswer({1, 2, 5, 1, 5, 6});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 5}) + "|");
  BOOST_TEST(entry.attempts.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_not_be_resumed_looks_cut_off) {
  ordered_stream entry(std::nullopt, false);
  entry.DeliverAnswer({1, 2, 3, 1, 5});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3}) + "|");
  BOOST_TEST(entry.attempts.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_wrong_last_id_does_not_end_the_stream) {
  ordered_stream entry;
  entry.DeliverAnswer({1, 2, 3, 2});
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 3u);
  entry.DeliverAnswer({4});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4}) + ">");
}

// The caller has the events up to its own Last-Event-Id, and the server of the
// first answer knows it.
BOOST_AUTO_TEST_CASE(a_first_answer_does_not_repeat_what_the_caller_has) {
  for (int id : {1, 11, 12}) {
    ordered_stream entry(12);
    BOOST_TEST(entry.ResumedAfter() == 12u);
    entry.DeliverAnswer({id, 14, 15});
    BOOST_TEST(entry.received_text == "<");
    entry.BeginAnswer();
    BOOST_TEST(entry.ResumedAfter() == 12u);
    entry.DeliverAnswer({13, 14, 15});
    BOOST_TEST(entry.received_text == "<" + Events({13, 14, 15}) + ">");
  }
}

BOOST_AUTO_TEST_CASE(a_resumed_answer_repeats_events_only_at_its_start) {
  ordered_stream entry;
  entry.DeliverBody(Events({1, 2, 3}));
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  entry.DeliverAnswer({2, 3, 4, 5, 3, 7});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4, 5}));
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 5u);
  entry.DeliverAnswer({6, 7});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4, 5, 6, 7}) + ">");
}

BOOST_AUTO_TEST_CASE(a_repeated_event_that_is_out_of_order_is_noticed) {
  for (int id : {1, 2}) {
    ordered_stream entry;
    entry.DeliverBody(Events({1, 2, 3}));
    entry.EndExchange(exchange_end::kBroken);
    entry.BeginAnswer();
    entry.DeliverAnswer({2, id, 3, 4});
    entry.BeginAnswer();
    BOOST_TEST(entry.ResumedAfter() == 3u);
    entry.DeliverAnswer({4});
    BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4}) + ">");
  }
}

// An answer that ends with its connection proves nothing without an event; one
// that repeats the last event does.
BOOST_AUTO_TEST_CASE(an_answer_that_ends_with_its_connection_is_never_whole) {
  ordered_stream entry;
  entry.DeliverBody(Events({1, 2, 3}));
  entry.EndExchange(exchange_end::kBroken);
  for (uint64_t resumed_after : {3, 2}) {
    entry.GrantPlace();
    BOOST_TEST(entry.ResumedAfter() == resumed_after);
    const started_attempt& last = entry.attempts.back();
    entry.dispatch.OnAnswerHead(entry.now, last.call, last.number,
                                {.status = 200,
                                 .call_id = "r1",
                                 .is_sealed = true,
                                 .ends_by_close = true},
                                true);
    entry.DeliverBody(resumed_after == 3 ? "" : Events({3}));
    entry.EndExchange(exchange_end::kComplete);
  }
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3}) + ">");
}

// The step between ids is unknown after one event.
BOOST_AUTO_TEST_CASE(events_that_come_again_lead_up_to_the_last_one) {
  ordered_stream entry;
  entry.DeliverBody(Events({5}));
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  entry.DeliverAnswer({1, 7, 8});
  BOOST_TEST(entry.received_text == "<" + Events({5}) + "|");
}

BOOST_AUTO_TEST_CASE(a_resumed_answer_with_an_id_too_high_looks_cut_off) {
  ordered_stream entry;
  entry.DeliverBody(Events({1, 2, 3}));
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  entry.DeliverAnswer({4, 9, 6, 7, 8, 9, 10});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4, 9}) + "|");
  BOOST_TEST(entry.attempts.size() == 2u);
}

// The connection breaks before the next event shows that the id is wrong.
BOOST_AUTO_TEST_CASE(a_break_after_an_id_that_is_too_high_loses_no_event) {
  ordered_stream entry;
  entry.DeliverBody(Events({1, 2, 5}));
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 2u);
  entry.DeliverAnswer({3, 4, 5, 6});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 5}) + "|");
  BOOST_TEST(entry.attempts.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_sound_stream_with_uneven_ids_is_passed_on_as_it_is) {
  ordered_stream entry;
  entry.DeliverAnswer({1, 2, 9, 10, 30, 31});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 9, 10, 30, 31}) + ">");
  BOOST_TEST(entry.attempts.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_sound_stream_with_uneven_ids_is_resumed) {
  ordered_stream entry;
  entry.DeliverBody(Events({1, 2, 9}));
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 2u);
  entry.DeliverAnswer({9, 12, 13});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 9, 12, 13}) + ">");
}

// The steps before were even, or the ids after the break step further.
BOOST_AUTO_TEST_CASE(a_larger_step_after_a_break_closes_a_sound_stream) {
  ordered_stream entry;
  entry.DeliverBody(Events({1, 2, 3}));
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 3u);
  entry.DeliverBody(Events({9}));
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3}));
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 2u);
  entry.DeliverAnswer({3, 9, 10});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 9, 10}) + ">");
}

BOOST_AUTO_TEST_CASE(a_larger_step_after_uneven_ones_closes_a_sound_stream) {
  ordered_stream entry;
  entry.DeliverBody(Events({2, 5, 9, 10}));
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 9u);
  entry.DeliverAnswer({10, 17, 18});
  BOOST_TEST(entry.received_text == "<" + Events({2, 5, 9, 10, 17, 18}) + ">");
  BOOST_TEST(entry.attempts.size() == 2u);
}

// The server of the second answer leaves out an event.
BOOST_AUTO_TEST_CASE(an_event_left_out_after_a_break_stays_missing) {
  ordered_stream entry;
  entry.DeliverBody(Events({1, 2, 3}));
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  entry.DeliverAnswer({5, 6});
  entry.BeginAnswer();
  entry.DeliverAnswer({3, 4, 5, 6});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4, 5, 6}) + ">");
}

// One of the last two ids is wrong; another server's answer tells which.
BOOST_AUTO_TEST_CASE(an_answer_with_even_steps_goes_on_after_a_low_id) {
  for (bool is_last_wrong : {false, true}) {
    ordered_stream entry;
    entry.DeliverAnswer({6, 12, 18, 14, 30});
    entry.BeginAnswer();
    BOOST_TEST(entry.ResumedAfter() == 12u);
    if (is_last_wrong) {
      entry.DeliverAnswer({14, 18, 24, 30});
      BOOST_TEST(entry.received_text == "<" + Events({6, 12, 18}) + "|");
    } else {
      entry.DeliverAnswer({18, 24, 30});
      BOOST_TEST(entry.received_text ==
                 "<" + Events({6, 12, 18, 24, 30}) + ">");
    }
  }
}

// The bytes were passed on as an event, and the stream was resumed behind them.
BOOST_AUTO_TEST_CASE(bytes_that_are_no_event_reach_the_caller) {
  for (const char* garbage :
       {"\xf3\x8e garbage\n\n", "data: x\n\n", "id: x\ndata: x\n\n",
        "id:4\ndata: \xff\n\n", "id:4\nid:5\ndata\n\n"}) {
    for (bool is_first_answer : {true, false}) {
      ordered_stream entry;
      entry.DeliverBody(Events({1, 2}));
      if (!is_first_answer) {
        entry.EndExchange(exchange_end::kBroken);
        entry.BeginAnswer();
      }
      entry.DeliverBody(Events({3}) + garbage + Events({4, 5}));
      BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3}));
      BOOST_TEST(entry.counts["attempts_malformed"] == 1);
      entry.BeginAnswer();
      BOOST_TEST(entry.ResumedAfter() == 3u);
      entry.DeliverAnswer({4, 5});
      BOOST_TEST(entry.received_text == "<" + Events({1, 2, 3, 4, 5}) + ">");
    }
  }
}

BOOST_AUTO_TEST_CASE(garbage_before_the_first_event_reaches_the_caller) {
  ordered_stream entry;
  entry.DeliverBody("\xf3\x8e garbage\n\n");
  entry.BeginAnswer();
  BOOST_TEST(!entry.attempts.back().headers.last_event.has_value());
  entry.DeliverAnswer({1, 2});
  BOOST_TEST(entry.received_text == "<" + Events({1, 2}) + ">");
}

BOOST_AUTO_TEST_CASE(garbage_in_a_stream_that_may_not_be_resumed_looks_whole) {
  ordered_stream entry(std::nullopt, false);
  entry.DeliverBody(Events({1, 2}) + "\xf3\x8e garbage\n\n");
  BOOST_TEST(entry.received_text == "<" + Events({1, 2}) + "|");
}

BOOST_AUTO_TEST_CASE(a_caller_that_has_all_events_gets_no_end) {
  for (bool is_resumable : {true, false}) {
    ordered_stream entry(12, is_resumable);
    entry.EndExchange(exchange_end::kComplete);
    BOOST_TEST(entry.received_text == "<>");
    BOOST_TEST(entry.attempts.size() == 1u);
  }
}

// Each answer to a request that runs has an event.
BOOST_AUTO_TEST_CASE(a_stream_without_any_event_looks_whole) {
  ordered_stream entry;
  for (int i = 0; i < 3; ++i) {
    if (i > 0)
      entry.BeginAnswer();
    entry.EndExchange(exchange_end::kComplete);
  }
  BOOST_TEST(entry.received_text == "<|");
}

BOOST_AUTO_TEST_CASE(a_comment_ends_a_sound_stream) {
  ordered_stream entry;
  entry.DeliverBody(": alive\n\n" + Events({1}) + ":\n\n");
  entry.EndExchange(exchange_end::kBroken);
  entry.BeginAnswer();
  BOOST_TEST(entry.ResumedAfter() == 1u);
  entry.DeliverBody(":\n\n" + Events({2}) + ":\n\n");
  entry.EndExchange(exchange_end::kComplete);
  BOOST_TEST(entry.received_text ==
             "<: alive\n\n" + Events({1}) + ":\n\n" + Events({2}) + ":\n\n>");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
