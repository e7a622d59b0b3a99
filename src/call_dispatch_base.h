/// @file call_dispatch_base.h Dispatch of callers' requests at a hosted entry:
/// places (admission slots that agents grant), attempts, resumed streams and
/// refusals.
#ifndef CALL_DISPATCH_BASE_H_
#define CALL_DISPATCH_BASE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "caller_call_type.h"
#include "crash_ledger_base.h"
#include "event_sequence_base.h"
#include "hash_func.h"
#include "load/answer_length_base.h"
#include "load/place_search_base.h"
#include "load/place_wait_base.h"
#include "load/rank_counts_base.h"
#include "log_event_func.h"
#include "network/http_exchange.h"
#include "place_table_base.h"
#include "retry_budget_base.h"
#include "server_board_base.h"
#include "server_crash_monitor_base.h"

namespace fuchsiafall {

/// Reason of a refusal by the entry.
enum class call_refusal {
  kNoConfiguration,  ///< No configuration has been read yet.
  kStateTooOld,      ///< The last confirmed read of the store is too old.
  kNoRoute,
  kUnknownKey,
  kNoServer,  ///< No server is eligible.
  kNoPlace,   ///< No server can answer in time.
  kTimedOut,
  kServerFailed,  ///< A sent attempt failed and may have run.
  kQuarantined,   ///< The request crashes servers.
  kLeaving,       ///< This process exits before the answer would be complete.
  kNoRetry,       ///< The retry budget is used up.
  kNoMemory,      ///< The process has no memory for the request.
};

/// Returns the text of a reason for logs and counters.
std::string_view TextOf(call_refusal reason);

/// Answer that the entry generates itself to refuse a request.
struct refusal_answer {
  int status = 503;
  call_refusal reason = call_refusal::kNoServer;
  std::optional<milliseconds> retry_after;
};

struct call_dispatch_options {
  server_selector_options selector;
  milliseconds config_bound{2000};  ///< Bound for a configuration to apply.
  milliseconds revoke_bound{5000};  ///< Bound for a revoked key to be refused.
  /// Subtracted from that bound, for the transfer of a request to its server.
  milliseconds revoke_margin{300};
  /// Timeout of a place request. Covers the latency between regions plus two
  /// weight chunks queued ahead on the link of the agent.
  milliseconds place_timeout{70};
  /// Age of a place request after which a grant is not used. Its agent may have
  /// given the place to another request, and the state that the call was
  /// checked against may be outdated, after a pause of this process. Requests
  /// that wait at an agent count from the earliest time at which the grant may
  /// have been sent.
  milliseconds max_grant_age{400};
  /// Time without an answer of an agent, after which its server gets requests
  /// without a place.
  milliseconds agent_timeout{1000};
  /// Duration of most streams including their wait. While new callers still
  /// come here, requests that arrive with less time than this before the
  /// process exits are refused.
  milliseconds usual_stream_time{4000};
  place_search_options place_search;  ///< Sequential place requests.
  /// Place requests of a search on ranked services that may not wait at the
  /// agent, unless no other server is left: a free place elsewhere is better
  /// than a queue.
  uint32_t requests_without_wait = 2;
  /// Time without an event, after which a substitute is looked for. A server
  /// may be silent for longer and go on.
  milliseconds event_timeout{1200};
  /// Time until a call that found no server to go on looks for one again.
  milliseconds search_interval{400};
  /// Time before the end of the bound of replaced weights at which a request
  /// that has not begun there is aborted. The agent has made its engine reject
  /// such requests by then, unless it does not run.
  milliseconds recall_margin{100};
  size_t max_event_bytes = 262144;  ///< Of one event of a stream.
  /// Time without an answer to an idempotent call, after which a substitute is
  /// looked for, as a multiple of the target latency of its route.
  int attempt_timeout_targets = 2;
  milliseconds min_attempt_timeout{250};
  /// Maximum of requests in flight at a server whose agent does not answer.
  uint32_t max_without_place = 2;
  /// Time for which a quarantine told by agents is kept.
  seconds quarantine_time{30};
  milliseconds min_retry_after{300};
  milliseconds retry_after_spread{2000};  ///< Range of the random part.
  retry_budget_options budget;
  server_crash_options crashes;  ///< Of servers without agents.
  uint64_t seed = 1;
};

/// Callbacks by which the dispatch performs I/O.
struct call_dispatch_hooks {
  /// Sends a place request. The reply is passed to OnPlaceReply() with the same
  /// id.
  std::function<void(const site_server&, const place_request&)> request_place;
  /// Releases a place, or one that may have been granted.
  std::function<
      void(const site_server&, uint64_t place_request_id, attempt_result)>
      release_place;
  /// Starts an attempt. Its answer is passed back with the attempt's number.
  std::function<void(uint64_t call,
                     uint32_t attempt,
                     const site_server&,
                     const attempt_headers&)>
      start_attempt;
  /// Aborts the current attempt.
  std::function<void(uint64_t call)> abort_attempt;
  /// Begins a streamed answer with the head of the current attempt.
  std::function<void(uint64_t call)> begin_stream;
  std::function<void(uint64_t call, std::string_view events)> send_events;
  std::function<void(uint64_t call)> end_stream;
  /// Answers with the head of the current attempt and a complete body.
  std::function<void(uint64_t call, std::string_view body)> answer;
  std::function<void(uint64_t call, const refusal_answer&)> send_refusal;
  /// Closes the connection to the caller in the middle of a stream.
  std::function<void(uint64_t call)> abort_stream;
  /// Sends a message about crashes to another entry; it may be lost.
  std::function<void(const std::string& address, const proto::envelope&)>
      send_crash_note;
  /// Whether an established connection to a server's address is open.
  std::function<bool(const std::string& address)> is_connected;
  /// Logs a decision on a request.
  std::function<void(log_event, const std::string& detail)> log;
  std::function<void(const std::string& counter)> count;
  std::function<void(const std::string& gauge, int64_t)> set_gauge;
  std::function<void(const std::string& histogram, duration)> record_duration;
};

/// Answers each request exactly once: chooses servers, requests places, starts
/// and retries attempts, and resumes streams. Has no clock, socket or thread.
class call_dispatch {
 public:
  call_dispatch(call_dispatch_options options, call_dispatch_hooks hooks);

  void SetIndex(const site_index* index);
  /// Sets the addresses of the other entries.
  void SetPeers(time_point now, const std::vector<std::string>& peers) {
    server_crashes_.SetPeers(now, peers);
  }
  /// Sets the time of the last confirmed read of the store.
  void SetConfirmedAt(time_point at) { confirmed_at_ = at; }
  /// Sets when this process exits; answers must be complete by then.
  /// @param removed_at When new callers are sent to other entries. A request
  /// refused before may come back here, so that those that usually end in time
  /// are taken; afterwards only those that end in time in any case.
  void SetExitTime(time_point at, time_point removed_at) {
    exit_at_ = at;
    removed_at_ = removed_at;
  }
  /// Answers all open calls, right before the process exits.
  void EndCalls(time_point now);

  /// Handles a request whose body has been received.
  /// @param id Id of the call in this process, as in the hooks.
  /// @param target Path and query of the request.
  void OnRequest(time_point now,
                 uint64_t id,
                 const caller_call& request,
                 const std::string& target,
                 time_point arrived_at);
  /// Handles the disconnection of a caller.
  void OnCallerDisconnected(time_point now, uint64_t id);
  /// Handles the reply of an agent to a place request.
  void OnPlaceReply(time_point now,
                    uint64_t place_request_id,
                    const place_reply& reply);
  /// Handles the quarantine of a trait of requests by the agents.
  void OnQuarantined(time_point now, fingerprint trait);
  /// Handles the head of an answer.
  /// @return Whether it belongs to this request.
  bool OnAnswerHead(time_point now,
                    uint64_t id,
                    uint32_t attempt,
                    const server_answer& head,
                    bool is_event_stream);
  void OnAnswerBody(time_point now,
                    uint64_t id,
                    uint32_t attempt,
                    std::string_view bytes);
  void OnExchangeEnd(time_point now,
                     uint64_t id,
                     uint32_t attempt,
                     exchange_end end);
  /// Returns the bytes that are held of the current answer to a call.
  size_t HeldAnswerBytes(uint64_t id) const;
  /// Gives up an answer for which there is no memory.
  void OnAnswerOverBudget(time_point now, uint64_t id, uint32_t attempt);
  /// Handles a request for whose body there is no memory: one that runs goes on
  /// without it and is not repeated, any other is refused.
  /// @return Whether the call goes on.
  bool OnRequestOverBudget(time_point now, uint64_t id);
  /// Handles the message of another entry about crashes.
  void OnCrashNote(time_point now,
                   const std::string& from,
                   const proto::envelope& message) {
    server_crashes_.OnMessage(now, from, message);
  }
  /// Handles an idle connection that a server has ended.
  void OnConnectionLost(time_point now, const std::string& address) {
    server_crashes_.OnConnectionLost(now, address);
  }
  /// Decides on crashes of servers. To be called several times a second.
  void RunCrashMonitor(time_point now) { server_crashes_.RunDue(now, index_); }
  /// Handles the timeouts that have expired.
  void RunDue(time_point now);
  /// Returns the time of the next timeout.
  std::optional<time_point> NextDue() const;
  size_t OpenCallCount() const { return calls_.size(); }
  /// Whether the known state is recent enough to accept API keys.
  bool IsFresh(time_point now) const;
  /// Whether the known state is recent enough to refuse for good what it does
  /// not contain: an older one may lack a route or key that is in force.
  bool IsCurrent(time_point now) const;

 private:
  /// Place request that was given up before its reply was received.
  struct cancelled_inquiry {
    std::string server;  ///< Id of the server.
    time_point requested_at{};
  };

  /// Place that an agent has granted to an attempt.
  struct granted_place {
    uint64_t id = 0;          ///< Of its place request.
    bool is_suspect = false;  ///< Of crashing servers, as its agent says.
  };

  /// State of a request that has not been answered completely yet.
  struct call_state {
    uint64_t id = 0;
    caller_call request;
    call_kind kind = call_kind::kNonIdempotent;
    site_route route;
    std::string service;
    std::string tenant;
    std::vector<std::string> tenant_regions;
    bool has_key = false;
    bool is_model = false;
    /// Whether its service has requests of several ranks.
    bool is_ranked = false;
    uint32_t rank = 0;
    uint32_t route_rank = 0;  ///< By the priority of its route alone.
    bool is_retry = false;    ///< Whether its caller was refused before.
    /// Time to the first token at a server with a free slot.
    duration first_token_time{};
    duration waited{};  ///< Sum of its waits at agents that have ended.
    time_point arrived_at{};
    time_point deadline{};
    time_point target_deadline{};
    std::set<std::string> tried;  ///< Servers not to be tried again.
    /// Servers that received a place request since the search began.
    std::set<std::string> asked_servers;
    /// The only place request, or one for a substitute of the attempt.
    std::optional<pending_inquiry> place_inquiry;
    bool has_asked = false;    ///< Whether it has ever requested a place.
    bool has_attempt = false;  ///< Whether an attempt runs.
    /// Of the attempt, or of the last place request if there is none.
    site_server server;
    std::optional<granted_place> place;  ///< Of the attempt.
    bool is_silent = false;   ///< Whether the attempt was silent for too long.
    double yield_rank = 0.5;  ///< Among the recent calls of its route.
    uint32_t place_request_count = 0;  ///< Since the search began.
    bool has_body = true;              ///< Whether its body is still held.
    uint32_t attempt = 0;              ///< Number of the current attempt.
    uint32_t possible_runs = 0;        ///< Attempts that may have run.
    /// When a server is next looked for, unless the attempt goes on.
    std::optional<time_point> search_at;
    time_point attempt_at{};   ///< When the current attempt was sent.
    time_point progress_at{};  ///< When the current attempt last sent bytes.
    /// When the current attempt is aborted unless it has begun to run.
    std::optional<time_point> recall_at;
    bool has_head = false;
    server_answer head;
    bool is_streaming = false;  ///< Whether a streamed answer has begun.
    /// Whether the body of the current answer is forwarded as events.
    bool forwards_events = false;
    event_sequence events;
    /// Expected answer length, in tokens; 0 if unknown.
    uint32_t expected_tokens = 0;
    std::optional<uint64_t> weights;  ///< Version that serves the stream.
    bool names_version = false;  ///< Whether its attempt expects a version.
    std::string body;            ///< Body of an answer that is not streamed.
    /// Time until a slot is expected to be free; the minimum over the denials.
    std::optional<milliseconds> expected_free_in;
    /// The same for a request of its rank; nullopt if no agent told it.
    std::optional<milliseconds> rank_free_in;
  };

  void DispatchModelCall(time_point now, call_state* call);
  void DispatchPlainCall(time_point now, call_state* call);
  /// Whether a call may ask another server for a place.
  bool MayRequestPlace(time_point now, const call_state& call) const;
  /// @param may_wait Whether the agent may queue the request.
  void RequestPlace(time_point now,
                    call_state* call,
                    const site_server& server,
                    bool may_wait);
  /// Records what the reply to a place request tells about its server.
  void RecordPlaceReply(time_point now,
                        const pending_inquiry& asked,
                        const place_reply& reply);
  /// Records the outcome of a place request for the limits of later searches.
  void RecordSearch(time_point now, const call_state& call, bool is_granted);
  /// Handles a denial.
  void OnPlaceDenied(time_point now,
                     call_state* call,
                     const std::string& server,
                     const place_reply& reply);
  /// Handles the reply that a call waits at an agent: it goes on waiting, or
  /// asks elsewhere if it would be late.
  void OnPlaceQueued(time_point now,
                     call_state* call,
                     const place_reply& reply);
  /// Ends the wait of a call at an agent, if it waits.
  /// @param outcome For the log.
  void EndWait(time_point now,
               call_state* call,
               const pending_inquiry& asked,
               std::string_view outcome);
  /// Handles a place request whose reply did not come in time.
  void OnPlaceTimeout(time_point now, call_state* call);
  /// Counts a call of a ranked service by rank and organisation.
  void CountByRank(const call_state& call,
                   const std::string& event,
                   std::string_view detail = "");
  /// Whether a server that was asked for a place may still run the call.
  bool IsStillEligible(time_point now,
                       const call_state& call,
                       const std::string& id) const;
  /// Finds why a call may be sent to no server now; nullopt if it may.
  std::optional<call_refusal> FindObstacle(time_point now,
                                           const call_state& call) const;
  /// Chooses the server of the next attempt or place request. The current
  /// attempt, if any, goes on meanwhile.
  void Dispatch(time_point now, call_state* call);
  /// Whether what keeps a call from being sent may pass by itself.
  bool MayPass(time_point now,
               const call_state& call,
               call_refusal reason) const;
  /// Handles a dispatch that found no server: the call waits for its attempt or
  /// for a server to resume its stream, or is refused.
  void OnNoServer(time_point now, call_state* call, call_refusal reason);
  /// The same where no server is eligible, of which some may be paused.
  void OnNoEligibleServer(time_point now, call_state* call);
  /// Sends a call to a server, in place of the current attempt, if any.
  void Send(time_point now,
            call_state* call,
            const site_server& server,
            std::optional<granted_place> place);
  void StartAttempt(time_point now,
                    call_state* call,
                    const site_server& server,
                    std::optional<granted_place> place);
  /// Whether the route allows one more attempt.
  static bool MayRepeat(const call_state& call, bool may_have_run);
  /// Repeats the request if route, time and budget allow it.
  void Retry(time_point now, call_state* call, bool may_have_run);
  /// Looks for a server to repeat a request on.
  void Search(time_point now, call_state* call);
  /// Handles an attempt that begins or goes on: sets when it counts as silent.
  void OnProgress(time_point now, call_state* call);
  /// Records once per attempt that its server is silent.
  void RecordSilence(time_point now, call_state* call);
  /// Whether an attempt must not begin to run any more.
  static bool IsRecalled(time_point now, const call_state& call);
  void FinishBuffered(time_point now, call_state* call);
  void FinishStream(time_point now, call_state* call);
  /// Records the length of the answer of a complete stream.
  void RecordLength(const call_state& call);
  /// Aborts an attempt whose answer is malformed.
  /// @param why For the log.
  void AbortMalformed(time_point now, call_state* call, std::string_view why);
  /// The same, and repeats the request.
  void OnMalformedAnswer(time_point now,
                         call_state* call,
                         std::string_view why);
  /// Records what the server announced in the head of its answer.
  void RecordNotices(time_point now, const call_state& call);
  /// Whether a call may be taken with what is left before the exit.
  bool EndsBeforeExit(time_point now, const call_state& call) const;
  /// Determines what the end of an exchange says about the attempt.
  static attempt_result ResultOf(const call_state& call, exchange_end end);
  /// Ends the current attempt and the search for a substitute, and releases
  /// their places.
  void EndAttempt(time_point now,
                  call_state* call,
                  attempt_result result = attempt_result::kOther);
  /// Ends the current attempt before its answer is complete.
  void AbortAttempt(time_point now, call_state* call);
  /// Records what the end of an exchange with a server without an agent says
  /// about a crash of it.
  void RecordServerEnd(time_point now,
                       const call_state& call,
                       exchange_end end);
  /// Handles the reply to a place request that was given up: its grant is not
  /// used, but it shows that the agent runs.
  void OnCancelledPlaceReply(time_point now,
                             uint64_t place_request_id,
                             const place_reply& reply);
  /// Gives up the open place request, and releases its place if granted.
  /// @param outcome Of a wait at the agent, for the log.
  void CancelPlaceRequest(time_point now,
                          call_state* call,
                          std::string_view outcome = "cancelled");
  void Refuse(time_point now, call_state* call, call_refusal reason);
  /// Ends a stream that has begun, so that it does not look complete.
  void CutStream(time_point now, call_state* call, call_refusal reason);
  /// Forgets a call that has been answered or refused.
  void Erase(time_point now, call_state* call);
  /// Handles the timeouts of one call that have expired.
  void RunDueCall(time_point now, call_state* call);
  /// Returns the time of the next timeout of a call.
  static time_point DueAt(const call_state& call);
  server_query QueryOf(const call_state& call) const;
  /// Finds the call if the attempt is its current one; nullptr otherwise.
  call_state* Find(uint64_t id, uint32_t attempt);
  /// Formats the log details of a call.
  std::string Describe(time_point now, const call_state& call) const;
  /// Formats rank, organisation and wait of a call of a ranked service.
  static std::string DescribeRank(time_point now, const call_state& call);
  milliseconds RetryAfter(const call_state& call);
  double Random() { return std::uniform_real_distribution<>(0, 1)(random_); }

  call_dispatch_options options_;
  call_dispatch_hooks hooks_;
  std::mt19937_64 random_;
  server_selector selector_;
  place_search place_search_;
  rank_counts rank_counts_;
  answer_lengths answer_lengths_{{}};
  pause_watch pause_watch_;
  size_t waiting_calls_ = 0;  ///< Calls that wait at agents.
  retry_budget budget_;
  const site_index* index_ = nullptr;
  time_point confirmed_at_{};
  std::optional<time_point> exit_at_;
  time_point removed_at_{};
  crash_history agent_quarantines_{{}};  ///< Told by agents.
  server_crash_monitor server_crashes_;  ///< Of servers without agents.
  std::map<uint64_t, call_state> calls_;
  /// Call ids by place request id.
  std::map<uint64_t, uint64_t> open_place_requests_;
  /// Those whose reply would still show that the agent runs, by their ids.
  std::map<uint64_t, cancelled_inquiry> cancelled_place_requests_;
  /// Ids must differ from those of an earlier process on this VM, whose places
  /// the agents may still hold.
  uint64_t next_place_request_id_ = Hash64("place request", options_.seed) | 1;
};

}  // namespace fuchsiafall

#endif  // CALL_DISPATCH_BASE_H_
