/// @file platform_standin.cc Stand-in of the platform: a store with
/// compare-and-swap, leases and watches (a subset of Consul's KV and session
/// APIs), and a list of leaving VMs that lags behind.
#include <Poco/JSON/Object.h>

#include <condition_variable>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "standins/standin_func.h"
#include "time_type.h"

namespace fuchsiafall::standins {

namespace {

using request_type = Poco::Net::HTTPServerRequest;
using response_type = Poco::Net::HTTPServerResponse;

constexpr int kThreads = 512;
constexpr size_t kMaxValueBytes = 1024 * 1024;
constexpr int kMaxWaitMs = 60000;

/// Platform with one store and one list of VMs.
class platform_standin {
 public:
  explicit platform_standin(const standin_options& options)
      : options_(options) {}

  void Answer(request_type& request, response_type& response) {
    query_map query;
    const std::string path = SplitQuery(request.getURI(), &query);
    if (path.starts_with("/control/"))
      return AnswerControl(path, query, &response);
    if (!ApplyFaults(&request))
      return;
    if (path == "/vms")
      return AnswerVms(&response);
    constexpr std::string_view kKv = "/v1/kv/";
    if (path.starts_with("/v1/session/"))
      return AnswerSession(request, path, &response);
    if (!path.starts_with(kKv))
      return AnswerHttp(&response, 404, "text/plain", "");
    const std::string key = path.substr(kKv.size());
    if (request.getMethod() == "GET")
      return AnswerRead(key, query, &response);
    AnswerWrite(&request, key, query, &response);
  }

 private:
  struct stored_value {
    std::string value;
    uint64_t modify_index = 0;
    std::string session;  ///< Lease that holds the key; empty for none.
  };
  struct lease {
    milliseconds ttl{0};
    time_point expires{};
  };

  /// Delays a request, or breaks its connection, as the faults in force demand.
  /// @return Whether the request is to be answered.
  bool ApplyFaults(request_type* request) {
    int slow_ms = 0;
    {
      std::lock_guard lock(mutex_);
      slow_ms = slow_ms_;
      if (is_down_) {
        ++counts_["refused_while_down"];
        slow_ms = -1;
      }
    }
    if (slow_ms < 0) {
      BreakConnection(request);
      return false;
    }
    if (slow_ms > 0)
      std::this_thread::sleep_for(milliseconds(slow_ms));
    return true;
  }

  void AnswerRead(const std::string& key,
                  const query_map& query,
                  response_type* response) {
    std::unique_lock lock(mutex_);
    ExpireLeases();
    const bool is_watch =
        query.contains("index") && IntOf(query, "index", 0) > 0;
    ++counts_[is_watch ? "watches" : "reads"];
    if (is_watch) {
      const auto index = static_cast<uint64_t>(std::stoull(query.at("index")));
      const int wait = std::min(IntOf(query, "wait", 5000), kMaxWaitMs);
      changed_.wait_for(lock, milliseconds(wait),
                        [&] { return IndexOf(key) > index || is_down_; });
    }
    response->set("X-Consul-Index",
                  std::to_string(std::max<uint64_t>(1, IndexOf(key))));
    auto it = values_.find(key);
    if (it == values_.end()) {
      lock.unlock();
      return AnswerHttp(response, 404, "application/json", "");
    }
    const std::string body =
        "[{\"Key\":\"" + key + "\",\"Value\":\"" +
        EncodeBase64(it->second.value) +
        "\",\"ModifyIndex\":" + std::to_string(it->second.modify_index) + "}]";
    lock.unlock();
    AnswerHttp(response, 200, "application/json", body);
  }

  void AnswerWrite(request_type* request,
                   const std::string& key,
                   const query_map& query,
                   response_type* response) {
    outcome<std::string> body = ReadBody(request, kMaxValueBytes);
    if (!body)
      return AnswerHttp(response, 413, "text/plain", body.LastReason());
    bool done = false;
    bool is_lost = false;
    {
      std::lock_guard lock(mutex_);
      ExpireLeases();
      ++counts_["writes"];
      done = ApplyWrite(request->getMethod(), key, *body, query);
      is_lost = std::uniform_real_distribution<double>(0, 1)(random_) <
                lost_answer_share_;
      if (is_lost)
        ++counts_["answers_lost"];
    }
    changed_.notify_all();
    if (is_lost)
      return BreakConnection(request);
    AnswerHttp(response, 200, "application/json", done ? "true" : "false");
  }

  /// Performs a write if its conditions hold.
  /// @pre The mutex is held.
  bool ApplyWrite(const std::string& method,
                  const std::string& key,
                  const std::string& body,
                  const query_map& query) {
    auto it = values_.find(key);
    const uint64_t present = it == values_.end() ? 0 : it->second.modify_index;
    if (query.contains("cas") && std::stoull(query.at("cas")) != present)
      return false;
    if (query.contains("acquire")) {
      const std::string& session = query.at("acquire");
      if (!leases_.contains(session))
        return false;
      if (it != values_.end() && !it->second.session.empty() &&
          it->second.session != session) {
        return false;
      }
    }
    ++index_;
    if (method == "DELETE") {
      values_.erase(key);
      deleted_[key] = index_;
      return true;
    }
    stored_value& value = values_[key];
    value.value = body;
    value.modify_index = index_;
    if (query.contains("acquire"))
      value.session = query.at("acquire");
    if (query.contains("release"))
      value.session.clear();
    return true;
  }

  /// Creates, renews or destroys a lease. The body of a creation is the time to
  /// live in milliseconds, not JSON as in Consul.
  void AnswerSession(request_type& request,
                     const std::string& path,
                     response_type* response) {
    outcome<std::string> body = ReadBody(&request, kMaxValueBytes);
    std::lock_guard lock(mutex_);
    ExpireLeases();
    ++counts_["writes"];
    const time_point now = std::chrono::steady_clock::now();
    if (path == "/v1/session/create") {
      const std::string id = "lease-" + std::to_string(++last_lease_);
      const milliseconds ttl(body && !body->empty() ? std::atoi(body->c_str())
                                                    : 10000);
      leases_[id] = {ttl, now + ttl};
      return AnswerHttp(response, 200, "application/json",
                        "{\"ID\":\"" + id + "\"}");
    }
    const std::string id = path.substr(path.rfind('/') + 1);
    auto it = leases_.find(id);
    if (it == leases_.end())
      return AnswerHttp(response, 404, "text/plain", "");
    if (path.starts_with("/v1/session/renew/"))
      it->second.expires = now + it->second.ttl;
    if (path.starts_with("/v1/session/destroy/"))
      it->second.expires = now;
    ExpireLeases();
    AnswerHttp(response, 200, "application/json", "true");
  }

  /// Drops expired leases and releases the keys that they hold.
  /// @pre The mutex is held.
  void ExpireLeases() {
    const time_point now = std::chrono::steady_clock::now();
    std::erase_if(leases_,
                  [&](const auto& item) { return now >= item.second.expires; });
    for (auto& [key, value] : values_) {
      if (value.session.empty() || leases_.contains(value.session))
        continue;
      value.session.clear();
      value.modify_index = ++index_;
    }
  }

  /// Returns the index of the last change of a key, including its deletion.
  uint64_t IndexOf(const std::string& key) const {
    auto it = values_.find(key);
    if (it != values_.end())
      return it->second.modify_index;
    auto deleted = deleted_.find(key);
    return deleted == deleted_.end() ? 0 : deleted->second;
  }

  void AnswerVms(response_type* response) {
    std::lock_guard lock(mutex_);
    ++counts_["vm_lists"];
    const time_point visible_until =
        std::chrono::steady_clock::now() - milliseconds(options_.lag_ms);
    Poco::JSON::Array leaving;
    uint64_t index = 0;
    for (const auto& [vm, since] : leaving_changes_) {
      if (since.first <= visible_until)
        index = std::max(index, since.second);
      if (since.first <= visible_until && is_leaving_[vm])
        leaving.add(vm);
    }
    Poco::JSON::Object body;
    body.set("index", index);
    body.set("leaving", leaving);
    std::ostringstream text;
    body.stringify(text);
    AnswerHttp(response, 200, "application/json", text.str());
  }

  void AnswerControl(const std::string& path,
                     const query_map& query,
                     response_type* response) {
    std::lock_guard lock(mutex_);
    if (path == "/control/faults") {
      is_down_ = IntOf(query, "down", is_down_ ? 1 : 0) != 0;
      slow_ms_ = IntOf(query, "slow_ms", slow_ms_);
      lost_answer_share_ = DoubleOf(query, "lose", lost_answer_share_);
      changed_.notify_all();
    } else if (path == "/control/leaving") {
      const std::string& vm = query.at("vm");
      is_leaving_[vm] = IntOf(query, "on", 1) != 0;
      leaving_changes_[vm] = {std::chrono::steady_clock::now(), ++vm_index_};
    }
    Poco::JSON::Object body;
    for (const auto& [name, count] : counts_)
      body.set(name, count);
    std::ostringstream text;
    body.stringify(text);
    AnswerHttp(response, 200, "application/json", text.str());
  }

  standin_options options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, stored_value> values_;
  std::map<std::string, uint64_t> deleted_;
  std::map<std::string, lease> leases_;
  std::map<std::string, std::pair<time_point, uint64_t>>
      leaving_changes_;  ///< Time and index of the last change, by VM.
  std::map<std::string, bool> is_leaving_;
  std::map<std::string, uint64_t> counts_;
  std::mt19937_64 random_{1};
  uint64_t index_ = 1;
  uint64_t vm_index_ = 0;
  uint64_t last_lease_ = 0;
  bool is_down_ = false;
  int slow_ms_ = 0;
  double lost_answer_share_ = 0;
};

}  // namespace

int RunPlatform(const standin_options& options) {
  platform_standin platform(options);
  std::vector<std::shared_ptr<Poco::Net::HTTPServer>> servers;
  for (const std::string& address : options.listen) {
    servers.push_back(
        Serve(address, kThreads, [&](auto& request, auto& response) {
          platform.Answer(request, response);
        }));
  }
  std::cout << "ready" << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace fuchsiafall::standins
