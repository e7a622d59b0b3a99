/// @file endless_answer_test.cc Memory of a hosted entry, as a real process,
/// before a server whose answers do not end and callers that do not read.

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <thread>

#include "tests/entry_process.h"

namespace fuchsiafall::tests {

namespace {

constexpr size_t kMemoryMb = 182;  // As in the settings of the platform.
constexpr size_t kCallers = 300;
constexpr size_t kBurstBytes = 1U << 18;

/// Server that sends bytes without end to each request.
class endless_server {
 public:
  /// @param start What it sends first, with the id of the request in place of
  /// "ID".
  endless_server(event_loop* loop, std::string start, std::string burst)
      : loop_(loop),
        start_(std::move(start)),
        burst_(std::move(burst)),
        listener_(loop,
                  [this](time_point, const Poco::Net::StreamSocket& from) {
                    Accept(from);
                  }) {}
  outcome<done> Listen(const std::string& address) {
    SendMore();
    return listener_.Listen(address);
  }

 private:
  void Accept(const Poco::Net::StreamSocket& from) {
    auto made = tcp_connection::Adopt(loop_, from, {});
    tcp_connection* raw = made.get();
    made->SetHooks(
        {.on_bytes =
             [this, raw](time_point, std::string* input) {
               const size_t end = FindHeadEnd(*input);
               if (end == std::string::npos)
                 return;
               auto head =
                   ParseRequestHead(std::string_view(*input).substr(0, end));
               input->clear();
               std::string text = start_;
               const size_t at = text.find("ID");
               if (at != text.npos)
                 text.replace(at, 2, head->get("Request-Id", ""));
               raw->Send(text);
               busy_.insert(raw);
             },
         .on_closed = [this, raw](time_point,
                                  close_cause) { busy_.erase(raw); }});
    connections_.push_back(made);
  }
  void SendMore() {
    for (tcp_connection* item : std::set<tcp_connection*>(busy_)) {
      if (!item->HasUnsent())
        item->Send(burst_);
    }
    loop_->StartTimer(BootNow() + milliseconds(2),
                      [this](time_point) { SendMore(); });
  }

  event_loop* loop_;
  std::string start_;
  std::string burst_;
  tcp_listener listener_;
  std::vector<std::shared_ptr<tcp_connection>> connections_;
  std::set<tcp_connection*> busy_;
};

/// Entry process before a server that sends without end and a sound one.
class pressed_entry {
 public:
  /// @param start First bytes of the endless server; empty for no such server.
  explicit pressed_entry(const std::string& start,
                         const std::string& burst = "")
      : process_({.name = "endless-answer-test",
                  .network = "127.37.0",
                  .route_kind = "idempotent",
                  .route_timeout = milliseconds(4000),
                  .max_body_bytes = 4U << 20,
                  .header_timeout = milliseconds(20000),
                  .settings = "Limits.LinkMbps=700\nLimits.MemoryMb=" +
                              std::to_string(kMemoryMb) +
                              "\nBounds.RetryBudgetExtra=20000\n"}),
        endless_(&process_.Loop(), start, burst),
        sound_(&process_.Loop(),
               {},
               {.on_request =
                    [this](time_point now,
                           const auto& from,
                           const http_request& request) {
                      auto head = MakeAnswerHead(200);
                      head.set("Request-Id",
                               request.head.get("Request-Id", ""));
                      head.set("Response-Seal", "1.2.3");
                      from->Answer(now, head, std::string(answer_bytes, 'x'));
                    },
                .on_disconnected = [](time_point, auto*) {}}) {
    BOOST_REQUIRE(endless_.Listen(process_.AddressOfServer(1)));
    BOOST_REQUIRE(sound_.Listen(process_.AddressOfServer(2)));
    if (!start.empty())
      process_.AddServer(1);
    process_.AddServer(2);
    process_.Start();
  }
  ~pressed_entry() { process_.Stop(); }
  pressed_entry(const pressed_entry&) = delete;
  pressed_entry& operator=(const pressed_entry&) = delete;

  bool IsRunning() { return process_.Process().IsRunning(); }
  Poco::Net::StreamSocket Connect() const { return process_.Connect(); }
  /// Returns the largest memory that the process had, in MB.
  size_t PeakMemoryMb() {
    std::ifstream status("/proc/" + std::to_string(process_.Process().Pid()) +
                         "/status");
    std::string word;
    size_t kilobytes = 0;
    while (status >> word) {
      if (word == "VmHWM:")
        status >> kilobytes;
    }
    BOOST_TEST(kilobytes > 0u);
    BOOST_TEST_MESSAGE("peak of " << kilobytes / 1024 << " MB");
    return kilobytes / 1024;
  }

  std::atomic<size_t> answer_bytes = 800;

 private:
  entry_process process_;
  endless_server endless_;
  http_listener sound_;
};

std::string RequestText(size_t id) {
  return "GET /r HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " +
         std::to_string(id) + "\r\nDeadline-Ms: 4000\r\n\r\n";
}

/// Sends a request of each caller, and receives the starts of the answers.
/// @return Number of those with status 200.
size_t CountServed(const pressed_entry& entry) {
  std::vector<Poco::Net::StreamSocket> callers;
  while (callers.size() < kCallers)
    callers.push_back(entry.Connect());
  for (size_t i = 0; i < callers.size(); ++i)
    SendText(&callers[i], RequestText(i));
  size_t served = 0;
  for (auto& caller : callers) {
    std::array<char, 12> start{};
    try {
      const int count = caller.receiveBytes(start.data(), start.size());
      const std::string text(start.data(), static_cast<size_t>(count));
      served += text == "HTTP/1.1 200" ? 1 : 0;
    } catch (const Poco::Exception&) {
    }
  }
  return served;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endless_answer_suite)

// One of several servers that sent bodies without end made the entry hold up to
// 16 MiB for each caller.
BOOST_AUTO_TEST_CASE(bodies_without_end_exhaust_the_memory) {
  pressed_entry entry(
      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: 1.2.3\r\n\r\n",
      std::string(kBurstBytes, 'x'));
  // The callers of bodies given up get the answer of the other server.
  BOOST_TEST(CountServed(entry) >= kCallers * 9 / 10);
  BOOST_TEST(entry.IsRunning());
  BOOST_TEST(entry.PeakMemoryMb() < kMemoryMb);
}

// The same with heads, as many as there are connections.
BOOST_AUTO_TEST_CASE(heads_without_end_exhaust_the_memory) {
  pressed_entry entry("HTTP/1.1 200 OK\r\nX: ", std::string(kBurstBytes, 'x'));
  BOOST_TEST(CountServed(entry) >= kCallers * 9 / 10);
  BOOST_TEST(entry.IsRunning());
  BOOST_TEST(entry.PeakMemoryMb() < kMemoryMb);
}

// Callers may send bodies up to the limit of one request, all at once.
BOOST_AUTO_TEST_CASE(large_requests_exhaust_the_memory) {
  pressed_entry entry("");
  constexpr size_t kBodyBytes = 4000000;
  const std::string part(1000000, 'x');
  std::vector<Poco::Net::StreamSocket> callers;
  std::vector<std::thread> senders;
  for (size_t i = 0; i < 100; ++i) {
    callers.push_back(entry.Connect());
    senders.emplace_back([&part, i, caller = callers.back()]() mutable {
      try {
        SendText(&caller,
                 "POST /r HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " +
                     std::to_string(i) + "\r\nContent-Length: " +
                     std::to_string(kBodyBytes) + "\r\n\r\n");
        for (int j = 0; j < 3; ++j)
          SendText(&caller, part);
      } catch (const Poco::Exception&) {
        return;  // Refused, and closed meanwhile.
      }
    });
  }
  for (auto& sender : senders)
    sender.join();
  std::this_thread::sleep_for(seconds(1));
  BOOST_TEST(CountServed(entry) >= kCallers * 9 / 10);
  BOOST_TEST(entry.IsRunning());
  BOOST_TEST(entry.PeakMemoryMb() < kMemoryMb);
}

// Callers that do not read made the entry hold a whole answer for each.
BOOST_AUTO_TEST_CASE(callers_that_do_not_read_exhaust_the_memory) {
  pressed_entry entry("");
  entry.answer_bytes = 8U << 20;
  std::vector<Poco::Net::StreamSocket> callers;
  for (size_t i = 0; i < 100; ++i) {
    callers.push_back(entry.Connect());
    callers.back().setReceiveBufferSize(4096);
    SendText(&callers.back(), RequestText(i));
  }
  std::this_thread::sleep_for(seconds(4));
  entry.answer_bytes = 800;
  BOOST_TEST(CountServed(entry) >= kCallers * 9 / 10);
  BOOST_TEST(entry.IsRunning());
  BOOST_TEST(entry.PeakMemoryMb() < kMemoryMb);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
