/// @file store_mirror.cc Local copy of the platform's store.
#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "store_mirror_base.h"

namespace fuchsiafall {

namespace {

/// Bounds of the history that is kept.
constexpr size_t kMaxRemoved = 2000;
constexpr size_t kMaxGaps = 32;

std::string DirectoryOf(const std::string& key) {
  return key.substr(0, key.rfind('/') + 1);
}

}  // namespace

std::optional<store_call> store_mirror::NextCall(time_point now,
                                                 bool is_relayed,
                                                 bool is_new_source) {
  if (has_call_in_flight_ || now < next_at_)
    return std::nullopt;
  has_call_in_flight_ = true;
  sent_at_ = now;
  // A relay reports only the last version of a changed item, so that a listing
  // from it saves nothing. It tells the difference to the content of its own
  // earlier revisions, which is none that has newer items.
  const bool is_listing =
      is_relayed ? is_listing_relays_ || newest_ > revision_ : is_listing_;
  if (is_listing) {
    last_call_ = {.kind = store_call::kind_type::kList,
                  .after_key = is_relayed ? "" : pages_.after_key,
                  .after_revision = {era_, 0},
                  .is_relayed = is_relayed};
    return last_call_;
  }
  // After a failure or a change of the source the first watch does not wait, to
  // learn at once whether the store is reachable.
  last_call_ = {.kind = store_call::kind_type::kWatch,
                .after_revision = revision_,
                .wait = failures_ > 0 || is_new_source ? milliseconds(0)
                        : is_relayed ? options_.relayed_watch_wait
                                     : options_.watch_wait,
                .is_relayed = is_relayed};
  return last_call_;
}

bool store_mirror::OnEra(time_point now, uint64_t era) {
  if (!EnterEra(era))
    return false;
  is_call_void_ = has_call_in_flight_;
  next_at_ = now;
  return true;
}

bool store_mirror::EnterEra(uint64_t era) {
  if (era <= era_)
    return false;
  era_ = era;
  is_burst_ = false;
  is_listing_relays_ = true;
  BeginListing();
  return true;
}

bool store_mirror::IsBehind(const store_answer& answer) const {
  if (answer.revision.era != 0 && answer.revision.era < era_)
    return true;
  return answer.status == store_answer::status_type::kOk &&
         last_call_.kind == store_call::kind_type::kList &&
         answer.revision.era <= era_ && OfEra(answer.revision) < newest_;
}

bool store_mirror::OnAnswer(time_point now, const store_answer& answer) {
  has_call_in_flight_ = false;
  bool is_void = std::exchange(is_call_void_, false);
  const bool is_listing = last_call_.kind == store_call::kind_type::kList;
  if (IsBehind(answer)) {
    // Pages of a listing that this one was to continue may be as old.
    if (is_listing && !last_call_.is_relayed)
      BeginListing();
    next_at_ = std::max(now, sent_at_ + options_.spacing);
    return false;
  }
  // Only a listing from its first page on tells the content of a new era.
  if (EnterEra(answer.revision.era))
    is_void = is_void || !is_listing || !last_call_.after_key.empty();
  if (answer.status == store_answer::status_type::kHistoryCompacted) {
    is_listing_relays_ = true;
    if (!last_call_.is_relayed)
      BeginListing();
    next_at_ = now;
    return false;
  }
  if (answer.status != store_answer::status_type::kOk) {
    // A watch may have too many changes to send within its timeout, and more of
    // them with each retry; the size of a listing is bounded.
    if (answer.status == store_answer::status_type::kNoAnswer && !is_listing)
      BeginListing();
    CheckOutage(answer);
    const auto doubled = options_.backoff * (1 << std::min(failures_, 6U));
    ++failures_;
    next_at_ = now + std::min<duration>(doubled, options_.max_backoff);
    return false;
  }
  if (failures_ > 0) {
    failures_ = 0;
    outage_ended_at_ = now;
  }
  if (is_void) {
    next_at_ = now;
    return false;
  }
  next_at_ = std::max(now, sent_at_ + options_.spacing);
  previous_confirmed_at_ = confirmed_at_;
  if (is_listing)
    return ReadListing(now, answer);
  const time_point answered_at = std::min(now, sent_at_ + answer.held);
  const time_point confirmed_at = answered_at - answer.confirmed_age;
  std::vector<store_item> removed_items;
  for (const store_item& item : answer.items) {
    if (item.is_deleted) {
      removed_items.push_back(item);
      removed_items.back().revision.era = era_;
    } else if (item.removed_revision > 0) {
      ApplyKept(now, item, confirmed_at);
    } else {
      Apply(item, confirmed_at);
    }
  }
  Remove(now, removed_items);
  SetRevision(OfEra(answer.revision),
              answer.has_gap ? std::optional(revision_) : std::nullopt);
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  EndListing();
  if (IsBurst(answer.items))
    BeginBurst(now);
  return !answer.items.empty();
}

bool store_mirror::ReadListing(time_point now, const store_answer& answer) {
  store_listing whole;
  store_listing& listing = last_call_.is_relayed ? whole : pages_;
  const store_revision answered = OfEra(answer.revision);
  if (last_call_.after_key.empty()) {
    listing = {.revision = answered,
               .sent_at = sent_at_ - answer.confirmed_age};
  }
  listing.revision = std::min(listing.revision, answered);
  for (const store_item& item : answer.items) {
    auto known = items_.find(item.key);
    listing.has_large_changes =
        listing.has_large_changes ||
        (item.value.size() >= options_.burst_item_bytes &&
         known != items_.end() &&
         known->second.revision < OfEra(item.revision));
    listing.items[item.key] = item;
    listing.after_key = item.key;
  }
  if (!answer.items.empty())
    listing.pages[listing.after_key] = answered;
  listing.newest_revision = std::max(listing.newest_revision, answered);
  if (answer.has_more) {
    // A page without items has no key to go on from.
    if (answer.items.empty())
      BeginListing();
    else
      next_at_ = now;
    return false;
  }
  const bool goes_on = is_burst_ && listing.has_large_changes;
  FinishListing(now, listing);
  EndListing();
  if (goes_on)
    BeginBurst(now);
  return true;
}

void store_mirror::CheckOutage(const store_answer& answer) {
  if (answer.is_limited)
    return;
  // A first call without an answer may only have found its connection dead.
  const bool is_silent = answer.status == store_answer::status_type::kNoAnswer;
  const bool is_shown = !is_silent || (options_.trusts_silence &&
                                       failures_ > 0 && sent_at_ > resumed_at_);
  if (is_shown)
    outage_seen_at_ = std::max(outage_seen_at_, sent_at_);
}

bool store_mirror::IsBurst(const std::vector<store_item>& changes) const {
  std::set<std::string> seen;
  return std::any_of(changes.begin(), changes.end(),
                     [&](const store_item& item) {
                       return item.value.size() >= options_.burst_item_bytes &&
                              !seen.insert(item.key).second;
                     });
}

void store_mirror::BeginListing() {
  is_listing_ = true;
  pages_ = {};
}

void store_mirror::EndListing() {
  is_listing_ = false;
  is_listing_relays_ = false;
  is_burst_ = false;
  pages_ = {};
}

void store_mirror::BeginBurst(time_point now) {
  is_burst_ = true;
  BeginListing();
  uint64_t bytes = 0;
  for (const auto& [key, item] : items_)
    bytes += item.value.size();
  const duration paced =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(bytes) / options_.burst_rate));
  next_at_ = std::max<time_point>(now, sent_at_) +
             std::max<duration>(options_.burst_spacing, paced);
}

void store_mirror::TakeEarlier(const store_answer& answer) {
  assert(!is_loaded_);
  for (const store_item& item : answer.earlier_items) {
    store_item& taken = items_[item.key];
    taken = item;
    taken.revision = {answer.earlier_revision.era, item.revision.number};
    if (item.max_age)
      taken.changed_after = sent_at_ - answer.confirmed_age - *item.max_age;
  }
  revision_ = answer.earlier_revision;
  is_loaded_ = true;
}

bool store_mirror::RunDue(time_point now) {
  const bool is_copy_settled =
      restored_at_ && now - *restored_at_ >= options_.copy_grace;
  if (is_copy_settled) {
    restored_at_.reset();
    superseded_.clear();
  }
  if (IsInExpiryGrace(now))
    return is_copy_settled;
  bool has_changed = is_copy_settled;
  for (auto it = kept_.begin(); it != kept_.end();) {
    const auto entry = it++;
    if (now < entry->second.until)
      continue;
    Drop(entry->first, entry->second.removed);
    kept_.erase(entry);
    has_changed = true;
  }
  return has_changed;
}

void store_mirror::Drop(const std::string& key, store_revision removed) {
  items_.erase(key);
  store_revision& known = history_.removed[key];
  known = std::max(known, removed);
  newest_ = std::max(newest_, removed);
}

void store_mirror::SetRevision(store_revision revision,
                               std::optional<store_revision> gap_begin) {
  if (revision <= revision_)
    return;
  if (revision.era != revision_.era || history_.start.number == 0) {
    history_ = {.start = revision};
  } else if (gap_begin) {
    history_.gaps.emplace_back(*gap_begin, revision);
  }
  revision_ = revision;
  newest_ = std::max(newest_, revision);
  if (history_.gaps.size() > kMaxGaps) {
    history_.start = history_.gaps.front().second;
    history_.gaps.erase(history_.gaps.begin());
  }
  if (history_.removed.size() <= kMaxRemoved)
    return;
  std::vector<store_revision> revisions;
  for (const auto& [key, removed] : history_.removed)
    revisions.push_back(removed);
  auto middle = revisions.begin() + kMaxRemoved / 2;
  std::nth_element(revisions.begin(), middle, revisions.end());
  history_.start = std::max(history_.start, std::min(*middle, revision_));
  std::erase_if(history_.removed, [this](const auto& entry) {
    return entry.second <= history_.start;
  });
}

bool store_mirror::IsInExpiryGrace(time_point now) const {
  return is_loaded_ && now - outage_ended_at_ < options_.expiry_grace;
}

void store_mirror::Apply(const store_item& item, time_point confirmed_at) {
  auto it = items_.find(item.key);
  if (it != items_.end() && it->second.revision >= OfEra(item.revision))
    return;
  auto removed = history_.removed.find(item.key);
  if (removed != history_.removed.end()) {
    if (removed->second >= OfEra(item.revision))
      return;
    history_.removed.erase(removed);
  }
  newest_ = std::max(newest_, OfEra(item.revision));
  kept_.erase(item.key);
  const store_item known = it == items_.end() ? store_item{} : it->second;
  const bool is_of_copy =
      restored_at_ && OfEra(item.revision) <= restored_revision_;
  if (!is_of_copy)
    superseded_.erase(item.key);
  store_item& applied = items_[item.key];
  applied = item;
  applied.revision = OfEra(item.revision);
  if (known.revision.number > 0 && known.value == item.value) {
    // It was only written again, as after the store's return from a copy.
    applied.changed_after = known.changed_after;
    applied.replaced_revision =
        known.revision.era == era_ ? known.replaced_revision : 0;
    return;
  }
  if (is_of_copy && known.revision.number > 0 && known.revision.era < era_)
    superseded_.try_emplace(item.key, known);
  applied.replaced_revision =
      known.revision.era == era_ ? known.revision.number : 0;
  applied.changed_after = is_loaded_ ? ChangedAfter() : time_point{};
  // If the relay knew a later one, it does not tell when the known one was
  // replaced.
  if (item.max_age && applied.replaced_revision >= item.replaced_revision)
    applied.changed_after =
        std::max(applied.changed_after, confirmed_at - *item.max_age);
}

void store_mirror::ApplyKept(time_point now,
                             const store_item& item,
                             time_point confirmed_at) {
  const store_revision removed = OfEra(item.removed_revision);
  // What this process has dropped does not come back.
  if (!items_.contains(item.key) && removed <= revision_)
    return;
  Apply(item, confirmed_at);
  auto it = items_.find(item.key);
  if (it != items_.end() && it->second.revision < removed)
    kept_[item.key] = {.removed = removed, .until = now + item.kept_for};
}

void store_mirror::Remove(time_point now,
                          const std::vector<store_item>& removed_items) {
  std::map<std::string, size_t> removed;
  std::map<std::string, size_t> held;
  for (const auto& [key, item] : items_)
    ++held[DirectoryOf(key)];
  for (const store_item& item : removed_items)
    ++removed[DirectoryOf(item.key)];
  for (const store_item& item : removed_items) {
    auto it = items_.find(item.key);
    if (it != items_.end() && it->second.revision >= item.revision)
      continue;
    if (it == items_.end()) {
      Drop(item.key, item.revision);
      continue;
    }
    const std::string directory = DirectoryOf(item.key);
    const bool is_mass_expiry =
        static_cast<double>(removed[directory] + kept_.size()) >
        options_.mass_expiry_share * static_cast<double>(held[directory]);
    auto kept = kept_.find(item.key);
    if (kept != kept_.end() && now < kept->second.until) {
      kept->second.removed = std::max(kept->second.removed, item.revision);
    } else if (is_mass_expiry && IsInExpiryGrace(now)) {
      kept_[item.key].removed = item.revision;
    } else {
      kept_.erase(item.key);
      Drop(item.key, item.revision);
    }
  }
}

void store_mirror::FinishListing(time_point now, const store_listing& listing) {
  if (is_loaded_ && revision_.era < listing.revision.era) {
    outage_ended_at_ = now;
    restored_at_ = now;
    restored_revision_ = listing.revision;
    earlier_revision_ = revision_;
  }
  // Content that is ahead lacks items that readers at its revision may have.
  const store_revision gap_begin =
      newest_ > revision_ && revision_.number > 0
          ? store_revision(revision_.era, revision_.number - 1)
          : revision_;
  std::vector<store_item> removed_items;
  for (const auto& [key, item] : listing.items) {
    if (item.removed_revision > 0)
      ApplyKept(now, item, listing.sent_at);
    else
      Apply(item, listing.sent_at);
  }
  for (const auto& [key, item] : items_) {
    if (listing.items.contains(key) || item.revision > listing.revision)
      continue;
    const store_revision removed = listing.RevisionOf(key);
    if (item.revision.era < listing.revision.era && IsInExpiryGrace(now)) {
      // Lost with the older era, and not written again yet.
      kept_[key] = {.removed = removed};
    } else {
      removed_items.push_back(
          {.key = key, .revision = removed, .is_deleted = true});
    }
  }
  Remove(now, removed_items);
  is_loaded_ = true;
  SetRevision(listing.revision, gap_begin);
  newest_ = std::max(newest_, listing.newest_revision);
  confirmed_at_ = std::max(confirmed_at_, listing.sent_at);
}

}  // namespace fuchsiafall
