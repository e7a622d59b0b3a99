/// @file server_crash_monitor_base.h Recognizes crashes of servers that have no
/// agent, by the connections to them, and exchanges them between entries.
#ifndef SERVER_CRASH_MONITOR_BASE_H_
#define SERVER_CRASH_MONITOR_BASE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crash_monitor_base.h"
#include "site_index_base.h"

namespace fuchsiafall {

struct server_crash_options {
  /// Exchange with the other entries. Servers that fail together abort common
  /// requests, so that their crashes count once. A quarantine told by another
  /// entry lasts only while it is repeated, since its evidence may have been
  /// withdrawn.
  crash_monitor_options exchange{
      .history = {.wave_time = milliseconds(1500)},
      .adopted_time = seconds(30),
  };
  /// Connections that end within this time of each other were lost together.
  milliseconds loss_window{200};
  /// Time after a loss in which other connections may prove to be sound.
  milliseconds settle_time{100};
  /// Time after which a broken exchange without further evidence counts as a
  /// lost answer.
  milliseconds max_break_age{10000};
  /// An exchange that began this long after a crash and was answered shows that
  /// there was none. Covers the latency of the messages between entries.
  milliseconds alive_margin{500};
  size_t max_breaks = 64;  ///< Remembered of one server.
  size_t max_losses = 32;  ///< Connections remembered of one address.
};

struct server_crash_hooks {
  crash_monitor_hooks exchange;
  /// Whether an established connection to an address is open.
  std::function<bool(const std::string& address)> is_connected;
};

/// Decides whether a broken exchange was a crash. A server ends at most once in
/// a lifetime, so that all entries name its crash alike.
class server_crash_monitor {
 public:
  server_crash_monitor(server_crash_options options, server_crash_hooks hooks);

  void SetPeers(time_point now, const std::vector<std::string>& peers) {
    exchange_.SetPeers(now, peers);
  }
  /// Handles an exchange that broke before its answer was complete.
  void OnBroken(time_point now,
                const site_server& server,
                const request_traits& traits);
  /// Handles a connection that ended on the server's side.
  void OnConnectionLost(time_point now, const std::string& address);
  void OnConnectionRefused(time_point now, const site_server& server);
  /// Handles a whole answer.
  /// @param sent_at When the request was sent.
  void OnAnswered(time_point now,
                  const site_server& server,
                  time_point sent_at,
                  const request_traits& traits);
  void OnMessage(time_point now,
                 const std::string& from,
                 const proto::envelope& message);
  /// Decides and sends what is due.
  /// @param index Null while the site is not known yet.
  void RunDue(time_point now, const site_index* index);

  bool IsQuarantined(time_point now, const request_traits& traits) const {
    return exchange_.History().FindQuarantined(now, traits).has_value();
  }
  /// Whether a request was aborted by a crash, and not answered since.
  bool IsSuspect(time_point now, const request_traits& traits) const {
    return exchange_.History().CrashesOf(now, traits.request) > 0;
  }

 private:
  struct broken_exchange {
    time_point at{};
    request_traits traits;
  };
  struct lifetime_state {
    std::string address;
    bool is_draining = false;
    std::deque<broken_exchange> breaks;  ///< Not explained yet.
    std::optional<time_point> crashed_at;
  };

  static crash_id IdOf(const site_server& server) {
    return {.server = server.id,
            .incarnation = static_cast<uint64_t>(server.started_at_ms),
            .ordinal = 1};
  }
  /// Whether all connections to the server ended when its last exchange broke.
  bool IsLostAsAWhole(time_point now, const lifetime_state& state) const;
  /// Finds the servers whose lifetimes have ended.
  void FindEnded(time_point now, const site_index& index);
  /// Records that the exchanges which broke last were aborted by a crash.
  void AddCrash(time_point now, const crash_id& id, lifetime_state* state);

  server_crash_options options_;
  server_crash_hooks hooks_;
  crash_monitor exchange_;
  std::map<crash_id, lifetime_state> lifetimes_;
  /// When the latest exchange began that a server has answered.
  std::map<crash_id, time_point> alive_at_;
  /// When connections ended, by address.
  std::map<std::string, std::deque<time_point>> losses_;
};

}  // namespace fuchsiafall

#endif  // SERVER_CRASH_MONITOR_BASE_H_
