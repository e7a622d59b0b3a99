/// @file place_queue.cc Place requests that wait at the agent of a ranked
/// service, in their order of precedence.
#include "load/place_queue_base.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

namespace fuchsiafall {

namespace {

constexpr std::string_view kCauseNames[] = {
    "none",       "free",        "floor",      "precedence", "no_place",
    "late",       "overtaken",   "queue_full", "load",       "not_accepting",
    "no_weights", "quarantined", "released"};

auto FindItem(auto* items, const std::string& entry, uint64_t call) {
  return std::find_if(items->begin(), items->end(),
                      [&](const waiting_place& item) {
                        return item.call == call && item.entry == entry;
                      });
}

}  // namespace

std::string_view NameOf(place_cause cause) {
  return kCauseNames[static_cast<size_t>(cause)];
}

std::optional<waiting_place> place_queue::Remove(const std::string& entry,
                                                 uint64_t call) {
  auto it = FindItem(&items_, entry, call);
  if (it == items_.end())
    return std::nullopt;
  return RemoveAt(static_cast<size_t>(it - items_.begin()));
}

const waiting_place* place_queue::Find(const std::string& entry,
                                       uint64_t call) const {
  auto it = FindItem(&items_, entry, call);
  return it == items_.end() ? nullptr : &*it;
}

waiting_place place_queue::RemoveAt(size_t index) {
  waiting_place removed = std::move(items_[index]);
  items_.erase(items_.begin() + static_cast<ptrdiff_t>(index));
  return removed;
}

void place_queue::Sort(time_point now, grant_shares* shares) {
  shares->Advance(now);
  if (items_.size() < 2)
    return;
  // The shares are the same for all requests of a rank or an organisation.
  using organisation_key = std::pair<bool, double>;
  std::map<std::string_view, organisation_key> organisations;
  std::array<bool, kMaxRank + 1> is_served{};
  for (uint32_t rank = 0; rank <= kMaxRank; ++rank)
    is_served[rank] = !shares->IsRankBelowFloor(rank);
  using key = std::tuple<bool, bool, bool, uint32_t, organisation_key,
                         time_point, uint64_t, size_t>;
  std::vector<key> keys;
  keys.reserve(items_.size());
  for (size_t i = 0; i < items_.size(); ++i) {
    const waiting_place& request = items_[i];
    auto [it, is_new] = organisations.try_emplace(request.organisation);
    if (is_new) {
      it->second = {!shares->IsOrganisationBelowFloor(request.organisation),
                    shares->GrantsOf(request.organisation)};
    }
    keys.emplace_back(!request.is_resumed, request.is_late,
                      is_served[request.rank], request.rank, it->second,
                      request.late_at, request.call, i);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<waiting_place> sorted;
  sorted.reserve(items_.size());
  for (const key& item : keys)
    sorted.push_back(std::move(items_[std::get<7>(item)]));
  items_ = std::move(sorted);
}

}  // namespace fuchsiafall
