/// @file mirror_relay.cc Relay of the store's items within a failure domain,
/// and choice of the source to read them from.
#include "mirror_relay_base.h"

#include "hash_func.h"

namespace fuchsiafall {

namespace {

/// Time for which a removal is reported: several polls of each process.
constexpr seconds kRemovalRetention{3};

}  // namespace

void mirror_relay::Update(time_point now, const store_mirror& mirror) {
  if (horizon_ == 0)
    horizon_ = mirror.Revision();
  revision_ = mirror.Revision();
  for (auto& [key, item] : items_) {
    if (item.is_deleted || mirror.Items().contains(key))
      continue;
    item.is_deleted = true;
    item.value.clear();
    // The mirror does not record the revision of the removal; it is at most
    // this one.
    item.revision = revision_;
    gone_at_[key] = now;
  }
  for (const auto& [key, item] : mirror.Items())
    items_[key] = item;
}

proto::mirror_answer mirror_relay::Answer(time_point now,
                                          uint64_t after) const {
  proto::mirror_answer answer;
  answer.set_revision(revision_);
  if (after != 0 && after < horizon_) {
    answer.set_history_gone(true);
    return answer;
  }
  for (const auto& [key, item] : items_) {
    auto removed = gone_at_.find(key);
    const bool is_reported = item.is_deleted && after != 0 &&
                             removed != gone_at_.end() &&
                             now - removed->second < kRemovalRetention;
    if (!is_reported &&
        (item.revision <= after || (item.is_deleted && after == 0)))
      continue;
    proto::mirror_item* to = answer.add_items();
    to->set_key(key);
    to->set_value(item.value);
    to->set_revision(item.revision);
    to->set_is_deleted(item.is_deleted);
  }
  return answer;
}

void mirror_source::SetRelays(const std::vector<relay_place>& registered) {
  std::vector<std::string> nodes;
  for (const relay_place& place : registered)
    nodes.push_back(place.node);
  relays_.clear();
  is_relay_ = false;
  for (size_t i : RendezvousRank("relay", nodes, options_.relays)) {
    // A relay asks only those ranked before it, so that relays never form a
    // cycle.
    if (nodes[i] == options_.node) {
      is_relay_ = true;
      return;
    }
    relays_.push_back(registered[i]);
  }
}

const std::string& mirror_source::Choose(time_point now) const {
  static const std::string none;
  size_t unresponsive = 0;
  for (const relay_place& relay : relays_) {
    auto it = avoided_.find(relay.address);
    if (it == avoided_.end() || now >= it->second.until)
      return relay.address;
    unresponsive += it->second.is_silent ? 1 : 0;
    // Each unresponsive relay costs a call's timeout.
    if (unresponsive >= options_.most_silent && now >= settled_at_)
      return options_.store_address;
  }
  if (!is_relay_ && !relays_.empty() && now < settled_at_)
    return none;
  const bool has_relays = !is_relay_ && relays_.size() > unresponsive;
  return has_relays && now < direct_at_ ? none : options_.store_address;
}

void mirror_source::OnFailed(time_point now,
                             const std::string& address,
                             bool is_stale) {
  if (!IsRelay(address))
    return;
  const milliseconds pause = now < settled_at_ ? options_.avoid_starting
                             : is_stale        ? options_.avoid_old
                                               : options_.avoid;
  avoided_[address] = {.until = now + pause, .is_silent = !is_stale};
  if (!is_stale)
    failing_since_.emplace(address, now);
}

duration mirror_source::Spread(milliseconds pause) const {
  const double share =
      static_cast<double>(Hash64(options_.node, 0) % 1000) / 1000;
  return pause / 2 + std::chrono::duration_cast<duration>(pause * share);
}

void mirror_source::Settle(time_point now) {
  settled_at_ = now + options_.settle / 2 + Spread(options_.settle);
}

void mirror_source::OnStoreFailed(time_point now) {
  direct_at_ = now + Spread(options_.direct_pause);
}

std::optional<std::string> mirror_source::LostRelay(time_point now) const {
  for (const relay_place& relay : relays_) {
    auto it = failing_since_.find(relay.address);
    if (it != failing_since_.end() && now - it->second >= options_.lost)
      return relay.node;
  }
  return std::nullopt;
}

}  // namespace fuchsiafall
