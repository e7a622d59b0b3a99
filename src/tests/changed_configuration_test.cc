/// @file changed_configuration_test.cc Requests at a hosted entry, as a real
/// process, while its configuration changes.
#include <Poco/Exception.h>

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>
#include <vector>

#include "tests/entry_process.h"

namespace fuchsiafall::tests {

namespace {

constexpr char kKey[] = "key1";
constexpr size_t kBodyBytes = 1000;
/// Longer than an entry takes to apply a configuration here.
constexpr milliseconds kApplyTime{400};

entry_process_options BaseOptions() {
  return {.name = "changed-configuration-test",
          .network = "127.38.0",
          .settings = "Limits.LinkMbps=100\nBounds.RetryBudgetExtra=2000\n",
          .key = kKey};
}

/// Entry before a server that takes a while to answer.
class changing_entry {
 public:
  explicit changing_entry(milliseconds answer_time)
      : process_(BaseOptions()),
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
  ~changing_entry() { process_.Stop(); }
  changing_entry(const changing_entry&) = delete;
  changing_entry& operator=(const changing_entry&) = delete;

  entry_process& Process() { return process_; }

 private:
  entry_process process_;
  http_listener server_;
};

std::string HeadText(size_t id) {
  return "POST /seat HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " +
         std::to_string(id) + "\r\nAuthorization: Bearer " + kKey +
         "\r\nDeadline-Ms: 3000\r\nContent-Length: " +
         std::to_string(kBodyBytes) + "\r\n\r\n";
}

/// Receives a short answer; empty if the connection ends without one.
std::string ReceiveAnswer(Poco::Net::StreamSocket* caller) {
  std::array<char, 4096> buffer{};
  try {
    const int count = caller->receiveBytes(buffer.data(), buffer.size());
    return {buffer.data(), static_cast<size_t>(count)};
  } catch (const Poco::Exception&) {
    return "";
  }
}

using change = std::function<void(entry_process_options*)>;

const std::vector<change>& Changes() {
  static const std::vector<change> changes = {
      [](entry_process_options* to) { to->has_route = false; },
      [](entry_process_options* to) { to->key = "other"; },
      [](entry_process_options* to) { to->max_body_bytes = 10; },
      [](entry_process_options* to) { to->route_timeout = milliseconds(100); },
      [](entry_process_options* to) { to->header_timeout = milliseconds(50); },
      [](entry_process_options* to) { to->route_kind = "idempotent"; }};
  return changes;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(changed_configuration_suite)

// A whole request in hand when its route, its key, a limit or its timeout
// changed got neither an answer nor a refusal.
BOOST_AUTO_TEST_CASE(a_change_leaves_a_request_in_hand_without_an_answer) {
  changing_entry entry(2 * kApplyTime);
  size_t id = 0;
  for (const change& apply : Changes()) {
    for (const bool is_body_late : {false, true}) {
      for (const bool has_signal : {false, true}) {
        auto caller = entry.Process().Connect();
        const std::string body(kBodyBytes, 'x');
        const size_t early = is_body_late ? kBodyBytes / 2 : kBodyBytes;
        SendText(&caller, HeadText(++id) + body.substr(0, early));
        std::this_thread::sleep_for(milliseconds(50));
        entry_process_options changed = BaseOptions();
        apply(&changed);
        // Two changes may be read at once.
        entry.Process().Configure(BaseOptions());
        entry.Process().Configure(changed);
        if (has_signal)
          entry.Process().Process().Signal(SIGHUP);
        std::this_thread::sleep_for(kApplyTime);
        if (is_body_late)
          SendText(&caller, body.substr(early));
        const std::string answer = ReceiveAnswer(&caller);
        BOOST_TEST(answer.starts_with("HTTP/1.1 "), id);
        // What was passed on before the change is answered by its server.
        if (!is_body_late)
          BOOST_TEST(answer.ends_with("done"), answer);
        entry.Process().Configure(BaseOptions());
        std::this_thread::sleep_for(kApplyTime);
      }
    }
  }
}

// The same on kept connections while configurations follow one another.
BOOST_AUTO_TEST_CASE(a_storm_of_changes_leaves_requests_without_an_answer) {
  constexpr milliseconds kInterval{55};  // 18 a second.
  constexpr int kConfigurations = 70;
  changing_entry entry(milliseconds(60));
  std::atomic<bool> is_over = false;
  std::atomic<size_t> answered = 0;
  std::atomic<size_t> unanswered = 0;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      auto caller = entry.Process().Connect();
      for (size_t turn = 0; !is_over; ++turn) {
        std::string answer;
        try {
          SendText(&caller,
                   HeadText(i * 100000 + turn) + std::string(kBodyBytes, 'x'));
          answer = ReceiveAnswer(&caller);
        } catch (const Poco::Exception&) {
          answer.clear();
        }
        answer.starts_with("HTTP/1.1 ") ? ++answered : ++unanswered;
        if (answer.empty() || answer.find("Connection: close") != answer.npos)
          caller = entry.Process().Connect();
      }
    });
  }
  for (int i = 0; i < kConfigurations; ++i) {
    entry_process_options changed = BaseOptions();
    Changes()[static_cast<size_t>(i) % Changes().size()](&changed);
    entry.Process().Configure(changed);
    entry.Process().Configure(BaseOptions());
    if (i % 5 == 0)
      entry.Process().Process().Signal(SIGHUP);
    std::this_thread::sleep_for(kInterval);
  }
  is_over = true;
  for (auto& caller : callers)
    caller.join();
  BOOST_TEST_MESSAGE(answered << " answered, " << unanswered << " not");
  BOOST_TEST(answered > 100u);
  BOOST_TEST(unanswered == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
