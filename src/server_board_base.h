/// @file server_board_base.h Selection of servers at a hosted entry, by
/// their load and health.
#ifndef SERVER_BOARD_BASE_H_
#define SERVER_BOARD_BASE_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "load/server_slowdown_base.h"
#include "server_notices_base.h"
#include "site_index_base.h"
#include "time_type.h"

namespace fuchsiafall {

struct server_selector_options {
  std::string domain;  ///< Own failure domain.
  std::string region;
  std::map<std::string, std::string> regions;  ///< Region of each domain.
  /// Load advantage of servers in the own domain, as a share of their slots. It
  /// is small, because traffic between domains costs little compared to a late
  /// answer.
  double own_domain_bonus = 0.1;
  /// Age at which a known load counts half.
  milliseconds load_half_life{300};
  /// A server that is slow by a factor is ranked as if it were not slow in one
  /// of FACTOR^EXPONENT choices: entries know the speed of servers, but not
  /// what the other entries choose at the same moment.
  double slow_share_exponent = 2;
  uint32_t failures_to_eject = 3;     ///< Consecutive failures.
  milliseconds first_ejection{1000};  ///< Doubles with each ejection.
  milliseconds max_ejection{8000};
  milliseconds weights_bound{8000};  ///< For new weights to replace old ones.
  /// Subtracted from weights_bound, for the wait of a request at its server.
  milliseconds weights_margin{450};
  /// Minimum share of a service's servers in use, in spite of ejections.
  double min_in_use_share = 0.5;
  server_notices_options notices;
  uint64_t seed = 1;
};

/// Load and health of one server, as known to this entry.
struct server_health {
  uint32_t in_flight = 0;  ///< Attempts of this entry.
  double load = 0;         ///< Requests at the server, as last reported.
  uint32_t slots = 0;
  time_point load_at{};
  server_slowdown slowdown;  ///< As last reported.
  /// Start of the instance that reported its slowdown.
  int64_t started_at_ms = 0;
  /// Longest answer accepted before it loads weights, as last reported; 0 for
  /// any.
  uint32_t max_answer_tokens = 0;
  time_point full_until{};  ///< Until when it is considered full.
  uint32_t failures = 0;    ///< Consecutive failures.
  uint32_t ejections = 0;   ///< Since the last success.
  time_point ejected_until{};
  /// Revision of its registration when another instance answered at its
  /// address.
  std::optional<store_revision> replaced_revision;
  /// Weights that its agent last vouched for.
  intact_weights weights;
  time_point weights_asked_at{};  ///< Request of the reply with them.
  /// Place requests that timed out since its agent last sent any reply.
  uint32_t unanswered_place_requests = 0;
  /// First timeout since its agent last replied in time.
  std::optional<time_point> unanswered_since;
};

/// Requirements of a request on its server.
struct server_query {
  std::string service;
  const std::vector<std::string>* route_regions = nullptr;
  const std::vector<std::string>* tenant_regions = nullptr;
  std::string model;                             ///< Empty for plain services.
  const std::set<std::string>* tried = nullptr;  ///< Servers to exclude.
  /// Whether the request would be sent without a place granted by the agent.
  bool is_without_place = false;
  uint32_t answer_tokens = 0;  ///< Expected answer length.
  /// Required version of the weights: the one that served a resumed stream.
  std::optional<uint64_t> weights;
};

/// Ranks servers by load, prefers the own domain and ejects servers whose
/// attempts fail (outlier ejection).
class server_selector {
 public:
  explicit server_selector(server_selector_options options)
      : options_(std::move(options)),
        random_(options_.seed),
        notices_(options_.notices) {}

  void SetIndex(const site_index* index);
  /// Ranks the servers that are eligible for a request, best first.
  std::vector<const site_server*> Rank(time_point now,
                                       const server_query& query);

  void OnAttemptSent(const std::string& id) { ++health_[id].in_flight; }
  void OnAttemptEnded(const std::string& id);
  void OnLoad(time_point now,
              const std::string& id,
              uint32_t load,
              uint32_t slots);
  /// Records how long work takes at a server, as a multiple of the usual.
  void OnSlowdown(time_point now, const std::string& id, double slowdown) {
    health_[id].slowdown.Set(now, slowdown);
  }
  void SetAnswerLimit(const std::string& id, uint32_t max_tokens) {
    health_[id].max_answer_tokens = max_tokens;
  }
  /// Records for which weights an agent vouches.
  /// @param asked_at When it was asked; replies may overtake each other.
  void SetIntactWeights(time_point asked_at,
                        const std::string& id,
                        const intact_weights& weights);
  /// Records that the server has no free slot for a time.
  void OnFull(time_point now, const std::string& id, milliseconds span);
  void OnSuccess(const std::string& id);
  void OnFailure(time_point now, const std::string& id);
  /// Excludes a server because its address belongs to another instance now.
  void OnReplaced(const site_server& server) {
    health_[server.id].replaced_revision = server.revision;
  }
  void OnPlaceTimeout(time_point now, const std::string& id);
  void OnPlaceAnswered(const std::string& id) {
    health_[id].unanswered_place_requests = 0;
    health_[id].unanswered_since.reset();
  }
  /// Records a reply that came after the timeout. Its agent can be asked again,
  /// but one that is always late counts as down after a while.
  void OnLatePlaceReply(const std::string& id) {
    health_[id].unanswered_place_requests = 0;
  }
  server_notices& Notices() { return notices_; }
  /// Returns when the first pause ends among the servers that would be eligible
  /// without it; nullopt if there is none.
  std::optional<time_point> FirstPauseEnd(time_point now,
                                          const server_query& query) const;
  server_health& Health(const std::string& id) { return health_[id]; }
  const std::string& RegionOf(const std::string& domain) const;

  /// Returns when the weights that a server holds must be out of use; nullopt
  /// if they are the newest, or the time is unknown.
  std::optional<time_point> OutdatedAt(const site_server& server,
                                       const std::string& model) const;
  /// Whether a server may run a request, regardless of its load.
  bool IsEligible(time_point now,
                  const site_server& server,
                  const server_query& query) const;

 private:
  /// Whether a server may run a request, regardless of its load and of a pause
  /// that it wants.
  bool IsSuitable(time_point now,
                  const site_server& server,
                  const server_query& query) const;
  /// Finds the version of a model that a server holds; 0 for none.
  uint64_t VersionOf(const site_server& server, const std::string& model) const;
  /// Finds the first version that replaced the given one; null if none did.
  const version_announcement* FindReplacement(const std::string& model,
                                              uint64_t served) const;
  /// Whether a version was replaced too long ago to start requests on it.
  bool IsOutdated(time_point now,
                  const std::string& model,
                  uint64_t served,
                  bool is_without_place) const;
  /// Whether the agent of a server has vouched for the version that it holds.
  bool IsVouchedFor(const site_server& server, uint64_t served) const;
  /// Computes how much longer work is expected to take at a server than at one
  /// of the same load that is not slow, in units of Score(); 0 if it is not
  /// slow. Part of it is random, so that slow servers get a smaller share and
  /// entries that know the same do not all choose the same server.
  /// @param load_share Load of the server as a share of its slots.
  double SlownessPenalty(time_point now,
                         const server_health& health,
                         double load_share);
  /// Computes a rank; lower is better.
  double Score(time_point now,
               const site_server& server,
               const server_query& query);

  server_selector_options options_;
  std::mt19937_64 random_;
  const site_index* index_ = nullptr;
  std::map<std::string, server_health> health_;
  server_notices notices_;
};

}  // namespace fuchsiafall

#endif  // SERVER_BOARD_BASE_H_
