/// @file site_type.h What a hosting platform tells a process: its settings, the
/// operators' configuration and the servers.
#ifndef SITE_TYPE_H_
#define SITE_TYPE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "network/http_listener.h"
#include "time_type.h"

namespace fuchsiafall {

/// Settings that the platform gives to a hosted process.
struct site_settings {
  std::string node;    ///< Name of this process's VM.
  std::string ip;      ///< Of this VM.
  std::string domain;  ///< Failure domain of this VM.
  std::string region;
  std::map<std::string, std::string> regions;  ///< Region of each domain.
  std::string callers_address;    ///< Where callers connect; ip:port.
  std::string readiness_address;  ///< Where the balancer asks; ip:port.
  uint16_t first_port = 0;        ///< For links between processes.
  std::string engine_address;     ///< Of the engine on this VM; ip:port.
  std::string service;            ///< Of the engine on this VM.
  std::string store_address;      ///< ip:port
  double link_bytes = 0;          ///< Of this VM each way, bytes per second.
  milliseconds drain{2000};  ///< In which a leaving server still takes work.
  milliseconds grace{8000};  ///< From SIGTERM to the kill.
  milliseconds config_bound{2000};   ///< In which a configuration is in force.
  milliseconds revoke{5000};         ///< In which a revoked key stops to work.
  milliseconds weights_bound{8000};  ///< In which new weights replace old ones.
  double retry_share = 0.2;          ///< Retries a request, over all entries.
  double retry_extra = 0;            ///< Retries beside that in each window.
  milliseconds retry_window{10000};
};

/// What may be repeated on a route.
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
  milliseconds timeout{0};         ///< Longest time that a caller is kept.
  milliseconds target_latency{0};  ///< Time that earns full credit.
  milliseconds target_gap{0};      ///< Longest pause between events.
  int priority = 0;                ///< 0 is the highest.
  uint32_t attempts = 1;           ///< Servers that may get one request.
  bool is_anonymous = false;       ///< Needs no key.
  bool is_resumable = false;
  std::vector<std::string> regions;  ///< Allowed ones; empty for all.
  std::vector<route_target> targets;
};

/// Figures of the engines of one service.
struct engine_figures {
  uint32_t slots = 1;
  uint32_t stride = 1;          ///< Token steps of one pass.
  double step_ms = 0;           ///< Of one token step.
  double per_sequence_ms = 0;   ///< More for each running request.
  double context_ms_per_k = 0;  ///< More for 1,000 tokens of context.
  double prefill_per_s = 0;     ///< Prompt tokens read in a second.
  double pairs_ms_per_m = 0;    ///< More for a million pairs of prompt tokens.
  double usual_prompt = 0;      ///< Mean tokens of a prompt.
  double usual_answer = 0;      ///< Mean tokens of an answer.
  uint32_t layers = 1;
  uint32_t chunks = 0;  ///< Pieces of the weights.
  uint32_t chunk_bytes = 0;
  double load_s = 0;  ///< To load all layers that are staged.
  std::vector<std::string> models;
};

struct site_service {
  std::string name;
  milliseconds cold{0};  ///< After a start.
  double cold_rate = 0;  ///< Requests a second that a cold server bears.
  std::optional<engine_figures> engine;
  std::string origin_address;  ///< Of the origin of weights; ip:port.
};

struct site_tenant {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;
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

/// Layers of a model that an engine holds.
struct held_layers {
  std::string model;
  uint64_t version = 0;
  uint32_t from = 0;
  uint32_t to = 0;  ///< Exclusive.
};

/// Finds the version of a model that is held with all its layers; 0 for none.
inline uint64_t ServedVersion(const std::vector<held_layers>& all,
                              const std::string& model,
                              uint32_t layers) {
  for (const held_layers& held : all) {
    if (held.model == model && held.from == 0 && held.to >= layers)
      return held.version;
  }
  return 0;
}

/// Server as its own entry in the platform's list describes it.
struct site_server {
  std::string id;  ///< Instance that a request names as the one expected.
  std::string service;
  std::string address;  ///< ip:port
  std::string domain;
  bool is_draining = false;
  uint32_t slots = 0;
  milliseconds cold_left{0};  ///< At the time of the entry.
  bool tells_models = false;  ///< Whether it is a model server.
  std::vector<held_layers> models;
  int64_t born_ms = 0;    ///< Start, since the epoch; 0 where it is not told.
  uint64_t revision = 0;  ///< Of the entry in the store.
  time_point seen_at{};   ///< When this revision was first seen here.
};

/// When a version of the weights was named.
struct version_naming {
  /// Earliest time that it may have been named, by the store's last word
  /// without it.
  time_point named_after{};
  /// Whether it was named while this process watched; else it is older than it
  /// was first seen.
  bool was_watched = false;
};

/// Weights that operators want in service.
struct wanted_weights {
  uint64_t version = 0;
  std::map<uint64_t, version_naming> namings;  ///< Of the last versions.

  /// Finds the first version that replaced one; none while it is the newest.
  const version_naming* ReplacedBy(uint64_t served) const {
    auto it = namings.upper_bound(served);
    return it == namings.end() ? nullptr : &it->second;
  }
};

/// All that a process believes of the site. Never changed once published.
struct site_view {
  uint64_t revision = 0;                ///< Of the store.
  uint64_t configuration_revision = 0;  ///< Of the item it was read from.
  site_configuration configuration;
  std::map<std::string, site_server> servers;  ///< By id.
  std::set<std::string> evacuated;             ///< Failure domains.
  size_t entries = 0;  ///< Registered in all failure domains.
  std::map<std::string, wanted_weights> weights;  ///< By model.
};

}  // namespace fuchsiafall

#endif  // SITE_TYPE_H_
