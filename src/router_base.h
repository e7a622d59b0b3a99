/// @file router_base.h Choice of the backend server for each attempt of a
/// request.
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
#include "world_base.h"

namespace fuchsiafall {

struct router_options {
  vm_id self;
  domain_id domain;
  size_t subset = 24;      ///< Servers of a service that are known in detail.
  bool is_random = false;  ///< Chooses any server that accepts; for comparison.
  uint64_t seed = 1;       ///< Of the random choices.
  milliseconds ramp{
      10000};  ///< Time over which a returned domain gets its full share.
  milliseconds stale{
      35000};  ///< Age after which a server's state no longer counts.
};

/// Backend server as an entry sees it.
struct backend_server {
  vm_id id;
  domain_id domain;
  size_t distance = 0;  ///< 0 own domain, 1 own region, 2 elsewhere.
  proto::server_state state;
  time_point state_at{};
  bool has_state = false;
  size_t outstanding = 0;  ///< Attempts of this entry on their way.
  uint32_t failures = 0;   ///< In a row.
  uint32_t ejections = 0;  ///< Without a success since.
  time_point ejected_until{};

  /// Estimates its load as a share of its limit; what it reported fades with
  /// age.
  double Load(time_point now) const;
};

/// What a request needs of a server.
struct route_query {
  std::string service;
  std::string adapter;     ///< Empty when none is needed.
  uint64_t affinity = 0;   ///< Hash of the prompt's prefix; 0 for none.
  bool is_sticky = false;  ///< Whether affinity goes before load.
  bool is_wide = false;    ///< Whether near servers go before others no more.
  const std::set<vm_id>* excluded = nullptr;
};

/// Chooses among a bounded subset of the servers of each service.
class router {
 public:
  /// Tells whether a server must not be used, for reasons known elsewhere.
  using avoid_hook = std::function<bool(const vm_id&)>;

  explicit router(router_options options);

  void SetWorld(time_point now, const topology_ptr& where);
  /// Names the servers whose state is wanted.
  std::set<vm_id> Watched() const;
  void OnState(time_point now,
               const vm_id& id,
               const proto::server_state& state);
  void OnSent(const vm_id& id);
  /// Takes the end of an attempt.
  /// @param failed Whether it speaks against the server.
  /// @param was_silent Whether nothing was heard of it, which ejects at once.
  /// @return Whether the server was ejected.
  bool OnEnd(time_point now,
             const vm_id& id,
             bool failed,
             bool was_silent = false);
  std::optional<vm_id> Choose(time_point now,
                              const route_query& query,
                              const avoid_hook& avoid);
  const backend_server* Find(const vm_id& id) const;
  size_t Known() const { return servers_.size(); }

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
  bool IsHeldBack(time_point now, const backend_server& server);
  const backend_server* ChooseByAffinity(time_point now,
                                         const candidate_list& among,
                                         const route_query& query);
  const backend_server* ChooseOfTwo(time_point now,
                                    const candidate_list& among);

  router_options options_;
  std::mt19937_64 random_;
  topology_ptr world_;
  std::map<vm_id, backend_server> servers_;
  std::map<std::string, std::vector<vm_id>> by_service_;
  std::map<std::string, time_point>
      returned_at_;  ///< Of domains that were out before.
};

}  // namespace fuchsiafall

#endif  // ROUTER_BASE_H_
