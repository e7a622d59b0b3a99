/// @file http_exchange_test.cc Tests of the HTTP client against a server on
/// loopback that writes scripted bytes.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "network/async_http_call.h"
#include "network/http_call.h"
#include "network/http_exchange.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

namespace {

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kUntilCloseHead[] = "HTTP/1.1 200 OK\r\n\r\n";
constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr milliseconds kTestTimeout{2000};

std::string WholeAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string Repeat(const std::string& text, size_t bytes) {
  std::string all;
  while (all.size() < bytes)
    all += text;
  return all;
}

/// Server on loopback that answers requests by a script.
class scripted_server {
 public:
  /// Answers one request; those of all connections are counted from 0.
  using script = std::function<void(size_t request, scripted_server*)>;

  scripted_server(event_loop* loop, script answer)
      : address(FreeAddress()),
        loop_(loop),
        answer_(std::move(answer)),
        listener_(loop,
                  [this](time_point, const Poco::Net::StreamSocket& from) {
                    Accept(from);
                  }) {
    BOOST_REQUIRE(listener_.Listen(address));
  }

  /// Sends bytes on the newest connection.
  void Send(const std::string& bytes) { connections.back()->Send(bytes); }
  void Close() { connections.back()->CloseWhenSent(BootNow()); }
  /// Closes the newest connection with a reset.
  void Reset() {
    sockets_.back().setLinger(true, 0);
    connections.back()->Close();
  }

  std::string address;
  std::vector<std::shared_ptr<tcp_connection>> connections;
  size_t requests = 0;
  size_t closed_by_client = 0;

 private:
  void Accept(const Poco::Net::StreamSocket& from) {
    auto made =
        tcp_connection::Adopt(loop_, from, {.max_unsent_bytes = 64U << 20});
    made->SetHooks(
        {.on_bytes =
             [this](time_point, std::string* input) {
               input->clear();
               answer_(requests++, this);
             },
         .on_closed = [this](time_point, close_cause) { ++closed_by_client; }});
    sockets_.push_back(from);
    connections.push_back(std::move(made));
  }

  event_loop* loop_;
  script answer_;
  tcp_listener listener_;
  std::vector<Poco::Net::StreamSocket> sockets_;
};

/// Exchange as its hooks have reported it.
struct recorded_exchange {
  std::string body;
  std::optional<exchange_end> end;
};

struct exchange_fixture {
  explicit exchange_fixture(scripted_server::script script,
                            http_client_pool_options options = {})
      : server(&loop, std::move(script)), pool(&loop, std::move(options)) {}

  /// Makes exchanges one after the other. Each but the first starts in the hook
  /// that ends the one before it.
  void Run(size_t count = 1) {
    loop.Post([this, count] { Start(count); });
    loop.StartTimer(BootNow() + kTestTimeout,
                    [this](time_point) { loop.Stop(); });
    loop.Run();
  }

  void Start(size_t count) {
    if (count == 0) {
      // The server is to notice when its connection is closed.
      loop.StartTimer(BootNow() + milliseconds(20),
                      [this](time_point) { loop.Stop(); });
      return;
    }
    exchanges.emplace_back();
    const size_t index = exchanges.size() - 1;
    exchange_hooks hooks;
    hooks.on_head = [this](time_point, const Poco::Net::HTTPResponse& head) {
      return !skips_answer || !skips_answer(head);
    };
    hooks.on_body = [this, index](time_point, std::string_view bytes) {
      exchanges[index].body += bytes;
    };
    hooks.on_end = [this, index, count](time_point, exchange_end end) {
      exchanges[index].end = end;
      if (before_next)
        before_next();
      Start(count - 1);
    };
    auto acquired = pool.Acquire(BootNow(), server.address);
    BOOST_REQUIRE(acquired);
    last_connection = *acquired;
    last_connection->Start(kRequest, false, std::move(hooks));
  }

  event_loop loop;
  scripted_server server;
  http_client_pool pool;
  std::function<bool(const Poco::Net::HTTPResponse&)> skips_answer;
  std::function<void()> before_next;  ///< Runs after each exchange.
  std::vector<recorded_exchange> exchanges;
  std::shared_ptr<http_client_connection> last_connection;
};

/// Checks that an answer whose bytes never end is given up at a bound.
void CheckEndlessAnswer(const std::string& head, const std::string& repeated) {
  constexpr size_t kSentBytes = 8U << 20;
  exchange_fixture fixture(
      [&](size_t, scripted_server* server) {
        server->Send(head + Repeat(repeated, kSentBytes));
      },
      {.limits = {.answer_bytes = 1U << 20}});
  fixture.skips_answer = [](const Poco::Net::HTTPResponse& answer) {
    return answer.has("Skipped");
  };
  fixture.Run();
  const recorded_exchange& exchange = fixture.exchanges.at(0);
  BOOST_TEST((exchange.end == exchange_end::kMalformed));
  BOOST_TEST(exchange.body.size() <= 1U << 20);
  BOOST_TEST(fixture.server.closed_by_client == 1u);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_exchange_suite)

BOOST_AUTO_TEST_CASE(a_second_copy_of_an_answer_is_not_taken_for_the_next) {
  exchange_fixture fixture([](size_t request, scripted_server* server) {
    const std::string answer = WholeAnswer(std::to_string(request));
    server->Send(request == 0 ? answer + answer : answer);
  });
  fixture.Run(2);
  BOOST_REQUIRE(fixture.exchanges.size() == 2u);
  BOOST_TEST(fixture.exchanges[0].body == "0");
  BOOST_TEST(fixture.exchanges[1].body == "1");
}

BOOST_AUTO_TEST_CASE(
    a_copy_that_waits_in_the_socket_is_not_taken_for_an_answer) {
  exchange_fixture fixture([](size_t request, scripted_server* server) {
    server->Send(WholeAnswer(std::to_string(request)));
  });
  fixture.before_next = [&] { fixture.server.Send(WholeAnswer("0")); };
  fixture.Run(2);
  BOOST_REQUIRE(fixture.exchanges.size() == 2u);
  BOOST_TEST(fixture.exchanges[1].body == "1");
}

BOOST_AUTO_TEST_CASE(a_quiet_connection_is_used_again) {
  exchange_fixture fixture([](size_t request, scripted_server* server) {
    server->Send(WholeAnswer(std::to_string(request)));
  });
  fixture.Run(3);
  BOOST_TEST(fixture.exchanges.back().body == "2");
  BOOST_TEST(fixture.pool.OpenedCount() == 1u);
}

BOOST_AUTO_TEST_CASE(a_connection_with_a_skipped_answer_is_not_used_again) {
  exchange_fixture fixture([](size_t request, scripted_server* server) {
    server->Send(
        "HTTP/1.1 503 Full\r\nSkipped: 1\r\nContent-Length: 0\r\n\r\n" +
        WholeAnswer(std::to_string(request)));
  });
  fixture.skips_answer = [](const Poco::Net::HTTPResponse& answer) {
    return answer.has("Skipped");
  };
  fixture.Run(2);
  BOOST_TEST(fixture.exchanges.back().body == "1");
  BOOST_TEST(fixture.pool.OpenedCount() == 2u);
}

BOOST_AUTO_TEST_CASE(an_excluded_connection_stays_for_other_requests) {
  exchange_fixture fixture([](size_t request, scripted_server* server) {
    server->Send(WholeAnswer(std::to_string(request)));
  });
  fixture.Run(1);
  const auto used = fixture.last_connection;
  BOOST_TEST(used->HasCarriedExchange());
  const time_point now = BootNow();
  const std::string& address = fixture.server.address;
  const auto other = *fixture.pool.Acquire(now, address, {used->Id()});
  BOOST_TEST(other->Id() != used->Id());
  BOOST_TEST(!other->HasCarriedExchange());
  BOOST_TEST((*fixture.pool.Acquire(now, address))->Id() == used->Id());
}

BOOST_AUTO_TEST_CASE(a_head_without_end_is_given_up) {
  CheckEndlessAnswer("HTTP/1.1 200 OK\r\n", "Field: value\r\n");
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_given_up) {
  CheckEndlessAnswer("", "HTTP/1.1 100 Continue\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(a_body_without_length_or_end_is_given_up) {
  CheckEndlessAnswer(kUntilCloseHead, "bytes");
}

BOOST_AUTO_TEST_CASE(chunks_without_end_are_given_up) {
  CheckEndlessAnswer(kChunkedHead, "1;extension=value\r\nx\r\n");
}

BOOST_AUTO_TEST_CASE(trailers_without_end_are_given_up) {
  CheckEndlessAnswer(std::string(kChunkedHead) + "0\r\n", "Field: value\r\n");
}

BOOST_AUTO_TEST_CASE(skipped_answers_without_end_are_given_up) {
  CheckEndlessAnswer(
      "", "HTTP/1.1 503 Full\r\nSkipped: 1\r\nContent-Length: 0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(a_skipped_body_without_end_is_given_up) {
  CheckEndlessAnswer("HTTP/1.1 503 Full\r\nSkipped: 1\r\n\r\n", "bytes");
}

BOOST_AUTO_TEST_CASE(a_length_over_the_bound_is_given_up) {
  CheckEndlessAnswer("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
                     "bytes");
}

namespace {

/// Calls a server that sends parts of an answer of ten bytes at an interval.
/// @return Size of the whole answer; none if it was given up.
std::optional<size_t> ReadInParts(size_t part_count, milliseconds interval) {
  constexpr size_t kPartBytes = 10;
  event_loop loop;
  scripted_server server(&loop, [&](size_t, scripted_server* to) {
    to->Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
    for (size_t i = 1; i <= part_count; ++i)
      loop.StartTimer(BootNow() + interval * i, [to](time_point) {
        to->Send(std::string(kPartBytes, 'x'));
      });
  });
  http_client_pool pool(&loop, {});
  std::optional<size_t> size;
  StartAsyncHttpCall(
      BootNow(), &loop, &pool,
      {.address = server.address,
       .request = kRequest,
       .timeout = milliseconds(200),
       .max_pause = milliseconds(200),
       .on_done = [&](time_point, int status, const std::string& body) {
         if (status == 200)
           size = body.size();
         loop.Stop();
       }});
  loop.StartTimer(BootNow() + kTestTimeout, [&](time_point) { loop.Stop(); });
  loop.Run();
  return size;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_answer_that_stalls_or_trickles_in_is_given_up) {
  BOOST_TEST((ReadInParts(10, milliseconds(10)) == std::optional<size_t>(100)));
  BOOST_TEST(!ReadInParts(5, milliseconds(10)).has_value());
  BOOST_TEST(!ReadInParts(10, milliseconds(100)).has_value());
}

BOOST_AUTO_TEST_CASE(a_blocking_call_gives_up_a_body_without_end) {
  event_loop loop;
  scripted_server server(&loop, [](size_t, scripted_server* to) {
    to->Send(kUntilCloseHead + Repeat("bytes", 8U << 20));
  });
  std::thread serving([&] { loop.Run(); });
  const http_result result = CallHttp({.address = server.address,
                                       .path = "/",
                                       .timeout = milliseconds(300),
                                       .max_body_bytes = 1U << 20});
  loop.Stop();
  serving.join();
  BOOST_TEST((result.status == http_result::status_type::kIncomplete));
  BOOST_TEST(result.body.size() <= 1U << 20);
}

BOOST_AUTO_TEST_CASE(a_fast_sender_is_read_in_bounded_steps) {
  constexpr size_t kSentBytes = 16U << 20;
  event_loop loop;
  Poco::Net::ServerSocket listening{Poco::Net::SocketAddress(FreeAddress())};
  auto reader =
      *tcp_connection::Connect(&loop, listening.address().toString(), {});
  size_t most = 0;
  size_t received = 0;
  reader->SetHooks(
      {.on_bytes =
           [&](time_point, std::string* input) {
             most = std::max(most, input->size());
             received += input->size();
             input->clear();
           },
       .on_closed = [&](time_point, close_cause) { loop.Stop(); }});
  std::thread sender([&] {
    Poco::Net::StreamSocket socket = listening.acceptConnection();
    const std::string bytes(kSentBytes, 'x');
    for (size_t sent = 0; sent < kSentBytes;)
      sent += static_cast<size_t>(socket.sendBytes(
          bytes.data() + sent, static_cast<int>(kSentBytes - sent)));
  });
  loop.StartTimer(BootNow() + kTestTimeout, [&](time_point) { loop.Stop(); });
  loop.Run();
  sender.join();
  BOOST_TEST(received == kSentBytes);
  BOOST_TEST(most <= 1U << 18);
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_ends_with_its_connection) {
  exchange_fixture fixture([](size_t, scripted_server* server) {
    server->Send(std::string(kUntilCloseHead) + "whole");
    server->Close();
  });
  fixture.Run();
  BOOST_TEST((fixture.exchanges.at(0).end == exchange_end::kComplete));
  BOOST_TEST(fixture.exchanges.at(0).body == "whole");
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_that_is_reset_is_broken) {
  exchange_fixture fixture([](size_t, scripted_server* server) {
    server->Send(std::string(kUntilCloseHead) + "part");
    server->Reset();
  });
  fixture.Run();
  BOOST_TEST((fixture.exchanges.at(0).end == exchange_end::kBroken));
}

BOOST_AUTO_TEST_CASE(an_answer_whose_head_is_cut_is_no_answer) {
  const std::string heads[] = {
      "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 600\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"};
  for (const std::string& head : heads) {
    for (size_t length = 0; length < head.size(); ++length) {
      for (bool is_reset : {false, true}) {
        exchange_fixture fixture([&](size_t, scripted_server* server) {
          server->Send(head.substr(0, length));
          if (is_reset)
            return server->Reset();
          server->Close();
        });
        fixture.Run();
        const recorded_exchange& exchange = fixture.exchanges.at(0);
        BOOST_TEST((exchange.end == exchange_end::kBroken), length);
        BOOST_TEST(exchange.body.empty(), length);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_blocking_call_takes_a_cut_head_for_no_answer) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
      "Content-Length: 600\r\n\r\n";
  for (size_t length = 0; length < head.size(); ++length) {
    event_loop loop;
    scripted_server server(&loop, [&](size_t, scripted_server* to) {
      to->Send(head.substr(0, length));
      to->Close();
    });
    std::thread serving([&] { loop.Run(); });
    const http_result result = CallHttp(
        {.address = server.address, .path = "/", .timeout = milliseconds(300)});
    loop.Stop();
    serving.join();
    BOOST_TEST((result.status == http_result::status_type::kIncomplete),
               head.substr(0, length));
  }
}

BOOST_AUTO_TEST_CASE(a_blocking_call_takes_cut_chunks_for_no_answer) {
  const std::string answer = std::string(kChunkedHead) + "4\r\npart\r\n";
  for (const std::string& end :
       {std::string(), std::string("4\r\npa"), std::string("0\r\n")}) {
    event_loop loop;
    scripted_server server(&loop, [&](size_t, scripted_server* to) {
      to->Send(answer + end);
      to->Close();
    });
    std::thread serving([&] { loop.Run(); });
    const http_result result = CallHttp(
        {.address = server.address, .path = "/", .timeout = milliseconds(300)});
    loop.Stop();
    serving.join();
    BOOST_TEST((result.status == http_result::status_type::kIncomplete), end);
  }
}

BOOST_AUTO_TEST_CASE(a_blocking_call_reads_whole_answers) {
  const std::string whole_answers[] = {
      WholeAnswer("body"),
      "HTTP/1.1 100 Continue\r\n\r\n" + WholeAnswer("body"),
      std::string(kChunkedHead) + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
      std::string(kUntilCloseHead) + "body"};
  for (const std::string& answer : whole_answers) {
    event_loop loop;
    scripted_server server(&loop, [&](size_t, scripted_server* to) {
      to->Send(answer);
      to->Close();
    });
    std::thread serving([&] { loop.Run(); });
    const http_result result = CallHttp(
        {.address = server.address, .path = "/", .timeout = milliseconds(300)});
    loop.Stop();
    serving.join();
    BOOST_TEST((result.status == http_result::status_type::kAnswered), answer);
    BOOST_TEST(result.http_status == 200);
    BOOST_TEST(result.body == "body");
  }
}

// Servers in trouble sent answers whose status was 000.
BOOST_AUTO_TEST_CASE(an_answer_with_status_000_is_no_answer_on_any_path) {
  const std::string zero = "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::string& answer :
       {zero, interim + zero, zero + WholeAnswer("b")}) {
    auto send = [&](size_t, scripted_server* to) { to->Send(answer); };
    exchange_fixture fixture(send);
    fixture.Run();
    BOOST_TEST((fixture.exchanges.at(0).end == exchange_end::kMalformed),
               answer);
    BOOST_TEST(fixture.exchanges.at(0).body.empty());

    event_loop loop;
    scripted_server server(&loop, send);
    http_client_pool pool(&loop, {});
    int status = -1;
    StartAsyncHttpCall(
        BootNow(), &loop, &pool,
        {.address = server.address,
         .request = kRequest,
         .timeout = kTestTimeout,
         .on_done = [&](time_point, int given, const std::string&) {
           status = given;
           loop.Stop();
         }});
    loop.Run();
    BOOST_TEST(status == 0, answer);  // None.

    event_loop blocking_loop;
    scripted_server blocking(&blocking_loop, send);
    std::thread serving([&] { blocking_loop.Run(); });
    const http_result result = CallHttp({.address = blocking.address,
                                         .path = "/",
                                         .timeout = milliseconds(300)});
    blocking_loop.Stop();
    serving.join();
    BOOST_TEST((result.status == http_result::status_type::kIncomplete),
               answer);
  }
}

BOOST_AUTO_TEST_CASE(chunks_that_end_with_their_connection_are_broken) {
  exchange_fixture fixture([](size_t, scripted_server* server) {
    server->Send(std::string(kChunkedHead) + "4\r\npart\r\n");
    server->Close();
  });
  fixture.Run();
  BOOST_TEST((fixture.exchanges.at(0).end == exchange_end::kBroken));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
