/// @file server_control_base.h Control of one backend server: when it drains,
/// loads and serves.
#ifndef SERVER_CONTROL_BASE_H_
#define SERVER_CONTROL_BASE_H_

#include <set>
#include <string>
#include <vector>

#include "output_type.h"

namespace fuchsiafall {

/// Stages of a backend server, as its agent sees it.
enum class server_stage { kUnknown, kEmpty, kDraining, kLoading, kServing };

/// What the engine says of itself.
struct engine_report {
  enum class load_stage { kEmpty, kLoading, kReady };
  bool reachable = false;
  std::string start_id;  ///< Changes when the engine restarts.
  load_stage stage = load_stage::kEmpty;
  std::string version;  ///< Version that is loaded.
  std::vector<std::string>
      digests;  ///< Manifest digests in hex of what is loaded.
  std::vector<std::string> adapters;
  bool is_warm = true;
};

/// Answer of the engine to an order to load.
struct load_answer {
  enum class status_type { kTaken, kRefused, kUnreachable, kStale };
  status_type status = status_type::kTaken;
  std::string version;
  std::string reason;
};

struct server_control_options {
  vm_id self;
  domain_id domain;
  incarnation own_incarnation;
  milliseconds order_retry{
      5000};  ///< Time after which an order without effect is repeated.
  milliseconds turn_patience{
      120000};  ///< Time after which a server ahead in turn is passed over.
  milliseconds report_lag{2000};  ///< Age that the engine's reports may have.
  milliseconds recheck_longest{
      5000};  ///< Longest wait for a confirmed revision after a pause.
};

/// What server_control needs to know of the rest of the agent in each step.
struct server_context {
  bool weights_complete = false;
  size_t running_calls = 0;
  time_point
      last_confirmed{};  ///< When the revision in force was last confirmed.
};

/// Decides when the engine is ordered to load, and whether calls are admitted.
class server_control {
 public:
  explicit server_control(server_control_options options);

  /// Sets what should be served; an empty version stands for a plain service.
  void SetTarget(time_point now,
                 const topology_ptr& where,
                 const proto::service& service,
                 const std::vector<load_part>& parts);
  void OnEngine(time_point now, const engine_report& report, output_list* out);
  void OnLoadAnswer(time_point now,
                    const load_answer& answer,
                    output_list* out);
  /// Takes the list of servers in the domain that are known to serve the
  /// target.
  /// @return Whether it said anything new.
  bool OnLoadedMap(const proto::loaded_map& map);
  /// Notes that the process was paused, so that the target may be out of date.
  void NotePause(time_point now);
  void Step(time_point now, const server_context& context, output_list* out);

  /// Whether new calls may be admitted.
  bool Accepts() const;
  /// Whether the engine's reports show it as warm since it last started or
  /// loaded.
  bool IsWarm(time_point now) const;
  server_stage Stage() const { return stage_; }
  /// Version that new calls would get; empty when none is served.
  std::string ServedVersion() const;
  const engine_report& Engine() const { return engine_; }
  const std::string& LastReason() const { return last_reason_; }
  proto::loaded_map LoadedMap() const;

 private:
  bool IsPlain() const { return service_.kind() == proto::service::PLAIN; }
  bool HasTarget() const;
  bool IsConfirmed(time_point now, const server_context& context) const;
  bool HasTurn(time_point now) const;
  void Order(time_point now, output_list* out);
  std::string TargetKey() const;

  server_control_options options_;
  proto::service service_;
  std::vector<load_part> parts_;
  topology_ptr world_;
  std::vector<std::string>
      turn_order_;  ///< Servers of the service and domain, by turn.
  std::set<std::string> loaded_;  ///< Of them, those known to serve the target.
  engine_report engine_;
  server_stage stage_ = server_stage::kUnknown;
  std::string last_reason_;
  time_point weights_since_{};
  bool had_weights_ = false;
  time_point ordered_at_{};
  bool was_ordered_ = false;
  time_point cold_since_{};  ///< Last start or load of the engine.
  time_point paused_at_{};
  bool was_paused_ = false;
};

}  // namespace fuchsiafall

#endif  // SERVER_CONTROL_BASE_H_
