/// @file server_board_base.h What an entry knows of the load and health of each
/// server, and its choice among them.
#ifndef SERVER_BOARD_BASE_H_
#define SERVER_BOARD_BASE_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "site_index_base.h"
#include "time_type.h"

namespace fuchsiafall {

struct server_board_options {
  std::string domain;  ///< Own failure domain.
  std::string region;
  std::map<std::string, std::string> regions;  ///< Of each domain.
  /// Load by which a server of the own domain is preferred, as a share of its
  /// slots: bytes between domains cost little against an answer in time.
  double own_domain_bonus = 0.1;
  /// Age at which what is known of a load counts half.
  milliseconds load_half_life{300};
  uint32_t failures_to_eject = 3;  ///< In a row.
  milliseconds eject{1000};        ///< Of the first ejection; doubles.
  milliseconds most_eject{8000};
  milliseconds weights_bound{8000};  ///< In which new weights replace old ones.
  /// Subtracted from it, for the wait of a request at its server.
  milliseconds weights_margin{800};
  /// Share of a service's servers that stays in use whatever fails.
  double floor = 0.5;
  uint64_t seed = 1;
};

/// Load and health of one server, as seen from this entry.
struct server_note {
  uint32_t in_flight = 0;  ///< Own requests there.
  double load = 0;         ///< Places taken, as last told.
  uint32_t slots = 0;
  time_point load_at{};
  /// Longest answer that it takes before it loads, as last told; 0 for any.
  uint32_t most_answer_tokens = 0;
  time_point full_until{};  ///< Denied a place until then.
  uint32_t failures = 0;    ///< In a row.
  uint32_t ejections = 0;   ///< In a row.
  time_point ejected_until{};
  /// Revision of its entry when another instance answered at its address.
  std::optional<uint64_t> gone_revision;
  uint32_t silent_asks = 0;  ///< Questions for a place unanswered in a row.
  time_point silent_since{};
};

/// What a server has to fulfil for a request.
struct server_query {
  std::string service;
  const std::vector<std::string>* route_regions = nullptr;
  const std::vector<std::string>* tenant_regions = nullptr;
  std::string model;                             ///< Empty for plain services.
  const std::set<std::string>* tried = nullptr;  ///< Ids to leave out.
  /// Whether the request would be sent without the word of the server's agent.
  bool is_unasked = false;
  uint32_t answer_tokens = 0;  ///< Expected.
  /// Only version that may serve it: the one that began a resumed stream.
  std::optional<uint64_t> weights;
};

/// Chooses servers by load, with the own domain first, and keeps those away
/// that fail in traffic.
class server_board {
 public:
  explicit server_board(server_board_options options)
      : options_(std::move(options)), random_(options_.seed) {}

  void SetIndex(const site_index* index);
  /// Ranks the servers that may take a request, best first.
  std::vector<const site_server*> Rank(time_point now,
                                       const server_query& query);

  void OnSent(const std::string& id) { ++notes_[id].in_flight; }
  void OnEnded(const std::string& id);
  void OnLoad(time_point now,
              const std::string& id,
              uint32_t load,
              uint32_t slots);
  void OnAnswerLimit(const std::string& id, uint32_t most_tokens) {
    notes_[id].most_answer_tokens = most_tokens;
  }
  void OnFull(time_point now, const std::string& id, milliseconds for_span);
  void OnSuccess(const std::string& id);
  void OnFailure(time_point now, const std::string& id);
  /// The address belongs to another instance now.
  void OnGone(const site_server& server) {
    notes_[server.id].gone_revision = server.revision;
  }
  void OnAskSilent(time_point now, const std::string& id);
  void OnAskAnswered(const std::string& id) { notes_[id].silent_asks = 0; }
  server_note& Note(const std::string& id) { return notes_[id]; }
  const std::string& RegionOf(const std::string& domain) const;

  /// Whether a server may take a request, whatever its load.
  bool IsEligible(time_point now,
                  const site_server& server,
                  const server_query& query) const;

 private:
  /// Whether a version was replaced so long ago that nothing may begin on it.
  bool IsOutdated(time_point now,
                  const std::string& model,
                  uint64_t served,
                  bool is_unasked) const;
  double Score(time_point now,
               const site_server& server,
               const server_query& query);

  server_board_options options_;
  std::mt19937_64 random_;
  const site_index* index_ = nullptr;
  std::map<std::string, server_note> notes_;
};

}  // namespace fuchsiafall

#endif  // SERVER_BOARD_BASE_H_
