/// @file standin_func.h Options and shared functions of the stand-ins, which
/// replace systems outside the project in tests.
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
  std::string directory;             ///< Origin: blobs to serve.
  double rate = 1e9;    ///< Origin and proxy groups: bytes per second.
  int lag_ms = 300;     ///< VM list and engine reports: age of their data.
  int cold_limit = 2;   ///< Engine: concurrent calls that it handles cold.
  int max_limit = 16;   ///< Engine: the same while warm; not enforced.
  int warm_after = 8;   ///< Engine: answered calls after which it is warm.
  int load_ms = 200;    ///< Engine: time to load weights it has fetched.
  int prefill_ms = 10;  ///< Engine: time to the first token.
  int token_ms = 5;     ///< Engine: time between tokens.
  int service_ms = 10;  ///< Plain service: duration of a call.
  int delay_ms = 0;     ///< Proxy: one-way delay.
  bool checks_fencing =
      false;  ///< Engine: refuses load orders with an old fencing token.
};

int RunPlatform(const standin_options& options);
int RunOrigin(const standin_options& options);
int RunEngines(const standin_options& options);
int RunPlain(const standin_options& options);
int RunProxy(const standin_options& options);

/// Splits a URI into its path and its query.
std::string SplitQuery(const std::string& uri, query_map* query);
/// Reads a number from a query.
/// @param default_value Result if the query has no such name.
int IntOf(const query_map& query, const std::string& name, int default_value);
double DoubleOf(const query_map& query,
                const std::string& name,
                double default_value);

/// Encodes bytes in Base64, on one line.
std::string EncodeBase64(const std::string& bytes);

/// Resets a connection without an answer, as a crash would.
void BreakConnection(Poco::Net::HTTPServerRequest* request);

/// Starts an HTTP server at ip:port; exits the process if that fails.
std::shared_ptr<Poco::Net::HTTPServer> Serve(const std::string& address,
                                             int threads,
                                             const http_handler& handler);

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

}  // namespace fuchsiafall::standins

#endif  // STANDINS_STANDIN_FUNC_H_
