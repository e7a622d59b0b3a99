/// @file fake_crash_fleet.h Model servers that requests may crash, with their
/// agents' crash monitors and the dispatch of entries, in virtual time.
#ifndef TESTS_FAKE_CRASH_FLEET_H_
#define TESTS_FAKE_CRASH_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "call_dispatch_base.h"
#include "crash_monitor_base.h"
#include "tests/fake_site.h"

namespace fuchsiafall::tests {

/// What callers and servers saw of requests with one part.
struct part_outcomes {
  size_t sent = 0;
  std::vector<time_point> begun;  ///< At servers, repeats included.
  size_t answered = 0;
  size_t refused = 0;
};

class fake_crash_fleet {
 public:
  explicit fake_crash_fleet(size_t server_count = 8, size_t entry_count = 3);

  /// Sends a request that no other request equals.
  void Send(const std::vector<uint64_t>& parts);
  void Run(milliseconds span);
  /// Sends requests with these parts at a rate, from now on.
  /// @param rate Requests per second; 0 ends them.
  void SetTraffic(const std::vector<uint64_t>& parts, double rate);
  /// Ends a server, which restarts after a few seconds.
  void Crash(const std::string& server);
  /// Replaces an agent's process by a new one that knows nothing.
  void RestartAgent(const std::string& server);

  time_point now{std::chrono::hours(1)};
  std::set<uint64_t> deadly;  ///< Parts that crash servers.
  double loss = 0;            ///< Share of messages that are lost.
  bool agents_answer = true;  ///< Whether agents answer entries.
  std::vector<time_point> crashes;
  size_t quarantined_parts = 0;                ///< Decisions of all agents.
  std::map<uint64_t, part_outcomes> outcomes;  ///< By part.

 private:
  struct running_attempt {
    size_t entry;
    uint64_t call;
    uint32_t number;
    time_point started_at;
    bool has_begun;
  };
  struct server {
    std::unique_ptr<crash_monitor> monitor;
    place_table places{{}};
    std::vector<running_attempt> running;
    time_point down_until{};
    bool was_restarted = false;
    uint64_t incarnation = 1;
  };
  struct entry {
    std::unique_ptr<call_dispatch> dispatch;
  };
  struct traffic {
    std::vector<uint64_t> parts;
    double rate;
    double due;
  };
  struct message {
    time_point at;
    std::function<void()> deliver;
  };

  bool IsUp(const server& item) const { return now >= item.down_until; }
  void MakeMonitor(const std::string& id);
  call_dispatch_hooks Hooks(size_t index);
  /// Delivers something after a message's latency, unless it is lost.
  void Post(std::function<void()> deliver);
  void AnswerPlace(size_t index,
                   const std::string& id,
                   const place_request& request);
  void RunServer(const std::string& id, server* item);
  bool IsDeadly(uint64_t call) const;
  void CountAll(uint64_t call, size_t part_outcomes::*counter);

  fake_site site_;
  std::map<std::string, server> servers_;
  std::vector<entry> entries_;
  std::map<uint64_t, std::vector<uint64_t>> parts_;  ///< By call.
  std::vector<traffic> traffic_;
  std::deque<message> messages_;
  uint64_t next_call_ = 1;
  std::mt19937_64 random_{11};
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_FAKE_CRASH_FLEET_H_
