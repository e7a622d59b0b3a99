/// @file entry_process.cc Hosted entry as a real process.
#include "tests/entry_process.h"

#include <Poco/Net/SocketAddress.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

#include "network/http_call.h"

namespace fuchsiafall::tests {

namespace {

constexpr int kProcessNumber = 1;
constexpr int kStoreNumber = 2;
constexpr char kStorePort[] = ":8007";

std::string ConfigurationOf(const entry_process_options& options, int version) {
  const std::string route =
      R"({"Name":"desk","Host":"desk.example","Prefix":"/","Kind":")" +
      options.route_kind + R"(","TimeoutMs":)" +
      std::to_string(options.route_timeout.count()) +
      R"(,"TargetLatencyMs":400,"Priority":1,"Service":"desk",)"
      R"("Attempts":)" +
      std::to_string(options.attempts) + R"(,"Anonymous":)" +
      (options.key.empty() ? "true" : "false") + R"(,"Resumable":)" +
      (options.is_resumable ? "true" : "false") +
      R"(,"TargetGapMs":300,"AllowedRegions":[]})";
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

process_with_store::process_with_store(const std::string& role,
                                       const std::string& name,
                                       std::string network)
    : role_(role),
      network_(std::move(network)),
      directory_(harness::NewDirectory(name)),
      store_(&loop_, 1),
      process_({harness::ProgramDirectory() + "/fuchsiafall", role},
               directory_ + "/" + role + ".log",
               {"FUCHSIAFALL_CONFIG=" + directory_ + "/" + role + ".conf"}) {
  BOOST_REQUIRE(store_.Listen(IpOf(kStoreNumber) + kStorePort));
}

std::string process_with_store::IpOf(int number) const {
  return network_ + "." + std::to_string(number);
}

void process_with_store::WriteSettings(const std::string& lines) const {
  std::ofstream(directory_ + "/" + role_ + ".conf")
      << "Node=" << role_ << "\nIp=" << IpOf(kProcessNumber)
      << "\nZone=a\nRegion=r\nZones.a=r\nInternalPorts=7700,7715\n"
      << "Platform.Address=" << IpOf(kStoreNumber) << kStorePort << "\n"
      << lines;
}

void process_with_store::Start() {
  thread_ = std::thread([this] { loop_.Run(); });
  process_.Start();
}

void process_with_store::Stop() {
  if (!thread_.joinable())
    return;
  process_.Kill();
  loop_.Stop();
  thread_.join();
}

entry_process::entry_process(const entry_process_options& options)
    : process_with_store("entry", options.name, options.network) {
  Store().Put("op/config", ConfigurationOf(options, version_));
  const std::string ip = IpOf(kProcessNumber);
  WriteSettings("Listen.Front=" + ip + ":8005\nListen.Ready=" + ip + ":8002\n" +
                options.settings);
}

std::string entry_process::AddressOfServer(int number) const {
  return IpOf(kStoreNumber + number) + ":8001";
}

void entry_process::AddServer(int number) {
  Store().Put("servers/i-" + std::to_string(number),
              R"({"Service":"desk","Address":")" + AddressOfServer(number) +
                  R"(","Zone":"a","Version":"v1","Slots":200,)"
                  R"("State":"ready","ColdRemainingMs":0,"born":1})");
}

void entry_process::Start() {
  process_with_store::Start();
  const std::string address = IpOf(kProcessNumber) + ":8002";
  BOOST_REQUIRE(harness::WaitUntil(
      [&] {
        return CallHttp({.address = address, .path = "/"}).http_status == 200;
      },
      seconds(10)));
}

void entry_process::Configure(const entry_process_options& options) {
  Loop().Post([this, text = ConfigurationOf(options, ++version_)] {
    Store().Put("op/config", text);
  });
}

std::string entry_process::Address() const {
  return IpOf(kProcessNumber) + ":8005";
}

Poco::Net::StreamSocket entry_process::Connect() const {
  Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(Address())};
  caller.setReceiveTimeout(Poco::Timespan(5, 0));
  return caller;
}

void SendText(Poco::Net::StreamSocket* to, const std::string& text) {
  to->sendBytes(text.data(), static_cast<int>(text.size()));
}

}  // namespace fuchsiafall::tests
