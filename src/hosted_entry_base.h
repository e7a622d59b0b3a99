/// @file hosted_entry_base.h Entry that runs on a hosting platform: call
/// dispatch with its sockets and timers.
#ifndef HOSTED_ENTRY_BASE_H_
#define HOSTED_ENTRY_BASE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "call_dispatch_base.h"
#include "hosted_process.h"
#include "network/datagram_link.h"
#include "network/http_listener.h"
#include "shutdown_plan_base.h"

namespace fuchsiafall {

/// Connects the call dispatch to its sockets. All methods run in the traffic
/// loop.
class hosted_entry {
 public:
  explicit hosted_entry(const site_settings& settings);

  exit_code Run();

 private:
  /// Connections and data of a request that has not been answered yet.
  struct open_call {
    std::shared_ptr<http_server_connection> caller;
    http_request request;
    std::shared_ptr<http_client_connection> exchange;
    /// Ids of the connections that have carried the request. A repeated answer
    /// to an earlier attempt has the same request id.
    std::set<uint64_t> used_connections;
    Poco::Net::HTTPResponse answer_head;
    std::unique_ptr<buffer_share> answer_share;  ///< Of the current attempt.
  };

  /// Hooks of the listener for callers.
  http_listener_hooks CallerHooks();
  /// Hooks of the listener for readiness checks and metrics.
  http_listener_hooks ReadinessHooks();
  /// Hooks by which the dispatch sends and answers.
  call_dispatch_hooks DispatchHooks();

  /// Returns the address of a server's agent, which listens at the server's IP
  /// address on the first port of the processes' links.
  std::string AgentAddressOf(const site_server& server) const;

  /// Returns the addresses of the other entries, which listen on the first
  /// port as agents do.
  std::set<std::string> OtherEntries() const;

  /// Applies a new view of the site, or a confirmation of the present one.
  void OnView(time_point now);

  /// Whether new callers may be sent here.
  bool IsReady() const;

  void OnRequest(time_point now,
                 const std::shared_ptr<http_server_connection>& caller,
                 http_request&& request);

  void StartAttempt(uint64_t call,
                    uint32_t attempt,
                    const site_server& server,
                    const attempt_headers& headers);

  /// Makes the answer of an attempt part of the memory budget.
  std::unique_ptr<buffer_share> MakeAnswerShare(uint64_t call,
                                                uint32_t attempt);

  /// Handles a message of an agent or of another entry.
  void OnMessage(time_point now,
                 const std::string& from,
                 const proto::envelope& message);

  void RemoveCall(uint64_t call);

  /// Sets the timer for the next action of the dispatch that is due.
  void Schedule();

  /// Begins the shutdown.
  void ShutDown(time_point now);

  /// Enforces timeouts, and decides what is due several times a second.
  void RunHousekeeping(time_point now);

  /// Takes the next steps of the shutdown.
  /// @return Whether the process exits.
  bool AdvanceShutdown(time_point now);

  shutdown_state ShutdownState() const;

  /// Logs what the exit of the process cuts off.
  void ReportExit(time_point now);

  hosted_process process_;
  call_dispatch dispatch_;
  http_listener callers_;
  http_listener readiness_;
  http_client_pool servers_;
  datagram_link links_;            ///< To agents and to the other entries.
  std::set<std::string> entries_;  ///< Addresses of the other entries.
  std::map<uint64_t, open_call> calls_;
  std::map<http_server_connection*, uint64_t> by_caller_;
  uint64_t next_call_ = 1;
  timer_id due_timer_ = 0;
  time_point due_at_{};
  time_point shutdown_at_{};
  std::optional<shutdown_plan> shutdown_;
};

}  // namespace fuchsiafall

#endif  // HOSTED_ENTRY_BASE_H_
