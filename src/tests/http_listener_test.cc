/// @file http_listener_test.cc Tests of the HTTP server and of its connections,
/// with a caller on loopback that writes raw bytes.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "network/http_listener.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr milliseconds kTestTime{100};
constexpr milliseconds kRound{20};
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

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

/// Listener with one caller that writes while the loop does not run. Requests
/// are answered with 200.
struct blocking_caller_fixture {
  blocking_caller_fixture() {
    const std::string address = FreeAddress();
    BOOST_REQUIRE(listener.Listen(address));
    peer.connect(Poco::Net::SocketAddress(address));
    Run();
  }
  void Run() {
    loop.StartTimer(BootNow() + kRound, [this](time_point) { loop.Stop(); });
    loop.Run();
  }
  void Send(const std::string& bytes) {
    peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::this_thread::sleep_for(milliseconds(1));
  }

  /// Reads what has arrived.
  /// @return The bytes, with "reset" after them if the connection was reset.
  std::string Receive() {
    std::string received(16384, '\0');
    size_t size = 0;
    peer.setReceiveTimeout(Poco::Timespan(0, 200000));
    try {
      while (int count =
                 peer.receiveBytes(received.data() + size,
                                   static_cast<int>(received.size() - size))) {
        size += static_cast<size_t>(count);
      }
    } catch (const Poco::TimeoutException&) {
      return received.substr(0, size);
    } catch (const Poco::Exception&) {
      return received.substr(0, size) + "reset";
    }
    return received.substr(0, size);
  }

  event_loop loop;
  int requests = 0;
  int refusals = 0;
  int closes = 0;
  size_t answer_bytes = 10;
  bool stops_in_answer = false;
  http_listener listener{
      &loop,
      {},
      {.on_request =
           [this](time_point now, const auto& from, http_request&&) {
             ++requests;
             if (stops_in_answer && requests == 1) {
               from->BeginChunks(MakeAnswerHead(200));
               listener.CloseWhenIdle();
               from->EndChunks(now);
               return;
             }
             from->Answer(now, MakeAnswerHead(200),
                          std::string(answer_bytes, 'x'));
           },
       .on_disconnected = [](time_point, http_server_connection*) {},
       .on_refused =
           [this](time_point, int, const std::string&) { ++refusals; },
       .on_close = [this](time_point, listener_close, bool) { ++closes; }}};
  Poco::Net::StreamSocket peer;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_listener_suite)

BOOST_AUTO_TEST_CASE(a_shorter_idle_time_does_not_end_a_wait_begun_before_it) {
  blocking_caller_fixture fixture;
  fixture.listener.SetLimits({.idle_timeout = milliseconds(1000)});
  fixture.listener.EnforceTimeouts(BootNow() + seconds(14));
  BOOST_TEST(fixture.closes == 0);
  fixture.listener.EnforceTimeouts(BootNow() + seconds(16));
  BOOST_TEST(fixture.closes == 1);
}

BOOST_AUTO_TEST_CASE(smaller_limits_do_not_refuse_a_request_in_hand) {
  blocking_caller_fixture fixture;
  fixture.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nA");
  fixture.Run();
  fixture.listener.SetLimits(
      {.body_bytes = 2, .header_timeout = milliseconds(100)});
  fixture.listener.EnforceTimeouts(BootNow() + seconds(2));
  fixture.Send("whole bo");
  fixture.Run();
  BOOST_TEST(fixture.requests == 1);
  BOOST_TEST(fixture.refusals == 0);
}

BOOST_AUTO_TEST_CASE(a_timeout_does_not_close_over_a_request_in_the_socket) {
  for (bool is_stopping : {false, true}) {
    for (size_t sent_before : {size_t{0}, size_t{5}}) {
      blocking_caller_fixture fixture;
      fixture.Send(kRequest.substr(0, sent_before));
      fixture.Run();
      fixture.Send(kRequest.substr(sent_before));
      if (is_stopping)
        fixture.listener.CloseWhenIdle();
      fixture.listener.EnforceTimeouts(BootNow() + seconds(20));
      fixture.Run();
      BOOST_TEST(fixture.requests == 1);
      BOOST_TEST(fixture.refusals == 0);
      BOOST_TEST(fixture.closes == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_refusal_is_not_reset_by_the_rest_of_the_body) {
  blocking_caller_fixture fixture;
  fixture.peer.setSendBufferSize(1 << 20);
  fixture.peer.setBlocking(false);
  fixture.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n" +
               std::string(800000, 'x'));
  fixture.Run();
  fixture.peer.setBlocking(true);
  const std::string received = fixture.Receive();
  BOOST_TEST(received.starts_with("HTTP/1.1 413"));
  BOOST_TEST(received.ends_with("body over the limit\n"));
}

BOOST_AUTO_TEST_CASE(a_listener_waits_a_bounded_time_for_a_last_answer) {
  for (bool peer_closes : {false, true}) {
    blocking_caller_fixture fixture;
    fixture.listener.CloseWhenIdle();
    fixture.Send(kRequest);
    fixture.Run();
    BOOST_TEST(!fixture.listener.IsIdle());
    if (peer_closes)
      fixture.peer.close();
    else
      std::this_thread::sleep_for(milliseconds(1100));
    fixture.Run();
    BOOST_TEST(fixture.listener.IsIdle());
  }
}

BOOST_AUTO_TEST_CASE(a_close_that_no_answer_announced_takes_a_next_request) {
  blocking_caller_fixture fixture;
  fixture.stops_in_answer = true;
  fixture.Send(kRequest);
  fixture.Run();
  fixture.Send(kRequest);
  fixture.Run();
  BOOST_TEST(fixture.requests == 2);
  BOOST_TEST(fixture.Receive().find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_idle_timeout_does_not_cut_an_answer_being_sent) {
  blocking_caller_fixture fixture;
  fixture.answer_bytes = 32U << 20;
  fixture.Send(kRequest);
  fixture.Run();
  fixture.listener.EnforceTimeouts(BootNow() + seconds(20));
  BOOST_TEST(fixture.closes == 0);
}

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

BOOST_AUTO_TEST_CASE(a_caller_that_pipelines_over_the_limit_is_answered) {
  for (bool leaves : {false, true}) {
    event_loop loop;
    std::shared_ptr<http_server_connection> served;
    int disconnected = 0;
    http_listener listener(
        &loop, {},
        {.on_request = [&](time_point, const auto& from,
                           http_request&&) { served = from; },
         .on_disconnected = [&](time_point,
                                http_server_connection*) { ++disconnected; }});
    listener.SetLimits({.header_bytes = 1000, .body_bytes = 1000});
    const std::string address = FreeAddress();
    BOOST_REQUIRE(listener.Listen(address));
    std::string received;
    auto caller = *tcp_connection::Connect(&loop, address, {});
    caller->SetHooks(
        {.on_bytes = [&](time_point, std::string* input) { received = *input; },
         .on_closed = [](time_point, close_cause) {}});
    for (int i = 0; i < 200; ++i)
      caller->Send(kRequest);
    loop.StartTimer(BootNow() + kRound, [&](time_point now) {
      BOOST_TEST(disconnected == 0);
      if (leaves)
        caller->Close();
      else
        served->Answer(now, MakeAnswerHead(200), "x");
    });
    loop.StartTimer(BootNow() + 2 * kRound, [&](time_point) { loop.Stop(); });
    loop.Run();
    BOOST_TEST(received.starts_with("HTTP/1.1 200") == !leaves);
    BOOST_TEST(disconnected == (leaves ? 1 : 0));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_keeps_the_part_read_of_the_next_request) {
  std::string received_targets;
  std::string body;
  event_loop loop;
  http_listener listener(
      &loop, {},
      {.on_request =
           [&](time_point now, const auto& from, http_request&& request) {
             received_targets += request.head.getURI();
             body = request.body;
             from->Answer(now, MakeAnswerHead(503), "leaving\n");
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  const std::string address = FreeAddress();
  BOOST_REQUIRE(listener.Listen(address));
  Poco::Net::StreamSocket peer{Poco::Net::SocketAddress(address)};
  for (const std::string part : {"GET /one HTTP/1.1\r\nHost: h\r\n\r\n"
                                 "POST /two HTTP/1.1\r\nHost: h\r\n"
                                 "Content-Length: 8\r\n\r\npart",
                                 "last"}) {
    peer.sendBytes(part.data(), static_cast<int>(part.size()));
    loop.StartTimer(BootNow() + kRound, [&](time_point) { loop.Stop(); });
    loop.Run();
  }
  BOOST_TEST(received_targets == "/one/two");
  BOOST_TEST(body == "partlast");
}

BOOST_AUTO_TEST_CASE(many_pipelined_requests_do_not_exhaust_the_stack) {
  constexpr int kRequests = 14000;  // About what one read of a socket returns.
  blocking_caller_fixture fixture;
  std::string bytes;
  for (int i = 0; i < kRequests; ++i)
    bytes += "GET / HTTP/1.1\r\n\r\n";
  fixture.peer.setBlocking(false);
  while (!bytes.empty()) {
    const int sent =
        fixture.peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (sent > 0) {
      bytes.erase(0, static_cast<size_t>(sent));
      continue;
    }
    fixture.Run();
  }
  fixture.Run();
  BOOST_TEST(fixture.requests == kRequests);
}

BOOST_AUTO_TEST_CASE(a_listener_with_unsent_answers_is_not_idle) {
  event_loop loop;
  const std::string address = FreeAddress();
  http_listener listener(
      &loop, {},
      {.on_request =
           [](time_point now, const auto& from, http_request&&) {
             from->Answer(now, MakeAnswerHead(200),
                          std::string(32U << 20, 'x'));
           },
       .on_disconnected = [](time_point, http_server_connection*) {}});
  BOOST_REQUIRE(listener.Listen(address));
  BOOST_TEST(listener.IsIdle());
  listener.CloseWhenIdle();
  Poco::Net::StreamSocket peer{Poco::Net::SocketAddress(address)};
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  peer.sendBytes(request.data(), static_cast<int>(request.size()));
  loop.StartTimer(BootNow() + kTestTime, [&](time_point now) {
    listener.EnforceTimeouts(now);
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST(!listener.IsIdle());
}

BOOST_AUTO_TEST_CASE(a_listener_with_part_of_a_request_is_not_idle) {
  for (const char* part : {"GET / HT",
                           "POST / HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 9\r\n\r\npart"}) {
    listener_fixture fixture([](time_point, http_server_connection*) {});
    fixture.Call(part);
    BOOST_TEST(!fixture.listener.IsIdle());
  }
}

BOOST_AUTO_TEST_CASE(a_new_connection_of_a_closing_listener_is_told_to_close) {
  listener_fixture fixture([](time_point now, http_server_connection* to) {
    to->Answer(now, MakeAnswerHead(503), "leaving\n");
  });
  fixture.listener.CloseWhenIdle();
  const std::string received =
      fixture.Call("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(received.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_answer_above_the_bound_of_unsent_bytes_is_whole) {
  constexpr size_t kBodyBytes = 4U << 20;
  listener_fixture fixture([](time_point now, http_server_connection* to) {
    to->Answer(now, MakeAnswerHead(200), std::string(kBodyBytes, 'x'));
  });
  const std::string received =
      fixture.Call("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(received.size() > kBodyBytes);
}

BOOST_AUTO_TEST_CASE(a_stream_with_dropped_bytes_does_not_look_complete) {
  listener_fixture fixture([](time_point now, http_server_connection* to) {
    to->BeginChunks(MakeAnswerHead(200));
    to->SendChunk(std::string(2U << 20, 'x'));
    to->EndChunks(now);
  });
  const std::string received =
      fixture.Call("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const bool looks_complete = received.ends_with(kLastChunk);
  BOOST_TEST(looks_complete == (received.size() > 2U << 20));
}

BOOST_AUTO_TEST_CASE(a_slow_caller_gets_nothing_after_dropped_bytes) {
  event_loop loop;
  const std::string address = FreeAddress();
  std::shared_ptr<tcp_connection> sender;
  bool is_closed = false;
  tcp_listener listener(&loop, [&](time_point,
                                   const Poco::Net::StreamSocket& socket) {
    sender = tcp_connection::Adopt(&loop, socket, {.max_unsent_bytes = 1000});
    sender->SetHooks({.on_bytes = [](time_point, std::string*) {},
                      .on_closed =
                          [&](time_point, close_cause cause) {
                            is_closed = cause == close_cause::kBroken;
                            loop.Stop();
                          }});
    sender->Send(std::string(32U << 20, 'x'));
    sender->Send("dropped");
    sender->Send("after");
  });
  BOOST_REQUIRE(listener.Listen(address));
  // The peer does not read.
  Poco::Net::StreamSocket peer{Poco::Net::SocketAddress(address)};
  loop.StartTimer(BootNow() + kTestTime, [&](time_point) { loop.Stop(); });
  loop.Run();
  BOOST_TEST(is_closed);
}

// Empty lines before a request were read without a limit, and held up others.
BOOST_FIXTURE_TEST_CASE(empty_lines_without_end_are_read_on,
                        blocking_caller_fixture) {
  std::string lines;
  while (lines.size() < 20000)
    lines += "\r\n";
  Send(lines);
  Run();
  BOOST_TEST(refusals == 1);
  BOOST_TEST(Receive().starts_with("HTTP/1.1 400"));
}

BOOST_FIXTURE_TEST_CASE(some_empty_lines_before_a_request_are_refused,
                        blocking_caller_fixture) {
  Send("\r\n\r\n\r");
  Run();
  Send("\nGET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Run();
  BOOST_TEST(requests == 1);
  BOOST_TEST(refusals == 0);
}

// Listeners in two threads counted the ids of their connections together
// without a lock, so that a new connection could replace and close an open one.
BOOST_AUTO_TEST_CASE(listeners_of_two_threads_count_connections_together) {
  event_loop loop;
  std::vector<uint64_t> ids;
  const http_listener_hooks hooks{
      .on_request =
          [&](time_point now, const auto& from, http_request&&) {
            ids.push_back(from->Id());
            from->Answer(now, MakeAnswerHead(200), "");
          },
      .on_disconnected = [](time_point, http_server_connection*) {}};
  http_listener first(&loop, {}, hooks);
  http_listener second(&loop, {}, hooks);
  std::vector<std::shared_ptr<tcp_connection>> callers;
  for (http_listener* listener : {&first, &second}) {
    const std::string address = FreeAddress();
    BOOST_REQUIRE(listener->Listen(address));
    callers.push_back(*tcp_connection::Connect(&loop, address, {}));
    callers.back()->Send(kRequest);
  }
  loop.StartTimer(BootNow() + kRound, [&](time_point) { loop.Stop(); });
  loop.Run();
  BOOST_TEST(ids == std::vector<uint64_t>({1, 1}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
