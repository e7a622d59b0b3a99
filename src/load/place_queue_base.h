/// @file place_queue_base.h Place requests that wait at the agent of a ranked
/// service, in their order of precedence.
#ifndef LOAD_PLACE_QUEUE_BASE_H_
#define LOAD_PLACE_QUEUE_BASE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "load/grant_shares_base.h"
#include "request_traits_type.h"

namespace fuchsiafall {

/// Why a place request was granted or denied.
enum class place_cause {
  kNone,          ///< Of services without ranks.
  kFree,          ///< Granted: nothing of higher precedence wanted the place.
  kFloor,         ///< Granted: its rank was below its floor.
  kPrecedence,    ///< Granted before others that wait.
  kNoPlace,       ///< Denied: no place is free, and it may not wait.
  kLate,          ///< Denied: its first token would be late.
  kOvertaken,     ///< Denied: made late by a request of higher precedence.
  kQueueFull,     ///< Denied: too many of higher precedence wait.
  kLoad,          ///< Denied: it would run past the next load of weights.
  kNotAccepting,  ///< Denied: the agent accepts no requests.
  kNoWeights,     ///< Denied: no weights are loaded intact.
  kQuarantined,   ///< Denied: it has crashed several servers.
  kReleased,      ///< Its entry released it while it waited.
};

/// Returns the name of a cause in counters and log lines.
std::string_view NameOf(place_cause cause);

/// Place request that waits, or that asks for a place now.
struct waiting_place {
  std::string entry;  ///< ip:port
  uint64_t call = 0;  ///< Id of the place request, unique per entry.
  uint32_t rank = 0;
  std::string organisation;
  uint32_t prompt_tokens = 0;
  uint32_t answer_tokens = 0;  ///< Expected answer length; 0 if unknown.
  bool is_resumed = false;     ///< Whether it resumes a stream.
  request_traits traits;
  time_point asked_at{};
  time_point late_at{};  ///< When its first token is late.
  time_point ends_at{};  ///< Its caller's timeout.
  bool is_late = false;  ///< Whether it was late when it asked.
};

/// Requests that wait for places. Precedence changes with what is granted, so
/// that the order is determined anew for each decision.
class place_queue {
 public:
  /// Adds a request.
  void Add(waiting_place item) { items_.push_back(std::move(item)); }
  /// Removes a request.
  /// @return The request; nullopt if it does not wait.
  std::optional<waiting_place> Remove(const std::string& entry, uint64_t call);
  const waiting_place* Find(const std::string& entry, uint64_t call) const;
  /// Orders the requests: resumed streams, then ranks below their floor, then
  /// by rank, then organisations below their floor, then the organisation with
  /// the fewest recent grants, then the least time left. Requests that were
  /// late when they asked are last.
  void Sort(time_point now, grant_shares* shares);
  /// Requests in the order of the last Sort(); later ones follow at the end.
  const std::vector<waiting_place>& Items() const { return items_; }
  /// Removes the request at an index of Items().
  waiting_place RemoveAt(size_t index);
  size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }

 private:
  std::vector<waiting_place> items_;
};

}  // namespace fuchsiafall

#endif  // LOAD_PLACE_QUEUE_BASE_H_
