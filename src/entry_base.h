/// @file entry_base.h State machine of the entry, which callers talk to.
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
                                 caller_gone>;

struct entry_options {
  vm_id self;
  domain_id domain;
  gossip_options gossip;
  router_options routing;
  request_table_options requests;
};

/// Joins the configuration, the routes and the callers' requests.
/// It has no clock, thread or socket: inputs come in with the time, outputs go
/// out.
class entry {
 public:
  using tick_input = tick;
  using pause_input = pause_detected;

  explicit entry(entry_options options);
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;

  /// Takes one input at a time that never goes back.
  output_list Step(time_point now, const entry_input& input);

  const gossip& Gossip() const { return gossip_; }
  const router& Routes() const { return router_; }
  const request_table& Requests() const { return requests_; }
  /// Whether the balancer should send callers here.
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
