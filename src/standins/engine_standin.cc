/// @file engine_standin.cc Stand-in of a model engine. It verifies and loads
/// weights, starts cold and crashes above its cold limit, streams tokens, and
/// reports with a lag whether it is warm.
#include <Poco/Crypto/DigestEngine.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <atomic>
#include <deque>
#include <iostream>
#include <sstream>
#include <thread>

#include "hash_func.h"
#include "network/http_call.h"
#include "proto/fuchsiafall.pb.h"
#include "standins/standin_func.h"

namespace fuchsiafall::standins {

namespace {

using request_type = Poco::Net::HTTPServerRequest;
using response_type = Poco::Net::HTTPServerResponse;

constexpr int kThreads = 96;
constexpr milliseconds kDowntime{400};  // After a crash.
/// Time for which calls may exceed the cold limit after a warm engine turned
/// cold by itself, as some are running already.
constexpr milliseconds kColdGrace{1500};
constexpr char kPoison[] = "POISON";  // Crashes the engine if in a body.

/// Model engine at one address.
class engine_standin {
 public:
  engine_standin(const standin_options& options, std::string address)
      : options_(options), address_(std::move(address)) {}
  ~engine_standin() {
    if (loader_.joinable())
      loader_.join();
  }

  void Answer(request_type& request, response_type& response) {
    query_map query;
    const std::string path = SplitQuery(request.getURI(), &query);
    if (path.starts_with("/control/"))
      return AnswerControl(path, &response);
    if (IsDown())
      return BreakConnection(&request);
    if (path == "/admin/state")
      return AnswerState(&response);
    if (path == "/admin/load")
      return AnswerLoad(&request, &response);
    AnswerCompletion(&request, &response);
  }

 private:
  struct part {
    std::string name;
    std::string digest;
    std::string url;
  };
  struct report {
    time_point at{};
    bool warm = false;
  };

  bool IsDown() {
    std::lock_guard lock(mutex_);
    return std::chrono::steady_clock::now() < down_until_;
  }

  bool IsWarm() const { return answered_since_cold_ >= options_.warm_after; }

  void AnswerState(response_type* response) {
    std::lock_guard lock(mutex_);
    const time_point now = std::chrono::steady_clock::now();
    reports_.push_back({now, IsWarm()});
    while (reports_.size() > 1 &&
           now - reports_[1].at >= milliseconds(options_.lag_ms)) {
      reports_.pop_front();
    }
    Poco::JSON::Object body;
    body.set("start_id", address_ + "/" + std::to_string(start_number_));
    body.set("stage", stage_);
    body.set("version", stage_ == "ready" ? version_ : "");
    body.set("warm", reports_.front().warm);
    Poco::JSON::Array parts;
    for (const part& item : parts_) {
      Poco::JSON::Object object;
      object.set("name", item.name);
      object.set("digest", item.digest);
      if (stage_ == "ready")
        parts.add(object);
    }
    body.set("parts", parts);
    std::ostringstream text;
    body.stringify(text);
    AnswerHttp(response, 200, "application/json", text.str());
  }

  void AnswerLoad(request_type* request, response_type* response) {
    outcome<std::string> body = ReadBody(request, 1 << 20);
    if (!body)
      return;
    auto order =
        Poco::JSON::Parser().parse(*body).extract<Poco::JSON::Object::Ptr>();
    const std::pair<uint64_t, uint64_t> fence{
        order->getValue<Poco::UInt64>("fence_revision"),
        order->getValue<Poco::UInt64>("fence_incarnation")};
    std::lock_guard lock(mutex_);
    ++counts_["orders"];
    if (fence < last_fence_) {
      ++counts_["old_fences"];
      if (options_.checks_fencing) {
        return AnswerHttp(response, 409, "text/plain", "old fencing number");
      }
    }
    last_fence_ = std::max(last_fence_, fence);
    if (stage_ == "loading")
      return AnswerHttp(response, 409, "text/plain", "loading already");
    if (running_ > 0)
      ++counts_["loads_while_running"];
    std::vector<part> parts;
    auto list = order->getArray("parts");
    for (size_t i = 0; i < list->size(); ++i) {
      auto item = list->getObject(static_cast<unsigned>(i));
      parts.push_back({item->getValue<std::string>("name"),
                       item->getValue<std::string>("digest"),
                       item->getValue<std::string>("url")});
    }
    stage_ = "loading";
    const std::string version = order->getValue<std::string>("version");
    if (loader_.joinable())
      loader_.join();
    loader_ = std::thread([this, version, parts, start = start_number_] {
      Load(version, parts, start);
    });
    AnswerHttp(response, 202, "text/plain", "taken");
  }

  void Load(const std::string& version,
            const std::vector<part>& parts,
            uint64_t start) {
    bool is_verified = true;
    for (const part& item : parts)
      is_verified = is_verified && FetchAndCheck(item);
    std::this_thread::sleep_for(milliseconds(options_.load_ms));
    std::lock_guard lock(mutex_);
    if (start != start_number_)
      return;  // The engine crashed meanwhile.
    if (!is_verified) {
      ++counts_["bad_loads"];
      stage_ = "empty";
      return;
    }
    ++counts_["loads"];
    version_ = version;
    parts_ = parts;
    stage_ = "ready";
    answered_since_cold_ = 0;
    cold_since_ = std::chrono::steady_clock::now();
  }

  /// Fetches a part and verifies it by the manifest whose digest is in the
  /// load order.
  static bool FetchAndCheck(const part& item) {
    Poco::URI url(item.url);
    const std::string address =
        url.getHost() + ":" + std::to_string(url.getPort());
    http_result manifest_bytes = CallHttp({.address = address,
                                           .path = "/manifests/" + item.digest,
                                           .timeout = seconds(10)});
    proto::manifest manifest;
    if (ToHex(DigestOf(manifest_bytes.body).value) != item.digest)
      return false;
    if (!manifest.ParseFromString(manifest_bytes.body))
      return false;
    Poco::Crypto::DigestEngine digest_engine("SHA256");
    http_result result = CallHttp(
        {.address = address, .path = url.getPath(), .timeout = seconds(30)},
        [&](const http_result&, const std::string& data) {
          digest_engine.update(data.data(), data.size());
          return true;
        });
    const Poco::DigestEngine::Digest& sum = digest_engine.digest();
    return result.status == http_result::status_type::kAnswered &&
           result.http_status == 200 &&
           std::string(sum.begin(), sum.end()) == manifest.whole_digest();
  }

  /// Admits a call, or crashes if the call exceeds the cold limit or contains
  /// the poison text.
  /// @return Number of the engine's start that runs the call, or nothing.
  std::optional<uint64_t> AdmitCall(const std::string& body) {
    std::lock_guard lock(mutex_);
    const time_point now = std::chrono::steady_clock::now();
    if (stage_ != "ready") {
      ++counts_["calls_not_ready"];
      return std::nullopt;
    }
    bool is_poison = body.find(kPoison) != std::string::npos;
    bool is_above_cold_limit = !IsWarm() && running_ >= options_.cold_limit &&
                               now - cold_since_ > cold_grace_;
    if (is_above_cold_limit)
      ++counts_["cold_limit_exceeded"];
    if (is_poison)
      ++counts_["poison_runs"];
    if (is_above_cold_limit || is_poison) {
      Crash();
      return std::nullopt;
    }
    ++running_;
    ++counts_["calls"];
    last_call_at_ = now;
    max_running_ = std::max(max_running_, running_);
    return start_number_;
  }

  /// Drops all calls and weights, and resets connections for kDowntime.
  /// @pre The mutex is held.
  void Crash() {
    ++start_number_;
    ++counts_["crashes"];
    running_ = 0;
    stage_ = "empty";
    parts_.clear();
    answered_since_cold_ = 0;
    cold_grace_ = milliseconds(0);
    down_until_ = std::chrono::steady_clock::now() + kDowntime;
  }

  /// Returns whether the engine has not crashed since a start.
  bool IsAlive(uint64_t start) {
    std::lock_guard lock(mutex_);
    return start == start_number_;
  }

  /// Counts a call as answered, unless the engine crashed meanwhile.
  void EndCall(uint64_t start) {
    std::lock_guard lock(mutex_);
    if (start != start_number_)
      return;
    --running_;
    ++answered_since_cold_;
  }

  std::string TokenEvent(const std::string& tag, int i) {
    std::lock_guard lock(mutex_);
    return "data: {\"choices\":[{\"text\":\"" + tag + "-" + std::to_string(i) +
           " \"}],\"version\":\"" + version_ + "\"}\n\n";
  }

  void AnswerCompletion(request_type* request, response_type* response) {
    outcome<std::string> body = ReadBody(request, 4 << 20);
    if (!body)
      return;
    Poco::JSON::Object::Ptr object;
    try {
      object =
          Poco::JSON::Parser().parse(*body).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception&) {
      return AnswerHttp(response, 400, "text/plain", "not JSON");
    }
    std::optional<uint64_t> start = AdmitCall(*body);
    if (!start)
      return BreakConnection(request);
    const int tokens = object->optValue<int>("max_tokens", 16);
    // The answer contains a digest of the prompt, so that callers can detect an
    // answer to another request.
    const std::string tag =
        ToHex(DigestOf(object->optValue<std::string>("prompt", "")).value)
            .substr(0, 16);
    if (object->optValue<bool>("stream", false)) {
      Stream(*start, tokens, tag, request, response);
    } else {
      AnswerUnstreamed(*start, tokens, tag, request, response);
    }
    EndCall(*start);
  }

  void Stream(uint64_t start,
              int tokens,
              const std::string& tag,
              request_type* request,
              response_type* response) {
    response->setContentType("text/event-stream");
    response->setChunkedTransferEncoding(true);
    std::ostream& stream = response->send();
    std::this_thread::sleep_for(milliseconds(options_.prefill_ms));
    for (int i = 0; i < tokens; ++i) {
      if (i > 0)
        std::this_thread::sleep_for(milliseconds(options_.token_ms));
      if (!IsAlive(start))
        return BreakConnection(request);
      stream << TokenEvent(tag, i) << std::flush;
      if (!stream.good())
        return;
    }
    stream << "data: [DONE]\n\n" << std::flush;
  }

  void AnswerUnstreamed(uint64_t start,
                        int tokens,
                        const std::string& tag,
                        request_type* request,
                        response_type* response) {
    std::string version;
    {
      std::lock_guard lock(mutex_);
      version = version_;
    }
    std::this_thread::sleep_for(
        milliseconds(options_.prefill_ms + tokens * options_.token_ms));
    if (!IsAlive(start))
      return BreakConnection(request);
    std::string text;
    for (int i = 0; i < tokens; ++i)
      text += tag + "-" + std::to_string(i) + " ";
    Poco::JSON::Object choice;
    choice.set("text", text);
    Poco::JSON::Array choices;
    choices.add(choice);
    Poco::JSON::Object answer;
    answer.set("choices", choices);
    answer.set("version", version);
    std::ostringstream out;
    answer.stringify(out);
    AnswerHttp(response, 200, "application/json", out.str());
  }

  void AnswerControl(const std::string& path, response_type* response) {
    std::lock_guard lock(mutex_);
    const time_point now = std::chrono::steady_clock::now();
    if (path == "/control/crash")
      Crash();
    if (path == "/control/cold") {
      answered_since_cold_ = 0;
      cold_since_ = now;
      cold_grace_ = kColdGrace;
      ++counts_["turned_cold"];
    }
    Poco::JSON::Object body;
    for (const auto& [name, count] : counts_)
      body.set(name, count);
    body.set("running", running_);
    body.set("most_running", max_running_);
    body.set("version", stage_ == "ready" ? version_ : "");
    const bool was_called = last_call_at_ != time_point{};
    body.set("ms_since_call",
             was_called
                 ? std::chrono::duration_cast<milliseconds>(now - last_call_at_)
                       .count()
                 : -1);
    std::ostringstream text;
    body.stringify(text);
    AnswerHttp(response, 200, "application/json", text.str());
  }

  standin_options options_;
  std::string address_;
  std::mutex mutex_;
  std::thread loader_;
  std::string stage_ = "empty";
  std::string version_;
  std::vector<part> parts_;
  std::pair<uint64_t, uint64_t> last_fence_{0, 0};
  std::map<std::string, uint64_t> counts_;
  std::deque<report> reports_;
  uint64_t start_number_ = 1;
  int running_ = 0;
  int max_running_ = 0;
  int answered_since_cold_ = 0;
  time_point cold_since_{};
  milliseconds cold_grace_{0};
  time_point down_until_{};
  time_point last_call_at_{};
};

}  // namespace

int RunEngines(const standin_options& options) {
  std::vector<std::unique_ptr<engine_standin>> engines;
  std::vector<std::shared_ptr<Poco::Net::HTTPServer>> servers;
  for (const std::string& address : options.listen) {
    engines.push_back(std::make_unique<engine_standin>(options, address));
    engine_standin* engine = engines.back().get();
    servers.push_back(
        Serve(address, kThreads, [engine](auto& request, auto& response) {
          engine->Answer(request, response);
        }));
  }
  std::cout << "ready" << std::endl;
  WaitForStopSignal();
  for (auto& server : servers)
    server->stopAll(true);
  return 0;
}

}  // namespace fuchsiafall::standins
