/// @file request_table_base.h Callers' requests at one entry: attempts, retries
/// and answers.
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
  milliseconds deadline{30000};  ///< Of requests that name none.
  milliseconds progress{5000};  ///< Silence after which an attempt is given up.
  milliseconds park{3000};      ///< Longest wait for a server to be ready.
  double retry_share = 0.2;     ///< Retries allowed per request answered.
};

/// Request of a caller, as the HTTP thread read it.
struct caller_request {
  uint64_t id = 0;    ///< Chosen by the HTTP thread, unique in this process.
  std::string token;  ///< Bearer token of the organisation.
  std::string model;  ///< Model, adapter or service that is asked for.
  bool is_model_call = false;  ///< Whether it came in on the completions path.
  std::string method;
  std::string path;
  std::string body;
  std::string prefix;  ///< Start of the prompt, for affinity.
  std::string idempotency_key;
  milliseconds deadline{0};  ///< 0 when the caller names none.
  uint32_t priority = 0;
  bool stream = false;
};

/// The caller is gone; nobody waits for the answer.
struct caller_gone {
  uint64_t id = 0;
};

/// Routes requests and gives each caller the whole answer to its own request,
/// or one refusal. "Not run" is said only while no attempt may have run.
class request_table {
 public:
  request_table(request_table_options options, router* routes, gossip* members);

  void OnRequest(time_point now,
                 const caller_request& request,
                 output_list* out);
  void OnGone(time_point now, uint64_t id, output_list* out);
  void OnPart(time_point now,
              const vm_id& from,
              const proto::call_part& part,
              output_list* out);
  void Step(time_point now, output_list* out);
  /// Refuses every new request from now on.
  void ShutDown() { is_shutting_down_ = true; }
  size_t Open() const { return requests_.size(); }

 private:
  /// Request that has not been answered yet.
  struct request {
    uint64_t id = 0;
    proto::call_request call;  ///< As sent in each attempt.
    route_query query;
    std::set<vm_id> tried;
    time_point received_at{};
    time_point deadline{};
    time_point park_until{};
    time_point last_progress{};
    attempt_id attempt;  ///< 0 while none is on its way.
    vm_id server;        ///< Of the present attempt.
    uint32_t next_sequence = 0;
    uint64_t bytes = 0;
    std::string
        buffered;  ///< Answer so far, of requests that are not streamed.
    int http_status = 200;
    std::string content_type;
    bool has_answered = false;  ///< Whether the caller has had a part.
    bool may_have_run = false;  ///< Whether any attempt so far may have run.
    uint32_t attempts = 0;
    reason last_reason = reason::kNoServerReady;
    milliseconds retry_after{0};
  };

  std::optional<reason> Resolve(const caller_request& from,
                                request* item) const;
  bool ResolveModel(const std::string& name, request* item) const;
  void TryNext(time_point now, request* item, output_list* out);
  void SendAttempt(time_point now,
                   request* item,
                   const vm_id& server,
                   output_list* out);
  void OnFailedAttempt(time_point now,
                       request* item,
                       reason why,
                       bool may_have_run,
                       output_list* out);
  bool MayRetry(const request& item, reason why) const;
  bool PayForRetry(reason why);
  void TakePart(time_point now,
                request* item,
                const proto::call_part& part,
                output_list* out);
  void Finish(time_point now, request* item, output_list* out);
  void Refuse(request* item, reason why, output_list* out);
  void ResetLink(const request& item, output_list* out);
  void CancelAttempt(request* item, bool was_silent, output_list* out);
  void EndAttempt(time_point now, request* item, bool failed, output_list* out);

  request_table_options options_;
  router* routes_;
  gossip* members_;
  std::map<uint64_t, request> requests_;
  std::map<attempt_id, uint64_t> attempts_;
  uint64_t next_attempt_ = 1;
  double retry_tokens_;
  bool is_shutting_down_ = false;
};

}  // namespace fuchsiafall

#endif  // REQUEST_TABLE_BASE_H_
