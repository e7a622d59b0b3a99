/// @file answer_length_test.cc Expected answer lengths from earlier answers.
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "load/answer_length_base.h"
#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

/// Real and expected lengths of many answers, in tokens.
struct length_sums {
  double real = 0;
  double hinted = 0;
  double expected = 0;
};

/// Replays answers whose length is log-normal.
/// @param spread Of the logarithm of the answer lengths.
/// @param hint_error Of the logarithm of the hints, right at the median.
length_sums ReplayAnswers(double spread, double hint_error) {
  std::mt19937_64 random(3);
  std::normal_distribution<> lengths(4, spread);
  std::normal_distribution<> errors(0, hint_error);
  answer_lengths known({});
  length_sums sums;
  for (int i = 0; i < 20000; ++i) {
    const double length = lengths(random);
    const auto tokens = static_cast<uint32_t>(std::exp(length)) + 1;
    const auto hint =
        static_cast<uint32_t>(std::exp(length + errors(random))) + 1;
    if (i >= 1000) {
      sums.real += tokens;
      sums.hinted += hint;
      sums.expected += known.Expect("route", "acme", hint, 0);
    }
    known.Record("route", "acme", hint, tokens);
  }
  return sums;
}

/// Sends a request for a stream of some events, which is answered in full.
void AnswerStream(fake_entry* entry, uint64_t id, int events) {
  entry->SendRequest(id, "models");
  entry->GrantPlace();
  entry->DeliverHead(200, true);
  for (int i = 1; i <= events; ++i)
    entry->DeliverBody("id:" + std::to_string(i) + "\ndata\n\n");
  entry->EndExchange(exchange_end::kComplete);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answer_length_suite)

// Load pattern: the estimate names the median, so that the load that it
// announces is far below that of the real answers.
BOOST_AUTO_TEST_CASE(the_expected_load_is_that_of_heavy_tailed_answers) {
  std::mt19937_64 random(5);
  std::lognormal_distribution<> lengths(4, 1.4);
  answer_lengths known({});
  const auto median = static_cast<uint32_t>(std::exp(4));
  length_sums sums;
  for (int i = 0; i < 20000; ++i) {
    const auto tokens = static_cast<uint32_t>(lengths(random)) + 1;
    sums.real += tokens;
    sums.hinted += median;
    sums.expected += known.Expect("route", "acme", median, 0);
    known.Record("route", "acme", median, tokens);
  }
  BOOST_TEST_MESSAGE("expected of real tokens: "
                     << sums.hinted / sums.real << " by hints, "
                     << sums.expected / sums.real << " by earlier answers");
  BOOST_TEST(sums.hinted < 0.6 * sums.real);
  BOOST_TEST(std::abs(sums.expected / sums.real - 1) < 0.2);
}

BOOST_AUTO_TEST_CASE(estimates_count_as_much_as_they_were_worth) {
  for (const double hint_error : {0.1, 0.5, 1.4}) {
    const length_sums sums = ReplayAnswers(1.2, hint_error);
    BOOST_TEST_MESSAGE("error of hints "
                       << hint_error << ": " << sums.hinted / sums.real
                       << " by hints, " << sums.expected / sums.real
                       << " by earlier answers");
    BOOST_TEST(std::abs(sums.expected / sums.real - 1) < 0.2, hint_error);
  }
}

BOOST_AUTO_TEST_CASE(few_answers_change_nothing) {
  answer_lengths known({});
  for (int i = 0; i < 31; ++i)
    known.Record("route", "acme", 50, 500);
  BOOST_TEST(known.Expect("route", "acme", 50, 0) == 50u);
  BOOST_TEST(known.Expect("route", "acme", 0, 0) == 0u);
  known.Record("route", "acme", 50, 500);
  BOOST_TEST(known.Expect("route", "acme", 50, 0) == 500u);
  BOOST_TEST(known.Expect("route", "acme", 50, 200) == 200u);
  // An organisation without answers uses those of the route.
  BOOST_TEST(known.Expect("route", "other", 0, 0) == 500u);
  BOOST_TEST(known.Expect("other", "acme", 50, 0) == 50u);
}

// Routes and organisations come from a configuration of any size.
BOOST_AUTO_TEST_CASE(the_number_of_histories_is_bounded) {
  answer_lengths known({.max_pairs = 2, .max_routes = 1, .min_samples = 1});
  for (const char* organisation : {"a", "b", "c"})
    known.Record("route", organisation, 0, 100);
  known.Record("second", "a", 0, 900);
  BOOST_TEST(known.Expect("route", "c", 0, 0) == 100u);
  BOOST_TEST(known.Expect("second", "a", 7, 0) == 7u);
}

BOOST_AUTO_TEST_CASE(complete_streams_tell_the_expected_length) {
  fake_entry entry;
  uint64_t id = 0;
  while (id < 32)
    AnswerStream(&entry, ++id, 20);
  BOOST_TEST(entry.place_requests.back().answer_tokens == 0u);
  // A stream that breaks off shows no length.
  entry.SendRequest(++id, "models");
  BOOST_TEST(entry.place_requests.back().answer_tokens == 120u);
  entry.GrantPlace();
  entry.DeliverHead(200, true);
  entry.DeliverBody("id:1\ndata\n\n");
  entry.dispatch.OnCallerDisconnected(entry.now, id);
  entry.SendRequest(++id, "models");
  BOOST_TEST(entry.place_requests.back().answer_tokens == 120u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
