/// @file call_table_base.h Calls in progress at one agent, from arrival to the
/// last part of the answer.
#ifndef CALL_TABLE_BASE_H_
#define CALL_TABLE_BASE_H_

#include <list>
#include <map>
#include <string>

#include "admission_base.h"
#include "output_type.h"

namespace fuchsiafall {

struct call_table_options {
  vm_id self;
  incarnation own_incarnation;
  admission_options admission;
  /// Interval of the keepalive parts of a call that produces no data.
  milliseconds keepalive{1000};
  /// Complete answers kept for repeated idempotency keys.
  size_t saved_answers = 1000;
};

/// State of the agent that decides whether an arriving call may run.
struct call_context {
  const proto::service* service = nullptr;  ///< Service of this backend server.
  bool accepts = false;                     ///< Whether the server is serving.
  std::string served_version;
  std::vector<std::string> adapters;  ///< Loaded adapters.
  bool domain_in_service = true;
  bool is_leaving = false;
  bool is_idempotent = false;
  uint32_t weight = 1;  ///< Fair-share weight of the organisation.
};

/// Part of an answer from the backend server.
struct engine_part {
  call_id id;
  std::string data;
  int http_status = 200;
  std::string content_type;
  bool last = false;
  reason why = reason::kNone;  ///< Set in the last part of a call that failed.
};

/// Result of creating the record of a non-idempotent call.
struct record_result {
  enum class status_type { kCreated, kExists, kUnavailable };
  call_id id;
  status_type status = status_type::kUnavailable;
};

/// Admits, runs and answers calls. A refusal states "not run" only if the call
/// was not handed to the backend server or the server accepted no connection.
class call_table {
 public:
  explicit call_table(call_table_options options);

  void SetLimits(uint32_t cold_limit, uint32_t max_limit);
  void OnCall(time_point now,
              const vm_id& entry,
              const std::string& reply_address,
              const proto::call_request& request,
              const call_context& context,
              output_list* out);
  void OnRecord(time_point now, const record_result& result, output_list* out);
  void OnPart(time_point now, const engine_part& part, output_list* out);
  /// Handles the cancellation of a call by its entry.
  /// @param has_timed_out Whether the entry cancels because it received no part
  ///     in time.
  void OnCancel(time_point now,
                const call_id& id,
                bool has_timed_out,
                output_list* out);
  /// Lowers the admission limit to the cold limit.
  void ResetToColdLimit(output_list* out);
  /// Sets whether the server is warm; the limit grows only while it is.
  void SetWarm(bool is_warm) { admission_.SetWarm(is_warm); }
  /// Refuses all queued calls as "not run".
  void RefuseQueued(time_point now, reason reason, output_list* out);
  /// Refuses the queued calls and every later one.
  void ShutDown(time_point now, output_list* out);
  /// Expires queued calls, starts ready ones, cancels overdue idempotent calls
  /// and sends keepalives.
  void RunDue(time_point now, output_list* out);

  /// Calls that have started and not finished.
  size_t Running() const { return admission_.InFlight(); }
  size_t Queued() const { return admission_.Queued(); }
  const admission& Admission() const { return admission_; }
  /// Sets the server state that is piggybacked on answers.
  void SetState(const proto::server_state& state) { state_ = state; }

 private:
  enum class call_stage { kQueued, kRecording, kRunning };
  /// Call between its arrival and its last part.
  struct call {
    proto::call_request request;
    std::string reply_address;
    call_stage stage = call_stage::kQueued;
    time_point deadline{};
    time_point started_at{};
    time_point last_sent{};
    uint32_t next_sequence = 0;
    uint64_t bytes = 0;
    bool had_part = false;  ///< Whether a part of the answer has arrived.
    bool is_idempotent = true;
    std::string answer;  ///< Answer so far, of a non-idempotent call.
    int http_status = 0;
    std::string content_type;
  };
  /// Complete answer, replayed for a repeated idempotency key.
  struct saved_answer {
    uint64_t fingerprint = 0;
    int http_status = 200;
    std::string content_type;
    std::string data;
  };

  std::optional<reason> FindRefusal(time_point now,
                                    const proto::call_request& request,
                                    const call_context& context) const;
  bool AnswerFromSaved(const call_id& id, const call& item, output_list* out);
  void Save(const call& item);
  /// Runs an admitted call, after its record is created if it is not
  /// idempotent.
  void Begin(time_point now, const call_id& id, output_list* out);
  /// Hands a call to the backend server.
  void Run(time_point now, const call_id& id, output_list* out);
  /// Begins the queued calls that the admission limit now allows.
  void StartReady(time_point now, output_list* out);
  void Refuse(const std::string& address,
              const call_id& id,
              reason reason,
              uint32_t sequence,
              bool may_have_run,
              output_list* out);
  void RefuseAndErase(const call_id& id, reason reason, output_list* out);
  void SendPart(time_point now,
                const call_id& id,
                call* item,
                const engine_part& part,
                output_list* out);
  /// Key of a call's record in the store, the same for all attempts and
  /// entries.
  std::string RecordKey(const proto::call_request& request) const;
  /// Value of a call's record, unique to the attempt at this agent.
  std::string RecordValue(const call_id& id) const;

  call_table_options options_;
  admission admission_;
  std::map<call_id, call> calls_;
  std::map<std::string, saved_answer> saved_;
  std::list<std::string> saved_order_;  ///< Keys in saved_, oldest first.
  proto::server_state state_;
  bool is_shutting_down_ = false;
};

}  // namespace fuchsiafall

#endif  // CALL_TABLE_BASE_H_
