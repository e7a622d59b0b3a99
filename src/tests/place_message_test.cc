/// @file place_message_test.cc Messages by which entries request and release
/// places.
#include <boost/test/unit_test.hpp>

#include "place_message_func.h"

namespace fuchsiafall::tests {

BOOST_AUTO_TEST_SUITE(place_message_suite)

BOOST_AUTO_TEST_CASE(a_place_request_arrives_with_all_its_fields) {
  const place_request sent{
      .call = 7,
      .prompt_tokens = 900,
      .answer_tokens = 80,
      .first_token_budget = milliseconds(350),
      .time_left = milliseconds(5900),
      .is_resumed = true,
      .rank = 2,
      .organisation = "branch",
      .is_first = true,
      .may_wait = true,
      .traits = {.request = fingerprint(11),
                 .parts = {fingerprint(12), fingerprint(13)}}};
  proto::place_question message;
  WritePlaceRequest(sent, &message);
  const place_request received = ReadPlaceRequest("10.0.0.1:7700", message);
  BOOST_TEST(received.entry == "10.0.0.1:7700");
  BOOST_TEST(received.call == sent.call);
  BOOST_TEST(received.prompt_tokens == sent.prompt_tokens);
  BOOST_TEST(received.answer_tokens == sent.answer_tokens);
  BOOST_TEST((received.first_token_budget == sent.first_token_budget));
  BOOST_TEST((received.time_left == sent.time_left));
  BOOST_TEST(received.is_resumed);
  BOOST_TEST(received.rank == 2u);
  BOOST_TEST(received.organisation == "branch");
  BOOST_TEST(received.is_first);
  BOOST_TEST(received.may_wait);
  BOOST_TEST(IsInRange(message));
  BOOST_TEST((received.traits == sent.traits));
}

BOOST_AUTO_TEST_CASE(ranks_and_organisations_out_of_range_are_limited) {
  proto::place_question message;
  message.set_priority(77);
  message.set_organisation(std::string(1000, 'x'));
  BOOST_TEST(!IsInRange(message));
  const place_request received = ReadPlaceRequest("10.0.0.1:7700", message);
  BOOST_TEST(received.rank == kMaxRank);
  BOOST_TEST(received.organisation.size() == 64u);
}

BOOST_AUTO_TEST_CASE(a_reply_to_a_queued_request_has_its_expected_wait) {
  proto::place_answer message;
  WritePlaceReply(7,
                  {.is_queued = true,
                   .expected_free_in = milliseconds(90),
                   .rank_free_in = milliseconds(1200),
                   .slowdown = 2.5},
                  &message);
  const place_reply received = ReadPlaceReply(message);
  BOOST_TEST(received.is_queued);
  BOOST_TEST((received.expected_free_in == milliseconds(90)));
  BOOST_TEST((received.rank_free_in == milliseconds(1200)));
  BOOST_TEST(received.slowdown.value() == 2.5);
  BOOST_TEST(!ReadPlaceReply({}).slowdown.has_value());
}

BOOST_AUTO_TEST_CASE(a_place_reply_arrives_with_all_its_fields) {
  const place_reply sent{.is_granted = true,
                         .expected_free_in = milliseconds(120),
                         .load = 14,
                         .slots = 16,
                         .max_answer_tokens = 60,
                         .is_quarantined = true,
                         .quarantined_trait = fingerprint(12),
                         .is_suspect = true,
                         .weights = {.version = 3, .started_at_ms = 77}};
  proto::place_answer message;
  WritePlaceReply(7, sent, &message);
  BOOST_TEST(message.call() == 7u);
  const place_reply received = ReadPlaceReply(message);
  BOOST_TEST(received.is_granted);
  BOOST_TEST((received.expected_free_in == sent.expected_free_in));
  BOOST_TEST(received.load == sent.load);
  BOOST_TEST(received.slots == sent.slots);
  BOOST_TEST(received.max_answer_tokens == sent.max_answer_tokens);
  BOOST_TEST(received.is_quarantined);
  BOOST_TEST((received.quarantined_trait == sent.quarantined_trait));
  BOOST_TEST(received.is_suspect);
  BOOST_TEST((received.weights == sent.weights));
}

BOOST_AUTO_TEST_CASE(a_release_tells_how_the_attempt_ended) {
  for (const attempt_result result :
       {attempt_result::kOther, attempt_result::kBroken,
        attempt_result::kAnswered, attempt_result::kClosed}) {
    proto::place_return message;
    WritePlaceRelease(7, result, &message);
    BOOST_TEST(message.call() == 7u);
    BOOST_TEST((ReadAttemptResult(message) == result));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
