/// @file planned_stop_test.cc Tests of planned stops of a hosted entry, as a
/// real process before a store and a backend server on loopback.
#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "tests/entry_process.h"

namespace fuchsiafall::tests {

namespace {

constexpr seconds kExitTimeout{10};

/// Entry process with its store and a backend server that takes a while to
/// answer.
class stopping_entry {
 public:
  explicit stopping_entry(milliseconds answer_time)
      : process_({.name = "planned-stop-test",
                  .network = "127.36.0",
                  .settings = "Limits.LinkMbps=100\n"
                              "Bounds.RetryBudgetExtra=200\n"}),
        server_(&process_.Loop(),
                {},
                {.on_request =
                     [this, answer_time](time_point now,
                                         const auto& from,
                                         const http_request& request) {
                       auto head = MakeAnswerHead(200);
                       head.set("Request-Id",
                                request.head.get("Request-Id", ""));
                       head.set("Response-Seal", "1.2.3");
                       process_.Loop().StartTimer(
                           now + answer_time, [from, head](time_point at) {
                             from->Answer(at, head, "done");
                           });
                     },
                 .on_disconnected = [](time_point, auto*) {}}) {
    BOOST_REQUIRE(server_.Listen(process_.AddressOfServer(1)));
    process_.AddServer(1);
    process_.Start();
  }
  ~stopping_entry() { process_.Stop(); }
  stopping_entry(const stopping_entry&) = delete;
  stopping_entry& operator=(const stopping_entry&) = delete;

  void Signal(int signal) { process_.Process().Signal(signal); }
  std::optional<int> Wait() { return process_.Process().Wait(kExitTimeout); }
  Poco::Net::StreamSocket Connect() const { return process_.Connect(); }

 private:
  entry_process process_;
  http_listener server_;
};

void SendRequest(Poco::Net::StreamSocket* caller, size_t id) {
  SendText(caller, "POST /seat HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " +
                       std::to_string(id) +
                       "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
}

/// Receives an answer, which is short and sent as a whole. Returns an empty
/// text if the connection ends without one.
std::string ReceiveAnswer(Poco::Net::StreamSocket* caller) {
  std::array<char, 1024> buffer{};
  try {
    const int count = caller->receiveBytes(buffer.data(), buffer.size());
    return {buffer.data(), static_cast<size_t>(count)};
  } catch (const Poco::Exception&) {
    return "";
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(planned_stop_suite)

BOOST_AUTO_TEST_CASE(requests_that_arrive_while_an_entry_exits_are_answered) {
  constexpr size_t kCallers = 80;  // More than the loop handles in one round.
  stopping_entry entry(milliseconds(300));
  entry.Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2450));
  std::vector<Poco::Net::StreamSocket> callers;
  while (callers.size() < kCallers)
    callers.push_back(entry.Connect());
  std::this_thread::sleep_for(milliseconds(20));
  // The entry handles what comes in the meantime together with its exit.
  entry.Signal(SIGSTOP);
  while (callers.size() < 2 * kCallers)
    callers.push_back(entry.Connect());
  for (size_t i = 0; i < callers.size(); ++i)
    SendRequest(&callers[i], i);
  std::this_thread::sleep_for(milliseconds(180));
  entry.Signal(SIGCONT);
  const auto answered = std::count_if(
      callers.begin(), callers.end(),
      [](auto& item) { return ReceiveAnswer(&item).starts_with("HTTP/"); });
  BOOST_TEST(answered == static_cast<int>(callers.size()));
  BOOST_TEST((entry.Wait() == 0));
}

BOOST_AUTO_TEST_CASE(a_kept_connection_is_served_after_the_stop_has_begun) {
  stopping_entry entry(milliseconds(20));
  auto caller = entry.Connect();
  SendRequest(&caller, 1);
  BOOST_TEST(ReceiveAnswer(&caller).ends_with("done"));
  entry.Signal(SIGTERM);
  std::this_thread::sleep_for(seconds(1));
  SendRequest(&caller, 2);
  const std::string answer = ReceiveAnswer(&caller);
  BOOST_TEST(answer.ends_with("done"), answer);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  BOOST_TEST((entry.Wait() == 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
