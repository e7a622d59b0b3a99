/// @file ranked_entry.h Entry of a site whose model service has requests of the
/// ranks 0 to 2.
#ifndef TESTS_RANKED_ENTRY_H_
#define TESTS_RANKED_ENTRY_H_

#include <algorithm>
#include <string>

#include "tests/fake_site.h"

namespace fuchsiafall::tests {

/// Returns the site: the routes "rank-0" to "rank-2" lead to a model service of
/// some servers, and the organisation "acme" has the rank of its route.
inline site_view MakeRankedView(int servers) {
  site_view view = fake_site().index->View();
  const site_route stream = view.configuration.routes.front();
  view.configuration.routes.clear();
  for (int rank = 0; rank < 3; ++rank) {
    site_route route = stream;
    route.name = route.host = "rank-" + std::to_string(rank);
    route.priority = rank;
    route.target_latency = milliseconds(rank == 2 ? 800 : 400);
    view.configuration.routes.push_back(route);
  }
  const site_server model_server = view.servers.at("m1");
  for (int i = 1; i <= servers; ++i) {
    const std::string id = "m" + std::to_string(i);
    view.servers[id] = model_server;
    view.servers[id].id = id;
    view.servers[id].address = id + ":80";
  }
  return view;
}

struct ranked_entry : fake_entry {
  explicit ranked_entry(call_dispatch_options options = {}, int servers = 8)
      : fake_entry(std::move(options)) {
    SetView(MakeRankedView(servers));
  }

  void SetView(const site_view& view) {
    auto old = std::move(site.index);
    site.Set(view);
    dispatch.SetIndex(site.index.get());
    dispatch.SetConfirmedAt(now);
  }

  void SendOfRank(uint64_t id,
                  int rank,
                  milliseconds time_left = milliseconds(6000)) {
    dispatch.OnRequest(now, id,
                       {.id = "r" + std::to_string(id),
                        .host = "rank-" + std::to_string(rank),
                        .key = "key",
                        .time_left = time_left,
                        .model = "model",
                        .prompt_tokens = 900},
                       "/x", now);
  }

  void Reply(uint64_t place_request_id, const place_reply& reply) {
    dispatch.OnPlaceReply(now, place_request_id, reply);
  }

  /// Replies to the last place request that it waits.
  /// @return Id of the place request.
  uint64_t QueueLast(milliseconds expected = milliseconds(100)) {
    const uint64_t id = place_requests.back().call;
    Reply(id, {.is_queued = true, .expected_free_in = expected, .slots = 16});
    return id;
  }

  /// Sends call 1 and has it wait at the third agent that it asks.
  /// @return Id of the place request that waits.
  uint64_t BeginWait(int rank, milliseconds expected = milliseconds(100)) {
    SendOfRank(1, rank);
    DenyPlace();
    DenyPlace();
    return QueueLast(expected);
  }

  int ReleaseCount(uint64_t place_request_id) const {
    return static_cast<int>(std::count(
        released_requests.begin(), released_requests.end(), place_request_id));
  }

  std::string LastDetail(log_event event) const {
    for (auto it = log_lines.rbegin(); it != log_lines.rend(); ++it) {
      if (it->first == event)
        return it->second;
    }
    return "";
  }
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_RANKED_ENTRY_H_
