// Small site on loopback for the scripts of this review: the project's own
// processes, its stand-ins of the store and of the origin of weights, servers
// that a script can make answer wrongly, and blocking consumers.
#ifndef REVIEW_COMMON_3_LAB_H_
#define REVIEW_COMMON_3_LAB_H_

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness/fleet.h"
#include "network/http_message.h"
#include "network/tcp_connection.h"
#include "tests/soak/site_standin.h"
#include "store.h"

namespace lab {

using namespace fuchsiafall;

// Result of a script.
enum exit_status { kHeld = 0, kBroken = 1, kCannotRun = 2 };

// Whether the script runs with its disruption (TROUBLE is not 0).
bool HasTrouble();

// record.txt in the folder of the case.
class record_file {
 public:
  explicit record_file(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::FILE* file_;
  time_point start_;
};

struct server_request {
  Poco::Net::HTTPRequest head;
  std::string body;
  std::string Header(const std::string& name) const {
    return head.get(name, "");
  }
};

// Connection at a server. Used in the loop's thread only.
class server_connection {
 public:
  std::shared_ptr<tcp_connection> tcp;
  Poco::Net::StreamSocket socket;
  std::string input;
  uint64_t requests = 0;
  bool IsOpen() const { return tcp->IsOpen(); }
  void Send(const std::string& bytes) { tcp->Send(bytes); }
  // Ends the connection after what was sent.
  void End() { tcp->CloseWhenSent(BootNow()); }
  // Resets the connection.
  void Reset();
  // Answers with a length.
  void Answer(int status,
              const std::string& headers,
              const std::string& body);
};
using connection_ptr = std::shared_ptr<server_connection>;

class site;

// Server with an address of its own; as a model server it also takes weights.
class server {
 public:
  server(site* owner, int number, std::string service, bool is_model);
  const std::string& Id() const { return id_; }
  const std::string& Address() const { return address_; }
  void Register();
  void Remove();
  // Called for each request of consumers that names this server.
  std::function<void(const connection_ptr&, const server_request&)> on_call;
  std::string zone;
  std::string state = "ready";
  int64_t born = 1;
  std::string extra_fields;  // Further fields of its item.
  uint64_t active = 0;       // Requests that it shows in its report.
  uint64_t orders = 0;
  uint64_t version = 1;
  // Ends all connections by a reset.
  void ResetAll();
  // Crashes, and starts again under its id after a while. A model server then
  // holds no layers; what is staged stays.
  void Crash(milliseconds down);
  bool IsDown() const { return is_down_; }

 private:
  friend class site;
  void Listen();
  void Accept(const Poco::Net::StreamSocket& from);
  void OnBytes(const connection_ptr& from);
  void OnRequest(const connection_ptr& from, const server_request& request);
  std::string Layers() const;

  site* owner_;
  std::string id_;
  std::string address_;
  std::string service_;
  bool is_model_;
  bool is_busy_ = false;
  bool is_down_ = false;
  uint64_t lifetime_ = 1;
  std::map<uint32_t, std::string> staged_;
  std::unique_ptr<tcp_listener> listener_;
  std::vector<connection_ptr> connections_;
};

struct site_options {
  std::string network;  // First two numbers of the IP addresses.
  int entries = 1;
  std::vector<int> entry_zones;  // Of each entry; else in turn.
  int model_servers = 2;
  int plain_servers = 2;
  std::string routes;   // JSON of further routes, with a comma in front.
};

class site {
 public:
  site(site_options options, const std::string& case_folder);
  ~site();
  event_loop& Loop() { return loop_; }
  store& Store() { return store_; }
  record_file& Record() { return record_; }
  server& Model(int i) { return *models_.at(i); }
  server& Plain(int i) { return *plains_.at(i); }
  harness::child_process& Entry(int i) { return *entries_.at(i); }
  harness::child_process& Agent(int i) { return *agents_.at(i); }
  std::string EntryAddress(int i) const;
  std::string EntryZone(int i) const;
  std::string Ip(const std::string& rest) const {
    return options_.network + "." + rest;
  }
  std::string ServerIp(int number) const;
  // Starts everything, and waits until the entries are ready and requests of
  // both services are served.
  bool Start();
  // Starts a process, which inherits no socket of the stand-ins.
  static void StartProcess(harness::child_process* process);
  // Runs a function in the loop's thread and waits for it.
  void InLoop(const std::function<void()>& act);
  void RunAfter(milliseconds span, const std::function<void()>& act);
  // Writes the configuration again, as a newer version.
  void WriteConfiguration();
  std::vector<std::string> keys{"key-one", "key-two"};
  bool AllRunning();

 private:
  friend class server;
  std::string WriteSettings(const std::string& name,
                            const std::string& ip,
                            const std::string& zone,
                            const std::string& lines) const;

  site_options options_;
  std::string directory_;
  record_file record_;
  event_loop loop_;
  store store_;
  soak::site_faults faults_;
  soak::origin_standin origin_;
  std::vector<std::unique_ptr<server>> models_;
  std::vector<std::unique_ptr<server>> plains_;
  std::vector<std::unique_ptr<harness::child_process>> entries_;
  std::vector<std::unique_ptr<harness::child_process>> agents_;
  int version_ = 0;
  std::thread thread_;
};

// What a consumer saw of an answer.
struct answer {
  bool has_head = false;
  int status = 0;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  bool is_complete = false;  // By its length or its last chunk.
  bool was_closed = false;   // The channel ended before that.
  double seconds = 0;
  std::string Header(const std::string& name) const;
};

// Channel of a consumer.
class channel {
 public:
  explicit channel(const std::string& address);
  ~channel();
  bool IsOpen() const { return fd_ >= 0; }
  // Sends a request and reads its answer.
  answer Call(const std::string& request, milliseconds timeout);
  void Close();

 private:
  int fd_ = -1;
  std::string input_;
};

std::string StreamRequest(const std::string& id,
                          const std::string& target,
                          const std::string& key,
                          int deadline_ms,
                          const std::string& more = "");
std::string PlainRequest(const std::string& method,
                         const std::string& id,
                         const std::string& target,
                         const std::string& key,
                         int deadline_ms,
                         const std::string& body = "",
                         const std::string& more = "");
// Shows bytes in one line.
std::string Show(const std::string& bytes, size_t most = 200);

}  // namespace lab

#endif  // REVIEW_COMMON_3_LAB_H_
