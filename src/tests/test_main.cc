/// @file test_main.cc Main function of the unit tests.
#define BOOST_TEST_MODULE fuchsiafall
#include <boost/test/unit_test.hpp>
