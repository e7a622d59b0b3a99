/// @file spread_test.cc Propagation of revisions, membership and recovery, in
/// virtual time.
#include <boost/test/unit_test.hpp>

#include "tests/fake_network.h"

namespace fuchsiafall::tests {

namespace {

uint64_t RevisionAt(fake_network* net, const std::string& vm) {
  if (net->Agent(vm) != nullptr)
    return net->Agent(vm)->Gossip().Topology()->Revision().value;
  if (net->Entry(vm) != nullptr)
    return net->Entry(vm)->Gossip().Topology()->Revision().value;
  return 0;
}

bool AllAtRevision(fake_network* net, uint64_t wanted) {
  for (const std::string& vm : net->AllVms()) {
    if (RevisionAt(net, vm) < wanted)
      return false;
  }
  return true;
}

publish_result TakeOut(fake_network* net, const std::string& domain) {
  return net->Apply([&](proto::edit* edit, const proto::configuration&) {
    edit->set_take_out(domain);
  });
}

/// Drops all messages between one domain and the others.
fake_network::drop_hook Isolate(const fake_network* net,
                                const std::string& domain) {
  return [net, domain](const std::string& from, const std::string& to,
                       const proto::envelope&) {
    return (net->DomainOf(from) == domain) != (net->DomainOf(to) == domain);
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(spread_suite)

BOOST_AUTO_TEST_CASE(edit_is_in_force_everywhere_within_seconds) {
  fake_network net({.entries = 4, .servers = 10});
  net.SetVersion("v1", MakeWeights(10000, 1000, 1));
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 1); }, seconds(20)));
  net.Run(seconds(3));
  TakeOut(&net, "southern");
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 2); }, seconds(4)));
}

BOOST_AUTO_TEST_CASE(
    edit_reaches_domains_cut_off_from_the_store_through_peers) {
  fake_network net({.entries = 4, .servers = 10});
  net.SetVersion("v1", MakeWeights(10000, 1000, 1));
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 1); }, seconds(20)));
  net.Run(seconds(5));
  net.domains_without_store = {"southern", "eastern"};
  TakeOut(&net, "southern");
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 2); }, seconds(10)));
}

BOOST_AUTO_TEST_CASE(
    domain_cut_off_from_all_keeps_its_revision_and_catches_up) {
  fake_network net({.entries = 2, .servers = 4});
  net.SetVersion("v1", MakeWeights(10000, 1000, 1));
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 1); }, seconds(20)));
  net.Run(seconds(3));
  net.domains_without_store = {"eastern"};
  net.should_drop = Isolate(&net, "eastern");
  TakeOut(&net, "southern");
  net.Run(seconds(10));
  for (const std::string& vm : net.AllVms()) {
    BOOST_TEST(RevisionAt(&net, vm) ==
               (net.DomainOf(vm) == "eastern" ? 1u : 2u));
  }
  net.domains_without_store.clear();
  net.should_drop = nullptr;
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 2); }, seconds(10)));
}

BOOST_AUTO_TEST_CASE(configuration_stays_in_force_while_the_store_is_down) {
  fake_network net({.entries = 2, .servers = 4});
  net.SetVersion("v1", MakeWeights(10000, 1000, 1));
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 1); }, seconds(20)));
  net.store.is_down = true;
  net.Run(seconds(60));
  for (const std::string& vm : net.AllVms())
    BOOST_TEST(RevisionAt(&net, vm) == 1u);
  // A replaced VM gets its configuration from peers.
  net.Restart("western-3");
  BOOST_TEST(RevisionAt(&net, "western-3") == 0u);
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 1); }, seconds(5)));
}

BOOST_AUTO_TEST_CASE(other_processes_watch_the_store_when_the_watchers_die) {
  fake_network net({.domains = {"western"}, .entries = 2, .servers = 6});
  net.SetVersion("v1", MakeWeights(10000, 1000, 1));
  BOOST_TEST(net.RunUntil([&] { return AllAtRevision(&net, 1); }, seconds(20)));
  net.Run(seconds(3));
  std::vector<std::string> watchers;
  for (const std::string& vm : net.AllVms()) {
    const gossip& members = net.Agent(vm) != nullptr ? net.Agent(vm)->Gossip()
                                                     : net.Entry(vm)->Gossip();
    if (members.WatchesStore(net.now))
      watchers.push_back(vm);
  }
  BOOST_TEST(watchers.size() == 2u);
  for (const std::string& vm : watchers)
    net.Kill(vm);
  net.Run(seconds(8));
  net.Apply([](proto::edit* edit, const proto::configuration&) {
    edit->set_take_out("western");
  });
  net.Run(seconds(4));
  for (const std::string& vm : net.AllVms()) {
    if (net.Agent(vm) == nullptr && net.Entry(vm) == nullptr)
      continue;
    BOOST_TEST(RevisionAt(&net, vm) == 2u);
  }
}

BOOST_AUTO_TEST_CASE(new_process_without_store_and_peers_waits) {
  fake_network net({});
  net.store.is_down = true;
  net.Run(seconds(10));
  BOOST_TEST(RevisionAt(&net, "western-1") == 0u);
  uint64_t id = net.Send("western-1", fake_network::MakeCompletion("hello"));
  net.Run(seconds(1));
  BOOST_TEST(net.Answer(id).is_refused);
  BOOST_TEST(!net.Answer(id).may_have_run);
}

BOOST_AUTO_TEST_CASE(idle_control_traffic_does_not_grow_with_the_fleet) {
  auto bytes_per_s_and_node = [](size_t servers) {
    fake_network net(
        {.domains = {"western"}, .entries = 1, .servers = servers});
    net.SetVersion("v1", MakeWeights(1000, 1000, 1));
    net.RunUntil([&] { return net.AllServe("v1"); }, seconds(60));
    net.Run(seconds(5));
    size_t sent = 0;
    net.should_drop = [&](const auto&, const auto&,
                          const proto::envelope& message) {
      sent += message.ByteSizeLong();
      return false;
    };
    net.Run(seconds(20));
    return static_cast<double>(sent) / static_cast<double>(servers + 2) / 20;
  };
  const double small = bytes_per_s_and_node(20);
  const double large = bytes_per_s_and_node(60);
  BOOST_TEST(large < 1.3 * small);
  BOOST_TEST(large < 2048);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
