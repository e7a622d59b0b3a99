/// @file http_body_test.cc Bodies of callers' requests, read by a thread of
/// the HTTP server.
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "network/http_server.h"
#include "tests/loopback_address.h"
#include "time_type.h"

namespace fuchsiafall::tests {

namespace {

/// Sends bytes, unless the server has closed.
void Send(Poco::Net::StreamSocket* to, const std::string& bytes) {
  try {
    to->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  } catch (const Poco::Exception&) {
    return;
  }
}

/// Sends a body of ten bytes, one at a time.
/// @return Whether the server took it.
bool IsTakenAtInterval(milliseconds interval) {
  const Poco::Net::SocketAddress address(FreeAddress());
  std::promise<bool> is_taken;
  auto server = StartHttpServer(
      {.ip = address.host().toString(), .port = address.port(), .threads = 1},
      [&](auto& request, auto& response) {
        is_taken.set_value(
            static_cast<bool>(ReadBody(&request, 100, milliseconds(300))));
        AnswerHttp(&response, 200, "text/plain", "");
      });
  BOOST_TEST_REQUIRE(static_cast<bool>(server));
  Poco::Net::StreamSocket socket(address);
  const std::string head = "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n";
  Send(&socket, head);
  for (int i = 0; i < 10; ++i) {
    Send(&socket, "x");
    std::this_thread::sleep_for(interval);
  }
  const bool result = is_taken.get_future().get();
  (*server)->stopAll(true);
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_body_suite)

BOOST_AUTO_TEST_CASE(a_body_that_trickles_in_is_given_up) {
  BOOST_TEST(IsTakenAtInterval(milliseconds(1)));
  BOOST_TEST(!IsTakenAtInterval(milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(the_rest_of_a_body_that_is_given_up_is_no_request) {
  const Poco::Net::SocketAddress address(FreeAddress());
  std::atomic<int> requests{0};
  auto server = StartHttpServer(
      {.ip = address.host().toString(), .port = address.port(), .threads = 1},
      [&](auto& request, auto& response) {
        ++requests;
        BOOST_TEST(!ReadBody(&request, 100));
        AnswerHttp(&response, 200, "text/plain", "");
      });
  BOOST_TEST_REQUIRE(static_cast<bool>(server));
  const std::string rest = "GET /inside HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string filler(16384, 'x');
  const std::string begin = "POST / HTTP/1.1\r\nContent-Length: " +
                            std::to_string(filler.size() + rest.size()) +
                            "\r\n\r\n" + filler;
  Poco::Net::StreamSocket socket(address);
  Send(&socket, begin);
  std::this_thread::sleep_for(milliseconds(300));
  Send(&socket, rest);
  std::this_thread::sleep_for(milliseconds(500));
  (*server)->stopAll(true);
  BOOST_TEST(requests == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
