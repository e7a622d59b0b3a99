/// @file event_splitter_test.cc Splitting of streams that arrive in any pieces.
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <string>
#include <vector>

#include "event_splitter_base.h"

namespace fuchsiafall::tests {

BOOST_AUTO_TEST_SUITE(event_splitter_suite)

BOOST_AUTO_TEST_CASE(a_blank_line_between_two_pieces_is_missed) {
  const std::string text = "id:1\n\nid:2\r\n\r\nid:3\n\n\n\nid:4\r\n\r\n";
  std::vector<std::string> whole;
  event_splitter at_once;
  at_once.Add(text);
  for (std::string event; at_once.Next(&event);)
    whole.push_back(event);
  BOOST_TEST(whole.size() == 5u);
  for (size_t step = 1; step < text.size(); ++step) {
    event_splitter splitter;
    std::vector<std::string> events;
    for (size_t at = 0; at < text.size(); at += step) {
      splitter.Add(text.substr(at, step));
      for (std::string event; splitter.Next(&event);)
        events.push_back(event);
    }
    BOOST_TEST(events == whole, boost::test_tools::per_element());
  }
}

// One event that arrived in many pieces was searched anew at each of them.
BOOST_AUTO_TEST_CASE(an_event_without_end_takes_all_the_processor_time) {
  constexpr size_t kEventBytes = 262144;  // Of one event, at most.
  constexpr double kMaxDelayS = 0.12;     // Of other streams meanwhile.
  event_splitter splitter;
  std::string event;
  const std::clock_t begun = std::clock();
  for (size_t i = 0; i < kEventBytes; ++i) {
    splitter.Add("x");
    BOOST_REQUIRE(!splitter.Next(&event));
  }
  const double used =
      static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
  BOOST_TEST(used < kMaxDelayS);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
