/// @file site_type.h Data that the hosting platform provides to a process: its
/// settings, the operators' configuration and the servers.
#ifndef SITE_TYPE_H_
#define SITE_TYPE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "network/http_listener.h"
#include "store_revision_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Settings that the platform passes to a hosted process.
struct site_settings {
  std::string node;    ///< Name of this process's VM.
  std::string ip;      ///< Of this VM.
  std::string domain;  ///< Failure domain of this VM.
  std::string region;
  std::map<std::string, std::string> regions;  ///< Region of each domain.
  std::string callers_address;  ///< Listens for callers; ip:port.
  /// Listens for the load balancer's readiness checks; ip:port.
  std::string readiness_address;
  uint16_t first_port = 0;     ///< First port for links between processes.
  std::string engine_address;  ///< Engine on this VM; ip:port.
  std::string service;         ///< Service of the engine on this VM.
  std::string store_address;   ///< ip:port
  double link_bytes = 0;       ///< Link rate per direction, bytes/s.
  size_t memory_bytes = 0;     ///< Limit on the process; 0 if unknown.
  milliseconds drain{2000};  ///< Time for which a leaving server accepts work.
  milliseconds grace{8000};  ///< Time from SIGTERM to SIGKILL.
  milliseconds config_bound{2000};   ///< Deadline to apply a configuration.
  milliseconds revoke_bound{5000};   ///< Deadline to reject a revoked key.
  milliseconds weights_bound{8000};  ///< Deadline to stop serving old weights.
  double retry_ratio = 0.2;          ///< Retries per request, over all entries.
  double retry_extra = 0;  ///< Retries per window in addition to the ratio.
  milliseconds retry_window{10000};
};

/// Lowest rank of a request; 0 is the highest.
inline constexpr uint32_t kMaxRank = 9;

/// Whether and how calls of a route may be repeated.
enum class call_kind { kIdempotent, kNonIdempotent, kStream };

struct route_target {
  std::string service;
  double weight = 1;
};

struct site_route {
  std::string name;
  std::string host;
  std::string prefix;
  call_kind kind = call_kind::kNonIdempotent;
  milliseconds timeout{0};         ///< Maximum time that a caller waits.
  milliseconds target_latency{0};  ///< Slower answers count less.
  milliseconds target_gap{0};      ///< Maximum pause between events.
  int priority = 0;                ///< Rank of its requests; 0 is the highest.
  uint32_t attempts = 1;           ///< Maximum servers tried per request.
  bool is_anonymous = false;       ///< Whether no API key is needed.
  bool is_resumable = false;
  std::vector<std::string> regions;  ///< Allowed ones; empty for all.
  std::vector<route_target> targets;
};

/// Performance profile of the engines of one service.
struct engine_profile {
  uint32_t slots = 1;
  uint32_t stride = 1;            ///< Token steps per pass of the batch.
  double step_ms = 0;             ///< Time of one token step.
  double per_sequence_ms = 0;     ///< Added per running request.
  double context_ms_per_k = 0;    ///< Added per 1,000 tokens of context.
  double prefill_per_s = 0;       ///< Prompt tokens processed per second.
  double pairs_ms_per_m = 0;      ///< Added per million pairs of prompt tokens.
  double mean_prompt_tokens = 0;  ///< Mean prompt length in tokens.
  double mean_answer_tokens = 0;  ///< Mean answer length in tokens.
  uint32_t layers = 1;
  uint32_t chunks = 0;  ///< Number of chunks of the weights.
  uint32_t chunk_bytes = 0;
  double load_s = 0;  ///< Time to load all staged layers.
  std::vector<std::string> models;
};

struct site_service {
  std::string name;
  milliseconds cold{0};  ///< Time for which a server is cold after its start.
  double cold_rate = 0;  ///< Requests per second that a cold server sustains.
  std::optional<engine_profile> engine;
  std::string origin_address;  ///< Origin of the weights; ip:port.
};

struct site_tenant {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;       ///< Replaces the priority of the route.
  std::vector<std::string> regions;  ///< Allowed ones; empty for all.
};

/// The operators' configuration.
struct site_configuration {
  uint64_t version = 0;
  std::vector<site_route> routes;
  std::map<std::string, site_service> services;
  std::vector<site_tenant> tenants;
  caller_limits limits;
};

/// Layers of a model that are loaded in an engine.
struct held_layers {
  std::string model;
  uint64_t version = 0;
  uint32_t from = 0;
  uint32_t to = 0;  ///< Exclusive.
};

/// Finds the version of a model of which all layers are loaded; 0 for none.
inline uint64_t ServedVersion(const std::vector<held_layers>& all,
                              const std::string& model,
                              uint32_t layers) {
  for (const held_layers& held : all) {
    if (held.model == model && held.from == 0 && held.to >= layers)
      return held.version;
  }
  return 0;
}

/// Weights that a model server is known to have loaded intact.
struct intact_weights {
  uint64_t version = 0;       ///< 0 for none.
  int64_t started_at_ms = 0;  ///< Start of the server, ms since the epoch.
  bool operator==(const intact_weights&) const = default;
};

/// Server, as described by its item in the platform's store.
struct site_server {
  std::string id;  ///< Instance id, named in requests as the one expected.
  std::string service;
  std::string address;  ///< ip:port
  std::string domain;
  bool is_draining = false;
  uint32_t slots = 0;
  /// Cold time left when the item was written.
  milliseconds cold_remaining{0};
  bool is_model_server = false;  ///< Whether it is a model server.
  std::vector<held_layers> models;
  int64_t started_at_ms = 0;  ///< Start time, ms since the epoch; 0 if unknown.
  store_revision revision;    ///< Revision of the item in the store.
  time_point seen_at{};       ///< When this process first read this revision.
};

/// Server whose item was removed from the store.
struct departed_server {
  int64_t started_at_ms = 0;  ///< Lifetime of the server.
  uint64_t era = 0;           ///< Era of the store in which it was removed.
  time_point removed_at{};
};

/// When operators announced a version of the weights.
struct version_announcement {
  /// Earliest time at which it may have been announced: the last confirmed read
  /// of the store that did not contain it.
  time_point announced_after{};
  /// Whether this process, or the relay that it reads from, watched the store
  /// when it was announced; if not, that time is unknown.
  bool was_watched = false;
};

/// Weights that operators want to be served.
struct wanted_weights {
  uint64_t version = 0;
  /// Announcements of the last versions, by version.
  std::map<uint64_t, version_announcement> announcements;

  /// Finds the first version that replaced the given one.
  /// @return Null while there is no newer one.
  const version_announcement* FindReplacement(uint64_t served) const {
    auto it = announcements.upper_bound(served);
    return it == announcements.end() ? nullptr : &it->second;
  }
};

/// Known state of the site, built from the store. Immutable once published.
struct site_view {
  store_revision revision;  ///< Revision of the store.
  store_revision
      configuration_revision;  ///< Revision of the configuration item.
  site_configuration configuration;
  std::map<std::string, site_server> servers;  ///< By id.
  /// Servers removed lately, by id. A restored store may list them again.
  std::map<std::string, departed_server> departed;
  std::set<std::string> evacuated;  ///< Failure domains being evacuated.
  /// Relay addresses (ip:port) of the registered entries, over all failure
  /// domains; empty for one that could not be read.
  std::vector<std::string> entry_relays;
  std::map<std::string, wanted_weights> weights;  ///< By model.
  /// Revisions of the items that could not be decoded, by key.
  std::map<std::string, store_revision> unreadable;
};

}  // namespace fuchsiafall

#endif  // SITE_TYPE_H_
