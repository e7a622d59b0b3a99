/// @file store_mirror.cc Local copy of the platform's store.
#include <algorithm>
#include <utility>

#include "store_mirror_base.h"

namespace fuchsiafall {

namespace {

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
  // A relay reports only the last version of a changed item, so a listing from
  // it saves nothing.
  const bool is_listing = is_relayed ? is_history_gone_ : is_listing_;
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
  is_history_gone_ = true;
  BeginListing();
  return true;
}

bool store_mirror::IsBehind(const store_answer& answer) const {
  if (answer.revision.era != 0 && answer.revision.era < era_)
    return true;
  return answer.status == store_answer::status_type::kOk &&
         last_call_.kind == store_call::kind_type::kList &&
         answer.revision.era <= era_ && OfEra(answer.revision) < revision_;
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
    is_history_gone_ = true;
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
    } else {
      Apply(item, confirmed_at);
    }
  }
  Remove(now, removed_items);
  revision_ = std::max(revision_, OfEra(answer.revision));
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

bool store_mirror::RunDue(time_point now) {
  const bool is_copy_settled =
      restored_at_ && now - *restored_at_ >= options_.copy_grace;
  if (is_copy_settled)
    restored_at_.reset();
  if (maybe_expired_.empty() || IsInExpiryGrace(now))
    return is_copy_settled;
  for (const std::string& key : maybe_expired_)
    items_.erase(key);
  maybe_expired_.clear();
  return true;
}

bool store_mirror::IsInExpiryGrace(time_point now) const {
  return is_loaded_ && now - outage_ended_at_ < options_.expiry_grace;
}

void store_mirror::Apply(const store_item& item, time_point confirmed_at) {
  auto it = items_.find(item.key);
  if (it != items_.end() && it->second.revision >= OfEra(item.revision))
    return;
  maybe_expired_.erase(item.key);
  const store_item known = it == items_.end() ? store_item{} : it->second;
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
  applied.replaced_revision =
      known.revision.era == era_ ? known.revision.number : 0;
  applied.changed_after = is_loaded_ ? ChangedAfter() : time_point{};
  // If the relay knew a later one, it does not tell when the known one was
  // replaced.
  if (item.max_age && applied.replaced_revision >= item.replaced_revision)
    applied.changed_after =
        std::max(applied.changed_after, confirmed_at - *item.max_age);
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
    if (it == items_.end() || it->second.revision >= item.revision)
      continue;
    const std::string directory = DirectoryOf(item.key);
    const bool is_mass_expiry =
        static_cast<double>(removed[directory] + maybe_expired_.size()) >
        options_.mass_expiry_share * static_cast<double>(held[directory]);
    if (is_mass_expiry && IsInExpiryGrace(now)) {
      maybe_expired_.insert(item.key);
    } else {
      items_.erase(it);
    }
  }
}

void store_mirror::FinishListing(time_point now, const store_listing& listing) {
  if (is_loaded_ && revision_.era < listing.revision.era) {
    outage_ended_at_ = now;
    restored_at_ = now;
    restored_revision_ = listing.revision;
  }
  for (const auto& [key, item] : listing.items)
    Apply(item, listing.sent_at);
  std::vector<store_item> removed_items;
  for (const auto& [key, item] : items_) {
    if (listing.items.contains(key) || item.revision > listing.revision)
      continue;
    if (item.revision.era < listing.revision.era && IsInExpiryGrace(now)) {
      // Lost with the older era, and not written again yet.
      maybe_expired_.insert(key);
    } else {
      removed_items.push_back(
          {.key = key,
           .revision = {item.revision.era, item.revision.number + 1},
           .is_deleted = true});
    }
  }
  Remove(now, removed_items);
  is_loaded_ = true;
  is_history_gone_ = false;
  revision_ = std::max(revision_, listing.revision);
  confirmed_at_ = std::max(confirmed_at_, listing.sent_at);
}

}  // namespace fuchsiafall
