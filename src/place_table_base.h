/// @file place_table_base.h Admission slots of one model server, granted by its
/// agent. The protocol calls an admission slot a place.
#ifndef PLACE_TABLE_BASE_H_
#define PLACE_TABLE_BASE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "engine_control_type.h"
#include "load/place_queue_base.h"
#include "load/server_slowdown_base.h"
#include "request_traits_type.h"
#include "site_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct place_table_options {
  /// Maximum number of requests in the engine's queue. Each of them waits there
  /// for about 0.1 s.
  uint32_t max_ahead = 4;
  /// If the engine reports fewer requests than there are places for this long,
  /// a release message was lost and a place is reclaimed.
  milliseconds leak_timeout{400};
  /// Age of the last report after which nothing is granted; none if zero. After
  /// a pause of this process the engine may have restarted cold, begun to drain
  /// or become full.
  milliseconds max_report_age{0};
  /// For ranked services: maximum number of requests that wait at the agent,
  /// and in the engine's queue; if nullopt, those that start in one pass.
  size_t max_waiting = 16;
  std::optional<uint32_t> ranked_max_ahead;
  grant_shares_options shares;  ///< For ranked services.
};

/// Request of an entry for a place, which is an admission slot for one attempt
/// at a model server.
struct place_request {
  std::string entry;  ///< ip:port
  uint64_t call = 0;  ///< Id of this place request, unique per entry.
  uint32_t prompt_tokens = 0;
  uint32_t answer_tokens = 0;  ///< Expected answer length; 0 if unknown.
  /// Time left until the first token would be late; 0 if it is late already.
  milliseconds first_token_budget{0};
  milliseconds time_left{0};  ///< Until the caller's timeout.
  bool is_resumed = false;    ///< Whether it resumes a stream.
  uint32_t rank = 0;          ///< 0 is the highest, kMaxRank the lowest.
  std::string organisation;   ///< Empty on anonymous routes.
  bool is_first = false;      ///< Whether it is the first of its call.
  bool may_wait = false;      ///< Whether the agent may queue it.
  request_traits traits;      ///< Of the caller's request.
};

/// Answer of an agent to a request for a place.
struct place_reply {
  bool is_granted = false;
  /// Whether the request waits at the agent. A second reply grants or denies
  /// it.
  bool is_queued = false;
  /// In denials: time until a slot is expected to be free, or with slots = 0
  /// until the server is expected to serve, 0 if unknown. In replies to queued
  /// requests: the expected wait.
  milliseconds expected_free_in{0};
  /// In denials: time until a request of this rank is expected to find a place.
  milliseconds rank_free_in{0};
  /// Time of work at this server as a multiple of the usual; nullopt if
  /// unknown.
  std::optional<double> slowdown;
  uint32_t load = 0;
  uint32_t slots = 0;  ///< 0 while the server accepts no requests.
  /// Longest answer accepted before the engine loads new weights; 0 for any.
  uint32_t max_answer_tokens = 0;
  bool is_quarantined = false;    ///< The request crashed several servers.
  fingerprint quarantined_trait;  ///< Trait of the request that did so.
  /// In grants: whether it may crash the server, so that it is not retried
  /// elsewhere if the server aborts it.
  bool is_suspect = false;
  intact_weights weights;  ///< That the server serves.
  /// Why the agent decided so; not sent.
  place_cause cause = place_cause::kNone;
};

/// Decision on a place request that has waited at the agent.
struct place_decision {
  waiting_place request;
  /// Second reply, without weights. None is sent if the entry released it.
  place_reply reply;
};

/// How an attempt ended.
enum class attempt_result {
  kOther,
  kBroken,    ///< The server aborted it.
  kAnswered,  ///< Successfully and in full.
  kClosed,    ///< With its connection, so that it may have been cut off.
};

struct released_place {
  time_point granted_at{};
  request_traits traits;  ///< Of its request.
};

/// Grants places based on the engine's reports and the places already granted,
/// so that no server accepts more requests than it can answer on time. Under a
/// steady overload of 1.1 to 1.4 times the capacity, the queue stays within the
/// callers' time budgets for the first token. Since the agent alone limits the
/// rate of a cold server, entries need no coordination to keep it.
class place_table {
 public:
  explicit place_table(place_table_options options)
      : options_(options), shares_(options.shares) {}

  /// @param cold_rate Requests per second while the engine is cold; 0 for no
  ///     limit.
  void SetProfile(const engine_profile& profile, double cold_rate) {
    profile_ = profile;
    cold_rate_ = cold_rate;
  }
  /// Handles an engine report: expires places and reclaims leaked ones.
  void OnReport(time_point now, const staged_engine_report& report);
  /// Enables or disables granting.
  void SetAccepting(bool is_accepting) { is_accepting_ = is_accepting; }
  /// Ends granting at a time: requests granted later might begin on replaced
  /// weights.
  /// @param free_slot_end The same for requests that find a free slot and an
  ///     empty queue, not before `end`.
  void SetGrantsEnd(std::optional<time_point> end,
                    std::optional<time_point> free_slot_end) {
    grants_end_ = end;
    free_slot_grants_end_ = free_slot_end;
  }
  /// Sets when a server that does not serve is expected to do so; nullopt if
  /// unknown.
  void SetServesAgainAt(std::optional<time_point> at) { serves_again_at_ = at; }
  /// Limits granting to requests that are expected to finish by a time. The
  /// engine is ordered to load weights then, and running requests delay the
  /// load.
  void SetDrainDeadline(std::optional<time_point> deadline) {
    drain_deadline_ = deadline;
  }
  /// Drops all places, because the engine has restarted.
  void OnEngineRestart(time_point now);
  /// Applies the cold rate until a time.
  void SetColdUntil(time_point until) { cold_until_ = until; }
  /// Sets whether requests have ranks. If so, they are granted in order of
  /// precedence, and some wait.
  void SetRanked(bool is_ranked) { is_ranked_ = is_ranked; }

  /// Grants or denies a place, or queues the request. A repeated request gets
  /// the same place.
  place_reply RequestPlace(time_point now, const place_request& request);
  /// Grants and denies the requests that wait. Called after each of the other
  /// calls, and at NextDue().
  /// @return Decisions since the last call, to be sent to the entries.
  std::vector<place_decision> DecideWaiting(time_point now);
  /// When DecideWaiting() is due without another event; nullopt if nothing
  /// waits.
  std::optional<time_point> NextDue() const;
  /// Requests that wait, of any rank.
  const place_queue& Waiting() const { return queue_; }
  /// Releases a place, or removes a request that waits.
  /// @param call Id of the place request.
  /// @return The place; nullopt if there was no such place.
  std::optional<released_place> Release(time_point now,
                                        const std::string& entry,
                                        uint64_t call);
  /// Requests at the engine, reported or granted, whichever is more.
  uint32_t Load() const;
  size_t GrantedCount() const { return places_.size(); }
  /// Returns the slowdown of the engine, by the age of its last report.
  double Slowdown(time_point now) const { return slowdown_.At(now); }

 private:
  struct place {
    time_point granted_at{};
    time_point expires_at{};
    uint32_t prompt_tokens = 0;
    request_traits traits;
  };
  /// Counts the prompt tokens of places granted too recently to be prefilled.
  uint64_t PendingPromptTokens(time_point now) const;
  bool MayGrant(time_point now) const;
  /// Returns the time until a server that does not serve is expected to do so;
  /// 0 if unknown.
  milliseconds ServesAgainIn(time_point now) const;
  /// Whether a cold engine may get one more request within its rate.
  bool IsWithinColdRate(time_point now);
  /// Returns the profile from which times are predicted.
  engine_profile PredictionProfile(time_point now) const;
  /// Returns the slowdown that replies carry; nullopt before the first report.
  std::optional<double> ReportedSlowdown(time_point now) const;
  /// Whether a request is expected to end before the next load of weights.
  bool EndsBeforeLoad(time_point now,
                      const engine_profile& profile,
                      duration first_token,
                      uint32_t answer_tokens,
                      bool is_resumed) const;
  void AddPlace(time_point now, const waiting_place& request);

  // ---- Ranked services, in place_table_ranked.cc ----

  /// What to do with a request in the queue: a cause to grant or to deny it, or
  /// none while it waits.
  struct ruling {
    bool is_granted = false;
    place_cause cause = place_cause::kNone;
  };
  place_reply RequestRankedPlace(time_point now, const place_request& request);
  /// Requests that may be at the engine when one more is granted, plus one.
  uint32_t LoadLimit(time_point now,
                     const engine_profile& profile,
                     const waiting_place& item) const;
  ruling Judge(time_point now,
               const engine_profile& profile,
               const waiting_place& item);
  /// Grants free places in order of precedence, and denies late requests.
  void DecideInOrder(time_point now, const engine_profile& profile);
  /// Expected time until the request at an index of the queue gets a place.
  duration ExpectedWait(time_point now,
                        const engine_profile& profile,
                        size_t index) const;
  /// Whether the request at an index of the queue is expected to be late.
  bool IsExpectedLate(time_point now,
                      const engine_profile& profile,
                      size_t index) const;
  /// Denies what the request at an index of the queue makes late or displaces.
  void DenyOvertaken(time_point now,
                     const engine_profile& profile,
                     size_t index);
  /// Removes the request at an index of the queue and records the decision.
  void Deny(time_point now,
            const engine_profile& profile,
            size_t index,
            place_cause cause);
  void DenyAll(time_point now, place_cause cause);
  /// Takes the decision on a request that has just asked, if there is one.
  std::optional<place_reply> TakeDecision(const place_request& request);

  place_table_options options_;
  engine_profile profile_;
  double cold_rate_ = 0;
  staged_engine_report report_;
  server_slowdown slowdown_;  ///< Of the engine.
  std::optional<time_point> reported_at_;
  bool is_accepting_ = false;
  std::optional<time_point> grants_end_;
  std::optional<time_point> free_slot_grants_end_;
  std::optional<time_point> serves_again_at_;
  time_point cold_until_{};
  /// Time by which newly granted requests must finish, because the engine
  /// loads weights then.
  std::optional<time_point> drain_deadline_;
  /// Granted places by entry and id of the place request.
  std::map<std::pair<std::string, uint64_t>, place> places_;
  std::deque<time_point> recent_grants_;  ///< Grants within the last second.
  time_point surplus_since_{};  ///< Since when places exceed requests.
  bool is_ranked_ = false;
  grant_shares shares_;
  place_queue queue_;
  std::vector<place_decision> decisions_;  ///< Not taken yet.
  time_point decided_at_{};                ///< When the queue was last decided.
};

}  // namespace fuchsiafall

#endif  // PLACE_TABLE_BASE_H_
