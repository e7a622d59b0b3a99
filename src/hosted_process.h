/// @file hosted_process.h Processes that run on a hosting platform, with their
/// common parts.
#ifndef HOSTED_PROCESS_H_
#define HOSTED_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "metrics_base.h"
#include "network/buffer_budget.h"
#include "network/event_loop.h"
#include "network/node_runtime.h"
#include "site_index_base.h"
#include "site_watch.h"

namespace fuchsiafall {

/// Common parts of hosted processes: event loop, metrics, signal handling and
/// the view of the site.
class hosted_process {
 public:
  /// @param on_view Called in the event loop when the view of the site, or the
  /// time of the last confirmed read of the store, has changed.
  /// @param on_shutdown Called in the event loop on SIGTERM and SIGINT.
  hosted_process(site_settings settings,
                 std::function<void(time_point)> on_view,
                 std::function<void(time_point)> on_shutdown);
  ~hosted_process();
  hosted_process(const hosted_process&) = delete;
  hosted_process& operator=(const hosted_process&) = delete;

  /// Watches signals and starts the control thread, which watches the store.
  outcome<done> Start();
  /// Runs the event loop until Finish() is called.
  void Run() { loop_.Run(); }
  void Finish();

  event_loop& Loop() { return loop_; }
  metrics& Metrics() { return metrics_; }
  /// Budget of all buffers of the process.
  const std::shared_ptr<buffer_budget>& Budget() const { return budget_; }
  const site_settings& Settings() const { return settings_; }
  const site_index* Index() const { return index_.get(); }
  time_point ConfirmedAt() const { return confirmed_at_; }
  incarnation OwnIncarnation() const { return incarnation_; }

 private:
  void OnSiteChange(std::shared_ptr<const site_view> view,
                    time_point confirmed_at);
  void WatchSignals();

  site_settings settings_;
  std::function<void(time_point)> on_view_;
  std::function<void(time_point)> on_shutdown_;
  metrics metrics_;
  event_loop loop_;
  incarnation incarnation_;
  std::shared_ptr<buffer_budget> budget_;
  std::unique_ptr<site_index> index_;
  time_point confirmed_at_{};
  int signal_fd_ = -1;
  site_watch watch_;
};

/// Runs an entry or an agent with the platform's settings.
exit_code RunHostedEntry(const site_settings& settings);
exit_code RunHostedAgent(const site_settings& settings);
/// Reads the platform's settings and runs a role.
/// @param role "entry" or "agent".
/// @param path Path of the settings.
exit_code RunHosted(const std::string& role, const std::string& path);

}  // namespace fuchsiafall

#endif  // HOSTED_PROCESS_H_
