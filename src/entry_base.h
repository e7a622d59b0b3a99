/// @file entry_base.h State machine of the entry, which accepts callers'
/// requests.
#ifndef ENTRY_BASE_H_
#define ENTRY_BASE_H_

#include <variant>

#include "agent_base.h"
#include "request_table_base.h"

namespace fuchsiafall {

using entry_input = std::variant<tick,
                                 pause_detected,
                                 shutdown_order,
                                 store_changes,
                                 proto::vm_list,
                                 message_arrival,
                                 caller_request,
                                 caller_disconnected>;

struct entry_options {
  vm_id self;
  domain_id domain;
  gossip_options gossip;
  router_options routing;
  request_table_options requests;
};

/// State machine of an entry: combines gossip, routing and the callers'
/// requests. Performs no I/O and reads no clock: the process passes in inputs
/// with the time and performs the outputs.
class entry {
 public:
  using tick_input = tick;
  using pause_input = pause_detected;

  explicit entry(entry_options options);
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;

  /// Handles one input.
  /// @pre now is not before the time of the previous input.
  output_list Step(time_point now, const entry_input& input);

  const gossip& Gossip() const { return gossip_; }
  const router& Router() const { return router_; }
  const request_table& Requests() const { return requests_; }
  /// Whether the load balancer should route callers here.
  bool IsReady() const;
  bool IsDrained() const { return is_shutting_down_ && requests_.Open() == 0; }
  bool IsShuttingDown() const { return is_shutting_down_; }

 private:
  void OnMessage(time_point now,
                 const message_arrival& arrival,
                 output_list* out);
  void OnNewRevision(time_point now);

  entry_options options_;
  gossip gossip_;
  router router_;
  request_table requests_;
  bool is_shutting_down_ = false;
};

}  // namespace fuchsiafall

#endif  // ENTRY_BASE_H_
