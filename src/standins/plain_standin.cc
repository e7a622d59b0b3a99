/// @file plain_standin.cc Stand-in of a plain service that counts its runs by
/// idempotency key.
#include <Poco/JSON/Object.h>

#include <iostream>
#include <sstream>
#include <thread>

#include "hash_func.h"
#include "standins/standin_func.h"
#include "time_type.h"

namespace fuchsiafall::standins {

namespace {

constexpr int kThreads = 128;

/// Plain service. Its instances share one record of runs, as they would share a
/// database.
class plain_standin {
 public:
  explicit plain_standin(const standin_options& options) : options_(options) {}

  void Answer(const std::string& address,
              Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) {
    query_map query;
    const std::string path = SplitQuery(request.getURI(), &query);
    if (path == "/control/runs")
      return AnswerRuns(&response);
    if (path.starts_with("/control/"))
      return AnswerControl(query, &response);
    if (path == "/admin/state") {
      return AnswerHttp(&response, 200, "application/json",
                        "{\"start_id\":\"" + address +
                            "\",\"stage\":\"ready\",\"warm\":true}");
    }
    outcome<std::string> body = ReadBody(&request, 4 << 20);
    if (!body)
      return;
    const std::string key = request.get("Idempotency-Key", "");
    uint64_t run = 0;
    int service_ms = 0;
    {
      std::lock_guard lock(mutex_);
      run = key.empty() ? ++runs_without_key_ : ++runs_[key];
      service_ms = service_ms_ >= 0 ? service_ms_ : options_.service_ms;
    }
    std::this_thread::sleep_for(milliseconds(service_ms));
    const std::string tag = ToHex(DigestOf(*body).value).substr(0, 16);
    AnswerHttp(&response, 200, "application/json",
               "{\"tag\":\"" + tag + "\",\"run\":" + std::to_string(run) + "}");
  }

 private:
  void AnswerRuns(Poco::Net::HTTPServerResponse* response) {
    std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [key, count] : runs_)
      text += key + " " + std::to_string(count) + "\n";
    AnswerHttp(response, 200, "text/plain", text);
  }

  void AnswerControl(const query_map& query,
                     Poco::Net::HTTPServerResponse* response) {
    std::lock_guard lock(mutex_);
    service_ms_ = IntOf(query, "service_ms", service_ms_);
    uint64_t duplicates = 0;
    for (const auto& [key, count] : runs_)
      duplicates += count > 1 ? 1 : 0;
    Poco::JSON::Object body;
    body.set("keys", runs_.size());
    body.set("duplicates", duplicates);
    body.set("runs_without_key", runs_without_key_);
    std::ostringstream text;
    body.stringify(text);
    AnswerHttp(response, 200, "application/json", text.str());
  }

  standin_options options_;
  std::mutex mutex_;
  std::map<std::string, uint64_t> runs_;
  uint64_t runs_without_key_ = 0;
  int service_ms_ = -1;  ///< Overrides the option unless negative.
};

}  // namespace

int RunPlain(const standin_options& options) {
  plain_standin plain(options);
  std::vector<std::shared_ptr<Poco::Net::HTTPServer>> servers;
  for (const std::string& address : options.listen) {
    servers.push_back(Serve(address, kThreads,
                            [&plain, address](auto& request, auto& response) {
                              plain.Answer(address, request, response);
                            }));
  }
  std::cout << "ready" << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace fuchsiafall::standins
