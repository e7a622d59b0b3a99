/// @file server_notices.cc What servers have announced about themselves.
#include "server_notices_base.h"

#include <algorithm>

namespace fuchsiafall {

bool server_notices::OnLeaving(time_point now, const site_server& server) {
  if (IsLeaving(now, server))
    return false;
  MakeRoom(now, &leaving_);
  leaving_[server.id] = {.started_at_ms = server.started_at_ms,
                         .ends_at = now + options_.leaving_retention};
  return true;
}

milliseconds server_notices::OnPause(time_point now,
                                     const site_server& server,
                                     milliseconds pause) {
  pause = std::min(pause, options_.max_pause);
  const auto until = PausedUntil(now, server);
  MakeRoom(now, &paused_);
  paused_[server.id] = {
      .started_at_ms = server.started_at_ms,
      .ends_at = std::max(until.value_or(time_point{}), now + pause)};
  return pause;
}

bool server_notices::IsLeaving(time_point now,
                               const site_server& server) const {
  return Find(now, leaving_, server) != nullptr;
}

std::optional<time_point> server_notices::PausedUntil(
    time_point now,
    const site_server& server) const {
  const notice* found = Find(now, paused_, server);
  if (found == nullptr)
    return std::nullopt;
  return found->ends_at;
}

const server_notices::notice* server_notices::Find(time_point now,
                                                   const notice_map& from,
                                                   const site_server& server) {
  auto it = from.find(server.id);
  const bool holds = it != from.end() && now < it->second.ends_at &&
                     server.started_at_ms <= it->second.started_at_ms;
  return holds ? &it->second : nullptr;
}

void server_notices::MakeRoom(time_point now, notice_map* notices) const {
  if (notices->size() < options_.capacity)
    return;
  std::erase_if(*notices,
                [&](const auto& item) { return now >= item.second.ends_at; });
  if (notices->size() < options_.capacity)
    return;
  notices->erase(std::min_element(notices->begin(), notices->end(),
                                  [](const auto& a, const auto& b) {
                                    return a.second.ends_at < b.second.ends_at;
                                  }));
}

}  // namespace fuchsiafall
