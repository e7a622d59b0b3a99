/// @file hosted_places_base.h Places of the engine of a hosted agent, with the
/// messages to and from entries.
#ifndef HOSTED_PLACES_BASE_H_
#define HOSTED_PLACES_BASE_H_

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "crash_monitor_base.h"
#include "log_event_func.h"
#include "metrics_base.h"
#include "network/event_loop.h"
#include "place_table_base.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

/// What the places need of the process around them.
struct hosted_places_hooks {
  /// Sends a message to an entry, which the function passed writes.
  std::function<void(const std::string& entry,
                     const std::function<void(proto::place_answer*)>&)>
      send;
  std::function<intact_weights()> weights;  ///< That the engine serves.
  crash_monitor* crashes = nullptr;         ///< Judges requests.
  std::function<timer_id(time_point, std::function<void(time_point)>)>
      start_timer;
  std::function<void(timer_id)> cancel_timer;
  std::function<void(log_event, const std::string& detail)> log;
  metrics* counters = nullptr;
};

/// Answers the place requests of entries, and sends second replies to those
/// that wait.
class hosted_places {
 public:
  hosted_places(place_table_options options, hosted_places_hooks hooks)
      : table_(options), hooks_(std::move(hooks)) {}

  void OnPlaceQuestion(time_point now,
                       const std::string& entry,
                       const proto::place_question& message);
  void OnPlaceReturn(time_point now,
                     const std::string& entry,
                     const proto::place_return& message);
  /// Handles a report of the engine. SetAccepting() follows, since the report
  /// may end granting.
  /// @param is_restarted Whether it has restarted since the last one.
  void OnEngineReport(time_point now,
                      const staged_engine_report& report,
                      bool is_restarted);
  /// Sets whether places are granted, and decides on requests that wait.
  void SetAccepting(time_point now, bool is_accepting);
  /// Sends the decisions on requests that wait.
  void Decide(time_point now);
  place_table& Table() { return table_; }

 private:
  /// Completes a reply by what is known of weights and crashes. Takes a place
  /// back that must not be used.
  void Complete(time_point now,
                const std::string& entry,
                uint64_t call,
                const trait_verdict& verdict,
                place_reply* reply);
  void Send(const std::string& entry, uint64_t call, const place_reply& reply);
  void SendDecision(time_point now, const place_decision& decision);
  void Count(const place_reply& reply,
             uint32_t rank,
             const std::string& organisation);
  /// Returns the name by which an organisation is counted.
  std::string CounterNameOf(const std::string& organisation);
  void UpdateGauges();
  void ReportMalformed(time_point now, const std::string& entry);

  place_table table_;
  hosted_places_hooks hooks_;
  timer_id due_timer_ = 0;
  std::set<std::string> counted_organisations_;
  std::array<int64_t, kMaxRank + 1> shown_waiting_{};  ///< Last gauges set.
  std::optional<time_point> malformed_logged_at_;
};

}  // namespace fuchsiafall

#endif  // HOSTED_PLACES_BASE_H_
