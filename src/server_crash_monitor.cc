/// @file server_crash_monitor.cc Crashes of servers that have no agent.
#include "server_crash_monitor_base.h"

#include <algorithm>

namespace fuchsiafall {

server_crash_monitor::server_crash_monitor(server_crash_options options,
                                           server_crash_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      exchange_(options_.exchange, hooks_.exchange) {}

void server_crash_monitor::FindEnded(time_point now, const site_index& index) {
  const auto& servers = index.View().servers;
  for (auto& item : lifetimes_) {
    const crash_id& id = item.first;
    lifetime_state& state = item.second;
    if (state.breaks.empty())
      continue;
    auto listed = servers.find(id.server);
    const bool is_listed =
        listed != servers.end() && IdOf(listed->second) == id;
    if (is_listed)
      state.is_draining = state.is_draining || listed->second.is_draining;
    const std::string& address = state.address;
    const bool is_replaced =
        std::any_of(servers.begin(), servers.end(), [&](const auto& other) {
          return other.second.address == address && IdOf(other.second) != id;
        });
    // A server that drains ends as planned.
    if ((!is_listed || is_replaced) && !state.is_draining)
      AddCrash(now, id, &state);
  }
  std::erase_if(alive_at_, [&](const auto& item) {
    return !servers.contains(item.first.server);
  });
}

void server_crash_monitor::OnBroken(time_point now,
                                    const site_server& server,
                                    const request_traits& traits) {
  const crash_id id = IdOf(server);
  lifetime_state& state = lifetimes_[id];
  state.address = server.address;
  state.is_draining = state.is_draining || server.is_draining;
  state.breaks.push_back({.at = now, .traits = traits});
  if (state.breaks.size() > options_.max_breaks)
    state.breaks.pop_front();
  OnConnectionLost(now, server.address);
  if (state.crashed_at && now - *state.crashed_at <= options_.max_break_age)
    AddCrash(now, id, &state);
}

void server_crash_monitor::OnConnectionLost(time_point now,
                                            const std::string& address) {
  auto& losses = losses_[address];
  losses.push_back(now);
  if (losses.size() > options_.max_losses)
    losses.pop_front();
}

void server_crash_monitor::OnConnectionRefused(time_point now,
                                               const site_server& server) {
  auto it = lifetimes_.find(IdOf(server));
  if (it != lifetimes_.end() && !it->second.breaks.empty())
    AddCrash(now, it->first, &it->second);
}

void server_crash_monitor::OnAnswered(time_point now,
                                      const site_server& server,
                                      time_point sent_at,
                                      const request_traits& traits) {
  const crash_id id = IdOf(server);
  time_point& alive_at = alive_at_[id];
  alive_at = std::max(alive_at, sent_at);
  if (auto it = lifetimes_.find(id); it != lifetimes_.end()) {
    std::erase_if(it->second.breaks, [sent_at](const broken_exchange& item) {
      return item.at < sent_at;
    });
  }
  const auto crashed_at = exchange_.History().CrashedAt(id);
  if (crashed_at && sent_at > *crashed_at + options_.alive_margin) {
    lifetimes_.erase(id);
    exchange_.WithdrawCrash(now, id);
  }
  exchange_.OnAnswered(now, sent_at, traits);
}

void server_crash_monitor::OnMessage(time_point now,
                                     const std::string& from,
                                     const proto::envelope& message) {
  const auto crash = ReadCrash(now, message);
  if (crash) {
    auto alive = alive_at_.find(crash->id);
    if (alive != alive_at_.end() &&
        alive->second > crash->at + options_.alive_margin)
      return;
  }
  exchange_.OnMessage(now, from, message);
}

bool server_crash_monitor::IsLostAsAWhole(time_point now,
                                          const lifetime_state& state) const {
  const time_point broken_at = state.breaks.back().at;
  if (now - broken_at < options_.settle_time ||
      hooks_.is_connected(state.address))
    return false;
  auto losses = losses_.find(state.address);
  if (losses == losses_.end())
    return false;
  const auto together = std::count_if(
      losses->second.begin(), losses->second.end(), [&](time_point at) {
        return std::max(at, broken_at) - std::min(at, broken_at) <=
               options_.loss_window;
      });
  return together > 1;
}

void server_crash_monitor::AddCrash(time_point now,
                                    const crash_id& id,
                                    lifetime_state* state) {
  const time_point last_at = state->breaks.back().at;
  crash_record crash{.id = id, .at = last_at, .requests = {}};
  // Answers that were lost earlier have nothing to do with the crash.
  for (const broken_exchange& item : state->breaks) {
    if (last_at - item.at > options_.loss_window)
      continue;
    crash.at = std::min(crash.at, item.at);
    crash.requests.push_back(item.traits);
  }
  state->breaks.clear();
  state->crashed_at = crash.at;
  exchange_.ReportCrash(now, crash);
}

void server_crash_monitor::RunDue(time_point now, const site_index* index) {
  for (auto& [id, state] : lifetimes_) {
    while (!state.breaks.empty() &&
           now - state.breaks.front().at > options_.max_break_age)
      state.breaks.pop_front();
    if (!state.breaks.empty() && IsLostAsAWhole(now, state))
      AddCrash(now, id, &state);
  }
  if (index != nullptr)
    FindEnded(now, *index);
  std::erase_if(lifetimes_, [&](const auto& item) {
    const lifetime_state& state = item.second;
    return state.breaks.empty() &&
           (!state.crashed_at ||
            now - *state.crashed_at > options_.max_break_age);
  });
  std::erase_if(losses_, [&](const auto& item) {
    return now - item.second.back() > options_.max_break_age;
  });
  exchange_.RunDue(now);
}

}  // namespace fuchsiafall
