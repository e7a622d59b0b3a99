/// @file place_table_base.h Places of one model server, granted by its agent.
#ifndef PLACE_TABLE_BASE_H_
#define PLACE_TABLE_BASE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "engine_control_type.h"
#include "ids_type.h"
#include "site_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct place_table_options {
  /// Most requests that may wait in the engine's queue. Each holds its caller
  /// for about a tenth of a second there.
  uint32_t most_ahead = 4;
  /// Reports that show fewer requests than places for this long mean that a
  /// place was returned by a message that got lost.
  milliseconds leak{400};
};

/// Question of an entry for a place.
struct place_ask {
  std::string entry;  ///< ip:port
  uint64_t call = 0;
  uint32_t prompt_tokens = 0;
  uint32_t answer_tokens = 0;  ///< Expected; 0 where it is not known.
  milliseconds patience{0};    ///< In which the first token is on time.
  milliseconds time_left{0};   ///< For which the caller waits.
  bool is_resumed = false;
  fingerprint print;  ///< Of the request.
};

struct place_reply {
  bool is_granted = false;
  milliseconds free_after{0};  ///< Of denials.
  uint32_t load = 0;
  uint32_t slots = 0;  ///< 0 while the server takes nothing.
  /// Longest answer that is taken before the engine loads; 0 for any.
  uint32_t most_answer_tokens = 0;
  bool is_quarantined = false;  ///< The request has crashed several servers.
};

/// Grants places by the engine's own report and by the places that are taken,
/// so that no server gets more than it can answer on time. Under a steady
/// overload of 1.1 to 1.4 the queue stays as short as the callers' patience,
/// and a cold server's rate holds over all entries without any agreement
/// between them.
class place_table {
 public:
  explicit place_table(place_table_options options) : options_(options) {}

  void SetFigures(const engine_profile& figures, double cold_rate) {
    figures_ = figures;
    cold_rate_ = cold_rate;
  }
  void OnReport(time_point now, const staged_engine_report& report);
  /// Stops or goes on with granting.
  void SetAccepting(bool is_accepting) { is_accepting_ = is_accepting; }
  /// Lets only requests in that are over by a time: the engine will be ordered
  /// to load then, and what still runs holds up the load.
  void SetEnd(std::optional<time_point> end) { end_ = end; }
  /// Drops what is held for the engine's former life.
  void OnRestart(time_point now);
  void SetCold(time_point until) { cold_until_ = until; }

  place_reply Ask(time_point now, const place_ask& ask);
  /// @return The request that had the place; none where it had none.
  std::optional<fingerprint> Return(time_point now,
                                    const std::string& entry,
                                    uint64_t call);
  uint32_t Load() const;
  size_t Granted() const { return places_.size(); }

 private:
  struct place {
    time_point granted_at{};
    time_point expires{};
    uint32_t prompt_tokens = 0;
    fingerprint print;
  };
  uint64_t UnreadTokens(time_point now) const;
  bool HasColdRoom(time_point now);

  place_table_options options_;
  engine_profile figures_;
  double cold_rate_ = 0;
  staged_engine_report report_;
  bool is_accepting_ = false;
  time_point cold_until_{};
  std::optional<time_point> end_;  ///< Of the batch, before a load.
  std::map<std::pair<std::string, uint64_t>, place> places_;
  std::deque<time_point> recent_;  ///< Grants of the last second.
  time_point surplus_since_{};     ///< Since when places exceed requests.
};

}  // namespace fuchsiafall

#endif  // PLACE_TABLE_BASE_H_
