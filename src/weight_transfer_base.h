/// @file weight_transfer_base.h Peer-to-peer transfer of weights in chunks
/// between the servers of all domains and the origin.
#ifndef WEIGHT_TRANSFER_BASE_H_
#define WEIGHT_TRANSFER_BASE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "blob_store_base.h"
#include "output_type.h"
#include "rate_pacer_base.h"

namespace fuchsiafall {

/// Encoded manifest that carries no checksum and may be corrupted at the
/// origin.
struct named_manifest {
  shared_bytes bytes;
  /// Reads of the origin that decided on it. Of two manifests with the same
  /// name, the one with more is used.
  uint32_t reads = 0;
};

struct weight_transfer_options {
  vm_id self;
  domain_id domain;
  incarnation own_incarnation;
  double rate = 8388608;  ///< Link rate in each direction, in bytes per second.
  /// Time without an answer after which a holder is avoided.
  milliseconds chunk_timeout{2500};
  /// Chunks queued for upload before more are refused.
  size_t upload_queue = 4;
  uint64_t staging_bytes = 1ULL << 36;  ///< Memory for weights, in bytes.
  /// Servers of the same domain to exchange chunks with.
  size_t neighbours = 10;
  /// Minimum interval between have-maps to neighbours.
  milliseconds map_interval{100};
  /// Interval of probes of holders in other domains.
  milliseconds outside_probe_interval{250};
  /// Whether periods in which no chunk moved at all are excluded from the time
  /// after which imports are taken over.
  bool excludes_stalls = false;
  /// Time without an outstanding request after which, near the end of a
  /// transfer, another server's imports are taken over, since its link may be
  /// far slower than the local one.
  milliseconds idle_takeover_delay{60000};
  /// Outstanding fetches of this server from the origin. All importers share
  /// the origin's link, so that it delays each answer by the answers to the
  /// others.
  size_t max_origin_requests = 2;
  /// Maximum back-off after failures of the origin.
  milliseconds max_origin_backoff{60000};
  /// Time for which a server that is not listed yet does not import.
  milliseconds max_listing_delay{0};
  bool is_direct = false;  ///< Fetches only from the origin, not from peers.
  /// Whether manifests are known by a name instead of their digest, because the
  /// origin publishes no digest of them.
  bool has_named_manifests = false;
  /// Receives each named manifest that is adopted from a peer; may be empty.
  std::function<void(const artifact_ref&, const named_manifest&)> on_manifest;
  uint64_t seed = 1;  ///< Seed of random choices among equal candidates.
};

/// Blob that arrived from a peer or from the origin.
struct blob_arrival {
  enum class status_type { kOk, kNotHere, kBusy, kUnreachable };
  std::optional<vm_id> source_vm;  ///< Empty for the origin.
  uint64_t request_id = 0;         ///< Set for requests to peers.
  digest wanted;
  digest actual;  ///< Computed from the bytes by the receiving thread.
  status_type status = status_type::kOk;
  shared_bytes bytes;  ///< Null unless the status is kOk.
};

/// State of another server that may hold chunks of one artifact.
struct holder {
  /// Chunks that it holds; empty without a manifest.
  std::vector<bool> chunks;
  size_t count = 0;  ///< Number of chunks that it holds.
  bool has_manifest = false;
  bool is_neighbour = false;    ///< Exchanges any chunk with this server.
  bool has_sent_map = false;    ///< Whether it has sent a have-map.
  uint32_t manifest_reads = 0;  ///< Of its named manifest.
  uint64_t manifest_hash = 0;   ///< Hash of its named manifest.
  /// Whether a request or have-map has been unanswered since awaiting_since.
  bool awaits_reply = false;
  time_point awaiting_since{};
  time_point last_probe{};
  time_point busy_until{};
  time_point avoided_until{};
  uint32_t failures = 0;   ///< Consecutive requests that timed out.
  size_t outstanding = 0;  ///< Requests to it in flight.

  bool Has(size_t chunk) const {
    return chunk < chunks.size() && chunks[chunk];
  }
};

/// Servers that import one blob, the same on all servers.
struct import_plan {
  /// Importers and stand-bys in one domain.
  struct domain_order {
    std::string domain;
    std::vector<vm_id> importers;  ///< Best first.
  };
  /// Best first. The first reachable domain fetches the blob from the origin.
  std::vector<domain_order> domains;

  /// Finds the order in a domain.
  /// @return Null if the service has no server there.
  const std::vector<vm_id>* Find(const std::string& domain) const;
};

/// Stages of the transfer of one artifact.
enum class transfer_stage { kManifest, kChunks, kComplete, kFailed };

/// One version or adapter that is being transferred.
struct artifact {
  artifact_ref part;
  transfer_stage stage = transfer_stage::kManifest;
  std::string last_reason;  ///< Why it cannot make progress.
  proto::manifest manifest;
  std::vector<digest> chunks;  ///< Digests from the manifest.
  std::vector<bool> have;
  std::vector<bool> in_flight;
  size_t have_count = 0;
  /// Number of neighbours that hold each chunk.
  std::vector<uint16_t> availability;
  std::map<vm_id, holder> holders;
  /// Importers and stand-bys by domain, ranked.
  std::map<std::string, std::vector<vm_id>> importers_by_domain;
  /// Of each chunk and of the manifest, computed on first use.
  std::vector<std::optional<import_plan>> chunk_plans;
  std::optional<import_plan> manifest_plan;
  /// Rank of this server as importer of each chunk; lower ranks import first.
  std::map<size_t, size_t> import_rank;
  /// Start of the takeover timeout: the start of the transfer, shifted by the
  /// stalls.
  time_point takeover_since{};
  duration stalled{};        ///< Total of the stalls by which it was shifted.
  time_point idle_since{};   ///< When a request was last in flight.
  time_point progress_at{};  ///< When a chunk last arrived here or at a peer.
  /// May have joined a transfer already in progress.
  bool may_have_joined_late = false;
  bool map_changed = true;
  time_point last_map_sent{};
  time_point last_refresh{};    ///< When all neighbours were last asked.
  uint32_t manifest_reads = 0;  ///< Of a named manifest.
  uint64_t manifest_hash = 0;   ///< Hash of a named manifest.
  /// When the origin may be asked again for a manifest that it does not have.
  time_point next_manifest_try{};
  milliseconds manifest_backoff{0};
};

/// Bytes received for the current target, by source.
struct source_bytes {
  uint64_t origin = 0;
  uint64_t own_domain = 0;
  uint64_t other_domains = 0;
};

/// Fetches and verifies the chunks of the target, and serves them to others.
/// In each domain a few importers fetch each chunk once from outside (the
/// origin or another domain); all others get it from neighbours, rarest first.
class weight_transfer {
 public:
  weight_transfer(weight_transfer_options options,
                  std::shared_ptr<blob_store> blobs);

  /// Sets the artifacts to hold. Chunks shared with the previous target are
  /// kept.
  /// @param has_just_started Whether this process has just started and so may
  /// join a transfer already in progress.
  void SetTarget(time_point now,
                 const topology_ptr& config,
                 const std::string& service,
                 const std::vector<artifact_ref>& parts,
                 bool has_just_started,
                 output_list* out);
  void OnHaveMap(time_point now,
                 const vm_id& from,
                 const proto::have_map& map,
                 output_list* out);
  void OnBlobRequest(time_point now,
                     const vm_id& from,
                     const proto::blob_request& request,
                     output_list* out);
  void OnBlob(time_point now, const blob_arrival& blob, output_list* out);
  /// Sets or replaces a named manifest after reads of the origin, which are
  /// done outside since several may be needed. Only their failures are passed
  /// to OnBlob().
  void ReplaceManifest(time_point now,
                       const digest& name,
                       const named_manifest& manifest,
                       output_list* out);
  /// Sets whether chunks may be requested. While they may not, because others
  /// are still read from elsewhere, manifests are requested and chunks served.
  void SetMayRequestChunks(time_point now, bool may_request);
  /// Sets whether this server has been listed, so that others know it. Before,
  /// it may know no other either and be the only importer in its view. So it
  /// does not import until it is listed, or max_listing_delay after the first
  /// call. To be called regularly while it is not listed.
  void SetListed(time_point now, bool has_been_listed);
  /// Expires overdue requests, sends new ones, and sends have-maps that are
  /// due.
  void RunDue(time_point now, output_list* out);

  /// Whether the whole target is held and verified.
  bool IsComplete() const;
  /// Why the transfer cannot currently finish; empty when it can.
  std::string LastReason() const;
  uint32_t ProgressPercent() const;
  const source_bytes& Sources() const { return sources_; }
  /// Sums the sizes of the target's parts whose manifests are known, in bytes.
  uint64_t TargetBytes() const;
  time_point TargetSince() const { return target_since_; }
  const std::vector<artifact_ref>& Target() const { return target_; }
  /// Collects the chunks of a complete artifact, in order.
  /// @return Empty when the artifact is not complete.
  std::vector<shared_bytes> Weights(const digest& manifest) const;
  const proto::manifest* FindManifest(const digest& manifest) const;

 private:
  /// Outstanding request to a peer or to the origin.
  struct pending_request {
    size_t artifact_index = 0;
    std::optional<size_t> chunk;     ///< Empty for the manifest.
    std::optional<vm_id> source_vm;  ///< Empty for the origin.
    time_point deadline{};
    uint64_t bytes = 0;  ///< Reserved on the download link.
  };
  /// Source of a chunk outside the domain.
  struct outside_source {
    std::optional<vm_id> source_vm;  ///< Empty for the origin.
  };

  /// Number of importers in each domain.
  size_t ImporterCount() const;
  void BuildImporters(artifact* item);
  void BuildNeighbours(artifact* item);
  void AdoptManifest(time_point now,
                     artifact* item,
                     const shared_bytes& bytes,
                     output_list* out);
  /// Uses a named manifest from a peer, unless more reads decided on the one in
  /// use.
  void AdoptNamedManifest(time_point now,
                          const pending_request& request,
                          const blob_arrival& blob,
                          output_list* out);
  /// Marks chunks that are in the blob store as held.
  void AddHeldChunks(artifact* item);
  /// Forgets outstanding requests. Answers to them count as late.
  void DropRequestsUnless(
      const std::function<bool(const pending_request&)>& is_kept);
  void BuildImportRanks(artifact* item);
  static void CountAvailability(artifact* item);
  void DropUnneeded();
  void CheckMemory(artifact* item, output_list* out);
  /// Returns which servers import a chunk, computed on first use.
  /// @param chunk Empty for the manifest.
  const import_plan& ImportPlanOf(artifact* item,
                                  std::optional<size_t> chunk) const;

  // Source selection.
  bool IsUnresponsive(time_point now, const holder& peer) const;
  bool IsAvoided(time_point now, const holder& peer) const;
  bool CanRequestFrom(time_point now, const holder& peer) const;
  bool HasAvailableNeighbour(time_point now,
                             const artifact& item,
                             size_t chunk) const;
  void BackOff(time_point now, holder* peer) const;
  bool ActsAsImporter(time_point now,
                      artifact* item,
                      const std::vector<vm_id>& order,
                      size_t rank);
  std::optional<outside_source> ChooseOutsideSource(
      time_point now,
      artifact* item,
      std::optional<size_t> chunk);
  /// Asks the importers of the own domain what they hold, and optionally those
  /// of the others.
  void ProbeImporters(time_point now,
                      artifact* item,
                      bool asks_outside,
                      output_list* out);
  milliseconds TakeoverTimeout(const artifact& item) const;
  void RequestManifest(time_point now, size_t index, output_list* out);
  /// Requests a manifest that more reads of the origin decided on, if a peer
  /// has one.
  void RequestBetterManifest(time_point now, size_t index, output_list* out);
  /// Whether a request for an artifact's manifest is outstanding.
  bool IsManifestRequested(size_t index) const;
  void RequestImports(time_point now, size_t index, output_list* out);
  void RequestFromNeighbours(time_point now, size_t index, output_list* out);
  std::optional<size_t> RarestChunk(time_point now, const artifact& item);
  holder* LeastLoadedNeighbour(time_point now,
                               artifact* item,
                               size_t chunk,
                               vm_id* id);
  bool HasDownloadCapacity(time_point now) const;
  void Request(time_point now,
               size_t index,
               std::optional<size_t> chunk,
               const std::optional<vm_id>& source_vm,
               output_list* out);
  void Expire(time_point now, output_list* out);
  void Release(const pending_request& request, bool refund);
  /// Stores a chunk that arrived after its request had expired.
  void StoreLateChunk(time_point now,
                      const blob_arrival& blob,
                      output_list* out);
  /// Stores a verified chunk.
  void StoreChunk(time_point now,
                  const pending_request& request,
                  const blob_arrival& blob,
                  output_list* out);
  std::optional<pending_request> RemovePending(const blob_arrival& blob);

  // Arrivals.
  void OnRefusedBlob(time_point now,
                     const pending_request& request,
                     const blob_arrival& blob,
                     output_list* out);
  void OnCorruptBlob(time_point now,
                     const pending_request& request,
                     output_list* out);
  void BackOffOrigin(time_point now);
  void RecordProgress(time_point now, artifact* item) const;
  void UpdateIdleSince(time_point now, size_t index);
  void CountSource(const pending_request& request,
                   uint64_t bytes,
                   output_list* out);

  // Have-maps.
  void SendMaps(time_point now, artifact* item, output_list* out);
  /// Asks neighbours again that have not answered.
  void ProbeSilentNeighbours(time_point now, artifact* item, output_list* out);
  void SendMap(const digest& manifest,
               const artifact* item,
               const vm_id& to,
               bool reply_wanted,
               output_list* out);
  void Probe(time_point now,
             artifact* item,
             const vm_id& id,
             milliseconds interval,
             output_list* out);
  void MarkAwaitingReply(time_point now, holder* peer);

  artifact* FindArtifact(const std::string& manifest);
  std::string AddressOf(const vm_id& id, plane where) const;

  weight_transfer_options options_;
  std::shared_ptr<blob_store> blobs_;
  std::mt19937_64 random_;
  topology_ptr topology_;
  std::string service_;
  std::vector<artifact_ref> target_;
  std::vector<artifact> artifacts_;
  /// Requests to peers, by request id.
  std::map<uint64_t, pending_request> pending_;
  /// Fetches from the origin.
  std::map<digest, pending_request> origin_pending_;
  source_bytes sources_;
  time_point target_since_{};
  uint64_t next_request_id_ = 1;
  rate_pacer upload_;
  rate_pacer download_;
  /// Maximum number of requests in flight; covers the chunks in the
  /// upload queues of their holders (four chunks) and those on the link.
  static constexpr double kMaxWindow = 8;
  static constexpr double kInitialWindow = 4;
  /// Window of requests in flight, controlled as in TCP: grows by one with each
  /// chunk received, and above slow_start_threshold_ by one per window. Halved
  /// when requests expire, since chunks in flight then saturate a link that is
  /// slower than its nominal rate, and calls wait behind them.
  double window_ = kInitialWindow;
  /// Window size at which linear growth begins.
  double slow_start_threshold_ = kMaxWindow;
  time_point window_halved_at_{};  ///< When the window was last halved.
  time_point origin_retry_at_{};
  milliseconds origin_backoff_{0};
  bool may_request_chunks_ = true;
  bool may_import_ = true;
  std::optional<time_point> unlisted_since_;  ///< First call of SetListed().
};

}  // namespace fuchsiafall

#endif  // WEIGHT_TRANSFER_BASE_H_
