/// @file store_mirror.cc Copy of the platform's store.
#include <algorithm>

#include "store_mirror_base.h"

namespace fuchsiafall {

std::optional<store_call> store_mirror::NextCall(time_point now) {
  if (is_waiting_ || now < next_at_)
    return std::nullopt;
  is_waiting_ = true;
  sent_at_ = now;
  if (is_listing_)
    return store_call{.kind = store_call::kind_type::kList,
                      .after_key = after_key_};
  return store_call{.kind = store_call::kind_type::kWatch,
                    .after_revision = revision_,
                    .wait = options_.watch};
}

bool store_mirror::OnAnswer(time_point now, const store_answer& answer) {
  is_waiting_ = false;
  if (answer.status == store_answer::status_type::kHistoryGone) {
    is_listing_ = true;
    after_key_.clear();
    listed_.clear();
    next_at_ = now;
    return false;
  }
  if (answer.status != store_answer::status_type::kOk) {
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
  if (!is_listing_) {
    for (const store_item& item : answer.items)
      Apply(now, item);
    revision_ = std::max(revision_, answer.revision);
    sound_at_ = sent_at_;
    return !answer.items.empty();
  }
  if (after_key_.empty()) {
    listing_revision_ = answer.revision;
    listing_sent_at_ = sent_at_;
  }
  for (const store_item& item : answer.items) {
    listed_[item.key] = item;
    after_key_ = item.key;
  }
  if (answer.has_more && !answer.items.empty()) {
    next_at_ = now;
    return false;
  }
  FinishListing(now);
  return true;
}

bool store_mirror::Step(time_point now) {
  bool has_dropped = false;
  for (auto it = missing_.begin(); it != missing_.end();) {
    if (now - it->second < options_.lapse) {
      ++it;
      continue;
    }
    items_.erase(it->first);
    it = missing_.erase(it);
    has_dropped = true;
  }
  return has_dropped;
}

bool store_mirror::MayHaveLapsed(time_point now) const {
  return is_known_ && now - away_until_ < options_.lapse;
}

void store_mirror::Apply(time_point now, const store_item& item) {
  auto it = items_.find(item.key);
  if (item.is_deleted) {
    if (it == items_.end() || it->second.revision >= item.revision)
      return;
    if (MayHaveLapsed(now)) {
      missing_.emplace(item.key, now);
    } else {
      items_.erase(it);
    }
    return;
  }
  if (it != items_.end() && it->second.revision >= item.revision)
    return;
  missing_.erase(item.key);
  items_[item.key] = item;
}

void store_mirror::FinishListing(time_point now) {
  for (const auto& [key, item] : listed_)
    Apply(now, item);
  std::vector<store_item> gone;
  for (const auto& [key, item] : items_) {
    // Pages are no snapshot: the watch tells what changed after the first one.
    if (!listed_.contains(key) && item.revision <= listing_revision_) {
      gone.push_back(
          {.key = key, .revision = item.revision + 1, .is_deleted = true});
    }
  }
  for (const store_item& item : gone)
    Apply(now, item);
  listed_.clear();
  after_key_.clear();
  is_listing_ = false;
  is_known_ = true;
  revision_ = listing_revision_;
  sound_at_ = listing_sent_at_;
}

}  // namespace fuchsiafall
