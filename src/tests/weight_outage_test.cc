/// @file weight_outage_test.cc Two versions named shortly after each other
/// while the origin of weights is away, in virtual time.
#include <boost/test/unit_test.hpp>
#include <iostream>

#include "tests/fake_weight_fleet.h"

namespace fuchsiafall::tests {

namespace {

/// Deployment, and the naming of versions 2 and 3 on it.
struct outage_case {
  size_t domains;
  size_t servers;  ///< In each domain.
  size_t chunks;
  uint32_t chunk_bytes;
  double origin_bits;  ///< Per second.
  double vm_bits;
  seconds bound;
  milliseconds gap;  ///< Between the namings.
};

/// Names two versions, with the origin away for 6 s from 0.5 s after the second
/// on.
/// @return Seconds in which nothing is granted, per server.
double MeasureGap(const outage_case& each, bool has_free_slots) {
  fake_weight_fleet fleet({.domains = each.domains,
                           .servers = each.servers,
                           .chunks = each.chunks,
                           .chunk_bytes = each.chunk_bytes,
                           .vm_rate = 0.9 * each.vm_bits / 8,
                           .origin_rate = each.origin_bits / 8,
                           .plan = weights_plan_options{.bound = each.bound},
                           .has_free_slots = has_free_slots});
  fleet.Name(2);
  fleet.Run(each.gap);
  fleet.Name(3);
  fleet.Run(milliseconds(500));
  fleet.is_origin_down = true;
  fleet.Run(seconds(6));
  fleet.is_origin_down = false;
  fleet.Run(seconds(6));
  BOOST_TEST(fleet.Rollout(3).served_at.size() == each.domains * each.servers);
  return fleet.unusable / static_cast<double>(each.domains * each.servers);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(weight_outage_suite)

// Grants ended up to 1.5 s before the bound of replaced weights for all
// requests, so that a server without newer weights stood idle.
BOOST_AUTO_TEST_CASE(free_slots_are_used_until_replaced_weights_are_unloaded) {
  const outage_case cases[] = {
      {3, 8, 96, 24576, 7.3e6, 7.3e6, seconds(8), milliseconds(2000)},
      {3, 8, 64, 32768, 9.9e6, 7.6e6, seconds(8), milliseconds(2000)}};
  for (const outage_case& each : cases) {
    const double with = MeasureGap(each, true);
    const double without = MeasureGap(each, false);
    BOOST_TEST_MESSAGE("without grants for " << with << " s instead of "
                                             << without << " s");
    BOOST_TEST(without - with > 0.9);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
