/// @file crash_monitor_base.h Observes the crashes of an agent's own engine,
/// and exchanges crashes, full answers and quarantines with other processes.
#ifndef CRASH_MONITOR_BASE_H_
#define CRASH_MONITOR_BASE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "crash_ledger_base.h"
#include "log_event_func.h"
#include "place_table_base.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

struct crash_monitor_options {
  vm_id self;
  incarnation own_incarnation;
  crash_history_options history;
  /// Requests aborted within this time before an engine becomes unreachable
  /// were aborted by its crash.
  milliseconds unreachable_window{1000};
  /// The same before a restart of the engine is observed.
  milliseconds restart_window{10000};
  /// Time after a crash within which further aborted requests belong to it.
  milliseconds late_window{3000};
  /// Times at which a crash is sent again, with what has been added meanwhile.
  std::vector<milliseconds> resend_after{milliseconds(150), milliseconds(600)};
  milliseconds gossip_interval{1000};
  size_t gossip_peers = 3;  ///< That get the quarantines in each interval.
  /// Entries that requested a place within this time get quarantines.
  seconds entry_retention{60};
  /// Time for which a quarantine told by another process is kept, unless it is
  /// told again; only own decisions are told then. 0: kept, and told, like own
  /// ones.
  seconds adopted_time{0};
  /// Time after which a report shows that the engine had not crashed.
  milliseconds alive_after{200};
  size_t max_ended = 4096;
  size_t max_entries = 4096;
  size_t max_requests_sent = 64;  ///< Or quarantines, in one message.
  uint64_t seed = 1;
};

struct crash_monitor_hooks {
  /// Sends a message, which may be lost.
  std::function<void(const std::string& address, const proto::envelope&)> send;
  std::function<void(log_event, const std::string& detail)> log;
  std::function<void(const std::string& counter)> count;
};

/// What is known about the traits of a request for a place.
struct trait_verdict {
  std::optional<fingerprint> quarantined;
  bool is_suspect = false;
};

/// Reads the crash of which a message tells, if it does.
std::optional<crash_record> ReadCrash(time_point now,
                                      const proto::envelope& message);

/// Each agent observes its own engine and tells all other agents of a crash at
/// once, since one may cause the next within a second. All agents know all
/// crashes, so that each decides alone which traits to quarantine. Entries do
/// the same for servers without agents, see server_crash_monitor.
class crash_monitor {
 public:
  crash_monitor(crash_monitor_options options, crash_monitor_hooks hooks);

  /// Sets the other processes: the agents whose servers are registered, or the
  /// registered entries. Those that are gone from the
  /// list remain known for a time, since a server that has crashed is not
  /// registered until it is back.
  void SetPeers(time_point now, const std::vector<std::string>& peers);
  /// Judges a request for a place.
  /// @param entry Address of the entry that requests it.
  trait_verdict Judge(time_point now,
                      const std::string& entry,
                      const request_traits& traits);
  void OnPlaceReleased(time_point now,
                       const released_place& place,
                       attempt_result result);
  /// Tells the other processes of a crash that was observed by other means. A
  /// further report of the same crash adds its requests.
  void ReportCrash(time_point now, const crash_record& crash);
  /// Forgets a crash that has turned out to be none.
  void WithdrawCrash(time_point now, const crash_id& id);
  /// Records that a request was answered in full, and tells the other processes
  /// if it was suspected.
  void OnAnswered(time_point now,
                  time_point granted_at,
                  const request_traits& traits);
  /// Handles the result of requesting a report from the engine.
  void OnEngineReport(time_point now, bool is_reachable, bool is_restarted);
  /// @param from Address of the sender.
  void OnMessage(time_point now,
                 const std::string& from,
                 const proto::envelope& message);
  /// Sends what is due and decides on quarantines.
  void RunDue(time_point now);

  const crash_history& History() const { return history_; }

 private:
  /// Crash of the own engine.
  struct own_crash {
    crash_record record;
    time_point observed_at{};
    size_t sent = 0;  ///< Times that it was sent, besides the first.
  };

  void AddCrash(time_point now, duration window);
  void OnAnswered(time_point now, const released_place& place);
  /// Counts answers as complete that ended with their connections, since the
  /// engine is still running.
  void OnEngineAlive(time_point now);
  void SendCrash(time_point now, const own_crash& crash);
  void Decide(time_point now);
  /// Returns when a quarantine told by another process expires.
  time_point AdoptedUntil(time_point now, time_point last_crash) const;
  void OnCrash(time_point now,
               const std::string& from,
               const proto::envelope& message);
  void OnQuarantined(time_point now,
                     const std::string& from,
                     const proto::crash_note& note);
  /// Asks all peers about parts that would be quarantined.
  void Ask(time_point now);
  void OnQuestions(time_point now,
                   const std::string& from,
                   const proto::crash_note& note);
  void SendSound(time_point now,
                 const std::string& to,
                 const std::vector<fingerprint>& traits);
  /// Tells all agents that traits are released from quarantine.
  void SendReleased(time_point now, const std::vector<fingerprint>& traits);
  /// Sends the quarantines to some peers and entries.
  void Gossip(time_point now);

  crash_monitor_options options_;
  crash_monitor_hooks hooks_;
  crash_history history_;
  std::mt19937_64 random_;
  std::map<std::string, time_point> peers_;    ///< When each is forgotten.
  std::map<std::string, time_point> entries_;  ///< When each last asked.
  struct ended_attempt {
    time_point at{};
    released_place place;
    bool was_closed = false;  ///< Complete unless the engine has crashed.
  };
  std::deque<ended_attempt> ended_;    ///< Perhaps by a crash.
  std::deque<own_crash> own_crashes_;  ///< Within late_window.
  bool is_down_ = false;  ///< Whether the engine is down after a known crash.
  uint64_t next_ordinal_ = 1;
  time_point gossip_at_{};
};

}  // namespace fuchsiafall

#endif  // CRASH_MONITOR_BASE_H_
