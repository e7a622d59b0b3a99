/// @file output_type.h Outputs of the state machines, performed by the process
/// that runs them.
#ifndef OUTPUT_TYPE_H_
#define OUTPUT_TYPE_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "ids_type.h"
#include "log_event_func.h"
#include "proto/fuchsiafall.pb.h"
#include "reason_type.h"
#include "time_type.h"
#include "topology_base.h"

namespace fuchsiafall {

using shared_bytes = std::shared_ptr<const std::string>;

/// Sends a message to another process.
struct send_message {
  plane where = plane::kControl;
  std::string address;  ///< ip:port
  proto::envelope message;
  time_point send_at{};     ///< Earliest time to send; paces bulk transfers.
  shared_bytes attachment;  ///< Copied into the data of a blob answer just
                            ///< before sending.
};

/// Closes the connection to an address, so that the next message opens a new
/// one.
struct reset_link {
  plane where = plane::kTraffic;
  std::string address;  ///< ip:port
};

/// Writes a numbered log event.
struct log_line {
  log_event event;
  std::string detail;
};

/// Adds to a counter.
struct count_event {
  std::string name;
  uint64_t amount = 1;
};

/// Counts a refusal or a retry by its reason.
struct count_reason {
  reason why;
  bool is_retry = false;
};

/// Fetches a blob from the origin.
struct fetch_from_origin {
  digest wanted;
};

/// Reference to an artifact that an engine loads: a version or an adapter.
struct artifact_ref {
  std::string name;  ///< Id of the version or adapter.
  digest manifest;
};

/// Orders the engine to load a version with its adapters.
struct order_load {
  std::string version;
  std::vector<artifact_ref> parts;  ///< The version first, then adapters.
  revision fence_revision;
  incarnation fence_incarnation;
};

/// Runs an admitted call on the backend server.
struct start_call {
  attempt_id attempt;
  vm_id entry;
  proto::call_request request;
};

/// Cancels a call that the backend server runs.
struct cancel_call {
  attempt_id attempt;
  vm_id entry;
};

/// Creates the record that a non-idempotent call is about to run.
struct create_record {
  attempt_id attempt;
  vm_id entry;
  std::string key;    ///< Key in the platform's store.
  std::string value;  ///< Unique to this attempt.
};

/// Deletes the record of a call that is known not to have run.
struct release_record {
  std::string key;
  std::string value;
};

/// Sends a part of an answer to a caller.
struct answer_part {
  uint64_t request = 0;
  std::string data;
  int http_status = 200;
  std::string content_type;
  bool first = false;
  bool last = false;
};

/// Ends a caller's request with a refusal, or aborts an answer that has already
/// begun.
struct answer_refusal {
  uint64_t request = 0;
  reason why = reason::kNone;
  bool may_have_run = false;
  milliseconds retry_after{0};
};

using output = std::variant<send_message,
                            reset_link,
                            log_line,
                            count_event,
                            count_reason,
                            fetch_from_origin,
                            order_load,
                            start_call,
                            cancel_call,
                            create_record,
                            release_record,
                            answer_part,
                            answer_refusal>;

/// Ordered outputs of one step of a state machine.
class output_list {
 public:
  void Add(output item) { items_.push_back(std::move(item)); }
  void Log(log_event event, std::string detail) {
    Add(log_line{event, std::move(detail)});
  }
  void Count(std::string name, uint64_t amount = 1) {
    Add(count_event{std::move(name), amount});
  }
  void CountRefusal(reason why) { Add(count_reason{why, false}); }
  void CountRetry(reason why) { Add(count_reason{why, true}); }
  void Send(plane where, std::string address, proto::envelope message) {
    Add(send_message{where, std::move(address), std::move(message)});
  }

  std::vector<output>& Items() { return items_; }
  const std::vector<output>& Items() const { return items_; }

 private:
  std::vector<output> items_;
};

}  // namespace fuchsiafall

#endif  // OUTPUT_TYPE_H_
