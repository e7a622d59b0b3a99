/// @file weight_spread_test.cc Spread of weights to fleets of different sizes,
/// in virtual time.
#include <boost/test/unit_test.hpp>

#include "tests/fake_weight_fleet.h"
#include "weights_plan_func.h"

namespace fuchsiafall::tests {

namespace {

/// Agents in each of five failure domains, for fleets of 37, 157 and 414
/// machines.
constexpr size_t kFleets[] = {4, 22, 57};
/// Bound within which new weights replace old ones.
constexpr seconds kVersionBound{10};

}  // namespace

BOOST_AUTO_TEST_SUITE(weight_spread_suite)

BOOST_AUTO_TEST_CASE(manifest_is_read_twice_for_the_whole_fleet) {
  for (const size_t servers : kFleets) {
    fake_weight_fleet fleet({.servers = servers});
    fleet.SetVersions({2});
    fleet.Run(seconds(2));
    BOOST_TEST(fleet.manifest_reads[2] == 2u, servers);
    BOOST_TEST(fleet.KnownManifests() == fleet.Vms().size(), servers);
  }
}

BOOST_AUTO_TEST_CASE(weights_arrive_before_the_first_servers_load) {
  for (const size_t servers : kFleets) {
    fake_weight_fleet fleet({.servers = servers});
    const time_point start = fleet.now;
    fleet.SetVersions({2});
    fleet.RunUntil([&] { return fleet.AllComplete(); }, kVersionBound);
    const double share =
        ToSeconds(fleet.now - start) / ToSeconds(kVersionBound);
    BOOST_TEST(share <= weights_plan_options().load_slots_begin,
               servers << " agents a domain needed " << share);
    BOOST_TEST(fleet.chunk_reads <= 100u, servers);
  }
}

// The same options give the same first reader in both fleets.
BOOST_AUTO_TEST_CASE(reader_that_dies_before_it_has_the_manifest_is_replaced) {
  fake_weight_fleet probe({});
  probe.SetVersions({2});
  probe.RunUntil([&] { return !probe.ManifestReaders().empty(); }, seconds(5));
  const std::string reader = probe.ManifestReaders().front();
  fake_weight_fleet fleet({});
  fleet.SetVersions({2});
  fleet.Kill(reader);
  BOOST_TEST(
      fleet.RunUntil([&] { return fleet.AllComplete(); }, kVersionBound));
  BOOST_TEST(fleet.ManifestReaders().front() != reader);
  BOOST_TEST(fleet.manifest_reads[2] == 2u);
}

BOOST_AUTO_TEST_CASE(reader_without_a_way_to_the_origin_is_taken_over) {
  fake_weight_fleet probe({});
  probe.SetVersions({2});
  probe.RunUntil([&] { return !probe.ManifestReaders().empty(); }, seconds(5));
  fake_weight_fleet fleet({});
  fleet.SetVersions({2});
  fleet.CutFromOrigin(probe.ManifestReaders().front());
  BOOST_TEST(
      fleet.RunUntil([&] { return fleet.AllComplete(); }, kVersionBound));
}

BOOST_AUTO_TEST_CASE(origin_that_is_down_is_asked_by_few) {
  std::vector<size_t> reads;
  for (const size_t servers : {kFleets[0], kFleets[2]}) {
    fake_weight_fleet fleet({.servers = servers});
    fleet.is_origin_down = true;
    fleet.SetVersions({2});
    fleet.Run(seconds(10));
    reads.push_back(fleet.manifest_reads[2]);
    fleet.is_origin_down = false;
    BOOST_TEST(
        fleet.RunUntil([&] { return fleet.AllComplete(); }, kVersionBound));
  }
  BOOST_TEST(reads.back() <= reads.front() * 2);
}

BOOST_AUTO_TEST_CASE(
    manifest_corrupted_alike_in_two_reads_is_replaced_everywhere) {
  fake_weight_fleet fleet({.corrupt_reads = 2});
  fleet.SetVersions({2});
  BOOST_TEST(fleet.RunUntil([&] { return fleet.CompleteCount() == 110; },
                            3 * kVersionBound));
}

BOOST_AUTO_TEST_CASE(version_that_the_origin_has_dropped_holds_up_no_other) {
  std::vector<size_t> reads;
  for (const size_t servers : {22, 57}) {
    fake_weight_fleet fleet({.servers = servers});
    fleet.dropped_versions = {2};
    fleet.SetVersions({2, 3});
    const size_t agents = fleet.Vms().size();
    BOOST_TEST(fleet.RunUntil([&] { return fleet.CompleteCount() == agents; },
                              kVersionBound));
    BOOST_TEST(fleet.manifest_reads[3] == 2u);
    fleet.Run(seconds(5));
    reads.push_back(fleet.manifest_reads[2]);
  }
  // The number of agents that ask does not grow with the fleet.
  BOOST_TEST(reads.back() <= reads.front() * 3 / 2);
}

// The back-off for a manifest that the origin has dropped began with that for
// an unreachable origin.
BOOST_AUTO_TEST_CASE(dropped_manifest_is_not_asked_for_every_half_second) {
  fake_weight_fleet fleet({.domains = 1, .servers = 1});
  fleet.dropped_versions = {2};
  fleet.SetVersions({2});
  fleet.Run(seconds(10));
  // At once, and 2 s and 6 s later.
  BOOST_TEST(fleet.manifest_reads[2] == 3u);
}

BOOST_AUTO_TEST_CASE(
    agents_that_know_only_themselves_do_not_all_read_the_manifest) {
  fake_weight_fleet fleet({});
  fleet.StartUnlisted({1});
  fleet.Run(seconds(3));
  BOOST_TEST(fleet.manifest_reads[1] == 0u);
  fleet.Resize(22);
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllComplete(); }, seconds(10)));
  BOOST_TEST(fleet.manifest_reads[1] == 2u);
}

BOOST_AUTO_TEST_CASE(
    agents_that_are_listed_one_by_one_do_not_all_read_the_manifest) {
  fake_weight_fleet fleet({});
  fleet.StartUnlisted({1});
  for (size_t servers = 1; servers <= 22; ++servers) {
    fleet.Run(milliseconds(180));
    fleet.List(servers);
  }
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllComplete(); }, seconds(10)));
  // Each domain may read for itself, until two reads agree.
  BOOST_TEST(fleet.manifest_reads[1] <= 2 * 5u);
}

BOOST_AUTO_TEST_CASE(agent_that_is_never_listed_reads_the_manifest_in_the_end) {
  fake_weight_fleet fleet({.domains = 1, .servers = 1});
  fleet.StartUnlisted({1});
  fleet.Run(milliseconds(4900));
  BOOST_TEST(fleet.manifest_reads[1] == 0u);
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllComplete(); }, seconds(10)));
}

BOOST_AUTO_TEST_CASE(
    servers_that_join_do_not_make_others_request_chunks_twice) {
  fake_weight_fleet fleet({.servers = 10});
  fleet.SetVersions({2});
  for (size_t servers = 11; servers <= 20; ++servers) {
    fleet.Run(milliseconds(300));
    fleet.Resize(servers);
  }
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllComplete(); }, seconds(30)));
  BOOST_TEST(fleet.chunk_reads <= 2 * 96u);
  const size_t needed = fleet.Vms().size() * 96;
  BOOST_TEST(fleet.chunks_delivered + fleet.chunk_reads <= needed * 105 / 100);
}

BOOST_AUTO_TEST_CASE(servers_that_others_learn_of_late_fetch_from_all_holders) {
  fake_weight_fleet fleet({.servers = 13});
  fleet.SetVersions({1});
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllComplete(); }, seconds(30)));
  const size_t reads = fleet.chunk_reads;
  fleet.AddUnknown(22);
  fleet.Run(milliseconds(1500));
  fleet.Resize(22);
  const time_point known_at = fleet.now;
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllComplete(); }, seconds(30)));
  const double share =
      ToSeconds(fleet.now - known_at) / ToSeconds(kVersionBound);
  BOOST_TEST(share <= weights_plan_options().load_slots_begin);
  // A server that nobody answers may fetch from outside after a while.
  BOOST_TEST(fleet.chunk_reads <= reads + 96 / 4);
}

BOOST_AUTO_TEST_CASE(connections_to_the_origin_do_not_grow_with_the_fleet) {
  constexpr size_t kOriginConnections = 48;
  for (const size_t domains : {1, 3, 5, 15}) {
    for (const size_t servers : {4, 20}) {
      fake_weight_fleet fleet({.domains = domains, .servers = servers});
      fleet.SetVersions({2});
      fleet.Run(seconds(3));
      // Two versions may be transferred at once.
      BOOST_TEST(2 * fleet.max_open_reads <= kOriginConnections,
                 domains << " domains of " << servers);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
