/// @file admission_test.cc Admission limits, fair queues and routing.
#include <boost/test/unit_test.hpp>

#include "admission_base.h"
#include "hash_func.h"
#include "router_base.h"
#include "tests/fake_network.h"

namespace fuchsiafall::tests {

namespace {

using kind_type = admission_result::kind_type;

const time_point kNow{std::chrono::hours(1)};

admission_request RequestOf(uint64_t number,
                            const std::string& organisation,
                            uint32_t weight = 1) {
  return {.id = {vm_id("entry"), attempt_id(number)},
          .organisation = organisation,
          .weight = weight,
          .deadline = kNow + seconds(10)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_suite)

BOOST_AUTO_TEST_CASE(limit_starts_cold_grows_with_success_and_falls_at_once) {
  admission limiter({.queue_length = 0, .cold_limit = 2, .max_limit = 6});
  BOOST_TEST(limiter.Limit() == 2u);
  BOOST_TEST((limiter.Admit(RequestOf(1, "a")).kind == kind_type::kStarted));
  BOOST_TEST((limiter.Admit(RequestOf(2, "a")).kind == kind_type::kStarted));
  BOOST_TEST((limiter.Admit(RequestOf(3, "a")).kind == kind_type::kRefused));
  for (int i = 0; i < 100; ++i)
    limiter.OnFinished(kNow, milliseconds(10));
  BOOST_TEST(limiter.Limit() == 6u);
  limiter.ResetToColdLimit();
  BOOST_TEST(limiter.Limit() == 2u);
}

BOOST_AUTO_TEST_CASE(
    limit_stays_cold_while_the_server_is_not_known_to_be_warm) {
  admission limiter({.queue_length = 0, .cold_limit = 2, .max_limit = 6});
  limiter.SetWarm(false);
  for (int i = 0; i < 100; ++i)
    limiter.OnFinished(kNow, milliseconds(10));
  BOOST_TEST(limiter.Limit() == 2u);
}

BOOST_AUTO_TEST_CASE(jump_of_the_latency_lowers_the_limit) {
  admission limiter({.queue_length = 0, .cold_limit = 2, .max_limit = 6});
  for (int i = 0; i < 100; ++i)
    limiter.OnFinished(kNow, milliseconds(20));
  bool was_lowered = false;
  for (int i = 0; i < 10; ++i) {
    was_lowered =
        limiter.OnFinished(kNow + seconds(2), milliseconds(400)) || was_lowered;
  }
  BOOST_TEST(was_lowered);
}

BOOST_AUTO_TEST_CASE(queue_is_fair_between_organisations_by_their_weight) {
  admission limiter({.queue_length = 60, .cold_limit = 1, .max_limit = 1});
  limiter.Admit(RequestOf(0, "large"));
  uint64_t number = 1;
  for (int i = 0; i < 30; ++i)
    limiter.Admit(RequestOf(number++, "large", 1));
  for (int i = 0; i < 30; ++i)
    limiter.Admit(RequestOf(number++, "small", 2));
  int small = 0;
  for (int i = 0; i < 30; ++i) {
    limiter.OnFinished(kNow, milliseconds(10));
    for (const call_id& id : limiter.DequeueReady())
      small += id.attempt.value > 30 ? 1 : 0;
  }
  BOOST_TEST(small >= 19);
  BOOST_TEST(small <= 21);
}

BOOST_AUTO_TEST_CASE(full_queue_evicts_a_call_of_the_longest_queue) {
  admission limiter({.queue_length = 4, .cold_limit = 1, .max_limit = 1});
  for (uint64_t i = 0; i < 5; ++i)
    limiter.Admit(RequestOf(i, "large"));
  admission_result result = limiter.Admit(RequestOf(9, "small"));
  BOOST_TEST((result.kind == kind_type::kQueued));
  BOOST_TEST(result.evicted.has_value());
  BOOST_TEST(
      (limiter.Admit(RequestOf(10, "large")).kind == kind_type::kRefused));
}

BOOST_AUTO_TEST_CASE(call_that_may_not_queue_is_refused_by_a_full_server) {
  admission limiter({.queue_length = 4, .cold_limit = 1, .max_limit = 1});
  limiter.Admit(RequestOf(0, "a"));
  admission_request impatient = RequestOf(1, "a");
  impatient.may_queue = false;
  BOOST_TEST((limiter.Admit(impatient).kind == kind_type::kRefused));
  BOOST_TEST((limiter.Admit(RequestOf(2, "a")).kind == kind_type::kQueued));
}

BOOST_AUTO_TEST_CASE(queued_calls_expire_and_lower_numbers_go_first) {
  admission limiter({.queue_length = 4, .cold_limit = 1, .max_limit = 1});
  limiter.Admit(RequestOf(0, "a"));
  admission_request late = RequestOf(1, "a");
  late.deadline = kNow + seconds(1);
  limiter.Admit(late);
  admission_request low = RequestOf(2, "a");
  low.priority = 5;
  limiter.Admit(low);
  limiter.Admit(RequestOf(3, "a"));
  BOOST_TEST(limiter.RemoveExpired(kNow + seconds(2)).size() == 1u);
  limiter.OnFinished(kNow, milliseconds(10));
  std::vector<call_id> ready = limiter.DequeueReady();
  BOOST_TEST_REQUIRE(ready.size() == 1u);
  BOOST_TEST(ready[0].attempt.value == 3u);
}

BOOST_AUTO_TEST_CASE(rendezvous_moves_few_keys_when_a_member_leaves) {
  std::vector<std::string> members;
  for (int i = 0; i < 20; ++i)
    members.push_back("vm-" + std::to_string(i));
  std::vector<std::string> fewer(members.begin(), members.end() - 1);
  int moved = 0;
  for (int i = 0; i < 2000; ++i) {
    std::string key = "key-" + std::to_string(i);
    moved += members[RendezvousRank(key, members, 1)[0]] !=
                     fewer[RendezvousRank(key, fewer, 1)[0]]
                 ? 1
                 : 0;
  }
  BOOST_TEST(moved < 200);
}

BOOST_AUTO_TEST_CASE(ring_neighbours_are_symmetric_bounded_and_connect_all) {
  for (size_t size : {2U, 3U, 7U, 40U, 354U}) {
    std::vector<std::string> members;
    for (size_t i = 0; i < size; ++i)
      members.push_back("vm-" + std::to_string(i));
    std::set<std::string> reached{members[0]};
    std::vector<std::string> open{members[0]};
    while (!open.empty()) {
      std::string next = open.back();
      open.pop_back();
      std::vector<std::string> neighbours = RingNeighbours(members, next, 8);
      BOOST_TEST(neighbours.size() <= 8u);
      for (const std::string& other : neighbours) {
        std::vector<std::string> back = RingNeighbours(members, other, 8);
        BOOST_TEST((std::find(back.begin(), back.end(), next) != back.end()));
        if (reached.insert(other).second)
          open.push_back(other);
      }
    }
    BOOST_TEST(reached.size() == size);
  }
}

BOOST_AUTO_TEST_CASE(failing_server_is_ejected_but_never_most_of_them) {
  proto::configuration configuration;
  *configuration.mutable_inventory() =
      MakeInventory({.domains = {"western"}, .servers = 3});
  router routes({.self = vm_id("western-1"), .domain = domain_id("western")});
  routes.SetTopology(kNow, std::make_shared<topology>(configuration));
  proto::server_state state;
  state.set_service("assistant");
  state.set_accepting(true);
  state.set_limit(4);
  for (const char* vm : {"western-2", "western-3", "western-4"}) {
    routes.OnServerState(kNow, vm_id(vm), state);
    for (int i = 0; i < 3; ++i) {
      routes.OnAttemptSent(vm_id(vm));
      routes.OnAttemptEnded(kNow, vm_id(vm), true);
    }
  }
  std::set<vm_id> chosen;
  for (int i = 0; i < 100; ++i) {
    auto server = routes.Choose(kNow, {.service = "assistant"},
                                [](const vm_id&) { return false; });
    BOOST_TEST_REQUIRE(server.has_value());
    chosen.insert(*server);
  }
  BOOST_TEST(chosen.size() == 2u);
}

BOOST_AUTO_TEST_CASE(returned_domain_gets_its_share_back_slowly) {
  proto::configuration configuration;
  *configuration.mutable_inventory() =
      MakeInventory({.domains = {"western", "southern"}});
  configuration.add_domains_out("western");
  router routes({.self = vm_id("western-1"), .domain = domain_id("western")});
  routes.SetTopology(kNow, std::make_shared<topology>(configuration));
  configuration.clear_domains_out();
  routes.SetTopology(kNow, std::make_shared<topology>(configuration));
  proto::server_state state;
  state.set_service("assistant");
  state.set_accepting(true);
  state.set_limit(4);
  auto own_share = [&](time_point now) {
    int own = 0;
    for (const char* vm :
         {"western-2", "western-3", "southern-2", "southern-3"}) {
      routes.OnServerState(now, vm_id(vm), state);
    }
    for (int i = 0; i < 1000; ++i) {
      auto server = routes.Choose(now, {.service = "assistant"},
                                  [](const vm_id&) { return false; });
      own += server->value.starts_with("western") ? 1 : 0;
    }
    return own;
  };
  BOOST_TEST(own_share(kNow) < 300);
  BOOST_TEST(own_share(kNow + seconds(5)) > 500);
  BOOST_TEST(own_share(kNow + seconds(11)) == 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
