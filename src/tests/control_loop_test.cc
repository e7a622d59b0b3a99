/// @file control_loop_test.cc Tests of the control thread's loop.
#include <boost/test/unit_test.hpp>
#include <variant>
#include <vector>

#include "network/control_loop.h"

namespace fuchsiafall::tests {

namespace {

struct test_tick {};
struct test_pause {};
using test_input = std::variant<test_tick, test_pause, int>;

/// Keeps the numbers that it gets.
struct recording_machine {
  using tick_input = test_tick;
  using pause_input = test_pause;
  output_list Step(time_point, const test_input& input) {
    if (const int* number = std::get_if<int>(&input))
      numbers.push_back(*number);
    return {};
  }
  std::vector<int> numbers;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(control_loop_suite)

BOOST_AUTO_TEST_CASE(an_input_that_came_before_the_end_is_handled) {
  recording_machine machine;
  control_loop<recording_machine, test_input> loop({}, &machine, [](auto&&) {});
  loop.Run([&] {
    loop.Post(7);
    return true;
  });
  BOOST_TEST(machine.numbers == std::vector<int>{7},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
