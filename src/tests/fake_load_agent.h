/// @file fake_load_agent.h Agent that follows the plan of its weights and loads
/// them at an engine, in virtual time.
#ifndef TESTS_FAKE_LOAD_AGENT_H_
#define TESTS_FAKE_LOAD_AGENT_H_

#include <functional>
#include <map>
#include <vector>

#include "weights_plan_func.h"

namespace fuchsiafall::tests {

struct fake_load_agent_options {
  weights_plan_options plan;
  size_t chunks = 96;
  bool has_free_slots = true;  ///< Whether calls find a free slot.
  double load_slot = 0;  ///< Share of the servers that load before this one.
};

/// Stages the planned version piece by piece, loads it when the plan says so,
/// and unloads a replaced version right before its bound.
class fake_load_agent {
 public:
  explicit fake_load_agent(fake_load_agent_options options)
      : options_(options) {}

  /// Makes one step. To be called every kRunInterval.
  /// @param named When each version was named, the served one included.
  /// @param progress Of the transfer of a version.
  /// @return The versions to fetch.
  std::vector<uint64_t> Run(time_point now,
                            const std::map<uint64_t, time_point>& named,
                            const std::function<double(uint64_t)>& progress);
  /// Whether a request would get a place.
  bool IsUsable(time_point now) const;
  uint64_t Served() const { return served_; }
  /// When each version was first served.
  const std::map<uint64_t, time_point>& ServedSince() const {
    return served_since_;
  }
  static constexpr milliseconds kRunInterval{20};

 private:
  void Stage(const weights_plan& plan, double progress);

  fake_load_agent_options options_;
  uint64_t served_ = 1;
  std::optional<uint64_t> loading_;
  time_point loaded_at_{};
  std::optional<time_point> grants_end_;
  uint64_t staged_version_ = 0;
  size_t staged_ = 0;  ///< Steps of staging done: writes and reads.
  std::map<uint64_t, time_point> served_since_;
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_FAKE_LOAD_AGENT_H_
