/// @file blocking_client_test.cc Clients with blocking calls, to servers on
/// loopback that answer slowly or never.
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <functional>
#include <thread>

#include "network/engine_client.h"
#include "network/store_client.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
/// Time after which the servers here end what would go on without end.
constexpr milliseconds kEndless{2000};
constexpr milliseconds kPromptly{1000};
const call_id kCall{vm_id("e"), attempt_id(1)};

/// Client of a server that answers one call by a script.
struct client_fixture {
  explicit client_fixture(std::function<void(Poco::Net::StreamSocket*)> answer,
                          milliseconds call_timeout = milliseconds(200))
      : listening(Poco::Net::SocketAddress(FreeAddress())),
        serving([this, answer = std::move(answer)] {
          Poco::Net::StreamSocket socket = listening.acceptConnection();
          char request[4096];
          socket.receiveBytes(request, sizeof(request));
          try {
            answer(&socket);
          } catch (const std::exception&) {
            return;  // The client has closed.
          }
        }),
        client({.address = listening.address().toString(),
                .call_timeout = call_timeout},
               [this](const engine_part& part) {
                 std::lock_guard lock(mutex);
                 body += part.data;
                 if (part.last)
                   last = part;
                 ended.notify_one();
               }) {}
  ~client_fixture() { serving.join(); }

  void Start(uint32_t deadline_ms) {
    proto::call_request request;
    request.set_method("GET");
    request.set_path("/");
    request.set_deadline_ms(deadline_ms);
    client.Start({kCall.attempt, kCall.entry, request});
  }
  /// Waits for the end of the call.
  /// @return Whether it ended in time.
  bool EndsWithin(milliseconds span) {
    std::unique_lock lock(mutex);
    return ended.wait_for(lock, span, [this] { return last.has_value(); });
  }

  std::mutex mutex;
  std::condition_variable ended;
  std::string body;
  std::optional<engine_part> last;
  Poco::Net::ServerSocket listening;
  std::thread serving;
  engine_client client;
};

void Send(Poco::Net::StreamSocket* to, const std::string& bytes) {
  to->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

/// Sends a part of a head without end.
void Trickle(Poco::Net::StreamSocket* to) {
  for (milliseconds passed{0}; passed < kEndless; passed += milliseconds(50)) {
    Send(to, "H");
    std::this_thread::sleep_for(milliseconds(50));
  }
}

/// Returns when the client closes, at the latest after kEndless.
void WaitForClose(Poco::Net::StreamSocket* to) {
  to->poll(Poco::Timespan(kEndless.count() * Poco::Timespan::MILLISECONDS),
           Poco::Net::Socket::SELECT_READ);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(blocking_client_suite)

BOOST_AUTO_TEST_CASE(a_silent_server_is_not_cut_within_the_callers_time) {
  client_fixture fixture([](Poco::Net::StreamSocket* to) {
    Send(to, std::string(kHead) + "wh");
    std::this_thread::sleep_for(milliseconds(500));
    Send(to, "le");
  });
  fixture.Start(3000);
  BOOST_TEST_REQUIRE(fixture.EndsWithin(kEndless));
  BOOST_TEST((fixture.last->why == reason::kNone));
  BOOST_TEST(fixture.body == "whle");
}

BOOST_AUTO_TEST_CASE(an_answer_that_trickles_ends_with_the_callers_time) {
  client_fixture fixture(Trickle);
  fixture.Start(300);
  BOOST_TEST(fixture.EndsWithin(kPromptly));
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_ends_though_its_server_is_silent) {
  client_fixture fixture(WaitForClose, seconds(10));
  fixture.Start(10000);
  fixture.client.Cancel(kCall);
  BOOST_TEST(fixture.EndsWithin(kPromptly));
}

BOOST_AUTO_TEST_CASE(a_stop_does_not_wait_for_a_silent_server) {
  client_fixture fixture(WaitForClose, seconds(10));
  fixture.Start(10000);
  const auto begun = std::chrono::steady_clock::now();
  fixture.client.Stop();
  BOOST_TEST((std::chrono::steady_clock::now() - begun < kPromptly));
}

BOOST_AUTO_TEST_CASE(reports_and_store_calls_that_trickle_are_given_up) {
  const milliseconds timeout{200};
  const std::function<void(const std::string&)> calls[] = {
      [&](const std::string& address) {
        engine_client client({.address = address, .report_timeout = timeout},
                             [](const engine_part&) {});
        BOOST_TEST(!client.Report().reachable);
      },
      [&](const std::string& address) {
        MakeStoreClient(address, timeout).read("key");
      },
      [&](const std::string& address) {
        MakeStoreClient(address, timeout).write("key", "value", 0);
      }};
  for (const auto& call : calls) {
    client_fixture fixture(Trickle);
    const auto begun = std::chrono::steady_clock::now();
    call(fixture.listening.address().toString());
    BOOST_TEST((std::chrono::steady_clock::now() - begun < kPromptly));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
