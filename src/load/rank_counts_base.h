/// @file rank_counts_base.h Counters of calls by rank and by organisation.
#ifndef LOAD_RANK_COUNTS_BASE_H_
#define LOAD_RANK_COUNTS_BASE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace fuchsiafall {

struct rank_counts_hooks {
  std::function<void(const std::string& counter)> count;
  std::function<void(const std::string& gauge, int64_t)> set_gauge;
};

/// Counts calls of ranked services under the names "EVENT rank_N" and "EVENT
/// organisation_NAME". The number of names is bounded.
class rank_counts {
 public:
  /// Names of organisations that are counted apart; calls of all others are
  /// counted as "other".
  static constexpr size_t kMaxOrganisations = 32;

  explicit rank_counts(rank_counts_hooks hooks) : hooks_(std::move(hooks)) {}

  /// Counts a call.
  /// @param detail Follows the name of the rank or organisation; may be empty.
  void Count(const std::string& event,
             uint32_t rank,
             const std::string& organisation,
             const std::string& detail = "");
  /// Adds to the gauges of calls that wait at agents.
  /// @param change 1 when a call begins to wait, -1 when it ends to.
  void AddWaiting(uint32_t rank, const std::string& organisation, int change);

 private:
  /// Returns the name under which an organisation is counted.
  std::string NameOf(const std::string& organisation);
  void AddToGauge(const std::string& gauge, int change);

  rank_counts_hooks hooks_;
  std::set<std::string> organisations_;     ///< Names that are counted apart.
  std::map<std::string, int64_t> waiting_;  ///< By gauge.
};

/// Replaces the characters of an organisation's name that would break a line of
/// the log or of the metrics, and limits its length.
std::string PrintableName(const std::string& organisation);

}  // namespace fuchsiafall

#endif  // LOAD_RANK_COUNTS_BASE_H_
