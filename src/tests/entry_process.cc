/// @file entry_process.cc Hosted entry as a real process.
#include "tests/entry_process.h"

#include <Poco/Net/SocketAddress.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

#include "network/http_call.h"

namespace fuchsiafall::tests {

namespace {

constexpr int kEntryNumber = 1;
constexpr int kStoreNumber = 2;

std::string ConfigurationOf(const entry_process_options& options, int version) {
  const std::string route =
      R"({"Name":"desk","Host":"desk.example","Prefix":"/","Kind":")" +
      options.route_kind + R"(","TimeoutMs":)" +
      std::to_string(options.route_timeout.count()) +
      R"(,"TargetLatencyMs":400,"Priority":1,"Service":"desk",)"
      R"("Attempts":2,"Anonymous":)" +
      (options.key.empty() ? "true" : "false") +
      R"(,"Resumable":false,"TargetGapMs":300,"AllowedRegions":[]})";
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         (options.has_route ? route : "") +
         R"(],"Services":[{"Name":"desk"}],"Limits":{"MaxHeaderBytes":16384,)"
         R"("MaxBodyBytes":)" +
         std::to_string(options.max_body_bytes) + R"(,"HeaderTimeoutMs":)" +
         std::to_string(options.header_timeout.count()) +
         R"(,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t","ApiKeys":[)" +
         (options.key.empty() ? "" : '"' + options.key + '"') + "]}]}";
}

}  // namespace

entry_process::entry_process(const entry_process_options& options)
    : network_(options.network),
      directory_(harness::NewDirectory(options.name)),
      store_(&loop_, 1),
      entry_({harness::ProgramDirectory() + "/fuchsiafall", "entry"},
             directory_ + "/entry.log",
             {"FUCHSIAFALL_CONFIG=" + directory_ + "/entry.conf"}) {
  const std::string store_address = IpOf(kStoreNumber) + ":8007";
  BOOST_REQUIRE(store_.Listen(store_address));
  store_.Put("op/config", ConfigurationOf(options, version_));
  const std::string ip = IpOf(kEntryNumber);
  std::ofstream(directory_ + "/entry.conf")
      << "Node=entry\nIp=" << ip
      << "\nZone=a\nRegion=r\nZones.a=r\nInternalPorts=7700,7715\n"
      << "Platform.Address=" << store_address << "\nListen.Front=" << ip
      << ":8005\nListen.Ready=" << ip << ":8002\n"
      << options.settings;
}

std::string entry_process::IpOf(int number) const {
  return network_ + "." + std::to_string(number);
}

std::string entry_process::AddressOfServer(int number) const {
  return IpOf(kStoreNumber + number) + ":8001";
}

void entry_process::AddServer(int number) {
  store_.Put("servers/i-" + std::to_string(number),
             R"({"Service":"desk","Address":")" + AddressOfServer(number) +
                 R"(","Zone":"a","Version":"v1","Slots":200,)"
                 R"("State":"ready","ColdRemainingMs":0,"born":1})");
}

void entry_process::Start() {
  thread_ = std::thread([this] { loop_.Run(); });
  entry_.Start();
  const std::string address = IpOf(kEntryNumber) + ":8002";
  BOOST_REQUIRE(harness::WaitUntil(
      [&] {
        return CallHttp({.address = address, .path = "/"}).http_status == 200;
      },
      seconds(10)));
}

void entry_process::Configure(const entry_process_options& options) {
  loop_.Post([this, text = ConfigurationOf(options, ++version_)] {
    store_.Put("op/config", text);
  });
}

void entry_process::Stop() {
  if (!thread_.joinable())
    return;
  entry_.Kill();
  loop_.Stop();
  thread_.join();
}

Poco::Net::StreamSocket entry_process::Connect() const {
  Poco::Net::StreamSocket caller{
      Poco::Net::SocketAddress(IpOf(kEntryNumber) + ":8005")};
  caller.setReceiveTimeout(Poco::Timespan(5, 0));
  return caller;
}

void SendText(Poco::Net::StreamSocket* to, const std::string& text) {
  to->sendBytes(text.data(), static_cast<int>(text.size()));
}

}  // namespace fuchsiafall::tests
