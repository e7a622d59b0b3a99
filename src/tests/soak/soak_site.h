/// @file soak_site.h Processes of the soak with the site around them.
#ifndef TESTS_SOAK_SOAK_SITE_H_
#define TESTS_SOAK_SOAK_SITE_H_

#include <memory>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "network/loop_call.h"
#include "tests/soak/soak_callers.h"

namespace fuchsiafall::soak {

/// Control page of the proxy; ip:port.
inline constexpr char kProxyControl[] = "127.33.0.3:8100";

struct soak_options {
  uint64_t seed = 1;
  seconds span{30};       ///< Under faults.
  size_t processes = 24;  ///< Entries and agents, half of them each.
  double rate = 40;       ///< Requests per second.
  std::string folder;     ///< For settings and logs.
};

/// One process of the system.
struct soak_process {
  std::string name;
  bool is_entry = false;
  size_t place = 0;  ///< Among the entries or the servers.
  std::unique_ptr<harness::child_process> process;
  bool was_killed = false;   ///< By a fault, so that its end is no wonder.
  bool is_stopping = false;  ///< Since SIGTERM.
  bool is_frozen = false;
  time_point stopping_since{};
  time_point restart_at{};
};

/// Starts the site and its processes, keeps them running, and injects faults.
class soak_site {
 public:
  soak_site(event_loop* loop, soak_options options);
  outcome<done> Start();
  /// Begins the callers, the faults and the end.
  void Play(time_point now, std::function<void()> on_done);
  /// Prints what happened.
  /// @return Whether all promises were kept.
  bool Report() const;

 private:
  outcome<done> StartProxy();
  void StartProcess(soak_process* item);
  std::string WriteSettings(const soak_process& item) const;
  void WriteConfiguration();
  void KeepRunning(time_point now);
  void Inject(time_point now);
  void Heal(time_point now);
  void Finish(time_point now);
  void SetLink(const std::string& group, const std::string& what);
  /// Has the proxy close a link in one of its ways for a while.
  void CloseLink(const std::string& group, const std::string& mode);
  void Until(milliseconds span, const std::function<void()>& act);
  // Faults.
  void DisturbProcess(time_point now);
  void DisturbStore(time_point now);
  void DisturbLink(time_point now);
  void DisturbServer(time_point now);
  void ChangeSite(time_point now);
  void Note(const std::string& what);
  milliseconds Span(int least_ms, int most_ms);

  event_loop* loop_;
  soak_options options_;
  std::mt19937_64 random_;
  run_book book_;
  site_faults faults_;
  store_standin store_;
  origin_standin origin_;
  std::vector<std::unique_ptr<server_standin>> servers_;
  std::vector<std::string> links_;  ///< Groups of the proxy.
  std::vector<soak_process> processes_;
  std::vector<entry_place> entries_;
  std::unique_ptr<soak_callers> callers_;
  std::unique_ptr<harness::child_process> proxy_;
  http_client_pool control_pool_;
  uint64_t configuration_ = 0;          ///< Probe routes of the newest one.
  uint64_t configuration_version_ = 0;  ///< Of the newest one.
  uint64_t weights_ = 1;
  std::vector<std::string> keys_;
  bool is_healing_ = false;
  bool is_ending_ = false;
  time_point ends_at_{};
  std::function<void()> on_done_;
  uint64_t sent_before_ = 0;      ///< Of the window at the end.
  uint64_t answered_before_ = 0;  ///< Of the same.
};

}  // namespace fuchsiafall::soak

#endif  // TESTS_SOAK_SOAK_SITE_H_
