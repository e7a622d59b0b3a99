/// @file router_base.h Routing: selection of the backend server for each
/// attempt.
#ifndef ROUTER_BASE_H_
#define ROUTER_BASE_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "reason_type.h"
#include "time_type.h"
#include "topology_base.h"

namespace fuchsiafall {

struct router_options {
  vm_id self;
  domain_id domain;
  size_t subset = 24;      ///< Servers used per service.
  bool is_random = false;  ///< Chooses at random; benchmark baseline.
  uint64_t seed = 1;       ///< Of the random number generator.
  /// Time in which a domain that returns to service regains its full share.
  milliseconds ramp{10000};
  /// Age after which the state of a server is ignored.
  milliseconds max_state_age{35000};
};

/// State of a backend server as known to an entry.
struct backend_server {
  vm_id id;
  domain_id domain;
  size_t distance = 0;  ///< 0 own domain, 1 own region, 2 other regions.
  proto::server_state state;
  time_point state_at{};
  bool has_state = false;
  size_t outstanding = 0;  ///< Attempts of this entry in progress.
  uint32_t failures = 0;   ///< Consecutive ones.
  uint32_t ejections = 0;  ///< Since the last success.
  time_point ejected_until{};

  /// Estimates the load as a share of the limit. The weight of the reported
  /// load decreases with its age.
  double Load(time_point now) const;
};

/// Requirements of a request on its server.
struct route_query {
  std::string service;
  std::string adapter;     ///< Empty if none is needed.
  uint64_t affinity = 0;   ///< Hash of the prompt prefix or key; 0 for none.
  bool is_sticky = false;  ///< Whether affinity overrides load.
  bool ignores_distance = false;
  const std::set<vm_id>* excluded = nullptr;  ///< Servers already tried.
};

/// Selects servers from a bounded subset of each service. Ejects servers that
/// fail repeatedly, but never more than half of a service.
class router {
 public:
  /// Whether a server must not be used, such as a leaving or suspected one.
  using avoid_hook = std::function<bool(const vm_id&)>;

  explicit router(router_options options);

  /// Selects the servers to use from a new configuration and keeps what is
  /// known of those used before.
  void SetTopology(time_point now, const topology_ptr& view);
  /// Returns the servers whose heartbeats are needed.
  std::set<vm_id> WatchedServers() const;
  void OnServerState(time_point now,
                     const vm_id& id,
                     const proto::server_state& state);
  void OnAttemptSent(const vm_id& id);
  /// Records the end of an attempt.
  /// @param failed Whether it counts as a failure of the server.
  /// @param has_timed_out Whether it timed out, which ejects the server at
  ///     once.
  /// @return Whether the server was ejected.
  bool OnAttemptEnded(time_point now,
                      const vm_id& id,
                      bool failed,
                      bool has_timed_out = false);
  /// Chooses a server, preferably a near one with a low load.
  std::optional<vm_id> Choose(time_point now,
                              const route_query& query,
                              const avoid_hook& avoid);
  const backend_server* Find(const vm_id& id) const;
  size_t ServerCount() const { return servers_.size(); }

 private:
  using candidate_list = std::vector<const backend_server*>;

  void AddServers(const std::string& service);
  bool IsCandidate(time_point now,
                   const backend_server& server,
                   const route_query& query,
                   const avoid_hook& avoid) const;
  candidate_list Candidates(time_point now,
                            const route_query& query,
                            const avoid_hook& avoid);
  /// Whether to skip a server now because its domain is ramping up.
  bool IsSkippedWhileRamping(time_point now, const backend_server& server);
  /// Chooses by rendezvous hashing among the servers with a moderate load.
  const backend_server* ChooseByAffinity(time_point now,
                                         const candidate_list& among,
                                         const route_query& query);
  /// Chooses the less loaded of two random servers.
  const backend_server* ChooseOfTwo(time_point now,
                                    const candidate_list& among);

  router_options options_;
  std::mt19937_64 random_;
  topology_ptr topology_;
  std::map<vm_id, backend_server> servers_;
  std::map<std::string, std::vector<vm_id>> by_service_;
  /// When domains returned to service.
  std::map<std::string, time_point> returned_at_;
};

}  // namespace fuchsiafall

#endif  // ROUTER_BASE_H_
