/// @file soak_site.h Processes of the soak test, and the simulated site around
/// them.
#ifndef TESTS_SOAK_SOAK_SITE_H_
#define TESTS_SOAK_SOAK_SITE_H_

#include <memory>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "network/async_http_call.h"
#include "tests/soak/soak_callers.h"

namespace fuchsiafall::soak {

struct soak_options {
  uint64_t seed = 1;
  seconds span{30};       ///< Duration of the faults.
  size_t processes = 24;  ///< Entries and agents, half of them each.
  double rate = 40;       ///< Requests per second.
  /// Whether only planned work happens: stops, reloads, changes and load.
  bool is_planned = false;
  /// Share of the streams in which a sound server falls silent for a while.
  double silent_share = 0.15;
  /// Share of the orders that a server takes late, beside other faults.
  double held_share = 0.2;
  /// Of the streams, which servers break off or spoil; none with planned work
  /// only.
  double spoilt_share = 0.1;
  uint32_t site = 0;      ///< Number of a run beside others, 0 to 9.
  std::string directory;  ///< For settings and logs.

  /// Returns an address of the run's own.
  /// @param net Network of the site.
  /// @param rest Of the address, from the second dot.
  std::string Address(uint32_t net, const std::string& rest) const {
    return "127." + std::to_string(net + 10 * site) + rest;
  }
};

/// One process of the system.
struct soak_process {
  std::string name;
  bool is_entry = false;
  size_t index = 0;  ///< Among the entries or the servers.
  std::unique_ptr<harness::child_process> process;
  bool was_killed = false;   ///< By a fault, so that its end is expected.
  bool is_stopping = false;  ///< Got SIGTERM.
  bool is_frozen = false;
  time_point started_at{};
  time_point stopping_since{};
  time_point restart_at{};
};

/// Time between two returns of the store from an older copy.
constexpr seconds kRestoreInterval{5};

/// Starts the site and its processes, keeps them running, and injects faults.
class soak_site {
 public:
  soak_site(event_loop* loop, soak_options options);
  outcome<done> Start();
  /// Starts the callers, the faults, and the shutdown after them.
  /// @param on_done Called when all processes have ended.
  void RunScenario(time_point now, std::function<void()> on_done);
  /// Prints the counts and the violated guarantees.
  /// @return Whether all guarantees held.
  bool Report() const;

 private:
  outcome<done> StartProxy();
  std::string ProxyControl() const;
  std::string StoreProxyAddress(size_t domain) const;
  std::string EntryIp(size_t i) const;
  std::string ServerIp(size_t i) const;
  void StartProcess(soak_process* item);
  /// Sends SIGTERM.
  void StopProcess(time_point now, soak_process* item);
  std::string WriteSettings(const soak_process& item) const;
  void WriteConfiguration();
  /// Restarts processes that have ended, and checks how they ended.
  void SuperviseProcesses(time_point now);
  /// Injects one fault and schedules the next.
  void InjectFault(time_point now);
  /// Ends all faults, and measures the service after them.
  void EndFaults(time_point now);
  /// Checks the final state and stops all processes.
  void CheckAndStop(time_point now);
  void SetLink(const std::string& group, const std::string& settings);
  /// Blocks a link at the proxy for a random time.
  /// @param mode "cut" to close connections, "hold" to stall them.
  void BlockLink(const std::string& group, const std::string& mode);
  /// Runs an action after a delay.
  void RunAfter(milliseconds span, const std::function<void()>& act);
  // Kinds of faults, one of which InjectFault() draws.
  void InjectProcessFault(time_point now);
  void InjectStoreFault(time_point now);
  /// Restores the store from an older copy, again and again.
  void RestoreStore(time_point now);
  void InjectLinkFault(time_point now);
  void InjectServerFault(time_point now);
  void InjectOperatorChange(time_point now);
  /// Corrupts staged chunks of a server that holds an order back; now and then
  /// also names a newer version, or crashes the server.
  void RotInSeries(server_standin* server);
  void NameVersion();
  // Planned work in series, each of which overlaps the ones before it.
  void BeginPlannedSeries(time_point now);
  void StopInSeries();
  void ChangeInSeries();
  void ReloadInSeries();
  /// Changes limits, timeouts and keys, and writes the configuration.
  void ChangeConfiguration(time_point now);
  /// Logs and counts a fault.
  void LogFault(const std::string& fault);
  /// Draws a random time.
  milliseconds RandomSpan(int min_ms, int max_ms);

  event_loop* loop_;
  soak_options options_;
  std::mt19937_64 random_;
  std::mt19937_64 planned_random_;  ///< Of the planned work.
  std::mt19937_64 held_random_;     ///< Of the faults beside held orders.
  run_record record_;
  site_faults faults_;
  store_standin store_;
  origin_standin origin_;
  std::vector<std::unique_ptr<server_standin>> servers_;
  std::vector<std::string> links_;  ///< Of the proxy: GROUP=LISTEN>TARGET.
  std::vector<soak_process> processes_;
  std::vector<entry_endpoint> entries_;
  std::unique_ptr<soak_callers> callers_;
  std::unique_ptr<harness::child_process> proxy_;
  http_client_pool control_pool_;
  uint64_t probe_routes_ = 0;           ///< In the newest configuration.
  uint64_t configuration_version_ = 0;  ///< Of the newest configuration.
  uint64_t weights_version_ = 1;
  milliseconds idle_timeout_{15000};
  size_t header_bytes_ = 16384;
  size_t body_bytes_ = 1048576;
  milliseconds stream_timeout_{6000};
  milliseconds plain_timeout_{1000};
  int attempts_ = 2;
  uint64_t retry_extra_ = 200;  ///< In the settings of the processes.
  uint64_t next_key_ = 6;
  std::vector<std::string> keys_;
  bool is_healing_ = false;
  bool is_ending_ = false;
  time_point faults_end_at_{};
  std::function<void()> on_done_;
};

}  // namespace fuchsiafall::soak

#endif  // TESTS_SOAK_SOAK_SITE_H_
