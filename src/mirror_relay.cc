/// @file mirror_relay.cc Relay of the store's items within a failure domain,
/// and choice of the source to read them from.
#include "mirror_relay_base.h"

#include "hash_func.h"

namespace fuchsiafall {

namespace {

void EncodeItem(const store_item& item, proto::mirror_item* to) {
  to->set_key(item.key);
  to->set_value(item.value);
  to->set_revision(item.revision.number);
  to->set_is_deleted(item.is_deleted);
  to->set_changed_after_ms(
      std::chrono::floor<milliseconds>(item.changed_after.time_since_epoch())
          .count());
  to->set_replaced_revision(item.replaced_revision);
}

store_item DecodeItem(const proto::mirror_answer& message,
                      const proto::mirror_item& item) {
  std::optional<milliseconds> max_age;
  if (item.changed_after_ms() > 0)
    max_age = milliseconds(message.confirmed_at_ms() - item.changed_after_ms());
  return {.key = item.key(),
          .value = item.value(),
          .revision = item.revision(),
          .is_deleted = item.is_deleted(),
          .max_age = max_age,
          .replaced_revision = item.replaced_revision(),
          .removed_revision = item.removed_revision(),
          .kept_for = milliseconds(item.kept_for_ms())};
}

}  // namespace

void mirror_relay::Update(const store_mirror& mirror) {
  revision_ = mirror.Revision();
  history_ = mirror.History();
  items_.clear();
  for (const auto& [key, removed] : history_.removed)
    items_[key] = {.key = key, .revision = removed, .is_deleted = true};
  kept_.clear();
  earlier_ = mirror.Superseded();
  earlier_revision_ = mirror.EarlierRevision();
  for (const auto& [key, item] : mirror.Items()) {
    // What a restored store lacks is no content of it, even while it is kept.
    if (item.revision.era != revision_.era) {
      earlier_[key] = item;
      continue;
    }
    items_[key] = item;
    auto kept = mirror.Kept().find(key);
    if (kept != mirror.Kept().end())
      kept_[key] = {.removed = kept->second.removed,
                    .until = mirror.KeptUntil(kept->second)};
  }
}

proto::mirror_answer mirror_relay::Answer(time_point now,
                                          store_revision after) const {
  proto::mirror_answer answer;
  answer.set_revision(revision_.number);
  answer.set_era(revision_.era);
  if (after.number != 0 && !history_.Covers(after)) {
    answer.set_history_gone(true);
    return answer;
  }
  answer.set_has_gap(after.number != 0 && history_.HasGapAfter(after));
  for (const auto& [key, item] : items_) {
    auto kept = kept_.find(key);
    const store_revision changed =
        kept == kept_.end() ? item.revision : kept->second.removed;
    if (changed <= after || (item.is_deleted && after.number == 0))
      continue;
    proto::mirror_item* to = answer.add_items();
    EncodeItem(item, to);
    if (kept == kept_.end())
      continue;
    to->set_removed_revision(kept->second.removed.number);
    to->set_kept_for_ms(static_cast<uint32_t>(
        std::max<int64_t>(0, ToMs(kept->second.until - now))));
  }
  if (after.number == 0 && !earlier_.empty()) {
    answer.set_earlier_era(earlier_revision_.era);
    answer.set_earlier_revision(earlier_revision_.number);
    for (const auto& [key, item] : earlier_)
      EncodeItem(item, answer.add_earlier_items());
  }
  return answer;
}

store_answer DecodeRelayAnswer(const proto::mirror_answer& message) {
  store_answer answer;
  answer.status = message.history_gone()
                      ? store_answer::status_type::kHistoryCompacted
                      : store_answer::status_type::kOk;
  answer.revision = {message.era(), message.revision()};
  answer.has_gap = message.has_gap();
  answer.confirmed_age = milliseconds(message.sound_age_ms());
  answer.held = milliseconds(message.held_ms());
  for (const proto::mirror_item& item : message.items())
    answer.items.push_back(DecodeItem(message, item));
  for (const proto::mirror_item& item : message.earlier_items())
    answer.earlier_items.push_back(DecodeItem(message, item));
  answer.earlier_revision = {message.earlier_era(), message.earlier_revision()};
  return answer;
}

void relay_selector::SetRelays(
    const std::vector<relay_registration>& registered) {
  std::vector<std::string> nodes;
  for (const relay_registration& relay : registered)
    nodes.push_back(relay.node);
  relays_.clear();
  is_relay_ = false;
  for (size_t i : RendezvousRank("relay", nodes, options_.max_relays)) {
    // A relay asks only those ranked before it, so that relays never form a
    // cycle.
    if (nodes[i] == options_.node) {
      is_relay_ = true;
      return;
    }
    relays_.push_back(registered[i]);
  }
}

const std::string& relay_selector::Choose(time_point now) const {
  static const std::string none;
  size_t unresponsive = 0;
  for (const relay_registration& relay : relays_) {
    auto it = avoided_.find(relay.address);
    if (it == avoided_.end() || now >= it->second.until)
      return relay.address;
    unresponsive += it->second.is_unresponsive ? 1 : 0;
    // Each unresponsive relay costs a call's timeout.
    if (unresponsive >= options_.max_unresponsive && now >= startup_until_)
      return options_.store_address;
  }
  if (!is_relay_ && !relays_.empty() && now < startup_until_)
    return none;
  const bool has_relays = !is_relay_ && relays_.size() > unresponsive;
  const bool waits_for_relays =
      stale_since_ &&
      now < *stale_since_ + AddJitter(options_.stale_store_delay);
  return has_relays && (now < store_retry_at_ || waits_for_relays)
             ? none
             : options_.store_address;
}

void relay_selector::OnRelayFailed(time_point now,
                                   const std::string& address,
                                   bool is_stale) {
  if (!IsRelay(address))
    return;
  const milliseconds pause = now < startup_until_ ? options_.starting_pause
                             : is_stale           ? options_.stale_pause
                                                  : options_.unresponsive_pause;
  avoided_[address] = {.until = now + pause, .is_unresponsive = !is_stale};
  if (!is_stale)
    failing_since_.emplace(address, now);
}

duration relay_selector::AddJitter(milliseconds pause) const {
  const double share =
      static_cast<double>(Hash64(options_.node, 0) % 1000) / 1000;
  return pause / 2 + std::chrono::duration_cast<duration>(pause * share);
}

void relay_selector::BeginStartup(time_point now) {
  startup_until_ =
      now + options_.startup_delay / 2 + AddJitter(options_.startup_delay);
}

void relay_selector::OnStoreFailed(time_point now) {
  store_retry_at_ = now + AddJitter(options_.store_retry_pause);
}

std::optional<std::string> relay_selector::FindLostRelay(time_point now) const {
  for (const relay_registration& relay : relays_) {
    auto it = failing_since_.find(relay.address);
    if (it != failing_since_.end() &&
        now - it->second >= options_.removal_timeout)
      return relay.node;
  }
  return std::nullopt;
}

}  // namespace fuchsiafall
