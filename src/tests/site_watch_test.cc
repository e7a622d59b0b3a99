/// @file site_watch_test.cc Tests of a hosted process's control thread against
/// a store on loopback.
#include <Poco/Base64Encoder.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>
#include <sstream>

#include "hash_func.h"
#include "network/compression.h"
#include "proto/fuchsiafall.pb.h"
#include "site_watch.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr size_t kMaxAnswerBytes = 1U << 20;

/// Reads the confirmed age of a relay's answer.
int64_t AgeOf(const std::string& body) {
  proto::mirror_answer answer;
  auto bytes = Inflate(body, kMaxAnswerBytes);
  BOOST_REQUIRE(bytes);
  BOOST_REQUIRE(answer.ParseFromString(*bytes));
  BOOST_TEST(answer.items_size() == 1);
  return answer.sound_age_ms();
}

/// Sends an answer in equal parts, as over a slow link.
void SendSlowly(event_loop* loop,
                time_point now,
                const std::shared_ptr<http_server_connection>& to,
                const std::string& body,
                milliseconds duration) {
  constexpr size_t kParts = 20;
  to->BeginChunks(MakeAnswerHead(200));
  for (size_t i = 0; i < kParts; ++i) {
    const size_t begin = body.size() * i / kParts;
    const size_t end = body.size() * (i + 1) / kParts;
    loop->StartTimer(now + duration * (i + 1) / kParts,
                     [to, is_last = i + 1 == kParts,
                      part = body.substr(begin, end - begin)](time_point at) {
                       if (!to->IsOpen())
                         return;
                       to->SendChunk(part);
                       if (is_last)
                         to->EndChunks(at);
                     });
  }
}

/// Bytes that hardly compress.
std::string NoiseOf(size_t bytes) {
  std::mt19937_64 random(1);
  std::string noise(bytes, '\0');
  for (char& byte : noise)
    byte = static_cast<char>('!' + random() % 80);
  return noise;
}

std::string EncodeBase64(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string ListingOf(const std::string& relay_address) {
  return R"({"Items":[{"Key":"relays/r","Value":")" +
         EncodeBase64("d " + relay_address) +
         R"(","Revision":4}],"HasMore":false,"At":7})";
}

/// Process of domain "d" that reads the store or its relay "r".
struct watched_process {
  watched_process(const std::string& node,
                  const std::string& store_address,
                  const std::string& relay_address)
      : watch({.node = node,
               .domain = "d",
               .store_address = store_address,
               .relay_address = relay_address,
               .on_change =
                   [this](const std::shared_ptr<const site_view>& view,
                          time_point) {
                     if (view != nullptr)
                       revision = view->revision.number;
                   },
               .count =
                   [this](const std::string& name) {
                     if (name == "relay_failed" || name == "relay_too_old" ||
                         name == "relay_cut_off") {
                       ++relays_left;
                     }
                     if (name == "store_watches" || name == "store_listings")
                       ++store_reads;
                   }}) {
    BOOST_REQUIRE(watch.Start());
  }

  std::atomic<uint64_t> revision{0};
  std::atomic<int> relays_left{0};
  std::atomic<int> store_reads{0};
  site_watch watch;
};

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

BOOST_AUTO_TEST_CASE(a_late_copy_of_the_list_of_relays_is_not_the_whole_site) {
  constexpr char kRelays[] = R"({"Items":[],"HasMore":false,"At":7})";
  event_loop loop;
  std::set<http_server_connection*> told;  // Got the list of relays.
  http_listener store(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, http_request&& request) {
             const std::string& target = request.head.getURI();
             const bool is_registry =
                 target.find("AllowStale") != std::string::npos;
             const bool is_copy = told.erase(from.get()) > 0;
             if (is_registry)
               told.insert(from.get());
             const std::string answer = is_registry || is_copy ? kRelays
                                        : target.starts_with("/kv-range")
                                            ? ListingOf("127.0.0.1:1")
                                            : R"({"events":[],"At":7})";
             from->Answer(now, MakeAnswerHead(200), answer);
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  const std::string store_address = FreeAddress();
  BOOST_REQUIRE(store.Listen(store_address));
  std::atomic<size_t> entry_count{0};
  site_watch watch({.node = "n",
                    .domain = "d",
                    .store_address = store_address,
                    .on_change =
                        [&](const auto& view, time_point) {
                          if (view != nullptr)
                            entry_count = view->entry_relays.size();
                        },
                    .count = [](const std::string&) {}});
  BOOST_REQUIRE(watch.Start());
  loop.StartTimer(BootNow() + milliseconds(1000),
                  [&](time_point) { loop.Stop(); });
  loop.Run();
  watch.Stop();
  BOOST_TEST(entry_count == 1u);
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

// A configuration of 0.9 MB took 0.7 s from a relay to its 31 readers. All of
// them gave it up, and then the second relay, and read it from the store
// together.
BOOST_AUTO_TEST_CASE(a_large_change_is_read_from_a_relay_over_a_slow_link) {
  event_loop loop;
  const std::string relay_address = FreeAddress();
  http_listener store(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, http_request&&) {
             from->Answer(now, MakeAnswerHead(200), ListingOf(relay_address));
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  const std::string noise = NoiseOf(200000);
  int large_answers = 0;
  http_listener relay(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, const http_request& request) {
             const bool is_first =
                 request.head.getURI().starts_with("/mirror?after=0");
             proto::mirror_answer answer;
             answer.set_revision(is_first ? 7 : 8);
             auto* item = answer.add_items();
             item->set_key(is_first ? "relays/r" : "b");
             item->set_value(is_first ? "d " + relay_address : noise);
             item->set_revision(is_first ? 4 : 8);
             const std::string body = Deflate(answer.SerializeAsString());
             if (is_first)
               return from->Answer(now, MakeAnswerHead(200), body);
             ++large_answers;
             SendSlowly(&loop, now, from, body, milliseconds(1800));
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  const std::string store_address = FreeAddress();
  BOOST_REQUIRE(store.Listen(store_address));
  BOOST_REQUIRE(relay.Listen(relay_address));
  watched_process reader("n", store_address, "");
  loop.StartTimer(BootNow() + milliseconds(2400),
                  [&](time_point) { loop.Stop(); });
  loop.Run();
  BOOST_TEST(reader.revision == 8u);
  BOOST_TEST(reader.relays_left == 0);
  BOOST_TEST(reader.store_reads == 0);
  reader.watch.Stop();
}

BOOST_AUTO_TEST_CASE(readers_wait_for_a_relay_that_receives_a_large_change) {
  event_loop loop;
  const std::string relay_address = FreeAddress();
  const std::string large = R"({"events":[{"Key":"b","Value":")" +
                            EncodeBase64(NoiseOf(300000)) +
                            R"(","Revision":8}],"At":8})";
  std::atomic<bool> is_changed = false;
  int large_answers = 0;
  http_listener store(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, const http_request& request) {
             const std::string& uri = request.head.getURI();
             if (uri.starts_with("/kv-range?Prefix=relays"))
               return from->Answer(now, MakeAnswerHead(200),
                                   ListingOf(relay_address));
             const bool knows = uri.find("After=8") != std::string::npos;
             if (is_changed && !knows) {
               ++large_answers;
               return SendSlowly(&loop, now, from, large, milliseconds(2500));
             }
             const std::string answer = uri.starts_with("/kv-range")
                                            ? ListingOf(relay_address)
                                        : knows ? R"({"events":[],"At":8})"
                                                : R"({"events":[],"At":7})";
             loop.StartTimer(now + milliseconds(100),
                             [from, answer](time_point at) {
                               from->Answer(at, MakeAnswerHead(200), answer);
                             });
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  const std::string store_address = FreeAddress();
  BOOST_REQUIRE(store.Listen(store_address));
  watched_process relay("r", store_address, relay_address);
  watched_process reader("n", store_address, "");
  const time_point start = BootNow();
  int left_before = 0;
  loop.StartTimer(start + milliseconds(1200), [&](time_point) {
    left_before = reader.relays_left;
    is_changed = true;
  });
  loop.StartTimer(start + milliseconds(5000), [&](time_point) { loop.Stop(); });
  loop.Run();
  BOOST_TEST(relay.revision == 8u);
  BOOST_TEST(reader.revision == 8u);
  BOOST_TEST(large_answers == 1);
  BOOST_TEST(reader.relays_left == left_before);
  BOOST_TEST(reader.store_reads == 0);
  reader.watch.Stop();
  relay.watch.Stop();
}

BOOST_AUTO_TEST_CASE(a_relay_with_an_odd_address_is_not_asked) {
  event_loop loop;
  // "d ADDRESS" for 127.0.0.1:99999, localhost:9 and [::1]:9, and one without.
  const std::string listing =
      R"({"Items":[{"Key":"relays/a","Value":"ZCAxMjcuMC4wLjE6OTk5OTk=",)"
      R"("Revision":4},{"Key":"relays/b","Value":"ZCBsb2NhbGhvc3Q6OQ==",)"
      R"("Revision":5},{"Key":"relays/c","Value":"ZCBbOjoxXTo5",)"
      R"("Revision":6},{"Key":"relays/d","Value":"ZCA=","Revision":6}],)"
      R"("HasMore":false,"At":7})";
  http_listener store(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, http_request&& request) {
             const bool is_listing =
                 request.head.getURI().starts_with("/kv-range");
             const std::string answer =
                 is_listing ? listing : R"({"events":[],"At":7})";
             loop.StartTimer(now + milliseconds(20),
                             [from, answer](time_point at) {
                               from->Answer(at, MakeAnswerHead(200), answer);
                             });
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  const std::string store_address = FreeAddress();
  BOOST_REQUIRE(store.Listen(store_address));
  std::atomic<int> relay_calls = 0;
  std::atomic<bool> is_loaded = false;
  site_watch watch({.node = "n",
                    .domain = "d",
                    .store_address = store_address,
                    .relay_address = "",
                    .on_change = [&](auto, time_point) { is_loaded = true; },
                    .count =
                        [&](const std::string& name) {
                          if (name == "relay_calls")
                            ++relay_calls;
                        }});
  BOOST_REQUIRE(watch.Start());
  loop.StartTimer(BootNow() + milliseconds(500),
                  [&](time_point) { loop.Stop(); });
  loop.Run();
  watch.Stop();
  BOOST_TEST(is_loaded.load());
  BOOST_TEST(relay_calls.load() == 0);
}

// A relay knows one era of the store at a time, and its readers another.
BOOST_AUTO_TEST_CASE(a_relay_tells_eras_apart_and_registers_in_each) {
  event_loop loop;
  uint64_t era = 1;
  const std::string store_address = FreeAddress();
  const std::string relay_address = FreeAddress();
  std::vector<std::string> registrations;
  http_listener store(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, http_request&& request) {
             const std::string& target = request.head.getURI();
             auto head = MakeAnswerHead(200);
             head.set("Store-Era", std::to_string(era));
             std::string answer = R"({"events":[],"At":7})";
             // The copy of the later era lacks the registration.
             if (target.starts_with("/kv-range"))
               answer = R"({"Items":[{"Key":"relays/)" +
                        std::string(era == 1 ? "n" : "other") +
                        R"(","Value":")" + EncodeBase64("d " + relay_address) +
                        R"(","Revision":4}],"HasMore":false,"At":7})";
             if (target.starts_with("/kv-txn"))
               registrations.push_back(request.body);
             loop.StartTimer(now + milliseconds(20),
                             [from, head, answer](time_point at) {
                               from->Answer(at, head, answer);
                             });
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  BOOST_REQUIRE(store.Listen(store_address));
  site_watch watch({.node = "n",
                    .domain = "d",
                    .store_address = store_address,
                    .relay_address = relay_address,
                    .on_change = [](auto, time_point) {},
                    .count = [](const std::string&) {}});
  BOOST_REQUIRE(watch.Start());
  http_client_pool pool(&loop, {});
  /// Status of the answer, 410 for "history gone".
  std::map<std::string, int> answers;
  auto read = [&](time_point now, const std::string& query) {
    StartAsyncHttpCall(now, &loop, &pool,
                       {.address = relay_address,
                        .request = "GET /mirror?wait=0&" + query +
                                   " HTTP/1.1\r\nHost: h\r\n\r\n",
                        .timeout = milliseconds(300),
                        .on_done = [&, query](time_point, int status,
                                              const std::string& body) {
                          proto::mirror_answer answer;
                          auto bytes = Inflate(body, kMaxAnswerBytes);
                          if (status == 200 && bytes &&
                              answer.ParseFromString(*bytes) &&
                              answer.history_gone())
                            status = 410;
                          answers[query] = status;
                        }});
  };
  const time_point start = BootNow();
  loop.StartTimer(start + milliseconds(400), [&](time_point now) {
    read(now, "after=7&era=1");
    read(now, "after=7&era=2");
    read(now, "after=7");
  });
  loop.StartTimer(start + milliseconds(600), [&](time_point) { era = 3; });
  loop.StartTimer(start + milliseconds(1400), [&](time_point now) {
    read(now, "after=6&era=1");
    read(now, "after=7&era=3");
    loop.StartTimer(now + milliseconds(200), [&](time_point) { loop.Stop(); });
  });
  loop.Run();
  watch.Stop();
  BOOST_TEST(answers["after=7&era=1"] == 200);
  BOOST_TEST(answers["after=7"] == 200);
  BOOST_TEST(answers["after=7&era=2"] == 503);
  BOOST_TEST(answers["after=6&era=1"] == 410);
  BOOST_TEST(answers["after=7&era=3"] == 200);
  BOOST_REQUIRE(registrations.size() == 1u);
  BOOST_TEST(registrations[0].find(R"("Revision":0)") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
