/// @file request_table_base.h Open requests of callers at one entry: attempts,
/// retries and answers.
#ifndef REQUEST_TABLE_BASE_H_
#define REQUEST_TABLE_BASE_H_

#include <map>
#include <set>
#include <string>

#include "gossip_base.h"
#include "output_type.h"
#include "router_base.h"

namespace fuchsiafall {

struct request_table_options {
  vm_id self;
  incarnation own_incarnation;
  std::string own_traffic_address;
  milliseconds deadline{30000};  ///< Default deadline of a request.
  /// Time-out between two parts or keepalives.
  milliseconds progress_timeout{5000};
  milliseconds max_ready_wait{3000};  ///< Maximum wait for a ready server.
  double retry_share = 0.2;           ///< Retries earned per answered request.
};

/// Request of a caller, as read by the HTTP thread.
struct caller_request {
  uint64_t id = 0;    ///< Unique in this process; chosen by the HTTP thread.
  std::string token;  ///< Bearer token of the organisation.
  std::string model;  ///< Name of the model, adapter or service.
  bool is_model_call = false;  ///< Whether it came on the completions path.
  std::string method;
  std::string path;
  std::string body;
  std::string prefix;  ///< Beginning of the prompt, for affinity.
  std::string idempotency_key;
  milliseconds deadline{0};  ///< 0 if the caller sets none.
  uint32_t priority = 0;
  bool stream = false;
};

/// The caller has disconnected before it received the whole answer.
struct caller_disconnected {
  uint64_t id = 0;
};

/// Routes requests and returns to each caller either the complete answer or one
/// refusal. A refusal states "not run" only if no attempt may have run.
class request_table {
 public:
  request_table(request_table_options options, router* routes, gossip* members);

  void OnRequest(time_point now,
                 const caller_request& request,
                 output_list* out);
  /// Cancels the request of a caller that has disconnected.
  void OnCallerDisconnected(time_point now, uint64_t id, output_list* out);
  void OnPart(time_point now,
              const vm_id& from,
              const proto::call_part& part,
              output_list* out);
  /// Restarts the time-outs of attempts after a pause of this process: what
  /// agents have sent meanwhile has not been read yet.
  void OnPause(time_point now);
  /// Ends expired requests, retries waiting ones and times out attempts.
  void RunDue(time_point now, output_list* out);
  /// Refuses all new requests.
  void ShutDown() { is_shutting_down_ = true; }
  size_t Open() const { return requests_.size(); }

 private:
  /// Open request.
  struct request {
    uint64_t id = 0;
    proto::call_request call;  ///< Message sent in each attempt.
    route_query query;
    std::set<vm_id> tried;
    time_point received_at{};
    time_point deadline{};
    time_point ready_deadline{};  ///< End of the wait for a ready server.
    time_point last_progress{};
    attempt_id attempt;  ///< 0 while there is none.
    vm_id server;        ///< Server of the current attempt.
    uint32_t next_sequence = 0;
    uint64_t bytes = 0;
    std::string buffered;  ///< Answer so far, of a non-streaming request.
    int http_status = 200;
    std::string content_type;
    bool has_answered = false;  ///< Whether a part was sent to the caller.
    bool may_have_run = false;  ///< Whether any attempt may have run.
    uint32_t attempts = 0;
    reason last_reason = reason::kNoServerReady;
    milliseconds retry_after{0};
  };

  /// Fills in call and query from the configuration.
  /// @return Reason for a refusal; nullopt if the request is accepted.
  std::optional<reason> Resolve(const caller_request& from,
                                request* item) const;
  /// Finds the service of a model, given by the name of the service, the model
  /// or an adapter.
  bool ResolveModel(const std::string& name, request* item) const;
  /// Sends the next attempt, or leaves the request waiting for a server.
  void TryNextServer(time_point now, request* item, output_list* out);
  void SendAttempt(time_point now,
                   request* item,
                   const vm_id& server,
                   output_list* out);
  void OnFailedAttempt(time_point now,
                       request* item,
                       reason reason,
                       bool may_have_run,
                       output_list* out);
  bool MayRetry(const request& item, reason reason) const;
  /// Charges a retry to the budget, unless retries for this reason are free.
  bool SpendRetryToken(reason reason);
  void AcceptPart(time_point now,
                  request* item,
                  const proto::call_part& part,
                  output_list* out);
  void Finish(time_point now, request* item, output_list* out);
  void Refuse(request* item, reason reason, output_list* out);
  void ResetLink(const request& item, output_list* out);
  void CancelAttempt(request* item, bool has_timed_out, output_list* out);
  void EndAttempt(time_point now, request* item, bool failed, output_list* out);

  request_table_options options_;
  router* router_;
  gossip* gossip_;
  std::map<uint64_t, request> requests_;
  std::map<attempt_id, uint64_t> attempts_;
  uint64_t next_attempt_ = 1;
  double retry_tokens_;
  bool is_shutting_down_ = false;
};

}  // namespace fuchsiafall

#endif  // REQUEST_TABLE_BASE_H_
