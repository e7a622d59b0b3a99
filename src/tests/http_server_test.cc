/// @file http_server_test.cc Tests of the multi-threaded HTTP server.
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/fleet.h"
#include "network/caller_http.h"
#include "network/http_server.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr seconds kStopTimeout{5};

std::shared_ptr<http_server> Serve(const std::string& address,
                                   const http_handler& handler) {
  const Poco::Net::SocketAddress at(address);
  auto server = StartHttpServer(
      {.ip = at.host().toString(), .port = at.port(), .threads = 1}, handler);
  BOOST_REQUIRE(server);
  return *server;
}

Poco::Net::StreamSocket SendRequest(const std::string& address,
                                    const std::string& fields = "") {
  Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(address)};
  const std::string request =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields + "\r\n";
  caller.sendBytes(request.data(), static_cast<int>(request.size()));
  return caller;
}

/// Receives until the connection ends.
std::string Receive(Poco::Net::StreamSocket* caller) {
  std::string received;
  std::array<char, 65536> buffer{};
  try {
    while (const int count = caller->receiveBytes(buffer.data(), buffer.size()))
      received.append(buffer.data(), static_cast<size_t>(count));
  } catch (const Poco::Exception&) {
    received += "(reset)";
  }
  return received;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server_suite)

BOOST_AUTO_TEST_CASE(an_answer_that_is_sent_while_the_server_stops_is_whole) {
  constexpr size_t kBodyBytes = 32U << 20;
  const std::string address = FreeAddress();
  std::atomic<int> begun{0};
  auto server = Serve(address, [&](auto&, auto& response) {
    ++begun;
    AnswerHttp(&response, 200, "text/plain", std::string(kBodyBytes, 'x'));
  });
  auto caller = SendRequest(address);
  BOOST_REQUIRE(harness::WaitUntil([&] { return begun == 1; }, seconds(5)));
  std::thread stopping([&] { server->StopWhenIdle(kStopTimeout); });
  std::this_thread::sleep_for(milliseconds(400));
  BOOST_TEST(Receive(&caller).size() > kBodyBytes);
  stopping.join();
}

BOOST_AUTO_TEST_CASE(requests_that_wait_for_a_thread_at_a_stop_are_answered) {
  const std::string address = FreeAddress();
  std::atomic<int> begun{0};
  auto server = Serve(address, [&](auto&, auto& response) {
    ++begun;
    std::this_thread::sleep_for(milliseconds(400));
    AnswerHttp(&response, 200, "text/plain", "done");
  });
  auto first = SendRequest(address);
  BOOST_REQUIRE(harness::WaitUntil([&] { return begun == 1; }, seconds(5)));
  auto second = SendRequest(address);
  std::this_thread::sleep_for(milliseconds(100));
  server->StopWhenIdle(kStopTimeout);
  BOOST_TEST(Receive(&first).ends_with("done"));
  BOOST_TEST(Receive(&second).ends_with("done"));
}

BOOST_AUTO_TEST_CASE(a_request_whose_handler_throws_is_answered) {
  const std::string address = FreeAddress();
  auto server = Serve(
      address, [&](auto&, auto&) { throw Poco::RuntimeException("handler"); });
  auto caller = SendRequest(address);
  BOOST_TEST(Receive(&caller).starts_with("HTTP/1.1 500"));
  server->StopWhenIdle(kStopTimeout);
}

// A key with an encoded line end was written into the head for the engine.
BOOST_AUTO_TEST_CASE(a_key_with_encoded_line_ends_is_refused) {
  const std::string address = FreeAddress();
  auto server = Serve(address, [&](auto& request, auto& response) {
    const auto read = ReadCallerRequest(&request);
    AnswerHttp(&response, 400, "text/plain", read ? "read" : read.LastReason());
  });
  auto caller =
      SendRequest(address, "Idempotency-Key: =?UTF-8?Q?k=0D=0AX-Y:_1?=\r\n");
  BOOST_TEST(Receive(&caller).ends_with("Idempotency-Key: control character"));
  server->StopWhenIdle(kStopTimeout);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
