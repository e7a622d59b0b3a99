/// @file call_dispatch_base.h Callers' requests at a hosted entry: places,
/// attempts, resumed streams and refusals.
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
#include "event_splitter_base.h"
#include "log_event_func.h"
#include "network/http_exchange.h"
#include "place_table_base.h"
#include "retry_budget_base.h"
#include "server_board_base.h"

namespace fuchsiafall {

/// Why a request got no answer of a server.
enum class call_refusal {
  kNoConfiguration,  ///< None has been read yet.
  kBeliefTooOld,     ///< Nothing has been heard of the store for too long.
  kNoRoute,
  kUnknownKey,
  kNoServer,  ///< No server may take it.
  kNoPlace,   ///< No server answers it in time.
  kTimedOut,
  kServerFailed,  ///< Sent, and it may have run.
  kQuarantined,   ///< It crashes the servers that run it.
  kLeaving,       ///< This process ends before the answer would be whole.
};

/// Text of a reason, for logs and counters.
std::string_view TextOf(call_refusal why);

/// Final answer of our own.
struct own_answer {
  int status = 503;
  call_refusal why = call_refusal::kNoServer;
  std::optional<milliseconds> retry_after;
};

struct call_dispatch_options {
  server_board_options board;
  milliseconds revoke{5000};  ///< In which a revoked key stops to work.
  /// Subtracted from it, for the way of a request to its server.
  milliseconds revoke_margin{300};
  /// Time in which an agent answers: the way between regions, behind two pieces
  /// of weights on its link.
  milliseconds ask_timeout{70};
  /// Silence of an agent after which its server gets requests without a place.
  milliseconds agent_silence{1000};
  /// Time that most streams take, with their wait. What comes when less than
  /// this is left before the process ends is better off elsewhere.
  milliseconds whole_stream{4000};
  uint32_t most_asks = 6;  ///< Servers asked for a place, one after the other.
  /// To the first event of a stream, and between two: a server that is alive
  /// sends one with each pass.
  milliseconds stream_silence{1200};
  /// Attempts of idempotent calls, as a multiple of their target.
  int attempt_targets = 2;
  milliseconds least_attempt{250};
  /// Requests at servers whose agents are silent, for each of these servers.
  uint32_t most_unasked = 2;
  milliseconds least_retry_after{300};
  milliseconds most_retry_after{2000};
  retry_budget_options budget;
  uint64_t seed = 1;
};

/// What the process around it does for the dispatch.
struct call_dispatch_hooks {
  /// Asks for a place; the answer comes back with the question's number.
  std::function<void(const site_server&, const place_ask&)> ask;
  /// @param was_broken Whether the server broke off.
  std::function<void(const site_server&, uint64_t question, bool was_broken)>
      give_back;
  /// Sends an attempt; its answer comes back with the attempt's number.
  std::function<void(uint64_t call,
                     uint32_t attempt,
                     const site_server&,
                     const attempt_terms&)>
      start;
  std::function<void(uint64_t call)> abort;  ///< Ends the present attempt.
  /// Begins a streamed answer with the head of the present attempt.
  std::function<void(uint64_t call)> begin_stream;
  std::function<void(uint64_t call, std::string_view events)> send_events;
  std::function<void(uint64_t call)> end_stream;
  /// Answers with the head of the present attempt and a whole body.
  std::function<void(uint64_t call, std::string_view body)> answer;
  std::function<void(uint64_t call, const own_answer&)> answer_own;
  std::function<void(uint64_t call)> break_off;
  /// Reads the id of an event.
  std::function<std::optional<uint64_t>(std::string_view)> event_id;
  /// Notes a decision on a request, for the log.
  std::function<void(log_event, const std::string& detail)> log;
  std::function<void(const std::string& counter)> count;
  std::function<void(const std::string& histogram, duration)> time;
};

/// Takes each request to one whole answer. Has no clock, socket or thread.
class call_dispatch {
 public:
  call_dispatch(call_dispatch_options options, call_dispatch_hooks hooks);

  void SetIndex(const site_index* index);
  /// Tells up to when the store's word is known to hold.
  void SetSound(time_point at) { sound_at_ = at; }
  /// Tells when this process ends; answers have to be whole by then.
  void SetEnd(time_point at) { ends_at_ = at; }

  /// Takes a request with its body.
  void OnRequest(time_point now,
                 uint64_t call,
                 const caller_call& request,
                 const std::string& target,
                 time_point arrived_at);
  /// The caller has left.
  void OnGone(time_point now, uint64_t call);
  void OnPlace(time_point now, uint64_t question, const place_reply& reply);
  /// Takes the head of an answer.
  /// @return Whether it answers this request.
  bool OnHead(time_point now,
              uint64_t call,
              uint32_t attempt,
              const server_answer& head,
              bool is_event_stream);
  void OnBody(time_point now,
              uint64_t call,
              uint32_t attempt,
              std::string_view bytes);
  void OnEnd(time_point now, uint64_t call, uint32_t attempt, exchange_end end);
  /// Runs what is due.
  void Step(time_point now);
  std::optional<time_point> NextStep() const;
  size_t Open() const { return calls_.size(); }
  /// Whether the belief is fresh enough for requests with a key.
  bool IsSound(time_point now) const;

 private:
  enum class stage { kAsking, kSent };

  struct call {
    uint64_t id = 0;
    caller_call request;
    call_kind kind = call_kind::kNonIdempotent;
    site_route route;
    std::string service;
    std::string tenant;
    std::vector<std::string> tenant_regions;
    bool has_key = false;
    bool is_model = false;
    time_point arrived_at{};
    time_point deadline{};
    time_point on_time_until{};
    stage at = stage::kAsking;
    std::set<std::string> tried;  ///< Servers not to be used again.
    std::set<std::string> asked;  ///< Servers that denied a place.
    site_server server;           ///< Of the present question or attempt.
    bool has_place = false;
    uint64_t question = 0;  ///< Number of the present one.
    uint32_t asks = 0;      ///< Since the last attempt.
    uint32_t attempt = 0;   ///< Number of the present one.
    uint32_t sends = 0;     ///< Attempts that may have run.
    time_point step_at{};   ///< When the present wait is over.
    bool has_head = false;
    server_answer head;
    bool is_streaming = false;  ///< Whether the caller has the head.
    std::optional<uint64_t> last_event;
    std::optional<uint64_t> weights;  ///< Version that the stream began with.
    event_splitter events;
    std::string body;  ///< Of answers that are not streamed.
    std::optional<milliseconds> free_after;  ///< Least one told by denials.
  };

  void PlaceModelCall(time_point now, call* item);
  void PlacePlainCall(time_point now, call* item);
  void Place(time_point now, call* item);
  void Send(time_point now, call* item);
  void Retry(time_point now, call* item, bool may_have_run);
  void FinishWhole(time_point now, call* item);
  void FinishStream(time_point now, call* item);
  void Release(call* item, bool was_broken = false);
  void DropQuestion(call* item);
  void Refuse(time_point now, call* item, call_refusal why);
  void Erase(uint64_t id) { calls_.erase(id); }
  server_query QueryOf(const call& item) const;
  call* Find(uint64_t id, uint32_t attempt);
  std::string Describe(time_point now, const call& item) const;
  milliseconds RetryAfter(const call& item);
  double Random() { return std::uniform_real_distribution<>(0, 1)(random_); }

  call_dispatch_options options_;
  call_dispatch_hooks hooks_;
  std::mt19937_64 random_;
  server_board board_;
  retry_budget budget_;
  const site_index* index_ = nullptr;
  time_point sound_at_{};
  std::optional<time_point> ends_at_;
  crash_ledger crashes_{{}};  ///< Of plain services, as seen here.
  std::map<uint64_t, call> calls_;
  std::map<uint64_t, uint64_t> questions_;  ///< Calls that ask, by question.
  uint64_t next_question_ = 1;
};

}  // namespace fuchsiafall

#endif  // CALL_DISPATCH_BASE_H_
