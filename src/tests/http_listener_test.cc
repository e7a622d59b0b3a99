/// @file http_listener_test.cc Tests of the HTTP server and of its connections,
/// with a caller on loopback that writes raw bytes.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>

#include "network/http_listener.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr milliseconds kTestTime{100};

/// Listener with one caller, whose requests are answered by a function.
struct listener_fixture {
  using answer_function =
      std::function<void(time_point, http_server_connection*)>;

  explicit listener_fixture(const answer_function& answer)
      : listener(
            &loop,
            {},
            {.on_request =
                 [answer](time_point now, const auto& from, http_request&&) {
                   answer(now, from.get());
                 },
             .on_disconnected =
                 [this](time_point, http_server_connection*) {
                   ++disconnected;
                 }}) {}

  /// Sends bytes and collects what comes back until the test time is over.
  std::string Call(const std::string& bytes) {
    const std::string address = FreeAddress();
    BOOST_REQUIRE(listener.Listen(address));
    auto caller = *tcp_connection::Connect(&loop, address,
                                           {.max_unsent_bytes = 64U << 20});
    std::string received;
    caller->SetHooks({.on_bytes =
                          [&](time_point, std::string* input) {
                            received += *input;
                            input->clear();
                          },
                      .on_closed = [](time_point, close_cause) {}});
    caller->Send(bytes);
    loop.StartTimer(BootNow() + kTestTime, [this](time_point) { loop.Stop(); });
    loop.Run();
    return received;
  }

  event_loop loop;
  http_listener listener;
  int disconnected = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_listener_suite)

BOOST_AUTO_TEST_CASE(an_answer_to_a_head_request_has_no_body) {
  for (bool is_streamed : {false, true}) {
    listener_fixture fixture([&](time_point now, http_server_connection* to) {
      if (!is_streamed)
        return to->Answer(now, MakeAnswerHead(404), "no route\n");
      to->BeginChunks(MakeAnswerHead(200));
      to->SendChunk("event");
      to->EndChunks(now);
    });
    const std::string received =
        fixture.Call("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(received.starts_with("HTTP/1.1 "));
    BOOST_TEST(received.ends_with("\r\n\r\n"));
    BOOST_TEST(received.find("\r\n\r\n") == received.size() - 4);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
