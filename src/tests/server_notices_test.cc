/// @file server_notices_test.cc Servers that announce that they leave, or ask
/// for a pause.
#include <boost/test/unit_test.hpp>

#include "fake_site.h"
#include "network/http_message.h"
#include "platform/headers.h"

namespace fuchsiafall::tests {

namespace {

/// Entry whose latest attempt can be answered with any head.
struct noticed_entry : fake_entry {
  void Answer(server_answer head, bool is_stream = false) {
    const started_attempt attempt = attempts.back();
    head.call_id = "r" + std::to_string(attempt.call);
    dispatch.OnAnswerHead(now, attempt.call, attempt.number, head, is_stream);
  }
  /// Sends plain requests, each of which is answered.
  /// @return The servers that got them.
  std::set<std::string> ServersOf(uint64_t first_id) {
    std::set<std::string> servers;
    for (uint64_t id = first_id; id < first_id + 20; ++id) {
      const size_t sent = attempts.size();
      SendRequest(id, "plain");
      if (attempts.size() == sent)
        continue;
      servers.insert(attempts.back().server);
      Answer({.status = 200, .is_sealed = true});
      EndExchange(exchange_end::kComplete);
    }
    return servers;
  }
  std::string Leave(int status, bool did_not_run = false) {
    SendRequest(1, "plain");
    std::string server = attempts.back().server;
    Answer({.status = status,
            .did_not_run = did_not_run,
            .is_sealed = status == 200,
            .is_leaving = true});
    EndExchange(exchange_end::kComplete);
    return server;
  }
  std::string Pause(uint64_t id, milliseconds pause) {
    SendRequest(id, "plain");
    std::string server = attempts.back().server;
    Answer({.status = 503, .did_not_run = true, .pause = pause});
    EndExchange(exchange_end::kComplete);
    Answer({.status = 200, .is_sealed = true});
    EndExchange(exchange_end::kComplete);
    return server;
  }
};

server_answer Decode(const std::string& header) {
  const auto head =
      ParseResponseHead("HTTP/1.1 503 Unavailable\r\n" + header + "\r\n\r\n");
  BOOST_REQUIRE(head);
  return platform::DecodeAnswer(*head);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_notices_suite)

BOOST_AUTO_TEST_CASE(a_server_that_announced_its_leave_gets_nothing_more) {
  for (const bool did_not_run : {false, true}) {
    noticed_entry entry;
    const std::string leaving =
        entry.Leave(did_not_run ? 503 : 200, did_not_run);
    if (did_not_run) {
      entry.Answer({.status = 200, .is_sealed = true});
      entry.EndExchange(exchange_end::kComplete);
    }
    const std::string other = leaving == "d1" ? "d2" : "d1";
    BOOST_TEST((entry.ServersOf(10) == std::set{other}));
    // The store says it is sound, loses it, and has it back.
    site_view view = entry.site.index->View();
    const site_server server = view.servers[leaving];
    for (const bool is_listed : {true, false, true}) {
      view.servers.erase(leaving);
      if (is_listed) {
        view.servers[leaving] = server;
        view.servers[leaving].revision = ++view.revision.number;
      }
      entry.site.Set(view);
      entry.dispatch.SetIndex(entry.site.index.get());
      BOOST_TEST((entry.ServersOf(40) == std::set{other}));
    }
    // It started again under the same id.
    view.servers[leaving].started_at_ms = server.started_at_ms + 1;
    entry.site.Set(view);
    entry.dispatch.SetIndex(entry.site.index.get());
    BOOST_TEST(entry.ServersOf(70).size() == 2u);
  }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_avoids_a_leaving_server) {
  noticed_entry entry;
  entry.SendRequest(1, "models");
  entry.GrantPlace();
  const std::string leaving = entry.attempts.back().server;
  entry.Answer({.status = 200, .is_sealed = true, .is_leaving = true}, true);
  entry.DeliverBody("id:1\ndata\n\n");
  BOOST_TEST(entry.received_text == "<id:1\ndata\n\n");
  entry.SendRequest(2, "models");
  BOOST_TEST(entry.requested_servers.back() != leaving);
  entry.SendRequest(3, "models");
  BOOST_TEST(entry.requested_servers.back() != leaving);
}

BOOST_AUTO_TEST_CASE(
    a_server_that_asked_for_a_pause_gets_nothing_until_its_end) {
  noticed_entry entry;
  const std::string paused = entry.Pause(1, milliseconds(3000));
  const std::string other = paused == "d1" ? "d2" : "d1";
  BOOST_TEST((entry.ServersOf(10) == std::set{other}));
  entry.now += milliseconds(2900);
  entry.dispatch.SetConfirmedAt(entry.now);
  BOOST_TEST((entry.ServersOf(40) == std::set{other}));
  entry.now += milliseconds(200);
  BOOST_TEST(entry.ServersOf(70).size() == 2u);
}

BOOST_AUTO_TEST_CASE(with_all_servers_paused_the_refusal_names_the_first_end) {
  noticed_entry entry;
  entry.SendRequest(1, "plain");
  for (const milliseconds pause : {milliseconds(8000), milliseconds(5000)}) {
    entry.Answer({.status = 503, .did_not_run = true, .pause = pause});
    entry.EndExchange(exchange_end::kComplete);
  }
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.attempts.size() == 2u);
  BOOST_TEST(entry.refusals[0].status == 503);
  BOOST_REQUIRE(entry.refusals[0].retry_after.has_value());
  BOOST_TEST(entry.refusals[0].retry_after->count() >= 5000);
  BOOST_TEST(entry.refusals[0].retry_after->count() < 8000);
}

BOOST_AUTO_TEST_CASE(with_all_servers_leaving_the_refusal_says_not_run) {
  noticed_entry entry;
  entry.Leave(200);
  entry.Leave(200);
  const size_t sent = entry.attempts.size();
  entry.SendRequest(3, "plain");
  BOOST_TEST(entry.attempts.size() == sent);
  BOOST_REQUIRE(entry.refusals.size() == 1u);
  BOOST_TEST(entry.refusals[0].status == 503);
  BOOST_TEST(entry.refusals[0].retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(of_overlapping_pauses_the_latest_end_counts) {
  server_notices notices({.max_pause = seconds(20)});
  const time_point now{std::chrono::hours(1)};
  const site_server server{.id = "s", .started_at_ms = 5};
  notices.OnPause(now, server, seconds(6));
  notices.OnPause(now + seconds(1), server, seconds(2));
  BOOST_TEST((notices.PausedUntil(now, server) == now + seconds(6)));
  BOOST_TEST(!notices.PausedUntil(now + seconds(6), server).has_value());
  BOOST_TEST((notices.OnPause(now, server, seconds(500)) == seconds(20)));
  const site_server reborn{.id = "s", .started_at_ms = 6};
  BOOST_TEST(!notices.PausedUntil(now, reborn).has_value());
}

BOOST_AUTO_TEST_CASE(the_number_of_remembered_notices_is_bounded) {
  server_notices notices({.capacity = 10});
  const time_point now{std::chrono::hours(1)};
  for (int i = 0; i < 100; ++i) {
    const time_point at = now + milliseconds(i);
    BOOST_TEST(notices.OnLeaving(at, {.id = std::to_string(i)}));
    BOOST_TEST(!notices.OnLeaving(at, {.id = std::to_string(i)}));
  }
  BOOST_TEST(!notices.IsLeaving(now, {.id = "0"}));
  BOOST_TEST(notices.IsLeaving(now, {.id = "99"}));
}

BOOST_AUTO_TEST_CASE(an_unreadable_pause_is_none) {
  BOOST_TEST((Decode("Retry-After: 0.25").pause == milliseconds(250)));
  BOOST_TEST((Decode("Retry-After: 3").pause == seconds(3)));
  for (const std::string value :
       {"", "0", "-1", "soon", "1e9x", "inf", "nan", "Wed, 21 Oct 2026"}) {
    const server_answer answer = Decode("Retry-After: " + value);
    BOOST_TEST(!answer.pause.has_value());
    BOOST_TEST(answer.has_unreadable_pause);
  }
  BOOST_TEST(!Decode("Server-Leaving: 0").is_leaving);
  BOOST_TEST(!Decode("Server-Leaving: yes").is_leaving);
  BOOST_TEST(Decode("Server-Leaving: 1").is_leaving);
  BOOST_TEST(!Decode("Server-Leaving: 1").has_unreadable_pause);
}

BOOST_AUTO_TEST_CASE(a_replaced_server_may_register_again_in_a_newer_era) {
  fake_site site;
  site_view view = site.index->View();
  view.servers["d1"].revision = {1, 100};
  site.Set(view);
  server_selector selector({});
  selector.SetIndex(site.index.get());
  selector.OnReplaced(view.servers["d1"]);
  const time_point now{std::chrono::hours(1)};
  BOOST_TEST(!selector.IsEligible(now, view.servers["d1"], {}));
  view.servers["d1"].revision = {2, 95};
  BOOST_TEST(selector.IsEligible(now, view.servers["d1"], {}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
