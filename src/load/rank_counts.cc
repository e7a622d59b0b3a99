/// @file rank_counts.cc Counters of calls by rank and by organisation.
#include "load/rank_counts_base.h"

#include <algorithm>

namespace fuchsiafall {

namespace {

constexpr size_t kMaxNameBytes = 64;

bool IsPrintable(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

}  // namespace

std::string PrintableName(const std::string& organisation) {
  std::string name = organisation.substr(0, kMaxNameBytes);
  std::replace_if(
      name.begin(), name.end(), [](char c) { return !IsPrintable(c); }, '_');
  return name;
}

std::string rank_counts::NameOf(const std::string& organisation) {
  if (organisation.empty())
    return "none";
  std::string name = PrintableName(organisation);
  if (organisations_.contains(name))
    return name;
  if (organisations_.size() >= kMaxOrganisations)
    return "other";
  organisations_.insert(name);
  return name;
}

void rank_counts::Count(const std::string& event,
                        uint32_t rank,
                        const std::string& organisation,
                        const std::string& detail) {
  const std::string end = detail.empty() ? "" : " " + detail;
  hooks_.count(event + " rank_" + std::to_string(rank) + end);
  hooks_.count(event + " organisation_" + NameOf(organisation) + end);
}

void rank_counts::AddToGauge(const std::string& gauge, int change) {
  int64_t& value = waiting_[gauge];
  value += change;
  hooks_.set_gauge(gauge, value);
}

void rank_counts::AddWaiting(uint32_t rank,
                             const std::string& organisation,
                             int change) {
  AddToGauge("waiting rank_" + std::to_string(rank), change);
  AddToGauge("waiting organisation_" + NameOf(organisation), change);
}

}  // namespace fuchsiafall
