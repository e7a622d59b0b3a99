/// @file request_test.cc Requests in virtual time: routing, retries, refusals
/// and at-most-once execution.
#include <boost/test/unit_test.hpp>

#include "tests/fake_network.h"

namespace fuchsiafall::tests {

namespace {

/// Creates a network whose servers all serve v1.
std::unique_ptr<fake_network> ServingNetwork(fake_fleet_options options = {}) {
  auto net = std::make_unique<fake_network>(std::move(options));
  net->SetVersion("v1", MakeWeights(20000, 1000, 1));
  BOOST_TEST_REQUIRE(
      net->RunUntil([&] { return net->AllServe("v1"); }, seconds(60)));
  net->Run(seconds(3));
  return net;
}

bool AllDone(fake_network* net, const std::vector<uint64_t>& ids) {
  return std::all_of(ids.begin(), ids.end(),
                     [&](uint64_t id) { return net->Answer(id).is_done; });
}

/// Counts the model calls that the servers of a domain have answered.
int AnsweredIn(fake_network* net, const std::string& domain) {
  int answered = 0;
  for (const std::string& vm : net->Servers("assistant")) {
    if (net->DomainOf(vm) == domain)
      answered += net->engines.at(vm).answered;
  }
  return answered;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_suite)

BOOST_AUTO_TEST_CASE(each_caller_gets_its_own_whole_answer) {
  auto net = ServingNetwork();
  std::vector<uint64_t> ids;
  for (int i = 0; i < 30; ++i) {
    ids.push_back(net->Send("western-1", fake_network::MakeCompletion(
                                             "prompt " + std::to_string(i))));
    net->Run(milliseconds(60));
  }
  BOOST_TEST(
      net->RunUntil([&] { return AllDone(net.get(), ids); }, seconds(10)));
  for (int i = 0; i < 30; ++i) {
    const caller_answer& answer = net->Answer(ids[static_cast<size_t>(i)]);
    BOOST_TEST(!answer.is_refused);
    BOOST_TEST(answer.body.ends_with(" v1 prompt " + std::to_string(i)),
               answer.body);
  }
}

BOOST_AUTO_TEST_CASE(requests_stay_in_their_own_domain_while_it_has_room) {
  auto net = ServingNetwork();
  for (int i = 0; i < 10; ++i) {
    net->Send("western-1",
              fake_network::MakeCompletion("p" + std::to_string(i)));
    net->Run(milliseconds(200));
  }
  BOOST_TEST(AnsweredIn(net.get(), "western") == 10);
}

BOOST_AUTO_TEST_CASE(domain_taken_out_gets_no_new_work_and_loses_none) {
  auto net = ServingNetwork();
  std::vector<uint64_t> ids;
  net->Apply([](proto::edit* edit, const proto::configuration&) {
    edit->set_take_out("western");
  });
  for (int i = 0; i < 50; ++i) {
    ids.push_back(net->Send(
        "western-1", fake_network::MakeCompletion("p" + std::to_string(i))));
    net->Run(milliseconds(60));
  }
  const int ran = AnsweredIn(net.get(), "western");
  for (int i = 50; i < 80; ++i) {
    ids.push_back(net->Send(
        "western-1", fake_network::MakeCompletion("p" + std::to_string(i))));
    net->Run(milliseconds(60));
  }
  BOOST_TEST(
      net->RunUntil([&] { return AllDone(net.get(), ids); }, seconds(10)));
  BOOST_TEST(AnsweredIn(net.get(), "western") == ran);
  for (uint64_t id : ids)
    BOOST_TEST(!net->Answer(id).is_refused);
}

BOOST_AUTO_TEST_CASE(
    agents_of_a_domain_taken_out_refuse_calls_of_a_stale_entry) {
  auto net =
      ServingNetwork({.domains = {"western"}, .entries = 1, .servers = 2});
  // The entry does not receive the edit.
  net->should_drop = [](const std::string&, const std::string& to,
                        const proto::envelope& message) {
    return to == "western-1" && message.body_case() != proto::envelope::kPart;
  };
  net->Apply([](proto::edit* edit, const proto::configuration&) {
    edit->set_take_out("western");
  });
  net->Run(seconds(2));
  uint64_t id = net->Send("western-1", fake_network::MakeCompletion("late"));
  net->Run(seconds(9));
  BOOST_TEST(net->Answer(id).is_refused);
  BOOST_TEST(!net->Answer(id).may_have_run);
  BOOST_TEST(AnsweredIn(net.get(), "western") == 0);
}

BOOST_AUTO_TEST_CASE(leaving_server_gets_no_new_work) {
  auto net = ServingNetwork();
  const std::string server = net->Servers("assistant").front();
  net->leaving_vms = {server};
  net->Run(seconds(3));
  const int ran = net->engines.at(server).answered;
  std::vector<uint64_t> ids;
  for (int i = 0; i < 30; ++i) {
    ids.push_back(net->Send(
        "western-1", fake_network::MakeCompletion("p" + std::to_string(i))));
    net->Run(milliseconds(60));
  }
  BOOST_TEST(
      net->RunUntil([&] { return AllDone(net.get(), ids); }, seconds(10)));
  BOOST_TEST(net->engines.at(server).answered == ran);
  for (uint64_t id : ids)
    BOOST_TEST(!net->Answer(id).is_refused);
}

BOOST_AUTO_TEST_CASE(cold_servers_never_exceed_their_limit) {
  auto net = ServingNetwork();
  std::vector<uint64_t> ids;
  for (int i = 0; i < 200; ++i) {
    ids.push_back(net->Send(
        "western-1", fake_network::MakeCompletion("p" + std::to_string(i))));
    if (i % 4 == 0)
      net->Run(milliseconds(20));
    if (i == 100)
      net->CrashEngine("western-2");
    if (i == 120)
      net->CrashEngine("southern-3");
  }
  net->RunUntil([&] { return AllDone(net.get(), ids); }, seconds(20));
  for (const auto& [vm, engine] : net->engines)
    BOOST_TEST(engine.cold_limit_violations == 0);
}

BOOST_AUTO_TEST_CASE(killed_server_costs_no_idempotent_request) {
  auto net = ServingNetwork();
  std::vector<uint64_t> ids;
  for (int i = 0; i < 40; ++i) {
    ids.push_back(net->Send(
        "western-1", fake_network::MakeCompletion("p" + std::to_string(i))));
    net->Run(milliseconds(40));
    if (i == 20)
      net->Kill("western-2");
  }
  BOOST_TEST(
      net->RunUntil([&] { return AllDone(net.get(), ids); }, seconds(20)));
  for (uint64_t id : ids)
    BOOST_TEST(!net->Answer(id).is_refused);
}

BOOST_AUTO_TEST_CASE(request_that_crashes_servers_is_quarantined_everywhere) {
  auto net = ServingNetwork();
  for (auto& [vm, engine] : net->engines) {
    engine.crashes_on = [](const proto::call_request& request) {
      return request.body().find("poison") != std::string::npos;
    };
  }
  uint64_t id = net->Send("western-1", fake_network::MakeCompletion("poison"));
  net->RunUntil([&] { return net->Answer(id).is_done; }, seconds(10));
  BOOST_TEST(net->Answer(id).is_refused);
  BOOST_TEST((net->Answer(id).why == reason::kQuarantined));
  BOOST_TEST(net->Answer(id).may_have_run);
  net->Run(seconds(8));
  // The quarantine limit of fake_network is two crashes.
  uint64_t crashes = 0;
  for (const auto& [vm, engine] : net->engines)
    crashes += engine.starts - 1;
  BOOST_TEST(crashes == 2u);
  // Sent through another entry, the request crashes no further server.
  uint64_t again =
      net->Send("southern-1", fake_network::MakeCompletion("poison"));
  net->Run(seconds(5));
  BOOST_TEST((net->Answer(again).why == reason::kQuarantined));
  uint64_t after = 0;
  for (const auto& [vm, engine] : net->engines)
    after += engine.starts - 1;
  BOOST_TEST(after == 2u);
  uint64_t good =
      net->Send("southern-1", fake_network::MakeCompletion("harmless"));
  net->RunUntil([&] { return net->Answer(good).is_done; }, seconds(10));
  BOOST_TEST(!net->Answer(good).is_refused);
}

BOOST_AUTO_TEST_CASE(repeated_key_runs_once_and_gets_the_same_answer) {
  auto net = ServingNetwork();
  uint64_t first = net->Send("western-1", fake_network::MakeBooking("seat-1"));
  net->RunUntil([&] { return net->Answer(first).is_done; }, seconds(10));
  uint64_t again = net->Send("southern-1", fake_network::MakeBooking("seat-1"));
  net->RunUntil([&] { return net->Answer(again).is_done; }, seconds(10));
  BOOST_TEST(!net->Answer(first).is_refused);
  BOOST_TEST(net->Answer(again).body == net->Answer(first).body);
  BOOST_TEST(net->runs.at("seat-1") == 1);
}

BOOST_AUTO_TEST_CASE(key_used_for_another_request_is_refused) {
  auto net = ServingNetwork();
  uint64_t first = net->Send("western-1", fake_network::MakeBooking("seat-1"));
  net->RunUntil([&] { return net->Answer(first).is_done; }, seconds(10));
  caller_request other = fake_network::MakeBooking("seat-1");
  other.body = "another seat";
  uint64_t again = net->Send("western-1", other);
  net->RunUntil([&] { return net->Answer(again).is_done; }, seconds(10));
  BOOST_TEST((net->Answer(again).why == reason::kKeyUsed));
  BOOST_TEST(net->runs.at("seat-1") == 1);
}

BOOST_AUTO_TEST_CASE(booking_without_a_key_or_a_store_does_not_run) {
  auto net = ServingNetwork();
  uint64_t no_key = net->Send("western-1", fake_network::MakeBooking(""));
  net->Run(seconds(1));
  BOOST_TEST((net->Answer(no_key).why == reason::kKeyMissing));
  BOOST_TEST(!net->Answer(no_key).may_have_run);
  net->store.is_down = true;
  uint64_t without_store =
      net->Send("western-1", fake_network::MakeBooking("seat-2"));
  net->Run(seconds(9));
  BOOST_TEST(net->Answer(without_store).is_refused);
  BOOST_TEST(!net->Answer(without_store).may_have_run);
  BOOST_TEST(net->runs.empty());
}

BOOST_AUTO_TEST_CASE(domain_cut_off_from_the_store_books_through_another) {
  auto net = ServingNetwork();
  net->domains_without_store = {"western"};
  uint64_t id = net->Send("western-1", fake_network::MakeBooking("seat-3"));
  net->RunUntil([&] { return net->Answer(id).is_done; }, seconds(10));
  BOOST_TEST(!net->Answer(id).is_refused);
  BOOST_TEST(net->runs.at("seat-3") == 1);
}

BOOST_AUTO_TEST_CASE(key_sent_again_after_its_server_died_does_not_run_again) {
  auto net = ServingNetwork();
  uint64_t first = net->Send("western-1", fake_network::MakeBooking("seat-4"));
  net->RunUntil([&] { return net->runs.contains("seat-4"); }, seconds(5));
  for (const std::string& vm : net->Servers("booking"))
    net->Restart(vm);
  net->RunUntil([&] { return net->Answer(first).is_done; }, seconds(12));
  BOOST_TEST(net->Answer(first).may_have_run);
  net->Run(seconds(5));
  uint64_t again = net->Send("southern-1", fake_network::MakeBooking("seat-4"));
  net->RunUntil([&] { return net->Answer(again).is_done; }, seconds(12));
  BOOST_TEST((net->Answer(again).why == reason::kKeyUsed));
  BOOST_TEST(net->Answer(again).may_have_run);
  BOOST_TEST(net->runs.at("seat-4") == 1);
}

BOOST_AUTO_TEST_CASE(a_flood_of_single_crashes_hides_no_crashing_request) {
  gossip members({.self = vm_id("western-1"), .domain = domain_id("western")});
  time_point now{std::chrono::hours(1)};
  const fingerprint crasher(1);
  members.AddCrash(now, crasher, 1);
  members.AddCrash(now, crasher, 1);
  constexpr uint64_t kFlood = 5000;
  for (uint64_t i = 0; i < kFlood; ++i) {
    now += milliseconds(20);
    members.AddCrash(now, fingerprint(100 + i), 1);
  }
  BOOST_TEST(members.CrashesOf(now, crasher) == 2u);
  members.AddCrash(now, crasher, 1);
  BOOST_TEST(members.CrashesOf(now, crasher) == 3u);
  const fingerprint newcomer(2);
  members.AddCrash(now, newcomer, 1);
  members.AddCrash(now, newcomer, 1);
  BOOST_TEST(members.CrashesOf(now, newcomer) == 2u);
  // The same flood at once.
  for (uint64_t i = 0; i < kFlood; ++i)
    members.AddCrash(now, fingerprint(10000 + i), 1);
  members.AddCrash(now, newcomer, 1);
  BOOST_TEST(members.CrashesOf(now, newcomer) == 3u);
  BOOST_TEST(members.CrashesOf(now, crasher) == 3u);
  // One that begins to crash after the flood.
  const fingerprint late(3);
  members.AddCrash(now, late, 1);
  members.AddCrash(now, late, 1);
  BOOST_TEST(members.CrashesOf(now, late) == 2u);
}

namespace {

/// Entry with one request that it has sent to the server western-2.
struct sent_request {
  sent_request() {
    proto::configuration configuration;
    configuration.set_revision(1);
    *configuration.mutable_inventory() = MakeInventory({});
    configuration.mutable_inventory()->add_versions()->set_id("v1");
    configuration.mutable_inventory()->mutable_versions(0)->set_manifest_digest(
        std::string(64, 'a'));
    configuration.mutable_inventory()->mutable_services(0)->set_version("v1");
    output_list out;
    members.OnStoreChanges(now, &configuration, {}, &out);
    routes.SetTopology(now, members.Topology());
    proto::server_state state;
    state.set_service("assistant");
    state.set_version("v1");
    state.set_accepting(true);
    state.set_limit(4);
    routes.OnServerState(now, vm_id("western-2"), state);
    caller_request request = fake_network::MakeCompletion("mine");
    request.id = 1;
    table.OnRequest(now, request, &out);
    auto sent = std::get_if<send_message>(&out.Items().back());
    BOOST_TEST_REQUIRE(sent != nullptr);
    part.set_attempt_id(sent->message.call().attempt_id());
    part.set_data("half");
    part.set_http_status(200);
  }

  time_point now{std::chrono::hours(1)};
  gossip members{{.self = vm_id("western-1"), .domain = domain_id("western")}};
  router routes{{.self = vm_id("western-1"), .domain = domain_id("western")}};
  request_table table{
      {.self = vm_id("western-1"), .own_incarnation = incarnation(5)},
      &routes,
      &members};
  proto::call_part part;  ///< First part of an answer to it.
};

}  // namespace

// An answer with status 0 would reach the caller as "HTTP/1.1 0".
BOOST_AUTO_TEST_CASE(a_part_without_a_valid_status_is_no_answer) {
  for (const uint32_t status : {0U, 99U, 100U, 199U, 600U, 4294967295U}) {
    sent_request sent;
    sent.part.set_http_status(status);
    sent.part.set_last(true);
    sent.part.set_total_bytes(sent.part.data().size());
    output_list out;
    sent.table.OnPart(sent.now, vm_id("western-2"), sent.part, &out);
    for (const output& item : out.Items())
      BOOST_TEST(!std::holds_alternative<answer_part>(item), status);
  }
}

BOOST_AUTO_TEST_CASE(
    truncated_and_crossed_answers_never_reach_a_caller_as_whole) {
  sent_request sent;
  const time_point now = sent.now;
  request_table& table = sent.table;
  const proto::call_part& part = sent.part;
  output_list crossed;
  proto::call_part other = part;
  other.set_attempt_id(part.attempt_id() + 1);
  other.set_last(true);
  table.OnPart(now, vm_id("western-2"), other, &crossed);
  table.OnPart(now, vm_id("southern-2"), part, &crossed);
  for (const output& item : crossed.Items()) {
    BOOST_TEST(!std::holds_alternative<answer_part>(item));
  }

  output_list ended;
  table.OnPart(now, vm_id("western-2"), part, &ended);
  proto::call_part last = part;
  last.set_sequence(2);  // Number 1 was lost.
  last.set_last(true);
  last.set_total_bytes(12);
  table.OnPart(now, vm_id("western-2"), last, &ended);
  for (const output& item : ended.Items()) {
    BOOST_TEST(!std::holds_alternative<answer_part>(item));
  }
}

BOOST_AUTO_TEST_CASE(a_pause_of_the_entry_ends_none_of_its_requests) {
  auto net = ServingNetwork();
  for (auto& [vm, engine] : net->engines)
    engine.call_time = seconds(7);
  auto booking = net->Send("western-1", fake_network::MakeBooking("seat"));
  net->Run(milliseconds(200));
  net->Pause("western-1", milliseconds(6000));
  BOOST_TEST(
      net->RunUntil([&] { return net->Answer(booking).is_done; }, seconds(20)));
  BOOST_TEST(!net->Answer(booking).is_refused);
}

BOOST_AUTO_TEST_CASE(shutdown_finishes_what_runs_and_refuses_the_rest) {
  auto net =
      ServingNetwork({.domains = {"western"}, .entries = 1, .servers = 1});
  net->engines.at("western-2").call_time = milliseconds(800);
  uint64_t running =
      net->Send("western-1", fake_network::MakeCompletion("running"));
  net->Run(milliseconds(100));
  net->Agent("western-2")->Step(net->now, shutdown_order());
  BOOST_TEST(!net->Agent("western-2")->IsDrained());
  uint64_t late = net->Send("western-1", fake_network::MakeCompletion("late"));
  net->Run(seconds(5));
  BOOST_TEST(!net->Answer(running).is_refused);
  BOOST_TEST(net->Answer(late).is_refused);
  BOOST_TEST(!net->Answer(late).may_have_run);
  BOOST_TEST(net->Agent("western-2")->IsDrained());
}

BOOST_AUTO_TEST_CASE(unknown_callers_and_models_are_refused_as_not_run) {
  auto net = ServingNetwork();
  caller_request stranger = fake_network::MakeCompletion("x");
  stranger.token = "guess";
  uint64_t a = net->Send("western-1", stranger);
  caller_request unknown = fake_network::MakeCompletion("x");
  unknown.model = "nothing";
  uint64_t b = net->Send("western-1", unknown);
  net->Run(seconds(1));
  BOOST_TEST((net->Answer(a).why == reason::kUnknownOrganisation));
  BOOST_TEST((net->Answer(b).why == reason::kUnknownService));
  BOOST_TEST(!net->Answer(a).may_have_run);
  BOOST_TEST(!net->Answer(b).may_have_run);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
