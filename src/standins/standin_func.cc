/// @file standin_func.cc Functions shared by the stand-ins.
#include "standins/standin_func.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace fuchsiafall::standins {

std::string SplitQuery(const std::string& uri, query_map* query) {
  Poco::URI parsed(uri);
  for (const auto& [name, value] : parsed.getQueryParameters())
    (*query)[name] = value;
  return parsed.getPath();
}

int IntOf(const query_map& query, const std::string& name, int default_value) {
  auto it = query.find(name);
  return it == query.end() ? default_value : std::atoi(it->second.c_str());
}

double DoubleOf(const query_map& query,
                const std::string& name,
                double default_value) {
  auto it = query.find(name);
  return it == query.end() ? default_value : std::atof(it->second.c_str());
}

std::string EncodeBase64(const std::string& bytes) {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

void BreakConnection(Poco::Net::HTTPServerRequest* request) {
  auto& impl = static_cast<Poco::Net::HTTPServerRequestImpl&>(*request);
  impl.socket().setLinger(true, 0);
  impl.socket().close();
}

std::shared_ptr<Poco::Net::HTTPServer> Serve(const std::string& address,
                                             int threads,
                                             const http_handler& handler) {
  Poco::Net::SocketAddress parsed(address);
  auto server = StartHttpServer(
      {parsed.host().toString(), parsed.port(), threads}, handler);
  if (!server) {
    std::cerr << "stand-in: " << server.LastReason() << '\n';
    std::exit(1);
  }
  return *server;
}

void WaitForStopSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace fuchsiafall::standins
