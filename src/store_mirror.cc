/// @file store_mirror.cc Local copy of the platform's store.
#include <algorithm>

#include "store_mirror_base.h"

namespace fuchsiafall {

namespace {

std::string DirectoryOf(const std::string& key) {
  return key.substr(0, key.rfind('/') + 1);
}

}  // namespace

std::optional<store_call> store_mirror::NextCall(time_point now,
                                                 bool is_relayed) {
  if (is_waiting_ || now < next_at_)
    return std::nullopt;
  is_waiting_ = true;
  sent_at_ = now;
  if (is_listing_)
    return store_call{.kind = store_call::kind_type::kList,
                      .after_key = after_key_};
  // After a failure the first watch does not wait, to learn at once whether the
  // store is reachable.
  return store_call{.kind = store_call::kind_type::kWatch,
                    .after_revision = revision_,
                    .wait = failures_ > 0 ? milliseconds(0)
                            : is_relayed  ? options_.relayed_watch
                                          : options_.watch};
}

bool store_mirror::OnAnswer(time_point now, const store_answer& answer) {
  is_waiting_ = false;
  if (answer.status == store_answer::status_type::kHistoryGone) {
    BeginListing();
    next_at_ = now;
    return false;
  }
  if (answer.status != store_answer::status_type::kOk) {
    // A watch may have too many changes to send within its timeout, and more of
    // them with each retry; the size of a listing is bounded.
    if (answer.status == store_answer::status_type::kSilent && !is_listing_)
      BeginListing();
    const auto doubled = options_.backoff * (1 << std::min(failures_, 6U));
    ++failures_;
    next_at_ = now + std::min<duration>(doubled, options_.most_backoff);
    return false;
  }
  if (failures_ > 0) {
    failures_ = 0;
    away_until_ = now;
  }
  next_at_ = std::max(now, sent_at_ + options_.spacing);
  news_after_ = sound_at_;
  if (!is_listing_) {
    std::vector<store_item> removed_items;
    for (const store_item& item : answer.items) {
      if (item.is_deleted) {
        removed_items.push_back(item);
      } else {
        Apply(item);
      }
    }
    Remove(now, removed_items);
    revision_ = std::max(revision_, answer.revision);
    const time_point answered_at = std::min(now, sent_at_ + answer.held);
    sound_at_ = std::max(sound_at_, answered_at - answer.sound_age);
    if (IsStorm(answer.items))
      BeginStorm(now);
    return !answer.items.empty();
  }
  if (after_key_.empty()) {
    listing_revision_ = answer.revision;
    listing_sent_at_ = sent_at_ - answer.sound_age;
  }
  for (const store_item& item : answer.items) {
    auto known = items_.find(item.key);
    has_large_news_ =
        has_large_news_ ||
        (item.value.size() >= options_.storm_item && known != items_.end() &&
         known->second.revision < item.revision);
    listed_[item.key] = item;
    after_key_ = item.key;
  }
  if (answer.has_more && !answer.items.empty()) {
    next_at_ = now;
    return false;
  }
  FinishListing(now);
  if (is_storm_ && has_large_news_) {
    BeginStorm(now);
  } else {
    is_storm_ = false;
  }
  return true;
}

bool store_mirror::IsStorm(const std::vector<store_item>& changes) const {
  std::set<std::string> seen;
  return std::any_of(changes.begin(), changes.end(),
                     [&](const store_item& item) {
                       return item.value.size() >= options_.storm_item &&
                              !seen.insert(item.key).second;
                     });
}

void store_mirror::BeginListing() {
  is_listing_ = true;
  has_large_news_ = false;
  after_key_.clear();
  listed_.clear();
}

void store_mirror::BeginStorm(time_point now) {
  is_storm_ = true;
  BeginListing();
  uint64_t bytes = 0;
  for (const auto& [key, item] : items_)
    bytes += item.value.size();
  const duration paced =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(bytes) / options_.storm_rate));
  next_at_ = std::max<time_point>(now, sent_at_) +
             std::max<duration>(options_.storm_spacing, paced);
}

bool store_mirror::Step(time_point now) {
  if (missing_.empty() || MayHaveLapsed(now))
    return false;
  for (const std::string& key : missing_)
    items_.erase(key);
  missing_.clear();
  return true;
}

bool store_mirror::MayHaveLapsed(time_point now) const {
  return is_known_ && now - away_until_ < options_.lapse;
}

void store_mirror::Apply(const store_item& item) {
  auto it = items_.find(item.key);
  if (it != items_.end() && it->second.revision >= item.revision)
    return;
  missing_.erase(item.key);
  items_[item.key] = item;
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
    const bool is_lapse =
        static_cast<double>(removed[directory] + missing_.size()) >
        options_.lapsed_share * static_cast<double>(held[directory]);
    if (is_lapse && MayHaveLapsed(now)) {
      missing_.insert(item.key);
    } else {
      items_.erase(it);
    }
  }
}

void store_mirror::FinishListing(time_point now) {
  for (const auto& [key, item] : listed_)
    Apply(item);
  std::vector<store_item> removed_items;
  for (const auto& [key, item] : items_) {
    // The pages are not a consistent snapshot: the watch reports what changed
    // after the first page.
    if (!listed_.contains(key) && item.revision <= listing_revision_) {
      removed_items.push_back(
          {.key = key, .revision = item.revision + 1, .is_deleted = true});
    }
  }
  Remove(now, removed_items);
  listed_.clear();
  after_key_.clear();
  is_listing_ = false;
  is_known_ = true;
  revision_ = std::max(revision_, listing_revision_);
  sound_at_ = std::max(sound_at_, listing_sent_at_);
}

}  // namespace fuchsiafall
