/// @file site_watch_test.cc Tests of a hosted process's control thread against
/// a store on loopback.
#include <Poco/Base64Encoder.h>

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "hash_func.h"
#include "network/compression.h"
#include "proto/fuchsiafall.pb.h"
#include "site_watch.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr size_t kMaxAnswerBytes = 1U << 20;

std::string EncodeBase64(const std::string& text) {
  std::ostringstream encoded;
  Poco::Base64Encoder encoder(encoded);
  encoder << text;
  encoder.close();
  return encoded.str();
}

/// Reads the confirmed age of a relay's answer.
int64_t AgeOf(const std::string& body) {
  proto::mirror_answer answer;
  auto bytes = Inflate(body, kMaxAnswerBytes);
  BOOST_REQUIRE(bytes);
  BOOST_REQUIRE(answer.ParseFromString(*bytes));
  BOOST_TEST(answer.items_size() == 1);
  return answer.sound_age_ms();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(site_watch_suite)

BOOST_AUTO_TEST_CASE(a_cached_relay_answer_does_not_look_fresher_than_it_is) {
  event_loop loop;
  bool is_down = false;
  http_listener store(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, http_request&& request) {
             if (is_down)
               return;
             const bool is_listing =
                 request.head.getURI().starts_with("/kv-range");
             const std::string answer =
                 is_listing
                     ? R"({"Items":[{"Key":"a","Value":"aGk=","Revision":4}],)"
                       R"("HasMore":false,"At":7})"
                     : R"({"events":[],"At":7})";
             loop.StartTimer(now + milliseconds(20),
                             [from, answer](time_point at) {
                               from->Answer(at, MakeAnswerHead(200), answer);
                             });
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  const std::string store_address = FreeAddress();
  const std::string relay_address = FreeAddress();
  BOOST_REQUIRE(store.Listen(store_address));
  site_watch watch({.node = "n",
                    .domain = "d",
                    .store_address = store_address,
                    .relay_address = relay_address,
                    .on_change = [](auto, time_point) {},
                    .count = [](const std::string&) {}});
  BOOST_REQUIRE(watch.Start());
  http_client_pool pool(&loop, {});
  std::vector<int64_t> ages;
  auto read = [&](time_point now) {
    StartAsyncHttpCall(
        now, &loop, &pool,
        {.address = relay_address,
         .request = "GET /mirror?after=0&wait=0 HTTP/1.1\r\nHost: h\r\n\r\n",
         .timeout = milliseconds(300),
         .on_done = [&](time_point, int status, const std::string& body) {
           BOOST_REQUIRE(status == 200);
           ages.push_back(AgeOf(body));
         }});
  };
  const time_point start = BootNow();
  loop.StartTimer(start + milliseconds(400),
                  [&](time_point) { is_down = true; });
  loop.StartTimer(start + milliseconds(450), read);
  loop.StartTimer(start + milliseconds(950), read);
  loop.StartTimer(start + milliseconds(1100), [&](time_point) { loop.Stop(); });
  loop.Run();
  watch.Stop();
  BOOST_REQUIRE(ages.size() == 2u);
  BOOST_TEST(ages[1] - ages[0] > 400);
}

// Regression: with two relays cut off from the store during a burst, the next
// one asked them in turn and kept their old configuration for over 2 s.
BOOST_AUTO_TEST_CASE(a_stale_relay_is_followed_by_the_next_source_at_once) {
  event_loop loop;
  const std::string store_address = FreeAddress();
  const std::vector<std::string> nodes{"n0", "n1", "n2"};
  const auto ranking = RendezvousRank("relay", nodes, nodes.size());
  std::vector<std::string> addresses;
  std::string registrations;
  for (const std::string& node : nodes) {
    addresses.push_back(FreeAddress());
    const std::string value = EncodeBase64("d " + addresses.back());
    registrations += (registrations.empty() ? "" : ",") +
                     std::string(R"({"Key":"relays/)") + node +
                     R"(","Value":")" + value + R"(","Revision":2})";
  }
  std::optional<time_point> store_read_at;
  http_listener store(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, http_request&& request) {
             const bool is_registry =
                 request.head.getURI().find("AllowStale") != std::string::npos;
             if (!is_registry && !store_read_at)
               store_read_at = now;
             from->Answer(now, MakeAnswerHead(200),
                          R"({"Items":[)" + registrations +
                              R"(],"HasMore":false,"At":900})");
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  BOOST_REQUIRE(store.Listen(store_address));
  uint64_t revision = 10;
  http_listener_hooks relay_hooks;
  relay_hooks.on_request = [&](time_point now, const auto& from, auto&&) {
    proto::mirror_answer answer;
    answer.set_revision(++revision);
    answer.set_sound_age_ms(2000);
    for (size_t i = 0; i < nodes.size(); ++i) {
      auto* item = answer.add_items();
      item->set_key("relays/" + nodes[i]);
      item->set_value("d " + addresses[i]);
      item->set_revision(2);
    }
    // Each answer has two versions of a large item.
    for (uint64_t at : {revision - 1, revision}) {
      auto* item = answer.add_items();
      item->set_key("op/config");
      item->set_value(std::string(50000, 'x'));
      item->set_revision(at);
    }
    from->Answer(now, MakeAnswerHead(200), Deflate(answer.SerializeAsString()));
  };
  relay_hooks.on_disconnected = [](time_point, http_server_connection*) {};
  http_listener first(&loop, {}, relay_hooks);
  http_listener second(&loop, {}, relay_hooks);
  BOOST_REQUIRE(first.Listen(addresses[ranking[0]]));
  BOOST_REQUIRE(second.Listen(addresses[ranking[1]]));
  site_watch watch({.node = nodes[ranking[2]],
                    .domain = "d",
                    .store_address = store_address,
                    .relay_address = addresses[ranking[2]],
                    .on_change = [](auto, time_point) {},
                    .count = [](const std::string&) {}});
  BOOST_REQUIRE(watch.Start());
  const time_point start = BootNow();
  loop.StartTimer(start + milliseconds(2500), [&](time_point) { loop.Stop(); });
  loop.Run();
  watch.Stop();
  BOOST_REQUIRE(store_read_at.has_value());
  BOOST_TEST(ToMs(*store_read_at - start) < 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
