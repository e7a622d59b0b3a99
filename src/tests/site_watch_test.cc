/// @file site_watch_test.cc Tests of a hosted process's control thread against
/// a store on loopback.
#include <Poco/Base64Encoder.h>

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "network/compression.h"
#include "proto/fuchsiafall.pb.h"
#include "site_watch.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr size_t kMaxAnswerBytes = 1U << 20;

std::string EncodeBase64(const std::string& text) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder << text;
  encoder.close();
  return out.str();
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
