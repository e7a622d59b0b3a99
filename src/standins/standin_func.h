/// @file standin_func.h Small stand-ins of the systems outside the project, for
/// tests only.
#ifndef STANDINS_STANDIN_FUNC_H_
#define STANDINS_STANDIN_FUNC_H_

#include <Poco/Net/HTTPServerRequest.h>

#include <map>
#include <string>
#include <vector>

#include "network/http_server.h"

namespace fuchsiafall::standins {

using query_map = std::map<std::string, std::string>;

/// Options of a stand-in, as given on its command line.
struct standin_options {
  std::vector<std::string> listen;   ///< ip:port, one for each instance.
  std::vector<std::string> weights;  ///< Origin: NAME:BYTES:CHUNK_BYTES:SEED.
  std::vector<std::string> links;    ///< Proxy: GROUP=LISTEN>TARGET.
  std::string control;               ///< Proxy: ip:port of its control page.
  std::string folder;                ///< Origin: blobs to serve.
  double rate = 1e9;    ///< Origin and proxy groups: bytes per second.
  int lag_ms = 300;     ///< VM list and load reports: age of what they say.
  int cold_limit = 2;   ///< Engine: calls that it bears while cold.
  int most_limit = 16;  ///< Engine: calls that it bears while warm.
  int warm_after = 8;   ///< Engine: calls after which it is warm.
  int load_ms = 200;    ///< Engine: time to load weights that have arrived.
  int prefill_ms = 10;  ///< Engine: time to the first token.
  int token_ms = 5;     ///< Engine: time between tokens.
  int service_ms = 10;  ///< Plain service: time of a call.
  int delay_ms = 0;     ///< Proxy: one-way delay.
  bool checks_fencing =
      false;  ///< Engine: refuses orders with an old fencing number.
};

int RunPlatform(const standin_options& options);
int RunOrigin(const standin_options& options);
int RunEngines(const standin_options& options);
int RunPlain(const standin_options& options);
int RunProxy(const standin_options& options);

/// Splits a path from its query.
std::string SplitQuery(const std::string& uri, query_map* query);
int IntOf(const query_map& query, const std::string& name, int otherwise);
double DoubleOf(const query_map& query,
                const std::string& name,
                double otherwise);

/// Encodes a value of a store, on one line.
std::string EncodeBase64(const std::string& bytes);

/// Ends a connection without an answer, as a crash would.
void BreakConnection(Poco::Net::HTTPServerRequest* request);

/// Opens an HTTP server at ip:port; the process ends when it cannot.
std::shared_ptr<Poco::Net::HTTPServer> Serve(const std::string& address,
                                             int threads,
                                             const http_handler& handler);

/// Waits for a signal to stop.
void WaitForEnd();

}  // namespace fuchsiafall::standins

#endif  // STANDINS_STANDIN_FUNC_H_
