/// @file planned_stop_test.cc Tests of planned stops of a hosted entry, as a
/// real process before a store and a backend server on loopback.
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <thread>

#include "harness/fleet.h"
#include "network/http_call.h"
#include "tests/soak/store_standin.h"

namespace fuchsiafall::tests {

namespace {

constexpr char kEntryIp[] = "127.36.0.1";
constexpr char kCallersAddress[] = "127.36.0.1:8005";
constexpr char kReadinessAddress[] = "127.36.0.1:8002";
constexpr char kStoreAddress[] = "127.36.0.2:8007";
constexpr char kServerAddress[] = "127.36.0.3:8001";
constexpr seconds kExitTimeout{10};

constexpr char kConfiguration[] =
    R"({"Version":1,"Routes":[{"Name":"book","Host":"desk.example",)"
    R"("Prefix":"/","Kind":"non_idempotent","TimeoutMs":3000,)"
    R"("TargetLatencyMs":400,"Priority":1,"Service":"desk","Attempts":2,)"
    R"("Anonymous":true,"Resumable":false,"TargetGapMs":300,)"
    R"("AllowedRegions":[]}],"Services":[{"Name":"desk"}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]})";

/// Entry process with its store and a backend server that takes a while to
/// answer.
class stopping_entry {
 public:
  explicit stopping_entry(milliseconds answer_time)
      : directory_(harness::NewDirectory("planned-stop-test")),
        store_(&loop_, 1),
        server_(&loop_,
                {},
                {.on_request =
                     [this, answer_time](time_point now,
                                         const auto& from,
                                         const http_request& request) {
                       auto head = MakeAnswerHead(200);
                       head.set("Request-Id",
                                request.head.get("Request-Id", ""));
                       head.set("Response-Seal", "1.2.3");
                       loop_.StartTimer(now + answer_time,
                                        [from, head](time_point at) {
                                          from->Answer(at, head, "done");
                                        });
                     },
                 .on_disconnected = [](time_point, auto*) {}}),
        entry_({harness::ProgramDirectory() + "/fuchsiafall", "entry"},
               directory_ + "/entry.log",
               {"FUCHSIAFALL_CONFIG=" + directory_ + "/entry.conf"}) {
    BOOST_REQUIRE(store_.Listen(kStoreAddress));
    BOOST_REQUIRE(server_.Listen(kServerAddress));
    store_.Put("op/config", kConfiguration);
    store_.Put("servers/i-1",
               std::string(R"({"Service":"desk","Address":")") +
                   kServerAddress +
                   R"(","Zone":"a","Version":"v1","Slots":200,)"
                   R"("State":"ready","ColdRemainingMs":0,"born":1})");
    std::ofstream(directory_ + "/entry.conf")
        << "Node=entry\nIp=" << kEntryIp
        << "\nZone=a\nRegion=r\nZones.a=r\nInternalPorts=7700,7715\n"
        << "Limits.LinkMbps=100\nPlatform.Address=" << kStoreAddress
        << "\nBounds.RetryBudgetExtra=200\nListen.Front=" << kCallersAddress
        << "\nListen.Ready=" << kReadinessAddress << "\n";
    thread_ = std::thread([this] { loop_.Run(); });
    entry_.Start();
    BOOST_REQUIRE(harness::WaitUntil([] { return IsReady(); }, seconds(10)));
  }
  ~stopping_entry() {
    entry_.Kill();
    loop_.Stop();
    thread_.join();
  }
  stopping_entry(const stopping_entry&) = delete;
  stopping_entry& operator=(const stopping_entry&) = delete;

  void Signal(int signal) const { entry_.Signal(signal); }
  std::optional<int> Wait() { return entry_.Wait(kExitTimeout); }
  static bool IsReady() {
    const auto result = CallHttp({.address = kReadinessAddress, .path = "/"});
    return result.http_status == 200;
  }

 private:
  std::string directory_;
  event_loop loop_;
  soak::store_standin store_;
  http_listener server_;
  harness::child_process entry_;
  std::thread thread_;
};

Poco::Net::StreamSocket Connect() {
  Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(kCallersAddress)};
  caller.setReceiveTimeout(Poco::Timespan(5, 0));
  return caller;
}

void SendRequest(Poco::Net::StreamSocket* caller, size_t id) {
  const std::string request =
      "POST /seat HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " +
      std::to_string(id) + "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
  caller->sendBytes(request.data(), static_cast<int>(request.size()));
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
    callers.push_back(Connect());
  std::this_thread::sleep_for(milliseconds(20));
  // The entry handles what comes in the meantime together with its exit.
  entry.Signal(SIGSTOP);
  while (callers.size() < 2 * kCallers)
    callers.push_back(Connect());
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
  auto caller = Connect();
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
