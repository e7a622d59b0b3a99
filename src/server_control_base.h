/// @file server_control_base.h Lifecycle control of one backend server:
/// draining, loading and serving.
#ifndef SERVER_CONTROL_BASE_H_
#define SERVER_CONTROL_BASE_H_

#include <set>
#include <string>
#include <vector>

#include "output_type.h"

namespace fuchsiafall {

/// Lifecycle stage of a backend server, as known to its agent.
enum class server_stage { kUnknown, kEmpty, kDraining, kLoading, kServing };

/// Status report of the engine.
struct engine_report {
  enum class load_stage { kEmpty, kLoading, kReady };
  bool reachable = false;
  std::string start_id;  ///< Changes when the engine restarts.
  load_stage stage = load_stage::kEmpty;
  std::string version;  ///< Loaded version.
  /// Manifest digests (hex) of the loaded artifacts.
  std::vector<std::string> digests;
  std::vector<std::string> adapters;
  bool is_warm = true;
};

/// Response of the engine to a load order.
struct load_answer {
  enum class status_type { kAccepted, kRefused, kUnreachable, kStale };
  status_type status = status_type::kAccepted;
  std::string version;
  std::string reason;
};

struct server_control_options {
  vm_id self;
  domain_id domain;
  incarnation own_incarnation;
  /// Delay before an order without effect is repeated.
  milliseconds order_retry{5000};
  /// Time that each group of servers ahead gets to load.
  milliseconds load_slot_timeout{120000};
  milliseconds max_report_age{2000};  ///< Maximum age of the engine's reports.
  /// Maximum wait for a confirmed revision after a pause.
  milliseconds max_confirmation_wait{5000};
};

/// State of the rest of the agent that server_control depends on.
struct server_context {
  bool weights_complete = false;
  size_t running_calls = 0;
  /// When the current revision was last confirmed.
  time_point last_confirmed{};
};

/// Decides when the engine is ordered to load, and whether calls are admitted.
/// Servers of a domain load in staggered slots, so that only a configured share
/// of them is out of service at a time.
class server_control {
 public:
  explicit server_control(server_control_options options);

  /// Sets the target: the service and the artifacts that the engine has to
  /// load. A plain service has none and is served as it is.
  void SetTarget(time_point now,
                 const topology_ptr& config,
                 const proto::service& service,
                 const std::vector<artifact_ref>& parts);
  void OnReport(time_point now, const engine_report& report, output_list* out);
  void OnLoadAnswer(time_point now,
                    const load_answer& answer,
                    output_list* out);
  /// Merges a peer's list of servers in the domain that serve the target.
  /// @return Whether the list contained a server not known before.
  bool OnLoadedMap(const proto::loaded_map& map);
  /// Records that the process was paused, so that the target may be outdated.
  void OnPause(time_point now);
  void RunDue(time_point now, const server_context& context, output_list* out);

  /// Whether new calls may be admitted.
  bool Accepts() const;
  /// Whether the engine has been reported warm since it last started or loaded.
  bool IsWarm(time_point now) const;
  server_stage Stage() const { return stage_; }
  /// Version that serves new calls; empty when none does.
  std::string ServedVersion() const;
  const engine_report& Engine() const { return engine_; }
  const std::string& LastReason() const { return last_reason_; }
  proto::loaded_map LoadedMap() const;

 private:
  bool IsPlain() const { return service_.kind() == proto::service::PLAIN; }
  bool ServesTarget() const;
  /// Whether the current revision was confirmed since the last pause, or the
  /// maximum wait for that has passed.
  bool IsConfirmed(time_point now, const server_context& context) const;
  /// Whether this server may be taken out of service to load.
  bool HasLoadSlot(time_point now) const;
  void OrderLoad(time_point now, output_list* out);
  /// Identifies the target in the loaded maps that servers exchange.
  std::string TargetKey() const;

  server_control_options options_;
  proto::service service_;
  std::vector<artifact_ref> parts_;
  topology_ptr topology_;
  /// Servers of the service and domain, in loading order.
  std::vector<std::string> loading_order_;
  std::set<std::string> loaded_;  ///< Those of them known to serve the target.
  engine_report engine_;
  server_stage stage_ = server_stage::kUnknown;
  std::string last_reason_;
  time_point weights_ready_at_{};
  bool had_weights_ = false;
  time_point ordered_at_{};
  bool was_ordered_ = false;
  time_point cold_since_{};  ///< Last start or load of the engine, as observed.
  time_point paused_at_{};
  bool was_paused_ = false;
};

}  // namespace fuchsiafall

#endif  // SERVER_CONTROL_BASE_H_
