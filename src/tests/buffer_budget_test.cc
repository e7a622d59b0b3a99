/// @file buffer_budget_test.cc Which buffers are given up over the limit.
#include <boost/test/unit_test.hpp>
#include <memory>

#include "network/buffer_budget.h"

namespace fuchsiafall::tests {

BOOST_AUTO_TEST_SUITE(buffer_budget_suite)

// A new buffer must not end a call because another one took the memory.
BOOST_AUTO_TEST_CASE(a_small_buffer_is_given_up_for_a_large_one) {
  auto budget = std::make_shared<buffer_budget>(1000);
  int large_ended = 0;
  int small_ended = 0;
  buffer_share large(budget, [&] { ++large_ended; });
  buffer_share small(budget, [&] { ++small_ended; });
  large.Set(900);
  small.Set(100);
  BOOST_TEST(large_ended == 0);
  small.Set(101);
  BOOST_TEST(large_ended == 1);
  BOOST_TEST(small_ended == 0);
  BOOST_TEST(budget->HeldBytes() == 101u);
  // What was given up counts no more.
  large.Set(5000);
  BOOST_TEST(budget->HeldBytes() == 101u);
  BOOST_TEST(large_ended == 1);
}

BOOST_AUTO_TEST_CASE(a_buffer_that_is_freed_stays_in_the_budget) {
  auto budget = std::make_shared<buffer_budget>(1000);
  int ended = 0;
  {
    buffer_share share(budget, [&] { ++ended; });
    share.Set(900);
    share.Set(200);
    BOOST_TEST(budget->HeldBytes() == 200u);
  }
  BOOST_TEST(budget->HeldBytes() == 0u);
  buffer_share next(budget, [&] { ++ended; });
  next.Set(1000);
  BOOST_TEST(ended == 0);
  next.Set(1001);
  BOOST_TEST(ended == 1);
  BOOST_TEST(budget->HeldBytes() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
