/// @file agent_base.h State machine of the agent in front of one backend
/// server.
#ifndef AGENT_BASE_H_
#define AGENT_BASE_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "call_table_base.h"
#include "gossip_base.h"
#include "server_control_base.h"
#include "weight_transfer_base.h"

namespace fuchsiafall {

/// Changes that the platform's store holds after the requested revision.
struct store_changes {
  std::optional<proto::configuration> snapshot;
  google::protobuf::RepeatedPtrField<proto::edit> edits;
};

/// Message received from another process.
struct message_arrival {
  plane where = plane::kControl;
  proto::envelope message;
};

/// The periodic control work is due.
struct tick {};
/// The process was paused for longer than a control interval.
struct pause_detected {};
/// A graceful shutdown was requested.
struct shutdown_order {};

using agent_input = std::variant<tick,
                                 pause_detected,
                                 shutdown_order,
                                 store_changes,
                                 proto::vm_list,
                                 message_arrival,
                                 blob_arrival,
                                 engine_report,
                                 load_answer,
                                 engine_part,
                                 record_result>;

struct agent_options {
  vm_id self;
  domain_id domain;
  gossip_options gossip;
  weight_transfer_options weights;
  server_control_options server;
  call_table_options calls;
};

/// Coordinates the configuration, the weights, the backend server and its
/// calls. It is a pure state machine without clock, threads or sockets: each
/// input comes with the current time, and effects are returned as outputs.
class agent {
 public:
  using tick_input = tick;
  using pause_input = pause_detected;

  agent(agent_options options, std::shared_ptr<blob_store> blobs);

  /// Handles one input and returns the resulting outputs.
  /// @pre `now` never decreases between calls.
  output_list Step(time_point now, const agent_input& input);

  const gossip& Gossip() const { return gossip_; }
  const weight_transfer& Weights() const { return weights_; }
  const server_control& Server() const { return server_; }
  const call_table& Calls() const { return calls_; }
  /// Returns the state of this server that is published to entries.
  proto::server_state State() const;
  /// Whether a shutdown was requested and all calls have finished.
  bool IsDrained() const { return is_shutting_down_ && calls_.Running() == 0; }
  bool IsShuttingDown() const { return is_shutting_down_; }

 private:
  void OnMessage(time_point now,
                 const message_arrival& arrival,
                 output_list* out);
  void OnCall(time_point now, const proto::envelope& message, output_list* out);
  void OnEngineReport(time_point now,
                      const engine_report& report,
                      output_list* out);
  void OnNewRevision(time_point now, output_list* out);
  void RunDue(time_point now, output_list* out);
  void SendLoadedMap(output_list* out);
  void PublishState(time_point now, output_list* out);

  agent_options options_;
  gossip gossip_;
  weight_transfer weights_;
  server_control server_;
  call_table calls_;
  std::string service_;
  proto::server_state published_;
  time_point published_at_{};
  /// Serialized loaded map that was last sent to neighbours.
  std::string sent_loaded_map_;
  bool is_shutting_down_ = false;
};

}  // namespace fuchsiafall

#endif  // AGENT_BASE_H_
