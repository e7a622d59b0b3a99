/// @file stopped_reader_test.cc Callers and servers that stop reading for a
/// while, as slow ones do, get all bytes.
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/fleet.h"
#include "network/tcp_connection.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr size_t kBytes = 300000;
constexpr int kReceiveBuffer = 4096;
constexpr milliseconds kPause{4500};

/// Reads until the connection ends, after a pause.
size_t ReadSlowly(Poco::Net::StreamSocket* from) {
  std::this_thread::sleep_for(kPause);
  std::array<char, 65536> buffer{};
  size_t received = 0;
  try {
    from->setReceiveTimeout(Poco::Timespan(5, 0));
    while (const int count = from->receiveBytes(buffer.data(), buffer.size()))
      received += static_cast<size_t>(count);
  } catch (const Poco::Exception&) {
    // The connection was reset.
  }
  return received;
}

Poco::Net::StreamSocket ConnectWithSmallBuffer(const std::string& address) {
  Poco::Net::StreamSocket caller;
  caller.init(AF_INET);
  caller.setReceiveBufferSize(kReceiveBuffer);
  caller.connect(Poco::Net::SocketAddress(address));
  return caller;
}

/// Runs a loop as long as it exists.
class loop_thread {
 public:
  explicit loop_thread(event_loop* loop)
      : loop_(loop), thread_([loop] { loop->Run(); }) {}
  ~loop_thread() {
    loop_->Stop();
    thread_.join();
  }
  loop_thread(const loop_thread&) = delete;
  loop_thread& operator=(const loop_thread&) = delete;

 private:
  event_loop* loop_;
  std::thread thread_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(stopped_reader_suite)

BOOST_AUTO_TEST_CASE(a_caller_that_stops_reading_loses_the_rest) {
  event_loop loop;
  const std::string address = FreeAddress();
  std::shared_ptr<tcp_connection> accepted;
  tcp_listener listener(
      &loop, [&](time_point now, const Poco::Net::StreamSocket& from) {
        accepted = tcp_connection::Adopt(&loop, from, {});
        accepted->Send(std::string(kBytes, 'x'));
        accepted->CloseWhenSent(now);
      });
  BOOST_REQUIRE(listener.Listen(address));
  loop_thread thread(&loop);
  Poco::Net::StreamSocket caller = ConnectWithSmallBuffer(address);
  BOOST_TEST(ReadSlowly(&caller) == kBytes);
}

BOOST_AUTO_TEST_CASE(a_server_that_stops_reading_loses_the_rest) {
  event_loop loop;
  const std::string address = FreeAddress();
  Poco::Net::ServerSocket server;
  server.init(AF_INET);
  server.setReceiveBufferSize(kReceiveBuffer);
  server.bind(Poco::Net::SocketAddress(address), true);
  server.listen();
  auto connection = tcp_connection::Connect(&loop, address, {});
  BOOST_REQUIRE(connection);
  (*connection)->Send(std::string(kBytes, 'x'));
  (*connection)->CloseWhenSent(BootNow());
  loop_thread thread(&loop);
  Poco::Net::StreamSocket from = server.acceptConnection();
  BOOST_TEST(ReadSlowly(&from) == kBytes);
}

// Otherwise it would keep its answer in memory for good.
BOOST_AUTO_TEST_CASE(a_caller_that_never_reads_keeps_its_connection) {
  event_loop loop;
  const std::string address = FreeAddress();
  std::atomic<bool> is_closed{false};
  std::shared_ptr<tcp_connection> accepted;
  tcp_listener listener(
      &loop, [&](time_point, const Poco::Net::StreamSocket& from) {
        accepted = tcp_connection::Adopt(
            &loop, from,
            {.user_timeout = seconds(1), .closed_window_timeout = seconds(2)});
        accepted->SetHooks(
            {.on_closed = [&](time_point, close_cause) { is_closed = true; }});
        accepted->Send(std::string(8 * kBytes, 'x'));
      });
  BOOST_REQUIRE(listener.Listen(address));
  loop_thread thread(&loop);
  Poco::Net::StreamSocket caller = ConnectWithSmallBuffer(address);
  BOOST_TEST(harness::WaitUntil([&] { return is_closed.load(); }, seconds(12)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
