/// @file test_main.cc Entry point of the tests.
#define BOOST_TEST_MODULE fuchsiafall
#include <boost/test/unit_test.hpp>
